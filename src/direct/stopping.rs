//! Decides when a process that received a stop signal may exit.
//!
//! Load pattern: entries are restarted one after the other while callers cache their addresses and
//! keep connections open. The entry keeps serving until no caller should have its address cached
//! any more and no request is in progress. Towards the end of its grace period it refuses new
//! requests.

use std::time::Duration;

/// Time before the end of the grace period at which the process exits in any case, so that it can
/// close its connections.
const EXIT_RESERVE: Duration = Duration::from_millis(500);

/// Share of the grace period after which new requests are refused, so that those in progress can
/// end.
const REFUSE_AFTER_SHARE: f64 = 0.8;

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
    pub fn begin(now: Duration, grace: Duration, address_ttl: Duration) -> Self {
        Self { started: now, grace, address_ttl }
    }

    /// Returns when the stop signal was handled, on the clock of [`Self::begin`].
    pub fn started(&self) -> Duration {
        self.started
    }

    /// Returns the present phase of the stop, given the number of requests in progress.
    pub fn phase(&self, now: Duration, in_progress: usize) -> Phase {
        let elapsed = now.saturating_sub(self.started);
        let exit_at = self.grace.saturating_sub(EXIT_RESERVE);
        let addresses_expire_at =
            (self.address_ttl * ADDRESS_TTL_FACTOR).min(self.grace.mul_f64(REFUSE_AFTER_SHARE));
        if elapsed >= exit_at || (elapsed >= addresses_expire_at && in_progress == 0) {
            return Phase::Exit;
        }
        match elapsed >= self.grace.mul_f64(REFUSE_AFTER_SHARE) {
            true => Phase::Refuse,
            false => Phase::Serve,
        }
    }
}
