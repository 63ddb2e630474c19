//! The complete configuration at one revision of the store.
//!
//! A state is either replaced as a whole or advanced by a delta that names every key touched, so
//! no tombstones are needed: see docs/CONFIGURATION.md.

use std::result;
use std::sync::Arc;

use bytes::Bytes;

use crate::collections::Map;
use crate::external::store;

/// The result of advancing a state.
pub type Result<T> = result::Result<T, StateError>;

/// The reason a state was not advanced.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum StateError {
    /// The offered state or delta is not newer than the state held.
    #[error("The offered revision {offered} is not newer than the held revision {held}.")]
    NotNewer {
        /// The revision held.
        held: u64,
        /// The revision offered.
        offered: u64,
    },
    /// The delta starts after the state held, so the changes between them would be lost.
    #[error("A delta from revision {base} leaves a gap after the held revision {held}.")]
    Gap {
        /// The revision held.
        held: u64,
        /// The base revision of the delta.
        base: u64,
    },
    /// A peer's delta starts from another revision than the one held.
    #[error("A peer's delta from revision {base} does not apply to the held revision {held}.")]
    BaseMismatch {
        /// The revision held.
        held: u64,
        /// The base revision of the delta.
        base: u64,
    },
}

/// A resource as the store holds it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoredResource {
    /// The revision at which the key was created.
    pub create_revision: u64,
    /// The revision of its last write.
    pub mod_revision: u64,
    /// The stored envelope, in JSON; see [`Envelope`](crate::config::envelope::Envelope).
    pub value: Bytes,
}

/// The changes up to a revision. It names every key that was touched after the base revision, so
/// it can be applied to any state from the base revision on.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Delta {
    /// The revision after which the delta starts.
    pub base_revision: u64,
    /// The revision of a state after the delta has been applied.
    pub revision: u64,
    /// The touched keys that exist at `revision`, with their values.
    pub changed: Vec<store::KeyValue>,
    /// The touched keys that do not exist at `revision`.
    pub deleted: Vec<String>,
}

/// All resources at one revision. A clone shares keys and values.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct State {
    revision: u64,
    resources: Map<Arc<str>, StoredResource>,
}

impl State {
    /// Returns the store revision of the state; zero if none has been received.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns all resources by their full key.
    pub fn resources(&self) -> &Map<Arc<str>, StoredResource> {
        &self.resources
    }

    /// Returns the resource with a full key.
    pub fn get(&self, key: &str) -> Option<&StoredResource> {
        self.resources.get(key)
    }

    /// Replaces the state with all resources of a range read.
    ///
    /// # Errors
    ///
    /// Returns [`StateError::NotNewer`] for a revision that is not higher.
    pub fn replace(&mut self, range: &store::Range) -> Result<()> {
        self.check_newer(range.revision)?;
        self.resources = range.entries.iter().map(stored_resource).collect();
        self.revision = range.revision;
        Ok(())
    }

    /// Applies a delta.
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
        self.resources.extend(delta.changed.iter().map(stored_resource));
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

fn stored_resource(entry: &store::KeyValue) -> (Arc<str>, StoredResource) {
    let resource = StoredResource {
        create_revision: entry.create_revision,
        mod_revision: entry.mod_revision,
        value: entry.value.clone(),
    };
    (Arc::from(entry.key.as_str()), resource)
}
