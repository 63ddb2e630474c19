//! Admission of calls to the store: rate limits, injected faults and call counts.

use std::collections;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use super::error::{KvError, Result};

const RATE_WINDOW: Duration = Duration::from_secs(1);

/// A kind of call, named after its route.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Call {
    /// `/v3/kv/range`
    Range,
    /// `/v3/kv/put`
    Put,
    /// `/v3/kv/deleterange`
    DeleteRange,
    /// `/v3/kv/txn`
    Txn,
    /// `/v3/lease/grant`
    LeaseGrant,
    /// `/v3/lease/keepalive`
    LeaseKeepAlive,
    /// `/v3/lease/revoke`
    LeaseRevoke,
    /// `/v3/watch`
    Watch,
}

/// The rate limit against which a call counts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Access {
    /// The call changes nothing.
    Read,
    /// The call may change something; its response can be lost on request.
    Write,
}

/// The faults being injected; each request to `/control/faults` replaces all of them.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Connections are closed without a response, and watches are aborted.
    pub down: bool,
    /// Additional delay of every call and of every message of a watch, in milliseconds.
    pub slow_ms: u64,
    /// Number of further writes that take effect but whose responses are lost.
    pub lose_answers: u64,
    /// The service is alternately up and down for this many milliseconds, up first; zero for
    /// always up.
    pub flap_ms: u64,
}

/// Calls to the service since it started.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Counts {
    /// Calls by kind, including refused ones.
    pub calls: collections::BTreeMap<Call, u64>,
    /// Calls refused by the rate limits.
    pub refused: u64,
    /// Calls that arrived while the service was down.
    pub cut: u64,
    /// Writes that took effect but whose response was lost.
    pub lost_answers: u64,
    /// The largest number of reads in one second, including refused ones.
    pub peak_reads_per_second: u64,
    /// The largest number of writes in one second, including refused ones.
    pub peak_writes_per_second: u64,
    /// Watches that are open at present.
    pub waiting_watches: u64,
}

struct RateLimiter {
    limit: u64,
    window_start: Instant,
    requested: u64,
    peak: u64,
}

impl RateLimiter {
    fn new(limit: u64, now: Instant) -> Self {
        Self { limit, window_start: now, requested: 0, peak: 0 }
    }

    fn acquire(&mut self, now: Instant) -> Result<()> {
        if self.requested == 0 || now.duration_since(self.window_start) >= RATE_WINDOW {
            self.window_start = now;
            self.requested = 0;
        }
        self.requested += 1;
        self.peak = self.peak.max(self.requested);
        if self.requested > self.limit {
            return Err(KvError::RateLimited { limit: self.limit });
        }
        Ok(())
    }
}

/// Decides for each call whether it reaches the store.
pub struct Admission {
    faults: Faults,
    faults_since: Instant,
    reads: RateLimiter,
    writes: RateLimiter,
    counts: Counts,
}

impl Admission {
    /// Returns an instance without faults, with these rate limits.
    pub fn new(reads_per_second: u64, writes_per_second: u64, now: Instant) -> Self {
        Self {
            faults: Faults::default(),
            faults_since: now,
            reads: RateLimiter::new(reads_per_second, now),
            writes: RateLimiter::new(writes_per_second, now),
            counts: Counts::default(),
        }
    }

    /// Counts a call and returns the delay to apply before it is carried out.
    ///
    /// # Errors
    ///
    /// Returns [`KvError::NoAnswer`] while the service is down and [`KvError::RateLimited`] over
    /// the rate limit. A call counts against the limit in either case.
    pub fn admit(&mut self, call: Call, access: Access, now: Instant) -> Result<Duration> {
        *self.counts.calls.entry(call).or_default() += 1;
        let limiter = match access {
            Access::Read => &mut self.reads,
            Access::Write => &mut self.writes,
        };
        let acquired = limiter.acquire(now);
        self.check_available(now).inspect_err(|_| self.counts.cut += 1)?;
        acquired.inspect_err(|_| self.counts.refused += 1)?;
        Ok(self.delay())
    }

    /// Checks that the service is up.
    ///
    /// # Errors
    ///
    /// Returns [`KvError::NoAnswer`] while it is down.
    pub fn check_available(&self, now: Instant) -> Result<()> {
        if self.faults.down || self.in_down_phase(now) {
            return Err(KvError::NoAnswer);
        }
        Ok(())
    }

    /// Checks whether the response to a call may be sent, and uses up one of the responses to be
    /// lost if not.
    ///
    /// # Errors
    ///
    /// Returns [`KvError::NoAnswer`] if the response to this write is to be lost.
    pub fn check_response(&mut self, access: Access) -> Result<()> {
        if access == Access::Read || self.faults.lose_answers == 0 {
            return Ok(());
        }
        self.faults.lose_answers -= 1;
        self.counts.lost_answers += 1;
        Err(KvError::NoAnswer)
    }

    /// Returns the additional delay of calls and watch messages.
    pub fn delay(&self) -> Duration {
        Duration::from_millis(self.faults.slow_ms)
    }

    /// Returns true if the service alternates between up and down.
    pub fn is_flapping(&self) -> bool {
        self.faults.flap_ms > 0
    }

    /// Replaces the faults; the first up phase of a flapping service starts at `now`.
    pub fn set_faults(&mut self, faults: Faults, now: Instant) {
        self.faults = faults;
        self.faults_since = now;
    }

    /// Records that a watch was opened.
    pub fn watch_opened(&mut self) {
        self.counts.waiting_watches += 1;
    }

    /// Records that a watch was closed.
    pub fn watch_closed(&mut self) {
        self.counts.waiting_watches -= 1;
    }

    /// Returns the counts, including the peaks of the rate limiters.
    pub fn counts(&self) -> Counts {
        Counts {
            peak_reads_per_second: self.reads.peak,
            peak_writes_per_second: self.writes.peak,
            ..self.counts.clone()
        }
    }

    fn in_down_phase(&self, now: Instant) -> bool {
        let phases = now.duration_since(self.faults_since).as_millis();
        phases.checked_div(u128::from(self.faults.flap_ms)).is_some_and(|phase| phase % 2 == 1)
    }
}
