//! Admission: whatever will not run is refused at once, as not run, with the time to come back.

use std::time::Duration;

use crate::agent::config_view;
use crate::agent::events;
use crate::agent::systems::{answers, claims, drain, queue, retry};
use crate::agent::tables;
use crate::agent::world;
use crate::wire;
use crate::wire::server;

/// How long a request that may not be repeated runs on after its caller has left.
const MAX_RUN: Duration = Duration::from_secs(600);

/// Admits, joins or refuses one attempt.
pub fn start(
    world: &mut world::AgentWorld,
    link: server::LinkId,
    request: Box<wire::StartAttempt>,
    effects: &mut Vec<events::Effect>,
) {
    let Some(id) = request.id else { return };
    let deadline = world.now + Duration::from_millis(request.deadline_ms);
    let to = events::Subscriber { link, id, deadline };
    let admissible = match world.seen.get(id) {
        None => true,
        Some(tables::Seen::Joined { link: before, .. }) if before == link => false,
        Some(tables::Seen::Joined { job, .. }) => {
            answers::resent(world, job, to, effects) == answers::Resent::StartAgain
        }
        Some(tables::Seen::Closed { reason, executed }) => {
            world.refuse(to, reason, executed, effects);
            false
        }
    };
    if admissible {
        admit(world, to, request, effects);
    }
}

/// Ends an attempt whose caller is gone. One that was not handed on never will be.
pub fn cancel(
    world: &mut world::AgentWorld,
    id: crate::wire::AttemptId,
    effects: &mut Vec<events::Effect>,
) {
    let seen = world.seen.get(id);
    if matches!(seen, Some(tables::Seen::Closed { .. })) {
        return;
    }
    let job = match seen {
        Some(tables::Seen::Joined { job, .. }) => Some(job),
        _ => None,
    };
    let reason = wire::RefusalReason::Cancelled;
    let executed = job.map_or(wire::Executed::No, |job| executed_if_left(world, job));
    world.remember(id, tables::Seen::Closed { reason, executed });
    let Some(job) = job else { return };
    if let Some(job) = world.jobs.get_mut(job) {
        job.subscribers.retain(|other| other.id != id);
    }
    answers::abandon(world, job, effects);
}

/// Moves to a newer configuration, or notes that the one in force was heard to be current.
pub fn configure(world: &mut world::AgentWorld, view: config_view::ConfigView) {
    let held = world.config.map_or(0, |config| config.revision);
    if view.revision < held {
        return;
    }
    if view.revision > held {
        world.revisions.push_back(world::Revision { revision: view.revision, since: world.now });
    }
    if world.revisions.len() > world::REMEMBERED_REVISIONS {
        world.revisions.pop_front();
    }
    let confirmed_at =
        world.config.map_or(view.confirmed_at, |config| config.confirmed_at.max(view.confirmed_at));
    drain::set(world, events::DrainCause::Resource, view.drain);
    world.config = Some(config_view::ConfigView { confirmed_at, ..view });
}

/// Refuses, at once, every attempt whose deadline or whose bound on waiting has passed.
pub fn expire(world: &mut world::AgentWorld, effects: &mut Vec<events::Effect>) {
    if world.next_expiry.is_none_or(|at| at > world.now) {
        return;
    }
    let (now, max_wait) = (world.now, world.options.max_wait);
    let due: Vec<events::JobId> = world
        .jobs
        .iter()
        .filter(|(_, job)| {
            let passed = job.subscribers.iter().any(|to| to.deadline <= now);
            passed || late(job, now, max_wait) || overrun(job, now)
        })
        .map(|(id, _)| id)
        .collect();
    for id in due {
        expire_job(world, id, effects);
    }
    world.next_expiry = None;
    let times: Vec<Duration> =
        world.jobs.iter().filter_map(|(_, job)| expiry(job, max_wait)).collect();
    times.into_iter().for_each(|at| world.wake_at(at));
}

fn admit(
    world: &mut world::AgentWorld,
    to: events::Subscriber,
    request: Box<wire::StartAttempt>,
    effects: &mut Vec<events::Effect>,
) {
    let Ok(key) = claim_key(&request) else {
        world.refuse(to, wire::RefusalReason::Unspecified, wire::Executed::No, effects);
        return;
    };
    let known = key.and_then(|key| world.keys.get(&key).copied());
    if known.is_some_and(|id| answers::is_key_reused(world, id, request.fingerprint)) {
        world.refuse(to, wire::RefusalReason::KeyReused, wire::Executed::No, effects);
        return;
    }
    if let Some(id) = known
        && answers::join(world, id, to, effects)
    {
        return;
    }
    let row = queue::customer(world, &request.customer, request.weight);
    let cost = request.estimated_tokens.max(1);
    if let Some((reason, retry_after)) = obstacle(world, &to, &request, row, cost) {
        world.refuse_until(to, reason, wire::Executed::No, retry_after, effects);
        return;
    }
    if !make_room(world, row, effects) {
        let wait = comeback(world, queue::expected_wait(world, row, cost));
        world.refuse_until(to, wire::RefusalReason::Overloaded, wire::Executed::No, wait, effects);
        return;
    }
    let claimed = known.is_some_and(|id| answers::take_unused_claim(world, id));
    insert(
        world,
        to,
        tables::Job {
            request,
            customer: row,
            cost,
            subscribers: vec![to],
            state: tables::JobState::Queued,
            key,
            claimed,
            admitted_at: world.now,
            claim_asked_at: Duration::ZERO,
            started_at: Duration::ZERO,
            head: false,
        },
    );
}

fn insert(world: &mut world::AgentWorld, to: events::Subscriber, job: tables::Job) {
    let key = job.key;
    let wake = expiry(&job, world.options.max_wait);
    let id = world.jobs.insert(job);
    world.remember(to.id, tables::Seen::Joined { job: id, link: to.link });
    if let Some(key) = key {
        world.keys.insert(key, id);
    }
    if let Some(at) = wake {
        world.wake_at(at);
    }
    queue::push(world, id);
}

/// Returns why an attempt cannot be taken now, and when to come back.
fn obstacle(
    world: &world::AgentWorld,
    to: &events::Subscriber,
    request: &wire::StartAttempt,
    row: usize,
    cost: u64,
) -> Option<(wire::RefusalReason, Duration)> {
    let retry_after = world.options.retry_after;
    if world.draining() {
        return Some((wire::RefusalReason::Draining, retry_after));
    }
    if stale(world, request.config_revision) {
        return Some((wire::RefusalReason::StaleConfig, retry_after));
    }
    let retention = Duration::from_millis(world.options.claims.limits.retention_ms);
    if !request.claim_key.is_empty() && to.deadline.saturating_sub(world.now) > retention {
        return Some((wire::RefusalReason::Deadline, retry_after));
    }
    if let Some(left) = retry::refusal_left(world, request.fingerprint) {
        return Some((wire::RefusalReason::Fingerprint, left));
    }
    if !world.target.healthy {
        return Some((wire::RefusalReason::TargetUnreachable, retry_after));
    }
    let wait = queue::expected_wait(world, row, cost);
    if world.now + wait >= to.deadline {
        return Some((wire::RefusalReason::Deadline, comeback(world, wait)));
    }
    (wait > world.options.max_wait)
        .then(|| (wire::RefusalReason::Overloaded, comeback(world, wait)))
}

/// Returns true where the agent's configuration, or the one that the attempt was admitted
/// under, is too old to be relied on.
fn stale(world: &world::AgentWorld, admitted_under: u64) -> bool {
    let Some(config) = world.config else { return true };
    let freshness = world.options.freshness;
    if world.now.saturating_sub(config.confirmed_at) > freshness {
        return true;
    }
    let newer = world.revisions.iter().find(|held| held.revision > admitted_under);
    newer.is_some_and(|held| world.now.saturating_sub(held.since) > freshness)
}

/// Makes room for one more job. A customer with a long queue gives way to one with a short
/// one, so that nobody fills the queue for the others.
fn make_room(world: &mut world::AgentWorld, row: usize, effects: &mut Vec<events::Effect>) -> bool {
    if world.jobs.queued() < world.options.max_queued {
        return true;
    }
    let Some(id) = queue::displaceable(world, row) else { return false };
    refuse_all(world, id, wire::RefusalReason::Overloaded, wire::Executed::No, effects);
    true
}

/// Refuses everyone who waits for a job and drops it.
pub fn refuse_all(
    world: &mut world::AgentWorld,
    id: events::JobId,
    reason: wire::RefusalReason,
    executed: wire::Executed,
    effects: &mut Vec<events::Effect>,
) {
    let Some(job) = world.jobs.get_mut(id) else { return };
    for to in std::mem::take(&mut job.subscribers) {
        world.refuse(to, reason, executed, effects);
    }
    answers::drop_job(world, id, effects);
}

fn expire_job(world: &mut world::AgentWorld, id: events::JobId, effects: &mut Vec<events::Effect>) {
    let (now, max_wait) = (world.now, world.options.max_wait);
    let Some(job) = world.jobs.get_mut(id) else { return };
    let (state, key, overran) = (job.state, job.key, overrun(job, now));
    let overdue = late(job, now, max_wait);
    let subscribers = std::mem::take(&mut job.subscribers);
    let (gone, rest): (Vec<events::Subscriber>, Vec<events::Subscriber>) =
        subscribers.into_iter().partition(|to| overdue || to.deadline <= now);
    let alone = rest.is_empty();
    job.subscribers = rest;
    let withdrawn = alone && state == tables::JobState::Claiming && claims::withdraw(world, id);
    let executed = match state {
        _ if !alone && key.is_some() => wire::Executed::Unknown,
        tables::JobState::Claiming if withdrawn => wire::Executed::No,
        _ => executed_so_far(state),
    };
    for to in gone {
        let late = to.deadline <= now;
        let reason =
            if late { wire::RefusalReason::Deadline } else { wire::RefusalReason::Overloaded };
        world.refuse(to, reason, executed, effects);
    }
    if withdrawn || overran {
        answers::drop_job(world, id, effects);
    } else {
        answers::abandon(world, id, effects);
    }
}

/// Returns what may be said to one attempt that leaves a job.
fn executed_if_left(world: &world::AgentWorld, id: events::JobId) -> wire::Executed {
    match world.jobs.get(id) {
        Some(job) if job.subscribers.len() == 1 => executed_so_far(job.state),
        _ => wire::Executed::Unknown,
    }
}

/// Returns what may be said of a job that is given up in the given state, where nobody else
/// waits for it. While a claim is being saved its fate is open, so that a resend may find it.
fn executed_so_far(state: tables::JobState) -> wire::Executed {
    match state {
        tables::JobState::Queued | tables::JobState::Ready => wire::Executed::No,
        tables::JobState::Claiming | tables::JobState::Running | tables::JobState::Broken => {
            wire::Executed::Unknown
        }
    }
}

fn late(job: &tables::Job, now: Duration, max_wait: Duration) -> bool {
    waits(job.state) && job.admitted_at + max_wait <= now
}

/// Returns true for a job that nobody waits for and that holds its slot for too long.
fn overrun(job: &tables::Job, now: Duration) -> bool {
    let forsaken = job.subscribers.is_empty() && job.state == tables::JobState::Running;
    forsaken && job.started_at + MAX_RUN <= now
}

fn waits(state: tables::JobState) -> bool {
    matches!(state, tables::JobState::Queued | tables::JobState::Ready)
}

fn expiry(job: &tables::Job, max_wait: Duration) -> Option<Duration> {
    let deadline = job.subscribers.iter().map(|to| to.deadline).min();
    let bound = waits(job.state).then(|| job.admitted_at + max_wait);
    let forsaken = job.subscribers.is_empty() && job.state == tables::JobState::Running;
    let overrun = forsaken.then(|| job.started_at + MAX_RUN);
    [deadline, bound, overrun].into_iter().flatten().min()
}

fn comeback(world: &world::AgentWorld, wait: Duration) -> Duration {
    wait.clamp(world.options.retry_after, world.options.max_wait.max(world.options.retry_after))
}

/// Returns the claim key of an attempt, or an error where it has the wrong length.
fn claim_key(
    request: &wire::StartAttempt,
) -> Result<Option<events::ClaimKey>, std::array::TryFromSliceError> {
    if request.claim_key.is_empty() {
        return Ok(None);
    }
    events::ClaimKey::try_from(request.claim_key.as_ref()).map(Some)
}
