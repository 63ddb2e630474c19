//! The HTTP client of the target.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::header::{HeaderMap, HeaderName, HeaderValue};
use actix_http::{Method, ResponseHead, StatusCode, Uri, header};
use bytes::Bytes;
use tokio::{net, time};

use crate::agent::{events, relay};
use crate::clock::Clock;
use crate::direct::connections::http::{Connection, HttpError, Request};
use crate::direct::connections::pool::{Pool, Reuse};
use crate::wire;

/// Timeout for opening a connection to the target, which runs on the same host.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// How long the target is taken to keep a connection idle.
const IDLE_TIMEOUT: Duration = Duration::from_secs(2);
/// The port of a target whose address states none.
const HTTP_PORT: u16 = 80;
/// Bytes of the longest answer to a probe.
const MAX_PROBE_BYTES: usize = 64 * 1024;
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
    /// Idle connections, for requests that may be repeated. If the target closed one just when a
    /// request that may not be repeated is sent, it would be unknown whether the request ran.
    pool: Pool,
    /// The target's host name or address, and its port.
    authority: Rc<str>,
    /// The path before that of each request, without a slash at its end.
    base_path: Rc<str>,
    probe_path: Option<Rc<str>>,
    probe_timeout: Duration,
    /// Longest gap between two pieces of a streamed answer.
    stream_gap: Duration,
}

impl TargetClient {
    /// Creates a client of the target at a base URL. Without a probe path, a probe only checks that
    /// the target accepts connections.
    pub fn new(
        clock: Clock,
        base_url: &str,
        probe_path: Option<&str>,
        probe_timeout: Duration,
        stream_gap: Duration,
    ) -> Self {
        let url = base_url.trim_start_matches("http://").trim_end_matches('/');
        let (authority, base_path) =
            url.find('/').map_or((url, ""), |slash| (&url[..slash], &url[slash..]));
        Self {
            pool: Pool::new(clock),
            authority: Rc::from(authority),
            base_path: Rc::from(base_path),
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
        let repeatable = request.claim_key.is_empty();
        let Some(request) = self.request(request) else {
            return Outcome::Failed(events::Failure::Unreachable);
        };
        let (addr, mut connection) = match self.connect(repeatable).await {
            Ok(connected) => connected,
            Err(_) => return Outcome::Failed(events::Failure::Unreachable),
        };
        match self.read(&mut connection, &request, answer, on_head).await {
            Ok(tokens) => {
                if repeatable {
                    self.pool.put_back(addr, connection, Some(IDLE_TIMEOUT));
                }
                Outcome::Complete { bytes: answer.length(), tokens }
            }
            Err(_) => Outcome::Failed(events::Failure::Broken),
        }
    }

    /// Returns the request as the target gets it; `None` if the caller's method, path or headers
    /// cannot be sent.
    fn request(&self, attempt: wire::StartAttempt) -> Option<Request> {
        let uri = format!("{}{}", self.base_path, attempt.path).parse::<Uri>().ok()?;
        let mut headers = HeaderMap::new();
        headers.insert(header::HOST, HeaderValue::from_str(&self.authority).ok()?);
        for wire::Header { name, value } in attempt.headers {
            if is_end_to_end(&name) {
                headers.append(name.parse::<HeaderName>().ok()?, value.parse().ok()?);
            }
        }
        let method = Method::from_bytes(attempt.method.as_bytes()).ok()?;
        Some(Request { method, uri, headers, body: attempt.body })
    }

    /// Takes an idle connection if a request may be repeated, or opens one.
    async fn connect(&self, repeatable: bool) -> Result<(SocketAddr, Connection), HttpError> {
        let addr = self.resolve().await.map_err(HttpError::Connect)?;
        let idle = repeatable.then(|| self.pool.take(addr, Reuse::Any)).flatten();
        match idle {
            Some(connection) => Ok((addr, connection)),
            None => Ok((addr, self.pool.open(addr, CONNECT_TIMEOUT).await?)),
        }
    }

    async fn resolve(&self) -> io::Result<SocketAddr> {
        if let Ok(addr) = self.authority.parse() {
            return Ok(addr);
        }
        let authority = match self.authority.contains(':') {
            true => self.authority.to_string(),
            false => format!("{}:{HTTP_PORT}", self.authority),
        };
        let addr = net::lookup_host(authority).await?.next();
        addr.ok_or_else(|| io::Error::from(io::ErrorKind::NotFound))
    }

    /// Sends a request and reads the answer to its end. Returns the tokens that it reports.
    async fn read(
        &self,
        connection: &mut Connection,
        request: &Request,
        answer: &relay::Answer,
        on_head: impl FnOnce(),
    ) -> Result<Option<u64>, HttpError> {
        connection.send(request).await?;
        let head = connection.head().await?;
        let gap = is_event_stream(&head).then_some(self.stream_gap);
        answer.begin(answer_head(&head));
        on_head();
        let mut tail = AnswerTail::default();
        let mut next = connection.piece().await?;
        while let Some(piece) = next {
            tail.push(&piece);
            answer.push(piece).await;
            next = with_timeout(gap, connection.piece()).await?;
        }
        // The end of the connection is also what a crash in the middle of the body looks like.
        match connection.is_unframed() {
            true => Err(HttpError::Closed),
            false => Ok(tail.tokens()),
        }
    }

    /// Sends a health probe to the target.
    pub async fn probe(&self) -> events::ProbeOutcome {
        self.pool.prune(|_| true);
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
        match self.probe_status(path).await {
            Ok(status) if status.is_success() => events::ProbeOutcome::Healthy,
            _ => events::ProbeOutcome::Silent,
        }
    }

    async fn probe_status(&self, path: &str) -> Result<StatusCode, HttpError> {
        let attempt = wire::StartAttempt {
            method: Method::GET.to_string(),
            path: path.to_owned(),
            ..wire::StartAttempt::default()
        };
        let Some(request) = self.request(attempt) else { return Err(HttpError::Closed) };
        let (addr, mut connection) = self.connect(true).await?;
        connection.send(&request).await?;
        let head = connection.head().await?;
        connection.body(MAX_PROBE_BYTES).await?;
        self.pool.put_back(addr, connection, Some(IDLE_TIMEOUT));
        Ok(head.status)
    }

    /// Opens a connection and checks that it stays open for [`SETTLE_TIME`]. A process that crashes
    /// closes its connections before its listener, which still accepts one that is opened between
    /// the two.
    async fn try_connect(&self) -> ConnectOutcome {
        let connected = async { net::TcpStream::connect(self.resolve().await?).await };
        let stream = match connected.await {
            Ok(stream) => stream,
            Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => {
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

/// Awaits a piece, for the limit at most. A stream that has stalled for good still looks like an open
/// connection; only the missing tokens reveal it.
async fn with_timeout<T>(
    limit: Option<Duration>,
    piece: impl Future<Output = Result<T, HttpError>>,
) -> Result<T, HttpError> {
    match limit {
        Some(limit) => time::timeout(limit, piece).await.map_err(|_| HttpError::Timeout(limit))?,
        None => piece.await,
    }
}

fn is_event_stream(head: &ResponseHead) -> bool {
    let kind = head.headers.get(header::CONTENT_TYPE).and_then(|kind| kind.to_str().ok());
    kind.is_some_and(|kind| kind.starts_with(EVENT_STREAM))
}

fn answer_head(head: &ResponseHead) -> relay::Head {
    let headers = head.headers.iter();
    let headers = headers.filter(|(name, _)| is_end_to_end(name.as_str())).filter_map(to_wire);
    relay::Head { status: u32::from(head.status.as_u16()), headers: headers.collect() }
}

fn to_wire((name, value): (&HeaderName, &HeaderValue)) -> Option<wire::Header> {
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
