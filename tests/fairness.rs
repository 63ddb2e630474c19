//! Heavy customers use the capacity that light ones leave, and no more (docs/DESIGN.md).

use bitternwall::agent::world::QueueOrder;

#[path = "common/queue_model.rs"]
mod queue_model;

use queue_model::{Load, Outcome, SLOTS, simulate};

const SEED: u64 = 20_261;
const SEEDS: [u64; 4] = [SEED, 1, 7, 99];
const DURATION_MS: u64 = 120_000;
/// Tokens of one request, which holds a slot for as many milliseconds.
const TOKENS: u64 = 100;
/// Requests per second that the target can serve, and a tenth of them.
const CAPACITY: f64 = 40.0;
const SHARE: f64 = CAPACITY / 10.0;
const LIGHT: [&str; 8] = ["l1", "l2", "l3", "l4", "l5", "l6", "l7", "l8"];
const HEAVY: [&str; 2] = ["h1", "h2"];

fn light() -> Vec<Load> {
    LIGHT.iter().map(|name| Load::new(name, SHARE / 2.0, TOKENS)).collect()
}

fn heavy() -> Vec<Load> {
    HEAVY.iter().map(|name| Load::new(name, 10.0 * SHARE, TOKENS)).collect()
}

fn worst_p95<'a>(outcomes: impl Iterator<Item = &'a Outcome>) -> u64 {
    outcomes.map(Outcome::p95).max().unwrap_or(0)
}

/// Returns true if two amounts differ by at most the given percentage of the first.
fn within_percent(a: u64, b: u64, percent: u64) -> bool {
    a.abs_diff(b) * 100 <= a * percent
}

#[test]
fn light_customers_wait_at_most_one_slot_longer_beside_heavy_ones() {
    SEEDS.iter().for_each(|seed| compare_waits(*seed));
}

fn compare_waits(seed: u64) {
    let all = [light(), heavy()].concat();
    let alone = simulate(&light(), QueueOrder::Fair, seed, DURATION_MS);
    let fair = simulate(&all, QueueOrder::Fair, seed, DURATION_MS);
    let fcfs = simulate(&all, QueueOrder::FirstComeFirstServed, seed, DURATION_MS);
    for name in LIGHT {
        let (alone, fair, fcfs) = (alone[name].p95(), fair[name].p95(), fcfs[name].p95());
        println!(
            "seed {seed}, {name}: p95 ms alone {alone}, fair {fair}, first come first served {fcfs}"
        );
        assert!(fair <= alone + TOKENS, "{name} waits {fair} ms, {alone} ms alone");
        assert!(fcfs > alone + TOKENS, "first come first served is no better for {name}");
    }
    for name in LIGHT {
        assert_eq!(fair[name].refused, 0, "{name} is never refused");
    }
}

#[test]
fn heavy_customers_get_all_that_is_left() {
    let all = [light(), heavy()].concat();
    let outcomes = simulate(&all, QueueOrder::Fair, SEED, DURATION_MS);
    let capacity = u64::try_from(SLOTS).unwrap() * DURATION_MS;
    let light: u64 = LIGHT.iter().map(|name| outcomes[name].tokens).sum();
    let [first, second] = HEAVY.map(|name| outcomes[name].tokens);
    println!("tokens: capacity {capacity}, light {light}, heavy {first} and {second}");
    assert!(within_percent(capacity - light, first + second, 1), "no slot stays empty");
    assert!(within_percent(first, second, 1), "the heavy ones share evenly");
    assert!(worst_p95(HEAVY.iter().map(|name| &outcomes[name])) > TOKENS);
}

#[test]
fn a_share_does_not_depend_on_the_number_of_entries() {
    let mut loads = heavy();
    loads[0].entries = 20;
    let outcomes = simulate(&loads, QueueOrder::Fair, SEED, DURATION_MS);
    let [many, one] = HEAVY.map(|name| outcomes[name].tokens);
    println!("tokens: by 20 entries {many}, by one {one}");
    assert!(within_percent(many, one, 1));
}

#[test]
fn shares_follow_weights() {
    let mut loads = heavy();
    loads[0].weight = 3;
    let outcomes = simulate(&loads, QueueOrder::Fair, SEED, DURATION_MS);
    let [three, one] = HEAVY.map(|name| outcomes[name].tokens);
    println!("tokens: weight 3 {three}, weight 1 {one}");
    assert!(within_percent(three, 3 * one, 3));
}

#[test]
fn shares_follow_the_tokens_used_not_those_estimated() {
    let mut loads = heavy();
    loads[0].estimated = TOKENS / 10;
    let outcomes = simulate(&loads, QueueOrder::Fair, SEED, DURATION_MS);
    let [low, right] = HEAVY.map(|name| outcomes[name].tokens);
    println!("tokens: estimated too low {low}, estimated rightly {right}");
    assert!(within_percent(right, low, 5));
}
