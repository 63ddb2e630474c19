//! Entries that find each other only through the platform's host list.

mod common;

use std::time::Duration;

use awc::http::StatusCode;
use common::Call;
use serde_json::Value;
use standins::fleet::{Fleet, Plan};

/// The poll interval of the host list in the fleet's entries.
const LIST_POLL: Duration = Duration::from_millis(100);
/// Polls of a shortened list during which all addresses must stay.
const CHECKED_POLLS: u32 = 10;

async fn listed_addresses(fleet: &Fleet, entry: usize) -> Vec<String> {
    let answer = Call::get(fleet.entry(entry), "/v1/addresses").send().await.expect("an answer");
    assert_eq!(answer.status, StatusCode::OK);
    let document = answer.json();
    let listed = document["addresses"].as_array().cloned().unwrap_or_default();
    listed.iter().filter_map(|entry| entry["address"].as_str().map(str::to_owned)).collect()
}

async fn wait_for_addresses(fleet: &Fleet, entry: usize, count: usize) {
    common::wait_for("the addresses", async || listed_addresses(fleet, entry).await.len() == count)
        .await;
}

/// The host list is late and may be wrong, so only heartbeats may decide which entries are alive: a
/// live entry that is missing from the list keeps its address, and a dead one that is still listed
/// loses it.
#[actix_rt::test]
async fn the_list_adds_entries_but_neither_removes_live_ones_nor_keeps_dead_ones() {
    let plan = Plan { entries: 3, engines: 1, services: 0, host_list: true, ..Plan::default() };
    let mut fleet = Fleet::start(&plan).expect("the fleet starts");
    let hosts: Vec<Value> = (0..3).map(|index| common::entry_host(&fleet, index)).collect();
    common::publish_hosts(&fleet, &hosts, 0).await;
    common::declare_and_wait(&fleet).await;
    for entry in 0..3 {
        wait_for_addresses(&fleet, entry, 3).await;
    }
    common::publish_hosts(&fleet, &hosts[..1], 0).await;
    for _ in 0..CHECKED_POLLS {
        assert_eq!(
            listed_addresses(&fleet, 0).await.len(),
            3,
            "a live entry missing from the list keeps its address"
        );
        actix_rt::time::sleep(LIST_POLL).await;
    }
    common::publish_hosts(&fleet, &hosts, 0).await;
    fleet.entries[2].process.kill().expect("the entry is killed");
    wait_for_addresses(&fleet, 0, 2).await;
    let dead = fleet.entry(2).to_string();
    assert!(
        !listed_addresses(&fleet, 0).await.contains(&dead),
        "a dead entry that is still listed loses its address"
    );
}
