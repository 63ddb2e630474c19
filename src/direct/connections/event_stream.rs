//! Splits a stream of server-sent events into complete events and keeps track of their ids.
//!
//! An entry relays complete events only, so that an answer that is interrupted in the middle of an
//! event can be resumed at another target after the last id that the caller has received.

use std::result;

use bytes::{Bytes, BytesMut};

/// The result of reading a stream of events.
pub type Result<T> = result::Result<T, EventTooLong>;

/// The longest beginning of an event that is buffered, in bytes.
pub const MAX_EVENT_BYTES: usize = 256 * 1024;

/// The ends of an event's last line and of the blank line after it. A line ends with LF or CR LF.
const SEPARATORS: [&[u8]; 2] = [b"\n\n", b"\n\r\n"];

/// Length of the longest separator.
const MAX_SEPARATOR_BYTES: usize = 3;
const ID_FIELD: &[u8] = b"id:";

/// The error of a stream with an event whose end does not arrive within the limit.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("an event exceeds {MAX_EVENT_BYTES} bytes")]
pub struct EventTooLong;

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

    /// Checks that the incomplete event is not too long. The events that `push` has returned are
    /// complete in any case, so this is checked once they are relayed.
    ///
    /// # Errors
    ///
    /// Returns an error if the event exceeds [`MAX_EVENT_BYTES`].
    pub fn check_length(&self) -> Result<()> {
        match self.partial.len() > MAX_EVENT_BYTES {
            true => Err(EventTooLong),
            false => Ok(()),
        }
    }

    /// Adds received bytes and returns the events that are complete now, without those whose id is
    /// not above the last one relayed.
    pub fn push(&mut self, data: &[u8]) -> EventBatch {
        self.partial.extend_from_slice(data);
        let mut events = BytesMut::new();
        let mut count = 0;
        while let Some(length) = self.find_event() {
            let event = self.partial.split_to(length);
            if let Some(id) = event_id(&event) {
                if self.last_id.is_some_and(|last| id <= last) {
                    continue;
                }
                self.last_id = Some(id);
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

/// Returns the id of an event; `None` if it has none or it is not a number.
fn event_id(event: &[u8]) -> Option<u64> {
    let line = event.split(|byte| *byte == b'\n').find(|line| line.starts_with(ID_FIELD))?;
    std::str::from_utf8(&line[ID_FIELD.len()..]).ok()?.trim().parse().ok()
}
