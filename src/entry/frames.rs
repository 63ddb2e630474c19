//! Converts between frames of the wire protocol and events of the core.

use std::time::Duration;

use crate::entry::core::events::{AttemptFailure, CrashReport, Event, Executed, TargetReport};
use crate::entry::core::tables::AttemptNumber;
use crate::wire;

/// Returns the load and availability of the target from its agent's heartbeat.
pub fn target_report(heartbeat: &wire::Heartbeat) -> TargetReport {
    let load = heartbeat.load.unwrap_or_default();
    TargetReport {
        running: load.running,
        queued: load.queued,
        slots: load.slots,
        draining: heartbeat.draining,
        takes_work: load.takes_work,
    }
}

/// Returns the crash reports that a heartbeat contains.
pub fn crash_reports(heartbeat: &wire::Heartbeat) -> Vec<CrashReport> {
    let report = |known: &wire::Fingerprint| CrashReport {
        fingerprint: known.hash,
        crash_ids: known.crash_ids.clone(),
        ttl: Duration::from_millis(known.ttl_ms),
    };
    heartbeat.fingerprints.iter().map(report).collect()
}

/// Converts crash reports for the entry's own heartbeat.
pub fn fingerprints(reports: &[CrashReport]) -> Vec<wire::Fingerprint> {
    let fingerprint = |report: &CrashReport| wire::Fingerprint {
        hash: report.fingerprint,
        ttl_ms: u64::try_from(report.ttl.as_millis()).unwrap_or(u64::MAX),
        crash_ids: report.crash_ids.clone(),
    };
    reports.iter().map(fingerprint).collect()
}

/// Returns the event for an agent's refusal, or `None` if the refusal names no attempt.
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
