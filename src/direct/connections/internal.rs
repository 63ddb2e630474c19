//! HTTP requests between the product's own processes, answered with one protobuf message.

use std::net::SocketAddr;
use std::result;
use std::time::Duration;

use actix_http::{Method, StatusCode, Uri};
use bytes::Bytes;
use prost::Message;
use tokio::time;

use crate::direct::connections::codecs::Codecs;
use crate::direct::connections::http::{self, Connection, HttpError, Request};

/// The result of a request to another process.
pub type Result<T> = result::Result<T, ExchangeError>;

/// The reason that a request got no answer. The other process may have handled it nevertheless.
#[derive(Debug, thiserror::Error)]
pub enum ExchangeError {
    /// The connection failed, or the request timed out.
    #[error(transparent)]
    Http(#[from] HttpError),
    /// The process answered with another status than 200.
    #[error("the process answers with status {0}")]
    Status(StatusCode),
    /// The answer lacks what every entry sends, so another program has the address.
    #[error("the answer is not that of an entry")]
    NoEntry,
    /// The answer cannot be decoded.
    #[error("the answer cannot be read: {0}")]
    Unreadable(#[from] prost::DecodeError),
}

/// A request to another of the product's processes.
#[derive(Clone, Debug)]
pub struct InternalRequest {
    /// The HTTP method.
    pub method: Method,
    /// The path with its query.
    pub uri: Uri,
    /// The body, a protobuf message; empty for none.
    pub body: Bytes,
    /// The time limit from connecting to the end of the answer.
    pub timeout: Duration,
    /// The longest answer that is accepted, in bytes.
    pub max_answer_bytes: usize,
}

/// Sends a request to another process on a new connection and returns its answer.
///
/// # Errors
///
/// Returns an error if there is no complete, valid answer with status 200 in time.
pub async fn send<T: Message + Default>(
    addr: SocketAddr,
    request: InternalRequest,
    codecs: &Codecs,
) -> Result<T> {
    let InternalRequest { method, uri, body, timeout, max_answer_bytes } = request;
    let http_request = Request { method, uri, headers: http::host(addr), body };
    let call = async {
        let mut connection = Connection::open(addr, timeout, codecs).await?;
        connection.send(&http_request).await?;
        let head = connection.head().await?;
        if head.status != StatusCode::OK {
            return Err(ExchangeError::Status(head.status));
        }
        Ok(T::decode(connection.body(max_answer_bytes).await?)?)
    };
    time::timeout(timeout, call).await.map_err(|_| HttpError::Timeout(timeout))?
}
