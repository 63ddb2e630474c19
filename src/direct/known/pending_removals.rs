//! Decides when a target that disappeared from the store's list is removed.
//!
//! Load pattern: the store is unavailable for a while, and the leases of healthy targets expire
//! meanwhile. They register again soon after the store recovers; removing them at once would leave
//! callers without targets for that time.

use std::cell::{Cell, RefCell};
use std::time::Duration;

use crate::collections::Map;
use crate::direct::known::target::Target;

/// Time after the store's recovery within which running targets are on the list again, as the
/// platform guarantees, with a reserve for the change to reach this entry.
const REREGISTRATION_TIME: Duration = Duration::from_millis(2_300);

/// When a target that disappeared from the list is removed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Removal {
    /// It is removed at once.
    Now,
    /// It is kept until this time on the entry's clock at least, and removed then if the store
    /// answers and does not list it again.
    NotBefore(Duration),
}

/// A target that is off the list but not yet removed.
#[derive(Clone, Copy, Debug)]
struct Pending {
    until: Duration,
    /// The store's revision of the removal.
    revision: u64,
}

/// The targets that are off the list around a store outage and not yet removed.
#[derive(Debug, Default)]
pub struct PendingRemovals {
    store_unavailable: Cell<bool>,
    /// The end of the last outage; `None` if there was none.
    available_since: Cell<Option<Duration>>,
    pending: RefCell<Map<String, Pending>>,
}

impl PendingRemovals {
    /// Records that the store does not answer.
    pub fn record_store_unavailable(&self) {
        self.store_unavailable.set(true);
    }

    /// Records that the store answers again; pending targets get the full time from here.
    pub fn record_store_available(&self, now: Duration) {
        self.store_unavailable.set(false);
        self.available_since.set(Some(now));
        for pending in self.pending.borrow_mut().values_mut() {
            pending.until = now + REREGISTRATION_TIME;
        }
    }

    /// Records that the store came back from an older copy, at the latest at `now`: targets that the
    /// copy does not list get the full time from here, and removals of the former era are dropped.
    pub fn record_store_returned(&self, now: Duration) {
        self.pending.borrow_mut().clear();
        self.record_store_available(now);
    }

    /// Cancels the pending removal of a target that is on the list again.
    pub fn cancel(&self, key: &str) {
        self.pending.borrow_mut().remove(key);
    }

    /// Decides when a target that went off the list at a revision is removed. One that was leaving
    /// is removed at once in any case.
    pub fn decide(&self, key: &str, target: &Target, revision: u64, now: Duration) -> Removal {
        let since = match (self.store_unavailable.get(), self.available_since.get()) {
            (true, _) => now,
            (false, Some(at)) if now.saturating_sub(at) < REREGISTRATION_TIME => at,
            (false, _) => return Removal::Now,
        };
        if target.leaving {
            return Removal::Now;
        }
        let until = since + REREGISTRATION_TIME;
        self.pending.borrow_mut().insert(key.to_owned(), Pending { until, revision });
        Removal::NotBefore(until)
    }

    /// Takes out the removals that are due, as keys with the revisions of their removals. None is
    /// due while the store does not answer.
    pub fn due(&self, now: Duration) -> Vec<(String, u64)> {
        if self.store_unavailable.get() {
            return Vec::new();
        }
        let mut pending = self.pending.borrow_mut();
        let due: Vec<(String, u64)> = pending
            .iter()
            .filter(|(_, pending)| pending.until <= now)
            .map(|(key, pending)| (key.clone(), pending.revision))
            .collect();
        for (key, _) in &due {
            pending.remove(key);
        }
        due
    }
}
