//! Proves the rules of docs/CONFIGURATION.md on several replicas, a model of the store and a
//! passed-in clock, under faults.

use std::collections::BTreeSet;

use bitternwall::config::options::{Guards, Timing};
use bitternwall::config::progress::InForce;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestCaseError, TestRng, TestRunner};

use fleet::{Fault, Fleet};

#[path = "configuration/fleet.rs"]
mod fleet;
#[path = "configuration/model.rs"]
mod model;
#[path = "configuration/tables.rs"]
mod tables;

const ENTRIES: usize = 3;
const AGENTS: usize = 1;
const PROCESSES: usize = 2 * (ENTRIES + AGENTS);
const STEPS_PER_SECOND: u64 = 20;
const START_STEPS: u64 = 5 * STEPS_PER_SECOND;
const PLAN_STEPS: u64 = 20 * STEPS_PER_SECOND;
const CASES: u32 = 200;
const TARGET_ENTRIES: usize = 41;
const TARGET_DATA_CENTRES: usize = 39;
const STORE_READS_PER_SECOND: usize = 2_000;
const SCENARIO_SEEDS: u64 = 20;
const SCENARIO_STEPS: u64 = 10 * STEPS_PER_SECOND;
const LEKKI: u32 = 0b1111_0000;

/// A size of fleet, with the seconds in which it must converge.
struct Size {
    timing: Timing,
    converges_within: u64,
}

const SMALL: Size = Size { timing: Timing::SMALL, converges_within: 5 };
const LARGE: Size = Size { timing: Timing::LARGE, converges_within: 18 };

#[derive(Clone, Debug)]
struct Plan {
    seed: u64,
    faults: Vec<(u64, Fault)>,
}

fn fault() -> impl Strategy<Value = Fault> {
    let steps = 1..200_u32;
    let sides = prop_oneof![
        3 => any::<u32>(),
        2 => (0..PROCESSES).prop_map(|index| 1 << index),
        2 => (0..PROCESSES, 0..PROCESSES).prop_map(|(a, b)| 1 << a | 1 << b),
        1 => Just(1 << 31),
        1 => Just(0b1111),
    ];
    prop_oneof![
        6 => (0..4_u8).prop_map(Fault::Put),
        3 => (0..4_u8).prop_map(Fault::Delete),
        2 => steps.clone().prop_map(Fault::StoreDown),
        5 => (sides, steps.clone()).prop_map(|(side, steps)| Fault::Cut(side, steps)),
        3 => (0..PROCESSES, 1..100_u32, steps.clone()).prop_map(|(i, l, s)| Fault::Slow(i, l, s)),
        3 => (0..PROCESSES, steps.clone()).prop_map(|(i, s)| Fault::Pause(i, s)),
        4 => (0..PROCESSES, 1..60_u32).prop_map(|(i, s)| Fault::Restart(i, s)),
        2 => (1..60_u32, steps).prop_map(|(percent, steps)| Fault::Loss(percent, steps)),
        2 => (0..PROCESSES, any::<u32>()).prop_map(|(i, viewers)| Fault::Unlist(i, viewers)),
        1 => Just(Fault::Compact),
        1 => (1..9_u8).prop_map(Fault::Elsewhere),
    ]
}

fn plan() -> impl Strategy<Value = Plan> {
    let faults = prop::collection::vec((0..PLAN_STEPS, fault()), 5..40);
    (any::<u64>(), faults).prop_map(|(seed, mut faults)| {
        faults.sort_by_key(|(step, _)| *step);
        Plan { seed, faults }
    })
}

fn started(seed: u64, guards: Guards) -> Fleet {
    started_with(ENTRIES, Timing::SMALL, seed, guards)
}

fn started_with(entries: usize, timing: Timing, seed: u64, guards: Guards) -> Fleet {
    let mut fleet = Fleet::new(entries, AGENTS, seed, timing, guards);
    fleet.store.put("key-0");
    let limit = if timing == Timing::SMALL { START_STEPS } else { 4 * START_STEPS };
    fleet.run(limit);
    fleet
}

fn run(plan: &Plan, size: &Size, guards: Guards) -> Result<(), TestCaseError> {
    let mut fleet = started_with(ENTRIES, size.timing, plan.seed, guards);
    prop_assert!(fleet.has_converged(), "the fleet does not start");
    let mut faults = plan.faults.iter().peekable();
    for step in 0..PLAN_STEPS {
        while let Some((_, fault)) = faults.next_if(|(at, _)| *at <= step) {
            fleet.inject(fault);
        }
        fleet.advance();
    }
    fleet.heal();
    fleet.store.put("key-last");
    fleet.run(size.converges_within * STEPS_PER_SECOND);
    prop_assert!(fleet.faults.is_empty(), "{:?}", fleet.faults.first());
    prop_assert!(fleet.has_converged(), "no convergence after the faults");
    Ok(())
}

fn explore(size: &Size, guards: Guards, cases: u32) -> Result<(), String> {
    let config =
        Config { cases, failure_persistence: None, max_shrink_iters: 0, ..Config::default() };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    TestRunner::new_with_rng(config, rng)
        .run(&plan(), |plan| run(&plan, size, guards))
        .map_err(|error| error.to_string())
}

#[test]
fn no_process_goes_back_and_in_force_is_never_said_too_early() {
    if let Err(error) = explore(&SMALL, Guards::default(), CASES) {
        panic!("{error}");
    }
}

#[test]
fn the_times_of_the_target_size_hold_as_well() {
    if let Err(error) = explore(&LARGE, Guards::default(), CASES) {
        panic!("{error}");
    }
}

/// Runs plans with one mechanism off until the checker sees a promise broken.
fn assert_caught(switch_off: fn(&mut Guards), expected: &str) {
    let mut guards = Guards::default();
    switch_off(&mut guards);
    let error = explore(&SMALL, guards, CASES).expect_err("the checker sees nothing without it");
    assert!(error.contains(expected), "{error}");
}

#[test]
fn the_checker_sees_a_state_that_goes_back() {
    assert_caught(|guards| guards.forward_only = false, "went back");
}

#[test]
fn the_checker_sees_a_gap() {
    assert_caught(|guards| guards.no_gaps = false, "another state");
}

#[test]
fn the_checker_sees_heartbeats_that_are_dated_by_arrival() {
    assert_caught(|guards| guards.echo_timestamps = false, "is in force");
}

#[test]
fn the_checker_sees_peers_that_keep_each_other_fresh() {
    assert_caught(|guards| guards.age = false, "is in force");
}

#[test]
fn the_checker_sees_serving_without_a_majority() {
    assert_caught(|guards| guards.majority = false, "is in force");
}

#[test]
fn the_checker_sees_silent_processes_counted_out_at_once() {
    assert_caught(|guards| guards.silence_wait = false, "is in force");
}

/// Runs one sequence of faults under many seeds and returns how often a promise was broken.
fn broken_promises(faults: &[(u64, Fault)], guards: Guards) -> usize {
    let broken = (0..SCENARIO_SEEDS).filter(|&seed| {
        let mut fleet = started(seed, guards);
        let mut faults = faults.iter().peekable();
        for step in 0..SCENARIO_STEPS {
            while let Some((_, fault)) = faults.next_if(|(at, _)| *at <= step) {
                fleet.inject(fault);
            }
            fleet.advance();
        }
        fleet.faults.iter().any(|fault| fault.contains("is in force"))
    });
    broken.count()
}

/// The last life acknowledged a revision; the new one learns an older from a data centre that
/// has been cut off just now.
#[test]
fn a_new_life_does_not_serve_on_knowledge_from_before_its_start() {
    let faults = [
        (0, Fault::Cut(LEKKI, 400)),
        (1, Fault::Put(1)),
        (10, Fault::Cut(LEKKI | 1, 400)),
        (10, Fault::Restart(0, 1)),
    ];
    assert_eq!(broken_promises(&faults, Guards::default()), 0);
    let guards = Guards { join_barrier: false, ..Guards::default() };
    assert!(broken_promises(&faults, guards) > 0, "the checker sees nothing without it");
}

/// One of a majority restarts empty and learns from the minority what was in force before.
#[test]
fn a_new_life_has_no_vote_before_it_knows_what_its_last_life_did() {
    let faults = [
        (0, Fault::Cut(0b100, 400)),
        (1, Fault::Put(1)),
        (24, Fault::Cut(0b110, 400)),
        (24, Fault::Restart(1, 1)),
    ];
    assert_eq!(broken_promises(&faults, Guards::default()), 0);
    let guards = Guards { vote_barrier: false, ..Guards::default() };
    assert!(broken_promises(&faults, guards) > 0, "the checker sees nothing without it");
}

/// Returns the steps until a change is said to be in force, with an entry that reads the store,
/// another entry and an agent killed at the change.
fn steps_until_in_force(timing: Timing, entries: usize, seed: u64) -> u64 {
    let mut fleet = started_with(entries, timing, seed, Guards::default());
    let reader = fleet.store.watches[0].owner.0;
    let other = (0..entries).find(|index| *index != reader).expect("there are several");
    for index in [reader, other, entries] {
        fleet.inject(&Fault::Restart(index, u32::MAX));
    }
    fleet.store.put("key-1");
    let start = fleet.step;
    while !fleet.says_in_force() && fleet.step < start + 60 * STEPS_PER_SECOND {
        fleet.advance();
    }
    assert!(fleet.faults.is_empty(), "{:?}", fleet.faults);
    fleet.step - start
}

#[test]
fn a_change_is_in_force_in_time_with_one_process_of_each_kind_killed() {
    for (timing, entries, limit) in [(Timing::SMALL, 5, 5), (Timing::LARGE, 7, 18)] {
        let slowest = (0..SCENARIO_SEEDS).map(|seed| steps_until_in_force(timing, entries, seed));
        let slowest = slowest.max().expect("there are seeds");
        println!("in force within {} ms of {limit} s", slowest * 1000 / STEPS_PER_SECOND);
        assert!(slowest <= limit * STEPS_PER_SECOND, "{slowest} steps for {limit} s");
    }
}

/// With the store down for three minutes, each process restarts empty in turn.
#[test]
fn serving_goes_on_and_restarts_catch_up_without_the_store() {
    let mut fleet = started(7, Guards::default());
    let start = fleet.step;
    fleet.inject(&Fault::StoreDown(180 * 20));
    let mut slowest = 0;
    while fleet.step < start + 180 * STEPS_PER_SECOND {
        let round = (fleet.step - start) / (10 * STEPS_PER_SECOND);
        let restarting = usize::try_from(round).unwrap() % PROCESSES;
        if (fleet.step - start).is_multiple_of(10 * STEPS_PER_SECOND) {
            fleet.inject(&Fault::Restart(restarting, 20));
        }
        fleet.advance();
        for index in 0..PROCESSES {
            let since = fleet.step - fleet.processes[index].started_step;
            if index != restarting {
                assert!(fleet.may_serve(index), "{index} stopped at step {}", fleet.step);
            } else if fleet.is_running(index) && !fleet.may_serve(index) {
                slowest = slowest.max(since);
                assert!(since < 5 * STEPS_PER_SECOND, "{index} restarts for {since} steps");
            }
        }
    }
    println!("a restart serves within {} ms", slowest * 1000 / STEPS_PER_SECOND);
    assert!(fleet.faults.is_empty(), "{:?}", fleet.faults);
}

/// A data centre of the target size keeps within its share of a quarter of the store's reads,
/// through an outage, at its end and when all its entries return at once.
#[test]
fn the_store_is_not_stampeded() {
    let mut fleet = started_with(TARGET_ENTRIES, Timing::LARGE, 3, Guards::default());
    assert!(fleet.has_converged(), "the fleet does not start");
    let steady_from = fleet.step;
    fleet.run(10 * STEPS_PER_SECOND);
    let steady = fleet.store.peak_calls(steady_from, STEPS_PER_SECOND);
    let outage_from = fleet.step;
    fleet.inject(&Fault::StoreDown(40 * 20));
    fleet.run(70 * STEPS_PER_SECOND);
    let outage = fleet.store.peak_calls(outage_from, STEPS_PER_SECOND);
    let (return_from, reads) = (fleet.step, fleet.store.reads);
    for index in 0..fleet.processes.len() {
        fleet.inject(&Fault::Restart(index, 20));
    }
    fleet.run(25 * STEPS_PER_SECOND);
    let back = fleet.store.peak_calls(return_from, STEPS_PER_SECOND);
    let reads = fleet.store.reads - reads;
    println!("two data centres: steady {steady}, outage {outage}, return {back}, {reads} ranges");
    assert!(fleet.has_converged(), "the fleet does not come back");
    let share = 2 * STORE_READS_PER_SECOND / 4 / TARGET_DATA_CENTRES;
    assert!(steady.max(outage).max(back) <= share, "{steady}, {outage}, {back} of {share}");
    assert!(reads <= 4 * fleet::DATA_CENTRES.len(), "{reads} ranges read");
}

/// Returns how many entries of each data centre watch the store.
fn watching(fleet: &Fleet) -> [usize; 2] {
    let owners: BTreeSet<_> = fleet.store.watches.iter().map(|watch| watch.owner.0).collect();
    let places = owners.iter().map(|&owner| fleet.processes[owner].data_centre);
    let in_first = places.filter(|place| *place == 0).count();
    [in_first, owners.len() - in_first]
}

#[test]
fn two_entries_of_each_data_centre_watch_and_others_take_over() {
    let mut fleet = started_with(5, Timing::SMALL, 11, Guards::default());
    assert_eq!(watching(&fleet), [2, 2]);
    let readers: BTreeSet<_> = fleet.store.watches.iter().map(|watch| watch.owner.0).collect();
    for &reader in &readers {
        fleet.inject(&Fault::Restart(reader, u32::MAX));
        fleet.store.watches.retain(|watch| watch.owner.0 != reader);
    }
    fleet.run(3 * STEPS_PER_SECOND);
    assert_eq!(watching(&fleet), [2, 2], "others take over within 3 s");
    assert!(fleet.store.watches.iter().all(|watch| !readers.contains(&watch.owner.0)));
}

/// A data centre that is cut off as a whole serves on, and the others name it.
#[test]
fn a_data_centre_that_cannot_be_reached_is_named() {
    let mut fleet = started(5, Guards::default());
    fleet.inject(&Fault::Cut(LEKKI, 30 * 20));
    fleet.run(10 * STEPS_PER_SECOND);
    fleet.store.put("key-1");
    fleet.run(10 * STEPS_PER_SECOND);
    let unreachable =
        InForce::Unreachable { data_centres: vec!["lekki".to_owned()], waiting: Vec::new() };
    for index in 0..PROCESSES {
        assert!(fleet.may_serve(index));
        let told = fleet.told_by(index);
        assert_eq!(told == unreachable, index < PROCESSES / 2, "{index} says {told:?}");
    }
    fleet.run(15 * STEPS_PER_SECOND);
    assert!(fleet.has_converged());
}
