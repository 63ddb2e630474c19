//! Tells callers which entries to use, and for how long.

use std::net::SocketAddr;

use actix_web::{HttpResponse, web};
use serde::Serialize;

use crate::settings::entry::EntrySettings;

/// Addresses is what this entry hands out.
#[derive(Clone, Debug)]
pub struct Addresses {
    entries: Vec<SocketAddr>,
    keep_ms: u64,
}

impl Addresses {
    /// Hands out this entry and its peers.
    pub fn from_settings(settings: &EntrySettings) -> Self {
        let peers = settings.peers.iter().map(|peer| peer.address);
        let entries = std::iter::once(settings.listen).chain(peers).collect();
        Self { entries, keep_ms: settings.address_keep_ms }
    }
}

#[derive(Serialize)]
struct Answer<'a> {
    addresses: Vec<Address<'a>>,
    keep_ms: u64,
}

#[derive(Serialize)]
struct Address<'a> {
    address: &'a SocketAddr,
}

/// Adds the address route.
pub fn configure(cfg: &mut web::ServiceConfig) {
    cfg.route("/v1/addresses", web::get().to(addresses));
}

async fn addresses(addresses: web::Data<Addresses>) -> HttpResponse {
    let entries = addresses.entries.iter().map(|address| Address { address }).collect();
    HttpResponse::Ok().json(Answer { addresses: entries, keep_ms: addresses.keep_ms })
}
