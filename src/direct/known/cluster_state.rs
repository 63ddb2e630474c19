//! The configuration and the target list that an entry replicates, from the store or from a peer.
//!
//! Both parts only move forward: the configuration by its version, the target list by the
//! position in the store's history. So neither a late answer nor a peer that lags behind brings back
//! an older state.
//!
//! The target list is that of the store at its position, so entries with the same position have the same
//! list, from whomever they have it. Targets that are off the list and may register again are kept
//! beside it, by each entry for itself.
//!
//! When the store comes back from an older copy, the list is replaced by that of the copy, which may
//! name targets that have drained or ended since. See docs/STORE_ERAS.md.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use xxhash_rust::xxh3;

use crate::collections::Map;
use crate::direct::known::configuration::Configuration;
use crate::direct::known::standing::Standing;
use crate::direct::known::store::Position;
use crate::direct::known::store_outages::Absence;
use crate::direct::known::target::Target;

/// One record of the target list, as stored.
#[derive(Clone, Debug)]
pub struct TargetRecord {
    /// The store's revision of the record's last write, in the era of the list; 0 for the record of a
    /// target that lapsed in an earlier era.
    pub revision: u64,
    /// The undecoded value, which peers are sent.
    pub raw: Bytes,
    /// The decoded target; `None` if the value is invalid.
    pub target: Option<Target>,
}

/// How recent the cluster state of an entry is. A peer sends it to ask for what is newer.
#[derive(Clone, Copy, Debug, Default)]
pub struct KnownVersions {
    /// The version of its configuration; 0 without one.
    pub version: u64,
    /// The position of its target list; the lowest one without a list.
    pub targets_at: Position,
    /// The position of what it knows of data centres that are being emptied; the lowest one for
    /// nothing.
    pub standing_at: Position,
}

/// A record that was removed from the target list.
#[derive(Clone, Copy, Debug, Default)]
struct RemovedRecord {
    /// The store's revision of the removal.
    revision: u64,
    /// When the target's process started, as Unix time in milliseconds, if it states that.
    started_unix_ms: Option<u64>,
}

/// The newest configuration and the newest target list that this entry has received.
#[derive(Clone, Debug, Default)]
pub struct ClusterState {
    /// The decoded configuration and its stored form.
    configuration: Option<(Arc<Configuration>, Bytes)>,
    records: Map<String, TargetRecord>,
    list_position: Option<Position>,
    standing: Standing,
    /// Recent removals by key.
    removed: Map<String, RemovedRecord>,
    /// The last records of targets that are off the list and may register again.
    lapsed: Map<String, TargetRecord>,
    /// The records, by key with their revision, that the store's copy brought back although their
    /// targets were known to be leaving or gone. They name no target.
    withheld: Map<String, u64>,
}

/// Removed records whose revisions are remembered, so that an older write does not restore them.
const MAX_REMEMBERED_REMOVALS: usize = 1_024;

impl ClusterState {
    /// Returns the configuration in force; `None` until one was received.
    pub fn configuration(&self) -> Option<&Arc<Configuration>> {
        self.configuration.as_ref().map(|(configuration, _)| configuration)
    }

    /// Returns the configuration as stored, undecoded.
    pub fn raw_configuration(&self) -> Option<&Bytes> {
        self.configuration.as_ref().map(|(_, raw)| raw)
    }

    /// Returns the version of the configuration in force; 0 without one.
    pub fn version(&self) -> u64 {
        self.configuration().map_or(0, |configuration| configuration.version)
    }

    /// Returns the version of the configuration and the position of the target list.
    pub fn known(&self) -> KnownVersions {
        let standing_at = self.standing.position();
        KnownVersions { version: self.version(), targets_at: self.targets_at(), standing_at }
    }

    /// Returns which data centres are being emptied.
    pub fn standing(&self) -> &Standing {
        &self.standing
    }

    /// Returns which data centres are being emptied, to change it.
    pub fn standing_mut(&mut self) -> &mut Standing {
        &mut self.standing
    }

    /// Replaces the configuration if the offered one is newer. Returns true if it was replaced.
    pub fn offer_configuration(&mut self, offered: Configuration, raw: Bytes) -> bool {
        let newer = offered.version > self.version() || self.configuration.is_none();
        if newer {
            self.configuration = Some((Arc::new(offered), raw));
        }
        newer
    }

    /// Returns true once a target list was received, even an empty one.
    pub fn has_targets(&self) -> bool {
        self.list_position.is_some()
    }

    /// Returns the position of the target list; the lowest one without a list.
    pub fn targets_at(&self) -> Position {
        self.list_position.unwrap_or_default()
    }

    /// Replaces the target list by a complete one read at a position, unless that is older. `absence`
    /// tells what it means that a target is missing from it. Returns true if it was replaced.
    pub fn replace_targets(
        &mut self,
        records: Vec<(String, TargetRecord)>,
        at: Position,
        absence: Absence,
    ) -> bool {
        if self.list_position.is_some_and(|known| at < known) {
            return false;
        }
        let newer: Map<String, TargetRecord> = records.into_iter().collect();
        let begins_era = self.list_position.is_some_and(|known| known.era < at.era);
        let withheld = begins_era.then(|| self.outdated_records(&newer));
        if begins_era {
            self.removed.clear();
        }
        let missing: Vec<String> =
            self.records.keys().filter(|key| !newer.contains_key(*key)).cloned().collect();
        for key in missing {
            self.keep_lapsed(&key, absence);
            self.record_removal(key, at.revision);
        }
        if let Some(withheld) = withheld {
            self.withheld = withheld;
            self.lapsed.values_mut().for_each(|record| record.revision = 0);
        }
        self.lapsed.retain(|key, _| !newer.contains_key(key));
        self.records = newer;
        self.list_position = Some(at);
        true
    }

    /// Returns the records of a list of a later era whose targets are known to be leaving or gone,
    /// though the list does not say so.
    fn outdated_records(&self, newer: &Map<String, TargetRecord>) -> Map<String, u64> {
        let outdated = newer.iter().filter(|(key, record)| {
            let Some(target) = &record.target else { return false };
            let started = target.started_unix_ms;
            let known = self.records.get(*key).and_then(|known| known.target.as_ref());
            let left = known.is_some_and(|known| {
                let leaving = known.leaving || self.is_withheld(key);
                leaving && !target.leaving && known.started_unix_ms == started
            });
            let removed = self.removed.get(*key).filter(|_| !self.lapsed.contains_key(*key));
            left || removed.is_some_and(|gone| gone.started_unix_ms == started)
        });
        outdated.map(|(key, record)| (key.clone(), record.revision)).collect()
    }

    fn is_withheld(&self, key: &str) -> bool {
        match (self.records.get(key), self.withheld.get(key)) {
            (Some(record), Some(withheld)) => record.revision <= *withheld,
            _ => false,
        }
    }

    /// Returns the number of records that name no target, since it was leaving or gone when the
    /// store came back from an older copy.
    pub fn withheld_count(&self) -> usize {
        self.records.keys().filter(|key| self.is_withheld(key)).count()
    }

    /// Lets all records name their targets. Returns true if some did not.
    pub fn release_withheld(&mut self) -> bool {
        let released = self.withheld_count() > 0;
        self.withheld.clear();
        released
    }

    /// Adds or updates one record. Returns false if a write or removal at the same or a later
    /// revision is known already.
    pub fn put_target(&mut self, key: String, record: TargetRecord) -> bool {
        let known = self.records.get(&key).map(|old| old.revision);
        let newest = known.max(self.removed.get(&key).map(|removed| removed.revision));
        if newest.is_some_and(|newest| newest >= record.revision) {
            return false;
        }
        self.removed.remove(&key);
        self.lapsed.remove(&key);
        self.records.insert(key, record);
        true
    }

    /// Removes one record, unless it was written at a later revision. `absence` tells what that means
    /// for its target. Returns true if it was on the list. The revision of the removal is remembered
    /// also for a record that was not.
    pub fn remove_target(&mut self, key: &str, revision: u64, absence: Absence) -> bool {
        if self.records.get(key).is_some_and(|record| record.revision > revision) {
            return false;
        }
        self.keep_lapsed(key, absence);
        self.record_removal(key.to_owned(), revision);
        self.records.remove(key).is_some()
    }

    /// Keeps the record of a target that may register again. One that was leaving is gone in any case.
    fn keep_lapsed(&mut self, key: &str, absence: Absence) {
        let Some(record) = self.records.get(key) else { return };
        let is_used = record.target.as_ref().is_some_and(|target| !target.leaving);
        if absence == Absence::MayHaveLapsed && is_used && !self.is_withheld(key) {
            self.lapsed.insert(key.to_owned(), record.clone());
        }
    }

    /// Returns the last records of targets that are off the list and may register again, by key.
    pub fn lapsed(&self) -> impl Iterator<Item = (&String, &TargetRecord)> {
        self.lapsed.iter()
    }

    /// Takes over targets that another entry keeps beside its list, for an entry that has just
    /// started and so cannot have seen them lapse. One whose removal it has seen is left out.
    pub fn adopt_lapsed(&mut self, lapsed: Vec<(String, TargetRecord)>) {
        let is_known = |key: &str| self.records.contains_key(key) || self.removed.contains_key(key);
        let unknown: Vec<_> = lapsed.into_iter().filter(|(key, _)| !is_known(key)).collect();
        self.lapsed.extend(unknown);
    }

    /// Drops the targets that have not registered again. Returns true if there were any.
    pub fn drop_lapsed(&mut self) -> bool {
        let dropped = !self.lapsed.is_empty();
        self.lapsed.clear();
        dropped
    }

    fn record_removal(&mut self, key: String, revision: u64) {
        if self.removed.len() >= MAX_REMEMBERED_REMOVALS
            && let Some(oldest) = self.removed.iter().min_by_key(|(_, removed)| removed.revision)
        {
            let oldest = oldest.0.clone();
            self.removed.remove(&oldest);
        }
        let target = self.records.get(&key).and_then(|record| record.target.as_ref());
        let started_unix_ms = target.and_then(|target| target.started_unix_ms);
        let removed = self.removed.entry(key).or_default();
        if target.is_some() {
            removed.started_unix_ms = started_unix_ms;
        }
        removed.revision = revision.max(removed.revision);
    }

    /// Advances the revision of the target list after changes of single records.
    pub fn advance_targets(&mut self, revision: u64) {
        if let Some(known) = &mut self.list_position {
            known.revision = known.revision.max(revision);
        }
    }

    /// Returns one record of the target list.
    pub fn target_record(&self, key: &str) -> Option<&TargetRecord> {
        self.records.get(key)
    }

    /// Returns a number that is the same for lists with the same targets in the same states, to compare
    /// the lists of entries by their logs.
    pub fn targets_digest(&self) -> u64 {
        let hashes = self.records.iter().map(|(key, record)| {
            let state = record.target.as_ref().map_or(0, |target| 1 + u64::from(target.leaving));
            xxh3::xxh3_64_with_seed(key.as_bytes(), state)
        });
        hashes.fold(0, |digest, hash| digest ^ hash)
    }

    /// Returns all records of the target list by key.
    pub fn target_records(&self) -> impl Iterator<Item = (&String, &TargetRecord)> {
        self.records.iter()
    }

    /// Returns the decoded targets, with those that may register again. Of several at one address only
    /// the one written last is returned: the record of an incarnation that has ended stays on the list
    /// for a while. One of a service that the configuration does not name hides no other.
    pub fn targets(&self) -> Vec<Target> {
        let mut newest: Map<SocketAddr, ((bool, u64), &Target)> = Map::default();
        for (key, record) in self.records.iter().chain(&self.lapsed) {
            let Some(target) = record.target.as_ref().filter(|_| !self.is_withheld(key)) else {
                continue;
            };
            let is_named = self
                .configuration()
                .is_none_or(|configuration| configuration.service(&target.service).is_some());
            let rank = (is_named, record.revision);
            if newest.get(&target.addr).is_none_or(|(known, _)| *known < rank) {
                newest.insert(target.addr, (rank, target));
            }
        }
        newest.into_values().map(|(_, target)| target.clone()).collect()
    }
}
