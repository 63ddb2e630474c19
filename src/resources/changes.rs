//! Changes and their markers. A marker is written by the transaction that makes the change, only
//! where there is none yet: reading it back tells what became of a change whose answer was lost,
//! and a resend finds it instead of being made again.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use sha2::Digest;

use crate::audit::Action;
use crate::external::store;
use crate::resources::error::{ResourceError, Result};
use crate::resources::kinds::Kind;

/// The prefix of all markers.
pub const CHANGES_PREFIX: &str = "/bitternwall/changes/";

/// Operation is what a change asks for.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Operation {
    /// Create the resource.
    Create {
        /// Its specification.
        spec: Value,
    },
    /// Give the resource another specification.
    Replace {
        /// The resource version that the change builds on.
        resource_version: u64,
        /// Its specification.
        spec: Value,
    },
    /// Remove the resource.
    Delete {
        /// The resource version that the change builds on.
        resource_version: u64,
    },
}

impl Operation {
    /// Returns the name that the audit trail gives the operation.
    pub fn action(&self) -> Action {
        match self {
            Self::Create { .. } => Action::Create,
            Self::Replace { .. } => Action::Replace,
            Self::Delete { .. } => Action::Delete,
        }
    }
}

/// Change is one change that an operator asks for.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// The id, which the operator gives or the service draws.
    pub id: String,
    /// The operator's name.
    pub actor: String,
    /// The kind of the resource.
    pub kind: Kind,
    /// The name of the resource.
    pub name: String,
    /// What to do.
    pub operation: Operation,
}

impl Change {
    /// Returns a hash of all that the change asks for, which tells a resend from another change
    /// under the same id.
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

/// Applied is a change that was made.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Applied {
    /// What was done.
    pub action: Action,
    /// The kind of the resource.
    pub kind: Kind,
    /// The name of the resource.
    pub name: String,
    /// Its generation after the change; a deletion counts as one.
    pub generation: u64,
    /// The operator's name.
    pub actor: String,
    /// When it was planned, in milliseconds since 1970.
    pub unix_ms: u64,
    /// The digest of what was asked for.
    pub digest: String,
}

/// Marker is the value of a marker's key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "state")]
pub enum Marker {
    /// The change was made.
    Applied(Applied),
    /// The change was not made and cannot be made under this id.
    Abandoned {
        /// When that was found, in milliseconds since 1970.
        unix_ms: u64,
    },
}

impl Marker {
    /// Returns the value of the key.
    ///
    /// # Panics
    ///
    /// Never: a marker has string keys only, which JSON can hold.
    pub fn encode(&self) -> Bytes {
        Bytes::from(serde_json::to_vec(self).expect("a marker has string keys only"))
    }

    /// Reads a marker.
    ///
    /// # Errors
    ///
    /// Returns [`ResourceError::Unreadable`] where the key holds something else.
    pub fn decode(kv: &store::KeyValue) -> Result<Self> {
        serde_json::from_slice(&kv.value)
            .map_err(|_| ResourceError::Unreadable { key: kv.key.clone() })
    }
}

/// Accepted is a change that was made, with its place in the history.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Accepted {
    /// The id.
    pub change_id: String,
    /// What was made.
    pub applied: Applied,
    /// The revision of the change, which is the resource version that it made.
    pub resource_version: u64,
}

/// ChangeState is what became of a change.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ChangeState {
    /// It was made.
    Accepted(Accepted),
    /// It was not made and cannot be made under this id.
    NotApplied {
        /// The time of the oldest record of the audit trail, in milliseconds since 1970: a change
        /// made before is no longer known.
        known_since_unix_ms: Option<u64>,
    },
}

/// Returns the key of a change's marker.
pub fn marker_key(change_id: &str) -> String {
    format!("{CHANGES_PREFIX}{change_id}")
}
