//! How long a target is cold, from what its records in the store say and from its start.
//!
//! Load pattern: a target that has just started, or comes back, bears few requests a second at first
//! and crashes under more, while all entries see an idle target and send it theirs. What makes a
//! target cold is seen by each entry a little later than it happens, so a target counts as cold until
//! something says that it is warm. The rate itself is shared through
//! [`rate_limits`](crate::direct::decisions::rate_limits).

use std::time::Duration;

use crate::collections::{Map, Set};
use crate::direct::decisions::targets::Targets;
use crate::direct::known::configuration::ColdStart;
use crate::direct::known::target::Target;

/// Requests within a second that are kept back from what cold targets tolerate: permits that two
/// entries hand out at the change of an owner, and the first one of each.
const WINDOW_RESERVE: f64 = 3.0;

/// Requests of a second that may arrive within one, relative to the rate: some wait for connections
/// and links, and permits may be used a little later than they were handed out.
const WINDOW_CROWDING: f64 = 1.6;

/// How many requests beyond the rate of a cold target are tolerated.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tolerance {
    /// The factor of the requests in one second.
    pub overrun: f64,
    /// Requests in one second in addition.
    pub slack: f64,
}

impl Tolerance {
    /// Returns the requests a second that cold targets are sent, so that no second exceeds what is
    /// tolerated.
    pub fn rate(&self, per_s: f64) -> f64 {
        let tolerated = per_s * self.overrun + self.slack;
        per_s.min((tolerated - WINDOW_RESERVE) / WINDOW_CROWDING).max(0.0)
    }
}

/// What an entry knows of a target's warmth. Times are those of the entry's clock.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Warmth {
    first_seen: Duration,
    /// The age of the incarnation when it was first seen, by the clocks of the hosts.
    age: Option<Duration>,
    /// When the target last said how long it stays cold, and how long that was.
    said: Option<(Duration, Duration)>,
    /// True once a record written after the first one said that the target is warm.
    is_confirmed: bool,
    /// When the target's data centre was last taken back after it was being emptied.
    taken_back: Option<Duration>,
}

impl Warmth {
    /// Returns what the first record of an incarnation tells. `age` is the time since its start;
    /// `left` is how long the target says that it stays cold, if it says that.
    pub fn first(left: Option<Duration>, age: Option<Duration>, now: Duration) -> Self {
        let said = left.map(|left| (now, left));
        Self { first_seen: now, age, said, ..Self::default() }
    }

    /// Adds a later record of the incarnation.
    pub fn record(&mut self, left: Option<Duration>, now: Duration) {
        if let Some(left) = left {
            self.said = Some((now, left));
            self.is_confirmed |= left.is_zero();
        }
    }

    /// Records that the operator has taken the target's data centre back.
    pub fn record_taken_back(&mut self, now: Duration) {
        self.taken_back = Some(now);
    }

    /// Returns the time until which the target counts as cold.
    pub fn cold_until(&self, start: &ColdStart) -> Duration {
        let young = start.time.saturating_sub(self.age.unwrap_or_default());
        let started = match self.is_confirmed {
            true => Duration::ZERO,
            false => self.first_seen + young,
        };
        let said = self.said.map_or(Duration::ZERO, |(at, left)| at + left);
        let said_at = self.said.map(|(at, _)| at);
        let back = self.taken_back.filter(|at| said_at < Some(*at));
        let back = back.map_or(Duration::ZERO, |at| at + start.time);
        started.max(said).max(back)
    }
}

impl Targets {
    /// Adds or updates a target as listed, and what its record tells of its warmth. `age` is the time
    /// since its start by the clocks of the hosts.
    pub fn list(&mut self, target: Target, age: Option<Duration>, now: Duration) {
        let known = self.listed.get(&target.id);
        let same = known.is_some_and(|known| known.started_unix_ms == target.started_unix_ms);
        let left = target.cold_left.clone().unwrap_or_default();
        match self.warmth.get_mut(&target.id).filter(|_| same) {
            Some(warmth) => warmth.record(left, now),
            None => {
                self.warmth.insert(target.id.clone(), Warmth::first(left, age, now));
            }
        }
        let id = target.id.clone();
        self.upsert(target);
        self.apply_warmth(&id, now);
    }

    /// Sets how the targets of services are while cold, and how much more they tolerate.
    pub fn set_cold_starts(
        &mut self,
        starts: Map<String, ColdStart>,
        tolerance: Tolerance,
        now: Duration,
    ) {
        self.cold_starts = starts;
        self.tolerance = Some(tolerance);
        let ids: Vec<String> = self.listed.keys().cloned().collect();
        for id in ids {
            self.apply_warmth(&id, now);
        }
    }

    /// Sets the data centres whose targets get no requests. The targets of those that are taken back
    /// count as cold until they say otherwise.
    pub fn set_emptied(&mut self, emptied: Set<String>, now: Duration) {
        let is_back =
            |target: &&Target| self.is_emptied(target) && !emptied.contains(&target.data_centre);
        let back: Vec<String> =
            self.listed.values().filter(is_back).map(|target| target.id.clone()).collect();
        self.emptied = emptied;
        for id in back {
            if let Some(warmth) = self.warmth.get_mut(&id) {
                warmth.record_taken_back(now);
            }
            self.apply_warmth(&id, now);
        }
    }

    /// Returns the ids of the targets that are cold.
    pub fn cold_targets(&self, now: Duration) -> Vec<String> {
        self.limits.cold_targets(now)
    }

    /// Returns true if the operator is emptying the data centre of a target.
    pub fn is_emptied(&self, target: &Target) -> bool {
        self.emptied.contains(&target.data_centre)
    }

    fn apply_warmth(&mut self, id: &str, now: Duration) {
        let (Some(tolerance), Some(target)) = (self.tolerance, self.listed.get(id)) else { return };
        let start = self.cold_starts.get(&target.service);
        let (Some(start), Some(warmth)) = (start, self.warmth.get(id)) else {
            self.limits.set_cold(id, 0.0, now, now);
            return;
        };
        let (per_s, until) = (tolerance.rate(start.per_s), warmth.cold_until(start));
        self.limits.set_cold(id, per_s, until, now);
    }
}
