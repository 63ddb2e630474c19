//! Answers that the stand-ins have in common, broken ones included.

use std::time::Duration;

use actix_web::body::SizedStream;
use actix_web::{HttpResponse, error, web};
use bytes::Bytes;
use futures_util::{StreamExt, stream};
use serde::{Deserialize, Serialize};
use tokio::time;

/// Lets the bytes before a cut leave the host, since a failed body drops what is unsent.
const FLUSH_TIME: Duration = Duration::from_millis(5);
/// The largest request body that a stand-in takes.
pub const BODY_LIMIT_BYTES: usize = 16 * 1024 * 1024;

/// Cut ends a body before its end, which makes the server close the connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("The stand-in cuts the connection on purpose.")]
pub struct Cut;

/// Problem is the body of a refusal.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Problem {
    /// What is wrong.
    pub error: ProblemDetail,
}

/// ProblemDetail is the error object that clients of model engines expect.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ProblemDetail {
    /// A sentence that names the bad value.
    pub message: String,
}

/// Returns a problem with this message.
pub fn problem(message: impl Into<String>) -> Problem {
    Problem { error: ProblemDetail { message: message.into() } }
}

/// Returns an answer that closes the connection before any byte of it is sent.
pub fn cut() -> HttpResponse {
    HttpResponse::Ok().streaming(stream::iter([Err::<Bytes, Cut>(Cut)]))
}

/// Waits until earlier bytes are sent; the caller then fails the body.
pub async fn flush_before_cut() -> Cut {
    time::sleep(FLUSH_TIME).await;
    Cut
}

/// Returns an answer that announces the whole of `body` and breaks off half-way.
pub fn cut_half_way(body: &Bytes) -> HttpResponse {
    let half = body.slice(..body.len() / 2);
    let length = u64::try_from(body.len()).unwrap_or(u64::MAX);
    let broken = stream::once(async { Err(flush_before_cut().await) });
    let pieces = stream::iter([Ok::<Bytes, Cut>(half)]).chain(broken);
    HttpResponse::Ok()
        .content_type("application/json")
        .body(SizedStream::new(length, pieces.boxed_local()))
}

/// Reads JSON bodies whatever content type they claim and refuses others with `refuse`.
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

/// Refuses a malformed body with a [`Problem`].
pub fn refuse_json(error: &error::JsonPayloadError) -> HttpResponse {
    HttpResponse::BadRequest().json(problem(format!("The body is not usable: {error}.")))
}
