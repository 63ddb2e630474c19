//! Decides what follows an attempt that got no complete answer.
//!
//! A request that did not run may always be retried at another target. One that may have run is
//! retried elsewhere only if it is idempotent; otherwise it is sent again to the agent that holds
//! its claim, which never runs the same key twice. Retries are taken from a budget, so that
//! failures do not multiply the load.

use std::time::Duration;

use crate::entry::core::events::{AttemptFailure, Effect, Executed, Refusal, RefusalReason};
use crate::entry::core::tables::{AttemptNumber, Request, RequestId};
use crate::entry::core::{EntryWorld, crashes, routing, targets};

/// The delay after which a caller should retry if no target is available.
const NO_TARGET_RETRY_AFTER: Duration = Duration::from_secs(2);
/// The delay after which a caller should retry if the last failure gave none.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The failure of an attempt.
#[derive(Clone, Copy, Debug)]
pub struct Failure {
    /// The reason of the failure.
    pub cause: AttemptFailure,
    /// Whether the target executed the attempt.
    pub executed: Executed,
    /// The delay that the agent suggests before a retry; `None` if it gave none.
    pub retry_after: Option<Duration>,
}

/// A token bucket that limits retries to a fraction of the first attempts.
#[derive(Debug)]
pub struct Budget {
    share: f64,
    burst: f64,
    balance: f64,
}

impl Budget {
    /// Returns a budget that adds `share` of a retry per first attempt and holds at most `burst`
    /// retries, with which it starts.
    pub fn new(share: f64, burst: f64) -> Self {
        Self { share, burst, balance: burst }
    }

    /// Returns a budget that starts with no retries.
    pub fn empty(share: f64, burst: f64) -> Self {
        Self { share, burst, balance: 0.0 }
    }

    /// Adds the share of a retry for one first attempt.
    pub fn earn(&mut self) {
        self.add(self.share);
    }

    /// Adds retries, up to the limit.
    pub fn add(&mut self, retries: f64) {
        self.balance = (self.balance + retries).min(self.burst);
    }

    /// Sets the largest number of retries that the budget can hold.
    pub fn set_burst(&mut self, burst: f64) {
        self.burst = burst;
        self.balance = self.balance.min(burst);
    }

    /// Returns the retries that are left; below 0 if the budget is overdrawn.
    pub fn balance(&self) -> f64 {
        self.balance
    }

    /// Returns true if at least one retry is left.
    pub fn has_retry_left(&self) -> bool {
        self.balance >= 1.0
    }

    /// Takes one retry and returns true if the budget allows it. A retry that completes an answer
    /// of which the caller already has a part may overdraw the budget, by up to `burst` retries.
    pub fn spend(&mut self, may_overdraw: bool) -> bool {
        let floor = if may_overdraw { -self.burst } else { 0.0 };
        let enough = self.balance - 1.0 >= floor;
        if enough {
            self.balance -= 1.0;
        }
        enough
    }
}

/// Handles an answer that was interrupted or whose frames were inconsistent.
pub fn answer_interrupted(
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

/// Handles an attempt that got no complete answer: starts another attempt, or refuses the request.
pub fn failed(
    world: &mut EntryWorld,
    now: Duration,
    attempt: AttemptNumber,
    failure: Failure,
    effects: &mut Vec<Effect>,
) {
    let Some(ended) = targets::end_attempt(&mut world.tables, attempt) else { return };
    if is_target_fault(failure.cause) {
        targets::record_failure(world, now, &ended.target);
    }
    let Some(request) = world.tables.requests.get_mut(&ended.request) else { return };
    if failure.executed != Executed::No && world.options.remember_runs {
        request.may_have_run = true;
    }
    request.crashed |= failure.cause == AttemptFailure::TargetCrashed;
    avoid_target(request, &ended.target, failure);
    let resumes = request.answer_started;
    let again = may_retry(world, ended.request, failure) && world.budget.spend(resumes);
    let next = again.then(|| routing::start(world, now, ended.request)).flatten();
    match next {
        Some(start) => effects.push(Effect::Start(start)),
        None => give_up(world, now, ended.request, failure, effects),
    }
}

/// Excludes the target from further attempts. For a request with a claim, only the agent that holds
/// the claim can report the outcome, so its target is excluded only if the agent reported that the
/// attempt did not run.
fn avoid_target(request: &mut Request, target: &str, failure: Failure) {
    let may_hold_claim = request.claim_key.is_some() && failure.executed != Executed::No;
    if !may_hold_claim && !request.avoided.iter().any(|name| name == target) {
        request.avoided.push(target.to_owned());
    }
}

/// Returns true if the failure counts towards the target's ejection.
fn is_target_fault(cause: AttemptFailure) -> bool {
    matches!(
        cause,
        AttemptFailure::TargetFailed
            | AttemptFailure::TargetUnreachable
            | AttemptFailure::TargetCrashed
            | AttemptFailure::AnswerInterrupted
    )
}

/// Returns true if no other attempt could succeed after the failure.
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

fn may_retry(world: &EntryWorld, id: RequestId, failure: Failure) -> bool {
    let Some(request) = world.tables.requests.get(&id) else { return false };
    if is_final(failure.cause) || request.tries >= world.options.max_tries {
        return false;
    }
    let fingerprint = request.submitted.fingerprint;
    let crashing = crashes::crash_count(&world.tables, fingerprint) >= crashes::MAX_CRASHES;
    if crashing && world.options.refuse_crashing {
        return false;
    }
    if request.answer_started {
        return request.submitted.resumable;
    }
    true
}

/// Returns the refusal for a request for which no target is available.
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
    let worth_retrying = executed == Executed::No || idempotent;
    let retry_after = failure.retry_after.or_else(|| worth_retrying.then_some(DEFAULT_RETRY_AFTER));
    let reason = RefusalReason::Attempt(failure.cause);
    world.refuse(now, id, Refusal { reason, executed, retry_after }, effects);
}
