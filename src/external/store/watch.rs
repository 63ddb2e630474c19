//! A watch: a streaming call that is opened again when the service sends nothing for too long.

use std::rc::Rc;
use std::time::Duration;

use bytes::{Buf, BytesMut};
use futures_util::StreamExt;
use tokio::time;

use super::calls::CallKind;
use super::transport::{Body, Transport};
use super::{KeyValue, Result, StoreError, gateway};
use crate::telemetry::events;

/// Time without a message after which a watch is opened again by default: its connection may be
/// dead without any other sign.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// WatchEvent is one change of one key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WatchEvent {
    /// The key was created or overwritten.
    Put(KeyValue),
    /// The key was deleted.
    Delete {
        /// The complete key, with its prefix.
        key: String,
        /// The revision of the deletion.
        mod_revision: u64,
    },
}

impl WatchEvent {
    /// Returns the revision of the change.
    pub fn mod_revision(&self) -> u64 {
        match self {
            Self::Put(kv) => kv.mod_revision,
            Self::Delete { mod_revision, .. } => *mod_revision,
        }
    }
}

/// WatchBatch holds the changes up to a revision. A batch without events shows that the watch is
/// alive and that nothing else under the prefix has changed up to the revision.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WatchBatch {
    /// The revision up to which all changes have been received.
    pub revision: u64,
    /// The changes, in the order of their revisions.
    pub events: Vec<WatchEvent>,
}

/// Watch receives the changes under a prefix.
pub struct Watch {
    transport: Rc<Transport>,
    prefix: String,
    next_revision: u64,
    body: Body,
    buf: BytesMut,
    idle_timeout: Duration,
    /// When the watch is opened again unless a message arrives. It is a field because a call of
    /// [`Watch::next`] may be cancelled and repeated, which must not extend it.
    idle_deadline: time::Instant,
}

impl Watch {
    pub(super) async fn open(
        transport: Rc<Transport>,
        prefix: &str,
        from_revision: u64,
    ) -> Result<Self> {
        let request = gateway::WatchRequest::new(prefix, from_revision);
        let body = transport.stream(CallKind::Watch, &request).await?;
        Ok(Self {
            transport,
            prefix: String::from(prefix),
            next_revision: from_revision,
            body,
            buf: BytesMut::new(),
            idle_timeout: DEFAULT_IDLE_TIMEOUT,
            idle_deadline: time::Instant::now() + DEFAULT_IDLE_TIMEOUT,
        })
    }

    /// Sets the time without a message after which the watch is opened again, which costs one call.
    pub fn set_idle_timeout(&mut self, limit: Duration) {
        self.idle_timeout = limit;
        self.idle_deadline = time::Instant::now() + limit;
    }

    /// Waits for the next batch of changes. If no message arrives within the idle timeout, opens
    /// the watch again and returns an empty batch.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::Compacted`] if the service no longer holds the next revision, so that
    /// the range must be read again, or another [`StoreError`] if the watch failed. A new watch can
    /// then be opened from the revision after the last batch.
    pub async fn next(&mut self) -> Result<WatchBatch> {
        loop {
            let Ok(line) = time::timeout_at(self.idle_deadline, self.next_line()).await else {
                return self.reopen().await;
            };
            self.idle_deadline = time::Instant::now() + self.idle_timeout;
            match gateway::decode_watch(&line?)? {
                gateway::WatchMessage::Created { revision } if self.next_revision == 0 => {
                    self.next_revision = revision + 1;
                }
                gateway::WatchMessage::Created { .. } => {}
                gateway::WatchMessage::Cancelled { reason } => return Err(watch_error(&reason)),
                gateway::WatchMessage::Progress { revision, events } => {
                    self.next_revision = self.next_revision.max(revision + 1);
                    return Ok(WatchBatch { revision, events });
                }
            }
        }
    }

    async fn reopen(&mut self) -> Result<WatchBatch> {
        events::log(events::STORE_WATCH_REOPENED, format_args!("prefix {}", self.prefix));
        let transport = Rc::clone(&self.transport);
        let idle_timeout = self.idle_timeout;
        *self = Self::open(transport, &self.prefix, self.next_revision).await?;
        self.set_idle_timeout(idle_timeout);
        Ok(WatchBatch { revision: self.next_revision.saturating_sub(1), events: Vec::new() })
    }

    async fn next_line(&mut self) -> Result<BytesMut> {
        loop {
            if let Some(end) = self.buf.iter().position(|byte| *byte == b'\n') {
                let line = self.buf.split_to(end);
                self.buf.advance(1);
                if !line.is_empty() {
                    return Ok(line);
                }
                continue;
            }
            match self.body.next().await {
                Some(Ok(chunk)) => self.buf.extend_from_slice(&chunk),
                Some(Err(error)) => return Err(watch_error(&error)),
                None => return Err(watch_error(&"the connection was closed")),
            }
        }
    }
}

fn watch_error(reason: &dyn std::fmt::Display) -> StoreError {
    StoreError::Unknown {
        endpoint: String::from("the watch"),
        call: CallKind::Watch.name(),
        reason: reason.to_string(),
    }
}
