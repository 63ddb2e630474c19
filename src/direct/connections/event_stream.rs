//! Splits a stream of server-sent events into complete events and keeps track of their ids.
//!
//! An entry relays complete events only, so that an answer that is interrupted in the middle of an
//! event can be resumed at another target after the last id that the caller has received.

use std::result;

use bytes::{Bytes, BytesMut};

/// The result of reading a stream of events.
pub type Result<T> = result::Result<T, EventError>;

/// The longest beginning of an event that is buffered, in bytes.
pub const MAX_EVENT_BYTES: usize = 256 * 1024;

/// The ends of an event's last line and of the blank line after it. A line ends with LF or CR LF.
const SEPARATORS: [&[u8]; 2] = [b"\n\n", b"\n\r\n"];

/// Length of the longest separator.
const MAX_SEPARATOR_BYTES: usize = 3;
const ID_FIELD: &[u8] = b"id:";

/// The beginnings of lines that are no part of an event: comments, and the time to reconnect.
const NO_EVENT_FIELDS: [&[u8]; 2] = [b":", b"retry:"];

/// The reason that bytes of a stream are not relayed.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum EventError {
    /// The end of an event does not arrive within the limit.
    #[error("an event exceeds {MAX_EVENT_BYTES} bytes")]
    TooLong,
    /// What follows events with ids has none, so it is no event of the stream, but an error's text or
    /// the head of another answer.
    #[error("what follows the events of the stream is no event of it")]
    Foreign,
}

/// One or more complete events; empty where no event is complete yet.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct EventBatch {
    /// The bytes of the events, with their separators.
    pub data: Bytes,
    /// The number of events in `data`.
    pub count: usize,
}

/// Buffers the beginning of an event until its end arrives, and remembers the last id relayed.
#[derive(Debug, Default)]
pub struct EventSplitter {
    partial: BytesMut,
    /// The length of the beginning of `partial` that has no separator in it.
    searched: usize,
    last_id: Option<u64>,
    /// True once something arrived that is no event of the stream.
    is_foreign: bool,
}

impl EventSplitter {
    /// Returns a splitter for an answer that resumes after the event `last_id`, or for a new answer
    /// if that is `None`.
    pub fn after(last_id: Option<u64>) -> Self {
        Self { last_id, ..Self::default() }
    }

    /// Returns the id of the last event relayed; `None` if no event had a number as its id.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Returns true if bytes have arrived after the last complete event.
    pub fn has_partial(&self) -> bool {
        !self.partial.is_empty()
    }

    /// Checks what has arrived after the events that `push` has returned. Those are complete in any
    /// case, so this is checked once they are relayed.
    ///
    /// # Errors
    ///
    /// Returns an error if an incomplete event exceeds [`MAX_EVENT_BYTES`], or if something arrived
    /// that is no event of the stream.
    pub fn check(&self) -> Result<()> {
        match self.is_foreign {
            true => Err(EventError::Foreign),
            false if self.partial.len() > MAX_EVENT_BYTES => Err(EventError::TooLong),
            false => Ok(()),
        }
    }

    /// Adds received bytes and returns the events that are complete now, without those whose id is
    /// not above the last one relayed.
    pub fn push(&mut self, data: &[u8]) -> EventBatch {
        self.partial.extend_from_slice(data);
        let mut events = BytesMut::new();
        let mut count = 0;
        while let Some(length) = self.find_event().filter(|_| !self.is_foreign) {
            let event = self.partial.split_to(length);
            match event_id(&event) {
                Some(id) if self.last_id.is_some_and(|last| id <= last) => continue,
                Some(id) => self.last_id = Some(id),
                None if self.last_id.is_some() && !is_between_events(&event) => {
                    self.is_foreign = true;
                    break;
                }
                None => {}
            }
            events.extend_from_slice(&event);
            count += 1;
        }
        EventBatch { data: events.freeze(), count }
    }

    /// Returns the length of the first complete event with its separator. Only bytes that were not
    /// searched before are searched, and the last of those that were.
    fn find_event(&mut self) -> Option<usize> {
        let start = self.searched.saturating_sub(MAX_SEPARATOR_BYTES - 1);
        match find_separator(&self.partial[start..]) {
            Some(end) => {
                self.searched = 0;
                Some(start + end)
            }
            None => {
                self.searched = self.partial.len();
                None
            }
        }
    }
}

/// Returns the end of the first separator.
fn find_separator(bytes: &[u8]) -> Option<usize> {
    let end_at = |at| {
        let separator = SEPARATORS.iter().find(|separator| bytes[at..].starts_with(separator));
        separator.map(|separator| at + separator.len())
    };
    (0..bytes.len()).filter(|at| bytes[*at] == b'\n').find_map(end_at)
}

/// Returns true if a block consists of lines that servers may write between events.
fn is_between_events(block: &[u8]) -> bool {
    let lines = block.split(|byte| *byte == b'\n').map(<[u8]>::trim_ascii);
    let mut lines = lines.filter(|line| !line.is_empty()).peekable();
    let is_no_event = |line: &[u8]| NO_EVENT_FIELDS.iter().any(|field| line.starts_with(field));
    lines.peek().is_some() && lines.all(is_no_event)
}

/// Returns the id of an event; `None` if it has none or it is not a number.
fn event_id(event: &[u8]) -> Option<u64> {
    let line = event.split(|byte| *byte == b'\n').find(|line| line.starts_with(ID_FIELD))?;
    std::str::from_utf8(&line[ID_FIELD.len()..]).ok()?.trim().parse().ok()
}
