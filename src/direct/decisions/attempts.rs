//! Decides whether a request is retried after an attempt that gave no answer to relay.
//!
//! Load pattern: many failures at once, as when a target dies or a group stalls. Each request may
//! then be sent to another target, but all entries together retry only a share of their requests,
//! so that failures do not multiply the load.

use std::time::Duration;

use crate::direct::decisions::admission;
use crate::direct::message::{Cause, LocalAnswer};
use crate::problem::Executed;

/// Time that must be left before the deadline for another attempt to be worthwhile.
pub const MIN_TIME_FOR_ATTEMPT: Duration = Duration::from_millis(30);

/// Limit of the attempts of one request that reach a process, so that it does not try one replaced
/// target after another.
pub const MAX_DELIVERIES: u32 = 3;

/// Retry-after of a request that did not run, where the target gave none.
pub const RETRY_AFTER: Duration = Duration::from_millis(500);

/// A failed attempt at a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Failure {
    /// The reason that logs and the caller's answer give.
    pub cause: Cause,
    /// Whether the target ran the request.
    pub executed: Executed,
    /// The target's retry-after, if it sent one.
    pub retry_after: Option<Duration>,
}

/// The attempts of a request so far, and what its route allows.
#[derive(Clone, Copy, Debug)]
pub struct History {
    /// True if the request is idempotent, so that it may run more than once.
    pub may_repeat: bool,
    /// Targets that may have received the request.
    pub sent: u32,
    /// The limit of `sent`, set by the route.
    pub max_targets: u32,
    /// Attempts that reached the target, or another process that now has its address; limited by
    /// [`MAX_DELIVERIES`].
    pub deliveries: u32,
    /// True if an earlier attempt may have run.
    pub may_have_run: bool,
    /// The time until the request's deadline.
    pub time_left: Duration,
    /// The time until a target of the service may be sent a request again, if all are in a backoff.
    pub backoff_left: Option<Duration>,
}

/// What follows a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Next {
    /// The request is sent to another target, if the retry budget allows it.
    Again,
    /// The caller gets this answer.
    Final(LocalAnswer),
}

/// Decides whether a request is sent again after a failed attempt.
pub fn next(history: &History, failure: &Failure) -> Next {
    let may_have_run = history.may_have_run || failure.executed != Executed::No;
    let safe = history.may_repeat || !may_have_run;
    let time_remains = history.time_left >= MIN_TIME_FOR_ATTEMPT;
    let attempts_remain = history.sent < history.max_targets && history.deliveries < MAX_DELIVERIES;
    match safe && time_remains && attempts_remain {
        true => Next::Again,
        false => Next::Final(final_answer(history, failure)),
    }
}

/// Returns the answer that the caller gets if the request is not sent again.
pub fn final_answer(history: &History, failure: &Failure) -> LocalAnswer {
    let executed = match (failure.executed, history.may_have_run) {
        (Executed::No, true) => Executed::Unknown,
        (executed, _) => executed,
    };
    let caller_may_retry = executed == Executed::No || history.may_repeat;
    let asked = match failure.cause {
        // Other targets may be free, so the target's own backoff does not concern the caller.
        Cause::TargetFull => history.backoff_left.map(|left| left.max(admission::MIN_RETRY_AFTER)),
        _ => failure.retry_after,
    };
    let retry_after = asked.or(caller_may_retry.then_some(RETRY_AFTER));
    LocalAnswer { cause: failure.cause, executed, retry_after }
}
