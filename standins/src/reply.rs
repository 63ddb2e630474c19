//! HTTP responses shared by the fakes, including deliberately broken ones.

use std::time::Duration;

use actix_web::body::SizedStream;
use actix_web::{HttpResponse, error, web};
use bytes::Bytes;
use futures_util::{StreamExt, stream};
use serde::{Deserialize, Serialize};
use tokio::time;

/// Time for the bytes before an abort to be sent, since a failed body drops unsent bytes.
const FLUSH_DELAY: Duration = Duration::from_millis(5);
/// The largest accepted request body.
pub const BODY_LIMIT_BYTES: usize = 16 * 1024 * 1024;

/// A body error that makes the server close the connection before the end of the response.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("The connection is closed deliberately.")]
pub struct ConnectionAborted;

/// The body of an error response.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Problem {
    /// The error object.
    pub error: ProblemDetail,
}

/// The error object that clients of model engines expect.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ProblemDetail {
    /// A sentence that names the bad value.
    pub message: String,
}

/// Returns an error body with this message.
pub fn problem(message: impl Into<String>) -> Problem {
    Problem { error: ProblemDetail { message: message.into() } }
}

/// Returns a response that closes the connection before any byte of it is sent.
pub fn abort() -> HttpResponse {
    HttpResponse::Ok().streaming(stream::iter([Err::<Bytes, ConnectionAborted>(ConnectionAborted)]))
}

/// Waits for the earlier bytes of a body to be sent, and returns the error with which the caller
/// then fails the body.
pub async fn flush_before_abort() -> ConnectionAborted {
    time::sleep(FLUSH_DELAY).await;
    ConnectionAborted
}

/// Returns a response that announces the full length of `body` and closes the connection after half
/// of it.
pub fn truncate_half_way(body: &Bytes) -> HttpResponse {
    let half = body.slice(..body.len() / 2);
    let length = u64::try_from(body.len()).unwrap_or(u64::MAX);
    let abort = stream::once(async { Err(flush_before_abort().await) });
    let pieces = stream::iter([Ok::<Bytes, ConnectionAborted>(half)]).chain(abort);
    HttpResponse::Ok()
        .content_type("application/json")
        .body(SizedStream::new(length, pieces.boxed_local()))
}

/// Returns the configuration that parses JSON bodies regardless of their content type and responds
/// to malformed ones with `refuse`.
pub fn json_config(refuse: fn(&error::JsonPayloadError) -> HttpResponse) -> web::JsonConfig {
    web::JsonConfig::default()
        .limit(BODY_LIMIT_BYTES)
        .content_type_required(false)
        .content_type(|_| true)
        .error_handler(move |error, _| {
            let response = refuse(&error);
            error::InternalError::from_response(error, response).into()
        })
}

/// Returns the response to a malformed body, with a [`Problem`] as its body.
pub fn refuse_json(error: &error::JsonPayloadError) -> HttpResponse {
    HttpResponse::BadRequest().json(problem(format!("The body cannot be parsed: {error}.")))
}
