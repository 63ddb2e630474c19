//! The settings of an agent beside a rank's engine; docs/SETTINGS.md describes each field.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;

use crate::settings::host::{self, BufferSettings, ConnectionSettings};
use crate::settings::{InvalidValue, common};

/// RankSettings is the content of the settings file of `bitternwall-platform-agent`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RankSettings {
    /// The host's name, which is unique in the fleet.
    pub name: String,
    /// The data centre in which the host is located.
    pub data_centre: String,
    /// The address of the engine on the same host.
    pub engine: SocketAddr,
    /// The addresses at which the agent listens.
    pub listen: ListenAddresses,
    /// Addresses of hosts that may run an entry, used to find the first one. Their ports are
    /// ignored.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Poll interval of the engine, in milliseconds.
    #[serde(default = "default_poll_ms")]
    pub beat_ms: u64,
    /// The speed of the host's network link, in megabits per second.
    #[serde(default = "default_link_mbps")]
    pub link_mbps: f64,
    /// Time from the stop signal until the process is killed, in seconds.
    pub grace_s: f64,
    /// How much is buffered for those that read or send slowly.
    #[serde(default = "default_buffers")]
    pub buffers: BufferSettings,
    /// How many connections are open at once.
    #[serde(default)]
    pub connections: ConnectionSettings,
    /// The format and the level of the log.
    #[serde(default)]
    pub log: common::LogSettings,
}

/// ListenAddresses are the addresses at which an agent listens.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListenAddresses {
    /// The address for other agents: states over UDP and orders over TCP.
    pub peers: SocketAddr,
    /// The address for metrics and health checks.
    pub metrics: SocketAddr,
}

/// A tenth of the time within which the expert map should follow a change of expert popularity.
const DEFAULT_POLL_MS: u64 = 100;

/// The speed of a small host's link, so that time limits that follow from it are not too short.
const DEFAULT_LINK_MBPS: f64 = 10.0;

/// Half of the memory of a small host; orders are few and short.
const DEFAULT_MEMORY_MB: u64 = 64;

fn default_buffers() -> BufferSettings {
    BufferSettings { memory_mb: Some(DEFAULT_MEMORY_MB), ..BufferSettings::default() }
}

fn default_link_mbps() -> f64 {
    DEFAULT_LINK_MBPS
}

fn default_poll_ms() -> u64 {
    DEFAULT_POLL_MS
}

impl RankSettings {
    /// Returns the poll interval of the engine.
    pub fn poll_interval(&self) -> Duration {
        Duration::from_millis(self.beat_ms)
    }

    /// Returns the addresses of the entries on the seed hosts for other processes, which use the
    /// same port as this agent.
    pub fn seed_entries(&self) -> Vec<SocketAddr> {
        let port = self.listen.peers.port();
        self.seeds.iter().map(|seed| SocketAddr::new(seed.ip(), port)).collect()
    }
}

/// Returns the first invalid value, or `None` if all settings are valid.
pub fn check(settings: &RankSettings) -> Option<InvalidValue> {
    common::check_name("name", &settings.name)
        .or_else(|| common::check_name("data_centre", &settings.data_centre))
        .or_else(|| common::check_range("beat_ms", settings.beat_ms, 20..=10_000))
        .or_else(|| common::check_range("link_mbps", settings.link_mbps, 0.1..=1_000_000.0))
        .or_else(|| common::check_range("grace_s", settings.grace_s, 0.5..=3_600.0))
        .or_else(|| host::check(&settings.buffers, &settings.connections))
}
