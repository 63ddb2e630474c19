//! The key-value store as the direct path uses it: typed reads and watches, implemented by the
//! functions of a platform's adapter.

use std::time::Duration;
use std::{fmt, result};

use bytes::Bytes;
use futures_util::future::LocalBoxFuture;

use crate::direct::known::configuration::Configuration;
use crate::direct::known::target::Target;

/// The result of a call to the store.
pub type Result<T> = result::Result<T, StoreError>;

/// The reason that a call to the store failed.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum StoreError {
    /// The store did not answer in time, or cannot be reached.
    #[error("the store does not answer: {0}")]
    Unreachable(String),
    /// The store refused the call and did nothing; a later one may succeed.
    #[error("the store refuses the call with status {0}")]
    Refused(u16),
    /// The store has compacted the history after the watch's revision; the collection must be read
    /// again.
    #[error("the store has dropped the history of the watch")]
    Compacted,
    /// The lease to renew has ended, and its items are gone.
    #[error("the lease has ended")]
    LeaseEnded,
    /// The answer states no era, or one that is no number, so its revisions cannot be compared.
    #[error("the answer of the store states no valid era: {0:?}")]
    InvalidEra(String),
    /// The store came back from an older copy while a collection was being read.
    #[error("the store came back from an older copy: era {before} became {after}")]
    EraChanged {
        /// The era of the first page.
        before: u64,
        /// The era of a later page.
        after: u64,
    },
    /// The answer cannot be decoded.
    #[error("the answer of the store cannot be read: {0}")]
    Unreadable(String),
}

/// A moment in the history of the store.
///
/// The store may come back from an older copy. A new era begins then, in which revisions are given
/// out again, so positions are ordered by their eras first. See docs/STORE_ERAS.md.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct Position {
    /// How many times the store came back from an older copy; 0 for a store that states no era.
    pub era: u64,
    /// The store's revision, which counts its changes within the era.
    pub revision: u64,
}

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.era, self.revision)
    }
}

/// A part of the store that entries replicate.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Collection {
    /// What the operator asks for: the configuration, a single item, and in deployments in which data
    /// centres can be emptied one item for each that is.
    Configuration,
    /// The target list, with one item for each target.
    Targets,
}

impl Collection {
    /// All collections.
    pub const ALL: [Self; 2] = [Self::Configuration, Self::Targets];

    /// Returns the name that logs and metrics use.
    pub fn name(self) -> &'static str {
        match self {
            Self::Configuration => "configuration",
            Self::Targets => "targets",
        }
    }
}

/// One key of a collection with its present value.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Item {
    /// The key, without the prefix of the collection.
    pub key: String,
    /// The undecoded value.
    pub value: Bytes,
    /// The store's revision of its last write.
    pub revision: u64,
}

/// An item that an entry writes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SavedItem {
    /// The key, without the prefix of all keys of its kind.
    pub key: String,
    /// The encoded value.
    pub value: Bytes,
    /// The time after which the store removes the item.
    pub ttl: Duration,
}

/// A lease of the store, by its id. When it ends, the store removes the items that carry it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Lease(pub u64);

/// How recent an answer of the store has to be.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Freshness {
    /// It includes all writes that the store has acknowledged.
    Latest,
    /// It may be seconds old, which costs the store less.
    MayBeStale,
}

/// One change of a collection.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Change {
    /// A key was written.
    Put(Item),
    /// A key was removed.
    Removed {
        /// The key, without the prefix of the collection.
        key: String,
        /// The store's revision of the removal.
        revision: u64,
    },
}

/// A complete collection, as read from the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Listing {
    /// All items, in any order.
    pub items: Vec<Item>,
    /// The position to watch from. Items may include later changes.
    pub position: Position,
}

/// The result of one watch call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Changes {
    /// The changes, in order of their revisions; empty where there were none in time.
    pub changes: Vec<Change>,
    /// The position from which the next call continues. If its era differs from that of the call's
    /// position, the store came back from an older copy, and the collection must be read again.
    pub position: Position,
}

/// One watch call: it waits for changes of a collection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Watch {
    /// The collection.
    pub collection: Collection,
    /// Changes later than this revision of the store's present era are returned.
    pub after: u64,
    /// How long the store waits for a change before it answers that there was none.
    pub wait: Duration,
    /// How much longer the answer may take before the call fails.
    pub answer_time: Duration,
}

type Call<A, T> = Box<dyn Fn(A) -> LocalBoxFuture<'static, Result<T>>>;

/// The calls that entries make to the store.
pub struct Store {
    /// Reads a complete collection.
    pub list: Call<Collection, Listing>,
    /// Waits for changes of a collection.
    pub watch: Call<Watch, Changes>,
    /// Reads the records of the requests under which targets crashed.
    pub list_crashes: Call<(), Vec<Item>>,
    /// Writes such a record, whatever its key held before. An error does not exclude that it is
    /// written.
    pub save_crash: Call<SavedItem, Lease>,
    /// Reads the records by which entries find each other.
    pub list_contacts: Call<Freshness, Vec<Item>>,
    /// Writes such a record under a lease of its own, whatever its key held before.
    pub save_contact: Call<SavedItem, Lease>,
    /// Renews a lease; [`StoreError::LeaseEnded`] if it has ended.
    pub renew: Call<Lease, ()>,
}

/// What an item of [`Collection::Configuration`] is about, by its key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OperatorItem<'a> {
    /// The configuration.
    Configuration,
    /// The data centre of this name is being emptied, whatever the value.
    Emptied(&'a str),
    /// Something else.
    Other,
}

/// The decoders of stored values.
#[derive(Clone, Copy)]
pub struct Formats {
    /// Decodes a configuration.
    pub configuration: fn(&[u8]) -> result::Result<Configuration, UnreadableValue>,
    /// Returns what an item is about, from its key.
    pub operator_item: fn(&str) -> OperatorItem<'_>,
    /// Decodes a target from its key and value.
    pub target: fn(&str, &[u8]) -> result::Result<Target, UnreadableValue>,
}

/// The field of a stored value, or of an engine's report, that cannot be decoded.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("field `{field}`: {reason}")]
pub struct UnreadableValue {
    /// The path of the field; `.` for the value as a whole.
    pub field: String,
    /// The decoder's message.
    pub reason: String,
}
