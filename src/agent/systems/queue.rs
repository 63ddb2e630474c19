//! The fair queue: one per target, so that shares are exact regardless of the number of entries
//! that send.
//!
//! It is start-time fair queueing by customer. Each customer has a virtual start time that
//! advances by tokens divided by weight for each of its jobs; the customer with the smallest one
//! is served next. A customer that used less than its share may lag behind the queue's virtual
//! time by a few jobs, so that its next burst goes first; idle time earns no further credit.
//! docs/AGENT.md explains why this was chosen over deficit round robin.

use std::time::Duration;

use crate::agent::events;
use crate::agent::systems::{claims, suspects};
use crate::agent::tables;
use crate::agent::world;

/// Virtual time units per token at weight one, so that the division by weights stays precise.
const UNITS_PER_TOKEN: u64 = 1_024;
/// The credit, in jobs of average cost, by which a customer that used less than its share may lag
/// behind the virtual time.
const BURST_JOBS: u64 = 16;
/// A new sample counts for one part in this many of a moving average.
const SMOOTHING_DIVISOR: u64 = 8;

/// Returns the index of a customer in the queue, adding the customer if it is new, and sets its
/// weight.
pub fn customer_index(world: &mut world::AgentWorld, name: &str, weight: u32) -> usize {
    let weight = u64::from(weight.max(1));
    if let Some(index) = world.queue.index_by_name.get(name) {
        world.queue.customers[*index].weight = weight;
        return *index;
    }
    let index = world.queue.customers.len();
    let start = world.queue.virtual_time;
    world.queue.customers.push(tables::Customer {
        weight,
        start,
        waiting: std::collections::VecDeque::new(),
        waiting_cost: 0,
    });
    world.queue.index_by_name.insert(name.to_owned(), index);
    index
}

/// Appends a job to its customer's queue. A suspect that may be repeated goes to the queue of
/// suspects instead.
pub fn push(world: &mut world::AgentWorld, id: events::JobId) {
    let Some(job) = world.jobs.get(id) else { return };
    let (index, cost, suspect) = (job.customer, job.cost, job.request.suspect && job.key.is_none());
    if suspect {
        world.suspects.waiting.push_back(id);
        return;
    }
    let (virtual_time, average) = (world.queue.virtual_time, world.queue.average_cost);
    let customer = &mut world.queue.customers[index];
    if customer.waiting.is_empty() {
        let credit = virtual_units(average * BURST_JOBS, customer.weight);
        customer.start = customer.start.max(virtual_time.saturating_sub(credit));
    }
    customer.waiting.push_back(id);
    customer.waiting_cost += cost;
}

/// Removes a job from the queue before its turn.
pub fn withdraw(world: &mut world::AgentWorld, id: events::JobId, job: &tables::Job) {
    world.suspects.waiting.retain(|other| *other != id);
    let customer = &mut world.queue.customers[job.customer];
    let before = customer.waiting.len();
    customer.waiting.retain(|other| *other != id);
    if customer.waiting.len() < before {
        customer.waiting_cost -= job.cost;
    }
}

/// Returns the newest waiting job of the customer with the longest queue relative to its weight,
/// or `None` if that queue is not longer than the given customer's would be with one more job.
pub fn eviction_candidate(world: &world::AgentWorld, index: usize) -> Option<events::JobId> {
    let arriving = &world.queue.customers[index];
    let arriving_length = (arriving.waiting.len() + 1, arriving.weight);
    let longest = world.queue.customers.iter().max_by(|a, b| {
        compare_weighted_lengths((a.waiting.len(), a.weight), (b.waiting.len(), b.weight))
    })?;
    let longest_length = (longest.waiting.len(), longest.weight);
    if compare_weighted_lengths(longest_length, arriving_length).is_gt() {
        longest.waiting.back().copied()
    } else {
        None
    }
}

/// Estimates how long a new job of the given customer and cost would wait, from the queued costs
/// and the target's measured pace.
pub fn expected_wait(world: &world::AgentWorld, index: usize, cost: u64) -> Duration {
    let free = world.jobs.running() + world.jobs.ahead() < world.options.slots;
    if free && world.jobs.queued() == 0 {
        return Duration::ZERO;
    }
    let customer = &world.queue.customers[index];
    let cost_with_job = customer.waiting_cost + cost;
    let other_cost: u64 = world
        .queue
        .customers
        .iter()
        .enumerate()
        .filter(|(other, _)| *other != index)
        .map(|(_, other)| other.waiting_cost.min(cost_with_job * other.weight / customer.weight))
        .sum();
    let slots = u64::try_from(world.options.slots).unwrap_or(u64::MAX).max(1);
    Duration::from_micros(
        (customer.waiting_cost + other_cost) * world.target.micros_per_token / slots,
    )
}

/// Dispatches as many jobs as there are free slots, and requests claims for those next in line.
pub fn run(world: &mut world::AgentWorld, effects: &mut Vec<events::Effect>) {
    if !world.target.healthy {
        return;
    }
    while let Some(step) = next_step(world) {
        match step {
            Step::Dispatch(id) => dispatch(world, id, effects),
            Step::Claim(id) => {
                dequeue(world, id);
                world.jobs.set_state(id, tables::JobState::Claiming);
                claims::request(world, id, effects);
            }
        }
    }
}

/// Corrects the customer's charge for a job from the estimate to the tokens that it used; does
/// nothing if the answer reported no use.
pub fn settle_cost(world: &mut world::AgentWorld, job: &tables::Job, tokens: Option<u64>) {
    let Some(tokens) = tokens else { return };
    let tokens = tokens.max(1);
    let customer = &mut world.queue.customers[job.customer];
    let estimated = virtual_units(job.cost, customer.weight);
    let used = virtual_units(tokens, customer.weight);
    customer.start = (customer.start + used).saturating_sub(estimated);
}

/// Updates the moving averages of the target's time per job and per token from a job that ran to
/// its end.
pub fn update_pace(world: &mut world::AgentWorld, job: &tables::Job) {
    let run_time = world.now.saturating_sub(job.started_at);
    let micros = u64::try_from(run_time.as_micros()).unwrap_or(u64::MAX);
    world.target.micros_per_job = smooth(world.target.micros_per_job, micros);
    world.target.micros_per_token = smooth(world.target.micros_per_token, micros / job.cost);
}

/// Step is one action of the scheduler.
enum Step {
    Dispatch(events::JobId),
    Claim(events::JobId),
}

/// Returns the next job to dispatch or to claim, or `None` if no slot or claim is available for
/// one.
fn next_step(world: &world::AgentWorld) -> Option<Step> {
    let free = world.jobs.running() < world.options.slots;
    if let Some(turn) = suspects::suspect_turn(world) {
        return turn.map(Step::Dispatch);
    }
    if free && let Some(id) = world.ready.front() {
        return Some(Step::Dispatch(*id));
    }
    let id = next_in_line(world)?;
    let job = world.jobs.get(id)?;
    if claims::needed(world, job) {
        let room = world.jobs.ahead() < claims::max_claimed_ahead(world);
        return room.then_some(Step::Claim(id));
    }
    free.then_some(Step::Dispatch(id))
}

/// Returns the job that the queue's order puts next.
fn next_in_line(world: &world::AgentWorld) -> Option<events::JobId> {
    let waiting = world.queue.customers.iter().filter(|customer| !customer.waiting.is_empty());
    let next = match world.options.order {
        world::QueueOrder::Fair => waiting.min_by_key(|customer| customer.start),
        world::QueueOrder::FirstComeFirstServed => {
            waiting.min_by_key(|customer| customer.waiting.front().copied())
        }
    };
    next?.waiting.front().copied()
}

/// Takes a job off the front of its customer's queue and charges the customer its estimated cost.
fn dequeue(world: &mut world::AgentWorld, id: events::JobId) {
    let Some(job) = world.jobs.get(id) else { return };
    let (index, cost) = (job.customer, job.cost);
    let customer = &mut world.queue.customers[index];
    if customer.waiting.front() != Some(&id) {
        return;
    }
    customer.waiting.pop_front();
    customer.waiting_cost -= cost;
    world.queue.virtual_time = world.queue.virtual_time.max(customer.start);
    customer.start += virtual_units(cost, customer.weight);
    world.queue.average_cost = smooth(world.queue.average_cost, cost);
}

fn dispatch(world: &mut world::AgentWorld, id: events::JobId, effects: &mut Vec<events::Effect>) {
    world.ready.retain(|other| *other != id);
    suspects::suspect_dispatched(world, id);
    dequeue(world, id);
    world.jobs.set_state(id, tables::JobState::Running);
    let now = world.now;
    let Some(job) = world.jobs.get_mut(id) else { return };
    job.started_at = now;
    effects.push(events::Effect::Dispatch {
        job: id,
        request: job.request.clone(),
        subscribers: job.subscribers.clone(),
        keep: job.key.is_some(),
    });
}

/// Compares two queues, given as length and weight, by length divided by weight.
fn compare_weighted_lengths(a: (usize, u64), b: (usize, u64)) -> std::cmp::Ordering {
    let ratio = |(length, _): (usize, u64), weight: u64| {
        u64::try_from(length).unwrap_or(u64::MAX).saturating_mul(weight)
    };
    ratio(a, b.1).cmp(&ratio(b, a.1))
}

fn virtual_units(tokens: u64, weight: u64) -> u64 {
    tokens.saturating_mul(UNITS_PER_TOKEN) / weight
}

/// Returns an exponential moving average after one more sample; an average of zero stands for no
/// sample yet.
pub fn smooth(average: u64, sample: u64) -> u64 {
    if average == 0 {
        return sample;
    }
    (average * (SMOOTHING_DIVISOR - 1) + sample) / SMOOTHING_DIVISOR
}
