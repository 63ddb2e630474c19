//! The tables of the entry's core and their keys.

use std::sync::Arc;
use std::time::Duration;

use crate::collections::{Map, Set};
use crate::config::view;
use crate::entry::core::events::{NewRequest, TargetReport};
use crate::entry::core::uncertain::Uncertain;

/// RequestId is the entry's own number for a request.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RequestId(pub u64);

/// AttemptNumber is unique in one life of an entry.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct AttemptNumber(pub u64);

/// ClaimKey is the hash of an idempotency key within its customer and service.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct ClaimKey(pub [u8; 16]);

/// Request is one admitted request.
#[derive(Clone, Debug)]
pub struct Request {
    /// What the caller sent.
    pub submitted: NewRequest,
    /// The customer's name.
    pub customer: String,
    /// The service's name.
    pub service: String,
    /// Set for an operation that may not be repeated.
    pub claim_key: Option<ClaimKey>,
    /// Shards of the service's claims.
    pub claim_shards: u32,
    /// The customer's weight.
    pub weight: u32,
    /// The revision of the configuration that admitted it.
    pub config_revision: u64,
    /// When it must be answered.
    pub deadline: Duration,
    /// The attempt that is under way.
    pub attempt: Option<AttemptNumber>,
    /// Attempts made so far.
    pub tries: u32,
    /// Targets that failed it, which are not asked again.
    pub avoided: Vec<String>,
    /// True where the caller has a part of the answer.
    pub answer_started: bool,
    /// True where an attempt was made of which it is not known that it did not run.
    pub may_have_run: bool,
    /// True where a target died while it ran an attempt, whether or not that death was reported.
    pub crashed: bool,
}

/// Attempt is one try of a request at one target.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Which request.
    pub request: RequestId,
    /// Where.
    pub target: String,
    /// True where it runs alone, so that an answer clears its body.
    pub alone: bool,
}

/// Target is what the entry knows of one back end.
#[derive(Clone, Debug, Default)]
pub struct Target {
    /// The life of the agent that the link leads to; none while the link is down.
    pub incarnation: Option<u64>,
    /// The region that it stands in; empty before the first link.
    pub region: String,
    /// The agent's last report.
    pub report: TargetReport,
    /// Attempts of this entry that are under way there.
    pub in_flight: u32,
    /// Failures since the last success.
    pub failures: u32,
    /// Until when it gets no work.
    pub ejected_until: Duration,
    /// Since when it gets work again, for the slow start.
    pub returned_at: Duration,
}

/// Crashes is what the entry knows of one body that was running when targets died.
#[derive(Clone, Debug, Default)]
pub struct Crashes {
    /// The deaths that it is suspected of.
    pub suspected: Set<u64>,
    /// The deaths that it is not to blame for, since it ran alone afterwards and was answered.
    pub acquitted: Set<u64>,
    /// When to forget it.
    pub until: Duration,
}

/// Tables is all that the entry's core remembers.
#[derive(Debug)]
pub struct Tables {
    /// The configuration in force.
    pub view: Arc<view::View>,
    /// Until when new work is taken; a process that was paused finds it in the past.
    pub serves_until: Duration,
    /// Requests that have no final answer.
    pub requests: Map<RequestId, Request>,
    /// Attempts that are under way.
    pub attempts: Map<AttemptNumber, Attempt>,
    /// Targets by name.
    pub targets: Map<String, Target>,
    /// Requests in flight by customer.
    pub in_flight: Map<String, u32>,
    /// Bodies that were running when targets died, by fingerprint.
    pub crashes: Map<u64, Crashes>,
    /// Idempotency keys whose operation may have run.
    pub uncertain: Uncertain,
    /// The next attempt's number.
    pub next_attempt: u64,
}
