//! A fake of the platform's list of live and leaving hosts, whose changes become visible with a
//! delay.

use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use actix_web::{HttpResponse, web};
use serde::{Deserialize, Serialize};

use crate::lagged::Lagged;
use crate::{reply, server};

/// The kind of process that a host runs.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// An entry, to which callers connect.
    Entry,
    /// An agent, which runs beside a target.
    Agent,
}

/// Whether a host is about to be stopped.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// The host continues to run.
    Live,
    /// The host will be stopped soon.
    Leaving,
}

/// A host of the list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Host {
    /// The name under which processes know the host.
    pub name: String,
    /// The address in the platform's notation; not validated here.
    pub address: String,
    /// The kind of process on the host.
    pub role: Role,
    /// The data centre in which the host is located.
    pub data_centre: String,
    /// Whether the host is about to be stopped.
    pub state: State,
}

/// The response body of `/v1/hosts`.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Hosts {
    /// All hosts, in the order in which they were set.
    pub hosts: Vec<Host>,
}

/// The request body of `/control/hosts`, which replaces the list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct SetHosts {
    /// The new list.
    pub hosts: Vec<Host>,
    /// Milliseconds for which the previous list stays visible.
    #[serde(default)]
    pub lag_ms: u64,
}

struct HostList {
    hosts: Mutex<Lagged<Hosts>>,
}

impl HostList {
    fn lock(&self) -> MutexGuard<'_, Lagged<Hosts>> {
        self.hosts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

type Data = web::Data<HostList>;

/// Serves an empty host list on the caller's actix runtime.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub fn start(listen: SocketAddr) -> server::Result<server::Running> {
    let list = Data::new(HostList { hosts: Mutex::new(Lagged::new(Hosts::default())) });
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
    let visible_at = Instant::now() + Duration::from_millis(lag_ms);
    list.lock().set(Hosts { hosts }, visible_at);
    HttpResponse::NoContent().finish()
}
