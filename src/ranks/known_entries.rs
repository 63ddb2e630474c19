//! The entries that an agent knows, and the one that it asks for the other ranks.
//!
//! Load pattern: hosts that the settings name as seeds are down or gone, or an entry that answers is
//! cut off from the others. An entry that introduces itself is asked next, since the one that was
//! asked does not know it.

use std::net::SocketAddr;
use std::time::Duration;

use crate::collections::Map;

/// Time after which an introduction no longer counts; entries repeat it while no notice of the agent
/// reaches them.
const INTRODUCTION_LIFETIME: Duration = Duration::from_secs(30);

/// Limit of the entries known by introductions, well above the number that one fleet has.
const MAX_INTRODUCED: usize = 4_096;

/// The entries that one agent knows.
#[derive(Debug, Default)]
pub struct KnownEntries {
    seeds: Vec<SocketAddr>,
    /// Those that an entry listed last.
    listed: Vec<SocketAddr>,
    introduced: Map<SocketAddr, Duration>,
    /// The entry that is asked.
    asked: Option<SocketAddr>,
}

impl KnownEntries {
    /// Returns a table with the entries on the seed hosts. `draw` is any random number, which chooses
    /// the one to ask first.
    pub fn new(seeds: Vec<SocketAddr>, draw: usize) -> Self {
        let asked = draw.checked_rem(seeds.len()).map(|index| seeds[index]);
        Self { seeds, asked, ..Self::default() }
    }

    /// Replaces the seeds by those of changed settings.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.seeds = seeds;
    }

    /// Returns all entries, each once. Seeds go first, then those that were listed.
    pub fn all(&self, now: Duration) -> Vec<SocketAddr> {
        let introduced = self.introduced.iter();
        let recent = introduced.filter(|(_, at)| now.saturating_sub(**at) < INTRODUCTION_LIFETIME);
        let mut introduced: Vec<SocketAddr> = recent.map(|(addr, _)| *addr).collect();
        introduced.sort_unstable();
        let mut all: Vec<SocketAddr> = Vec::new();
        for addr in self.seeds.iter().chain(&self.listed).chain(&introduced) {
            if !all.contains(addr) {
                all.push(*addr);
            }
        }
        all
    }

    /// Returns the entry to ask; `None` while no entry is known.
    pub fn to_ask(&self, now: Duration) -> Option<SocketAddr> {
        self.asked.or_else(|| self.all(now).first().copied())
    }

    /// Records the other entries that the one that was asked lists.
    pub fn record_listed(&mut self, listed: Vec<SocketAddr>) {
        self.listed = listed;
    }

    /// Records that an entry answered.
    pub fn record_answer(&mut self, entry: SocketAddr) {
        self.asked = Some(entry);
    }

    /// Records that an entry did not answer, so that the next one is asked.
    pub fn record_failure(&mut self, entry: SocketAddr, now: Duration) {
        self.introduced.remove(&entry);
        let all = self.all(now);
        let next = all.iter().position(|addr| *addr == entry).map_or(0, |index| index + 1);
        self.asked = next.checked_rem(all.len()).map(|index| all[index]);
    }

    /// Records that an entry has introduced itself. Returns true if it was not known.
    pub fn record_introduction(&mut self, entry: SocketAddr, now: Duration) -> bool {
        let is_new = !self.all(now).contains(&entry);
        self.introduced.retain(|_, at| now.saturating_sub(*at) < INTRODUCTION_LIFETIME);
        if is_new && self.introduced.len() >= MAX_INTRODUCED {
            return false;
        }
        self.introduced.insert(entry, now);
        if is_new {
            self.asked = Some(entry);
        }
        is_new
    }
}
