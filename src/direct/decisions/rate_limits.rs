//! The rates of requests that targets name, and the permits that share them among all entries.
//!
//! Load pattern: an overloaded target names a rate far below what the entries send it together, and
//! no entry knows what the others send. For each target one entry hands out permits at the rate that
//! the target named, and any other entry asks it before it sends a request there. So a rate that one
//! entry does not use is left to the others, and entries that come or go change nothing but whom to
//! ask. See docs/PLATFORM.md.

use std::cmp;
use std::collections::VecDeque;
use std::time::Duration;

use crate::collections::Map;
use crate::direct::known::permit::{Grant, RateReport};

/// Requests per second that a target is sent in any case. A target that gets nothing cannot say that
/// it takes more again.
const MIN_RATE: f64 = 0.2;

/// The time whose permits are saved up while no entry asks for them. One permit is saved in any case.
const BURST_TIME: Duration = Duration::from_millis(500);

/// Time for which a permit can be used.
const PERMIT_TTL: Duration = Duration::from_millis(500);

/// Pause before a target is tried again whose permits another request is asking for.
const ASKING_PAUSE: Duration = Duration::from_millis(5);

/// The shortest time between two permits, in seconds.
const MIN_INTERVAL_S: f64 = 1e-6;

/// The time whose permits are handed out at once.
const BATCH_TIME_S: f64 = 0.05;

/// Time without an answer that names a rate after which an answer without one lifts it. Answers that
/// are under way at the same time may differ.
const LIFT_DELAY: Duration = Duration::from_secs(1);

/// Time for which heartbeats carry what an entry has seen.
const ANNOUNCEMENT_TIME: Duration = Duration::from_secs(3);

/// Targets in one heartbeat; the limit keeps it within one packet.
const MAX_REPORTS: usize = 12;

/// Pause before an entry that got no reply is asked again.
const NO_REPLY_PAUSE: Duration = Duration::from_millis(100);

/// Whether a request may be sent to a target now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Permission {
    /// The target has named no rate, or a permit is at hand.
    Granted,
    /// The entry has to ask for a permit first.
    MustAsk,
    /// No permit is available before this time, on the entry's clock.
    After(Duration),
}

#[derive(Clone, Debug, Default)]
struct Limit {
    /// The rate that the target named; `None` once it is lifted.
    per_s: Option<f64>,
    /// When an answer at any entry last showed the rate, or that there is none.
    observed_at: Duration,
    /// When an answer at this entry last showed it.
    seen_here_at: Option<Duration>,
    /// When each permit at hand expires, oldest first.
    permits: VecDeque<Duration>,
    /// When the entry may ask again.
    asks_after: Duration,
    is_asking: bool,
    /// When the next permit is due, if this entry hands them out.
    next_permit: Option<Duration>,
}

/// The rates of the targets, by target id.
#[derive(Clone, Debug, Default)]
pub struct RateLimits {
    limits: Map<String, Limit>,
}

impl RateLimits {
    /// Records the rate that an answer named, or that it named none. Returns true if the rate in
    /// force has changed.
    pub fn observe(&mut self, target: &str, per_s: Option<f64>, now: Duration) -> bool {
        if per_s.is_none() && self.rate(target).is_none() {
            return false;
        }
        let limit = self.limits.entry(target.to_owned()).or_default();
        let is_fresh = now.saturating_sub(limit.observed_at) < LIFT_DELAY;
        if per_s.is_none() && is_fresh {
            return false;
        }
        limit.seen_here_at = Some(now);
        limit.set(per_s, now)
    }

    /// Adds what another entry has seen. Returns true if the rate in force has changed.
    pub fn merge(&mut self, report: &RateReport, now: Duration) -> bool {
        let observed_at = now.saturating_sub(Duration::from_millis(report.age_ms));
        if report.per_s.is_some_and(|per_s| !is_rate(per_s)) {
            return false;
        }
        if report.per_s.is_none() && !self.limits.contains_key(&report.target) {
            return false;
        }
        let limit = self.limits.entry(report.target.clone()).or_default();
        observed_at > limit.observed_at && limit.set(report.per_s, observed_at)
    }

    /// Returns what this entry has seen lately, for one heartbeat. `sequence` is its number.
    pub fn reports(&self, sequence: u64, now: Duration) -> Vec<RateReport> {
        let mut reports: Vec<RateReport> = self
            .limits
            .iter()
            .filter_map(|(target, limit)| {
                let age = now.saturating_sub(limit.seen_here_at?);
                let age_ms = u64::try_from(age.as_millis()).ok()?;
                let report = RateReport { target: target.clone(), per_s: limit.per_s, age_ms };
                (age < ANNOUNCEMENT_TIME).then_some(report)
            })
            .collect();
        reports.sort_unstable_by(|one, other| one.target.cmp(&other.target));
        let sequence = usize::try_from(sequence).unwrap_or(0);
        let offset = sequence.wrapping_mul(MAX_REPORTS).checked_rem(reports.len()).unwrap_or(0);
        reports.rotate_left(offset);
        reports.truncate(MAX_REPORTS);
        reports
    }

    /// Returns the rate of a target, if it has named one.
    pub fn rate(&self, target: &str) -> Option<f64> {
        self.limits.get(target)?.per_s
    }

    /// Returns the number of targets that have named a rate.
    pub fn limited(&self) -> usize {
        self.limits.values().filter(|limit| limit.per_s.is_some()).count()
    }

    /// Returns whether a request may be sent to a target now.
    pub fn permission(&self, target: &str, now: Duration) -> Permission {
        let Some(limit) = self.limits.get(target).filter(|limit| limit.per_s.is_some()) else {
            return Permission::Granted;
        };
        if limit.permits.iter().any(|until| *until > now) {
            return Permission::Granted;
        }
        match limit.is_asking {
            true => Permission::After(now + ASKING_PAUSE),
            false if limit.asks_after > now => Permission::After(limit.asks_after),
            false => Permission::MustAsk,
        }
    }

    /// Uses up a permit for a request that is about to be sent.
    pub fn take_permit(&mut self, target: &str, now: Duration) {
        if let Some(limit) = self.limits.get_mut(target) {
            limit.permits.retain(|until| *until > now);
            limit.permits.pop_front();
        }
    }

    /// Records that the entry asks for permits, so that it does not ask twice at once.
    pub fn begin_asking(&mut self, target: &str) {
        if let Some(limit) = self.limits.get_mut(target) {
            limit.is_asking = true;
        }
    }

    /// Records the reply, or that nothing waits for it any more.
    pub fn end_asking(&mut self, target: &str, grant: Grant, now: Duration) {
        let Some(limit) = self.limits.get_mut(target) else { return };
        limit.is_asking = false;
        match grant {
            Grant::Permits(count) => {
                limit.permits.retain(|until| *until > now);
                limit.permits.extend((0..count).map(|_| now + PERMIT_TTL));
            }
            Grant::Denied(after) => limit.asks_after = now + after,
            Grant::NoReply => limit.asks_after = now + NO_REPLY_PAUSE,
        }
    }

    /// Hands out permits for a target. `per_s` is its rate as the entry that asks knows it; the lower
    /// one counts if it differs from what is known here.
    pub fn grant(&mut self, target: &str, per_s: f64, now: Duration) -> Grant {
        if !is_rate(per_s) {
            return Grant::Denied(BURST_TIME);
        }
        let limit = self.limits.entry(target.to_owned()).or_default();
        let rate = limit.per_s.map_or(per_s, |known| known.min(per_s)).max(MIN_RATE);
        let interval = Duration::from_secs_f64((1.0 / rate).max(MIN_INTERVAL_S));
        // What an earlier owner has handed out is not known, so the first permit comes later.
        let next = limit.next_permit.unwrap_or(now + interval);
        let saved = cmp::max(BURST_TIME, interval);
        let next = next.clamp(now.saturating_sub(saved), now + interval);
        if next > now {
            limit.next_permit = Some(next);
            return Grant::Denied(next - now);
        }
        let due = (now - next).as_nanos() / interval.as_nanos().max(1);
        let due = u32::try_from(due).unwrap_or(u32::MAX).saturating_add(1);
        let count = due.min(batch(rate));
        limit.next_permit = Some(next + interval * count);
        Grant::Permits(count)
    }

    /// Keeps only the targets for which a function returns true. Late reports may name targets that
    /// have left.
    pub fn retain(&mut self, is_listed: impl Fn(&str) -> bool) {
        self.limits.retain(|target, _| is_listed(target));
    }

    /// Forgets a target that has left or started again.
    pub fn remove(&mut self, target: &str) {
        self.limits.remove(target);
    }
}

impl Limit {
    fn set(&mut self, per_s: Option<f64>, observed_at: Duration) -> bool {
        let changed = self.per_s != per_s;
        (self.per_s, self.observed_at) = (per_s, cmp::max(self.observed_at, observed_at));
        changed
    }
}

/// Returns true for a number that can be a rate.
pub fn is_rate(per_s: f64) -> bool {
    per_s.is_finite() && per_s >= 0.0
}

/// Returns the number of permits that are handed out at once.
fn batch(rate: f64) -> u32 {
    const MAX_BATCH: u32 = 100;
    (1..=MAX_BATCH).rev().find(|count| f64::from(*count) <= rate * BATCH_TIME_S).unwrap_or(1)
}
