//! Options of the configuration replica: its intervals and timeouts, and its safety mechanisms.

use std::time::Duration;

use crate::config::readers;

/// The replica's intervals and timeouts. docs/CONFIGURATION.md derives the conditions that they
/// must satisfy.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Timing {
    /// Interval between two heartbeats.
    pub heartbeat: Duration,
    /// A peer whose last heartbeat is older than this counts as silent.
    pub peer_timeout: Duration,
    /// A process whose state was last confirmed longer ago than this refuses new work.
    pub freshness: Duration,
    /// The most that the clocks of two processes may drift apart within the other times.
    pub margin: Duration,
    /// A gap between two ticks that is longer than this counts as a pause of the process.
    pub pause_limit: Duration,
    /// A peer that does not answer a request for its state within this time is given up.
    pub request_timeout: Duration,
    /// Interval between two reads of the head key by a store reader.
    pub probe_interval: Duration,
    /// A read from the store that takes longer than this has failed.
    pub call_timeout: Duration,
    /// Backoff after the first failed call.
    pub backoff_min: Duration,
    /// Upper bound of the backoff, which doubles with each failure.
    pub backoff_max: Duration,
}

impl Timing {
    /// Timing for a fleet of the present size.
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

    /// Timing for the planned fleet size.
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

    /// Derives the timing from the values of the settings.
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

    /// Returns the time within which every process of a data centre that lacks a revision has
    /// stopped serving, counted from when a majority of the entries there holds the revision.
    pub fn silence_limit(&self) -> Duration {
        self.peer_timeout + self.freshness + self.margin
    }
}

/// The mechanisms that keep the configuration consistent. All are enabled in production; tests
/// disable one at a time to show that their checker detects its absence.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Guards {
    /// Reject a state that is not newer than the one held.
    pub forward_only: bool,
    /// Reject a delta that starts after the state held.
    pub no_gaps: bool,
    /// Date a received heartbeat by the local heartbeat that it echoes, not by its arrival.
    pub echo_timestamps: bool,
    /// Pass the age of a state on from peer to peer.
    pub age: bool,
    /// Once the state is older than the freshness time, keep serving only with a majority of the
    /// data centre's entries.
    pub majority: bool,
    /// Give a new incarnation no vote until it knows every revision that the previous one may
    /// have acknowledged.
    pub vote_barrier: bool,
    /// Let a new incarnation serve only once its state has been confirmed after its start.
    pub join_barrier: bool,
    /// Ignore a silent process only after the time in which it must have stopped serving.
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

/// The identity and parameters of one incarnation of a process.
#[derive(Clone, Debug)]
pub struct Options {
    /// The process name, see [`codec::process_name`](crate::config::codec::process_name).
    pub name: String,
    /// The data centre in which the process runs.
    pub data_centre: String,
    /// True for an entry, which has a vote and may be a store reader; false for an agent.
    pub entry: bool,
    /// Seed of the jitter, the random choices and the first sequence number; it must differ
    /// between incarnations.
    pub seed: u64,
    /// Number of store readers in each data centre.
    pub readers: usize,
    /// The intervals and timeouts.
    pub timing: Timing,
    /// The enabled safety mechanisms.
    pub guards: Guards,
}

impl Options {
    /// Returns options with all guards enabled and the usual number of store readers.
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
