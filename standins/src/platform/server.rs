//! A fake server instance of the platform: the part of its HTTP interface that entries use, and
//! faults that tests queue.

use std::collections::VecDeque;
use std::net::{Shutdown, SocketAddr};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use std::{io, iter};

use actix_rt::task::JoinHandle;
use socket2::SockRef;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};

/// Number of events in a complete stream.
pub const STREAM_EVENTS: u64 = 6;

/// A fault that is applied to one request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// The server executes the request and responds with status 500.
    Failure,
    /// The server does not execute the request and responds with 503 and
    /// `Bitternwall-Not-Executed`.
    NotExecuted,
    /// The server executes the request and responds with status 503.
    Unavailable,
    /// The server executes the request and closes the connection without a response.
    NoAnswer,
    /// The stream is truncated in the middle of an event, after this many complete events.
    TruncateAfter(u64),
    /// The stream pauses for this time after this many events.
    PauseAfter(u64, Duration),
    /// The body ends before the announced content length.
    TruncateBody,
    /// The response carries the id of another attempt.
    OtherAttempt,
    /// The response has no seal header.
    Unsigned,
    /// A late response to another attempt precedes the response to this one.
    LateAnswerFirst,
    /// The response is delayed by this time.
    Slow(Duration),
    /// The server executes the request, and writes these bytes before its response.
    Before(&'static str),
    /// The server executes the request, writes these bytes, and responds after this time.
    BeforeSlow(&'static str, Duration),
    /// The server executes the request, and writes these bytes in place of its response.
    Instead(&'static str),
    /// The same, and the connection is closed.
    InsteadAndClose(&'static str),
    /// The server responds as for [`Fault::NotExecuted`], and then writes these bytes after this time.
    NotExecutedThen(&'static str, Duration),
    /// The stream goes on with these bytes, as they are, after this many events, and is closed.
    BytesAfter(u64, &'static str),
}

/// A request that the server executed.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ExecutedRequest {
    /// The request line and headers as received, up to and including the blank line.
    pub head: String,
    /// The body, read up to its content length.
    pub body: Vec<u8>,
    /// The queued fault that the request took.
    pub fault: Option<Fault>,
}

impl ExecutedRequest {
    /// Returns true if the server broke off its response to the request.
    pub fn was_broken_off(&self) -> bool {
        match self.fault {
            Some(Fault::TruncateAfter(_)) => self.is_stream(),
            Some(Fault::NoAnswer | Fault::TruncateBody) => !self.is_stream(),
            _ => false,
        }
    }

    fn is_stream(&self) -> bool {
        self.head.contains("/events/")
    }

    /// Returns true if the request has a part with this id in its prompt that other requests may
    /// share, which all parts but the last are.
    pub fn shares_part(&self, id: &str) -> bool {
        let parts = self.header("Bitternwall-Prefix-Hash").unwrap_or_default();
        let shared = parts.rsplit(',').skip(1);
        shared.filter_map(|part| part.split(':').next()).any(|part| part == id)
    }

    /// Returns the value of the first header with this name, compared without regard to case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.lines().skip(1).find_map(|line| {
            let (key, value) = line.split_once(':')?;
            key.eq_ignore_ascii_case(name).then(|| value.trim())
        })
    }
}

/// A request that reached the server, executed or not.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// When the server had read it.
    pub at: Instant,
    /// The request, with the queued fault that it took.
    pub req: ExecutedRequest,
}

#[derive(Default)]
struct State {
    faults: VecDeque<Fault>,
    /// The fault of all requests for which none is queued.
    constant_fault: Option<Fault>,
    arrivals: Vec<Arrival>,
    executed_requests: Vec<ExecutedRequest>,
    /// A request with this body crashes the server.
    crashing_body: Option<Vec<u8>>,
    /// A request with this part in its prompt, not as the last one, crashes the server.
    crashing_part: Option<String>,
    /// What requests that resume a stream are answered with, in place of its rest.
    resumption: Option<&'static str>,
    /// True if streams have neither a length nor chunks and end with their connection.
    unframed_streams: bool,
    /// The `Server-Limit` of all responses.
    limit: Option<String>,
    /// The `Retry-After` of all responses with status 503.
    retry_after: Vec<String>,
    /// True if all responses say that the server leaves.
    leaving: bool,
    /// The time from the head of a stream to its first event, and between its events.
    event_interval: Duration,
    /// The length to which documents are filled up.
    document_bytes: usize,
    /// `None` once the server has crashed.
    listener: Option<Arc<TcpListener>>,
    /// The tasks that accept and serve connections; empty once the server has crashed.
    tasks: Vec<JoinHandle<()>>,
}

/// Time from the end of a crashing server's listener to the end of its connections, so that a client
/// that sees its connection end finds the port closed, as after the end of a process.
const CRASH_DELAY: Duration = Duration::from_millis(5);

/// A running server; clones share its state.
#[derive(Clone)]
pub struct PlatformServer {
    id: String,
    state: Arc<Mutex<State>>,
}

impl PlatformServer {
    /// Starts a server with an instance id on a free loopback port and returns it with its address.
    /// It is served by a task of the calling runtime.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub async fn start(id: &str) -> io::Result<(Self, SocketAddr)> {
        let listener = Arc::new(TcpListener::bind(("127.0.0.1", 0)).await?);
        let address = listener.local_addr()?;
        let server = Self { id: id.to_owned(), state: Arc::default() };
        server.with(|state| state.listener = Some(Arc::clone(&listener)));
        let acceptor = server.clone();
        let accepting = actix_rt::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let server = acceptor.clone();
                let serving = actix_rt::spawn(async move { server.serve(stream).await });
                acceptor.with(|state| state.tasks.push(serving));
            }
        });
        server.with(|state| state.tasks.insert(0, accepting));
        Ok((server, address))
    }

    /// Returns the server's instance id.
    pub fn id(&self) -> &str {
        &self.id
    }

    /// Makes every request with this body crash the server when it begins to execute it.
    pub fn crash_on(&self, body: &[u8]) {
        self.with(|state| state.crashing_body = Some(body.to_vec()));
    }

    /// Makes every request with this part in its prompt, not as the last one, crash the server when it
    /// begins to execute it.
    pub fn crash_on_part(&self, id: &str) {
        self.with(|state| state.crashing_part = Some(id.to_owned()));
    }

    fn crashes_on(&self, req: &ExecutedRequest) -> bool {
        self.with(|state| {
            let body = state.crashing_body.as_ref().is_some_and(|body| *body == req.body);
            body || state.crashing_part.as_ref().is_some_and(|part| req.shares_part(part))
        })
    }

    /// Makes streams end with their connection, with neither a length nor chunks.
    pub fn end_streams_with_connection(&self) {
        self.with(|state| state.unframed_streams = true);
    }

    /// Answers requests that resume a stream with these bytes, and closes the connection.
    pub fn answer_resumptions(&self, bytes: Option<&'static str>) {
        self.with(|state| state.resumption = bytes);
    }

    /// Makes all responses name this `Server-Limit`; `None` for no such header.
    pub fn name_limit(&self, limit: Option<&str>) {
        self.with(|state| state.limit = limit.map(str::to_owned));
    }

    /// Makes all responses with status 503 carry these `Retry-After` headers.
    pub fn ask_for_backoff(&self, retry_after: &[&str]) {
        self.with(|state| {
            state.retry_after = retry_after.iter().map(|s| (*s).to_owned()).collect()
        });
    }

    /// Sets whether all responses say that the server leaves.
    pub fn announce_leaving(&self, leaving: bool) {
        self.with(|state| state.leaving = leaving);
    }

    /// Returns the headers of all responses.
    fn common_headers(&self) -> String {
        let (limit, leaving) = self.with(|state| (state.limit.clone(), state.leaving));
        let limit = limit.map_or_else(String::new, |limit| format!("Server-Limit: {limit}\r\n"));
        limit + if leaving { "Server-Leaving: 1\r\n" } else { "" }
    }

    /// Returns the headers of all responses with status 503.
    fn unavailable_headers(&self) -> String {
        let retry_after = self.with(|state| state.retry_after.clone());
        let lines = retry_after.iter().map(|value| format!("Retry-After: {value}\r\n"));
        self.common_headers() + &lines.collect::<String>()
    }

    /// Sets the time before each event of the streams that begin from now on.
    pub fn pace_events(&self, interval: Duration) {
        self.with(|state| state.event_interval = interval);
    }

    /// Fills documents up to this length from now on.
    pub fn fill_documents(&self, length: usize) {
        self.with(|state| state.document_bytes = length);
    }

    /// Closes the listener and then all connections, without a response.
    ///
    /// # Panics
    ///
    /// Panics if the listener cannot be shut down.
    pub async fn crash(&self) {
        // A process that the test is just starting may have inherited the listener, which would go
        // on accepting connections if it were only closed here.
        if let Some(listener) = self.with(|state| state.listener.take()) {
            let shut_down = SockRef::from(&*listener).shutdown(Shutdown::Both);
            shut_down.expect("a listening socket can be shut down");
        }
        let mut tasks = self.with(|state| std::mem::take(&mut state.tasks)).into_iter();
        if let Some(accepting) = tasks.next() {
            accepting.abort();
        }
        actix_rt::time::sleep(CRASH_DELAY).await;
        tasks.for_each(|serving| serving.abort());
    }

    /// Returns true once the server has crashed.
    pub fn has_crashed(&self) -> bool {
        self.with(|state| state.tasks.is_empty())
    }

    /// Queues faults. Each of the next requests takes one, except those that expect another
    /// instance.
    pub fn queue_faults(&self, faults: &[Fault]) {
        self.with(|state| state.faults.extend(faults));
    }

    /// Sets the fault of all requests for which none is queued; `None` for no fault.
    pub fn set_constant_fault(&self, fault: Option<Fault>) {
        self.with(|state| state.constant_fault = fault);
    }

    /// Takes the next queued fault back.
    pub fn take_fault(&self) -> Option<Fault> {
        self.with(|state| state.faults.pop_front())
    }

    /// Returns the requests that reached the server so far, executed or not, oldest first.
    pub fn arrivals(&self) -> Vec<Arrival> {
        self.with(|state| state.arrivals.clone())
    }

    /// Returns the requests executed so far, oldest first.
    pub fn executed_requests(&self) -> Vec<ExecutedRequest> {
        self.with(|state| state.executed_requests.clone())
    }

    fn with<T>(&self, f: impl FnOnce(&mut State) -> T) -> T {
        f(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner))
    }

    async fn serve(&self, mut stream: TcpStream) {
        while let Some(req) = read_request(&mut stream).await {
            if !self.respond(&mut stream, &req).await {
                return;
            }
        }
    }

    /// Responds to one request. Returns true if the connection stays open.
    async fn respond(&self, stream: &mut TcpStream, req: &ExecutedRequest) -> bool {
        let record = |fault| {
            let req = ExecutedRequest { fault, ..req.clone() };
            self.with(|state| state.arrivals.push(Arrival { at: Instant::now(), req }));
        };
        if req.header("Bitternwall-Expect-Instance").is_some_and(|id| id != self.id) {
            record(None);
            let text = format!(
                "HTTP/1.1 421 Misdirected Request\r\nBitternwall-Attempt-Id: {}\r\n\
                 Bitternwall-Instance-Id: {}\r\ncontent-length: 0\r\n\r\n",
                req.header("Bitternwall-Attempt-Id").unwrap_or_default(),
                self.id
            );
            return stream.write_all(text.as_bytes()).await.is_ok();
        }
        let resumption = self.with(|state| state.resumption);
        if let Some(bytes) = resumption.filter(|_| req.header("Last-Event-Id").is_some()) {
            record(None);
            self.with(|state| state.executed_requests.push(req.clone()));
            drop(stream.write_all(bytes.as_bytes()).await);
            return false;
        }
        let fault = self.take_fault().or_else(|| self.with(|state| state.constant_fault));
        record(fault);
        let id = req.header("Bitternwall-Attempt-Id").unwrap_or_default().to_owned();
        if let Some(Fault::NotExecuted | Fault::NotExecutedThen(..)) = fault {
            let text = format!(
                "HTTP/1.1 503 Service Unavailable\r\nBitternwall-Attempt-Id: {id}\r\n\
                 Bitternwall-Not-Executed: 1\r\n{}content-length: 0\r\n\r\n",
                self.unavailable_headers()
            );
            let written = stream.write_all(text.as_bytes()).await.is_ok();
            let Some(Fault::NotExecutedThen(bytes, delay)) = fault else { return written };
            actix_rt::time::sleep(delay).await;
            return stream.write_all(bytes.as_bytes()).await.is_ok();
        }
        self.with(|state| state.executed_requests.push(ExecutedRequest { fault, ..req.clone() }));
        if self.crashes_on(req) {
            self.crash().await;
            return false;
        }
        match fault {
            Some(Fault::Before(bytes)) => drop(stream.write_all(bytes.as_bytes()).await),
            Some(Fault::BeforeSlow(bytes, delay)) => {
                drop(stream.write_all(bytes.as_bytes()).await);
                actix_rt::time::sleep(delay).await;
            }
            Some(Fault::Instead(bytes)) => {
                return stream.write_all(bytes.as_bytes()).await.is_ok();
            }
            Some(Fault::InsteadAndClose(bytes)) => {
                // The connection is closed whether or not the bytes arrive.
                drop(stream.write_all(bytes.as_bytes()).await);
                return false;
            }
            _ => {}
        }
        if req.is_stream() {
            return self.send_stream(stream, req, &id, fault).await;
        }
        self.send_document(stream, &id, fault).await
    }

    async fn send_document(&self, stream: &mut TcpStream, id: &str, fault: Option<Fault>) -> bool {
        let mut body = format!("answer to {id}");
        let padding = self.with(|state| state.document_bytes).saturating_sub(body.len());
        body.extend(iter::repeat_n(' ', padding));
        let seal_header = format!("Bitternwall-Server-Seal: {}.seal\r\n", self.id);
        let headers = match fault {
            Some(Fault::Unavailable) => self.unavailable_headers(),
            _ => self.common_headers(),
        };
        let response = |id: &str, status: &str, seal: &str| {
            format!(
                "HTTP/1.1 {status}\r\nBitternwall-Attempt-Id: {id}\r\n{seal}{headers}content-length: {}\r\n\r\n{body}",
                body.len()
            )
        };
        let text = match fault {
            Some(Fault::NoAnswer) => return false,
            Some(Fault::Failure) => response(id, "500 Internal Server Error", &seal_header),
            Some(Fault::Unavailable) => response(id, "503 Service Unavailable", &seal_header),
            Some(Fault::OtherAttempt) => response("other", "200 OK", &seal_header),
            Some(Fault::Unsigned) => response(id, "200 OK", ""),
            Some(Fault::LateAnswerFirst) => {
                response("earlier", "200 OK", &seal_header) + &response(id, "200 OK", &seal_header)
            }
            Some(Fault::TruncateBody) => {
                let text = response(id, "200 OK", &seal_header);
                drop(stream.write_all(&text.as_bytes()[..text.len() - 3]).await);
                return false;
            }
            Some(Fault::Slow(time)) => {
                actix_rt::time::sleep(time).await;
                response(id, "200 OK", &seal_header)
            }
            _ => response(id, "200 OK", &seal_header),
        };
        stream.write_all(text.as_bytes()).await.is_ok()
    }

    async fn send_stream(
        &self,
        stream: &mut TcpStream,
        req: &ExecutedRequest,
        id: &str,
        fault: Option<Fault>,
    ) -> bool {
        let last_event: u64 =
            req.header("Last-Event-Id").and_then(|id| id.parse().ok()).unwrap_or(0);
        let unframed = self.with(|state| state.unframed_streams);
        let framing = if unframed { "" } else { "transfer-encoding: chunked\r\n" };
        let head = format!(
            "HTTP/1.1 200 OK\r\nBitternwall-Attempt-Id: {id}\r\nBitternwall-Server-Seal: {}.seal\r\n\
             {}content-type: text/event-stream\r\n{framing}\r\n",
            self.id,
            self.common_headers()
        );
        if stream.write_all(head.as_bytes()).await.is_err() {
            return false;
        }
        let interval = self.with(|state| state.event_interval);
        for event in last_event + 1..=STREAM_EVENTS {
            if !interval.is_zero() {
                actix_rt::time::sleep(interval).await;
            }
            if let Some(Fault::PauseAfter(events, time)) = fault
                && event == events + 1
            {
                actix_rt::time::sleep(time).await;
            }
            if let Some(Fault::BytesAfter(events, bytes)) = fault
                && event == events + 1
            {
                drop(stream.write_all(bytes.as_bytes()).await);
                return false;
            }
            let text = event_text(event);
            let truncated =
                matches!(fault, Some(Fault::TruncateAfter(complete)) if event == complete + 1);
            let data = if truncated { &text[..text.len() / 2] } else { &text[..] };
            let chunk = match unframed {
                true => data.to_owned(),
                false => format!("{:x}\r\n{data}\r\n", data.len()),
            };
            if stream.write_all(chunk.as_bytes()).await.is_err() || truncated {
                return false;
            }
        }
        !unframed && stream.write_all(b"0\r\n\r\n").await.is_ok()
    }
}

/// Returns one server-sent event with this id, as written to the stream.
pub fn event_text(id: u64) -> String {
    format!("id: {id}\ndata: piece {id}\n\n")
}

async fn read_request(stream: &mut TcpStream) -> Option<ExecutedRequest> {
    let mut bytes = Vec::new();
    let head_end = loop {
        if let Some(head_end) = bytes.windows(4).position(|window| window == b"\r\n\r\n") {
            break head_end + 4;
        }
        if stream.read_buf(&mut bytes).await.ok()? == 0 {
            return None;
        }
    };
    let head = String::from_utf8_lossy(&bytes[..head_end]).into_owned();
    let mut req = ExecutedRequest { head, body: bytes[head_end..].to_vec(), fault: None };
    let length: usize = req.header("content-length").and_then(|n| n.parse().ok()).unwrap_or(0);
    while req.body.len() < length {
        if stream.read_buf(&mut req.body).await.ok()? == 0 {
            return None;
        }
    }
    Some(req)
}
