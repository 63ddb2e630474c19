//! One claim shard as an agent knows it, and the commits that it makes there.

use std::collections::{BTreeMap, VecDeque};

use bytes::Bytes;
use prost::Message;

use crate::agent::{events, segment};
use crate::collections;
use crate::external::store;

/// The size at which a segment is full.
pub const MAX_SEGMENT_BYTES: usize = 64 * 1024;
/// Claims that one commit saves at most.
pub const MAX_COMMIT_CLAIMS: usize = 1_024;

/// Phase is what a shard waits for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Phase {
    /// It has to be read before it is used.
    Unread,
    /// A read is under way.
    Reading,
    /// It may be written.
    Ready,
    /// A commit is under way.
    Committing,
}

/// Try names a commit that may have saved a claim.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Try {
    /// The segment that it was to be written to.
    pub segment: u64,
    /// The number of the commit.
    pub commit: u64,
}

/// Pending is a claim that is to be saved.
#[derive(Clone, Debug)]
pub struct Pending {
    /// The job that needs it.
    pub job: events::JobId,
    /// The claim.
    pub key: events::ClaimKey,
    /// The commits that may have saved it already.
    pub tries: Vec<Try>,
}

#[derive(Clone, Debug)]
struct Retained {
    mod_revision: u64,
    segment: segment::Segment,
}

/// Place tells who saved a claim.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Place {
    /// Nobody did.
    Absent,
    /// A commit of this incarnation did, for this very attempt at it.
    Own,
    /// Someone else did, or this incarnation for a request that it handed on.
    Taken,
}

/// Limits bounds a shard's segments in time.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Milliseconds for which a claim is remembered.
    pub retention_ms: u64,
    /// Milliseconds after which a new segment is begun.
    pub bucket_ms: u64,
}

/// Plan is one commit.
#[derive(Clone, Debug)]
pub struct Plan {
    /// What must still hold.
    pub compares: Vec<store::Compare>,
    /// What is written.
    pub writes: Vec<store::Write>,
    head: segment::Head,
    head_written: bool,
    segment: segment::Segment,
}

/// Shard is one claim shard.
#[derive(Debug)]
pub struct Shard {
    /// What it waits for.
    pub phase: Phase,
    /// Claims that wait for the next commit.
    pub waiting: VecDeque<Pending>,
    /// Claims in the commit that is under way or to be settled.
    pub in_flight: Vec<Pending>,
    /// Claims that may have been saved for jobs that were given up.
    pub abandoned: collections::Map<events::ClaimKey, Vec<Try>>,
    /// The commits made so far.
    pub commits: u64,
    /// Conflicts since the last commit that succeeded.
    pub conflicts: u32,
    head: Option<segment::Versioned<segment::Head>>,
    segments: BTreeMap<u64, Retained>,
    /// The youngest segment that holds each claim.
    known: collections::Map<events::ClaimKey, u64>,
    plan: Option<Plan>,
}

impl Default for Shard {
    fn default() -> Self {
        Self {
            phase: Phase::Unread,
            waiting: VecDeque::new(),
            in_flight: Vec::new(),
            abandoned: collections::Map::default(),
            commits: 0,
            conflicts: 0,
            head: None,
            segments: BTreeMap::new(),
            known: collections::Map::default(),
            plan: None,
        }
    }
}

impl Shard {
    /// Returns the segment to read from, where the older ones are known already.
    pub fn read_from(&self) -> Option<u64> {
        self.segments.keys().next_back().copied()
    }

    /// Takes a claim back that no commit has tried to save, and returns whether there was one.
    pub fn withdraw(&mut self, id: events::JobId) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|pending| pending.job != id || !pending.tries.is_empty());
        self.waiting.len() < before
    }

    /// Takes in what was read, and drops segments that are no longer retained.
    pub fn load(&mut self, snapshot: segment::Snapshot) {
        self.head = snapshot.head;
        for (number, segment::Versioned { mod_revision, value }) in snapshot.segments {
            self.known.extend(value.keys().map(|key| (key, number)));
            self.segments.insert(number, Retained { mod_revision, segment: value });
        }
        let first = self.head.as_ref().map_or(0, |head| head.value.first);
        self.forget_before(first);
    }

    /// Returns who saved a claim, as far as was read.
    pub fn place(&self, pending: &Pending, incarnation: u64) -> Place {
        if !self.known.contains_key(&pending.key) {
            return Place::Absent;
        }
        let own = pending.tries.iter().any(|attempt| {
            let retained = self.segments.get(&attempt.segment);
            let last = retained.and_then(|row| row.segment.last_commit(incarnation));
            last == Some(attempt.commit)
        });
        if own { Place::Own } else { Place::Taken }
    }

    /// Moves waiting claims into a commit, those that were tried before first, and returns it.
    pub fn plan(
        &mut self,
        names: (&str, u32),
        incarnation: u64,
        now_ms: u64,
        limits: Limits,
    ) -> Plan {
        let count = self.waiting.len().min(MAX_COMMIT_CLAIMS);
        self.in_flight = self.waiting.drain(..count).collect();
        self.commits += 1;
        let keys: Vec<_> = self.in_flight.iter().map(|pending| pending.key).collect();
        let writer = segment::Writer { incarnation, commit: self.commits };
        let plan = self.lay_out(names, &keys, writer, now_ms, limits);
        let attempt = Try { segment: plan.head.current, commit: self.commits };
        self.in_flight.iter_mut().for_each(|pending| pending.tries.push(attempt));
        self.plan = Some(plan.clone());
        plan
    }

    /// Takes in that the commit under way was made at a revision, and returns its claims.
    pub fn committed(&mut self, revision: u64) -> Vec<Pending> {
        self.conflicts = 0;
        let saved = std::mem::take(&mut self.in_flight);
        let Some(plan) = self.plan.take() else { return saved };
        let current = plan.head.current;
        self.known.extend(saved.iter().map(|pending| (pending.key, current)));
        if plan.head_written {
            let value = plan.head;
            self.head = Some(segment::Versioned { mod_revision: revision, value });
        }
        let row = Retained { mod_revision: revision, segment: plan.segment };
        self.segments.insert(plan.head.current, row);
        self.forget_before(plan.head.first);
        saved
    }

    fn lay_out(
        &self,
        (service, shard): (&str, u32),
        keys: &[events::ClaimKey],
        writer: segment::Writer,
        now_ms: u64,
        limits: Limits,
    ) -> Plan {
        let held = self.head.as_ref();
        let head_key = segment::head_key(service, shard);
        let head_revision = held.map_or(0, |head| head.mod_revision);
        let mut compares = vec![store::Compare::ModRevision(head_key.clone(), head_revision)];
        let mut writes = Vec::new();
        let current = held.and_then(|head| self.segments.get(&head.value.current));
        let head = self.next_head(keys.len(), now_ms, limits);
        if let (Some(held), Some(current)) = (held, current) {
            let key = segment::segment_key(service, shard, held.value.current);
            compares.push(store::Compare::ModRevision(key, current.mod_revision));
        }
        let rolled = held.is_none_or(|held| held.value.current != head.current);
        let base = if rolled { None } else { current.map(|row| &row.segment) };
        let fresh = segment::Segment { opened_at_ms: now_ms, ..segment::Segment::default() };
        let next = base.unwrap_or(&fresh).with(keys, writer);
        let key = segment::segment_key(service, shard, head.current);
        if rolled {
            compares.push(store::Compare::ModRevision(key.clone(), 0));
            writes.push(put(head_key, head.encode_to_vec()));
            let first = held.map_or(0, |held| held.value.first);
            writes.extend((first..head.first).map(|number| store::Write::Delete {
                key: segment::segment_key(service, shard, number),
            }));
        }
        writes.push(put(key, next.encode_to_vec()));
        Plan { compares, writes, head, head_written: rolled, segment: next }
    }

    /// Returns the head after the next commit: the same, or that of a new segment without the
    /// ones past retention.
    fn next_head(&self, claims: usize, now_ms: u64, limits: Limits) -> segment::Head {
        let Some(held) = &self.head else { return segment::Head { first: 0, current: 0 } };
        let Some(row) = self.segments.get(&held.value.current) else { return held.value };
        let bytes = row.segment.encoded_len() + claims * segment::HASH_BYTES;
        let old = now_ms.saturating_sub(row.segment.opened_at_ms) >= limits.bucket_ms;
        if bytes <= MAX_SEGMENT_BYTES && !old {
            return held.value;
        }
        let mut first = held.value.first;
        while first < held.value.current && self.is_past(first, now_ms, limits.retention_ms) {
            first += 1;
        }
        segment::Head { first, current: held.value.current + 1 }
    }

    /// Returns true where the youngest claim of a closed segment is past retention. It was saved
    /// before the next segment was begun.
    fn is_past(&self, number: u64, now_ms: u64, retention_ms: u64) -> bool {
        let next = self.segments.get(&(number + 1));
        next.is_some_and(|next| now_ms.saturating_sub(next.segment.opened_at_ms) >= retention_ms)
    }

    fn forget_before(&mut self, first: u64) {
        let retained = self.segments.split_off(&first);
        for (number, row) in std::mem::replace(&mut self.segments, retained) {
            for key in row.segment.keys() {
                if self.known.get(&key) == Some(&number) {
                    self.known.remove(&key);
                }
            }
        }
    }
}

fn put(key: String, value: Vec<u8>) -> store::Write {
    store::Write::Put { key, value: Bytes::from(value), lease: None }
}
