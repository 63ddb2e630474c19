//! The HTTP server that every stand-in runs on.

use std::net::SocketAddr;
use std::time::Duration;
use std::{io, result};

use actix_web::{App, HttpServer, dev, web};

/// Long enough that no client's pooled connection is closed between two of its calls.
const KEEP_ALIVE: Duration = Duration::from_secs(75);

/// The result of starting a stand-in.
pub type Result<T> = result::Result<T, StartError>;

/// StartError is why a stand-in does not serve.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The address is taken or not one of this host.
    #[error("The address {listen} cannot be bound.")]
    Bind {
        /// The address asked for.
        listen: SocketAddr,
        /// What the system says.
        #[source]
        source: io::Error,
    },
}

/// Running is a stand-in that serves until its handle stops it.
pub struct Running {
    /// The address that was bound, with the real port where port 0 was asked for.
    pub address: SocketAddr,
    /// Stops the server.
    pub handle: dev::ServerHandle,
}

/// Serves `configure`'s routes on the caller's actix runtime.
///
/// A client that closes its connection ends the request at once, as engines need in order to
/// free the slot of a caller that is gone.
///
/// # Errors
///
/// Returns [`StartError::Bind`] where the address cannot be bound.
pub fn start<F>(listen: SocketAddr, configure: F) -> Result<Running>
where
    F: Fn(&mut web::ServiceConfig) + Clone + Send + 'static,
{
    let bind_error = |source| StartError::Bind { listen, source };
    let server = HttpServer::new(move || App::new().configure(configure.clone()))
        .workers(1)
        .tcp_nodelay(true)
        .disable_signals()
        .h1_allow_half_closed(false)
        .keep_alive(KEEP_ALIVE)
        .bind(listen)
        .map_err(bind_error)?;
    let address = server.addrs().first().copied().unwrap_or(listen);
    let server = server.run();
    let handle = server.handle();
    actix_rt::spawn(server);
    Ok(Running { address, handle })
}
