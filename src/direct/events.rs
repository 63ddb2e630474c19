//! Cuts a stream of server-sent events into whole events and follows their ids.
//!
//! An entry passes on whole events only, so that an answer that breaks off in the middle of an
//! event can go on at another target after the last id that the caller has seen.

use bytes::{Bytes, BytesMut};

const SEPARATOR: &[u8] = b"\n\n";
const ID_FIELD: &[u8] = b"id:";

/// Block is a run of whole events.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Block {
    /// The bytes of the events, with their separators.
    pub data: Bytes,
    /// The events in the run.
    pub count: usize,
}

/// Cutter holds the beginning of an event until its end arrives, and the last id passed on.
#[derive(Debug, Default)]
pub struct Cutter {
    partial: BytesMut,
    last_id: Option<u64>,
}

impl Cutter {
    /// Returns a cutter for an answer that goes on after an event, or begins.
    pub fn after(last_id: Option<u64>) -> Self {
        Self { partial: BytesMut::new(), last_id }
    }

    /// Returns the id of the last event passed on, if events have ids.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Returns the bytes after the last whole event, once the answer has ended as it should.
    pub fn take_partial(&mut self) -> Bytes {
        self.partial.split().freeze()
    }

    /// Takes bytes and returns the events that are whole now. Events that were passed on before
    /// are left out.
    pub fn push(&mut self, data: &[u8]) -> Block {
        self.partial.extend_from_slice(data);
        let mut kept = BytesMut::new();
        let mut count = 0;
        while let Some(length) = find(&self.partial, SEPARATOR) {
            let event = self.partial.split_to(length + SEPARATOR.len());
            if let Some(id) = event_id(&event) {
                if self.last_id.is_some_and(|last| id <= last) {
                    continue;
                }
                self.last_id = Some(id);
            }
            kept.extend_from_slice(&event);
            count += 1;
        }
        Block { data: kept.freeze(), count }
    }
}

fn find(haystack: &[u8], needle: &[u8]) -> Option<usize> {
    haystack.windows(needle.len()).position(|window| window == needle)
}

/// Returns the id of one event, where it has a number as its id.
fn event_id(event: &[u8]) -> Option<u64> {
    let line = event.split(|byte| *byte == b'\n').find(|line| line.starts_with(ID_FIELD))?;
    std::str::from_utf8(&line[ID_FIELD.len()..]).ok()?.trim().parse().ok()
}
