//! Performs the calls to the key-value service that the configuration replica requests.

use std::rc::Rc;

use tokio::task::JoinHandle;

use crate::collections::Map;
use crate::config::{envelope, replica, source, state};
use crate::external::store;

/// Receives the answers of the key-value service, as events of the replica.
pub type Report = Rc<dyn Fn(replica::Event)>;

/// Runs each call to the key-value service as a separate task.
pub struct ConfigSource {
    store: store::Store,
    report: Report,
    watches: Map<source::CallId, JoinHandle<()>>,
}

impl ConfigSource {
    /// Returns a source that reports the answers of `store` to `report`.
    pub fn new(store: store::Store, report: Report) -> Self {
        Self { store, report, watches: Map::default() }
    }

    /// Starts a call, or closes a watch.
    pub fn call(&mut self, call: source::Call) {
        let (store, report) = (self.store.clone(), Rc::clone(&self.report));
        match call {
            source::Call::Read(id) => {
                actix_rt::spawn(async move { report(read(&store, id).await) });
            }
            source::Call::Probe(id) => {
                actix_rt::spawn(async move { report(probe(&store, id).await) });
            }
            source::Call::Watch { id, after } => {
                let task = actix_rt::spawn(async move {
                    let error = watch(&store, id, after, &report).await;
                    report(match error {
                        Err(store::StoreError::Compacted { .. }) => replica::Event::Compacted(id),
                        Ok(()) | Err(_) => replica::Event::CallFailed(id),
                    });
                });
                self.watches.insert(id, task);
            }
            source::Call::Close(id) => {
                if let Some(task) = self.watches.remove(&id) {
                    task.abort();
                }
            }
        }
    }
}

impl Drop for ConfigSource {
    fn drop(&mut self) {
        self.watches.values().for_each(JoinHandle::abort);
    }
}

async fn read(store: &store::Store, id: source::CallId) -> replica::Event {
    match store.range(envelope::PREFIX).await {
        Ok(range) => replica::Event::Snapshot(id, range),
        Err(_) => replica::Event::CallFailed(id),
    }
}

async fn probe(store: &store::Store, id: source::CallId) -> replica::Event {
    match store.get(source::HEAD_KEY).await {
        Ok((_, head)) => replica::Event::Head(id, head.map_or(0, |head| head.mod_revision)),
        Err(_) => replica::Event::CallFailed(id),
    }
}

/// Reports each batch of changes until the watch fails.
async fn watch(
    store: &store::Store,
    id: source::CallId,
    after: u64,
    report: &Report,
) -> store::Result<()> {
    let mut watch = store.watch(envelope::PREFIX, after + 1).await?;
    let mut base_revision = after;
    loop {
        let batch = watch.next().await?;
        if batch.events.is_empty() || batch.revision <= base_revision {
            continue;
        }
        let mut delta =
            state::Delta { base_revision, revision: batch.revision, ..state::Delta::default() };
        for event in batch.events {
            match event {
                store::WatchEvent::Put(entry) => delta.changed.push(entry),
                store::WatchEvent::Delete { key, .. } => delta.deleted.push(key),
            }
        }
        base_revision = batch.revision;
        report(replica::Event::Changes(id, delta));
    }
}
