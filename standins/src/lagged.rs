//! A value whose changes become visible with a delay.

use std::collections;
use std::time::Instant;

/// A value with the changes that are not yet visible.
pub struct Lagged<T> {
    visible: T,
    pending: collections::VecDeque<(Instant, T)>,
}

impl<T> Lagged<T> {
    /// Returns a value that is visible immediately.
    pub fn new(visible: T) -> Self {
        Self { visible, pending: collections::VecDeque::new() }
    }

    /// Makes `value` visible from `visible_at` on. It replaces pending changes that would become
    /// visible later.
    pub fn set(&mut self, value: T, visible_at: Instant) {
        self.pending.retain(|(at, _)| *at <= visible_at);
        self.pending.push_back((visible_at, value));
    }

    /// Returns the value that is visible at `now`.
    pub fn get(&mut self, now: Instant) -> &T {
        while self.pending.front().is_some_and(|(at, _)| *at <= now) {
            if let Some((_, value)) = self.pending.pop_front() {
                self.visible = value;
            }
        }
        &self.visible
    }
}
