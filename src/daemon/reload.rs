//! Reads a daemon's settings again while it runs.

use std::fmt::Debug;
use std::fs;
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime};

use serde::de::DeserializeOwned;
use tokio::signal::unix::{SignalKind, signal};
use tokio::time;

use crate::settings::{self, InvalidValue};
use crate::telemetry::events;

/// Pause between two looks at the settings file, which may change without a signal.
const FILE_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Follows the settings file until the process ends: on SIGHUP and when the file has changed it is
/// read and checked again, and what differs is logged. A broken file changes nothing. Values that
/// name addresses hold from the next start on.
pub async fn watch<T: DeserializeOwned + Debug>(
    file: PathBuf,
    mut settings: T,
    check: fn(&T) -> Option<InvalidValue>,
) {
    let mut hangup = match signal(SignalKind::hangup()) {
        Ok(hangup) => hangup,
        Err(error) => {
            events::log(events::SETTINGS_REFUSED, format_args!("cause=\"no SIGHUP: {error}\""));
            return;
        }
    };
    let mut modified = modified_at(&file);
    loop {
        let signalled = tokio::select! {
            _ = hangup.recv() => true,
            () = time::sleep(FILE_CHECK_INTERVAL) => false,
        };
        let newest = modified_at(&file);
        if !signalled && newest == modified {
            continue;
        }
        modified = newest;
        match settings::load(&file, check) {
            Ok(newer) => {
                let changed = format!("{newer:?}") != format!("{settings:?}");
                events::log(
                    events::SETTINGS_RELOADED,
                    format_args!("signal={signalled} changed={changed}"),
                );
                settings = newer;
            }
            Err(error) => {
                events::log(events::SETTINGS_REFUSED, format_args!("cause=\"{error}\""));
            }
        }
    }
}

fn modified_at(file: &Path) -> Option<SystemTime> {
    fs::metadata(file).and_then(|metadata| metadata.modified()).ok()
}
