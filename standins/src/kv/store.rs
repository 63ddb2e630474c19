//! The keys, leases and history of the key-value service, without I/O.

use std::collections;
use std::ops;
use std::time::{Duration, Instant};

use bytes::Bytes;

use super::error::{KvError, Result};
use super::messages::{
    Base64, Compare, CompareTarget, DeleteRangeRequest, DeleteRangeResponse, Event, EventType,
    Header, HeaderResponse, Int64, KeyValue, LeaseGrantRequest, LeaseResponse, PutRequest,
    RangeRequest, RangeResponse, RequestOp, ResponseOp, TxnRequest, TxnResponse,
};

/// The largest allowed value.
pub const MAX_VALUE_BYTES: usize = 1_000_000;
/// The largest number of conditions or operations in one transaction, as by default in etcd.
pub const MAX_TXN_OPERATIONS: usize = 128;
const MIN_LEASE_SECONDS: i64 = 1;

struct Lease {
    ttl: Duration,
    expires: Instant,
    keys: collections::BTreeSet<Bytes>,
}

/// The complete state of the service.
pub struct Store {
    revision: i64,
    oldest_revision: i64,
    keys: collections::BTreeMap<Bytes, KeyValue>,
    history: collections::VecDeque<Event>,
    history_limit: usize,
    leases: collections::BTreeMap<i64, Lease>,
    next_lease_id: i64,
}

impl Store {
    /// Returns an empty store that keeps at most `history_limit` changes for watches. A change
    /// beyond that drops all changes of the oldest revision.
    pub fn new(history_limit: usize) -> Self {
        Self {
            revision: 1,
            oldest_revision: 1,
            keys: collections::BTreeMap::new(),
            history: collections::VecDeque::new(),
            history_limit,
            leases: collections::BTreeMap::new(),
            next_lease_id: 1,
        }
    }

    /// Returns the response header with the current revision.
    pub fn header(&self) -> Header {
        Header { revision: Int64(self.revision) }
    }

    /// Reads a range of keys.
    ///
    /// # Errors
    ///
    /// Returns [`KvError::OldRevision`] for a read at a revision other than the current one.
    pub fn range(&self, req: &RangeRequest) -> Result<RangeResponse> {
        if req.revision.0 != 0 && req.revision.0 != self.revision {
            return Err(KvError::OldRevision { revision: req.revision.0 });
        }
        let limit = usize::try_from(req.limit.0).ok().filter(|&limit| limit > 0);
        let found: Vec<_> = self.keys_in(&req.key.0, &req.range_end.0);
        let kvs: Vec<_> = found.iter().take(limit.unwrap_or(usize::MAX)).cloned().collect();
        let more = kvs.len() < found.len();
        Ok(RangeResponse { header: self.header(), kvs, more, count: int64(found.len()) })
    }

    /// Sets one key.
    ///
    /// # Errors
    ///
    /// Returns an error if the value is too large or the lease does not exist.
    pub fn put(&mut self, req: &PutRequest) -> Result<HeaderResponse> {
        self.check_put(req)?;
        self.write(req, self.revision + 1);
        Ok(HeaderResponse { header: self.header() })
    }

    /// Removes a range of keys, all at one new revision.
    pub fn delete_range(&mut self, req: &DeleteRangeRequest) -> DeleteRangeResponse {
        self.delete_at(req, self.revision + 1)
    }

    /// Runs a transaction. Either all its writes are made, at one revision, or none.
    ///
    /// # Errors
    ///
    /// Returns an error, without any effect, if one of its operations is invalid.
    pub fn txn(&mut self, req: &TxnRequest) -> Result<TxnResponse> {
        check_txn(req)?;
        let succeeded = req.compare.iter().all(|compare| self.compare_holds(compare));
        let ops = if succeeded { &req.success } else { &req.failure };
        for op in ops {
            self.check_op(op)?;
        }
        let revision = self.revision + 1;
        let responses = ops.iter().map(|op| self.apply_op(op, revision));
        let responses = responses.collect::<Result<_>>()?;
        Ok(TxnResponse { header: self.header(), succeeded, responses })
    }

    /// Grants a lease.
    ///
    /// # Errors
    ///
    /// Returns [`KvError::LeaseExists`] if the requested id is in use.
    pub fn grant(&mut self, req: &LeaseGrantRequest, now: Instant) -> Result<LeaseResponse> {
        let id = if req.id.0 == 0 { self.unused_lease_id() } else { req.id.0 };
        if self.leases.contains_key(&id) {
            return Err(KvError::LeaseExists { id });
        }
        let seconds = req.ttl.0.max(MIN_LEASE_SECONDS);
        let ttl = Duration::from_secs(seconds.unsigned_abs());
        let lease = Lease { ttl, expires: now + ttl, keys: collections::BTreeSet::new() };
        self.leases.insert(id, lease);
        Ok(LeaseResponse { header: self.header(), id: Int64(id), ttl: Int64(seconds) })
    }

    /// Renews a lease. The response has no TTL if the lease does not exist.
    pub fn keep_alive(&mut self, id: Int64, now: Instant) -> LeaseResponse {
        let ttl = self.leases.get_mut(&id.0).map(|lease| {
            lease.expires = now + lease.ttl;
            lease.ttl.as_secs()
        });
        let ttl = ttl.and_then(|ttl| i64::try_from(ttl).ok()).unwrap_or_default();
        LeaseResponse { header: self.header(), id, ttl: Int64(ttl) }
    }

    /// Ends a lease and removes its keys, all at one new revision.
    ///
    /// # Errors
    ///
    /// Returns [`KvError::LeaseNotFound`] if the lease does not exist.
    pub fn revoke(&mut self, id: Int64) -> Result<HeaderResponse> {
        let lease = self.leases.remove(&id.0).ok_or(KvError::LeaseNotFound { id: id.0 })?;
        self.end_lease(&lease);
        Ok(HeaderResponse { header: self.header() })
    }

    /// Ends the leases that expired by `now`. Returns true if there were any.
    pub fn expire(&mut self, now: Instant) -> bool {
        let expired = self.leases.iter().filter(|(_, lease)| lease.expires <= now);
        let expired: Vec<_> = expired.map(|(&id, _)| id).collect();
        for lease in expired.iter().filter_map(|id| self.leases.remove(id)).collect::<Vec<_>>() {
            self.end_lease(&lease);
        }
        !expired.is_empty()
    }

    /// Returns the oldest revision at which a watch can start.
    pub fn oldest_revision(&self) -> i64 {
        self.oldest_revision
    }

    /// Returns the changes of a range of keys from revision `start` on.
    pub fn events_from(&self, start: i64, key: &Bytes, range_end: &Bytes) -> Vec<Event> {
        let first = self.history.partition_point(|event| event.kv.mod_revision.0 < start);
        let events = self.history.range(first..);
        events.filter(|event| in_range(&event.kv.key.0, key, range_end)).cloned().collect()
    }

    fn keys_in(&self, key: &Bytes, range_end: &Bytes) -> Vec<KeyValue> {
        let at_or_after =
            self.keys.range((ops::Bound::Included(key.clone()), ops::Bound::Unbounded));
        let matching = at_or_after.take_while(|(at, _)| in_range(at, key, range_end));
        matching.map(|(_, kv)| kv.clone()).collect()
    }

    fn compare_holds(&self, compare: &Compare) -> bool {
        let kv = self.keys.get(&compare.key.0);
        match compare.target {
            CompareTarget::Mod => {
                kv.map(|kv| kv.mod_revision).unwrap_or_default() == compare.mod_revision
            }
            CompareTarget::Create => {
                kv.map(|kv| kv.create_revision).unwrap_or_default() == compare.create_revision
            }
        }
    }

    fn check_op(&self, op: &RequestOp) -> Result<()> {
        op.request_put.as_ref().map_or(Ok(()), |put| self.check_put(put))
    }

    fn check_put(&self, req: &PutRequest) -> Result<()> {
        let size = req.value.0.len();
        if size > MAX_VALUE_BYTES {
            return Err(KvError::ValueTooLarge { size, limit: MAX_VALUE_BYTES });
        }
        if req.lease.0 != 0 && !self.leases.contains_key(&req.lease.0) {
            return Err(KvError::LeaseNotFound { id: req.lease.0 });
        }
        Ok(())
    }

    fn apply_op(&mut self, op: &RequestOp, revision: i64) -> Result<ResponseOp> {
        if let Some(req) = &op.request_range {
            return self.range(req).map(ResponseOp::ResponseRange);
        }
        if let Some(req) = &op.request_put {
            self.write(req, revision);
            return Ok(ResponseOp::ResponsePut(HeaderResponse { header: self.header() }));
        }
        let req = op.request_delete_range.clone().unwrap_or_default();
        Ok(ResponseOp::ResponseDeleteRange(self.delete_at(&req, revision)))
    }

    fn delete_at(&mut self, req: &DeleteRangeRequest, revision: i64) -> DeleteRangeResponse {
        let keys = self.keys_in(&req.key.0, &req.range_end.0);
        self.remove(keys.iter().map(|kv| &kv.key.0), revision);
        DeleteRangeResponse { header: self.header(), deleted: int64(keys.len()) }
    }

    fn write(&mut self, req: &PutRequest, revision: i64) {
        let key = &req.key.0;
        let old = self.keys.get(key).cloned().unwrap_or_default();
        self.detach_lease(key, old.lease.0);
        if let Some(lease) = self.leases.get_mut(&req.lease.0) {
            lease.keys.insert(key.clone());
        }
        self.revision = revision;
        let revision = Int64(revision);
        let is_new = old.version.0 == 0;
        let kv = KeyValue {
            key: req.key.clone(),
            create_revision: if is_new { revision } else { old.create_revision },
            mod_revision: revision,
            version: Int64(old.version.0 + 1),
            value: req.value.clone(),
            lease: req.lease,
        };
        self.keys.insert(key.clone(), kv.clone());
        self.record(Event { kind: EventType::Put, kv });
    }

    fn remove<'a>(&mut self, keys: impl IntoIterator<Item = &'a Bytes>, revision: i64) {
        for key in keys {
            let Some(old) = self.keys.remove(key) else { continue };
            self.detach_lease(key, old.lease.0);
            self.revision = revision;
            let key = Base64(key.clone());
            let kv = KeyValue { key, mod_revision: Int64(revision), ..KeyValue::default() };
            self.record(Event { kind: EventType::Delete, kv });
        }
    }

    fn end_lease(&mut self, lease: &Lease) {
        self.remove(&lease.keys, self.revision + 1);
    }

    fn detach_lease(&mut self, key: &Bytes, lease: i64) {
        if let Some(lease) = self.leases.get_mut(&lease) {
            lease.keys.remove(key);
        }
    }

    fn record(&mut self, event: Event) {
        self.history.push_back(event);
        if self.history.len() > self.history_limit {
            self.drop_oldest_revision();
        }
    }

    fn drop_oldest_revision(&mut self) {
        let revision = self.history.front().map(|event| event.kv.mod_revision);
        while self.history.front().map(|event| event.kv.mod_revision) == revision {
            self.history.pop_front();
        }
        self.oldest_revision = revision.unwrap_or_default().0 + 1;
    }

    fn unused_lease_id(&mut self) -> i64 {
        while self.leases.contains_key(&self.next_lease_id) {
            self.next_lease_id += 1;
        }
        self.next_lease_id
    }
}

fn in_range(key: &Bytes, start: &Bytes, end: &Bytes) -> bool {
    match end.as_ref() {
        [] => key == start,
        [0] => key >= start,
        _ => key >= start && key < end,
    }
}

fn check_txn(req: &TxnRequest) -> Result<()> {
    let count = req.compare.len().max(req.success.len()).max(req.failure.len());
    if count > MAX_TXN_OPERATIONS {
        return Err(KvError::TooManyOperations { count, limit: MAX_TXN_OPERATIONS });
    }
    check_ops(&req.success)?;
    check_ops(&req.failure)
}

fn check_ops(ops: &[RequestOp]) -> Result<()> {
    let mut keys_set = collections::BTreeSet::new();
    for op in ops {
        let set = [
            op.request_range.is_some(),
            op.request_put.is_some(),
            op.request_delete_range.is_some(),
        ];
        if set.iter().filter(|&&set| set).count() != 1 {
            let reason = "each operation must be exactly one of range, put and delete".to_owned();
            return Err(KvError::Malformed { reason });
        }
        let duplicate = op.request_put.as_ref().is_some_and(|put| !keys_set.insert(&put.key));
        if duplicate {
            return Err(KvError::DuplicateKey);
        }
    }
    Ok(())
}

fn int64(count: usize) -> Int64 {
    Int64(i64::try_from(count).unwrap_or(i64::MAX))
}
