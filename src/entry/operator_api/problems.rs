//! The problem documents of failed calls; docs/OPERATING.md lists their types.

use std::error::Error;
use std::fmt;
use std::time::Duration;

use actix_web::http::StatusCode;

use crate::problem::{Executed, Problem};
use crate::resources::error::ResourceError;
use crate::resources::kinds::UnknownKind;
use crate::resources::specs::SpecError;

/// The delay after which to retry while the key-value service is unavailable.
const UNAVAILABLE_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Returns the problem document of a resource error.
pub(super) fn of_error(error: ResourceError) -> Problem {
    let detail = describe(&error);
    match error {
        ResourceError::Spec(error) => of_spec(error),
        ResourceError::Name(_) => {
            refused("invalid", "Not allowed", StatusCode::UNPROCESSABLE_ENTITY, detail)
        }
        ResourceError::NotFound { .. } => {
            refused("not-found", "No such resource", StatusCode::NOT_FOUND, detail)
        }
        ResourceError::AlreadyExists { present_version, .. } => {
            refused("already-exists", "The resource exists", StatusCode::CONFLICT, detail)
                .with("present_version", present_version)
        }
        ResourceError::Conflict { given_version, present_version, .. } => {
            refused("conflict", "The resource has changed", StatusCode::CONFLICT, detail)
                .with("given_version", given_version)
                .with("present_version", present_version)
        }
        ResourceError::InUse { user_kind, user_name, .. } => {
            refused("in-use", "Another resource names it", StatusCode::CONFLICT, detail)
                .with("user_kind", user_kind.as_str())
                .with("user_name", user_name)
        }
        ResourceError::ChangeIdReused { .. } => {
            let status = StatusCode::UNPROCESSABLE_ENTITY;
            refused("change-id-reused", "The change id is taken", status, detail)
        }
        ResourceError::Abandoned { .. } => {
            refused("abandoned", "The change was given up", StatusCode::CONFLICT, detail)
        }
        ResourceError::Contended { .. } | ResourceError::Unavailable { .. } => {
            let status = StatusCode::SERVICE_UNAVAILABLE;
            refused("not-accepted", "The change was not accepted", status, detail)
                .retry_after(UNAVAILABLE_RETRY_AFTER)
        }
        ResourceError::OutcomeUnknown { .. } => {
            let status = StatusCode::GATEWAY_TIMEOUT;
            problem("outcome-unknown", "The outcome is not known", status, detail)
                .executed(Executed::Unknown)
                .retry_after(UNAVAILABLE_RETRY_AFTER)
        }
        ResourceError::HistoryGone { oldest } => {
            problem("history-gone", "The history is gone", StatusCode::GONE, detail)
                .with("oldest_version", oldest)
        }
        ResourceError::Unreadable { .. } => {
            let status = StatusCode::INTERNAL_SERVER_ERROR;
            refused("unreadable", "A record cannot be read", status, detail)
        }
    }
}

/// Returns the problem document of an invalid field.
pub(super) fn of_spec(error: SpecError) -> Problem {
    let detail = error.to_string();
    let status = StatusCode::UNPROCESSABLE_ENTITY;
    let problem = refused("invalid", "Not allowed", status, detail);
    match error {
        SpecError::Malformed { field, reason } => {
            problem.with("field", field).with("reason", reason)
        }
        SpecError::Invalid { field, value, allowed } => {
            problem.with("field", field).with("value", value).with("allowed", allowed)
        }
    }
}

pub(super) fn of_unknown_kind(error: &UnknownKind) -> Problem {
    refused("not-found", "No such kind", StatusCode::NOT_FOUND, error.to_string())
}

pub(super) fn unauthenticated() -> Problem {
    let detail = String::from("The call carries no bearer token of an operator.");
    refused("unauthenticated", "Not authenticated", StatusCode::UNAUTHORIZED, detail)
}

pub(super) fn bad_query(error: &dyn fmt::Display) -> Problem {
    let detail = format!("The query is invalid: {error}.");
    refused("bad-request", "Malformed call", StatusCode::BAD_REQUEST, detail)
}

pub(super) fn bad_body(error: &dyn fmt::Display) -> Problem {
    let detail = format!("The body cannot be read: {error}.");
    refused("bad-request", "Malformed call", StatusCode::BAD_REQUEST, detail)
}

pub(super) fn bad_header(name: &str, value: &str, allowed: &str) -> Problem {
    let detail = format!("The header `{name}` is {value:?}; allowed is {allowed}.");
    refused("bad-request", "Malformed call", StatusCode::BAD_REQUEST, detail)
}

pub(super) fn version_missing() -> Problem {
    let detail = String::from(
        "The change names no resource version to be based on; give one in `If-Match`, in the \
         document's metadata or, for a deletion, in `resource_version` of the query.",
    );
    let status = StatusCode::PRECONDITION_REQUIRED;
    refused("version-missing", "No resource version", status, detail)
}

/// Returns a problem that does not say whether the call was executed.
fn problem(
    type_: &'static str,
    title: &'static str,
    status: StatusCode,
    detail: String,
) -> Problem {
    Problem::new(type_, title, status, detail)
}

fn refused(
    type_: &'static str,
    title: &'static str,
    status: StatusCode,
    detail: String,
) -> Problem {
    problem(type_, title, status, detail).executed(Executed::No)
}

/// Returns the messages of an error and its causes, separated by spaces.
fn describe(error: &ResourceError) -> String {
    let mut detail = error.to_string();
    let mut cause = error.source();
    while let Some(error) = cause {
        detail = format!("{detail} {error}");
        cause = error.source();
    }
    detail
}
