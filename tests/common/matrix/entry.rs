//! One entry: the real core, and a model of the actor that translates frames and relays answers.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use bitternwall::config::view;
use bitternwall::entry::core::events::{CrashReport, Effect, Event, NewRequest, StartAttempt};
use bitternwall::entry::core::tables::{AttemptNumber, RequestId};
use bitternwall::entry::core::{EntryWorld, Options, crashes};
use bitternwall::entry::outbound::{self, Outbound};
use bitternwall::entry::{frames, relay};
use bitternwall::wire;
use bitternwall::wire::frame;
use tokio::sync::mpsc;

use super::Mechanisms;

/// Retries that the budget accumulates at most.
pub const RETRY_BURST: f64 = 2.0;
/// Retries that each first attempt adds to the budget.
pub const RETRY_SHARE: f64 = 0.1;
/// A burst so large that the budget never runs out.
const UNBOUNDED_BURST: f64 = 1_000.0;

/// OpenRequest is a request that has not been answered completely.
struct OpenRequest {
    relay: relay::Relay,
    outbound: Outbound,
    pieces: mpsc::UnboundedReceiver<relay::Piece>,
}

/// Output is an action of an entry that the simulation has to carry out.
#[derive(Debug)]
pub enum Output {
    /// A frame to the agent in front of the named target.
    Frame(String, frame::Kind),
    /// An attempt was started for a request.
    Attempt(RequestId, wire::AttemptId),
    /// A piece of the answer for the caller.
    Piece(RequestId, relay::Piece),
    /// Crash reports for the other entries.
    Crashes(Vec<CrashReport>),
}

/// EntryProcess is one incarnation of an entry.
pub struct EntryProcess {
    pub world: EntryWorld,
    pub incarnation: u64,
    /// Number of requests, each with one first attempt.
    pub submitted: u32,
    /// Number of attempts, retries included.
    pub started: u32,
    pub out: Vec<Output>,
    now: Duration,
    open: BTreeMap<RequestId, OpenRequest>,
    /// The attempts whose answer or refusal is outstanding, with their requests.
    pending: BTreeMap<AttemptNumber, RequestId>,
    piece_numbers: bool,
    /// Number of pieces and bytes received so far for each attempt.
    received: BTreeMap<AttemptNumber, (u64, u64)>,
}

impl EntryProcess {
    /// Returns an entry with a configuration in force.
    pub fn new(
        incarnation: u64,
        now: Duration,
        view: Arc<view::View>,
        mechanisms: &Mechanisms,
    ) -> Self {
        let burst = if mechanisms.retry_budget { RETRY_BURST } else { UNBOUNDED_BURST };
        let options = Options {
            data_centre: "kafr".to_owned(),
            seed: incarnation,
            retry_share: RETRY_SHARE,
            retry_burst: burst,
            base_ejection: Duration::from_millis(100),
            slow_start: Duration::from_millis(200),
            remember_runs: mechanisms.remember_runs,
            refuse_crashing: mechanisms.refuse_crashing,
            ..Options::default()
        };
        let mut entry = Self {
            world: EntryWorld::new(options),
            incarnation,
            submitted: 0,
            started: 0,
            out: Vec::new(),
            now,
            open: BTreeMap::new(),
            pending: BTreeMap::new(),
            piece_numbers: mechanisms.piece_numbers,
            received: BTreeMap::new(),
        };
        entry.tick(now, vec![Event::ConfigChanged(view), Event::MayServeUntil(Duration::MAX)]);
        entry
    }

    /// Accepts a caller's request.
    pub fn submit(&mut self, now: Duration, request: NewRequest, outbound: Outbound) {
        let (tx, pieces) = mpsc::unbounded_channel();
        let relay = relay::Relay::new(tx);
        self.submitted += 1;
        self.open.insert(request.id, OpenRequest { relay, outbound, pieces });
        self.tick(now, vec![Event::Submitted(request)]);
    }

    /// Receives a frame from the agent in front of a target.
    pub fn receive_frame(&mut self, now: Duration, target: &str, kind: frame::Kind) {
        self.now = now;
        match kind {
            frame::Kind::Heartbeat(heartbeat) => {
                let report = frames::target_report(&heartbeat);
                let crashes_reported = Event::CrashesReported(frames::crash_reports(&heartbeat));
                let target = target.to_owned();
                self.tick(now, vec![crashes_reported, Event::Heartbeat { target, report }]);
            }
            frame::Kind::AnswerHead(head) => {
                let status = u16::try_from(head.status).unwrap_or_default();
                let headers = outbound::pairs(head.headers);
                self.relay(head.id, |relay, id| relay.head(id, status, headers));
            }
            frame::Kind::AnswerBody(body) => {
                let index = self.piece_index(&body);
                self.relay(body.id, |relay, id| relay.body(id, index, body.data));
            }
            frame::Kind::AnswerEnd(end) => {
                let (pieces, length) = self.counts(&end);
                self.relay(end.id, |relay, id| relay.end(id, pieces, length, end.complete));
            }
            frame::Kind::Refusal(refusal) => {
                if let Some(attempt) = self.local_attempt(refusal.id) {
                    self.pending.remove(&attempt);
                    self.tick(now, frames::refused(&refusal).into_iter().collect());
                }
            }
            _ => {}
        }
    }

    /// Runs the core over events and performs its effects.
    pub fn tick(&mut self, now: Duration, events: Vec<Event>) {
        self.now = now;
        let mut effects = Vec::new();
        self.world.tick(now, events, &mut effects);
        effects.into_iter().for_each(|effect| self.perform(effect));
        self.drain();
    }

    fn perform(&mut self, effect: Effect) {
        match effect {
            Effect::Start(start) => self.start(&start),
            Effect::Cancel { attempt, target } => {
                self.pending.remove(&attempt);
                let cancel = wire::CancelAttempt { id: Some(self.id(attempt)) };
                self.out.push(Output::Frame(target, frame::Kind::CancelAttempt(cancel)));
            }
            Effect::Refuse { request, refusal } | Effect::Abort { request, refusal } => {
                self.drain();
                if let Some(mut open) = self.open.remove(&request) {
                    open.relay.refuse(refusal);
                    drain(&mut self.out, request, &mut open);
                }
            }
            Effect::Finish { request } => {
                self.drain();
                self.open.remove(&request);
            }
            Effect::BroadcastCrashes => {
                let reports = crashes::reports(&self.world.tables, self.now);
                self.out.push(Output::Crashes(reports));
            }
        }
    }

    fn start(&mut self, start: &StartAttempt) {
        let id = self.id(start.attempt);
        let Some(open) = self.open.get_mut(&start.request) else { return };
        self.started += 1;
        self.pending.insert(start.attempt, start.request);
        open.relay.begin(start.attempt, &start.target);
        let resume_from = start.resume.then(|| open.relay.tokens());
        let frame = open.outbound.frame(start, self.incarnation, resume_from);
        self.out.push(Output::Attempt(start.request, id));
        self.out.push(Output::Frame(start.target.clone(), frame::Kind::StartAttempt(frame)));
    }

    fn relay(
        &mut self,
        id: Option<wire::AttemptId>,
        step: impl FnOnce(&mut relay::Relay, AttemptNumber) -> relay::Step,
    ) {
        let Some(attempt) = self.local_attempt(id) else { return };
        let Some(open) = self.pending.get(&attempt).and_then(|id| self.open.get_mut(id)) else {
            return;
        };
        let event = match step(&mut open.relay, attempt) {
            relay::Step::Nothing => {
                self.drain();
                return;
            }
            relay::Step::Started => Event::AnswerStarted(attempt),
            relay::Step::Answered => Event::Answered(attempt),
            relay::Step::Failed => Event::AnswerInterrupted(attempt),
        };
        if !matches!(event, Event::AnswerStarted(_)) {
            self.pending.remove(&attempt);
        }
        self.tick(self.now, vec![event]);
    }

    fn id(&self, attempt: AttemptNumber) -> wire::AttemptId {
        wire::AttemptId { incarnation: self.incarnation, counter: attempt.0 }
    }

    fn local_attempt(&self, id: Option<wire::AttemptId>) -> Option<AttemptNumber> {
        let id = id.filter(|id| id.incarnation == self.incarnation)?;
        Some(AttemptNumber(id.counter))
    }

    fn piece_index(&mut self, body: &wire::AnswerBody) -> u64 {
        let Some(attempt) = self.local_attempt(body.id) else { return body.index };
        let (pieces, bytes) = self.received.entry(attempt).or_default();
        let index = if self.piece_numbers { body.index } else { *pieces };
        *pieces += 1;
        *bytes += u64::try_from(body.data.len()).unwrap_or(u64::MAX);
        index
    }

    fn counts(&self, end: &wire::AnswerEnd) -> (u64, u64) {
        let received = self.local_attempt(end.id).and_then(|attempt| self.received.get(&attempt));
        let declared = (end.pieces, end.length);
        if self.piece_numbers { declared } else { received.copied().unwrap_or(declared) }
    }

    fn drain(&mut self) {
        for (request, open) in &mut self.open {
            drain(&mut self.out, *request, open);
        }
    }
}

fn drain(out: &mut Vec<Output>, request: RequestId, open: &mut OpenRequest) {
    while let Ok(piece) = open.pieces.try_recv() {
        out.push(Output::Piece(request, piece));
    }
}
