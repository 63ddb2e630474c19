//! Watches resources by decoding the events of a watch on their keys.

use crate::external::store;
use crate::resources::error::Result;
use crate::resources::kinds::Kind;
use crate::resources::stored::{self, StoredResource};
use crate::telemetry::events;

/// A change of one resource.
#[derive(Clone, Debug, PartialEq)]
pub enum ResourceEvent {
    /// The resource was created.
    Added(StoredResource),
    /// The specification was replaced.
    Modified(StoredResource),
    /// The resource was deleted.
    Deleted {
        /// The kind of the resource.
        kind: Kind,
        /// The name of the resource.
        name: String,
        /// The revision of the deletion.
        resource_version: u64,
    },
}

/// The changes up to a revision. A batch without events reports that nothing changed up to there.
#[derive(Clone, Debug, PartialEq)]
pub struct ResourceBatch {
    /// All changes up to this revision have been delivered, in this batch or an earlier one.
    pub revision: u64,
    /// The changes, in the order of their revisions.
    pub events: Vec<ResourceEvent>,
}

/// A watch on the resources of one kind.
pub struct ResourceWatch {
    watch: store::Watch,
}

impl ResourceWatch {
    pub(super) fn new(watch: store::Watch) -> Self {
        Self { watch }
    }

    /// Waits for the next batch. Events on keys that hold no valid resource are logged and skipped.
    ///
    /// # Errors
    ///
    /// Returns a [`crate::resources::error::ResourceError`] if the watch was interrupted; a new
    /// watch can be opened after the last delivered revision.
    pub async fn next(&mut self) -> Result<ResourceBatch> {
        let store::WatchBatch { revision, events } = self.watch.next().await?;
        let events = events.into_iter().filter_map(|event| decode(&event)).collect();
        Ok(ResourceBatch { revision, events })
    }
}

fn decode(event: &store::WatchEvent) -> Option<ResourceEvent> {
    let decoded = match event {
        store::WatchEvent::Put(kv) => StoredResource::decode(kv).map(put_event),
        store::WatchEvent::Delete { key, mod_revision } => {
            stored::parse_key(key).map(|(kind, name)| ResourceEvent::Deleted {
                kind,
                name: String::from(name),
                resource_version: *mod_revision,
            })
        }
    };
    decoded
        .inspect_err(|error| events::log(events::RESOURCE_UNREADABLE, format_args!("{error}")))
        .ok()
}

fn put_event(stored: StoredResource) -> ResourceEvent {
    if stored.create_revision == stored.resource_version {
        ResourceEvent::Added(stored)
    } else {
        ResourceEvent::Modified(stored)
    }
}
