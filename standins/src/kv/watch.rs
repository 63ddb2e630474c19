//! Watches: newline-delimited messages until the client goes or the service cuts them.

use std::sync::Arc;
use std::time::Instant;

use actix_web::HttpResponse;
use bytes::Bytes;
use futures_util::stream;
use tokio::{sync, time};

use super::messages::{Int64, Streamed, WatchCreateRequest, WatchResponse};
use super::{Inner, Shared};
use crate::reply::Cut;

#[derive(Clone, Copy, Eq, PartialEq)]
enum Phase {
    Opening,
    Following,
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

/// Answers with the stream of a new watch.
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
        inner.gate.watch_opened();
        let present = inner.store.header().revision.0;
        drop(inner);
        let next_revision =
            if req.start_revision.0 > 0 { req.start_revision.0 } else { present + 1 };
        let next_progress = now + shared.progress_interval;
        let changed = shared.changed.subscribe();
        Self { shared, changed, req, next_revision, next_progress, phase: Phase::Opening }
    }

    async fn next_line(&mut self) -> Option<Result<Bytes, Cut>> {
        if self.phase == Phase::Ended {
            return None;
        }
        loop {
            self.changed.borrow_and_update();
            let message = match self.look(Instant::now()) {
                Ok(message) => message,
                Err(cut) => return Some(Err(cut)),
            };
            if let Some(message) = message {
                let delay = self.shared.lock().gate.delay();
                time::sleep(delay).await;
                return Some(Ok(encode(message)));
            }
            let wait = self.next_progress.saturating_duration_since(Instant::now());
            // A timeout here is the progress message falling due.
            let _ = time::timeout(wait, self.changed.changed()).await;
        }
    }

    /// Returns the message that is due, if any.
    fn look(&mut self, now: Instant) -> Result<Option<WatchResponse>, Cut> {
        let shared = Arc::clone(&self.shared);
        let inner = shared.lock();
        inner.gate.check_up(now).map_err(|_| Cut)?;
        if self.phase == Phase::Opening {
            self.phase = Phase::Following;
            return Ok(Some(WatchResponse { created: true, ..self.message(&inner) }));
        }
        if self.next_revision < inner.store.oldest_revision() {
            self.phase = Phase::Ended;
            return Ok(Some(self.compacted(&inner)));
        }
        Ok(self.events(&inner).or_else(|| self.progress(&inner, now)))
    }

    fn message(&self, inner: &Inner) -> WatchResponse {
        WatchResponse { header: inner.store.header(), ..WatchResponse::default() }
    }

    fn compacted(&self, inner: &Inner) -> WatchResponse {
        let compact_revision = Int64(inner.store.oldest_revision());
        WatchResponse { canceled: true, compact_revision, ..self.message(inner) }
    }

    fn events(&mut self, inner: &Inner) -> Option<WatchResponse> {
        let (key, range_end) = (&self.req.key.0, &self.req.range_end.0);
        let events = inner.store.events_from(self.next_revision, key, range_end);
        self.next_revision = self.next_revision.max(inner.store.header().revision.0 + 1);
        (!events.is_empty()).then(|| WatchResponse { events, ..self.message(inner) })
    }

    fn progress(&mut self, inner: &Inner, now: Instant) -> Option<WatchResponse> {
        if now < self.next_progress {
            return None;
        }
        self.next_progress = now + self.shared.progress_interval;
        self.req.progress_notify.then(|| self.message(inner))
    }
}

impl Drop for Watch {
    fn drop(&mut self) {
        self.shared.lock().gate.watch_closed();
    }
}

fn encode(message: WatchResponse) -> Bytes {
    let line = serde_json::to_string(&Streamed { result: message });
    let mut line = line.expect("the message holds nothing that JSON cannot");
    line.push('\n');
    line.into()
}
