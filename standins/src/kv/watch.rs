//! Watches: streams of newline-delimited messages that last until the client disconnects, the
//! service goes down or the watch falls behind the kept history.

use std::sync::Arc;
use std::time::Instant;

use actix_web::HttpResponse;
use bytes::Bytes;
use futures_util::stream;
use tokio::{sync, time};

use super::messages::{Int64, Streamed, WatchCreateRequest, WatchResponse};
use super::{Inner, Shared};
use crate::reply::ConnectionAborted;

#[derive(Clone, Copy, Eq, PartialEq)]
enum Phase {
    Opening,
    Streaming,
    Ended,
}

struct Watch {
    shared: Arc<Shared>,
    changed: sync::watch::Receiver<()>,
    req: WatchCreateRequest,
    next_revision: i64,
    next_progress: Instant,
    phase: Phase,
}

/// Returns the streaming response of a new watch.
pub(super) fn open(shared: Arc<Shared>, req: WatchCreateRequest) -> HttpResponse {
    let watch = Watch::new(shared, req, Instant::now());
    let lines = stream::unfold(watch, |mut watch| async {
        let line = watch.next_line().await?;
        Some((line, watch))
    });
    HttpResponse::Ok().content_type("application/json").streaming(Box::pin(lines))
}

impl Watch {
    fn new(shared: Arc<Shared>, req: WatchCreateRequest, now: Instant) -> Self {
        let mut inner = shared.lock();
        inner.admission.watch_opened();
        let current = inner.store.header().revision.0;
        drop(inner);
        let next_revision =
            if req.start_revision.0 > 0 { req.start_revision.0 } else { current + 1 };
        let next_progress = now + shared.progress_interval;
        let changed = shared.changed.subscribe();
        Self { shared, changed, req, next_revision, next_progress, phase: Phase::Opening }
    }

    async fn next_line(&mut self) -> Option<Result<Bytes, ConnectionAborted>> {
        if self.phase == Phase::Ended {
            return None;
        }
        loop {
            self.changed.borrow_and_update();
            let message = match self.poll(Instant::now()) {
                Ok(message) => message,
                Err(aborted) => return Some(Err(aborted)),
            };
            if let Some(message) = message {
                let delay = self.shared.lock().admission.delay();
                time::sleep(delay).await;
                return Some(Ok(encode(message)));
            }
            let time_to_progress = self.next_progress.saturating_duration_since(Instant::now());
            // A timeout means that the progress message is due.
            let _ = time::timeout(time_to_progress, self.changed.changed()).await;
        }
    }

    /// Returns the message that is due now, if any, or an error while the service is down.
    fn poll(&mut self, now: Instant) -> Result<Option<WatchResponse>, ConnectionAborted> {
        let shared = Arc::clone(&self.shared);
        let inner = shared.lock();
        inner.admission.check_available(now).map_err(|_| ConnectionAborted)?;
        if self.phase == Phase::Opening {
            self.phase = Phase::Streaming;
            return Ok(Some(WatchResponse { created: true, ..self.empty_message(&inner) }));
        }
        if self.next_revision < inner.store.oldest_revision() {
            self.phase = Phase::Ended;
            return Ok(Some(self.compaction_message(&inner)));
        }
        Ok(self.events_message(&inner).or_else(|| self.progress_message(&inner, now)))
    }

    fn empty_message(&self, inner: &Inner) -> WatchResponse {
        WatchResponse { header: inner.store.header(), ..WatchResponse::default() }
    }

    fn compaction_message(&self, inner: &Inner) -> WatchResponse {
        let compact_revision = Int64(inner.store.oldest_revision());
        WatchResponse { canceled: true, compact_revision, ..self.empty_message(inner) }
    }

    fn events_message(&mut self, inner: &Inner) -> Option<WatchResponse> {
        let (key, range_end) = (&self.req.key.0, &self.req.range_end.0);
        let events = inner.store.events_from(self.next_revision, key, range_end);
        self.next_revision = self.next_revision.max(inner.store.header().revision.0 + 1);
        (!events.is_empty()).then(|| WatchResponse { events, ..self.empty_message(inner) })
    }

    fn progress_message(&mut self, inner: &Inner, now: Instant) -> Option<WatchResponse> {
        if now < self.next_progress {
            return None;
        }
        self.next_progress = now + self.shared.progress_interval;
        self.req.progress_notify.then(|| self.empty_message(inner))
    }
}

impl Drop for Watch {
    fn drop(&mut self) {
        self.shared.lock().admission.watch_closed();
    }
}

fn encode(message: WatchResponse) -> Bytes {
    let line = serde_json::to_string(&Streamed { result: message });
    let mut line = line.expect("a watch message can be written as JSON");
    line.push('\n');
    line.into()
}
