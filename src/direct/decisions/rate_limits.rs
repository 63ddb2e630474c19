//! The rates of requests that targets name, and the permits that share them among all entries.
//!
//! Load pattern: an overloaded target names a rate far below what the entries send it together, and
//! no entry knows what the others send. For each target one entry hands out permits at the rate that
//! the target named, and any other entry asks it before it sends a request there. So a rate that one
//! entry does not use is left to the others, and entries that come or go change nothing but whom to
//! ask. See docs/PLATFORM.md.
//!
//! Cold targets (see [`warmth`](crate::direct::decisions::warmth)) share their permits in the same way,
//! but each single second counts for them. So no permits are saved up, they can be used for a short
//! time only, and an entry that may not be the only one that hands them out hands out a part. Those
//! that are cut off from most others hand out the part of the fleet that they hear.

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

/// The same for a cold target.
const COLD_PERMIT_TTL: Duration = Duration::from_millis(100);

/// Time after which all entries agree which of them hands out the permits of a target, once entries
/// have come or gone.
const HANDOVER_TIME: Duration = Duration::from_millis(1_500);

/// Time after its start within which a process, which has not heard of most others, hands out no permits.
const INTRODUCTION_TIME: Duration = Duration::from_secs(1);

/// The share of a cold target's permits that an entry hands out while another one may hand them out
/// too.
const SHARED_PART: f64 = 1.0 / 3.0;

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

/// The requests a second that a target is sent, from all entries together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rate {
    /// Requests a second.
    pub per_s: f64,
    /// True if the target is cold, so that each single second counts.
    pub cold: bool,
}

/// What an entry that is asked for permits knows of the other entries.
#[derive(Clone, Copy, Debug)]
pub struct Fleet {
    /// True if this entry hands out the permits of the target.
    pub is_owner: bool,
    /// When the live entries last changed.
    pub changed_at: Duration,
    /// The part of a cold target's permits that this entry may hand out by the number of entries that
    /// it hears, from 0 to 1.
    pub share: f64,
}

/// Whether this entry hands out the permits of a target, and since when.
#[derive(Clone, Copy, Debug)]
struct Ownership {
    is_owner: bool,
    /// `None` if it never was otherwise.
    since: Option<Duration>,
}

/// The rate of a target that is cold until a time.
#[derive(Clone, Copy, Debug)]
struct Cold {
    per_s: f64,
    until: Duration,
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
    cold: Option<Cold>,
    /// True while the target was cold at the last call of [`RateLimits::warmth_changes`].
    was_cold: bool,
    ownership: Option<Ownership>,
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

    /// Returns the rate that is in force for a target, by its own word and its warmth.
    pub fn in_force(&self, target: &str, now: Duration) -> Option<Rate> {
        self.limits.get(target)?.in_force(now)
    }

    /// Sets that a target is cold until a time and takes so many requests a second until then.
    pub fn set_cold(&mut self, target: &str, per_s: f64, until: Duration, now: Duration) {
        if until <= now && !self.limits.contains_key(target) {
            return;
        }
        let limit = self.limits.entry(target.to_owned()).or_default();
        limit.cold = (until > now).then_some(Cold { per_s, until });
    }

    /// Returns the number of targets that are cold.
    pub fn cold(&self, now: Duration) -> usize {
        self.limits.values().filter(|limit| limit.cold_rate(now).is_some()).count()
    }

    /// Returns the targets that have become cold since the last call, with their rates and the time
    /// left, and those that have become warm, with `None`.
    pub fn warmth_changes(&mut self, now: Duration) -> Vec<(String, Option<(f64, Duration)>)> {
        let mut changes = Vec::new();
        for (target, limit) in &mut self.limits {
            let cold = limit.cold.filter(|cold| cold.until > now);
            if limit.was_cold != cold.is_some() {
                limit.was_cold = cold.is_some();
                let left = cold.map(|cold| (cold.per_s, cold.until - now));
                changes.push((target.clone(), left));
            }
        }
        changes
    }

    /// Returns the number of targets that have named a rate.
    pub fn limited(&self) -> usize {
        self.limits.values().filter(|limit| limit.per_s.is_some()).count()
    }

    /// Returns whether a request may be sent to a target now.
    pub fn permission(&self, target: &str, now: Duration) -> Permission {
        let limited = self.limits.get(target).filter(|limit| limit.in_force(now).is_some());
        let Some(limit) = limited else { return Permission::Granted };
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
                let ttl = match limit.cold_rate(now) {
                    Some(_) => COLD_PERMIT_TTL,
                    None => PERMIT_TTL,
                };
                limit.permits.retain(|until| *until > now);
                limit.permits.extend((0..count).map(|_| now + ttl));
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
        let rate = limit.per_s.map_or(per_s, |known| known.min(per_s));
        limit.grant(rate, BURST_TIME, now)
    }

    /// Hands out permits for a cold target in the same way.
    pub fn grant_cold(&mut self, target: &str, per_s: f64, fleet: &Fleet, now: Duration) -> Grant {
        if !is_rate(per_s) {
            return Grant::Denied(BURST_TIME);
        }
        if now < INTRODUCTION_TIME {
            return Grant::Denied(INTRODUCTION_TIME - now);
        }
        self.record_owner(target, fleet, now);
        let limit = self.limits.entry(target.to_owned()).or_default();
        let known = limit.in_force(now).map_or(per_s, |known| known.per_s.min(per_s));
        let part = limit.part(now).min(fleet.share);
        limit.grant(known * part, Duration::ZERO, now)
    }

    /// Records whether this entry hands out the permits of a target.
    pub fn record_owner(&mut self, target: &str, fleet: &Fleet, now: Duration) {
        let limit = self.limits.entry(target.to_owned()).or_default();
        let is_owner = fleet.is_owner;
        let since = match limit.ownership {
            Some(known) if known.is_owner == is_owner => known.since,
            Some(_) => Some(now),
            None => is_owner.then_some(fleet.changed_at),
        };
        limit.ownership = Some(Ownership { is_owner, since });
    }

    /// Returns the cold targets.
    pub fn cold_targets(&self, now: Duration) -> Vec<String> {
        let cold = self.limits.iter().filter(|(_, limit)| limit.cold_rate(now).is_some());
        cold.map(|(target, _)| target.clone()).collect()
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
    /// Hands out permits at a rate, with those saved up in a time at most.
    fn grant(&mut self, rate: f64, saved: Duration, now: Duration) -> Grant {
        let rate = rate.max(MIN_RATE);
        let interval = Duration::from_secs_f64((1.0 / rate).max(MIN_INTERVAL_S));
        // What an earlier owner has handed out is not known, so the first permit comes later.
        let next = self.next_permit.unwrap_or(now + interval);
        let saved = cmp::max(saved, interval);
        let next = next.clamp(now.saturating_sub(saved), now + interval);
        if next > now {
            self.next_permit = Some(next);
            return Grant::Denied(next - now);
        }
        let due = (now - next).as_nanos() / interval.as_nanos().max(1);
        let due = u32::try_from(due).unwrap_or(u32::MAX).saturating_add(1);
        let count = due.min(batch(rate));
        self.next_permit = Some(next + interval * count);
        Grant::Permits(count)
    }

    fn cold_rate(&self, now: Duration) -> Option<f64> {
        self.cold.filter(|cold| cold.until > now).map(|cold| cold.per_s)
    }

    fn in_force(&self, now: Duration) -> Option<Rate> {
        let cold = self.cold_rate(now);
        let per_s = match (self.per_s, cold) {
            (Some(named), Some(cold)) => named.min(cold),
            (named, cold) => named.or(cold)?,
        };
        Some(Rate { per_s, cold: cold.is_some() })
    }

    /// Returns the share of the permits that this entry hands out. The former owner still is asked by
    /// entries that have not seen the change.
    fn part(&self, now: Duration) -> f64 {
        let Some(Ownership { is_owner, since }) = self.ownership else { return SHARED_PART };
        let is_recent = since.is_some_and(|since| now.saturating_sub(since) < HANDOVER_TIME);
        let was_owner = !is_owner && since.is_some();
        match (is_owner, is_recent) {
            (true, false) => 1.0,
            (false, true) if was_owner => 1.0,
            _ => SHARED_PART,
        }
    }

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
