//! Records the request bodies that were running when targets crashed, so that one request crashes
//! at most two targets.
//!
//! Agents draw a random id for each crash and report it before they report the lost attempts.
//! Every body that was running at the time is a suspect and runs alone next; its answer clears it
//! of the crash, so that a frequent harmless call that ran beside the cause is not delayed for
//! long.

use std::time::Duration;

use crate::entry::core::events::{CrashReport, Effect};
use crate::entry::core::tables::{CrashRecord, Request, Tables};

/// The number of target crashes after which a body is refused by all entries and agents.
pub const MAX_CRASHES: usize = 2;

/// Records the crashes that another process reported, and forwards them if one of them is new: an
/// entry whose link to the agent is lost would not learn of the crash otherwise.
pub fn receive(
    tables: &mut Tables,
    now: Duration,
    reports: &[CrashReport],
    effects: &mut Vec<Effect>,
) {
    let mut any_new = false;
    for report in reports {
        let known = tables.crashes.entry(report.fingerprint).or_default();
        known.until = known.until.max(now + report.ttl);
        for id in &report.crash_ids {
            if !known.cleared.contains(id) {
                any_new |= known.suspected.insert(*id);
            }
        }
    }
    if any_new {
        effects.push(Effect::BroadcastCrashes);
    }
}

/// Returns the number of target crashes that a body may have caused.
pub fn crash_count(tables: &Tables, fingerprint: u64) -> usize {
    tables.crashes.get(&fingerprint).map_or(0, |known| known.suspected.len())
}

/// Returns true if a target crashed while it was running this request or one with the same body.
pub fn is_suspect(tables: &Tables, request: &Request) -> bool {
    request.crashed || crash_count(tables, request.submitted.fingerprint) > 0
}

/// Clears a body that ran alone and was answered of all crashes that are known so far.
pub fn clear(tables: &mut Tables, fingerprint: u64) {
    if let Some(known) = tables.crashes.get_mut(&fingerprint) {
        known.cleared.extend(known.suspected.drain());
    }
}

/// Returns the crashes to report to other processes, each with its remaining time.
pub fn reports(tables: &Tables, now: Duration) -> Vec<CrashReport> {
    let suspected = tables.crashes.iter().filter(|(_, known)| !known.suspected.is_empty());
    suspected.map(|(fingerprint, known)| report(*fingerprint, known, now)).collect()
}

/// Evicts the records whose time has passed.
pub fn evict_expired(tables: &mut Tables, now: Duration) {
    if !tables.crashes.is_empty() {
        tables.crashes.retain(|_, known| known.until > now);
    }
}

fn report(fingerprint: u64, known: &CrashRecord, now: Duration) -> CrashReport {
    let mut crash_ids: Vec<u64> = known.suspected.iter().copied().collect();
    crash_ids.sort_unstable();
    CrashReport { fingerprint, crash_ids, ttl: known.until.saturating_sub(now) }
}
