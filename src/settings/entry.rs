//! The settings of an entry; docs/SETTINGS.md describes each field.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;

use crate::entry::operator_api;
use crate::settings::{InvalidValue, common};

/// EntrySettings is the content of the settings file of `bitternwall-entry`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// The host's name, which is unique in the fleet.
    pub name: String,
    /// The data centre in which the host is located.
    pub data_centre: String,
    /// The region to which the data centre belongs.
    pub region: String,
    /// The address for callers and operators.
    pub listen: SocketAddr,
    /// The address for links from other entries.
    pub link_listen: SocketAddr,
    /// The address for metrics and health checks.
    pub admin_listen: SocketAddr,
    /// The addresses and the timeout for the platform's key-value service.
    pub store: common::StoreSettings,
    /// The platform's host list. Without it, `peers` must name all other entries.
    pub host_list: Option<common::HostListSettings>,
    /// Other entries, used as long as the host list has not been read.
    #[serde(default)]
    pub peers: Vec<Peer>,
    /// The operators who may declare resources, and the limits of the operator API.
    pub operator_api: operator_api::OperatorSettings,
    /// Interval between heartbeats on a link, in milliseconds.
    #[serde(default = "default_heartbeat_ms")]
    pub heartbeat_ms: u64,
    /// Time without a message after which a link is closed, in milliseconds.
    #[serde(default = "default_link_deadline_ms")]
    pub link_deadline_ms: u64,
    /// Time after which new work is refused if nothing has confirmed that the configuration is
    /// current, in milliseconds.
    #[serde(default = "default_freshness_ms")]
    pub freshness_ms: u64,
    /// Time for which callers cache an address, in milliseconds.
    #[serde(default = "default_address_keep_ms")]
    pub address_keep_ms: u64,
    /// Size limit of a request body, in bytes.
    #[serde(default = "default_max_body_bytes")]
    pub max_body_bytes: usize,
    /// Number of threads that parse requests.
    #[serde(default = "default_http_workers")]
    pub http_workers: usize,
    /// The format and the level of the log.
    #[serde(default)]
    pub log: common::LogSettings,
}

/// Peer is another entry, as listed in the settings.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Peer {
    /// The name of the host on which it runs.
    pub name: String,
    /// The data centre in which the host is located.
    pub data_centre: String,
    /// The address for callers.
    pub address: SocketAddr,
    /// The address for links from other entries.
    pub link: SocketAddr,
}

const DEFAULT_HEARTBEAT_MS: u64 = 1_000;
const DEFAULT_LINK_DEADLINE_MS: u64 = 2_500;
const DEFAULT_FRESHNESS_MS: u64 = 10_000;
const DEFAULT_ADDRESS_KEEP_MS: u64 = 10_000;
const DEFAULT_MAX_BODY_BYTES: usize = 1024 * 1024;
const DEFAULT_HTTP_WORKERS: usize = 2;
/// A frame of a link is at most four megabytes and contains the request head as well as the body.
const MAX_MAX_BODY_BYTES: usize = 3 * 1024 * 1024;
const MAX_HTTP_WORKERS: usize = 64;

fn default_heartbeat_ms() -> u64 {
    DEFAULT_HEARTBEAT_MS
}

fn default_link_deadline_ms() -> u64 {
    DEFAULT_LINK_DEADLINE_MS
}

fn default_freshness_ms() -> u64 {
    DEFAULT_FRESHNESS_MS
}

fn default_address_keep_ms() -> u64 {
    DEFAULT_ADDRESS_KEEP_MS
}

fn default_max_body_bytes() -> usize {
    DEFAULT_MAX_BODY_BYTES
}

fn default_http_workers() -> usize {
    DEFAULT_HTTP_WORKERS
}

impl EntrySettings {
    /// Returns the interval between heartbeats on a link.
    pub fn heartbeat_interval(&self) -> Duration {
        Duration::from_millis(self.heartbeat_ms)
    }

    /// Returns the time without a message after which a link is closed.
    pub fn link_deadline(&self) -> Duration {
        Duration::from_millis(self.link_deadline_ms)
    }
}

/// Returns the first invalid value, or `None` if all settings are valid.
pub fn check(settings: &EntrySettings) -> Option<InvalidValue> {
    common::check_name("name", &settings.name)
        .or_else(|| common::check_name("data_centre", &settings.data_centre))
        .or_else(|| common::check_name("region", &settings.region))
        .or_else(|| common::check_store(&settings.store))
        .or_else(|| settings.host_list.as_ref().and_then(common::check_host_list))
        .or_else(|| check_operator_api(&settings.operator_api))
        .or_else(|| check_times(settings))
        .or_else(|| check_sizes(settings))
}

fn check_operator_api(settings: &operator_api::OperatorSettings) -> Option<InvalidValue> {
    let invalid = operator_api::check(settings)?;
    Some(InvalidValue { field: format!("operator_api.{}", invalid.field), ..invalid })
}

fn check_times(settings: &EntrySettings) -> Option<InvalidValue> {
    common::check_range("heartbeat_ms", settings.heartbeat_ms, 10..=60_000)
        .or_else(|| {
            let min = settings.heartbeat_ms * 2;
            common::check_range("link_deadline_ms", settings.link_deadline_ms, min..=120_000)
        })
        .or_else(|| {
            let min = settings.link_deadline_ms;
            common::check_range("freshness_ms", settings.freshness_ms, min..=600_000)
        })
        .or_else(|| common::check_range("address_keep_ms", settings.address_keep_ms, 100..=600_000))
}

fn check_sizes(settings: &EntrySettings) -> Option<InvalidValue> {
    common::check_range("max_body_bytes", settings.max_body_bytes, 1024..=MAX_MAX_BODY_BYTES)
        .or_else(|| {
            common::check_range("http_workers", settings.http_workers, 1..=MAX_HTTP_WORKERS)
        })
}
