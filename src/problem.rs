//! Problem documents (RFC 9457), the form of every error response to callers and operators.
//! docs/OPERATING.md lists the types.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use actix_web::http::{StatusCode, header};
use actix_web::{HttpResponse, ResponseError};
use serde::{Serialize, Serializer};

/// The media type of a problem document.
pub const MEDIA_TYPE: &str = "application/problem+json";

/// Executed is whether the request to which the problem belongs was executed.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Executed {
    /// The request was not executed and will not be.
    No,
    /// The request was executed.
    Yes,
    /// The request may have been executed.
    Unknown,
}

/// Problem is a problem document with the HTTP status and headers of its response.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Problem {
    /// The URI reference of the problem type, such as `/problems/full`. Its meaning never changes.
    #[serde(rename = "type")]
    pub type_: &'static str,
    /// A short description of the problem type, the same for all problems of the type.
    pub title: &'static str,
    /// The HTTP status of the response, also written into the document.
    #[serde(serialize_with = "serialize_status")]
    pub status: StatusCode,
    /// A description of this occurrence, as a complete sentence.
    pub detail: String,
    /// Whether the request was executed; `None` where the question does not apply.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub executed: Option<Executed>,
    /// The time after which the caller may retry, sent in the `Retry-After` header only; `None`
    /// sends no header.
    #[serde(skip)]
    pub retry_after: Option<Duration>,
    /// Further members of the document, by name, next to the standard ones.
    #[serde(flatten)]
    pub extensions: BTreeMap<&'static str, serde_json::Value>,
}

impl Problem {
    /// Returns a problem without `executed`, `retry_after` and further members.
    pub fn new(
        type_: &'static str,
        title: &'static str,
        status: StatusCode,
        detail: String,
    ) -> Self {
        let (executed, retry_after, extensions) = (None, None, BTreeMap::new());
        Self { type_, title, status, detail, executed, retry_after, extensions }
    }

    /// Sets whether the request was executed.
    #[must_use]
    pub fn executed(self, executed: Executed) -> Self {
        Self { executed: Some(executed), ..self }
    }

    /// Sets the time after which the caller may retry.
    #[must_use]
    pub fn retry_after(self, delay: Duration) -> Self {
        Self { retry_after: Some(delay), ..self }
    }

    /// Adds one member to the document.
    #[must_use]
    pub fn with(mut self, name: &'static str, value: impl Into<serde_json::Value>) -> Self {
        self.extensions.insert(name, value.into());
        self
    }

    /// Returns the HTTP response with the document as its body.
    pub fn to_response(&self) -> HttpResponse {
        let mut response = HttpResponse::build(self.status);
        if let Some(delay) = self.retry_after {
            response.insert_header((header::RETRY_AFTER, ceil_seconds(delay).to_string()));
        }
        if self.status == StatusCode::UNAUTHORIZED {
            response.insert_header((header::WWW_AUTHENTICATE, "Bearer"));
        }
        let body = serde_json::to_vec(self).unwrap_or_default();
        response.content_type(MEDIA_TYPE).body(body)
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.detail)
    }
}

impl std::error::Error for Problem {}

impl ResponseError for Problem {
    fn status_code(&self) -> StatusCode {
        self.status
    }

    fn error_response(&self) -> HttpResponse {
        self.to_response()
    }
}

/// Rounds up to whole seconds, so that no caller retries too early.
fn ceil_seconds(delay: Duration) -> u64 {
    delay.as_secs() + u64::from(delay.subsec_nanos() > 0)
}

fn serialize_status<S: Serializer>(status: &StatusCode, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_u16(status.as_u16())
}
