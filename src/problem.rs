//! Problem documents (RFC 9457): how every refusal reads, for callers and operators alike.
//! docs/OPERATING.md lists the types.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use actix_web::http::{StatusCode, header};
use actix_web::{HttpResponse, ResponseError};
use serde::{Serialize, Serializer};

/// The media type of a problem document.
pub const MEDIA_TYPE: &str = "application/problem+json";

/// Executed tells whether the request that is answered was run.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Executed {
    /// It was not run and will not be.
    No,
    /// It was run.
    Yes,
    /// It may have been run.
    Unknown,
}

/// Problem is one problem document.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Problem {
    /// A reference that names the type of problem and never changes its meaning.
    #[serde(rename = "type")]
    pub type_: &'static str,
    /// The type of problem in a few words.
    pub title: &'static str,
    /// The HTTP status.
    #[serde(serialize_with = "serialize_status")]
    pub status: StatusCode,
    /// What happened this time, in a whole sentence.
    pub detail: String,
    /// Whether the request was run, where that may be asked.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub executed: Option<Executed>,
    /// When to come back; it travels in the `Retry-After` header.
    #[serde(skip)]
    pub retry_after: Option<Duration>,
    /// Further members of the document.
    #[serde(flatten)]
    pub extensions: BTreeMap<&'static str, serde_json::Value>,
}

impl Problem {
    /// Returns a problem that says nothing of execution and carries no further members.
    pub fn new(
        type_: &'static str,
        title: &'static str,
        status: StatusCode,
        detail: String,
    ) -> Self {
        let (executed, retry_after, extensions) = (None, None, BTreeMap::new());
        Self { type_, title, status, detail, executed, retry_after, extensions }
    }

    /// Says whether the request was run.
    #[must_use]
    pub fn executed(self, executed: Executed) -> Self {
        Self { executed: Some(executed), ..self }
    }

    /// Says when to come back.
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

    /// Returns the answer that carries the document.
    pub fn to_response(&self) -> HttpResponse {
        let mut response = HttpResponse::build(self.status);
        if let Some(delay) = self.retry_after {
            response.insert_header((header::RETRY_AFTER, whole_seconds(delay).to_string()));
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

/// Rounds up, so that nobody is asked back before the time.
fn whole_seconds(delay: Duration) -> u64 {
    delay.as_secs() + u64::from(delay.subsec_nanos() > 0)
}

fn serialize_status<S: Serializer>(status: &StatusCode, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_u16(status.as_u16())
}
