//! The HTTP client of the target.

use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use awc::error;
use awc::http::{self, header};
use bytes::Bytes;
use futures_util::StreamExt;
use tokio::{net, time};

use crate::agent::{events, relay, strict_io};
use crate::wire;

/// How long a connection to the target, on the same host, may take to come about.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// How long an idle connection is kept.
const IDLE: Duration = Duration::from_secs(2);
/// How long the connection of a probe must stay open to show that the target lives.
const SETTLE: Duration = Duration::from_millis(50);
/// Bytes at the end of an answer that are searched for its use of tokens.
const TAIL_BYTES: usize = 1_024;
/// The type of an answer that comes token by token.
const EVENT_STREAM: &str = "text/event-stream";
/// What stands before the count of tokens that an engine reports.
const TOKENS_FIELD: &str = "\"total_tokens\":";
/// Headers that concern one connection only.
const HOP_BY_HOP: &[&str] = &[
    "connection",
    "content-length",
    "host",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Outcome is how an exchange with the target ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The answer is whole.
    Whole {
        /// Its length in bytes.
        bytes: u64,
        /// The tokens that it reports, where it does.
        tokens: Option<u64>,
    },
    /// The answer is not whole.
    Failed(events::Failure),
}

/// TargetClient sends requests to the target.
#[derive(Clone)]
pub struct TargetClient {
    pooled: awc::Client,
    /// For requests that may not be repeated: an idle connection that the target closes just
    /// then would leave it open whether the request ran.
    fresh: awc::Client,
    base_url: Rc<str>,
    probe_path: Option<Rc<str>>,
    probe_timeout: Duration,
    stream_gap: Duration,
}

impl TargetClient {
    /// Returns a client of the target at a base address.
    pub fn new(
        base_url: &str,
        probe_path: Option<&str>,
        probe_timeout: Duration,
        stream_gap: Duration,
    ) -> Self {
        Self {
            pooled: client(),
            fresh: client(),
            base_url: Rc::from(base_url),
            probe_path: probe_path.map(Rc::from),
            probe_timeout,
            stream_gap,
        }
    }

    /// Sends a request once and fills its answer; `on_head` is called when the target begins.
    pub async fn exchange(
        &self,
        request: wire::StartAttempt,
        answer: &relay::Answer,
        on_head: impl FnOnce(),
    ) -> Outcome {
        let Ok(method) = http::Method::from_bytes(request.method.as_bytes()) else {
            return Outcome::Failed(events::Failure::Unreachable);
        };
        let url = format!("{}{}", self.base_url, request.path);
        let once = !request.claim_key.is_empty();
        let client = if once { &self.fresh } else { &self.pooled };
        let mut call = client.request(method, url);
        for header in request.headers.iter().filter(|header| end_to_end(&header.name)) {
            call = call.append_header((header.name.as_str(), header.value.as_str()));
        }
        if once {
            call = call.force_close();
        }
        let mut response = match call.send_body(request.body).await {
            Ok(response) => response,
            Err(error) => return Outcome::Failed(failure(&error)),
        };
        answer.begin(head(&response));
        on_head();
        let patience = is_event_stream(&response).then_some(self.stream_gap);
        let mut tail = Tail::default();
        let mut next = response.next().await;
        while let Some(piece) = next {
            let Ok(piece) = piece else { return Outcome::Failed(events::Failure::Broken) };
            tail.push(&piece);
            answer.push(piece).await;
            next = match within(patience, response.next()).await {
                Some(next) => next,
                None => return Outcome::Failed(events::Failure::Broken),
            };
        }
        Outcome::Whole { bytes: answer.length(), tokens: tail.tokens() }
    }

    /// Asks the target whether it lives.
    pub async fn probe(&self) -> events::ProbeOutcome {
        let asked = time::timeout(self.probe_timeout, self.ask()).await;
        asked.unwrap_or(events::ProbeOutcome::Silent)
    }

    async fn ask(&self) -> events::ProbeOutcome {
        let mut reached = self.reach().await;
        if reached == Reached::Lost {
            reached = self.reach().await;
        }
        match reached {
            Reached::Refused => return events::ProbeOutcome::Refused,
            Reached::Lost => return events::ProbeOutcome::Silent,
            Reached::Open => {}
        }
        let Some(path) = &self.probe_path else { return events::ProbeOutcome::Healthy };
        match self.pooled.get(format!("{}{path}", self.base_url)).send().await {
            Ok(response) if response.status().is_success() => events::ProbeOutcome::Healthy,
            _ => events::ProbeOutcome::Silent,
        }
    }

    /// Connects and sees whether the connection stays open. A process that dies closes its
    /// connections before its listener, which still takes one that is made between the two.
    async fn reach(&self) -> Reached {
        let authority = self.base_url.trim_start_matches("http://");
        let stream = match net::TcpStream::connect(authority).await {
            Ok(stream) => stream,
            Err(error) if error.kind() == std::io::ErrorKind::ConnectionRefused => {
                return Reached::Refused;
            }
            Err(_) => {
                time::sleep(SETTLE).await;
                return Reached::Lost;
            }
        };
        match time::timeout(SETTLE, stream.peek(&mut [0])).await {
            Ok(Ok(0) | Err(_)) => Reached::Lost,
            Ok(Ok(_)) | Err(_) => Reached::Open,
        }
    }
}

/// Reached is what came of a connection to the target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Reached {
    /// It stays open.
    Open,
    /// The target's host refused it.
    Refused,
    /// It did not come about, or was closed at once.
    Lost,
}

/// Waits for a value; none where it takes longer than the limit. A stream's connection that has
/// gone silent for good looks open, and only the tokens that fail to come show it.
async fn within<T>(limit: Option<Duration>, value: impl Future<Output = T>) -> Option<T> {
    match limit {
        Some(limit) => time::timeout(limit, value).await.ok(),
        None => Some(value.await),
    }
}

fn is_event_stream<S>(response: &awc::ClientResponse<S>) -> bool {
    let kind = response.headers().get(header::CONTENT_TYPE).and_then(|kind| kind.to_str().ok());
    kind.is_some_and(|kind| kind.starts_with(EVENT_STREAM))
}

fn client() -> awc::Client {
    let connector = awc::Connector::new()
        .connector(strict_io::StrictConnector::new())
        .timeout(CONNECT_TIMEOUT)
        .conn_keep_alive(IDLE)
        .limit(0);
    awc::Client::builder()
        .connector(connector)
        .disable_timeout()
        .disable_redirects()
        .no_default_headers()
        .finish()
}

fn failure(error: &error::SendRequestError) -> events::Failure {
    match error {
        error::SendRequestError::Url(_) | error::SendRequestError::Connect(_) => {
            events::Failure::Unreachable
        }
        _ => events::Failure::Broken,
    }
}

fn head<S>(response: &awc::ClientResponse<S>) -> relay::Head {
    let headers = response.headers().iter();
    let headers = headers.filter(|(name, _)| end_to_end(name.as_str())).filter_map(to_wire);
    relay::Head { status: u32::from(response.status().as_u16()), headers: headers.collect() }
}

fn to_wire((name, value): (&header::HeaderName, &header::HeaderValue)) -> Option<wire::Header> {
    let value = value.to_str().ok()?;
    Some(wire::Header { name: name.as_str().to_owned(), value: value.to_owned() })
}

fn end_to_end(name: &str) -> bool {
    !HOP_BY_HOP.iter().any(|hop| name.eq_ignore_ascii_case(hop))
}

#[derive(Default)]
struct Tail {
    bytes: Vec<u8>,
}

impl Tail {
    fn push(&mut self, piece: &Bytes) {
        let start = piece.len().saturating_sub(TAIL_BYTES);
        self.bytes.extend_from_slice(&piece[start..]);
        let surplus = self.bytes.len().saturating_sub(TAIL_BYTES);
        self.bytes.drain(..surplus);
    }

    fn tokens(&self) -> Option<u64> {
        let text = String::from_utf8_lossy(&self.bytes);
        let (_, rest) = text.rsplit_once(TOKENS_FIELD)?;
        let rest = rest.trim_start();
        let end = rest.find(|c: char| !c.is_ascii_digit()).unwrap_or(rest.len());
        rest[..end].parse().ok()
    }
}
