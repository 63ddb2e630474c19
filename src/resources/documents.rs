//! The JSON documents that operators send and read.

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::audit::AuditRecord;
use crate::resources::changes::{Accepted, Applied, ChangeState};
use crate::resources::kinds::Kind;
use crate::resources::status::Status;
use crate::resources::stored::StoredResource;

/// Metadata is what a resource is called and which version it is.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Metadata {
    /// The name.
    pub name: String,
    /// The generation; passed over where an operator sends it.
    #[serde(default)]
    pub generation: u64,
    /// The resource version; a replacement builds on it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub resource_version: Option<u64>,
    /// The change that wrote it; passed over where an operator sends it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub change_id: Option<String>,
}

/// Document is one resource.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// The kind.
    pub kind: Kind,
    /// The name and the version.
    pub metadata: Metadata,
    /// The specification.
    pub spec: Value,
    /// What is known of it; passed over where an operator sends it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub status: Option<Status>,
}

impl Document {
    /// Returns the document of a stored resource.
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

    /// Returns the document of a resource that a change wrote.
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

/// ListDocument is all resources of one kind at one revision.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ListDocument {
    /// The kind.
    pub kind: Kind,
    /// The revision, from which a watch may follow on.
    pub resource_version: u64,
    /// The resources in the order of their names.
    pub items: Vec<Document>,
}

/// WatchLine is one line of a watch.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE", tag = "type", content = "object")]
pub enum WatchLine {
    /// A resource came to be.
    Added(Document),
    /// A resource got another specification.
    Modified(Document),
    /// What is known of a resource version has changed.
    Status(Document),
    /// A resource was removed.
    Deleted(Tombstone),
    /// All changes up to the revision have been told.
    Bookmark(Bookmark),
    /// The watch ends; the object is a problem document.
    Error(Value),
}

/// Tombstone is a resource that was removed.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Tombstone {
    /// The kind.
    pub kind: Kind,
    /// The name, and the revision of the removal.
    pub metadata: Metadata,
}

/// Bookmark is a revision that a watch has reached.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Bookmark {
    /// The revision.
    pub resource_version: u64,
}

/// ChangeDocument is what became of one change.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ChangeDocument {
    /// The id.
    pub change_id: String,
    /// What became of it.
    #[serde(flatten)]
    pub outcome: ChangeOutcome,
}

/// ChangeOutcome is what became of a change.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "state")]
pub enum ChangeOutcome {
    /// It was made.
    Applied {
        /// The resource version that it made.
        resource_version: u64,
        /// What was made.
        #[serde(flatten)]
        applied: Applied,
    },
    /// It was not made and cannot be made under this id.
    NotApplied {
        /// Changes made before this time, in milliseconds since 1970, are no longer known.
        known_since_unix_ms: Option<u64>,
    },
}

impl ChangeDocument {
    /// Returns the document of what became of a change.
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

/// AuditDocument is the newest records of the audit trail, newest first.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct AuditDocument {
    /// The records.
    pub items: Vec<AuditRecord>,
}
