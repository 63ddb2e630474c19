//! Which revision is in force everywhere, as far as one entry can tell.
//!
//! A process that sends heartbeats counts with the revision that they report. A silent one counts
//! as having stopped serving only once a majority of the entries has held the revision for the
//! silence limit: by then its state has become stale or it has lost its majority. A silent data
//! centre as a whole may continue to serve, so it is reported as unreachable and never assumed to
//! have stopped: see docs/CONFIGURATION.md.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use crate::collections::{Map, Set};
use crate::config::replica;
use crate::wire;

/// Number of certified revisions that are kept.
const MAX_CERTIFIED_REVISIONS: usize = 64;

/// How far a revision has spread.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum InForce {
    /// Every process that may serve holds it.
    Everywhere,
    /// Some processes or data centres that may serve do not hold it yet.
    Waiting {
        /// Processes of the local data centre, then other data centres, in order.
        names: Vec<String>,
    },
    /// Some data centres have sent no report within the silence limit and may continue to serve
    /// without it.
    Unreachable {
        /// The data centres, in order.
        data_centres: Vec<String>,
        /// Reachable processes and data centres that do not hold it yet.
        waiting: Vec<String>,
    },
}

/// A revision that a majority was found to hold, to be certified once all of it has confirmed.
struct Candidate {
    revision: u64,
    found_at: Duration,
    /// The other members of the majority, with their incarnations.
    incarnations: Vec<(Arc<str>, u64)>,
}

struct DataCentreProgress {
    /// The highest revision reported as held by all processes there that may serve.
    revision: u64,
    /// When the data centre's own report was made; `None` before the first.
    reported_at: Option<Duration>,
}

/// The spread of the configuration over all processes, as one entry knows it.
#[derive(Default)]
pub struct Progress {
    /// Processes of the local data centre that count even before they send a heartbeat.
    expected: Set<Arc<str>>,
    /// The other data centres.
    data_centres: Map<Arc<str>, DataCentreProgress>,
    candidate: Option<Candidate>,
    /// Revisions with the time since which a majority is known to hold them, both increasing.
    certified: VecDeque<(u64, Duration)>,
}

impl Progress {
    /// Sets the processes of the local data centre that must hold a revision before it is in
    /// force, from the settings, the host list and the configuration.
    pub fn set_expected_processes<'a>(&mut self, names: impl Iterator<Item = &'a str>) {
        self.expected = names.map(Arc::from).collect();
    }

    /// Sets the other data centres, from the settings and the host list.
    pub fn set_data_centres<'a>(&mut self, names: impl Iterator<Item = &'a str>) {
        let names: Set<Arc<str>> = names.map(Arc::from).collect();
        self.data_centres.retain(|name, _| names.contains(name));
        for name in names {
            self.data_centres
                .entry(name)
                .or_insert(DataCentreProgress { revision: 0, reported_at: None });
        }
    }

    /// Records a peer's report on another data centre. Its revision never decreases: what was
    /// once in force there remains so.
    pub fn record_summary(&mut self, summary: &wire::RegionProgress, now: Duration) {
        let Some(known) = self.data_centres.get_mut(summary.data_centre.as_str()) else { return };
        known.revision = known.revision.max(summary.revision);
        let reported_at = now.checked_sub(Duration::from_millis(summary.age_ms));
        known.reported_at = known.reported_at.max(reported_at);
    }

    /// Updates the revisions that a majority of the entries is known to hold.
    pub fn tick(&mut self, replica: &replica::Replica, now: Duration) {
        self.certify(replica, now);
        if self.candidate.is_none() {
            self.candidate = self.find_candidate(replica, now);
        }
    }

    /// Returns the report on the local data centre and the latest reports on the others, to be
    /// sent to peers.
    pub fn summaries(
        &self,
        replica: &replica::Replica,
        now: Duration,
    ) -> Vec<wire::RegionProgress> {
        let local = wire::RegionProgress {
            data_centre: replica.options().data_centre.clone(),
            revision: self.data_centre_revision(replica, now),
            age_ms: 0,
        };
        let others = self.data_centres.iter().filter_map(|(name, summary)| {
            let age = now.saturating_sub(summary.reported_at?).as_millis();
            Some(wire::RegionProgress {
                data_centre: name.to_string(),
                revision: summary.revision,
                age_ms: u64::try_from(age).unwrap_or(u64::MAX),
            })
        });
        std::iter::once(local).chain(others).collect()
    }

    /// Returns how far a revision has spread.
    pub fn in_force(&self, replica: &replica::Replica, revision: u64, now: Duration) -> InForce {
        let mut waiting = self.waiting_in_data_centre(replica, revision, now);
        let limit = replica.options().timing.silence_limit();
        let mut unreachable = Vec::new();
        for (name, summary) in
            self.data_centres.iter().filter(|(_, summary)| summary.revision < revision)
        {
            let is_reachable =
                summary.reported_at.is_some_and(|at| now.saturating_sub(at) <= limit);
            let list = if is_reachable { &mut waiting } else { &mut unreachable };
            list.push(name.to_string());
        }
        unreachable.sort_unstable();
        match (unreachable.is_empty(), waiting.is_empty()) {
            (true, true) => InForce::Everywhere,
            (true, false) => InForce::Waiting { names: waiting },
            (false, _) => InForce::Unreachable { data_centres: unreachable, waiting },
        }
    }

    /// Returns the highest revision that every process of the local data centre that may serve
    /// holds.
    pub fn data_centre_revision(&self, replica: &replica::Replica, now: Duration) -> u64 {
        let mut lowest = replica.revision();
        for (_, held) in self.processes(replica, now) {
            lowest = lowest.min(held.unwrap_or_else(|| self.silent_floor(replica, now)));
        }
        lowest
    }

    /// Returns the processes of the local data centre that may serve and lack the revision.
    fn waiting_in_data_centre(
        &self,
        replica: &replica::Replica,
        revision: u64,
        now: Duration,
    ) -> Vec<String> {
        let silent_floor = self.silent_floor(replica, now);
        let local = (replica.options().name.clone(), Some(replica.revision()));
        let peers = self.processes(replica, now).map(|(name, held)| (name.to_string(), held));
        let mut names: Vec<_> = std::iter::once(local)
            .chain(peers)
            .filter(|(_, held)| held.unwrap_or(silent_floor) < revision)
            .map(|(name, _)| name)
            .collect();
        names.sort_unstable();
        names.dedup();
        names
    }

    /// Returns the other processes of the data centre with the revisions that they hold, or `None`
    /// for silent ones.
    fn processes<'a>(
        &'a self,
        replica: &'a replica::Replica,
        now: Duration,
    ) -> impl Iterator<Item = (&'a Arc<str>, Option<u64>)> {
        let options = replica.options();
        let known = replica
            .peers()
            .iter()
            .filter(|(_, peer)| *peer.data_centre == *options.data_centre)
            .map(move |(name, peer)| {
                (name, peer.sent_recently(now, &options.timing).then_some(peer.revision))
            });
        let unknown =
            self.expected.iter().chain(replica.voters()).filter(move |name| {
                ***name != *options.name && replica.peers().get(name).is_none()
            });
        known.chain(unknown.map(|name| (name, None)))
    }

    /// Returns a lower bound on the revision that a silent process holds if it still serves.
    fn silent_floor(&self, replica: &replica::Replica, now: Duration) -> u64 {
        let options = replica.options();
        if !options.guards.silence_wait {
            return replica.revision();
        }
        let limit = options.timing.silence_limit();
        let certified = self.certified.iter().rfind(|(_, at)| now.saturating_sub(*at) >= limit);
        certified.map_or(0, |(revision, _)| *revision)
    }

    /// Returns the highest revision above the certified ones that a majority, counting this
    /// process if it has a vote, is known to hold.
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
        let last_certified = self.certified.back().map_or(0, |(revision, _)| *revision);
        let incarnations =
            votes.into_iter().map(|(_, name, incarnation)| (name, incarnation)).collect();
        (revision > last_certified).then_some(Candidate { revision, found_at: now, incarnations })
    }

    /// Certifies the candidate once each member of its majority, in the same incarnation, has
    /// sent a heartbeat after all of them were known to hold the revision: then all held it at
    /// the same moment. Drops the candidate if that takes longer than the peer timeout.
    fn certify(&mut self, replica: &replica::Replica, now: Duration) {
        let Some(candidate) = &self.candidate else { return };
        let has_reconfirmed = |(name, incarnation): &(Arc<str>, u64)| {
            replica.peers().get(name).is_some_and(|peer| {
                peer.incarnation == *incarnation
                    && peer.sent_after.is_some_and(|at| at >= candidate.found_at)
            })
        };
        if candidate.incarnations.iter().all(has_reconfirmed) {
            self.certified.push_back((candidate.revision, now));
            self.candidate = None;
            if self.certified.len() > MAX_CERTIFIED_REVISIONS {
                self.certified.pop_front();
            }
        } else if now.saturating_sub(candidate.found_at) > replica.options().timing.peer_timeout {
            self.candidate = None;
        }
    }
}
