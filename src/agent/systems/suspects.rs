//! Requests that may crash the target. Whatever ran when the target crashed is suspect, suspects
//! run alone, and a fingerprint that was running at two crashes is refused for a while
//! (docs/AGENT.md).

use std::time::Duration;

use xxhash_rust::xxh3;

use crate::agent::events;
use crate::agent::systems::{admission, answers};
use crate::agent::tables;
use crate::agent::world;
use crate::wire;

/// Crashes after which a fingerprint is refused.
const CRASHES_TO_REFUSE: usize = 2;
/// Consecutive probes without an answer after which a target counts as unhealthy.
const SILENT_PROBES_TO_UNHEALTHY: u32 = 2;
/// How long after a running job was aborted a crash of the target is still attributed to it.
const ABANDONED_WINDOW: Duration = Duration::from_secs(1);
/// Limit on the fingerprints that are refused and on those whose crashes are counted.
const MAX_FINGERPRINTS: usize = 1_024;

/// Handles a running job to which the target gave no complete answer.
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
        events::Failure::Unreachable => mark_unreachable(world, id, effects),
        events::Failure::Broken => {
            world.jobs.set_state(id, tables::JobState::Broken);
            effects.push(events::Effect::Probe);
        }
    }
}

/// Updates the target's health from a probe, and ends the jobs whose connection broke before it.
pub fn probed(
    world: &mut world::AgentWorld,
    probe: events::ProbeOutcome,
    effects: &mut Vec<events::Effect>,
) {
    let silent = probe == events::ProbeOutcome::Silent;
    world.target.silent_probes = if silent { world.target.silent_probes + 1 } else { 0 };
    let tolerated = silent && world.target.silent_probes < SILENT_PROBES_TO_UNHEALTHY;
    let healthy = probe == events::ProbeOutcome::Healthy || (tolerated && world.target.healthy);
    if world.target.healthy != healthy {
        world.target.healthy = healthy;
        effects.push(events::Effect::SendHeartbeats);
    }
    let broken: Vec<events::JobId> = in_state(world, tables::JobState::Broken);
    let crashed = probe == events::ProbeOutcome::Refused || all_connections_broke(world, &broken);
    if crashed {
        record_crash(world, &broken, effects);
    }
    if probe == events::ProbeOutcome::Healthy {
        world.suspects.current_crash = None;
    }
    for id in broken {
        if crashed {
            end_broken(world, id, wire::RefusalReason::TargetCrashed, effects);
        } else {
            end_broken(world, id, wire::RefusalReason::TargetFailed, effects);
        }
    }
    refuse_unreachable(world, effects);
    if !healthy {
        refuse_waiting(world, effects);
    }
}

/// Refuses the fingerprints for which a peer reports enough crashes.
pub fn refuse_reported(world: &mut world::AgentWorld, list: &[wire::Fingerprint]) {
    for fingerprint in list.iter().filter(|known| known.crash_ids.len() >= CRASHES_TO_REFUSE) {
        let ttl = Duration::from_millis(fingerprint.ttl_ms).min(world.options.fingerprint_ttl);
        refuse_fingerprint(world, fingerprint.hash, world.now + ttl);
    }
}

/// Drops expired crashes and refusals.
pub fn expire(world: &mut world::AgentWorld) {
    let now = world.now;
    world.suspects.refused.retain(|_, until| *until > now);
    world.suspects.crashes.retain(|_, crash| crash.expires_at > now);
}

/// Returns the fingerprints that were running when the target crashed, each with its remaining time
/// to live.
pub fn crash_reports(world: &world::AgentWorld) -> Vec<wire::Fingerprint> {
    let remaining = |until: Duration| until.saturating_sub(world.now).as_millis();
    world
        .suspects
        .crashes
        .iter()
        .map(|(hash, crashes)| wire::Fingerprint {
            hash: *hash,
            ttl_ms: u64::try_from(remaining(crashes.expires_at)).unwrap_or(u64::MAX),
            crash_ids: crashes.ids.clone(),
        })
        .collect()
}

/// Returns how long a fingerprint remains refused, or `None` if it is not refused.
pub fn remaining_refusal(world: &world::AgentWorld, fingerprint: u64) -> Option<Duration> {
    let until = world.suspects.refused.get(&fingerprint)?;
    Some(until.saturating_sub(world.now))
}

/// Returns whether a suspect holds the target: `None` if none does, `Some(None)` while one runs or
/// slots are kept free for one, and `Some(Some(id))` if the suspect is to be dispatched now.
pub fn suspect_turn(world: &world::AgentWorld) -> Option<Option<events::JobId>> {
    if world.suspects.running.is_some() {
        return Some(None);
    }
    let id = *world.suspects.waiting.front()?;
    if world.jobs.running() == 0 {
        return Some(Some(id));
    }
    let since = world.jobs.get(id)?.admitted_at;
    let timed_out = world.now.saturating_sub(since) >= world.options.suspect_timeout;
    timed_out.then_some(None)
}

/// Records a job that is aborted while it runs, since it may still crash the target.
pub fn record_abandoned(world: &mut world::AgentWorld, job: &tables::Job) {
    let abandoned = tables::AbandonedJob { job: tables::JobAtCrash::of(job), at: world.now };
    world.suspects.abandoned.push_back(abandoned);
    if world.suspects.abandoned.len() > MAX_FINGERPRINTS {
        world.suspects.abandoned.pop_front();
    }
}

/// Marks the first waiting suspect as running, if it is the job that is being dispatched.
pub fn suspect_dispatched(world: &mut world::AgentWorld, id: events::JobId) {
    if world.suspects.waiting.front() == Some(&id) {
        world.suspects.waiting.pop_front();
        world.suspects.running = Some(id);
    }
}

/// Requests a probe and holds the job back until the probe has ended.
fn mark_unreachable(
    world: &mut world::AgentWorld,
    id: events::JobId,
    effects: &mut Vec<events::Effect>,
) {
    effects.push(events::Effect::Probe);
    world.jobs.set_state(id, tables::JobState::Ready);
    world.suspects.unreachable.push(id);
}

/// Refuses the jobs for which no connection to the target could be opened. They wait for the probe
/// to end, so that the entry learns of a crash before it sends the same body to another target.
fn refuse_unreachable(world: &mut world::AgentWorld, effects: &mut Vec<events::Effect>) {
    for id in std::mem::take(&mut world.suspects.unreachable) {
        let reason = wire::RefusalReason::TargetUnreachable;
        admission::refuse_all(world, id, reason, wire::Executed::No, effects);
    }
}

/// Returns true if there were several running jobs and the connections of all of them broke. The
/// target then crashed even if it answers, since it may have been restarted between two probes.
fn all_connections_broke(world: &world::AgentWorld, broken: &[events::JobId]) -> bool {
    broken.len() > 1 && broken.len() == world.jobs.running()
}

/// Drops a job whose connection broke. An attempt that already has the head of the answer gets the
/// answer ended as incomplete, unless the target crashed; any other attempt is refused.
fn end_broken(
    world: &mut world::AgentWorld,
    id: events::JobId,
    reason: wire::RefusalReason,
    effects: &mut Vec<events::Effect>,
) {
    let Some(job) = world.jobs.get_mut(id) else { return };
    let subscribers = std::mem::take(&mut job.subscribers);
    let partial = job.answer_started && reason == wire::RefusalReason::TargetFailed;
    for to in subscribers {
        if partial {
            effects.push(events::Effect::EndIncomplete { job: id, to });
        } else {
            world.refuse(to, reason, wire::Executed::Unknown, effects);
        }
    }
    answers::drop_job(world, id, effects);
}

/// Records a crash of the target for every job that was running, including jobs that were aborted
/// shortly before.
fn record_crash(
    world: &mut world::AgentWorld,
    broken: &[events::JobId],
    effects: &mut Vec<events::Effect>,
) {
    let since = world.now.saturating_sub(ABANDONED_WINDOW);
    let abandoned = std::mem::take(&mut world.suspects.abandoned);
    let abandoned = abandoned.into_iter().filter(|job| job.at >= since).map(|job| job.job);
    let broken = broken.iter().filter_map(|id| world.jobs.get(*id)).map(tables::JobAtCrash::of);
    let running: Vec<tables::JobAtCrash> = broken.chain(abandoned).collect();
    let new_id = || running.iter().find_map(|job| job.attempt).map(crash_id);
    let Some(crash) = world.suspects.current_crash.or_else(new_id) else { return };
    if running.is_empty() {
        return;
    }
    world.suspects.current_crash = Some(crash);
    running.iter().for_each(|job| add_crash(world, job, crash));
    effects.push(events::Effect::SendHeartbeats);
}

/// Returns an id of a crash that is unique in the fleet: the hash of an attempt that the crash
/// ended.
fn crash_id(attempt: wire::AttemptId) -> u64 {
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&attempt.incarnation.to_le_bytes());
    bytes[8..].copy_from_slice(&attempt.counter.to_le_bytes());
    xxh3::xxh3_64(&bytes)
}

/// Counts a crash for the fingerprint of one job. A job that arrived as a suspect was running at an
/// earlier crash elsewhere, which counts as well.
fn add_crash(world: &mut world::AgentWorld, job: &tables::JobAtCrash, crash: u64) {
    let tables::JobAtCrash { fingerprint, suspect, .. } = *job;
    let expires_at = world.now + world.options.fingerprint_ttl;
    let known = world.suspects.crashes.contains_key(&fingerprint);
    if !known && world.suspects.crashes.len() >= MAX_FINGERPRINTS {
        return;
    }
    let new_entry = || tables::Crashes { ids: Vec::new(), expires_at };
    let crashes = world.suspects.crashes.entry(fingerprint).or_insert_with(new_entry);
    if !crashes.ids.contains(&crash) {
        crashes.ids.push(crash);
    }
    crashes.expires_at = expires_at;
    if crashes.ids.len() + usize::from(suspect) >= CRASHES_TO_REFUSE {
        refuse_fingerprint(world, fingerprint, expires_at);
    }
}

/// Refuses a fingerprint until the given time, unless the limit on refused ones is reached.
fn refuse_fingerprint(world: &mut world::AgentWorld, fingerprint: u64, until: Duration) {
    let known = world.suspects.refused.contains_key(&fingerprint);
    if known || world.suspects.refused.len() < MAX_FINGERPRINTS {
        let entry = world.suspects.refused.entry(fingerprint).or_insert(until);
        *entry = (*entry).max(until);
    }
}

/// Refuses all jobs that wait in the queue or for a slot, since the target is unhealthy.
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
