//! HTTP to the gateway: which endpoint, how long, and what a failed call may have done.

use std::cell::{Cell, RefCell};
use std::time::Duration;

use actix_web::http::StatusCode;
use awc::error::{ConnectError, SendRequestError};
use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream::LocalBoxStream;
use serde::{Deserialize, Serialize};
use tokio::time;

use super::calls::{CallCounts, CallKind, Counters};
use super::{Result, StoreError, StoreOptions};
use crate::telemetry::events;

/// A connection that is idle for longer is not used again: it may have gone silent.
const IDLE_CONNECTION_LIMIT: Duration = Duration::from_secs(15);
/// Connecting may take this share of a call's time, so that a further endpoint gets its turn.
const CONNECT_SHARE: u32 = 4;
/// The largest answer that is read, in bytes.
const LARGEST_ANSWER: usize = 256 << 20;
/// The code that the gateway gives an answer from a server that is not available.
const CODE_UNAVAILABLE: u32 = 14;
/// The code that the gateway gives an answer about a lease that it does not hold.
const CODE_NOT_FOUND: u32 = 5;
/// What an unavailable server says that dropped a call before proposing it.
const NOT_PROPOSED: &[&str] = &["etcdserver: no leader", "etcdserver: too many requests"];

/// Body is the answer of a streaming call.
pub(super) type Body =
    LocalBoxStream<'static, std::result::Result<Bytes, awc::error::PayloadError>>;

/// Transport sends calls to the first endpoint that takes them.
pub(super) struct Transport {
    options: StoreOptions,
    client: RefCell<awc::Client>,
    /// The endpoint that is asked first: the last one that answered, or the one after it where it
    /// left a call without an answer, as a stopped process does for good.
    preferred: Cell<usize>,
    counters: Counters,
}

/// GatewayError is the body of a failed call.
#[derive(Default, Deserialize)]
struct GatewayError {
    #[serde(default)]
    code: u32,
    #[serde(default)]
    message: String,
    #[serde(default)]
    error: String,
}

impl Transport {
    pub(super) fn new(options: StoreOptions) -> Self {
        let client = RefCell::new(new_client(options.call_timeout));
        Self { options, client, preferred: Cell::default(), counters: Counters::default() }
    }

    pub(super) fn calls(&self) -> CallCounts {
        self.counters.counts()
    }

    /// Sends an idempotent call, to each endpoint in turn until one answers.
    pub(super) async fn read(&self, kind: CallKind, request: &impl Serialize) -> Result<Bytes> {
        let mut failure = None;
        for index in self.order() {
            match self.call(index, kind, request).await {
                Err(error @ (StoreError::Refused { .. } | StoreError::Unknown { .. })) => {
                    failure = Some(error);
                }
                answer => return answer,
            }
        }
        Err(failure.unwrap_or_else(|| no_endpoint(kind)))
    }

    /// Sends a call that changes something: the next endpoint is tried only where the one before
    /// certainly did not carry it out. Returns the endpoint with its answer.
    pub(super) async fn write(
        &self,
        kind: CallKind,
        request: &impl Serialize,
    ) -> Result<(String, Bytes)> {
        let mut failure = None;
        for index in self.order() {
            match self.call(index, kind, request).await {
                Ok(answer) => return Ok((self.options.endpoints[index].clone(), answer)),
                Err(error @ StoreError::Refused { .. }) => failure = Some(error),
                Err(error) => return Err(error),
            }
        }
        Err(failure.unwrap_or_else(|| no_endpoint(kind)))
    }

    /// Opens a streaming call at the first endpoint that takes it.
    pub(super) async fn stream(&self, kind: CallKind, request: &impl Serialize) -> Result<Body> {
        let mut failure = None;
        for index in self.order() {
            match self.open(index, kind, request).await {
                Ok(body) => return Ok(body),
                Err(error) => failure = Some(error),
            }
        }
        Err(failure.unwrap_or_else(|| no_endpoint(kind)))
    }

    fn order(&self) -> impl Iterator<Item = usize> + use<> {
        let count = self.options.endpoints.len();
        let first = self.preferred.get();
        (0..count).map(move |step| (first + step) % count)
    }

    async fn call(&self, index: usize, kind: CallKind, request: &impl Serialize) -> Result<Bytes> {
        let exchange = self.exchange(index, kind, request);
        let answered = time::timeout(self.options.call_timeout, exchange).await;
        let answer = answered.unwrap_or_else(|elapsed| {
            self.forget_connections(index, kind);
            Err(self.unknown(index, kind, &elapsed))
        });
        if let Err(StoreError::Unknown { .. }) = answer {
            self.preferred.set((index + 1) % self.options.endpoints.len());
        }
        answer
    }

    async fn exchange(
        &self,
        index: usize,
        kind: CallKind,
        request: &impl Serialize,
    ) -> Result<Bytes> {
        let mut answer = self.send(index, kind, request).await?;
        let status = answer.status();
        let body = answer.body().limit(LARGEST_ANSWER).await;
        let body = body.map_err(|error| self.unknown(index, kind, &error))?;
        if status.is_success() {
            self.preferred.set(index);
            return Ok(body);
        }
        Err(self.failure(index, kind, status, &body))
    }

    async fn open(&self, index: usize, kind: CallKind, request: &impl Serialize) -> Result<Body> {
        let head = time::timeout(self.options.call_timeout, self.send(index, kind, request));
        let mut answer = head.await.map_err(|elapsed| {
            self.forget_connections(index, kind);
            self.unknown(index, kind, &elapsed)
        })??;
        if answer.status().is_success() {
            self.preferred.set(index);
            return Ok(answer.boxed_local());
        }
        let status = answer.status();
        let body = time::timeout(self.options.call_timeout, answer.body()).await;
        let body = body.ok().and_then(std::result::Result::ok).unwrap_or_default();
        Err(self.failure(index, kind, status, &body))
    }

    async fn send(
        &self,
        index: usize,
        kind: CallKind,
        request: &impl Serialize,
    ) -> Result<awc::ClientResponse> {
        self.counters.add(kind);
        let url = format!("{}{}", self.options.endpoints[index].trim_end_matches('/'), kind.path());
        let client = self.client.borrow().clone();
        let sent = client.post(url).send_json(request).await;
        sent.map_err(|error| self.send_failure(index, kind, &error))
    }

    /// Drops pooled connections, since one that went silent would swallow the next call as well.
    fn forget_connections(&self, index: usize, kind: CallKind) {
        let endpoint = &self.options.endpoints[index];
        events::log(events::STORE_CALL_TIMED_OUT, format_args!("{} at {endpoint}", kind.name()));
        *self.client.borrow_mut() = new_client(self.options.call_timeout);
    }

    fn send_failure(&self, index: usize, kind: CallKind, error: &SendRequestError) -> StoreError {
        match error {
            // The client says `Disconnected` also when the far end closed after the request.
            SendRequestError::Connect(ConnectError::Disconnected | ConnectError::H2(_)) => {
                self.unknown(index, kind, error)
            }
            SendRequestError::Connect(_) | SendRequestError::Url(_) => self.refused(index, error),
            _ => self.unknown(index, kind, error),
        }
    }

    fn failure(&self, index: usize, kind: CallKind, status: StatusCode, body: &[u8]) -> StoreError {
        let said: GatewayError = serde_json::from_slice(body).unwrap_or_default();
        let text = if said.message.is_empty() { said.error } else { said.message };
        let reason = format!("status {status}, {text}");
        if said.code == CODE_NOT_FOUND {
            return StoreError::NotFound { call: kind.name(), reason };
        }
        let server_unavailable = said.code == CODE_UNAVAILABLE
            && !NOT_PROPOSED.iter().any(|message| text.contains(message));
        match status {
            StatusCode::SERVICE_UNAVAILABLE if server_unavailable => {
                self.unknown(index, kind, &reason)
            }
            StatusCode::SERVICE_UNAVAILABLE => self.refused(index, &reason),
            _ if status.is_client_error() => self.refused(index, &reason),
            _ => self.unknown(index, kind, &reason),
        }
    }

    fn refused(&self, index: usize, reason: &dyn std::fmt::Display) -> StoreError {
        let endpoint = self.options.endpoints[index].clone();
        StoreError::Refused { endpoint, reason: reason.to_string() }
    }

    fn unknown(&self, index: usize, kind: CallKind, reason: &dyn std::fmt::Display) -> StoreError {
        let endpoint = self.options.endpoints[index].clone();
        StoreError::Unknown { endpoint, call: kind.name(), reason: reason.to_string() }
    }
}

fn new_client(call_timeout: Duration) -> awc::Client {
    let connector = awc::Connector::new()
        .timeout(call_timeout / CONNECT_SHARE)
        .conn_keep_alive(IDLE_CONNECTION_LIMIT);
    awc::Client::builder().connector(connector).disable_timeout().disable_redirects().finish()
}

fn no_endpoint(kind: CallKind) -> StoreError {
    StoreError::Refused {
        endpoint: String::from("(none)"),
        reason: format!("the settings name no endpoint to send {} to", kind.name()),
    }
}
