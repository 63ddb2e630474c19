//! Reads the store on behalf of all entries, while this entry is one of the few store readers, and for itself
//! when none of these has an answer in time.

use std::mem;
use std::rc::Rc;
use std::time::Duration;

use tokio::time;

use crate::direct::decisions::read_times::ReadTimes;
use crate::direct::known::store::{Collection, Position, StoreError, Watch};
use crate::direct::peering::sync::StateSync;
use crate::direct::state::entry::Options;
use crate::telemetry::events;

/// Pause after a watch call that returned changes, so that changes close together cost one call.
const COALESCE_DELAY: Duration = Duration::from_millis(150);

/// Pause between two checks whether this entry is a store reader.
const ROLE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Shortest time in which entries ask whether the store answers; outages that end sooner are not told from
/// entries that are turned away.
const MIN_EVIDENCE_TIME: Duration = Duration::from_millis(1_500);

/// Delay of a check after the moment at which something may have become due.
const CHECK_DELAY: Duration = Duration::from_millis(1);

/// How the store has answered the calls for one collection.
#[derive(Debug, Default)]
struct Calls {
    /// The number of calls that have failed since the last answer.
    failures: u32,
    /// The time that the last answer took, beyond the wait for changes.
    answer_took: Duration,
}

impl StateSync {
    /// Reads and watches one collection while this entry is a store reader, and reads it when this
    /// entry is to ask for itself, until the process ends.
    pub async fn follow(self: Rc<Self>, collection: Collection) {
        let mut calls = Calls::default();
        loop {
            self.until_due(collection).await;
            let Some(at) = self.read(collection, &mut calls).await else { continue };
            self.watch(collection, at, &mut calls).await;
        }
    }

    fn reader_position(&self) -> Option<usize> {
        let Options { name, heartbeat_interval, .. } = &self.entry.options;
        let (peers, now) = (self.entry.peers.borrow(), self.entry.now());
        // In an outage each entry finds that the store answers none of those before it. Only the regular
        // readers go on asking; the others do so in rounds.
        let is_turned_away = self.entry.store_calls.failed_at.get().is_some();
        if is_turned_away && !peers.is_regular_reader(name, *heartbeat_interval, now) {
            return None;
        }
        peers.reader_position(name, *heartbeat_interval, now)
    }

    /// Returns true if this entry is one of those that read the store on behalf of all.
    pub(super) fn is_reader(&self) -> bool {
        self.reader_position().is_some()
    }

    /// Waits until this entry is to read a collection: as a store reader, or for itself.
    async fn until_due(&self, collection: Collection) {
        let Options { heartbeat_interval, .. } = self.entry.options;
        while !self.is_reader() {
            self.entry.store_calls.answer_time.set(None);
            let (times, now) = (self.read_times(), self.entry.now());
            // An entry that has heard of no confirmation yet may have been without one since its start.
            let age = self.entry.confirmations.age(collection, now).unwrap_or(now);
            let answer_time = self.entry.peers.borrow().store_answer_time(heartbeat_interval, now);
            let left = times.own_read_age(answer_time).saturating_sub(age);
            if !left.is_zero() {
                time::sleep((left + CHECK_DELAY).min(ROLE_CHECK_INTERVAL)).await;
                continue;
            }
            let live = self.entry.peers.borrow().live(heartbeat_interval, now).count();
            let entries = u32::try_from(live + 1).unwrap_or(u32::MAX);
            if times.asks_for_itself(entries, self.entry.random_fraction()) {
                self.entry.metrics.store_own_read();
                events::log(
                    events::STORE_ASKED,
                    format_args!(
                        "collection={} age_ms={} entries={entries}",
                        collection.name(),
                        age.as_millis()
                    ),
                );
                return;
            }
            time::sleep(times.round()).await;
        }
    }

    /// Reads a complete collection. Returns the position to watch from; `None` if the call failed.
    async fn read(&self, collection: Collection, calls: &mut Calls) -> Option<Position> {
        let began = self.entry.now();
        let mut call = (self.store.list)(collection);
        let in_time = time::timeout(self.read_times().answer_time(calls.answer_took), &mut call);
        let listing = match in_time.await {
            Ok(listing) => listing,
            Err(_) => {
                // A late answer is used, but the others need not wait for it to ask themselves.
                self.record_unanswered();
                call.await
            }
        };
        match listing {
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
            let answer_time = (position == 0).then_some(calls.answer_took);
            self.entry.store_calls.answer_time.set(answer_time);
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
                age => time::sleep(max_age - age + CHECK_DELAY).await,
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
        self.entry.store_calls.failed_at.set(None);
        self.record_store_answer(now, &self.entry.options.name);
        if !self.entry.store_calls.answers.replace(true) {
            self.notify_changed();
        }
    }

    /// Records that the store answered the entry of this name at a time.
    pub(super) fn record_store_answer(&self, at: Duration, entry: &str) {
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
        self.record_unanswered();
        calls.failures = calls.failures.saturating_add(1);
        let took = self.entry.now().saturating_sub(began);
        let draw = self.entry.random_fraction();
        time::sleep(self.read_times().retry_pause(calls.failures, took, draw)).await;
    }

    /// Records that a call has no answer, or none yet.
    fn record_unanswered(&self) {
        let now = self.entry.now();
        self.entry.store_calls.failed_at.set(Some(now));
        let is_first = self.entry.store_outages.record_failure(&self.entry.options.name, now);
        // The others choose another reader once they know, and tell an outage by it.
        if self.entry.store_calls.answers.replace(false) || is_first {
            self.notify_changed();
        }
    }

    fn read_times(&self) -> ReadTimes {
        let Options { in_force_time, .. } = self.entry.options;
        let evidence_time = self.entry.store_outages.evidence_time().max(MIN_EVIDENCE_TIME);
        ReadTimes::new(in_force_time.min(evidence_time))
    }
}
