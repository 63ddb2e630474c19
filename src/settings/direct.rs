//! The settings of an entry that reaches targets directly; docs/SETTINGS.md describes each field.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;

use crate::direct::decisions::warmth::Tolerance;
use crate::settings::host::{self, ConnectionSettings};
use crate::settings::{InvalidValue, common};

pub use crate::settings::host::BufferSettings;

/// DirectSettings is the content of the settings file of `bitternwall-platform-entry`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DirectSettings {
    /// The host's name, which is unique in the fleet.
    pub name: String,
    /// The data centre in which the host is located.
    pub data_centre: String,
    /// The addresses at which the entry listens.
    pub listen: ListenAddresses,
    /// Addresses of hosts that may run an entry, used to find the first peers. Their ports are
    /// ignored.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// The address and the timeout for the key-value service.
    pub store: StoreAddress,
    /// The retry budget, which all entries share.
    pub retries: RetrySettings,
    /// The time limit of a graceful stop.
    pub stop: StopSettings,
    /// How long callers cache entry addresses.
    #[serde(default)]
    pub addresses: AddressSettings,
    /// How many requests are sent to a target concurrently.
    #[serde(default)]
    pub placement: ConcurrencySettings,
    /// How much more cold targets tolerate than the requests a second that their service states; cold
    /// targets are not limited without it.
    #[serde(default)]
    pub cold: Option<ColdSettings>,
    /// Interval between heartbeats to other entries, in milliseconds.
    #[serde(default = "default_heartbeat_ms")]
    pub heartbeat_ms: u64,
    /// Time after which an idle connection of a caller is closed, in milliseconds.
    #[serde(default = "default_idle_ms")]
    pub caller_idle_ms: u64,
    /// Time for which a request is refused after targets crashed under it, in milliseconds.
    #[serde(default = "default_crash_refusal_ms")]
    pub crash_refusal_ms: u64,
    /// How much is buffered for callers that read or send slowly.
    #[serde(default)]
    pub buffers: BufferSettings,
    /// How many connections are open at once.
    #[serde(default)]
    pub connections: ConnectionSettings,
    /// The format and the level of the log.
    #[serde(default)]
    pub log: common::LogSettings,
}

/// ListenAddresses are the addresses at which an entry listens.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListenAddresses {
    /// The address for requests of callers.
    pub callers: SocketAddr,
    /// The address for readiness checks.
    pub ready: SocketAddr,
    /// The address at which callers fetch the list of entry addresses.
    pub addresses: SocketAddr,
    /// The address for other entries: heartbeats over UDP and fetches of shared facts over TCP.
    pub peers: SocketAddr,
    /// The address for metrics and health checks.
    pub metrics: SocketAddr,
}

/// StoreAddress is the address and the timeout for the key-value service.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoreAddress {
    /// The address of the service.
    pub address: SocketAddr,
    /// Timeout of a call, in milliseconds.
    #[serde(default = "default_call_timeout_ms")]
    pub call_timeout_ms: u64,
    /// Time within which an accepted change is in force at all entries, in milliseconds.
    #[serde(default = "default_in_force_ms")]
    pub in_force_ms: u64,
    /// Interval at which targets renew their records in the service, in milliseconds. A record that is
    /// not renewed expires after three intervals.
    #[serde(default = "default_target_renewal_ms")]
    pub target_renewal_ms: u64,
    /// Time within which the targets of a data centre get no requests any more once the operator asks
    /// for that, in milliseconds. Without it such requests are not read.
    #[serde(default)]
    pub evacuate_ms: Option<u64>,
}

/// ColdSettings are the requests in one second that a cold target tolerates.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ColdSettings {
    /// The factor of the requests a second that the service states.
    pub overrun: f64,
    /// Requests in one second in addition.
    pub slack: f64,
}

/// RetrySettings are the retry budget: how many times requests may be sent again after a failure.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RetrySettings {
    /// Retries per request received.
    pub ratio: f64,
    /// Retries in each window in addition to those that `ratio` permits.
    pub allowance: f64,
}

/// StopSettings are the time limit of a graceful stop.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StopSettings {
    /// Time from the stop signal until the process is killed, in seconds.
    pub grace_s: f64,
}

/// AddressSettings are the settings of the list of entry addresses that callers fetch.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AddressSettings {
    /// Time for which a caller caches the list, in seconds.
    pub keep_s: u32,
}

impl Default for AddressSettings {
    fn default() -> Self {
        Self { keep_s: DEFAULT_KEEP_S }
    }
}

/// ConcurrencySettings limit the number of requests that are sent to a target concurrently.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConcurrencySettings {
    /// Limit of the requests in flight at a model server, per slot of the server.
    pub engine_fill: f64,
    /// Limit of the requests in flight at a plain target, per slot of the target.
    pub plain_fill: f64,
}

impl Default for ConcurrencySettings {
    fn default() -> Self {
        Self { engine_fill: DEFAULT_ENGINE_FILL, plain_fill: DEFAULT_PLAIN_FILL }
    }
}

/// At this interval, losing four heartbeats in a row is rare, and load data is at most this old.
const DEFAULT_HEARTBEAT_MS: u64 = 100;
/// Longer than callers keep idle connections, so that the entry never closes a connection first.
const DEFAULT_IDLE_MS: u64 = 120_000;
/// About a hundred times the usual duration of a call, so that a slow store does not time out.
const DEFAULT_CALL_TIMEOUT_MS: u64 = 1_500;
/// Longer than a call, so that a change is in force in time though one call gets no answer.
const DEFAULT_IN_FORCE_MS: u64 = 2_000;
/// Often enough that a target which ends without a word is off the list within four seconds.
const DEFAULT_TARGET_RENEWAL_MS: u64 = 1_200;
/// A third of the time for which callers may cache the list, since some of them do so for all of
/// it.
const DEFAULT_KEEP_S: u32 = 2;
/// A model server executes as many requests as it has slots; more would only wait there.
const DEFAULT_ENGINE_FILL: f64 = 1.0;
/// Plain requests are short; a second one for each slot keeps the target busy between them.
const DEFAULT_PLAIN_FILL: f64 = 2.0;

/// As long as agents refuse a request that crashed their targets.
const DEFAULT_CRASH_REFUSAL_MS: u64 = 600_000;

fn default_crash_refusal_ms() -> u64 {
    DEFAULT_CRASH_REFUSAL_MS
}

fn default_heartbeat_ms() -> u64 {
    DEFAULT_HEARTBEAT_MS
}

fn default_idle_ms() -> u64 {
    DEFAULT_IDLE_MS
}

fn default_call_timeout_ms() -> u64 {
    DEFAULT_CALL_TIMEOUT_MS
}

fn default_in_force_ms() -> u64 {
    DEFAULT_IN_FORCE_MS
}

fn default_target_renewal_ms() -> u64 {
    DEFAULT_TARGET_RENEWAL_MS
}

impl DirectSettings {
    /// Returns the interval at which targets renew their records in the store.
    pub fn target_renewal_interval(&self) -> Duration {
        Duration::from_millis(self.store.target_renewal_ms)
    }

    /// Returns the interval between heartbeats to other entries.
    pub fn heartbeat_interval(&self) -> Duration {
        Duration::from_millis(self.heartbeat_ms)
    }

    /// Returns the time within which an accepted change is in force at all entries.
    pub fn in_force_time(&self) -> Duration {
        Duration::from_millis(self.store.in_force_ms)
    }

    /// Returns how much more cold targets tolerate; `None` where they are not limited.
    pub fn cold_tolerance(&self) -> Option<Tolerance> {
        let ColdSettings { overrun, slack } = *self.cold.as_ref()?;
        Some(Tolerance { overrun, slack })
    }

    /// Returns the time for which a request is refused after targets crashed under it.
    pub fn crash_refusal(&self) -> Duration {
        Duration::from_millis(self.crash_refusal_ms)
    }

    /// Returns the time from the stop signal until the process is killed.
    pub fn grace_period(&self) -> Duration {
        Duration::from_secs_f64(self.stop.grace_s)
    }

    /// Returns the addresses for heartbeats of the entries on the seed hosts, which use the same
    /// port as this entry.
    pub fn seed_peers(&self) -> Vec<SocketAddr> {
        let port = self.listen.peers.port();
        self.seeds.iter().map(|seed| SocketAddr::new(seed.ip(), port)).collect()
    }
}

/// Returns the first invalid value, or `None` if all settings are valid.
pub fn check(settings: &DirectSettings) -> Option<InvalidValue> {
    common::check_name("name", &settings.name)
        .or_else(|| common::check_name("data_centre", &settings.data_centre))
        .or_else(|| common::check_range("heartbeat_ms", settings.heartbeat_ms, 20..=10_000))
        .or_else(|| {
            common::check_range("caller_idle_ms", settings.caller_idle_ms, 1_000..=3_600_000)
        })
        .or_else(|| {
            let refusal = settings.crash_refusal_ms;
            common::check_range("crash_refusal_ms", refusal, 1_000..=600_000)
        })
        .or_else(|| {
            let in_force = settings.store.in_force_ms;
            common::check_range("store.in_force_ms", in_force, 1_500..=600_000)
        })
        .or_else(|| {
            let StoreAddress { call_timeout_ms, in_force_ms, .. } = settings.store;
            let max = in_force_ms.min(60_000);
            common::check_range("store.call_timeout_ms", call_timeout_ms, 10..=max)
        })
        .or_else(|| {
            let renewal = settings.store.target_renewal_ms;
            common::check_range("store.target_renewal_ms", renewal, 100..=600_000)
        })
        .or_else(|| {
            let evacuate_ms = settings.store.evacuate_ms?;
            common::check_range("store.evacuate_ms", evacuate_ms, 1_500..=600_000)
        })
        .or_else(|| {
            let cold = settings.cold.as_ref()?;
            common::check_range("cold.overrun", cold.overrun, 1.0..=100.0)
                .or_else(|| common::check_range("cold.slack", cold.slack, 0.0..=1_000_000.0))
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
        .or_else(|| host::check(&settings.buffers, &settings.connections))
}
