//! What the entry knows of targets: links, reports, ejection and return.

use std::sync::Arc;
use std::time::Duration;

use crate::collections::Set;
use crate::config::view;
use crate::entry::core::events::{AttemptFailure, Effect, Executed, TargetReport};
use crate::entry::core::tables::{Attempt, AttemptNumber, Tables, Target};
use crate::entry::core::{EntryWorld, retry};

/// Failures in a row after which a target gets no work for a while.
const FAILURES_BEFORE_EJECTION: u32 = 3;
/// The ejection doubles with each further failure, up to this factor.
const MAX_EJECTION_FACTOR: u32 = 8;

/// Takes a newer configuration in; targets that it no longer names are forgotten once their link
/// is down.
pub fn reconfigure(tables: &mut Tables, view: Arc<view::View>) {
    let declared: Set<&str> = view.targets().iter().map(|target| target.name.as_str()).collect();
    tables
        .targets
        .retain(|name, target| declared.contains(name.as_str()) || target.incarnation.is_some());
    for name in declared {
        if !tables.targets.contains_key(name) {
            tables.targets.insert(name.to_owned(), Target::default());
        }
    }
    tables.view = view;
}

/// Notes that the link to a target's agent is up.
pub fn link_up(tables: &mut Tables, now: Duration, name: &str, incarnation: u64, region: String) {
    let target = tables.targets.entry(name.to_owned()).or_default();
    target.region = region;
    target.incarnation = Some(incarnation);
    target.returned_at = now;
}

/// Ends every attempt at a target whose link is gone.
pub fn link_down(world: &mut EntryWorld, now: Duration, name: &str, effects: &mut Vec<Effect>) {
    if let Some(target) = world.tables.targets.get_mut(name) {
        target.incarnation = None;
    }
    let at_target =
        |(number, attempt): (&AttemptNumber, &Attempt)| (attempt.target == name).then_some(*number);
    let mut lost: Vec<AttemptNumber> = world.tables.attempts.iter().filter_map(at_target).collect();
    lost.sort_unstable();
    for attempt in lost {
        let failure = retry::Failure {
            cause: AttemptFailure::LinkLost,
            executed: Executed::Unknown,
            retry_after: None,
        };
        retry::failed(world, now, attempt, failure, effects);
    }
}

/// Takes an agent's report in; a target that takes work again starts slowly.
pub fn report(tables: &mut Tables, now: Duration, name: &str, report: TargetReport) {
    let Some(target) = tables.targets.get_mut(name) else { return };
    if report.takes_work && !target.report.takes_work {
        target.returned_at = now;
    }
    target.report = report;
}

/// Counts a failure against a target and ejects it when there are too many in a row.
pub fn record_failure(world: &mut EntryWorld, now: Duration, name: &str) {
    let base = world.options.base_ejection;
    let Some(target) = world.tables.targets.get_mut(name) else { return };
    target.failures = target.failures.saturating_add(1);
    if target.failures < FAILURES_BEFORE_EJECTION {
        return;
    }
    let beyond = target.failures - FAILURES_BEFORE_EJECTION;
    let factor = 2_u32.saturating_pow(beyond).min(MAX_EJECTION_FACTOR);
    target.ejected_until = now + base * factor;
    target.returned_at = target.ejected_until;
}

/// Takes an attempt out of the tables; none where it ended before.
pub fn end_attempt(tables: &mut Tables, number: AttemptNumber) -> Option<Attempt> {
    let ended = tables.attempts.remove(&number)?;
    if let Some(target) = tables.targets.get_mut(&ended.target) {
        target.in_flight = target.in_flight.saturating_sub(1);
    }
    if let Some(request) = tables.requests.get_mut(&ended.request) {
        request.attempt = None;
    }
    Some(ended)
}
