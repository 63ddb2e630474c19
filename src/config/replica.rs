//! The configuration as one process holds it: pure decisions, driven by events and ticks.
//!
//! The state moves forward only, from the store or a peer. A process serves while what it holds
//! was surely the latest within the freshness time or, with the store out of everyone's reach,
//! while a majority of its data centre's entries holds nothing newer. docs/CONFIGURATION.md
//! proves why "in force" is then never said too early.

use std::sync::Arc;
use std::time::Duration;

use rand::{Rng, SeedableRng, rngs};

use crate::collections::Set;
use crate::config::peer_heartbeats::{Heartbeat, PeerHeartbeats};
use crate::config::{history, options, source, state};
use crate::external::store;
use crate::wire;

pub use serving::{Result, Stale};

mod serving;

/// Rows of processes that were not heard for this many peer timeouts are dropped.
const FORGET_PEER_TIMEOUTS: u32 = 20;

/// A reader without a state leaves it to its peers for this many peer timeouts.
const PEERS_FIRST_PEER_TIMEOUTS: u32 = 4;

/// Event is what reached the process.
#[derive(Clone, Debug)]
pub enum Event {
    /// The store answered a read of all resources.
    Snapshot(source::CallId, store::Range),
    /// The watch told the changes between two revisions.
    Changes(source::CallId, state::Delta),
    /// The store answered a read of the head key with the revision of its last write.
    Head(source::CallId, u64),
    /// A call failed or its watch broke.
    CallFailed(source::CallId),
    /// The store has dropped the history that the watch asked for.
    Compacted(source::CallId),
    /// A heartbeat arrived.
    Heartbeat(Heartbeat),
    /// A peer answered with its state.
    PeerState(wire::ConfigState),
    /// A peer that holds the second revision asks for newer state.
    PeerRequest(Arc<str>, u64),
}

/// Effect is what the process is to do.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Calls the store.
    Store(source::Call),
    /// Asks a peer for its state if newer than the revision.
    RequestFrom(Arc<str>, u64),
    /// Answers a peer.
    AnswerPeer(Arc<str>, wire::ConfigState),
    /// Derives the view anew: a newer state is in force here. Heartbeats go out at once.
    StateChanged(u64),
}

/// LocalHeartbeat is what the own heartbeat says.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LocalHeartbeat {
    /// Its number.
    pub sequence: u64,
    /// The revision held.
    pub revision: u64,
    /// How long ago it was known to be the latest; absent without a vote.
    pub age: Option<Duration>,
}

struct Request {
    peer: Arc<str>,
    sent_at: Duration,
}

/// Replica is the configuration of one life of one process.
pub struct Replica {
    options: options::Options,
    history: history::History,
    peers: PeerHeartbeats,
    source: source::Source,
    rng: rngs::StdRng,
    voters: Set<Arc<str>>,
    started_at: Duration,
    last_tick: Duration,
    /// Knowledge from before this time does not let the process serve.
    barrier: Duration,
    /// When the state was last known to be the store's latest, by the store's or a peer's word.
    current_at: Option<Duration>,
    /// When a majority last held nothing newer.
    majority_at: Option<Duration>,
    /// Word of a newer revision that was the latest at that time.
    ahead: Option<(u64, Duration)>,
    has_vote: bool,
    request: Option<Request>,
    last_failed: Option<Arc<str>>,
}

impl Replica {
    /// Returns a process that has just started and holds nothing.
    pub fn new(options: options::Options, now: Duration) -> Self {
        let mut rng = rngs::StdRng::seed_from_u64(options.seed);
        let timing = options.timing;
        let barrier = if options.guards.join_barrier { now } else { Duration::ZERO };
        Self {
            history: history::History::default(),
            peers: PeerHeartbeats::new(u64::from(rng.random::<u32>()) << 24 | 1, timing),
            source: source::Source::new(rng.random(), now, timing),
            rng,
            voters: Set::default(),
            started_at: now,
            last_tick: now,
            barrier,
            current_at: None,
            majority_at: None,
            ahead: None,
            has_vote: !options.guards.vote_barrier,
            request: None,
            last_failed: None,
            options,
        }
    }

    /// Returns the state in force here, to be shared.
    pub fn state(&self) -> &Arc<state::State> {
        self.history.state()
    }

    /// Returns the revision in force here.
    pub fn revision(&self) -> u64 {
        self.history.revision()
    }

    /// Returns who this process is.
    pub fn options(&self) -> &options::Options {
        &self.options
    }

    /// Returns the processes that were heard.
    pub fn peers(&self) -> &PeerHeartbeats {
        &self.peers
    }

    /// Returns the entries of the data centre that have a vote, by the lists.
    pub fn voters(&self) -> &Set<Arc<str>> {
        &self.voters
    }

    /// Sets the entries of the data centre, from settings and the host list. Without fresh
    /// knowledge none is taken away, or a few that are cut off would become a majority.
    pub fn set_voters<'a>(&mut self, names: impl Iterator<Item = &'a str>, now: Duration) {
        let is_fresh = self.current_at.is_some_and(|at| self.is_within_freshness(at, now));
        if is_fresh {
            self.voters.clear();
        }
        self.voters.extend(names.map(Arc::from));
        if self.options.entry {
            self.voters.insert(Arc::from(self.options.name.as_str()));
        }
    }

    /// Numbers and returns the heartbeat that goes to all peers now.
    pub fn next_heartbeat(&mut self, now: Duration) -> LocalHeartbeat {
        let sequence = self.peers.record_sent(now);
        LocalHeartbeat { sequence, revision: self.revision(), age: self.age(now) }
    }

    /// Takes one event.
    pub fn handle(&mut self, event: Event, now: Duration, effects: &mut Vec<Effect>) {
        self.notice_pause(now);
        let before = self.revision();
        let mut calls = Vec::new();
        match event {
            Event::Snapshot(id, range) => self.take_snapshot(id, &range, now),
            Event::Changes(id, delta) => self.take_changes(id, delta, now, &mut calls),
            Event::Head(id, revision) => self.take_head(id, revision, now, &mut calls),
            Event::CallFailed(id) => self.source.call_failed(id, now, &mut calls),
            Event::Compacted(id) if self.source.is_watching(id) => {
                self.source.read_again(now, &mut calls);
            }
            Event::Compacted(_) => {}
            Event::Heartbeat(heard) => self.take_heartbeat(&heard, now),
            Event::PeerState(answer) => self.take_answer(&answer),
            Event::PeerRequest(peer, have) => self.answer(peer, have, now, effects),
        }
        effects.extend(calls.into_iter().map(Effect::Store));
        if self.revision() != before {
            self.moved(effects);
        }
        self.request_if_behind(now, effects);
    }

    /// Does what time alone calls for. Runs at least once in each heartbeat interval.
    pub fn tick(&mut self, now: Duration, effects: &mut Vec<Effect>) {
        self.notice_pause(now);
        self.last_tick = now;
        let timing = self.options.timing;
        self.peers.forget(now, timing.peer_timeout * FORGET_PEER_TIMEOUTS);
        self.settle(now);
        self.renew_by_majority(now);
        self.request_if_behind(now, effects);
        let need = source::Need {
            reader: self.is_reader(now),
            held: self.revision(),
            peer_offers: self.peer_offers(now),
        };
        let mut calls = Vec::new();
        self.source.tick(need, now, &mut calls);
        effects.extend(calls.into_iter().map(Effect::Store));
    }

    /// Tells whether a first state is to come from a peer. After a while the store is asked all
    /// the same, for peers that are stale do not answer.
    fn peer_offers(&self, now: Duration) -> bool {
        let timing = &self.options.timing;
        let is_young = now <= self.started_at + PEERS_FIRST_PEER_TIMEOUTS * timing.peer_timeout;
        is_young
            && self.peers.iter().any(|(_, c)| c.revision > 0 && c.received_recently(now, timing))
    }

    fn notice_pause(&mut self, now: Duration) {
        if now.saturating_sub(self.last_tick) <= self.options.timing.pause_limit {
            return;
        }
        self.last_tick = now;
        self.barrier = now;
        self.peers.reset_steady(now);
    }

    fn moved(&mut self, effects: &mut Vec<Effect>) {
        if let Some((revision, at)) = self.ahead
            && revision <= self.revision()
        {
            self.ahead = None;
            self.current_at = self.current_at.max(Some(at));
        }
        effects.push(Effect::StateChanged(self.revision()));
    }

    fn take_snapshot(&mut self, id: source::CallId, range: &store::Range, now: Duration) {
        let Some(sent_at) = self.source.read_answered(id, now) else { return };
        // A range that is older than the state is no error: a peer was faster.
        if self.history.replace(range).is_ok() || range.revision == self.revision() {
            self.current_at = self.current_at.max(Some(sent_at));
        }
    }

    fn take_changes(
        &mut self,
        id: source::CallId,
        delta: state::Delta,
        now: Duration,
        calls: &mut Vec<source::Call>,
    ) {
        if !self.source.is_watching(id) {
            return;
        }
        if matches!(self.apply_delta(delta), Err(state::StateError::Gap { .. })) {
            self.source.read_again(now, calls);
        }
    }

    fn apply_delta(&mut self, mut delta: state::Delta) -> state::Result<()> {
        if !self.options.guards.no_gaps {
            delta.base_revision = delta.base_revision.min(self.revision());
        }
        self.history.apply_delta(&delta)
    }

    fn take_head(
        &mut self,
        id: source::CallId,
        revision: u64,
        now: Duration,
        calls: &mut Vec<source::Call>,
    ) {
        let is_behind = revision > self.revision();
        if let Some(sent_at) = self.source.probe_answered(id, is_behind, now, calls) {
            self.learn(revision, sent_at);
        }
    }

    fn take_heartbeat(&mut self, heard: &Heartbeat, now: Duration) {
        let guards = self.options.guards;
        let sent_after = self.peers.record_received(heard, now, guards.echo_timestamps);
        let age = if guards.age { heard.age } else { heard.age.map(|_| Duration::ZERO) };
        if let (Some(at), Some(age)) = (sent_after, age)
            && let Some(current_at) = at.checked_sub(age)
        {
            self.learn(heard.revision, current_at);
        }
    }

    /// Takes word that a revision was the store's latest at some time. The own state is then
    /// current at that time or later, unless it is older than the revision.
    fn learn(&mut self, revision: u64, at: Duration) {
        if revision <= self.revision() {
            self.current_at = self.current_at.max(Some(at));
        } else if self.ahead.is_none_or(|(_, known_at)| known_at < at) {
            self.ahead = Some((revision, at));
        }
    }

    fn take_answer(&mut self, answer: &wire::ConfigState) {
        self.request = None;
        let mut answer = answer.clone();
        if !self.options.guards.no_gaps {
            answer.base_revision = answer.base_revision.min(1) * self.revision();
        }
        // An answer that is no longer newer or leaves a gap is asked for again if need be.
        let taken = self.history.apply_answer(&answer);
        if !self.options.guards.forward_only
            && matches!(taken, Err(state::StateError::NotNewer { .. }))
        {
            self.history = history::History::default();
            let _ = self.history.apply_answer(&answer);
        }
    }

    fn answer(&self, peer: Arc<str>, have: u64, now: Duration, effects: &mut Vec<Effect>) {
        if self.may_serve(now).is_err() {
            return;
        }
        if let Some(answer) = self.history.answer(have) {
            effects.push(Effect::AnswerPeer(peer, answer));
        }
    }

    fn request_if_behind(&mut self, now: Duration, effects: &mut Vec<Effect>) {
        let timing = self.options.timing;
        if let Some(request) = &self.request {
            if now.saturating_sub(request.sent_at) <= timing.request_timeout {
                return;
            }
            self.last_failed = self.request.take().map(|request| request.peer);
        }
        let mut ahead: Vec<_> = self
            .peers
            .iter()
            .filter(|(_, c)| c.revision > self.revision() && c.received_recently(now, &timing))
            .map(|(name, _)| Arc::clone(name))
            .collect();
        if ahead.len() > 1 {
            ahead.retain(|name| Some(name) != self.last_failed.as_ref());
        }
        if ahead.is_empty() {
            return;
        }
        ahead.sort_unstable();
        let peer = ahead.swap_remove(self.rng.random_range(0..ahead.len()));
        effects.push(Effect::RequestFrom(Arc::clone(&peer), self.revision()));
        self.request = Some(Request { peer, sent_at: now });
    }
}
