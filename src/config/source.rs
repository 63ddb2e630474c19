//! A reader's calls to the store: the first range, the watch, and reads of the head key.
//!
//! A watch alone cannot date what it tells, and it may go silent for good. So a reader also
//! reads [`HEAD_KEY`], which each change of configuration writes in its transaction: the answer
//! proves which revision was the latest when the call was sent. Failed calls are made again
//! after a jittered wait that doubles, so that nothing stampedes when the store returns.

use std::time::Duration;

use rand::{Rng, SeedableRng, rngs};

use crate::config::options;

/// Written by each transaction that changes the configuration; its last write has the revision
/// of the latest change.
pub const HEAD_KEY: &str = "/bitternwall/config-head";

/// Doublings of the shortest wait, at most.
const MAX_DOUBLINGS: u32 = 8;

/// Reads of the head key in a row that are newer than what the watch has told, before the watch
/// counts as broken.
const MAX_LAGGING_PROBES: u32 = 2;

/// CallId names one call to the store, in one life of one process.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct CallId(pub u64);

/// Call is what a reader asks the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Call {
    /// Reads all resources.
    Read(CallId),
    /// Watches the resources, beginning with the changes after a revision.
    Watch {
        /// The watch.
        id: CallId,
        /// The changes up to this revision are known.
        after: u64,
    },
    /// Reads the head key.
    Probe(CallId),
    /// Ends the watch.
    Close(CallId),
}

/// What a reader needs to know to choose its next call.
#[derive(Clone, Copy, Debug)]
pub struct Need {
    /// True where this process is to read the store.
    pub reader: bool,
    /// The revision held; zero before the first.
    pub held: u64,
    /// True where a peer may give the first state.
    pub peer_offers: bool,
}

#[derive(Clone, Copy, Debug)]
struct Sent {
    id: CallId,
    at: Duration,
}

#[derive(Clone, Copy, Debug)]
enum Phase {
    Idle,
    /// After a failure one cheap call tells whether the store is back.
    Checking(Sent),
    Reading(Sent),
    Watching {
        id: CallId,
        probe: Option<Sent>,
        next_probe: Duration,
        lagging: u32,
    },
}

/// Source is the store as one process sees it.
pub struct Source {
    timing: options::Timing,
    rng: rngs::StdRng,
    next_call: u64,
    phase: Phase,
    failures: u32,
    retry_at: Duration,
    read_again: bool,
    /// True where the store answered a cheap call after the last failure.
    checked: bool,
}

impl Source {
    /// Returns a source that has made no call; the first one waits for a part of the peer
    /// timeout, so that peers are heard first.
    pub fn new(seed: u64, now: Duration, timing: options::Timing) -> Self {
        let mut rng = rngs::StdRng::seed_from_u64(seed);
        let retry_at = now + jittered(timing.peer_timeout, &mut rng);
        Self {
            timing,
            rng,
            next_call: 1,
            phase: Phase::Idle,
            failures: 0,
            retry_at,
            read_again: false,
            checked: true,
        }
    }

    /// Makes the calls that are due and gives up those that got no answer.
    pub fn tick(&mut self, need: Need, now: Duration, calls: &mut Vec<Call>) {
        if !need.reader {
            self.close(calls);
            return;
        }
        match self.phase {
            Phase::Idle if now >= self.retry_at => self.open(need, now, calls),
            Phase::Checking(sent) | Phase::Reading(sent) if self.is_overdue(sent, now) => {
                self.fail(now, calls);
            }
            Phase::Watching { probe: Some(sent), .. } if self.is_overdue(sent, now) => {
                self.fail(now, calls);
            }
            Phase::Watching { id, probe: None, next_probe, lagging } if now >= next_probe => {
                let probe = Sent { id: self.call_id(), at: now };
                self.phase = Phase::Watching { id, probe: Some(probe), next_probe, lagging };
                calls.push(Call::Probe(probe.id));
            }
            _ => {}
        }
    }

    /// Takes the answer to a read and returns when it was sent, unless the call was given up.
    pub fn read_answered(&mut self, id: CallId, now: Duration) -> Option<Duration> {
        let Phase::Reading(sent) = self.phase else { return None };
        if sent.id != id {
            return None;
        }
        self.read_again = false;
        self.phase = Phase::Idle;
        self.retry_at = now;
        Some(sent.at)
    }

    /// Tells whether the changes come from the present watch.
    pub fn is_watching(&self, id: CallId) -> bool {
        matches!(self.phase, Phase::Watching { id: present, .. } if present == id)
    }

    /// Takes the answer to a probe and returns when it was sent, unless the call was given up.
    pub fn probe_answered(
        &mut self,
        id: CallId,
        is_behind: bool,
        now: Duration,
        calls: &mut Vec<Call>,
    ) -> Option<Duration> {
        if let Phase::Checking(sent) = self.phase
            && sent.id == id
        {
            (self.phase, self.checked, self.retry_at) = (Phase::Idle, true, now);
            return Some(sent.at);
        }
        let Phase::Watching { id: watch, probe: Some(sent), lagging, .. } = self.phase else {
            return None;
        };
        if sent.id != id {
            return None;
        }
        let lagging = if is_behind { lagging + 1 } else { 0 };
        let next_probe = now + spread(self.timing.probe_interval, &mut self.rng);
        self.phase = Phase::Watching { id: watch, probe: None, next_probe, lagging };
        if lagging > MAX_LAGGING_PROBES {
            self.fail(now, calls);
        } else if !is_behind {
            self.failures = 0;
        }
        Some(sent.at)
    }

    /// Takes the failure of a call, unless it was given up before.
    pub fn call_failed(&mut self, id: CallId, now: Duration, calls: &mut Vec<Call>) {
        let is_present = match self.phase {
            Phase::Idle => false,
            Phase::Checking(sent) | Phase::Reading(sent) => sent.id == id,
            Phase::Watching { id: watch, probe, .. } => {
                watch == id || probe.is_some_and(|sent| sent.id == id)
            }
        };
        if is_present {
            self.fail(now, calls);
        }
    }

    /// Makes the next call a read of all resources: the store has dropped the history, or the
    /// watch left a gap.
    pub fn read_again(&mut self, now: Duration, calls: &mut Vec<Call>) {
        self.read_again = true;
        self.fail(now, calls);
    }

    fn open(&mut self, need: Need, now: Duration, calls: &mut Vec<Call>) {
        let id = self.call_id();
        if !self.checked {
            self.phase = Phase::Checking(Sent { id, at: now });
            calls.push(Call::Probe(id));
        } else if need.held > 0 && !self.read_again {
            let next_probe = now;
            self.phase = Phase::Watching { id, probe: None, next_probe, lagging: 0 };
            calls.push(Call::Watch { id, after: need.held });
        } else if self.read_again || !need.peer_offers {
            self.phase = Phase::Reading(Sent { id, at: now });
            calls.push(Call::Read(id));
        }
    }

    fn close(&mut self, calls: &mut Vec<Call>) {
        if let Phase::Watching { id, .. } = self.phase {
            calls.push(Call::Close(id));
        }
        self.phase = Phase::Idle;
    }

    fn fail(&mut self, now: Duration, calls: &mut Vec<Call>) {
        self.close(calls);
        self.checked = false;
        let doublings = self.failures.min(MAX_DOUBLINGS);
        let wait = self.timing.backoff_min.saturating_mul(1 << doublings);
        self.failures = self.failures.saturating_add(1);
        self.retry_at = now + spread(wait.min(self.timing.backoff_max), &mut self.rng);
    }

    fn is_overdue(&self, sent: Sent, now: Duration) -> bool {
        now.saturating_sub(sent.at) > self.timing.call_timeout
    }

    fn call_id(&mut self) -> CallId {
        let id = CallId(self.next_call);
        self.next_call += 1;
        id
    }
}

/// Returns between half and the whole of a time.
fn spread(time: Duration, rng: &mut rngs::StdRng) -> Duration {
    time / 2 + jittered(time / 2, rng)
}

fn jittered(time: Duration, rng: &mut rngs::StdRng) -> Duration {
    time.mul_f64(rng.random_range(0.0..1.0))
}
