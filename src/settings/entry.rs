//! The settings of an entry; docs/SETTINGS.md describes each field.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;

use crate::entry::operator_api;
use crate::settings::{InvalidValue, common};

/// EntrySettings is the whole settings file of `bitternwall-entry`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// The host's name, unique in the fleet.
    pub name: String,
    /// The data centre that the host stands in.
    pub data_centre: String,
    /// The region of the data centre.
    pub region: String,
    /// Where callers and operators connect.
    pub listen: SocketAddr,
    /// Where other entries connect.
    pub link_listen: SocketAddr,
    /// Where metrics and health checks are read.
    pub admin_listen: SocketAddr,
    /// The platform's key-value service.
    pub store: common::StoreSettings,
    /// The platform's host list; absent where the peers below are all there are.
    pub host_list: Option<common::HostListSettings>,
    /// Other entries, for as long as the host list says nothing.
    #[serde(default)]
    pub peers: Vec<Peer>,
    /// Who may declare resources, and the limits of the resource API.
    pub operator_api: operator_api::OperatorSettings,
    /// Milliseconds between heartbeats on a link.
    #[serde(default = "default_heartbeat_ms")]
    pub heartbeat_ms: u64,
    /// Milliseconds of silence after which a link is given up.
    #[serde(default = "default_link_deadline_ms")]
    pub link_deadline_ms: u64,
    /// Milliseconds without word of the configuration after which new work is refused.
    #[serde(default = "default_freshness_ms")]
    pub freshness_ms: u64,
    /// Milliseconds that callers keep an address.
    #[serde(default = "default_address_keep_ms")]
    pub address_keep_ms: u64,
    /// Bytes of the largest request body.
    #[serde(default = "default_max_body_bytes")]
    pub max_body_bytes: usize,
    /// Threads that parse requests.
    #[serde(default = "default_http_workers")]
    pub http_workers: usize,
    /// What is logged, and how.
    #[serde(default)]
    pub log: common::LogSettings,
}

/// Peer is another entry.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Peer {
    /// Its host's name.
    pub name: String,
    /// The data centre that it stands in.
    pub data_centre: String,
    /// Where callers connect to it.
    pub address: SocketAddr,
    /// Where other entries connect to it.
    pub link: SocketAddr,
}

const DEFAULT_HEARTBEAT_MS: u64 = 1_000;
const DEFAULT_LINK_DEADLINE_MS: u64 = 2_500;
const DEFAULT_FRESHNESS_MS: u64 = 10_000;
const DEFAULT_ADDRESS_KEEP_MS: u64 = 10_000;
const DEFAULT_MAX_BODY_BYTES: usize = 1024 * 1024;
const DEFAULT_HTTP_WORKERS: usize = 2;
/// A link's frames are at most four megabytes, and the head must fit beside the body.
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
    /// Returns the time between heartbeats on a link.
    pub fn heartbeat_interval(&self) -> Duration {
        Duration::from_millis(self.heartbeat_ms)
    }

    /// Returns the silence after which a link is given up.
    pub fn link_deadline(&self) -> Duration {
        Duration::from_millis(self.link_deadline_ms)
    }
}

/// Returns the first value that is outside what is allowed.
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
    let problem = operator_api::check(settings)?;
    Some(InvalidValue { field: format!("operator_api.{}", problem.field), ..problem })
}

fn check_times(settings: &EntrySettings) -> Option<InvalidValue> {
    common::check_range("heartbeat_ms", settings.heartbeat_ms, 10..=60_000)
        .or_else(|| {
            let lowest = settings.heartbeat_ms * 2;
            common::check_range("link_deadline_ms", settings.link_deadline_ms, lowest..=120_000)
        })
        .or_else(|| {
            let lowest = settings.link_deadline_ms;
            common::check_range("freshness_ms", settings.freshness_ms, lowest..=600_000)
        })
        .or_else(|| common::check_range("address_keep_ms", settings.address_keep_ms, 100..=600_000))
}

fn check_sizes(settings: &EntrySettings) -> Option<InvalidValue> {
    common::check_range("max_body_bytes", settings.max_body_bytes, 1024..=MAX_MAX_BODY_BYTES)
        .or_else(|| {
            common::check_range("http_workers", settings.http_workers, 1..=MAX_HTTP_WORKERS)
        })
}
