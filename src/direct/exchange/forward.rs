//! Sends a request to a target and relays the answer.
//!
//! Invariants under any failure: a relayed answer comes from the target, is complete and belongs to
//! this request; a request that may have run is sent again only if it is idempotent; no work
//! continues for a caller that has disconnected, since all of it happens in the future that answers
//! the caller.

use std::rc::Rc;

use actix_http::StatusCode;
use bytes::Bytes;
use tokio::time;

use crate::direct::decisions::admission;
use crate::direct::decisions::attempts::{self, Failure, Next};
use crate::direct::exchange::attempt::{self as target_attempt, AttemptAnswer, StartedAnswer};
use crate::direct::exchange::call::Call;
use crate::direct::exchange::relay::Relay;
use crate::direct::exchange::slot_wait;
use crate::direct::message::{Answer, CallerRequest, Cause, Head, LocalAnswer, TargetAnswer};
use crate::direct::state::entry::Entry;
use crate::problem::Executed;

/// Handles a caller's request and returns the answer.
pub async fn answer(entry: &Rc<Entry>, caller: CallerRequest) -> Answer {
    let mut call = match Call::admit(entry, caller) {
        Ok(call) => call,
        Err(local) => return Answer::Local(local),
    };
    let left = call.time_left();
    let result = time::timeout(left, run(&mut call)).await;
    match result {
        Ok(RunResult::Document(head, body)) => {
            let took = call.entry.now().saturating_sub(call.caller.arrived);
            call.entry.metrics.document(took);
            call.record_relayed("answered", head.status.as_u16());
            Answer::Complete(head, body)
        }
        Ok(RunResult::Stream(head, started)) => Relay::start(call, *started).into_answer(head),
        Ok(RunResult::Local(local)) => {
            call.record_local_answer(&local);
            Answer::Local(local)
        }
        Err(_elapsed) => {
            let executed = if call.sent == 0 { Executed::No } else { Executed::Unknown };
            let local = attempts::final_answer(
                &call.history(),
                &Failure { cause: Cause::TimedOut, executed, retry_after: None },
            );
            call.record_local_answer(&local);
            Answer::Local(local)
        }
    }
}

/// The result of a request up to the head of its answer.
enum RunResult {
    Document(Head, Bytes),
    Stream(Head, Box<StartedAnswer>),
    Local(LocalAnswer),
}

async fn run(call: &mut Call) -> RunResult {
    let mut fallback = None;
    loop {
        let wait = admission::max_wait(call.route.objective, call.time_left());
        let (target, slot) = match slot_wait::acquire(call, wait).await {
            Ok(acquired) => acquired,
            Err(local) => return fallback_or(fallback, local),
        };
        let result = target_attempt::attempt(call, &target, slot, None).await;
        let failure = match result {
            Ok(AttemptAnswer::Document(answer, _) | AttemptAnswer::Stream(answer, _))
                if denies_run(call, &answer) =>
            {
                Failure { cause: Cause::Broken, executed: Executed::Unknown, retry_after: None }
            }
            Ok(AttemptAnswer::Document(answer, body)) if is_failure(&answer) => {
                let failure = Failure {
                    cause: Cause::Broken,
                    executed: Executed::Yes,
                    retry_after: answer.retry_after.unwrap_or_default(),
                };
                fallback = Some((Head { status: answer.status, headers: answer.headers }, body));
                failure
            }
            Ok(AttemptAnswer::Document(answer, body)) => {
                call.entry.metrics.attempt("answered");
                return RunResult::Document(
                    Head { status: answer.status, headers: answer.headers },
                    body,
                );
            }
            Ok(AttemptAnswer::Stream(answer, started)) => {
                call.entry.metrics.attempt("answered");
                return RunResult::Stream(
                    Head { status: answer.status, headers: answer.headers },
                    started,
                );
            }
            Err(failure) => failure,
        };
        call.record_failure(&target.id, &failure);
        match attempts::next(&call.history(), &failure) {
            Next::Again if call.deliveries == 0 || call.entry.spend_retry(&call.service, false) => {
            }
            Next::Again => {
                let local = attempts::final_answer(&call.history(), &failure);
                return fallback_or(fallback, local);
            }
            Next::Final(local) => return fallback_or(fallback, local),
        }
    }
}

/// Returns a target's server error if there is one, rather than an answer made by the entry.
fn fallback_or(fallback: Option<(Head, Bytes)>, local: LocalAnswer) -> RunResult {
    match fallback {
        Some((head, body)) => RunResult::Document(head, body),
        None => RunResult::Local(local),
    }
}

/// Returns true if callers take the status for the promise that the request has not run, which the
/// target has not given, and if a request that has run must not be sent again.
fn denies_run(call: &Call, answer: &TargetAnswer) -> bool {
    let promises = [
        StatusCode::REQUEST_TIMEOUT,
        StatusCode::MISDIRECTED_REQUEST,
        StatusCode::TOO_MANY_REQUESTS,
        StatusCode::SERVICE_UNAVAILABLE,
    ];
    !call.route.may_repeat() && promises.contains(&answer.status)
}

fn is_failure(answer: &TargetAnswer) -> bool {
    answer.status.is_server_error()
}
