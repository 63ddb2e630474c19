//! Decides what a process that received a stop signal still admits, and when it may exit.
//!
//! Load pattern: entries are restarted one after the other while callers cache their addresses,
//! keep connections open, and open new ones for as long as the process accepts them. The entry keeps
//! serving until no caller should have its address cached any more and no request is in progress.
//! It refuses a request at once if the answer might not end before the process must exit, since
//! other entries can serve it.

use std::time::Duration;

/// Time before the end of the grace period at which the process exits in any case, so that it can
/// close its connections.
const EXIT_RESERVE: Duration = Duration::from_millis(500);

/// Limit of the reserve as a share of the grace period.
const MAX_EXIT_RESERVE_SHARE: f64 = 1.0 / 6.0;

/// Share of the grace period after which new requests are refused, so that those in progress can
/// end.
const REFUSE_AFTER_SHARE: f64 = 0.8;

/// Factor by which an answer may take longer than expected.
const ANSWER_TIME_MARGIN: f64 = 1.5;

/// The longest time after the stop signal for which requests are admitted by an estimate. It fails
/// for single requests, as when a target turns slow, and fewer of them are cut then.
const MAX_ESTIMATED_ADMISSION: Duration = Duration::from_secs(3);

/// Multiple of the address TTL for which callers may in fact use an answer.
const ADDRESS_TTL_FACTOR: u32 = 3;

/// A graceful stop in progress.
#[derive(Clone, Copy, Debug)]
pub struct Stopping {
    started: Duration,
    grace: Duration,
    address_ttl: Duration,
}

/// What a stopping process does now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Phase {
    /// It serves all requests, new ones too.
    Serve,
    /// It refuses new requests and finishes those in progress.
    Refuse,
    /// It exits, also if requests are in progress.
    Exit,
}

impl Stopping {
    /// Starts a stop. `grace` is the time until the process is killed, `address_ttl` the time for
    /// which callers were told to cache addresses.
    pub fn begin(started: Duration, grace: Duration, address_ttl: Duration) -> Self {
        Self { started, grace, address_ttl }
    }

    /// Returns the earliest time at which the stop signal may have come, on the clock of
    /// [`Self::begin`].
    pub fn started(&self) -> Duration {
        self.started
    }

    /// Returns true if a new request is admitted.
    ///
    /// A request whose deadline is before the exit is, until [`Phase::Refuse`]. One with a later
    /// deadline is admitted while callers were told to cache the address, if its answer is expected
    /// to end in time. `time_left` is the time until its deadline, and `expected` the time within
    /// which nearly all recent answers ended; `None` if there were none.
    pub fn admits(&self, now: Duration, time_left: Duration, expected: Option<Duration>) -> bool {
        let until_exit = self.exit_at().saturating_sub(now);
        if time_left <= until_exit {
            return true;
        }
        let estimated_until = self.address_ttl.min(MAX_ESTIMATED_ADMISSION);
        let may_estimate = now.saturating_sub(self.started) < estimated_until;
        let ends_in_time = |time: Duration| time.mul_f64(ANSWER_TIME_MARGIN) <= until_exit;
        may_estimate && expected.is_some_and(ends_in_time)
    }

    /// Returns when the process exits in any case.
    fn exit_at(&self) -> Duration {
        let reserve = EXIT_RESERVE.min(self.grace.mul_f64(MAX_EXIT_RESERVE_SHARE));
        self.started + self.grace.saturating_sub(reserve)
    }

    /// Returns the present phase of the stop, given the number of requests in progress.
    pub fn phase(&self, now: Duration, in_progress: usize) -> Phase {
        let elapsed = now.saturating_sub(self.started);
        let addresses_expire_at =
            (self.address_ttl * ADDRESS_TTL_FACTOR).min(self.grace.mul_f64(REFUSE_AFTER_SHARE));
        if now >= self.exit_at() || (elapsed >= addresses_expire_at && in_progress == 0) {
            return Phase::Exit;
        }
        match elapsed >= self.grace.mul_f64(REFUSE_AFTER_SHARE) {
            true => Phase::Refuse,
            false => Phase::Serve,
        }
    }
}
