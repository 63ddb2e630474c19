//! The heartbeats sent to and received from each peer, with a lower bound on the time at which
//! each peer last sent one.
//!
//! A received heartbeat was sent after the local heartbeat whose sequence number it echoes. Its
//! arrival time proves nothing about when it was sent: it may have waited in a buffer while
//! either side was paused.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use crate::collections::Map;
use crate::config::options;

/// Number of local heartbeats whose send times are kept, to date the echoes.
const MAX_SENT_HEARTBEATS: usize = 128;

/// A received heartbeat, as far as the replica uses it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Heartbeat {
    /// The sender's process name, see [`codec::process_name`](crate::config::codec::process_name).
    pub peer: Arc<str>,
    /// The sender's incarnation, which changes when the process restarts.
    pub incarnation: u64,
    /// The data centre as part of which the sender is counted, see
    /// [`codec::decode_heartbeat`](crate::config::codec::decode_heartbeat).
    pub data_centre: Arc<str>,
    /// True if the sender is an entry, false for an agent.
    pub entry: bool,
    /// The sequence number of this heartbeat, increasing within one incarnation.
    pub sequence: u64,
    /// The configuration revision that the sender holds.
    pub revision: u64,
    /// How long before sending the sender's revision was known to be the store's latest; `None`
    /// for a sender that has no vote yet.
    pub age: Option<Duration>,
    /// The highest sequence number that the sender has received from this process; zero before
    /// the first heartbeat.
    pub echo: u64,
}

/// A process from which a heartbeat has been received.
#[derive(Clone, Debug)]
pub struct Peer {
    /// The incarnation of the last heartbeat.
    pub incarnation: u64,
    /// The data centre as part of which the peer is counted.
    pub data_centre: Arc<str>,
    /// True if the peer is an entry, false for an agent.
    pub entry: bool,
    /// The highest sequence number received from this incarnation.
    pub sequence: u64,
    /// The highest revision reported by this incarnation.
    pub revision: u64,
    /// True if the heartbeat with the highest sequence number gave an age: the peer has a vote.
    pub has_vote: bool,
    /// When the last heartbeat arrived.
    pub received_at: Duration,
    /// The latest time known to be before the sending of a heartbeat; `None` until a heartbeat
    /// has echoed a local one.
    pub sent_after: Option<Duration>,
    /// The start of the present run of dated heartbeats without a gap above the peer timeout.
    steady_since: Duration,
}

impl Peer {
    /// Returns true if a heartbeat is known to have been sent within the peer timeout.
    pub fn sent_recently(&self, now: Duration, timing: &options::Timing) -> bool {
        self.sent_after.is_some_and(|at| now.saturating_sub(at) <= timing.peer_timeout)
    }

    /// Returns true if heartbeats have been sent without a gap for twice the peer timeout.
    pub fn is_steady(&self, now: Duration, timing: &options::Timing) -> bool {
        self.sent_recently(now, timing) && now >= self.steady_since + 2 * timing.peer_timeout
    }

    /// Returns true if a heartbeat arrived within the peer timeout, whenever it was sent.
    pub fn received_recently(&self, now: Duration, timing: &options::Timing) -> bool {
        now.saturating_sub(self.received_at) <= timing.peer_timeout
    }
}

/// The heartbeats of one incarnation of this process and of its peers.
pub struct PeerHeartbeats {
    timing: options::Timing,
    /// Sequence numbers and send times of the last local heartbeats, oldest first.
    sent: VecDeque<(u64, Duration)>,
    next_sequence: u64,
    peers: Map<Arc<str>, Peer>,
}

impl PeerHeartbeats {
    /// Creates an empty table. Each incarnation starts at a different sequence number, so that
    /// echoes of an earlier incarnation's heartbeats match none of this one's.
    pub fn new(first_sequence: u64, timing: options::Timing) -> Self {
        Self { timing, sent: VecDeque::new(), next_sequence: first_sequence, peers: Map::default() }
    }

    /// Records that a heartbeat is sent to all peers now and returns its sequence number.
    pub fn record_sent(&mut self, now: Duration) -> u64 {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.sent.push_back((sequence, now));
        if self.sent.len() > MAX_SENT_HEARTBEATS {
            self.sent.pop_front();
        }
        sequence
    }

    /// Returns the sequence number to echo to a peer; zero if it has sent no heartbeat.
    pub fn echo(&self, peer: &str) -> u64 {
        self.peers.get(peer).map_or(0, |peer| peer.sequence)
    }

    /// Returns all peers by process name, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = (&Arc<str>, &Peer)> {
        self.peers.iter()
    }

    /// Returns the peer of this process name.
    pub fn get(&self, peer: &str) -> Option<&Peer> {
        self.peers.get(peer)
    }

    /// Records a received heartbeat and returns a time after which it was certainly sent, or
    /// `None` if the local heartbeat that it echoes is not known. Without `echo_timestamps` it
    /// counts as sent at its arrival.
    pub fn record_received(
        &mut self,
        heartbeat: &Heartbeat,
        now: Duration,
        echo_timestamps: bool,
    ) -> Option<Duration> {
        let sent_after = if echo_timestamps { self.sent_at(heartbeat.echo) } else { Some(now) };
        let timing = self.timing;
        let peer = self
            .peers
            .entry(Arc::clone(&heartbeat.peer))
            .or_insert_with(|| new_peer(heartbeat, now));
        if peer.incarnation != heartbeat.incarnation {
            *peer = new_peer(heartbeat, now);
        }
        peer.received_at = now;
        if heartbeat.sequence >= peer.sequence {
            peer.sequence = heartbeat.sequence;
            peer.has_vote = heartbeat.age.is_some();
        }
        peer.revision = peer.revision.max(heartbeat.revision);
        if let Some(at) = sent_after {
            peer.record_sent_after(at, &timing);
        }
        sent_after
    }

    /// Restarts every peer's run of heartbeats, after a pause of this process.
    pub fn reset_steady(&mut self, now: Duration) {
        for peer in self.peers.values_mut() {
            peer.steady_since = now;
        }
    }

    /// Removes peers whose last heartbeat arrived longer than `after` ago.
    pub fn remove_silent(&mut self, now: Duration, after: Duration) {
        self.peers.retain(|_, peer| now.saturating_sub(peer.received_at) <= after);
    }

    /// Returns when the local heartbeat of this sequence number was sent, if it is still kept.
    fn sent_at(&self, sequence: u64) -> Option<Duration> {
        let first = self.sent.front()?.0;
        let index = usize::try_from(sequence.checked_sub(first)?).ok()?;
        self.sent.get(index).map(|(_, at)| *at)
    }
}

impl Peer {
    fn record_sent_after(&mut self, at: Duration, timing: &options::Timing) {
        let is_interrupted = self.sent_after.is_none_or(|last| at > last + timing.peer_timeout);
        if is_interrupted {
            self.steady_since = self.steady_since.max(at);
        }
        self.sent_after = self.sent_after.max(Some(at));
    }
}

fn new_peer(heartbeat: &Heartbeat, now: Duration) -> Peer {
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
