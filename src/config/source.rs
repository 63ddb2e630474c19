//! Schedules a store reader's calls: the initial range read, the watch, and reads of the head key.
//!
//! A watch does not show at what time the changes it delivers were the latest, and it may stop
//! delivering without an error. A reader therefore also reads [`HEAD_KEY`], which every
//! configuration change writes in its transaction: the response proves which revision was the
//! latest when the call was sent. Failed calls are retried with jittered exponential backoff, so
//! that the store is not flooded when it becomes available again.

use std::time::Duration;

use rand::{Rng, SeedableRng, rngs};

use crate::config::options;

/// Key that each transaction that changes the configuration writes; its modification revision is
/// the revision of the latest change.
pub const HEAD_KEY: &str = "/bitternwall/config-head";

/// Maximum number of times that the shortest backoff is doubled.
const MAX_DOUBLINGS: u32 = 8;

/// Consecutive reads of the head key that may return a newer revision than the watch has
/// delivered; with one more the watch is considered broken.
const MAX_LAGGING_PROBES: u32 = 2;

/// Identifies one call to the store, unique within one incarnation of a process.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct CallId(pub u64);

/// A call that a reader makes to the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Call {
    /// Reads all resources.
    Read(CallId),
    /// Watches the resources, starting with the changes after a revision.
    Watch {
        /// Identifies the watch in its events and in [`Call::Close`].
        id: CallId,
        /// The last revision whose changes are already known.
        after: u64,
    },
    /// Reads the head key.
    Probe(CallId),
    /// Closes the watch of this id.
    Close(CallId),
}

/// The replica's state on which the choice of the next call depends.
#[derive(Clone, Copy, Debug)]
pub struct ReaderContext {
    /// True if this process reads the store at present.
    pub is_reader: bool,
    /// The revision held; zero before the first state.
    pub revision: u64,
    /// True while the first state is expected from a peer, so that the store is not read for it.
    pub awaits_peer_state: bool,
}

#[derive(Clone, Copy, Debug)]
struct PendingCall {
    id: CallId,
    sent_at: Duration,
}

#[derive(Clone, Copy, Debug)]
enum Phase {
    Idle,
    /// A read of the head key, which is cheap, tests whether the store responds after a failure.
    Checking(PendingCall),
    Reading(PendingCall),
    Watching {
        id: CallId,
        probe: Option<PendingCall>,
        next_probe: Duration,
        lagging_probes: u32,
    },
}

/// Decides which calls one process makes to the store, and when.
pub struct Source {
    timing: options::Timing,
    rng: rngs::StdRng,
    next_id: u64,
    phase: Phase,
    /// Failures since the last probe that showed the watch to be up to date.
    failures: u32,
    retry_at: Duration,
    /// True if all resources must be read before the next watch, even though a state is held.
    needs_read: bool,
    /// True if no call has failed yet, or the store has answered a read of the head key since the
    /// last failure.
    store_checked: bool,
}

impl Source {
    /// Creates a source that has made no call. The first call is delayed by a random part of the
    /// peer timeout, so that heartbeats of peers arrive before it.
    pub fn new(seed: u64, now: Duration, timing: options::Timing) -> Self {
        let mut rng = rngs::StdRng::seed_from_u64(seed);
        let retry_at = now + jittered(timing.peer_timeout, &mut rng);
        Self {
            timing,
            rng,
            next_id: 1,
            phase: Phase::Idle,
            failures: 0,
            retry_at,
            needs_read: false,
            store_checked: true,
        }
    }

    /// Makes the calls that are due and fails those that have timed out.
    pub fn tick(&mut self, context: ReaderContext, now: Duration, calls: &mut Vec<Call>) {
        if !context.is_reader {
            self.abort(calls);
            return;
        }
        match self.phase {
            Phase::Idle if now >= self.retry_at => self.start_call(context, now, calls),
            Phase::Checking(call) | Phase::Reading(call) if self.is_overdue(call, now) => {
                self.fail(now, calls);
            }
            Phase::Watching { probe: Some(call), .. } if self.is_overdue(call, now) => {
                self.fail(now, calls);
            }
            Phase::Watching { id, probe: None, next_probe, lagging_probes }
                if now >= next_probe =>
            {
                let probe = PendingCall { id: self.next_call_id(), sent_at: now };
                self.phase = Phase::Watching { id, probe: Some(probe), next_probe, lagging_probes };
                calls.push(Call::Probe(probe.id));
            }
            _ => {}
        }
    }

    /// Handles the response to a read and returns when the call was sent, or `None` if the call
    /// had been abandoned.
    pub fn read_answered(&mut self, id: CallId, now: Duration) -> Option<Duration> {
        let Phase::Reading(call) = self.phase else { return None };
        if call.id != id {
            return None;
        }
        self.needs_read = false;
        self.phase = Phase::Idle;
        self.retry_at = now;
        Some(call.sent_at)
    }

    /// Returns true if `id` is the id of the current watch.
    pub fn is_watching(&self, id: CallId) -> bool {
        matches!(self.phase, Phase::Watching { id: current, .. } if current == id)
    }

    /// Handles the response to a read of the head key and returns when the call was sent, or
    /// `None` if the call had been abandoned. `is_behind` is true if the response has a newer
    /// revision than the replica holds.
    pub fn probe_answered(
        &mut self,
        id: CallId,
        is_behind: bool,
        now: Duration,
        calls: &mut Vec<Call>,
    ) -> Option<Duration> {
        if let Phase::Checking(call) = self.phase
            && call.id == id
        {
            (self.phase, self.store_checked, self.retry_at) = (Phase::Idle, true, now);
            return Some(call.sent_at);
        }
        let Phase::Watching { id: watch, probe: Some(call), lagging_probes, .. } = self.phase
        else {
            return None;
        };
        if call.id != id {
            return None;
        }
        let lagging_probes = if is_behind { lagging_probes + 1 } else { 0 };
        let next_probe = now + half_jittered(self.timing.probe_interval, &mut self.rng);
        self.phase = Phase::Watching { id: watch, probe: None, next_probe, lagging_probes };
        if lagging_probes > MAX_LAGGING_PROBES {
            self.fail(now, calls);
        } else if !is_behind {
            self.failures = 0;
        }
        Some(call.sent_at)
    }

    /// Handles the failure of a call. Failures of abandoned calls are ignored.
    pub fn call_failed(&mut self, id: CallId, now: Duration, calls: &mut Vec<Call>) {
        let is_current = match self.phase {
            Phase::Idle => false,
            Phase::Checking(call) | Phase::Reading(call) => call.id == id,
            Phase::Watching { id: watch, probe, .. } => {
                watch == id || probe.is_some_and(|call| call.id == id)
            }
        };
        if is_current {
            self.fail(now, calls);
        }
    }

    /// Abandons the current call and reads all resources after the backoff, because the store has
    /// compacted the history that the watch needs or the watch has left a gap.
    pub fn restart_with_read(&mut self, now: Duration, calls: &mut Vec<Call>) {
        self.needs_read = true;
        self.fail(now, calls);
    }

    /// Makes the first call after a wait: a check of the store after a failure, else a watch or,
    /// without a state to start it from, a read.
    fn start_call(&mut self, context: ReaderContext, now: Duration, calls: &mut Vec<Call>) {
        let id = self.next_call_id();
        if !self.store_checked {
            self.phase = Phase::Checking(PendingCall { id, sent_at: now });
            calls.push(Call::Probe(id));
        } else if context.revision > 0 && !self.needs_read {
            let next_probe = now;
            self.phase = Phase::Watching { id, probe: None, next_probe, lagging_probes: 0 };
            calls.push(Call::Watch { id, after: context.revision });
        } else if self.needs_read || !context.awaits_peer_state {
            self.phase = Phase::Reading(PendingCall { id, sent_at: now });
            calls.push(Call::Read(id));
        }
    }

    /// Abandons the current call and closes the watch.
    fn abort(&mut self, calls: &mut Vec<Call>) {
        if let Phase::Watching { id, .. } = self.phase {
            calls.push(Call::Close(id));
        }
        self.phase = Phase::Idle;
    }

    /// Abandons the current call and schedules the next one, which checks the store.
    fn fail(&mut self, now: Duration, calls: &mut Vec<Call>) {
        self.abort(calls);
        self.store_checked = false;
        let doublings = self.failures.min(MAX_DOUBLINGS);
        let wait = self.timing.backoff_min.saturating_mul(1 << doublings);
        self.failures = self.failures.saturating_add(1);
        self.retry_at = now + half_jittered(wait.min(self.timing.backoff_max), &mut self.rng);
    }

    fn is_overdue(&self, call: PendingCall, now: Duration) -> bool {
        now.saturating_sub(call.sent_at) > self.timing.call_timeout
    }

    fn next_call_id(&mut self) -> CallId {
        let id = CallId(self.next_id);
        self.next_id += 1;
        id
    }
}

/// Returns a random duration between half of `time` and all of it.
fn half_jittered(time: Duration, rng: &mut rngs::StdRng) -> Duration {
    time / 2 + jittered(time / 2, rng)
}

/// Returns a random duration between zero and `time`.
fn jittered(time: Duration, rng: &mut rngs::StdRng) -> Duration {
    time.mul_f64(rng.random_range(0.0..1.0))
}
