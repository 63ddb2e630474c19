//! The decision core of an agent: tables, and systems that run over them on each tick.

use std::time::{Duration, SystemTime};

use crate::agent::events;
use crate::agent::systems::{admission, answers, claims, drain, queue, retry};
use crate::agent::{config_view, shard, tables};
use crate::collections;
use crate::wire;

/// Attempt ids that are remembered, so that a second copy starts nothing.
const SEEN_ATTEMPTS: usize = 65_536;
/// Ended jobs that are remembered for resends, besides the bound in bytes.
pub(crate) const KEPT_JOBS: usize = 16_384;
/// Revisions whose arrival is remembered.
pub(crate) const REMEMBERED_REVISIONS: usize = 64;

/// QueueOrder tells in which order waiting jobs are handed on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QueueOrder {
    /// By customers' weighted shares.
    Fair,
    /// First come, first served: only to measure the fair order against.
    FirstComeFirstServed,
}

/// Options are the core's settings.
#[derive(Clone, Debug)]
pub struct Options {
    /// Jobs that the target runs at once.
    pub slots: usize,
    /// Jobs that may wait.
    pub max_queued: usize,
    /// How long a job may wait.
    pub max_wait: Duration,
    /// How long a configuration counts as current after it was heard to be.
    pub freshness: Duration,
    /// The shortest time after which a refused caller is told to come back.
    pub retry_after: Duration,
    /// How long a suspect waits before the slots are emptied for it.
    pub suspect_timeout: Duration,
    /// How long a fingerprint is refused after its second crash.
    pub fingerprint_ttl: Duration,
    /// Bytes of answers that are kept for resends.
    pub kept_bytes: u64,
    /// Off only in proofs: starts nothing for the second copy of an attempt.
    pub drop_duplicates: bool,
    /// The order of the queue.
    pub order: QueueOrder,
    /// How claims are saved.
    pub claims: ClaimOptions,
}

/// ClaimCheck tells whether claims are saved before requests are handed on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ClaimCheck {
    /// They are.
    Saved,
    /// They are not: only to show that the tests notice.
    Off,
}

/// ClaimOptions are the settings of claims.
#[derive(Clone, Debug)]
pub struct ClaimOptions {
    /// Whether claims are saved.
    pub check: ClaimCheck,
    /// The service that the target serves.
    pub service: String,
    /// The incarnation of this agent, which marks its commits.
    pub incarnation: u64,
    /// The time between two commits.
    pub commit_interval: Duration,
    /// How long claims are kept.
    pub limits: shard::Limits,
    /// Jobs that may be claimed before a slot is free for them.
    pub max_ahead: usize,
}

/// Revision is when the agent came to hold a revision.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Revision {
    pub(crate) revision: u64,
    pub(crate) since: Duration,
}

/// AgentWorld holds all that an agent decides on.
#[derive(Debug)]
pub struct AgentWorld {
    pub(crate) options: Options,
    pub(crate) now: Duration,
    pub(crate) wall: SystemTime,
    pub(crate) jobs: tables::Jobs,
    pub(crate) seen: tables::SeenAttempts,
    pub(crate) kept: tables::KeptJobs,
    pub(crate) keys: collections::Map<[u8; 16], events::JobId>,
    pub(crate) queue: tables::FairQueue,
    pub(crate) ready: std::collections::VecDeque<events::JobId>,
    pub(crate) suspects: tables::Suspects,
    pub(crate) target: tables::Target,
    pub(crate) drains: tables::Drains,
    pub(crate) claims: tables::Claims,
    pub(crate) config: Option<config_view::ConfigView>,
    pub(crate) revisions: std::collections::VecDeque<Revision>,
    pub(crate) next_expiry: Option<Duration>,
}

impl AgentWorld {
    /// Returns a core without work.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            now: Duration::ZERO,
            wall: SystemTime::UNIX_EPOCH,
            jobs: tables::Jobs::default(),
            seen: tables::SeenAttempts::default(),
            kept: tables::KeptJobs::default(),
            keys: collections::Map::default(),
            queue: tables::FairQueue::default(),
            ready: std::collections::VecDeque::new(),
            suspects: tables::Suspects::default(),
            target: tables::Target {
                healthy: true,
                silent_probes: 0,
                micros_per_token: 0,
                micros_per_job: 0,
            },
            drains: tables::Drains::default(),
            claims: tables::Claims::default(),
            config: None,
            revisions: std::collections::VecDeque::new(),
            next_expiry: None,
        }
    }

    /// Takes in what happened and appends what is to be done to `effects`.
    pub fn tick(
        &mut self,
        now: Duration,
        wall: SystemTime,
        events: Vec<events::Event>,
        effects: &mut Vec<events::Effect>,
    ) {
        self.now = now;
        self.wall = wall;
        for event in events {
            self.apply(event, effects);
        }
        admission::expire(self, effects);
        retry::expire(self);
        queue::run(self, effects);
        claims::run(self, effects);
        drain::run(self, effects);
    }

    /// Returns when the next tick is due though nothing happens.
    pub fn next_wake(&self) -> Option<Duration> {
        [self.next_expiry, self.claims.wake].into_iter().flatten().min()
    }

    /// Returns what entries are told of the target's load.
    pub fn load(&self) -> wire::Load {
        wire::Load {
            running: count(self.jobs.running()),
            queued: count(self.jobs.queued() + self.jobs.ahead()),
            slots: count(self.options.slots),
            tokens_ahead: self.jobs.cost(),
            target_healthy: self.target.healthy,
            takes_work: self.target.healthy,
        }
    }

    /// Returns true while the agent takes nothing new.
    pub fn draining(&self) -> bool {
        !self.drains.causes.is_empty()
    }

    /// Returns the configuration in force, where one is known.
    pub fn config(&self) -> Option<config_view::ConfigView> {
        self.config
    }

    /// Returns the fingerprints that were running when the target died.
    pub fn crash_reports(&self) -> Vec<wire::Fingerprint> {
        retry::reports(self)
    }

    fn apply(&mut self, event: events::Event, effects: &mut Vec<events::Effect>) {
        match event {
            events::Event::LinkDown(link) => answers::link_down(self, link, effects),
            events::Event::Start { link, request } => {
                admission::start(self, link, request, effects)
            }
            events::Event::Cancel(id) => admission::cancel(self, id, effects),
            events::Event::Head(job) => answers::head(self, job),
            events::Event::Completed { job, bytes, tokens } => {
                answers::ended(self, job, bytes, tokens, effects);
            }
            events::Event::Failed { job, failure } => retry::failed(self, job, failure, effects),
            events::Event::Probed(probe) => retry::probed(self, probe, effects),
            events::Event::Config(view) => admission::configure(self, view),
            events::Event::Drain { cause, on } => drain::set(self, cause, on),
            events::Event::ShardCount(shards) => claims::shard_count_read(self, shards, effects),
            events::Event::ShardRead { shard, snapshot } => {
                claims::read(self, shard, snapshot, effects);
            }
            events::Event::Committed { shard, outcome } => {
                claims::committed(self, shard, outcome, effects);
            }
            events::Event::RefusedFingerprints(list) => retry::learn(self, &list),
        }
    }

    /// Ends an attempt without an answer and remembers that it never starts.
    pub(crate) fn refuse(
        &mut self,
        to: events::Subscriber,
        reason: wire::RefusalReason,
        executed: wire::Executed,
        effects: &mut Vec<events::Effect>,
    ) {
        let retry_after = self.options.retry_after;
        self.refuse_until(to, reason, executed, retry_after, effects);
    }

    /// Ends an attempt without an answer and names the time to come back.
    pub(crate) fn refuse_until(
        &mut self,
        to: events::Subscriber,
        reason: wire::RefusalReason,
        executed: wire::Executed,
        retry_after: Duration,
        effects: &mut Vec<events::Effect>,
    ) {
        self.remember(to.id, tables::Seen::Closed { reason, executed });
        effects.push(events::Effect::Refuse { to, reason, executed, retry_after });
    }

    /// Remembers what became of an attempt.
    pub(crate) fn remember(&mut self, id: wire::AttemptId, seen: tables::Seen) {
        if !self.options.drop_duplicates {
            return;
        }
        self.seen.set(id, seen, SEEN_ATTEMPTS);
    }

    /// Makes sure that a tick comes at the given time.
    pub(crate) fn wake_at(&mut self, at: Duration) {
        self.next_expiry = Some(self.next_expiry.map_or(at, |next| next.min(at)));
    }
}

fn count(n: usize) -> u32 {
    u32::try_from(n).unwrap_or(u32::MAX)
}
