//! How the store has answered the calls of the local entry.

use std::cell::Cell;
use std::time::Duration;

/// The answers of the store to the calls of one entry. Times are those of the entry's clock.
#[derive(Debug, Default)]
pub struct StoreCalls {
    /// True while the store answers.
    pub answers: Cell<bool>,
    /// When it last left a call unanswered; `None` while it answers.
    pub failed_at: Cell<Option<Duration>>,
    /// How long it took for its last answer, beyond the wait for changes; `None` unless the entry is the
    /// one that asks often.
    pub answer_time: Cell<Option<Duration>>,
}
