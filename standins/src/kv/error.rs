//! Errors of the key-value service and their gateway responses.

use std::result;

use actix_web::{HttpResponse, ResponseError, error, http};

use super::messages::GatewayError;
use crate::reply;

/// The result of a call to the key-value service.
pub type Result<T> = result::Result<T, KvError>;

/// The reason why a call was refused or its response is lost.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum KvError {
    /// The connection is closed without a response, since the service is down or the response is
    /// to be lost.
    #[error("The service closes the connection without a response.")]
    NoAnswer,
    /// The rate limit of the call's access is exceeded in the current second.
    #[error("The limit of {limit} such calls per second is exceeded.")]
    RateLimited {
        /// The limit for reads or for writes, in calls per second.
        limit: u64,
    },
    /// The request cannot be parsed or has an invalid combination of fields.
    #[error("The request is malformed: {reason}.")]
    Malformed {
        /// The parser's message or the violated rule.
        reason: String,
    },
    /// A value is larger than [`MAX_VALUE_BYTES`](super::store::MAX_VALUE_BYTES).
    #[error("The request is too large: a value has {size} bytes, the limit is {limit}.")]
    ValueTooLarge {
        /// The size of the value, in bytes.
        size: usize,
        /// The largest allowed size, in bytes.
        limit: usize,
    },
    /// A transaction has too many conditions or operations.
    #[error("Too many operations in a transaction: {count}, the limit is {limit}.")]
    TooManyOperations {
        /// The largest of the numbers of conditions, success operations and failure operations.
        count: usize,
        /// The largest allowed number of each.
        limit: usize,
    },
    /// A transaction sets the same key more than once.
    #[error("A transaction sets the same key more than once.")]
    DuplicateKey,
    /// The lease was never granted, has expired or was revoked.
    #[error("The lease {id} does not exist.")]
    LeaseNotFound {
        /// The id of the missing lease.
        id: i64,
    },
    /// A lease with the requested id exists.
    #[error("The lease {id} already exists.")]
    LeaseExists {
        /// The requested id.
        id: i64,
    },
    /// The request reads at an older revision, which this fake does not support.
    #[error("Reads at the older revision {revision} are not supported.")]
    OldRevision {
        /// The requested revision.
        revision: i64,
    },
}

impl KvError {
    /// Returns the gRPC status code that the gateway reports for this error.
    pub fn code(&self) -> u32 {
        match self {
            Self::Malformed { .. }
            | Self::ValueTooLarge { .. }
            | Self::TooManyOperations { .. }
            | Self::DuplicateKey => 3,
            Self::LeaseNotFound { .. } => 5,
            Self::RateLimited { .. } => 8,
            Self::LeaseExists { .. } => 9,
            Self::OldRevision { .. } => 12,
            Self::NoAnswer => 14,
        }
    }
}

impl ResponseError for KvError {
    fn status_code(&self) -> http::StatusCode {
        match self.code() {
            5 => http::StatusCode::NOT_FOUND,
            8 => http::StatusCode::TOO_MANY_REQUESTS,
            12 => http::StatusCode::NOT_IMPLEMENTED,
            14 => http::StatusCode::SERVICE_UNAVAILABLE,
            _ => http::StatusCode::BAD_REQUEST,
        }
    }

    fn error_response(&self) -> HttpResponse {
        if *self == Self::NoAnswer {
            return reply::abort();
        }
        let message = self.to_string();
        let body = GatewayError { error: message.clone(), message, code: self.code() };
        HttpResponse::build(self.status_code()).json(body)
    }
}

/// Returns the gateway's response to a malformed body.
pub fn refuse_json(error: &error::JsonPayloadError) -> HttpResponse {
    KvError::Malformed { reason: error.to_string() }.error_response()
}
