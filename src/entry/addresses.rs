//! The route that returns the entries that a caller should use, and for how long.

use actix_web::{HttpRequest, HttpResponse, web};
use serde::Serialize;

use crate::entry::{actor, caller_api, membership};

#[derive(Serialize)]
struct Answer {
    addresses: Vec<Address>,
}

#[derive(Serialize)]
struct Address {
    address: String,
    entry: String,
    data_centre: String,
    keep_ms: u128,
}

/// Adds the address route.
pub fn configure(cfg: &mut web::ServiceConfig) {
    cfg.route("/v1/addresses", web::get().to(addresses));
}

async fn addresses(api: web::Data<caller_api::CallerApi>, req: HttpRequest) -> HttpResponse {
    let caller = membership::caller_hash(req.peer_addr());
    let chosen = api.actor.send(actor::GetAddresses { caller }).await.unwrap_or_default();
    let addresses = chosen
        .into_iter()
        .map(|chosen| Address {
            address: chosen.address,
            entry: chosen.name,
            data_centre: chosen.data_centre,
            keep_ms: chosen.keep.as_millis(),
        })
        .collect();
    HttpResponse::Ok().json(Answer { addresses })
}
