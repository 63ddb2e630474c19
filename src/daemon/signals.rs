//! Waits for the signals that ask for a graceful stop.

use std::{io, result};

use tokio::signal::unix::{SignalKind, signal};

/// The result of waiting for a signal.
pub type Result<T> = result::Result<T, SignalError>;

/// SignalError says that signals cannot be waited for.
#[derive(Debug, thiserror::Error)]
#[error("Signals cannot be waited for.")]
pub struct SignalError(#[from] io::Error);

/// Returns the name of the signal once SIGTERM or SIGINT arrives.
///
/// # Errors
///
/// Returns an error where no handler can be set.
pub async fn stop_requested() -> Result<&'static str> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => Ok("SIGTERM"),
        _ = interrupt.recv() => Ok("SIGINT"),
    }
}
