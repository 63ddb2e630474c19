//! Calls to the store fail, for one entry or for all, and targets disappear from its list.

use std::time::Duration;

use bitternwall::direct::decisions::read_times::ReadTimes;
use bitternwall::direct::known::cluster_state::{ClusterState, TargetRecord};
use bitternwall::direct::known::store::Position;
use bitternwall::direct::known::store_outages::{Absence, StoreOutages};
use bitternwall::direct::known::target::Target;
use bytes::Bytes;
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

/// Returns the record of a target at an address of its own.
fn record(id: &str, revision: u64) -> (String, TargetRecord) {
    let port = id.strip_prefix('t').and_then(|number| number.parse().ok()).expect("t0 to t9");
    let target = Some(target(id, port));
    (id.to_owned(), TargetRecord { revision, raw: Bytes::new(), target })
}

fn ids(state: &ClusterState) -> Vec<String> {
    let mut ids: Vec<String> = state.targets().into_iter().map(|target| target.id).collect();
    ids.sort_unstable();
    ids
}

fn at(revision: u64) -> Position {
    Position { era: 0, revision }
}

#[test]
fn a_target_whose_lease_expired_in_a_store_outage_stays_until_it_had_time_to_register_again() {
    let outages = calm_until(ms(1_000));
    assert_eq!(outages.absence(ms(1_000)), Absence::Gone);
    outages.record_failure("e0", ms(2_000));
    assert_eq!(outages.absence(ms(4_000)), Absence::MayHaveLapsed, "still unavailable");
    assert_eq!(outages.absence(ms(60_000)), Absence::MayHaveLapsed, "still unavailable");
    assert_eq!(outages.record_answer(ms(61_000)), Some(ms(60_000)));
    assert_eq!(outages.absence(ms(61_000)), Absence::MayHaveLapsed);
    assert_eq!(outages.time_to_check(ms(61_500)), Some(ms(1_500)));
    outages.record_answer(ms(62_900));
    assert_eq!(outages.absence(ms(63_400)), Absence::MayHaveLapsed, "not asked since");
    outages.record_answer(ms(63_000));
    assert_eq!(outages.absence(ms(63_200)), Absence::MayHaveLapsed);
    assert_eq!(outages.absence(ms(63_300)), Absence::Gone);
    assert_eq!(outages.time_to_check(ms(63_300)), None);
}

#[test]
fn a_second_outage_gives_lapsed_targets_the_full_time_again() {
    let outages = calm_until(ms(1_000));
    outages.record_failure("e0", ms(1_100));
    outages.record_answer(ms(5_000));
    outages.record_failure("e0", ms(5_600));
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
        outages.record_failure("e0", now);
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
    outages.record_failure("e0", ms(1_100));
    assert_eq!(outages.absence(ms(3_500)), Absence::MayHaveLapsed);
    // At 3.6 s a heartbeat tells of an answer at 2 s.
    assert_eq!(outages.record_answer(ms(2_000)), None);
    assert_eq!(outages.absence(ms(3_600)), Absence::Gone);
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
                outages.record_failure("e0", ms(now + failed_after));
                prop_assert_eq!(outages.absence(ms(now + failed_after)), Absence::Gone);
            }
            now += pause;
            prop_assert_eq!(outages.record_answer(ms(now)), None);
            prop_assert_eq!(outages.absence(ms(now)), Absence::Gone);
        }
    }

    /// Two entries apply the same changes; one of them believes now and then that targets may have
    /// lapsed. Both hold, and hand on, the same list at each position.
    #[test]
    fn a_list_that_is_handed_on_is_that_of_the_store_whatever_an_entry_believes_of_outages(
        changes in prop::collection::vec((0u8..6, 0u8..3, any::<bool>()), 1..60),
    ) {
        let mut states = [ClusterState::default(), ClusterState::default()];
        for state in &mut states {
            state.replace_targets(Vec::new(), at(0), Absence::Gone);
        }
        for (revision, (number, kind, believes)) in (1..).zip(changes) {
            let id = format!("t{number}");
            let beliefs = [Absence::Gone, if believes { Absence::MayHaveLapsed } else { Absence::Gone }];
            for (state, absence) in states.iter_mut().zip(beliefs) {
                match kind {
                    0 => drop(state.put_target(id.clone(), record(&id, revision).1)),
                    1 => drop(state.remove_target(&id, revision, absence)),
                    _ => drop(state.replace_targets(vec![record(&id, revision)], at(revision), absence)),
                }
                state.advance_targets(revision);
            }
            let [a, b] = &states;
            prop_assert_eq!((a.targets_at(), a.targets_digest()), (b.targets_at(), b.targets_digest()));
            let keys = |state: &ClusterState| {
                let mut keys: Vec<_> = state.target_records().map(|(key, _)| key.clone()).collect();
                keys.sort_unstable();
                keys
            };
            prop_assert_eq!(keys(a), keys(b));
            prop_assert_eq!(a.lapsed().count(), 0);
            prop_assert!(b.lapsed().all(|(key, _)| b.target_record(key).is_none()));
        }
        states[1].drop_lapsed();
        prop_assert_eq!(ids(&states[0]), ids(&states[1]));
    }
}

#[test]
fn a_target_that_lapsed_is_used_beside_the_list_and_the_position_passes_its_removal() {
    let mut state = ClusterState::default();
    state.replace_targets(vec![record("t0", 5), record("t1", 6)], at(6), Absence::Gone);
    state.remove_target("t0", 8, Absence::MayHaveLapsed);
    state.advance_targets(8);
    assert_eq!(state.targets_at(), at(8));
    assert!(state.target_record("t0").is_none());
    assert_eq!(ids(&state), ["t0", "t1"]);
    let (key, written) = record("t0", 7);
    assert!(!state.put_target(key, written), "a late change");
    let (key, written) = record("t0", 9);
    assert!(state.put_target(key, written));
    assert!(!state.drop_lapsed(), "it has registered again");
    assert_eq!(ids(&state), ["t0", "t1"]);
}

#[test]
fn a_target_that_was_leaving_or_replaced_does_not_lapse() {
    let mut state = ClusterState::default();
    let (key, mut leaving) = record("t0", 5);
    leaving.target = leaving.target.map(|target| Target { leaving: true, ..target });
    state.replace_targets(vec![(key, leaving), record("t1", 6)], at(6), Absence::Gone);
    state.remove_target("t0", 8, Absence::MayHaveLapsed);
    state.remove_target("t1", 9, Absence::MayHaveLapsed);
    assert_eq!(ids(&state), ["t1"]);
    // A server with another id begins at the address of the one that lapsed.
    let (_, on_its_host) = record("t1", 10);
    let replacement = on_its_host.target.clone().map(|old| Target { id: "t2".to_owned(), ..old });
    state.put_target("t2".to_owned(), TargetRecord { target: replacement, ..on_its_host });
    assert_eq!(ids(&state), ["t2"]);
}

#[test]
fn an_entry_without_a_list_takes_over_what_another_one_keeps_beside_it() {
    let mut state = ClusterState::default();
    state.replace_targets(vec![record("t1", 6)], at(8), Absence::Gone);
    state.adopt_lapsed(vec![record("t0", 5), record("t1", 4)]);
    assert_eq!(state.lapsed().count(), 1, "a target that is listed did not lapse");
    let outages = StoreOutages::new(RENEWAL_INTERVAL);
    outages.record_answer(ms(200));
    outages.adopt_end(ms(100));
    assert_eq!(outages.absence(ms(300)), Absence::MayHaveLapsed);
    outages.record_answer(ms(2_100));
    assert_eq!(outages.absence(ms(2_400)), Absence::Gone);
}

/// Entries of a fleet, as many of them as the store may turn away, and a majority.
const ENTRIES: u32 = 13;
const TURNED_AWAY: u32 = 5;
const MAJORITY: u32 = 7;

/// Returns the record of an entry of the fleet, of which so many entries have asked in vain by a time.
fn fleet_silent_since(answered: Duration, asked: u32, at: Duration) -> StoreOutages {
    let outages = calm_until(answered);
    outages.set_entries(ENTRIES);
    for entry in 0..asked {
        outages.record_failure(&format!("e{entry}"), at);
    }
    outages
}

/// The entries that asked were turned away, and the others had not asked: their silence was taken for that
/// of all, and targets that had left were used for seconds.
#[test]
fn entries_that_have_not_asked_are_no_evidence_of_an_outage() {
    for asked in 1..=TURNED_AWAY {
        let outages = fleet_silent_since(ms(1_000), asked, ms(2_500));
        assert_eq!(outages.absence(ms(5_000)), Absence::Gone, "{asked} asked");
        assert_eq!(outages.record_answer(ms(5_000)), None, "{asked} asked");
        assert_eq!(outages.absence(ms(5_000)), Absence::Gone, "{asked} asked");
    }
}

#[test]
fn an_outage_is_evident_once_a_majority_has_asked_in_vain() {
    for asked in [MAJORITY, ENTRIES] {
        let outages = fleet_silent_since(ms(1_000), asked, ms(3_000));
        assert_eq!(outages.absence(ms(3_399)), Absence::Gone, "leases have not expired yet");
        assert_eq!(outages.absence(ms(3_400)), Absence::MayHaveLapsed);
        assert_eq!(outages.record_answer(ms(3_400)), Some(ms(2_400)));
        assert_eq!(outages.absence(ms(3_400)), Absence::MayHaveLapsed);
    }
}

/// One entry that asks again and again is one witness, and so are its heartbeats.
#[test]
fn an_entry_counts_once_however_often_it_asks() {
    let outages = fleet_silent_since(ms(1_000), 1, ms(1_500));
    for step in 0..40 {
        assert!(!outages.record_failure("e0", ms(1_500 + step * 100)));
    }
    assert_eq!(outages.absence(ms(5_000)), Absence::Gone);
}

#[test]
fn an_outage_that_follows_on_a_share_turned_away_and_the_other_way_round_is_told_from_it() {
    let outages = fleet_silent_since(ms(1_000), TURNED_AWAY, ms(1_500));
    // The others are answered, so the calls before are forgotten.
    assert_eq!(outages.record_answer(ms(2_600)), None);
    assert!(!outages.record_failure("e0", ms(2_600)), "it failed before the answer");
    // Then the store answers nobody: all ask, those that are turned away as well.
    for entry in 0..ENTRIES {
        assert!(outages.record_failure(&format!("e{entry}"), ms(4_600)));
    }
    assert_eq!(outages.absence(ms(5_000)), Absence::MayHaveLapsed);
    // It comes back, and turns a share away for three more seconds.
    assert_eq!(outages.record_answer(ms(9_000)), Some(ms(6_400)));
    for step in 1..40 {
        let now = ms(9_000 + step * 100);
        (0..TURNED_AWAY).for_each(|entry| {
            outages.record_failure(&format!("e{entry}"), now);
        });
        if step % 11 == 0 {
            assert_eq!(outages.record_answer(now), None, "no outage of its own");
        }
        let expected = if step < 23 { Absence::MayHaveLapsed } else { Absence::Gone };
        assert_eq!(outages.absence(now), expected, "{step}00 ms after the return");
    }
}

/// Entries that are gone do not ask.
#[test]
fn an_outage_is_evident_to_what_is_left_of_a_fleet() {
    let outages = fleet_silent_since(ms(1_000), 3, ms(3_000));
    assert_eq!(outages.absence(ms(4_000)), Absence::Gone);
    outages.set_entries(4);
    assert_eq!(outages.absence(ms(4_000)), Absence::MayHaveLapsed);
}

/// A large fleet asks only in part.
#[test]
fn an_outage_is_evident_to_a_large_fleet_of_which_a_part_asks() {
    for entries in [58, 98, 1_600] {
        let outages = fleet_silent_since(ms(1_000), 20, ms(3_000));
        outages.set_entries(entries);
        assert_eq!(outages.absence(ms(4_000)), Absence::MayHaveLapsed, "{entries}");
    }
}

#[test]
fn entries_ask_early_enough_to_tell_an_outage_before_the_first_lease_expires() {
    let outages = StoreOutages::new(RENEWAL_INTERVAL);
    let usual_answer = ms(4);
    let times = ReadTimes::new(outages.evidence_time());
    let unanswered = times.own_read_age(usual_answer) + times.answer_time(usual_answer);
    let spread_time = ms(200);
    assert!(unanswered + spread_time <= RENEWAL_INTERVAL * 2, "{unanswered:?}");
}
