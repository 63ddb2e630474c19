//! The tables of the entry's core, their rows and their keys.

use std::sync::Arc;
use std::time::Duration;

use crate::collections::{Map, Set};
use crate::config::view;
use crate::entry::core::events::{NewRequest, TargetReport};
use crate::entry::core::uncertain_keys::UncertainKeys;

/// The number that this entry assigned to a request.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RequestId(pub u64);

/// The number of an attempt, unique within one incarnation of an entry.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct AttemptNumber(pub u64);

/// A hash of customer, service, method, path and idempotency key, under which an operation is
/// claimed before it runs.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct ClaimKey(pub [u8; 16]);

/// An admitted request without a final answer.
#[derive(Clone, Debug)]
pub struct Request {
    /// The request as the caller sent it.
    pub submitted: NewRequest,
    /// The customer's name.
    pub customer: String,
    /// The service's name.
    pub service: String,
    /// The key to claim before the request runs; `None` for an idempotent request.
    pub claim_key: Option<ClaimKey>,
    /// The number of shards into which the service's claims are divided.
    pub claim_shards: u32,
    /// The customer's weight in the agents' fair queues, from its policy.
    pub weight: u32,
    /// The revision of the configuration that admitted the request.
    pub config_revision: u64,
    /// The time by which the request must be answered, on the entry's monotonic clock.
    pub deadline: Duration,
    /// The attempt in progress, if any.
    pub attempt: Option<AttemptNumber>,
    /// The number of attempts that were started.
    pub tries: u32,
    /// Targets that failed this request and are not tried again.
    pub avoided: Vec<String>,
    /// True once the caller has received a part of the answer.
    pub answer_started: bool,
    /// True if an attempt failed without a report that the target did not execute it.
    pub may_have_run: bool,
    /// True if a target crashed while it was running an attempt, even if the agent's crash report
    /// has not arrived yet.
    pub crashed: bool,
}

/// An attempt in progress.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The request that is attempted.
    pub request: RequestId,
    /// The name of the target.
    pub target: String,
    /// True if the target runs nothing else meanwhile, so that an answer shows that the body does
    /// not crash targets.
    pub alone: bool,
}

/// The entry's local state for one target: link, reported load, recent failures and ejection.
#[derive(Clone, Debug, Default)]
pub struct Target {
    /// The incarnation of the target's agent; `None` while there is no link to it.
    pub incarnation: Option<u64>,
    /// The region in which the agent runs; empty until the first link is up.
    pub region: String,
    /// The last report of the agent; the default value until the first one.
    pub report: TargetReport,
    /// Attempts of this entry that are in progress at the target.
    pub in_flight: u32,
    /// Failed attempts since the last complete answer.
    pub failures: u32,
    /// The end of the last ejection; the target gets no requests before it.
    pub ejected_until: Duration,
    /// When the target last became available, or will after its ejection: the beginning of its slow
    /// start.
    pub available_since: Duration,
}

/// The target crashes in which one request body is known to have been involved.
#[derive(Clone, Debug, Default)]
pub struct CrashRecord {
    /// Ids of the crashes that the body may have caused.
    pub suspected: Set<u64>,
    /// Ids of the crashes that the body did not cause, since it ran alone afterwards and was
    /// answered; later reports of them are ignored.
    pub cleared: Set<u64>,
    /// When the record expires.
    pub until: Duration,
}

/// The state of the entry's core, except for timers and the retry budget.
#[derive(Debug)]
pub struct Tables {
    /// The configuration in force at this entry.
    pub view: Arc<view::View>,
    /// Until when requests are accepted; a process that was paused for long finds it in the past.
    pub serves_until: Duration,
    /// Admitted requests without a final answer.
    pub requests: Map<RequestId, Request>,
    /// Attempts in progress.
    pub attempts: Map<AttemptNumber, Attempt>,
    /// Declared targets and those with a link, by name.
    pub targets: Map<String, Target>,
    /// Numbers of requests in flight, by customer name.
    pub in_flight: Map<String, u32>,
    /// Crashes by the fingerprint of the body that was running.
    pub crashes: Map<u64, CrashRecord>,
    /// Claim keys of operations that may have run.
    pub uncertain_keys: UncertainKeys,
    /// The number of the next attempt.
    pub next_attempt: u64,
}
