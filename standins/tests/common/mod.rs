//! Runs the `standin` program and sends requests to it.
#![allow(dead_code, reason = "each test file uses only some of these helpers")]

use std::io::{self, BufRead};
use std::process;
use std::time::Duration;

use awc::{Client, ClientResponse, error};
use bytes::Bytes;
use futures_util::StreamExt;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net;

/// A `standin` process, which is killed when dropped.
pub struct Standin {
    child: process::Child,
    address: String,
}

impl Standin {
    /// Starts a stand-in on a free port.
    pub fn start(args: &[&str]) -> Self {
        let mut child = process::Command::new(env!("CARGO_BIN_EXE_standin"))
            .args(args)
            .args(["--listen", "127.0.0.1:0"])
            .stdout(process::Stdio::piped())
            .spawn()
            .expect("the program was built for this test");
        let stdout = child.stdout.take().expect("the output is piped");
        let mut line = String::new();
        io::BufReader::new(stdout).read_line(&mut line).expect("the program prints its address");
        let address = line.trim().strip_prefix("listening ").expect("the line has this form");
        Self { address: address.to_owned(), child }
    }

    /// Returns the URL of a path at this stand-in.
    pub fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.address)
    }

    /// Posts a JSON body and returns the response, or the error if there is none.
    pub async fn send(
        &self,
        path: &str,
        body: &impl Serialize,
    ) -> Result<ClientResponse, error::SendRequestError> {
        let client = Client::builder().timeout(Duration::from_secs(10)).finish();
        client.post(self.url(path)).send_json(body).await
    }

    /// Posts a JSON body and returns the status and the JSON of the response; null if it is not
    /// JSON.
    pub async fn post(&self, path: &str, body: &impl Serialize) -> (u16, Value) {
        let mut res = self.send(path, body).await.expect("the stand-in responds");
        let status = res.status().as_u16();
        let body = res.body().limit(16_000_000).await.expect("the response is complete");
        (status, serde_json::from_slice(&body).unwrap_or_default())
    }

    /// Posts a JSON body on a separate connection and returns all bytes until the connection ends.
    ///
    /// awc treats a connection that is closed early as the end of the body, so truncated responses
    /// are tested this way.
    pub async fn post_raw(&self, path: &str, body: &impl Serialize) -> String {
        let body = serde_json::to_string(body).expect("the body is JSON");
        let length = body.len();
        let head = format!("POST {path} HTTP/1.1\r\nhost: standin\r\ncontent-length: {length}");
        let mut stream =
            net::TcpStream::connect(&self.address).await.expect("the stand-in listens");
        stream
            .write_all(format!("{head}\r\n\r\n{body}").as_bytes())
            .await
            .expect("the stand-in reads");
        let mut answer = Vec::new();
        // The connection may end with a reset instead of a close.
        let _ = stream.read_to_end(&mut answer).await;
        String::from_utf8(answer).expect("the response is text")
    }

    /// Gets a path and returns the response parsed from JSON.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> T {
        let mut res =
            Client::default().get(self.url(path)).send().await.expect("the stand-in responds");
        res.json().await.expect("the response has this type")
    }

    /// Sends SIGTERM, as a planned stop does.
    pub fn terminate(&self) {
        let kill = format!("kill -TERM {}", self.child.id());
        let status = process::Command::new("sh").args(["-c", &kill]).status();
        assert!(status.expect("there is a shell").success());
    }

    /// Waits for the process to terminate by itself.
    pub async fn wait(&mut self) -> process::ExitStatus {
        loop {
            if let Some(status) = self.child.try_wait().expect("the child is this test's") {
                return status;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }
}

impl Drop for Standin {
    fn drop(&mut self) {
        // The process may have terminated already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The last bytes of a complete chunked response.
pub const LAST_CHUNK: &str = "\r\n0\r\n\r\n";

/// Reads a streamed response line by line.
pub struct Lines {
    res: ClientResponse,
    buf: Vec<u8>,
}

impl Lines {
    /// Returns a reader of the lines of a response.
    pub fn new(res: ClientResponse) -> Self {
        Self { res, buf: Vec::new() }
    }

    /// Returns the next line that is not empty, `None` at the end, or an error if the stream is
    /// interrupted.
    pub async fn next(&mut self) -> Option<Result<String, error::PayloadError>> {
        loop {
            if let Some(end) = self.buf.iter().position(|&byte| byte == b'\n') {
                let line: Vec<u8> = self.buf.drain(..=end).collect();
                let line = String::from_utf8(line).expect("the response is text");
                if !line.trim().is_empty() {
                    return Some(Ok(line.trim().to_owned()));
                }
                continue;
            }
            match self.res.next().await? {
                Ok(piece) => self.push(&piece),
                Err(error) => return Some(Err(error)),
            }
        }
    }

    /// Returns the next line as JSON.
    pub async fn next_json(&mut self) -> Value {
        let line = self
            .next()
            .await
            .expect("another line follows")
            .expect("the stream is not interrupted");
        serde_json::from_str(&line).expect("the line is JSON")
    }

    fn push(&mut self, piece: &Bytes) {
        self.buf.extend_from_slice(piece);
    }
}
