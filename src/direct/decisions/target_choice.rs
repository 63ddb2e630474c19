//! Which target a request is sent to, and the reason that none takes it.
//!
//! Load pattern: many entries share the ranks of few groups, and each hears of the others' requests a
//! little late. Too many requests in a group make all of its answers late, so a group takes as many as
//! keep its passes within the goal, and fewer are let in the fewer places are left. Among the ranks
//! the least loaded one is chosen, of those whose loads are known freshly first.

use std::time::Duration;

use crate::collections::Map;
use crate::direct::decisions::pass_time::PauseGoal;
use crate::direct::decisions::rate_limits::Permission;
use crate::direct::decisions::target_state::TargetState;
use crate::direct::decisions::targets::Targets;
use crate::direct::known::target::Target;

/// Requests added to the load of a target in another data centre, which keeps traffic local while
/// loads are about even, for each heartbeat interval by which loads from there are older than those
/// of the own data centre, and once in any case.
const REMOTE_PENALTY: f64 = 0.5;

/// Intervals up to which the penalty grows. Beyond, a local target with few free slots would be
/// chosen before an idle remote one.
const MAX_REMOTE_AGE: f64 = 4.0;

/// Upper bound of the random number added to a target's load: about the requests that all entries
/// together send to a target between two heartbeats. Without it all of them would choose the same
/// target.
const LOAD_JITTER: f64 = 2.0;

/// Requests added to the load of a target whose attempts all fail; fewer failures add a part.
const FAILURE_PENALTY: f64 = 12.0;

/// Requests added to the load of a target whose group is slow: more than any target has slots, so
/// that it is chosen only if no other one has a slot.
const SLOW_GROUP_PENALTY: f64 = 1_000.0;

/// Requests added to the load of a target for each of its requests that takes twice as long as
/// normal.
const SLOW_RANK_WEIGHT: f64 = 2.0;

/// The part of a group's capacity that entries let fewer requests into the fuller it is: about the
/// requests that they let in between two heartbeats.
pub const LAST_PLACES: f64 = 0.1;

/// Failure rate below which a target is not avoided; plain services fail some requests on their
/// own.
const TOLERATED_FAILURE_RATE: f64 = 0.25;

/// The target that a request is sent to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Choice {
    /// A copy of the listed target.
    pub target: Target,
    /// Requests of all entries in flight there, as far as known, without this one.
    pub load: u32,
    /// True if the target has named a rate and the entry has no permit at hand.
    pub needs_permit: bool,
}

/// The reason that no target takes a request now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NoChoice {
    /// The service has no target, not counting those that are leaving or were tried.
    NoTargets,
    /// The operator is emptying the data centres of all targets.
    AllEmptied,
    /// All targets are ejected after failures, or belong to groups that are closed.
    AllUnavailable,
    /// All available targets have named rates, and none has a permit left now.
    AllLimited,
    /// All targets that are not unavailable have asked to be left alone.
    AllBackingOff,
    /// At least one target is available, but all available ones are full.
    AllFull,
}

/// The requests in flight in a group, and what it carries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GroupLoad<'a> {
    /// The group's name.
    pub group: &'a str,
    /// Requests of all entries in flight at its ranks, as far as known.
    pub load: u32,
    /// Requests that its ranks may have in flight by their slots.
    pub slots: f64,
    /// Requests with which its passes stay within the goal; `slots` while that is unknown.
    pub capacity: f64,
    /// The recent length of its passes, if known.
    pub pass_time: Option<Duration>,
    /// True if one of its ranks is so slow that no answer of the group is on time. It still takes
    /// requests up to its slots, which are better served late than not at all.
    pub is_slow: bool,
}

impl GroupLoad<'_> {
    /// Returns true if another request would make passes longer than the goal, or would wait at a
    /// rank. Loads are a little old, so some ranks look free though all slots together are taken, and
    /// all entries see the same last free places: they let in fewer requests the fewer places are left.
    /// `draw` is a uniform random number.
    /// `kept` is the share of the capacity that is kept for other requests.
    /// `last_places` is the part of the capacity into which fewer are let the fuller it is.
    pub fn is_crowded(&self, draw: u32, kept: f64, last_places: f64) -> bool {
        let capacity = self.capacity * (1.0 - kept);
        let room = (capacity - f64::from(self.load)) / (capacity * last_places).max(1.0);
        room <= f64::from(draw >> 8) / f64::from(1_u32 << 24)
    }
}

/// What a target must fulfil to take a request.
#[derive(Clone, Copy, Debug)]
pub struct Criteria<'a> {
    /// The service that the target must run.
    pub service: &'a str,
    /// Requests in flight that a target may have for each of its slots.
    pub fill: f64,
    /// The limit of the pauses between events; `None` where the service streams nothing.
    pub pause_goal: Option<PauseGoal>,
    /// Ids of targets that the request was sent to already.
    pub tried: &'a [String],
    /// A uniform random number, which spreads requests over equal targets.
    pub draw: u32,
    /// The share of a group's capacity that this request may not use, from 0 to 1.
    pub kept: f64,
    /// The share of a group's capacity into which fewer such requests are let the fuller it is;
    /// [`LAST_PLACES`] where all are alike.
    pub last_places: f64,
}

impl Targets {
    /// Returns the target that a request is sent to.
    ///
    /// # Errors
    ///
    /// Returns the reason that no target takes the request now.
    pub fn choose(&self, criteria: &Criteria<'_>, now: Duration) -> Result<Choice, NoChoice> {
        let mut reason = NoChoice::NoTargets;
        let mut best: Option<(f64, Choice)> = None;
        let slow = criteria
            .pause_goal
            .map(|goal| self.group_pass_times.slow(&goal, now))
            .unwrap_or_default();
        let groups = self.group_loads(criteria, now);
        let is_crowded = |group: &str| {
            let Criteria { draw, kept, last_places, .. } = *criteria;
            let mut of_group = groups.iter().filter(|load| load.group == group);
            of_group.any(|load| load.is_crowded(draw, kept, last_places))
        };
        for target in self.listed.values() {
            if target.service != criteria.service || self.is_leaving(target) {
                continue;
            }
            if criteria.tried.contains(&target.id) {
                continue;
            }
            if self.is_emptied(target) {
                reason = nearest_to_available(reason, NoChoice::AllEmptied);
                continue;
            }
            let state = self.states.get(&target.id);
            if state.is_some_and(|state| !state.is_available(now)) {
                reason = nearest_to_available(reason, NoChoice::AllUnavailable);
                continue;
            }
            if self.backoffs.until(&target.id, now).is_some() {
                reason = nearest_to_available(reason, NoChoice::AllBackingOff);
                continue;
            }
            let unconfirmed = state.map_or(0, |state| state.silence.unconfirmed(now));
            let load = self.load(&target.id) + u32::try_from(unconfirmed).unwrap_or(u32::MAX);
            let slots = f64::from(target.slots) * criteria.fill;
            let group = self.group_of(&target.id);
            let limit = match (&criteria.pause_goal, state) {
                (Some(goal), Some(state)) if group.is_none() => {
                    state.pass_time.concurrency_limit(goal, slots, load, now)
                }
                _ => slots,
            };
            let unproven = self.backoffs.is_unproven(&target.id, now)
                || state.is_some_and(|state| state.silence.is_returning(now));
            let probed = unproven && state.is_some_and(|state| state.in_flight > 0);
            let full = probed
                || state.is_some_and(|state| state.full_until > now)
                || group.is_some_and(is_crowded);
            if full || f64::from(load) >= limit {
                reason = nearest_to_available(reason, NoChoice::AllFull);
                continue;
            }
            let permission = self.limits.permission(&target.id, now);
            if matches!(permission, Permission::After(_)) {
                reason = nearest_to_available(reason, NoChoice::AllLimited);
                continue;
            }
            let is_slow = |group: &str| {
                slow.contains(&group)
                    || groups.iter().any(|load| load.group == group && load.is_slow)
            };
            let penalty = match group.is_some_and(is_slow) {
                true => SLOW_GROUP_PENALTY,
                false => 0.0,
            };
            let score = self.score(target, state, load, criteria.draw) + penalty;
            if best.as_ref().is_none_or(|(lowest, _)| score < *lowest) {
                let needs_permit = permission == Permission::MustAsk;
                best = Some((score, Choice { target: target.clone(), load, needs_permit }));
            }
        }
        best.map(|(_, choice)| choice).ok_or(reason)
    }

    /// Returns the loads of the groups that stream answers of a service.
    pub fn group_loads(&self, criteria: &Criteria<'_>, now: Duration) -> Vec<GroupLoad<'_>> {
        let Some(goal) = &criteria.pause_goal else { return Vec::new() };
        let mut groups: Map<&str, (u32, f64, u32)> = Map::default();
        for target in self.listed.values().filter(|target| target.service == criteria.service) {
            let Some(state) = self.states.get(&target.id) else { continue };
            let Some(group) = state.group.as_deref() else { continue };
            let (load, slots, slowness) = groups.entry(group).or_default();
            *load += self.load(&target.id);
            if !self.is_emptied(target) {
                *slots += f64::from(target.slots) * criteria.fill;
            }
            *slowness = state.slowness_percent.max(*slowness);
        }
        let group_load = |(group, (load, slots, slowness))| {
            let goal = goal.slowed(f64::from(slowness) / 100.0);
            let capacity = self.group_pass_times.capacity(group, &goal, slots, now);
            let pass_time = self.group_pass_times.mean(group, now);
            let is_slow = goal.is_out_of_reach();
            GroupLoad { group, load, slots, capacity, pass_time, is_slow }
        };
        groups.into_iter().map(group_load).collect()
    }

    /// Returns the load of a target with its penalties; the target with the lowest score is chosen.
    fn score(&self, target: &Target, state: Option<&TargetState>, load: u32, draw: u32) -> f64 {
        let failure_rate = state.map_or(0.0, |state| state.failure_rate);
        let excess =
            (failure_rate - TOLERATED_FAILURE_RATE).max(0.0) / (1.0 - TOLERATED_FAILURE_RATE);
        let remote = match target.data_centre == self.data_centre {
            true => 0.0,
            false => REMOTE_PENALTY * self.remote_load_age.clamp(1.0, MAX_REMOTE_AGE),
        };
        let shuffled = hash_u32(&target.id) ^ draw;
        let jitter = f64::from(shuffled.wrapping_mul(0x9E37_79B1) >> 16) / 65_536.0;
        // A slow target takes longer for each request, and the ranks of its group wait for it.
        let slowness = state.map_or(100, |state| state.slowness_percent).max(100);
        let slow = (f64::from(load) + 1.0) * (f64::from(slowness) / 100.0 - 1.0) * SLOW_RANK_WEIGHT;
        f64::from(load) + slow + excess * FAILURE_PENALTY + remote + jitter * LOAD_JITTER
    }

    /// Returns when the first target of a service that is ejected, full, in a backoff or waits for a
    /// permit may be sent requests again; `None` if there is none. Groups that an agent has reported closed don't
    /// count.
    pub fn next_available_at(&self, service: &str, now: Duration) -> Option<Duration> {
        let listed = self.listed.values().filter(|t| t.service == service && self.takes_work(t));
        let available_at = |target: &Target| {
            let state = self.states.get(&target.id);
            let until = state.map_or(now, |state| state.ejected_until.max(state.full_until));
            let until = until.max(self.backoffs.until(&target.id, now).unwrap_or(now));
            match self.limits.permission(&target.id, now) {
                Permission::After(permit) => until.max(permit),
                Permission::Granted | Permission::MustAsk => until,
            }
        };
        listed.map(available_at).filter(|until| *until > now).min()
    }

    /// Returns the time until the first target of a service may be sent a request again, if all of
    /// them are in a backoff.
    pub fn backoff_left(&self, service: &str, now: Duration) -> Option<Duration> {
        let listed = self.listed.values().filter(|t| t.service == service && self.takes_work(t));
        let ends = listed.map(|target| self.backoffs.until(&target.id, now));
        let first = ends.collect::<Option<Vec<_>>>()?.into_iter().min()?;
        Some(first.saturating_sub(now))
    }
}

/// Returns the reason of the two that is nearest to an available target.
fn nearest_to_available(one: NoChoice, other: NoChoice) -> NoChoice {
    match (one, other) {
        (NoChoice::AllFull, _) | (_, NoChoice::AllFull) => NoChoice::AllFull,
        (NoChoice::AllLimited, _) | (_, NoChoice::AllLimited) => NoChoice::AllLimited,
        (NoChoice::AllUnavailable, _) | (_, NoChoice::AllUnavailable) => NoChoice::AllUnavailable,
        (NoChoice::AllBackingOff, _) | (_, NoChoice::AllBackingOff) => NoChoice::AllBackingOff,
        (NoChoice::AllEmptied, _) | (_, NoChoice::AllEmptied) => NoChoice::AllEmptied,
        (NoChoice::NoTargets, NoChoice::NoTargets) => NoChoice::NoTargets,
    }
}

/// Returns a hash of an id that is uniform over `u32`.
fn hash_u32(id: &str) -> u32 {
    let hash = xxhash_rust::xxh3::xxh3_64(id.as_bytes());
    u32::try_from(hash & u64::from(u32::MAX)).unwrap_or_default()
}
