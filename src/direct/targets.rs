//! The targets that an entry reaches directly: who is there, how loaded each is, and which one a
//! request goes to.
//!
//! Load pattern: many entries share few targets, and each entry sees only its own requests at once.
//! The table adds what the other entries said of theirs, a moment old, so that all of them fill the
//! same targets evenly and none beyond its places.

use std::net::SocketAddr;
use std::time::Duration;

use crate::collections::{Map, Set};
use crate::direct::pace::{Goal, GroupPaces};
use crate::direct::standing::Standing;

/// Pause of a target that takes no work though few requests are there: its group forms anew. The
/// agent beside it says when it is open again, if it lives.
const FORMING_PAUSE: Duration = Duration::from_millis(600);

/// The part of a target's slots up to which it counts as idle.
const IDLE_PART: f64 = 0.5;

/// Places that a target in another data centre seems fuller by, which keeps traffic near while
/// loads are about even.
const REMOTE_HANDICAP: f64 = 0.5;

/// Places by which targets may differ and still count as equally full: about the requests that the
/// entries together send to a target between two heartbeats. Without it all of them would choose
/// the same one.
const LOAD_SPREAD: f64 = 2.0;

/// Places that a target whose requests all fail seems fuller by.
const FAILURE_HANDICAP: f64 = 12.0;

/// Places that a target seems fuller by whose group is slow: more than any target has, so that it is
/// asked only where no other one has a place.
const SLOW_HANDICAP: f64 = 1_000.0;

/// Failures' share below which a target is not avoided; plain services fail some requests by
/// themselves.
const TOLERATED_FAILURES: f64 = 0.25;

/// Target is one server of a service, as the list of targets names it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Target {
    /// The id of this incarnation, which the target itself checks.
    pub id: String,
    /// The service that it runs.
    pub service: String,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Its data centre.
    pub data_centre: String,
    /// Requests that it runs at once.
    pub slots: u32,
    /// True once it takes no new work.
    pub leaving: bool,
    /// The start of this incarnation, in Unix milliseconds, if it says so.
    pub started_unix_ms: Option<u64>,
}

/// Outcome is what an attempt says of its target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// It answered.
    Answered,
    /// It answered with a failure of its own.
    Failed,
    /// It took no more work, and said so.
    Full,
    /// It took no work though it has little to do, as a model server whose group forms anew; the
    /// other ranks of the group take none either.
    Closed,
    /// Another process answers at its address, so this incarnation is gone.
    Replaced,
    /// It could not be reached, fell silent, or its answer was cut or spoilt.
    Broken,
}

/// Choice is the target that a request goes to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Choice {
    /// The target.
    pub target: Target,
    /// Requests in flight there, as far as known, before this one.
    pub load: u32,
}

/// NoChoice is why no target takes a request now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NoChoice {
    /// The service has no target.
    NoTargets,
    /// All targets are paused after failures.
    AllPaused,
    /// All places are taken.
    AllFull,
}

/// Wanted describes the request that a target is looked for.
#[derive(Clone, Copy, Debug)]
pub struct Wanted<'a> {
    /// The service.
    pub service: &'a str,
    /// Requests in flight that a target may have for each of its slots.
    pub fill: f64,
    /// What the pauses of answers must keep to, if the service streams.
    pub pace: Option<Goal>,
    /// Targets that were tried already.
    pub tried: &'a [String],
    /// A number drawn at random, which spreads entries over equal targets.
    pub draw: u32,
}

/// Targets is the table.
#[derive(Clone, Debug, Default)]
pub struct Targets {
    listed: Map<String, Target>,
    standing: Map<String, Standing>,
    others: Map<String, u32>,
    group_paces: GroupPaces,
    data_centre: String,
}

impl Targets {
    /// Returns an empty table of an entry in a data centre.
    pub fn new(data_centre: &str) -> Self {
        Self { data_centre: data_centre.to_owned(), ..Self::default() }
    }

    /// Takes one target as listed. A new incarnation under an old id starts with a clean record.
    pub fn upsert(&mut self, target: Target) {
        let restarted = self
            .listed
            .get(&target.id)
            .is_some_and(|old| old.started_unix_ms != target.started_unix_ms);
        if restarted && let Some(standing) = self.standing.get_mut(&target.id) {
            *standing = Standing { own: standing.own, ..Standing::default() };
        }
        self.listed.insert(target.id.clone(), target);
    }

    /// Takes a target off the list.
    pub fn remove(&mut self, id: &str) {
        self.listed.remove(id);
        self.forget_unused(id);
    }

    /// Returns the ids in the table that a list lacks.
    pub fn missing_from(&self, listed: &[Target]) -> Vec<String> {
        let ids: Set<&str> = listed.iter().map(|target| target.id.as_str()).collect();
        self.listed.keys().filter(|id| !ids.contains(id.as_str())).cloned().collect()
    }

    fn forget_unused(&mut self, id: &str) {
        if self.standing.get(id).is_some_and(|standing| standing.own == 0) {
            self.standing.remove(id);
        }
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
    pub fn set_others(&mut self, others: Map<String, u32>) {
        self.others = others;
    }

    /// Returns this entry's requests in flight by target.
    pub fn own(&self) -> impl Iterator<Item = (&str, u32)> {
        let used = self.standing.iter().filter(|(_, standing)| standing.own > 0);
        used.map(|(id, standing)| (id.as_str(), standing.own))
    }

    /// Returns all requests in flight at a target, as far as known.
    pub fn load(&self, id: &str) -> u32 {
        let own = self.standing.get(id).map_or(0, |standing| standing.own);
        own + self.others.get(id).copied().unwrap_or(0)
    }

    /// Tells whether a target has little to do, as far as known.
    pub fn is_idle(&self, id: &str) -> bool {
        let slots = self.listed.get(id).map_or(0, |target| target.slots);
        f64::from(self.load(id)) < f64::from(slots) * IDLE_PART
    }

    /// Returns the target for a request.
    ///
    /// # Errors
    ///
    /// Returns why none takes it now.
    pub fn choose(&self, wanted: &Wanted<'_>, now: Duration) -> Result<Choice, NoChoice> {
        let mut why = NoChoice::NoTargets;
        let mut best: Option<(f64, &Target, u32)> = None;
        let slow = wanted.pace.map(|goal| self.group_paces.slow(&goal, now)).unwrap_or_default();
        for target in self.listed.values() {
            if target.service != wanted.service || target.leaving {
                continue;
            }
            if wanted.tried.contains(&target.id) {
                continue;
            }
            let standing = self.standing.get(&target.id);
            if standing.is_some_and(|standing| !standing.takes_work(now)) {
                why = worse(why, NoChoice::AllPaused);
                continue;
            }
            let load = self.load(&target.id);
            let slots = f64::from(target.slots) * wanted.fill;
            let places = match (&wanted.pace, standing) {
                (Some(goal), Some(standing)) => standing.pace.places(goal, slots, load, now),
                _ => slots,
            };
            let full = standing.is_some_and(|standing| standing.full_until > now);
            if full || f64::from(load) >= places {
                why = worse(why, NoChoice::AllFull);
                continue;
            }
            let group = standing.and_then(|standing| standing.group.as_deref());
            let handicap = match group.is_some_and(|group| slow.contains(&group)) {
                true => SLOW_HANDICAP,
                false => 0.0,
            };
            let rank = self.rank(target, standing, load, wanted.draw) + handicap;
            if best.is_none_or(|(least, _, _)| rank < least) {
                best = Some((rank, target, load));
            }
        }
        best.map(|(_, target, load)| Choice { target: target.clone(), load }).ok_or(why)
    }

    /// Ranks a target; the least loaded, nearest and soundest one comes first.
    fn rank(&self, target: &Target, standing: Option<&Standing>, load: u32, draw: u32) -> f64 {
        let failures = standing.map_or(0.0, |standing| standing.failures);
        let excess = (failures - TOLERATED_FAILURES).max(0.0) / (1.0 - TOLERATED_FAILURES);
        let remote = if target.data_centre == self.data_centre { 0.0 } else { REMOTE_HANDICAP };
        let shuffled = rustc_hash_of(&target.id) ^ draw;
        let even = f64::from(shuffled.wrapping_mul(0x9E37_79B1) >> 16) / 65_536.0;
        f64::from(load) + excess * FAILURE_HANDICAP + remote + even * LOAD_SPREAD
    }

    /// Notes that a request is on its way to a target.
    pub fn began(&mut self, id: &str) {
        self.standing.entry(id.to_owned()).or_default().own += 1;
    }

    /// Notes that a request at a target has ended, or was given up.
    pub fn ended(&mut self, id: &str) {
        if let Some(standing) = self.standing.get_mut(id) {
            standing.own = standing.own.saturating_sub(1);
        }
        if !self.listed.contains_key(id) {
            self.forget_unused(id);
        }
    }

    /// Takes in what an attempt says of its target. Returns how long the target is paused, where
    /// it was not before.
    pub fn learn(&mut self, id: &str, outcome: Outcome, now: Duration) -> Option<Duration> {
        if outcome == Outcome::Closed {
            self.pause_group(id, now + FORMING_PAUSE);
            return Some(FORMING_PAUSE);
        }
        self.standing.entry(id.to_owned()).or_default().learn(outcome, now)
    }

    /// Takes in whether the group of the target at an address takes requests, as the agent beside
    /// it says. Returns the target where that is news.
    pub fn group_state(
        &mut self,
        addr: SocketAddr,
        group: &str,
        open: bool,
        now: Duration,
    ) -> Option<String> {
        let target = self.listed.values().find(|target| target.addr == addr)?;
        let id = target.id.clone();
        let standing = self.standing.entry(id.clone()).or_default();
        if !group.is_empty() {
            standing.group = Some(group.to_owned());
        }
        let was_open = standing.closed_at.is_none();
        standing.closed_at = (!open).then_some(now);
        if open && !was_open {
            self.open_group(&id, group, now);
        }
        (was_open != open).then_some(id)
    }

    /// Takes in a pause between two events of an answer from a target.
    pub fn paused_between_events(&mut self, id: &str, pause: Duration, now: Duration) {
        if let Some(standing) = self.standing.get_mut(id) {
            standing.pace.observe(pause, now);
            if let Some(group) = &standing.group {
                self.group_paces.observe(group, pause, now);
            }
        }
    }

    /// All ranks of a group open at once, and what failed before says nothing of a group that has
    /// formed anew.
    fn open_group(&mut self, id: &str, group: &str, now: Duration) {
        self.group_paces.forget(group);
        for (other, standing) in &mut self.standing {
            if other == id || (!group.is_empty() && standing.group.as_deref() == Some(group)) {
                standing.closed_at = None;
                (standing.paused_until, standing.broken_in_row) = (now, 0);
            }
        }
    }

    /// Pauses all ranks of a target's group, and those of its service whose groups are not known.
    fn pause_group(&mut self, id: &str, until: Duration) {
        let Some(service) = self.listed.get(id).map(|target| target.service.clone()) else {
            return;
        };
        let group = self.standing.get(id).and_then(|standing| standing.group.clone());
        for target in self.listed.values().filter(|target| target.service == service) {
            let standing = self.standing.entry(target.id.clone()).or_default();
            let other = standing.group.is_some() && group.is_some() && standing.group != group;
            if !other {
                standing.paused_until = standing.paused_until.max(until);
            }
        }
    }

    /// Returns when the first paused or full target of a service is tried again.
    pub fn next_chance(&self, service: &str, now: Duration) -> Option<Duration> {
        let listed = self.listed.values().filter(|t| t.service == service && !t.leaving);
        listed
            .filter_map(|target| self.standing.get(&target.id))
            .map(|standing| standing.paused_until.max(standing.full_until))
            .filter(|until| *until > now)
            .min()
    }
}

fn worse(one: NoChoice, other: NoChoice) -> NoChoice {
    match (one, other) {
        (NoChoice::AllFull, _) | (_, NoChoice::AllFull) => NoChoice::AllFull,
        (NoChoice::AllPaused, _) | (_, NoChoice::AllPaused) => NoChoice::AllPaused,
        (NoChoice::NoTargets, NoChoice::NoTargets) => NoChoice::NoTargets,
    }
}

/// Spreads ids over all of `u32`.
fn rustc_hash_of(id: &str) -> u32 {
    let hash = xxhash_rust::xxh3::xxh3_64(id.as_bytes());
    u32::try_from(hash & u64::from(u32::MAX)).unwrap_or_default()
}
