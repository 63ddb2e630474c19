//! Which entries read the store on behalf of all, as each of them tells from the heartbeats.

use std::time::Duration;

use crate::direct::known::peers::{self, Peer, Peers};

/// Store readers: entries that read the store on behalf of all others.
pub const STORE_READERS: usize = 3;

impl Peers {
    /// Returns the position of the entry of this name among the store readers, which are the first by
    /// hash of the name among the live entries that the store answers; `None` if it is none of them.
    pub fn reader_position(
        &self,
        name: &str,
        heartbeat_interval: Duration,
        now: Duration,
    ) -> Option<usize> {
        let before = self.before(name, heartbeat_interval, now);
        let readers_before = before.filter(|peer| peer.heartbeat.reads_store).count();
        (readers_before < STORE_READERS).then_some(readers_before)
    }

    /// Returns true if fewer live entries than there are readers precede the entry of this name by hash
    /// of the name, whether or not the store answers them.
    pub fn is_regular_reader(
        &self,
        name: &str,
        heartbeat_interval: Duration,
        now: Duration,
    ) -> bool {
        self.before(name, heartbeat_interval, now).count() < STORE_READERS
    }

    /// Returns the live entries that stay and precede the entry of this name by hash of the name.
    fn before(
        &self,
        name: &str,
        heartbeat_interval: Duration,
        now: Duration,
    ) -> impl Iterator<Item = &Peer> {
        let local_hash = peers::name_hash(name);
        let live = self.live(heartbeat_interval, now).filter(|peer| !peer.heartbeat.leaving);
        live.filter(move |peer| peers::name_hash(&peer.heartbeat.name) < local_hash)
    }

    /// Returns the live entries that had no answer to their last call, made at most a time ago, with the time
    /// since that call failed.
    pub fn unanswered(
        &self,
        recent: Duration,
        heartbeat_interval: Duration,
        now: Duration,
    ) -> Vec<(&str, Duration)> {
        let failed = self.live(heartbeat_interval, now).filter_map(|peer| {
            let before = Duration::from_millis(peer.heartbeat.store_failed_ms?);
            let ago = before.saturating_add(now.saturating_sub(peer.last_received));
            Some((peer.heartbeat.name.as_str(), ago))
        });
        failed.filter(|(_, ago)| *ago <= recent).collect()
    }

    /// Returns how long the store took for its last answer to the entry that asks often, as heartbeats
    /// tell; zero if none does.
    pub fn store_answer_time(&self, heartbeat_interval: Duration, now: Duration) -> Duration {
        let live = self.live(heartbeat_interval, now);
        let times_ms = live.filter_map(|peer| peer.heartbeat.store_answer_ms);
        Duration::from_millis(times_ms.max().unwrap_or_default())
    }
}
