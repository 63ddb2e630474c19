//! The client of the platform's key-value service, through its published JSON gateway.

use std::result;
use std::time::Duration;

use bytes::Bytes;

/// The result of a call to the key-value service.
pub type Result<T> = result::Result<T, StoreError>;

/// StoreError is why a call to the key-value service gave no answer.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The call was not carried out.
    #[error("The key-value service at {endpoint} did not take the call: {reason}.")]
    Refused {
        /// Where the call went.
        endpoint: String,
        /// What the connection said.
        reason: String,
    },
    /// The call may or may not have been carried out.
    #[error("The key-value service at {endpoint} gave no answer to {call}: {reason}.")]
    Unknown {
        /// Where the call went.
        endpoint: String,
        /// Which call it was.
        call: &'static str,
        /// What the connection said.
        reason: String,
    },
    /// A watch asked for history that the service has dropped.
    #[error("The key-value service no longer holds revision {revision}; read the range again.")]
    Compacted {
        /// The oldest revision that it holds.
        revision: u64,
    },
    /// The answer does not follow the published protocol.
    #[error("The key-value service answered {call} with something else: {reason}.")]
    Malformed {
        /// Which call it was.
        call: &'static str,
        /// What does not fit.
        reason: String,
    },
}

/// KeyValue is one key as the service holds it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KeyValue {
    /// The key.
    pub key: String,
    /// The value, at most one megabyte.
    pub value: Bytes,
    /// The revision at which the key came to be.
    pub create_revision: u64,
    /// The revision of its last write.
    pub mod_revision: u64,
}

/// Range is all keys under a prefix at one revision.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Range {
    /// The revision that the range was read at.
    pub revision: u64,
    /// The keys in order.
    pub entries: Vec<KeyValue>,
}

/// Compare is one condition of a transaction.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Compare {
    /// The key's last write has this revision; zero means that the key is absent.
    ModRevision(String, u64),
    /// The key was created at this revision; zero means that the key is absent.
    CreateRevision(String, u64),
}

/// Write is one change of a transaction.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Write {
    /// Sets a key.
    Put {
        /// The key.
        key: String,
        /// Its value.
        value: Bytes,
        /// The lease that it goes with.
        lease: Option<LeaseId>,
    },
    /// Removes a key.
    Delete {
        /// The key.
        key: String,
    },
}

/// LeaseId names a lease.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct LeaseId(pub i64);

/// Commit is the outcome of a transaction that was carried out.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Commit {
    /// True where all conditions held and all changes were made.
    pub succeeded: bool,
    /// The service's revision after the transaction.
    pub revision: u64,
}

/// StoreOptions tells how to reach the service.
#[derive(Clone, Debug)]
pub struct StoreOptions {
    /// Base addresses such as `http://127.0.0.1:2379`, tried in order.
    pub endpoints: Vec<String>,
    /// How long a call may take.
    pub call_timeout: Duration,
}
