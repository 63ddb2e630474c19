//! One attempt of a request at a target, from the connection to the beginning of the answer.

use std::time::Duration;

use actix_http::StatusCode;
use actix_http::header;
use bytes::Bytes;

use crate::direct::connections::http::Connection;
use crate::direct::connections::pool::Reuse;
use crate::direct::decisions::attempts::Failure;
use crate::direct::exchange::call::Call;
use crate::direct::exchange::round_trip::{self, Body};
use crate::direct::exchange::silence;
use crate::direct::exchange::slot::Slot;
use crate::direct::exchange::target_notices;
use crate::direct::known::target::{Outcome, Target};
use crate::direct::message::{AttemptError, Cause, TargetAnswer};
use crate::problem::Executed;
use crate::telemetry::events;

/// Time to establish a connection to a target. A target in the same region answers within a few
/// milliseconds; a lost SYN packet is sent again only after a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// The media type of streams of events.
const EVENT_STREAM: &str = "text/event-stream";

/// A target's answer of which the head and the first bytes of the body have arrived.
pub struct StartedAnswer {
    /// The target that answers.
    pub target: Target,
    /// The connection from which the rest is read.
    pub connection: Connection,
    /// The slot that the request occupies at the target.
    pub slot: Slot,
    /// The first bytes of the body.
    pub first: Bytes,
    /// How long the target keeps the connection idle after the answer, if it states that.
    pub idle_limit: Option<Duration>,
}

/// A target's answer to one attempt.
pub enum AttemptAnswer {
    /// A complete document.
    Document(TargetAnswer, Bytes),
    /// A stream, or a document too long to be buffered.
    Stream(TargetAnswer, Box<StartedAnswer>),
}

/// Sends the request to a target and reads its answer, or the beginning of a streamed or long one.
///
/// # Errors
///
/// Returns why the target gave no answer, and whether it may have run the request.
pub async fn attempt(
    call: &mut Call,
    target: &Target,
    mut slot: Slot,
    resume_after: Option<&str>,
) -> Result<AttemptAnswer, Failure> {
    call.tried.push(target.id.clone());
    let mut connection = match connect(call, target).await {
        Ok(connection) => connection,
        Err(failure) => {
            slot.record_ended();
            return Err(failure);
        }
    };
    call.sent += 1;
    call.deliveries += 1;
    call.record_dispatched(&target.id);
    let limit = silence::silence_limit(call);
    let result = round_trip::run(call, target, &mut connection, resume_after, limit).await;
    let (answer, body) = match result {
        Ok(answer) => answer,
        Err(error) => {
            if error.is_connection_lost() {
                slot.record_ended();
            }
            drop((connection, slot));
            let failure = record_broken(call, target, &error);
            call.record_no_answer(target, error.is_connection_lost()).await;
            return Err(failure);
        }
    };
    if !matches!(body, Body::Partial(_)) {
        slot.record_ended();
    }
    if answer.other_incarnation {
        // Another process has the address now, so the intended target has not received the request.
        call.sent -= 1;
        call.record_target_refused();
        call.entry.record_outcome(&target.id, Outcome::Replaced);
        return Err(not_run(Cause::Unreachable, &answer));
    }
    let backs_off = target_notices::record(call, target, &answer);
    if answer.not_run {
        call.record_target_refused();
        // A target that asks to be left alone speaks for itself, not for its group.
        let closed = !backs_off
            && call.pause_goal.is_some()
            && call.entry.targets.borrow().is_idle(&target.id);
        call.entry.record_outcome(&target.id, if closed { Outcome::Closed } else { Outcome::Full });
        call.entry.pool.put_back(target.addr, connection, answer.idle_limit);
        return Err(not_run(Cause::TargetFull, &answer));
    }
    let failed = answer.status.is_server_error();
    call.entry.record_outcome(&target.id, if failed { Outcome::Failed } else { Outcome::Answered });
    match body {
        Body::Complete(body) => {
            call.record_target_answered(answer.status.as_u16());
            call.entry.pool.put_back(target.addr, connection, answer.idle_limit);
            Ok(AttemptAnswer::Document(answer, body))
        }
        Body::Partial(first) => {
            let idle_limit = answer.idle_limit;
            let target = target.clone();
            let started = StartedAnswer { target, connection, slot, first, idle_limit };
            Ok(AttemptAnswer::Stream(answer, Box::new(started)))
        }
    }
}

/// Sends the request of an interrupted answer to another target, which resumes the answer after the
/// event `last_id`.
///
/// # Errors
///
/// Returns the failure of the attempt, also if the target answers with anything but events.
pub async fn resume(
    call: &mut Call,
    target: &Target,
    slot: Slot,
    last_id: &str,
) -> Result<StartedAnswer, Failure> {
    match attempt(call, target, slot, Some(last_id)).await? {
        AttemptAnswer::Stream(answer, started) if is_event_stream(&answer) => Ok(*started),
        AttemptAnswer::Stream(..) | AttemptAnswer::Document(..) => {
            Err(Failure { cause: Cause::Broken, executed: Executed::Yes, retry_after: None })
        }
    }
}

/// Returns true if the body of an answer can continue a stream that has begun: its head is not passed
/// on, so nothing would tell callers that it is something else.
fn is_event_stream(answer: &TargetAnswer) -> bool {
    let content_type = answer.headers.get(header::CONTENT_TYPE);
    let media_type = content_type.and_then(|value| value.to_str().ok()?.split(';').next());
    let is_events = media_type.is_some_and(|name| name.trim().eq_ignore_ascii_case(EVENT_STREAM));
    let is_encoded = answer.headers.contains_key(header::CONTENT_ENCODING);
    answer.status == StatusCode::OK && is_events && !is_encoded
}

fn not_run(cause: Cause, answer: &TargetAnswer) -> Failure {
    let retry_after = answer.retry_after.clone().unwrap_or_default();
    Failure { cause, executed: Executed::No, retry_after }
}

fn record_broken(call: &Call, target: &Target, error: &AttemptError) -> Failure {
    call.entry.record_outcome(&target.id, Outcome::Broken);
    events::log(
        events::EXCHANGE_FAILED,
        format_args!("id={} target={} cause=\"{error}\"", call.caller.log_id(), target.id),
    );
    Failure { cause: Cause::Broken, executed: Executed::Unknown, retry_after: None }
}

async fn connect(call: &Call, target: &Target) -> Result<Connection, Failure> {
    let entry = &call.entry;
    let reuse = if call.route.may_repeat() { Reuse::Any } else { Reuse::RecentOnly };
    if let Some(connection) = entry.pool.take(target.addr, reuse) {
        return Ok(connection);
    }
    let timeout = CONNECT_TIMEOUT.min(call.time_left());
    entry.pool.open(target.addr, timeout).await.map_err(|source| {
        if source.is_refused() {
            entry.record_target_ended(&target.id);
        }
        let error = AttemptError::Unreachable { addr: target.addr, source };
        let failure = record_broken(call, target, &error);
        Failure { cause: Cause::Unreachable, executed: Executed::No, ..failure }
    })
}
