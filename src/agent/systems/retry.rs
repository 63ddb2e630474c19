//! Crashing requests: what ran when the target died is suspect, suspects run alone, and a
//! fingerprint that was there twice is refused for a while (docs/AGENT.md).

use std::time::Duration;

use xxhash_rust::xxh3;

use crate::agent::events;
use crate::agent::systems::{admission, answers};
use crate::agent::tables;
use crate::agent::world;
use crate::wire;

/// Crashes after which a fingerprint is refused.
const CRASHES_TO_REFUSE: usize = 2;
/// Probes in a row without an answer after which a target counts as unhealthy.
const SILENT_PROBES: u32 = 2;
/// How long a job that was given up may still be what the target dies of.
const LEFT_WINDOW: Duration = Duration::from_secs(1);
/// Fingerprints that are refused or counted at once.
const MAX_FINGERPRINTS: usize = 1_024;

/// Takes in that the target gave no whole answer to a job.
pub fn failed(
    world: &mut world::AgentWorld,
    id: events::JobId,
    failure: events::Failure,
    effects: &mut Vec<events::Effect>,
) {
    if world.jobs.get(id).is_none_or(|job| job.state != tables::JobState::Running) {
        return;
    }
    match failure {
        events::Failure::Unreachable => unreachable_target(world, id, effects),
        events::Failure::Broken => {
            world.jobs.set_state(id, tables::JobState::Broken);
            effects.push(events::Effect::Probe);
        }
    }
}

/// Takes in a health probe and settles the jobs whose connection broke.
pub fn probed(
    world: &mut world::AgentWorld,
    probe: events::ProbeOutcome,
    effects: &mut Vec<events::Effect>,
) {
    let silent = probe == events::ProbeOutcome::Silent;
    world.target.silent_probes = if silent { world.target.silent_probes + 1 } else { 0 };
    let doubtful = silent && world.target.silent_probes < SILENT_PROBES;
    let healthy = probe == events::ProbeOutcome::Healthy || (doubtful && world.target.healthy);
    if world.target.healthy != healthy {
        world.target.healthy = healthy;
        effects.push(events::Effect::SendHeartbeats);
    }
    let broken: Vec<events::JobId> = in_state(world, tables::JobState::Broken);
    let died = probe == events::ProbeOutcome::Refused || all_broke(world, &broken);
    if died {
        count_death(world, &broken, effects);
    }
    if probe == events::ProbeOutcome::Healthy {
        world.suspects.death = None;
    }
    for id in broken {
        if died {
            end(world, id, wire::RefusalReason::TargetCrashed, effects);
        } else {
            end(world, id, wire::RefusalReason::TargetFailed, effects);
        }
    }
    refuse_unreached(world, effects);
    if !healthy {
        refuse_waiting(world, effects);
    }
}

/// Takes over the fingerprints of which a peer knows two crashes.
pub fn learn(world: &mut world::AgentWorld, list: &[wire::Fingerprint]) {
    for fingerprint in list.iter().filter(|known| known.crash_ids.len() >= CRASHES_TO_REFUSE) {
        let ttl = Duration::from_millis(fingerprint.ttl_ms).min(world.options.fingerprint_ttl);
        refuse_fingerprint(world, fingerprint.hash, world.now + ttl);
    }
}

/// Forgets crashes and refusals whose time has passed.
pub fn expire(world: &mut world::AgentWorld) {
    let now = world.now;
    world.suspects.refused.retain(|_, until| *until > now);
    world.suspects.crashes.retain(|_, crash| crash.expires_at > now);
}

/// Returns the fingerprints that were running when the target died, with the time that is left
/// of each.
pub fn reports(world: &world::AgentWorld) -> Vec<wire::Fingerprint> {
    let left = |until: Duration| until.saturating_sub(world.now).as_millis();
    world
        .suspects
        .crashes
        .iter()
        .map(|(hash, crashes)| wire::Fingerprint {
            hash: *hash,
            ttl_ms: u64::try_from(left(crashes.expires_at)).unwrap_or(u64::MAX),
            crash_ids: crashes.ids.clone(),
        })
        .collect()
}

/// Returns how long a fingerprint stays refused, where it is.
pub fn refusal_left(world: &world::AgentWorld, fingerprint: u64) -> Option<Duration> {
    let until = world.suspects.refused.get(&fingerprint)?;
    Some(until.saturating_sub(world.now))
}

/// Returns whether a suspect has the turn: `None` where none has, else the suspect to hand on
/// now or `None` while the slots are being emptied for it or it runs.
pub fn suspect_turn(world: &world::AgentWorld) -> Option<Option<events::JobId>> {
    if world.suspects.running.is_some() {
        return Some(None);
    }
    let id = *world.suspects.waiting.front()?;
    if world.jobs.running() == 0 {
        return Some(Some(id));
    }
    let since = world.jobs.get(id)?.admitted_at;
    let patience_over = world.now.saturating_sub(since) >= world.options.suspect_timeout;
    patience_over.then_some(None)
}

/// Remembers a job that is given up while it runs, since the target may yet die of it.
pub fn leave(world: &mut world::AgentWorld, job: &tables::Job) {
    let left = tables::Left { present: tables::Present::of(job), at: world.now };
    world.suspects.left.push_back(left);
    if world.suspects.left.len() > MAX_FINGERPRINTS {
        world.suspects.left.pop_front();
    }
}

/// Notes that a suspect is handed on.
pub fn take_suspect(world: &mut world::AgentWorld, id: events::JobId) {
    if world.suspects.waiting.front() == Some(&id) {
        world.suspects.waiting.pop_front();
        world.suspects.running = Some(id);
    }
}

fn unreachable_target(
    world: &mut world::AgentWorld,
    id: events::JobId,
    effects: &mut Vec<events::Effect>,
) {
    effects.push(events::Effect::Probe);
    world.jobs.set_state(id, tables::JobState::Ready);
    world.suspects.unreached.push(id);
}

/// Refuses the jobs that the target took no connection for. They wait for the probe, so that the
/// entry learns of a death before it tries the same body elsewhere.
fn refuse_unreached(world: &mut world::AgentWorld, effects: &mut Vec<events::Effect>) {
    for id in std::mem::take(&mut world.suspects.unreached) {
        let reason = wire::RefusalReason::TargetUnreachable;
        admission::refuse_all(world, id, reason, wire::Executed::No, effects);
    }
}

/// Returns true where the target answers again, but every one of several connections broke: it
/// died and was started again between two probes.
fn all_broke(world: &world::AgentWorld, broken: &[events::JobId]) -> bool {
    broken.len() > 1 && broken.len() == world.jobs.running()
}

fn end(
    world: &mut world::AgentWorld,
    id: events::JobId,
    reason: wire::RefusalReason,
    effects: &mut Vec<events::Effect>,
) {
    let Some(job) = world.jobs.get_mut(id) else { return };
    let subscribers = std::mem::take(&mut job.subscribers);
    let partial = job.head && reason == wire::RefusalReason::TargetFailed;
    for to in subscribers {
        if partial {
            effects.push(events::Effect::EndIncomplete { job: id, to });
        } else {
            world.refuse(to, reason, wire::Executed::Unknown, effects);
        }
    }
    answers::drop_job(world, id, effects);
}

/// Blames a death on what ran at the time, jobs that were given up shortly before included.
fn count_death(
    world: &mut world::AgentWorld,
    broken: &[events::JobId],
    effects: &mut Vec<events::Effect>,
) {
    let since = world.now.saturating_sub(LEFT_WINDOW);
    let left = std::mem::take(&mut world.suspects.left);
    let left = left.into_iter().filter(|left| left.at >= since).map(|left| left.present);
    let broken = broken.iter().filter_map(|id| world.jobs.get(*id)).map(tables::Present::of);
    let present: Vec<tables::Present> = broken.chain(left).collect();
    let drawn = || present.iter().find_map(|job| job.attempt).map(crash_id);
    let Some(crash) = world.suspects.death.or_else(drawn) else { return };
    if present.is_empty() {
        return;
    }
    world.suspects.death = Some(crash);
    present.iter().for_each(|job| count_crash(world, job, crash));
    effects.push(events::Effect::SendHeartbeats);
}

/// Returns an id for the target's death that no other death has: the hash of an attempt that it
/// ended.
fn crash_id(attempt: wire::AttemptId) -> u64 {
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&attempt.incarnation.to_le_bytes());
    bytes[8..].copy_from_slice(&attempt.counter.to_le_bytes());
    xxh3::xxh3_64(&bytes)
}

/// A suspect was present at a death elsewhere before, which counts too.
fn count_crash(world: &mut world::AgentWorld, job: &tables::Present, crash: u64) {
    let tables::Present { fingerprint, suspect, .. } = *job;
    let expires_at = world.now + world.options.fingerprint_ttl;
    let known = world.suspects.crashes.contains_key(&fingerprint);
    if !known && world.suspects.crashes.len() >= MAX_FINGERPRINTS {
        return;
    }
    let fresh = || tables::Crashes { ids: Vec::new(), expires_at };
    let crashes = world.suspects.crashes.entry(fingerprint).or_insert_with(fresh);
    if !crashes.ids.contains(&crash) {
        crashes.ids.push(crash);
    }
    crashes.expires_at = expires_at;
    if crashes.ids.len() + usize::from(suspect) >= CRASHES_TO_REFUSE {
        refuse_fingerprint(world, fingerprint, expires_at);
    }
}

fn refuse_fingerprint(world: &mut world::AgentWorld, fingerprint: u64, until: Duration) {
    let known = world.suspects.refused.contains_key(&fingerprint);
    if known || world.suspects.refused.len() < MAX_FINGERPRINTS {
        let entry = world.suspects.refused.entry(fingerprint).or_insert(until);
        *entry = (*entry).max(until);
    }
}

fn refuse_waiting(world: &mut world::AgentWorld, effects: &mut Vec<events::Effect>) {
    for state in [tables::JobState::Queued, tables::JobState::Ready] {
        for id in in_state(world, state) {
            let reason = wire::RefusalReason::TargetUnreachable;
            admission::refuse_all(world, id, reason, wire::Executed::No, effects);
        }
    }
}

fn in_state(world: &world::AgentWorld, state: tables::JobState) -> Vec<events::JobId> {
    world.jobs.iter().filter(|(_, job)| job.state == state).map(|(id, _)| id).collect()
}
