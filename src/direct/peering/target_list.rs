//! Applies changes of the target list to an entry: its records, its table of targets, and what an
//! outage or a return of the store from an older copy means for both.
//!
//! Each entry decides for itself which targets may have lapsed, also with a list that another entry
//! has sent. So a wrong decision reaches no other entry, and what an entry hands on is always the list
//! of the store at its position. See docs/PLATFORM.md.

use std::time::{Duration, UNIX_EPOCH};

use crate::collections::Set;
use crate::direct::known::cluster_state::{ClusterState, TargetRecord};
use crate::direct::known::store::{Collection, Item, Position, UnreadableValue};
use crate::direct::known::store_outages::Absence;
use crate::direct::peering::sync::StateSync;
use crate::telemetry::events;

/// Time for which a target that was leaving or gone stays unused when the store's copy lists it
/// again. The store drops the record of a target that has ended sooner.
const WITHHOLD_TIME: Duration = Duration::from_secs(10);

impl StateSync {
    /// Logs and counts a field that cannot be decoded, in a value that is used otherwise.
    pub(super) fn record_unreadable(&self, collection: &str, key: &str, error: &UnreadableValue) {
        events::log(
            events::VALUE_UNREADABLE,
            format_args!("collection={collection} key={key:?} cause=\"{error}\""),
        );
        self.entry.metrics.value_unreadable();
    }

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

    /// Changes the list, given what the absence of a target means now, and logs which targets lapse
    /// with that.
    fn change_list<T>(
        &self,
        source: &str,
        change: impl FnOnce(&mut ClusterState, Absence) -> T,
    ) -> T {
        let outages = &self.entry.store_outages;
        let now = self.entry.now();
        let mut state = self.entry.cluster_state.borrow_mut();
        let before: Set<String> = state.lapsed().map(|(key, _)| key.clone()).collect();
        let result = change(&mut state, outages.absence(now));
        for (key, _) in state.lapsed().filter(|(key, _)| !before.contains(*key)) {
            let wait_ms = outages.time_to_removal(now).as_millis();
            let at = state.targets_at();
            events::log(
                events::TARGET_LAPSED,
                format_args!("target={key} at={at} wait_ms={wait_ms} from={source}"),
            );
        }
        self.entry.metrics.lapsed_targets(state.lapsed().count());
        result
    }

    /// Applies the write of one record.
    pub(super) fn put_target(&self, item: Item) {
        let revision = item.revision;
        let (key, record) = self.decode_target(item);
        self.change_list("store", |state, _| {
            state.put_target(key, record);
            state.advance_targets(revision);
        });
    }

    /// Applies the removal of one record.
    pub(super) fn remove_target(&self, key: &str, revision: u64) {
        self.change_list("store", |state, absence| {
            state.remove_target(key, revision, absence);
            state.advance_targets(revision);
        });
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
        if begins_era {
            self.entry.store_outages.record_return(self.entry.now());
        }
        let replaced =
            self.change_list(source, |state, absence| state.replace_targets(records, at, absence));
        if !replaced {
            return;
        }
        if begins_era {
            self.record_store_returned(before, at, source);
        }
        if self.listed_since.get().is_none() {
            self.listed_since.set(Some(self.entry.now()));
        }
        self.entry.metrics.store_era(at.era);
        self.update_target_table(source);
    }

    /// Returns true if targets lapsed in an outage that another entry tells of, and this one has not
    /// seen that, since it has no list or had none until the outage had ended.
    pub(super) fn lacks_lapsed(&self, lapsed_since_ms: Option<u64>) -> bool {
        let Some(since_ms) = lapsed_since_ms else { return false };
        let ended_at = self.entry.now().saturating_sub(Duration::from_millis(since_ms));
        let saw_none = self.entry.store_outages.ended_at().is_none();
        saw_none && self.listed_since.get().is_none_or(|since| since >= ended_at)
    }

    /// Takes over the targets that another entry keeps beside its list. `ended_at` is when the outage
    /// ended in which they lapsed.
    pub(super) fn adopt_lapsed(
        &self,
        lapsed: Vec<(String, TargetRecord)>,
        ended_at: Duration,
        source: &str,
    ) {
        self.entry.store_outages.adopt_end(ended_at);
        self.change_list(source, |state, _| state.adopt_lapsed(lapsed));
        self.update_target_table(source);
    }

    /// Returns the time until the store is to be asked whether lapsed targets have registered again;
    /// `None` if there are none.
    pub(super) fn time_to_lapse_check(&self, collection: Collection) -> Option<Duration> {
        let has_lapsed = self.entry.cluster_state.borrow().lapsed().next().is_some();
        let is_due = collection == Collection::Targets && has_lapsed;
        is_due.then(|| self.entry.store_outages.time_to_check(self.entry.now())).flatten()
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

    /// Drops the targets that lapsed in an outage of the store and did not register again in time.
    pub fn drop_due_lapses(&self) {
        let has_lapsed = self.entry.cluster_state.borrow().lapsed().next().is_some();
        let absence = self.entry.store_outages.absence(self.entry.now());
        if !has_lapsed || absence == Absence::MayHaveLapsed {
            return;
        }
        if self.change_list("lapse", |state, _| state.drop_lapsed()) {
            self.update_target_table("lapse");
        }
    }
}
