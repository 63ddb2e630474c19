//! Functions that the daemons of an entry and of an agent beside a rank share.

use std::net::SocketAddr;
use std::time::{Duration, SystemTime};
use std::{io, result};

use actix_web::web;
use prometheus::Registry;
use tokio::net::UdpSocket;

use crate::daemon::signals;
use crate::direct::connections::backlog::Backlog;
use crate::direct::connections::listener;
use crate::telemetry::{admin, logs};

/// The result of running a daemon.
pub type Result<T> = result::Result<T, ProcessError>;

/// The reason that a daemon cannot start or run.
#[derive(Debug, thiserror::Error)]
pub enum ProcessError {
    /// The log cannot be set up.
    #[error(transparent)]
    Log(#[from] logs::LogError),
    /// The metrics cannot be registered.
    #[error("The metrics cannot be registered.")]
    Metrics(#[from] prometheus::Error),
    /// An HTTP server cannot be started.
    #[error(transparent)]
    Listen(#[from] listener::ListenError),
    /// The UDP socket cannot be bound.
    #[error("Cannot bind UDP address {address} for {purpose}.")]
    Datagrams {
        /// The address from the settings.
        address: SocketAddr,
        /// The content of the datagrams, such as `heartbeats`.
        purpose: &'static str,
        /// The error of the operating system.
        #[source]
        source: io::Error,
    },
    /// The signal handlers cannot be installed.
    #[error(transparent)]
    Signals(#[from] signals::SignalError),
}

/// Idle timeout of connections from operators and from the product's own processes.
pub const INTERNAL_IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// Returns a number that differs between the incarnations (runs) of a process: the time with random
/// upper bits.
pub fn new_incarnation(now: SystemTime) -> u64 {
    let since = now.duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    let micros = u64::try_from(since.as_micros()).unwrap_or(u64::MAX);
    micros ^ (rand::random::<u64>() << 52)
}

/// Binds the UDP socket for a daemon's datagrams. `purpose` names them in the error.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub async fn bind_udp(address: SocketAddr, purpose: &'static str) -> Result<UdpSocket> {
    let opened = UdpSocket::bind(address).await;
    opened.map_err(|source| ProcessError::Datagrams { address, purpose, source })
}

/// Serves the metrics and health endpoints.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub async fn serve_admin(
    address: SocketAddr,
    backlog: &Backlog,
    registry: &Registry,
) -> Result<()> {
    let pages = web::Data::new(admin::Admin::new(registry.clone()));
    listener::serve(address, INTERNAL_IDLE_TIMEOUT, backlog, move |cfg| {
        cfg.app_data(pages.clone()).configure(admin::configure);
    })
    .await?;
    Ok(())
}
