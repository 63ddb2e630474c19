//! Client of the platform's key-value service, which uses the service's published JSON gateway.
//!
//! The error of a failed call shows what the call may have done: only [`StoreError::Refused`]
//! guarantees that nothing was changed (docs/OPERATING.md).

mod calls;
mod gateway;
mod transport;
mod watch;

use std::rc::Rc;
use std::result;
use std::time::Duration;

use bytes::Bytes;

pub use calls::CallCounts;
pub use watch::{Watch, WatchBatch, WatchEvent};

/// The result of a call to the key-value service.
pub type Result<T> = result::Result<T, StoreError>;

/// StoreError is the reason why a call to the key-value service failed.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The call was not executed.
    #[error("The key-value service at {endpoint} did not accept the call: {reason}.")]
    Refused {
        /// The base address to which the call was sent.
        endpoint: String,
        /// The error of the connection, the timeout or the service's error response.
        reason: String,
    },
    /// The call may or may not have been executed.
    #[error("The key-value service at {endpoint} gave no usable response to {call}: {reason}.")]
    Unknown {
        /// The base address to which the call was sent.
        endpoint: String,
        /// The name of the call, such as `txn`.
        call: &'static str,
        /// The error of the connection, the timeout or the service's error response.
        reason: String,
    },
    /// The lease that the call names does not exist.
    #[error("The key-value service does not hold the lease named in {call}: {reason}.")]
    NotFound {
        /// The name of the call, such as `txn`.
        call: &'static str,
        /// The HTTP status and the message of the service.
        reason: String,
    },
    /// A watch requested revisions that the service has compacted.
    #[error("The key-value service holds no revision before {revision}; read the range again.")]
    Compacted {
        /// The oldest revision that the service still holds.
        revision: u64,
    },
    /// The response does not follow the published protocol.
    #[error("The key-value service returned a malformed response to {call}: {reason}.")]
    Malformed {
        /// The name of the call, such as `txn`.
        call: &'static str,
        /// The error of the decoder.
        reason: String,
    },
}

/// KeyValue is one key with its value and revisions, as read from the service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KeyValue {
    /// The complete key, with its prefix.
    pub key: String,
    /// The value, at most one megabyte.
    pub value: Bytes,
    /// The revision at which the key was created.
    pub create_revision: u64,
    /// The revision of its last write.
    pub mod_revision: u64,
}

/// Range is the result of a range read: the keys under a prefix at one revision.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Range {
    /// The service's revision at which the range was read.
    pub revision: u64,
    /// The key-value pairs in the order of their keys.
    pub entries: Vec<KeyValue>,
}

/// Compare is one precondition of a transaction.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Compare {
    /// The key was last written at this revision; zero means that the key does not exist.
    ModRevision(String, u64),
    /// The key was created at this revision; zero means that the key does not exist.
    CreateRevision(String, u64),
}

/// Write is one change of a transaction.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Write {
    /// Creates or overwrites a key.
    Put {
        /// The complete key, with its prefix.
        key: String,
        /// The value, at most one megabyte.
        value: Bytes,
        /// The lease with whose end the key is deleted; `None` keeps it until it is deleted.
        lease: Option<LeaseId>,
    },
    /// Deletes a key.
    Delete {
        /// The complete key, with its prefix.
        key: String,
    },
}

/// LeaseId is the number that the service has given a lease.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct LeaseId(pub i64);

/// Commit is the result of a transaction that the service has executed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Commit {
    /// True if all preconditions held and all writes were made; if false, none was made.
    pub succeeded: bool,
    /// The service's revision after the transaction.
    pub revision: u64,
}

/// StoreOptions are the addresses and the timeout that a client uses.
#[derive(Clone, Debug)]
pub struct StoreOptions {
    /// Base addresses such as `http://127.0.0.1:2379`, tried in order.
    pub endpoints: Vec<String>,
    /// The timeout of a call at one endpoint.
    pub call_timeout: Duration,
}

/// Store is a client of the key-value service. It is cheap to clone and must be used on the arbiter
/// that created it.
#[derive(Clone)]
pub struct Store {
    transport: Rc<transport::Transport>,
}

impl Store {
    /// Returns a client, which opens no connection before its first call.
    pub fn new(options: StoreOptions) -> Self {
        Self { transport: Rc::new(transport::Transport::new(options)) }
    }

    /// Returns the number of calls that this client and its clones have sent, by kind.
    pub fn calls(&self) -> CallCounts {
        self.transport.calls()
    }

    /// Reads one key and returns it with the service's revision at the time of the read.
    ///
    /// # Errors
    ///
    /// Returns a [`StoreError`] if no endpoint gives a valid response.
    pub async fn get(&self, key: &str) -> Result<(u64, Option<KeyValue>)> {
        let request = gateway::RangeRequest::key(key);
        let response = self.transport.read(calls::CallKind::Range, &request).await?;
        let mut range = gateway::decode_range(&response)?;
        Ok((range.revision, range.entries.pop()))
    }

    /// Reads all keys under a prefix at one revision.
    ///
    /// # Errors
    ///
    /// Returns a [`StoreError`] if no endpoint gives a valid response.
    pub async fn range(&self, prefix: &str) -> Result<Range> {
        let request = gateway::RangeRequest::prefix(prefix);
        let response = self.transport.read(calls::CallKind::Range, &request).await?;
        gateway::decode_range(&response)
    }

    /// Reads the first `limit` keys under a prefix.
    ///
    /// # Errors
    ///
    /// Returns a [`StoreError`] if no endpoint gives a valid response.
    pub async fn range_first(&self, prefix: &str, limit: u32) -> Result<Range> {
        let request = gateway::RangeRequest::prefix(prefix).first(limit);
        let response = self.transport.read(calls::CallKind::Range, &request).await?;
        gateway::decode_range(&response)
    }

    /// Executes a transaction: makes all of `writes` if all of `compares` hold, and none otherwise.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::Refused`] if nothing was changed, and [`StoreError::Unknown`] if the
    /// writes may have been made. The caller then has to find out by reading the keys back.
    pub async fn commit(&self, compares: &[Compare], writes: &[Write]) -> Result<Commit> {
        let request = gateway::TxnRequest::new(compares, writes);
        let (endpoint, response) = self.transport.write(calls::CallKind::Txn, &request).await?;
        gateway::decode_commit(&response).map_err(|error| StoreError::Unknown {
            endpoint,
            call: calls::CallKind::Txn.name(),
            reason: error.to_string(),
        })
    }

    /// Requests a lease of at least one second.
    ///
    /// # Errors
    ///
    /// Returns a [`StoreError`] if no endpoint grants the lease. A lease that was granted although
    /// the response was lost expires by itself.
    pub async fn grant_lease(&self, ttl: Duration) -> Result<LeaseId> {
        let request = gateway::GrantRequest::new(ttl);
        let (_, response) = self.transport.write(calls::CallKind::LeaseGrant, &request).await?;
        gateway::decode_grant(&response)
    }

    /// Renews a lease and returns its remaining time; zero means that it has expired.
    ///
    /// # Errors
    ///
    /// Returns a [`StoreError`] if no endpoint gives a valid response.
    pub async fn keep_alive(&self, id: LeaseId) -> Result<Duration> {
        let request = gateway::LeaseRequest::new(id);
        let response = self.transport.read(calls::CallKind::LeaseKeepAlive, &request).await?;
        gateway::decode_keep_alive(&response)
    }

    /// Revokes a lease, which deletes its keys. A lease that no longer exists is not an error.
    ///
    /// # Errors
    ///
    /// Returns a [`StoreError`] if no endpoint gives a valid response.
    pub async fn revoke(&self, id: LeaseId) -> Result<()> {
        let request = gateway::LeaseRequest::new(id);
        match self.transport.write(calls::CallKind::LeaseRevoke, &request).await {
            Err(StoreError::NotFound { .. }) => Ok(()),
            response => response.map(drop),
        }
    }

    /// Watches all keys under a prefix, starting with the changes of `from_revision`; zero starts
    /// with the next change.
    ///
    /// # Errors
    ///
    /// Returns a [`StoreError`] if the watch cannot be opened at any endpoint.
    pub async fn watch(&self, prefix: &str, from_revision: u64) -> Result<Watch> {
        Watch::open(Rc::clone(&self.transport), prefix, from_revision).await
    }
}
