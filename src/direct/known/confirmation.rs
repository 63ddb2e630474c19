//! When the store last confirmed what an entry knows.
//!
//! An entry that hears of no change cannot tell whether there was none or whether it was lost.
//! So it keeps the time of the last confirmation of each collection: an answer of the store, or the
//! heartbeat of an entry that knows the same and states its own age. Logs and metrics show that age.
//! See docs/PLATFORM.md.
//!
//! Load pattern: heartbeats pass an age on from entry to entry, and the time that each of them is under way
//! is missing from it. One host that is slow, or was frozen, would make old news young again, and the others
//! would take them from it for news. So an age belongs to one answer of the store, of which an entry keeps
//! the time at which it first heard.

use std::cell::{Cell, RefCell};
use std::time::Duration;

use crate::collections::Map;
use crate::direct::known::store::Collection;

/// Processes whose answers are remembered, above the number of those that ask at once.
const MAX_ORIGINS: usize = 256;

/// An answer of the store to one process, which others hear of by heartbeats.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AnswerId {
    /// A random number of the process that had the answer; 0 for one that states none.
    pub origin: u64,
    /// The number of the answer among those of that process.
    pub number: u64,
}

/// The last answers to other processes that an entry has heard of.
#[derive(Debug, Default)]
pub struct HeardAnswers(RefCell<Map<u64, u64>>);

impl HeardAnswers {
    /// Records that an answer was heard of. Returns true if it is later than those heard of before from the
    /// same process.
    pub fn record(&self, id: AnswerId) -> bool {
        if id.origin == 0 {
            return true;
        }
        let mut last = self.0.borrow_mut();
        if last.get(&id.origin).is_some_and(|number| *number >= id.number) {
            return false;
        }
        if last.len() >= MAX_ORIGINS && !last.contains_key(&id.origin) {
            last.clear();
        }
        last.insert(id.origin, id.number);
        true
    }
}

/// The last confirmation of one collection.
#[derive(Debug, Default)]
struct Confirmation {
    /// The latest answer that confirms it, and when that was given.
    last: Cell<Option<(AnswerId, Duration)>>,
    heard: HeardAnswers,
    overdue: Cell<bool>,
}

/// The last confirmations of all collections. Times are those of the entry's clock.
#[derive(Debug, Default)]
pub struct Confirmations {
    configuration: Confirmation,
    targets: Confirmation,
}

impl Confirmations {
    fn of(&self, collection: Collection) -> &Confirmation {
        match collection {
            Collection::Configuration => &self.configuration,
            Collection::Targets => &self.targets,
        }
    }

    /// Records that what this entry knows of a collection was the store's state when it gave an answer. An
    /// answer that is known already changes nothing.
    pub fn record(&self, collection: Collection, answer: AnswerId, at: Duration) {
        let Confirmation { last, heard, .. } = self.of(collection);
        if heard.record(answer) && last.get().is_none_or(|(_, known)| known < at) {
            last.set(Some((answer, at)));
        }
    }

    /// Returns the latest answer that confirmed a collection; `None` before the first one.
    pub fn answer(&self, collection: Collection) -> Option<AnswerId> {
        self.of(collection).last.get().map(|(answer, _)| answer)
    }

    /// Returns the time since the last confirmation; `None` before the first one.
    pub fn age(&self, collection: Collection, now: Duration) -> Option<Duration> {
        self.of(collection).last.get().map(|(_, at)| now.saturating_sub(at))
    }

    /// Returns true once the age of a collection exceeds a limit, and false once it is back within
    /// it; `None` if neither has changed since the last call.
    pub fn overdue_change(
        &self,
        collection: Collection,
        limit: Duration,
        now: Duration,
    ) -> Option<bool> {
        let overdue = self.age(collection, now)? > limit;
        let changed = self.of(collection).overdue.replace(overdue) != overdue;
        changed.then_some(overdue)
    }
}

/// Returns an age in milliseconds as logs state it; `-` before the first confirmation.
pub fn format_age(age: Option<Duration>) -> String {
    age.map_or("-".to_owned(), |age| age.as_millis().to_string())
}
