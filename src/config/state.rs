//! The whole configuration at one revision of the store.
//!
//! Replacing whole states, or moving them by deltas that name every key touched, makes
//! tombstones needless: see docs/CONFIGURATION.md.

use std::result;
use std::sync::Arc;

use bytes::Bytes;

use crate::collections::Map;
use crate::external::store;

/// The result of moving a state.
pub type Result<T> = result::Result<T, StateError>;

/// StateError is why a state did not move.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum StateError {
    /// The offer is not newer than what is held.
    #[error("Revision {offered} is not newer than the revision {held} that is held.")]
    NotNewer {
        /// The revision held.
        held: u64,
        /// The revision offered.
        offered: u64,
    },
    /// The delta starts after the state, so changes between them would be lost.
    #[error("A delta from revision {base} leaves a gap after the revision {held} that is held.")]
    Gap {
        /// The revision held.
        held: u64,
        /// Where the delta starts.
        base: u64,
    },
    /// A peer's delta was made for another revision.
    #[error("A peer's delta from revision {base} does not fit the revision {held} that is held.")]
    BaseMismatch {
        /// The revision held.
        held: u64,
        /// What the delta was made for.
        base: u64,
    },
}

/// StoredResource is one resource as the store holds it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoredResource {
    /// The revision at which the key came to be.
    pub create_revision: u64,
    /// The revision of its last write.
    pub mod_revision: u64,
    /// The stored envelope, in JSON.
    pub value: Bytes,
}

/// Delta leads from any revision between its base and its end to its end. It names every key
/// that was touched after the base, so it may be applied to each state between the two.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Delta {
    /// The revision that the delta starts after.
    pub base_revision: u64,
    /// The revision that it leads to.
    pub revision: u64,
    /// Each touched key that exists at the end.
    pub changed: Vec<store::KeyValue>,
    /// Each touched key that does not.
    pub deleted: Vec<String>,
}

/// State is every resource at one revision; cloning it copies no values.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct State {
    revision: u64,
    resources: Map<Arc<str>, StoredResource>,
}

impl State {
    /// Returns the store's revision that the state belongs to; zero before the first.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the resources by key.
    pub fn resources(&self) -> &Map<Arc<str>, StoredResource> {
        &self.resources
    }

    /// Returns the resource under a key.
    pub fn get(&self, key: &str) -> Option<&StoredResource> {
        self.resources.get(key)
    }

    /// Takes over a whole state.
    ///
    /// # Errors
    ///
    /// Returns [`StateError::NotNewer`] for a revision that is not higher.
    pub fn replace(&mut self, range: &store::Range) -> Result<()> {
        self.check_newer(range.revision)?;
        self.resources = range.entries.iter().map(stored).collect();
        self.revision = range.revision;
        Ok(())
    }

    /// Moves to the end of a delta.
    ///
    /// # Errors
    ///
    /// Returns [`StateError::NotNewer`] for a revision that is not higher, and
    /// [`StateError::Gap`] for a delta that starts after this state.
    pub fn apply_delta(&mut self, delta: &Delta) -> Result<()> {
        self.check_newer(delta.revision)?;
        if delta.base_revision > self.revision {
            return Err(StateError::Gap { held: self.revision, base: delta.base_revision });
        }
        for key in &delta.deleted {
            self.resources.remove(key.as_str());
        }
        self.resources.extend(delta.changed.iter().map(stored));
        self.revision = delta.revision;
        Ok(())
    }

    fn check_newer(&self, offered: u64) -> Result<()> {
        if offered > self.revision {
            return Ok(());
        }
        Err(StateError::NotNewer { held: self.revision, offered })
    }
}

fn stored(entry: &store::KeyValue) -> (Arc<str>, StoredResource) {
    let resource = StoredResource {
        create_revision: entry.create_revision,
        mod_revision: entry.mod_revision,
        value: entry.value.clone(),
    };
    (Arc::from(entry.key.as_str()), resource)
}
