//! A value whose changes show only after a while.

use std::collections;
use std::time::Instant;

/// Lagged holds what shows now and the changes that are still to show.
pub struct Lagged<T> {
    shown: T,
    pending: collections::VecDeque<(Instant, T)>,
}

impl<T> Lagged<T> {
    /// Returns a value that shows at once.
    pub fn new(shown: T) -> Self {
        Self { shown, pending: collections::VecDeque::new() }
    }

    /// Lets `value` show from `shows_at` on; it replaces changes that would show later.
    pub fn set(&mut self, value: T, shows_at: Instant) {
        self.pending.retain(|(at, _)| *at <= shows_at);
        self.pending.push_back((shows_at, value));
    }

    /// Returns what shows at `now`.
    pub fn get(&mut self, now: Instant) -> &T {
        while self.pending.front().is_some_and(|(at, _)| *at <= now) {
            if let Some((_, value)) = self.pending.pop_front() {
                self.shown = value;
            }
        }
        &self.shown
    }
}
