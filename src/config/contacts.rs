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
pub struct Heard {
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

/// Contact is one process that was heard.
#[derive(Clone, Debug)]
pub struct Contact {
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
    pub settled: bool,
    /// When its last heartbeat arrived.
    pub heard_at: Duration,
    /// A time after which its last dated heartbeat was sent.
    pub dated_at: Option<Duration>,
    /// Since when it has been dated without a gap.
    steady_since: Duration,
}

impl Contact {
    /// Tells whether a heartbeat was surely sent within the peer timeout.
    pub fn is_dated(&self, now: Duration, timing: &options::Timing) -> bool {
        self.dated_at.is_some_and(|at| now.saturating_sub(at) <= timing.peer_timeout)
    }

    /// Tells whether the contact has lasted for twice the peer timeout.
    pub fn is_steady(&self, now: Duration, timing: &options::Timing) -> bool {
        self.is_dated(now, timing) && now >= self.steady_since + 2 * timing.peer_timeout
    }

    /// Tells whether a heartbeat arrived within the peer timeout.
    pub fn is_heard(&self, now: Duration, timing: &options::Timing) -> bool {
        now.saturating_sub(self.heard_at) <= timing.peer_timeout
    }
}

/// Contacts is the table of one life of one process.
pub struct Contacts {
    timing: options::Timing,
    sent: VecDeque<(u64, Duration)>,
    next_sequence: u64,
    rows: Map<Arc<str>, Contact>,
}

impl Contacts {
    /// Returns an empty table. A life starts at a sequence of its own, so that echoes of an
    /// earlier one date nothing.
    pub fn new(first_sequence: u64, timing: options::Timing) -> Self {
        Self { timing, sent: VecDeque::new(), next_sequence: first_sequence, rows: Map::default() }
    }

    /// Numbers a heartbeat that is sent now, to all peers.
    pub fn beat(&mut self, now: Duration) -> u64 {
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
        self.rows.get(peer).map_or(0, |contact| contact.sequence)
    }

    /// Returns the rows by name.
    pub fn iter(&self) -> impl Iterator<Item = (&Arc<str>, &Contact)> {
        self.rows.iter()
    }

    /// Returns the row of a process.
    pub fn get(&self, peer: &str) -> Option<&Contact> {
        self.rows.get(peer)
    }

    /// Takes a heartbeat and returns the time after which it was surely sent, if known.
    pub fn hear(&mut self, heard: &Heard, now: Duration, echo_dating: bool) -> Option<Duration> {
        let sent_after = if echo_dating { self.sent_at(heard.echo) } else { Some(now) };
        let timing = self.timing;
        let contact = self.rows.entry(Arc::clone(&heard.peer)).or_insert_with(|| row(heard, now));
        if contact.incarnation != heard.incarnation {
            *contact = row(heard, now);
        }
        contact.heard_at = now;
        if heard.sequence >= contact.sequence {
            contact.sequence = heard.sequence;
            contact.settled = heard.age.is_some();
        }
        contact.revision = contact.revision.max(heard.revision);
        if let Some(at) = sent_after {
            contact.date(at, &timing);
        }
        sent_after
    }

    /// Forgets how long contacts have lasted, after a pause.
    pub fn break_runs(&mut self, now: Duration) {
        for contact in self.rows.values_mut() {
            contact.steady_since = now;
        }
    }

    /// Drops rows that were not heard for a long while.
    pub fn forget(&mut self, now: Duration, after: Duration) {
        self.rows.retain(|_, contact| now.saturating_sub(contact.heard_at) <= after);
    }

    fn sent_at(&self, sequence: u64) -> Option<Duration> {
        let first = self.sent.front()?.0;
        let index = usize::try_from(sequence.checked_sub(first)?).ok()?;
        self.sent.get(index).map(|(_, at)| *at)
    }
}

impl Contact {
    fn date(&mut self, at: Duration, timing: &options::Timing) {
        let gap = self.dated_at.is_none_or(|last| at > last + timing.peer_timeout);
        if gap {
            self.steady_since = self.steady_since.max(at);
        }
        self.dated_at = self.dated_at.max(Some(at));
    }
}

fn row(heard: &Heard, now: Duration) -> Contact {
    Contact {
        incarnation: heard.incarnation,
        data_centre: Arc::clone(&heard.data_centre),
        entry: heard.entry,
        sequence: heard.sequence,
        revision: heard.revision,
        settled: heard.age.is_some(),
        heard_at: now,
        dated_at: None,
        steady_since: Duration::ZERO,
    }
}
