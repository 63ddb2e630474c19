//! A target: its answer to each request consists of pieces that are unique to that request.

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
/// Number of tokens in a complete answer.
const TOKENS: u64 = 4;

/// Exchange identifies one request at a target by the agent's incarnation and its job.
pub type Exchange = (u64, JobId);

/// Event is what the agent observes of an exchange.
#[derive(Clone, Debug)]
pub enum Event {
    Head { streamed: bool },
    Piece(Bytes),
    End,
    Interrupted,
}

/// Run is a request that the target is answering.
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

    /// Starts a request and returns its number, or `None` if no connection can be opened.
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

    /// Drops a request whose connection the agent closed.
    pub fn abort(&mut self, exchange: Exchange) {
        self.runs.remove(&exchange);
    }

    /// Drops the requests of an incarnation of the agent that ended.
    pub fn drop_agent(&mut self, incarnation: u64) {
        self.runs.retain(|(owner, _), _| *owner != incarnation);
    }

    /// Ends the process and returns the exchanges that it interrupts.
    pub fn kill(&mut self) -> Vec<Exchange> {
        self.alive = false;
        std::mem::take(&mut self.runs).into_keys().collect()
    }

    /// Returns true if a request, whose body crashes targets, has run for [`CRASH_MS`].
    pub fn is_killed_by(&self, number: u64, now: u64) -> bool {
        self.runs.values().any(|run| run.number == number && run.started + CRASH_MS <= now)
    }

    /// Returns true if a piece of a request's answer has been sent.
    pub fn has_answered(&self, number: u64) -> bool {
        self.runs.values().any(|run| run.number == number && run.sent > 0)
    }

    /// Returns the events that are due, and drops the runs that are finished.
    pub fn tick(&mut self, now: u64) -> Vec<(Exchange, Event)> {
        let mut events = Vec::new();
        for (exchange, run) in &mut self.runs {
            run.advance(now, |event| events.push((*exchange, event)));
        }
        let finished = |run: &Run| run.sent > run.pieces.len();
        self.runs.retain(|_, run| !finished(run));
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

/// Returns the pieces of a request's answer from token number `from` on, which counts from zero.
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
