//! The entry's decision logic: pure functions over tables, driven by ticks.
//!
//! A tick takes the current time and the events that arrived since the last one, and returns
//! effects. This module performs no I/O, reads no clock and uses no randomness other than a seeded
//! generator, so that tests can deliver events late, twice or not at all (see docs/DESIGN.md).

pub mod admission;
pub mod crashes;
pub mod deadlines;
pub mod events;
pub mod explain;
pub mod retry;
pub mod routing;
pub mod tables;
pub mod targets;
pub mod uncertain_keys;

use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng as _;
use rand::rngs::SmallRng;

use crate::collections::Map;
use crate::config::view;
use events::{Effect, Event};
use tables::{AttemptNumber, RequestId, Tables};

/// The location of an entry and the limits of its core.
#[derive(Clone, Debug)]
pub struct Options {
    /// The data centre of this entry; targets in it are preferred.
    pub data_centre: String,
    /// The region of the data centre; targets of other regions are used only if this region has no
    /// available target.
    pub region: String,
    /// The seed of the random choice between targets.
    pub seed: u64,
    /// Retries that each first attempt adds to the retry budget, as a fraction of one.
    pub retry_share: f64,
    /// The largest number of retries that the retry budget can hold.
    pub retry_burst: f64,
    /// The maximum number of attempts of one request, including the first.
    pub max_tries: u32,
    /// How long a target is ejected after the first failures in a row that eject it; each further
    /// failure doubles the time, up to a limit.
    pub base_ejection: Duration,
    /// How long a target takes to get its full share of requests after it became available again.
    pub slow_start: Duration,
    /// How long a body that crashed targets is remembered.
    pub crash_memory: Duration,
    /// Whether the core remembers that an earlier attempt may have run; false only in tests which
    /// show that this is needed.
    pub remember_runs: bool,
    /// Whether a body is refused after its second crash; false only in tests which show that this
    /// is needed.
    pub refuse_crashing: bool,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            data_centre: String::new(),
            region: String::new(),
            seed: 1,
            retry_share: 0.1,
            retry_burst: 10.0,
            max_tries: 4,
            base_ejection: Duration::from_secs(5),
            slow_start: Duration::from_secs(10),
            crash_memory: Duration::from_secs(600),
            remember_runs: true,
            refuse_crashing: true,
        }
    }
}

/// The state of the entry's core, and the functions that handle events and due timers.
#[derive(Debug)]
pub struct EntryWorld {
    /// The location and limits of the entry.
    pub options: Options,
    /// The requests, attempts and targets that the core knows.
    pub tables: Tables,
    /// The open requests, ordered by deadline.
    deadlines: deadlines::Deadlines,
    /// The retries that may still be made.
    budget: retry::Budget,
    rng: SmallRng,
}

impl EntryWorld {
    /// Returns a core that refuses all requests until it receives a configuration and is told until
    /// when it may serve.
    pub fn new(options: Options) -> Self {
        let tables = Tables {
            view: Arc::new(view::View::default()),
            serves_until: Duration::ZERO,
            requests: Map::default(),
            attempts: Map::default(),
            targets: Map::default(),
            in_flight: Map::default(),
            crashes: Map::default(),
            next_attempt: 0,
            uncertain_keys: uncertain_keys::UncertainKeys::default(),
        };
        Self {
            budget: retry::Budget::new(options.retry_share, options.retry_burst),
            rng: SmallRng::seed_from_u64(options.seed),
            deadlines: deadlines::Deadlines::default(),
            options,
            tables,
        }
    }

    /// Handles the events since the last tick, then everything that is due at `now`.
    pub fn tick(&mut self, now: Duration, events: Vec<Event>, effects: &mut Vec<Effect>) {
        for event in events {
            self.handle(now, event, effects);
        }
        deadlines::expire(self, now, effects);
        crashes::evict_expired(&mut self.tables, now);
    }

    /// Returns the number of requests without a final answer.
    pub fn open_requests(&self) -> usize {
        self.tables.requests.len()
    }

    /// Returns the number of targets that may be sent requests now.
    pub fn targets_taking_work(&self, now: Duration) -> usize {
        let targets = self.tables.targets.values();
        targets.filter(|target| routing::takes_work(target, now)).count()
    }

    fn handle(&mut self, now: Duration, event: Event, effects: &mut Vec<Effect>) {
        match event {
            Event::Submitted(request) => admission::submit(self, now, request, effects),
            Event::CallerDisconnected(request) => self.abandon(now, request, effects),
            Event::ConfigChanged(view) => targets::reconfigure(&mut self.tables, view),
            Event::MayServeUntil(until) => self.tables.serves_until = until,
            Event::LinkUp { target, incarnation, region } => {
                targets::link_up(&mut self.tables, now, &target, incarnation, region);
            }
            Event::LinkDown { target } => targets::link_down(self, now, &target, effects),
            Event::Heartbeat { target, report } => {
                targets::report(&mut self.tables, now, &target, report);
            }
            Event::AnswerStarted(attempt) => self.mark_answer_started(attempt),
            Event::Answered(attempt) => self.answered(attempt, effects),
            Event::AnswerInterrupted(attempt) => {
                retry::answer_interrupted(self, now, attempt, effects)
            }
            Event::Refused { attempt, cause, executed, retry_after } => {
                let failure = retry::Failure { cause, executed, retry_after };
                retry::failed(self, now, attempt, failure, effects);
            }
            Event::CrashesReported(reports) => {
                crashes::receive(&mut self.tables, now, &reports, effects);
            }
        }
    }

    fn mark_answer_started(&mut self, attempt: AttemptNumber) {
        let Some(attempt) = self.tables.attempts.get(&attempt) else { return };
        if let Some(request) = self.tables.requests.get_mut(&attempt.request) {
            request.answer_started = true;
        }
    }

    fn answered(&mut self, attempt: AttemptNumber, effects: &mut Vec<Effect>) {
        let Some(ended) = targets::end_attempt(&mut self.tables, attempt) else { return };
        if let Some(target) = self.tables.targets.get_mut(&ended.target) {
            target.failures = 0;
        }
        let key = self.tables.requests.get(&ended.request).and_then(|open| open.claim_key);
        if let Some(key) = key {
            self.tables.uncertain_keys.remove(key);
        }
        if ended.alone {
            self.clear_suspicion(ended.request);
        }
        self.close(ended.request);
        effects.push(Effect::Finish { request: ended.request });
    }

    fn clear_suspicion(&mut self, request: RequestId) {
        let Some(open) = self.tables.requests.get(&request) else { return };
        let fingerprint = open.submitted.fingerprint;
        crashes::clear(&mut self.tables, fingerprint);
    }

    fn abandon(&mut self, now: Duration, request: RequestId, effects: &mut Vec<Effect>) {
        let Some(open) = self.tables.requests.get(&request) else { return };
        let (attempt, may_have_run) = (open.attempt, open.may_have_run);
        if let Some(key) = open.claim_key.filter(|_| may_have_run || attempt.is_some()) {
            self.tables.uncertain_keys.insert(now, key);
        }
        self.cancel(attempt, effects);
        self.close(request);
        effects.push(Effect::Finish { request });
    }

    /// Cancels an attempt whose answer is no longer needed.
    fn cancel(&mut self, attempt: Option<AttemptNumber>, effects: &mut Vec<Effect>) {
        let Some(attempt) = attempt else { return };
        if let Some(ended) = targets::end_attempt(&mut self.tables, attempt) {
            effects.push(Effect::Cancel { attempt, target: ended.target });
        }
    }

    /// Ends a request with a refusal, or aborts its answer if the caller has received a part of it.
    fn refuse(
        &mut self,
        now: Duration,
        request: RequestId,
        refusal: events::Refusal,
        effects: &mut Vec<Effect>,
    ) {
        let open = self.tables.requests.get(&request);
        let answer_started = open.is_some_and(|open| open.answer_started);
        let key = open.and_then(|open| open.claim_key);
        let refusal = self.reconcile(now, key, refusal);
        self.close(request);
        effects.push(match answer_started {
            true => Effect::Abort { request, refusal },
            false => Effect::Refuse { request, refusal },
        });
    }

    /// Adapts a refusal to what earlier calls under the same idempotency key were told.
    fn reconcile(
        &mut self,
        now: Duration,
        key: Option<tables::ClaimKey>,
        refusal: events::Refusal,
    ) -> events::Refusal {
        if !self.options.remember_runs {
            return refusal;
        }
        self.tables.uncertain_keys.reconcile(now, key, refusal)
    }

    fn close(&mut self, request: RequestId) {
        let Some(closed) = self.tables.requests.remove(&request) else { return };
        self.deadlines.remove(closed.deadline, request);
        let Some(count) = self.tables.in_flight.get_mut(&closed.customer) else { return };
        *count = count.saturating_sub(1);
        if *count == 0 {
            self.tables.in_flight.remove(&closed.customer);
        }
    }
}
