//! Keeps an entry's cluster state up to date from the store and from the other entries.
//!
//! A few entries, the store readers, read the store on behalf of all; the others fetch the cluster
//! state from them. An entry that finds too few readers reads the store itself, and one that the
//! store refuses fetches the state from any entry that has it. See docs/PLATFORM.md.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::{Notify, Semaphore};

use crate::collections::Map;
use crate::direct::known::agents::Agents;
use crate::direct::known::cluster_state::KnownVersions;
use crate::direct::known::heartbeat::Heartbeat;
use crate::direct::known::store::{
    Change, Changes, Collection, Formats, Item, OperatorItem, Position, Store,
};
use crate::direct::state::entry::Entry;
use crate::telemetry::events;

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

impl StateSync {
    /// Applies a complete collection read from the store.
    pub(super) fn apply_listing(&self, collection: Collection, items: Vec<Item>, at: Position) {
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

    /// Applies the changes that a watch call returned.
    pub(super) fn apply_changes(&self, collection: Collection, changes: Changes) {
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
    pub(super) fn record_confirmed(&self, collection: Collection) {
        let answer = self.entry.store_calls.next_answer();
        self.entry.confirmations.record(collection, answer, self.entry.now());
    }

    /// Records how the store has answered another entry, and confirms what that entry knows, if it is
    /// the same as here, as of the ages that it states.
    pub fn record_peer_calls(&self, peer: &Heartbeat) {
        let now = self.entry.now();
        let before = |ms: u64| now.saturating_sub(Duration::from_millis(ms));
        if let Some(failed_ms) = peer.store_failed_ms {
            self.entry.store_outages.record_failure(&peer.name, before(failed_ms));
        }
        let (known, peer_known) = (self.entry.cluster_state.borrow().known(), peer.known());
        let same_requests =
            peer_known.version == known.version && peer_known.standing_at == known.standing_at;
        let same = [same_requests, peer_known.targets_at == known.targets_at];
        for ((collection, answer), same) in
            Collection::ALL.into_iter().zip(peer.answers()).zip(same)
        {
            let (id, Some(age_ms)) = answer else { continue };
            if self.entry.store_calls.heard.record(id) {
                self.record_store_answer(before(age_ms), &peer.name);
            }
            if same {
                self.entry.confirmations.record(collection, id, before(age_ms));
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
