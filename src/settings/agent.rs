//! The settings of an agent; docs/SETTINGS.md lists them.

use std::fmt;
use std::net::SocketAddr;

use serde::Deserialize;

use crate::settings;
use crate::settings::common;

/// AgentSettings is an agent's settings file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AgentSettings {
    /// The name of the target's resource.
    pub target: String,
    /// The service that the target serves.
    pub service: String,
    /// The data centre that the host stands in.
    pub data_centre: String,
    /// The region that the data centre belongs to.
    pub region: String,
    /// Where entries connect.
    pub listen: SocketAddr,
    /// Where metrics and health checks are served.
    pub admin_listen: SocketAddr,
    /// The target's base address, such as `http://127.0.0.1:8000`.
    pub target_url: String,
    /// A path at the target whose answer shows its health; without it, a connection does.
    #[serde(default)]
    pub probe_path: Option<String>,
    /// Base addresses of the key-value service.
    pub store: Vec<String>,
    /// The platform's host list; without it, only the resource and signals drain the target.
    #[serde(default)]
    pub host_list: Option<common::HostListSettings>,
    /// The log.
    #[serde(default)]
    pub log: common::LogSettings,
    /// The queue before the target.
    #[serde(default)]
    pub queue: QueueSettings,
    /// Connections with entries.
    #[serde(default)]
    pub links: LinkSettings,
    /// Claims of requests that may not be repeated.
    #[serde(default)]
    pub claims: ClaimSettings,
}

/// QueueSettings bounds the queue before a target.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct QueueSettings {
    /// Requests that the target runs at once.
    pub slots: u32,
    /// Requests that may wait.
    pub max_queued: u32,
    /// Milliseconds that a request may wait.
    pub max_wait_ms: u64,
    /// Milliseconds after which a refused caller is told to come back, at the least.
    pub retry_after_ms: u64,
    /// Milliseconds that a suspect waits before the slots are emptied for it.
    pub suspect_patience_ms: u64,
    /// Milliseconds for which a fingerprint is refused after its second crash.
    pub fingerprint_ttl_ms: u64,
    /// Bytes of answers that are kept for resends.
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

/// LinkSettings times the heartbeats.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LinkSettings {
    /// Milliseconds between heartbeats, and between health probes of the target.
    pub heartbeat_ms: u64,
    /// Milliseconds without a frame after which a connection is dropped.
    pub deadline_ms: u64,
    /// Milliseconds for which a configuration counts as current.
    pub freshness_ms: u64,
    /// Milliseconds that a health probe may take.
    pub probe_timeout_ms: u64,
    /// Milliseconds between two pieces of a stream after which its connection counts as silent.
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

/// ClaimSettings bounds what claims cost the key-value service.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ClaimSettings {
    /// Writes a second that this agent may make.
    pub writes_per_second: u32,
    /// Milliseconds that one call to the key-value service may take.
    pub call_timeout_ms: u64,
    /// Seconds for which a claim is remembered.
    pub retention_s: u64,
    /// Seconds after which a new segment is begun.
    pub bucket_s: u64,
    /// Requests that may be claimed before a slot is free for them.
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

/// Returns the first value that is outside what is allowed.
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
    let name = names.iter().find(|(_, name)| name.is_empty());
    let time = times.iter().find(|(_, time)| *time == 0);
    let count = counts.iter().find(|(_, count)| *count == 0);
    name.map(|(field, name)| problem(field, format!("\"{name}\""), "a name"))
        .or_else(|| time.map(|(field, time)| problem(field, time, "at least 1")))
        .or_else(|| count.map(|(field, count)| problem(field, count, "at least 1")))
        .or_else(|| check_addresses(settings))
        .or_else(|| check_relations(settings))
}

fn check_addresses(settings: &AgentSettings) -> Option<settings::InvalidValue> {
    if settings.store.is_empty() {
        return Some(problem("store", "[]", "at least one address"));
    }
    let stores = settings.store.iter().enumerate();
    let stores = stores.map(|(index, url)| common::check_url(&format!("store[{index}]"), url));
    let list = settings.host_list.as_ref();
    common::check_url("target_url", &settings.target_url)
        .or_else(|| stores.flatten().next())
        .or_else(|| list.and_then(common::check_host_list))
}

fn check_relations(settings: &AgentSettings) -> Option<settings::InvalidValue> {
    let AgentSettings { links, claims, .. } = settings;
    if links.deadline_ms < 2 * links.heartbeat_ms {
        let allowed = "at least twice links.heartbeat_ms";
        return Some(problem("links.deadline_ms", links.deadline_ms, allowed));
    }
    let too_long = claims.bucket_s > claims.retention_s;
    too_long.then(|| problem("claims.bucket_s", claims.bucket_s, "at most claims.retention_s"))
}

fn problem<V: fmt::Display>(field: &str, value: V, allowed: &str) -> settings::InvalidValue {
    settings::InvalidValue {
        field: field.to_owned(),
        value: format!("{value}"),
        allowed: allowed.to_owned(),
    }
}
