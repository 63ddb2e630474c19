//! The settings of an agent beside a rank's engine; docs/SETTINGS.md describes each field.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;

use crate::settings::{InvalidValue, common};

/// RankSettings is the whole settings file of `bitternwall-platform-agent`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RankSettings {
    /// The host's name, unique in the fleet.
    pub name: String,
    /// The data centre that the host stands in.
    pub data_centre: String,
    /// The engine on the same host.
    pub engine: SocketAddr,
    /// Where the agent listens.
    pub listen: ListenAddresses,
    /// Addresses of hosts that may run an entry, for a first contact; ports are passed over.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Milliseconds between two looks at the engine.
    #[serde(default = "default_poll_ms")]
    pub beat_ms: u64,
    /// Seconds from a signal to stop until the process is killed.
    pub grace_s: f64,
    /// What is logged, and how.
    #[serde(default)]
    pub log: common::LogSettings,
}

/// ListenAddresses is the addresses of one agent.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListenAddresses {
    /// Where other agents send states (UDP) and orders (TCP).
    pub peers: SocketAddr,
    /// Where metrics and health checks are read.
    pub metrics: SocketAddr,
}

/// A tenth of the time in which a change of popularity should be answered.
const DEFAULT_POLL_MS: u64 = 100;

fn default_poll_ms() -> u64 {
    DEFAULT_POLL_MS
}

impl RankSettings {
    /// Returns the time between two looks at the engine.
    pub fn poll_interval(&self) -> Duration {
        Duration::from_millis(self.beat_ms)
    }

    /// Returns where the entries of the seeds' hosts answer other processes; all use one port.
    pub fn seed_entries(&self) -> Vec<SocketAddr> {
        let port = self.listen.peers.port();
        self.seeds.iter().map(|seed| SocketAddr::new(seed.ip(), port)).collect()
    }
}

/// Returns the first value that is outside what is allowed.
pub fn check(settings: &RankSettings) -> Option<InvalidValue> {
    common::check_name("name", &settings.name)
        .or_else(|| common::check_name("data_centre", &settings.data_centre))
        .or_else(|| common::check_range("beat_ms", settings.beat_ms, 20..=10_000))
        .or_else(|| common::check_range("grace_s", settings.grace_s, 0.5..=3_600.0))
}
