//! Claims: a request that may not be repeated is dispatched only after its claim has been saved.
//!
//! Safety rests only on the compare-and-swap of each commit, never on time or on a lease. Claims
//! are saved in batches, with one commit in progress per shard and a write budget that limits the
//! rate of commits, so that the number of writes does not grow with the number of requests
//! (docs/AGENT.md).

use std::time::Duration;

use crate::agent::events;
use crate::agent::segment;
use crate::agent::shard;
use crate::agent::systems::{admission, answers};
use crate::agent::tables;
use crate::agent::world;
use crate::wire;

/// Commits that may be made without a pause after a time without commits.
const BURST_COMMITS: u32 = 4;
/// The longest pause after a failure of the key-value service, in multiples of [`MIN_BACKOFF`].
const MAX_BACKOFF_FACTOR: u32 = 16;
/// The pause after the first failure of the key-value service; it doubles with each further one.
const MIN_BACKOFF: Duration = Duration::from_millis(100);
/// Number of consecutive conflicts after which the pause no longer doubles.
const MAX_CONFLICT_SHIFT: u32 = 5;
/// Claims of dropped jobs that a shard remembers because a commit may have saved them.
const MAX_ABANDONED: usize = 4_096;

/// Returns true if a job may be dispatched only after its claim has been saved.
pub fn needed(world: &world::AgentWorld, job: &tables::Job) -> bool {
    let checked = world.options.claims.check == world::ClaimCheck::Saved;
    checked && job.key.is_some() && !job.claimed
}

/// Returns how many jobs without a slot may have their claims saved or requested: one per free
/// slot, and as many as the target is expected to finish while one claim is being saved.
pub fn max_claimed_ahead(world: &world::AgentWorld) -> usize {
    let slots = world.options.slots;
    let free = slots.saturating_sub(world.jobs.running());
    let (claim, job) = (world.claims.micros_per_claim, world.target.micros_per_job);
    let slots_wide = u64::try_from(slots).unwrap_or(u64::MAX);
    let ended = slots_wide.saturating_mul(claim).checked_div(job).unwrap_or(slots_wide);
    let ended = usize::try_from(ended).unwrap_or(usize::MAX);
    free + ended.clamp(1, world.options.claims.max_ahead.max(1))
}

/// Requests that a job's claim be saved. While claims are paused after a failure of the key-value
/// service, the job is refused instead.
pub fn request(
    world: &mut world::AgentWorld,
    id: events::JobId,
    effects: &mut Vec<events::Effect>,
) {
    let now = world.now;
    let Some(job) = world.jobs.get_mut(id) else { return };
    job.claim_requested_at = now;
    if now < world.claims.backoff_until {
        let remaining = world.claims.backoff_until.saturating_sub(now);
        refuse_unavailable(world, id, wire::Executed::No, remaining, effects);
        return;
    }
    match world.claims.shard_count {
        tables::ShardCount::Known(_) => assign_to_shard(world, id, effects),
        tables::ShardCount::Reading => world.claims.unassigned.push(id),
        tables::ShardCount::Unread => {
            world.claims.unassigned.push(id);
            read_shard_count(world, effects);
        }
    }
}

/// Withdraws the claim of a job that no attempt waits for any more. Returns true if it is certain
/// that no commit tried to save it.
pub fn withdraw(world: &mut world::AgentWorld, id: events::JobId) -> bool {
    let before = world.claims.unassigned.len();
    world.claims.unassigned.retain(|other| *other != id);
    if world.claims.unassigned.len() < before {
        return true;
    }
    let (Some(key), tables::ShardCount::Known(shards)) =
        (world.jobs.get(id).and_then(|job| job.key), world.claims.shard_count)
    else {
        return false;
    };
    let index = usize::try_from(segment::shard_of(&key, shards)).unwrap_or(0);
    world.claims.shards.get_mut(index).is_some_and(|shard| shard.withdraw(id))
}

/// Handles the result of reading the number of shards, which never changes once it is saved; `None`
/// means that the key-value service failed or that the service is not declared yet.
pub fn shard_count_read(
    world: &mut world::AgentWorld,
    shards: Option<u32>,
    effects: &mut Vec<events::Effect>,
) {
    let unassigned = std::mem::take(&mut world.claims.unassigned);
    let Some(shards) = shards else {
        world.claims.shard_count = tables::ShardCount::Unread;
        let pause = back_off(world);
        for id in unassigned {
            refuse_unavailable(world, id, wire::Executed::No, pause, effects);
        }
        return;
    };
    world.claims.shard_count = tables::ShardCount::Known(shards);
    world.claims.shards.resize_with(usize::try_from(shards).unwrap_or(0), shard::Shard::default);
    for id in unassigned {
        assign_to_shard(world, id, effects);
    }
}

/// Handles the result of reading a shard, and resolves the claims of a commit whose outcome is
/// unknown; `None` means that the key-value service failed.
pub fn shard_read(
    world: &mut world::AgentWorld,
    index: usize,
    snapshot: Option<segment::Snapshot>,
    effects: &mut Vec<events::Effect>,
) {
    let Some(shard) = world.claims.shards.get_mut(index) else { return };
    let Some(snapshot) = snapshot else {
        store_failed(world, index, effects);
        return;
    };
    shard.apply_snapshot(snapshot);
    shard.phase = shard::Phase::Ready;
    world.claims.failures = 0;
    let mut unresolved = std::mem::take(&mut shard.in_flight);
    unresolved.extend(std::mem::take(&mut shard.waiting));
    for pending in unresolved {
        resolve(world, index, pending, effects);
    }
}

/// Handles the outcome of a commit. After a conflict or an unknown outcome, the shard is read again
/// before its next commit.
pub fn committed(
    world: &mut world::AgentWorld,
    index: usize,
    outcome: events::CommitOutcome,
    effects: &mut Vec<events::Effect>,
) {
    let Some(shard) = world.claims.shards.get_mut(index) else { return };
    match outcome {
        events::CommitOutcome::Saved { revision } => {
            shard.phase = shard::Phase::Ready;
            for pending in shard.committed(revision) {
                claim_saved(world, pending.job, effects);
            }
            world.claims.failures = 0;
        }
        events::CommitOutcome::Conflict => {
            shard.conflicts += 1;
            let wait = conflict_backoff(world, index);
            world.claims.conflict_retry_at = world.claims.conflict_retry_at.max(world.now + wait);
            start_read(world, index, effects);
        }
        events::CommitOutcome::Unknown => start_read(world, index, effects),
        events::CommitOutcome::Refused => {
            let refused = shard.commits;
            for pending in &mut shard.in_flight {
                pending.tried_commits.retain(|tried| tried.commit != refused);
            }
            store_failed(world, index, effects);
        }
    }
}

/// Starts the commits that the write budget allows, beginning with the shard after the one that was
/// written last.
pub fn run(world: &mut world::AgentWorld, effects: &mut Vec<events::Effect>) {
    let count = world.claims.shards.len();
    for step in 0..count {
        let index = (world.claims.next_shard + step) % count;
        let shard = &world.claims.shards[index];
        if shard.phase != shard::Phase::Ready || shard.waiting.is_empty() {
            continue;
        }
        let due = next_commit_time(world);
        if due > world.now {
            world.claims.next_commit_at = Some(due);
            return;
        }
        start_commit(world, index, effects);
        world.claims.next_shard = index + 1;
    }
    world.claims.next_commit_at = None;
}

/// Requests the number of shards. Before the service is declared there is no number to propose, and
/// the waiting jobs are refused.
fn read_shard_count(world: &mut world::AgentWorld, effects: &mut Vec<events::Effect>) {
    let proposed = world.config.map_or(0, |config| config.claim_shards);
    if proposed == 0 {
        shard_count_read(world, None, effects);
        return;
    }
    world.claims.shard_count = tables::ShardCount::Reading;
    effects.push(events::Effect::ReadShardCount { proposed });
}

fn assign_to_shard(
    world: &mut world::AgentWorld,
    id: events::JobId,
    effects: &mut Vec<events::Effect>,
) {
    let tables::ShardCount::Known(shards) = world.claims.shard_count else { return };
    let Some(key) = world.jobs.get(id).and_then(|job| job.key) else { return };
    let index = usize::try_from(segment::shard_of(&key, shards)).unwrap_or(0);
    let Some(shard) = world.claims.shards.get_mut(index) else { return };
    let tried_commits = shard.abandoned.remove(&key).unwrap_or_default();
    let pending = shard::PendingClaim { job: id, key, tried_commits };
    match shard.phase {
        shard::Phase::Unread => {
            shard.waiting.push_back(pending);
            start_read(world, index, effects);
        }
        shard::Phase::Reading => shard.waiting.push_back(pending),
        shard::Phase::Ready | shard::Phase::Committing => resolve(world, index, pending, effects),
    }
}

/// Decides on one claim from what was read of its shard: it was saved for this job, it belongs to
/// another one, or it is still to be saved.
fn resolve(
    world: &mut world::AgentWorld,
    index: usize,
    pending: shard::PendingClaim,
    effects: &mut Vec<events::Effect>,
) {
    let shard = &mut world.claims.shards[index];
    match shard.owner(&pending, world.options.claims.incarnation) {
        shard::ClaimOwner::ThisJob => claim_saved(world, pending.job, effects),
        shard::ClaimOwner::Other => {
            let (reason, executed) = (wire::RefusalReason::OutcomeUnknown, wire::Executed::Unknown);
            admission::refuse_all(world, pending.job, reason, executed, effects);
        }
        shard::ClaimOwner::Nobody => {
            let job = world.jobs.get(pending.job);
            if job.is_some_and(|job| !job.subscribers.is_empty()) {
                shard.waiting.push_back(pending);
                return;
            }
            let id = pending.job;
            remember_abandoned(shard, pending);
            answers::drop_job(world, id, effects);
        }
    }
}

/// Marks a job as claimed, which allows its dispatch.
fn claim_saved(
    world: &mut world::AgentWorld,
    id: events::JobId,
    effects: &mut Vec<events::Effect>,
) {
    let now = world.now;
    let Some(job) = world.jobs.get_mut(id) else { return };
    job.claimed = true;
    let took = now.saturating_sub(job.claim_requested_at);
    let unneeded = job.subscribers.is_empty();
    let micros = u64::try_from(took.as_micros()).unwrap_or(u64::MAX);
    let before = world.claims.micros_per_claim;
    world.claims.micros_per_claim = super::queue::smooth(before, micros);
    world.jobs.set_state(id, tables::JobState::Ready);
    world.ready.push_back(id);
    if unneeded {
        answers::drop_job(world, id, effects);
    } else if !world.target.healthy {
        let reason = wire::RefusalReason::TargetUnreachable;
        admission::refuse_all(world, id, reason, wire::Executed::No, effects);
    }
}

fn start_read(world: &mut world::AgentWorld, index: usize, effects: &mut Vec<events::Effect>) {
    let shard = &mut world.claims.shards[index];
    shard.phase = shard::Phase::Reading;
    let from = shard.read_from();
    effects.push(events::Effect::ReadShard { shard: index, from });
}

fn start_commit(world: &mut world::AgentWorld, index: usize, effects: &mut Vec<events::Effect>) {
    let elapsed = world.wall.duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
    let now_ms = u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX);
    let claims = &world.options.claims;
    let commit_interval = claims.commit_interval;
    let number = u32::try_from(index).unwrap_or(u32::MAX);
    let shard = &mut world.claims.shards[index];
    let names = (claims.service.as_str(), number);
    let plan = shard.plan(names, claims.incarnation, now_ms, claims.limits);
    shard.phase = shard::Phase::Committing;
    let earliest = world.now.saturating_sub(commit_interval * BURST_COMMITS);
    world.claims.budget_spent_until =
        world.claims.budget_spent_until.max(earliest) + commit_interval;
    effects.push(events::Effect::Commit {
        shard: index,
        compares: plan.compares,
        writes: plan.writes,
    });
}

fn next_commit_time(world: &world::AgentWorld) -> Duration {
    world.claims.budget_spent_until.max(world.claims.conflict_retry_at)
}

/// Refuses at once every job that waits for a shard that cannot be read or written. A job whose
/// claim no commit tried to save is refused as not executed, and leaves no claim that a resend
/// could meet. The shard is read again before it is written, so that an outage leaves in doubt only
/// the claims of commits that were in flight when it began.
fn store_failed(world: &mut world::AgentWorld, index: usize, effects: &mut Vec<events::Effect>) {
    let pause = back_off(world);
    let shard = &mut world.claims.shards[index];
    shard.phase = shard::Phase::Unread;
    let mut unresolved = std::mem::take(&mut shard.in_flight);
    unresolved.extend(std::mem::take(&mut shard.waiting));
    for pending in unresolved {
        let tried = !pending.tried_commits.is_empty();
        let id = pending.job;
        remember_abandoned(&mut world.claims.shards[index], pending);
        let executed = if tried { wire::Executed::Unknown } else { wire::Executed::No };
        refuse_unavailable(world, id, executed, pause, effects);
    }
}

/// Remembers the commits that may have saved the claim of a job that is dropped, so that a resend
/// is known to be the first dispatch under that claim.
fn remember_abandoned(shard: &mut shard::Shard, pending: shard::PendingClaim) {
    if !pending.tried_commits.is_empty() && shard.abandoned.len() < MAX_ABANDONED {
        shard.abandoned.insert(pending.key, pending.tried_commits);
    }
}

/// Drops a job whose claim cannot be saved, and refuses its subscribers.
fn refuse_unavailable(
    world: &mut world::AgentWorld,
    id: events::JobId,
    executed: wire::Executed,
    retry_after: Duration,
    effects: &mut Vec<events::Effect>,
) {
    let Some(job) = world.jobs.get_mut(id) else { return };
    let retry_after = retry_after.max(world.options.retry_after);
    for to in std::mem::take(&mut job.subscribers) {
        let reason = wire::RefusalReason::StoreUnavailable;
        world.refuse_with_retry(to, reason, executed, retry_after, effects);
    }
    answers::drop_job(world, id, effects);
}

/// Delays all claims after a failure of the key-value service, and returns the delay.
fn back_off(world: &mut world::AgentWorld) -> Duration {
    let pause = MIN_BACKOFF * 2_u32.saturating_pow(world.claims.failures).min(MAX_BACKOFF_FACTOR);
    world.claims.failures = (world.claims.failures + 1).min(MAX_BACKOFF_FACTOR);
    world.claims.backoff_until = world.now + pause;
    pause
}

/// Returns a pause after a conflict that differs between agents, so that two agents that write to
/// the same shard do not keep colliding.
fn conflict_backoff(world: &world::AgentWorld, index: usize) -> Duration {
    let claims = &world.options.claims;
    let shard = &world.claims.shards[index];
    let window = claims.commit_interval * 2_u32.pow(shard.conflicts.min(MAX_CONFLICT_SHIFT)) / 4;
    let drawn =
        xxhash_rust::xxh3::xxh3_64_with_seed(&shard.commits.to_le_bytes(), claims.incarnation);
    let window = u64::try_from(window.as_micros()).unwrap_or(u64::MAX).max(1);
    Duration::from_micros(drawn % window)
}
