//! One exchange with a target: the request is sent, and the answer read up to what is relayed first.

use std::future;
use std::result;
use std::time::Duration;

use actix_http::StatusCode;
use bytes::{Bytes, BytesMut};
use tokio::time;

use crate::direct::connections::http::{Connection, HttpError, Request};
use crate::direct::exchange::call::Call;
use crate::direct::exchange::silence;
use crate::direct::known::target::Target;
use crate::direct::message::{AttemptError, TargetAnswer, TargetRequest};
use crate::direct::peering::rank_notices;

/// The result of an exchange.
type Result<T> = result::Result<T, AttemptError>;

/// Bytes of a document that are buffered before any of it is relayed, so that a truncated one can
/// be fetched again. A longer document is relayed as it arrives.
const MAX_BUFFERED_BYTES: usize = 256 * 1024;

/// Limit of the answers read for one request; those before the last belong to earlier requests on
/// the connection and are discarded.
const MAX_STALE_ANSWERS: usize = 4;

/// The part of an answer's body that is read before its head is relayed.
pub(super) enum Body {
    Complete(Bytes),
    Partial(Bytes),
}

/// Sends the request and reads the answer, or the beginning of a streamed or long one. Gives up a
/// target that says nothing for `limit`, and one that is reported silent if the request may go
/// elsewhere.
pub(super) async fn run(
    call: &Call,
    target: &Target,
    connection: &mut Connection,
    resume_after: Option<&str>,
    limit: Option<Duration>,
) -> Result<(TargetAnswer, Body)> {
    let target_request = TargetRequest {
        caller: &call.caller,
        time_left: call.time_left(),
        only_target: &target.id,
        customer: call.customer.as_deref(),
        urgency: call.ranked.then_some(call.urgency),
        resume_after,
    };
    let request = Request {
        method: call.caller.method.clone(),
        uri: call.caller.uri.clone(),
        headers: (call.entry.protocol.encode)(&target_request),
        body: call.caller.body.clone(),
    };
    connection.send(&request).await?;
    let started = call.entry.now();
    let read = read(call, connection);
    let reported_silent = async {
        match silence::may_move(call) {
            true => rank_notices::until_silent(&call.entry, &target.id).await,
            false => future::pending().await,
        }
    };
    let time_out = async {
        match limit {
            Some(limit) => time::sleep(limit).await,
            None => future::pending().await,
        }
    };
    tokio::select! {
        biased;
        result = read => return result,
        () = reported_silent => {}
        () = time_out => {}
    }
    Err(AttemptError::Silent(call.entry.now().saturating_sub(started)))
}

async fn read(call: &Call, connection: &mut Connection) -> Result<(TargetAnswer, Body)> {
    let answer = read_answer(call, connection).await?;
    let streamed = call.wants_events() && answer.status.is_success();
    let mut buf = BytesMut::new();
    let buffers = call.entry.backlog.buffers();
    let mut held = buffers.hold();
    let limit = buffers.document_room(MAX_BUFFERED_BYTES);
    while let Some(piece) = connection.piece().await? {
        buf.extend_from_slice(&piece);
        held.set(buf.len());
        if (streamed && !buf.is_empty()) || buf.len() > limit {
            return Ok((answer, Body::Partial(buf.freeze())));
        }
    }
    if streamed && connection.is_unframed() {
        // Nothing tells a stream without events from one that was lost before its first event.
        return Err(AttemptError::Exchange(HttpError::Closed));
    }
    Ok((answer, Body::Complete(buf.freeze())))
}

/// Reads the head of the answer to this request. Late answers to earlier requests on the connection
/// are discarded; they are told by their ids. Targets echo the id, so an answer without one proves
/// nothing, not even that this request was refused: it may be an earlier refusal once more.
async fn read_answer(call: &Call, connection: &mut Connection) -> Result<TargetAnswer> {
    for _ in 0..MAX_STALE_ANSWERS {
        let answer = (call.entry.protocol.decode)(&connection.head().await?);
        match answer.attempt_id.as_deref() {
            Some(id) if id == call.caller.id => return verify_seal(answer),
            Some(_) => {
                connection.body(MAX_BUFFERED_BYTES).await?;
            }
            None if !call.caller.id.is_empty() => return Err(AttemptError::Foreign),
            None if answer.not_run || answer.other_incarnation => return Ok(answer),
            None if !answer.sealed && answer.status.is_success() => {
                return Err(AttemptError::Foreign);
            }
            None => return verify_seal(answer),
        }
    }
    Err(AttemptError::Foreign)
}

/// Checks that an answer that shows that the request ran carries the target's seal.
fn verify_seal(answer: TargetAnswer) -> Result<TargetAnswer> {
    let claims_run = answer.status.is_success() || answer.status == StatusCode::NOT_MODIFIED;
    match claims_run && !answer.sealed {
        true => Err(AttemptError::Foreign),
        false => Ok(answer),
    }
}
