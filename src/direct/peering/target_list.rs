//! Applies changes of the target list to an entry: its records, its table of targets, and what an
//! outage or a return of the store from an older copy means for both.

use std::time::{Duration, UNIX_EPOCH};

use crate::collections::Set;
use crate::direct::known::cluster_state::TargetRecord;
use crate::direct::known::store::{Item, Position};
use crate::direct::peering::sync::StateSync;
use crate::telemetry::events;

/// Time for which a target that was leaving or gone stays unused when the store's copy lists it
/// again. The store drops the record of a target that has ended sooner.
const WITHHOLD_TIME: Duration = Duration::from_secs(10);

impl StateSync {
    /// Decodes an item of the target list. One that is invalid becomes a record without a target.
    pub fn decode_target(&self, item: Item) -> (String, TargetRecord) {
        let target = match (self.formats.target)(&item.key, &item.value) {
            Ok(target) => Some(target),
            Err(error) => {
                events::log(
                    events::VALUE_UNREADABLE,
                    format_args!("collection=targets key={:?} cause=\"{error}\"", item.key),
                );
                None
            }
        };
        (item.key, TargetRecord { revision: item.revision, raw: item.value, target })
    }

    /// Returns true if a list at a position is of a later era than the entry's. An entry without a
    /// list has lost nothing, so to it no era begins.
    pub(super) fn begins_era(&self, at: Position) -> bool {
        let state = self.entry.cluster_state.borrow();
        state.has_targets() && at.era > state.targets_at().era
    }

    /// Returns the records that are missing from a list read from the store but whose removal is
    /// deferred.
    pub(super) fn deferred(
        &self,
        records: &[(String, TargetRecord)],
        at: Position,
    ) -> Vec<(String, TargetRecord)> {
        let keys: Set<&str> = records.iter().map(|(key, _)| key.as_str()).collect();
        let state = self.entry.cluster_state.borrow();
        let same_era = state.targets_at().era == at.era;
        let missing = state.target_records().filter(|(key, _)| !keys.contains(key.as_str()));
        let deferred = missing.filter(|(key, record)| self.defer_removal(key, record, at.revision));
        let keep = |(key, record): (&String, &TargetRecord)| {
            let revision = if same_era { record.revision } else { 0 };
            (key.clone(), TargetRecord { revision, ..record.clone() })
        };
        deferred.map(keep).collect()
    }

    /// Returns true if the removal of a record is deferred, since its target may register again.
    fn defer_removal(&self, key: &str, record: &TargetRecord, revision: u64) -> bool {
        let now = self.entry.now();
        let Some(target) = &record.target else { return false };
        let outages = &self.entry.store_outages;
        let deferred = self.pending_removals.defer(key, target, revision, outages.absence(now));
        if deferred {
            let wait_ms = outages.time_to_removal(now).as_millis();
            events::log(
                events::TARGET_REMOVAL_PENDING,
                format_args!("target={} revision={revision} wait_ms={wait_ms}", target.id),
            );
        }
        deferred
    }

    /// Applies the write of one record.
    pub(super) fn put_target(&self, item: Item) {
        let revision = item.revision;
        let (key, record) = self.decode_target(item);
        self.pending_removals.cancel(&key);
        let mut state = self.entry.cluster_state.borrow_mut();
        state.put_target(key, record);
        state.advance_targets(revision);
    }

    /// Applies the removal of one record, or defers it.
    pub(super) fn remove_target(&self, key: &str, revision: u64) {
        let known = self.entry.cluster_state.borrow().target_record(key).cloned();
        if known.is_some_and(|record| self.defer_removal(key, &record, revision)) {
            return;
        }
        let mut state = self.entry.cluster_state.borrow_mut();
        state.remove_target(key, revision);
        state.advance_targets(revision);
    }

    /// Replaces the target list by a complete one read at a position, unless that is older.
    /// `source` is `store` or the name of the entry that sent it.
    pub fn replace_targets(
        &self,
        records: Vec<(String, TargetRecord)>,
        at: Position,
        source: &str,
    ) {
        let before = self.entry.cluster_state.borrow().targets_at();
        let begins_era = self.begins_era(at);
        if !self.entry.cluster_state.borrow_mut().replace_targets(records, at) {
            return;
        }
        if begins_era {
            self.record_store_returned(before, at, source);
        }
        self.entry.metrics.store_era(at.era);
        self.update_target_table(source);
    }

    /// Handles the first target list of a later era.
    fn record_store_returned(&self, before: Position, at: Position, source: &str) {
        let entry = &self.entry;
        let withheld = entry.cluster_state.borrow().withheld_count();
        self.withheld_until.set((withheld > 0).then(|| entry.now() + WITHHOLD_TIME));
        let lost_crashes = entry.crashes.borrow_mut().record_store_returned();
        if lost_crashes > 0 {
            entry.crashes_unsaved.notify_one();
        }
        entry.metrics.store_returned();
        events::log(
            events::STORE_RETURNED,
            format_args!(
                "before={before} after={at} withheld={withheld} crashes={lost_crashes} \
                 from={source}"
            ),
        );
    }

    /// Logs the position and the digest of the target list if one of them has changed.
    fn log_target_list(&self, source: &str) {
        let state = self.entry.cluster_state.borrow();
        let (at, digest) = (state.targets_at(), state.targets_digest());
        let (before, _) = self.logged_list.get();
        if self.logged_list.replace((at, digest)) != (at, digest) {
            let records = state.target_records().count();
            events::log(
                events::TARGET_LIST_CHANGED,
                format_args!(
                    "at={at} before={before} records={records} digest={digest:016x} from={source}"
                ),
            );
        }
    }

    /// Updates the table of targets from the target list.
    pub(super) fn update_target_table(&self, source: &str) {
        self.log_target_list(source);
        let Position { revision, .. } = self.entry.cluster_state.borrow().targets_at();
        let listed = self.entry.cluster_state.borrow().targets();
        let mut targets = self.entry.targets.borrow_mut();
        let mut ended = Vec::new();
        for id in targets.missing_from(&listed) {
            events::log(
                events::TARGET_REMOVED,
                format_args!("target={id} revision={revision} from={source}"),
            );
            if targets.get(&id).is_some_and(|target| !target.leaving) {
                ended.push(id.clone());
            }
            targets.remove(&id);
        }
        for target in listed {
            let known = targets.get(&target.id);
            if known.is_some_and(|known| known.started_unix_ms != target.started_unix_ms) {
                ended.push(target.id.clone());
            }
            if known != Some(&target) {
                if let Err(error) = &target.cold_left {
                    self.record_unreadable("targets", &target.id, error);
                }
                events::log(
                    events::TARGET_LISTED,
                    format_args!(
                        "target={} service={} addr={} leaving={} revision={revision} from={source}",
                        target.id, target.service, target.addr, target.leaving
                    ),
                );
                let age = target.started_unix_ms.and_then(|started| self.age(started));
                targets.list(target, age, self.entry.now());
            }
        }
        drop(targets);
        for id in ended {
            self.entry.record_target_ended(&id);
        }
        self.entry.slots_changed.notify_waiters();
        self.notify_changed();
    }

    /// Returns the time since a start by this host's clock; `None` for a start in the future.
    fn age(&self, started_unix_ms: u64) -> Option<Duration> {
        let wall = self.entry.clock.wall().duration_since(UNIX_EPOCH).ok()?;
        wall.checked_sub(Duration::from_millis(started_unix_ms))
    }

    /// Uses the targets again whose records the store's copy brought back, if they are still listed.
    pub fn release_withheld(&self) {
        let now = self.entry.now();
        if self.withheld_until.get().is_none_or(|until| now < until) {
            return;
        }
        self.withheld_until.set(None);
        if self.entry.cluster_state.borrow_mut().release_withheld() {
            self.update_target_table("copy");
        }
    }

    /// Removes targets that disappeared from the list around a store outage and did not register
    /// again in time.
    pub fn apply_due_removals(&self) {
        let due = self.pending_removals.due(self.entry.store_outages.absence(self.entry.now()));
        if due.is_empty() {
            return;
        }
        for (key, revision) in due {
            let mut state = self.entry.cluster_state.borrow_mut();
            state.remove_target(&key, revision);
            state.advance_targets(revision);
        }
        self.update_target_table("lapse");
    }
}
