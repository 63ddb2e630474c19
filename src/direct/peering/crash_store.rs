//! Keeps the requests that are refused after crashes in the store, so that they stay refused after
//! all entries were killed at once.
//!
//! Only an entry whose own attempt raised a record to a refusal, or cleared such a record, writes
//! it. Such writes are rare, and each one is repeated until the store accepts it. An entry reads the
//! records once, when it starts; while it runs, heartbeats bring them.

use std::rc::Rc;
use std::time::{Duration, SystemTime};

use serde::{Deserialize, Serialize};
use tokio::time;

use crate::direct::known::crash_memory::Subject;
use crate::direct::known::crash_record::CrashReport;
use crate::direct::known::store::{Item, SavedItem, UnreadableValue};
use crate::direct::peering::sync::StateSync;
use crate::telemetry::events;

/// The name of the records in logs and metrics.
const COLLECTION: &str = "crashes";

/// The prefix of the keys of records about parts of prompts.
const PART_PREFIX: &str = "part-";

/// Pause before records that could not be read or written are read or written again.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// The value of a record in the store; its key is the fingerprint in hexadecimal digits, or the id of
/// a part of prompts after [`PART_PREFIX`].
#[derive(Debug, Deserialize, Serialize)]
struct CrashDocument {
    /// See [`CrashReport::crashes`].
    crashes: u32,
    /// See [`CrashReport::cleared`].
    cleared: u32,
    /// When the record expires, in milliseconds of Unix time. An entry that reads it has another
    /// steady clock than the one that wrote it.
    expires_unix_ms: u64,
    /// See [`CrashReport::limit`].
    #[serde(default)]
    limit: u32,
    /// See [`CrashReport::companions`].
    #[serde(default)]
    companions: Vec<u64>,
}

/// Returns the item that holds a report. `wall` is the time of day.
pub fn encode(report: &CrashReport, wall: SystemTime) -> SavedItem {
    let document = CrashDocument {
        crashes: report.crashes,
        cleared: report.cleared,
        expires_unix_ms: unix_ms(wall).saturating_add(report.ttl_ms),
        limit: report.limit,
        companions: report.companions.clone(),
    };
    let prefix = if report.part { PART_PREFIX } else { "" };
    SavedItem {
        key: format!("{prefix}{:016x}", report.fingerprint),
        value: serde_json::json!(document).to_string().into(),
        ttl: Duration::from_millis(report.ttl_ms),
    }
}

/// Returns the report that an item of the store holds. `wall` is the time of day.
///
/// # Errors
///
/// Returns an error that names the key or the field that cannot be decoded.
pub fn decode(item: &Item, wall: SystemTime) -> Result<CrashReport, UnreadableValue> {
    let unreadable = |field: &str, reason: String| UnreadableValue { field: field.into(), reason };
    let part_id = item.key.strip_prefix(PART_PREFIX);
    let fingerprint = u64::from_str_radix(part_id.unwrap_or(&item.key), 16)
        .map_err(|error| unreadable("key", format!("{:?}: {error}", item.key)))?;
    let CrashDocument { crashes, cleared, expires_unix_ms, limit, companions } =
        serde_json::from_slice(&item.value).map_err(|error| unreadable(".", error.to_string()))?;
    let ttl_ms = expires_unix_ms.saturating_sub(unix_ms(wall));
    let part = part_id.is_some();
    Ok(CrashReport { fingerprint, crashes, cleared, ttl_ms, part, limit, companions, trial_ms: 0 })
}

/// Adds the records that the store holds to those of the entry, once the store answers.
pub async fn load(sync: Rc<StateSync>) {
    let entry = &sync.entry;
    loop {
        match (sync.store.list_crashes)(()).await {
            Ok(items) => {
                items.iter().for_each(|item| apply(&sync, item));
                return;
            }
            Err(error) => {
                entry.metrics.store_failed(COLLECTION);
                events::log(events::CRASHES_NOT_READ, format_args!("cause=\"{error}\""));
                retry_delay(&sync).await;
            }
        }
    }
}

/// Writes records to the store until the process ends.
pub async fn save(sync: Rc<StateSync>) {
    let entry = &sync.entry;
    loop {
        entry.crashes_unsaved.notified().await;
        while let Some(report) = next_unsaved(&sync) {
            let item = encode(&report, entry.clock.wall());
            match (sync.store.save_crash)(item).await {
                Ok(_lease) => entry.crashes.borrow_mut().mark_saved(&report),
                Err(error) => {
                    entry.metrics.store_failed(COLLECTION);
                    events::log(
                        events::CRASH_NOT_SAVED,
                        format_args!("{} cause=\"{error}\"", Subject::of(&report)),
                    );
                    retry_delay(&sync).await;
                }
            }
        }
    }
}

async fn retry_delay(sync: &StateSync) {
    time::sleep(RETRY_DELAY.mul_f64(0.75 + 0.5 * sync.entry.random_fraction())).await;
}

fn next_unsaved(sync: &StateSync) -> Option<CrashReport> {
    let entry = &sync.entry;
    entry.crashes.borrow().next_unsaved(entry.now())
}

fn unix_ms(wall: SystemTime) -> u64 {
    let since = wall.duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

fn apply(sync: &StateSync, item: &Item) {
    let entry = &sync.entry;
    match decode(item, entry.clock.wall()) {
        Ok(report) => entry.merge_crashes(&[report], "store"),
        Err(error) => events::log(
            events::VALUE_UNREADABLE,
            format_args!("collection={COLLECTION} key={:?} cause=\"{error}\"", item.key),
        ),
    }
}
