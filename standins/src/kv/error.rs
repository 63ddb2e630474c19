//! Why the key-value service refuses a call.

use std::result;

use actix_web::{HttpResponse, ResponseError, error, http};

use super::messages::GatewayError;
use crate::reply;

/// The result of a call to the key-value service.
pub type Result<T> = result::Result<T, KvError>;

/// KvError is why a call was not carried out, or why its answer is lost.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum KvError {
    /// The connection is closed without an answer.
    #[error("The service closes the connection without an answer.")]
    NoAnswer,
    /// Too many calls in this second.
    #[error("The service takes no more than {limit} such calls a second.")]
    RateLimited {
        /// The limit of the call's kind.
        limit: u64,
    },
    /// The request cannot be understood.
    #[error("The request is malformed: {reason}.")]
    Malformed {
        /// What does not fit.
        reason: String,
    },
    /// A value is larger than the service holds.
    #[error("The request is too large: a value has {size} bytes, at most {limit} are held.")]
    ValueTooLarge {
        /// The value's size.
        size: usize,
        /// The largest size.
        limit: usize,
    },
    /// A transaction has too many steps.
    #[error("Too many operations in a transaction: {count}, at most {limit}.")]
    TooManyOperations {
        /// The steps or conditions given.
        count: usize,
        /// The most allowed.
        limit: usize,
    },
    /// A transaction sets the same key twice.
    #[error("A duplicate key is given in a transaction.")]
    DuplicateKey,
    /// The lease does not exist, or no longer.
    #[error("The requested lease {id} is not found.")]
    LeaseNotFound {
        /// The lease.
        id: i64,
    },
    /// The wanted id is in use.
    #[error("The lease {id} exists already.")]
    LeaseExists {
        /// The lease.
        id: i64,
    },
    /// The stand-in does not offer this part of the protocol.
    #[error("The stand-in does not read at the older revision {revision}.")]
    OldRevision {
        /// The revision asked for.
        revision: i64,
    },
}

impl KvError {
    /// Returns the gRPC status code.
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
            return reply::cut();
        }
        let message = self.to_string();
        let body = GatewayError { error: message.clone(), message, code: self.code() };
        HttpResponse::build(self.status_code()).json(body)
    }
}

/// Refuses a malformed body as the gateway does.
pub fn refuse_json(error: &error::JsonPayloadError) -> HttpResponse {
    KvError::Malformed { reason: error.to_string() }.error_response()
}
