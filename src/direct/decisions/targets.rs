//! The targets of an entry on the direct path: which exist, and how loaded each one is.
//! [`target_choice`](crate::direct::decisions::target_choice) decides which one a request is sent to.
//!
//! Load pattern: many entries share few targets, and each entry sees only its own requests at once.
//! The table adds the loads that the other entries last reported, so that all of them fill the
//! same targets evenly and none beyond its slots.

use std::net::SocketAddr;
use std::time::Duration;

use crate::collections::{Map, Set};
use crate::direct::decisions::backoffs::Backoffs;
use crate::direct::decisions::departures::Departures;
use crate::direct::decisions::outages::Outages;
use crate::direct::decisions::pass_time::GroupPassTimes;
use crate::direct::decisions::rate_limits::RateLimits;
use crate::direct::decisions::target_state::TargetState;
use crate::direct::decisions::warmth::{Tolerance, Warmth};
use crate::direct::known::configuration::ColdStart;
use crate::direct::known::target::{Outcome, Target};

/// Ejection of a target that takes no work though it is idle: its group is forming again. The agent
/// beside it reports when it is open, if the agent runs.
const FORMING_EJECTION: Duration = Duration::from_millis(600);

/// The share of a target's slots in use below which it counts as idle.
const IDLE_SHARE: f64 = 0.5;

/// The targets of an entry with their loads and states.
#[derive(Clone, Debug, Default)]
pub struct Targets {
    /// The targets by id, as listed.
    pub(super) listed: Map<String, Target>,
    /// The local states by id, also of removed targets that still have requests in flight.
    pub(super) states: Map<String, TargetState>,
    /// The requests of the other entries in flight, by id.
    peer_loads: Map<String, u32>,
    pub(super) group_pass_times: GroupPassTimes,
    /// The rates that targets named.
    pub(in crate::direct) limits: RateLimits,
    /// The backoffs that targets asked for.
    pub(in crate::direct) backoffs: Backoffs,
    /// The targets that have said that they leave.
    pub(in crate::direct) departures: Departures,
    /// What is known of the warmth of listed targets, by id.
    pub(super) warmth: Map<String, Warmth>,
    /// How the targets of services are while cold, by service.
    pub(super) cold_starts: Map<String, ColdStart>,
    /// How much more cold targets tolerate; `None` where they are not limited.
    pub(super) tolerance: Option<Tolerance>,
    /// The data centres that the operator is emptying.
    pub(super) emptied: Set<String>,
    /// The outages of services.
    pub(in crate::direct) outages: Outages,
    pub(super) data_centre: String,
    /// Heartbeat intervals between two loads that an entry of another data centre sends.
    pub(super) remote_load_age: f64,
}

impl Targets {
    /// Returns an empty table for an entry in a data centre.
    pub fn new(data_centre: &str) -> Self {
        Self { data_centre: data_centre.to_owned(), ..Self::default() }
    }

    /// Adds or updates a target. A new incarnation under an old id starts with a fresh state.
    pub fn upsert(&mut self, target: Target) {
        let restarted = self
            .listed
            .get(&target.id)
            .is_some_and(|old| old.started_unix_ms != target.started_unix_ms);
        if restarted && let Some(state) = self.states.get_mut(&target.id) {
            *state = TargetState { in_flight: state.in_flight, ..TargetState::default() };
        }
        if restarted {
            self.limits.remove(&target.id);
        }
        self.backoffs.record_listed(&target.id, target.started_unix_ms);
        self.listed.insert(target.id.clone(), target);
    }

    /// Removes a target. Its state stays until the requests in flight there have ended.
    pub fn remove(&mut self, id: &str) {
        self.listed.remove(id);
        self.limits.remove(id);
        self.warmth.remove(id);
        self.drop_unused_state(id);
    }

    /// Returns the ids of the targets in the table that are not on a list.
    pub fn missing_from(&self, listed: &[Target]) -> Vec<String> {
        let ids: Set<&str> = listed.iter().map(|target| target.id.as_str()).collect();
        self.listed.keys().filter(|id| !ids.contains(id.as_str())).cloned().collect()
    }

    fn drop_unused_state(&mut self, id: &str) {
        if self.states.get(id).is_some_and(|state| state.in_flight == 0) {
            self.states.remove(id);
        }
    }

    /// Drops the rates of targets that are not listed.
    pub fn prune_limits(&mut self) {
        let listed = &self.listed;
        self.limits.retain(|target| listed.contains_key(target));
    }

    /// Returns a listed target.
    pub fn get(&self, id: &str) -> Option<&Target> {
        self.listed.get(id)
    }

    /// Returns all listed targets.
    pub fn iter(&self) -> impl Iterator<Item = &Target> {
        self.listed.values()
    }

    /// Sets the requests that the other entries have in flight at each target.
    pub fn set_peer_loads(&mut self, peer_loads: Map<String, u32>) {
        self.peer_loads = peer_loads;
    }

    /// Sets the number of heartbeat intervals between two loads that an entry of another data centre
    /// sends; one in a small fleet.
    pub fn set_remote_load_age(&mut self, intervals: f64) {
        self.remote_load_age = intervals;
    }

    /// Returns this entry's requests in flight by target.
    pub fn local_loads(&self) -> impl Iterator<Item = (&str, u32)> {
        let used = self.states.iter().filter(|(_, state)| state.in_flight > 0);
        used.map(|(id, state)| (id.as_str(), state.in_flight))
    }

    /// Returns all requests in flight at a target, as far as known.
    pub fn load(&self, id: &str) -> u32 {
        let local = self.states.get(id).map_or(0, |state| state.in_flight);
        local + self.peer_loads.get(id).copied().unwrap_or(0)
    }

    /// Returns true if fewer than half of a target's slots are in use, as far as known.
    pub fn is_idle(&self, id: &str) -> bool {
        let slots = self.listed.get(id).map_or(0, |target| target.slots);
        f64::from(self.load(id)) < f64::from(slots) * IDLE_SHARE
    }

    /// Records that a request is about to be sent to a target.
    pub fn request_started(&mut self, id: &str) {
        self.states.entry(id.to_owned()).or_default().in_flight += 1;
    }

    /// Records that a request at a target was given up before the target had answered it.
    pub fn request_abandoned(&mut self, id: &str, now: Duration) {
        if let Some(state) = self.states.get_mut(id) {
            state.silence.record_abandoned(now);
        }
        self.request_ended(id);
    }

    /// Records that a request at a target has ended.
    pub fn request_ended(&mut self, id: &str) {
        if let Some(state) = self.states.get_mut(id) {
            state.in_flight = state.in_flight.saturating_sub(1);
        }
        if !self.listed.contains_key(id) {
            self.drop_unused_state(id);
        }
    }

    /// Records the outcome of an attempt at a target. Returns the length of the ejection that it
    /// causes, if any.
    pub fn record(&mut self, id: &str, outcome: Outcome, now: Duration) -> Option<Duration> {
        if outcome == Outcome::Closed {
            self.eject_group(id, now + FORMING_EJECTION);
            return Some(FORMING_EJECTION);
        }
        if matches!(outcome, Outcome::Answered | Outcome::Failed) {
            self.backoffs.record_answered(id, now);
        }
        self.states.entry(id.to_owned()).or_default().record(outcome, now)
    }

    /// Records that a target asked to be left alone for a time. Returns true if its backoff ends later
    /// than known.
    pub fn record_backoff(&mut self, target: &Target, time: Duration, now: Duration) -> bool {
        self.is_current(target)
            && self.backoffs.record(&target.id, target.started_unix_ms, time, now)
    }

    /// Records that a target has said that it leaves. Returns true if that is new.
    pub fn record_leaving(&mut self, target: &Target, now: Duration) -> bool {
        self.is_current(target) && self.departures.record(&target.id, target.started_unix_ms, now)
    }

    /// Returns false if another incarnation of a target is listed, so that what an answer of this one
    /// said no longer counts.
    fn is_current(&self, target: &Target) -> bool {
        let listed = self.listed.get(&target.id);
        listed.is_none_or(|listed| listed.started_unix_ms == target.started_unix_ms)
    }

    /// Returns true if a target takes new work, by its record, by its answers and by the standing of
    /// its data centre.
    pub(super) fn takes_work(&self, target: &Target) -> bool {
        !self.is_emptied(target) && !self.is_leaving(target)
    }

    /// Returns true if a target leaves, by its record or by its answers.
    pub(super) fn is_leaving(&self, target: &Target) -> bool {
        target.leaving || self.departures.is_leaving(&target.id, target.started_unix_ms)
    }

    /// Records whether the group of the target at an address takes requests, as the agent beside it
    /// reports. `group` is empty where the agent does not know the group. Returns the target's id
    /// if that changed.
    pub fn set_group_state(
        &mut self,
        addr: SocketAddr,
        group: &str,
        open: bool,
        now: Duration,
    ) -> Option<String> {
        let target = self.listed.values().find(|target| target.addr == addr)?;
        let id = target.id.clone();
        let state = self.states.entry(id.clone()).or_default();
        if !group.is_empty() {
            state.group = Some(group.to_owned());
        }
        let was_open = state.group_closed_at.is_none();
        state.group_closed_at = (!open).then_some(now);
        if open && !was_open {
            self.reopen_group(&id, group, now);
        }
        (was_open != open).then_some(id)
    }

    /// Records that the target at an address answers nobody, as an agent of its group reports.
    /// Returns the target's id if that is new.
    pub fn record_silent(&mut self, addr: SocketAddr, now: Duration) -> Option<String> {
        let id = self.listed.values().find(|target| target.addr == addr)?.id.clone();
        let state = self.states.entry(id.clone()).or_default();
        state.silence.record_report(now).then_some(id)
    }

    /// Records that the agent beside the target at an address was heard, so that its host runs.
    /// Returns the target's id if that ends a silence.
    pub fn record_heard(&mut self, addr: SocketAddr, now: Duration) -> Option<String> {
        let id = self.listed.values().find(|target| target.addr == addr)?.id.clone();
        self.states.get_mut(&id)?.silence.record_heard(now).then_some(id)
    }

    /// Records the time that the target at an address takes for its work, in percent of the normal time.
    pub fn set_slowness(&mut self, addr: SocketAddr, percent: u32) {
        let Some(target) = self.listed.values().find(|target| target.addr == addr) else { return };
        self.states.entry(target.id.clone()).or_default().slowness_percent = percent;
    }

    /// Returns true while a target answers nobody, as far as known.
    pub fn is_silent(&self, id: &str, now: Duration) -> bool {
        self.states.get(id).is_some_and(|state| state.silence.is_silent(now))
    }

    /// Records the pause between two events of an answer from a target.
    pub fn record_pause(&mut self, id: &str, pause: Duration, now: Duration) {
        let Some(state) = self.states.get_mut(id) else { return };
        state.silence.record_answered(now);
        state.pass_time.observe(pause, now);
        let Some(group) = self.group_of(id).map(str::to_owned) else { return };
        let ranks = self.listed.keys().filter(|other| self.group_of(other) == Some(&group));
        // Requests that wait at a rank take no part in its passes.
        let running = |rank: &String| {
            self.load(rank).min(self.listed.get(rank).map_or(0, |target| target.slots))
        };
        let load = ranks.map(running).sum();
        self.group_pass_times.observe(&group, pause, load, now);
    }

    /// Returns the group of a target, if an agent has named it.
    pub(super) fn group_of(&self, id: &str) -> Option<&str> {
        self.states.get(id)?.group.as_deref()
    }

    /// Makes all ranks of a group available at once. Earlier failures say nothing about a group
    /// that has formed again.
    fn reopen_group(&mut self, id: &str, group: &str, now: Duration) {
        self.group_pass_times.forget(group);
        for (other, state) in &mut self.states {
            if other == id || (!group.is_empty() && state.group.as_deref() == Some(group)) {
                state.group_closed_at = None;
                (state.ejected_until, state.consecutive_failures) = (now, 0);
            }
        }
    }

    /// Ejects all ranks of a target's group, and those of its service whose groups are not known.
    /// If the target's own group is not known, it ejects all ranks of the service.
    fn eject_group(&mut self, id: &str, until: Duration) {
        let Some(service) = self.listed.get(id).map(|target| target.service.clone()) else {
            return;
        };
        let group = self.states.get(id).and_then(|state| state.group.clone());
        for target in self.listed.values().filter(|target| target.service == service) {
            let state = self.states.entry(target.id.clone()).or_default();
            let in_other_group = state.group.is_some() && group.is_some() && state.group != group;
            if !in_other_group {
                state.ejected_until = state.ejected_until.max(until);
            }
        }
    }
}
