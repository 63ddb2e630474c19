//! A fake server instance whose answers never end.
//!
//! Load pattern: a client that reads as fast as it can is sent bytes as fast as it reads. Each
//! connection has a thread of its own, so that the flood does not slow the runtime of a test.

use std::collections::BTreeSet;
use std::io::{self, Read as _, Write as _};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// The length that [`Flood::Document`] announces, in bytes.
pub const DOCUMENT_BYTES: u64 = 1_000_000_000_000_000_000;

/// Bytes that are written at once, about.
const BLOCK_BYTES: usize = 64 * 1024;

/// Pause between two bytes of a slow answer.
const BYTE_INTERVAL: Duration = Duration::from_secs(1);

const ATTEMPT_ID: &str = "bitternwall-attempt-id:";

/// The part of an answer that has no end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Flood {
    /// One event of a chunked stream.
    Event,
    /// Heads with status 100.
    InterimHeads,
    /// The header lines of the head.
    HeaderLines,
    /// The extension of the first chunk's size.
    ChunkExtension,
    /// The digits of the first chunk's size.
    ChunkSize,
    /// The trailers after the last chunk.
    Trailers,
    /// Chunks of one byte, each with a long extension.
    PaddedChunks,
    /// A body with a length of [`DOCUMENT_BYTES`].
    Document,
    /// A body that ends with the connection.
    UnframedDocument,
    /// The header lines of the head, one byte a second.
    SlowHead,
}

impl Flood {
    /// Returns the answer to a request up to the part that repeats.
    fn start(self, attempt_id: &str) -> String {
        let ok = format!(
            "HTTP/1.1 200 OK\r\nBitternwall-Attempt-Id: {attempt_id}\r\n\
             Bitternwall-Server-Seal: endless.seal\r\n"
        );
        let chunked = "transfer-encoding: chunked\r\n\r\n";
        match self {
            Self::Event => format!("{ok}content-type: text/event-stream\r\n{chunked}"),
            Self::InterimHeads => String::new(),
            Self::HeaderLines => ok,
            Self::ChunkExtension => format!("{ok}{chunked}5;"),
            Self::ChunkSize | Self::PaddedChunks => format!("{ok}{chunked}"),
            Self::Trailers => format!("{ok}{chunked}5\r\nvalve\r\n0\r\n"),
            Self::Document => format!("{ok}content-length: {DOCUMENT_BYTES}\r\n\r\n"),
            Self::UnframedDocument => format!("{ok}connection: close\r\n\r\n"),
            Self::SlowHead => ok + "x-slow: ",
        }
    }

    /// Returns the part that repeats.
    fn block(self) -> Vec<u8> {
        let unit = match self {
            Self::Event => format!("1000\r\ndata: {}\n\r\n", "x".repeat(0x1000 - 7)),
            Self::InterimHeads => "HTTP/1.1 100 Continue\r\n\r\n".to_owned(),
            Self::HeaderLines | Self::Trailers => "x-more: and more\r\n".to_owned(),
            Self::ChunkSize => "0".to_owned(),
            Self::PaddedChunks => format!("1;{}\r\nx\r\n", "x".repeat(0x1000)),
            Self::ChunkExtension | Self::Document | Self::UnframedDocument | Self::SlowHead => {
                "x".to_owned()
            }
        };
        match self {
            Self::SlowHead => unit.into_bytes(),
            _ => unit.repeat(BLOCK_BYTES.div_ceil(unit.len())).into_bytes(),
        }
    }

    fn pause(self) -> Option<Duration> {
        (self == Self::SlowHead).then_some(BYTE_INTERVAL)
    }
}

#[derive(Default)]
struct State {
    attempt_ids: BTreeSet<String>,
    open: usize,
    longest_answer: Duration,
}

#[derive(Default)]
struct Shared {
    stopping: AtomicBool,
    /// Bytes that are still sent, over all connections; they stay open afterwards.
    left: AtomicUsize,
    state: Mutex<State>,
}

impl Shared {
    fn with<T>(&self, f: impl FnOnce(&mut State) -> T) -> T {
        f(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// A running server, which ends when this is dropped.
pub struct EndlessServer {
    address: SocketAddr,
    shared: Arc<Shared>,
}

impl EndlessServer {
    /// Starts a server on a free loopback port.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub fn start(flood: Flood) -> io::Result<Self> {
        Self::start_limited(flood, usize::MAX)
    }

    /// Starts a server that falls silent after so many bytes, so that a client that holds them all does
    /// not fill the memory of the host.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub fn start_limited(flood: Flood, max_bytes: usize) -> io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0))?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared { left: AtomicUsize::new(max_bytes), ..Shared::default() });
        let acceptor = Arc::clone(&shared);
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                if acceptor.stopping.load(Ordering::Relaxed) {
                    return;
                }
                let shared = Arc::clone(&acceptor);
                thread::spawn(move || serve(&shared, stream, flood));
            }
        });
        Ok(Self { address, shared })
    }

    /// Returns the address at which it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the ids of the attempts that it received.
    pub fn attempt_ids(&self) -> BTreeSet<String> {
        self.shared.with(|state| state.attempt_ids.clone())
    }

    /// Returns the number of answers in progress.
    pub fn answers_in_progress(&self) -> usize {
        self.shared.with(|state| state.open)
    }

    /// Returns the longest time from a request to the end of its connection, of those that ended.
    pub fn longest_answer(&self) -> Duration {
        self.shared.with(|state| state.longest_answer)
    }
}

impl Drop for EndlessServer {
    fn drop(&mut self) {
        self.shared.stopping.store(true, Ordering::Relaxed);
        // Wakes the thread that accepts; it may have ended already.
        drop(TcpStream::connect(self.address));
    }
}

fn serve(shared: &Shared, mut stream: TcpStream, flood: Flood) {
    let Some(attempt_id) = read_attempt_id(&mut stream) else { return };
    let began = Instant::now();
    shared.with(|state| {
        state.attempt_ids.insert(attempt_id.clone());
        state.open += 1;
    });
    // The only end of an answer is that the client closes the connection.
    drop(send(shared, &mut stream, flood, &attempt_id));
    shared.with(|state| {
        state.open -= 1;
        state.longest_answer = state.longest_answer.max(began.elapsed());
    });
}

fn send(shared: &Shared, stream: &mut TcpStream, flood: Flood, attempt_id: &str) -> io::Result<()> {
    stream.write_all(flood.start(attempt_id).as_bytes())?;
    let block = flood.block();
    while !shared.stopping.load(Ordering::Relaxed) {
        let taken = shared.left.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |left| {
            left.checked_sub(block.len())
        });
        if taken.is_err() {
            // Reads until the client closes the connection.
            return io::copy(stream, &mut io::sink()).map(drop);
        }
        stream.write_all(&block)?;
        if let Some(pause) = flood.pause() {
            thread::sleep(pause);
        }
    }
    Ok(())
}

/// Reads the head of a request and returns the id of its attempt, which is empty if it has none.
/// Returns `None` if the connection ends first.
fn read_attempt_id(stream: &mut TcpStream) -> Option<String> {
    let (mut head, mut buf) = (Vec::new(), [0_u8; 4_096]);
    while !head.windows(4).any(|window| window == b"\r\n\r\n") {
        match stream.read(&mut buf).ok()? {
            0 => return None,
            length => head.extend_from_slice(&buf[..length]),
        }
    }
    let head = String::from_utf8_lossy(&head).to_ascii_lowercase();
    let id = head.lines().find_map(|line| line.strip_prefix(ATTEMPT_ID));
    Some(id.unwrap_or_default().trim().to_owned())
}
