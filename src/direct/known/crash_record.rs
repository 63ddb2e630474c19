//! The record of the crashes of targets under one request, or under requests with one part in their
//! prompts.

use std::time::Duration;

use crate::direct::known::companions;
use crate::direct::known::heartbeat;

/// Time for which heartbeats repeat a report, so that the loss of some of them does not matter.
pub(super) const ANNOUNCEMENT_TIME: Duration = Duration::from_secs(2);

/// A request's record as entries send it to each other. Both counts only grow, so reports may
/// arrive late, twice or in any order.
#[derive(Clone, PartialEq, prost::Message)]
pub struct CrashReport {
    /// The request's fingerprint.
    #[prost(fixed64, tag = "1")]
    pub fingerprint: u64,
    /// Crashes of targets under the request, one after the other.
    #[prost(uint32, tag = "2")]
    pub crashes: u32,
    /// The value of `crashes` when the request was last answered.
    #[prost(uint32, tag = "3")]
    pub cleared: u32,
    /// Milliseconds until the record expires.
    #[prost(uint64, tag = "4")]
    pub ttl_ms: u64,
    /// True if the record is about a part of prompts, whose id takes the fingerprint's place.
    #[prost(bool, tag = "5")]
    pub part: bool,
    /// The crashes that no answer has cleared after which the subject is refused; 0 stands for
    /// [`MAX_CRASHES`](crate::entry::core::crashes::MAX_CRASHES).
    #[prost(uint32, tag = "6")]
    pub limit: u32,
    /// The parts of prompts that were in all crashes of this one and are not known to be sound.
    #[prost(fixed64, repeated, tag = "7")]
    pub companions: Vec<u64>,
    /// Milliseconds for which others wait for an attempt of the sender; 0 if none is under way. See
    /// [`crash_trials`](crate::direct::known::crash_trials).
    #[prost(uint64, tag = "8")]
    pub trial_ms: u64,
}

/// An attempt that other requests with the same subject wait for.
#[derive(Clone, Copy, Debug)]
pub(super) struct Trial {
    /// The crashes on record when it began; another one ends it.
    pub crashes: u32,
    /// When the others wait no longer, on the entry's clock.
    pub until: Duration,
}

/// A crash that was added to a request's record.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Crash {
    /// The request's fingerprint.
    pub fingerprint: u64,
    /// The crashes on its record that no answer has cleared.
    pub crashes: u32,
    /// The crashes after which it is refused.
    pub limit: u32,
    /// True if the request is refused from now on.
    pub refused: bool,
}

/// The record of a request, or of a part of prompts.
#[derive(Clone, Debug, Default)]
pub(super) struct Record {
    /// See [`CrashReport::crashes`].
    pub crashes: u32,
    /// See [`CrashReport::cleared`].
    pub cleared: u32,
    /// The uncleared crashes after which the subject is refused. It only grows, like the counts.
    pub limit: u32,
    /// The parts that were in all crashes since the last answer; see [`companions`].
    pub companions: Vec<u64>,
    /// True once the subject was refused.
    pub was_refused: bool,
    /// When the record expires, on the entry's clock.
    pub until: Duration,
    /// Heartbeats carry the record until then.
    pub announced_until: Duration,
    /// True if this entry changed the record and has not written it to the store since.
    pub unsaved: bool,
    /// True if this entry has written the record to the store.
    pub saved: bool,
    /// The trial of this entry.
    pub local_trial: Option<Trial>,
    /// The trial of another entry of which this one has heard last.
    pub remote_trial: Option<Trial>,
}

impl Record {
    /// Returns the crashes that no answer has cleared.
    pub fn uncleared(&self) -> u32 {
        self.crashes.saturating_sub(self.cleared)
    }

    /// Returns true if requests with the subject are refused.
    pub fn is_refused(&self) -> bool {
        self.limit > 0 && self.uncleared() >= self.limit
    }

    /// Takes the other parts of a crash into account, before it is counted.
    pub fn add_companions(&mut self, others: &[u64], now: Duration) {
        let companions = match self.uncleared() {
            0 => others.to_vec(),
            _ => companions::common(&self.companions, others),
        };
        if companions != self.companions {
            self.companions = companions;
            self.announced_until = now + ANNOUNCEMENT_TIME;
            self.unsaved |= self.is_refused();
        }
    }

    /// Returns the record as entries send it to each other.
    pub fn report(&self, fingerprint: u64, part: bool, now: Duration) -> CrashReport {
        let ttl_ms = heartbeat::millis(self.until.saturating_sub(now));
        CrashReport {
            fingerprint,
            crashes: self.crashes,
            cleared: self.cleared,
            ttl_ms,
            part,
            limit: self.limit,
            companions: self.companions.clone(),
            trial_ms: self.local_trial_left(now).map_or(0, heartbeat::millis),
        }
    }

    /// Returns the crash that was counted last.
    pub fn crash(&self, fingerprint: u64) -> Crash {
        let (crashes, refused) = (self.uncleared(), self.is_refused());
        Crash { fingerprint, crashes, limit: self.limit, refused }
    }
}
