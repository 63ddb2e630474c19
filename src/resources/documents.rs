//! The JSON documents of the operators' API.

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::audit::AuditRecord;
use crate::resources::changes::{Accepted, Applied, ChangeState};
use crate::resources::kinds::Kind;
use crate::resources::status::Status;
use crate::resources::stored::StoredResource;

/// The name and version of a resource.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Metadata {
    /// The name of the resource.
    pub name: String,
    /// Number of times the resource was written; ignored in requests.
    #[serde(default)]
    pub generation: u64,
    /// The revision of the last write. In a request to replace the resource, the version that the
    /// replacement is based on.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub resource_version: Option<u64>,
    /// The id of the change that wrote this version; ignored in requests.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub change_id: Option<String>,
}

/// One resource as operators send and receive it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// The kind of the resource, which determines the form of `spec`.
    pub kind: Kind,
    /// The name and version.
    pub metadata: Metadata,
    /// The specification; defaults are filled in in responses.
    pub spec: Value,
    /// The status of this version; ignored in requests.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub status: Option<Status>,
}

impl Document {
    /// Returns the document for a stored resource.
    pub fn from_stored(stored: &StoredResource, status: Status) -> Self {
        let StoredResource { resource, resource_version, .. } = stored;
        let metadata = Metadata {
            name: resource.name.clone(),
            generation: resource.generation,
            resource_version: Some(*resource_version),
            change_id: Some(resource.change_id.clone()),
        };
        Self { kind: resource.kind, metadata, spec: resource.spec.clone(), status: Some(status) }
    }

    /// Returns the document for a resource that was created or replaced by a change.
    pub fn from_accepted(accepted: &Accepted, spec: Value, status: Status) -> Self {
        let Accepted { change_id, applied, resource_version } = accepted;
        let metadata = Metadata {
            name: applied.name.clone(),
            generation: applied.generation,
            resource_version: Some(*resource_version),
            change_id: Some(change_id.clone()),
        };
        Self { kind: applied.kind, metadata, spec, status: Some(status) }
    }
}

/// All resources of one kind at one revision.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ListDocument {
    /// The kind of all items.
    pub kind: Kind,
    /// The revision of the list; a watch after it continues without a gap.
    pub resource_version: u64,
    /// The resources, ordered by name.
    pub items: Vec<Document>,
}

/// One line in the response to a watch request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE", tag = "type", content = "object")]
pub enum WatchLine {
    /// A resource was created.
    Added(Document),
    /// The specification of a resource was replaced.
    Modified(Document),
    /// The status of a resource version has changed.
    Status(Document),
    /// A resource was deleted.
    Deleted(Tombstone),
    /// All changes up to the revision have been sent.
    Bookmark(Bookmark),
    /// The watch has failed and ends here; the object is a problem document.
    Error(Value),
}

/// A deleted resource.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Tombstone {
    /// The kind of the resource.
    pub kind: Kind,
    /// The name; the resource version is the revision of the deletion.
    pub metadata: Metadata,
}

/// A revision that a watch has reached; a new watch can start after it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Bookmark {
    /// The revision up to which all changes have been sent.
    pub resource_version: u64,
}

/// A change and its final state.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ChangeDocument {
    /// The id of the change.
    pub change_id: String,
    /// The final state of the change.
    #[serde(flatten)]
    pub outcome: ChangeOutcome,
}

/// The final state of a change.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "state")]
pub enum ChangeOutcome {
    /// The change was applied.
    Applied {
        /// The resource version that the change produced.
        resource_version: u64,
        /// The record of the change.
        #[serde(flatten)]
        applied: Applied,
    },
    /// The change has no record of being applied and can no longer be applied under this id.
    NotApplied {
        /// The time of the oldest record of the audit trail, in milliseconds since 1970; a change
        /// applied before it may have been forgotten. `None` if the trail is empty.
        known_since_unix_ms: Option<u64>,
    },
}

impl ChangeDocument {
    /// Returns the document for the state of a change.
    pub fn new(change_id: &str, state: ChangeState) -> Self {
        let outcome = match state {
            ChangeState::Accepted(Accepted { applied, resource_version, .. }) => {
                ChangeOutcome::Applied { resource_version, applied }
            }
            ChangeState::NotApplied { known_since_unix_ms } => {
                ChangeOutcome::NotApplied { known_since_unix_ms }
            }
        };
        Self { change_id: String::from(change_id), outcome }
    }
}

/// A response of the audit API.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct AuditDocument {
    /// The newest records of the audit trail, newest first.
    pub items: Vec<AuditRecord>,
}
