//! Decides when a process that was told to stop may exit.
//!
//! Load pattern: entries are restarted one after the other while callers keep addresses and
//! connections. The entry serves on until nobody should know its address any more and nothing is
//! in progress; close to the end of its time it takes no new work.

use std::time::Duration;

/// Time before the kill at which the process exits in any case, for closing its connections.
const RESERVE: Duration = Duration::from_millis(500);

/// The part of the time after which new requests are refused, so that what runs may end.
const REFUSE_AFTER_PART: f64 = 0.8;

/// Callers may keep an answer for this many times its own time.
const KEEP_FACTOR: u32 = 3;

/// Stopping is a graceful stop in progress.
#[derive(Clone, Copy, Debug)]
pub struct Stopping {
    began: Duration,
    grace: Duration,
    keep: Duration,
}

/// Step is what a stopping process does now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Step {
    /// It serves what comes.
    Serve,
    /// It refuses new requests and ends those in progress.
    Refuse,
    /// It exits.
    Exit,
}

impl Stopping {
    /// Begins a stop. `grace` is the time until the process is killed, `keep` the time for which
    /// callers were told to keep addresses.
    pub fn begin(now: Duration, grace: Duration, keep: Duration) -> Self {
        Self { began: now, grace, keep }
    }

    /// Decides by the requests in progress.
    pub fn step(&self, now: Duration, in_progress: usize) -> Step {
        let elapsed = now.saturating_sub(self.began);
        let last = self.grace.saturating_sub(RESERVE);
        let forgotten = (self.keep * KEEP_FACTOR).min(self.grace.mul_f64(REFUSE_AFTER_PART));
        if elapsed >= last || (elapsed >= forgotten && in_progress == 0) {
            return Step::Exit;
        }
        match elapsed >= self.grace.mul_f64(REFUSE_AFTER_PART) {
            true => Step::Refuse,
            false => Step::Serve,
        }
    }
}
