//! Entries that know each other only by the platform's host list.

mod common;

use std::time::Duration;

use awc::http::StatusCode;
use common::Call;
use serde_json::Value;
use standins::fleet::{Fleet, Plan};

/// How often the fleet's entries read the list.
const LIST_POLL: Duration = Duration::from_millis(100);
const READS_OF_THE_LIST: u32 = 10;

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

/// A list that has lost a live host does not end it, and one that names a dead host does not
/// bring its address back.
#[actix_rt::test]
async fn the_list_introduces_entries_and_neither_ends_nor_keeps_one() {
    let plan = Plan { entries: 3, engines: 1, services: 0, host_list: true, ..Plan::default() };
    let mut fleet = Fleet::start(&plan).expect("the fleet starts");
    let hosts: Vec<Value> = (0..3).map(|index| common::entry_host(&fleet, index)).collect();
    common::publish_hosts(&fleet, &hosts, 0).await;
    common::declare_and_wait(&fleet).await;
    for entry in 0..3 {
        wait_for_addresses(&fleet, entry, 3).await;
    }
    common::publish_hosts(&fleet, &hosts[..1], 0).await;
    for _ in 0..READS_OF_THE_LIST {
        assert_eq!(listed_addresses(&fleet, 0).await.len(), 3, "the list ends nobody");
        actix_rt::time::sleep(LIST_POLL).await;
    }
    common::publish_hosts(&fleet, &hosts, 0).await;
    fleet.entries[2].process.kill().expect("the entry ends");
    wait_for_addresses(&fleet, 0, 2).await;
    let dead = fleet.entry(2).to_string();
    assert!(!listed_addresses(&fleet, 0).await.contains(&dead), "the list still names it");
}
