//! The proofs of docs/EXPERT_MAPS.md: one map in every step, no lasting block, and the planner's
//! promises on the group model.

use bitternwall::expert_map::protocol::{Safeguards, Step};
use proptest::prelude::*;
use proptest::test_runner::{RngSeed, TestRunner};

#[allow(dead_code, reason = "the bench uses the rest of the model")]
#[path = "../benches/support/group.rs"]
mod group;
#[path = "expert_maps/world.rs"]
mod world;

use world::{Fault, Network, Rules, StoreMode, World};

/// Ticks of a run with faults.
const FAULTY_TICKS: u64 = 600;
/// Ticks within which a healed group goes on: the timeouts of preparing and arming, twice.
const HEALING_TICKS: u64 = 500;
/// Ticks in which a group that is not blocked must advance.
const WATCHED_TICKS: u64 = 60;
const SEED: u64 = 0x6269_7474;

const RULES: Rules = Rules {
    ranks: 3,
    safeguards: Safeguards { fencing: true, lives: true, all_armed: true, forward: true },
    hold: true,
    engines_check: false,
};

fn runner(cases: u32) -> TestRunner {
    let rng_seed = RngSeed::Fixed(SEED);
    TestRunner::new(ProptestConfig {
        cases,
        rng_seed,
        failure_persistence: None,
        ..ProptestConfig::default()
    })
}

fn any_network() -> impl Strategy<Value = Network> {
    (0u64..40, 0u64..30, 0u64..50, 1u64..120)
        .prop_map(|(lost, doubled, late, late_ticks)| Network { lost, doubled, late, late_ticks })
}

/// Faults after which all ranks of the group still live.
fn survivable() -> impl Strategy<Value = Fault> {
    prop_oneof![
        4 => Just(Fault::Want),
        4 => (0usize..64).prop_map(Fault::KillAgent),
        2 => (0usize..64, 1u64..200).prop_map(|(host, ticks)| Fault::PauseAgent(host, ticks)),
        2 => (0usize..64, 1u64..60).prop_map(|(host, ticks)| Fault::StallEngine(host, ticks)),
        2 => any_network().prop_map(Fault::Network),
        1 => prop_oneof![
            Just(StoreMode::Up),
            Just(StoreMode::Down),
            Just(StoreMode::AnswersLost),
            Just(StoreMode::Mixed)
        ].prop_map(Fault::Store),
    ]
}

fn any_fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        10 => survivable(),
        1 => (0usize..64).prop_map(Fault::KillEngine),
        1 => Just(Fault::ReplaceRankZero),
    ]
}

fn script(fault: impl Strategy<Value = Fault>) -> impl Strategy<Value = Vec<(u64, Fault)>> {
    prop::collection::vec((0u64..FAULTY_TICKS, fault), 5..40).prop_map(|mut faults| {
        faults.sort_by_key(|(tick, _)| *tick);
        faults
    })
}

fn within(fault: Fault, ranks: usize) -> Fault {
    match fault {
        Fault::KillAgent(host) => Fault::KillAgent(host % ranks),
        Fault::PauseAgent(host, ticks) => Fault::PauseAgent(host % ranks, ticks),
        Fault::KillEngine(host) => Fault::KillEngine(host % ranks),
        Fault::StallEngine(host, ticks) => Fault::StallEngine(host % ranks, ticks),
        other => other,
    }
}

fn run(rules: Rules, seed: u64, script: &[(u64, Fault)]) -> World {
    let mut world = World::new(rules, seed);
    world.run(40);
    let mut faults = script.iter().peekable();
    for tick in 0..FAULTY_TICKS {
        while let Some((_, fault)) = faults.next_if(|(at, _)| *at <= tick) {
            world.inject(within(*fault, rules.ranks));
        }
        world.step();
    }
    world
}

fn advances(world: &mut World) -> bool {
    world.run(HEALING_TICKS);
    let (incarnation, step) = world.progress();
    world.run(WATCHED_TICKS);
    let (later_incarnation, later) = world.progress();
    later_incarnation == incarnation && later > Step(step.0 + WATCHED_TICKS / 4)
}

#[test]
fn no_step_has_two_maps_and_a_group_recovers() {
    let cases = (2usize..=32, any::<bool>(), any::<u64>(), script(any_fault()));
    let proof = runner(400).run(&cases, |(ranks, engines_check, seed, script)| {
        let mut world = run(Rules { ranks, engines_check, ..RULES }, seed, &script);
        world.heal();
        world.inject(Fault::Store(StoreMode::Up));
        prop_assert!(advances(&mut world), "blocked in {:?}", world.phase());
        let before = world.switched;
        world.inject(Fault::Want);
        world.run(HEALING_TICKS);
        prop_assert!(world.switched > before, "no switch in {:?}", world.phase());
        prop_assert_eq!(world.violation, None);
        Ok(())
    });
    proof.unwrap();
}

#[test]
fn a_group_whose_ranks_live_goes_on_while_the_store_stays_down() {
    let cases = (2usize..=32, any::<bool>(), any::<u64>(), script(survivable()));
    let proof = runner(300).run(&cases, |(ranks, engines_check, seed, script)| {
        let mut world = run(Rules { ranks, engines_check, ..RULES }, seed, &script);
        world.heal();
        world.inject(Fault::Store(StoreMode::Down));
        prop_assert!(advances(&mut world), "blocked in {:?}", world.phase());
        prop_assert_eq!(world.violation, None);
        Ok(())
    });
    proof.unwrap();
}
