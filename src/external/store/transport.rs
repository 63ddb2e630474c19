//! HTTP transport to the gateway: selects the endpoint, applies the timeouts and classifies failed
//! calls by what they may have changed.

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

/// Idle connections are not reused after this time, since they may be dead without notice.
const MAX_CONNECTION_IDLE: Duration = Duration::from_secs(15);
/// The connect timeout is the call timeout divided by this, so that time is left to try another
/// endpoint.
const CONNECT_TIMEOUT_DIVISOR: u32 = 4;
/// Size limit of a response, in bytes.
const MAX_RESPONSE_BYTES: usize = 256 << 20;
/// The gRPC code in the gateway's error response if the server is unavailable.
const CODE_UNAVAILABLE: u32 = 14;
/// The gRPC code in the gateway's error response if the named lease does not exist.
const CODE_NOT_FOUND: u32 = 5;
/// Messages of an unavailable server that mean that the call was dropped before it was proposed.
const NOT_PROPOSED_MESSAGES: &[&str] = &["etcdserver: no leader", "etcdserver: too many requests"];

/// Body is the response body of a streaming call.
pub(super) type Body =
    LocalBoxStream<'static, std::result::Result<Bytes, awc::error::PayloadError>>;

/// Transport sends calls to the first endpoint that accepts them.
pub(super) struct Transport {
    options: StoreOptions,
    client: RefCell<awc::Client>,
    /// Index of the endpoint that is tried first: the last one that responded, or the one after it
    /// if a call there had an unknown outcome, since a stopped process would never respond.
    preferred: Cell<usize>,
    counters: Counters,
}

/// GatewayErrorBody is the response body of a failed call.
#[derive(Default, Deserialize)]
struct GatewayErrorBody {
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

    /// Sends an idempotent call to each endpoint in turn until one responds.
    pub(super) async fn read(&self, kind: CallKind, request: &impl Serialize) -> Result<Bytes> {
        let mut last_error = None;
        for index in self.endpoint_order() {
            match self.call(index, kind, request).await {
                Err(error @ (StoreError::Refused { .. } | StoreError::Unknown { .. })) => {
                    last_error = Some(error);
                }
                response => return response,
            }
        }
        Err(last_error.unwrap_or_else(|| no_endpoint(kind)))
    }

    /// Sends a call that is not idempotent. The next endpoint is tried only if the previous one has
    /// certainly not executed the call. Returns the endpoint with its response.
    pub(super) async fn write(
        &self,
        kind: CallKind,
        request: &impl Serialize,
    ) -> Result<(String, Bytes)> {
        let mut last_error = None;
        for index in self.endpoint_order() {
            match self.call(index, kind, request).await {
                Ok(response) => return Ok((self.options.endpoints[index].clone(), response)),
                Err(error @ StoreError::Refused { .. }) => last_error = Some(error),
                Err(error) => return Err(error),
            }
        }
        Err(last_error.unwrap_or_else(|| no_endpoint(kind)))
    }

    /// Opens a streaming call at the first endpoint that accepts it.
    pub(super) async fn stream(&self, kind: CallKind, request: &impl Serialize) -> Result<Body> {
        let mut last_error = None;
        for index in self.endpoint_order() {
            match self.open(index, kind, request).await {
                Ok(body) => return Ok(body),
                Err(error) => last_error = Some(error),
            }
        }
        Err(last_error.unwrap_or_else(|| no_endpoint(kind)))
    }

    fn endpoint_order(&self) -> impl Iterator<Item = usize> + use<> {
        let count = self.options.endpoints.len();
        let first = self.preferred.get();
        (0..count).map(move |offset| (first + offset) % count)
    }

    async fn call(&self, index: usize, kind: CallKind, request: &impl Serialize) -> Result<Bytes> {
        let exchange = self.exchange(index, kind, request);
        let response = time::timeout(self.options.call_timeout, exchange).await;
        let response = response.unwrap_or_else(|elapsed| {
            self.drop_connections(index, kind);
            Err(self.unknown(index, kind, &elapsed))
        });
        if let Err(StoreError::Unknown { .. }) = response {
            self.preferred.set((index + 1) % self.options.endpoints.len());
        }
        response
    }

    async fn exchange(
        &self,
        index: usize,
        kind: CallKind,
        request: &impl Serialize,
    ) -> Result<Bytes> {
        let mut response = self.send(index, kind, request).await?;
        let status = response.status();
        let body = response.body().limit(MAX_RESPONSE_BYTES).await;
        let body = body.map_err(|error| self.unknown(index, kind, &error))?;
        if status.is_success() {
            self.preferred.set(index);
            return Ok(body);
        }
        Err(self.call_error(index, kind, status, &body))
    }

    async fn open(&self, index: usize, kind: CallKind, request: &impl Serialize) -> Result<Body> {
        let response = time::timeout(self.options.call_timeout, self.send(index, kind, request));
        let mut response = response.await.map_err(|elapsed| {
            self.drop_connections(index, kind);
            self.unknown(index, kind, &elapsed)
        })??;
        if response.status().is_success() {
            self.preferred.set(index);
            return Ok(response.boxed_local());
        }
        let status = response.status();
        let body = time::timeout(self.options.call_timeout, response.body()).await;
        let body = body.ok().and_then(std::result::Result::ok).unwrap_or_default();
        Err(self.call_error(index, kind, status, &body))
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
        let response = client.post(url).send_json(request).await;
        response.map_err(|error| self.send_error(index, kind, &error))
    }

    /// Closes the pooled connections, since the next call on a dead connection would also time out.
    fn drop_connections(&self, index: usize, kind: CallKind) {
        let endpoint = &self.options.endpoints[index];
        events::log(events::STORE_CALL_TIMED_OUT, format_args!("{} at {endpoint}", kind.name()));
        *self.client.borrow_mut() = new_client(self.options.call_timeout);
    }

    fn send_error(&self, index: usize, kind: CallKind, error: &SendRequestError) -> StoreError {
        match error {
            // The client also returns `Disconnected` if the server closed the connection after the
            // request was sent, so that the call may have been executed.
            SendRequestError::Connect(ConnectError::Disconnected | ConnectError::H2(_)) => {
                self.unknown(index, kind, error)
            }
            SendRequestError::Connect(_) | SendRequestError::Url(_) => self.refused(index, error),
            _ => self.unknown(index, kind, error),
        }
    }

    fn call_error(
        &self,
        index: usize,
        kind: CallKind,
        status: StatusCode,
        body: &[u8],
    ) -> StoreError {
        let body: GatewayErrorBody = serde_json::from_slice(body).unwrap_or_default();
        let text = if body.message.is_empty() { body.error } else { body.message };
        let reason = format!("status {status}, {text}");
        if body.code == CODE_NOT_FOUND {
            return StoreError::NotFound { call: kind.name(), reason };
        }
        let server_unavailable = body.code == CODE_UNAVAILABLE
            && !NOT_PROPOSED_MESSAGES.iter().any(|message| text.contains(message));
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
        .timeout(call_timeout / CONNECT_TIMEOUT_DIVISOR)
        .conn_keep_alive(MAX_CONNECTION_IDLE);
    awc::Client::builder().connector(connector).disable_timeout().disable_redirects().finish()
}

fn no_endpoint(kind: CallKind) -> StoreError {
    StoreError::Refused {
        endpoint: String::from("(none)"),
        reason: format!("the settings contain no endpoint to send {} to", kind.name()),
    }
}
