//! The key-value store as the direct path uses it: typed reads and watches, behind functions that
//! an adapter provides.

use std::result;
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::LocalBoxFuture;

use crate::direct::configuration::Configuration;
use crate::direct::targets::Target;

/// The result of a call.
pub type Result<T> = result::Result<T, StoreError>;

/// StoreError is why a call gave no result.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum StoreError {
    /// The store did not answer in time, or cannot be reached.
    #[error("the store does not answer: {0}")]
    Unreachable(String),
    /// The store refuses calls for now; nothing was done.
    #[error("the store refuses the call with status {0}")]
    Refused(u16),
    /// The history that a watch asked for is gone.
    #[error("the store has dropped the history of the watch")]
    Compacted,
    /// The answer cannot be read.
    #[error("the answer of the store cannot be read: {0}")]
    Unreadable(String),
}

/// Collection is a part of the store that entries follow.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Collection {
    /// The operator's configuration, one item.
    Configuration,
    /// The targets, one item each.
    Targets,
}

impl Collection {
    /// Returns the name that logs and metrics use.
    pub fn name(self) -> &'static str {
        match self {
            Self::Configuration => "configuration",
            Self::Targets => "targets",
        }
    }
}

/// Item is one key as it stands, without the part that names its collection.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Item {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Bytes,
    /// The revision of its last change.
    pub revision: u64,
}

/// Change is one change of a collection.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Change {
    /// A key was written.
    Put(Item),
    /// A key was removed.
    Removed {
        /// The key.
        key: String,
        /// The revision.
        revision: u64,
    },
}

/// Listing is a collection as read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Listing {
    /// The items.
    pub items: Vec<Item>,
    /// The revision at which they stood.
    pub revision: u64,
}

/// Changes is what a watch told.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Changes {
    /// The changes in order.
    pub changes: Vec<Change>,
    /// The revision to go on from.
    pub revision: u64,
}

type Call<A, T> = Box<dyn Fn(A) -> LocalBoxFuture<'static, Result<T>>>;

/// Store is the calls that entries make.
pub struct Store {
    /// Reads a collection whole.
    pub list: Call<Collection, Listing>,
    /// Waits for changes of a collection after a revision, for a time at the longest.
    pub watch: Call<(Collection, u64, Duration), Changes>,
}

/// Formats reads the values of the store.
#[derive(Clone, Copy)]
pub struct Formats {
    /// Reads a configuration.
    pub configuration: fn(&[u8]) -> result::Result<Configuration, UnreadableValue>,
    /// Reads a target by its key and value.
    pub target: fn(&str, &[u8]) -> result::Result<Target, UnreadableValue>,
}

/// UnreadableValue says which field of a stored value cannot be read, and why.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("field `{field}`: {reason}")]
pub struct UnreadableValue {
    /// The path of the field; `.` for the whole value.
    pub field: String,
    /// Why.
    pub reason: String,
}
