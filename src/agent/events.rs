//! What the decision core is told and what it asks for.

use std::time::Duration;

use crate::agent::config_view;
use crate::agent::segment;
use crate::external::store;
use crate::wire;
use crate::wire::server;

/// JobId names one piece of work that is handed to the target at most once.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct JobId(pub u64);

/// ClaimKey is the hash of a scoped idempotency key.
pub type ClaimKey = [u8; 16];

/// Subscriber is one attempt that waits for a job's answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Subscriber {
    /// The connection that the answer goes to.
    pub link: server::LinkId,
    /// The attempt.
    pub id: wire::AttemptId,
    /// When the caller stops waiting.
    pub deadline: Duration,
}

/// Event is something that happened since the last tick.
#[derive(Clone, Debug)]
pub enum Event {
    /// A connection with an entry is gone.
    LinkDown(server::LinkId),
    /// An entry hands over one attempt.
    Start {
        /// The connection that it came by.
        link: server::LinkId,
        /// The attempt.
        request: Box<wire::StartAttempt>,
    },
    /// The caller of an attempt is gone.
    Cancel(wire::AttemptId),
    /// The target began to answer a job.
    Head(JobId),
    /// The target ended the whole answer of a job.
    Completed {
        /// The job.
        job: JobId,
        /// The length of its answer.
        bytes: u64,
        /// The tokens that the answer reports, where it does.
        tokens: Option<u64>,
    },
    /// The target gave no whole answer to a job.
    Failed {
        /// The job.
        job: JobId,
        /// How it failed.
        failure: Failure,
    },
    /// A health probe of the target ended.
    Probed(ProbeOutcome),
    /// The configuration moved on, or was heard to be current.
    Config(config_view::ConfigView),
    /// A reason to drain came or went.
    Drain {
        /// The reason.
        cause: DrainCause,
        /// True where it came.
        on: bool,
    },
    /// The number of claim shards was read, unless the key-value service failed.
    ShardCount(Option<u32>),
    /// A claim shard was read, unless the key-value service failed.
    ShardRead {
        /// The shard.
        shard: usize,
        /// What was read.
        snapshot: Option<segment::Snapshot>,
    },
    /// A commit of claims ended.
    Committed {
        /// The shard.
        shard: usize,
        /// How it ended.
        outcome: CommitOutcome,
    },
    /// A peer refuses these fingerprints.
    RefusedFingerprints(Vec<wire::Fingerprint>),
}

/// Failure is how a target fails to answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Failure {
    /// No connection came about, so that nothing was sent.
    Unreachable,
    /// The connection broke after the request may have been sent.
    Broken,
}

/// CommitOutcome is how a commit of claims ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CommitOutcome {
    /// The claims are saved.
    Saved {
        /// The revision of the written keys.
        revision: u64,
    },
    /// Another agent wrote first; nothing was saved.
    Conflict,
    /// The key-value service did not take the call; nothing was saved.
    Refused,
    /// No answer came; the claims may be saved.
    Unknown,
}

/// ProbeOutcome is the outcome of a health probe.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ProbeOutcome {
    /// The target answered.
    Healthy,
    /// The target's host refused the connection, so that its process is gone.
    Refused,
    /// No answer came in time.
    Silent,
}

/// DrainCause is who takes the target out of service.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum DrainCause {
    /// A signal to this process, which ends after the drain.
    Signal,
    /// The target's resource.
    Resource,
    /// The list of live and leaving hosts.
    HostList,
}

/// Effect is something that the core asks its actor to do.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Sends the final answer of an attempt that gets none from the target.
    Refuse {
        /// Who waits.
        to: Subscriber,
        /// Why.
        reason: wire::RefusalReason,
        /// Whether it ran.
        executed: wire::Executed,
        /// When to come back.
        retry_after: Duration,
    },
    /// Sends a request to the target, once.
    Dispatch {
        /// The job.
        job: JobId,
        /// The request.
        request: Box<wire::StartAttempt>,
        /// Who gets the answer.
        subscribers: Vec<Subscriber>,
        /// True to keep the answer for resends until [`Effect::EvictAnswer`].
        keep: bool,
    },
    /// Sends a kept answer from its beginning to one more attempt.
    Attach {
        /// The job.
        job: JobId,
        /// Who joins.
        to: Subscriber,
    },
    /// Closes the target's connection of a job.
    Abort(JobId),
    /// Ends a broken answer as incomplete for those who already have its head.
    EndIncomplete {
        /// The job.
        job: JobId,
        /// Who waits.
        to: Subscriber,
    },
    /// Drops a kept answer.
    EvictAnswer(JobId),
    /// Reads the number of claim shards, and saves the proposed one where there is none.
    ReadShardCount {
        /// The number that the configuration gives.
        proposed: u32,
    },
    /// Reads the head of a claim shard and its segments.
    ReadShard {
        /// The shard.
        shard: usize,
        /// The oldest segment to read, where the older ones are known.
        from: Option<u64>,
    },
    /// Saves claims in one transaction.
    Commit {
        /// The shard.
        shard: usize,
        /// What must still hold.
        compares: Vec<store::Compare>,
        /// What is written.
        writes: Vec<store::Write>,
    },
    /// Asks for a health probe at once.
    Probe,
    /// Asks for a heartbeat on every link at once.
    SendHeartbeats,
    /// All work is done after a drain by signal.
    Drained,
}
