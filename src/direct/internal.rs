//! Exchanges between the product's own processes: one request with one message as its answer.

use std::net::SocketAddr;
use std::result;
use std::time::Duration;

use actix_http::{Method, StatusCode, Uri};
use bytes::Bytes;
use prost::Message;
use tokio::time;

use crate::direct::http::{self, Codecs, Connection, HttpError, Request};

/// The result of an exchange.
pub type Result<T> = result::Result<T, ExchangeError>;

/// ExchangeError is why another process gave no answer; it may have done what it was asked.
#[derive(Debug, thiserror::Error)]
pub enum ExchangeError {
    /// The exchange failed.
    #[error(transparent)]
    Http(#[from] HttpError),
    /// The process refused.
    #[error("the process answers with status {0}")]
    Status(StatusCode),
    /// The answer cannot be read.
    #[error("the answer cannot be read: {0}")]
    Unreadable(#[from] prost::DecodeError),
}

/// InternalRequest is a request to another of the product's processes.
#[derive(Clone, Debug)]
pub struct InternalRequest {
    /// The method.
    pub method: Method,
    /// The path with its query.
    pub uri: Uri,
    /// The body.
    pub body: Bytes,
    /// How long it may take in all.
    pub timeout: Duration,
    /// Bytes of the longest answer.
    pub max_answer_bytes: usize,
}

/// Sends a request to another process on a new connection and returns its answer.
///
/// # Errors
///
/// Returns why there is no answer.
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
