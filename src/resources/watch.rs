//! A watch of resources on top of a watch of keys.

use crate::external::store;
use crate::resources::error::Result;
use crate::resources::kinds::Kind;
use crate::resources::stored::{self, StoredResource};
use crate::telemetry::events;

/// ResourceEvent is one change of one resource.
#[derive(Clone, Debug, PartialEq)]
pub enum ResourceEvent {
    /// It came to be.
    Added(StoredResource),
    /// It got another specification.
    Modified(StoredResource),
    /// It was removed.
    Deleted {
        /// Its kind.
        kind: Kind,
        /// Its name.
        name: String,
        /// The revision of its removal.
        resource_version: u64,
    },
}

/// ResourceBatch is the changes up to a revision; one without events says that there was none.
#[derive(Clone, Debug, PartialEq)]
pub struct ResourceBatch {
    /// All changes up to this revision have been told.
    pub revision: u64,
    /// The changes in their order.
    pub events: Vec<ResourceEvent>,
}

/// ResourceWatch tells the changes of resources.
pub struct ResourceWatch {
    watch: store::Watch,
}

impl ResourceWatch {
    pub(super) fn new(watch: store::Watch) -> Self {
        Self { watch }
    }

    /// Waits for the next changes.
    ///
    /// # Errors
    ///
    /// Returns a [`crate::resources::error::ResourceError`] where the watch broke; it can be
    /// opened again after the last revision.
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
