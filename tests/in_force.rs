//! Spread of the configuration among real processes: a change comes into force everywhere despite
//! killed processes and store outages.

mod common;

use std::time::{Duration, Instant};

use awc::http::StatusCode;
use common::Call;
use serde_json::{Value, json};
use standins::fleet::{self, Fleet, Plan};

const POLICY: &str = "/v1/resources/policy/members";
/// Longer than the freshness time that [`use_fast_timing`] sets.
const OUTAGE: Duration = Duration::from_secs(5);
/// Maximum number of reads that the key-value service may receive in one second of this test, with
/// waiting watches and the operator's reads; the service's capacity is 2,000.
const MAX_READS_PER_SECOND: u64 = 200;
/// Maximum number of writes in one second; the service's capacity is 300.
const MAX_WRITES_PER_SECOND: u64 = 60;

/// Sets the timing for a fleet of the present size, with all processes in one data centre.
fn use_fast_timing(settings: &mut Value) {
    settings["data_centre"] = json!("kafr");
    settings["heartbeat_ms"] = json!(250);
    settings["link_deadline_ms"] = json!(1_000);
    settings["freshness_ms"] = json!(3_000);
    for peer in settings["peers"].as_array_mut().into_iter().flatten() {
        peer["data_centre"] = json!("kafr");
    }
}

fn use_fast_agent_timing(settings: &mut Value) {
    settings["data_centre"] = json!("kafr");
    settings["links"] = json!({ "heartbeat_ms": 250, "deadline_ms": 1_000, "freshness_ms": 3_000 });
}

async fn start(entries: usize, engines: usize, services: usize) -> Fleet {
    let plan = Plan {
        entries,
        engines,
        services,
        adjust_entry: use_fast_timing,
        adjust_agent: use_fast_agent_timing,
        ..Plan::default()
    };
    let fleet = Fleet::start(&plan).expect("the fleet starts");
    common::declare_and_wait(&fleet).await;
    fleet
}

async fn send_as_operator(call: Call<'_>) -> common::Answer {
    let call = Call { token: fleet::OPERATOR_TOKEN, ..call };
    call.send().await.expect("the entry answers")
}

/// Changes the policy's weight through an entry.
async fn change_weight(fleet: &Fleet, entry: usize, weight: u32) -> common::Answer {
    let mut document = send_as_operator(Call::get(fleet.entry(entry), POLICY)).await.json();
    document["spec"]["weight"] = json!(weight);
    let put = Call::post(fleet.entry(entry), POLICY, &document);
    send_as_operator(Call { method: "PUT", ..put }).await
}

async fn condition(fleet: &Fleet, entry: usize) -> Value {
    let document = send_as_operator(Call::get(fleet.entry(entry), POLICY)).await.json();
    document["status"]["conditions"][0].clone()
}

async fn wait_until_in_force(fleet: &Fleet, entry: usize) {
    common::wait_for("the change in force", async || {
        condition(fleet, entry).await["status"] == "True"
    })
    .await;
}

async fn set_store_faults(fleet: &Fleet, faults: &Value) {
    let call = Call::post(fleet.store.address, "/control/faults", faults);
    let answer = call.send().await.expect("the stand-in answers");
    assert_eq!(answer.status, StatusCode::NO_CONTENT);
}

#[actix_rt::test]
async fn a_change_is_in_force_though_a_process_of_each_kind_is_killed() {
    let mut fleet = start(4, 2, 1).await;
    let answer = change_weight(&fleet, 0, 3).await;
    assert_eq!(answer.status, StatusCode::OK, "{}", String::from_utf8_lossy(&answer.body));
    fleet.entries[3].process.kill().expect("the entry ends");
    fleet.targets[0].agent.kill().expect("the agent ends");
    fleet.targets[1].back_end.kill().expect("the engine ends");
    for entry in 0..3 {
        wait_until_in_force(&fleet, entry).await;
    }
    let document = send_as_operator(Call::get(fleet.entry(1), POLICY)).await.json();
    assert_eq!(document["spec"]["weight"], 3);
    assert_eq!(document["status"]["observed_generation"], document["metadata"]["generation"]);
}

#[actix_rt::test]
async fn a_data_centre_that_cannot_be_reached_is_named() {
    let plan = Plan { entries: 2, engines: 1, services: 0, ..Plan::default() };
    let mut fleet = Fleet::start(&plan).expect("the fleet starts");
    common::declare_and_wait(&fleet).await;
    wait_until_in_force(&fleet, 0).await;
    fleet.entries[1].process.kill().expect("the entry ends");
    let answer = change_weight(&fleet, 0, 2).await;
    assert_eq!(answer.status, StatusCode::OK, "{}", String::from_utf8_lossy(&answer.body));
    common::wait_for("the data centre to be named", async || {
        let condition = condition(&fleet, 0).await;
        let message = condition["message"].as_str().unwrap_or_default().to_owned();
        condition["status"] == "Unknown" && message.contains(fleet::DATA_CENTRES[1])
    })
    .await;
    fleet.entries[1].restart().expect("the entry starts");
    wait_until_in_force(&fleet, 0).await;
}

#[actix_rt::test]
async fn serving_continues_while_the_store_is_down_and_restarts_learn_from_peers() {
    let mut fleet = start(3, 2, 1).await;
    wait_until_in_force(&fleet, 0).await;
    set_store_faults(&fleet, &json!({ "down": true })).await;
    serve_through_outage(&fleet).await;
    changes_are_refused(&fleet).await;
    claims_are_refused_as_not_executed(&fleet).await;
    restart_in_outage(&mut fleet).await;
    set_store_faults(&fleet, &json!({})).await;
    common::wait_for("a change to be accepted", async || {
        change_weight(&fleet, 1, 5).await.status == StatusCode::OK
    })
    .await;
    wait_until_in_force(&fleet, 1).await;
    store_calls_stay_in_budget(&fleet).await;
}

async fn serve_through_outage(fleet: &Fleet) {
    let start = Instant::now();
    while start.elapsed() < OUTAGE {
        for index in 0..fleet.entries.len() {
            let answer = common::chat(fleet.entry(index), "log", 2, false).await;
            let answer = answer.expect("the entry answers");
            let text = String::from_utf8_lossy(&answer.body).into_owned();
            assert_eq!(answer.status, StatusCode::OK, "{text}");
        }
    }
}

async fn changes_are_refused(fleet: &Fleet) {
    let spec = json!({ "key_sha256": "1".repeat(64) });
    let document = fleet::documents::resource("customer", "late", &spec);
    let answer =
        send_as_operator(Call::post(fleet.entry(0), "/v1/resources/customer", &document)).await;
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(answer.header("content-type"), Some("application/problem+json"));
}

async fn claims_are_refused_as_not_executed(fleet: &Fleet) {
    let path = "/v1/services/dispatch-api/holds";
    let headers = [("idempotency-key", "in-the-outage")];
    let call = Call { headers: &headers, ..Call::post(fleet.entry(0), path, &json!({})) };
    let answer = call.send().await.expect("the entry answers");
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE, "{text}");
    assert_eq!(answer.json()["executed"], "no", "{text}");
    assert!(answer.header("retry-after").is_some(), "the caller is told when to retry");
    assert_eq!(common::runs_with_key(fleet, "in-the-outage").await, 0);
}

/// Hosts store nothing, so a process that starts during an outage gets its whole configuration
/// from its peers.
async fn restart_in_outage(fleet: &mut Fleet) {
    fleet.entries[2].process.kill().expect("the entry ends");
    fleet.entries[2].restart().expect("the entry starts");
    fleet.targets[0].agent.kill().expect("the agent ends");
    fleet.targets[0].restart_agent().expect("the agent starts");
    common::wait_for_targets(fleet, fleet.entries[2].admin).await;
    common::wait_for("the new entry to serve", async || {
        let answer = common::chat(fleet.entry(2), "again", 2, false).await;
        answer.is_some_and(|answer| answer.status == StatusCode::OK)
    })
    .await;
}

async fn store_calls_stay_in_budget(fleet: &Fleet) {
    let call = Call::get(fleet.store.address, "/control/counts");
    let counts = call.send().await.expect("the stand-in answers").json();
    let number = |name: &str| counts[name].as_u64().unwrap_or_else(|| panic!("{name}: {counts}"));
    let peak = number("peak_reads_per_second") + number("waiting_watches");
    assert!(peak <= MAX_READS_PER_SECOND, "{counts}");
    assert!(number("peak_writes_per_second") <= MAX_WRITES_PER_SECOND, "{counts}");
    assert_eq!(number("refused"), 0, "{counts}");
}
