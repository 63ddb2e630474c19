//! Whether a process may accept new work: its state was recently the latest, or a majority of the
//! data centre's entries holds nothing newer.

use std::result;
use std::sync::Arc;
use std::time::Duration;

use super::Replica;
use crate::config::peer_heartbeats::Peer;
use crate::config::{options, readers};

/// The result of asking whether new work may be accepted.
pub type Result<T> = result::Result<T, Stale>;

/// The reason a process refuses new work until its configuration is confirmed again.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Stale {
    /// It has no state yet.
    #[error("No configuration has been received since the process started.")]
    Empty,
    /// The state was last confirmed longer ago than the freshness time.
    #[error("The configuration at revision {revision} was last confirmed {age:?} ago.")]
    Old {
        /// The revision held.
        revision: u64,
        /// Time since the last confirmation.
        age: Duration,
    },
    /// No tick has run for longer than the pause limit, so timers and heartbeats are late.
    #[error("The process was paused and its configuration has not been confirmed since.")]
    Paused,
    /// The state has not been confirmed since the process started or resumed after a pause.
    #[error("The configuration at revision {revision} has not been confirmed yet.")]
    Joining {
        /// The revision held.
        revision: u64,
    },
}

impl Replica {
    /// Returns `Ok` if new work may be accepted.
    ///
    /// # Errors
    ///
    /// Returns the reason the process must refuse it as not executed.
    pub fn may_serve(&self, now: Duration) -> Result<()> {
        self.confirmed_at(now).map(drop)
    }

    /// Returns when the configuration was last confirmed, by its age or by a majority. Serving is
    /// allowed for the freshness time from then on.
    ///
    /// # Errors
    ///
    /// Returns the reason the process must refuse new work as not executed.
    pub fn confirmed_at(&self, now: Duration) -> Result<Duration> {
        let revision = self.revision();
        if revision == 0 {
            return Err(Stale::Empty);
        }
        if now.saturating_sub(self.last_tick) > self.options.timing.pause_limit {
            return Err(Stale::Paused);
        }
        let Some(confirmed_at) = self.current_as_of.max(self.majority_at) else {
            return Err(Stale::Joining { revision });
        };
        if confirmed_at < self.barrier {
            return Err(Stale::Joining { revision });
        }
        if self.is_within_freshness(confirmed_at, now) {
            return Ok(confirmed_at);
        }
        Err(Stale::Old { revision, age: now.saturating_sub(confirmed_at) })
    }

    /// Returns the other entries of the data centre: those that settings or host list name, and
    /// those that have sent a heartbeat.
    pub fn other_voters(&self) -> impl Iterator<Item = &Arc<str>> {
        let local = self.options.name.as_str();
        let unlisted = self.peers.iter().filter(|(name, peer)| {
            peer.entry
                && *peer.data_centre == *self.options.data_centre
                && !self.voters.contains(*name)
        });
        let listed = self.voters.iter().filter(move |name| &***name != local);
        listed.chain(unlisted.map(|(name, _)| name))
    }

    /// Returns the number of votes that are a majority in the data centre.
    pub fn majority(&self) -> usize {
        let voters = self.other_voters().count() + usize::from(self.options.entry);
        voters / 2 + 1
    }

    /// Returns 1 if this process is an entry that has a vote, else 0.
    pub fn local_vote(&self) -> usize {
        usize::from(self.options.entry && self.has_vote)
    }

    /// Gives a new incarnation its vote once it knows every revision that the previous one can
    /// have acknowledged: its state was the latest at some time after its start, or a majority
    /// of votes of other entries holds nothing newer.
    pub(super) fn acquire_vote(&mut self, now: Duration) {
        if self.has_vote || self.revision() == 0 {
            return;
        }
        let confirmed = self.current_as_of.is_some_and(|at| at >= self.started_at);
        let votes = self.votes(now, |peer, timing| peer.sent_recently(now, timing));
        self.has_vote = confirmed || votes.is_some_and(|votes| votes >= self.majority());
    }

    /// Confirms the state without the store if a majority of entries, each of which has sent
    /// heartbeats without a gap for twice the peer timeout, holds nothing newer.
    pub(super) fn renew_by_majority(&mut self, now: Duration) {
        if self.revision() == 0 {
            return;
        }
        let votes = self.votes(now, |peer, timing| peer.is_steady(now, timing));
        let needed = if self.options.guards.majority { self.majority() } else { 1 };
        if votes.is_some_and(|votes| votes + self.local_vote() >= needed) {
            self.majority_at = Some(now);
        }
    }

    /// Counts the other entries that have a vote and satisfy `passes`, or returns `None` if one of
    /// them holds a newer revision.
    fn votes(
        &self,
        now: Duration,
        passes: impl Fn(&Peer, &options::Timing) -> bool,
    ) -> Option<usize> {
        let timing = &self.options.timing;
        let mut votes = 0;
        for peer in self.other_voters().filter_map(|name| self.peers.get(name)) {
            if peer.sent_recently(now, timing) && peer.revision > self.revision() {
                return None;
            }
            votes += usize::from(peer.has_vote && passes(peer, timing));
        }
        Some(votes)
    }

    /// Returns true if this entry reads the store at present.
    pub(super) fn is_reader(&self, now: Duration) -> bool {
        let timing = &self.options.timing;
        if !self.options.entry {
            return false;
        }
        let started_recently = now <= self.started_at + 2 * timing.peer_timeout;
        let live = self.other_voters().filter(|name| {
            self.peers
                .get(name)
                .map_or(started_recently, |peer| peer.received_recently(now, timing))
        });
        let current_as_of = self.current_as_of.unwrap_or(self.started_at);
        let store_silence = now.saturating_sub(current_as_of).saturating_sub(timing.freshness);
        let (name, data_centre) = (&self.options.name, &self.options.data_centre);
        let live = live.map(|name| &**name);
        readers::is_reader(name, data_centre, live, self.options.readers, store_silence)
    }

    /// Returns how long ago the state was last known to be the store's latest: `None` for an entry
    /// without a vote, [`Duration::MAX`] if it was never known to be.
    pub(super) fn age(&self, now: Duration) -> Option<Duration> {
        if self.options.entry && !self.has_vote {
            return None;
        }
        Some(self.current_as_of.map_or(Duration::MAX, |at| now.saturating_sub(at)))
    }

    pub(super) fn is_within_freshness(&self, at: Duration, now: Duration) -> bool {
        now.saturating_sub(at) <= self.options.timing.freshness
    }
}
