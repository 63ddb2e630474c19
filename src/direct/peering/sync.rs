//! Keeps an entry's cluster state up to date from the store and from the other entries.
//!
//! A few entries, the store readers, read the store on behalf of all; the others fetch the cluster
//! state from them. An entry that finds too few readers reads the store itself, and one that the
//! store refuses fetches the state from any entry that has it. See docs/PLATFORM.md.

use std::cell::{Cell, RefCell};
use std::mem;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::{Notify, Semaphore};
use tokio::time;

use crate::collections::Map;
use crate::direct::decisions::read_times::ReadTimes;
use crate::direct::known::agents::Agents;
use crate::direct::known::cluster_state::KnownVersions;
use crate::direct::known::heartbeat::Heartbeat;
use crate::direct::known::store::{
    Change, Changes, Collection, Formats, Item, OperatorItem, Position, Store, StoreError, Watch,
};
use crate::direct::state::entry::{Entry, Options};
use crate::telemetry::events;

/// Pause after a watch call that returned changes, so that changes close together cost one call.
const COALESCE_DELAY: Duration = Duration::from_millis(150);

/// Pause between two checks whether this entry is a store reader.
const ROLE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Replicates the cluster state of one entry.
pub struct StateSync {
    /// The entry whose cluster state is kept up to date.
    pub entry: Rc<Entry>,
    /// The client of the key-value store.
    pub store: Rc<Store>,
    /// The decoders of stored values.
    pub formats: Formats,
    /// Addresses of entries that are sent heartbeats in any case, from the settings.
    pub seeds: Rc<RefCell<Vec<SocketAddr>>>,
    /// The agents beside ranks that send notices.
    pub agents: RefCell<Agents>,
    /// Notified when this entry's cluster state has changed.
    pub changed: Rc<Notify>,
    /// Notified when another entry has a newer cluster state.
    pub outdated: Rc<Notify>,
    /// When this entry received its first target list; `None` before that.
    pub listed_since: Cell<Option<Duration>>,
    /// The position and the digest of the target list that were logged last.
    pub logged_list: Cell<(Position, u64)>,
    /// When records of targets that were leaving or gone are used again; `None` if there are none.
    pub withheld_until: Cell<Option<Duration>>,
    /// Permits for entries that fetch the cluster state; [`MAX_TRANSFERS`] in all.
    ///
    /// [`MAX_TRANSFERS`]: crate::direct::peering::transfer::MAX_TRANSFERS
    pub transfers: Arc<Semaphore>,
}

/// How the store has answered the calls for one collection.
#[derive(Debug, Default)]
struct Calls {
    /// The number of calls that have failed since the last answer.
    failures: u32,
    /// The time that the last answer took, beyond the wait for changes.
    answer_took: Duration,
}

impl StateSync {
    /// Reads and watches one collection while this entry is a store reader, until the process ends.
    pub async fn follow(self: Rc<Self>, collection: Collection) {
        let mut calls = Calls::default();
        loop {
            if !self.is_reader() {
                time::sleep(ROLE_CHECK_INTERVAL).await;
                continue;
            }
            let Some(at) = self.read(collection, &mut calls).await else { continue };
            self.watch(collection, at, &mut calls).await;
        }
    }

    fn reader_position(&self) -> Option<usize> {
        let Options { name, heartbeat_interval, .. } = &self.entry.options;
        self.entry.peers.borrow().reader_position(name, *heartbeat_interval, self.entry.now())
    }

    /// Returns true if this entry is one of those that read the store on behalf of all.
    pub(super) fn is_reader(&self) -> bool {
        self.reader_position().is_some()
    }

    /// Reads a complete collection. Returns the position to watch from; `None` if the call failed.
    async fn read(&self, collection: Collection, calls: &mut Calls) -> Option<Position> {
        let began = self.entry.now();
        match (self.store.list)(collection).await {
            Ok(listing) => {
                calls.answer_took = self.entry.now().saturating_sub(began);
                self.store_answered(collection, calls);
                self.apply_listing(collection, listing.items, listing.position);
                self.record_confirmed(collection);
                Some(listing.position)
            }
            Err(error) => {
                self.store_failed(collection, calls, &error, began).await;
                None
            }
        }
    }

    /// Watches a collection from a position, until a call fails, the store's era changes or this
    /// entry is no store reader.
    async fn watch(&self, collection: Collection, mut at: Position, calls: &mut Calls) {
        while let Some(position) = self.reader_position() {
            let began = self.entry.now();
            let times = self.read_times();
            let wait = times.watch_wait(position == 0, self.entry.random_fraction());
            let call = Watch {
                collection,
                after: at.revision,
                wait: self.time_to_lapse_check(collection).map_or(wait, |check| check.min(wait)),
                answer_time: times.answer_time(calls.answer_took),
            };
            let due = began + call.wait;
            let max_age = times.max_age(calls.answer_took);
            let answer = tokio::select! {
                answer = (self.store.watch)(call) => answer,
                // The first reader asks often, so its own call tells soon whether the store answers.
                age = self.until_older(collection, max_age), if position > 0 => {
                    events::log(
                        events::WATCH_GIVEN_UP,
                        format_args!(
                            "collection={} after={at} age_ms={}",
                            collection.name(),
                            age.as_millis()
                        ),
                    );
                    return;
                }
            };
            match answer {
                // The revisions of the call and of the answer do not belong together.
                Ok(changes) if changes.position.era != at.era => return,
                Ok(changes) => {
                    if changes.changes.is_empty() {
                        calls.answer_took = self.entry.now().saturating_sub(due);
                    }
                    self.store_answered(collection, calls);
                    at = changes.position.max(at);
                    let pause =
                        if changes.changes.is_empty() { Duration::ZERO } else { COALESCE_DELAY };
                    self.apply_changes(collection, changes);
                    self.record_confirmed(collection);
                    time::sleep(pause).await;
                }
                Err(StoreError::Compacted) => {
                    self.store_answered(collection, calls);
                    events::log(
                        events::STORE_HISTORY_COMPACTED,
                        format_args!("collection={} after={at}", collection.name()),
                    );
                    return;
                }
                Err(error) => {
                    self.store_failed(collection, calls, &error, began).await;
                    return;
                }
            }
        }
    }

    /// Waits until the last confirmation of a collection, by any reader, is older than `max_age`.
    /// Returns its age.
    async fn until_older(&self, collection: Collection, max_age: Duration) -> Duration {
        loop {
            let age = self.entry.confirmations.age(collection, self.entry.now());
            match age.unwrap_or_default() {
                age if age > max_age => return age,
                age => time::sleep((max_age - age).max(ROLE_CHECK_INTERVAL)).await,
            }
        }
    }

    fn store_answered(&self, collection: Collection, calls: &mut Calls) {
        let now = self.entry.now();
        let failures = mem::take(&mut calls.failures);
        if failures > 0 {
            events::log(
                events::STORE_RECOVERED,
                format_args!("collection={} failures={failures}", collection.name()),
            );
        }
        self.entry.store_failed_at.set(None);
        self.record_store_answer(now, &self.entry.options.name);
        if !self.entry.store_answers.replace(true) {
            self.notify_changed();
        }
    }

    /// Records that the store answered the entry of this name at a time.
    fn record_store_answer(&self, at: Duration, entry: &str) {
        if let Some(silence) = self.entry.store_outages.record_answer(at) {
            self.entry.metrics.store_outage();
            events::log(
                events::STORE_OUTAGE_OVER,
                format_args!("silent_ms={} answered={entry}", silence.as_millis()),
            );
        }
    }

    /// Records and logs a failed call that began at a time, and pauses before the next one.
    async fn store_failed(
        &self,
        collection: Collection,
        calls: &mut Calls,
        error: &StoreError,
        began: Duration,
    ) {
        if calls.failures == 0 {
            events::log(
                events::STORE_UNAVAILABLE,
                format_args!("collection={} cause=\"{error}\"", collection.name()),
            );
        }
        self.entry.metrics.store_failed(collection.name());
        // The others choose another reader once they know.
        if self.entry.store_answers.replace(false) {
            self.notify_changed();
        }
        let now = self.entry.now();
        self.entry.store_failed_at.set(Some(now));
        self.entry.store_outages.record_failure(now);
        calls.failures = calls.failures.saturating_add(1);
        let took = now.saturating_sub(began);
        let draw = self.entry.random_fraction();
        time::sleep(self.read_times().retry_pause(calls.failures, took, draw)).await;
    }

    fn read_times(&self) -> ReadTimes {
        ReadTimes::new(self.entry.options.in_force_time)
    }

    fn apply_listing(&self, collection: Collection, items: Vec<Item>, at: Position) {
        match collection {
            Collection::Configuration => {
                let mut emptied = Map::default();
                for item in items {
                    match (self.formats.operator_item)(&item.key) {
                        OperatorItem::Configuration => {
                            self.apply_configuration(&item.value, "store");
                        }
                        OperatorItem::Emptied(data_centre) => {
                            emptied.insert(data_centre.to_owned(), item.revision);
                        }
                        OperatorItem::Other => {}
                    }
                }
                self.replace_standing(emptied, at, "store");
            }
            Collection::Targets => {
                let records = items.into_iter().map(|item| self.decode_target(item)).collect();
                self.replace_targets(records, at, "store");
            }
        }
    }

    fn apply_changes(&self, collection: Collection, changes: Changes) {
        let era = self.entry.cluster_state.borrow().targets_at().era;
        let outdated = collection == Collection::Targets && changes.position.era != era;
        if changes.changes.is_empty() || outdated {
            return;
        }
        let position = changes.position;
        for change in changes.changes {
            match (collection, change) {
                (Collection::Configuration, change) => {
                    self.apply_operator_item(&change, position.era)
                }
                (Collection::Targets, Change::Put(item)) => self.put_target(item),
                (Collection::Targets, Change::Removed { key, revision }) => {
                    self.remove_target(&key, revision);
                }
            }
        }
        if collection == Collection::Targets {
            self.update_target_table("store");
        }
    }

    /// Applies a stored configuration if it is newer than the one in force. `source` is `store` or
    /// the name of the entry that sent it.
    pub fn apply_configuration(&self, raw: &Bytes, source: &str) {
        match (self.formats.configuration)(raw) {
            Ok(offered) => {
                let (version, routes) = (offered.version, offered.route_count());
                let old = self.entry.cluster_state.borrow().version();
                if self.entry.cluster_state.borrow_mut().offer_configuration(offered, raw.clone()) {
                    events::log(
                        events::DIRECT_CONFIG,
                        format_args!(
                            "version={version} before={old} routes={routes} from={source}"
                        ),
                    );
                    self.apply_cold_starts();
                    // Which of the targets at one address is used depends on the services named.
                    self.update_target_table(source);
                    self.entry.metrics.configuration(version);
                    self.notify_changed();
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

    /// Makes the next heartbeat go to all entries at once.
    pub(super) fn notify_changed(&self) {
        self.changed.notify_one();
    }

    /// Records that the store has just confirmed what this entry knows of a collection.
    fn record_confirmed(&self, collection: Collection) {
        self.entry.confirmations.record(collection, self.entry.now());
    }

    /// Records how the store has answered another entry, and confirms what that entry knows, if it is
    /// the same as here, as of the ages that it states.
    pub fn record_peer_calls(&self, peer: &Heartbeat) {
        let now = self.entry.now();
        let before = |ms: u64| now.saturating_sub(Duration::from_millis(ms));
        let ages_ms = [peer.configuration_age_ms, peer.targets_age_ms];
        if let Some(failed_ms) = peer.store_failed_ms {
            self.entry.store_outages.record_failure(before(failed_ms));
        }
        if let Some(age_ms) = ages_ms.into_iter().flatten().min() {
            self.record_store_answer(before(age_ms), &peer.name);
        }
        self.record_confirmed_by_peer(peer.known(), ages_ms, now);
    }

    fn record_confirmed_by_peer(
        &self,
        peer: KnownVersions,
        ages_ms: [Option<u64>; 2],
        now: Duration,
    ) {
        let known = self.entry.cluster_state.borrow().known();
        let same_requests = peer.version == known.version && peer.standing_at == known.standing_at;
        let same = [same_requests, peer.targets_at == known.targets_at];
        for ((collection, age_ms), same) in Collection::ALL.into_iter().zip(ages_ms).zip(same) {
            if let Some(age_ms) = age_ms.filter(|_| same) {
                let at = now.saturating_sub(Duration::from_millis(age_ms));
                self.entry.confirmations.record(collection, at);
            }
        }
    }

    /// Updates the metrics of the ages, and logs when one exceeds the time within which changes are
    /// in force.
    pub fn report_ages(&self) {
        let now = self.entry.now();
        let limit = self.entry.options.in_force_time;
        let reader = self.is_reader();
        self.entry.metrics.store_reader(reader);
        for collection in Collection::ALL {
            let Some(age) = self.entry.confirmations.age(collection, now) else { continue };
            self.entry.metrics.state_age(collection.name(), age);
            let event = match self.entry.confirmations.overdue_change(collection, limit, now) {
                Some(true) => events::STATE_UNCONFIRMED,
                Some(false) => events::STATE_CONFIRMED,
                None => continue,
            };
            let KnownVersions { version, targets_at, .. } =
                self.entry.cluster_state.borrow().known();
            events::log(
                event,
                format_args!(
                    "collection={} age_ms={} version={version} targets_at={targets_at} reader={reader}",
                    collection.name(),
                    age.as_millis()
                ),
            );
        }
    }
}
