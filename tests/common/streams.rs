//! Reads a streamed answer piece by piece, and drives the engine stand-ins.

#![allow(dead_code, reason = "each test file uses its own part of the helpers")]

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use awc::http::StatusCode;
use bitternwall::agent::strict_io;
use bytes::Bytes;
use futures_util::StreamExt as _;
use futures_util::stream::{self, LocalBoxStream};
use serde_json::Value;
use standins::engine::messages::Runs;
use standins::fault_proxy::FaultProxy;
use standins::fleet::{self, Fleet, Target};

use crate::common::{self, Call};

/// How long a test waits for the next piece; only a lost answer needs it.
const PIECE_LIMIT: Duration = Duration::from_secs(30);

/// Returns a client that takes a cut connection for an error, never for an answer's end.
pub fn strict_client(timeout: Duration) -> awc::Client {
    let connector = awc::Connector::new().connector(strict_io::StrictConnector::new());
    awc::Client::builder().connector(connector).timeout(timeout).finish()
}

/// Streamed is a streamed answer on its way.
pub struct Streamed {
    pub status: StatusCode,
    /// The target that answers at first.
    pub target: String,
    pieces: LocalBoxStream<'static, Option<Bytes>>,
    received: Vec<u8>,
}

/// Finished is all that came of a streamed answer.
#[derive(Debug)]
pub struct Finished {
    pub status: StatusCode,
    /// The text of its chunks.
    pub text: String,
    /// Events that say that it is whole.
    pub dones: usize,
    /// The problem in its error event.
    pub error: Option<Value>,
    /// True where the connection ended as HTTP says, false where it was cut.
    pub clean: bool,
}

impl Finished {
    /// Tells whether it says that it is whole.
    pub fn says_whole(&self) -> bool {
        self.clean || self.dones > 0
    }

    /// Fails unless it is the whole answer, once.
    pub fn assert_whole(&self, prompt: &str, tokens: usize) {
        assert_eq!(self.text, common::expected_text(prompt, tokens), "{self:?}");
        assert_eq!((self.dones, self.clean, &self.error), (1, true, &None), "{self:?}");
    }

    /// Fails unless it is the beginning of the answer with an explicit error.
    pub fn assert_broken(&self, prompt: &str, tokens: usize) {
        let whole = common::expected_text(prompt, tokens);
        assert!(whole.starts_with(&self.text), "{self:?}");
        assert!(!self.says_whole(), "{self:?}");
        assert!(self.error.is_some(), "{self:?}");
    }
}

impl Streamed {
    /// Asks for a streamed answer and waits for its beginning.
    pub async fn open(entry: SocketAddr, prompt: &str, tokens: usize) -> Option<Self> {
        let body = common::chat_body(prompt, tokens, true).to_string();
        let url = format!("http://{entry}/v1/chat/completions");
        let request = strict_client(PIECE_LIMIT).post(url).bearer_auth(common::KEY);
        let response = request.send_body(body).await.ok()?;
        let target = response.headers().get("bitternwall-target");
        let target = target.and_then(|name| name.to_str().ok()).unwrap_or_default().to_owned();
        let status = response.status();
        let pieces = response.map(Result::ok);
        // Nothing follows a failed piece.
        let pieces = pieces.scan(true, |open, piece| {
            let go_on = std::mem::replace(open, piece.is_some());
            async move { go_on.then_some(piece) }
        });
        Some(Self { status, target, pieces: pieces.boxed_local(), received: Vec::new() })
    }

    /// Reads until so many tokens have come.
    pub async fn read_tokens(&mut self, count: usize) {
        while tokens_in(&self.received) < count {
            let piece = self.next().await;
            let piece = piece.flatten().expect("the stream goes on");
            self.received.extend_from_slice(&piece);
        }
    }

    /// Reads all that is left.
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
            dones: events().filter(|event| *event == "[DONE]").count(),
            error: documents().find_map(|document| document.get("error").cloned()),
            clean,
        }
    }

    async fn next(&mut self) -> Option<Option<Bytes>> {
        let next = tokio::time::timeout(PIECE_LIMIT, self.pieces.next()).await;
        next.expect("a stream goes on or ends")
    }
}

fn tokens_in(received: &[u8]) -> usize {
    String::from_utf8_lossy(received).matches("\"content\":\"").count()
}

/// Streams one answer to its end; none where it never began.
pub async fn stream(entry: SocketAddr, prompt: &str, tokens: usize) -> Option<Finished> {
    Some(Streamed::open(entry, prompt, tokens).await?.finish().await)
}

/// Puts a pipe between the entries and each agent; the resources are declared afterwards.
pub async fn pipe_links(fleet: &mut Fleet) -> Vec<FaultProxy> {
    let mut pipes = Vec::new();
    for target in &mut fleet.targets {
        let pipe = FaultProxy::start(target.agent.address).await.expect("a port is free");
        target.link = pipe.address;
        pipes.push(pipe);
    }
    pipes
}

/// Returns the place of a target in its fleet.
pub fn index_of(fleet: &Fleet, name: &str) -> usize {
    let found = fleet.targets.iter().position(|target| target.name == name);
    found.expect("the fleet has the target that answers")
}

/// Returns the engines.
pub fn engines(fleet: &Fleet) -> impl Iterator<Item = &Target> {
    fleet.targets.iter().filter(|target| target.service == fleet::MODEL_SERVICE)
}

/// Tells an engine how to behave.
pub async fn behave(engine: SocketAddr, behaviour: &Value) {
    let answer = Call::post(engine, "/control/behaviour", behaviour).send().await;
    assert!(answer.expect("the engine answers").status.is_success());
}

/// Returns what an engine ran.
pub async fn runs(engine: SocketAddr) -> Runs {
    let answer = Call::get(engine, "/control/runs").send().await.expect("the engine answers");
    serde_json::from_slice(&answer.body).expect("the engine lists its runs")
}

/// Returns how often each prompt ran, over all living engines.
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
