//! The settings of an entry that reaches targets directly; docs/SETTINGS.md describes each field.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;

use crate::settings::{InvalidValue, common};

/// DirectSettings is the whole settings file of `bitternwall-platform`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DirectSettings {
    /// The host's name, unique in the fleet.
    pub name: String,
    /// The data centre that the host stands in.
    pub data_centre: String,
    /// Where the entry listens.
    pub listen: ListenAddresses,
    /// Addresses of hosts that may run an entry, for a first contact; ports are passed over.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// The key-value service.
    pub store: StoreAddress,
    /// How often requests may be sent again, over all entries together.
    pub retries: RetrySettings,
    /// How the process stops.
    pub stop: StopSettings,
    /// How long callers keep addresses.
    #[serde(default)]
    pub addresses: AddressSettings,
    /// How many requests a target gets.
    #[serde(default)]
    pub placement: ConcurrencySettings,
    /// Milliseconds between heartbeats of entries.
    #[serde(default = "default_heartbeat_ms")]
    pub heartbeat_ms: u64,
    /// Milliseconds that a connection of a caller may stay idle.
    #[serde(default = "default_idle_ms")]
    pub caller_idle_ms: u64,
    /// What is logged, and how.
    #[serde(default)]
    pub log: common::LogSettings,
}

/// ListenAddresses is the addresses of one entry.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListenAddresses {
    /// Where callers send requests.
    pub callers: SocketAddr,
    /// Where readiness is asked for.
    pub ready: SocketAddr,
    /// Where callers ask for addresses.
    pub addresses: SocketAddr,
    /// Where other entries send heartbeats (UDP) and fetch facts (TCP).
    pub peers: SocketAddr,
    /// Where metrics and health checks are read.
    pub metrics: SocketAddr,
}

/// StoreAddress tells how to reach the key-value service.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoreAddress {
    /// Its address.
    pub address: SocketAddr,
    /// Milliseconds that a call may take.
    #[serde(default = "default_call_timeout_ms")]
    pub call_timeout_ms: u64,
}

/// RetrySettings bounds repeated sends.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RetrySettings {
    /// Repeated sends for each request.
    pub ratio: f64,
    /// Repeated sends besides, in each window.
    pub allowance: f64,
}

/// StopSettings says how long a graceful stop may take.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StopSettings {
    /// Seconds from the signal until the process is killed.
    pub grace_s: f64,
}

/// AddressSettings says how long callers keep an answer.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AddressSettings {
    /// Seconds that a caller keeps an answer.
    pub keep_s: u32,
}

impl Default for AddressSettings {
    fn default() -> Self {
        Self { keep_s: DEFAULT_KEEP_S }
    }
}

/// ConcurrencySettings says how many requests a target gets at once.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConcurrencySettings {
    /// Requests in flight at a model server for each of its slots.
    pub engine_fill: f64,
    /// Requests in flight at a plain target for each of its slots.
    pub plain_fill: f64,
}

impl Default for ConcurrencySettings {
    fn default() -> Self {
        Self { engine_fill: DEFAULT_ENGINE_FILL, plain_fill: DEFAULT_PLAIN_FILL }
    }
}

/// Four losses of a heartbeat in a row are rare, and loads are then at most this old.
const DEFAULT_HEARTBEAT_MS: u64 = 100;
/// Longer than callers keep idle connections, so that the entry is never the one to close first.
const DEFAULT_IDLE_MS: u64 = 120_000;
/// Some hundred times what the store usually takes, so that a slow one is still heard.
const DEFAULT_CALL_TIMEOUT_MS: u64 = 1_500;
/// A third of the time that callers may keep an answer, which some of them do.
const DEFAULT_KEEP_S: u32 = 2;
/// A model server runs as many requests as it has slots; more would only wait there.
const DEFAULT_ENGINE_FILL: f64 = 1.0;
/// Plain requests are short, so that a second one for each slot keeps targets busy.
const DEFAULT_PLAIN_FILL: f64 = 2.0;

fn default_heartbeat_ms() -> u64 {
    DEFAULT_HEARTBEAT_MS
}

fn default_idle_ms() -> u64 {
    DEFAULT_IDLE_MS
}

fn default_call_timeout_ms() -> u64 {
    DEFAULT_CALL_TIMEOUT_MS
}

impl DirectSettings {
    /// Returns the time between heartbeats.
    pub fn heartbeat_interval(&self) -> Duration {
        Duration::from_millis(self.heartbeat_ms)
    }

    /// Returns the time from a signal to stop until the process is killed.
    pub fn grace_period(&self) -> Duration {
        Duration::from_secs_f64(self.stop.grace_s)
    }

    /// Returns where the other entries of the seeds' hosts take heartbeats; all entries use the
    /// same port.
    pub fn seed_peers(&self) -> Vec<SocketAddr> {
        let port = self.listen.peers.port();
        self.seeds.iter().map(|seed| SocketAddr::new(seed.ip(), port)).collect()
    }
}

/// Returns the first value that is outside what is allowed.
pub fn check(settings: &DirectSettings) -> Option<InvalidValue> {
    common::check_name("name", &settings.name)
        .or_else(|| common::check_name("data_centre", &settings.data_centre))
        .or_else(|| common::check_range("heartbeat_ms", settings.heartbeat_ms, 20..=10_000))
        .or_else(|| {
            common::check_range("caller_idle_ms", settings.caller_idle_ms, 1_000..=3_600_000)
        })
        .or_else(|| {
            let timeout = settings.store.call_timeout_ms;
            common::check_range("store.call_timeout_ms", timeout, 10..=60_000)
        })
        .or_else(|| common::check_range("retries.ratio", settings.retries.ratio, 0.0..=10.0))
        .or_else(|| {
            common::check_range("retries.allowance", settings.retries.allowance, 0.0..=1_000_000.0)
        })
        .or_else(|| common::check_range("stop.grace_s", settings.stop.grace_s, 0.5..=3_600.0))
        .or_else(|| common::check_range("addresses.keep_s", settings.addresses.keep_s, 1..=3_600))
        .or_else(|| {
            let fill = settings.placement.engine_fill;
            common::check_range("placement.engine_fill", fill, 0.1..=100.0)
        })
        .or_else(|| {
            let fill = settings.placement.plain_fill;
            common::check_range("placement.plain_fill", fill, 0.1..=100.0)
        })
}
