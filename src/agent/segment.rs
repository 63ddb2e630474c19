//! The storage layout of claims in the key-value service, which docs/AGENT.md shows.
//!
//! A service's claims are distributed over shards by their hash. Each shard consists of a head,
//! which names its segments, and the segments, of which only the current one is written.

use bytes::Bytes;
use prost::Message;

use crate::agent::events;

/// The prefix of all keys of claims.
pub const PREFIX: &str = "/bitternwall/claims/";
/// The length of a claim key in bytes.
pub const HASH_BYTES: usize = 16;

/// Head is the record that names the segments of a shard.
#[derive(Clone, Copy, Eq, Message, PartialEq)]
pub struct Head {
    /// The number of the oldest retained segment.
    #[prost(uint64, tag = "1")]
    pub first: u64,
    /// The number of the segment to which claims are added.
    #[prost(uint64, tag = "2")]
    pub current: u64,
}

/// Writer is the last commit that one agent made to a segment. It shows whether a commit whose
/// answer was lost was made, even if another agent has written since.
#[derive(Clone, Copy, Eq, Message, PartialEq)]
pub struct Writer {
    /// The incarnation of the agent.
    #[prost(fixed64, tag = "1")]
    pub incarnation: u64,
    /// The number of the commit, which the agent counts for each shard.
    #[prost(uint64, tag = "2")]
    pub commit: u64,
}

/// Segment is a record of claims. A new one is begun when the current one is full or too old.
#[derive(Clone, Eq, Message, PartialEq)]
pub struct Segment {
    /// When the segment was begun, in milliseconds since the Unix epoch.
    #[prost(uint64, tag = "1")]
    pub opened_at_ms: u64,
    /// The last commit of each agent that wrote to the segment.
    #[prost(message, repeated, tag = "2")]
    pub writers: Vec<Writer>,
    /// The claim keys, concatenated.
    #[prost(bytes = "bytes", tag = "3")]
    pub hashes: Bytes,
}

impl Segment {
    /// Iterates over the claim keys.
    pub fn keys(&self) -> impl Iterator<Item = events::ClaimKey> {
        let (keys, _) = self.hashes.as_chunks::<HASH_BYTES>();
        keys.iter().copied()
    }

    /// Returns the last commit that an agent made to this segment, if it made one.
    pub fn last_commit(&self, incarnation: u64) -> Option<u64> {
        let mut writers = self.writers.iter();
        writers.find(|writer| writer.incarnation == incarnation).map(|writer| writer.commit)
    }

    /// Returns a copy of the segment to which one commit has added claims.
    pub fn with(&self, keys: &[events::ClaimKey], writer: Writer) -> Self {
        let mut hashes = Vec::with_capacity(self.hashes.len() + keys.len() * HASH_BYTES);
        hashes.extend_from_slice(&self.hashes);
        hashes.extend(keys.iter().flatten());
        let other_writers =
            self.writers.iter().filter(|other| other.incarnation != writer.incarnation);
        let writers = other_writers.copied().chain([writer]).collect();
        Self { opened_at_ms: self.opened_at_ms, writers, hashes: hashes.into() }
    }
}

/// Versioned is a stored value with the revision of its last write.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Versioned<T> {
    /// The revision that the key-value service gave the last write.
    pub mod_revision: u64,
    /// The decoded value.
    pub value: T,
}

/// Snapshot is the result of one read of a shard.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Snapshot {
    /// The head; `None` if the shard was never written.
    pub head: Option<Versioned<Head>>,
    /// The segments that were read, by number; the current one is always among them.
    pub segments: Vec<(u64, Versioned<Segment>)>,
}

/// Returns the key under which the number of a service's shards is stored.
pub fn shard_count_key(service: &str) -> String {
    format!("{PREFIX}{service}/shards")
}

/// Returns the key of a shard's head.
pub fn head_key(service: &str, shard: u32) -> String {
    format!("{PREFIX}{service}/{shard}/head")
}

/// Returns the key of one segment of a shard.
pub fn segment_key(service: &str, shard: u32, segment: u64) -> String {
    format!("{PREFIX}{service}/{shard}/{segment:010}")
}

/// Returns the number of the shard to which a claim belongs.
pub fn shard_of(key: &events::ClaimKey, shards: u32) -> u32 {
    let hash = u128::from_be_bytes(*key) % u128::from(shards.max(1));
    u32::try_from(hash).unwrap_or(0)
}
