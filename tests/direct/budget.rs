//! Retries of all entries together, also after a process has restarted.

use std::time::{Duration, SystemTime};

use bitternwall::clock::{Clock, ManualClock};
use bitternwall::direct::known::heartbeat::Heartbeat;
use bitternwall::direct::message::{TargetAnswer, TargetProtocol};
use bitternwall::direct::state::entry::{Entry, Options};
use bitternwall::direct::state::metrics::Metrics;
use prometheus::Registry;

/// Retries that the operator allows in a window in addition to the share of requests.
const ALLOWANCE: f64 = 190.0;
const RATIO: f64 = 0.2;
const ENTRIES: usize = 13;
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);

fn entry() -> (Entry, ManualClock) {
    let (clock, manual_clock) = Clock::manual(SystemTime::UNIX_EPOCH);
    let options = Options {
        name: "own".to_owned(),
        data_centre: "kafr".to_owned(),
        retry_ratio: RATIO,
        retry_allowance: ALLOWANCE,
        engine_fill: 1.0,
        plain_fill: 2.0,
        crash_refusal: Duration::from_secs(600),
        heartbeat_interval: Duration::from_millis(100),
        in_force_time: Duration::from_secs(2),
        target_renewal_interval: Duration::from_millis(1_200),
        empties_data_centres: false,
        cold_tolerance: None,
    };
    let protocol = TargetProtocol {
        encode: |_| actix_http::header::HeaderMap::new(),
        decode: |head| TargetAnswer {
            status: head.status,
            headers: actix_http::header::HeaderMap::new(),
            attempt_id: None,
            sealed: false,
            not_run: false,
            other_incarnation: false,
            retry_after: Ok(None),
            leaving: Ok(false),
            idle_limit: None,
            rate: Ok(None),
        },
    };
    let metrics = Metrics::register(&Registry::new()).expect("new names");
    let entry = Entry::new(clock, options, protocol, metrics);
    (entry, manual_clock)
}

fn add_peers(entry: &Entry) {
    let now = entry.now();
    for index in 1..ENTRIES {
        let heartbeat =
            Heartbeat { name: format!("e{index}"), sequence: 1, ..Heartbeat::default() };
        let host = u8::try_from(index).expect("few");
        entry.peers.borrow_mut().record_heartbeat(heartbeat, ([10, 0, 0, host], 1).into(), now);
    }
    entry.peers.borrow_mut().count(HEARTBEAT_INTERVAL, now);
}

/// Lets an entry save up as many retries as it can.
fn save_up(entry: &Entry, manual_clock: &ManualClock) {
    entry.earn_retry("model");
    manual_clock.advance(Duration::from_secs(60));
}

/// Retries every request as often as the budget allows for `seconds`. Returns the number of
/// retries.
fn storm(entry: &Entry, manual_clock: &ManualClock, seconds: u32, requests_per_second: u32) -> u32 {
    let mut retries = 0;
    for _ in 0..seconds * requests_per_second {
        manual_clock.advance(Duration::from_secs(1) / requests_per_second);
        entry.earn_retry("model");
        while entry.spend_retry("model", true) {
            retries += 1;
        }
    }
    retries
}

#[actix_rt::test]
async fn a_storm_of_failures_stays_within_the_window_over_all_entries() {
    let (entry, manual_clock) = entry();
    add_peers(&entry);
    save_up(&entry, &manual_clock);
    let requests = 8;
    let retries = f64::from(storm(&entry, &manual_clock, 10, requests));
    let allowed = ALLOWANCE / 13.0 + RATIO * f64::from(10 * requests);
    assert!(retries <= allowed, "{retries} retries of {allowed}");
    assert!(retries >= allowed / 2.0, "{retries} retries of {allowed}");
}

#[actix_rt::test]
async fn a_restarted_process_has_no_saved_budget() {
    let (entry, _manual_clock) = entry();
    assert!(!entry.spend_retry("model", false));
}

/// Its previous incarnation may have overdrawn the budget just before.
#[actix_rt::test]
async fn a_restarted_process_may_not_overdraw_its_budget_again_in_the_same_window() {
    let (entry, manual_clock) = entry();
    add_peers(&entry);
    save_up(&entry, &manual_clock);
    let requests = 1;
    let before = storm(&entry, &manual_clock, 1, requests);
    let (restarted, restarted_clock) = self::entry();
    add_peers(&restarted);
    let after = storm(&restarted, &restarted_clock, 9, requests);
    let allowed = ALLOWANCE / 13.0 + RATIO * f64::from(10 * requests);
    assert!(f64::from(before + after) <= allowed, "{before} and {after} retries of {allowed}");
}

#[actix_rt::test]
async fn an_entry_that_has_heard_no_other_takes_nothing_of_the_allowance() {
    let (entry, manual_clock) = entry();
    entry.peers.borrow_mut().expect_others();
    manual_clock.advance(Duration::from_secs(60));
    let requests = 8;
    let retries = f64::from(storm(&entry, &manual_clock, 10, requests));
    let earned = RATIO * f64::from(10 * requests);
    assert!(retries <= earned, "{retries} retries of {earned}");
    assert!(retries >= earned / 2.0, "{retries} retries of {earned}");
}

#[actix_rt::test]
async fn one_heartbeat_tells_an_entry_the_size_of_the_fleet() {
    let (entry, manual_clock) = entry();
    entry.peers.borrow_mut().expect_others();
    let counted_entries = u32::try_from(ENTRIES).expect("few");
    let heartbeat =
        Heartbeat { name: "e1".to_owned(), sequence: 1, counted_entries, ..Heartbeat::default() };
    let now = entry.now();
    entry.peers.borrow_mut().record_heartbeat(heartbeat, ([10, 0, 0, 1], 1).into(), now);
    manual_clock.advance(Duration::from_secs(60));
    let requests = 8;
    let retries = f64::from(storm(&entry, &manual_clock, 10, requests));
    let allowed = ALLOWANCE / 13.0 + RATIO * f64::from(10 * requests);
    assert!(retries <= allowed, "{retries} retries of {allowed}");
}

#[actix_rt::test]
async fn the_only_entry_has_the_whole_allowance() {
    let (entry, manual_clock) = entry();
    let retries = f64::from(storm(&entry, &manual_clock, 10, 100));
    assert!(retries >= ALLOWANCE / 2.0, "{retries} retries of {ALLOWANCE}");
}
