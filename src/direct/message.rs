//! Requests of callers on the direct path and the answers to them, independent of a platform's
//! protocol.

use std::net::SocketAddr;
use std::time::Duration;

use actix_http::header::HeaderMap;
use actix_http::{Method, ResponseHead, StatusCode, Uri};
use bytes::Bytes;
use futures_util::stream::LocalBoxStream;

use crate::direct::connections::http;
use crate::direct::known::store::UnreadableValue;
use crate::problem::{Executed, Problem};
use crate::telemetry::brief::Brief;

/// One attempt of a caller, received completely.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// The id that the caller gave the attempt.
    pub id: String,
    /// The `Host` of the request, which routes are looked up by.
    pub host: String,
    /// The HTTP method.
    pub method: Method,
    /// The path with its query, as sent.
    pub uri: Uri,
    /// The headers that are forwarded to the target, without those that are decoded into other
    /// fields or concern only the caller's connection.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
    /// The ids of the parts of its prompt that other requests may share, in order. A request whose
    /// list cannot be decoded is handled as one without parts.
    pub prompt_parts: Result<Vec<u64>, UnreadableValue>,
    /// The time that the caller allows for the answer, counted from when it sent the request;
    /// `None` where it states none.
    pub timeout: Option<Duration>,
    /// The API key, if the request has one.
    pub key: Option<String>,
    /// The id of the last event that the caller has received, if it resumes an answer.
    pub resume_after: Option<String>,
    /// When the request arrived, on the entry's clock.
    pub arrived: Duration,
}

impl CallerRequest {
    /// Returns the id as log lines quote it.
    pub fn log_id(&self) -> Brief<'_> {
        Brief(&self.id)
    }
}

/// A caller's request as it is sent to one target.
#[derive(Debug)]
pub struct TargetRequest<'a> {
    /// The caller's request.
    pub caller: &'a CallerRequest,
    /// The time until the request's deadline.
    pub time_left: Duration,
    /// The id of the target's incarnation; another process at the address must not run the request.
    pub only_target: &'a str,
    /// The name of the customer that holds the key, if the route needs one.
    pub customer: Option<&'a str>,
    /// Its urgency in the target's own queue, 0 for the most urgent; `None` where all requests for
    /// the service are equally urgent.
    pub urgency: Option<u8>,
    /// The id of the event after which the answer resumes, if the entry resumes it. It takes
    /// precedence over that of the caller's request.
    pub resume_after: Option<&'a str>,
}

/// The decoded head of a target's answer.
#[derive(Clone, Debug)]
pub struct TargetAnswer {
    /// The HTTP status, which is relayed to the caller.
    pub status: StatusCode,
    /// The headers that are relayed to the caller.
    pub headers: HeaderMap,
    /// The id of the attempt that it answers, if it states one.
    pub attempt_id: Option<String>,
    /// True if the answer carries the target's seal.
    pub sealed: bool,
    /// True if the target states that it did not run the request and will not.
    pub not_run: bool,
    /// True if another incarnation than the requested one answered.
    pub other_incarnation: bool,
    /// The retry-after, if the target sent one.
    pub retry_after: Result<Option<Duration>, UnreadableValue>,
    /// True if the target states that it leaves.
    pub leaving: Result<bool, UnreadableValue>,
    /// How long the target keeps the connection idle, if it states that.
    pub idle_limit: Option<Duration>,
    /// The requests a second that the target takes from all entries together, if it names a limit.
    pub rate: Result<Option<f64>, UnreadableValue>,
}

/// The codec between these types and the protocol of targets.
#[derive(Clone, Copy)]
pub struct TargetProtocol {
    /// Returns the headers of a request.
    pub encode: fn(&TargetRequest<'_>) -> HeaderMap,
    /// Decodes the head of an answer.
    pub decode: fn(&ResponseHead) -> TargetAnswer,
}

/// The head of a target's answer, as relayed to the caller.
#[derive(Clone, Debug)]
pub struct Head {
    /// The HTTP status.
    pub status: StatusCode,
    /// The headers, without those that concern only the connection to the target.
    pub headers: HeaderMap,
}

/// The answer to a caller.
pub enum Answer {
    /// A target's complete answer.
    Complete(Head, Bytes),
    /// A target's answer that is relayed piece by piece. An error aborts the caller's connection,
    /// so that the caller can tell that the answer is truncated.
    Stream(Head, LocalBoxStream<'static, Result<Bytes, Interrupted>>),
    /// An answer that the entry makes itself.
    Local(LocalAnswer),
}

/// The error of a streamed answer whose rest is missing.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("the answer broke off")]
pub struct Interrupted;

/// The reason that an entry answers a request itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Cause {
    /// The entry has not received a configuration yet.
    NoConfiguration,
    /// No route matches the host and path.
    NoRoute,
    /// The request has no API key, or no customer holds it.
    UnknownKey,
    /// The body exceeds the configured limit.
    TooLarge,
    /// The body does not fit into the entry's buffers now.
    BuffersFull,
    /// The body has not arrived in time.
    BodyTimedOut,
    /// The entry is stopping and refuses new requests.
    Stopping,
    /// The service has no target that was not tried already.
    NoTarget,
    /// The operator is emptying the data centres of all targets.
    Emptied,
    /// All targets are ejected after failures, or their groups are closed.
    TargetsPaused,
    /// No slot became available in time.
    Full,
    /// The targets have named rates, and no permit becomes available in time.
    Limited,
    /// All targets have asked to be left alone for longer than the request can wait.
    BackingOff,
    /// The target refused the request because it is full or closed.
    TargetFull,
    /// The timeout of the caller or of the route has passed.
    TimedOut,
    /// The target could not be reached, or another process has its address.
    Unreachable,
    /// Targets crashed while they ran this request, so it is refused for a while.
    CrashingRequest,
    /// Targets crashed while they ran requests with a part of this one's prompt, so all of them are
    /// refused for a while.
    CrashingPart,
    /// The target's answer was truncated or invalid, or the target fell silent or answered with a
    /// server error.
    Broken,
}

impl Cause {
    /// Returns the name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::NoConfiguration => "no_configuration",
            Self::NoRoute => "no_route",
            Self::UnknownKey => "unknown_key",
            Self::TooLarge => "too_large",
            Self::BuffersFull => "buffers_full",
            Self::BodyTimedOut => "body_timed_out",
            Self::Stopping => "stopping",
            Self::NoTarget => "no_target",
            Self::Emptied => "emptied",
            Self::TargetsPaused => "targets_paused",
            Self::Full => "full",
            Self::Limited => "limited",
            Self::BackingOff => "backing_off",
            Self::TargetFull => "target_full",
            Self::TimedOut => "timed_out",
            Self::Unreachable => "unreachable",
            Self::CrashingRequest => "crashing_request",
            Self::CrashingPart => "crashing_part",
            Self::Broken => "broken",
        }
    }

    fn title(self) -> &'static str {
        match self {
            Self::NoConfiguration => "No configuration is known yet",
            Self::NoRoute => "No route fits",
            Self::UnknownKey => "Unknown key",
            Self::TooLarge => "Body too large",
            Self::BuffersFull => "The entry has no room for the body",
            Self::BodyTimedOut => "The body has not arrived in time",
            Self::Stopping => "The entry is stopping",
            Self::NoTarget => "No target is there",
            Self::Emptied => "The data centres of all targets are being emptied",
            Self::TargetsPaused => "All targets failed lately",
            Self::Full => "All places are taken",
            Self::Limited => "The targets take no more requests at present",
            Self::BackingOff => "The targets have asked to be left alone",
            Self::TargetFull => "The target is full",
            Self::TimedOut => "Time is over",
            Self::Unreachable => "No target could be reached",
            Self::CrashingRequest => "Targets crashed while they ran this request",
            Self::CrashingPart => {
                "Targets crashed while they ran requests with a part of this prompt"
            }
            Self::Broken => "The answer broke off",
        }
    }

    fn problem_type(self) -> &'static str {
        match self {
            Self::NoConfiguration => "/problems/no-configuration",
            Self::NoRoute => "/problems/no-route",
            Self::UnknownKey => "/problems/unknown-key",
            Self::TooLarge => "/problems/too-large",
            Self::BuffersFull => "/problems/buffers-full",
            Self::BodyTimedOut => "/problems/body-timed-out",
            Self::Stopping => "/problems/stopping",
            Self::NoTarget => "/problems/no-target",
            Self::Emptied => "/problems/emptied",
            Self::TargetsPaused => "/problems/targets-paused",
            Self::Full => "/problems/full",
            Self::Limited => "/problems/limited",
            Self::BackingOff => "/problems/backing-off",
            Self::TargetFull => "/problems/target-full",
            Self::TimedOut => "/problems/timed-out",
            Self::Unreachable => "/problems/unreachable",
            Self::CrashingRequest => "/problems/crashing-request",
            Self::CrashingPart => "/problems/crashing-part",
            Self::Broken => "/problems/answer-broken",
        }
    }
}

/// An answer that an entry makes without a target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LocalAnswer {
    /// The reason, which determines the status and the problem type.
    pub cause: Cause,
    /// Whether a target ran the request. `No` also guarantees that none will.
    pub executed: Executed,
    /// The delay after which the caller is told to retry; `None` if it is told nothing.
    pub retry_after: Option<Duration>,
}

impl LocalAnswer {
    /// Returns the answer to a request that was not sent to any target.
    pub fn not_run(cause: Cause, retry_after: Option<Duration>) -> Self {
        Self { cause, executed: Executed::No, retry_after }
    }

    /// Returns the HTTP status. Only a request that did not run and will not gets 503, which
    /// invites every caller to retry.
    pub fn status(&self) -> StatusCode {
        match (self.cause, self.executed) {
            (Cause::NoRoute, _) => StatusCode::NOT_FOUND,
            (Cause::UnknownKey, _) => StatusCode::UNAUTHORIZED,
            (Cause::TooLarge, _) => StatusCode::PAYLOAD_TOO_LARGE,
            (Cause::BodyTimedOut, _) => StatusCode::REQUEST_TIMEOUT,
            (_, Executed::No) => StatusCode::SERVICE_UNAVAILABLE,
            (Cause::TimedOut, _) => StatusCode::GATEWAY_TIMEOUT,
            _ => StatusCode::BAD_GATEWAY,
        }
    }

    /// Returns the problem document that the caller reads.
    pub fn problem(&self) -> Problem {
        let detail = match self.executed {
            Executed::No => format!("{}; the request was not run.", self.cause.title()),
            Executed::Yes => format!("{}; the request was run.", self.cause.title()),
            Executed::Unknown => format!("{}; the request may have run.", self.cause.title()),
        };
        let (type_, title) = (self.cause.problem_type(), self.cause.title());
        let problem = Problem::new(type_, title, self.status(), detail).executed(self.executed);
        match self.retry_after {
            Some(delay) => problem.retry_after(delay),
            None => problem,
        }
    }
}

impl AttemptError {
    /// Returns true if the connection ended after the request was sent.
    pub fn is_connection_lost(&self) -> bool {
        matches!(self, Self::Exchange(error) if error.is_connection_lost())
    }
}

/// The reason that an attempt at a target gave no complete answer.
#[derive(Debug, thiserror::Error)]
pub enum AttemptError {
    /// The connection was not established, so the target has not received the request.
    #[error("{addr} cannot be reached: {source}")]
    Unreachable {
        /// The target's address.
        addr: SocketAddr,
        /// The error of the connection.
        #[source]
        source: http::HttpError,
    },
    /// The exchange failed after the request was sent, at least in part.
    #[error("the exchange failed: {0}")]
    Exchange(#[from] http::HttpError),
    /// The answer belongs to no request of this connection, or lacks the target's seal.
    #[error("the answer is not the target's own")]
    Foreign,
    /// The target sent nothing within the silence limit.
    #[error("nothing arrived for {0:?}")]
    Silent(Duration),
}
