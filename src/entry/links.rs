//! Decides which agents an entry links to, and turns their frames into events of the core.

use std::time::Duration;

use crate::collections::Set;
use crate::config::view;
use crate::entry::core::events::{AttemptFailure, CrashReport, Event, Executed, TargetReport};
use crate::entry::core::tables::AttemptNumber;
use crate::wire;

/// Targets up to which an entry links to all of them; beyond, only to its own data centre's and to
/// those of services that its data centre lacks.
const LINK_ALL_LIMIT: usize = 400;

/// Returns the targets whose agents an entry in `data_centre` links to.
pub fn wanted<'a>(view: &'a view::View, data_centre: &str) -> Vec<&'a view::Target> {
    let all = view.targets();
    if all.len() <= LINK_ALL_LIMIT {
        return all.iter().collect();
    }
    let near = |target: &&view::Target| target.spec.data_centre == data_centre;
    let near_services: Set<view::ServiceId> =
        all.iter().filter(near).map(|target| target.service).collect();
    all.iter().filter(|target| near(target) || !near_services.contains(&target.service)).collect()
}

/// Returns what an agent's heartbeat says of its target.
pub fn target_report(heartbeat: &wire::Heartbeat) -> TargetReport {
    let load = heartbeat.load.unwrap_or_default();
    TargetReport {
        running: load.running,
        queued: load.queued,
        slots: load.slots,
        draining: heartbeat.draining,
        healthy: load.target_healthy,
    }
}

/// Returns what a heartbeat says of crashing requests.
pub fn crash_reports(heartbeat: &wire::Heartbeat) -> Vec<CrashReport> {
    let report = |known: &wire::Fingerprint| CrashReport {
        fingerprint: known.hash,
        crash_ids: known.crash_ids.clone(),
        ttl: Duration::from_millis(known.ttl_ms),
    };
    heartbeat.fingerprints.iter().map(report).collect()
}

/// Returns the core's event for an agent's refusal; none where it names no attempt.
pub fn refused(refusal: &wire::Refusal) -> Option<Event> {
    let attempt = AttemptNumber(refusal.id.as_ref()?.counter);
    let retry_after =
        (refusal.retry_after_ms > 0).then(|| Duration::from_millis(refusal.retry_after_ms));
    Some(Event::Refused {
        attempt,
        cause: failure(refusal.reason()),
        executed: executed(refusal.executed()),
        retry_after,
    })
}

fn executed(executed: wire::Executed) -> Executed {
    match executed {
        wire::Executed::No => Executed::No,
        wire::Executed::Yes => Executed::Yes,
        wire::Executed::Unknown | wire::Executed::Unspecified => Executed::Unknown,
    }
}

fn failure(reason: wire::RefusalReason) -> AttemptFailure {
    match reason {
        wire::RefusalReason::Draining => AttemptFailure::Draining,
        wire::RefusalReason::Overloaded => AttemptFailure::Overloaded,
        wire::RefusalReason::Deadline => AttemptFailure::Deadline,
        wire::RefusalReason::StoreUnavailable => AttemptFailure::StoreUnavailable,
        wire::RefusalReason::OutcomeUnknown => AttemptFailure::OutcomeUnknown,
        wire::RefusalReason::StaleConfig => AttemptFailure::StaleConfig,
        wire::RefusalReason::Fingerprint => AttemptFailure::CrashingRequest,
        wire::RefusalReason::Cancelled => AttemptFailure::Cancelled,
        wire::RefusalReason::TargetUnreachable => AttemptFailure::TargetUnreachable,
        wire::RefusalReason::TargetCrashed => AttemptFailure::TargetCrashed,
        wire::RefusalReason::KeyReused => AttemptFailure::KeyReused,
        wire::RefusalReason::TargetFailed
        | wire::RefusalReason::NotPermitted
        | wire::RefusalReason::Unspecified => AttemptFailure::TargetFailed,
    }
}
