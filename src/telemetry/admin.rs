//! The page of metrics and the health checks of a daemon.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use actix_web::dev::Server;
use actix_web::{App, HttpResponse, HttpServer, web};
use prometheus::{Encoder as _, Registry, TextEncoder};

/// Admin is what the routes show.
#[derive(Clone)]
pub struct Admin {
    /// The daemon's metrics.
    pub registry: Registry,
    /// True while the daemon takes new work.
    pub ready: Arc<AtomicBool>,
}

impl Admin {
    /// Returns pages that show the daemon as ready.
    pub fn new(registry: Registry) -> Self {
        Self { registry, ready: Arc::new(AtomicBool::new(true)) }
    }
}

/// Serves the pages on an address.
///
/// # Errors
///
/// Returns an error where the address cannot be listened on.
pub fn start(listen: SocketAddr, admin: Admin) -> io::Result<Server> {
    let app = move || App::new().app_data(web::Data::new(admin.clone())).configure(configure);
    Ok(HttpServer::new(app).workers(1).disable_signals().bind(listen)?.run())
}

/// Adds `/metrics`, `/healthz` and `/readyz`.
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
