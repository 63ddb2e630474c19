//! The table of processes that a replica hears, with the date of each one's last word.
//!
//! A heartbeat counts as sent after the own heartbeat that it echoes. Its arrival says nothing:
//! it may have waited in a buffer while either side was paused.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use crate::collections::Map;
use crate::config::options;

/// Own heartbeats that are remembered, to date the echoes.
const SENT_LOG: usize = 128;

/// Heard is what one heartbeat says.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Heartbeat {
    /// Who sent it.
    pub peer: Arc<str>,
    /// The sender's life.
    pub incarnation: u64,
    /// Where the sender runs.
    pub data_centre: Arc<str>,
    /// True for an entry.
    pub entry: bool,
    /// Its number.
    pub sequence: u64,
    /// The revision that the sender holds.
    pub revision: u64,
    /// How long ago the sender's revision was known to be the store's latest; absent for a
    /// sender that has no vote yet.
    pub age: Option<Duration>,
    /// The latest heartbeat of the receiver that the sender has heard; zero before the first.
    pub echo: u64,
}

/// Peer is one process that was heard.
#[derive(Clone, Debug)]
pub struct Peer {
    /// The life that was heard last.
    pub incarnation: u64,
    /// Where it runs.
    pub data_centre: Arc<str>,
    /// True for an entry.
    pub entry: bool,
    /// The highest number of its heartbeats.
    pub sequence: u64,
    /// The highest revision that it said it holds.
    pub revision: u64,
    /// True where its last heartbeat gave an age, so that it has a vote.
    pub has_vote: bool,
    /// When its last heartbeat arrived.
    pub received_at: Duration,
    /// A time after which its last dated heartbeat was sent.
    pub sent_after: Option<Duration>,
    /// Since when it has been dated without a gap.
    steady_since: Duration,
}

impl Peer {
    /// Tells whether a heartbeat was surely sent within the peer timeout.
    pub fn sent_recently(&self, now: Duration, timing: &options::Timing) -> bool {
        self.sent_after.is_some_and(|at| now.saturating_sub(at) <= timing.peer_timeout)
    }

    /// Tells whether the peer has lasted for twice the peer timeout.
    pub fn is_steady(&self, now: Duration, timing: &options::Timing) -> bool {
        self.sent_recently(now, timing) && now >= self.steady_since + 2 * timing.peer_timeout
    }

    /// Tells whether a heartbeat arrived within the peer timeout.
    pub fn received_recently(&self, now: Duration, timing: &options::Timing) -> bool {
        now.saturating_sub(self.received_at) <= timing.peer_timeout
    }
}

/// PeerHeartbeats is the table of one life of one process.
pub struct PeerHeartbeats {
    timing: options::Timing,
    sent: VecDeque<(u64, Duration)>,
    next_sequence: u64,
    rows: Map<Arc<str>, Peer>,
}

impl PeerHeartbeats {
    /// Returns an empty table. A life starts at a sequence of its own, so that echoes of an
    /// earlier one date nothing.
    pub fn new(first_sequence: u64, timing: options::Timing) -> Self {
        Self { timing, sent: VecDeque::new(), next_sequence: first_sequence, rows: Map::default() }
    }

    /// Numbers a heartbeat that is sent now, to all peers.
    pub fn record_sent(&mut self, now: Duration) -> u64 {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.sent.push_back((sequence, now));
        if self.sent.len() > SENT_LOG {
            self.sent.pop_front();
        }
        sequence
    }

    /// Returns the number to echo to a peer.
    pub fn echo(&self, peer: &str) -> u64 {
        self.rows.get(peer).map_or(0, |peer| peer.sequence)
    }

    /// Returns the rows by name.
    pub fn iter(&self) -> impl Iterator<Item = (&Arc<str>, &Peer)> {
        self.rows.iter()
    }

    /// Returns the row of a process.
    pub fn get(&self, peer: &str) -> Option<&Peer> {
        self.rows.get(peer)
    }

    /// Takes a heartbeat and returns the time after which it was surely sent, if known.
    pub fn record_received(
        &mut self,
        heartbeat: &Heartbeat,
        now: Duration,
        echo_timestamps: bool,
    ) -> Option<Duration> {
        let sent_after = if echo_timestamps { self.sent_at(heartbeat.echo) } else { Some(now) };
        let timing = self.timing;
        let peer =
            self.rows.entry(Arc::clone(&heartbeat.peer)).or_insert_with(|| row(heartbeat, now));
        if peer.incarnation != heartbeat.incarnation {
            *peer = row(heartbeat, now);
        }
        peer.received_at = now;
        if heartbeat.sequence >= peer.sequence {
            peer.sequence = heartbeat.sequence;
            peer.has_vote = heartbeat.age.is_some();
        }
        peer.revision = peer.revision.max(heartbeat.revision);
        if let Some(at) = sent_after {
            peer.date(at, &timing);
        }
        sent_after
    }

    /// Forgets how long peers have lasted, after a pause.
    pub fn reset_steady(&mut self, now: Duration) {
        for peer in self.rows.values_mut() {
            peer.steady_since = now;
        }
    }

    /// Drops rows that were not heard for a long while.
    pub fn forget(&mut self, now: Duration, after: Duration) {
        self.rows.retain(|_, peer| now.saturating_sub(peer.received_at) <= after);
    }

    fn sent_at(&self, sequence: u64) -> Option<Duration> {
        let first = self.sent.front()?.0;
        let index = usize::try_from(sequence.checked_sub(first)?).ok()?;
        self.sent.get(index).map(|(_, at)| *at)
    }
}

impl Peer {
    fn date(&mut self, at: Duration, timing: &options::Timing) {
        let gap = self.sent_after.is_none_or(|last| at > last + timing.peer_timeout);
        if gap {
            self.steady_since = self.steady_since.max(at);
        }
        self.sent_after = self.sent_after.max(Some(at));
    }
}

fn row(heartbeat: &Heartbeat, now: Duration) -> Peer {
    Peer {
        incarnation: heartbeat.incarnation,
        data_centre: Arc::clone(&heartbeat.data_centre),
        entry: heartbeat.entry,
        sequence: heartbeat.sequence,
        revision: heartbeat.revision,
        has_vote: heartbeat.age.is_some(),
        received_at: now,
        sent_after: None,
        steady_since: Duration::ZERO,
    }
}
