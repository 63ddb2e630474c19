//! The tables of the decision core: plain state that the systems read and change.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::agent::events;
use crate::agent::shard;
use crate::collections;
use crate::wire;
use crate::wire::server;

/// JobState is the stage that a job has reached.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum JobState {
    /// The job waits in the queue.
    Queued,
    /// Its claim is being saved.
    Claiming,
    /// Its claim is saved, and it waits for a slot; or the target could not be reached, and it
    /// waits for a probe before it is refused.
    Ready,
    /// It was dispatched to the target.
    Running,
    /// Its connection broke, and it waits for a probe that shows whether the target crashed.
    Broken,
}

/// Job is a request that is dispatched at most once, with the attempts that wait for its answer.
#[derive(Clone, Debug)]
pub struct Job {
    /// The request of the first attempt.
    pub request: Box<wire::StartAttempt>,
    /// The index of its customer in [`FairQueue`].
    pub customer: usize,
    /// Estimated tokens, at least one.
    pub cost: u64,
    /// The attempts that wait for the answer; empty once every caller has left.
    pub subscribers: Vec<events::Subscriber>,
    /// The stage that it has reached.
    pub state: JobState,
    /// The claim key; `None` if the request may be repeated.
    pub key: Option<events::ClaimKey>,
    /// True if its claim is known to be saved by this incarnation of the agent.
    pub claimed: bool,
    /// When it was admitted, on the agent's monotonic clock like all times here.
    pub admitted_at: Duration,
    /// When its claim was requested; zero before that.
    pub claim_requested_at: Duration,
    /// When it was dispatched; zero before that.
    pub started_at: Duration,
    /// True once the target has sent the status and headers of the answer.
    pub answer_started: bool,
}

/// Jobs holds the live jobs, with counts by state.
#[derive(Debug, Default)]
pub struct Jobs {
    by_id: BTreeMap<events::JobId, Job>,
    next: u64,
    queued: usize,
    /// Jobs whose claims are being saved, or are saved and that wait for a slot.
    ahead: usize,
    running: usize,
    /// The sum of the estimated tokens.
    cost: u64,
}

impl Jobs {
    /// Adds a job and returns its id. Ids increase in the order of arrival.
    pub fn insert(&mut self, job: Job) -> events::JobId {
        let id = events::JobId(self.next);
        self.next += 1;
        self.cost += job.cost;
        *self.count(job.state) += 1;
        self.by_id.insert(id, job);
        id
    }

    /// Removes a job, if it is live.
    pub fn remove(&mut self, id: events::JobId) -> Option<Job> {
        let job = self.by_id.remove(&id)?;
        self.cost -= job.cost;
        *self.count(job.state) -= 1;
        Some(job)
    }

    /// Moves a job to another state.
    pub fn set_state(&mut self, id: events::JobId, state: JobState) {
        let Some(job) = self.by_id.get_mut(&id) else { return };
        let before = job.state;
        job.state = state;
        *self.count(before) -= 1;
        *self.count(state) += 1;
    }

    /// Returns a live job.
    pub fn get(&self, id: events::JobId) -> Option<&Job> {
        self.by_id.get(&id)
    }

    /// Returns a live job for changes. Its cost must stay, and its state is changed only by
    /// [`Self::set_state`], since both are counted.
    pub fn get_mut(&mut self, id: events::JobId) -> Option<&mut Job> {
        self.by_id.get_mut(&id)
    }

    /// Iterates over all jobs in the order of their arrival.
    pub fn iter(&self) -> impl Iterator<Item = (events::JobId, &Job)> {
        self.by_id.iter().map(|(id, job)| (*id, job))
    }

    /// Returns how many jobs wait in the queue.
    pub fn queued(&self) -> usize {
        self.queued
    }

    /// Returns how many jobs are ahead of the queue without a slot: their claims are being saved,
    /// or are saved and they wait for a slot.
    pub fn ahead(&self) -> usize {
        self.ahead
    }

    /// Returns how many jobs hold a slot of the target.
    pub fn running(&self) -> usize {
        self.running
    }

    /// Returns the sum of the estimated tokens of all live jobs.
    pub fn cost(&self) -> u64 {
        self.cost
    }

    /// Returns true if no job is live.
    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }

    fn count(&mut self, state: JobState) -> &mut usize {
        match state {
            JobState::Queued => &mut self.queued,
            JobState::Claiming | JobState::Ready => &mut self.ahead,
            JobState::Running | JobState::Broken => &mut self.running,
        }
    }
}

/// AttemptRecord is the state of an attempt that has arrived, kept so that a second copy of it
/// starts nothing.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptRecord {
    /// It waits for the answer of a job, or has received it.
    Joined {
        /// The job, which may have ended.
        job: events::JobId,
        /// The connection on which the attempt last arrived.
        link: server::LinkId,
    },
    /// It was refused or cancelled and never starts; a second copy gets the same refusal.
    Closed {
        /// The reason that the refusal names.
        reason: wire::RefusalReason,
        /// Whether the request was executed, as far as is known.
        executed: wire::Executed,
    },
}

/// SeenAttempts records the attempts that arrived most recently.
#[derive(Debug, Default)]
pub struct SeenAttempts {
    records: collections::Map<wire::AttemptId, AttemptRecord>,
    order: VecDeque<wire::AttemptId>,
}

impl SeenAttempts {
    /// Returns the record of an attempt, or `None` if it never arrived or its record was evicted.
    pub fn get(&self, id: wire::AttemptId) -> Option<AttemptRecord> {
        self.records.get(&id).copied()
    }

    /// Records an attempt and evicts the oldest records beyond `limit`.
    pub fn set(&mut self, id: wire::AttemptId, record: AttemptRecord, limit: usize) {
        if self.records.insert(id, record).is_none() {
            self.order.push_back(id);
        }
        while self.order.len() > limit {
            if let Some(oldest) = self.order.pop_front() {
                self.records.remove(&oldest);
            }
        }
    }

    /// Removes the record of an attempt that never started, so that it may be sent again.
    pub fn forget(&mut self, id: wire::AttemptId) {
        self.records.remove(&id);
    }
}

/// KeptJob is a job that has ended, kept for resends under its claim key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum KeptJob {
    /// Its complete answer is kept.
    Answer {
        /// The length of the answer's body in bytes.
        bytes: u64,
        /// The hash of the request's body, which reveals another request under the same key.
        fingerprint: u64,
    },
    /// Its claim is saved, but its request was never dispatched.
    NeverDispatched,
}

/// KeptJobs holds ended jobs, up to limits in bytes and number.
#[derive(Debug, Default)]
pub struct KeptJobs {
    pub(crate) jobs: BTreeMap<events::JobId, (events::ClaimKey, KeptJob)>,
    /// The sum of the lengths of the kept answers.
    pub(crate) bytes: u64,
}

/// Customer holds one customer's waiting jobs and its position in virtual time.
#[derive(Clone, Debug)]
pub struct Customer {
    /// Its share relative to the weights of other customers, at least one.
    pub weight: u64,
    /// The virtual start time of its next job.
    pub start: u64,
    /// Its waiting jobs, oldest first.
    pub waiting: VecDeque<events::JobId>,
    /// The sum of the estimated tokens of its waiting jobs.
    pub waiting_cost: u64,
}

/// FairQueue holds the jobs that wait for the target, by customer.
#[derive(Debug, Default)]
pub struct FairQueue {
    pub(crate) customers: Vec<Customer>,
    pub(crate) index_by_name: collections::Map<String, usize>,
    /// The largest virtual start time of a job taken from the queue so far.
    pub(crate) virtual_time: u64,
    /// Moving average of the estimated tokens of a job; zero before the first.
    pub(crate) average_cost: u64,
}

/// Suspects holds the retries that must run alone, and the crashes of the target during which each
/// fingerprint was running.
#[derive(Debug, Default)]
pub struct Suspects {
    /// Suspects that wait to run alone, oldest first.
    pub(crate) waiting: VecDeque<events::JobId>,
    /// The suspect that runs alone now.
    pub(crate) running: Option<events::JobId>,
    /// The crashes by fingerprint.
    pub(crate) crashes: collections::Map<u64, Crashes>,
    /// When each refused fingerprint is accepted again.
    pub(crate) refused: BTreeMap<u64, Duration>,
    /// Jobs that were aborted while they ran and may still crash the target.
    pub(crate) abandoned: VecDeque<AbandonedJob>,
    /// The id of the crash from which the target has not recovered yet.
    pub(crate) current_crash: Option<u64>,
    /// Jobs for which no connection to the target could be opened, until the next probe ends.
    pub(crate) unreachable: Vec<events::JobId>,
}

/// AbandonedJob is a job that was aborted while it ran.
#[derive(Clone, Copy, Debug)]
pub struct AbandonedJob {
    /// The job.
    pub job: JobAtCrash,
    /// When it was aborted.
    pub at: Duration,
}

/// JobAtCrash holds the data of a running job that is needed to record a crash of the target.
#[derive(Clone, Copy, Debug)]
pub struct JobAtCrash {
    /// The hash of the request's body.
    pub fingerprint: u64,
    /// True if the entry marked the request as running at an earlier crash.
    pub suspect: bool,
    /// The first attempt of the job.
    pub attempt: Option<wire::AttemptId>,
}

impl JobAtCrash {
    /// Extracts the data of a job.
    pub fn of(job: &Job) -> Self {
        let wire::StartAttempt { fingerprint, suspect, id, .. } = *job.request;
        Self { fingerprint, suspect, attempt: id }
    }
}

/// Crashes are the crashes of the target during which a fingerprint was running.
#[derive(Clone, Debug)]
pub struct Crashes {
    /// One id per crash, unique in the fleet.
    pub ids: Vec<u64>,
    /// When the record is dropped.
    pub expires_at: Duration,
}

/// Target holds the measured state of the target.
#[derive(Debug)]
pub struct Target {
    pub(crate) healthy: bool,
    /// Consecutive probes without an answer.
    pub(crate) silent_probes: u32,
    /// Moving average of the microseconds that the target takes for one estimated token of a job;
    /// zero before the first complete answer.
    pub(crate) micros_per_token: u64,
    /// Moving average of the microseconds that a job holds its slot; zero before the first complete
    /// answer.
    pub(crate) micros_per_job: u64,
}

/// ShardCount is the number of claim shards as far as it is known. It never changes once it is
/// saved.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum ShardCount {
    /// It was not read yet.
    #[default]
    Unread,
    /// A read is in progress.
    Reading,
    /// It was read.
    Known(u32),
}

/// Claims holds the claim shards and the budget of writes to them.
#[derive(Debug, Default)]
pub struct Claims {
    pub(crate) shard_count: ShardCount,
    pub(crate) shards: Vec<shard::Shard>,
    /// Jobs that wait until the number of shards is known.
    pub(crate) unassigned: Vec<events::JobId>,
    /// The shard that is served first in the next round, so that none starves.
    pub(crate) next_shard: usize,
    /// The time until which the writes made so far have used up the budget.
    pub(crate) budget_spent_until: Duration,
    /// No commit is made before this time, after a conflict.
    pub(crate) conflict_retry_at: Duration,
    /// No claim is requested before this time, after a failure of the key-value service.
    pub(crate) backoff_until: Duration,
    /// Consecutive failures of the key-value service.
    pub(crate) failures: u32,
    /// Moving average of the microseconds that saving a claim takes; zero before the first.
    pub(crate) micros_per_claim: u64,
    /// When the next commit is due; `None` if no commit waits for the budget.
    pub(crate) next_commit_at: Option<Duration>,
}

/// Drains holds the present causes of draining; while there is one, new work is refused.
#[derive(Debug, Default)]
pub struct Drains {
    pub(crate) causes: collections::Set<super::events::DrainCause>,
    /// True if entries were last notified that the agent is draining.
    pub(crate) reported: bool,
}
