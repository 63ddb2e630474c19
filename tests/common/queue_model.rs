//! A simulation of one target behind the decision core of an agent.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::collections::BTreeMap;
use std::time::{Duration, SystemTime};

use bitternwall::agent::events::{Effect, Event};
use bitternwall::agent::{config_view, shard, world};
use bitternwall::wire;
use bitternwall::wire::server::LinkId;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Number of requests that the target runs concurrently.
pub const SLOTS: usize = 4;
/// Milliseconds that the target takes per token.
const MS_PER_TOKEN: u64 = 1;
const DEADLINE_MS: u64 = 60_000;

/// Load is the traffic that one customer offers.
#[derive(Clone, Debug)]
pub struct Load {
    pub customer: &'static str,
    pub weight: u32,
    /// Requests per second.
    pub rate: f64,
    /// The tokens that entries estimate for a request.
    pub estimated: u64,
    /// The tokens that a request uses.
    pub used: u64,
    /// The number of entries through which the customer sends, in turn.
    pub entries: u64,
}

impl Load {
    /// Creates a load of requests whose tokens are estimated correctly, sent through one entry.
    pub fn new(customer: &'static str, rate: f64, tokens: u64) -> Self {
        Self { customer, weight: 1, rate, estimated: tokens, used: tokens, entries: 1 }
    }
}

/// Outcome is the service that one customer received.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// The time in the queue of each dispatched request, in milliseconds.
    pub waits: Vec<u64>,
    /// The tokens used by its dispatched requests.
    pub tokens: u64,
    pub refused: u64,
}

impl Outcome {
    /// Returns the 95th percentile of the waits.
    pub fn p95(&self) -> u64 {
        let mut waits = self.waits.clone();
        waits.sort_unstable();
        waits.get((waits.len() * 95).div_ceil(100).saturating_sub(1)).copied().unwrap_or(0)
    }
}

struct Waiting {
    load: usize,
    arrived: u64,
}

/// Offers loads for `duration` milliseconds and returns the outcome of each customer.
pub fn simulate(
    loads: &[Load],
    order: world::QueueOrder,
    seed: u64,
    duration: u64,
) -> BTreeMap<&'static str, Outcome> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut arrivals = arrivals(loads, duration, &mut rng);
    let mut core = world::AgentWorld::new(options(order));
    let mut outcomes: BTreeMap<&'static str, Outcome> = BTreeMap::new();
    let mut waiting: BTreeMap<u64, Waiting> = BTreeMap::new();
    let mut ends: BTreeMap<(u64, u64), Event> = BTreeMap::new();
    let mut counter = 0;
    for now in 0..duration {
        let mut events = vec![config(now)];
        while let Some(end) = ends.first_entry()
            && end.key().0 <= now
        {
            events.push(end.remove());
        }
        while arrivals.last().is_some_and(|(at, _)| *at <= now) {
            let (_, load) = arrivals.pop().unwrap();
            waiting.insert(counter, Waiting { load, arrived: now });
            events.push(start(&loads[load], counter));
            counter += 1;
        }
        let mut effects = Vec::new();
        let clock = Duration::from_millis(now);
        core.tick(clock, SystemTime::UNIX_EPOCH + clock, events, &mut effects);
        for effect in effects {
            match effect {
                Effect::Dispatch { job, request, .. } => {
                    let id = request.id.unwrap().counter;
                    let Waiting { load, arrived } = waiting.remove(&id).unwrap();
                    let load = &loads[load];
                    let outcome = outcomes.entry(load.customer).or_default();
                    outcome.waits.push(now - arrived);
                    outcome.tokens += load.used;
                    let event = Event::Completed { job, bytes: 1, tokens: Some(load.used) };
                    ends.insert((now + load.used * MS_PER_TOKEN, id), event);
                }
                Effect::Refuse { to, .. } => {
                    let Waiting { load, .. } = waiting.remove(&to.id.counter).unwrap();
                    outcomes.entry(loads[load].customer).or_default().refused += 1;
                }
                _ => {}
            }
        }
    }
    outcomes
}

/// Generates arrivals at random for each load, with probability `rate / 1000` in each millisecond,
/// sorted from the last to the first.
fn arrivals(loads: &[Load], duration: u64, rng: &mut StdRng) -> Vec<(u64, usize)> {
    let mut arrivals = Vec::new();
    for (index, load) in loads.iter().enumerate() {
        for at in 0..duration {
            if rng.random_bool(load.rate / 1_000.0) {
                arrivals.push((at, index));
            }
        }
    }
    arrivals.sort_by_key(|arrival| std::cmp::Reverse(*arrival));
    arrivals
}

fn start(load: &Load, counter: u64) -> Event {
    let entry = counter % load.entries;
    let request = wire::StartAttempt {
        id: Some(wire::AttemptId { incarnation: entry, counter }),
        customer: load.customer.to_owned(),
        deadline_ms: DEADLINE_MS,
        config_revision: 1,
        estimated_tokens: load.estimated,
        weight: load.weight,
        ..Default::default()
    };
    Event::Start { link: LinkId(entry), request: Box::new(request) }
}

fn config(now: u64) -> Event {
    Event::Config(config_view::ConfigView {
        revision: 1,
        drain: false,
        kind: None,
        claim_shards: 1,
        confirmed_at: Duration::from_millis(now),
    })
}

fn options(order: world::QueueOrder) -> world::Options {
    world::Options {
        slots: SLOTS,
        max_queued: 400,
        max_wait: Duration::from_secs(30),
        freshness: Duration::from_secs(5),
        retry_after: Duration::from_millis(100),
        suspect_timeout: Duration::from_secs(1),
        fingerprint_ttl: Duration::from_secs(60),
        kept_bytes: 0,
        drop_duplicates: true,
        order,
        claims: world::ClaimOptions {
            check: world::ClaimCheck::Saved,
            service: "summary-llm".to_owned(),
            incarnation: 1,
            commit_interval: Duration::from_millis(50),
            limits: shard::Limits { retention_ms: 1_000, bucket_ms: 1_000 },
            max_ahead: 1,
        },
    }
}
