//! The platform's list of live and leaving hosts, whose changes show late.

use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use actix_web::{HttpResponse, web};
use serde::{Deserialize, Serialize};

use crate::lagged::Lagged;
use crate::{reply, server};

/// Role is what a host runs of the system.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// A process that callers connect to.
    Entry,
    /// A process beside a target.
    Agent,
}

/// State tells whether a host is about to go.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// It stays.
    Live,
    /// It will be stopped soon.
    Leaving,
}

/// Host is one entry of the list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Host {
    /// The host's name.
    pub name: String,
    /// Where it is reached, as the platform writes it.
    pub address: String,
    /// What it runs.
    pub role: Role,
    /// The data centre that it stands in.
    pub data_centre: String,
    /// Whether it is about to go.
    pub state: State,
}

/// Hosts is the list.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Hosts {
    /// All hosts, in the order that they were set in.
    pub hosts: Vec<Host>,
}

/// SetHosts replaces the list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct SetHosts {
    /// The new list.
    pub hosts: Vec<Host>,
    /// How long the old list still shows.
    #[serde(default)]
    pub lag_ms: u64,
}

struct HostList {
    shown: Mutex<Lagged<Hosts>>,
}

impl HostList {
    fn lock(&self) -> MutexGuard<'_, Lagged<Hosts>> {
        self.shown.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

type Data = web::Data<HostList>;

/// Serves an empty host list on the caller's actix runtime.
///
/// # Errors
///
/// Returns an error where the address cannot be bound.
pub fn start(listen: SocketAddr) -> server::Result<server::Running> {
    let list = Data::new(HostList { shown: Mutex::new(Lagged::new(Hosts::default())) });
    server::start(listen, move |cfg| routes(cfg, &list))
}

fn routes(cfg: &mut web::ServiceConfig, list: &Data) {
    cfg.app_data(list.clone())
        .app_data(reply::json_config(reply::refuse_json))
        .route("/v1/hosts", web::get().to(hosts))
        .route("/control/hosts", web::post().to(set_hosts));
}

async fn hosts(list: Data) -> web::Json<Hosts> {
    web::Json(list.lock().get(Instant::now()).clone())
}

async fn set_hosts(list: Data, req: web::Json<SetHosts>) -> HttpResponse {
    let SetHosts { hosts, lag_ms } = req.into_inner();
    let shows_at = Instant::now() + Duration::from_millis(lag_ms);
    list.lock().set(Hosts { hosts }, shows_at);
    HttpResponse::NoContent().finish()
}
