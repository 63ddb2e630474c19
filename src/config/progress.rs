//! Which revision is in force everywhere, as one entry can tell.
//!
//! A process that was heard counts by its word. One that is silent counts as having stopped
//! only once a majority of the entries has held the revision for the silence limit: by then it
//! has lost its knowledge or its majority. A whole data centre that is silent may serve on, so
//! it is named and never counted out: see docs/CONFIGURATION.md.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use crate::collections::{Map, Set};
use crate::config::replica;
use crate::wire;

/// Revisions whose majority is remembered.
const MAX_CERTIFIED: usize = 64;

/// InForce is how far a revision has come.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum InForce {
    /// Every process that may serve holds it.
    Everywhere,
    /// Some processes or data centres that may serve do not hold it yet.
    Waiting {
        /// Processes of the own data centre, then other data centres, in order.
        names: Vec<String>,
    },
    /// Some data centres have not been heard and may serve on without it.
    Unreachable {
        /// The data centres, in order.
        data_centres: Vec<String>,
        /// What is waited for besides.
        waiting: Vec<String>,
    },
}

struct Candidate {
    revision: u64,
    at: Duration,
    lives: Vec<(Arc<str>, u64)>,
}

struct Summary {
    revision: u64,
    heard_at: Option<Duration>,
}

/// Progress is the progress of the configuration as one entry knows it.
#[derive(Default)]
pub struct Progress {
    expected: Set<Arc<str>>,
    data_centres: Map<Arc<str>, Summary>,
    candidate: Option<Candidate>,
    /// Revisions with the time since when a majority surely held them, both increasing.
    certified: VecDeque<(u64, Duration)>,
}

impl Progress {
    /// Sets the processes of the own data centre, from the lists and the configuration.
    pub fn set_expected_processes<'a>(&mut self, names: impl Iterator<Item = &'a str>) {
        self.expected = names.map(Arc::from).collect();
    }

    /// Sets the other data centres, from the settings.
    pub fn set_data_centres<'a>(&mut self, names: impl Iterator<Item = &'a str>) {
        let names: Set<Arc<str>> = names.map(Arc::from).collect();
        self.data_centres.retain(|name, _| names.contains(name));
        for name in names {
            self.data_centres.entry(name).or_insert(Summary { revision: 0, heard_at: None });
        }
    }

    /// Takes what a peer says of another data centre. What was once in force there stays so.
    pub fn record_summary(&mut self, summary: &wire::RegionProgress, now: Duration) {
        let Some(row) = self.data_centres.get_mut(summary.data_centre.as_str()) else { return };
        row.revision = row.revision.max(summary.revision);
        let heard_at = now.checked_sub(Duration::from_millis(summary.age_ms));
        row.heard_at = row.heard_at.max(heard_at);
    }

    /// Notes which revision a majority of the entries holds.
    pub fn tick(&mut self, replica: &replica::Replica, now: Duration) {
        self.certify(replica, now);
        if self.candidate.is_none() {
            self.candidate = self.find_candidate(replica, now);
        }
    }

    /// Returns what the own data centre tells others, and what it has heard of others.
    pub fn summaries(
        &self,
        replica: &replica::Replica,
        now: Duration,
    ) -> Vec<wire::RegionProgress> {
        let own = wire::RegionProgress {
            data_centre: replica.options().data_centre.clone(),
            revision: self.data_centre_revision(replica, now),
            age_ms: 0,
        };
        let others = self.data_centres.iter().filter_map(|(name, row)| {
            let age = now.saturating_sub(row.heard_at?).as_millis();
            Some(wire::RegionProgress {
                data_centre: name.to_string(),
                revision: row.revision,
                age_ms: u64::try_from(age).unwrap_or(u64::MAX),
            })
        });
        std::iter::once(own).chain(others).collect()
    }

    /// Tells how far a revision has come.
    pub fn in_force(&self, replica: &replica::Replica, revision: u64, now: Duration) -> InForce {
        let mut waiting = self.waiting_here(replica, revision, now);
        let limit = replica.options().timing.silence_limit();
        let mut unreachable = Vec::new();
        for (name, row) in self.data_centres.iter().filter(|(_, row)| row.revision < revision) {
            let is_heard = row.heard_at.is_some_and(|at| now.saturating_sub(at) <= limit);
            let list = if is_heard { &mut waiting } else { &mut unreachable };
            list.push(name.to_string());
        }
        unreachable.sort_unstable();
        match (unreachable.is_empty(), waiting.is_empty()) {
            (true, true) => InForce::Everywhere,
            (true, false) => InForce::Waiting { names: waiting },
            (false, _) => InForce::Unreachable { data_centres: unreachable, waiting },
        }
    }

    /// Returns the highest revision that every process here that may serve holds.
    pub fn data_centre_revision(&self, replica: &replica::Replica, now: Duration) -> u64 {
        let mut lowest = replica.revision();
        for (_, held) in self.processes(replica, now) {
            lowest = lowest.min(held.unwrap_or_else(|| self.outlasted(replica, now)));
        }
        lowest
    }

    fn waiting_here(
        &self,
        replica: &replica::Replica,
        revision: u64,
        now: Duration,
    ) -> Vec<String> {
        let outlasted = self.outlasted(replica, now);
        let own = (replica.options().name.clone(), Some(replica.revision()));
        let others = self.processes(replica, now).map(|(name, held)| (name.to_string(), held));
        let mut names: Vec<_> = std::iter::once(own)
            .chain(others)
            .filter(|(_, held)| held.unwrap_or(outlasted) < revision)
            .map(|(name, _)| name)
            .collect();
        names.sort_unstable();
        names.dedup();
        names
    }

    /// Returns the other processes of the data centre with the revisions that they hold; none
    /// for a silent one.
    fn processes<'a>(
        &'a self,
        replica: &'a replica::Replica,
        now: Duration,
    ) -> impl Iterator<Item = (&'a Arc<str>, Option<u64>)> {
        let options = replica.options();
        let heard = replica
            .peers()
            .iter()
            .filter(|(_, peer)| *peer.data_centre == *options.data_centre)
            .map(move |(name, peer)| {
                (name, peer.sent_recently(now, &options.timing).then_some(peer.revision))
            });
        let unheard =
            self.expected.iter().chain(replica.voters()).filter(move |name| {
                ***name != *options.name && replica.peers().get(name).is_none()
            });
        heard.chain(unheard.map(|name| (name, None)))
    }

    /// Returns the highest revision without which no silent process can be serving.
    fn outlasted(&self, replica: &replica::Replica, now: Duration) -> u64 {
        let options = replica.options();
        if !options.guards.silence_wait {
            return replica.revision();
        }
        let limit = options.timing.silence_limit();
        let lasting = self.certified.iter().rfind(|(_, at)| now.saturating_sub(*at) >= limit);
        lasting.map_or(0, |(revision, _)| *revision)
    }

    fn find_candidate(&self, replica: &replica::Replica, now: Duration) -> Option<Candidate> {
        let timing = &replica.options().timing;
        let mut votes: Vec<_> = replica
            .other_voters()
            .filter_map(|name| Some((name, replica.peers().get(name)?)))
            .filter(|(_, peer)| peer.has_vote && peer.sent_recently(now, timing))
            .map(|(name, peer)| (peer.revision, Arc::clone(name), peer.incarnation))
            .collect();
        votes.sort_unstable_by(|a, b| b.cmp(a));
        let needed = replica.majority().checked_sub(replica.local_vote())?;
        if votes.len() < needed {
            return None;
        }
        votes.truncate(needed);
        let lowest = votes.last().map_or(replica.revision(), |(revision, ..)| *revision);
        let revision = lowest.min(replica.revision());
        let known = self.certified.back().map_or(0, |(revision, _)| *revision);
        let lives = votes.into_iter().map(|(_, name, incarnation)| (name, incarnation)).collect();
        (revision > known).then_some(Candidate { revision, at: now, lives })
    }

    /// A majority counts once each of its lives has spoken after all of them were known to hold
    /// the revision: then all held it at one moment.
    fn certify(&mut self, replica: &replica::Replica, now: Duration) {
        let Some(candidate) = &self.candidate else { return };
        let spoke = |(name, incarnation): &(Arc<str>, u64)| {
            replica.peers().get(name).is_some_and(|peer| {
                peer.incarnation == *incarnation
                    && peer.sent_after.is_some_and(|at| at >= candidate.at)
            })
        };
        if candidate.lives.iter().all(spoke) {
            self.certified.push_back((candidate.revision, now));
            self.candidate = None;
            if self.certified.len() > MAX_CERTIFIED {
                self.certified.pop_front();
            }
        } else if now.saturating_sub(candidate.at) > replica.options().timing.peer_timeout {
            self.candidate = None;
        }
    }
}
