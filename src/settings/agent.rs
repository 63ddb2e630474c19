//! The settings of an agent; docs/SETTINGS.md describes each field.

use std::fmt;
use std::net::SocketAddr;

use serde::Deserialize;

use crate::settings;
use crate::settings::common;

/// AgentSettings is the content of an agent's settings file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AgentSettings {
    /// The name of the target's resource.
    pub target: String,
    /// The name of the service to which the target belongs.
    pub service: String,
    /// The data centre in which the host is located.
    pub data_centre: String,
    /// The region to which the data centre belongs.
    pub region: String,
    /// The address at which the agent accepts links from entries.
    pub listen: SocketAddr,
    /// The address at which metrics and health checks are served.
    pub admin_listen: SocketAddr,
    /// The target's base address, such as `http://127.0.0.1:8000`.
    pub target_url: String,
    /// The path of the target's health check. Without it, the target counts as healthy if a
    /// connection to it can be opened.
    #[serde(default)]
    pub probe_path: Option<String>,
    /// Base addresses of the key-value service, tried in order.
    pub store: Vec<String>,
    /// The platform's host list. Without it, the target is drained only by its resource or a
    /// signal.
    #[serde(default)]
    pub host_list: Option<common::HostListSettings>,
    /// The format and the level of the log.
    #[serde(default)]
    pub log: common::LogSettings,
    /// Limits of the queue in front of the target.
    #[serde(default)]
    pub queue: QueueSettings,
    /// Heartbeats and timeouts of the connections with entries and the target.
    #[serde(default)]
    pub links: LinkSettings,
    /// Limits for claims, which prevent a non-idempotent request from being executed twice.
    #[serde(default)]
    pub claims: ClaimSettings,
}

/// QueueSettings are the limits of the queue in front of a target.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct QueueSettings {
    /// Requests that the target executes concurrently.
    pub slots: u32,
    /// Requests that may wait in the queue.
    pub max_queued: u32,
    /// Time for which a request may wait in the queue, in milliseconds.
    pub max_wait_ms: u64,
    /// Shortest time after which a refused caller is asked to retry, in milliseconds.
    pub retry_after_ms: u64,
    /// Time for which a suspect (a request that may have crashed a target) waits for idle slots, in
    /// milliseconds. After it, no other request is dispatched until the suspect has run.
    pub suspect_patience_ms: u64,
    /// Time for which requests with a fingerprint are refused after its second crash, in
    /// milliseconds.
    pub fingerprint_ttl_ms: u64,
    /// Total size of the responses that are kept for resends, in bytes.
    pub kept_bytes: u64,
}

impl Default for QueueSettings {
    fn default() -> Self {
        Self {
            slots: 8,
            max_queued: 1_024,
            max_wait_ms: 30_000,
            retry_after_ms: 500,
            suspect_patience_ms: 2_000,
            fingerprint_ttl_ms: 600_000,
            kept_bytes: 64 * 1024 * 1024,
        }
    }
}

/// LinkSettings are the intervals and timeouts of connections and health probes.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LinkSettings {
    /// Interval between heartbeats, and between health probes of the target, in milliseconds.
    pub heartbeat_ms: u64,
    /// Time without a frame after which a connection is closed, in milliseconds.
    pub deadline_ms: u64,
    /// Time for which a configuration counts as current, in milliseconds.
    pub freshness_ms: u64,
    /// Timeout of a health probe, in milliseconds.
    pub probe_timeout_ms: u64,
    /// Time between two chunks of a stream after which its connection counts as dead, in
    /// milliseconds.
    pub stream_gap_ms: u64,
}

impl Default for LinkSettings {
    fn default() -> Self {
        Self {
            heartbeat_ms: 500,
            deadline_ms: 2_000,
            freshness_ms: 5_000,
            probe_timeout_ms: 1_000,
            stream_gap_ms: 2_500,
        }
    }
}

/// ClaimSettings limit the load that claims cause at the key-value service.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ClaimSettings {
    /// Rate limit of this agent's writes, per second.
    pub writes_per_second: u32,
    /// Timeout of a call to the key-value service, in milliseconds.
    pub call_timeout_ms: u64,
    /// Time for which a claim is kept, in seconds.
    pub retention_s: u64,
    /// Time after which a new segment is started, in seconds.
    pub bucket_s: u64,
    /// Requests whose claims may be saved before a slot is free for them.
    pub max_ahead: u32,
}

impl Default for ClaimSettings {
    fn default() -> Self {
        Self {
            writes_per_second: 20,
            call_timeout_ms: 1_000,
            retention_s: 86_400,
            bucket_s: 3_600,
            max_ahead: 256,
        }
    }
}

/// Returns the first invalid value, or `None` if all settings are valid.
pub fn check(settings: &AgentSettings) -> Option<settings::InvalidValue> {
    let AgentSettings { queue, links, claims, .. } = settings;
    let names = [
        ("target", &settings.target),
        ("service", &settings.service),
        ("data_centre", &settings.data_centre),
        ("region", &settings.region),
    ];
    let times = [
        ("queue.max_wait_ms", queue.max_wait_ms),
        ("queue.retry_after_ms", queue.retry_after_ms),
        ("queue.fingerprint_ttl_ms", queue.fingerprint_ttl_ms),
        ("links.heartbeat_ms", links.heartbeat_ms),
        ("links.freshness_ms", links.freshness_ms),
        ("links.probe_timeout_ms", links.probe_timeout_ms),
        ("links.stream_gap_ms", links.stream_gap_ms),
        ("claims.call_timeout_ms", claims.call_timeout_ms),
        ("claims.retention_s", claims.retention_s),
        ("claims.bucket_s", claims.bucket_s),
    ];
    let counts = [
        ("queue.slots", queue.slots),
        ("queue.max_queued", queue.max_queued),
        ("claims.writes_per_second", claims.writes_per_second),
    ];
    let empty_name = names.iter().find(|(_, name)| name.is_empty());
    let zero_time = times.iter().find(|(_, time)| *time == 0);
    let zero_count = counts.iter().find(|(_, count)| *count == 0);
    empty_name
        .map(|(field, name)| invalid_value(field, format!("\"{name}\""), "a non-empty name"))
        .or_else(|| zero_time.map(|(field, time)| invalid_value(field, time, "at least 1")))
        .or_else(|| zero_count.map(|(field, count)| invalid_value(field, count, "at least 1")))
        .or_else(|| check_addresses(settings))
        .or_else(|| check_relations(settings))
}

fn check_addresses(settings: &AgentSettings) -> Option<settings::InvalidValue> {
    if settings.store.is_empty() {
        return Some(invalid_value("store", "[]", "at least one address"));
    }
    let store_urls = settings.store.iter().enumerate();
    let invalid_store_urls =
        store_urls.map(|(index, url)| common::check_url(&format!("store[{index}]"), url));
    let host_list = settings.host_list.as_ref();
    common::check_url("target_url", &settings.target_url)
        .or_else(|| invalid_store_urls.flatten().next())
        .or_else(|| host_list.and_then(common::check_host_list))
}

fn check_relations(settings: &AgentSettings) -> Option<settings::InvalidValue> {
    let AgentSettings { links, claims, .. } = settings;
    if links.deadline_ms < 2 * links.heartbeat_ms {
        let allowed = "at least twice links.heartbeat_ms";
        return Some(invalid_value("links.deadline_ms", links.deadline_ms, allowed));
    }
    let too_long = claims.bucket_s > claims.retention_s;
    too_long
        .then(|| invalid_value("claims.bucket_s", claims.bucket_s, "at most claims.retention_s"))
}

fn invalid_value<V: fmt::Display>(field: &str, value: V, allowed: &str) -> settings::InvalidValue {
    settings::InvalidValue {
        field: field.to_owned(),
        value: format!("{value}"),
        allowed: allowed.to_owned(),
    }
}
