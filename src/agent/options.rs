//! Converts the agent's settings into the options of the decision core.

use std::time::Duration;

use crate::agent::{shard, world};
use crate::settings::agent as agent_settings;

const MILLIS_PER_SECOND: u64 = 1_000;

/// Returns the core's options for the given settings.
pub fn core(settings: &agent_settings::AgentSettings, incarnation: u64) -> world::Options {
    let agent_settings::AgentSettings { queue, links, .. } = settings;
    world::Options {
        slots: size(queue.slots),
        max_queued: size(queue.max_queued),
        max_wait: Duration::from_millis(queue.max_wait_ms),
        freshness: Duration::from_millis(links.freshness_ms),
        retry_after: Duration::from_millis(queue.retry_after_ms),
        suspect_timeout: Duration::from_millis(queue.suspect_patience_ms),
        fingerprint_ttl: Duration::from_millis(queue.fingerprint_ttl_ms),
        kept_bytes: queue.kept_bytes,
        drop_duplicates: true,
        order: world::QueueOrder::Fair,
        claims: claims(settings, incarnation),
    }
}

fn claims(settings: &agent_settings::AgentSettings, incarnation: u64) -> world::ClaimOptions {
    let claims = &settings.claims;
    world::ClaimOptions {
        check: world::ClaimCheck::Saved,
        service: settings.service.clone(),
        incarnation,
        commit_interval: Duration::from_secs(1) / claims.writes_per_second.max(1),
        limits: shard::Limits {
            retention_ms: claims.retention_s.saturating_mul(MILLIS_PER_SECOND),
            bucket_ms: claims.bucket_s.saturating_mul(MILLIS_PER_SECOND),
        },
        max_ahead: size(claims.max_ahead),
    }
}

fn size(n: u32) -> usize {
    usize::try_from(n).unwrap_or(usize::MAX)
}
