//! One agent: the real core, and a model of the actor that performs its effects and forwards
//! answers.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, SystemTime};

use bitternwall::agent::events::{Effect, Event, Failure, JobId, ProbeOutcome, Subscriber};
use bitternwall::agent::{config_view, shard, world};
use bitternwall::resources::kinds;
use bitternwall::wire;
use bitternwall::wire::frame;
use bitternwall::wire::server::LinkId;
use bytes::Bytes;

use super::Mechanisms;
use super::target;
use crate::claim_store_model::SERVICE;

/// Revision of the model's configuration.
const REVISION: u64 = 9;
const SHARDS: u32 = 2;
const RETENTION_MS: u64 = 10_000_000;

/// Output is an action of an agent that the simulation has to carry out.
#[derive(Debug)]
pub enum Output {
    Frame(LinkId, frame::Kind),
    Dispatch(JobId, Box<wire::StartAttempt>, Vec<wire::AttemptId>),
    /// One more attempt waits for the answer of a job that is already dispatched.
    Attached(wire::AttemptId),
    Abort(JobId),
    StoreCall(Effect),
    Probe,
    SendHeartbeats,
}

/// Answer is what the target has sent so far as the answer of one job.
#[derive(Debug, Default)]
struct Answer {
    /// Whether the answer is a stream; `None` until its head arrives.
    streamed: Option<bool>,
    pieces: Vec<Bytes>,
    /// Whether the answer ended as complete; `None` until it ends.
    complete: Option<bool>,
    /// Whether to keep the answer after its end, for later attempts of the same request.
    keep: bool,
    /// Whether to drop the answer once no attempt waits for the rest of it.
    evicted: bool,
}

/// Subscription is an attempt to which the answer of a job is forwarded.
#[derive(Debug)]
struct Subscription {
    job: JobId,
    to: Subscriber,
    head_sent: bool,
    /// Index of the next piece to send.
    next: usize,
}

/// AgentProcess is one incarnation of an agent.
pub struct AgentProcess {
    pub world: world::AgentWorld,
    pub incarnation: u64,
    pub out: Vec<Output>,
    /// When it was asked to drain, in milliseconds of simulated time.
    pub draining_since: Option<u64>,
    /// When each attempt, by its incarnation and counter, arrived for the first time.
    pub first_seen: BTreeMap<(u64, u64), u64>,
    /// Events for the core since the last tick.
    pub events: Vec<Event>,
    answers: BTreeMap<JobId, Answer>,
    subscriptions: Vec<Subscription>,
    /// Jobs whose exchange with the target is in progress.
    exchanges: BTreeSet<JobId>,
}

impl AgentProcess {
    /// Returns an agent without state.
    pub fn new(incarnation: u64, mechanisms: &Mechanisms) -> Self {
        Self {
            world: world::AgentWorld::new(options(incarnation, mechanisms)),
            incarnation,
            out: Vec::new(),
            draining_since: None,
            first_seen: BTreeMap::new(),
            events: Vec::new(),
            answers: BTreeMap::new(),
            subscriptions: Vec::new(),
            exchanges: BTreeSet::new(),
        }
    }

    /// Receives a frame from an entry.
    pub fn receive_frame(&mut self, now: u64, link: LinkId, kind: frame::Kind) {
        match kind {
            frame::Kind::StartAttempt(request) => {
                let id = request.id.expect("entries number their attempts");
                self.first_seen.entry((id.incarnation, id.counter)).or_insert(now);
                self.events.push(Event::Start { link, request: Box::new(request) });
            }
            frame::Kind::CancelAttempt(wire::CancelAttempt { id: Some(id) }) => {
                self.subscriptions.retain(|subscription| subscription.to.id != id);
                self.events.push(Event::Cancel(id));
            }
            frame::Kind::Heartbeat(heartbeat) if !heartbeat.fingerprints.is_empty() => {
                self.events.push(Event::RefusedFingerprints(heartbeat.fingerprints));
            }
            _ => {}
        }
    }

    /// Receives an event of the exchange of a job with the target.
    pub fn target_event(&mut self, job: JobId, event: target::Event) {
        if !self.exchanges.contains(&job) {
            return;
        }
        let Some(answer) = self.answers.get_mut(&job) else { return };
        match event {
            target::Event::Head { streamed } => {
                answer.streamed = Some(streamed);
                self.events.push(Event::Head(job));
            }
            target::Event::Piece(data) => answer.pieces.push(data),
            target::Event::End => {
                answer.complete.get_or_insert(true);
                answer.evicted = !answer.keep;
                let bytes = answer.pieces.iter().map(Bytes::len).sum::<usize>();
                let bytes = u64::try_from(bytes).expect("answers are short");
                self.exchanges.remove(&job);
                self.events.push(Event::Completed { job, bytes, tokens: None });
            }
            target::Event::Interrupted => self.failed(job, Failure::Broken),
        }
    }

    /// Records that no connection to the target could be opened.
    pub fn target_unreachable(&mut self, job: JobId) {
        self.answers.remove(&job);
        self.failed(job, Failure::Unreachable);
    }

    /// Records the outcome of a health probe.
    pub fn probe_finished(&mut self, probe: ProbeOutcome) {
        self.events.push(Event::Probed(probe));
    }

    /// Runs the core over the recorded events and forwards answers.
    pub fn tick(&mut self, now: u64, wall: Duration) {
        let clock = Duration::from_millis(now);
        let mut events = vec![Event::Config(config_view::ConfigView {
            revision: REVISION,
            drain: false,
            kind: Some(kinds::ServiceKind::Plain),
            claim_shards: SHARDS,
            confirmed_at: clock,
        })];
        events.append(&mut self.events);
        let mut effects = Vec::new();
        self.world.tick(clock, SystemTime::UNIX_EPOCH + wall, events, &mut effects);
        effects.into_iter().for_each(|effect| self.perform(effect));
        self.forward_answers();
    }

    /// Returns the heartbeat for the entries.
    pub fn heartbeat(&self) -> frame::Kind {
        frame::Kind::Heartbeat(wire::Heartbeat {
            draining: self.world.draining(),
            load: Some(self.world.load()),
            fingerprints: self.world.crash_reports(),
            ..wire::Heartbeat::default()
        })
    }

    fn failed(&mut self, job: JobId, failure: Failure) {
        self.exchanges.remove(&job);
        self.events.push(Event::Failed { job, failure });
    }

    fn perform(&mut self, effect: Effect) {
        match effect {
            Effect::Refuse { to, reason, executed, retry_after } => {
                self.subscriptions.retain(|subscription| subscription.to.id != to.id);
                let refusal = wire::Refusal {
                    id: Some(to.id),
                    reason: reason.into(),
                    executed: executed.into(),
                    retry_after_ms: u64::try_from(retry_after.as_millis()).unwrap_or(u64::MAX),
                };
                self.out.push(Output::Frame(to.link, frame::Kind::Refusal(refusal)));
            }
            Effect::Dispatch { job, request, subscribers, keep } => {
                self.answers.insert(job, Answer { keep, ..Answer::default() });
                self.exchanges.insert(job);
                subscribers.iter().for_each(|to| self.subscribe(job, *to));
                let waiting = subscribers.iter().map(|to| to.id).collect();
                self.out.push(Output::Dispatch(job, request, waiting));
            }
            Effect::Attach { job, to } => {
                self.subscribe(job, to);
                self.out.push(Output::Attached(to.id));
            }
            Effect::Abort(job) => {
                self.exchanges.remove(&job);
                self.answers.remove(&job);
                self.subscriptions.retain(|subscription| subscription.job != job);
                self.out.push(Output::Abort(job));
            }
            Effect::EndIncomplete { job, .. } => {
                if let Some(answer) = self.answers.get_mut(&job) {
                    answer.complete = Some(false);
                }
                self.forward_answers();
                self.answers.remove(&job);
            }
            Effect::EvictAnswer(job) => {
                if let Some(answer) = self.answers.get_mut(&job) {
                    answer.evicted = true;
                }
            }
            Effect::ReadShardCount { .. } | Effect::ReadShard { .. } | Effect::Commit { .. } => {
                self.out.push(Output::StoreCall(effect));
            }
            Effect::Probe => self.out.push(Output::Probe),
            Effect::SendHeartbeats => self.out.push(Output::SendHeartbeats),
            Effect::Drained => {}
        }
    }

    fn subscribe(&mut self, job: JobId, to: Subscriber) {
        self.subscriptions.push(Subscription { job, to, head_sent: false, next: 0 });
    }

    fn forward_answers(&mut self) {
        let (answers, out) = (&self.answers, &mut self.out);
        self.subscriptions.retain_mut(|subscription| match answers.get(&subscription.job) {
            Some(answer) => subscription.send(answer, out),
            None => false,
        });
        let subscribed =
            |job: &JobId| self.subscriptions.iter().any(|subscription| subscription.job == *job);
        self.answers.retain(|job, answer| !answer.evicted || subscribed(job));
    }
}

impl Subscription {
    /// Sends what has arrived so far and returns true while more is to come.
    fn send(&mut self, answer: &Answer, out: &mut Vec<Output>) -> bool {
        let id = Some(self.to.id);
        let mut emit = |kind| out.push(Output::Frame(self.to.link, kind));
        if let Some(streamed) = answer.streamed.filter(|_| !self.head_sent) {
            self.head_sent = true;
            emit(frame::Kind::AnswerHead(wire::AnswerHead {
                id,
                status: 200,
                headers: headers(streamed),
            }));
        }
        while let Some(data) = answer.pieces.get(self.next).cloned() {
            let index = u64::try_from(self.next).expect("pieces are few");
            emit(frame::Kind::AnswerBody(wire::AnswerBody { id, index, data }));
            self.next += 1;
        }
        let Some(complete) = answer.complete else { return true };
        let pieces = u64::try_from(self.next).expect("pieces are few");
        let length = answer.pieces.iter().map(Bytes::len).sum::<usize>();
        let length = u64::try_from(length).expect("answers are short");
        emit(frame::Kind::AnswerEnd(wire::AnswerEnd { id, pieces, length, complete }));
        false
    }
}

fn headers(streamed: bool) -> Vec<wire::Header> {
    let value = if streamed { "text/event-stream" } else { "text/plain" };
    vec![wire::Header { name: "content-type".to_owned(), value: value.to_owned() }]
}

fn options(incarnation: u64, mechanisms: &Mechanisms) -> world::Options {
    world::Options {
        slots: 2,
        max_queued: 64,
        max_wait: Duration::from_secs(2),
        freshness: Duration::from_secs(3),
        retry_after: Duration::from_millis(10),
        suspect_timeout: Duration::from_millis(50),
        fingerprint_ttl: Duration::from_secs(60),
        kept_bytes: 1 << 20,
        drop_duplicates: mechanisms.drop_duplicates,
        order: world::QueueOrder::Fair,
        claims: world::ClaimOptions {
            check: mechanisms.claims,
            service: SERVICE.to_owned(),
            incarnation,
            commit_interval: Duration::from_millis(20),
            limits: shard::Limits { retention_ms: RETENTION_MS, bucket_ms: 1_000 },
            max_ahead: 4,
        },
    }
}
