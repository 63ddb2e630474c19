//! Targets whose hosts freeze while callers wait there: they get nothing until they speak again.

use std::net::SocketAddr;
use std::time::Duration;

use bitternwall::collections::Map;
use bitternwall::direct::decisions::target_choice::{self, Criteria, NoChoice};
use bitternwall::direct::decisions::targets::Targets;
use bitternwall::direct::known::target::Outcome;
use bitternwall::ranks::messages::{RankMessage, StateMessage};
use bitternwall::ranks::status::Members;

use crate::target_choice::target;

const NOW: Duration = Duration::from_secs(100);
const FROZEN: u16 = 1_000;

fn ms(time: u64) -> Duration {
    Duration::from_millis(time)
}

fn addr(port: u16) -> SocketAddr {
    ([127, 0, 0, 1], port).into()
}

/// Two targets; the first one has the port [`FROZEN`].
fn table() -> Targets {
    let mut targets = Targets::new("kafr");
    targets.upsert(target("t0", FROZEN));
    targets.upsert(target("t1", FROZEN + 1));
    targets
}

fn chosen(targets: &Targets, draw: u32, now: Duration) -> Result<String, NoChoice> {
    let criteria = Criteria {
        service: "model",
        fill: 1.0,
        pause_goal: None,
        tried: &[],
        draw,
        kept: 0.0,
        last_places: target_choice::LAST_PLACES,
    };
    targets.choose(&criteria, now).map(|choice| choice.target.id)
}

#[test]
fn a_target_that_answers_nobody_gets_no_requests_though_others_are_full() {
    let mut targets = table();
    (0..4).for_each(|_| targets.request_started("t1"));
    assert_eq!(targets.record_silent(addr(FROZEN), NOW), Some("t0".to_owned()));
    assert_eq!(targets.record_silent(addr(FROZEN), NOW), None, "known already");
    assert_eq!(chosen(&targets, 0, NOW + ms(500)), Err(NoChoice::AllFull));
    targets.record_silent(addr(FROZEN), NOW + ms(500));
    assert_eq!(chosen(&targets, 0, NOW + ms(1_900)), Err(NoChoice::AllFull), "reported again");
    assert_eq!(chosen(&targets, 0, NOW + ms(2_100)), Ok("t0".to_owned()), "no longer reported");
}

#[test]
fn a_target_that_speaks_again_gets_one_request_until_it_answers() {
    let mut targets = table();
    targets.request_started("t1");
    targets.record_silent(addr(FROZEN), NOW);
    assert_eq!(targets.record_heard(addr(FROZEN), NOW + ms(10)), Some("t0".to_owned()));
    (0..3).for_each(|_| targets.request_started("t1"));
    assert_eq!(chosen(&targets, 0, NOW + ms(20)), Ok("t0".to_owned()));
    targets.request_started("t0");
    assert_eq!(chosen(&targets, 0, NOW + ms(30)), Err(NoChoice::AllFull));
    targets.record("t0", Outcome::Answered, NOW + ms(40));
    assert_eq!(chosen(&targets, 0, NOW + ms(50)), Ok("t0".to_owned()));
}

#[test]
fn a_request_whose_caller_left_counts_as_load_until_the_target_speaks() {
    let mut targets = table();
    for _ in 0..4 {
        targets.request_started("t0");
        targets.request_abandoned("t0", NOW);
    }
    // Without the abandoned requests both targets look idle, and some draws choose the first.
    assert!((0..64).all(|draw| chosen(&targets, draw << 20, NOW + ms(100)) == Ok("t1".to_owned())));
    targets.record_heard(addr(FROZEN), NOW + ms(200));
    assert!((0..64).any(|draw| chosen(&targets, draw << 20, NOW + ms(300)) == Ok("t0".to_owned())));
}

/// A group whose agents were last heard at the given times, by rank.
fn group(heard: &[Duration]) -> Members {
    let mut members = Members::default();
    let ranks = u32::try_from(heard.len()).expect("few ranks");
    for (rank, at) in (0..ranks).zip(heard) {
        let state =
            StateMessage { group: "g".into(), rank, ranks, open: true, ..StateMessage::default() };
        let engine = addr(FROZEN + u16::try_from(rank).expect("few ranks")).to_string();
        let message =
            RankMessage { engine, incarnation: 1, state: Some(state), ..RankMessage::default() };
        members.receive_message("g", &message, *at);
    }
    members
}

#[test]
fn the_engine_beside_a_silent_agent_is_polled_within_half_a_second() {
    let members = group(&[NOW, NOW - ms(600), NOW - ms(400)]);
    let stale: Vec<usize> = members.stale_ranks(false, NOW).iter().map(|(rank, _)| *rank).collect();
    assert_eq!(stale, [1]);
}

#[test]
fn only_ranks_not_heard_since_a_failed_poll_are_silent() {
    let members = group(&[NOW, NOW - ms(600), NOW - ms(600), NOW, NOW]);
    let failed = |ports: &[u16]| -> Map<SocketAddr, Duration> {
        ports.iter().map(|port| (addr(*port), NOW - ms(200))).collect()
    };
    let silent = members.confirmed_silent(&failed(&[FROZEN, FROZEN + 1]));
    assert_eq!(silent, Some(vec![addr(FROZEN + 1)]), "rank 0 was heard since");
    let members = group(&[NOW, NOW - ms(600), NOW - ms(600)]);
    let half = members.confirmed_silent(&failed(&[FROZEN + 1, FROZEN + 2]));
    assert_eq!(half, None, "the local link is the likely cause");
}
