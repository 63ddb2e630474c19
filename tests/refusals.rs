//! Refusals of the entry's core are true, final and in time, however the attempts end.

#[path = "common/entry_model.rs"]
mod entry_model;

use std::time::Duration;

use bitternwall::entry::core::Options;
use bitternwall::entry::core::deadlines::AGENT_REPLY_GRACE;
use bitternwall::entry::core::events::{AttemptFailure, Effect, Event, Executed, RefusalReason};
use bitternwall::entry::core::tables::RequestId;
use entry_model::{End, EntryModel, FATES, Fate, KINDS, Kind, TICK, TIMEOUT};
use proptest::prelude::Strategy;
use proptest::test_runner::{Config, RngAlgorithm, TestCaseError, TestRng, TestRunner};
use proptest::{collection, sample};

const CASES: u32 = 256;

type Plan = Vec<(Kind, Vec<Fate>)>;

fn plans() -> impl Strategy<Value = Plan> {
    let fates = collection::vec(sample::select(&FATES[..]), 1..6);
    collection::vec((sample::select(&KINDS[..]), fates), 1..40)
}

fn runner() -> TestRunner {
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let config = Config { cases: CASES, failure_persistence: None, ..Config::default() };
    TestRunner::new_with_rng(config, rng)
}

/// Runs a plan: the n-th attempt of a request meets its n-th fate, and later attempts the last one.
fn run_plan(options: Options, plan: &Plan) -> EntryModel {
    let mut model = EntryModel::new(options, 4);
    let mut tries = vec![0; plan.len()];
    let mut fate = |start: &bitternwall::entry::core::events::StartAttempt| {
        let index = usize::try_from(start.request.0).expect("requests are few");
        let fates = &plan[index].1;
        let next = fates[tries[index].min(fates.len() - 1)];
        tries[index] += 1;
        next
    };
    for (kind, _) in plan {
        model.submit(*kind, &mut fate);
    }
    model.drain(&mut fate);
    model
}

fn check(model: &EntryModel, plan: &Plan) -> Result<(), TestCaseError> {
    for index in 0..plan.len() {
        let id = RequestId(u64::try_from(index).expect("requests are few"));
        let ends = model.ends.get(&id).cloned().unwrap_or_default();
        if ends.len() != 1 {
            return Err(TestCaseError::fail(format!(
                "{id:?} ended {} times: {ends:?}",
                ends.len()
            )));
        }
        if let End::Refused(refusal) | End::Aborted(refusal) = ends[0]
            && refusal.executed == Executed::No
            && model.ran.contains(&id)
        {
            return Err(TestCaseError::fail(format!("{id:?} ran, but {refusal:?}")));
        }
    }
    let unkeyed = model.starts.iter().find(|start| {
        let index = usize::try_from(start.request.0).expect("requests are few");
        plan[index].0 == Kind::NotRepeatable && start.claim_key.is_none()
    });
    match unkeyed {
        Some(start) => Err(TestCaseError::fail(format!("no claim key: {start:?}"))),
        None => Ok(()),
    }
}

#[test]
fn every_request_ends_once_and_no_refusal_is_false() {
    let result = runner().run(&plans(), |plan| check(&run_plan(Options::default(), &plan), &plan));
    result.expect("every request ends once, and no refusal is false");
}

#[test]
fn forgetting_earlier_runs_makes_a_refusal_false() {
    let options = Options { remember_runs: false, ..Options::default() };
    let result = runner().run(&plans(), |plan| check(&run_plan(options.clone(), &plan), &plan));
    let error = result.expect_err("the check detects a false refusal").to_string();
    assert!(error.contains("ran, but"), "{error}");
}

/// Returns how a second call under a key is refused when no target is available, after a first call
/// ran and its answer was lost.
fn second_refusal_of_a_key(options: Options) -> Executed {
    let mut model = EntryModel::new(options, 1);
    model.submit_under("hold-7", Kind::NotRepeatable, &mut |_| Fate::SilentButRuns);
    model.drain(&mut |_| Fate::SilentButRuns);
    let End::Refused(first) = model.ends[&RequestId(0)][0] else { panic!("not refused") };
    assert_eq!(first.executed, Executed::Unknown);
    model.tick(vec![Event::LinkDown { target: "desk-0".to_owned() }], &mut |_| Fate::Answered);
    model.submit_under("hold-7", Kind::NotRepeatable, &mut |_| Fate::Answered);
    let End::Refused(second) = model.ends[&RequestId(1)][0] else { panic!("not refused") };
    second.executed
}

#[test]
fn a_key_that_may_have_run_is_never_reported_as_not_executed() {
    assert_eq!(second_refusal_of_a_key(Options::default()), Executed::Unknown);
    let forgetful = Options { remember_runs: false, ..Options::default() };
    assert_eq!(
        second_refusal_of_a_key(forgetful),
        Executed::No,
        "only the record of the first call keeps the refusal true"
    );
}

#[test]
fn a_passed_deadline_is_answered_at_once() {
    let mut model = EntryModel::new(Options::default(), 1);
    let submitted_at = model.now + TICK;
    model.submit(Kind::Idempotent, &mut |_| Fate::SilentNotRun);
    while model.ends.is_empty() {
        model.tick(Vec::new(), &mut |_| Fate::SilentNotRun);
    }
    let end = model.ends[&RequestId(0)][0];
    let End::Refused(refusal) = end else { panic!("{end:?}") };
    assert_eq!(refusal.reason, RefusalReason::Attempt(AttemptFailure::Deadline));
    assert_eq!(refusal.executed, Executed::Unknown, "no report on the attempt arrived");
    assert!(model.now <= submitted_at + TIMEOUT + AGENT_REPLY_GRACE + TICK);
}

#[test]
fn every_attempt_gets_the_time_left_until_the_deadline() {
    let mut model = EntryModel::new(Options::default(), 4);
    let mut first = true;
    model.submit(Kind::Idempotent, &mut |_| match std::mem::take(&mut first) {
        true => Fate::RefusedNotRun,
        false => Fate::Answered,
    });
    let left: Vec<Duration> = model.starts.iter().map(|start| start.time_left).collect();
    assert_eq!(left.len(), 2);
    assert!(left[0] <= TIMEOUT && left[1] <= left[0]);
}

#[test]
fn an_entry_without_current_configuration_refuses_as_not_run() {
    let mut model = EntryModel::new(Options::default(), 2);
    for until in [Duration::ZERO, model.now - TICK] {
        model.tick(vec![Event::MayServeUntil(until)], &mut |_| Fate::Answered);
        let id = RequestId(model.submitted);
        model.submit(Kind::Idempotent, &mut |_| Fate::Answered);
        let End::Refused(refusal) = model.ends[&id][0] else { panic!("not refused") };
        assert_eq!(refusal.executed, Executed::No);
        assert!(refusal.retry_after.is_some(), "the caller is told when to retry");
    }
    assert!(model.starts.is_empty());
}

#[test]
fn a_request_without_a_target_is_refused_at_once_with_retry_after() {
    let mut model = EntryModel::new(Options::default(), 0);
    let mut effects = Vec::new();
    model.submit(Kind::Streamed, &mut |_| Fate::Answered);
    model.world.tick(model.now, Vec::new(), &mut effects);
    let End::Refused(refusal) = model.ends[&RequestId(0)][0] else { panic!("not refused") };
    assert_eq!(refusal.reason, RefusalReason::NoTarget);
    assert_eq!(refusal.executed, Executed::No);
    assert!(refusal.retry_after.is_some());
    assert_eq!(effects, Vec::<Effect>::new());
}
