//! A model of the agents and targets around the entry's core, which injects faults and records
//! which requests really ran.

#![allow(dead_code, reason = "each test file uses its own part of the model")]

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use bitternwall::config::{state, view};
use bitternwall::entry::core::events::{
    AttemptFailure, Effect, Event, Executed, NewRequest, Refusal, Route, StartAttempt, TargetReport,
};
use bitternwall::entry::core::tables::{AttemptNumber, RequestId};
use bitternwall::entry::core::{EntryWorld, Options};
use bitternwall::external::store;
use serde_json::{Value, json};

pub const KEY_HASH: [u8; 32] = [7; 32];
pub const TICK: Duration = Duration::from_millis(20);
pub const TIMEOUT: Duration = Duration::from_secs(2);

/// How one attempt ends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fate {
    /// The target runs it and its complete answer arrives.
    Answered,
    /// The answer starts to be forwarded to the caller and is then interrupted.
    Interrupted,
    /// The agent refuses it without running it.
    RefusedNotRun,
    /// The target fails after it ran.
    FailsAfterRun,
    /// The target crashes while it runs the attempt.
    Crashes,
    /// It runs, but no report on it arrives.
    SilentButRuns,
    /// It does not run, and no report on it arrives.
    SilentNotRun,
    /// The link is lost; the attempt reaches the target late and runs.
    LinkLostRunsLater,
}

pub const FATES: [Fate; 8] = [
    Fate::Answered,
    Fate::Interrupted,
    Fate::RefusedNotRun,
    Fate::FailsAfterRun,
    Fate::Crashes,
    Fate::SilentButRuns,
    Fate::SilentNotRun,
    Fate::LinkLostRunsLater,
];

/// How one request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum End {
    Finished,
    Refused(Refusal),
    Aborted(Refusal),
}

/// Drives one entry's core and records which requests ran.
pub struct EntryModel {
    pub world: EntryWorld,
    pub now: Duration,
    pub ends: BTreeMap<RequestId, Vec<End>>,
    pub ran: BTreeSet<RequestId>,
    pub starts: Vec<StartAttempt>,
    pub submitted: u64,
    events: Vec<Event>,
}

impl EntryModel {
    pub fn new(options: Options, targets: usize) -> Self {
        let mut model = Self {
            world: EntryWorld::new(options),
            now: Duration::from_secs(100),
            ends: BTreeMap::new(),
            ran: BTreeSet::new(),
            starts: Vec::new(),
            submitted: 0,
            events: Vec::new(),
        };
        let view = Arc::new(view(targets));
        let mut events = vec![Event::ConfigChanged(view), Event::MayServeUntil(Duration::MAX)];
        for index in 0..targets {
            for service in ["llm", "desk"] {
                events.extend(link_up(&format!("{service}-{index}")));
            }
        }
        model.tick(events, &mut |_| Fate::Answered);
        model
    }

    /// Submits a request with an idempotency key of its own.
    pub fn submit(&mut self, kind: Kind, fate: &mut dyn FnMut(&StartAttempt) -> Fate) {
        let key = self.submitted.to_string();
        self.submit_under(&key, kind, fate);
    }

    /// Submits a request under an idempotency key.
    pub fn submit_under(
        &mut self,
        key: &str,
        kind: Kind,
        fate: &mut dyn FnMut(&StartAttempt) -> Fate,
    ) {
        let id = RequestId(self.submitted);
        self.submitted += 1;
        let request = NewRequest { idempotency_key: Some(key.to_owned()), ..request(id, kind) };
        self.tick(vec![Event::Submitted(request)], fate);
    }

    /// Advances time until every deadline has passed.
    pub fn drain(&mut self, fate: &mut dyn FnMut(&StartAttempt) -> Fate) {
        let end = self.now + 2 * TIMEOUT;
        while self.now < end {
            self.tick(Vec::new(), fate);
        }
    }

    /// Runs one tick and, at the same time, those for the events that its effects cause.
    pub fn tick(&mut self, events: Vec<Event>, fate: &mut dyn FnMut(&StartAttempt) -> Fate) {
        self.now += TICK;
        let mut pending = events;
        loop {
            let mut effects = Vec::new();
            self.world.tick(self.now, std::mem::take(&mut pending), &mut effects);
            for effect in effects {
                self.carry_out(effect, fate);
            }
            pending = std::mem::take(&mut self.events);
            if pending.is_empty() {
                return;
            }
        }
    }

    fn carry_out(&mut self, effect: Effect, fate: &mut dyn FnMut(&StartAttempt) -> Fate) {
        match effect {
            Effect::Start(start) => {
                let fate = fate(&start);
                self.apply(&start, fate);
                self.starts.push(start);
            }
            Effect::Cancel { .. } | Effect::BroadcastCrashes => {}
            Effect::Refuse { request, refusal } => self.end(request, End::Refused(refusal)),
            Effect::Abort { request, refusal } => self.end(request, End::Aborted(refusal)),
            Effect::Finish { request } => self.end(request, End::Finished),
        }
    }

    fn end(&mut self, request: RequestId, end: End) {
        self.ends.entry(request).or_default().push(end);
    }

    fn apply(&mut self, start: &StartAttempt, fate: Fate) {
        let attempt = start.attempt;
        if !matches!(fate, Fate::RefusedNotRun | Fate::SilentNotRun) {
            self.ran.insert(start.request);
        }
        match fate {
            Fate::Answered => self.events.push(Event::Answered(attempt)),
            Fate::Interrupted => {
                self.events
                    .extend([Event::AnswerStarted(attempt), Event::AnswerInterrupted(attempt)]);
            }
            Fate::RefusedNotRun => {
                self.refuse(attempt, AttemptFailure::Overloaded, Executed::No);
            }
            Fate::FailsAfterRun => {
                self.refuse(attempt, AttemptFailure::TargetFailed, Executed::Yes);
            }
            Fate::Crashes => {
                self.refuse(attempt, AttemptFailure::TargetCrashed, Executed::Unknown);
            }
            Fate::SilentButRuns | Fate::SilentNotRun => {}
            Fate::LinkLostRunsLater => {
                self.events.push(Event::LinkDown { target: start.target.clone() });
                self.events.extend(link_up(&start.target));
            }
        }
    }

    fn refuse(&mut self, attempt: AttemptNumber, cause: AttemptFailure, executed: Executed) {
        self.events.push(Event::Refused { attempt, cause, executed, retry_after: None });
    }
}

/// The kind of call that a request makes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    Idempotent,
    NotRepeatable,
    Streamed,
}

pub const KINDS: [Kind; 3] = [Kind::Idempotent, Kind::NotRepeatable, Kind::Streamed];

/// Returns a request of the kind, whose fingerprint differs from that of all others.
pub fn request(id: RequestId, kind: Kind) -> NewRequest {
    let route = match kind {
        Kind::Streamed => Route::Model { model: "m".to_owned() },
        Kind::Idempotent | Kind::NotRepeatable => Route::Plain {
            service: "desk".to_owned(),
            method: if kind == Kind::Idempotent { "GET" } else { "POST" }.to_owned(),
            path: "/x".to_owned(),
        },
    };
    NewRequest {
        id,
        key_hash: KEY_HASH,
        route,
        idempotency_key: Some(id.0.to_string()),
        timeout: Some(TIMEOUT),
        estimated_tokens: 1,
        affinity: id.0,
        fingerprint: id.0,
        resumable: kind == Kind::Streamed,
    }
}

/// Returns the events of a new link to a healthy target's agent.
pub fn link_up(target: &str) -> [Event; 2] {
    let report =
        TargetReport { running: 0, queued: 0, slots: 8, draining: false, takes_work: true };
    [
        Event::LinkUp { target: target.to_owned(), incarnation: 1, region: String::new() },
        Event::Heartbeat { target: target.to_owned(), report },
    ]
}

/// Returns a configuration with `targets` targets for each service.
pub fn view(targets: usize) -> view::View {
    let hash = "07".repeat(32);
    let mut resources = vec![
        ("customer", "plant".to_owned(), json!({ "key_sha256": hash })),
        ("service", "llm".to_owned(), json!({ "kind": "model", "models": ["m"] })),
        ("service", "desk".to_owned(), json!({ "kind": "plain" })),
        (
            "policy",
            "all".to_owned(),
            json!({ "customers": ["plant"], "services": ["llm", "desk"],
                    "max_in_flight": 1_000_000 }),
        ),
    ];
    for index in 0..targets {
        for service in ["llm", "desk"] {
            let spec = json!({
                "service": service, "agent": "127.0.0.1:1", "data_centre": "kafr",
            });
            resources.push(("target", format!("{service}-{index}"), spec));
        }
    }
    let entries = resources.iter().map(|(kind, name, spec)| stored(kind, name, spec)).collect();
    let mut state = state::State::default();
    state.replace(&store::Range { revision: 9, entries }).expect("nine is newer than nothing");
    let view = view::View::new(&state);
    assert!(view.skipped().is_empty(), "{:?}", view.skipped());
    view
}

/// Returns a resource as it is stored in the key-value service.
pub fn stored(kind: &str, name: &str, spec: &Value) -> store::KeyValue {
    let envelope = json!({
        "kind": kind, "name": name, "generation": 1, "change_id": "c", "actor": "amal",
        "spec": spec,
    });
    store::KeyValue {
        key: format!("/bitternwall/config/{kind}/{name}"),
        value: envelope.to_string().into(),
        create_revision: 1,
        mod_revision: 1,
    }
}
