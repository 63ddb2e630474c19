//! How claims lie in the key-value service; docs/AGENT.md draws the layout.
//!
//! A service's claims are spread over shards by their hash. Each shard has a head, which names
//! its segments, and the segments, of which only the current one is ever written.

use bytes::Bytes;
use prost::Message;

use crate::agent::events;

/// Everything that concerns claims lies under this prefix.
pub const PREFIX: &str = "/bitternwall/claims/";
/// The length of a claim's hash in bytes.
pub const HASH_BYTES: usize = 16;

/// Head names the segments of a shard.
#[derive(Clone, Copy, Eq, Message, PartialEq)]
pub struct Head {
    /// The oldest segment that is retained.
    #[prost(uint64, tag = "1")]
    pub first: u64,
    /// The segment that claims are added to.
    #[prost(uint64, tag = "2")]
    pub current: u64,
}

/// Writer is the last commit that one agent made to a segment. It settles a commit whose
/// answer was lost, even where another agent has written since.
#[derive(Clone, Copy, Eq, Message, PartialEq)]
pub struct Writer {
    /// The agent's incarnation.
    #[prost(fixed64, tag = "1")]
    pub incarnation: u64,
    /// The number that the agent gave its commit.
    #[prost(uint64, tag = "2")]
    pub commit: u64,
}

/// Segment is a run of claims.
#[derive(Clone, Eq, Message, PartialEq)]
pub struct Segment {
    /// When it was begun, in milliseconds since the Unix epoch.
    #[prost(uint64, tag = "1")]
    pub opened_at_ms: u64,
    /// The last commit of each agent that wrote to it.
    #[prost(message, repeated, tag = "2")]
    pub writers: Vec<Writer>,
    /// The claims' hashes, one after the other.
    #[prost(bytes = "bytes", tag = "3")]
    pub hashes: Bytes,
}

impl Segment {
    /// Visits the claims.
    pub fn keys(&self) -> impl Iterator<Item = events::ClaimKey> {
        let (keys, _) = self.hashes.as_chunks::<HASH_BYTES>();
        keys.iter().copied()
    }

    /// Returns the last commit that an agent made to this segment.
    pub fn last_commit(&self, incarnation: u64) -> Option<u64> {
        let mut writers = self.writers.iter();
        writers.find(|writer| writer.incarnation == incarnation).map(|writer| writer.commit)
    }

    /// Returns the segment with more claims, added by one commit.
    pub fn with(&self, keys: &[events::ClaimKey], writer: Writer) -> Self {
        let mut hashes = Vec::with_capacity(self.hashes.len() + keys.len() * HASH_BYTES);
        hashes.extend_from_slice(&self.hashes);
        hashes.extend(keys.iter().flatten());
        let others = self.writers.iter().filter(|other| other.incarnation != writer.incarnation);
        let writers = others.copied().chain([writer]).collect();
        Self { opened_at_ms: self.opened_at_ms, writers, hashes: hashes.into() }
    }
}

/// Versioned is a value with the revision of its last write.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Versioned<T> {
    /// The revision; zero where the key is absent.
    pub mod_revision: u64,
    /// The value.
    pub value: T,
}

/// Snapshot is what was read of one shard.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Snapshot {
    /// The head, unless the shard was never written.
    pub head: Option<Versioned<Head>>,
    /// Segments, the current one among them.
    pub segments: Vec<(u64, Versioned<Segment>)>,
}

/// Returns the key that holds the number of a service's shards.
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

/// Returns the shard that a claim belongs to.
pub fn shard_of(key: &events::ClaimKey, shards: u32) -> u32 {
    let hash = u128::from_be_bytes(*key) % u128::from(shards.max(1));
    u32::try_from(hash).unwrap_or(0)
}
