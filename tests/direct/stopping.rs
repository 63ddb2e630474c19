//! A stopping process interrupts no request before its time and exits within its grace period.

use std::time::Duration;

use bitternwall::direct::decisions::admission::ServiceLoad;
use bitternwall::direct::decisions::stopping::{Phase, Stopping};
use bitternwall::direct::known::configuration::AnswerForm;

const GRACE: Duration = Duration::from_secs(8);
const KEEP: Duration = Duration::from_secs(2);

fn phase(after_ms: u64, in_progress: usize) -> Phase {
    let began = Duration::from_secs(50);
    Stopping::begin(began, GRACE, KEEP).phase(began + Duration::from_millis(after_ms), in_progress)
}

#[test]
fn it_serves_while_callers_may_keep_its_address() {
    assert_eq!(phase(0, 0), Phase::Serve);
    assert_eq!(phase(5_900, 0), Phase::Serve);
    assert_eq!(phase(6_000, 0), Phase::Exit);
}

#[test]
fn a_request_that_may_outlast_the_process_is_refused() {
    let began = Duration::from_secs(50);
    let stop = Stopping::begin(began, GRACE, KEEP);
    let admits = |after_ms, left_ms, expected_ms: Option<u64>| {
        let time_left = Duration::from_millis(left_ms);
        let expected = expected_ms.map(Duration::from_millis);
        stop.admits(began + Duration::from_millis(after_ms), time_left, expected)
    };
    assert!(admits(0, 7_500, None), "the deadline is before the exit");
    assert!(admits(6_000, 1_500, Some(9_000)), "the deadline is before the exit");
    assert!(!admits(0, 8_000, None), "nothing is known of answers");
    assert!(admits(1_999, 8_000, Some(3_600)), "answers end in time");
    assert!(!admits(1_999, 8_000, Some(3_700)), "answers may not end in time");
    assert!(!admits(2_000, 8_000, Some(100)), "no caller should know the address any more");
    assert!(!admits(9_000, 1, Some(1)), "the process should be gone");
    let stop = Stopping::begin(began, Duration::from_secs(60), Duration::from_secs(30));
    let admits = |after| stop.admits(began + after, GRACE * 10, Some(KEEP));
    assert!(admits(Duration::from_millis(2_999)));
    assert!(!admits(Duration::from_secs(3)), "an estimate may be wrong");
}

#[test]
fn nearly_all_answers_end_within_the_expected_time() {
    let mut load = ServiceLoad::default();
    assert_eq!(load.expected_answer_time(AnswerForm::Events), None);
    let times_ms = [1_800, 2_200, 1_900, 2_100, 2_000];
    for took in times_ms.iter().cycle().take(100) {
        load.record_answer_time(AnswerForm::Events, Duration::from_millis(*took));
    }
    let expected = load.expected_answer_time(AnswerForm::Events).expect("answers have ended");
    assert!((2_200..3_000).contains(&expected.as_millis()), "{expected:?}");
    for _ in 0..100 {
        load.record_answer_time(AnswerForm::Document, Duration::from_millis(10));
    }
    assert_eq!(load.expected_answer_time(AnswerForm::Events), Some(expected), "by form");
    load.record_answer_time(AnswerForm::Events, Duration::from_secs(8));
    let expected = load.expected_answer_time(AnswerForm::Events).expect("answers have ended");
    assert!(expected > Duration::from_secs(8), "one slow answer counts: {expected:?}");
}

#[test]
fn a_short_grace_period_is_not_all_reserve() {
    let grace = Duration::from_millis(600);
    let stop = Stopping::begin(Duration::ZERO, grace, KEEP);
    assert_eq!(stop.phase(Duration::from_millis(450), 1), Phase::Serve);
    assert_eq!(stop.phase(Duration::from_millis(500), 1), Phase::Exit);
}

#[test]
fn it_waits_for_what_is_in_progress_but_not_beyond_its_time() {
    assert_eq!(phase(6_000, 1), Phase::Serve);
    assert_eq!(phase(6_500, 1), Phase::Refuse);
    assert_eq!(phase(7_500, 1), Phase::Exit);
}
