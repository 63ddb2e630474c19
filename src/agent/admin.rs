//! The agent's HTTP pages for operators: metrics, health and readiness.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use actix_web::{App, HttpResponse, HttpServer, dev, web};

use crate::agent::metrics;

/// Readiness tells whether the agent takes work.
#[derive(Clone, Debug, Default)]
pub struct Readiness {
    ready: Arc<AtomicBool>,
}

impl Readiness {
    /// Sets whether the agent takes work.
    pub fn set(&self, ready: bool) {
        self.ready.store(ready, Ordering::Relaxed);
    }

    fn get(&self) -> bool {
        self.ready.load(Ordering::Relaxed)
    }
}

/// Starts the pages on an address.
///
/// # Errors
///
/// Returns an error where the address cannot be listened on.
pub fn start(
    listen: SocketAddr,
    metrics: metrics::Metrics,
    readiness: Readiness,
) -> io::Result<dev::Server> {
    let server = HttpServer::new(move || {
        App::new()
            .app_data(web::Data::new(metrics.clone()))
            .app_data(web::Data::new(readiness.clone()))
            .route("/metrics", web::get().to(write_metrics))
            .route("/healthz", web::get().to(HttpResponse::Ok))
            .route("/readyz", web::get().to(tell_readiness))
    });
    Ok(server.workers(1).disable_signals().bind(listen)?.run())
}

async fn write_metrics(metrics: web::Data<metrics::Metrics>) -> HttpResponse {
    match metrics.text() {
        Ok(text) => HttpResponse::Ok().content_type("text/plain; version=0.0.4").body(text),
        Err(error) => HttpResponse::InternalServerError().body(error.to_string()),
    }
}

async fn tell_readiness(readiness: web::Data<Readiness>) -> HttpResponse {
    if readiness.get() {
        HttpResponse::Ok().finish()
    } else {
        HttpResponse::ServiceUnavailable().finish()
    }
}
