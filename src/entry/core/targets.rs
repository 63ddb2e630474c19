//! Maintains the state of targets: links, reports, ejection and slow start.

use std::sync::Arc;
use std::time::Duration;

use crate::collections::Set;
use crate::config::view;
use crate::entry::core::events::{AttemptFailure, Effect, Executed, TargetReport};
use crate::entry::core::tables::{Attempt, AttemptNumber, Tables, Target};
use crate::entry::core::{EntryWorld, retry};

/// The number of failures in a row that ejects a target.
const FAILURES_BEFORE_EJECTION: u32 = 3;
/// The factor of the base time up to which an ejection doubles with each further failure.
const MAX_EJECTION_FACTOR: u32 = 8;

/// Applies a newer configuration. A target that it no longer declares is removed, or kept until a
/// later configuration if its link is up.
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

/// Records that the link to a target's agent is up, and begins the target's slow start.
pub fn link_up(tables: &mut Tables, now: Duration, name: &str, incarnation: u64, region: String) {
    let target = tables.targets.entry(name.to_owned()).or_default();
    target.region = region;
    target.incarnation = Some(incarnation);
    target.available_since = now;
}

/// Records that the link to a target's agent was lost, and fails the attempts at the target.
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

/// Records an agent's report; a target that became available again begins its slow start.
pub fn report(tables: &mut Tables, now: Duration, name: &str, report: TargetReport) {
    let Some(target) = tables.targets.get_mut(name) else { return };
    if report.takes_work && !target.report.takes_work {
        target.available_since = now;
    }
    target.report = report;
}

/// Counts a failure of a target, and ejects the target after too many in a row.
pub fn record_failure(world: &mut EntryWorld, now: Duration, name: &str) {
    let base = world.options.base_ejection;
    let Some(target) = world.tables.targets.get_mut(name) else { return };
    target.failures = target.failures.saturating_add(1);
    if target.failures < FAILURES_BEFORE_EJECTION {
        return;
    }
    let further_failures = target.failures - FAILURES_BEFORE_EJECTION;
    let factor = 2_u32.saturating_pow(further_failures).min(MAX_EJECTION_FACTOR);
    target.ejected_until = now + base * factor;
    target.available_since = target.ejected_until;
}

/// Removes an attempt from the tables and returns it; `None` if it had already ended.
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
