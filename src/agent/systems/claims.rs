//! Claims: a request that may not be repeated is handed on only once its claim is saved.
//!
//! Safety rests on the compare-and-swap of each commit alone, never on time or on a lease.
//! Commits are made in groups, one under way in each shard, spaced by a budget of writes, so
//! that writes do not grow with requests (docs/AGENT.md).

use std::time::Duration;

use crate::agent::events;
use crate::agent::segment;
use crate::agent::shard;
use crate::agent::systems::{admission, answers};
use crate::agent::tables;
use crate::agent::world;
use crate::wire;

/// Commits that may follow each other without a pause after a quiet time.
const BURST: u32 = 4;
/// The longest pause after the key-value service failed, in multiples of the shortest.
const MAX_BACKOFF: u32 = 16;
/// The shortest pause after the key-value service failed.
const BACKOFF: Duration = Duration::from_millis(100);
/// Conflicts in a row beyond which the pause no longer grows.
const MAX_CONFLICT_SHIFT: u32 = 5;
/// Given-up claims that a shard remembers.
const MAX_ABANDONED: usize = 4_096;

/// Returns true where a job's claim has to be saved first.
pub fn needed(world: &world::AgentWorld, job: &tables::Job) -> bool {
    let checked = world.options.claims.check == world::ClaimCheck::Saved;
    checked && job.key.is_some() && !job.claimed
}

/// Returns how many jobs may be claimed before they have a slot: those that free slots wait
/// for, and as many as the target ends while a claim is saved.
pub fn room_ahead(world: &world::AgentWorld) -> usize {
    let slots = world.options.slots;
    let free = slots.saturating_sub(world.jobs.running());
    let (claim, job) = (world.claims.micros_per_claim, world.target.micros_per_job);
    let slots_wide = u64::try_from(slots).unwrap_or(u64::MAX);
    let ended = slots_wide.saturating_mul(claim).checked_div(job).unwrap_or(slots_wide);
    let ended = usize::try_from(ended).unwrap_or(usize::MAX);
    free + ended.clamp(1, world.options.claims.max_ahead.max(1))
}

/// Asks for a job's claim.
pub fn request(
    world: &mut world::AgentWorld,
    id: events::JobId,
    effects: &mut Vec<events::Effect>,
) {
    let now = world.now;
    let Some(job) = world.jobs.get_mut(id) else { return };
    job.claim_asked_at = now;
    if now < world.claims.closed_until {
        let left = world.claims.closed_until.saturating_sub(now);
        give_up(world, id, wire::Executed::No, left, effects);
        return;
    }
    match world.claims.shard_count {
        tables::ShardCount::Known(_) => place(world, id, effects),
        tables::ShardCount::Reading => world.claims.unplaced.push(id),
        tables::ShardCount::Unread => {
            world.claims.unplaced.push(id);
            read_shard_count(world, effects);
        }
    }
}

/// Takes back the claim of a job that nobody waits for any more, and returns whether it is
/// certain that no commit tried to save it.
pub fn withdraw(world: &mut world::AgentWorld, id: events::JobId) -> bool {
    let before = world.claims.unplaced.len();
    world.claims.unplaced.retain(|other| *other != id);
    if world.claims.unplaced.len() < before {
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

/// Takes in the number of shards, which never changes once it is saved.
pub fn shard_count_read(
    world: &mut world::AgentWorld,
    shards: Option<u32>,
    effects: &mut Vec<events::Effect>,
) {
    let unplaced = std::mem::take(&mut world.claims.unplaced);
    let Some(shards) = shards else {
        world.claims.shard_count = tables::ShardCount::Unread;
        let pause = back_off(world);
        for id in unplaced {
            give_up(world, id, wire::Executed::No, pause, effects);
        }
        return;
    };
    world.claims.shard_count = tables::ShardCount::Known(shards);
    world.claims.shards.resize_with(usize::try_from(shards).unwrap_or(0), shard::Shard::default);
    for id in unplaced {
        place(world, id, effects);
    }
}

/// Takes in what was read of a shard, and settles the commit whose answer was lost.
pub fn read(
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
    shard.load(snapshot);
    shard.phase = shard::Phase::Ready;
    world.claims.failures = 0;
    let mut open = std::mem::take(&mut shard.in_flight);
    open.extend(std::mem::take(&mut shard.waiting));
    for pending in open {
        settle(world, index, pending, effects);
    }
}

/// Takes in how a commit ended.
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
                saved(world, pending.job, effects);
            }
            world.claims.failures = 0;
        }
        events::CommitOutcome::Conflict => {
            shard.conflicts += 1;
            let wait = conflict_pause(world, index);
            world.claims.retry_at = world.claims.retry_at.max(world.now + wait);
            start_read(world, index, effects);
        }
        events::CommitOutcome::Unknown => start_read(world, index, effects),
        events::CommitOutcome::Refused => {
            let refused = shard.commits;
            for pending in &mut shard.in_flight {
                pending.tries.retain(|attempt| attempt.commit != refused);
            }
            store_failed(world, index, effects);
        }
    }
}

/// Starts the commits that the write budget allows.
pub fn run(world: &mut world::AgentWorld, effects: &mut Vec<events::Effect>) {
    let count = world.claims.shards.len();
    for step in 0..count {
        let index = (world.claims.cursor + step) % count;
        let shard = &world.claims.shards[index];
        if shard.phase != shard::Phase::Ready || shard.waiting.is_empty() {
            continue;
        }
        let due = next_write(world);
        if due > world.now {
            world.claims.wake = Some(due);
            return;
        }
        start_commit(world, index, effects);
        world.claims.cursor = index + 1;
    }
    world.claims.wake = None;
}

/// Asks for the number of shards; it is not proposed before the service is declared.
fn read_shard_count(world: &mut world::AgentWorld, effects: &mut Vec<events::Effect>) {
    let proposed = world.config.map_or(0, |config| config.claim_shards);
    if proposed == 0 {
        shard_count_read(world, None, effects);
        return;
    }
    world.claims.shard_count = tables::ShardCount::Reading;
    effects.push(events::Effect::ReadShardCount { proposed });
}

fn place(world: &mut world::AgentWorld, id: events::JobId, effects: &mut Vec<events::Effect>) {
    let tables::ShardCount::Known(shards) = world.claims.shard_count else { return };
    let Some(key) = world.jobs.get(id).and_then(|job| job.key) else { return };
    let index = usize::try_from(segment::shard_of(&key, shards)).unwrap_or(0);
    let Some(shard) = world.claims.shards.get_mut(index) else { return };
    let tries = shard.abandoned.remove(&key).unwrap_or_default();
    let pending = shard::Pending { job: id, key, tries };
    match shard.phase {
        shard::Phase::Unread => {
            shard.waiting.push_back(pending);
            start_read(world, index, effects);
        }
        shard::Phase::Reading => shard.waiting.push_back(pending),
        shard::Phase::Ready | shard::Phase::Committing => settle(world, index, pending, effects),
    }
}

/// Decides on one claim by what was read: saved by this attempt, by another, or yet to be.
fn settle(
    world: &mut world::AgentWorld,
    index: usize,
    pending: shard::Pending,
    effects: &mut Vec<events::Effect>,
) {
    let shard = &mut world.claims.shards[index];
    match shard.place(&pending, world.options.claims.incarnation) {
        shard::Place::Own => saved(world, pending.job, effects),
        shard::Place::Taken => {
            let (reason, executed) = (wire::RefusalReason::OutcomeUnknown, wire::Executed::Unknown);
            admission::refuse_all(world, pending.job, reason, executed, effects);
        }
        shard::Place::Absent => {
            let job = world.jobs.get(pending.job);
            if job.is_some_and(|job| !job.subscribers.is_empty()) {
                shard.waiting.push_back(pending);
                return;
            }
            let id = pending.job;
            abandon(shard, pending);
            answers::drop_job(world, id, effects);
        }
    }
}

/// Notes that a job's claim is saved; only now may it be handed on.
fn saved(world: &mut world::AgentWorld, id: events::JobId, effects: &mut Vec<events::Effect>) {
    let now = world.now;
    let Some(job) = world.jobs.get_mut(id) else { return };
    job.claimed = true;
    let took = now.saturating_sub(job.claim_asked_at);
    let unwanted = job.subscribers.is_empty();
    let micros = u64::try_from(took.as_micros()).unwrap_or(u64::MAX);
    let before = world.claims.micros_per_claim;
    world.claims.micros_per_claim = super::queue::smooth(before, micros);
    world.jobs.set_state(id, tables::JobState::Ready);
    world.ready.push_back(id);
    if unwanted {
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
    let earliest = world.now.saturating_sub(commit_interval * BURST);
    world.claims.spent_until = world.claims.spent_until.max(earliest) + commit_interval;
    effects.push(events::Effect::Commit {
        shard: index,
        compares: plan.compares,
        writes: plan.writes,
    });
}

fn next_write(world: &world::AgentWorld) -> Duration {
    world.claims.spent_until.max(world.claims.retry_at)
}

/// Refuses at once whatever waits for a shard that cannot be read or written. What no commit
/// tried to save was certainly not run and is in nobody's way. The shard is read before it is
/// written again, so that an outage leaves nothing open but what it met on the way.
fn store_failed(world: &mut world::AgentWorld, index: usize, effects: &mut Vec<events::Effect>) {
    let pause = back_off(world);
    let shard = &mut world.claims.shards[index];
    shard.phase = shard::Phase::Unread;
    let mut open = std::mem::take(&mut shard.in_flight);
    open.extend(std::mem::take(&mut shard.waiting));
    for pending in open {
        let tried = !pending.tries.is_empty();
        let id = pending.job;
        abandon(&mut world.claims.shards[index], pending);
        let executed = if tried { wire::Executed::Unknown } else { wire::Executed::No };
        give_up(world, id, executed, pause, effects);
    }
}

/// Remembers the commits that may have saved a claim for a job that is given up, so that a
/// resend finds that it was never handed on.
fn abandon(shard: &mut shard::Shard, pending: shard::Pending) {
    if !pending.tries.is_empty() && shard.abandoned.len() < MAX_ABANDONED {
        shard.abandoned.insert(pending.key, pending.tries);
    }
}

fn give_up(
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
        world.refuse_until(to, reason, executed, retry_after, effects);
    }
    answers::drop_job(world, id, effects);
}

fn back_off(world: &mut world::AgentWorld) -> Duration {
    let pause = BACKOFF * 2_u32.saturating_pow(world.claims.failures).min(MAX_BACKOFF);
    world.claims.failures = (world.claims.failures + 1).min(MAX_BACKOFF);
    world.claims.closed_until = world.now + pause;
    pause
}

/// Returns a pause that differs between agents, so that two that write to one shard do not
/// stay in step.
fn conflict_pause(world: &world::AgentWorld, index: usize) -> Duration {
    let claims = &world.options.claims;
    let shard = &world.claims.shards[index];
    let window = claims.commit_interval * 2_u32.pow(shard.conflicts.min(MAX_CONFLICT_SHIFT)) / 4;
    let drawn =
        xxhash_rust::xxh3::xxh3_64_with_seed(&shard.commits.to_le_bytes(), claims.incarnation);
    let window = u64::try_from(window.as_micros()).unwrap_or(u64::MAX).max(1);
    Duration::from_micros(drawn % window)
}
