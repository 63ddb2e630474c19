//! A target that writes bytes as they are in place of answers, and a caller that sees all bytes it gets.

use std::io::{self, Read as _, Write as _};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use super::KEY;

/// The path prefix of requests that are answered with a form of the list.
pub const FORM_PATH: &str = "/form/";

/// The answer to all other requests.
const SOUND: &str = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nsound";

/// Time after an answer in which more bytes would arrive.
const QUIET_TIME: Duration = Duration::from_millis(150);

/// Longer than any request of the tests may take.
const MAX_WAIT: Duration = Duration::from_secs(15);

/// What the target writes, and whether it resets the connection afterwards.
#[derive(Clone, Debug)]
pub struct Form {
    pub bytes: String,
    pub resets: bool,
}

/// A running target. Each request to [`FORM_PATH`] and a number is answered with that form, and the
/// connection closed.
pub struct RawTarget {
    pub address: SocketAddr,
    runs: Arc<AtomicUsize>,
}

impl RawTarget {
    pub fn start(forms: Vec<Form>) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port");
        let address = listener.local_addr().expect("an address");
        let runs = Arc::new(AtomicUsize::new(0));
        let (forms, counted) = (Arc::new(forms), Arc::clone(&runs));
        thread::spawn(move || {
            for stream in listener.incoming().map_while(io::Result::ok) {
                let (forms, counted) = (Arc::clone(&forms), Arc::clone(&counted));
                // A caller that is gone ends the connection.
                thread::spawn(move || drop(serve(stream, &forms, &counted)));
            }
        });
        Self { address, runs }
    }

    /// Returns how many requests for a form have arrived.
    pub fn runs(&self) -> usize {
        self.runs.load(Ordering::SeqCst)
    }
}

fn serve(mut stream: TcpStream, forms: &[Form], runs: &AtomicUsize) -> io::Result<()> {
    loop {
        let (mut head, mut byte) = (Vec::new(), [0]);
        while !head.ends_with(b"\r\n\r\n") {
            stream.read_exact(&mut byte)?;
            head.push(byte[0]);
        }
        let head = String::from_utf8_lossy(&head).to_ascii_lowercase();
        let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
        let mut body = vec![0; length.and_then(|length| length.parse().ok()).unwrap_or(0)];
        stream.read_exact(&mut body)?;
        let number = head.split(' ').nth(1).and_then(|path| path.strip_prefix(FORM_PATH));
        let form = number.and_then(|number| forms.get(number.parse::<usize>().ok()?));
        let Some(Form { bytes, resets }) = form else {
            stream.write_all(SOUND.as_bytes())?;
            continue;
        };
        runs.fetch_add(1, Ordering::SeqCst);
        stream.write_all(bytes.as_bytes())?;
        if *resets {
            thread::sleep(QUIET_TIME);
            socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO))?;
        }
        return Ok(());
    }
}

/// A caller that keeps one connection.
pub struct RawCaller {
    stream: TcpStream,
    /// The pause before each read of a few bytes.
    pause: Duration,
}

impl RawCaller {
    pub fn open(entry: SocketAddr) -> Self {
        let stream = TcpStream::connect(entry).expect("a connection");
        Self { stream, pause: Duration::ZERO }
    }

    /// Returns the caller with a pause before each read.
    pub fn reading_slowly(self, pause: Duration) -> Self {
        Self { pause, ..self }
    }

    /// Sends a request to the plain service and returns all bytes that come until the connection is
    /// quiet or ends.
    pub fn exchange(&mut self, method: &str, path: &str, headers: &str) -> String {
        let text = format!(
            "{method} /v1/services/dispatch-api{path} HTTP/1.1\r\nHost: a\r\n\
             Authorization: Bearer {KEY}\r\nRequest-Timeout-Ms: 4000\r\nContent-Length: 0\r\n\
             {headers}\r\n"
        );
        if self.stream.write_all(text.as_bytes()).is_err() {
            return String::new();
        }
        let (mut bytes, mut buf) = (Vec::new(), [0; 4096]);
        loop {
            let wait = if bytes.is_empty() { MAX_WAIT } else { QUIET_TIME };
            self.stream.set_read_timeout(Some(wait)).expect("a time above zero");
            thread::sleep(self.pause);
            match self.stream.read(&mut buf) {
                Ok(length) if length > 0 => bytes.extend_from_slice(&buf[..length]),
                _ => return String::from_utf8_lossy(&bytes).into_owned(),
            }
        }
    }
}
