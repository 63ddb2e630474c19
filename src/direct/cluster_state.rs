//! The configuration and the target list that an entry replicates, from the store or from a peer.
//!
//! Both parts only move forward: the configuration by its version, the target list by the
//! store's revision. So neither a late answer nor a peer that lags behind brings back an older
//! state.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;

use crate::collections::Map;
use crate::direct::configuration::Configuration;
use crate::direct::targets::Target;

/// One record of the target list, as stored.
#[derive(Clone, Debug)]
pub struct TargetRecord {
    /// The store's revision of the record's last write.
    pub revision: u64,
    /// The undecoded value, which peers are sent.
    pub raw: Bytes,
    /// The decoded target; `None` if the value is invalid.
    pub target: Option<Target>,
}

/// How recent the cluster state of an entry is. A peer sends it to ask for what is newer.
#[derive(Clone, Copy, Debug, Default, serde::Deserialize)]
#[serde(default)]
pub struct KnownVersions {
    /// The version of its configuration; 0 without one.
    pub version: u64,
    /// The store's revision of its target list; 0 without one.
    pub targets_at: u64,
}

/// The newest configuration and the newest target list that this entry has received.
#[derive(Clone, Debug, Default)]
pub struct ClusterState {
    /// The decoded configuration and its stored form.
    configuration: Option<(Arc<Configuration>, Bytes)>,
    records: Map<String, TargetRecord>,
    list_revision: Option<u64>,
    /// The revisions of recent removals by key.
    removed_at: Map<String, u64>,
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

    /// Returns the version of the configuration and the revision of the target list.
    pub fn known(&self) -> KnownVersions {
        KnownVersions { version: self.version(), targets_at: self.targets_at() }
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
        self.list_revision.is_some()
    }

    /// Returns the store's revision of the target list; 0 without one.
    pub fn targets_at(&self) -> u64 {
        self.list_revision.unwrap_or(0)
    }

    /// Replaces the target list by a complete one read at revision `at`, unless that is older.
    /// Returns true if it was replaced.
    pub fn replace_targets(&mut self, records: Vec<(String, TargetRecord)>, at: u64) -> bool {
        if self.list_revision.is_some_and(|known| at < known) {
            return false;
        }
        let newer: Map<String, TargetRecord> = records.into_iter().collect();
        let missing: Vec<String> =
            self.records.keys().filter(|key| !newer.contains_key(*key)).cloned().collect();
        for key in missing {
            self.record_removal(key, at);
        }
        self.records = newer;
        self.list_revision = Some(at);
        true
    }

    /// Adds or updates one record. Returns false if a write or removal at the same or a later
    /// revision is known already.
    pub fn put_target(&mut self, key: String, record: TargetRecord) -> bool {
        let known = self.records.get(&key).map(|old| old.revision);
        let newest = known.max(self.removed_at.get(&key).copied());
        if newest.is_some_and(|newest| newest >= record.revision) {
            return false;
        }
        self.removed_at.remove(&key);
        self.records.insert(key, record);
        true
    }

    /// Removes one record, unless it was written at a later revision. Returns true if it was on the
    /// list. The revision of the removal is remembered also for a record that was not.
    pub fn remove_target(&mut self, key: &str, revision: u64) -> bool {
        if self.records.get(key).is_some_and(|record| record.revision > revision) {
            return false;
        }
        self.record_removal(key.to_owned(), revision);
        self.records.remove(key).is_some()
    }

    fn record_removal(&mut self, key: String, revision: u64) {
        if self.removed_at.len() >= MAX_REMEMBERED_REMOVALS
            && let Some(oldest) = self.removed_at.iter().min_by_key(|(_, at)| **at)
        {
            let oldest = oldest.0.clone();
            self.removed_at.remove(&oldest);
        }
        let at = self.removed_at.entry(key).or_default();
        *at = revision.max(*at);
    }

    /// Advances the revision of the target list after changes of single records.
    pub fn advance_targets(&mut self, at: u64) {
        if let Some(known) = self.list_revision {
            self.list_revision = Some(known.max(at));
        }
    }

    /// Returns one record of the target list.
    pub fn target_record(&self, key: &str) -> Option<&TargetRecord> {
        self.records.get(key)
    }

    /// Returns all records of the target list by key.
    pub fn target_records(&self) -> impl Iterator<Item = (&String, &TargetRecord)> {
        self.records.iter()
    }

    /// Returns the decoded targets. Of several at one address only the one written last is
    /// returned: the record of an incarnation that has ended stays on the list for a while.
    pub fn targets(&self) -> Vec<Target> {
        let mut newest: Map<SocketAddr, (u64, &Target)> = Map::default();
        for record in self.records.values() {
            let Some(target) = &record.target else { continue };
            let known = newest.get(&target.addr);
            if known.is_none_or(|(revision, _)| *revision < record.revision) {
                newest.insert(target.addr, (record.revision, target));
            }
        }
        newest.into_values().map(|(_, target)| target.clone()).collect()
    }
}
