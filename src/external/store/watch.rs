//! A watch: one streaming call, opened again by itself where it goes silent.

use std::rc::Rc;
use std::time::Duration;

use bytes::{Buf, BytesMut};
use futures_util::StreamExt;
use tokio::time;

use super::calls::CallKind;
use super::transport::{Body, Transport};
use super::{KeyValue, Result, StoreError, gateway};
use crate::telemetry::events;

/// A watch that says nothing for longer is opened again, if not set otherwise: its connection may
/// be dead, and nothing else would show it.
const DEFAULT_SILENCE_LIMIT: Duration = Duration::from_secs(30);

/// WatchEvent is one change of one key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WatchEvent {
    /// The key was written.
    Put(KeyValue),
    /// The key was removed.
    Delete {
        /// The key.
        key: String,
        /// The revision of its removal.
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

/// WatchBatch is the changes up to a revision. One without events says that the watch lives and
/// that there was no further change under the prefix up to the revision.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WatchBatch {
    /// All changes up to this revision have been told.
    pub revision: u64,
    /// The changes, in the order of their revisions.
    pub events: Vec<WatchEvent>,
}

/// Watch tells the changes under a prefix.
pub struct Watch {
    transport: Rc<Transport>,
    prefix: String,
    next_revision: u64,
    body: Body,
    buf: BytesMut,
    silence_limit: Duration,
    /// When the silence has lasted too long; kept here since a wait may be given up and begun anew.
    silence_deadline: time::Instant,
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
            silence_limit: DEFAULT_SILENCE_LIMIT,
            silence_deadline: time::Instant::now() + DEFAULT_SILENCE_LIMIT,
        })
    }

    /// Sets how long the watch may say nothing before it is opened again, which costs one call.
    pub fn set_silence_limit(&mut self, limit: Duration) {
        self.silence_limit = limit;
        self.silence_deadline = time::Instant::now() + limit;
    }

    /// Waits for the next changes. A watch that went silent is opened again, which ends the wait
    /// with an empty batch.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::Compacted`] where the history is gone, so that the range must be read
    /// again; otherwise a [`StoreError`] where the watch broke. It can be opened again from the
    /// revision after the last batch.
    pub async fn next(&mut self) -> Result<WatchBatch> {
        loop {
            let Ok(line) = time::timeout_at(self.silence_deadline, self.next_line()).await else {
                return self.reopen().await;
            };
            self.silence_deadline = time::Instant::now() + self.silence_limit;
            match gateway::decode_watch(&line?)? {
                gateway::WatchMessage::Created { revision } if self.next_revision == 0 => {
                    self.next_revision = revision + 1;
                }
                gateway::WatchMessage::Created { .. } => {}
                gateway::WatchMessage::Cancelled { reason } => return Err(broken(&reason)),
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
        let silence_limit = self.silence_limit;
        *self = Self::open(transport, &self.prefix, self.next_revision).await?;
        self.set_silence_limit(silence_limit);
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
                Some(Ok(piece)) => self.buf.extend_from_slice(&piece),
                Some(Err(error)) => return Err(broken(&error)),
                None => return Err(broken(&"the connection was closed")),
            }
        }
    }
}

fn broken(reason: &dyn std::fmt::Display) -> StoreError {
    StoreError::Unknown {
        endpoint: String::from("the watch"),
        call: CallKind::Watch.name(),
        reason: reason.to_string(),
    }
}
