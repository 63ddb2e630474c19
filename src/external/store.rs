//! The client of the platform's key-value service, through its published JSON gateway.
//!
//! What a caller may conclude from a failed call is in its error: only
//! [`StoreError::Refused`] says that nothing was changed (docs/OPERATING.md).

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
    /// The service holds no such lease.
    #[error("The key-value service does not know what {call} names: {reason}.")]
    NotFound {
        /// Which call it was.
        call: &'static str,
        /// What the service said.
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

/// Store is a client of the key-value service. It lives on one arbiter and clones cheaply.
#[derive(Clone)]
pub struct Store {
    transport: Rc<transport::Transport>,
}

impl Store {
    /// Returns a client; nothing is connected until the first call.
    pub fn new(options: StoreOptions) -> Self {
        Self { transport: Rc::new(transport::Transport::new(options)) }
    }

    /// Returns how many calls this client and its clones made, by kind.
    pub fn calls(&self) -> CallCounts {
        self.transport.calls()
    }

    /// Reads one key, with the revision that it was read at.
    ///
    /// # Errors
    ///
    /// Returns a [`StoreError`] where the service gives no answer.
    pub async fn get(&self, key: &str) -> Result<(u64, Option<KeyValue>)> {
        let request = gateway::RangeRequest::key(key);
        let answer = self.transport.read(calls::CallKind::Range, &request).await?;
        let mut range = gateway::decode_range(&answer)?;
        Ok((range.revision, range.entries.pop()))
    }

    /// Reads all keys under a prefix at one revision.
    ///
    /// # Errors
    ///
    /// Returns a [`StoreError`] where the service gives no answer.
    pub async fn range(&self, prefix: &str) -> Result<Range> {
        let request = gateway::RangeRequest::prefix(prefix);
        let answer = self.transport.read(calls::CallKind::Range, &request).await?;
        gateway::decode_range(&answer)
    }

    /// Reads the first `limit` keys under a prefix.
    ///
    /// # Errors
    ///
    /// Returns a [`StoreError`] where the service gives no answer.
    pub async fn range_first(&self, prefix: &str, limit: u32) -> Result<Range> {
        let request = gateway::RangeRequest::prefix(prefix).first(limit);
        let answer = self.transport.read(calls::CallKind::Range, &request).await?;
        gateway::decode_range(&answer)
    }

    /// Makes all of `writes` if all of `compares` hold, in one transaction.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::Refused`] where nothing was changed, and [`StoreError::Unknown`]
    /// where the writes may have been made; such a transaction must be settled by reading back.
    pub async fn commit(&self, compares: &[Compare], writes: &[Write]) -> Result<Commit> {
        let request = gateway::TxnRequest::new(compares, writes);
        let (endpoint, answer) = self.transport.write(calls::CallKind::Txn, &request).await?;
        gateway::decode_commit(&answer).map_err(|error| StoreError::Unknown {
            endpoint,
            call: calls::CallKind::Txn.name(),
            reason: error.to_string(),
        })
    }

    /// Takes a lease of at least one second.
    ///
    /// # Errors
    ///
    /// Returns a [`StoreError`]; a lease whose answer was lost lapses by itself.
    pub async fn grant_lease(&self, ttl: Duration) -> Result<LeaseId> {
        let request = gateway::GrantRequest::new(ttl);
        let (_, answer) = self.transport.write(calls::CallKind::LeaseGrant, &request).await?;
        gateway::decode_grant(&answer)
    }

    /// Renews a lease and returns the time it has left; zero means that it is gone.
    ///
    /// # Errors
    ///
    /// Returns a [`StoreError`] where the service gives no answer.
    pub async fn keep_alive(&self, id: LeaseId) -> Result<Duration> {
        let request = gateway::LeaseRequest::new(id);
        let answer = self.transport.read(calls::CallKind::LeaseKeepAlive, &request).await?;
        gateway::decode_keep_alive(&answer)
    }

    /// Gives a lease back, which removes its keys. A lease that is gone already is no error.
    ///
    /// # Errors
    ///
    /// Returns a [`StoreError`] where the service gives no answer.
    pub async fn revoke(&self, id: LeaseId) -> Result<()> {
        let request = gateway::LeaseRequest::new(id);
        match self.transport.write(calls::CallKind::LeaseRevoke, &request).await {
            Err(StoreError::NotFound { .. }) => Ok(()),
            answer => answer.map(drop),
        }
    }

    /// Watches all keys under a prefix, from a revision on (inclusive); zero begins with the next
    /// change.
    ///
    /// # Errors
    ///
    /// Returns a [`StoreError`] where the watch cannot be opened.
    pub async fn watch(&self, prefix: &str, from_revision: u64) -> Result<Watch> {
        Watch::open(Rc::clone(&self.transport), prefix, from_revision).await
    }
}
