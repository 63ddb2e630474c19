//! Property tests of the switch: all ranks of a group begin each step with the same map, even if
//! orders are lost or coordinators fail, and after the faults the group accepts new maps again.

use proptest::prelude::*;
use proptest::test_runner::{RngSeed, TestRunner};

#[path = "rank_switch/world.rs"]
mod world;

use world::{Fault, Network, Rules, World};

/// Number of 10 ms ticks in a run with faults.
const FAULTY_TICKS: u64 = 3_000;
/// Ticks within which a healed group uses a new map; late orders arrive within 12 s.
const HEALING_TICKS: u64 = 3_000;
const SEED: u64 = 0x7261_6e6b;

const RULES: Rules = Rules {
    ranks: 4,
    rearming: false,
    prepare_discards: false,
    hold: true,
    distinct_numbers: true,
};

fn runner(cases: u32, seed: u64) -> TestRunner {
    TestRunner::new(ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        ..ProptestConfig::default()
    })
}

fn any_network() -> impl Strategy<Value = Network> {
    (0u64..25, 0u64..25, 0u64..45).prop_map(|(lost, unanswered, late)| Network {
        lost,
        unanswered,
        late,
    })
}

fn any_fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        8 => (0usize..2).prop_map(Fault::RequestSwitch),
        3 => (0usize..2, 1u64..500).prop_map(|(who, ticks)| Fault::Pause(who, ticks)),
        2 => (0usize..2).prop_map(Fault::Restart),
        4 => (0usize..2, any::<bool>()).prop_map(|(who, is_coordinator)| Fault::SetCoordinating(who, is_coordinator)),
        1 => Just(Fault::FailRank),
        1 => (1u64..300).prop_map(Fault::Idle),
        3 => any_network().prop_map(Fault::Network),
    ]
}

fn script() -> impl Strategy<Value = Vec<(u64, Fault)>> {
    prop::collection::vec((0u64..FAULTY_TICKS, any_fault()), 10..80).prop_map(|mut faults| {
        faults.sort_by_key(|(tick, _)| *tick);
        faults
    })
}

fn run_with_faults(rules: Rules, seed: u64, script: &[(u64, Fault)]) -> Result<World, String> {
    let mut world = World::new(rules, seed);
    let mut faults = script.iter().peekable();
    for tick in 0..FAULTY_TICKS {
        while let Some((_, fault)) = faults.next_if(|(at, _)| *at <= tick) {
            world.apply(*fault);
        }
        world.advance()?;
    }
    Ok(world)
}

/// Continues without faults until a new map is in use.
fn recover(world: &mut World) -> Result<(), String> {
    world.heal();
    let (switches, step) = (world.switches, world.step);
    for tick in 0..HEALING_TICKS {
        if tick % 100 == 50 {
            world.request_switch(0);
        }
        world.advance()?;
        if world.switches > switches + 1 && world.step > step && world.is_settled() {
            return Ok(());
        }
    }
    Err(format!(
        "no new map after {HEALING_TICKS} ticks; {} switches, step {}",
        world.switches, world.step
    ))
}

fn assert_holds(rules: Rules, cases: u32) {
    assert_holds_from(SEED, rules, cases);
}

fn assert_holds_from(seed: u64, rules: Rules, cases: u32) {
    let strategy = (any::<u64>(), script());
    let outcome = runner(cases, seed).run(&strategy, |(seed, script)| {
        let seed = seed % 3_000;
        let mut world = run_with_faults(rules, seed, &script).map_err(TestCaseError::fail)?;
        recover(&mut world).map_err(TestCaseError::fail)?;
        Ok(())
    });
    if let Err(error) = outcome {
        panic!("{error}");
    }
}

fn is_violated(rules: Rules) -> bool {
    let strategy = (any::<u64>(), script());
    let outcome = runner(400, SEED).run(&strategy, |(seed, script)| {
        run_with_faults(rules, seed % 3_000, &script).map(drop).map_err(TestCaseError::fail)
    });
    outcome.is_err()
}

#[test]
fn every_step_begins_with_one_map() {
    assert_holds(RULES, 1_000);
}

#[test]
fn one_map_when_a_rank_is_armed_while_it_loads_a_newer_version() {
    assert_holds_from(0x1234_5678, RULES, 6_000);
}

#[test]
fn every_step_of_a_large_group_begins_with_one_map() {
    assert_holds(Rules { ranks: 96, ..RULES }, 30);
}

#[test]
fn one_map_when_armed_ranks_accept_another_step() {
    assert_holds(Rules { rearming: true, ..RULES }, 400);
}

#[test]
fn one_map_when_loading_discards_what_was_prepared() {
    assert_holds(Rules { prepare_discards: true, ..RULES }, 400);
}

#[test]
fn a_group_without_faults_switches_promptly() {
    let mut world = World::new(RULES, 1);
    for _ in 0..50 {
        world.advance().expect("one map");
    }
    world.request_switch(0);
    for _ in 0..100 {
        world.advance().expect("one map");
    }
    assert_eq!(world.switches, 1);
    assert!(world.is_settled());
}

#[test]
fn without_holding_the_step_ranks_use_different_maps() {
    assert!(is_violated(Rules { hold: false, ..RULES }));
}

#[test]
fn without_distinct_numbers_ranks_use_different_maps() {
    assert!(is_violated(Rules { distinct_numbers: false, ..RULES }));
}
