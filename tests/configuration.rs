//! Checks the rules of docs/CONFIGURATION.md on several replicas, a model of the store and a
//! simulated clock, under random faults.

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
const PLANNED_ENTRIES: usize = 41;
const PLANNED_DATA_CENTRES: usize = 39;
const STORE_READS_PER_SECOND: usize = 2_000;
const SCENARIO_SEEDS: u64 = 20;
const SCENARIO_STEPS: u64 = 10 * STEPS_PER_SECOND;
/// The bits of all processes of the second data centre in a [`Fault::Cut`].
const LEKKI_PROCESSES: u32 = 0b1111_0000;

/// The timing for a fleet size, with the seconds within which the fleet must converge.
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
        1 => (1..9_u8).prop_map(Fault::OtherKeys),
    ]
}

fn plan() -> impl Strategy<Value = Plan> {
    let faults = prop::collection::vec((0..PLAN_STEPS, fault()), 5..40);
    (any::<u64>(), faults).prop_map(|(seed, mut faults)| {
        faults.sort_by_key(|(step, _)| *step);
        Plan { seed, faults }
    })
}

fn start_fleet(seed: u64, guards: Guards) -> Fleet {
    start_fleet_with(ENTRIES, Timing::SMALL, seed, guards)
}

fn start_fleet_with(entries: usize, timing: Timing, seed: u64, guards: Guards) -> Fleet {
    let mut fleet = Fleet::new(entries, AGENTS, seed, timing, guards);
    fleet.store.put("key-0");
    let limit = if timing == Timing::SMALL { START_STEPS } else { 4 * START_STEPS };
    fleet.run(limit);
    fleet
}

fn run(plan: &Plan, size: &Size, guards: Guards) -> Result<(), TestCaseError> {
    let mut fleet = start_fleet_with(ENTRIES, size.timing, plan.seed, guards);
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
    prop_assert!(fleet.violations.is_empty(), "{:?}", fleet.violations.first());
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
fn no_process_goes_back_and_in_force_is_never_reported_too_early() {
    if let Err(error) = explore(&SMALL, Guards::default(), CASES) {
        panic!("{error}");
    }
}

#[test]
fn the_timing_for_the_planned_fleet_size_is_safe_as_well() {
    if let Err(error) = explore(&LARGE, Guards::default(), CASES) {
        panic!("{error}");
    }
}

/// Runs plans with one guard disabled until the checker detects a violation.
fn assert_detected(switch_off: fn(&mut Guards), expected: &str) {
    let mut guards = Guards::default();
    switch_off(&mut guards);
    let error = explore(&SMALL, guards, CASES).expect_err("the checker sees nothing without it");
    assert!(error.contains(expected), "{error}");
}

#[test]
fn the_checker_sees_a_state_that_goes_back() {
    assert_detected(|guards| guards.forward_only = false, "went back");
}

#[test]
fn the_checker_sees_a_gap() {
    assert_detected(|guards| guards.no_gaps = false, "another state");
}

#[test]
fn the_checker_sees_heartbeats_that_are_dated_by_arrival() {
    assert_detected(|guards| guards.echo_timestamps = false, "is in force");
}

#[test]
fn the_checker_sees_peers_that_keep_each_other_fresh() {
    assert_detected(|guards| guards.age = false, "is in force");
}

#[test]
fn the_checker_sees_serving_without_a_majority() {
    assert_detected(|guards| guards.majority = false, "is in force");
}

#[test]
fn the_checker_sees_silent_processes_ignored_at_once() {
    assert_detected(|guards| guards.silence_wait = false, "is in force");
}

/// Runs one sequence of faults with many seeds and returns in how many of the runs a process
/// served an older state than the one reported as in force.
fn count_violations(faults: &[(u64, Fault)], guards: Guards) -> usize {
    let broken = (0..SCENARIO_SEEDS).filter(|&seed| {
        let mut fleet = start_fleet(seed, guards);
        let mut faults = faults.iter().peekable();
        for step in 0..SCENARIO_STEPS {
            while let Some((_, fault)) = faults.next_if(|(at, _)| *at <= step) {
                fleet.inject(fault);
            }
            fleet.advance();
        }
        fleet.violations.iter().any(|violation| violation.contains("is in force"))
    });
    broken.count()
}

/// The previous incarnation acknowledged a revision; the new one receives an older revision from
/// a data centre that has just been cut off from the rest.
#[test]
fn a_new_incarnation_does_not_serve_a_state_confirmed_before_its_start() {
    let faults = [
        (0, Fault::Cut(LEKKI_PROCESSES, 400)),
        (1, Fault::Put(1)),
        (10, Fault::Cut(LEKKI_PROCESSES | 1, 400)),
        (10, Fault::Restart(0, 1)),
    ];
    assert_eq!(count_violations(&faults, Guards::default()), 0);
    let guards = Guards { join_barrier: false, ..Guards::default() };
    assert!(count_violations(&faults, guards) > 0, "the checker sees nothing without it");
}

/// A process of the majority restarts without a state and receives from the minority the state
/// that was in force before.
#[test]
fn a_new_incarnation_has_no_vote_before_it_knows_what_the_last_one_acknowledged() {
    let faults = [
        (0, Fault::Cut(0b100, 400)),
        (1, Fault::Put(1)),
        (24, Fault::Cut(0b110, 400)),
        (24, Fault::Restart(1, 1)),
    ];
    assert_eq!(count_violations(&faults, Guards::default()), 0);
    let guards = Guards { vote_barrier: false, ..Guards::default() };
    assert!(count_violations(&faults, guards) > 0, "the checker sees nothing without it");
}

/// Returns the number of steps until a change is reported to be in force, with a store reader,
/// another entry and an agent killed at the change.
fn steps_until_in_force(timing: Timing, entries: usize, seed: u64) -> u64 {
    let mut fleet = start_fleet_with(entries, timing, seed, Guards::default());
    let reader = fleet.store.watches[0].owner.0;
    let other = (0..entries).find(|index| *index != reader).expect("there are several");
    for index in [reader, other, entries] {
        fleet.inject(&Fault::Restart(index, u32::MAX));
    }
    fleet.store.put("key-1");
    let start = fleet.step;
    while !fleet.reports_in_force() && fleet.step < start + 60 * STEPS_PER_SECOND {
        fleet.advance();
    }
    assert!(fleet.violations.is_empty(), "{:?}", fleet.violations);
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

/// While the store is down for three minutes, the processes restart without a state, one by one.
#[test]
fn serving_continues_and_restarts_catch_up_without_the_store() {
    let mut fleet = start_fleet(7, Guards::default());
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
    assert!(fleet.violations.is_empty(), "{:?}", fleet.violations);
}

/// A data centre of the planned size stays within its share of a quarter of the store's read
/// capacity: in normal operation, during an outage, at its end, and when all entries restart at
/// once.
#[test]
fn the_store_is_not_stampeded() {
    let mut fleet = start_fleet_with(PLANNED_ENTRIES, Timing::LARGE, 3, Guards::default());
    assert!(fleet.has_converged(), "the fleet does not start");
    let steady_from = fleet.step;
    fleet.run(10 * STEPS_PER_SECOND);
    let steady = fleet.store.peak_calls(steady_from, STEPS_PER_SECOND);
    let outage_from = fleet.step;
    fleet.inject(&Fault::StoreDown(40 * 20));
    fleet.run(70 * STEPS_PER_SECOND);
    let outage = fleet.store.peak_calls(outage_from, STEPS_PER_SECOND);
    let (restart_from, reads) = (fleet.step, fleet.store.reads);
    for index in 0..fleet.processes.len() {
        fleet.inject(&Fault::Restart(index, 20));
    }
    fleet.run(25 * STEPS_PER_SECOND);
    let restart = fleet.store.peak_calls(restart_from, STEPS_PER_SECOND);
    let reads = fleet.store.reads - reads;
    println!(
        "two data centres: steady {steady}, outage {outage}, return {restart}, {reads} ranges"
    );
    assert!(fleet.has_converged(), "the fleet does not recover");
    let share = 2 * STORE_READS_PER_SECOND / 4 / PLANNED_DATA_CENTRES;
    assert!(steady.max(outage).max(restart) <= share, "{steady}, {outage}, {restart} of {share}");
    assert!(reads <= 4 * fleet::DATA_CENTRES.len(), "{reads} ranges read");
}

/// Returns the number of entries of each data centre that watch the store.
fn watching(fleet: &Fleet) -> [usize; 2] {
    let owners: BTreeSet<_> = fleet.store.watches.iter().map(|watch| watch.owner.0).collect();
    let data_centres = owners.iter().map(|&owner| fleet.processes[owner].data_centre);
    let in_first = data_centres.filter(|data_centre| *data_centre == 0).count();
    [in_first, owners.len() - in_first]
}

#[test]
fn two_entries_of_each_data_centre_watch_and_others_take_over() {
    let mut fleet = start_fleet_with(5, Timing::SMALL, 11, Guards::default());
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

/// A data centre that is cut off as a whole continues to serve, and the others report its name.
#[test]
fn a_data_centre_that_cannot_be_reached_is_named() {
    let mut fleet = start_fleet(5, Guards::default());
    fleet.inject(&Fault::Cut(LEKKI_PROCESSES, 30 * 20));
    fleet.run(10 * STEPS_PER_SECOND);
    fleet.store.put("key-1");
    fleet.run(10 * STEPS_PER_SECOND);
    let unreachable =
        InForce::Unreachable { data_centres: vec!["lekki".to_owned()], waiting: Vec::new() };
    for index in 0..PROCESSES {
        assert!(fleet.may_serve(index));
        let reported = fleet.reported_by(index);
        assert_eq!(reported == unreachable, index < PROCESSES / 2, "{index} reports {reported:?}");
    }
    fleet.run(15 * STEPS_PER_SECOND);
    assert!(fleet.has_converged());
}
