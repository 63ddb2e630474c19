//! The decision core of an agent: tables, and the systems that run over them on each tick.

use std::time::{Duration, SystemTime};

use crate::agent::events;
use crate::agent::systems::{admission, answers, claims, drain, queue, suspects};
use crate::agent::{config_view, shard, tables};
use crate::collections;
use crate::wire;

/// Attempts that are recorded so that a second copy starts nothing.
const MAX_SEEN_ATTEMPTS: usize = 65_536;
/// Ended jobs that are kept for resends, in addition to the limit in bytes.
pub(crate) const MAX_KEPT_JOBS: usize = 16_384;
/// Configuration revisions whose time of arrival is recorded.
pub(crate) const MAX_REVISIONS: usize = 64;

/// QueueOrder is the order in which waiting jobs are dispatched.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QueueOrder {
    /// By the customers' weighted shares.
    Fair,
    /// By arrival; used only as a baseline for measurements of the fair order.
    FirstComeFirstServed,
}

/// Options are the core's settings.
#[derive(Clone, Debug)]
pub struct Options {
    /// Number of jobs that the target runs concurrently.
    pub slots: usize,
    /// Largest number of jobs in the queue.
    pub max_queued: usize,
    /// Longest time that a job may wait to be dispatched.
    pub max_wait: Duration,
    /// How long a configuration counts as current after it was confirmed.
    pub freshness: Duration,
    /// The shortest retry time that a refusal names.
    pub retry_after: Duration,
    /// How long a suspect waits for idle slots before no other job is dispatched until it has run.
    pub suspect_timeout: Duration,
    /// How long a fingerprint is refused after its second crash.
    pub fingerprint_ttl: Duration,
    /// Limit on the sum of the bytes of answers that are kept for resends.
    pub kept_bytes: u64,
    /// True to start nothing for a second copy of an attempt; false only in tests, to show that
    /// they detect it.
    pub drop_duplicates: bool,
    /// The order of the queue.
    pub order: QueueOrder,
    /// The options of claims.
    pub claims: ClaimOptions,
}

/// ClaimCheck is whether the claim of a request must be saved before the request is dispatched.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ClaimCheck {
    /// The claim must be saved.
    Saved,
    /// No claim is saved; used only to show that the tests detect a second run.
    Off,
}

/// ClaimOptions are the options of claims.
#[derive(Clone, Debug)]
pub struct ClaimOptions {
    /// Whether claims are saved before requests are dispatched.
    pub check: ClaimCheck,
    /// The service that the target serves.
    pub service: String,
    /// The incarnation of this agent, which identifies its commits.
    pub incarnation: u64,
    /// The average time between two commits that the write budget allows.
    pub commit_interval: Duration,
    /// How long claims are kept.
    pub limits: shard::Limits,
    /// Largest number of jobs that may be claimed in excess of the free slots.
    pub max_ahead: usize,
}

/// Revision is a configuration revision with the time at which it came into force here.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Revision {
    pub(crate) revision: u64,
    pub(crate) since: Duration,
}

/// AgentWorld is the state of the decision core. It does no I/O and reads no clock: each tick
/// brings the time and the events.
#[derive(Debug)]
pub struct AgentWorld {
    pub(crate) options: Options,
    /// The monotonic time of the present tick.
    pub(crate) now: Duration,
    /// The wall-clock time of the present tick; only the ages of claim segments depend on it.
    pub(crate) wall: SystemTime,
    pub(crate) jobs: tables::Jobs,
    pub(crate) seen: tables::SeenAttempts,
    pub(crate) kept: tables::KeptJobs,
    /// The live or kept job under each claim key.
    pub(crate) jobs_by_key: collections::Map<[u8; 16], events::JobId>,
    pub(crate) queue: tables::FairQueue,
    /// Jobs whose claim is saved and that wait for a slot, oldest claim first.
    pub(crate) ready: std::collections::VecDeque<events::JobId>,
    pub(crate) suspects: tables::Suspects,
    pub(crate) target: tables::Target,
    pub(crate) drains: tables::Drains,
    pub(crate) claims: tables::Claims,
    /// The configuration in force; `None` before the first.
    pub(crate) config: Option<config_view::ConfigView>,
    /// The latest revisions, oldest first.
    pub(crate) revisions: std::collections::VecDeque<Revision>,
    /// When the next job has to be checked for expiry; `None` if there is none.
    pub(crate) next_expiry: Option<Duration>,
}

impl AgentWorld {
    /// Creates a core without jobs or a configuration; the target counts as healthy at first.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            now: Duration::ZERO,
            wall: SystemTime::UNIX_EPOCH,
            jobs: tables::Jobs::default(),
            seen: tables::SeenAttempts::default(),
            kept: tables::KeptJobs::default(),
            jobs_by_key: collections::Map::default(),
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

    /// Handles the events of one tick and appends the requested effects to `effects`.
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
        suspects::expire(self);
        queue::run(self, effects);
        claims::run(self, effects);
        drain::run(self, effects);
    }

    /// Returns when the next tick is due even if no event occurs, or `None` if none is.
    pub fn next_wake(&self) -> Option<Duration> {
        [self.next_expiry, self.claims.next_commit_at].into_iter().flatten().min()
    }

    /// Returns the target's load as heartbeats report it to entries.
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

    /// Returns true while the agent refuses new work.
    pub fn draining(&self) -> bool {
        !self.drains.causes.is_empty()
    }

    /// Returns the configuration in force, if one is known.
    pub fn config(&self) -> Option<config_view::ConfigView> {
        self.config
    }

    /// Returns the fingerprints that were running when the target crashed.
    pub fn crash_reports(&self) -> Vec<wire::Fingerprint> {
        suspects::crash_reports(self)
    }

    fn apply(&mut self, event: events::Event, effects: &mut Vec<events::Effect>) {
        match event {
            events::Event::LinkDown(link) => answers::link_down(self, link, effects),
            events::Event::Start { link, request } => {
                admission::start(self, link, request, effects)
            }
            events::Event::Cancel(id) => admission::cancel(self, id, effects),
            events::Event::Head(job) => answers::answer_started(self, job),
            events::Event::Completed { job, bytes, tokens } => {
                answers::completed(self, job, bytes, tokens, effects);
            }
            events::Event::Failed { job, failure } => suspects::failed(self, job, failure, effects),
            events::Event::Probed(probe) => suspects::probed(self, probe, effects),
            events::Event::Config(view) => admission::configure(self, view),
            events::Event::Drain { cause, on } => drain::set(self, cause, on),
            events::Event::ShardCount(shards) => claims::shard_count_read(self, shards, effects),
            events::Event::ShardRead { shard, snapshot } => {
                claims::shard_read(self, shard, snapshot, effects);
            }
            events::Event::Committed { shard, outcome } => {
                claims::committed(self, shard, outcome, effects);
            }
            events::Event::RefusedFingerprints(list) => suspects::refuse_reported(self, &list),
        }
    }

    /// Refuses an attempt with the shortest retry time, and records that it never starts.
    pub(crate) fn refuse(
        &mut self,
        to: events::Subscriber,
        reason: wire::RefusalReason,
        executed: wire::Executed,
        effects: &mut Vec<events::Effect>,
    ) {
        let retry_after = self.options.retry_after;
        self.refuse_with_retry(to, reason, executed, retry_after, effects);
    }

    /// Refuses an attempt, names the time after which to retry, and records that it never starts.
    pub(crate) fn refuse_with_retry(
        &mut self,
        to: events::Subscriber,
        reason: wire::RefusalReason,
        executed: wire::Executed,
        retry_after: Duration,
        effects: &mut Vec<events::Effect>,
    ) {
        self.record_attempt(to.id, tables::AttemptRecord::Closed { reason, executed });
        effects.push(events::Effect::Refuse { to, reason, executed, retry_after });
    }

    /// Records the state of an attempt, so that a second copy of it starts nothing.
    pub(crate) fn record_attempt(&mut self, id: wire::AttemptId, record: tables::AttemptRecord) {
        if !self.options.drop_duplicates {
            return;
        }
        self.seen.set(id, record, MAX_SEEN_ATTEMPTS);
    }

    /// Schedules a tick that checks for expired jobs, no later than at the given time.
    pub(crate) fn schedule_expiry(&mut self, at: Duration) {
        self.next_expiry = Some(self.next_expiry.map_or(at, |next| next.min(at)));
    }
}

fn count(n: usize) -> u32 {
    u32::try_from(n).unwrap_or(u32::MAX)
}
