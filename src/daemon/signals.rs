//! Waits for the signals that request a graceful stop.

use std::{io, result};

use tokio::signal::unix::{SignalKind, signal};

/// The result of waiting for a signal.
pub type Result<T> = result::Result<T, SignalError>;

/// SignalError is returned if the handler of a stop signal cannot be installed.
#[derive(Debug, thiserror::Error)]
#[error("The handlers of SIGTERM and SIGINT could not be installed.")]
pub struct SignalError(#[from] io::Error);

/// Installs the handlers of SIGTERM and SIGINT at once, since either ends a process without one.
/// Returns a future that waits for a signal and returns its name.
///
/// # Errors
///
/// Returns an error if a handler cannot be installed.
pub fn stop_requested() -> Result<impl Future<Output = &'static str>> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    Ok(async move {
        tokio::select! {
            _ = terminate.recv() => "SIGTERM",
            _ = interrupt.recv() => "SIGINT",
        }
    })
}
