//! What the entry's actors tell the core, and what the core asks of them.

use std::sync::Arc;
use std::time::Duration;

use crate::config::view;
use crate::entry::core::tables::{AttemptNumber, ClaimKey, RequestId};
pub use crate::problem::Executed;

/// Event is something that happened since the last tick.
#[derive(Clone, Debug)]
pub enum Event {
    /// A caller sent a request.
    Submitted(NewRequest),
    /// The caller closed its connection.
    CallerGone(RequestId),
    /// A newer configuration is in force.
    ConfigChanged(Arc<view::View>),
    /// The link to a target's agent is up.
    LinkUp {
        /// The target before which the agent stands.
        target: String,
        /// The life of the agent.
        incarnation: u64,
        /// The region that it stands in.
        region: String,
    },
    /// The link to a target's agent is gone; its attempts get no more frames.
    LinkDown {
        /// The target before which the agent stands.
        target: String,
    },
    /// An agent reported its load.
    Heartbeat {
        /// The target before which the agent stands.
        target: String,
        /// What the agent reported.
        report: TargetReport,
    },
    /// The first piece of an answer was passed on to the caller; a new run cannot be hidden.
    AnswerStarted(AttemptNumber),
    /// An answer arrived whole.
    Answered(AttemptNumber),
    /// An answer broke off, or its pieces did not fit.
    AnswerInterrupted(AttemptNumber),
    /// An agent refused an attempt.
    Refused {
        /// Which attempt.
        attempt: AttemptNumber,
        /// Why.
        cause: AttemptFailure,
        /// Whether the target ran it.
        executed: Executed,
        /// When to come back.
        retry_after: Option<Duration>,
    },
    /// Crash counts that another process knows of.
    CrashesReported(Vec<CrashReport>),
    /// The configuration allows this entry to take new work until then.
    MayServeUntil(Duration),
}

/// NewRequest is one call of a caller, as far as decisions need it.
#[derive(Clone, Debug)]
pub struct NewRequest {
    /// The entry's own number for it.
    pub id: RequestId,
    /// SHA-256 of the bearer key.
    pub key_hash: view::KeyHash,
    /// What it asks for.
    pub route: Route,
    /// The caller's idempotency key.
    pub idempotency_key: Option<String>,
    /// How long the caller waits, where it says.
    pub timeout: Option<Duration>,
    /// Prompt and answer tokens, as estimated.
    pub estimated_tokens: u64,
    /// Hash of the prompt's beginning, for targets that cache prefixes.
    pub affinity: u64,
    /// Hash of the whole body, by which crashing requests are known.
    pub fingerprint: u64,
    /// True where an answer that breaks off can be resumed.
    pub resumable: bool,
}

/// Route is what a request asks for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Route {
    /// A chat completion of a model.
    Model {
        /// The model's name.
        model: String,
    },
    /// A call of a plain service.
    Plain {
        /// The service's name.
        service: String,
        /// The HTTP method, in capitals.
        method: String,
        /// The path at the target, without the query.
        path: String,
    },
}

/// TargetReport is what an agent says of its target on a heartbeat.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct TargetReport {
    /// Requests at the target.
    pub running: u32,
    /// Requests waiting in the agent.
    pub queued: u32,
    /// Requests that the target takes at once.
    pub slots: u32,
    /// True where the agent takes no new work.
    pub draining: bool,
    /// True where the target is healthy and the agent's configuration current.
    pub takes_work: bool,
}

/// CrashReport is what a process knows of one crashing request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CrashReport {
    /// Hash of the request's body.
    pub fingerprint: u64,
    /// Deaths of targets that were running it; agents draw an id for each.
    pub crash_ids: Vec<u64>,
    /// How long to keep the report.
    pub ttl: Duration,
}

/// AttemptFailure is why one attempt got no answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptFailure {
    /// The agent takes no new work.
    Draining,
    /// The agent's queue is full.
    Overloaded,
    /// The deadline passes before the target would answer.
    Deadline,
    /// The claim could not be saved.
    StoreUnavailable,
    /// The key was claimed before, and what came of it is not known here.
    OutcomeUnknown,
    /// The target answered with a failure of its own.
    TargetFailed,
    /// The agent's configuration and the entry's differ for too long.
    StaleConfig,
    /// The request crashed targets before.
    CrashingRequest,
    /// The attempt was cancelled.
    Cancelled,
    /// The target takes no connection.
    TargetUnreachable,
    /// The target died while it ran the attempt.
    TargetCrashed,
    /// The idempotency key was used with another body.
    KeyReused,
    /// The link to the agent broke.
    LinkLost,
    /// The answer broke off.
    AnswerInterrupted,
}

/// Refusal is the final answer of a request that gets no other.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Why.
    pub reason: RefusalReason,
    /// Whether it ran.
    pub executed: Executed,
    /// When to come back, where that helps.
    pub retry_after: Option<Duration>,
}

/// RefusalReason is why a request gets no answer from a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RefusalReason {
    /// No customer has this key.
    UnknownCustomer,
    /// No such model or service.
    UnknownService,
    /// No policy lets the customer use the service.
    NotPermitted,
    /// The operation may not be repeated and carries no idempotency key.
    KeyRequired,
    /// The customer has too many requests in flight.
    TooManyInFlight,
    /// No target takes the request now.
    NoTarget,
    /// This entry has no current configuration.
    NotServing,
    /// The last attempt failed so.
    Attempt(AttemptFailure),
}

/// Effect is what the core asks of the actors.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Sends an attempt to a target's agent.
    Start(StartAttempt),
    /// Tells an agent that an attempt's answer is no longer wanted.
    Cancel {
        /// Which attempt.
        attempt: AttemptNumber,
        /// The target before which the agent stands.
        target: String,
    },
    /// Ends a request of which nothing was passed on.
    Refuse {
        /// Which request.
        request: RequestId,
        /// The final answer.
        refusal: Refusal,
    },
    /// Ends a request whose answer was passed on in part, with an explicit error.
    Abort {
        /// Which request.
        request: RequestId,
        /// Why.
        refusal: Refusal,
    },
    /// Forgets a request whose answer was passed on whole, or whose caller is gone.
    Finish {
        /// Which request.
        request: RequestId,
    },
    /// Tells all other processes at once of the crashes that are known here.
    BroadcastCrashes,
}

/// StartAttempt is one try of a request at one target.
#[derive(Clone, Debug, PartialEq)]
pub struct StartAttempt {
    /// Which request.
    pub request: RequestId,
    /// The attempt's number, unique in this life of the entry.
    pub attempt: AttemptNumber,
    /// The target.
    pub target: String,
    /// The customer's name.
    pub customer: String,
    /// The service's name.
    pub service: String,
    /// Empty for an idempotent request.
    pub claim_key: Option<ClaimKey>,
    /// How long is left.
    pub time_left: Duration,
    /// The revision of the configuration that admitted the request.
    pub config_revision: u64,
    /// Tokens, as estimated.
    pub estimated_tokens: u64,
    /// The customer's weight.
    pub weight: u32,
    /// Hash of the body.
    pub fingerprint: u64,
    /// True where a target died running this body.
    pub suspect: bool,
    /// True where the caller already holds the beginning of the answer.
    pub resume: bool,
}
