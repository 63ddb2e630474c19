//! Calls to the store fail, for one entry or for all, and targets disappear from its list.

use std::time::Duration;

use bitternwall::direct::known::pending_removals::PendingRemovals;
use bitternwall::direct::known::store_outages::{Absence, StoreOutages};
use bitternwall::direct::known::target::Target;
use proptest::prelude::*;

use crate::target_choice::target;

const RENEWAL_INTERVAL: Duration = Duration::from_millis(1_200);

/// How often a fleet hears of an answer of the store while nothing fails.
const CALM_INTERVAL: Duration = Duration::from_millis(1_200);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Returns the record of a store that has answered now and then until a time.
fn calm_until(end: Duration) -> StoreOutages {
    let outages = StoreOutages::new(RENEWAL_INTERVAL);
    let mut now = Duration::ZERO;
    while now < end {
        outages.record_answer(now);
        now += CALM_INTERVAL;
    }
    outages.record_answer(end);
    outages
}

#[test]
fn a_target_whose_lease_expired_in_a_store_outage_stays_until_it_had_time_to_register_again() {
    let outages = calm_until(ms(1_000));
    assert_eq!(outages.absence(ms(1_000)), Absence::Gone);
    outages.record_failure(ms(2_000));
    assert_eq!(outages.absence(ms(4_000)), Absence::MayHaveLapsed, "still unavailable");
    assert_eq!(outages.absence(ms(60_000)), Absence::MayHaveLapsed, "still unavailable");
    assert_eq!(outages.record_answer(ms(61_000)), Some(ms(60_000)));
    assert_eq!(outages.absence(ms(61_000)), Absence::MayHaveLapsed);
    outages.record_answer(ms(62_900));
    assert_eq!(outages.absence(ms(63_400)), Absence::MayHaveLapsed, "not asked since");
    outages.record_answer(ms(63_000));
    assert_eq!(outages.absence(ms(63_200)), Absence::MayHaveLapsed);
    assert_eq!(outages.absence(ms(63_300)), Absence::Gone);
}

#[test]
fn a_second_outage_gives_lapsed_targets_the_full_time_again() {
    let outages = calm_until(ms(1_000));
    outages.record_failure(ms(1_100));
    outages.record_answer(ms(5_000));
    outages.record_failure(ms(5_600));
    // The first time to register again has passed, but the store has not answered since.
    assert_eq!(outages.absence(ms(7_900)), Absence::MayHaveLapsed);
    outages.record_answer(ms(9_000));
    outages.record_answer(ms(11_000));
    assert_eq!(outages.absence(ms(11_200)), Absence::MayHaveLapsed);
    assert_eq!(outages.absence(ms(11_300)), Absence::Gone);
}

#[test]
fn a_target_that_left_while_only_one_entry_was_cut_off_from_the_store_is_gone() {
    let outages = calm_until(ms(1_000));
    // Its own calls fail for five seconds, and others hear answers.
    for step in 0..50 {
        let now = ms(1_000 + step * 100);
        outages.record_failure(now);
        if step % 12 == 0 {
            outages.record_answer(now);
        }
        assert_eq!(outages.absence(now), Absence::Gone);
    }
}

#[test]
fn a_store_of_which_nobody_hears_for_a_while_without_a_failed_call_had_no_outage() {
    let outages = calm_until(ms(1_000));
    assert_eq!(outages.absence(ms(5_000)), Absence::Gone);
    assert_eq!(outages.record_answer(ms(6_000)), None);
    assert_eq!(outages.absence(ms(6_000)), Absence::Gone);
}

#[test]
fn an_answer_that_is_heard_of_late_counts_from_when_it_was_given() {
    let outages = calm_until(ms(1_000));
    outages.record_failure(ms(1_100));
    assert_eq!(outages.absence(ms(3_500)), Absence::MayHaveLapsed);
    // At 3.6 s a heartbeat tells of an answer at 2 s.
    assert_eq!(outages.record_answer(ms(2_000)), None);
    assert_eq!(outages.absence(ms(3_600)), Absence::Gone);
}

#[test]
fn a_target_that_is_listed_again_or_was_leaving_has_no_pending_removal() {
    let pending = PendingRemovals::default();
    assert!(pending.defer("t0", &target("t0", 1), 2, Absence::MayHaveLapsed));
    assert!(pending.due(Absence::MayHaveLapsed).is_empty());
    pending.cancel("t0");
    assert!(pending.due(Absence::Gone).is_empty());
    let leaving = Target { leaving: true, ..target("t1", 2) };
    assert!(!pending.defer("t1", &leaving, 3, Absence::MayHaveLapsed));
    assert!(!pending.defer("t0", &target("t0", 1), 4, Absence::Gone));
    assert!(pending.defer("t0", &target("t0", 1), 5, Absence::MayHaveLapsed));
    assert_eq!(pending.due(Absence::Gone), [("t0".to_owned(), 5)]);
    assert!(pending.due(Absence::Gone).is_empty());
}

proptest! {
    /// However often calls fail, a store that answers some entry at least as often as leases need
    /// it explains no missing target.
    #[test]
    fn failed_calls_of_a_store_that_answers_make_no_outage(
        steps in prop::collection::vec((1u64..2_399, prop::collection::vec(0u64..2_400, 0..4)), 1..40),
    ) {
        let outages = calm_until(ms(1_000));
        let mut now = 1_000;
        for (pause, failures) in steps {
            for failed_after in failures.into_iter().filter(|after| *after <= pause) {
                outages.record_failure(ms(now + failed_after));
                prop_assert_eq!(outages.absence(ms(now + failed_after)), Absence::Gone);
            }
            now += pause;
            prop_assert_eq!(outages.record_answer(ms(now)), None);
            prop_assert_eq!(outages.absence(ms(now)), Absence::Gone);
        }
    }
}
