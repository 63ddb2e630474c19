//! The framing of bodies, and the limit on that of chunked ones.
//!
//! Sizes of chunks, extensions and trailers are discarded as they arrive, so no limit on the length
//! of an answer applies to them, and they could go on without end.

use std::result;

use actix_http::body::BodySize;
use actix_http::{Method, ResponseHead, StatusCode, header};
use bytes::Bytes;

/// The result of counting framing.
pub type Result<T> = result::Result<T, FramingTooLong>;

/// Bytes of framing that a body may have beyond those that its data allows.
const MAX_EXCESS_BYTES: usize = 16 * 1024;

/// Bytes of framing that each piece of data allows, in addition to twice its length.
const BYTES_PER_PIECE: usize = 16;

/// The error of a body that consists of framing rather than data.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("the framing of the body exceeds its data by more than {MAX_EXCESS_BYTES} bytes")]
pub struct FramingTooLong;

/// The framing of one body.
#[derive(Debug, Default)]
pub struct Framing {
    /// Bytes beyond those that the data so far allows.
    excess: usize,
}

impl Framing {
    /// Counts the bytes that a codec has consumed besides those of a piece of data.
    ///
    /// # Errors
    ///
    /// Returns an error if the framing exceeds what the data allows.
    pub fn count(&mut self, consumed: usize, piece: Option<&Bytes>) -> Result<()> {
        let data = piece.map_or(0, Bytes::len);
        let allowed = piece.map_or(0, |piece| BYTES_PER_PIECE + 2 * piece.len());
        self.excess = (self.excess + consumed - data).saturating_sub(allowed);
        match self.excess > MAX_EXCESS_BYTES {
            true => Err(FramingTooLong),
            false => Ok(()),
        }
    }
}

/// Returns true if answers with this status have no body, also where their heads describe one.
pub(super) fn is_bodyless(status: StatusCode) -> bool {
    matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED)
}

/// Returns true if the body of an answer that may have one ends with the connection.
pub(super) fn is_unframed(head: &ResponseHead) -> bool {
    !is_framed(head)
}

/// Returns true if an answer announces a body though its status excludes one: what follows then may
/// be that body or the next answer. The head of a 304 may describe the body that a 200 would have.
pub(super) fn has_unexpected_body(head: &ResponseHead) -> bool {
    let length = head.headers.get(header::CONTENT_LENGTH);
    let is_empty = length.is_some_and(|length| length.as_bytes().trim_ascii() == b"0")
        && !head.headers.contains_key(header::TRANSFER_ENCODING);
    match head.status {
        StatusCode::SWITCHING_PROTOCOLS => true,
        StatusCode::NO_CONTENT => is_framed(head) && !is_empty,
        status => status.is_informational() && is_framed(head) && !is_empty,
    }
}

fn is_framed(head: &ResponseHead) -> bool {
    head.headers.contains_key(header::CONTENT_LENGTH)
        || head.headers.contains_key(header::TRANSFER_ENCODING)
}

/// Returns how a request's body is framed. `GET` and `HEAD` without a body get no `Content-Length`,
/// other methods one of zero.
pub(super) fn body_size(method: &Method, length: usize) -> BodySize {
    let bodyless = matches!(*method, Method::GET | Method::HEAD);
    match u64::try_from(length) {
        Ok(0) if bodyless => BodySize::None,
        Ok(length) => BodySize::Sized(length),
        Err(_) => BodySize::Sized(u64::MAX),
    }
}
