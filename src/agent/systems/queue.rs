//! The fair queue: one before each target, so that fairness is exact however many entries send.
//!
//! Start-time fair queueing by customer: each customer has a place in virtual time, which moves
//! on by tokens over weight; the customer furthest behind goes next. A customer that used less
//! than its share may be behind by a few requests, so that its next burst goes first; beyond
//! that, idle time saves up nothing. docs/AGENT.md tells why this was chosen over deficit round
//! robin.

use std::time::Duration;

use crate::agent::events;
use crate::agent::systems::{claims, retry};
use crate::agent::tables;
use crate::agent::world;

/// Virtual time units of one token at weight one; keeps the division by weights precise.
const UNITS_PER_TOKEN: u64 = 1_024;
/// Average jobs by which a customer that used less than its share may be behind.
const BURST_JOBS: u64 = 16;
/// The part of a new reading in a smoothed one, as a divisor.
const SMOOTHING: u64 = 8;

/// Returns the row of a customer and brings its weight up to date.
pub fn customer(world: &mut world::AgentWorld, name: &str, weight: u32) -> usize {
    let weight = u64::from(weight.max(1));
    if let Some(row) = world.queue.rows.get(name) {
        world.queue.customers[*row].weight = weight;
        return *row;
    }
    let row = world.queue.customers.len();
    let start = world.queue.virtual_time;
    world.queue.customers.push(tables::Customer {
        weight,
        start,
        waiting: std::collections::VecDeque::new(),
        waiting_cost: 0,
    });
    world.queue.rows.insert(name.to_owned(), row);
    row
}

/// Appends a job to its customer's queue.
pub fn push(world: &mut world::AgentWorld, id: events::JobId) {
    let Some(job) = world.jobs.get(id) else { return };
    let (row, cost, suspect) = (job.customer, job.cost, job.request.suspect && job.key.is_none());
    if suspect {
        world.suspects.waiting.push_back(id);
        return;
    }
    let (virtual_time, average) = (world.queue.virtual_time, world.queue.average_cost);
    let customer = &mut world.queue.customers[row];
    if customer.waiting.is_empty() {
        let credit = units(average * BURST_JOBS, customer.weight);
        customer.start = customer.start.max(virtual_time.saturating_sub(credit));
    }
    customer.waiting.push_back(id);
    customer.waiting_cost += cost;
}

/// Takes a job out of the queue before its turn.
pub fn withdraw(world: &mut world::AgentWorld, id: events::JobId, job: &tables::Job) {
    world.suspects.waiting.retain(|other| *other != id);
    let customer = &mut world.queue.customers[job.customer];
    let before = customer.waiting.len();
    customer.waiting.retain(|other| *other != id);
    if customer.waiting.len() < before {
        customer.waiting_cost -= job.cost;
    }
}

/// Returns the newest waiting job of the customer with the longest queue for its weight, if
/// that queue is longer than the one that the given customer would have.
pub fn displaceable(world: &world::AgentWorld, row: usize) -> Option<events::JobId> {
    let arriving = &world.queue.customers[row];
    let own = (arriving.waiting.len() + 1, arriving.weight);
    let longest = world
        .queue
        .customers
        .iter()
        .max_by(|a, b| longer((a.waiting.len(), a.weight), (b.waiting.len(), b.weight)))?;
    let theirs = (longest.waiting.len(), longest.weight);
    if longer(theirs, own).is_gt() { longest.waiting.back().copied() } else { None }
}

/// Returns how long a job of the given customer and cost would wait, as far as is known.
pub fn expected_wait(world: &world::AgentWorld, row: usize, cost: u64) -> Duration {
    let free = world.jobs.running() + world.jobs.ahead() < world.options.slots;
    if free && world.jobs.queued() == 0 {
        return Duration::ZERO;
    }
    let own = &world.queue.customers[row];
    let own_cost = own.waiting_cost + cost;
    let others: u64 = world
        .queue
        .customers
        .iter()
        .enumerate()
        .filter(|(other, _)| *other != row)
        .map(|(_, other)| other.waiting_cost.min(own_cost * other.weight / own.weight))
        .sum();
    let slots = u64::try_from(world.options.slots).unwrap_or(u64::MAX).max(1);
    Duration::from_micros((own.waiting_cost + others) * world.target.micros_per_token / slots)
}

/// Hands on as many jobs as there are free slots, and has claims saved for those next in line.
pub fn run(world: &mut world::AgentWorld, effects: &mut Vec<events::Effect>) {
    if !world.target.healthy {
        return;
    }
    while let Some(step) = next_step(world) {
        match step {
            Step::HandOn(id) => hand_on(world, id, effects),
            Step::Claim(id) => {
                take(world, id);
                world.jobs.set_state(id, tables::JobState::Claiming);
                claims::request(world, id, effects);
            }
        }
    }
}

/// Charges what a job used beyond its estimate, or credits what it did not, and learns the pace.
pub fn settle(world: &mut world::AgentWorld, job: &tables::Job, tokens: Option<u64>) {
    let Some(tokens) = tokens else { return };
    let tokens = tokens.max(1);
    let customer = &mut world.queue.customers[job.customer];
    let estimated = units(job.cost, customer.weight);
    let used = units(tokens, customer.weight);
    customer.start = (customer.start + used).saturating_sub(estimated);
}

/// Learns how long the target takes for a job that ran to its end.
pub fn learn_pace(world: &mut world::AgentWorld, job: &tables::Job) {
    let held = world.now.saturating_sub(job.started_at);
    let micros = u64::try_from(held.as_micros()).unwrap_or(u64::MAX);
    world.target.micros_per_job = smooth(world.target.micros_per_job, micros);
    world.target.micros_per_token = smooth(world.target.micros_per_token, micros / job.cost);
}

enum Step {
    HandOn(events::JobId),
    Claim(events::JobId),
}

fn next_step(world: &world::AgentWorld) -> Option<Step> {
    let free = world.jobs.running() < world.options.slots;
    if let Some(turn) = retry::suspect_turn(world) {
        return turn.map(Step::HandOn);
    }
    if free && let Some(id) = world.ready.front() {
        return Some(Step::HandOn(*id));
    }
    let id = next_in_line(world)?;
    let job = world.jobs.get(id)?;
    if claims::needed(world, job) {
        let room = world.jobs.ahead() < claims::room_ahead(world);
        return room.then_some(Step::Claim(id));
    }
    free.then_some(Step::HandOn(id))
}

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

fn take(world: &mut world::AgentWorld, id: events::JobId) {
    let Some(job) = world.jobs.get(id) else { return };
    let (row, cost) = (job.customer, job.cost);
    let customer = &mut world.queue.customers[row];
    if customer.waiting.front() != Some(&id) {
        return;
    }
    customer.waiting.pop_front();
    customer.waiting_cost -= cost;
    world.queue.virtual_time = world.queue.virtual_time.max(customer.start);
    customer.start += units(cost, customer.weight);
    world.queue.average_cost = smooth(world.queue.average_cost, cost);
}

fn hand_on(world: &mut world::AgentWorld, id: events::JobId, effects: &mut Vec<events::Effect>) {
    world.ready.retain(|other| *other != id);
    retry::take_suspect(world, id);
    take(world, id);
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

fn longer(a: (usize, u64), b: (usize, u64)) -> std::cmp::Ordering {
    let ratio = |(length, _): (usize, u64), weight: u64| {
        u64::try_from(length).unwrap_or(u64::MAX).saturating_mul(weight)
    };
    ratio(a, b.1).cmp(&ratio(b, a.1))
}

fn units(tokens: u64, weight: u64) -> u64 {
    tokens.saturating_mul(UNITS_PER_TOKEN) / weight
}

/// Returns a smoothed reading.
pub fn smooth(before: u64, reading: u64) -> u64 {
    if before == 0 {
        return reading;
    }
    (before * (SMOOTHING - 1) + reading) / SMOOTHING
}
