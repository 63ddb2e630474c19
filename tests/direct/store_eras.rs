//! The store comes back from an older copy: revisions go back, and records of targets that have
//! drained or ended since are listed again.

use std::time::Duration;

use bitternwall::direct::known::cluster_state::{ClusterState, KnownVersions, TargetRecord};
use bitternwall::direct::known::crash_history::CrashHistory;
use bitternwall::direct::known::heartbeat::Heartbeat;
use bitternwall::direct::known::peers::Peers;
use bitternwall::direct::known::store::Position;
use bitternwall::direct::known::store_outages::{Absence, StoreOutages};
use bitternwall::direct::known::target::Target;
use bytes::Bytes;
use proptest::prelude::*;

use crate::target_choice::target;

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);
const RENEWAL_INTERVAL: Duration = Duration::from_millis(1_200);

fn position(era: u64, revision: u64) -> Position {
    Position { era, revision }
}

fn started(id: &str, started_unix_ms: u64) -> Target {
    Target { started_unix_ms: Some(started_unix_ms), ..target(id, 1) }
}

fn leaving(target: Target) -> Target {
    Target { leaving: true, ..target }
}

fn record(target: Target, revision: u64) -> (String, TargetRecord) {
    let raw = Bytes::new();
    (target.id.clone(), TargetRecord { revision, raw, target: Some(target) })
}

fn ids(state: &ClusterState) -> Vec<String> {
    let mut ids: Vec<String> = state.targets().into_iter().map(|target| target.id).collect();
    ids.sort_unstable();
    ids
}

proptest! {
    /// In whatever order lists arrive, the newest one of the latest era stays.
    #[test]
    fn the_target_list_never_goes_back(lists in prop::collection::vec((0u64..4, 0u64..20), 1..30)) {
        let mut state = ClusterState::default();
        let mut newest = None;
        for (era, revision) in lists {
            let at = position(era, revision);
            let taken = state.replace_targets(Vec::new(), at, Absence::Gone);
            prop_assert_eq!(taken, newest.is_none_or(|newest| newest <= at));
            newest = newest.max(Some(at));
            prop_assert_eq!(Some(state.targets_at()), newest);
        }
    }
}

#[test]
fn a_list_of_a_later_era_replaces_one_of_a_higher_revision() {
    let mut state = ClusterState::default();
    state.replace_targets(vec![record(started("t0", 1), 500)], position(1, 500), Absence::Gone);
    assert!(state.replace_targets(
        vec![record(started("t1", 2), 90)],
        position(2, 100),
        Absence::Gone
    ));
    assert_eq!(ids(&state), ["t1"]);
    assert!(!state.replace_targets(
        vec![record(started("t0", 1), 500)],
        position(1, 900),
        Absence::Gone
    ));
    let (key, written) = record(started("t2", 3), 101);
    assert!(state.put_target(key, written));
    state.advance_targets(101);
    assert_eq!(state.targets_at(), position(2, 101));
}

#[test]
fn a_target_that_is_kept_from_the_former_era_is_replaced_by_its_next_record() {
    let mut state = ClusterState::default();
    state.replace_targets(vec![record(started("t0", 1), 500)], position(1, 500), Absence::Gone);
    state.replace_targets(vec![record(started("t0", 1), 0)], position(2, 100), Absence::Gone);
    assert_eq!(ids(&state), ["t0"]);
    let (key, written) = record(leaving(started("t0", 1)), 101);
    assert!(state.put_target(key, written));
    assert!(state.targets()[0].leaving);
}

#[test]
fn a_target_that_has_gone_is_not_used_when_the_copy_lists_it() {
    let mut state = ClusterState::default();
    state.replace_targets(vec![record(started("t0", 1), 80)], position(1, 80), Absence::Gone);
    assert!(state.remove_target("t0", 120, Absence::Gone));
    state.advance_targets(120);
    state.replace_targets(vec![record(started("t0", 1), 80)], position(2, 90), Absence::Gone);
    assert!(ids(&state).is_empty());
    assert_eq!(state.withheld_count(), 1);
    let (key, written) = record(started("t0", 1), 95);
    assert!(state.put_target(key, written), "it writes again, so it is running");
    assert_eq!(ids(&state), ["t0"]);
}

#[test]
fn a_target_that_drains_is_not_used_when_the_copy_lists_it_as_ready() {
    let mut state = ClusterState::default();
    state.replace_targets(
        vec![record(leaving(started("t0", 1)), 120)],
        position(1, 120),
        Absence::Gone,
    );
    state.replace_targets(vec![record(started("t0", 1), 80)], position(2, 90), Absence::Gone);
    assert!(ids(&state).is_empty());
    // The store comes back from the same copy once more.
    state.replace_targets(vec![record(started("t0", 1), 80)], position(3, 90), Absence::Gone);
    assert!(ids(&state).is_empty());
}

#[test]
fn a_new_incarnation_of_a_target_that_has_gone_is_used() {
    let mut state = ClusterState::default();
    state.replace_targets(vec![record(started("t0", 1), 80)], position(1, 80), Absence::Gone);
    state.remove_target("t0", 120, Absence::Gone);
    state.replace_targets(vec![record(started("t0", 2), 85)], position(2, 90), Absence::Gone);
    assert_eq!(ids(&state), ["t0"]);
}

#[test]
fn a_target_that_stays_listed_is_used_again_after_a_while() {
    let mut state = ClusterState::default();
    state.replace_targets(vec![record(started("t0", 1), 80)], position(1, 80), Absence::Gone);
    state.remove_target("t0", 120, Absence::Gone);
    state.replace_targets(vec![record(started("t0", 1), 80)], position(2, 90), Absence::Gone);
    assert!(state.release_withheld());
    assert_eq!(ids(&state), ["t0"]);
    assert!(!state.release_withheld());
}

#[test]
fn a_target_that_the_copy_does_not_list_has_the_full_time_to_register_again() {
    let outages = StoreOutages::new(RENEWAL_INTERVAL);
    let mut state = ClusterState::default();
    let listed = vec![record(target("t0", 1), 480), record(target("t1", 2), 490)];
    state.replace_targets(listed, position(1, 490), Absence::Gone);
    let at = Duration::from_secs;
    for second in 0..60 {
        outages.record_answer(at(second));
    }
    assert_eq!(outages.absence(at(60)), Absence::Gone);
    state.remove_target("t0", 500, Absence::MayHaveLapsed);
    outages.record_return(at(60));
    let listed = vec![record(target("t2", 3), 90)];
    state.replace_targets(listed, position(2, 100), outages.absence(at(60)));
    assert_eq!(ids(&state), ["t0", "t1", "t2"], "also a target that had lapsed in the former era");
    outages.record_answer(at(62));
    assert_eq!(outages.absence(at(62)), Absence::MayHaveLapsed);
    assert_eq!(outages.absence(at(63)), Absence::Gone);
    assert!(state.drop_lapsed());
    assert_eq!(ids(&state), ["t2"]);
}

#[test]
fn a_target_that_lapsed_is_used_when_the_copy_lists_it() {
    let mut state = ClusterState::default();
    state.replace_targets(vec![record(started("t0", 1), 80)], position(1, 80), Absence::Gone);
    state.remove_target("t0", 120, Absence::MayHaveLapsed);
    let listed = vec![record(started("t0", 1), 80)];
    state.replace_targets(listed, position(2, 90), Absence::MayHaveLapsed);
    assert_eq!((ids(&state), state.withheld_count()), (vec!["t0".to_owned()], 0));
    assert!(!state.drop_lapsed(), "it is listed");
}

#[test]
fn a_peer_of_a_later_era_is_ahead_whatever_its_revision() {
    let mut peers = Peers::default();
    let ahead = Heartbeat {
        name: "a".to_owned(),
        sequence: 1,
        version: 3,
        targets_era: 2,
        targets_at: 9,
        ..Heartbeat::default()
    };
    peers.record_heartbeat(ahead, ([10, 0, 0, 1], 7_000).into(), Duration::ZERO);
    let source = |targets_at| {
        let known = KnownVersions { version: 3, targets_at, ..KnownVersions::default() };
        peers.find_newer(known, "dc", 0, HEARTBEAT_INTERVAL, Duration::ZERO).is_some()
    };
    assert!(source(position(1, 500)));
    assert!(!source(position(2, 9)));
    assert!(!source(position(3, 1)));
}

#[test]
fn a_refused_request_is_written_again_by_the_entry_that_wrote_it() {
    let now = Duration::from_secs(1);
    let mut history = CrashHistory::new(Duration::from_secs(600));
    for id in ["t-1", "t-2"] {
        let dispatch = history.dispatch(7, id, now);
        history.record_unanswered(dispatch, now);
        history.record_target_ended(id, now);
    }
    let report = history.next_unsaved(now).expect("a record to write");
    history.mark_saved(&report);
    assert_eq!(history.next_unsaved(now), None);
    assert_eq!(history.record_store_returned(), 1);
    assert_eq!(history.next_unsaved(now).as_ref(), Some(&report));

    let mut other = CrashHistory::new(Duration::from_secs(600));
    other.merge(&report, now);
    assert_eq!(other.record_store_returned(), 0);
}
