//! Reads streamed answers piece by piece, and controls the engine stand-ins.

#![allow(dead_code, reason = "each test file uses its own part of the helpers")]

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use super::strict_io;
use awc::http::StatusCode;
use bytes::Bytes;
use futures_util::StreamExt as _;
use futures_util::stream::{self, LocalBoxStream};
use serde_json::Value;
use standins::engine::messages::Runs;
use standins::fault_proxy::FaultProxy;
use standins::fleet::{self, Fleet, Target};

use crate::common::{self, Call};

/// Time after which a missing piece fails the test; only a lost answer takes that long.
const PIECE_TIMEOUT: Duration = Duration::from_secs(30);

/// Returns a client that reports a lost connection as an error, never as the end of an answer.
pub fn strict_client(timeout: Duration) -> awc::Client {
    let connector = awc::Connector::new().connector(strict_io::StrictConnector::new());
    awc::Client::builder().connector(connector).timeout(timeout).finish()
}

/// Streamed is a streamed answer that is being received.
pub struct Streamed {
    pub status: StatusCode,
    /// The target that serves the beginning of the answer.
    pub target: String,
    pieces: LocalBoxStream<'static, Option<Bytes>>,
    received: Vec<u8>,
}

/// Finished is what was received of a streamed answer once it ended or was interrupted.
#[derive(Debug)]
pub struct Finished {
    pub status: StatusCode,
    /// The concatenated text of its chunks.
    pub text: String,
    /// Number of events that mark the answer as complete.
    pub done_events: usize,
    /// The problem document in its error event.
    pub error: Option<Value>,
    /// True if the HTTP body was terminated properly, false if the connection was lost before.
    pub clean: bool,
}

impl Finished {
    /// Returns true if a client could take the answer for complete.
    pub fn is_marked_complete(&self) -> bool {
        self.clean || self.done_events > 0
    }

    /// Fails unless this is the complete answer, without repetition.
    pub fn assert_complete(&self, prompt: &str, tokens: usize) {
        assert_eq!(self.text, common::expected_text(prompt, tokens), "{self:?}");
        assert_eq!((self.done_events, self.clean, &self.error), (1, true, &None), "{self:?}");
    }

    /// Fails unless this is the beginning of the answer, followed by an explicit error.
    pub fn assert_interrupted(&self, prompt: &str, tokens: usize) {
        let complete = common::expected_text(prompt, tokens);
        assert!(complete.starts_with(&self.text), "{self:?}");
        assert!(!self.is_marked_complete(), "{self:?}");
        assert!(self.error.is_some(), "{self:?}");
    }
}

impl Streamed {
    /// Requests a streamed answer and waits for its head. Returns `None` if there is none.
    pub async fn open(entry: SocketAddr, prompt: &str, tokens: usize) -> Option<Self> {
        let body = common::chat_body(prompt, tokens, true).to_string();
        let url = format!("http://{entry}/v1/chat/completions");
        let request = strict_client(PIECE_TIMEOUT).post(url).bearer_auth(common::KEY);
        let response = request.send_body(body).await.ok()?;
        let target = response.headers().get("bitternwall-target");
        let target = target.and_then(|name| name.to_str().ok()).unwrap_or_default().to_owned();
        let status = response.status();
        let pieces = response.map(Result::ok);
        // Ends the stream after a failed piece.
        let pieces = pieces.scan(true, |open, piece| {
            let continues = std::mem::replace(open, piece.is_some());
            async move { continues.then_some(piece) }
        });
        Some(Self { status, target, pieces: pieces.boxed_local(), received: Vec::new() })
    }

    /// Reads until at least `count` tokens have been received.
    pub async fn read_tokens(&mut self, count: usize) {
        while tokens_in(&self.received) < count {
            let piece = self.next().await;
            let piece = piece.flatten().expect("the stream continues");
            self.received.extend_from_slice(&piece);
        }
    }

    /// Reads the rest of the answer.
    pub async fn finish(mut self) -> Finished {
        let mut clean = true;
        while let Some(piece) = self.next().await {
            match piece {
                Some(piece) => self.received.extend_from_slice(&piece),
                None => clean = false,
            }
        }
        let body = String::from_utf8(self.received).expect("a stream is text");
        let events = || body.split("\n\n").filter_map(|event| event.strip_prefix("data: "));
        let documents = || events().filter_map(|event| serde_json::from_str::<Value>(event).ok());
        let token = |document: Value| {
            document["choices"][0]["delta"]["content"].as_str().map(str::to_owned)
        };
        Finished {
            status: self.status,
            text: documents().filter_map(token).collect(),
            done_events: events().filter(|event| *event == "[DONE]").count(),
            error: documents().find_map(|document| document.get("error").cloned()),
            clean,
        }
    }

    async fn next(&mut self) -> Option<Option<Bytes>> {
        let next = tokio::time::timeout(PIECE_TIMEOUT, self.pieces.next()).await;
        next.expect("the next piece or the end arrives in time")
    }
}

fn tokens_in(received: &[u8]) -> usize {
    String::from_utf8_lossy(received).matches("\"content\":\"").count()
}

/// Reads a streamed answer to its end. Returns `None` if there is no answer.
pub async fn stream(entry: SocketAddr, prompt: &str, tokens: usize) -> Option<Finished> {
    Some(Streamed::open(entry, prompt, tokens).await?.finish().await)
}

/// Puts a pipe between the entries and each agent. Call it before the resources are declared, since
/// they name the pipes' addresses.
pub async fn pipe_links(fleet: &mut Fleet) -> Vec<FaultProxy> {
    let mut pipes = Vec::new();
    for target in &mut fleet.targets {
        let pipe = FaultProxy::start(target.agent.address).await.expect("a port is free");
        target.link = pipe.address;
        pipes.push(pipe);
    }
    pipes
}

/// Returns the index of a target in its fleet.
pub fn target_index(fleet: &Fleet, name: &str) -> usize {
    let found = fleet.targets.iter().position(|target| target.name == name);
    found.expect("the fleet has the target that answers")
}

/// Returns the targets that are engines.
pub fn engines(fleet: &Fleet) -> impl Iterator<Item = &Target> {
    fleet.targets.iter().filter(|target| target.service == fleet::MODEL_SERVICE)
}

/// Sets how an engine stand-in behaves.
pub async fn set_behaviour(engine: SocketAddr, behaviour: &Value) {
    let answer = Call::post(engine, "/control/behaviour", behaviour).send().await;
    assert!(answer.expect("the engine answers").status.is_success());
}

/// Returns the requests that an engine ran.
pub async fn runs(engine: SocketAddr) -> Runs {
    let answer = Call::get(engine, "/control/runs").send().await.expect("the engine answers");
    serde_json::from_slice(&answer.body).expect("the engine lists its runs")
}

/// Returns how often each prompt ran, over all engines of the fleet; each must be running.
pub async fn all_runs(fleet: &Fleet) -> BTreeMap<String, u64> {
    let each = stream::iter(engines(fleet)).then(|engine| runs(engine.back_end.address));
    each.fold(BTreeMap::new(), |mut all, runs| async move {
        for (prompt, count) in runs.runs {
            *all.entry(prompt).or_default() += count;
        }
        all
    })
    .await
}
