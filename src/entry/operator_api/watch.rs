//! Streams a watch: a line for each change of a resource, and for each change of the status of
//! resources that are not in force everywhere yet.

use std::collections::BTreeMap;
use std::convert::Infallible;
use std::time::Duration;
use std::{future, pin};

use actix_web::{HttpResponse, web};
use bytes::Bytes;
use futures_util::StreamExt;
use tokio::sync::{self, mpsc};
use tokio::time;
use tokio_stream::wrappers::ReceiverStream;

use super::{Api, Result, problems};
use crate::resources::documents::{Bookmark, Document, Metadata, Tombstone, WatchLine};
use crate::resources::kinds::Kind;
use crate::resources::status::Status;
use crate::resources::watch::{ResourceBatch, ResourceEvent, ResourceWatch};

/// How often the status of resources that are not in force everywhere is checked.
const STATUS_INTERVAL: Duration = Duration::from_millis(250);
/// How often a bookmark is sent, so that both ends notice a dead connection.
const BOOKMARK_INTERVAL: Duration = Duration::from_secs(10);
/// The number of lines that are buffered for a slow reader.
const LINE_BUFFER: usize = 64;

/// Starts a watch after a resource version, or with all existing resources if none is given.
pub(super) async fn open(
    api: web::Data<Api>,
    kind: Kind,
    after_version: Option<u64>,
) -> Result<HttpResponse> {
    let (tx, rx) = mpsc::channel(LINE_BUFFER);
    let mut follower = Follower { api, kind, tx, revision: 0, pending: BTreeMap::new() };
    let present = match after_version {
        Some(version) => {
            follower.revision = version;
            Vec::new()
        }
        None => follower.list().await?,
    };
    let watch = follower.api.resources.watch(kind, follower.revision).await;
    let watch = watch.map_err(problems::of_error)?;
    actix::spawn(follower.run(watch, present));
    let lines = ReceiverStream::new(rx).map(Ok::<_, Infallible>);
    Ok(HttpResponse::Ok().content_type("application/x-ndjson").streaming(lines))
}

/// The operator closed the connection.
struct Closed;

/// Waits until the entry stops.
async fn stopped(stopping: &mut sync::watch::Receiver<bool>) {
    if stopping.wait_for(|stopping| *stopping).await.is_err() {
        // The sender is gone, so no stop can be announced any more.
        future::pending::<()>().await;
    }
}

struct Follower {
    api: web::Data<Api>,
    kind: Kind,
    tx: mpsc::Sender<Bytes>,
    revision: u64,
    /// The resources that are not in force everywhere yet, by name.
    pending: BTreeMap<String, Document>,
}

impl Follower {
    async fn list(&mut self) -> Result<Vec<Document>> {
        let list = self.api.resources.list(self.kind).await.map_err(problems::of_error)?;
        self.revision = list.resource_version;
        Ok(list.resources.iter().map(|stored| self.api.document(stored)).collect())
    }

    async fn run(mut self, watch: ResourceWatch, present: Vec<Document>) {
        // An error means that the operator has disconnected, so it cannot be reported.
        let _ = self.follow(watch, present).await;
    }

    async fn follow(
        &mut self,
        mut watch: ResourceWatch,
        present: Vec<Document>,
    ) -> std::result::Result<(), Closed> {
        for document in present {
            self.track(&document);
            self.send(&WatchLine::Added(document)).await?;
        }
        self.send_bookmark().await?;
        let mut stopping = self.api.stopping.clone();
        let mut status_tick = time::interval(STATUS_INTERVAL);
        let mut bookmark_tick = time::interval(BOOKMARK_INTERVAL);
        bookmark_tick.reset();
        loop {
            let mut next = pin::pin!(watch.next());
            let batch = loop {
                tokio::select! {
                    batch = &mut next => break batch,
                    _ = status_tick.tick() => self.send_status().await?,
                    _ = bookmark_tick.tick() => self.send_bookmark().await?,
                    () = self.tx.closed() => return Err(Closed),
                    () = stopped(&mut stopping) => return self.send_bookmark().await,
                }
            };
            match batch {
                Ok(batch) => self.send_batch(batch).await?,
                Err(error) => {
                    let problem = problems::of_error(error);
                    let object = serde_json::to_value(problem).unwrap_or_default();
                    return self.send(&WatchLine::Error(object)).await;
                }
            }
        }
    }

    async fn send_batch(&mut self, batch: ResourceBatch) -> std::result::Result<(), Closed> {
        for event in batch.events {
            let line = self.line(event);
            self.send(&line).await?;
        }
        self.revision = self.revision.max(batch.revision);
        Ok(())
    }

    fn line(&mut self, event: ResourceEvent) -> WatchLine {
        match event {
            ResourceEvent::Added(stored) => {
                let document = self.api.document(&stored);
                self.track(&document);
                WatchLine::Added(document)
            }
            ResourceEvent::Modified(stored) => {
                let document = self.api.document(&stored);
                self.track(&document);
                WatchLine::Modified(document)
            }
            ResourceEvent::Deleted { kind, name, resource_version } => {
                self.pending.remove(&name);
                let (generation, resource_version) = (0, Some(resource_version));
                let metadata = Metadata { name, generation, resource_version, change_id: None };
                WatchLine::Deleted(Tombstone { kind, metadata })
            }
        }
    }

    fn track(&mut self, document: &Document) {
        let name = &document.metadata.name;
        if document.status.as_ref().is_some_and(Status::is_in_force) {
            self.pending.remove(name);
        } else {
            self.pending.insert(name.clone(), document.clone());
        }
    }

    /// Sends the resources whose status has changed.
    async fn send_status(&mut self) -> std::result::Result<(), Closed> {
        for document in self.changed_status() {
            self.track(&document);
            self.send(&WatchLine::Status(document)).await?;
        }
        Ok(())
    }

    fn changed_status(&self) -> Vec<Document> {
        let now = self.pending.values().map(|document| {
            let version = document.metadata.resource_version.unwrap_or_default();
            let status = (self.api.status)(self.kind, &document.metadata.name, version);
            Document { status: Some(status), ..document.clone() }
        });
        let before = self.pending.values();
        let pairs = now.zip(before).filter(|(now, before)| now.status != before.status);
        pairs.map(|(now, _)| now).collect()
    }

    async fn send_bookmark(&self) -> std::result::Result<(), Closed> {
        self.send(&WatchLine::Bookmark(Bookmark { resource_version: self.revision })).await
    }

    async fn send(&self, line: &WatchLine) -> std::result::Result<(), Closed> {
        let mut text = serde_json::to_vec(line).unwrap_or_default();
        text.push(b'\n');
        self.tx.send(Bytes::from(text)).await.map_err(|_| Closed)
    }
}
