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

/// Timeout for opening a connection to the target, which runs on the same host.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// How long an idle connection is kept open for reuse.
const IDLE_TIMEOUT: Duration = Duration::from_secs(2);
/// How long a probe's connection must stay open to show that the target is running.
const SETTLE_TIME: Duration = Duration::from_millis(50);
/// Bytes at the end of an answer that are searched for the number of tokens used.
const TAIL_BYTES: usize = 1_024;
/// The content type of an answer that is streamed token by token.
const EVENT_STREAM: &str = "text/event-stream";
/// The JSON key of the token count that an engine reports, with the colon.
const TOKENS_FIELD: &str = "\"total_tokens\":";
/// Headers that apply to a single connection and are not forwarded.
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

/// Outcome is the outcome of an exchange with the target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The target sent a complete answer.
    Complete {
        /// The length of its body in bytes.
        bytes: u64,
        /// The tokens that it reports as used, if it does.
        tokens: Option<u64>,
    },
    /// The target sent no answer or an incomplete one.
    Failed(events::Failure),
}

/// TargetClient sends requests and health probes to the target.
#[derive(Clone)]
pub struct TargetClient {
    /// Reuses idle connections; for requests that may be repeated.
    pooled: awc::Client,
    /// Opens a connection per request; for requests that may not be repeated. If the target closed
    /// a reused idle connection just then, it would be unknown whether the request ran.
    unpooled: awc::Client,
    base_url: Rc<str>,
    probe_path: Option<Rc<str>>,
    probe_timeout: Duration,
    /// Longest gap between two pieces of a streamed answer.
    stream_gap: Duration,
}

impl TargetClient {
    /// Creates a client of the target at a base URL. Without a probe path, a probe only checks that
    /// the target accepts connections.
    pub fn new(
        base_url: &str,
        probe_path: Option<&str>,
        probe_timeout: Duration,
        stream_gap: Duration,
    ) -> Self {
        Self {
            pooled: client(),
            unpooled: client(),
            base_url: Rc::from(base_url),
            probe_path: probe_path.map(Rc::from),
            probe_timeout,
            stream_gap,
        }
    }

    /// Sends a request once and fills `answer` with the response. `on_head` is called when the
    /// status and headers arrive.
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
        let non_repeatable = !request.claim_key.is_empty();
        let client = if non_repeatable { &self.unpooled } else { &self.pooled };
        let mut call = client.request(method, url);
        for header in request.headers.iter().filter(|header| is_end_to_end(&header.name)) {
            call = call.append_header((header.name.as_str(), header.value.as_str()));
        }
        if non_repeatable {
            call = call.force_close();
        }
        let mut response = match call.send_body(request.body).await {
            Ok(response) => response,
            Err(error) => return Outcome::Failed(failure(&error)),
        };
        answer.begin(answer_head(&response));
        on_head();
        let timeout = is_event_stream(&response).then_some(self.stream_gap);
        let mut tail = AnswerTail::default();
        let mut next = response.next().await;
        while let Some(piece) = next {
            let Ok(piece) = piece else { return Outcome::Failed(events::Failure::Broken) };
            tail.push(&piece);
            answer.push(piece).await;
            next = match with_timeout(timeout, response.next()).await {
                Some(next) => next,
                None => return Outcome::Failed(events::Failure::Broken),
            };
        }
        Outcome::Complete { bytes: answer.length(), tokens: tail.tokens() }
    }

    /// Sends a health probe to the target.
    pub async fn probe(&self) -> events::ProbeOutcome {
        let outcome = time::timeout(self.probe_timeout, self.run_probe()).await;
        outcome.unwrap_or(events::ProbeOutcome::Silent)
    }

    /// Connects, a second time if the first connection is lost, and then requests the probe path if
    /// there is one.
    async fn run_probe(&self) -> events::ProbeOutcome {
        let mut outcome = self.try_connect().await;
        if outcome == ConnectOutcome::Lost {
            outcome = self.try_connect().await;
        }
        match outcome {
            ConnectOutcome::Refused => return events::ProbeOutcome::Refused,
            ConnectOutcome::Lost => return events::ProbeOutcome::Silent,
            ConnectOutcome::Open => {}
        }
        let Some(path) = &self.probe_path else { return events::ProbeOutcome::Healthy };
        match self.pooled.get(format!("{}{path}", self.base_url)).send().await {
            Ok(response) if response.status().is_success() => events::ProbeOutcome::Healthy,
            _ => events::ProbeOutcome::Silent,
        }
    }

    /// Opens a connection and checks that it stays open for [`SETTLE_TIME`]. A process that crashes
    /// closes its connections before its listener, which still accepts one that is opened between
    /// the two.
    async fn try_connect(&self) -> ConnectOutcome {
        let authority = self.base_url.trim_start_matches("http://");
        let stream = match net::TcpStream::connect(authority).await {
            Ok(stream) => stream,
            Err(error) if error.kind() == std::io::ErrorKind::ConnectionRefused => {
                return ConnectOutcome::Refused;
            }
            Err(_) => {
                time::sleep(SETTLE_TIME).await;
                return ConnectOutcome::Lost;
            }
        };
        match time::timeout(SETTLE_TIME, stream.peek(&mut [0])).await {
            Ok(Ok(0) | Err(_)) => ConnectOutcome::Lost,
            Ok(Ok(_)) | Err(_) => ConnectOutcome::Open,
        }
    }
}

/// ConnectOutcome is the outcome of opening a probe's connection to the target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ConnectOutcome {
    /// The connection stayed open.
    Open,
    /// The target's host refused the connection.
    Refused,
    /// The connection could not be opened for another reason, or was closed at once.
    Lost,
}

/// Awaits a value, and returns `None` if it takes longer than the limit. A stream that has stalled
/// for good still looks like an open connection; only the missing tokens reveal it.
async fn with_timeout<T>(limit: Option<Duration>, value: impl Future<Output = T>) -> Option<T> {
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
        .conn_keep_alive(IDLE_TIMEOUT)
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

fn answer_head<S>(response: &awc::ClientResponse<S>) -> relay::Head {
    let headers = response.headers().iter();
    let headers = headers.filter(|(name, _)| is_end_to_end(name.as_str())).filter_map(to_wire);
    relay::Head { status: u32::from(response.status().as_u16()), headers: headers.collect() }
}

fn to_wire((name, value): (&header::HeaderName, &header::HeaderValue)) -> Option<wire::Header> {
    let value = value.to_str().ok()?;
    Some(wire::Header { name: name.as_str().to_owned(), value: value.to_owned() })
}

fn is_end_to_end(name: &str) -> bool {
    !HOP_BY_HOP.iter().any(|hop| name.eq_ignore_ascii_case(hop))
}

/// AnswerTail holds the last bytes of an answer.
#[derive(Default)]
struct AnswerTail {
    bytes: Vec<u8>,
}

impl AnswerTail {
    fn push(&mut self, piece: &Bytes) {
        let start = piece.len().saturating_sub(TAIL_BYTES);
        self.bytes.extend_from_slice(&piece[start..]);
        let excess = self.bytes.len().saturating_sub(TAIL_BYTES);
        self.bytes.drain(..excess);
    }

    /// Returns the last token count that the answer reports, if there is one.
    fn tokens(&self) -> Option<u64> {
        let text = String::from_utf8_lossy(&self.bytes);
        let (_, rest) = text.rsplit_once(TOKENS_FIELD)?;
        let rest = rest.trim_start();
        let end = rest.find(|c: char| !c.is_ascii_digit()).unwrap_or(rest.len());
        rest[..end].parse().ok()
    }
}
