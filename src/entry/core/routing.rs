//! Chooses the target of an attempt; docs/DESIGN.md weighs the ways.
//!
//! An idempotent request goes to the target of its region that likely caches its prefix, as long
//! as that one is not much busier than the others, else to the less loaded of two drawn at random,
//! near ones first. All entries of a region so begin with the same target for the same body, and a
//! body that crashes targets is known before a second one gets it. A request that may not be
//! repeated goes to the agent that keeps its claim.

use std::time::Duration;

use rand::Rng as _;
use xxhash_rust::xxh3;

use crate::agent::segment;
use crate::entry::core::events::StartAttempt;
use crate::entry::core::tables::{Attempt, AttemptNumber, ClaimKey, RequestId, Target};
use crate::entry::core::{EntryWorld, crashes};

/// How much busier than the mean a target may be and still get a request for its cached prefix.
const AFFINITY_LOAD_FACTOR: f64 = 1.25;
/// Requests that any target may have before it counts as busy.
const AFFINITY_LOAD_SLACK: f64 = 2.0;
/// The share of its work that a returning target gets at once.
const SLOW_START_FLOOR: f64 = 0.1;

/// Chooses a target and makes the attempt; none where no target takes work.
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

/// Candidate is a target that takes new work.
pub(super) struct Candidate<'a> {
    /// Its name.
    pub(super) name: &'a str,
    data_centre: &'a str,
    region: &'a str,
    /// Requests there for each slot, raised for a target that is coming back.
    pub(super) load: f64,
    /// Requests there.
    pub(super) requests: f64,
}

/// Returns the targets of a service that take new work, but for those to be avoided.
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

/// Tells whether a target may get new work from this entry.
pub fn takes_work(target: &Target, now: Duration) -> bool {
    let reachable = target.incarnation.is_some() && target.report.takes_work;
    reachable && !target.report.draining && target.ejected_until <= now
}

/// The agent's report lags, so the entry's own attempts count where they are more.
fn requests_at(target: &Target) -> f64 {
    let reported = target.report.running.saturating_add(target.report.queued);
    f64::from(reported.max(target.in_flight))
}

fn load(target: &Target, now: Duration, slow_start: Duration) -> f64 {
    let slots = f64::from(target.report.slots.max(1));
    (requests_at(target) + 1.0) / (slots * slow_start_share(target, now, slow_start))
}

/// Returns the share of its slots that a target counts with while it is coming back.
pub(super) fn slow_start_share(target: &Target, now: Duration, slow_start: Duration) -> f64 {
    let back_for = now.saturating_sub(target.returned_at).as_secs_f64();
    (back_for / slow_start.as_secs_f64()).clamp(SLOW_START_FLOOR, 1.0)
}

/// Keeps the candidates of the own region, where there are any.
fn prefer_region(candidates: &mut Vec<Candidate<'_>>, region: &str) {
    if candidates.iter().any(|near| near.region == region) {
        candidates.retain(|near| near.region == region);
    }
}

/// Keeps the candidates of the own data centre, where there are any with room.
pub(super) fn prefer_data_centre(candidates: &mut Vec<Candidate<'_>>, data_centre: &str) {
    let near_with_room =
        candidates.iter().any(|near| near.data_centre == data_centre && near.load <= 1.0);
    if near_with_room {
        candidates.retain(|near| near.data_centre == data_centre);
    }
}

/// Returns how many requests a target may have and still get those whose prefix it likely caches.
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

/// All entries send a shard's requests to the same agent while they see the same targets; where
/// they do not, the compare-and-swap on the claims still lets only one of them run.
fn claim_holder(candidates: &[Candidate<'_>], key: ClaimKey, shards: u32) -> Option<String> {
    highest_weight(candidates, u64::from(segment::shard_of(&key.0, shards)))
}

fn rendezvous(name: &str, hash: u64) -> u64 {
    xxh3::xxh3_64_with_seed(name.as_bytes(), hash)
}
