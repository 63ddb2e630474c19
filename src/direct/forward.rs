//! Sends a request to a target and passes the answer on.
//!
//! What must hold whatever fails: an answer is the target's own, whole, and to this request; a run
//! is repeated only where it may be; nothing goes on for a caller that has left, since all of it
//! hangs on the future that answers the caller.

use std::rc::Rc;
use std::time::Duration;

use actix_http::StatusCode;
use bytes::{Bytes, BytesMut};
use tokio::time;

use crate::direct::attempts::{self, Failure, Next};
use crate::direct::call::Call;
use crate::direct::entry::{Entry, Place};
use crate::direct::http::{Connection, Request};
use crate::direct::message::{
    Answer, AttemptError, CallerRequest, Cause, Head, LocalAnswer, TargetAnswer, TargetRequest,
};
use crate::direct::placing;
use crate::direct::pool::Reuse;
use crate::direct::relay::Relay;
use crate::direct::targets::{Outcome, Target};
use crate::direct::waiting;
use crate::problem::Executed;
use crate::telemetry::events;

/// How long a connection to a target may take to come up. A target in the same region answers
/// within a few milliseconds; a lost opening packet is sent again only after a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Bytes of a document that is read whole before any of it is passed on, so that a broken one is
/// fetched again; a longer one is passed on as it arrives.
const MAX_HELD_BYTES: usize = 256 * 1024;

/// Answers on a connection that belong to earlier requests and are passed over.
const MAX_LATE_ANSWERS: usize = 4;

/// Longest silence of a target, in objectives, before a request that may be repeated is sent to
/// another one.
const SILENT_OBJECTIVES: u32 = 3;

/// Answers a caller's request.
pub async fn answer(entry: &Rc<Entry>, caller: CallerRequest) -> Answer {
    let mut call = match Call::admit(entry, caller) {
        Ok(call) => call,
        Err(local) => return Answer::Local(local),
    };
    let left = call.time_left();
    let done = time::timeout(left, run(&mut call)).await;
    match done {
        Ok(Reached::Document(head, body)) => {
            let took = call.entry.now().saturating_sub(call.caller.arrived);
            call.entry.metrics.document(took);
            call.passed_on("answered", head.status.as_u16());
            Answer::Complete(head, body)
        }
        Ok(Reached::Stream(head, opened)) => Relay::start(call, *opened).into_answer(head),
        Ok(Reached::Local(local)) => {
            call.refused(&local);
            Answer::Local(local)
        }
        Err(_elapsed) => {
            let executed = if call.sent == 0 { Executed::No } else { Executed::Unknown };
            let local = attempts::final_answer(
                &call.history(),
                &Failure { cause: Cause::TimedOut, executed, retry_after: None },
            );
            call.refused(&local);
            Answer::Local(local)
        }
    }
}

/// Reached is how far a request came before its head is passed on.
enum Reached {
    Document(Head, Bytes),
    Stream(Head, Box<Opened>),
    Local(LocalAnswer),
}

/// Opened is an answer whose head and first piece are there.
pub struct Opened {
    /// The target.
    pub target: Target,
    /// Its connection.
    pub connection: Connection,
    /// The place at the target.
    pub place: Place,
    /// The first bytes of the body.
    pub first: Bytes,
    /// How long the connection may be kept idle later on.
    pub idle_limit: Option<Duration>,
}

/// Got is what an attempt brought.
enum Got {
    Document(TargetAnswer, Bytes),
    Stream(TargetAnswer, Box<Opened>),
}

async fn run(call: &mut Call) -> Reached {
    let mut fallback = None;
    loop {
        let wait = waiting::longest_wait(call.route.objective, call.time_left());
        let (target, place) = match placing::place(call, wait).await {
            Ok(found) => found,
            Err(local) => return last_resort(fallback, local),
        };
        let got = attempt(call, &target, place, None).await;
        let failure = match got {
            Ok(Got::Document(answer, body)) if is_failure(&answer) => {
                let failure = Failure {
                    cause: Cause::Broken,
                    executed: Executed::Yes,
                    retry_after: answer.retry_after,
                };
                fallback = Some((Head { status: answer.status, headers: answer.headers }, body));
                failure
            }
            Ok(Got::Document(answer, body)) => {
                call.entry.metrics.attempt("answered");
                return Reached::Document(
                    Head { status: answer.status, headers: answer.headers },
                    body,
                );
            }
            Ok(Got::Stream(answer, opened)) => {
                call.entry.metrics.attempt("answered");
                return Reached::Stream(
                    Head { status: answer.status, headers: answer.headers },
                    opened,
                );
            }
            Err(failure) => failure,
        };
        call.failed(&target.id, &failure);
        match attempts::next(&call.history(), &failure) {
            Next::Again if call.arrivals == 0 || call.entry.spend_retry(&call.service, false) => {}
            Next::Again => {
                let local = attempts::final_answer(&call.history(), &failure);
                return last_resort(fallback, local);
            }
            Next::Final(local) => return last_resort(fallback, local),
        }
    }
}

/// Prefers a failure response from a target over an answer made by the entry.
fn last_resort(fallback: Option<(Head, Bytes)>, local: LocalAnswer) -> Reached {
    match fallback {
        Some((head, body)) => Reached::Document(head, body),
        None => Reached::Local(local),
    }
}

fn is_failure(answer: &TargetAnswer) -> bool {
    answer.status.is_server_error()
}

/// Sends the request to a target and reads its answer up to the first piece.
async fn attempt(
    call: &mut Call,
    target: &Target,
    place: Place,
    resume_after: Option<&str>,
) -> Result<Got, Failure> {
    call.tried.push(target.id.clone());
    let mut connection = connect(call, target).await?;
    call.sent += 1;
    call.arrivals += 1;
    let limit = silence_limit(call);
    let got = exchange(call, target, &mut connection, resume_after, limit).await;
    let (answer, body) = match got {
        Ok(got) => got,
        Err(error) => return Err(broken(call, target, &error)),
    };
    if answer.other_incarnation {
        // Another process has the address now, so the target that was meant has not seen it.
        call.sent -= 1;
        call.entry.learn(&target.id, Outcome::Replaced);
        return Err(not_run(Cause::Unreachable, &answer));
    }
    if answer.not_run {
        let closed = call.pace.is_some() && call.entry.targets.borrow().is_idle(&target.id);
        call.entry.learn(&target.id, if closed { Outcome::Closed } else { Outcome::Full });
        call.entry.pool.put_back(target.addr, connection, answer.idle_limit);
        return Err(not_run(Cause::TargetFull, &answer));
    }
    let failed = answer.status.is_server_error();
    call.entry.learn(&target.id, if failed { Outcome::Failed } else { Outcome::Answered });
    match body {
        Body::Whole(body) => {
            call.entry.pool.put_back(target.addr, connection, answer.idle_limit);
            Ok(Got::Document(answer, body))
        }
        Body::Begun(first) => {
            let idle_limit = answer.idle_limit;
            let target = target.clone();
            let opened = Opened { target, connection, place, first, idle_limit };
            Ok(Got::Stream(answer, Box::new(opened)))
        }
    }
}

/// Sends what is left of a broken answer's request to another target.
///
/// # Errors
///
/// Returns how the attempt failed.
pub async fn resume(
    call: &mut Call,
    target: &Target,
    place: Place,
    last_id: &str,
) -> Result<Opened, Failure> {
    match attempt(call, target, place, Some(last_id)).await? {
        Got::Stream(answer, opened) if answer.status.is_success() => Ok(*opened),
        Got::Stream(..) | Got::Document(..) => {
            Err(Failure { cause: Cause::Broken, executed: Executed::Yes, retry_after: None })
        }
    }
}

fn not_run(cause: Cause, answer: &TargetAnswer) -> Failure {
    Failure { cause, executed: Executed::No, retry_after: answer.retry_after }
}

fn broken(call: &Call, target: &Target, error: &AttemptError) -> Failure {
    call.entry.learn(&target.id, Outcome::Broken);
    events::log(
        events::EXCHANGE_FAILED,
        format_args!("id={} target={} cause=\"{error}\"", call.caller.id, target.id),
    );
    Failure { cause: Cause::Broken, executed: Executed::Unknown, retry_after: None }
}

/// Returns how long a target may be silent before the request goes to another one.
pub fn silence_limit(call: &Call) -> Option<Duration> {
    let more = call.route.may_repeat() && call.sent < call.route.max_targets;
    let crowded = call.entry.with_pressure(&call.service, |pressure| pressure.is_crowded());
    let limit = call.route.objective * SILENT_OBJECTIVES;
    let affordable = call.entry.may_retry(&call.service);
    (more && !crowded && affordable).then_some(limit)
}

async fn connect(call: &Call, target: &Target) -> Result<Connection, Failure> {
    let entry = &call.entry;
    let reuse = if call.route.may_repeat() { Reuse::Any } else { Reuse::RecentOnly };
    if let Some(connection) = entry.pool.take(target.addr, reuse) {
        return Ok(connection);
    }
    let timeout = CONNECT_TIMEOUT.min(call.time_left());
    entry.pool.open(target.addr, timeout).await.map_err(|source| {
        let error = AttemptError::Unreachable { addr: target.addr, source };
        let failure = broken(call, target, &error);
        Failure { cause: Cause::Unreachable, executed: Executed::No, ..failure }
    })
}

/// Body is as much of an answer's body as is read before its head is passed on.
enum Body {
    Whole(Bytes),
    Begun(Bytes),
}

async fn exchange(
    call: &Call,
    target: &Target,
    connection: &mut Connection,
    resume_after: Option<&str>,
    limit: Option<Duration>,
) -> Result<(TargetAnswer, Body), AttemptError> {
    let target_request = TargetRequest {
        caller: &call.caller,
        time_left: call.time_left(),
        only_target: &target.id,
        customer: call.customer.as_deref(),
        resume_after,
    };
    let request = Request {
        method: call.caller.method.clone(),
        uri: call.caller.uri.clone(),
        headers: (call.entry.protocol.encode)(&target_request),
        body: call.caller.body.clone(),
    };
    connection.send(&request).await?;
    let read = read(call, connection);
    match limit {
        None => read.await,
        Some(limit) => time::timeout(limit, read).await.map_err(|_| AttemptError::Silent(limit))?,
    }
}

async fn read(
    call: &Call,
    connection: &mut Connection,
) -> Result<(TargetAnswer, Body), AttemptError> {
    let answer = own_answer(call, connection).await?;
    let streamed = call.wants_events() && answer.status.is_success();
    let mut held = BytesMut::new();
    while let Some(piece) = connection.piece().await? {
        held.extend_from_slice(&piece);
        if (streamed && !held.is_empty()) || held.len() > MAX_HELD_BYTES {
            return Ok((answer, Body::Begun(held.freeze())));
        }
    }
    Ok((answer, Body::Whole(held.freeze())))
}

/// Reads heads until one answers this request. Answers to earlier requests may arrive late.
async fn own_answer(
    call: &Call,
    connection: &mut Connection,
) -> Result<TargetAnswer, AttemptError> {
    for _ in 0..MAX_LATE_ANSWERS {
        let answer = (call.entry.protocol.decode)(&connection.head().await?);
        match answer.answers.as_deref() {
            Some(id) if id == call.caller.id => return checked(answer),
            Some(_) => {
                connection.body(MAX_HELD_BYTES).await?;
            }
            None if answer.not_run || answer.other_incarnation => return Ok(answer),
            None if !answer.sealed && answer.status.is_success() => {
                return Err(AttemptError::Foreign);
            }
            None => return checked(answer),
        }
    }
    Err(AttemptError::Foreign)
}

fn checked(answer: TargetAnswer) -> Result<TargetAnswer, AttemptError> {
    let claims_run = answer.status.is_success() || answer.status == StatusCode::NOT_MODIFIED;
    match claims_run && !answer.sealed {
        true => Err(AttemptError::Foreign),
        false => Ok(answer),
    }
}
