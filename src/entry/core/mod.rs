//! The entry's decisions: pure functions over tables, driven by ticks.
//!
//! A tick takes the clock's reading and the events that arrived, and returns effects. There is no
//! I/O, no clock and no randomness in here, so that tests can deliver anything late, twice or
//! never (see docs/DESIGN.md).

pub mod admission;
pub mod crashes;
pub mod deadlines;
pub mod events;
pub mod explain;
pub mod retry;
pub mod routing;
pub mod tables;
pub mod targets;
pub mod uncertain;

use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng as _;
use rand::rngs::SmallRng;

use crate::collections::Map;
use crate::config::view;
use events::{Effect, Event};
use tables::{AttemptNumber, RequestId, Tables};

/// Options are the limits of the entry's core.
#[derive(Clone, Debug)]
pub struct Options {
    /// Where this entry stands; targets here are preferred.
    pub data_centre: String,
    /// The region of the data centre; other regions' targets are used only without any in it.
    pub region: String,
    /// Seeds the choice between targets.
    pub seed: u64,
    /// Retries allowed for each first try, as a share.
    pub retry_share: f64,
    /// Retries that may be saved up.
    pub retry_burst: f64,
    /// Attempts of one request.
    pub max_tries: u32,
    /// How long a target that keeps failing gets no work at first.
    pub base_ejection: Duration,
    /// Over how long a returning target gets its full share again.
    pub slow_start: Duration,
    /// How long a crashing body is remembered.
    pub crash_memory: Duration,
    /// Off only in proofs: remembers that an earlier attempt may have run.
    pub remember_runs: bool,
    /// Off only in proofs: refuses a body after its second crash.
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

/// EntryWorld holds the tables and runs the systems over them.
#[derive(Debug)]
pub struct EntryWorld {
    /// The limits.
    pub options: Options,
    /// The tables.
    pub tables: Tables,
    /// Requests by deadline.
    deadlines: deadlines::Deadlines,
    /// What is left for retries.
    budget: retry::Budget,
    rng: SmallRng,
}

impl EntryWorld {
    /// Returns a world that serves nothing until it has a configuration.
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
            uncertain: uncertain::Uncertain::default(),
        };
        Self {
            budget: retry::Budget::new(options.retry_share, options.retry_burst),
            rng: SmallRng::seed_from_u64(options.seed),
            deadlines: deadlines::Deadlines::default(),
            options,
            tables,
        }
    }

    /// Handles what happened since the last tick, then what is due by now.
    pub fn tick(&mut self, now: Duration, events: Vec<Event>, effects: &mut Vec<Effect>) {
        for event in events {
            self.handle(now, event, effects);
        }
        deadlines::expire(self, now, effects);
        crashes::forget(&mut self.tables, now);
    }

    /// Returns how many requests have no final answer yet.
    pub fn open_requests(&self) -> usize {
        self.tables.requests.len()
    }

    /// Returns how many targets would get work now.
    pub fn targets_taking_work(&self, now: Duration) -> usize {
        let targets = self.tables.targets.values();
        targets.filter(|target| routing::takes_work(target, now)).count()
    }

    fn handle(&mut self, now: Duration, event: Event, effects: &mut Vec<Effect>) {
        match event {
            Event::Submitted(request) => admission::submit(self, now, request, effects),
            Event::CallerGone(request) => self.abandon(now, request, effects),
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
            Event::AnswerInterrupted(attempt) => retry::broken(self, now, attempt, effects),
            Event::Refused { attempt, cause, executed, retry_after } => {
                let failure = retry::Failure { cause, executed, retry_after };
                retry::failed(self, now, attempt, failure, effects);
            }
            Event::CrashesReported(reports) => {
                crashes::hear(&mut self.tables, now, &reports, effects);
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
            self.tables.uncertain.settle(key);
        }
        if ended.alone {
            self.acquit(ended.request);
        }
        self.close(ended.request);
        effects.push(Effect::Finish { request: ended.request });
    }

    fn acquit(&mut self, request: RequestId) {
        let Some(open) = self.tables.requests.get(&request) else { return };
        let fingerprint = open.submitted.fingerprint;
        crashes::acquit(&mut self.tables, fingerprint);
    }

    fn abandon(&mut self, now: Duration, request: RequestId, effects: &mut Vec<Effect>) {
        let Some(open) = self.tables.requests.get(&request) else { return };
        let (attempt, may_have_run) = (open.attempt, open.may_have_run);
        if let Some(key) = open.claim_key.filter(|_| may_have_run || attempt.is_some()) {
            self.tables.uncertain.remember(now, key);
        }
        self.cancel(attempt, effects);
        self.close(request);
        effects.push(Effect::Finish { request });
    }

    /// Ends an attempt whose answer nobody waits for.
    fn cancel(&mut self, attempt: Option<AttemptNumber>, effects: &mut Vec<Effect>) {
        let Some(attempt) = attempt else { return };
        if let Some(ended) = targets::end_attempt(&mut self.tables, attempt) {
            effects.push(Effect::Cancel { attempt, target: ended.target });
        }
    }

    /// Gives a request its final answer.
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
        let refusal = self.judge(now, key, refusal);
        self.close(request);
        effects.push(match answer_started {
            true => Effect::Abort { request, refusal },
            false => Effect::Refuse { request, refusal },
        });
    }

    /// Keeps a refusal true for every call under the same idempotency key.
    fn judge(
        &mut self,
        now: Duration,
        key: Option<tables::ClaimKey>,
        refusal: events::Refusal,
    ) -> events::Refusal {
        if !self.options.remember_runs {
            return refusal;
        }
        self.tables.uncertain.judge(now, key, refusal)
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
