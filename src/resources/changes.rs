//! Changes of resources and their markers.
//!
//! The transaction that applies a change also writes its marker, on the condition that none exists
//! yet. The marker makes changes idempotent: after a lost response it shows whether the change was
//! applied, and a repeated request returns the recorded result instead of applying the change
//! twice.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use sha2::Digest;

use crate::audit::Action;
use crate::external::store;
use crate::resources::error::{ResourceError, Result};
use crate::resources::kinds::Kind;

/// Key prefix of all markers.
pub const CHANGES_PREFIX: &str = "/bitternwall/changes/";

/// The requested operation on a resource.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Operation {
    /// Create the resource.
    Create {
        /// The specification, not yet checked.
        spec: Value,
    },
    /// Replace the specification of the resource.
    Replace {
        /// The resource version that the change is based on; the change fails if it is not current.
        resource_version: u64,
        /// The new specification.
        spec: Value,
    },
    /// Delete the resource.
    Delete {
        /// The resource version that the change is based on; the change fails if it is not current.
        resource_version: u64,
    },
}

impl Operation {
    /// Returns the action under which the audit trail records the operation.
    pub fn action(&self) -> Action {
        match self {
            Self::Create { .. } => Action::Create,
            Self::Replace { .. } => Action::Replace,
            Self::Delete { .. } => Action::Delete,
        }
    }
}

/// A change requested by an operator.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// The idempotency key of the change, supplied by the operator or generated at random.
    pub id: String,
    /// The name of the operator who requested the change.
    pub actor: String,
    /// The kind of the resource.
    pub kind: Kind,
    /// The name of the resource.
    pub name: String,
    /// The requested operation.
    pub operation: Operation,
}

impl Change {
    /// Returns a hash of the kind, name and operation. It distinguishes a repeated request from a
    /// different change under the same id.
    ///
    /// # Panics
    ///
    /// Never: an operation has string keys only, which JSON can hold.
    pub fn digest(&self) -> String {
        let subject = (self.kind, &self.name, &self.operation);
        let text = serde_json::to_vec(&subject).expect("an operation has string keys only");
        format!("{:x}", sha2::Sha256::digest(text))
    }
}

/// The record of an applied change.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Applied {
    /// The action that was carried out.
    pub action: Action,
    /// The kind of the resource.
    pub kind: Kind,
    /// The name of the resource.
    pub name: String,
    /// The generation of the resource after the change; a deletion increments it too.
    pub generation: u64,
    /// The name of the operator who requested the change.
    pub actor: String,
    /// The time at which the change was planned, in milliseconds since 1970.
    pub unix_ms: u64,
    /// The digest of the request, as [`Change::digest`] returns it.
    pub digest: String,
}

/// The final outcome of a change, stored under its [`marker_key`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "state")]
pub enum Marker {
    /// The change was applied.
    Applied(Applied),
    /// The change was not applied and can no longer be applied under this id.
    Abandoned {
        /// The time at which the change was abandoned, in milliseconds since 1970.
        unix_ms: u64,
    },
}

impl Marker {
    /// Encodes the marker as the value of its key.
    ///
    /// # Panics
    ///
    /// Never: a marker has string keys only, which JSON can hold.
    pub fn encode(&self) -> Bytes {
        Bytes::from(serde_json::to_vec(self).expect("a marker has string keys only"))
    }

    /// Decodes a marker from its key.
    ///
    /// # Errors
    ///
    /// Returns [`ResourceError::Unreadable`] if the value is not a marker.
    pub fn decode(kv: &store::KeyValue) -> Result<Self> {
        serde_json::from_slice(&kv.value)
            .map_err(|_| ResourceError::Unreadable { key: kv.key.clone() })
    }
}

/// An applied change with its id and the revision at which it was committed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Accepted {
    /// The id of the change.
    pub change_id: String,
    /// The record of the change.
    pub applied: Applied,
    /// The revision of the transaction, which is the resource version that the change produced.
    pub resource_version: u64,
}

/// The final state of a change.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ChangeState {
    /// The change was applied.
    Accepted(Accepted),
    /// The change has no record of being applied and can no longer be applied under this id.
    NotApplied {
        /// The time of the oldest record of the audit trail, in milliseconds since 1970. A change
        /// applied before it may have been pruned with its marker. `None` if the trail is empty.
        known_since_unix_ms: Option<u64>,
    },
}

/// Returns the key of a change's marker.
pub fn marker_key(change_id: &str) -> String {
    format!("{CHANGES_PREFIX}{change_id}")
}
