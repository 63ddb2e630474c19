//! Answers: who gets them, and which are kept for resends.
//!
//! Body pieces bypass the core. It only decides which attempts share a job's answer, so that a
//! resend of a request that may not be repeated gets the first run's answer.

use std::time::Duration;

use crate::agent::events;
use crate::agent::systems::{queue, retry};
use crate::agent::tables;
use crate::agent::world;
use crate::wire::server;

/// Notes that the target began to answer a job.
pub fn head(world: &mut world::AgentWorld, job: events::JobId) {
    if let Some(job) = world.jobs.get_mut(job) {
        job.head = true;
    }
}

/// Ends a job whose answer is whole, and keeps the answer where its request may not be repeated.
pub fn ended(
    world: &mut world::AgentWorld,
    id: events::JobId,
    bytes: u64,
    tokens: Option<u64>,
    effects: &mut Vec<events::Effect>,
) {
    let Some(job) = world.jobs.remove(id) else { return };
    queue::settle(world, &job, tokens);
    queue::learn_pace(world, &job);
    if world.suspects.running == Some(id) {
        world.suspects.running = None;
        world.suspects.crashes.remove(&job.request.fingerprint);
    }
    if let Some(key) = job.key {
        let fingerprint = job.request.fingerprint;
        keep(world, id, key, tables::Kept::Answer { bytes, fingerprint }, effects);
    }
}

/// Remembers how a claimed job ended and forgets the oldest beyond the bounds.
pub fn keep(
    world: &mut world::AgentWorld,
    id: events::JobId,
    key: events::ClaimKey,
    kept: tables::Kept,
    effects: &mut Vec<events::Effect>,
) {
    world.kept.bytes += length(kept);
    world.kept.rows.insert(id, (key, kept));
    while world.kept.bytes > world.options.kept_bytes || world.kept.rows.len() > world::KEPT_JOBS {
        let Some((oldest, (key, kept))) = world.kept.rows.pop_first() else { return };
        world.kept.bytes -= length(kept);
        world.keys.remove(&key);
        effects.push(events::Effect::EvictAnswer(oldest));
    }
}

/// Tells whether a claim key is held by a request with another body.
pub fn is_key_reused(world: &world::AgentWorld, id: events::JobId, fingerprint: u64) -> bool {
    if let Some((_, tables::Kept::Answer { fingerprint: kept, .. })) = world.kept.rows.get(&id) {
        return *kept != fingerprint;
    }
    world.jobs.get(id).is_some_and(|job| job.request.fingerprint != fingerprint)
}

/// Joins an attempt to the job that already holds its claim key, and returns whether there is
/// one whose answer it gets.
pub fn join(
    world: &mut world::AgentWorld,
    id: events::JobId,
    to: events::Subscriber,
    effects: &mut Vec<events::Effect>,
) -> bool {
    if let Some((_, tables::Kept::Answer { .. })) = world.kept.rows.get(&id) {
        world.remember(to.id, tables::Seen::Joined { job: id, link: to.link });
        effects.push(events::Effect::Attach { job: id, to });
        return true;
    }
    let Some(job) = world.jobs.get_mut(id) else { return false };
    job.subscribers.push(to);
    let running = matches!(job.state, tables::JobState::Running | tables::JobState::Broken);
    world.remember(to.id, tables::Seen::Joined { job: id, link: to.link });
    world.wake_at(to.deadline);
    if running {
        effects.push(events::Effect::Attach { job: id, to });
    }
    true
}

/// Takes back a claim whose request was never handed on, so that a resend may run.
pub fn take_unused_claim(world: &mut world::AgentWorld, id: events::JobId) -> bool {
    if !matches!(world.kept.rows.get(&id), Some((_, tables::Kept::NeverHandedOn))) {
        return false;
    }
    if let Some((key, _)) = world.kept.rows.remove(&id) {
        world.keys.remove(&key);
    }
    true
}

/// Answers the second copy of an attempt that came by another connection, since the first
/// connection may have swallowed the answer.
pub fn resent(
    world: &mut world::AgentWorld,
    id: events::JobId,
    to: events::Subscriber,
    effects: &mut Vec<events::Effect>,
) -> Resent {
    if world.kept.rows.contains_key(&id) {
        return if join(world, id, to, effects) { Resent::Joined } else { Resent::StartAgain };
    }
    let Some(job) = world.jobs.get_mut(id) else { return Resent::StartAgain };
    job.subscribers.retain(|other| other.id != to.id);
    let running = matches!(job.state, tables::JobState::Running | tables::JobState::Broken);
    if running && job.key.is_none() {
        drop_job(world, id, effects);
        return Resent::StartAgain;
    }
    join(world, id, to, effects);
    Resent::Joined
}

/// Resent is what to do with the second copy of an attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Resent {
    /// It shares the answer of the first copy.
    Joined,
    /// The first copy is gone and did no harm; this one is admitted anew.
    StartAgain,
}

/// Drops the attempts that came by a connection that is gone. Those never handed on may come
/// again; claimed requests that run are finished, so that a resend finds their answer.
pub fn link_down(
    world: &mut world::AgentWorld,
    link: server::LinkId,
    effects: &mut Vec<events::Effect>,
) {
    let concerned: Vec<events::JobId> = world
        .jobs
        .iter()
        .filter(|(_, job)| job.subscribers.iter().any(|other| other.link == link))
        .map(|(id, _)| id)
        .collect();
    for id in concerned {
        let Some(job) = world.jobs.get_mut(id) else { continue };
        let (gone, rest) = job.subscribers.iter().partition(|other| other.link == link);
        job.subscribers = rest;
        let gone: Vec<events::Subscriber> = gone;
        if matches!(
            job.state,
            tables::JobState::Queued | tables::JobState::Claiming | tables::JobState::Ready
        ) {
            gone.iter().for_each(|other| world.seen.forget(other.id));
        }
        abandon(world, id, effects);
    }
}

/// Drops a job that nobody waits for, unless it is a claimed request that runs.
pub fn abandon(
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

/// Removes a job, closes its connection and keeps an unused claim for a resend.
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
                retry::leave(world, &job);
            }
            queue::settle(world, &job, None);
            effects.push(events::Effect::Abort(id));
        }
        tables::JobState::Claiming => {}
    }
    if world.suspects.running == Some(id) {
        world.suspects.running = None;
    }
    let Some(key) = job.key else { return };
    let handed_on = matches!(job.state, tables::JobState::Running | tables::JobState::Broken);
    if job.claimed && !handed_on {
        keep(world, id, key, tables::Kept::NeverHandedOn, effects);
    } else {
        world.keys.remove(&key);
    }
}

/// Returns the latest deadline of those who wait for a job.
pub fn latest_deadline(subscribers: &[events::Subscriber]) -> Option<Duration> {
    subscribers.iter().map(|other| other.deadline).max()
}

fn length(kept: tables::Kept) -> u64 {
    match kept {
        tables::Kept::Answer { bytes, .. } => bytes,
        tables::Kept::NeverHandedOn => 0,
    }
}
