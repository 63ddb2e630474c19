//! The slot that a request occupies at a target.

use std::rc::Rc;

use crate::direct::state::entry::Entry;

/// A slot at a target that one request occupies until this is dropped.
pub struct Slot {
    entry: Rc<Entry>,
    target: String,
    /// True once the target has shown that it no longer runs the request, or never did.
    ended: bool,
}

impl Slot {
    /// Occupies a slot at a target, and uses up a permit if the target has named a rate.
    pub fn acquire(entry: &Rc<Entry>, target: &str) -> Self {
        let mut targets = entry.targets.borrow_mut();
        targets.request_started(target);
        targets.limits.take_permit(target, entry.now());
        Self { entry: Rc::clone(entry), target: target.to_owned(), ended: false }
    }

    /// Records that the target does not run the request any more. A slot that is dropped before
    /// counts as given up.
    pub fn record_ended(&mut self) {
        self.ended = true;
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let mut targets = self.entry.targets.borrow_mut();
        match self.ended {
            true => targets.request_ended(&self.target),
            false => targets.request_abandoned(&self.target, self.entry.now()),
        }
        self.entry.slots_changed.notify_one();
    }
}
