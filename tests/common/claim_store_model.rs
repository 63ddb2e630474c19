//! A model of the key-value service with the operations that claims use.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::collections::BTreeMap;

use bitternwall::agent::events::{ClaimKey, CommitOutcome};
use bitternwall::agent::segment;
use bitternwall::external::store;
use bytes::Bytes;
use prost::Message;

/// The name of the service whose claims are saved.
pub const SERVICE: &str = "dispatch-api";
/// The largest difference between the wall clocks of any two agents.
pub const MAX_SKEW_MS: u64 = 14;

/// StoreModel holds the stored values and checks that no claim is saved twice while it is retained.
#[derive(Default)]
pub struct StoreModel {
    pub retention_ms: u64,
    /// A description of the last claim that was saved twice.
    pub violation: Option<String>,
    pub conflicts: u64,
    pub rolled_segments: u64,
    pub dropped_segments: u64,
    /// The revision and value of each key.
    values: BTreeMap<String, (u64, Bytes)>,
    revision: u64,
    /// When each claim was last saved.
    saved: BTreeMap<ClaimKey, u64>,
}

impl StoreModel {
    /// Creates an empty store with the given retention of claims.
    pub fn new(retention_ms: u64) -> Self {
        Self { retention_ms, ..Self::default() }
    }

    /// Reads the number of shards; if there is none, saves the proposed one.
    pub fn read_shard_count(&mut self, proposed: u32) -> Option<u32> {
        let key = segment::shard_count_key(SERVICE);
        let value = Bytes::from(proposed.to_string());
        let (_, value) = self.values.entry(key).or_insert((1, value));
        std::str::from_utf8(value).unwrap().parse().ok()
    }

    /// Reads the head of a shard.
    pub fn read_head(&self, shard: usize) -> Option<segment::Versioned<segment::Head>> {
        self.read(&segment::head_key(SERVICE, u32::try_from(shard).unwrap()))
    }

    /// Reads the segments that a head names.
    pub fn read_segments(
        &self,
        shard: usize,
        from: Option<u64>,
        head: segment::Versioned<segment::Head>,
    ) -> Option<segment::Snapshot> {
        let first = from.unwrap_or(0).max(head.value.first);
        let shard = u32::try_from(shard).unwrap();
        let segments = (first..=head.value.current).map(|number| {
            let found = self.read(&segment::segment_key(SERVICE, shard, number));
            found.map(|found| (number, found))
        });
        let segments = segments.collect::<Option<Vec<_>>>()?;
        Some(segment::Snapshot { head: Some(head), segments })
    }

    fn read<T: Message + Default>(&self, key: &str) -> Option<segment::Versioned<T>> {
        let (mod_revision, value) = self.values.get(key)?;
        let value = T::decode(value.clone()).unwrap();
        Some(segment::Versioned { mod_revision: *mod_revision, value })
    }

    /// Executes a transaction.
    pub fn commit(
        &mut self,
        now: u64,
        compares: &[store::Compare],
        writes: &[store::Write],
    ) -> CommitOutcome {
        let all_hold = compares.iter().all(|compare| match compare {
            store::Compare::ModRevision(key, revision) => {
                self.values.get(key).map_or(0, |(current, _)| *current) == *revision
            }
            store::Compare::CreateRevision(..) => unreachable!("claims compare writes only"),
        });
        if !all_hold {
            self.conflicts += 1;
            return CommitOutcome::Conflict;
        }
        self.revision += 1;
        if writes.len() > 1 {
            self.rolled_segments += 1;
        }
        for write in writes {
            match write {
                store::Write::Put { key, value, .. } => {
                    self.check_saved_once(now, key, value);
                    self.values.insert(key.clone(), (self.revision, value.clone()));
                }
                store::Write::Delete { key } => {
                    self.dropped_segments += 1;
                    self.values.remove(key);
                }
            }
        }
        CommitOutcome::Saved { revision: self.revision }
    }

    /// Records the claims that a write adds to a segment, and reports any that was already saved
    /// within the retention period.
    fn check_saved_once(&mut self, now: u64, key: &str, value: &Bytes) {
        if key.ends_with("head") {
            return;
        }
        let before: Option<segment::Versioned<segment::Segment>> = self.read(key);
        let before: Vec<_> = before.iter().flat_map(|before| before.value.keys()).collect();
        let segment = segment::Segment::decode(value.clone()).unwrap();
        for claim in segment.keys().filter(|claim| !before.contains(claim)) {
            if let Some(at) = self.saved.insert(claim, now)
                && now - at + MAX_SKEW_MS < self.retention_ms
            {
                self.violation = Some(format!("claim {} was saved twice", claim[0]));
            }
        }
    }
}
