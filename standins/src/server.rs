//! The HTTP server shared by all fakes.

use std::net::SocketAddr;
use std::time::Duration;
use std::{io, result};

use actix_web::{App, HttpServer, dev, web};

/// Long enough that a client's pooled connection is not closed between two of its calls.
const KEEP_ALIVE: Duration = Duration::from_secs(75);

/// The result of starting a fake.
pub type Result<T> = result::Result<T, StartError>;

/// The reason why a fake could not be started.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The address is in use or does not belong to this host.
    #[error("The address {listen} cannot be bound.")]
    Bind {
        /// The requested address.
        listen: SocketAddr,
        /// The error of the operating system.
        #[source]
        source: io::Error,
    },
}

/// A running fake, which serves until it is stopped by its handle.
pub struct Running {
    /// The bound address, with the assigned port if port 0 was requested.
    pub address: SocketAddr,
    /// The handle that stops the server.
    pub handle: dev::ServerHandle,
}

/// Serves the routes of `configure` on the caller's actix runtime.
///
/// A request is cancelled as soon as its client closes the connection, so that an engine frees the
/// slot of a caller that has disconnected.
///
/// # Errors
///
/// Returns [`StartError::Bind`] if the address cannot be bound.
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
