//! What callers ask on the direct path and what they are answered, in the project's own words.

use std::net::SocketAddr;
use std::time::Duration;

use actix_http::header::HeaderMap;
use actix_http::{Method, ResponseHead, StatusCode, Uri};
use bytes::Bytes;
use futures_util::stream::LocalBoxStream;

use crate::direct::http;
use crate::problem::{Executed, Problem};

/// CallerRequest is one attempt of a caller, read whole.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// The id that the caller gave the attempt.
    pub id: String,
    /// The host that the caller names.
    pub host: String,
    /// The method.
    pub method: Method,
    /// The path with its query, as sent.
    pub uri: Uri,
    /// The headers that go to the target, without those that are decoded here or concern only
    /// the caller's connection.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
    /// The time that the caller allows for the answer, counted from when it sent the request; `None`
    /// where it states none.
    pub timeout: Option<Duration>,
    /// The key, if any.
    pub key: Option<String>,
    /// The id of the last event that the caller has seen of an answer that it resumes.
    pub resume_after: Option<String>,
    /// When it arrived, on the entry's clock.
    pub arrived: Duration,
}

/// TargetRequest is a caller's request as one target gets it.
#[derive(Debug)]
pub struct TargetRequest<'a> {
    /// The caller's request.
    pub caller: &'a CallerRequest,
    /// The time that is left for the target's work.
    pub time_left: Duration,
    /// The only incarnation that may run it.
    pub only_target: &'a str,
    /// The customer that holds the key, if any.
    pub customer: Option<&'a str>,
    /// The last event that the answer goes on after, if it is resumed.
    pub resume_after: Option<&'a str>,
}

/// TargetAnswer is what the head of a target's answer says.
#[derive(Clone, Debug)]
pub struct TargetAnswer {
    /// The status.
    pub status: StatusCode,
    /// The headers that go to the caller.
    pub headers: HeaderMap,
    /// The attempt that it answers, if it says so.
    pub answers: Option<String>,
    /// True where the target signed the answer.
    pub sealed: bool,
    /// True where the target states that it did not run the request and will not.
    pub not_run: bool,
    /// True where another incarnation answers than the one that was meant.
    pub other_incarnation: bool,
    /// When to come back, if it says so.
    pub retry_after: Option<Duration>,
    /// How long the target keeps the connection idle, if it says so.
    pub idle_limit: Option<Duration>,
}

/// TargetProtocol translates between these types and what targets speak.
#[derive(Clone, Copy)]
pub struct TargetProtocol {
    /// Returns the headers of a request.
    pub encode: fn(&TargetRequest<'_>) -> HeaderMap,
    /// Takes the head of an answer apart.
    pub decode: fn(&ResponseHead) -> TargetAnswer,
}

/// Head is the beginning of an answer that a target made.
#[derive(Clone, Debug)]
pub struct Head {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
}

/// Answer is what a caller is answered.
pub enum Answer {
    /// A target's complete answer.
    Complete(Head, Bytes),
    /// A target's answer that is passed on piece by piece. An error breaks it off visibly.
    Stream(Head, LocalBoxStream<'static, Result<Bytes, Interrupted>>),
    /// An answer that the entry makes itself.
    Local(LocalAnswer),
}

/// Interrupted says that the rest of an answer is missing.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("the answer broke off")]
pub struct Interrupted;

/// Cause is why an entry answers a request by itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Cause {
    /// The entry holds no configuration yet.
    NoConfiguration,
    /// No route fits.
    NoRoute,
    /// Nobody holds the key.
    UnknownKey,
    /// The body is larger than allowed.
    TooLarge,
    /// The entry stops.
    Stopping,
    /// The service has no target.
    NoTarget,
    /// All targets failed a moment ago.
    TargetsPaused,
    /// All places are taken.
    Full,
    /// A target took no more work.
    TargetFull,
    /// The time of the caller or of the route is over.
    TimedOut,
    /// No target could be reached.
    Unreachable,
    /// The target's answer was cut or spoilt.
    Broken,
}

impl Cause {
    /// Returns the name that logs and metrics use.
    pub fn name(self) -> &'static str {
        match self {
            Self::NoConfiguration => "no_configuration",
            Self::NoRoute => "no_route",
            Self::UnknownKey => "unknown_key",
            Self::TooLarge => "too_large",
            Self::Stopping => "stopping",
            Self::NoTarget => "no_target",
            Self::TargetsPaused => "targets_paused",
            Self::Full => "full",
            Self::TargetFull => "target_full",
            Self::TimedOut => "timed_out",
            Self::Unreachable => "unreachable",
            Self::Broken => "broken",
        }
    }

    fn title(self) -> &'static str {
        match self {
            Self::NoConfiguration => "No configuration is known yet",
            Self::NoRoute => "No route fits",
            Self::UnknownKey => "Unknown key",
            Self::TooLarge => "Body too large",
            Self::Stopping => "The entry is stopping",
            Self::NoTarget => "No target is there",
            Self::TargetsPaused => "All targets failed lately",
            Self::Full => "All places are taken",
            Self::TargetFull => "The target is full",
            Self::TimedOut => "Time is over",
            Self::Unreachable => "No target could be reached",
            Self::Broken => "The answer broke off",
        }
    }

    fn problem_type(self) -> &'static str {
        match self {
            Self::NoConfiguration => "/problems/no-configuration",
            Self::NoRoute => "/problems/no-route",
            Self::UnknownKey => "/problems/unknown-key",
            Self::TooLarge => "/problems/too-large",
            Self::Stopping => "/problems/stopping",
            Self::NoTarget => "/problems/no-target",
            Self::TargetsPaused => "/problems/targets-paused",
            Self::Full => "/problems/full",
            Self::TargetFull => "/problems/target-full",
            Self::TimedOut => "/problems/timed-out",
            Self::Unreachable => "/problems/unreachable",
            Self::Broken => "/problems/answer-broken",
        }
    }
}

/// LocalAnswer is an answer that no target made.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LocalAnswer {
    /// Why.
    pub cause: Cause,
    /// Whether a target ran the request. `No` also promises that none will.
    pub executed: Executed,
    /// When to come back.
    pub retry_after: Option<Duration>,
}

impl LocalAnswer {
    /// Returns the answer to a request that no target was sent.
    pub fn not_run(cause: Cause, retry_after: Option<Duration>) -> Self {
        Self { cause, executed: Executed::No, retry_after }
    }

    /// Returns the status. Only a request that did not run and will not gets one that invites
    /// every caller to send it again.
    pub fn status(&self) -> StatusCode {
        match (self.cause, self.executed) {
            (Cause::NoRoute, _) => StatusCode::NOT_FOUND,
            (Cause::UnknownKey, _) => StatusCode::UNAUTHORIZED,
            (Cause::TooLarge, _) => StatusCode::PAYLOAD_TOO_LARGE,
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

/// AttemptError is why an attempt at a target gave no whole answer.
#[derive(Debug, thiserror::Error)]
pub enum AttemptError {
    /// No connection came up, so the target has not seen the request.
    #[error("{addr} cannot be reached: {source}")]
    Unreachable {
        /// The target's address.
        addr: SocketAddr,
        /// Why not.
        #[source]
        source: http::HttpError,
    },
    /// The exchange failed after the request was sent, at least in part.
    #[error("the exchange failed: {0}")]
    Exchange(#[from] http::HttpError),
    /// The answer belongs to no request of this connection, or is not signed by the target.
    #[error("the answer is not the target's own")]
    Foreign,
    /// The target sent nothing for longer than its answers pause.
    #[error("nothing arrived for {0:?}")]
    Silent(Duration),
}
