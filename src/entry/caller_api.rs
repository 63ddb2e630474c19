//! The callers' HTTP API: chat completions and calls of plain services.

use std::future::Future as _;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;
use std::{error, fmt};

use actix::Addr;
use actix_web::http::{StatusCode, header};
use actix_web::{HttpRequest, HttpResponse, HttpResponseBuilder, web};
use bytes::Bytes;
use futures_util::Stream;
use sha2::{Digest as _, Sha256};
use tokio::sync::mpsc;
use tokio::time;

use crate::config::view;
use crate::entry::core::events::{NewRequest, Refusal, Route};
use crate::entry::core::tables::RequestId;
use crate::entry::{actor, chat, outbound, refusals, relay};
use crate::fingerprint;
use crate::problem::{self, Executed};

/// The response header with the name of this entry.
const ENTRY_HEADER: &str = "bitternwall-entry";
/// The response header with the name of the target that answered.
const TARGET_HEADER: &str = "bitternwall-target";
/// The request header with the milliseconds that the caller waits for the complete answer.
const TIMEOUT_HEADER: &str = "request-timeout-ms";
const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 255;
/// The number of tokens as which a call of a plain service counts in the fair queue.
const PLAIN_CALL_TOKENS: u64 = 1;
/// How long the server gets to write an error event before the connection is closed, which discards
/// unsent data.
const ERROR_FLUSH_DELAY: Duration = Duration::from_millis(10);
/// Headers that are not forwarded, since they concern only one hop or are set anew for the next
/// one.
const NOT_FORWARDED_HEADERS: [&str; 9] = [
    "authorization",
    "connection",
    "content-length",
    "expect",
    "host",
    "keep-alive",
    "te",
    "transfer-encoding",
    "upgrade",
];

/// The state that the handlers of a worker thread share.
#[derive(Clone)]
pub struct CallerApi {
    /// The entry's name.
    pub entry: String,
    /// The actor that drives the entry's core.
    pub actor: Addr<actor::EntryActor>,
    /// The number of the next request, shared by all worker threads.
    pub next_request: Arc<AtomicU64>,
    /// The maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
}

/// Adds the callers' routes.
pub fn configure(cfg: &mut web::ServiceConfig) {
    cfg.route("/v1/chat/completions", web::post().to(chat_completion));
    cfg.route("/v1/services/{service}", web::to(plain_call));
    cfg.route("/v1/services/{service}/{path:.*}", web::to(plain_call));
}

async fn chat_completion(
    api: web::Data<CallerApi>,
    req: HttpRequest,
    payload: web::Payload,
) -> Result<HttpResponse, problem::Problem> {
    let body = read_body(payload, api.max_body_bytes).await?;
    let parsed = chat::parse(&body).map_err(|error| bad_request(error.to_string()))?;
    let path = "/v1/chat/completions".to_owned();
    let request = NewRequest {
        id: next_id(&api),
        key_hash: bearer_hash(&req),
        route: Route::Model { model: parsed.model },
        idempotency_key: None,
        timeout: timeout(&req)?,
        estimated_tokens: parsed.estimated_tokens,
        affinity: parsed.affinity,
        fingerprint: fingerprint::of_request("POST", &path, &body),
        resumable: parsed.stream,
    };
    serve(&api, &req, request, path, body).await
}

async fn plain_call(
    api: web::Data<CallerApi>,
    req: HttpRequest,
    payload: web::Payload,
) -> Result<HttpResponse, problem::Problem> {
    let body = read_body(payload, api.max_body_bytes).await?;
    let service = req.match_info().get("service").unwrap_or_default().to_owned();
    let path = format!("/{}", req.match_info().get("path").unwrap_or_default());
    let method = req.method().as_str().to_owned();
    let path_and_query = match req.query_string() {
        "" => path.clone(),
        query => format!("{path}?{query}"),
    };
    let fingerprint =
        fingerprint::of_request(&method, &format!("{service}{path_and_query}"), &body);
    let request = NewRequest {
        id: next_id(&api),
        key_hash: bearer_hash(&req),
        idempotency_key: idempotency_key(&req)?,
        timeout: timeout(&req)?,
        estimated_tokens: PLAIN_CALL_TOKENS,
        affinity: fingerprint,
        fingerprint,
        resumable: false,
        route: Route::Plain { service, method, path },
    };
    serve(&api, &req, request, path_and_query, body).await
}

/// Submits a request to the core, waits for the first piece of its answer and returns the response.
async fn serve(
    api: &CallerApi,
    req: &HttpRequest,
    request: NewRequest,
    path: String,
    body: Bytes,
) -> Result<HttpResponse, problem::Problem> {
    let (tx, mut rx) = mpsc::unbounded_channel();
    let guard = CallerGuard { actor: api.actor.clone(), request: request.id, armed: true };
    let outbound = outbound::Outbound {
        method: req.method().as_str().to_owned(),
        path,
        headers: forwarded_headers(req),
        body,
    };
    let relay = relay::Relay::new(tx);
    let unread = relay.unread();
    let id = request.id;
    api.actor.do_send(actor::Submit { request, outbound, relay });
    let first = rx.recv().await;
    Ok(match first {
        Some(relay::Piece::Complete { head, body }) => {
            guard.disarm();
            start_response(api, &head).body(body)
        }
        Some(relay::Piece::Head(head)) => {
            let event_stream = relay::is_event_stream(&head.headers);
            let reading = Reading { unread, actor: api.actor.clone(), request: id };
            let body =
                AnswerBody { rx, reading, guard: Some(guard), event_stream, flush_delay: None };
            start_response(api, &head).streaming(body)
        }
        Some(relay::Piece::Refused(refusal) | relay::Piece::Aborted(refusal)) => {
            guard.disarm();
            with_entry(api, refusals::problem(&refusal).to_response())
        }
        Some(relay::Piece::Data(_) | relay::Piece::End) | None => {
            return Err(entry_stopped());
        }
    })
}

fn start_response(api: &CallerApi, head: &relay::Head) -> HttpResponseBuilder {
    let status = StatusCode::from_u16(head.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = HttpResponse::build(status);
    for (name, value) in head.headers.iter().filter(|(name, _)| is_forwarded(name)) {
        response.append_header((name.as_str(), value.as_str()));
    }
    response.insert_header((ENTRY_HEADER, api.entry.as_str()));
    response.insert_header((TARGET_HEADER, head.target.as_str()));
    response
}

fn with_entry(api: &CallerApi, mut response: HttpResponse) -> HttpResponse {
    let name = header::HeaderName::from_static(ENTRY_HEADER);
    if let Ok(value) = header::HeaderValue::from_str(&api.entry) {
        response.headers_mut().insert(name, value);
    }
    response
}

fn forwarded_headers(req: &HttpRequest) -> Vec<(String, String)> {
    let text = |(name, value): (&header::HeaderName, &header::HeaderValue)| {
        let value = value.to_str().ok()?;
        is_forwarded(name.as_str()).then(|| (name.as_str().to_owned(), value.to_owned()))
    };
    req.headers().iter().filter_map(text).collect()
}

fn is_forwarded(name: &str) -> bool {
    !NOT_FORWARDED_HEADERS.iter().any(|excluded| excluded.eq_ignore_ascii_case(name))
}

async fn read_body(payload: web::Payload, limit: usize) -> Result<Bytes, problem::Problem> {
    match payload.to_bytes_limited(limit).await {
        Ok(Ok(body)) => Ok(body),
        Ok(Err(error)) => Err(bad_request(format!("The body cannot be read: {error}."))),
        Err(_) => Err(problem::Problem::new(
            "/problems/body-too-large",
            "Body too large",
            StatusCode::PAYLOAD_TOO_LARGE,
            format!("The body has more than the {limit} bytes that are allowed."),
        )
        .executed(Executed::No)),
    }
}

fn bad_request(detail: String) -> problem::Problem {
    problem::Problem::new(
        "/problems/malformed-request",
        "Malformed request",
        StatusCode::BAD_REQUEST,
        detail,
    )
    .executed(Executed::No)
}

fn entry_stopped() -> problem::Problem {
    problem::Problem::new(
        "/problems/entry-stopped",
        "Entry stopped",
        StatusCode::BAD_GATEWAY,
        "This entry stopped before the request had its answer.".to_owned(),
    )
    .executed(Executed::Unknown)
}

fn next_id(api: &CallerApi) -> RequestId {
    RequestId(api.next_request.fetch_add(1, Ordering::Relaxed))
}

/// Returns the hash of the bearer key, or of the empty string if there is none; no customer has
/// that hash.
fn bearer_hash(req: &HttpRequest) -> view::KeyHash {
    let value = req.headers().get(header::AUTHORIZATION).and_then(|value| value.to_str().ok());
    let key = value.and_then(|value| value.strip_prefix("Bearer ")).unwrap_or_default();
    Sha256::digest(key.as_bytes()).into()
}

fn timeout(req: &HttpRequest) -> Result<Option<Duration>, problem::Problem> {
    let Some(value) = req.headers().get(TIMEOUT_HEADER) else { return Ok(None) };
    let millis = value.to_str().ok().and_then(|text| text.parse::<u64>().ok());
    match millis.filter(|millis| *millis > 0) {
        Some(millis) => Ok(Some(Duration::from_millis(millis))),
        None => Err(bad_request(format!(
            "The header {TIMEOUT_HEADER} is {value:?}; allowed is a whole number from 1."
        ))),
    }
}

fn idempotency_key(req: &HttpRequest) -> Result<Option<String>, problem::Problem> {
    let Some(value) = req.headers().get(IDEMPOTENCY_KEY_HEADER) else { return Ok(None) };
    let key = value.to_str().ok().map(str::trim);
    let allowed = key.filter(|key| !key.is_empty() && key.len() <= MAX_IDEMPOTENCY_KEY_BYTES);
    match allowed {
        Some(key) => Ok(Some(key.to_owned())),
        None => Err(bad_request(format!(
            "The header {IDEMPOTENCY_KEY_HEADER} is {value:?}; allowed are 1 to \
             {MAX_IDEMPOTENCY_KEY_BYTES} visible ASCII characters."
        ))),
    }
}

/// Notifies the core if the caller disconnects before its answer is complete.
struct CallerGuard {
    actor: Addr<actor::EntryActor>,
    request: RequestId,
    armed: bool,
}

impl CallerGuard {
    fn disarm(mut self) {
        self.armed = false;
    }
}

impl Drop for CallerGuard {
    fn drop(&mut self) {
        if self.armed {
            self.actor.do_send(actor::CallerDisconnected(self.request));
        }
    }
}

/// Tells the actor when the caller has read most of what waited for it.
struct Reading {
    unread: relay::Unread,
    actor: Addr<actor::EntryActor>,
    request: RequestId,
}

impl Reading {
    fn record(&self, data: &Bytes) {
        if self.unread.remove(data.len()) {
            self.actor.do_send(actor::CallerRead(self.request));
        }
    }
}

/// The body of a streamed response. If the answer is aborted, an event stream ends with an error
/// event, and the connection is closed without the end of the body, so that the response never
/// looks complete.
struct AnswerBody {
    rx: mpsc::UnboundedReceiver<relay::Piece>,
    reading: Reading,
    guard: Option<CallerGuard>,
    event_stream: bool,
    /// The delay between the error event and the closing of the connection, once it has begun.
    flush_delay: Option<Pin<Box<time::Sleep>>>,
}

impl AnswerBody {
    fn finish(&mut self) {
        if let Some(guard) = self.guard.take() {
            guard.disarm();
        }
    }
}

impl Stream for AnswerBody {
    type Item = Result<Bytes, AbortedAnswer>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        if let Some(delay) = &mut self.flush_delay {
            return delay.as_mut().poll(cx).map(|()| Some(Err(AbortedAnswer)));
        }
        let Poll::Ready(piece) = self.rx.poll_recv(cx) else { return Poll::Pending };
        match piece {
            Some(relay::Piece::Data(data)) => {
                self.reading.record(&data);
                Poll::Ready(Some(Ok(data)))
            }
            Some(relay::Piece::End) => {
                self.finish();
                Poll::Ready(None)
            }
            Some(relay::Piece::Aborted(refusal)) if self.event_stream => {
                self.finish();
                self.flush_delay = Some(Box::pin(time::sleep(ERROR_FLUSH_DELAY)));
                Poll::Ready(Some(Ok(error_event(&refusal))))
            }
            _ => {
                self.finish();
                Poll::Ready(Some(Err(AbortedAnswer)))
            }
        }
    }
}

fn error_event(refusal: &Refusal) -> Bytes {
    let document = serde_json::json!({ "error": refusals::problem(refusal) });
    Bytes::from(format!("data: {document}\n\n"))
}

/// The error that closes the caller's connection after an aborted answer.
#[derive(Debug)]
struct AbortedAnswer;

impl fmt::Display for AbortedAnswer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("The answer could not be completed.")
    }
}

impl error::Error for AbortedAnswer {}
