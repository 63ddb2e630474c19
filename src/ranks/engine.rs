//! Calls to engines: reports, counts, held experts and orders.

use std::net::SocketAddr;
use std::time::Duration;

use actix_http::StatusCode;
use bytes::Bytes;
use tokio::time;

use crate::direct::http::{self, HttpError, Request};
use crate::direct::pool::{Pool, Reuse};
use crate::direct::store::UnreadableValue;
use crate::ranks::report::{
    EngineProtocol, ExpertCounts, HeldExperts, Order, OrderOutcome, RankReport,
};

/// The result of a call.
pub type Result<T> = std::result::Result<T, EngineError>;

/// EngineError is why a call gave nothing.
#[derive(Debug, thiserror::Error)]
pub enum EngineError {
    /// The exchange failed.
    #[error(transparent)]
    Http(#[from] HttpError),
    /// The engine refused.
    #[error("the engine answers with status {0}")]
    Status(StatusCode),
    /// The answer cannot be read.
    #[error("the answer cannot be read: {0}")]
    Unreadable(#[from] UnreadableValue),
}

/// Bytes of the longest answer: the counts of some thousand experts.
const MAX_ANSWER: usize = 1024 * 1024;

/// How long an engine may take to answer; one on the same host takes a few milliseconds.
const CALL_TIMEOUT: Duration = Duration::from_millis(200);

/// How long an engine may take to answer to an order. While a step is held the whole group waits,
/// and an order that is given twice does no harm.
const ORDER_TIMEOUT: Duration = Duration::from_millis(40);

/// Engines calls the engines of a group.
#[derive(Clone)]
pub struct Engines {
    /// How they are spoken with.
    pub protocol: EngineProtocol,
    /// Kept connections.
    pub pool: Pool,
}

impl Engines {
    /// Reads a rank's state.
    ///
    /// # Errors
    ///
    /// Returns why there is none.
    pub async fn report(&self, engine: SocketAddr) -> Result<RankReport> {
        let body = self.get(engine, (self.protocol.report_request)()).await?;
        Ok((self.protocol.read_report)(&body)?)
    }

    /// Reads which experts a rank's requests chose.
    ///
    /// # Errors
    ///
    /// Returns why there is nothing.
    pub async fn picks(&self, engine: SocketAddr) -> Result<ExpertCounts> {
        let body = self.get(engine, (self.protocol.expert_counts_request)()).await?;
        Ok((self.protocol.read_expert_counts)(&body)?)
    }

    /// Reads which experts a rank holds.
    ///
    /// # Errors
    ///
    /// Returns why there is nothing.
    pub async fn held(&self, engine: SocketAddr) -> Result<HeldExperts> {
        let body = self.get(engine, (self.protocol.held_experts_request)()).await?;
        Ok((self.protocol.read_held_experts)(&body)?)
    }

    /// Gives an order.
    pub async fn order(&self, engine: SocketAddr, order: &Order, epoch: u64) -> OrderOutcome {
        let exchange = (self.protocol.order)(order, epoch);
        match self.call(engine, exchange, ORDER_TIMEOUT).await {
            Ok((status, _)) => (self.protocol.read_outcome)(status.as_u16()),
            Err(_) => OrderOutcome::NoAnswer,
        }
    }

    async fn get(&self, engine: SocketAddr, exchange: Request) -> Result<Bytes> {
        match self.call(engine, exchange, CALL_TIMEOUT).await? {
            (StatusCode::OK, body) => Ok(body),
            (status, _) => Err(EngineError::Status(status)),
        }
    }

    async fn call(
        &self,
        engine: SocketAddr,
        exchange: Request,
        limit: Duration,
    ) -> Result<(StatusCode, Bytes)> {
        let call = self.exchange(engine, exchange);
        time::timeout(limit, call).await.map_err(|_| HttpError::Timeout(limit))?
    }

    async fn exchange(
        &self,
        engine: SocketAddr,
        mut exchange: Request,
    ) -> Result<(StatusCode, Bytes)> {
        for (name, value) in http::host(engine) {
            exchange.headers.insert(name, value);
        }
        let mut connection = match self.pool.take(engine, Reuse::Any) {
            Some(connection) => connection,
            None => self.pool.open(engine, CALL_TIMEOUT).await?,
        };
        connection.send(&exchange).await?;
        let head = connection.head().await?;
        let body = connection.body(MAX_ANSWER).await?;
        self.pool.put_back(engine, connection, None);
        Ok((head.status, body))
    }
}
