//! Entries that know each other only by the platform's host list.

mod common;

use std::time::Duration;

use awc::http::StatusCode;
use common::Call;
use serde_json::{Value, json};
use standins::fleet::{DATA_CENTRES, Fleet, Plan};

/// How often the fleet's entries read the list.
const LIST_POLL: Duration = Duration::from_millis(100);
const READS_OF_THE_LIST: u32 = 10;

async fn publish(fleet: &Fleet, hosts: &[Value]) {
    let list = fleet.hosts.as_ref().expect("the plan has a host list");
    let call = Call::post(list.address, "/control/hosts", &json!({ "hosts": hosts }));
    let answer = call.send().await.expect("the stand-in answers");
    assert!(answer.status.is_success(), "{}", answer.status);
}

fn host(fleet: &Fleet, index: usize) -> Value {
    json!({
        "name": format!("entry-{index}"),
        "address": fleet.entries[index].link,
        "role": "entry",
        "data_centre": DATA_CENTRES[index],
        "state": "live",
    })
}

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
    let hosts: Vec<Value> = (0..3).map(|index| host(&fleet, index)).collect();
    publish(&fleet, &hosts).await;
    common::declare_and_wait(&fleet).await;
    for entry in 0..3 {
        wait_for_addresses(&fleet, entry, 3).await;
    }
    publish(&fleet, &hosts[..1]).await;
    for _ in 0..READS_OF_THE_LIST {
        assert_eq!(listed_addresses(&fleet, 0).await.len(), 3, "the list ends nobody");
        actix_rt::time::sleep(LIST_POLL).await;
    }
    publish(&fleet, &hosts).await;
    fleet.entries[2].process.kill().expect("the entry ends");
    wait_for_addresses(&fleet, 0, 2).await;
    let dead = fleet.entry(2).to_string();
    assert!(!listed_addresses(&fleet, 0).await.contains(&dead), "the list still names it");
}
