//! A request that may not be repeated runs at most once, wherever and however often it is sent.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::cell::RefCell;

use bitternwall::agent::world::ClaimCheck;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config, TestCaseError, TestError, TestRng, TestRunner};

#[path = "common/claims_model.rs"]
mod claims_model;

use claims_model::{Fate, Model, Run, Seen, Step};

const CASES: u32 = 1_000;
const STEPS: usize = 100;
/// Longer than any run of the model.
const FOREVER_MS: u64 = 10_000_000;
/// Short enough that segments are dropped while the model runs.
const SHORT_MS: u64 = 500;

fn fate() -> impl Strategy<Value = Fate> {
    prop_oneof![
        4 => (1_u64..6, 1_u64..6).prop_map(|(made, answered)| Fate::Done(made, answered)),
        2 => (1_u64..6).prop_map(Fate::Lost),
        2 => (2_u64..60).prop_map(Fate::Late),
        1 => Just(Fate::Refused),
    ]
}

fn run() -> impl Strategy<Value = Run> {
    prop_oneof![
        4 => (1_u64..40).prop_map(Run::Answers),
        1 => Just(Run::Unreachable),
        1 => (1_u64..20).prop_map(Run::Breaks),
        1 => (1_u64..20).prop_map(Run::Dies),
    ]
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        8 => (0_u8..10, 0_usize..3).prop_map(|(key, agent)| Step::Send(key, agent)),
        2 => (0_usize..3).prop_map(Step::SendAgain),
        1 => Just(Step::Cancel),
        1 => (0_usize..3).prop_map(Step::LinkDown),
        1 => (0_usize..3).prop_map(Step::Restart),
        1 => (0_usize..3, 1_u64..80).prop_map(|(agent, ms)| Step::Pause(agent, ms)),
        5 => (1_u64..60).prop_map(Step::Advance),
        3 => vec(fate(), 1..8).prop_map(Step::Store),
        2 => vec(run(), 1..4).prop_map(Step::Target),
    ]
}

fn drive(steps: &[Step], check: ClaimCheck, retention_ms: u64) -> Result<Seen, String> {
    let mut model = Model::new(check, retention_ms);
    for step in steps {
        model.step(step)?;
    }
    model.settle()?;
    Ok(model.seen)
}

fn runner() -> TestRunner {
    let config = Config { cases: CASES, failure_persistence: None, ..Config::default() };
    let rng = TestRng::deterministic_rng(config.rng_algorithm);
    TestRunner::new_with_rng(config, rng)
}

fn search(check: ClaimCheck, retention_ms: u64) -> (Result<(), TestError<Vec<Step>>>, Seen) {
    let total = RefCell::new(Seen::default());
    let outcome = runner().run(&vec(step(), 1..STEPS), |steps| {
        let seen = drive(&steps, check, retention_ms).map_err(TestCaseError::fail)?;
        total.borrow_mut().add(&seen);
        Ok(())
    });
    (outcome, total.into_inner())
}

#[test]
fn each_key_runs_at_most_once() {
    let (outcome, seen) = search(ClaimCheck::Saved, FOREVER_MS);
    outcome.unwrap();
    println!("{seen:?}");
    let reached = [
        seen.runs,
        seen.conflicts,
        seen.lost_answers,
        seen.late_writes,
        seen.unknown_outcomes,
        seen.joined,
        seen.kept_answers,
        seen.rolled_segments,
    ];
    assert!(reached.iter().all(|count| *count > 0), "the steps reach every path: {seen:?}");
}

#[test]
fn claims_past_retention_are_dropped_and_none_before() {
    let (outcome, seen) = search(ClaimCheck::Saved, SHORT_MS);
    outcome.unwrap();
    println!("{seen:?}");
    assert!(seen.dropped_segments > 0, "segments are dropped: {seen:?}");
}

#[test]
fn without_saved_claims_a_second_run_is_noticed() {
    let (outcome, _) = search(ClaimCheck::Off, FOREVER_MS);
    let Err(TestError::Fail(reason, steps)) = outcome else {
        panic!("the search must find a second run where claims are not saved");
    };
    assert!(reason.message().contains("ran twice"), "{reason}");
    println!("{reason} after {steps:?}");
}

#[test]
fn every_attempt_that_no_fault_cuts_off_gets_an_answer() {
    let calm = prop_oneof![
        6 => (0_u8..10, 0_usize..3).prop_map(|(key, agent)| Step::Send(key, agent)),
        4 => (1_u64..40).prop_map(Step::Advance),
        1 => (0_usize..3, 1_u64..80).prop_map(|(agent, ms)| Step::Pause(agent, ms)),
        3 => vec(fate(), 1..8).prop_map(Step::Store),
        2 => vec(run(), 1..4).prop_map(Step::Target),
    ];
    let outcome = runner().run(&vec(calm, 1..STEPS), |steps| {
        let mut model = Model::new(ClaimCheck::Saved, FOREVER_MS);
        for step in &steps {
            model.step(step).map_err(TestCaseError::fail)?;
        }
        model.settle().map_err(TestCaseError::fail)?;
        prop_assert_eq!(model.unanswered(), Vec::<u64>::new());
        Ok(())
    });
    outcome.unwrap();
}
