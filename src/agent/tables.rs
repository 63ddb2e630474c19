//! The tables of the decision core.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::agent::events;
use crate::agent::shard;
use crate::collections;
use crate::wire;
use crate::wire::server;

/// JobState is how far a job has come.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum JobState {
    /// Waits for its turn.
    Queued,
    /// Waits for its claim to be saved.
    Claiming,
    /// Its claim is saved; it waits for a slot.
    Ready,
    /// Handed on.
    Running,
    /// Its connection broke; a probe tells whether the target died.
    Broken,
}

/// Job is one piece of work and the attempts that wait for its answer.
#[derive(Clone, Debug)]
pub struct Job {
    /// The request, as the first attempt brought it.
    pub request: Box<wire::StartAttempt>,
    /// The row of its customer.
    pub customer: usize,
    /// Estimated tokens, at least one.
    pub cost: u64,
    /// Who waits for the answer.
    pub subscribers: Vec<events::Subscriber>,
    /// How far it has come.
    pub state: JobState,
    /// Its claim, where it may not be repeated.
    pub key: Option<events::ClaimKey>,
    /// True where its claim is known to be saved by this incarnation.
    pub claimed: bool,
    /// When it was admitted.
    pub admitted_at: Duration,
    /// When its claim was asked for.
    pub claim_asked_at: Duration,
    /// When it was handed on.
    pub started_at: Duration,
    /// True once the target began to answer.
    pub head: bool,
}

/// Jobs are the live jobs with counts by state.
#[derive(Debug, Default)]
pub struct Jobs {
    rows: BTreeMap<events::JobId, Job>,
    next: u64,
    queued: usize,
    ahead: usize,
    running: usize,
    cost: u64,
}

impl Jobs {
    /// Adds a job and returns its id.
    pub fn insert(&mut self, job: Job) -> events::JobId {
        let id = events::JobId(self.next);
        self.next += 1;
        self.cost += job.cost;
        *self.count(job.state) += 1;
        self.rows.insert(id, job);
        id
    }

    /// Removes a job.
    pub fn remove(&mut self, id: events::JobId) -> Option<Job> {
        let job = self.rows.remove(&id)?;
        self.cost -= job.cost;
        *self.count(job.state) -= 1;
        Some(job)
    }

    /// Moves a job to another state.
    pub fn set_state(&mut self, id: events::JobId, state: JobState) {
        let Some(job) = self.rows.get_mut(&id) else { return };
        let before = job.state;
        job.state = state;
        *self.count(before) -= 1;
        *self.count(state) += 1;
    }

    /// Returns a job.
    pub fn get(&self, id: events::JobId) -> Option<&Job> {
        self.rows.get(&id)
    }

    /// Returns a job to be changed, except for its state and cost.
    pub fn get_mut(&mut self, id: events::JobId) -> Option<&mut Job> {
        self.rows.get_mut(&id)
    }

    /// Visits all jobs in the order of their arrival.
    pub fn iter(&self) -> impl Iterator<Item = (events::JobId, &Job)> {
        self.rows.iter().map(|(id, job)| (*id, job))
    }

    /// Returns how many jobs wait for their turn.
    pub fn queued(&self) -> usize {
        self.queued
    }

    /// Returns how many jobs are being claimed or wait, claimed, for a slot.
    pub fn ahead(&self) -> usize {
        self.ahead
    }

    /// Returns how many jobs the target runs.
    pub fn running(&self) -> usize {
        self.running
    }

    /// Returns the estimated tokens of all live jobs.
    pub fn cost(&self) -> u64 {
        self.cost
    }

    /// Returns true where no job is live.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    fn count(&mut self, state: JobState) -> &mut usize {
        match state {
            JobState::Queued => &mut self.queued,
            JobState::Claiming | JobState::Ready => &mut self.ahead,
            JobState::Running | JobState::Broken => &mut self.running,
        }
    }
}

/// Seen is what became of an attempt id, so that a second copy starts nothing.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Seen {
    /// It waits for a job's answer, or got it.
    Joined {
        /// The job.
        job: events::JobId,
        /// The connection that it came by last.
        link: server::LinkId,
    },
    /// It was refused or cancelled, and never starts; a second copy is told the same.
    Closed {
        /// Why.
        reason: wire::RefusalReason,
        /// Whether it ran.
        executed: wire::Executed,
    },
}

/// SeenAttempts remembers attempt ids up to a bound.
#[derive(Debug, Default)]
pub struct SeenAttempts {
    rows: collections::Map<wire::AttemptId, Seen>,
    order: VecDeque<wire::AttemptId>,
}

impl SeenAttempts {
    /// Returns what became of an attempt.
    pub fn get(&self, id: wire::AttemptId) -> Option<Seen> {
        self.rows.get(&id).copied()
    }

    /// Records what became of an attempt and forgets the oldest beyond the bound.
    pub fn set(&mut self, id: wire::AttemptId, seen: Seen, bound: usize) {
        if self.rows.insert(id, seen).is_none() {
            self.order.push_back(id);
        }
        while self.order.len() > bound {
            if let Some(oldest) = self.order.pop_front() {
                self.rows.remove(&oldest);
            }
        }
    }

    /// Forgets an attempt that never started, so that it may come again.
    pub fn forget(&mut self, id: wire::AttemptId) {
        self.rows.remove(&id);
    }
}

/// Kept is a job that ended, remembered for resends of its claim key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kept {
    /// The answer is whole and kept.
    Answer {
        /// Its length in bytes.
        bytes: u64,
        /// Hash of the request's body, by which another request under the same key is told.
        fingerprint: u64,
    },
    /// The claim is saved, but the request was never handed on.
    NeverHandedOn,
}

/// KeptJobs remembers ended jobs up to bounds in bytes and rows.
#[derive(Debug, Default)]
pub struct KeptJobs {
    pub(crate) rows: BTreeMap<events::JobId, (events::ClaimKey, Kept)>,
    pub(crate) bytes: u64,
}

/// Customer is one customer's waiting jobs and its place in virtual time.
#[derive(Clone, Debug)]
pub struct Customer {
    /// Its weight against others.
    pub weight: u64,
    /// The virtual time at which its next job starts.
    pub start: u64,
    /// Its waiting jobs, first come first.
    pub waiting: VecDeque<events::JobId>,
    /// The estimated tokens that wait.
    pub waiting_cost: u64,
}

/// FairQueue is the one queue before a target.
#[derive(Debug, Default)]
pub struct FairQueue {
    pub(crate) customers: Vec<Customer>,
    pub(crate) rows: collections::Map<String, usize>,
    pub(crate) virtual_time: u64,
    /// The smoothed cost of a job.
    pub(crate) average_cost: u64,
}

/// Suspects are retries that run alone, and the crashes that each fingerprint was present at.
#[derive(Debug, Default)]
pub struct Suspects {
    pub(crate) waiting: VecDeque<events::JobId>,
    pub(crate) running: Option<events::JobId>,
    pub(crate) crashes: collections::Map<u64, Crashes>,
    pub(crate) refused: BTreeMap<u64, Duration>,
    /// Jobs that were given up while they ran; the target may yet die of them.
    pub(crate) left: VecDeque<Left>,
    /// The id of the death that the target has not come back from.
    pub(crate) death: Option<u64>,
    /// Jobs that the target took no connection for, until the probe tells why.
    pub(crate) unreached: Vec<events::JobId>,
}

/// Left is a job that was given up while it ran.
#[derive(Clone, Copy, Debug)]
pub struct Left {
    /// What ran.
    pub present: Present,
    /// When it was given up.
    pub at: Duration,
}

/// Present is what is known of a job that ran when the target died.
#[derive(Clone, Copy, Debug)]
pub struct Present {
    /// The hash of its body.
    pub fingerprint: u64,
    /// True where a target died running it before.
    pub suspect: bool,
    /// The attempt that brought it.
    pub attempt: Option<wire::AttemptId>,
}

impl Present {
    /// Returns what is known of a job.
    pub fn of(job: &Job) -> Self {
        let wire::StartAttempt { fingerprint, suspect, id, .. } = *job.request;
        Self { fingerprint, suspect, attempt: id }
    }
}

/// Crashes is the deaths of the target that a fingerprint was present at.
#[derive(Clone, Debug)]
pub struct Crashes {
    /// An id for each death, unique in the fleet.
    pub ids: Vec<u64>,
    /// When it is forgotten.
    pub expires_at: Duration,
}

/// Target is what is known of the back end.
#[derive(Debug)]
pub struct Target {
    pub(crate) healthy: bool,
    /// Probes in a row without an answer.
    pub(crate) silent_probes: u32,
    /// Microseconds that the target takes for a token of one job; zero before the first.
    pub(crate) micros_per_token: u64,
    /// Microseconds that a job holds its slot; zero before the first.
    pub(crate) micros_per_job: u64,
}

/// ShardCount is what the agent knows of the number of claim shards, which never changes once
/// it is saved.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum ShardCount {
    /// Nothing yet.
    #[default]
    Unread,
    /// A read is under way.
    Reading,
    /// The number, which never changes.
    Known(u32),
}

/// Claims are the claim shards and the budget of writes to them.
#[derive(Debug, Default)]
pub struct Claims {
    pub(crate) shard_count: ShardCount,
    pub(crate) shards: Vec<shard::Shard>,
    pub(crate) unplaced: Vec<events::JobId>,
    /// The shard that is looked at first, so that none is left out.
    pub(crate) cursor: usize,
    /// Until when the writes made so far have used up the budget.
    pub(crate) spent_until: Duration,
    /// No commit before this time, after a conflict.
    pub(crate) retry_at: Duration,
    /// No claim is asked for before this time, after the key-value service failed.
    pub(crate) closed_until: Duration,
    /// Failures of the key-value service in a row.
    pub(crate) failures: u32,
    /// Microseconds that saving a claim takes; zero before the first.
    pub(crate) micros_per_claim: u64,
    /// When the next commit is due, where one waits for the budget.
    pub(crate) wake: Option<Duration>,
}

/// Drains is the set of reasons to take nothing new.
#[derive(Debug, Default)]
pub struct Drains {
    pub(crate) causes: collections::Set<super::events::DrainCause>,
    pub(crate) reported: bool,
}
