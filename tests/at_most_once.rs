//! A request that may not be repeated runs at most once, no matter how often and to which agents it
//! is sent.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::cell::RefCell;

use bitternwall::agent::world::ClaimCheck;
use bitternwall::agent::{events, shard};
use bitternwall::external::store;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config, TestCaseError, TestError, TestRng, TestRunner};

#[path = "common/claim_steps.rs"]
mod claim_steps;
#[path = "common/claim_store_model.rs"]
mod claim_store_model;
#[path = "common/claims_model.rs"]
mod claims_model;

use claim_steps::{Coverage, Step, call_outcome, run, step};
use claims_model::Model;

const CASES: u32 = 1_000;
const STEPS: usize = 100;
/// A retention longer than any simulated run.
const FOREVER_MS: u64 = 10_000_000;
/// A retention short enough for segments to be dropped during a run.
const SHORT_MS: u64 = 500;

fn run_steps(steps: &[Step], check: ClaimCheck, retention_ms: u64) -> Result<Coverage, String> {
    let mut model = Model::new(check, retention_ms);
    for step in steps {
        model.step(step)?;
    }
    model.settle()?;
    Ok(model.coverage())
}

fn runner() -> TestRunner {
    let config = Config { cases: CASES, failure_persistence: None, ..Config::default() };
    let rng = TestRng::deterministic_rng(config.rng_algorithm);
    TestRunner::new_with_rng(config, rng)
}

fn search(check: ClaimCheck, retention_ms: u64) -> (Result<(), TestError<Vec<Step>>>, Coverage) {
    let total = RefCell::new(Coverage::default());
    let outcome = runner().run(&vec(step(), 1..STEPS), |steps| {
        let coverage = run_steps(&steps, check, retention_ms).map_err(TestCaseError::fail)?;
        total.borrow_mut().add(&coverage);
        Ok(())
    });
    (outcome, total.into_inner())
}

#[test]
fn each_key_runs_at_most_once() {
    let (outcome, coverage) = search(ClaimCheck::Saved, FOREVER_MS);
    outcome.unwrap();
    println!("{coverage:?}");
    let counts = [
        coverage.runs,
        coverage.conflicts,
        coverage.lost_answers,
        coverage.late_writes,
        coverage.unknown_outcomes,
        coverage.joined,
        coverage.kept_answers,
        coverage.rolled_segments,
    ];
    assert!(counts.iter().all(|count| *count > 0), "the steps reach every path: {coverage:?}");
}

#[test]
fn claims_past_retention_are_dropped_and_none_before() {
    let (outcome, coverage) = search(ClaimCheck::Saved, SHORT_MS);
    outcome.unwrap();
    println!("{coverage:?}");
    assert!(coverage.dropped_segments > 0, "segments are dropped: {coverage:?}");
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
    let fault_free_steps = prop_oneof![
        6 => (0_u8..8, 0_usize..3).prop_map(|(key, agent)| Step::Send(key, agent)),
        4 => (1_u64..40).prop_map(Step::Advance),
        1 => (0_usize..3, 1_u64..80).prop_map(|(agent, ms)| Step::Pause(agent, ms)),
        3 => vec(call_outcome(), 1..8).prop_map(Step::Store),
        2 => vec(run(), 1..4).prop_map(Step::Target),
    ];
    let outcome = runner().run(&vec(fault_free_steps, 1..STEPS), |steps| {
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

/// Saves one claim in a commit of its own and returns the number of keys that the commit deletes.
fn save(shard: &mut shard::Shard, key: u8, now_ms: u64) -> usize {
    let limits = shard::Limits { retention_ms: 100, bucket_ms: 30 };
    let job = events::JobId(u64::from(key));
    shard.waiting.push_back(shard::PendingClaim { job, key: [key; 16], tried_commits: Vec::new() });
    let plan = shard.plan(("dispatch-api", 0), 1, now_ms, limits);
    shard.committed(now_ms);
    plan.writes.iter().filter(|write| matches!(write, store::Write::Delete { .. })).count()
}

#[test]
fn a_segment_is_dropped_only_when_its_youngest_claim_is_past_retention() {
    let mut shard = shard::Shard::default();
    assert_eq!(save(&mut shard, 1, 0), 0);
    assert_eq!(save(&mut shard, 2, 29), 0);
    assert_eq!(save(&mut shard, 3, 35), 0, "a new segment is begun, none is past retention");
    assert_eq!(save(&mut shard, 4, 134), 0, "claim 2 may be 99 ms old");
    assert_eq!(save(&mut shard, 5, 165), 1, "claim 2 is more than 100 ms old");
}
