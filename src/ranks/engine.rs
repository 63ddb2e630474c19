//! Calls to engines: reports, counts, held experts and orders.

use std::net::SocketAddr;
use std::time::Duration;

use actix_http::StatusCode;
use bytes::Bytes;
use tokio::time;

use crate::direct::connections::http::{self, HttpError, Request};
use crate::direct::connections::pool::{Pool, Reuse};
use crate::direct::known::store::UnreadableValue;
use crate::ranks::report::{
    EngineProtocol, ExpertCounts, HeldExperts, Order, OrderOutcome, RankReport,
};

/// The result of a call.
pub type Result<T> = std::result::Result<T, EngineError>;

/// EngineError is the reason why a call to an engine failed.
#[derive(Debug, thiserror::Error)]
pub enum EngineError {
    /// The HTTP exchange failed.
    #[error(transparent)]
    Http(#[from] HttpError),
    /// The engine answered with another status than 200.
    #[error("the engine answers with status {0}")]
    Status(StatusCode),
    /// The answer cannot be parsed.
    #[error("the answer cannot be read: {0}")]
    Unreadable(#[from] UnreadableValue),
}

/// Maximum size of an answer: the counts of several thousand experts.
const MAX_ANSWER_BYTES: usize = 1024 * 1024;

/// Timeout of a read from an engine; one on the same host answers within a few milliseconds.
const CALL_TIMEOUT: Duration = Duration::from_millis(200);

/// Timeout of an order. It is short because the whole group waits while a step is held, and because
/// an order that is sent twice does no harm.
const ORDER_TIMEOUT: Duration = Duration::from_millis(40);

/// Engines calls the engines of a group.
#[derive(Clone)]
pub struct Engines {
    /// The protocol of the engines.
    pub protocol: EngineProtocol,
    /// Idle connections, kept for reuse.
    pub pool: Pool,
}

impl Engines {
    /// Reads a rank's state.
    ///
    /// # Errors
    ///
    /// Returns an [`EngineError`] if the call fails or its answer cannot be parsed.
    pub async fn report(&self, engine: SocketAddr) -> Result<RankReport> {
        let body = self.get(engine, (self.protocol.report_request)()).await?;
        Ok((self.protocol.read_report)(&body)?)
    }

    /// Reads how often a rank's requests chose each expert.
    ///
    /// # Errors
    ///
    /// Returns an [`EngineError`] if the call fails or its answer cannot be parsed.
    pub async fn expert_counts(&self, engine: SocketAddr) -> Result<ExpertCounts> {
        let body = self.get(engine, (self.protocol.expert_counts_request)()).await?;
        Ok((self.protocol.read_expert_counts)(&body)?)
    }

    /// Reads which experts a rank holds.
    ///
    /// # Errors
    ///
    /// Returns an [`EngineError`] if the call fails or its answer cannot be parsed.
    pub async fn held_experts(&self, engine: SocketAddr) -> Result<HeldExperts> {
        let body = self.get(engine, (self.protocol.held_experts_request)()).await?;
        Ok((self.protocol.read_held_experts)(&body)?)
    }

    /// Sends an order and returns its outcome.
    pub async fn order(&self, engine: SocketAddr, order: &Order, epoch: u64) -> OrderOutcome {
        let request = (self.protocol.order)(order, epoch);
        match self.call(engine, request, ORDER_TIMEOUT).await {
            Ok((status, _)) => (self.protocol.read_outcome)(status.as_u16()),
            Err(_) => OrderOutcome::NoAnswer,
        }
    }

    async fn get(&self, engine: SocketAddr, request: Request) -> Result<Bytes> {
        match self.call(engine, request, CALL_TIMEOUT).await? {
            (StatusCode::OK, body) => Ok(body),
            (status, _) => Err(EngineError::Status(status)),
        }
    }

    async fn call(
        &self,
        engine: SocketAddr,
        request: Request,
        timeout: Duration,
    ) -> Result<(StatusCode, Bytes)> {
        let call = self.exchange(engine, request);
        time::timeout(timeout, call).await.map_err(|_| HttpError::Timeout(timeout))?
    }

    async fn exchange(
        &self,
        engine: SocketAddr,
        mut request: Request,
    ) -> Result<(StatusCode, Bytes)> {
        for (name, value) in http::host(engine) {
            request.headers.insert(name, value);
        }
        let mut connection = match self.pool.take(engine, Reuse::Any) {
            Some(connection) => connection,
            None => self.pool.open(engine, CALL_TIMEOUT).await?,
        };
        connection.send(&request).await?;
        let head = connection.head().await?;
        let body = connection.body(MAX_ANSWER_BYTES).await?;
        self.pool.put_back(engine, connection, None);
        Ok((head.status, body))
    }
}
