//! Decides what follows an attempt that got no whole answer.
//!
//! A request that did not run may always be tried elsewhere. One that may have run is tried again
//! only where it is idempotent; otherwise the claim's holder is asked once more with the same key,
//! which never runs it twice. Retries spend from a budget, so that failures do not multiply load.

use std::time::Duration;

use crate::entry::core::events::{AttemptFailure, Effect, Executed, Refusal, RefusalReason};
use crate::entry::core::tables::{AttemptNumber, Request, RequestId};
use crate::entry::core::{EntryWorld, crashes, routing, targets};

/// When to come back where no target takes work.
const NO_TARGET_RETRY_AFTER: Duration = Duration::from_secs(2);
/// When to come back where the last failure gave no time.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Failure is how an attempt ended.
#[derive(Clone, Copy, Debug)]
pub struct Failure {
    /// Why.
    pub cause: AttemptFailure,
    /// Whether the target ran it.
    pub executed: Executed,
    /// When to come back.
    pub retry_after: Option<Duration>,
}

/// Budget bounds retries to a share of first tries.
#[derive(Debug)]
pub struct Budget {
    share: f64,
    burst: f64,
    left: f64,
}

impl Budget {
    /// Returns a full budget.
    pub fn new(share: f64, burst: f64) -> Self {
        Self { share, burst, left: burst }
    }

    /// Returns a budget that has to be earned first.
    pub fn empty(share: f64, burst: f64) -> Self {
        Self { share, burst, left: 0.0 }
    }

    /// Adds the share of one first try.
    pub fn earn(&mut self) {
        self.add(self.share);
    }

    /// Adds retries, as far as they may be saved up.
    pub fn add(&mut self, retries: f64) {
        self.left = (self.left + retries).min(self.burst);
    }

    /// Changes how many retries may be saved up.
    pub fn set_burst(&mut self, burst: f64) {
        self.burst = burst;
        self.left = self.left.min(burst);
    }

    /// Tells whether a retry is left.
    pub fn has_retry_left(&self) -> bool {
        self.left >= 1.0
    }

    /// Takes one retry, if there is one left. What keeps an answer whole of which the caller has
    /// a part may overdraw the budget.
    pub fn spend(&mut self, may_overdraw: bool) -> bool {
        let floor = if may_overdraw { -self.burst } else { 0.0 };
        let enough = self.left - 1.0 >= floor;
        if enough {
            self.left -= 1.0;
        }
        enough
    }
}

/// Handles an answer that broke off or whose pieces did not fit.
pub fn broken(
    world: &mut EntryWorld,
    now: Duration,
    attempt: AttemptNumber,
    effects: &mut Vec<Effect>,
) {
    let Some(target) = world.tables.attempts.get(&attempt).map(|open| open.target.clone()) else {
        return;
    };
    effects.push(Effect::Cancel { attempt, target });
    let failure = Failure {
        cause: AttemptFailure::AnswerInterrupted,
        executed: Executed::Yes,
        retry_after: None,
    };
    failed(world, now, attempt, failure, effects);
}

/// Handles an attempt that got no whole answer: another attempt, or the request's final answer.
pub fn failed(
    world: &mut EntryWorld,
    now: Duration,
    attempt: AttemptNumber,
    failure: Failure,
    effects: &mut Vec<Effect>,
) {
    let Some(ended) = targets::end_attempt(&mut world.tables, attempt) else { return };
    if is_targets_fault(failure.cause) {
        targets::record_failure(world, now, &ended.target);
    }
    let Some(request) = world.tables.requests.get_mut(&ended.request) else { return };
    if failure.executed != Executed::No && world.options.remember_runs {
        request.may_have_run = true;
    }
    request.crashed |= failure.cause == AttemptFailure::TargetCrashed;
    note_avoided(request, &ended.target, failure);
    let resumes = request.answer_started;
    let again = may_try_again(world, ended.request, failure) && world.budget.spend(resumes);
    let next = again.then(|| routing::start(world, now, ended.request)).flatten();
    match next {
        Some(start) => effects.push(Effect::Start(start)),
        None => give_up(world, now, ended.request, failure, effects),
    }
}

/// The claim's holder is the only one that can tell what came of a claimed request, so it is
/// avoided only where it did not run the request.
fn note_avoided(request: &mut Request, target: &str, failure: Failure) {
    let asked_again = request.claim_key.is_some() && failure.executed != Executed::No;
    if !asked_again && !request.avoided.iter().any(|name| name == target) {
        request.avoided.push(target.to_owned());
    }
}

fn is_targets_fault(cause: AttemptFailure) -> bool {
    matches!(
        cause,
        AttemptFailure::TargetFailed
            | AttemptFailure::TargetUnreachable
            | AttemptFailure::TargetCrashed
            | AttemptFailure::AnswerInterrupted
    )
}

/// Some failures say that no other attempt would end better.
fn is_final(cause: AttemptFailure) -> bool {
    matches!(
        cause,
        AttemptFailure::Deadline
            | AttemptFailure::OutcomeUnknown
            | AttemptFailure::CrashingRequest
            | AttemptFailure::Cancelled
            | AttemptFailure::KeyReused
            | AttemptFailure::StoreUnavailable
    )
}

fn may_try_again(world: &EntryWorld, id: RequestId, failure: Failure) -> bool {
    let Some(request) = world.tables.requests.get(&id) else { return false };
    if is_final(failure.cause) || request.tries >= world.options.max_tries {
        return false;
    }
    let fingerprint = request.submitted.fingerprint;
    let crashing = crashes::crashes_of(&world.tables, fingerprint) >= crashes::MAX_CRASHES;
    if crashing && world.options.refuse_crashing {
        return false;
    }
    if request.answer_started {
        return request.submitted.resumable;
    }
    true
}

/// Returns the refusal where no target takes work.
pub fn no_target() -> Refusal {
    Refusal {
        reason: RefusalReason::NoTarget,
        executed: Executed::No,
        retry_after: Some(NO_TARGET_RETRY_AFTER),
    }
}

fn give_up(
    world: &mut EntryWorld,
    now: Duration,
    id: RequestId,
    failure: Failure,
    effects: &mut Vec<Effect>,
) {
    let Some(request) = world.tables.requests.get(&id) else { return };
    let executed = match (failure.executed, request.may_have_run) {
        (Executed::No, true) => Executed::Unknown,
        (executed, _) => executed,
    };
    let idempotent = request.claim_key.is_none();
    let worth_another_try = executed == Executed::No || idempotent;
    let retry_after =
        failure.retry_after.or_else(|| worth_another_try.then_some(DEFAULT_RETRY_AFTER));
    let reason = RefusalReason::Attempt(failure.cause);
    world.refuse(now, id, Refusal { reason, executed, retry_after }, effects);
}
