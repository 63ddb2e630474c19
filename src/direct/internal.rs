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

/// Question is what is asked of another process.
#[derive(Clone, Debug)]
pub struct Question {
    /// The method.
    pub method: Method,
    /// The path with its query.
    pub uri: Uri,
    /// The body.
    pub body: Bytes,
    /// How long it may take in all.
    pub timeout: Duration,
    /// Bytes of the longest answer.
    pub max_answer: usize,
}

/// Asks a process on a connection of its own.
///
/// # Errors
///
/// Returns why there is no answer.
pub async fn ask<T: Message + Default>(
    addr: SocketAddr,
    question: Question,
    codecs: &Codecs,
) -> Result<T> {
    let Question { method, uri, body, timeout, max_answer } = question;
    let request = Request { method, uri, headers: http::host(addr), body };
    let call = async {
        let mut connection = Connection::open(addr, timeout, codecs).await?;
        connection.send(&request).await?;
        let head = connection.head().await?;
        if head.status != StatusCode::OK {
            return Err(ExchangeError::Status(head.status));
        }
        Ok(T::decode(connection.body(max_answer).await?)?)
    };
    time::timeout(timeout, call).await.map_err(|_| HttpError::Timeout(timeout))?
}
