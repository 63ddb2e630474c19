//! Repeated sends of all entries together, with processes that start again.

use std::time::{Duration, SystemTime};

use bitternwall::clock::{Clock, ManualClock};
use bitternwall::direct::entry::{Entry, Options};
use bitternwall::direct::message::{TargetAnswer, TargetProtocol};
use bitternwall::direct::metrics::Metrics;
use bitternwall::direct::peers::Heartbeat;
use prometheus::Registry;

/// Repeated sends that the operator allows in a window besides the share of requests.
const ALLOWANCE: f64 = 190.0;
const RATIO: f64 = 0.2;
const ENTRIES: usize = 13;
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);

fn entry() -> (Entry, ManualClock) {
    let (clock, hands) = Clock::manual(SystemTime::UNIX_EPOCH);
    let options = Options {
        name: "own".to_owned(),
        data_centre: "kafr".to_owned(),
        retry_ratio: RATIO,
        retry_allowance: ALLOWANCE,
        engine_fill: 1.0,
        plain_fill: 2.0,
    };
    let protocol = TargetProtocol {
        encode: |_| actix_http::header::HeaderMap::new(),
        decode: |head| TargetAnswer {
            status: head.status,
            headers: actix_http::header::HeaderMap::new(),
            answers: None,
            sealed: false,
            not_run: false,
            other_incarnation: false,
            retry_after: None,
            idle_limit: None,
        },
    };
    let metrics = Metrics::register(&Registry::new()).expect("new names");
    let entry = Entry::new(clock, options, protocol, metrics);
    (entry, hands)
}

fn meet_others(entry: &Entry) {
    let now = entry.now();
    for index in 1..ENTRIES {
        let heartbeat =
            Heartbeat { name: format!("e{index}"), sequence: 1, ..Heartbeat::default() };
        let host = u8::try_from(index).expect("few");
        entry.peers.borrow_mut().record_heartbeat(heartbeat, ([10, 0, 0, host], 1).into(), now);
    }
    entry.peers.borrow_mut().count(HEARTBEAT_INTERVAL, now);
}

/// Sends every request again as often as the budget allows for `seconds`, and returns how often.
fn storm(entry: &Entry, hands: &ManualClock, seconds: u32, requests_per_second: u32) -> u32 {
    let mut sent = 0;
    for _ in 0..seconds * requests_per_second {
        hands.advance(Duration::from_secs(1) / requests_per_second);
        entry.earn_retry("model");
        while entry.spend_retry("model", true) {
            sent += 1;
        }
    }
    sent
}

#[actix_rt::test]
async fn a_storm_of_failures_stays_within_the_window_over_all_entries() {
    let (entry, hands) = entry();
    meet_others(&entry);
    hands.advance(Duration::from_secs(60));
    let requests = 8;
    let sent = f64::from(storm(&entry, &hands, 10, requests));
    let allowed = ALLOWANCE / 13.0 + RATIO * f64::from(10 * requests);
    assert!(sent <= allowed, "{sent} sends of {allowed}");
    assert!(sent >= allowed / 2.0, "{sent} sends of {allowed}");
}

#[actix_rt::test]
async fn a_process_that_starts_again_has_no_budget_saved() {
    let (entry, _hands) = entry();
    assert!(!entry.spend_retry("model", false));
}
