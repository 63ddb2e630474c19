//! What stands before the store: rate limits, faults on request, and counts of every call.

use std::collections;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use super::error::{KvError, Result};

const RATE_WINDOW: Duration = Duration::from_secs(1);

/// Call is one kind of call.
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

/// Access tells which of the two rate limits a call counts against.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Access {
    /// It changes nothing.
    Read,
    /// It may change something; its answer can be lost.
    Write,
}

/// Faults is what goes wrong at present; each order replaces all of it.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Connections are closed without an answer and watches are cut.
    pub down: bool,
    /// Every call and every event of a watch takes this much longer.
    pub slow_ms: u64,
    /// The next so many writes take effect, but their answers are lost.
    pub lose_answers: u64,
    /// The service is up and down by turns of this length, up first; zero for never.
    pub flap_ms: u64,
}

/// Counts is what was asked of the service since it started.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Counts {
    /// Calls by kind, refused ones included.
    pub calls: collections::BTreeMap<Call, u64>,
    /// Calls refused by the rate limits.
    pub refused: u64,
    /// Calls that found the service down.
    pub cut: u64,
    /// Writes that took effect without an answer.
    pub lost_answers: u64,
    /// The most reads asked for in one second.
    pub peak_reads_per_second: u64,
    /// The most writes asked for in one second.
    pub peak_writes_per_second: u64,
    /// Watches that are open now.
    pub waiting_watches: u64,
}

struct Meter {
    limit: u64,
    window_start: Instant,
    asked: u64,
    peak: u64,
}

impl Meter {
    fn new(limit: u64, now: Instant) -> Self {
        Self { limit, window_start: now, asked: 0, peak: 0 }
    }

    fn take(&mut self, now: Instant) -> Result<()> {
        if self.asked == 0 || now.duration_since(self.window_start) >= RATE_WINDOW {
            self.window_start = now;
            self.asked = 0;
        }
        self.asked += 1;
        self.peak = self.peak.max(self.asked);
        if self.asked > self.limit {
            return Err(KvError::RateLimited { limit: self.limit });
        }
        Ok(())
    }
}

/// Gate decides for each call whether it reaches the store.
pub struct Gate {
    faults: Faults,
    faults_since: Instant,
    reads: Meter,
    writes: Meter,
    counts: Counts,
}

impl Gate {
    /// Returns a gate without faults.
    pub fn new(reads_per_second: u64, writes_per_second: u64, now: Instant) -> Self {
        Self {
            faults: Faults::default(),
            faults_since: now,
            reads: Meter::new(reads_per_second, now),
            writes: Meter::new(writes_per_second, now),
            counts: Counts::default(),
        }
    }

    /// Counts a call and returns how long it takes.
    ///
    /// # Errors
    ///
    /// Refuses it while the service is down and over the rate limit.
    pub fn admit(&mut self, call: Call, access: Access, now: Instant) -> Result<Duration> {
        *self.counts.calls.entry(call).or_default() += 1;
        let meter = match access {
            Access::Read => &mut self.reads,
            Access::Write => &mut self.writes,
        };
        let taken = meter.take(now);
        self.check_up(now).inspect_err(|_| self.counts.cut += 1)?;
        taken.inspect_err(|_| self.counts.refused += 1)?;
        Ok(self.delay())
    }

    /// Checks that the service is up.
    ///
    /// # Errors
    ///
    /// Returns [`KvError::NoAnswer`] while it is down.
    pub fn check_up(&self, now: Instant) -> Result<()> {
        if self.faults.down || self.in_down_turn(now) {
            return Err(KvError::NoAnswer);
        }
        Ok(())
    }

    /// Takes one of the answers that are to be lost.
    ///
    /// # Errors
    ///
    /// Returns [`KvError::NoAnswer`] where this write's answer is lost.
    pub fn check_answer(&mut self, access: Access) -> Result<()> {
        if access == Access::Read || self.faults.lose_answers == 0 {
            return Ok(());
        }
        self.faults.lose_answers -= 1;
        self.counts.lost_answers += 1;
        Err(KvError::NoAnswer)
    }

    /// Returns how much longer everything takes.
    pub fn delay(&self) -> Duration {
        Duration::from_millis(self.faults.slow_ms)
    }

    /// Returns whether the service goes up and down by itself.
    pub fn flaps(&self) -> bool {
        self.faults.flap_ms > 0
    }

    /// Replaces the faults.
    pub fn set_faults(&mut self, faults: Faults, now: Instant) {
        self.faults = faults;
        self.faults_since = now;
    }

    /// Counts a watch that opens.
    pub fn watch_opened(&mut self) {
        self.counts.waiting_watches += 1;
    }

    /// Counts a watch that ends.
    pub fn watch_closed(&mut self) {
        self.counts.waiting_watches -= 1;
    }

    /// Returns all counts.
    pub fn counts(&self) -> Counts {
        Counts {
            peak_reads_per_second: self.reads.peak,
            peak_writes_per_second: self.writes.peak,
            ..self.counts.clone()
        }
    }

    fn in_down_turn(&self, now: Instant) -> bool {
        let turns = now.duration_since(self.faults_since).as_millis();
        turns.checked_div(u128::from(self.faults.flap_ms)).is_some_and(|turn| turn % 2 == 1)
    }
}
