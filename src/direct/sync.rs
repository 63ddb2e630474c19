//! Follows the store and the other entries, so that each fact reaches every entry once.
//!
//! Few entries read the store for all; the others take facts from them. An entry that finds no
//! reader reads the store itself, and one that the store turns away takes facts from any entry that
//! has them. See docs/PLATFORM.md.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::{Notify, Semaphore};
use tokio::time;

use crate::collections::Set;
use crate::direct::entry::Entry;
use crate::direct::facts::Listed;
use crate::direct::lapses::{Lapses, Removal};
use crate::direct::store::{Change, Changes, Collection, Formats, Item, Store, StoreError};
use crate::telemetry::events;

/// How long a watch waits for changes. A connection that has gone silent is found after this time
/// at the latest, if no other entry tells of changes first.
const WATCH_WAIT: Duration = Duration::from_secs(8);

/// Pause after a watch has told changes, so that changes that come together cost one call.
const COALESCE: Duration = Duration::from_millis(150);

/// First pause after a failed call; each further failure in a row doubles it.
const FIRST_RETRY: Duration = Duration::from_millis(100);

/// Longest pause after failed calls, so that a store that is back is found soon.
const MAX_RETRY: Duration = Duration::from_millis(1_600);

/// Pause between two looks at whether this entry is to read the store.
const ROLE_CHECK: Duration = Duration::from_millis(250);

/// Follower keeps an entry's facts up to date.
pub struct Follower {
    /// The entry.
    pub entry: Rc<Entry>,
    /// The store.
    pub store: Rc<Store>,
    /// How values are read.
    pub formats: Formats,
    /// The pause between two heartbeats of entries.
    pub heartbeat_interval: Duration,
    /// Told when this entry's facts have changed.
    pub changed: Rc<Notify>,
    /// Told when another entry has newer facts.
    pub outdated: Rc<Notify>,
    /// Whether removals are believed at once.
    pub lapses: Lapses,
    /// The entries that may be handed facts at once.
    pub hand_overs: Arc<Semaphore>,
}

impl Follower {
    /// Follows one collection until the process ends.
    pub async fn follow(self: Rc<Self>, collection: Collection) {
        let mut failures = 0;
        loop {
            if !self.is_reader() {
                time::sleep(ROLE_CHECK).await;
                continue;
            }
            let Some(at) = self.read(collection, &mut failures).await else { continue };
            self.watch(collection, at, &mut failures).await;
        }
    }

    fn is_reader(&self) -> bool {
        let now = self.entry.now();
        self.entry.peers.borrow().is_reader(&self.entry.options.name, self.heartbeat_interval, now)
    }

    /// Reads a collection whole. Returns the revision to watch from.
    async fn read(&self, collection: Collection, failures: &mut u32) -> Option<u64> {
        match (self.store.list)(collection).await {
            Ok(listing) => {
                self.store_answered(collection, failures);
                self.take_listing(collection, listing.items, listing.revision);
                Some(listing.revision)
            }
            Err(error) => {
                self.store_failed(collection, failures, &error).await;
                None
            }
        }
    }

    async fn watch(&self, collection: Collection, mut at: u64, failures: &mut u32) {
        while self.is_reader() {
            match (self.store.watch)((collection, at, WATCH_WAIT)).await {
                Ok(changes) => {
                    self.store_answered(collection, failures);
                    at = changes.revision.max(at);
                    let pause = if changes.changes.is_empty() { Duration::ZERO } else { COALESCE };
                    self.take_changes(collection, changes);
                    time::sleep(pause).await;
                }
                Err(StoreError::Compacted) => {
                    events::log(
                        events::STORE_HISTORY_COMPACTED,
                        format_args!("collection={} after={at}", collection.name()),
                    );
                    return;
                }
                Err(error) => {
                    self.store_failed(collection, failures, &error).await;
                    return;
                }
            }
        }
    }

    fn store_answered(&self, collection: Collection, failures: &mut u32) {
        let now = self.entry.now();
        if *failures > 0 {
            events::log(
                events::STORE_RECOVERED,
                format_args!("collection={} failures={failures}", collection.name()),
            );
            self.lapses.store_back(now);
        }
        *failures = 0;
        self.entry.store_answers.set(true);
    }

    async fn store_failed(&self, collection: Collection, failures: &mut u32, error: &StoreError) {
        if *failures == 0 {
            events::log(
                events::STORE_UNAVAILABLE,
                format_args!("collection={} cause=\"{error}\"", collection.name()),
            );
        }
        self.entry.metrics.store_failed(collection.name());
        self.entry.store_answers.set(false);
        self.lapses.store_away();
        let pause = (FIRST_RETRY * 2_u32.pow((*failures).min(8))).min(MAX_RETRY);
        *failures = failures.saturating_add(1);
        time::sleep(pause.mul_f64(0.75 + 0.5 * self.entry.draw())).await;
    }

    fn take_listing(&self, collection: Collection, items: Vec<Item>, at: u64) {
        match collection {
            Collection::Configuration => {
                for item in items {
                    self.take_configuration(&item.value, "store");
                }
            }
            Collection::Targets => {
                let mut listed: Vec<_> =
                    items.into_iter().map(|item| self.read_target(item)).collect();
                listed.extend(self.lapsed(&listed, at));
                self.take_targets(listed, at, "store");
            }
        }
    }

    fn take_changes(&self, collection: Collection, changes: Changes) {
        if changes.changes.is_empty() {
            return;
        }
        for change in changes.changes {
            match (collection, change) {
                (Collection::Configuration, Change::Put(item)) => {
                    self.take_configuration(&item.value, "store");
                }
                (Collection::Targets, Change::Put(item)) => self.put_target(item),
                (Collection::Targets, Change::Removed { key, revision }) => {
                    self.remove_target(&key, revision);
                }
                (Collection::Configuration, Change::Removed { .. }) => {}
            }
        }
        if collection == Collection::Targets {
            self.apply_targets("store");
        }
    }

    /// Takes a configuration if it is newer than the one in force.
    pub fn take_configuration(&self, raw: &Bytes, source: &str) {
        match (self.formats.configuration)(raw) {
            Ok(offered) => {
                let (version, routes) = (offered.version, offered.route_count());
                let old = self.entry.facts.borrow().version();
                if self.entry.facts.borrow_mut().offer_configuration(offered, raw.clone()) {
                    events::log(
                        events::DIRECT_CONFIG,
                        format_args!(
                            "version={version} before={old} routes={routes} from={source}"
                        ),
                    );
                    self.entry.metrics.configuration(version);
                    self.announce();
                }
            }
            Err(error) => {
                events::log(
                    events::VALUE_UNREADABLE,
                    format_args!("collection=configuration cause=\"{error}\" from={source}"),
                );
            }
        }
    }

    /// Makes a listed item from a stored one. One that cannot be read names no target.
    pub fn read_target(&self, item: Item) -> (String, Listed) {
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
        (item.key, Listed { revision: item.revision, raw: item.value, target })
    }

    /// Returns the entries that a list read from the store lacks, but that may come back.
    fn lapsed(&self, listed: &[(String, Listed)], at: u64) -> Vec<(String, Listed)> {
        let keys: Set<&str> = listed.iter().map(|(key, _)| key.as_str()).collect();
        let facts = self.entry.facts.borrow();
        let missing = facts.listed().filter(|(key, _)| !keys.contains(key.as_str()));
        let lapsed = missing.filter(|(key, listed)| self.is_lapse(key, listed, at));
        lapsed.map(|(key, listed)| (key.clone(), listed.clone())).collect()
    }

    /// Tells whether an entry that is off the list may come back.
    fn is_lapse(&self, key: &str, listed: &Listed, revision: u64) -> bool {
        let now = self.entry.now();
        let Some(target) = &listed.target else { return false };
        match self.lapses.removed(key, target, revision, now) {
            Removal::Now => false,
            Removal::NotBefore(until) => {
                let wait_ms = until.saturating_sub(now).as_millis();
                events::log(
                    events::TARGET_REMOVAL_PENDING,
                    format_args!("target={} revision={revision} wait_ms={wait_ms}", target.id),
                );
                true
            }
        }
    }

    fn put_target(&self, item: Item) {
        let revision = item.revision;
        let (key, listed) = self.read_target(item);
        self.lapses.listed(&key);
        let mut facts = self.entry.facts.borrow_mut();
        facts.put_target(key, listed);
        facts.advance_targets(revision);
    }

    fn remove_target(&self, key: &str, revision: u64) {
        let known = self.entry.facts.borrow().listed_target(key).cloned();
        if known.is_some_and(|listed| self.is_lapse(key, &listed, revision)) {
            return;
        }
        let mut facts = self.entry.facts.borrow_mut();
        facts.remove_target(key, revision);
        facts.advance_targets(revision);
    }

    /// Takes a whole list of targets that holds at a revision, if it is not older.
    pub fn take_targets(&self, listed: Vec<(String, Listed)>, at: u64, source: &str) {
        if self.entry.facts.borrow_mut().replace_targets(listed, at) {
            self.apply_targets(source);
        }
    }

    /// Brings the table of targets in line with the list.
    fn apply_targets(&self, source: &str) {
        let at = self.entry.facts.borrow().targets_at();
        let listed = self.entry.facts.borrow().targets();
        let mut targets = self.entry.targets.borrow_mut();
        for id in targets.missing_from(&listed) {
            events::log(
                events::TARGET_REMOVED,
                format_args!("target={id} revision={at} from={source}"),
            );
            targets.remove(&id);
        }
        for target in listed {
            if targets.get(&target.id) != Some(&target) {
                events::log(
                    events::TARGET_LISTED,
                    format_args!(
                        "target={} service={} addr={} leaving={} revision={at} from={source}",
                        target.id, target.service, target.addr, target.leaving
                    ),
                );
                targets.upsert(target);
            }
        }
        drop(targets);
        self.entry.places.notify_waiters();
        self.announce();
    }

    /// Takes off targets whose entries lapsed while the store was away and did not come back.
    pub fn sweep_lapsed(&self) {
        let due = self.lapses.due(self.entry.now());
        if due.is_empty() {
            return;
        }
        for (key, revision) in due {
            let mut facts = self.entry.facts.borrow_mut();
            facts.remove_target(&key, revision);
            facts.advance_targets(revision);
        }
        self.apply_targets("lapse");
    }

    fn announce(&self) {
        self.changed.notify_one();
    }
}
