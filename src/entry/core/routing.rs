//! Chooses the target of an attempt; docs/DESIGN.md compares the alternatives.
//!
//! An idempotent request goes to the target of the entry's region that likely caches its prefix,
//! unless that one is much busier than the others; then it goes to the less loaded of two targets
//! drawn at random, preferably from the entry's data centre. As a result, all entries of a region
//! try the same target first for the same body, so that a body that crashes targets is known
//! before it reaches a second one. A request that is not idempotent goes to the agent that holds
//! its claim.

use std::time::Duration;

use rand::Rng as _;
use xxhash_rust::xxh3;

use crate::agent::segment;
use crate::entry::core::events::StartAttempt;
use crate::entry::core::tables::{Attempt, AttemptNumber, ClaimKey, RequestId, Target};
use crate::entry::core::{EntryWorld, crashes};

/// The ratio to the mean number of requests up to which a target still gets requests for its
/// cached prefixes.
const AFFINITY_LOAD_FACTOR: f64 = 1.25;
/// Requests that a target may have beyond that ratio, so that low numbers do not count as busy.
const AFFINITY_LOAD_SLACK: f64 = 2.0;
/// The fraction of its slots with which a target counts at the beginning of its slow start.
const SLOW_START_FLOOR: f64 = 0.1;

/// Chooses a target and records the attempt. Returns `None` if no target is available.
pub fn start(world: &mut EntryWorld, now: Duration, id: RequestId) -> Option<StartAttempt> {
    let target = choose(world, now, id)?;
    let attempt = AttemptNumber(world.tables.next_attempt);
    world.tables.next_attempt += 1;
    let suspect = crashes::is_suspect(&world.tables, world.tables.requests.get(&id)?);
    let request = world.tables.requests.get_mut(&id)?;
    request.tries += 1;
    request.attempt = Some(attempt);
    let start = StartAttempt {
        request: id,
        attempt,
        target: target.clone(),
        customer: request.customer.clone(),
        service: request.service.clone(),
        claim_key: request.claim_key,
        time_left: request.deadline.saturating_sub(now),
        config_revision: request.config_revision,
        estimated_tokens: request.submitted.estimated_tokens,
        weight: request.weight,
        fingerprint: request.submitted.fingerprint,
        suspect,
        resume: request.answer_started,
    };
    let alone = suspect && start.claim_key.is_none();
    world.tables.attempts.insert(attempt, Attempt { request: id, target: target.clone(), alone });
    if let Some(chosen) = world.tables.targets.get_mut(&target) {
        chosen.in_flight += 1;
    }
    Some(start)
}

fn choose(world: &mut EntryWorld, now: Duration, id: RequestId) -> Option<String> {
    let draws: (u64, u64) = (world.rng.random(), world.rng.random());
    let request = world.tables.requests.get(&id)?;
    let mut candidates = candidates(world, now, &request.service, &request.avoided);
    if candidates.is_empty() {
        return None;
    }
    if let Some(key) = request.claim_key {
        return claim_holder(&candidates, key, request.claim_shards);
    }
    prefer_region(&mut candidates, &world.options.region);
    let affinity = request.submitted.affinity;
    if crashes::is_suspect(&world.tables, request) {
        return highest_weight(&candidates, affinity);
    }
    if let Some(cached) = cached_target(&candidates, affinity) {
        return Some(cached);
    }
    prefer_data_centre(&mut candidates, &world.options.data_centre);
    let (first, second) = (drawn(&candidates, draws.0)?, drawn(&candidates, draws.1)?);
    let less_loaded = if first.load <= second.load { first } else { second };
    Some(less_loaded.name.to_owned())
}

fn drawn<'a, 'b>(candidates: &'b [Candidate<'a>], draw: u64) -> Option<&'b Candidate<'a>> {
    let count = u64::try_from(candidates.len()).ok()?;
    let index = draw.checked_rem(count)?;
    candidates.get(usize::try_from(index).ok()?)
}

/// An available target among which a request is routed.
pub(super) struct Candidate<'a> {
    /// The target's name.
    pub(super) name: &'a str,
    data_centre: &'a str,
    region: &'a str,
    /// Requests at the target per slot, counting one more; during a slow start only a part of the
    /// slots counts.
    pub(super) load: f64,
    /// Requests at the target.
    pub(super) requests: f64,
}

/// Returns the available targets of a service, except those in `avoided`.
pub(super) fn candidates<'a>(
    world: &'a EntryWorld,
    now: Duration,
    service: &str,
    avoided: &[String],
) -> Vec<Candidate<'a>> {
    let view = &world.tables.view;
    let Some((service, _)) = view.service_by_name(service) else { return Vec::new() };
    let declared = view.targets_of(service).map(|(_, declared)| declared);
    declared
        .filter(|declared| !declared.spec.drain)
        .filter(|declared| !view.is_evacuated(&declared.spec.data_centre))
        .filter(|declared| !avoided.contains(&declared.name))
        .filter_map(|declared| {
            let target = world.tables.targets.get(&declared.name)?;
            takes_work(target, now).then(|| Candidate {
                name: &declared.name,
                data_centre: &declared.spec.data_centre,
                region: &target.region,
                load: load(target, now, world.options.slow_start),
                requests: requests_at(target),
            })
        })
        .collect()
}

/// Returns true if this entry may send requests to the target.
pub fn takes_work(target: &Target, now: Duration) -> bool {
    let reachable = target.incarnation.is_some() && target.report.takes_work;
    reachable && !target.report.draining && target.ejected_until <= now
}

/// Returns the requests at a target, from all entries. The agent's report lags behind, so the
/// number of this entry's attempts is used if it is higher.
fn requests_at(target: &Target) -> f64 {
    let reported = target.report.running.saturating_add(target.report.queued);
    f64::from(reported.max(target.in_flight))
}

fn load(target: &Target, now: Duration, slow_start: Duration) -> f64 {
    let slots = f64::from(target.report.slots.max(1));
    (requests_at(target) + 1.0) / (slots * slow_start_share(target, now, slow_start))
}

/// Returns the fraction of its slots with which a target counts, which grows during the slow start.
pub(super) fn slow_start_share(target: &Target, now: Duration, slow_start: Duration) -> f64 {
    let available_for = now.saturating_sub(target.available_since).as_secs_f64();
    (available_for / slow_start.as_secs_f64()).clamp(SLOW_START_FLOOR, 1.0)
}

/// Keeps only the candidates in `region`, if there are any.
fn prefer_region(candidates: &mut Vec<Candidate<'_>>, region: &str) {
    if candidates.iter().any(|candidate| candidate.region == region) {
        candidates.retain(|candidate| candidate.region == region);
    }
}

/// Keeps only the candidates in `data_centre`, if one of them has a free slot.
pub(super) fn prefer_data_centre(candidates: &mut Vec<Candidate<'_>>, data_centre: &str) {
    let has_free_slot = candidates
        .iter()
        .any(|candidate| candidate.data_centre == data_centre && candidate.load <= 1.0);
    if has_free_slot {
        candidates.retain(|candidate| candidate.data_centre == data_centre);
    }
}

/// Returns the number of requests up to which a target still gets those whose prefix it likely
/// caches.
pub(super) fn prefix_bound(candidates: &[Candidate<'_>]) -> f64 {
    let count = u32::try_from(candidates.len()).map(f64::from).unwrap_or(f64::MAX);
    let mean = candidates.iter().map(|candidate| candidate.requests).sum::<f64>() / count;
    mean * AFFINITY_LOAD_FACTOR + AFFINITY_LOAD_SLACK
}

fn cached_target(candidates: &[Candidate<'_>], affinity: u64) -> Option<String> {
    let bound = prefix_bound(candidates);
    let weight = |candidate: &&Candidate<'_>| rendezvous(candidate.name, affinity);
    let cached = candidates.iter().max_by_key(weight)?;
    (cached.requests <= bound).then(|| cached.name.to_owned())
}

fn highest_weight(candidates: &[Candidate<'_>], hash: u64) -> Option<String> {
    let weight = |candidate: &&Candidate<'_>| rendezvous(candidate.name, hash);
    candidates.iter().max_by_key(weight).map(|candidate| candidate.name.to_owned())
}

/// Returns the target whose agent holds the claims of the key's shard. All entries that see the
/// same targets choose the same one; if they see different targets, the compare-and-swap on the
/// claims still lets only one attempt run.
fn claim_holder(candidates: &[Candidate<'_>], key: ClaimKey, shards: u32) -> Option<String> {
    highest_weight(candidates, u64::from(segment::shard_of(&key.0, shards)))
}

fn rendezvous(name: &str, hash: u64) -> u64 {
    xxh3::xxh3_64_with_seed(name.as_bytes(), hash)
}
