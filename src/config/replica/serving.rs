//! Whether a process may take new work: by the age of its knowledge, or by its majority.

use std::result;
use std::sync::Arc;
use std::time::Duration;

use super::Replica;
use crate::config::peer_heartbeats::Peer;
use crate::config::{options, readers};

/// The result of asking whether new work may be taken.
pub type Result<T> = result::Result<T, Stale>;

/// Stale is why a process refuses new work until it has caught up.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Stale {
    /// It has no state yet.
    #[error("No configuration has been received since the start.")]
    Empty,
    /// What it holds may not be the latest.
    #[error("The configuration at revision {revision} was not known to be current for {age:?}.")]
    Old {
        /// The revision held.
        revision: u64,
        /// Since when.
        age: Duration,
    },
    /// It was paused and has not heard anyone since.
    #[error("The process was paused and has not confirmed its configuration since.")]
    Paused,
    /// Its life is too young, or it has just come back from a pause.
    #[error("The configuration at revision {revision} is not yet confirmed.")]
    Joining {
        /// The revision held.
        revision: u64,
    },
}

impl Replica {
    /// Tells whether new work may be taken.
    ///
    /// # Errors
    ///
    /// Returns why the process must refuse it as not run.
    pub fn may_serve(&self, now: Duration) -> Result<()> {
        self.confirmed_at(now).map(drop)
    }

    /// Returns when the configuration was last known to allow serving; the freshness time counts
    /// from there.
    ///
    /// # Errors
    ///
    /// Returns why the process must refuse new work as not run.
    pub fn confirmed_at(&self, now: Duration) -> Result<Duration> {
        let revision = self.revision();
        if revision == 0 {
            return Err(Stale::Empty);
        }
        if now.saturating_sub(self.last_tick) > self.options.timing.pause_limit {
            return Err(Stale::Paused);
        }
        let Some(valid_at) = self.current_at.max(self.majority_at) else {
            return Err(Stale::Joining { revision });
        };
        if valid_at < self.barrier {
            return Err(Stale::Joining { revision });
        }
        if self.is_within_freshness(valid_at, now) {
            return Ok(valid_at);
        }
        Err(Stale::Old { revision, age: now.saturating_sub(valid_at) })
    }

    /// Returns the other entries of the data centre that have a vote.
    pub fn other_voters(&self) -> impl Iterator<Item = &Arc<str>> {
        let own = self.options.name.as_str();
        let unlisted = self.peers.iter().filter(|(name, peer)| {
            peer.entry
                && *peer.data_centre == *self.options.data_centre
                && !self.voters.contains(*name)
        });
        let listed = self.voters.iter().filter(move |name| &***name != own);
        listed.chain(unlisted.map(|(name, _)| name))
    }

    /// Returns how many votes are a majority in the data centre.
    pub fn majority(&self) -> usize {
        let voters = self.other_voters().count() + usize::from(self.options.entry);
        voters / 2 + 1
    }

    /// Returns this process's own vote.
    pub fn local_vote(&self) -> usize {
        usize::from(self.options.entry && self.has_vote)
    }

    /// A new life gets its vote once it knows all that its last life can have acknowledged: by
    /// word from after its start, or from a majority of the others.
    pub(super) fn settle(&mut self, now: Duration) {
        if self.has_vote || self.revision() == 0 {
            return;
        }
        let confirmed = self.current_at.is_some_and(|at| at >= self.started_at);
        let votes = self.votes(now, |peer, timing| peer.sent_recently(now, timing));
        self.has_vote = confirmed || votes.is_some_and(|votes| votes >= self.majority());
    }

    /// Serving goes on without the store while a majority that has lasted holds nothing newer.
    pub(super) fn renew_by_majority(&mut self, now: Duration) {
        if self.revision() == 0 {
            return;
        }
        let votes = self.votes(now, |peer, timing| peer.is_steady(now, timing));
        let enough = if self.options.guards.majority { self.majority() } else { 1 };
        if votes.is_some_and(|votes| votes + self.local_vote() >= enough) {
            self.majority_at = Some(now);
        }
    }

    /// Counts the other voters that pass, or returns nothing where one of them is ahead.
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

    pub(super) fn is_reader(&self, now: Duration) -> bool {
        let timing = &self.options.timing;
        if !self.options.entry {
            return false;
        }
        let is_young = now <= self.started_at + 2 * timing.peer_timeout;
        let live = self.other_voters().filter(|name| {
            self.peers.get(name).map_or(is_young, |peer| peer.received_recently(now, timing))
        });
        let last_word = self.current_at.unwrap_or(self.started_at);
        let unheard = now.saturating_sub(last_word).saturating_sub(timing.freshness);
        let (name, data_centre) = (&self.options.name, &self.options.data_centre);
        let live = live.map(|name| &**name);
        readers::is_reader(name, data_centre, live, self.options.readers, unheard)
    }

    pub(super) fn age(&self, now: Duration) -> Option<Duration> {
        if self.options.entry && !self.has_vote {
            return None;
        }
        Some(self.current_at.map_or(Duration::MAX, |at| now.saturating_sub(at)))
    }

    pub(super) fn is_within_freshness(&self, at: Duration, now: Duration) -> bool {
        now.saturating_sub(at) <= self.options.timing.freshness
    }
}
