//! Waits for the signals that request a graceful stop.

use std::{io, result};

use tokio::signal::unix::{SignalKind, signal};

/// The result of waiting for a signal.
pub type Result<T> = result::Result<T, SignalError>;

/// SignalError is returned if the handler of a stop signal cannot be installed.
#[derive(Debug, thiserror::Error)]
#[error("The handlers of SIGTERM and SIGINT could not be installed.")]
pub struct SignalError(#[from] io::Error);

/// Waits for SIGTERM or SIGINT and returns the name of the signal.
///
/// # Errors
///
/// Returns an error if a handler cannot be installed.
pub async fn stop_requested() -> Result<&'static str> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => Ok("SIGTERM"),
        _ = interrupt.recv() => Ok("SIGINT"),
    }
}
