//! HTTP routes for the metrics and health checks of a daemon.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use actix_web::dev::Server;
use actix_web::{HttpResponse, web};
use prometheus::{Encoder as _, Registry, TextEncoder};

use crate::direct::connections::worker_server::{self, WorkerOptions};

/// Admin is the state that the routes report.
#[derive(Clone)]
pub struct Admin {
    /// The registry whose metrics `/metrics` returns.
    pub registry: Registry,
    /// True while the daemon accepts new work; `/readyz` returns status 503 otherwise.
    pub ready: Arc<AtomicBool>,
}

impl Admin {
    /// Returns a state that reports the daemon as ready.
    pub fn new(registry: Registry) -> Self {
        Self { registry, ready: Arc::new(AtomicBool::new(true)) }
    }
}

/// The options of the server, whose requests are few and short.
const WORKER: WorkerOptions = WorkerOptions { workers: 1, shutdown_timeout_s: 30 };

/// Starts a server with the routes at an address.
///
/// # Errors
///
/// Returns an error if the server cannot listen on the address.
pub fn start(listen: SocketAddr, admin: Admin) -> io::Result<Server> {
    let routes = move |cfg: &mut web::ServiceConfig| {
        cfg.app_data(web::Data::new(admin.clone())).configure(configure);
    };
    worker_server::start(listen, WORKER, routes)
}

/// Adds the routes `/metrics`, `/healthz` and `/readyz`.
pub fn configure(cfg: &mut web::ServiceConfig) {
    cfg.route("/metrics", web::get().to(metrics));
    cfg.route("/healthz", web::get().to(healthz));
    cfg.route("/readyz", web::get().to(readyz));
}

async fn metrics(admin: web::Data<Admin>) -> HttpResponse {
    let encoder = TextEncoder::new();
    let mut buf = Vec::new();
    match encoder.encode(&admin.registry.gather(), &mut buf) {
        Ok(()) => HttpResponse::Ok().content_type(encoder.format_type()).body(buf),
        Err(error) => HttpResponse::InternalServerError().body(error.to_string()),
    }
}

async fn healthz() -> HttpResponse {
    HttpResponse::Ok().body("alive\n")
}

async fn readyz(admin: web::Data<Admin>) -> HttpResponse {
    match admin.ready.load(Ordering::Relaxed) {
        true => HttpResponse::Ok().body("ready\n"),
        false => HttpResponse::ServiceUnavailable().body("not ready\n"),
    }
}
