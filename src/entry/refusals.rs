//! Converts refusals of the core to problem documents; docs/OPERATING.md lists their types.

use actix_web::http::StatusCode;

use crate::entry::core::events::{AttemptFailure, Refusal, RefusalReason};
use crate::problem;

/// The status, type and texts of a problem document.
struct Text {
    status: StatusCode,
    type_: &'static str,
    title: &'static str,
    detail: &'static str,
}

const fn text(
    status: StatusCode,
    type_: &'static str,
    title: &'static str,
    detail: &'static str,
) -> Text {
    Text { status, type_, title, detail }
}

/// Returns the problem document of a refusal.
pub fn problem(refusal: &Refusal) -> problem::Problem {
    let Text { status, type_, title, detail } = reason_text(refusal.reason);
    let document = problem::Problem::new(type_, title, status, detail.to_owned());
    let document = document.executed(refusal.executed);
    match refusal.retry_after {
        Some(delay) => document.retry_after(delay),
        None => document,
    }
}

/// Returns the problem type of a refusal, for metrics.
pub fn type_of(refusal: &Refusal) -> &'static str {
    reason_text(refusal.reason).type_
}

fn reason_text(reason: RefusalReason) -> Text {
    match reason {
        RefusalReason::UnknownCustomer => text(
            StatusCode::UNAUTHORIZED,
            "/problems/unknown-customer",
            "Unknown customer",
            "No customer has this bearer key.",
        ),
        RefusalReason::UnknownService => text(
            StatusCode::NOT_FOUND,
            "/problems/unknown-service",
            "Unknown service",
            "No service or model has this name.",
        ),
        RefusalReason::NotPermitted => text(
            StatusCode::FORBIDDEN,
            "/problems/not-permitted",
            "Not permitted",
            "No policy allows this customer to use the service.",
        ),
        RefusalReason::KeyRequired => text(
            StatusCode::PRECONDITION_REQUIRED,
            "/problems/idempotency-key-required",
            "Idempotency key required",
            "This operation is not idempotent, so it needs an Idempotency-Key header.",
        ),
        RefusalReason::TooManyInFlight => text(
            StatusCode::TOO_MANY_REQUESTS,
            "/problems/too-many-in-flight",
            "Too many requests in flight",
            "The customer has as many requests in flight as its policy allows.",
        ),
        RefusalReason::NoTarget => text(
            StatusCode::SERVICE_UNAVAILABLE,
            "/problems/no-target",
            "No target",
            "No target of the service is available now.",
        ),
        RefusalReason::NotServing => text(
            StatusCode::SERVICE_UNAVAILABLE,
            "/problems/entry-not-serving",
            "Entry not serving",
            "This entry accepts no new requests; use another address.",
        ),
        RefusalReason::Attempt(failure) => failure_text(failure),
    }
}

fn failure_text(failure: AttemptFailure) -> Text {
    match failure {
        AttemptFailure::Draining
        | AttemptFailure::StaleConfig
        | AttemptFailure::TargetUnreachable => text(
            StatusCode::SERVICE_UNAVAILABLE,
            "/problems/target-unavailable",
            "Target unavailable",
            "The target accepts no new requests now.",
        ),
        AttemptFailure::Overloaded => text(
            StatusCode::SERVICE_UNAVAILABLE,
            "/problems/overloaded",
            "Overloaded",
            "The targets' queues are full.",
        ),
        AttemptFailure::Deadline => text(
            StatusCode::GATEWAY_TIMEOUT,
            "/problems/deadline",
            "Deadline passed",
            "The request could not be answered before its deadline.",
        ),
        AttemptFailure::StoreUnavailable => text(
            StatusCode::SERVICE_UNAVAILABLE,
            "/problems/claim-not-saved",
            "Claim not saved",
            "The operation is not idempotent, and its claim could not be saved.",
        ),
        AttemptFailure::OutcomeUnknown => text(
            StatusCode::CONFLICT,
            "/problems/outcome-unknown",
            "Outcome unknown",
            "The operation was claimed under this key before; it is not run a second time.",
        ),
        AttemptFailure::KeyReused => text(
            StatusCode::UNPROCESSABLE_ENTITY,
            "/problems/idempotency-key-reused",
            "Idempotency key reused",
            "The idempotency key was used before with another body.",
        ),
        AttemptFailure::CrashingRequest => text(
            StatusCode::UNPROCESSABLE_ENTITY,
            "/problems/crashing-request",
            "Crashing request",
            "Targets crashed while they ran this request, so it is refused for a while.",
        ),
        AttemptFailure::Cancelled => text(
            StatusCode::SERVICE_UNAVAILABLE,
            "/problems/cancelled",
            "Cancelled",
            "The attempt was cancelled.",
        ),
        AttemptFailure::TargetFailed
        | AttemptFailure::TargetCrashed
        | AttemptFailure::LinkLost
        | AttemptFailure::AnswerInterrupted => text(
            StatusCode::BAD_GATEWAY,
            "/problems/target-failed",
            "Target failed",
            "The target failed before its answer was complete.",
        ),
    }
}
