//! The input and output of the decision core: events that it handles and effects that it requests.

use std::time::Duration;

use crate::agent::config_view;
use crate::agent::segment;
use crate::external::store;
use crate::wire;
use crate::wire::server;

/// JobId identifies a request that is dispatched to the target at most once.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct JobId(pub u64);

/// ClaimKey is the hash of a scoped idempotency key.
pub type ClaimKey = [u8; 16];

/// Subscriber is an attempt that waits for a job's answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Subscriber {
    /// The connection on which the answer is sent.
    pub link: server::LinkId,
    /// The attempt.
    pub id: wire::AttemptId,
    /// When the caller stops waiting, on the agent's monotonic clock.
    pub deadline: Duration,
}

/// Event is an input of the decision core that has occurred since the last tick.
#[derive(Clone, Debug)]
pub enum Event {
    /// A connection with an entry was closed.
    LinkDown(server::LinkId),
    /// An entry sent an attempt.
    Start {
        /// The connection on which it arrived.
        link: server::LinkId,
        /// The attempt.
        request: Box<wire::StartAttempt>,
    },
    /// The caller of an attempt has left.
    Cancel(wire::AttemptId),
    /// The target sent the status and headers of a job's answer.
    Head(JobId),
    /// The target sent the complete answer of a job.
    Completed {
        /// The job.
        job: JobId,
        /// The length of the answer's body in bytes.
        bytes: u64,
        /// The tokens that the answer reports as used, if it does.
        tokens: Option<u64>,
    },
    /// The target gave no complete answer to a job.
    Failed {
        /// The job.
        job: JobId,
        /// The kind of failure.
        failure: Failure,
    },
    /// A health probe of the target ended.
    Probed(ProbeOutcome),
    /// A newer configuration came into force, or the present one was confirmed to be current.
    Config(config_view::ConfigView),
    /// A cause of draining appeared or ceased.
    Drain {
        /// The cause.
        cause: DrainCause,
        /// True if it appeared.
        on: bool,
    },
    /// A read of the number of claim shards ended; `None` if the key-value service failed.
    ShardCount(Option<u32>),
    /// A read of a claim shard ended.
    ShardRead {
        /// The index of the shard.
        shard: usize,
        /// What was read; `None` if the key-value service failed.
        snapshot: Option<segment::Snapshot>,
    },
    /// A commit of claims ended.
    Committed {
        /// The index of the shard.
        shard: usize,
        /// Whether the claims were saved.
        outcome: CommitOutcome,
    },
    /// A peer reported crashes of targets under these fingerprints.
    RefusedFingerprints(Vec<wire::Fingerprint>),
}

/// Failure is the way in which the target failed to answer completely.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Failure {
    /// No connection could be opened, so that nothing was sent.
    Unreachable,
    /// The connection broke when the request may already have been sent.
    Broken,
}

/// CommitOutcome is the outcome of a commit of claims.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CommitOutcome {
    /// The claims are saved.
    Saved {
        /// The key-value service's revision of the written keys.
        revision: u64,
    },
    /// Another agent wrote first; nothing was saved.
    Conflict,
    /// The key-value service did not accept the call; nothing was saved.
    Refused,
    /// No answer arrived; the claims may or may not be saved.
    Unknown,
}

/// ProbeOutcome is the outcome of a health probe.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ProbeOutcome {
    /// The target answered.
    Healthy,
    /// The target's host refused the connection, which shows that its process is gone.
    Refused,
    /// No answer arrived in time.
    Silent,
}

/// DrainCause is the origin of a request to take the target out of service.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum DrainCause {
    /// A stop signal to this process, which exits after the drain.
    Signal,
    /// The drain field of the target's resource in the configuration.
    Resource,
    /// The platform's host list, which marks the host as leaving.
    HostList,
}

/// Effect is an action that the core requests from its actor.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Sends a refusal, which is the final answer of an attempt that gets none from the target.
    Refuse {
        /// The attempt.
        to: Subscriber,
        /// The reason that the refusal names.
        reason: wire::RefusalReason,
        /// Whether the request was executed, as far as is known.
        executed: wire::Executed,
        /// The time after which the caller may retry.
        retry_after: Duration,
    },
    /// Dispatches a request to the target. It is requested at most once per job.
    Dispatch {
        /// The job.
        job: JobId,
        /// The request.
        request: Box<wire::StartAttempt>,
        /// The attempts that get the answer.
        subscribers: Vec<Subscriber>,
        /// True to keep the answer for resends until [`Effect::EvictAnswer`].
        keep: bool,
    },
    /// Sends a running or kept answer, from its beginning, to one more attempt.
    Attach {
        /// The job.
        job: JobId,
        /// The attempt.
        to: Subscriber,
    },
    /// Closes a job's connection to the target.
    Abort(JobId),
    /// Ends a broken answer as incomplete for an attempt that already has its head.
    EndIncomplete {
        /// The job.
        job: JobId,
        /// The attempt.
        to: Subscriber,
    },
    /// Evicts a kept answer.
    EvictAnswer(JobId),
    /// Reads the number of claim shards, and saves the proposed one if there is none.
    ReadShardCount {
        /// The number that the service's resource declares.
        proposed: u32,
    },
    /// Reads the head of a claim shard and its segments.
    ReadShard {
        /// The index of the shard.
        shard: usize,
        /// The oldest segment to read, since older ones are known; `None` to read all that are
        /// retained.
        from: Option<u64>,
    },
    /// Saves claims in one transaction.
    Commit {
        /// The index of the shard.
        shard: usize,
        /// The conditions under which the writes are made.
        compares: Vec<store::Compare>,
        /// The keys that are written and deleted.
        writes: Vec<store::Write>,
    },
    /// Starts a health probe at once; the outcome of one that is already in progress is discarded.
    Probe,
    /// Sends a heartbeat on every link at once.
    SendHeartbeats,
    /// Reports that all work is done after a stop signal.
    Drained,
}
