//! One server of the platform, as far as entries use it, with the faults that tests need.

use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};

/// Events of a whole stream.
pub const EVENTS: u64 = 6;

/// Fault is what becomes of one request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// The server answers with a failure of its own.
    Failure,
    /// It does not run the request, and says so.
    NotExecuted,
    /// It runs the request and closes the connection without an answer.
    NoAnswer,
    /// Its stream breaks off in the middle of an event, after so many whole ones.
    TruncateAfter(u64),
    /// Its document ends before its length.
    TruncateBody,
    /// Its answer bears the id of another attempt.
    OtherAttempt,
    /// Its answer is not signed.
    Unsigned,
    /// A late answer to another attempt comes before its own.
    LateAnswerFirst,
    /// It answers after this time.
    Slow(Duration),
}

/// ExecutedRequest is a request that the server ran.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ExecutedRequest {
    /// The head, as it arrived.
    pub head: String,
    /// The body.
    pub body: Vec<u8>,
}

impl ExecutedRequest {
    /// Returns a header's value.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.lines().skip(1).find_map(|line| {
            let (key, value) = line.split_once(':')?;
            key.eq_ignore_ascii_case(name).then(|| value.trim())
        })
    }
}

#[derive(Default)]
struct State {
    faults: VecDeque<Fault>,
    executed_requests: Vec<ExecutedRequest>,
}

/// PlatformServer is a running server; clones share it.
#[derive(Clone)]
pub struct PlatformServer {
    id: String,
    state: Arc<Mutex<State>>,
}

impl PlatformServer {
    /// Starts a server under an id, and returns it with its address. It runs in the background of
    /// the calling runtime.
    ///
    /// # Errors
    ///
    /// Returns an error where no address is free.
    pub async fn start(id: &str) -> io::Result<(Self, SocketAddr)> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let address = listener.local_addr()?;
        let server = Self { id: id.to_owned(), state: Arc::default() };
        let accepting = server.clone();
        actix_rt::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let server = accepting.clone();
                actix_rt::spawn(async move { server.serve(stream).await });
            }
        });
        Ok((server, address))
    }

    /// Lets the next requests meet faults, one each.
    pub fn queue_faults(&self, faults: &[Fault]) {
        self.with(|state| state.faults.extend(faults));
    }

    /// Returns the requests that were run.
    pub fn executed_requests(&self) -> Vec<ExecutedRequest> {
        self.with(|state| state.executed_requests.clone())
    }

    fn with<T>(&self, use_state: impl FnOnce(&mut State) -> T) -> T {
        use_state(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner))
    }

    async fn serve(&self, mut stream: TcpStream) {
        while let Some(run) = read(&mut stream).await {
            if !self.answer(&mut stream, &run).await {
                return;
            }
        }
    }

    /// Answers one request. Tells whether the connection goes on.
    async fn answer(&self, stream: &mut TcpStream, run: &ExecutedRequest) -> bool {
        if run.header("Bitternwall-Expect-Instance").is_some_and(|id| id != self.id) {
            let text = format!(
                "HTTP/1.1 421 Misdirected Request\r\nBitternwall-Instance-Id: {}\r\ncontent-length: 0\r\n\r\n",
                self.id
            );
            return stream.write_all(text.as_bytes()).await.is_ok();
        }
        let fault = self.with(|state| state.faults.pop_front());
        if fault == Some(Fault::NotExecuted) {
            let text = "HTTP/1.1 503 Service Unavailable\r\nBitternwall-Not-Executed: 1\r\ncontent-length: 0\r\n\r\n";
            return stream.write_all(text.as_bytes()).await.is_ok();
        }
        self.with(|state| state.executed_requests.push(run.clone()));
        let id = run.header("Bitternwall-Attempt-Id").unwrap_or_default().to_owned();
        if run.head.contains("/events/") {
            return self.stream(stream, run, &id, fault).await;
        }
        self.document(stream, &id, fault).await
    }

    async fn document(&self, stream: &mut TcpStream, id: &str, fault: Option<Fault>) -> bool {
        let body = format!("answer to {id}");
        let signed = format!("Bitternwall-Server-Seal: {}.seal\r\n", self.id);
        let whole = |id: &str, status: &str, seal: &str| {
            format!(
                "HTTP/1.1 {status}\r\nBitternwall-Attempt-Id: {id}\r\n{seal}content-length: {}\r\n\r\n{body}",
                body.len()
            )
        };
        let text = match fault {
            Some(Fault::NoAnswer) => return false,
            Some(Fault::Failure) => whole(id, "500 Internal Server Error", &signed),
            Some(Fault::OtherAttempt) => whole("other", "200 OK", &signed),
            Some(Fault::Unsigned) => whole(id, "200 OK", ""),
            Some(Fault::LateAnswerFirst) => {
                whole("earlier", "200 OK", &signed) + &whole(id, "200 OK", &signed)
            }
            Some(Fault::TruncateBody) => {
                let text = whole(id, "200 OK", &signed);
                drop(stream.write_all(&text.as_bytes()[..text.len() - 3]).await);
                return false;
            }
            Some(Fault::Slow(time)) => {
                actix_rt::time::sleep(time).await;
                whole(id, "200 OK", &signed)
            }
            _ => whole(id, "200 OK", &signed),
        };
        stream.write_all(text.as_bytes()).await.is_ok()
    }

    async fn stream(
        &self,
        stream: &mut TcpStream,
        run: &ExecutedRequest,
        id: &str,
        fault: Option<Fault>,
    ) -> bool {
        let after: u64 = run.header("Last-Event-Id").and_then(|id| id.parse().ok()).unwrap_or(0);
        let head = format!(
            "HTTP/1.1 200 OK\r\nBitternwall-Attempt-Id: {id}\r\nBitternwall-Server-Seal: {}.seal\r\n\
             content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n",
            self.id
        );
        if stream.write_all(head.as_bytes()).await.is_err() {
            return false;
        }
        for event in after + 1..=EVENTS {
            let text = event_text(event);
            let cut = matches!(fault, Some(Fault::TruncateAfter(whole)) if event == whole + 1);
            let part = if cut { &text[..text.len() / 2] } else { &text[..] };
            let chunk = format!("{:x}\r\n{part}\r\n", part.len());
            if stream.write_all(chunk.as_bytes()).await.is_err() || cut {
                return false;
            }
        }
        stream.write_all(b"0\r\n\r\n").await.is_ok()
    }
}

/// Returns the text of one event.
pub fn event_text(id: u64) -> String {
    format!("id: {id}\ndata: piece {id}\n\n")
}

async fn read(stream: &mut TcpStream) -> Option<ExecutedRequest> {
    let mut bytes = Vec::new();
    let end = loop {
        if let Some(end) = bytes.windows(4).position(|window| window == b"\r\n\r\n") {
            break end + 4;
        }
        if stream.read_buf(&mut bytes).await.ok()? == 0 {
            return None;
        }
    };
    let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
    let mut run = ExecutedRequest { head, body: bytes[end..].to_vec() };
    let length: usize = run.header("content-length").and_then(|n| n.parse().ok()).unwrap_or(0);
    while run.body.len() < length {
        if stream.read_buf(&mut run.body).await.ok()? == 0 {
            return None;
        }
    }
    Some(run)
}
