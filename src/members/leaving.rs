//! Until when an entry that leaves must serve.
//!
//! Another entry names it only while its last heartbeat without the leaving flag is young, and
//! each heartbeat is dated no later than it was sent. So the naming ends within the limit for
//! the dead, whether or not the flag arrives: see docs/CONFIGURATION.md.

use std::time::Duration;

use crate::members::table;

/// How long an answer with addresses may take to its caller.
pub const ANSWER_DELAY: Duration = Duration::from_secs(2);

/// What two clocks may drift apart meanwhile.
pub const CLOCK_MARGIN: Duration = Duration::from_millis(200);

/// Leaving is a planned stop of an entry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Leaving {
    /// When its heartbeats began to say so.
    pub since: Duration,
    /// Callers that keep its address may come until then.
    pub serve_until: Duration,
}

impl Leaving {
    /// Begins a planned stop. From now on the entry names itself to nobody and each of its
    /// heartbeats carries the flag.
    pub fn begin(now: Duration, keep: Duration, timing: &table::Timing) -> Self {
        let last_naming = now + timing.dead_after + CLOCK_MARGIN;
        Self { since: now, serve_until: last_naming + ANSWER_DELAY + keep }
    }

    /// Tells whether the entry may exit, given its streams in progress.
    pub fn may_exit(&self, now: Duration, streams: usize) -> bool {
        now > self.serve_until && streams == 0
    }
}
