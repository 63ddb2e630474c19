//! Remembers bodies that were running when targets died, so that one request takes at most two
//! targets down.
//!
//! Agents draw an id for each death and report it before they report the lost attempts. A body
//! that was beside the guilty one runs alone next; its answer acquits it, so that a popular
//! innocent call is not held up for long.

use std::time::Duration;

use crate::entry::core::events::{CrashReport, Effect};
use crate::entry::core::tables::{Crashes, Request, Tables};

/// Deaths of targets after which a body is refused everywhere.
pub const MAX_CRASHES: usize = 2;

/// Takes in what another process knows, and passes on what was not known here: an entry whose link
/// to the agent is lost would not hear of the death otherwise.
pub fn hear(
    tables: &mut Tables,
    now: Duration,
    reports: &[CrashReport],
    effects: &mut Vec<Effect>,
) {
    let mut news = false;
    for report in reports {
        let known = tables.crashes.entry(report.fingerprint).or_default();
        known.until = known.until.max(now + report.ttl);
        for id in &report.crash_ids {
            if !known.acquitted.contains(id) {
                news |= known.suspected.insert(*id);
            }
        }
    }
    if news {
        effects.push(Effect::BroadcastCrashes);
    }
}

/// Returns how many deaths of targets a body is suspected of.
pub fn crashes_of(tables: &Tables, fingerprint: u64) -> usize {
    tables.crashes.get(&fingerprint).map_or(0, |known| known.suspected.len())
}

/// Returns true where a target died while it ran the request or its body.
pub fn is_suspect(tables: &Tables, request: &Request) -> bool {
    request.crashed || crashes_of(tables, request.submitted.fingerprint) > 0
}

/// Clears a body that ran alone and was answered.
pub fn acquit(tables: &mut Tables, fingerprint: u64) {
    if let Some(known) = tables.crashes.get_mut(&fingerprint) {
        known.acquitted.extend(known.suspected.drain());
    }
}

/// Returns what this entry tells others, with the time that is left.
pub fn reports(tables: &Tables, now: Duration) -> Vec<CrashReport> {
    let suspected = tables.crashes.iter().filter(|(_, known)| !known.suspected.is_empty());
    suspected.map(|(fingerprint, known)| report(*fingerprint, known, now)).collect()
}

/// Drops what is too old.
pub fn forget(tables: &mut Tables, now: Duration) {
    if !tables.crashes.is_empty() {
        tables.crashes.retain(|_, known| known.until > now);
    }
}

fn report(fingerprint: u64, known: &Crashes, now: Duration) -> CrashReport {
    let mut crash_ids: Vec<u64> = known.suspected.iter().copied().collect();
    crash_ids.sort_unstable();
    CrashReport { fingerprint, crash_ids, ttl: known.until.saturating_sub(now) }
}
