//! The local copy of one claim shard, and the commits that this agent makes to it.

use std::collections::{BTreeMap, VecDeque};

use bytes::Bytes;
use prost::Message;

use crate::agent::{events, segment};
use crate::collections;
use crate::external::store;

/// Encoded size beyond which a segment takes no more claims.
pub const MAX_SEGMENT_BYTES: usize = 64 * 1024;
/// Largest number of claims in one commit.
pub const MAX_COMMIT_CLAIMS: usize = 1_024;

/// Phase is the state of a shard's local copy.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Phase {
    /// It has to be read before it can be used.
    Unread,
    /// A read is in progress.
    Reading,
    /// It was read, and the next commit may be made.
    Ready,
    /// A commit is in progress.
    Committing,
}

/// CommitId identifies a commit of this agent that may have saved a claim.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CommitId {
    /// The segment that the commit writes.
    pub segment: u64,
    /// The number of the commit, counted from one by the agent for each shard.
    pub commit: u64,
}

/// PendingClaim is a claim that is yet to be saved.
#[derive(Clone, Debug)]
pub struct PendingClaim {
    /// The job that needs the claim.
    pub job: events::JobId,
    /// The claim's key.
    pub key: events::ClaimKey,
    /// The commits that may already have saved the claim.
    pub tried_commits: Vec<CommitId>,
}

/// RetainedSegment is a segment in the local copy, with the revision of its last known write.
#[derive(Clone, Debug)]
struct RetainedSegment {
    mod_revision: u64,
    segment: segment::Segment,
}

/// ClaimOwner is for whom a claim was saved, as far as the local copy shows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ClaimOwner {
    /// The claim was not saved.
    Nobody,
    /// One of the pending claim's own commits saved it, so its request was never dispatched.
    ThisJob,
    /// Another agent saved it, or this one did for a request that it may have dispatched.
    Other,
}

/// Limits are the time limits of a shard's segments.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Milliseconds for which a claim is kept at least.
    pub retention_ms: u64,
    /// Milliseconds after which a segment is closed and a new one begun.
    pub bucket_ms: u64,
}

/// CommitPlan is the transaction of one commit, and the shard's state after it.
#[derive(Clone, Debug)]
pub struct CommitPlan {
    /// The conditions under which the writes are made.
    pub compares: Vec<store::Compare>,
    /// The keys that are written and deleted.
    pub writes: Vec<store::Write>,
    head: segment::Head,
    head_written: bool,
    segment: segment::Segment,
}

/// Shard is the local copy of one claim shard, with the claims that are to be saved in it.
#[derive(Debug)]
pub struct Shard {
    /// The state of the copy.
    pub phase: Phase,
    /// Claims that wait for the next commit.
    pub waiting: VecDeque<PendingClaim>,
    /// Claims in the commit that is in progress or whose outcome is not known yet.
    pub in_flight: Vec<PendingClaim>,
    /// Claims that commits may have saved for jobs that were dropped, with those commits.
    pub abandoned: collections::Map<events::ClaimKey, Vec<CommitId>>,
    /// The number of commits started so far.
    pub commits: u64,
    /// Conflicts since the last successful commit.
    pub conflicts: u32,
    head: Option<segment::Versioned<segment::Head>>,
    segments: BTreeMap<u64, RetainedSegment>,
    /// The newest segment that holds each claim.
    segment_by_claim: collections::Map<events::ClaimKey, u64>,
    /// The commit in progress.
    plan: Option<CommitPlan>,
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
            segment_by_claim: collections::Map::default(),
            plan: None,
        }
    }
}

impl Shard {
    /// Returns the first segment that has to be read again, or `None` if nothing was read yet.
    /// Older segments are final.
    pub fn read_from(&self) -> Option<u64> {
        self.segments.keys().next_back().copied()
    }

    /// Removes a job's claim if no commit has tried to save it yet. Returns true if there was one.
    pub fn withdraw(&mut self, id: events::JobId) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|pending| pending.job != id || !pending.tried_commits.is_empty());
        self.waiting.len() < before
    }

    /// Updates the copy from what was read, and drops segments that are no longer retained.
    pub fn apply_snapshot(&mut self, snapshot: segment::Snapshot) {
        self.head = snapshot.head;
        for (number, segment::Versioned { mod_revision, value }) in snapshot.segments {
            self.segment_by_claim.extend(value.keys().map(|key| (key, number)));
            self.segments.insert(number, RetainedSegment { mod_revision, segment: value });
        }
        let first = self.head.as_ref().map_or(0, |head| head.value.first);
        self.drop_segments_before(first);
    }

    /// Returns for whom a claim was saved, according to the local copy.
    pub fn owner(&self, pending: &PendingClaim, incarnation: u64) -> ClaimOwner {
        if !self.segment_by_claim.contains_key(&pending.key) {
            return ClaimOwner::Nobody;
        }
        let saved_here = pending.tried_commits.iter().any(|tried| {
            let retained = self.segments.get(&tried.segment);
            let last = retained.and_then(|retained| retained.segment.last_commit(incarnation));
            last == Some(tried.commit)
        });
        if saved_here { ClaimOwner::ThisJob } else { ClaimOwner::Other }
    }

    /// Moves waiting claims, those that were tried before first, into a commit and returns it;
    /// `names` are the service and the number of the shard.
    pub fn plan(
        &mut self,
        names: (&str, u32),
        incarnation: u64,
        now_ms: u64,
        limits: Limits,
    ) -> CommitPlan {
        let count = self.waiting.len().min(MAX_COMMIT_CLAIMS);
        self.in_flight = self.waiting.drain(..count).collect();
        self.commits += 1;
        let keys: Vec<_> = self.in_flight.iter().map(|pending| pending.key).collect();
        let writer = segment::Writer { incarnation, commit: self.commits };
        let plan = self.build_plan(names, &keys, writer, now_ms, limits);
        let commit_id = CommitId { segment: plan.head.current, commit: self.commits };
        self.in_flight.iter_mut().for_each(|pending| pending.tried_commits.push(commit_id));
        self.plan = Some(plan.clone());
        plan
    }

    /// Updates the copy after the commit in progress succeeded at the given revision, and returns
    /// the claims that it saved.
    pub fn committed(&mut self, revision: u64) -> Vec<PendingClaim> {
        self.conflicts = 0;
        let saved = std::mem::take(&mut self.in_flight);
        let Some(plan) = self.plan.take() else { return saved };
        let current = plan.head.current;
        self.segment_by_claim.extend(saved.iter().map(|pending| (pending.key, current)));
        if plan.head_written {
            let value = plan.head;
            self.head = Some(segment::Versioned { mod_revision: revision, value });
        }
        let retained = RetainedSegment { mod_revision: revision, segment: plan.segment };
        self.segments.insert(plan.head.current, retained);
        self.drop_segments_before(plan.head.first);
        saved
    }

    /// Builds the transaction that adds claims to the current segment, or to a new one if the
    /// current one is full or too old. Its conditions fail if any other agent wrote in the
    /// meantime.
    fn build_plan(
        &self,
        (service, shard): (&str, u32),
        keys: &[events::ClaimKey],
        writer: segment::Writer,
        now_ms: u64,
        limits: Limits,
    ) -> CommitPlan {
        let old_head = self.head.as_ref();
        let head_key = segment::head_key(service, shard);
        let head_revision = old_head.map_or(0, |head| head.mod_revision);
        let mut compares = vec![store::Compare::ModRevision(head_key.clone(), head_revision)];
        let mut writes = Vec::new();
        let current = old_head.and_then(|head| self.segments.get(&head.value.current));
        let head = self.next_head(keys.len(), now_ms, limits);
        if let (Some(old_head), Some(current)) = (old_head, current) {
            let key = segment::segment_key(service, shard, old_head.value.current);
            compares.push(store::Compare::ModRevision(key, current.mod_revision));
        }
        let rolled = old_head.is_none_or(|old_head| old_head.value.current != head.current);
        let base = if rolled { None } else { current.map(|retained| &retained.segment) };
        let fresh = segment::Segment { opened_at_ms: now_ms, ..segment::Segment::default() };
        let next = base.unwrap_or(&fresh).with(keys, writer);
        let key = segment::segment_key(service, shard, head.current);
        if rolled {
            compares.push(store::Compare::ModRevision(key.clone(), 0));
            writes.push(put(head_key, head.encode_to_vec()));
            let first = old_head.map_or(0, |old_head| old_head.value.first);
            writes.extend((first..head.first).map(|number| store::Write::Delete {
                key: segment::segment_key(service, shard, number),
            }));
        }
        writes.push(put(key, next.encode_to_vec()));
        CommitPlan { compares, writes, head, head_written: rolled, segment: next }
    }

    /// Returns the head after the next commit: the present one, or one that begins a new segment
    /// and drops the segments past retention.
    fn next_head(&self, claims: usize, now_ms: u64, limits: Limits) -> segment::Head {
        let Some(head) = &self.head else { return segment::Head { first: 0, current: 0 } };
        let Some(retained) = self.segments.get(&head.value.current) else { return head.value };
        let bytes = retained.segment.encoded_len() + claims * segment::HASH_BYTES;
        let old = now_ms.saturating_sub(retained.segment.opened_at_ms) >= limits.bucket_ms;
        if bytes <= MAX_SEGMENT_BYTES && !old {
            return head.value;
        }
        let mut first = head.value.first;
        while first < head.value.current && self.is_expired(first, now_ms, limits.retention_ms) {
            first += 1;
        }
        segment::Head { first, current: head.value.current + 1 }
    }

    /// Returns true if even the newest claim of a closed segment is past retention. That claim was
    /// saved before the next segment was begun.
    fn is_expired(&self, number: u64, now_ms: u64, retention_ms: u64) -> bool {
        let next = self.segments.get(&(number + 1));
        next.is_some_and(|next| now_ms.saturating_sub(next.segment.opened_at_ms) >= retention_ms)
    }

    fn drop_segments_before(&mut self, first: u64) {
        let retained = self.segments.split_off(&first);
        for (number, dropped) in std::mem::replace(&mut self.segments, retained) {
            for key in dropped.segment.keys() {
                if self.segment_by_claim.get(&key) == Some(&number) {
                    self.segment_by_claim.remove(&key);
                }
            }
        }
    }
}

fn put(key: String, value: Vec<u8>) -> store::Write {
    store::Write::Put { key, value: Bytes::from(value), lease: None }
}
