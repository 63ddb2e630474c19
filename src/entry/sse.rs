//! Splits a stream of server-sent events into complete events and counts the tokens in them.

use std::fmt;

use bytes::{Bytes, BytesMut};
use serde::Deserialize;
use serde::de::{self, IgnoredAny, MapAccess, SeqAccess, Visitor};

/// The event that ends a complete answer.
const DONE: &[u8] = b"data: [DONE]";
const DATA: &[u8] = b"data: ";
const SEPARATOR: &[u8] = b"\n\n";

/// A sequence of complete events.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Events {
    /// The bytes of the events, with separators.
    pub data: Bytes,
    /// The number of events that contain a token.
    pub tokens: u64,
    /// True if the last event ends the answer.
    pub done: bool,
}

/// The longest beginning of an event that is kept, in bytes.
pub const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Splits a byte stream into events; an incomplete event is kept until its end arrives.
#[derive(Debug, Default)]
pub struct Splitter {
    partial: BytesMut,
}

impl Splitter {
    /// Returns the length of the beginning of an event that is kept.
    pub fn partial_bytes(&self) -> usize {
        self.partial.len()
    }

    /// Returns true if the beginning of an event is longer than [`MAX_EVENT_BYTES`].
    pub fn is_too_long(&self) -> bool {
        self.partial.len() > MAX_EVENT_BYTES
    }

    /// Adds bytes and returns the events that are complete now. Bytes after the event that ends the
    /// answer are not returned.
    pub fn push(&mut self, data: &[u8]) -> Events {
        self.partial.extend_from_slice(data);
        let mut events = Events::default();
        let mut end = 0;
        while !events.done {
            let Some(length) = find(&self.partial[end..], SEPARATOR) else { break };
            record_event(&self.partial[end..end + length], &mut events);
            end += length + SEPARATOR.len();
        }
        events.data = self.partial.split_to(end).freeze();
        events
    }
}

fn record_event(event: &[u8], events: &mut Events) {
    if event.starts_with(DONE) {
        events.done = true;
    } else if contains_token(event) {
        events.tokens += 1;
    }
}

fn find(haystack: &[u8], needle: &[u8]) -> Option<usize> {
    haystack.windows(needle.len()).position(|window| window == needle)
}

/// Returns true if an event is a chat completion chunk whose delta has content.
pub fn contains_token(event: &[u8]) -> bool {
    let Some(json) = event.strip_prefix(DATA) else { return false };
    serde_json::from_slice::<ChunkProbe>(json).is_ok_and(|probe| probe.has_content)
}

/// Whether a chunk has content. The rest of the chunk is skipped, since a chunk is parsed for each
/// token.
struct ChunkProbe {
    has_content: bool,
}

impl<'de> Deserialize<'de> for ChunkProbe {
    fn deserialize<D: de::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_map(ChunkVisitor)
    }
}

struct ChunkVisitor;

impl<'de> Visitor<'de> for ChunkVisitor {
    type Value = ChunkProbe;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a chat completion chunk")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<ChunkProbe, A::Error> {
        let mut has_content = false;
        while let Some(key) = map.next_key::<&str>()? {
            match key {
                "choices" => has_content = map.next_value::<ChoicesProbe>()?.0,
                _ => drop(map.next_value::<IgnoredAny>()?),
            }
        }
        Ok(ChunkProbe { has_content })
    }
}

struct ChoicesProbe(bool);

impl<'de> Deserialize<'de> for ChoicesProbe {
    fn deserialize<D: de::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_seq(ChoicesVisitor)
    }
}

struct ChoicesVisitor;

impl<'de> Visitor<'de> for ChoicesVisitor {
    type Value = ChoicesProbe;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the choices of a chunk")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<ChoicesProbe, A::Error> {
        let mut has_content = false;
        while let Some(choice) = seq.next_element::<Choice>()? {
            has_content |= choice.delta.content.is_some_and(|content| !content.is_empty());
        }
        Ok(ChoicesProbe(has_content))
    }
}

#[derive(Deserialize)]
struct Choice {
    #[serde(default)]
    delta: Delta,
}

#[derive(Default, Deserialize)]
struct Delta {
    content: Option<String>,
}
