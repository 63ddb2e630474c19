//! Decides when a target that is off the list is taken as gone.
//!
//! Load pattern: the store is away for a while, and the leases of sound targets run out meanwhile.
//! They are back on the list soon after the store's return; to take them off at once would leave
//! callers without targets for that time.

use std::cell::{Cell, RefCell};
use std::time::Duration;

use crate::collections::Map;
use crate::direct::targets::Target;

/// Time after the store's return within which living targets are on the list again, as the
/// platform promises, with a reserve for the way here.
const RETURN_TIME: Duration = Duration::from_millis(2_300);

/// Removal is what follows a target's removal from the list.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Removal {
    /// It is gone.
    Now,
    /// It may come back until this time.
    NotBefore(Duration),
}

/// Waiting is a target that is off the list for now.
#[derive(Clone, Copy, Debug)]
struct Waiting {
    until: Duration,
    revision: u64,
}

/// Lapses follows the store's absences and the targets that are off the list for now.
#[derive(Debug, Default)]
pub struct Lapses {
    away: Cell<bool>,
    back_at: Cell<Option<Duration>>,
    waiting: RefCell<Map<String, Waiting>>,
}

impl Lapses {
    /// Notes that the store does not answer.
    pub fn store_away(&self) {
        self.away.set(true);
    }

    /// Notes that the store answers again.
    pub fn store_back(&self, now: Duration) {
        self.away.set(false);
        self.back_at.set(Some(now));
        for waiting in self.waiting.borrow_mut().values_mut() {
            waiting.until = now + RETURN_TIME;
        }
    }

    /// Notes that a target is on the list.
    pub fn listed(&self, key: &str) {
        self.waiting.borrow_mut().remove(key);
    }

    /// Decides about a target that went off the list at a revision. One that was leaving is gone
    /// in any case.
    pub fn removed(&self, key: &str, target: &Target, revision: u64, now: Duration) -> Removal {
        let since = match (self.away.get(), self.back_at.get()) {
            (true, _) => now,
            (false, Some(at)) if now.saturating_sub(at) < RETURN_TIME => at,
            (false, _) => return Removal::Now,
        };
        if target.leaving {
            return Removal::Now;
        }
        let until = since + RETURN_TIME;
        self.waiting.borrow_mut().insert(key.to_owned(), Waiting { until, revision });
        Removal::NotBefore(until)
    }

    /// Returns the keys whose time is over while the store answers, with the revisions of their
    /// removals.
    pub fn due(&self, now: Duration) -> Vec<(String, u64)> {
        if self.away.get() {
            return Vec::new();
        }
        let mut waiting = self.waiting.borrow_mut();
        let due: Vec<(String, u64)> = waiting
            .iter()
            .filter(|(_, waiting)| waiting.until <= now)
            .map(|(key, waiting)| (key.clone(), waiting.revision))
            .collect();
        for (key, _) in &due {
            waiting.remove(key);
        }
        due
    }
}
