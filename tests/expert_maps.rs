//! Property tests for docs/EXPERT_MAPS.md: all ranks use one map in every step, groups recover
//! after faults, and the planner keeps its guarantees on the group model.

use bitternwall::expert_map::coordinator::Phase;
use bitternwall::expert_map::protocol;
use proptest::prelude::*;
use proptest::strategy::ValueTree;
use proptest::test_runner::{RngSeed, TestRunner};

#[allow(dead_code, reason = "the bench uses the rest of the model")]
#[path = "../benches/support/group.rs"]
mod group;
#[path = "expert_maps/planning.rs"]
mod planning;
#[path = "expert_maps/world.rs"]
mod world;

use world::{Delivery, Fault, Network, Rules, StoreMode, World};

/// Ticks of a run with faults.
const FAULTY_TICKS: u64 = 600;
/// Ticks within which a healed group advances again: twice the timeouts of preparing and arming.
const HEALING_TICKS: u64 = 500;
/// Ticks during which a healed group is checked for progress.
const WATCHED_TICKS: u64 = 60;
const SEED: u64 = 0x6269_7474;

const RULES: Rules = Rules {
    ranks: 3,
    safeguards: protocol::Safeguards {
        fencing: true,
        incarnation_check: true,
        all_armed: true,
        roll_forward: true,
    },
    hold: true,
    lead_steps: 12,
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
    (0u64..40, 0u64..30, 0u64..50, 1u64..120).prop_map(|(lost, duplicated, late, late_ticks)| {
        Network { lost, duplicated, late, late_ticks }
    })
}

/// Faults in which no engine process dies.
fn survivable() -> impl Strategy<Value = Fault> {
    prop_oneof![
        4 => Just(Fault::RequestSwitch),
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
    let (group_incarnation, step) = world.progress();
    world.run(WATCHED_TICKS);
    let (later_group, later) = world.progress();
    later_group == group_incarnation && later > protocol::Step(step.0 + WATCHED_TICKS / 4)
}

#[test]
fn no_step_has_two_maps_and_a_group_recovers() {
    let cases = (2usize..=32, any::<bool>(), any::<u64>(), script(any_fault()));
    let proof = runner(250).run(&cases, |(ranks, engines_check, seed, script)| {
        let mut world = run(Rules { ranks, engines_check, ..RULES }, seed, &script);
        world.heal();
        world.inject(Fault::Store(StoreMode::Up));
        prop_assert!(advances(&mut world), "blocked in {:?}", world.phase());
        let before = world.switched;
        world.inject(Fault::RequestSwitch);
        world.run(HEALING_TICKS);
        prop_assert!(world.switched > before, "no switch in {:?}", world.phase());
        prop_assert_eq!(world.violation, None);
        Ok(())
    });
    proof.unwrap();
}

/// Guards against a new generation's coordinator that stays blocked: a rank refuses its order while
/// its swap of the record waits for the store.
#[test]
fn a_new_generation_forms_its_group_after_an_outage() {
    let script = [
        (0, Fault::PauseAgent(0, 1)),
        (0, Fault::RequestSwitch),
        (42, Fault::RequestSwitch),
        (61, Fault::RequestSwitch),
        (465, Fault::KillAgent(1)),
        (473, Fault::ReplaceRankZero),
        (474, Fault::Store(StoreMode::Down)),
    ];
    for ranks in [2, 8, 32] {
        for seed in 0..20 {
            let mut world = run(Rules { ranks, ..RULES }, seed, &script);
            world.heal();
            world.inject(Fault::Store(StoreMode::Up));
            assert!(advances(&mut world), "{ranks} ranks, seed {seed}: {:?}", world.phase());
            assert_eq!(world.violation, None);
        }
    }
}

/// All agents lose their state while the store is down, and the engines have seen a higher fencing
/// number.
#[test]
fn a_coordinator_learns_the_number_from_engines_that_check_it() {
    for (ranks, engines_check) in [(2, true), (2, false), (5, true)] {
        let mut world = World::new(Rules { ranks, engines_check, ..RULES }, SEED);
        world.run(40);
        (0..5).for_each(|_| {
            world.inject(Fault::RequestSwitch);
            world.run(60);
        });
        world.inject(Fault::RequestSwitch);
        world.run_until(|phase| matches!(phase, Phase::Arming(_)));
        world.run(3);
        world.inject(Fault::Store(StoreMode::Down));
        (0..ranks).for_each(|host| world.inject(Fault::KillAgent(host)));
        assert!(advances(&mut world), "{ranks} ranks: {:?}", world.phase());
        assert_eq!(world.violation, None);
    }
}

#[test]
fn a_group_without_rank_failures_advances_while_the_store_is_down() {
    let cases = (2usize..=32, any::<bool>(), any::<u64>(), script(survivable()));
    let proof = runner(150).run(&cases, |(ranks, engines_check, seed, script)| {
        let mut world = run(Rules { ranks, engines_check, ..RULES }, seed, &script);
        world.heal();
        world.inject(Fault::Store(StoreMode::Down));
        prop_assert!(advances(&mut world), "blocked in {:?}", world.phase());
        prop_assert_eq!(world.violation, None);
        Ok(())
    });
    proof.unwrap();
}

/// The lead covers arming and releasing: two round trips, each including the engine's queue.
#[test]
fn a_switch_without_faults_makes_no_rank_wait() {
    for ranks in [2, 8, 32] {
        let mut world = World::new(Rules { ranks, lead_steps: 30, ..RULES }, SEED);
        world.run(40);
        for _ in 0..10 {
            world.inject(Fault::RequestSwitch);
            world.run(90);
        }
        assert_eq!((world.switched, world.ticks_held), (10, 0));
        assert_eq!(world.violation, None);
    }
}

/// Searches for a case in which the weakened rules let two ranks use different maps, and checks
/// that the full rules pass the same case.
fn assert_prevents(rules: Rules) {
    let cases = (2usize..=5, any::<u64>(), script(any_fault()));
    let mut runner = runner(3000);
    for case in 0..3000 {
        let (ranks, seed, script) =
            cases.new_tree(&mut runner).expect("the strategies reject nothing").current();
        let found = run(Rules { ranks, ..rules }, seed, &script).violation;
        if let Some(found) = found {
            println!("case {case}: {found}");
            assert_eq!(run(Rules { ranks, ..RULES }, seed, &script).violation, None);
            return;
        }
    }
    panic!("no case violates the invariant under {rules:?}");
}

fn without_safeguard(change: fn(&mut protocol::Safeguards)) -> Rules {
    let mut rules = RULES;
    change(&mut rules.safeguards);
    rules
}

#[test]
fn holding_at_the_armed_step_is_needed() {
    assert_prevents(Rules { hold: false, ..RULES });
}

#[test]
fn arming_on_all_ranks_is_needed() {
    assert_prevents(without_safeguard(|safeguards| safeguards.all_armed = false));
}

#[test]
fn rolling_forward_after_a_release_is_needed() {
    assert_prevents(without_safeguard(|safeguards| safeguards.roll_forward = false));
}

/// The first coordinator's release reaches rank 1 late and no other rank. The coordinator restarts
/// without its state, and its order to disarm does not reach rank 1.
fn late_release(rules: Rules, restart_rank_one: bool) -> World {
    let mut world = World::new(rules, SEED);
    world.run(40);
    let first = world.process_incarnation(0).expect("host 0 runs");
    world.deliver_orders(move |rank, order| match (order.command, rank) {
        (protocol::Command::Release(_), 1) if order.fence.coordinator == first => {
            Delivery::After(100)
        }
        (protocol::Command::Release(_), _) if order.fence.coordinator == first => Delivery::Lost,
        (protocol::Command::Disarm(_), 1) => Delivery::Lost,
        _ => Delivery::ByNetwork,
    });
    world.inject(Fault::RequestSwitch);
    world.run_until(is_releasing);
    world.run(2);
    world.inject(Fault::KillAgent(0));
    world.run_until(|phase| matches!(phase, Phase::Settling { roll_forward: false, .. }));
    world.deliver_orders(|rank, _| match rank {
        1 => Delivery::Lost,
        _ => Delivery::ByNetwork,
    });
    if restart_rank_one {
        world.inject(Fault::KillAgent(1));
    }
    world.run(200);
    world
}

fn is_releasing(phase: Phase) -> bool {
    matches!(phase, Phase::Settling { roll_forward: true, .. })
}

#[test]
fn fencing_is_needed() {
    let unsafe_rules = without_safeguard(|safeguards| safeguards.fencing = false);
    assert!(late_release(unsafe_rules, false).violation.is_some());
    assert_eq!(late_release(RULES, false).violation, None);
}

#[test]
fn process_incarnations_in_orders_are_needed() {
    let unsafe_rules = without_safeguard(|safeguards| safeguards.incarnation_check = false);
    assert!(late_release(unsafe_rules, true).violation.is_some());
    assert_eq!(late_release(RULES, true).violation, None);
}

type PhaseTest = fn(Phase) -> bool;

const PHASES: [(&str, PhaseTest); 5] = [
    ("forming", |phase| matches!(phase, Phase::Forming | Phase::Joining(_))),
    ("idle", |phase| phase == Phase::Idle),
    ("preparing", |phase| phase == Phase::Preparing),
    ("arming", |phase| matches!(phase, Phase::Arming(_))),
    ("releasing", is_releasing),
];

fn fault_cases() -> Vec<(&'static str, Vec<Fault>)> {
    let silent = Network { lost: 100, ..Network::default() };
    let duplicated = Network { duplicated: 100, late: 50, late_ticks: 40, lost: 0 };
    let lossy = Network { lost: 50, ..Network::default() };
    vec![
        ("the coordinator's agent dies", vec![Fault::KillAgent(0)]),
        ("a rank's agent dies", vec![Fault::KillAgent(1)]),
        ("all agents die", (0..3).map(Fault::KillAgent).collect()),
        ("the coordinator pauses", vec![Fault::PauseAgent(0, 150)]),
        ("a rank's agent pauses", vec![Fault::PauseAgent(1, 150)]),
        ("a rank stalls", vec![Fault::StallEngine(1, 150)]),
        ("rank 0 dies", vec![Fault::KillEngine(0)]),
        ("a rank dies", vec![Fault::KillEngine(1)]),
        ("a rank and its agent die", vec![Fault::KillEngine(1), Fault::KillAgent(1)]),
        ("a former coordinator resumes", vec![Fault::ReplaceRankZero]),
        ("the store is down", vec![Fault::Store(StoreMode::Down)]),
        ("the store's answers are lost", vec![Fault::Store(StoreMode::AnswersLost)]),
        ("store down, coordinator dies", vec![Fault::Store(StoreMode::Down), Fault::KillAgent(0)]),
        ("all messages are lost", vec![Fault::Network(silent)]),
        ("half of the messages are lost", vec![Fault::Network(lossy)]),
        ("messages are doubled and reordered", vec![Fault::Network(duplicated)]),
    ]
}

#[test]
fn every_fault_in_every_phase() {
    let variants = [(3, true, 0), (3, false, 0), (3, true, 2), (3, false, 2), (2, false, 0)];
    for (phase, test) in PHASES {
        for (name, faults) in fault_cases() {
            for (ranks, engines_check, delay) in variants.into_iter().chain([(32, false, 1)]) {
                let mut world = World::new(Rules { ranks, engines_check, ..RULES }, SEED);
                world.inject(Fault::RequestSwitch);
                world.run_until(test);
                world.run(delay);
                faults.iter().for_each(|fault| world.inject(within(*fault, ranks)));
                world.run(200);
                world.heal();
                world.inject(Fault::Store(StoreMode::Up));
                assert!(advances(&mut world), "{name} while {phase}: {:?}", world.phase());
                let before = world.switched;
                world.inject(Fault::RequestSwitch);
                world.run(HEALING_TICKS);
                assert!(world.switched > before, "{name} while {phase}: {:?}", world.phase());
                assert_eq!(world.violation, None, "{name} while {phase}");
            }
        }
    }
}
