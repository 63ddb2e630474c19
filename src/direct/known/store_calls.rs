//! How the store has answered the calls of the local entry.

use std::cell::Cell;
use std::time::Duration;

use crate::direct::known::confirmation::{AnswerId, HeardAnswers};

/// Which entries the store answers, as the local one knows.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Served {
    /// All that have called it.
    #[default]
    All,
    /// Some of those that have called it lately.
    Some,
    /// None, so that leases may expire.
    Nobody,
}

impl Served {
    /// Returns the name that logs use.
    pub fn name(self) -> &'static str {
        match self {
            Self::All => "all",
            Self::Some => "some",
            Self::Nobody => "nobody",
        }
    }
}

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
    /// A random number of this process.
    origin: u64,
    /// The number of answers so far.
    count: Cell<u64>,
    /// The answers to other entries that this one has heard of.
    pub heard: HeardAnswers,
    /// Which entries the store answered when that was logged last.
    pub served: Cell<Served>,
}

impl StoreCalls {
    /// Returns the record of a process that has not called yet. `origin` is a random number.
    pub fn new(origin: u64) -> Self {
        Self { origin: origin.max(1), ..Self::default() }
    }

    /// Returns the id of an answer that has just come.
    pub fn next_answer(&self) -> AnswerId {
        self.count.set(self.count.get().saturating_add(1));
        let id = AnswerId { origin: self.origin, number: self.count.get() };
        // Others tell of it later.
        self.heard.record(id);
        id
    }
}
