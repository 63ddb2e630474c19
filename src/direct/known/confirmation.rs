//! When the store last confirmed what an entry knows.
//!
//! An entry that hears of no change cannot tell whether there was none or whether it was lost.
//! So it keeps the time of the last confirmation of each collection: an answer of the store, or the
//! heartbeat of an entry that knows the same and states its own age. Logs and metrics show that age.
//! See docs/PLATFORM.md.

use std::cell::Cell;
use std::time::Duration;

use crate::direct::known::store::Collection;

/// The last confirmation of one collection.
#[derive(Debug, Default)]
struct Confirmation {
    at: Cell<Option<Duration>>,
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

    /// Records that what this entry knows of a collection was the store's state at a time.
    pub fn record(&self, collection: Collection, at: Duration) {
        let last = &self.of(collection).at;
        last.set(last.get().max(Some(at)));
    }

    /// Returns the time since the last confirmation; `None` before the first one.
    pub fn age(&self, collection: Collection, now: Duration) -> Option<Duration> {
        Some(now.saturating_sub(self.of(collection).at.get()?))
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
