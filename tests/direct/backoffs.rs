//! A target that asks to be left alone gets nothing for that time, and little just after it.

use std::time::Duration;

use bitternwall::direct::decisions::admission::ServiceLoad;
use bitternwall::direct::decisions::attempts::{self, Failure, History};
use bitternwall::direct::decisions::backoffs::Backoffs;
use bitternwall::direct::message::Cause;
use bitternwall::problem::Executed;
use proptest::prelude::*;

const STARTED: Option<u64> = Some(1);

fn ms(time: u64) -> Duration {
    Duration::from_millis(time)
}

proptest! {
    /// Whatever a target asks for, and in whatever order, no backoff ends before the time that any
    /// answer asked for.
    #[test]
    fn the_backoff_that_ends_last_counts(asked in prop::collection::vec((0_u64..5_000, 0_u64..5_000), 1..20)) {
        let mut backoffs = Backoffs::default();
        let mut end = Duration::ZERO;
        let mut now = Duration::ZERO;
        for (pause, time) in asked {
            now += ms(pause);
            backoffs.record("t0", STARTED, ms(time), now);
            end = end.max(now + ms(time));
            prop_assert_eq!(backoffs.until("t0", now), (end > now).then_some(end));
        }
    }
}

#[test]
fn a_target_is_unproven_from_the_end_of_its_backoff_to_its_next_answer() {
    let mut backoffs = Backoffs::default();
    assert!(backoffs.record("t0", STARTED, ms(3_000), ms(1_000)));
    assert!(!backoffs.record("t0", STARTED, ms(1_000), ms(2_000)), "a shorter one changes nothing");
    backoffs.record_answered("t0", ms(2_500));
    assert_eq!(backoffs.until("t0", ms(3_999)), Some(ms(4_000)), "sent before it was asked for");
    assert!(!backoffs.is_unproven("t0", ms(3_999)));
    assert_eq!(backoffs.until("t0", ms(4_000)), None);
    assert!(backoffs.is_unproven("t0", ms(4_000)));
    backoffs.record_answered("t0", ms(4_100));
    assert!(!backoffs.is_unproven("t0", ms(4_100)));
}

#[test]
fn no_time_is_no_backoff_and_years_are_cut() {
    let mut backoffs = Backoffs::default();
    assert!(!backoffs.record("t0", STARTED, Duration::ZERO, ms(0)));
    assert!(!backoffs.is_unproven("t0", ms(0)));
    backoffs.record("t0", STARTED, Duration::from_secs(1_000_000_000), ms(0));
    assert_eq!(backoffs.until("t0", ms(0)), Some(Duration::from_secs(3_600)));
    backoffs.prune(Duration::from_secs(3_700));
    assert_eq!(backoffs.count(ms(0)), 0);
}

#[test]
fn another_incarnation_is_not_bound_and_a_lapsed_record_keeps_its_backoff() {
    let mut backoffs = Backoffs::default();
    backoffs.record("t0", STARTED, ms(3_000), ms(0));
    backoffs.record_listed("t0", STARTED);
    assert!(backoffs.until("t0", ms(1_000)).is_some());
    backoffs.record_listed("t0", Some(2));
    assert_eq!(backoffs.until("t0", ms(1_000)), None);
    backoffs.record("t0", Some(2), ms(1_000), ms(1_000));
    assert_eq!(backoffs.until("t0", ms(1_000)), Some(ms(2_000)));
}

#[test]
fn a_caller_is_told_of_a_backoff_only_if_all_targets_are_in_one() {
    let failure = Failure {
        cause: Cause::TargetFull,
        executed: Executed::No,
        retry_after: Some(Duration::from_secs(30)),
    };
    let history = History {
        may_repeat: true,
        sent: 2,
        max_targets: 2,
        deliveries: 2,
        may_have_run: false,
        time_left: ms(500),
        backoff_left: None,
    };
    let told = attempts::final_answer(&history, &failure).retry_after;
    assert_eq!(told, Some(attempts::RETRY_AFTER));
    let history = History { backoff_left: Some(ms(1_200)), ..history };
    assert_eq!(attempts::final_answer(&history, &failure).retry_after, Some(ms(1_200)));
}

#[test]
fn a_caller_refused_just_before_a_backoff_ends_is_not_told_to_return_at_once() {
    // The target gets one request at a time until it has answered one, which takes a while.
    let soonest = ms(100);
    for draw in [0.0, 0.3, 1.0] {
        let retry_after = ServiceLoad::retry_after_backoff(ms(5), draw);
        assert!(retry_after >= soonest, "{retry_after:?} at {draw}");
    }
    let history = History {
        may_repeat: true,
        sent: 2,
        max_targets: 2,
        deliveries: 2,
        may_have_run: false,
        time_left: Duration::from_secs(2),
        backoff_left: Some(ms(44)),
    };
    let failure =
        Failure { cause: Cause::TargetFull, executed: Executed::No, retry_after: Some(ms(44)) };
    let retry_after = attempts::final_answer(&history, &failure).retry_after;
    assert!(retry_after.is_some_and(|delay| delay >= soonest), "{retry_after:?}");
}
