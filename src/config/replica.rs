//! One process's replica of the configuration: a state machine without I/O, driven by events and
//! ticks.
//!
//! The state only advances to newer revisions, from the store or from a peer. A process serves
//! while its state is known to have been the latest within the freshness time or, if nobody can
//! reach the store, while a majority of its data centre's entries holds nothing newer.
//! docs/CONFIGURATION.md proves that a revision is then never reported as in force too early.

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

/// Peers that have sent no heartbeat for this many peer timeouts are removed.
const REMOVE_AFTER_PEER_TIMEOUTS: u32 = 20;

/// For this many peer timeouts after the start, a reader without a state expects it from a peer.
const PEERS_ONLY_PEER_TIMEOUTS: u32 = 4;

/// A message or result that reached the process.
#[derive(Clone, Debug)]
pub enum Event {
    /// The store answered a read of all resources.
    Snapshot(source::CallId, store::Range),
    /// The watch delivered the changes between two revisions.
    Changes(source::CallId, state::Delta),
    /// The store answered a read of the head key with the revision of its last write.
    Head(source::CallId, u64),
    /// A call failed or a watch ended.
    CallFailed(source::CallId),
    /// The store has compacted the history from which the watch was to start.
    Compacted(source::CallId),
    /// A heartbeat arrived.
    Heartbeat(Heartbeat),
    /// A peer answered a request for its state.
    PeerState(wire::ConfigState),
    /// The named peer, which holds the given revision, requests a newer state.
    PeerRequest(Arc<str>, u64),
}

/// An action for the owner of the replica to carry out.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Make this call to the store.
    Store(source::Call),
    /// Request the state of the named peer if it is newer than the given revision.
    RequestFrom(Arc<str>, u64),
    /// Send a state or delta to the named peer, which requested it.
    AnswerPeer(Arc<str>, wire::ConfigState),
    /// Derive the view again, for the state has advanced to this revision, and send heartbeats at
    /// once.
    StateChanged(u64),
}

/// The replica's part of a heartbeat that this process sends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LocalHeartbeat {
    /// The sequence number, which peers echo.
    pub sequence: u64,
    /// The revision held.
    pub revision: u64,
    /// How long ago that revision was known to be the store's latest; `None` for an entry that
    /// has no vote yet.
    pub age: Option<Duration>,
}

struct Request {
    peer: Arc<str>,
    sent_at: Duration,
}

/// The configuration held by one incarnation of a process.
pub struct Replica {
    options: options::Options,
    history: history::History,
    peers: PeerHeartbeats,
    source: source::Source,
    rng: rngs::StdRng,
    voters: Set<Arc<str>>,
    started_at: Duration,
    last_tick: Duration,
    /// Confirmations from before this time, the start or the end of the last pause, do not
    /// permit serving.
    barrier: Duration,
    /// The latest time at which the state held is known, from the store or a peer, to have been
    /// the store's latest.
    current_as_of: Option<Duration>,
    /// When a majority was last known to hold nothing newer.
    majority_at: Option<Duration>,
    /// A revision newer than the one held, and the time at which it was the store's latest.
    newer_known: Option<(u64, Duration)>,
    has_vote: bool,
    /// The request for a newer state that has not been answered.
    request: Option<Request>,
    /// The last peer that did not answer a request in time.
    unresponsive_peer: Option<Arc<str>>,
}

impl Replica {
    /// Creates the replica of a process that has just started and holds no state.
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
            current_as_of: None,
            majority_at: None,
            newer_known: None,
            has_vote: !options.guards.vote_barrier,
            request: None,
            unresponsive_peer: None,
            options,
        }
    }

    /// Returns the state held, to be shared.
    pub fn state(&self) -> &Arc<state::State> {
        self.history.state()
    }

    /// Returns the revision of the state held; zero before the first.
    pub fn revision(&self) -> u64 {
        self.history.revision()
    }

    /// Returns the options that the replica was created with.
    pub fn options(&self) -> &options::Options {
        &self.options
    }

    /// Returns the processes from which heartbeats have been received.
    pub fn peers(&self) -> &PeerHeartbeats {
        &self.peers
    }

    /// Returns the entries of the data centre as process names: those given to
    /// [`Replica::set_voters`], and this process if it is an entry.
    pub fn voters(&self) -> &Set<Arc<str>> {
        &self.voters
    }

    /// Sets the entries of the data centre, from settings and the host list. None is removed
    /// unless the state was the latest within the freshness time: a few entries that are cut off
    /// would otherwise become a majority.
    pub fn set_voters<'a>(&mut self, names: impl Iterator<Item = &'a str>, now: Duration) {
        let is_fresh = self.current_as_of.is_some_and(|at| self.is_within_freshness(at, now));
        if is_fresh {
            self.voters.clear();
        }
        self.voters.extend(names.map(Arc::from));
        if self.options.entry {
            self.voters.insert(Arc::from(self.options.name.as_str()));
        }
    }

    /// Returns the heartbeat that is sent to all peers now, with the next sequence number.
    pub fn next_heartbeat(&mut self, now: Duration) -> LocalHeartbeat {
        let sequence = self.peers.record_sent(now);
        LocalHeartbeat { sequence, revision: self.revision(), age: self.age(now) }
    }

    /// Handles one event and appends the resulting actions to `effects`.
    pub fn handle(&mut self, event: Event, now: Duration, effects: &mut Vec<Effect>) {
        self.detect_pause(now);
        let before = self.revision();
        let mut calls = Vec::new();
        match event {
            Event::Snapshot(id, range) => self.on_snapshot(id, &range, now),
            Event::Changes(id, delta) => self.on_changes(id, delta, now, &mut calls),
            Event::Head(id, revision) => self.on_head(id, revision, now, &mut calls),
            Event::CallFailed(id) => self.source.call_failed(id, now, &mut calls),
            Event::Compacted(id) if self.source.is_watching(id) => {
                self.source.restart_with_read(now, &mut calls);
            }
            Event::Compacted(_) => {}
            Event::Heartbeat(heartbeat) => self.on_heartbeat(&heartbeat, now),
            Event::PeerState(answer) => self.on_peer_state(&answer),
            Event::PeerRequest(peer, have) => self.on_peer_request(peer, have, now, effects),
        }
        effects.extend(calls.into_iter().map(Effect::Store));
        if self.revision() != before {
            self.on_state_changed(effects);
        }
        self.request_if_behind(now, effects);
    }

    /// Performs the actions that depend on time alone. Must run at least once in each heartbeat
    /// interval.
    pub fn tick(&mut self, now: Duration, effects: &mut Vec<Effect>) {
        self.detect_pause(now);
        self.last_tick = now;
        let timing = self.options.timing;
        self.peers.remove_silent(now, timing.peer_timeout * REMOVE_AFTER_PEER_TIMEOUTS);
        self.acquire_vote(now);
        self.renew_by_majority(now);
        self.request_if_behind(now, effects);
        let context = source::ReaderContext {
            is_reader: self.is_reader(now),
            revision: self.revision(),
            awaits_peer_state: self.awaits_peer_state(now),
        };
        let mut calls = Vec::new();
        self.source.tick(context, now, &mut calls);
        effects.extend(calls.into_iter().map(Effect::Store));
    }

    /// Returns true if the first state is expected from a peer. Some peer timeouts after the
    /// start the store is read all the same, because stale peers do not answer.
    fn awaits_peer_state(&self, now: Duration) -> bool {
        let timing = &self.options.timing;
        let started_recently =
            now <= self.started_at + PEERS_ONLY_PEER_TIMEOUTS * timing.peer_timeout;
        started_recently
            && self.peers.iter().any(|(_, p)| p.revision > 0 && p.received_recently(now, timing))
    }

    /// Invalidates earlier confirmations if no tick has run for longer than the pause limit.
    fn detect_pause(&mut self, now: Duration) {
        if now.saturating_sub(self.last_tick) <= self.options.timing.pause_limit {
            return;
        }
        self.last_tick = now;
        self.barrier = now;
        self.peers.reset_steady(now);
    }

    fn on_state_changed(&mut self, effects: &mut Vec<Effect>) {
        if let Some((revision, at)) = self.newer_known
            && revision <= self.revision()
        {
            self.newer_known = None;
            self.current_as_of = self.current_as_of.max(Some(at));
        }
        effects.push(Effect::StateChanged(self.revision()));
    }

    fn on_snapshot(&mut self, id: source::CallId, range: &store::Range, now: Duration) {
        let Some(sent_at) = self.source.read_answered(id, now) else { return };
        // A range older than the state is not an error: a peer's answer arrived before it.
        if self.history.replace(range).is_ok() || range.revision == self.revision() {
            self.current_as_of = self.current_as_of.max(Some(sent_at));
        }
    }

    fn on_changes(
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
            self.source.restart_with_read(now, calls);
        }
    }

    fn apply_delta(&mut self, mut delta: state::Delta) -> state::Result<()> {
        if !self.options.guards.no_gaps {
            delta.base_revision = delta.base_revision.min(self.revision());
        }
        self.history.apply_delta(&delta)
    }

    fn on_head(
        &mut self,
        id: source::CallId,
        revision: u64,
        now: Duration,
        calls: &mut Vec<source::Call>,
    ) {
        let is_behind = revision > self.revision();
        if let Some(sent_at) = self.source.probe_answered(id, is_behind, now, calls) {
            self.record_latest(revision, sent_at);
        }
    }

    fn on_heartbeat(&mut self, heartbeat: &Heartbeat, now: Duration) {
        let guards = self.options.guards;
        let sent_after = self.peers.record_received(heartbeat, now, guards.echo_timestamps);
        let age = if guards.age { heartbeat.age } else { heartbeat.age.map(|_| Duration::ZERO) };
        if let (Some(at), Some(age)) = (sent_after, age)
            && let Some(current_as_of) = at.checked_sub(age)
        {
            self.record_latest(heartbeat.revision, current_as_of);
        }
    }

    /// Records that a revision was the store's latest at some time. The state held was then the
    /// latest at that time or later, unless it is older than the revision.
    fn record_latest(&mut self, revision: u64, at: Duration) {
        if revision <= self.revision() {
            self.current_as_of = self.current_as_of.max(Some(at));
        } else if self.newer_known.is_none_or(|(_, known_at)| known_at < at) {
            self.newer_known = Some((revision, at));
        }
    }

    fn on_peer_state(&mut self, answer: &wire::ConfigState) {
        self.request = None;
        let mut answer = answer.clone();
        if !self.options.guards.no_gaps {
            answer.base_revision = answer.base_revision.min(1) * self.revision();
        }
        // An answer that is no longer newer or leaves a gap is dropped; the state is requested
        // again if a peer still reports a newer one.
        let applied = self.history.apply_answer(&answer);
        if !self.options.guards.forward_only
            && matches!(applied, Err(state::StateError::NotNewer { .. }))
        {
            self.history = history::History::default();
            let _ = self.history.apply_answer(&answer);
        }
    }

    /// Answers a peer that holds the revision `have`, unless the local state may be stale.
    fn on_peer_request(&self, peer: Arc<str>, have: u64, now: Duration, effects: &mut Vec<Effect>) {
        if self.may_serve(now).is_err() {
            return;
        }
        if let Some(answer) = self.history.answer(have) {
            effects.push(Effect::AnswerPeer(peer, answer));
        }
    }

    /// Requests the state of a random peer that reports a newer revision, unless a request is in
    /// progress. A peer that has just let a request time out is skipped if there are others.
    fn request_if_behind(&mut self, now: Duration, effects: &mut Vec<Effect>) {
        let timing = self.options.timing;
        if let Some(request) = &self.request {
            if now.saturating_sub(request.sent_at) <= timing.request_timeout {
                return;
            }
            self.unresponsive_peer = self.request.take().map(|request| request.peer);
        }
        let mut ahead: Vec<_> = self
            .peers
            .iter()
            .filter(|(_, p)| p.revision > self.revision() && p.received_recently(now, &timing))
            .map(|(name, _)| Arc::clone(name))
            .collect();
        if ahead.len() > 1 {
            ahead.retain(|name| Some(name) != self.unresponsive_peer.as_ref());
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
