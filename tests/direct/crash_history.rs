//! Requests that crash the targets that run them, and harmless ones that run beside them.

use std::time::Duration;

use bitternwall::direct::known::crash_history::CrashHistory;
use bitternwall::direct::known::crash_record::{Crash, CrashReport};
use bitternwall::entry::core::crashes::MAX_CRASHES;
use proptest::prelude::*;

const TTL: Duration = Duration::from_secs(600);
const REQUEST: u64 = 7;
const OTHER: u64 = 8;

/// The limit of requests, [`MAX_CRASHES`].
const LIMIT: u32 = 2;

/// Time after which a target's end is no longer attributed to an attempt that ended there.
const LONG_AFTER: Duration = Duration::from_secs(11);

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Sends a request to a target that crashes while it runs it.
fn crash(history: &mut CrashHistory, fingerprint: u64, target: &str, now: Duration) -> Vec<Crash> {
    let dispatch = history.dispatch(fingerprint, target, now);
    assert_eq!(history.record_unanswered(dispatch, now), None);
    history.record_target_ended(target, now)
}

fn is_refused(history: &CrashHistory, now: Duration) -> bool {
    history.refused_for(REQUEST, now).is_some()
}

#[test]
fn a_request_is_refused_after_the_last_crash_allowed_and_until_its_record_expires() {
    let mut history = CrashHistory::new(TTL);
    for number in 1..=MAX_CRASHES {
        assert!(!is_refused(&history, seconds(1)), "before crash {number}");
        let crashes = crash(&mut history, REQUEST, &format!("t-{number}"), seconds(1));
        let refused = number == MAX_CRASHES;
        let count = u32::try_from(number).expect("few");
        assert_eq!(
            crashes,
            [Crash { fingerprint: REQUEST, crashes: count, limit: LIMIT, refused }]
        );
    }
    assert_eq!(history.refused_for(REQUEST, seconds(1)), Some(TTL));
    assert_eq!(history.refused_for(OTHER, seconds(1)), None);
    let end = seconds(1) + TTL;
    assert_eq!(history.refused_for(REQUEST, end), None);
    history.expire(end);
    assert_eq!(history.refused_count(), 0);
}

#[test]
fn copies_that_run_at_targets_that_crash_at_once_count_as_one_crash() {
    let mut history = CrashHistory::new(TTL);
    let targets = ["t-1", "t-2", "t-3"];
    let dispatches = targets.map(|target| history.dispatch(REQUEST, target, seconds(1)));
    for dispatch in dispatches {
        history.record_unanswered(dispatch, seconds(1));
    }
    for target in targets {
        history.record_target_ended(target, seconds(1));
    }
    assert!(!is_refused(&history, seconds(1)));
}

#[test]
fn an_answer_clears_a_request_of_the_crashes_before() {
    let mut history = CrashHistory::new(TTL);
    for round in 0..10 {
        crash(&mut history, REQUEST, &format!("t-{round}"), seconds(round));
        history.record_answered(REQUEST, seconds(round));
        assert!(!is_refused(&history, seconds(round)), "after {round}");
    }
}

#[test]
fn a_target_that_ends_long_after_an_attempt_did_not_crash_under_it() {
    let mut history = CrashHistory::new(TTL);
    for target in ["t-1", "t-2", "t-3"] {
        let dispatch = history.dispatch(REQUEST, target, seconds(1));
        history.record_unanswered(dispatch, seconds(1));
        assert_eq!(history.record_target_ended(target, seconds(1) + LONG_AFTER), []);
    }
}

#[test]
fn an_attempt_that_ends_after_its_target_was_found_to_have_ended_counts() {
    let mut history = CrashHistory::new(TTL);
    let dispatch = history.dispatch(REQUEST, "t-1", seconds(1));
    assert_eq!(history.record_target_ended("t-1", seconds(2)), []);
    let crash = history.record_unanswered(dispatch, seconds(3));
    assert_eq!(
        crash,
        Some(Crash { fingerprint: REQUEST, crashes: 1, limit: LIMIT, refused: false })
    );
    // The next incarnation may have the same id.
    let dispatch = history.dispatch(REQUEST, "t-1", seconds(4));
    assert_eq!(history.record_unanswered(dispatch, seconds(5)), None);
}

#[test]
fn an_entry_that_hears_of_a_crash_counts_its_own_on_top() {
    let (mut first, mut second) = (CrashHistory::new(TTL), CrashHistory::new(TTL));
    crash(&mut first, REQUEST, "t-1", seconds(1));
    for report in first.reports(1, seconds(1)) {
        assert_eq!(second.merge(&report, seconds(1)), None);
    }
    let crashes = crash(&mut second, REQUEST, "t-2", seconds(2));
    assert_eq!(crashes, [Crash { fingerprint: REQUEST, crashes: 2, limit: LIMIT, refused: true }]);
    let report = second.reports(1, seconds(2));
    let heard = first.merge(&report[0], seconds(2));
    assert_eq!(
        heard,
        Some(Crash { fingerprint: REQUEST, crashes: 2, limit: LIMIT, refused: true })
    );
    assert!(is_refused(&first, seconds(2)));
}

#[test]
fn an_entry_that_starts_hears_of_refused_requests() {
    let mut history = CrashHistory::new(TTL);
    crash(&mut history, REQUEST, "t-1", seconds(1));
    crash(&mut history, REQUEST, "t-2", seconds(1));
    let later = seconds(60);
    assert_eq!(history.reports(1, later), [], "heartbeats repeat it only for a while");
    history.announce_refused(later);
    let mut started = CrashHistory::new(TTL);
    for report in history.reports(1, later) {
        started.merge(&report, seconds(0));
    }
    let left = started.refused_for(REQUEST, seconds(0)).expect("refused");
    assert_eq!(left, TTL - (later - seconds(1)));
}

#[test]
fn refused_requests_are_announced_before_others_and_all_in_turn() {
    let mut history = CrashHistory::new(TTL);
    let requests = 100_u64;
    for request in 0..requests {
        crash(&mut history, request, &format!("t-{request}"), seconds(1));
    }
    crash(&mut history, REQUEST, "t-last", seconds(1));
    let mut seen = std::collections::BTreeSet::new();
    for sequence in 0..20 {
        let reports = history.reports(sequence, seconds(1));
        assert_eq!(reports[0].fingerprint, REQUEST);
        assert!(reports.len() <= 8, "{}", reports.len());
        seen.extend(reports.iter().map(|report| report.fingerprint));
    }
    assert_eq!(seen.len(), 100);
}

#[test]
fn harmless_requests_do_not_push_refused_ones_off_the_record() {
    let mut history = CrashHistory::new(TTL);
    crash(&mut history, REQUEST, "t-1", seconds(1));
    crash(&mut history, REQUEST, "t-2", seconds(1));
    for request in 100..5_000 {
        crash(&mut history, request, &format!("t-{request}"), seconds(2));
    }
    assert!(is_refused(&history, seconds(2)));
}

proptest! {
    /// However reports are delayed, repeated and reordered, entries end with the same decision.
    #[test]
    fn reports_in_any_order_lead_to_the_same_record(
        reports in prop::collection::vec((0_u32..4, 0_u32..4), 1..6),
        order in prop::collection::vec(any::<prop::sample::Index>(), 1..20),
    ) {
        let reports: Vec<CrashReport> = reports
            .into_iter()
            .map(|(crashes, cleared)| {
                let (cleared, ttl_ms) = (cleared.min(crashes), 600_000);
                CrashReport { fingerprint: REQUEST, crashes, cleared, ttl_ms, part: false, limit: LIMIT, companions: Vec::new(), trial_ms: 0 }
            })
            .collect();
        let (mut straight, mut shuffled) = (CrashHistory::new(TTL), CrashHistory::new(TTL));
        for index in order {
            shuffled.merge(index.get(&reports), seconds(1));
        }
        for report in &reports {
            straight.merge(report, seconds(1));
            shuffled.merge(report, seconds(1));
        }
        prop_assert_eq!(is_refused(&straight, seconds(1)), is_refused(&shuffled, seconds(1)));
    }

    /// Whatever entries do at once, a request that is sent only after the last crash was heard of
    /// reaches no more targets than allowed.
    #[test]
    fn a_request_that_crashes_targets_one_after_the_other_reaches_few_of_them(
        entries in prop::collection::vec(0_usize..4, 1..30),
    ) {
        let mut histories: Vec<CrashHistory> = (0..4).map(|_| CrashHistory::new(TTL)).collect();
        let mut crashed = 0;
        for (round, entry) in entries.into_iter().enumerate() {
            if is_refused(&histories[entry], seconds(1)) {
                continue;
            }
            crash(&mut histories[entry], REQUEST, &format!("t-{round}"), seconds(1));
            crashed += 1;
            let reports = histories[entry].reports(1, seconds(1));
            for history in &mut histories {
                reports.iter().for_each(|report| { history.merge(report, seconds(1)); });
            }
        }
        prop_assert!(crashed <= MAX_CRASHES, "{} crashed", crashed);
    }
}
