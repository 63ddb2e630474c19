//! What an entry knows from the store, at first hand or from another entry.
//!
//! Both parts only move forward: the configuration by its version, the list of targets by the
//! store's revision. So a late answer or a peer that lags never brings back what was replaced.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;

use crate::collections::Map;
use crate::direct::configuration::Configuration;
use crate::direct::targets::Target;

/// Listed is one entry of the list of targets.
#[derive(Clone, Debug)]
pub struct Listed {
    /// The store's revision at which it was written.
    pub revision: u64,
    /// The value as stored, for other entries.
    pub raw: Bytes,
    /// The target, where the value can be read.
    pub target: Option<Target>,
}

/// Known is how far an entry's facts are.
#[derive(Clone, Copy, Debug, Default, serde::Deserialize)]
#[serde(default)]
pub struct Known {
    /// The version of its configuration; 0 without one.
    pub version: u64,
    /// The store's revision of its list of targets; 0 without one.
    pub targets_at: u64,
}

/// Facts holds the newest of both parts.
#[derive(Clone, Debug, Default)]
pub struct Facts {
    configuration: Option<(Arc<Configuration>, Bytes)>,
    listed: Map<String, Listed>,
    listed_at: Option<u64>,
    removed: Map<String, u64>,
}

/// Removed entries whose revisions are kept, so that an older state does not bring them back.
const MAX_REMOVED: usize = 1_024;

impl Facts {
    /// Returns the configuration in force.
    pub fn configuration(&self) -> Option<&Arc<Configuration>> {
        self.configuration.as_ref().map(|(configuration, _)| configuration)
    }

    /// Returns the configuration as stored.
    pub fn configuration_raw(&self) -> Option<&Bytes> {
        self.configuration.as_ref().map(|(_, raw)| raw)
    }

    /// Returns the version in force; 0 where none is.
    pub fn version(&self) -> u64 {
        self.configuration().map_or(0, |configuration| configuration.version)
    }

    /// Returns how far the facts are.
    pub fn known(&self) -> Known {
        Known { version: self.version(), targets_at: self.targets_at() }
    }

    /// Takes a configuration if it is newer than the one in force. Tells whether it is.
    pub fn offer_configuration(&mut self, offered: Configuration, raw: Bytes) -> bool {
        let newer = offered.version > self.version() || self.configuration.is_none();
        if newer {
            self.configuration = Some((Arc::new(offered), raw));
        }
        newer
    }

    /// Tells whether a list of targets is known.
    pub fn knows_targets(&self) -> bool {
        self.listed_at.is_some()
    }

    /// Returns the store's revision up to which the list is known.
    pub fn targets_at(&self) -> u64 {
        self.listed_at.unwrap_or(0)
    }

    /// Replaces the list by one that holds at a revision. Tells whether it was taken.
    pub fn replace_targets(&mut self, listed: Vec<(String, Listed)>, at: u64) -> bool {
        if self.listed_at.is_some_and(|known| at < known) {
            return false;
        }
        let newer: Map<String, Listed> = listed.into_iter().collect();
        let gone: Vec<String> =
            self.listed.keys().filter(|key| !newer.contains_key(*key)).cloned().collect();
        for key in gone {
            self.note_removed(key, at);
        }
        self.listed = newer;
        self.listed_at = Some(at);
        true
    }

    /// Takes one change of the list. Tells whether it is news.
    pub fn put_target(&mut self, key: String, listed: Listed) -> bool {
        let known = self.listed.get(&key).map(|old| old.revision);
        let newest = known.max(self.removed.get(&key).copied());
        if newest.is_some_and(|newest| newest >= listed.revision) {
            return false;
        }
        self.removed.remove(&key);
        self.listed.insert(key, listed);
        true
    }

    /// Takes one removal from the list. Tells whether it is news.
    pub fn remove_target(&mut self, key: &str, revision: u64) -> bool {
        if self.listed.get(key).is_some_and(|listed| listed.revision > revision) {
            return false;
        }
        self.note_removed(key.to_owned(), revision);
        self.listed.remove(key).is_some()
    }

    fn note_removed(&mut self, key: String, revision: u64) {
        if self.removed.len() >= MAX_REMOVED
            && let Some(oldest) = self.removed.iter().min_by_key(|(_, at)| **at)
        {
            let oldest = oldest.0.clone();
            self.removed.remove(&oldest);
        }
        let at = self.removed.entry(key).or_default();
        *at = revision.max(*at);
    }

    /// Moves the revision up to which the list is known.
    pub fn advance_targets(&mut self, at: u64) {
        if let Some(known) = self.listed_at {
            self.listed_at = Some(known.max(at));
        }
    }

    /// Returns one entry of the list.
    pub fn listed_target(&self, key: &str) -> Option<&Listed> {
        self.listed.get(key)
    }

    /// Returns the list.
    pub fn listed(&self) -> impl Iterator<Item = (&String, &Listed)> {
        self.listed.iter()
    }

    /// Returns the targets that can be read. Of several at one address only the one listed last is
    /// there: an entry of an incarnation that has ended stays on the list for a while.
    pub fn targets(&self) -> Vec<Target> {
        let mut newest: Map<SocketAddr, (u64, &Target)> = Map::default();
        for listed in self.listed.values() {
            let Some(target) = &listed.target else { continue };
            let known = newest.get(&target.addr);
            if known.is_none_or(|(revision, _)| *revision < listed.revision) {
                newest.insert(target.addr, (listed.revision, target));
            }
        }
        newest.into_values().map(|(_, target)| target.clone()).collect()
    }
}
