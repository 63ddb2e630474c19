//! The targets that disappeared from the store's list around an outage of the store, and may register
//! again.

use std::cell::RefCell;

use crate::collections::Map;
use crate::direct::known::store_outages::Absence;
use crate::direct::known::target::Target;

/// The targets that are off the list around a store outage and not yet removed, with the store's
/// revisions of their removals.
#[derive(Debug, Default)]
pub struct PendingRemovals(RefCell<Map<String, u64>>);

impl PendingRemovals {
    /// Drops the removals of a former era of the store.
    pub fn clear(&self) {
        self.0.borrow_mut().clear();
    }

    /// Cancels the pending removal of a target that is on the list again.
    pub fn cancel(&self, key: &str) {
        self.0.borrow_mut().remove(key);
    }

    /// Returns true if the removal of a target that went off the list at a revision is deferred. One
    /// that was leaving is removed at once in any case.
    pub fn defer(&self, key: &str, target: &Target, revision: u64, absence: Absence) -> bool {
        let deferred = absence == Absence::MayHaveLapsed && !target.leaving;
        if deferred {
            self.0.borrow_mut().insert(key.to_owned(), revision);
        }
        deferred
    }

    /// Takes out the removals that are due, as keys with the revisions of their removals.
    pub fn due(&self, absence: Absence) -> Vec<(String, u64)> {
        match absence {
            Absence::Gone => self.0.borrow_mut().drain().collect(),
            Absence::MayHaveLapsed => Vec::new(),
        }
    }
}
