//! A target: it answers every request with pieces that only that request can get.

use std::collections::BTreeMap;

use bitternwall::agent::events::JobId;
use bitternwall::wire;
use bytes::Bytes;
use serde_json::Value;

/// Milliseconds from the request to the answer's head and first piece.
const HEAD_MS: u64 = 30;
/// Milliseconds between two pieces.
const PIECE_MS: u64 = 20;
/// Milliseconds after which a crashing body kills its target.
const CRASH_MS: u64 = 20;
const TOKENS: u64 = 4;

/// Exchange names one request at a target: the life of the agent and its job.
pub type Exchange = (u64, JobId);

/// Event is what the agent sees of an exchange.
#[derive(Clone, Debug)]
pub enum Event {
    Head { streamed: bool },
    Piece(Bytes),
    End,
    Broken,
}

#[derive(Debug)]
struct Run {
    number: u64,
    started: u64,
    streamed: bool,
    pieces: Vec<Bytes>,
    sent: usize,
}

/// Target is one back end.
#[derive(Debug)]
pub struct Target {
    /// False while its process is down.
    pub alive: bool,
    runs: BTreeMap<Exchange, Run>,
}

impl Target {
    /// Returns an idle target.
    pub fn new() -> Self {
        Self { alive: true, runs: BTreeMap::new() }
    }

    /// Takes a request and returns its number; none where no connection comes about.
    pub fn start(
        &mut self,
        now: u64,
        exchange: Exchange,
        request: &wire::StartAttempt,
    ) -> Option<u64> {
        if !self.alive {
            return None;
        }
        let body: Value = serde_json::from_slice(&request.body).expect("bodies are JSON");
        let number = body["request"].as_u64().expect("bodies carry their number");
        let streamed = request.claim_key.is_empty() && request.path != "/x";
        let pieces = pieces(streamed, number, body["resume_from"].as_u64().unwrap_or_default());
        self.runs.insert(exchange, Run { number, started: now, streamed, pieces, sent: 0 });
        Some(number)
    }

    /// Forgets a request whose connection the agent closed.
    pub fn abort(&mut self, exchange: Exchange) {
        self.runs.remove(&exchange);
    }

    /// Forgets the requests of an agent that died.
    pub fn drop_agent(&mut self, life: u64) {
        self.runs.retain(|(owner, _), _| *owner != life);
    }

    /// Ends the process and returns the exchanges that break.
    pub fn kill(&mut self) -> Vec<Exchange> {
        self.alive = false;
        std::mem::take(&mut self.runs).into_keys().collect()
    }

    /// Returns true where a request has run long enough to kill the process.
    pub fn is_killed_by(&self, number: u64, now: u64) -> bool {
        self.runs.values().any(|run| run.number == number && run.started + CRASH_MS <= now)
    }

    /// Returns true where a part of a request's answer is out.
    pub fn has_answered(&self, number: u64) -> bool {
        self.runs.values().any(|run| run.number == number && run.sent > 0)
    }

    /// Returns what is due of the answers.
    pub fn tick(&mut self, now: u64) -> Vec<(Exchange, Event)> {
        let mut events = Vec::new();
        for (exchange, run) in &mut self.runs {
            run.advance(now, |event| events.push((*exchange, event)));
        }
        let whole = |run: &Run| run.sent > run.pieces.len();
        self.runs.retain(|_, run| !whole(run));
        events
    }
}

impl Run {
    fn advance(&mut self, now: u64, mut emit: impl FnMut(Event)) {
        loop {
            let sent = u64::try_from(self.sent).expect("pieces are few");
            if self.sent > self.pieces.len() || self.started + HEAD_MS + PIECE_MS * sent > now {
                return;
            }
            if self.sent == 0 {
                emit(Event::Head { streamed: self.streamed });
            }
            emit(self.pieces.get(self.sent).cloned().map_or(Event::End, Event::Piece));
            self.sent += 1;
        }
    }
}

/// Returns the pieces of a request's answer after the tokens that the caller has.
pub fn pieces(streamed: bool, number: u64, from: u64) -> Vec<Bytes> {
    let text = |index: u64| match streamed {
        true => format!(
            "data: {{\"choices\":[{{\"delta\":{{\"content\":\"r{number}-{index} \"}}}}]}}\n\n"
        ),
        false => format!("r{number}-{index} "),
    };
    let mut pieces: Vec<Bytes> = (from..TOKENS).map(|index| text(index).into()).collect();
    if streamed {
        pieces.push(Bytes::from_static(b"data: [DONE]\n\n"));
    }
    pieces
}
