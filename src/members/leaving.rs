//! How long an entry that leaves must keep serving.
//!
//! Other entries include it in their answers to callers only while its last heartbeat without the
//! leaving flag is recent, and no heartbeat is dated later than it was sent. So they stop naming it
//! within [`table::Timing::dead_after`], even if the flag never arrives: see
//! docs/CONFIGURATION.md.

use std::time::Duration;

use crate::members::table;

/// Maximum time for an answer with addresses to reach its caller.
pub const MAX_ANSWER_DELAY: Duration = Duration::from_secs(2);

/// Allowance for the drift between the clocks of two entries until the last answer that names the
/// leaving one.
pub const CLOCK_MARGIN: Duration = Duration::from_millis(200);

/// A planned stop of an entry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Leaving {
    /// When its heartbeats began to carry the leaving flag.
    pub since: Duration,
    /// Callers that were given its address may connect until then.
    pub serve_until: Duration,
}

impl Leaving {
    /// Begins a planned stop. From `now` on the entry must leave itself out of its answers, and
    /// each of its heartbeats must carry the leaving flag. `keep` is how long callers may use an
    /// address.
    pub fn begin(now: Duration, keep: Duration, timing: &table::Timing) -> Self {
        let last_named_at = now + timing.dead_after + CLOCK_MARGIN;
        Self { since: now, serve_until: last_named_at + MAX_ANSWER_DELAY + keep }
    }

    /// Returns true if the entry may exit, given the number of streams in progress.
    pub fn may_exit(&self, now: Duration, streams: usize) -> bool {
        now > self.serve_until && streams == 0
    }
}
