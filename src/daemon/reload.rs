//! Reloads a daemon's settings while it runs.

use std::fmt::Debug;
use std::fs;
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime};

use serde::de::DeserializeOwned;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::time;

use crate::settings::{self, InvalidValue};
use crate::telemetry::events;

/// Interval at which the settings file is checked for changes, since the file may change without a
/// signal.
const FILE_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Watches the settings file until the process ends. On SIGHUP, and when the file has changed,
/// reads and checks it again and logs whether the settings differ; if they do, `apply` is called with
/// the new ones. An invalid file changes nothing. What `apply` leaves out takes effect at the next
/// start.
///
/// The handler of SIGHUP is installed at once, before the returned future is polled, since the
/// signal ends a process without one.
pub fn watch<T: DeserializeOwned + Debug>(
    file: PathBuf,
    settings: T,
    check: fn(&T) -> Option<InvalidValue>,
    apply: impl Fn(&T),
) -> impl Future<Output = ()> {
    let hangup = signal(SignalKind::hangup());
    async move {
        match hangup {
            Ok(hangup) => watch_with(hangup, file, settings, check, apply).await,
            Err(error) => {
                events::log(events::SETTINGS_REFUSED, format_args!("cause=\"no SIGHUP: {error}\""))
            }
        }
    }
}

async fn watch_with<T: DeserializeOwned + Debug>(
    mut hangup: Signal,
    file: PathBuf,
    mut settings: T,
    check: fn(&T) -> Option<InvalidValue>,
    apply: impl Fn(&T),
) {
    let mut modified = modified_at(&file);
    loop {
        let signalled = tokio::select! {
            _ = hangup.recv() => true,
            () = time::sleep(FILE_CHECK_INTERVAL) => false,
        };
        let latest = modified_at(&file);
        if !signalled && latest == modified {
            continue;
        }
        modified = latest;
        match settings::load(&file, check) {
            Ok(reloaded) => {
                let changed = format!("{reloaded:?}") != format!("{settings:?}");
                events::log(
                    events::SETTINGS_RELOADED,
                    format_args!("signal={signalled} changed={changed}"),
                );
                settings = reloaded;
                if changed {
                    apply(&settings);
                }
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
