//! What the daemon of an entry and that of an agent beside a rank have in common.

use std::net::SocketAddr;
use std::time::{Duration, SystemTime};
use std::{io, result};

use actix_web::web;
use prometheus::Registry;
use tokio::net::UdpSocket;

use crate::daemon::signals;
use crate::direct::listener;
use crate::telemetry::{admin, logs};

/// The result of running a daemon.
pub type Result<T> = result::Result<T, ProcessError>;

/// ProcessError is why a daemon cannot run.
#[derive(Debug, thiserror::Error)]
pub enum ProcessError {
    /// The log cannot be set up.
    #[error(transparent)]
    Log(#[from] logs::LogError),
    /// The metrics cannot be registered.
    #[error("The metrics cannot be registered.")]
    Metrics(#[from] prometheus::Error),
    /// An address cannot be listened on.
    #[error(transparent)]
    Listen(#[from] listener::ListenError),
    /// The address for datagrams cannot be used.
    #[error("The address {address} cannot be used for {purpose}.")]
    Datagrams {
        /// The address.
        address: SocketAddr,
        /// What the datagrams are.
        purpose: &'static str,
        /// Why not.
        #[source]
        source: io::Error,
    },
    /// Signals cannot be waited for.
    #[error(transparent)]
    Signals(#[from] signals::SignalError),
}

/// Idle time of connections from operators and from the product's own processes.
pub const INTERNAL_IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// Returns a number that differs between the incarnations (runs) of a process.
pub fn new_incarnation(now: SystemTime) -> u64 {
    let since = now.duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    let micros = u64::try_from(since.as_micros()).unwrap_or(u64::MAX);
    micros ^ (rand::random::<u64>() << 52)
}

/// Opens the socket for a daemon's datagrams.
///
/// # Errors
///
/// Returns an error that names the address and the purpose.
pub async fn bind_udp(address: SocketAddr, purpose: &'static str) -> Result<UdpSocket> {
    let opened = UdpSocket::bind(address).await;
    opened.map_err(|source| ProcessError::Datagrams { address, purpose, source })
}

/// Serves the metrics and health pages.
///
/// # Errors
///
/// Returns an error where the address cannot be listened on.
pub async fn serve_admin(address: SocketAddr, registry: &Registry) -> Result<()> {
    let pages = web::Data::new(admin::Admin::new(registry.clone()));
    listener::serve(address, INTERNAL_IDLE_TIMEOUT, move |cfg| {
        cfg.app_data(pages.clone()).configure(admin::configure);
    })
    .await?;
    Ok(())
}
