//! The events that the entry's actor passes to the core, and the effects that the core returns.

use std::sync::Arc;
use std::time::Duration;

use crate::config::view;
use crate::entry::core::tables::{AttemptNumber, ClaimKey, RequestId};
pub use crate::problem::Executed;

/// An event that occurred since the last tick.
#[derive(Clone, Debug)]
pub enum Event {
    /// A caller sent a request.
    Submitted(NewRequest),
    /// The caller closed its connection.
    CallerDisconnected(RequestId),
    /// A newer configuration came into force at this entry.
    ConfigChanged(Arc<view::View>),
    /// A link to a target's agent was established.
    LinkUp {
        /// The name of the agent's target.
        target: String,
        /// The incarnation of the agent's process.
        incarnation: u64,
        /// The region in which the agent runs.
        region: String,
    },
    /// The link to a target's agent was lost; no more frames arrive for its attempts.
    LinkDown {
        /// The name of the agent's target.
        target: String,
    },
    /// An agent's heartbeat arrived.
    Heartbeat {
        /// The name of the agent's target.
        target: String,
        /// The load and availability that the agent reported.
        report: TargetReport,
    },
    /// The first part of an answer was sent to the caller, so that from now on a retry is visible
    /// to the caller unless it resumes the answer.
    AnswerStarted(AttemptNumber),
    /// An answer arrived completely.
    Answered(AttemptNumber),
    /// An answer was interrupted, or its frames were inconsistent.
    AnswerInterrupted(AttemptNumber),
    /// An agent refused an attempt.
    Refused {
        /// The refused attempt.
        attempt: AttemptNumber,
        /// The reason that the agent gave.
        cause: AttemptFailure,
        /// Whether the target executed the attempt.
        executed: Executed,
        /// The delay after which the agent suggests a retry; `None` if it gave none.
        retry_after: Option<Duration>,
    },
    /// Another process reported the crashes that it knows of.
    CrashesReported(Vec<CrashReport>),
    /// The configuration counts as current, and this entry may accept requests, until this time.
    MayServeUntil(Duration),
}

/// The properties of a caller's request on which the core decides.
#[derive(Clone, Debug)]
pub struct NewRequest {
    /// The number that this entry assigned to the request.
    pub id: RequestId,
    /// The SHA-256 hash of the caller's bearer key.
    pub key_hash: view::KeyHash,
    /// The model or operation that is called.
    pub route: Route,
    /// The idempotency key that the caller sent, if any.
    pub idempotency_key: Option<String>,
    /// How long the caller waits for the complete answer, if it says so.
    pub timeout: Option<Duration>,
    /// The estimated number of prompt and answer tokens.
    pub estimated_tokens: u64,
    /// A hash of the start of the prompt, by which requests with a common prefix go to the same
    /// target's cache.
    pub affinity: u64,
    /// A hash of the method, path and body, by which requests that crash targets are recognised.
    pub fingerprint: u64,
    /// True if an interrupted answer can be resumed at another target.
    pub resumable: bool,
}

/// The model or operation that a request calls.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Route {
    /// A chat completion of a model.
    Model {
        /// The model's name, as the caller wrote it.
        model: String,
    },
    /// An HTTP call of a plain service.
    Plain {
        /// The service's name.
        service: String,
        /// The HTTP method in upper case.
        method: String,
        /// The path at the target, without the query.
        path: String,
    },
}

/// The load and availability of a target, as its agent reports them in a heartbeat.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct TargetReport {
    /// Requests that the target is running.
    pub running: u32,
    /// Requests that wait in the agent's queue.
    pub queued: u32,
    /// Requests that the target can run concurrently.
    pub slots: u32,
    /// True if the agent is draining and accepts no new requests.
    pub draining: bool,
    /// True if the target is healthy and the agent's configuration is current.
    pub takes_work: bool,
}

/// The crashes that a process knows of for one request body.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CrashReport {
    /// The fingerprint of the request, as in [`NewRequest::fingerprint`].
    pub fingerprint: u64,
    /// The crashes of targets that were running the request; agents draw a random id for each.
    pub crash_ids: Vec<u64>,
    /// How long to remember the crashes from now on.
    pub ttl: Duration,
}

/// The reason why an attempt got no complete answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptFailure {
    /// The agent is draining and accepts no new requests.
    Draining,
    /// The agent's queue is full.
    Overloaded,
    /// The deadline passed, or would pass before the target could answer.
    Deadline,
    /// The claim on the idempotency key could not be saved in the key-value service.
    StoreUnavailable,
    /// The idempotency key was claimed before, and the agent does not know the outcome.
    OutcomeUnknown,
    /// The target itself reported a failure.
    TargetFailed,
    /// The agent's configuration has been older than the entry's for too long.
    StaleConfig,
    /// The same request has crashed targets before.
    CrashingRequest,
    /// The attempt was cancelled.
    Cancelled,
    /// The agent could not connect to the target.
    TargetUnreachable,
    /// The target crashed while it was running the attempt.
    TargetCrashed,
    /// The idempotency key was used before with another body.
    KeyReused,
    /// The link to the agent was lost.
    LinkLost,
    /// The answer was interrupted.
    AnswerInterrupted,
}

/// The final answer of a request that cannot be served.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// The reason, which selects the problem type that the caller gets.
    pub reason: RefusalReason,
    /// Whether a target executed the request.
    pub executed: Executed,
    /// The delay after which the caller should retry; `None` if a retry does not help.
    pub retry_after: Option<Duration>,
}

/// The reason why a request is refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RefusalReason {
    /// No customer has the bearer key.
    UnknownCustomer,
    /// There is no such model or service.
    UnknownService,
    /// No policy allows the customer to use the service.
    NotPermitted,
    /// The operation is not idempotent, and the caller sent no idempotency key.
    KeyRequired,
    /// The customer has too many requests in flight.
    TooManyInFlight,
    /// No target of the service is available.
    NoTarget,
    /// This entry does not have a current configuration.
    NotServing,
    /// The last attempt failed for this reason, and no retry was allowed or possible.
    Attempt(AttemptFailure),
}

/// An action that the core asks of the actor.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Sends an attempt to a target's agent.
    Start(StartAttempt),
    /// Notifies an agent that the answer of an attempt is no longer needed.
    Cancel {
        /// The cancelled attempt.
        attempt: AttemptNumber,
        /// The name of the agent's target.
        target: String,
    },
    /// Refuses a request whose caller has received no part of an answer.
    Refuse {
        /// The refused request.
        request: RequestId,
        /// The final answer.
        refusal: Refusal,
    },
    /// Ends a request whose caller has received a part of the answer, with an explicit error.
    Abort {
        /// The aborted request.
        request: RequestId,
        /// The reason that the caller is given.
        refusal: Refusal,
    },
    /// Drops a request whose caller has received the complete answer or has disconnected.
    Finish {
        /// The finished request.
        request: RequestId,
    },
    /// Sends the crashes that are known here to all other processes at once, instead of with the
    /// next periodic heartbeat.
    BroadcastCrashes,
}

/// An attempt to run a request at a target.
#[derive(Clone, Debug, PartialEq)]
pub struct StartAttempt {
    /// The request that is attempted.
    pub request: RequestId,
    /// The attempt's number, unique within this incarnation of the entry.
    pub attempt: AttemptNumber,
    /// The name of the target.
    pub target: String,
    /// The customer's name.
    pub customer: String,
    /// The service's name.
    pub service: String,
    /// The key to claim before the request runs; `None` for an idempotent request.
    pub claim_key: Option<ClaimKey>,
    /// The time until the request's deadline.
    pub time_left: Duration,
    /// The revision of the configuration that admitted the request.
    pub config_revision: u64,
    /// The estimated number of prompt and answer tokens.
    pub estimated_tokens: u64,
    /// The customer's weight in the agent's fair queue, from its policy.
    pub weight: u32,
    /// The fingerprint of the request, as in [`NewRequest::fingerprint`].
    pub fingerprint: u64,
    /// True if a target crashed while it was running this request or the same body; the agent then
    /// runs it alone.
    pub suspect: bool,
    /// True if the caller already has the beginning of the answer, so that the attempt resumes it.
    pub resume: bool,
}
