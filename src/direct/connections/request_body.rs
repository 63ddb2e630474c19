//! Reads the bodies of requests within a time and the budget of buffers.

use std::result;
use std::time::Duration;

use actix_http::header::{self, HeaderMap};
use actix_web::{HttpRequest, web};
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt as _;
use tokio::time;

use crate::direct::connections::buffers::{Buffers, Held};

/// The largest buffer that is allocated for a body before its bytes have arrived.
const MAX_RESERVED_BYTES: usize = 64 * 1024;

/// Bytes that the copies of one header take up while a request is handled.
const HEADER_BYTES: usize = 512;

/// Bytes of a request's head that are not counted, since most heads are smaller.
const USUAL_HEAD_BYTES: usize = 16 * 1024;

/// The result of reading a body.
pub type Result<T> = result::Result<T, BodyError>;

/// The reason why a request's body could not be read. The request was not run.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum BodyError {
    /// The body exceeds the limit.
    #[error("the body exceeds its limit")]
    TooLarge,
    /// The request does not fit into the buffers now.
    #[error("the buffers are full")]
    NoRoom,
    /// The body has not arrived in time.
    #[error("the body has not arrived in time")]
    TooSlow,
    /// The connection failed before the end of the body.
    #[error("the body is truncated")]
    Truncated,
}

/// What a body may take up.
#[derive(Clone, Copy, Debug)]
pub struct BodyLimits {
    /// Its length in bytes.
    pub bytes: usize,
    /// The time until its end.
    pub time: Duration,
}

/// Reads the body of a request. Returns it with the share of the buffers that the request holds.
///
/// # Errors
///
/// Returns an error if the body cannot be read within the limits, at once where that is certain.
pub async fn read(
    request: &HttpRequest,
    payload: web::Payload,
    limits: BodyLimits,
    buffers: &Buffers,
) -> Result<(Bytes, Held)> {
    let length = request.headers().get(header::CONTENT_LENGTH);
    let length = length.and_then(|value| value.to_str().ok()?.parse().ok()).unwrap_or(0);
    if length > limits.bytes {
        return Err(BodyError::TooLarge);
    }
    let head = counted_head(request);
    let held = buffers.hold_body(head + length).ok_or(BodyError::NoRoom)?;
    if !request.headers().contains_key(header::TRANSFER_ENCODING) && length == 0 {
        return Ok((Bytes::new(), held));
    }
    let body = BytesMut::with_capacity(length.min(MAX_RESERVED_BYTES));
    let reading = read_pieces(payload, limits.bytes, head, body, held);
    time::timeout(limits.time, reading).await.unwrap_or(Err(BodyError::TooSlow))
}

async fn read_pieces(
    mut payload: web::Payload,
    limit: usize,
    head: usize,
    mut body: BytesMut,
    mut held: Held,
) -> Result<(Bytes, Held)> {
    while let Some(piece) = payload.next().await {
        let piece = piece.map_err(|_| BodyError::Truncated)?;
        let length = body.len() + piece.len();
        if length > limit {
            return Err(BodyError::TooLarge);
        }
        if !held.grow_body(head + length) {
            return Err(BodyError::NoRoom);
        }
        body.extend_from_slice(&piece);
    }
    Ok((body.freeze(), held))
}

/// Returns the bytes that count for the head of a request, none for a usual one.
fn counted_head(request: &HttpRequest) -> usize {
    let headers: &HeaderMap = request.headers();
    let fields =
        headers.iter().map(|(name, value)| HEADER_BYTES + name.as_str().len() + value.len());
    let path = request.uri().path_and_query().map_or(0, |path| path.as_str().len());
    (path + fields.sum::<usize>()).saturating_sub(USUAL_HEAD_BYTES)
}
