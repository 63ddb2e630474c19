//! The times that the replica of the configuration goes by, and its guards.

use std::time::Duration;

use crate::config::readers;

/// Timing holds the replica's times; docs/CONFIGURATION.md derives what they must satisfy.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Timing {
    /// Between two heartbeats.
    pub heartbeat: Duration,
    /// A peer whose last heartbeat is older than this counts as silent.
    pub peer_timeout: Duration,
    /// A process whose knowledge is older than this refuses new work.
    pub freshness: Duration,
    /// What the clocks of two processes may drift apart within the other times.
    pub margin: Duration,
    /// A gap between two ticks that counts as a pause.
    pub pause_limit: Duration,
    /// How long a peer may take to answer a request for its state.
    pub request_timeout: Duration,
    /// Between two reads of the head key by a reader.
    pub probe_interval: Duration,
    /// How long a call to the store may take.
    pub call_timeout: Duration,
    /// The shortest wait before a failed call is made again.
    pub backoff_min: Duration,
    /// The longest wait before a failed call is made again.
    pub backoff_max: Duration,
}

impl Timing {
    /// The times for a fleet of today's size.
    pub const SMALL: Self = Self {
        heartbeat: Duration::from_millis(250),
        peer_timeout: Duration::from_millis(800),
        freshness: Duration::from_millis(2_000),
        margin: Duration::from_millis(200),
        pause_limit: Duration::from_millis(800),
        request_timeout: Duration::from_millis(400),
        probe_interval: Duration::from_millis(500),
        call_timeout: Duration::from_millis(500),
        backoff_min: Duration::from_millis(100),
        backoff_max: Duration::from_millis(2_000),
    };

    /// The times for the target size.
    pub const LARGE: Self = Self {
        heartbeat: Duration::from_millis(2_000),
        peer_timeout: Duration::from_millis(5_000),
        freshness: Duration::from_millis(5_000),
        margin: Duration::from_millis(500),
        pause_limit: Duration::from_millis(5_000),
        request_timeout: Duration::from_millis(1_000),
        probe_interval: Duration::from_millis(2_000),
        call_timeout: Duration::from_millis(2_000),
        backoff_min: Duration::from_millis(500),
        backoff_max: Duration::from_millis(10_000),
    };

    /// Returns the times that follow from what the settings give.
    pub fn from_links(heartbeat: Duration, peer_timeout: Duration, freshness: Duration) -> Self {
        Self {
            heartbeat,
            peer_timeout,
            freshness,
            margin: heartbeat / 2,
            pause_limit: peer_timeout,
            request_timeout: peer_timeout / 2,
            probe_interval: heartbeat,
            call_timeout: peer_timeout,
            backoff_min: heartbeat / 2,
            backoff_max: heartbeat * 8,
        }
    }

    /// How long after a majority of a data centre's entries holds a revision every process there
    /// that lacks it has stopped serving.
    pub fn silence_limit(&self) -> Duration {
        self.peer_timeout + self.freshness + self.margin
    }
}

/// Guards are the mechanisms that keep the promises. All are on in service; a test switches
/// one off to see that its checker notices.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Guards {
    /// Never take a state that is not newer.
    pub forward_only: bool,
    /// Never apply a delta that starts after the state.
    pub no_gaps: bool,
    /// Date a heartbeat by the own heartbeat that it echoes, not by its arrival.
    pub echo_timestamps: bool,
    /// Carry the age of knowledge from peer to peer.
    pub age: bool,
    /// Without fresh knowledge, serve on only with a majority of the data centre's entries.
    pub majority: bool,
    /// A new life has no vote until it knows all that its last life acknowledged.
    pub vote_barrier: bool,
    /// A new life serves only on knowledge that is younger than its start.
    pub join_barrier: bool,
    /// Count a silent process out only when it must have stopped serving.
    pub silence_wait: bool,
}

impl Default for Guards {
    fn default() -> Self {
        Self {
            forward_only: true,
            no_gaps: true,
            echo_timestamps: true,
            age: true,
            majority: true,
            vote_barrier: true,
            join_barrier: true,
            silence_wait: true,
        }
    }
}

/// Options tells one life of one process who it is.
#[derive(Clone, Debug)]
pub struct Options {
    /// The process's name.
    pub name: String,
    /// Where it runs.
    pub data_centre: String,
    /// True for an entry, which has a vote and may be a reader of the store.
    pub entry: bool,
    /// Sets this life's jitter, choices and first sequence number.
    pub seed: u64,
    /// Entries of a data centre that watch the store.
    pub readers: usize,
    /// The times.
    pub timing: Timing,
    /// The mechanisms.
    pub guards: Guards,
}

impl Options {
    /// Returns the options of a life with all guards on.
    pub fn new(name: &str, data_centre: &str, entry: bool, seed: u64, timing: Timing) -> Self {
        Self {
            name: name.to_owned(),
            data_centre: data_centre.to_owned(),
            entry,
            seed,
            readers: readers::PER_DATA_CENTRE,
            timing,
            guards: Guards::default(),
        }
    }
}
