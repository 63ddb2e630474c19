//! The status of members by their heartbeats, the addresses for callers and the planned stop of an
//! entry.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use bitternwall::collections::{Map, Set};
use bitternwall::config::{options, peer_heartbeats};
use bitternwall::members::addresses::{self, LocalEntry};
use bitternwall::members::leaving::{Leaving, MAX_ANSWER_DELAY};
use bitternwall::members::table::{Heartbeat, Listed, Role, Status, Table, Timing};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const KEEP: Duration = Duration::from_secs(10);
const HEARTBEAT: Duration = Duration::from_secs(2);
const GONE_WITHIN: Duration = Duration::from_secs(5);
const START: Duration = Duration::from_secs(100);
const CALLERS: u64 = 6_000;

const LOCAL: LocalEntry = LocalEntry {
    name: "ikeja-0",
    data_centre: "ikeja",
    region: "ng-southwest",
    address: "127.0.0.1:8000",
    load: 0,
    leaving: false,
};

fn heartbeat<'a>(name: &'a str, sent_after: Duration) -> Heartbeat<'a> {
    Heartbeat {
        name,
        incarnation: 1,
        role: Role::Entry,
        data_centre: name.split('-').next().unwrap_or_default(),
        region: "ng-southwest",
        address: name,
        leaving: false,
        load: 0,
        sent_after: Some(sent_after),
    }
}

fn listed(name: &str) -> Listed<'_> {
    Listed { name, role: Role::Entry, data_centre: "ikeja", address: name }
}

fn names(table: &Table, caller: u64, now: Duration) -> Vec<String> {
    let chosen = addresses::choose(&LOCAL, table, caller, KEEP, now);
    chosen.into_iter().map(|address| address.name).collect()
}

fn is_named(table: &Table, name: &str, now: Duration) -> bool {
    (0..100).any(|caller| names(table, caller, now).iter().any(|other| other == name))
}

#[test]
fn a_dead_entry_is_gone_from_the_answers_in_time() {
    let mut table = Table::new(Timing::LARGE);
    let mut now = START;
    for _ in 0..10 {
        // The known send time lags behind the real one by one heartbeat interval.
        table.record_heartbeat(&heartbeat("ikeja-1", now - HEARTBEAT));
        assert!(is_named(&table, "ikeja-1", now));
        now += HEARTBEAT;
    }
    let died_at = now - HEARTBEAT;
    assert!(!is_named(&table, "ikeja-1", died_at + GONE_WITHIN));
    assert_eq!(table.status("ikeja-1", died_at + GONE_WITHIN), Some(Status::Dead));
}

#[test]
fn a_lost_connection_takes_an_entry_out_until_its_next_heartbeat() {
    let mut table = Table::new(Timing::LARGE);
    table.record_heartbeat(&heartbeat("ikeja-1", START));
    table.disconnected("ikeja-1");
    assert!(!is_named(&table, "ikeja-1", START));
    table.record_heartbeat(&heartbeat("ikeja-1", START));
    assert!(!is_named(&table, "ikeja-1", START), "a late copy changes nothing");
    table.record_heartbeat(&heartbeat("ikeja-1", START + HEARTBEAT));
    assert!(is_named(&table, "ikeja-1", START + HEARTBEAT));
}

#[test]
fn the_host_list_neither_ends_a_live_entry_nor_keeps_a_dead_one() {
    let mut table = Table::new(Timing::LARGE);
    table.set_host_list(&[listed("ikeja-1"), listed("ikeja-2")]);
    assert!(!is_named(&table, "ikeja-1", START), "an entry that has sent no heartbeat");
    table.record_heartbeat(&heartbeat("ikeja-1", START));
    table.record_heartbeat(&heartbeat("ikeja-2", START));
    table.set_host_list(&[listed("ikeja-2")]);
    table.tick(START);
    assert!(is_named(&table, "ikeja-1", START), "live, though the list lacks it");
    let later = START + GONE_WITHIN;
    table.record_heartbeat(&heartbeat("ikeja-1", later));
    table.tick(later);
    assert!(is_named(&table, "ikeja-1", later));
    assert!(!is_named(&table, "ikeja-2", later), "dead, though the list has it");
    let voters: Set<_> = table.names("ikeja", Role::Entry, later).collect();
    assert_eq!(voters, ["ikeja-1", "ikeja-2"].into_iter().collect());
    let much_later = later + Timing::LARGE.forget_after + HEARTBEAT;
    table.set_host_list(&[]);
    table.tick(much_later);
    assert_eq!(table.members().count(), 0, "no list names them and none sends heartbeats");
}

#[test]
fn late_heartbeats_of_a_past_incarnation_are_ignored() {
    let mut table = Table::new(Timing::LARGE);
    table.record_heartbeat(&heartbeat("ikeja-1", START));
    table.record_heartbeat(&Heartbeat {
        incarnation: 2,
        leaving: true,
        ..heartbeat("ikeja-1", START + HEARTBEAT)
    });
    table.record_heartbeat(&heartbeat("ikeja-1", START + 2 * HEARTBEAT));
    assert_eq!(table.status("ikeja-1", START + 2 * HEARTBEAT), Some(Status::Leaving));
    // Nor does a late heartbeat of the present incarnation clear the leaving flag.
    table.record_heartbeat(&Heartbeat {
        incarnation: 2,
        ..heartbeat("ikeja-1", START + 2 * HEARTBEAT)
    });
    assert_eq!(table.status("ikeja-1", START + 2 * HEARTBEAT), Some(Status::Leaving));
}

fn first_choices(table: &Table) -> Map<String, u64> {
    let mut counts = Map::default();
    for caller in 0..CALLERS {
        let first = names(table, caller, START).swap_remove(0);
        *counts.entry(first).or_default() += 1;
    }
    counts
}

#[test]
fn answers_are_near_first_and_spread_by_load_and_caller() {
    let mut table = Table::new(Timing::LARGE);
    for name in ["ikeja-1", "ikeja-2", "ikeja-3", "ikeja-4", "lekki-0", "lekki-1"] {
        table.record_heartbeat(&heartbeat(name, START));
    }
    table.record_heartbeat(&Heartbeat { load: 192, ..heartbeat("ikeja-4", START) });
    table.record_heartbeat(&Heartbeat { region: "delta-north", ..heartbeat("tanta-0", START) });
    let counts = first_choices(&table);
    let share = |name: &str| counts.get(name).copied().unwrap_or_default();
    let idle = CALLERS * 4 / 17;
    for name in ["ikeja-0", "ikeja-1", "ikeja-2", "ikeja-3"] {
        assert!((idle * 9 / 10..idle * 11 / 10).contains(&share(name)), "{name} {counts:?}");
    }
    let loaded = CALLERS / 17;
    assert!((loaded * 8 / 10..loaded * 12 / 10).contains(&share("ikeja-4")), "{counts:?}");
    for caller in 0..100 {
        let answer = names(&table, caller, START);
        assert_eq!(answer.len(), 4);
        assert!(answer[..3].iter().all(|name| name.starts_with("ikeja")), "{answer:?}");
        assert!(answer[3].starts_with("lekki"), "{answer:?}");
        assert_eq!(answer, names(&table, caller, START), "a caller's answer is steady");
    }
}

#[test]
fn an_entry_that_leaves_names_others_only() {
    let mut table = Table::new(Timing::LARGE);
    table.record_heartbeat(&heartbeat("lekki-0", START));
    let local = LocalEntry { leaving: true, ..LOCAL };
    let answer = addresses::choose(&local, &table, 1, KEEP, START);
    assert_eq!(answer.iter().map(|address| &*address.name).collect::<Vec<_>>(), ["lekki-0"]);
}

const SEND: u8 = 0;
const ANSWER: u8 = 1;
const RECEIVE: u8 = 2;
const RECEIVE_LEAVING: u8 = 3;

/// One heartbeat in each direction: milliseconds since the previous exchange, the delay of each
/// heartbeat in milliseconds, and whether it is lost.
#[derive(Clone, Debug)]
struct Exchange {
    gap: u64,
    delay: [u64; 2],
    lost: [bool; 2],
}

fn exchanges() -> impl Strategy<Value = Vec<Exchange>> {
    let delay = prop_oneof![4 => 0..100_u64, 1 => 0..20_000_u64];
    let lost = prop::bool::weighted(0.2);
    let exchange = (100..1_500_u64, [delay.clone(), delay], [lost, lost]);
    prop::collection::vec(
        exchange.prop_map(|(gap, delay, lost)| Exchange { gap, delay, lost }),
        20..60,
    )
}

/// Simulates the heartbeats between an entry that leaves and one that answers callers. Returns by
/// how much the last use of the leaving entry's address exceeds the time until which it serves.
fn overrun(exchanges: &[Exchange], leave_after: usize, date_by_arrival: bool) -> Option<Duration> {
    let mut steps = BTreeSet::new();
    let mut now = START;
    for (index, exchange) in exchanges.iter().enumerate() {
        now += Duration::from_millis(exchange.gap);
        steps.insert((now, SEND, index));
        if !exchange.lost[0] {
            steps.insert((now + Duration::from_millis(exchange.delay[0]), ANSWER, index));
        }
    }
    let mut answering = peer_heartbeats::PeerHeartbeats::new(1, options::Timing::LARGE);
    let mut table = Table::new(Timing::LARGE);
    let mut echo = 0;
    let mut leaving: Option<Leaving> = None;
    let mut echoes = Vec::new();
    let mut last_use = Duration::ZERO;
    while let Some((now, kind, index)) = steps.pop_first() {
        let exchange = &exchanges[index];
        match kind {
            // The answering entry sends a heartbeat; the other one receives it and replies at once.
            SEND => echoes.push(answering.record_sent(now)),
            ANSWER => {
                echo = echo.max(echoes[index]);
                if index >= leave_after && leaving.is_none() {
                    leaving = Some(Leaving::begin(now, KEEP, &Timing::LARGE));
                }
                let is_leaving = leaving.is_some();
                if !exchange.lost[1] {
                    let at = now + Duration::from_millis(exchange.delay[1]);
                    steps.insert((at, if is_leaving { RECEIVE_LEAVING } else { RECEIVE }, index));
                }
                echoes[index] = echo;
            }
            _ => {
                let received = peer_heartbeats::Heartbeat {
                    peer: Arc::from("ikeja-1"),
                    incarnation: 1,
                    data_centre: Arc::from("ikeja"),
                    entry: true,
                    sequence: 1,
                    revision: 1,
                    age: None,
                    echo: echoes[index],
                };
                let sent_after = answering.record_received(&received, now, !date_by_arrival);
                let heartbeat = Heartbeat {
                    sent_after,
                    leaving: kind == RECEIVE_LEAVING,
                    ..heartbeat("ikeja-1", now)
                };
                table.record_heartbeat(&heartbeat);
            }
        }
        for ahead in 0..60 {
            // A caller asks between this event and the next.
            let asked = now + Duration::from_millis(100 * ahead);
            let is_before_next = steps.first().is_none_or(|(next, ..)| asked <= *next);
            if is_before_next && table.status("ikeja-1", asked) == Some(Status::Live) {
                last_use = last_use.max(asked + MAX_ANSWER_DELAY + KEEP);
            }
        }
    }
    last_use.checked_sub(leaving?.serve_until).filter(|overrun| !overrun.is_zero())
}

fn explore(date_by_arrival: bool) -> Result<(), String> {
    let config = Config { cases: 500, failure_persistence: None, ..Config::default() };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    TestRunner::new_with_rng(config, rng)
        .run(&(exchanges(), 1..20_usize), |(exchanges, leave_after)| {
            let overrun = overrun(&exchanges, leave_after, date_by_arrival);
            prop_assert!(overrun.is_none(), "a caller comes {overrun:?} too late");
            Ok(())
        })
        .map_err(|error| error.to_string())
}

#[test]
fn an_entry_that_leaves_serves_until_no_caller_can_come() {
    if let Err(error) = explore(false) {
        panic!("{error}");
    }
}

#[test]
fn the_checker_sees_heartbeats_that_are_dated_by_arrival() {
    let error = explore(true).expect_err("the checker sees nothing without it");
    assert!(error.contains("too late"), "{error}");
}
