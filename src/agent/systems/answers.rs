//! Answers: which attempts receive them, and which answers are kept for resends.
//!
//! The data of an answer bypasses the core, which only decides which attempts share a job's answer,
//! so that a resend of a request that may not be repeated gets the answer of its first run.

use std::time::Duration;

use crate::agent::events;
use crate::agent::systems::{queue, suspects};
use crate::agent::tables;
use crate::agent::world;
use crate::wire::server;

/// Records that the target has sent the status and headers of a job's answer.
pub fn answer_started(world: &mut world::AgentWorld, job: events::JobId) {
    if let Some(job) = world.jobs.get_mut(job) {
        job.answer_started = true;
    }
}

/// Ends a job whose answer is complete, and keeps the answer if the request may not be repeated.
pub fn completed(
    world: &mut world::AgentWorld,
    id: events::JobId,
    bytes: u64,
    tokens: Option<u64>,
    effects: &mut Vec<events::Effect>,
) {
    let Some(job) = world.jobs.remove(id) else { return };
    queue::settle_cost(world, &job, tokens);
    queue::update_pace(world, &job);
    if world.suspects.running == Some(id) {
        world.suspects.running = None;
        world.suspects.crashes.remove(&job.request.fingerprint);
    }
    if let Some(key) = job.key {
        let fingerprint = job.request.fingerprint;
        keep(world, id, key, tables::KeptJob::Answer { bytes, fingerprint }, effects);
    }
}

/// Records how a job with a claim ended, and evicts the oldest records beyond the limits in bytes
/// and number.
pub fn keep(
    world: &mut world::AgentWorld,
    id: events::JobId,
    key: events::ClaimKey,
    kept: tables::KeptJob,
    effects: &mut Vec<events::Effect>,
) {
    world.kept.bytes += answer_bytes(kept);
    world.kept.jobs.insert(id, (key, kept));
    while world.kept.bytes > world.options.kept_bytes
        || world.kept.jobs.len() > world::MAX_KEPT_JOBS
    {
        let Some((oldest, (key, kept))) = world.kept.jobs.pop_first() else { return };
        world.kept.bytes -= answer_bytes(kept);
        world.jobs_by_key.remove(&key);
        effects.push(events::Effect::EvictAnswer(oldest));
    }
}

/// Returns true if the job that holds a claim key has a different request body.
pub fn is_key_reused(world: &world::AgentWorld, id: events::JobId, fingerprint: u64) -> bool {
    if let Some((_, tables::KeptJob::Answer { fingerprint: kept, .. })) = world.kept.jobs.get(&id) {
        return *kept != fingerprint;
    }
    world.jobs.get(id).is_some_and(|job| job.request.fingerprint != fingerprint)
}

/// Lets an attempt share the answer of the job that already holds its claim key. Returns false if
/// that job has ended without a kept answer.
pub fn join(
    world: &mut world::AgentWorld,
    id: events::JobId,
    to: events::Subscriber,
    effects: &mut Vec<events::Effect>,
) -> bool {
    if let Some((_, tables::KeptJob::Answer { .. })) = world.kept.jobs.get(&id) {
        world.record_attempt(to.id, tables::AttemptRecord::Joined { job: id, link: to.link });
        effects.push(events::Effect::Attach { job: id, to });
        return true;
    }
    let Some(job) = world.jobs.get_mut(id) else { return false };
    job.subscribers.push(to);
    let running = matches!(job.state, tables::JobState::Running | tables::JobState::Broken);
    world.record_attempt(to.id, tables::AttemptRecord::Joined { job: id, link: to.link });
    world.schedule_expiry(to.deadline);
    if running {
        effects.push(events::Effect::Attach { job: id, to });
    }
    true
}

/// Takes over a saved claim whose request was never dispatched, so that a resend may run under it.
/// Returns true if there was one.
pub fn take_unused_claim(world: &mut world::AgentWorld, id: events::JobId) -> bool {
    if !matches!(world.kept.jobs.get(&id), Some((_, tables::KeptJob::NeverDispatched))) {
        return false;
    }
    if let Some((key, _)) = world.kept.jobs.remove(&id) {
        world.jobs_by_key.remove(&key);
    }
    true
}

/// Handles a second copy of an attempt that arrived on another connection. It gets the answer of
/// the first copy once more, since the first connection may have lost it.
pub fn handle_duplicate(
    world: &mut world::AgentWorld,
    id: events::JobId,
    to: events::Subscriber,
    effects: &mut Vec<events::Effect>,
) -> Duplicate {
    if world.kept.jobs.contains_key(&id) {
        return if join(world, id, to, effects) {
            Duplicate::Joined
        } else {
            Duplicate::StartAgain
        };
    }
    let Some(job) = world.jobs.get_mut(id) else { return Duplicate::StartAgain };
    job.subscribers.retain(|other| other.id != to.id);
    let running = matches!(job.state, tables::JobState::Running | tables::JobState::Broken);
    if running && job.key.is_none() {
        drop_job(world, id, effects);
        return Duplicate::StartAgain;
    }
    join(world, id, to, effects);
    Duplicate::Joined
}

/// Duplicate is how a second copy of an attempt is handled.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Duplicate {
    /// It shares the answer of the first copy.
    Joined,
    /// The first copy has ended or was aborted, and this copy is admitted as a new attempt. If the
    /// request may not be repeated, its claim still prevents a second run.
    StartAgain,
}

/// Drops the attempts that came by a closed connection. Attempts that were not dispatched may be
/// sent again; running requests with a claim are finished, so that a resend finds their answer.
pub fn link_down(
    world: &mut world::AgentWorld,
    link: server::LinkId,
    effects: &mut Vec<events::Effect>,
) {
    let affected: Vec<events::JobId> = world
        .jobs
        .iter()
        .filter(|(_, job)| job.subscribers.iter().any(|other| other.link == link))
        .map(|(id, _)| id)
        .collect();
    for id in affected {
        let Some(job) = world.jobs.get_mut(id) else { continue };
        let (dropped, remaining) = job.subscribers.iter().partition(|other| other.link == link);
        job.subscribers = remaining;
        let dropped: Vec<events::Subscriber> = dropped;
        if matches!(
            job.state,
            tables::JobState::Queued | tables::JobState::Claiming | tables::JobState::Ready
        ) {
            dropped.iter().for_each(|other| world.seen.forget(other.id));
        }
        drop_if_unneeded(world, id, effects);
    }
}

/// Drops a job that no attempt waits for, unless its claim is being saved or its request runs under
/// a claim.
pub fn drop_if_unneeded(
    world: &mut world::AgentWorld,
    id: events::JobId,
    effects: &mut Vec<events::Effect>,
) {
    let Some(job) = world.jobs.get(id) else { return };
    if !job.subscribers.is_empty() {
        return;
    }
    let running = matches!(job.state, tables::JobState::Running | tables::JobState::Broken);
    let claiming = job.state == tables::JobState::Claiming;
    if claiming || (running && job.key.is_some()) {
        return;
    }
    drop_job(world, id, effects);
}

/// Removes a job, closes its connection to the target, and keeps an unused claim for a resend.
pub fn drop_job(
    world: &mut world::AgentWorld,
    id: events::JobId,
    effects: &mut Vec<events::Effect>,
) {
    let Some(job) = world.jobs.remove(id) else { return };
    match job.state {
        tables::JobState::Queued => queue::withdraw(world, id, &job),
        tables::JobState::Ready => world.ready.retain(|other| *other != id),
        tables::JobState::Running | tables::JobState::Broken => {
            if job.state == tables::JobState::Running {
                suspects::record_abandoned(world, &job);
            }
            queue::settle_cost(world, &job, None);
            effects.push(events::Effect::Abort(id));
        }
        tables::JobState::Claiming => {}
    }
    if world.suspects.running == Some(id) {
        world.suspects.running = None;
    }
    let Some(key) = job.key else { return };
    let dispatched = matches!(job.state, tables::JobState::Running | tables::JobState::Broken);
    if job.claimed && !dispatched {
        keep(world, id, key, tables::KeptJob::NeverDispatched, effects);
    } else {
        world.jobs_by_key.remove(&key);
    }
}

/// Returns the latest deadline of a job's subscribers.
pub fn latest_deadline(subscribers: &[events::Subscriber]) -> Option<Duration> {
    subscribers.iter().map(|subscriber| subscriber.deadline).max()
}

fn answer_bytes(kept: tables::KeptJob) -> u64 {
    match kept {
        tables::KeptJob::Answer { bytes, .. } => bytes,
        tables::KeptJob::NeverDispatched => 0,
    }
}
