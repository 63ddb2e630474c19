//! Decides what follows an attempt at a target that gave no answer to pass on.
//!
//! Load pattern: failures that come in numbers, as when a target dies or a group stalls. Each
//! request may then be sent once more, but all entries together only within a share of their
//! requests, so that failures do not multiply load.

use std::time::Duration;

use crate::direct::message::{Cause, LocalAnswer};
use crate::problem::Executed;

/// Time that must be left for another attempt to be of use.
pub const MIN_TIME_FOR_ATTEMPT: Duration = Duration::from_millis(30);

/// Sends in all, so that a request does not go round targets that are all gone.
pub const MAX_ARRIVALS: u32 = 3;

/// When a caller may come back whose request did not run, where nothing better is known.
pub const RETRY_AFTER: Duration = Duration::from_millis(500);

/// Failure is how an attempt ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Failure {
    /// Why.
    pub cause: Cause,
    /// Whether the target ran the request.
    pub executed: Executed,
    /// When to come back, if the target said so.
    pub retry_after: Option<Duration>,
}

/// History is what became of a request so far.
#[derive(Clone, Copy, Debug)]
pub struct History {
    /// True where a run may be repeated.
    pub may_repeat: bool,
    /// Targets that the request was sent to; those that cannot have seen it don't count.
    pub sent: u32,
    /// The largest number of targets that it may be sent to.
    pub max_targets: u32,
    /// Sends that reached a target, or another process at its address.
    pub arrivals: u32,
    /// True where an earlier attempt may have run.
    pub may_have_run: bool,
    /// The time until the request's end.
    pub time_left: Duration,
}

/// Next is what follows a failure.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Next {
    /// The request goes to another target, if the budget allows it.
    Again,
    /// The caller gets the final answer.
    Final(LocalAnswer),
}

/// Decides what follows a failure.
pub fn next(history: &History, failure: &Failure) -> Next {
    let may_have_run = history.may_have_run || failure.executed != Executed::No;
    let safe = history.may_repeat || !may_have_run;
    let in_time = history.time_left >= MIN_TIME_FOR_ATTEMPT;
    let more = history.sent < history.max_targets && history.arrivals < MAX_ARRIVALS;
    match safe && in_time && more {
        true => Next::Again,
        false => Next::Final(final_answer(history, failure)),
    }
}

/// Returns the caller's final answer after a failure.
pub fn final_answer(history: &History, failure: &Failure) -> LocalAnswer {
    let executed = match (failure.executed, history.may_have_run) {
        (Executed::No, true) => Executed::Unknown,
        (executed, _) => executed,
    };
    let worth_another_try = executed == Executed::No || history.may_repeat;
    let retry_after = failure.retry_after.or(worth_another_try.then_some(RETRY_AFTER));
    LocalAnswer { cause: failure.cause, executed, retry_after }
}
