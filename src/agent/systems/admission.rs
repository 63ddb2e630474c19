//! Admission control: an attempt that is not going to run is refused at once as not executed, with
//! the time after which to retry.

use std::time::Duration;

use crate::agent::config_view;
use crate::agent::events;
use crate::agent::systems::{answers, claims, drain, queue, suspects};
use crate::agent::tables;
use crate::agent::world;
use crate::wire;
use crate::wire::server;

/// How long a request that may not be repeated may keep running after its last caller has left.
const ORPHAN_TIMEOUT: Duration = Duration::from_secs(600);

/// Admits one attempt, lets it share the answer of an earlier one, or refuses it.
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
        Some(tables::AttemptRecord::Joined { link: previous, .. }) if previous == link => false,
        Some(tables::AttemptRecord::Joined { job, .. }) => {
            answers::handle_duplicate(world, job, to, effects) == answers::Duplicate::StartAgain
        }
        Some(tables::AttemptRecord::Closed { reason, executed }) => {
            world.refuse(to, reason, executed, effects);
            false
        }
    };
    if admissible {
        admit(world, to, request, effects);
    }
}

/// Ends an attempt whose caller is gone. It is never dispatched afterwards, even if its start
/// arrives after the cancellation.
pub fn cancel(
    world: &mut world::AgentWorld,
    id: crate::wire::AttemptId,
    effects: &mut Vec<events::Effect>,
) {
    let seen = world.seen.get(id);
    if matches!(seen, Some(tables::AttemptRecord::Closed { .. })) {
        return;
    }
    let job = match seen {
        Some(tables::AttemptRecord::Joined { job, .. }) => Some(job),
        _ => None,
    };
    let reason = wire::RefusalReason::Cancelled;
    let executed = job.map_or(wire::Executed::No, |job| executed_after_cancel(world, job));
    world.record_attempt(id, tables::AttemptRecord::Closed { reason, executed });
    let Some(job) = job else { return };
    if let Some(job) = world.jobs.get_mut(job) {
        job.subscribers.retain(|other| other.id != id);
    }
    answers::drop_if_unneeded(world, job, effects);
}

/// Adopts a newer configuration, or records that the present one is confirmed to be current. An
/// older one is ignored.
pub fn configure(world: &mut world::AgentWorld, view: config_view::ConfigView) {
    let current_revision = world.config.map_or(0, |config| config.revision);
    if view.revision < current_revision {
        return;
    }
    if view.revision > current_revision {
        world.revisions.push_back(world::Revision { revision: view.revision, since: world.now });
    }
    if world.revisions.len() > world::MAX_REVISIONS {
        world.revisions.pop_front();
    }
    let confirmed_at =
        world.config.map_or(view.confirmed_at, |config| config.confirmed_at.max(view.confirmed_at));
    drain::set(world, events::DrainCause::Resource, view.drain);
    world.config = Some(config_view::ConfigView { confirmed_at, ..view });
}

/// Refuses every attempt whose deadline or maximum wait has passed, ends jobs that have run too
/// long without a caller, and schedules the next expiry.
pub fn expire(world: &mut world::AgentWorld, effects: &mut Vec<events::Effect>) {
    if world.next_expiry.is_none_or(|at| at > world.now) {
        return;
    }
    let (now, max_wait) = (world.now, world.options.max_wait);
    let due: Vec<events::JobId> = world
        .jobs
        .iter()
        .filter(|(_, job)| {
            let deadline_passed = job.subscribers.iter().any(|to| to.deadline <= now);
            deadline_passed || waited_too_long(job, now, max_wait) || orphan_timed_out(job, now)
        })
        .map(|(id, _)| id)
        .collect();
    for id in due {
        expire_job(world, id, effects);
    }
    world.next_expiry = None;
    let times: Vec<Duration> =
        world.jobs.iter().filter_map(|(_, job)| expiry(job, max_wait)).collect();
    times.into_iter().for_each(|at| world.schedule_expiry(at));
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
    let known = key.and_then(|key| world.jobs_by_key.get(&key).copied());
    if known.is_some_and(|id| answers::is_key_reused(world, id, request.fingerprint)) {
        world.refuse(to, wire::RefusalReason::KeyReused, wire::Executed::No, effects);
        return;
    }
    if let Some(id) = known
        && answers::join(world, id, to, effects)
    {
        return;
    }
    let customer_index = queue::customer_index(world, &request.customer, request.weight);
    let cost = request.estimated_tokens.max(1);
    if let Some((reason, retry_after)) = refusal(world, &to, &request, customer_index, cost) {
        world.refuse_with_retry(to, reason, wire::Executed::No, retry_after, effects);
        return;
    }
    if !make_room(world, customer_index, effects) {
        let wait = clamp_retry_after(world, queue::expected_wait(world, customer_index, cost));
        world.refuse_with_retry(
            to,
            wire::RefusalReason::Overloaded,
            wire::Executed::No,
            wait,
            effects,
        );
        return;
    }
    let claimed = known.is_some_and(|id| answers::take_unused_claim(world, id));
    insert(
        world,
        to,
        tables::Job {
            request,
            customer: customer_index,
            cost,
            subscribers: vec![to],
            state: tables::JobState::Queued,
            key,
            claimed,
            admitted_at: world.now,
            claim_requested_at: Duration::ZERO,
            started_at: Duration::ZERO,
            answer_started: false,
        },
    );
}

fn insert(world: &mut world::AgentWorld, to: events::Subscriber, job: tables::Job) {
    let key = job.key;
    let wake = expiry(&job, world.options.max_wait);
    let id = world.jobs.insert(job);
    world.record_attempt(to.id, tables::AttemptRecord::Joined { job: id, link: to.link });
    if let Some(key) = key {
        world.jobs_by_key.insert(key, id);
    }
    if let Some(at) = wake {
        world.schedule_expiry(at);
    }
    queue::push(world, id);
}

/// Returns why an attempt cannot be admitted now and the time after which to retry, or `None` if it
/// can be.
fn refusal(
    world: &world::AgentWorld,
    to: &events::Subscriber,
    request: &wire::StartAttempt,
    customer_index: usize,
    cost: u64,
) -> Option<(wire::RefusalReason, Duration)> {
    let retry_after = world.options.retry_after;
    if world.draining() {
        return Some((wire::RefusalReason::Draining, retry_after));
    }
    if is_stale(world, request.config_revision) {
        return Some((wire::RefusalReason::StaleConfig, retry_after));
    }
    let retention = Duration::from_millis(world.options.claims.limits.retention_ms);
    if !request.claim_key.is_empty() && to.deadline.saturating_sub(world.now) > retention {
        return Some((wire::RefusalReason::Deadline, retry_after));
    }
    if let Some(remaining) = suspects::remaining_refusal(world, request.fingerprint) {
        return Some((wire::RefusalReason::Fingerprint, remaining));
    }
    if !world.target.healthy {
        return Some((wire::RefusalReason::TargetUnreachable, retry_after));
    }
    let wait = queue::expected_wait(world, customer_index, cost);
    if world.now + wait >= to.deadline {
        return Some((wire::RefusalReason::Deadline, clamp_retry_after(world, wait)));
    }
    (wait > world.options.max_wait)
        .then(|| (wire::RefusalReason::Overloaded, clamp_retry_after(world, wait)))
}

/// Returns true if the agent's configuration has not been confirmed within the freshness period, or
/// if the agent has held a newer revision than the one under which the entry admitted the attempt
/// for longer than that.
fn is_stale(world: &world::AgentWorld, entry_revision: u64) -> bool {
    let Some(config) = world.config else { return true };
    let freshness = world.options.freshness;
    if world.now.saturating_sub(config.confirmed_at) > freshness {
        return true;
    }
    let newer = world.revisions.iter().find(|revision| revision.revision > entry_revision);
    newer.is_some_and(|revision| world.now.saturating_sub(revision.since) > freshness)
}

/// Returns true if the queue has room for one more job of the customer. A full queue evicts the
/// newest job of the customer with the longest queue for its weight, so that no customer can fill
/// the queue at the expense of the others.
fn make_room(
    world: &mut world::AgentWorld,
    customer_index: usize,
    effects: &mut Vec<events::Effect>,
) -> bool {
    if world.jobs.queued() < world.options.max_queued {
        return true;
    }
    let Some(id) = queue::eviction_candidate(world, customer_index) else { return false };
    refuse_all(world, id, wire::RefusalReason::Overloaded, wire::Executed::No, effects);
    true
}

/// Refuses every attempt that waits for a job, and drops the job.
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
    let (state, key, timed_out) = (job.state, job.key, orphan_timed_out(job, now));
    let wait_exceeded = waited_too_long(job, now, max_wait);
    let subscribers = std::mem::take(&mut job.subscribers);
    let (expired, remaining): (Vec<events::Subscriber>, Vec<events::Subscriber>) =
        subscribers.into_iter().partition(|to| wait_exceeded || to.deadline <= now);
    let abandoned = remaining.is_empty();
    job.subscribers = remaining;
    let withdrawn = abandoned && state == tables::JobState::Claiming && claims::withdraw(world, id);
    let executed = match state {
        _ if !abandoned && key.is_some() => wire::Executed::Unknown,
        tables::JobState::Claiming if withdrawn => wire::Executed::No,
        _ => executed_in_state(state),
    };
    for to in expired {
        let deadline_passed = to.deadline <= now;
        let reason = if deadline_passed {
            wire::RefusalReason::Deadline
        } else {
            wire::RefusalReason::Overloaded
        };
        world.refuse(to, reason, executed, effects);
    }
    if withdrawn || timed_out {
        answers::drop_job(world, id, effects);
    } else {
        answers::drop_if_unneeded(world, id, effects);
    }
}

/// Returns whether the request of an attempt that is cancelled can have been executed; unknown if
/// other attempts still wait for the same job.
fn executed_after_cancel(world: &world::AgentWorld, id: events::JobId) -> wire::Executed {
    match world.jobs.get(id) {
        Some(job) if job.subscribers.len() == 1 => executed_in_state(job.state),
        _ => wire::Executed::Unknown,
    }
}

/// Returns whether a job that is dropped in the given state can have been executed, if no other
/// attempt waits for it. It is unknown while its claim is being saved, since a resend may find the
/// claim saved.
fn executed_in_state(state: tables::JobState) -> wire::Executed {
    match state {
        tables::JobState::Queued | tables::JobState::Ready => wire::Executed::No,
        tables::JobState::Claiming | tables::JobState::Running | tables::JobState::Broken => {
            wire::Executed::Unknown
        }
    }
}

fn waited_too_long(job: &tables::Job, now: Duration, max_wait: Duration) -> bool {
    is_waiting(job.state) && job.admitted_at + max_wait <= now
}

/// Returns true if a job has held its slot for too long after its last caller left.
fn orphan_timed_out(job: &tables::Job, now: Duration) -> bool {
    let orphaned = job.subscribers.is_empty() && job.state == tables::JobState::Running;
    orphaned && job.started_at + ORPHAN_TIMEOUT <= now
}

fn is_waiting(state: tables::JobState) -> bool {
    matches!(state, tables::JobState::Queued | tables::JobState::Ready)
}

/// Returns when a job has to be checked next for a passed deadline, maximum wait or orphan timeout.
fn expiry(job: &tables::Job, max_wait: Duration) -> Option<Duration> {
    let deadline = job.subscribers.iter().map(|to| to.deadline).min();
    let wait_end = is_waiting(job.state).then(|| job.admitted_at + max_wait);
    let orphaned = job.subscribers.is_empty() && job.state == tables::JobState::Running;
    let orphan_expiry = orphaned.then(|| job.started_at + ORPHAN_TIMEOUT);
    [deadline, wait_end, orphan_expiry].into_iter().flatten().min()
}

/// Bounds an expected wait to the range of retry times that refusals may name.
fn clamp_retry_after(world: &world::AgentWorld, wait: Duration) -> Duration {
    wait.clamp(world.options.retry_after, world.options.max_wait.max(world.options.retry_after))
}

/// Returns the claim key of an attempt, `None` if its request may be repeated, or an error if the
/// key has the wrong length.
fn claim_key(
    request: &wire::StartAttempt,
) -> Result<Option<events::ClaimKey>, std::array::TryFromSliceError> {
    if request.claim_key.is_empty() {
        return Ok(None);
    }
    events::ClaimKey::try_from(request.claim_key.as_ref()).map(Some)
}
