//! What the roles of a fleet of real processes cost, idle, under load and while it is changed.

use std::net::SocketAddr;
use std::time::{Duration, Instant};
use std::{fs, io};

use anyhow::Context as _;
use bitternwall::collections::Map;
use bitternwall::config::readers;
use serde_json::{Value, json};
use standins::fleet::{self, Fleet, Plan};

use crate::common::{self, Call};
use crate::load::{self, Load};
use crate::{procfs, sockets, to_f64};

/// Every process stands in one data centre, so that each entry links to all others.
const DATA_CENTRE: &str = "kafr";
/// Requests of the load phase for each one in flight.
const REQUESTS_PER_IN_FLIGHT: usize = 30;
const MAX_IN_FLIGHT: usize = 8;
const TOKENS: usize = 50;
/// Time between two changes while the fleet is changed.
const CHANGE_INTERVAL: Duration = Duration::from_millis(200);
/// How often the status of a change is asked for.
const STATUS_INTERVAL: Duration = Duration::from_millis(10);
const IN_FORCE_SAMPLES: usize = 5;
const IN_FORCE_LIMIT: Duration = Duration::from_secs(18);
const SETTLE: Duration = Duration::from_secs(3);
const STOP_LIMIT: Duration = Duration::from_secs(60);
const CUSTOMER: &str = "changing-plant";
const CUSTOMER_PATH: &str = "/v1/resources/customer/changing-plant";

/// Shape is how many processes a fleet has.
#[derive(Clone, Copy, Debug)]
pub struct Shape {
    /// Agents, each before a model engine.
    pub agents: usize,
    /// Entries.
    pub entries: usize,
}

/// Heartbeats is how often processes send them.
#[derive(Clone, Copy, Debug)]
pub enum Heartbeats {
    /// As the settings have it where they say nothing.
    Usual,
    /// Every two seconds, as a large fleet would.
    Slow,
}

fn near_entry(settings: &mut Value) {
    settings["data_centre"] = json!(DATA_CENTRE);
    for peer in settings["peers"].as_array_mut().into_iter().flatten() {
        peer["data_centre"] = json!(DATA_CENTRE);
    }
}

fn near_agent(settings: &mut Value) {
    settings["data_centre"] = json!(DATA_CENTRE);
}

fn slow_entry(settings: &mut Value) {
    near_entry(settings);
    settings["heartbeat_ms"] = json!(2_000);
    settings["link_deadline_ms"] = json!(5_000);
}

fn slow_agent(settings: &mut Value) {
    near_agent(settings);
    settings["links"] =
        json!({ "heartbeat_ms": 2_000, "deadline_ms": 5_000, "freshness_ms": 10_000 });
}

/// Runs a fleet of one shape through all phases and returns its row.
///
/// # Errors
///
/// Returns an error where the fleet does not start, serve or stop.
pub async fn measure(
    shape: Shape,
    phase: Duration,
    heartbeats: Heartbeats,
) -> anyhow::Result<Value> {
    let plan = Plan {
        entries: shape.entries,
        engines: shape.agents,
        services: 0,
        adjust_entry: match heartbeats {
            Heartbeats::Usual => near_entry,
            Heartbeats::Slow => slow_entry,
        },
        adjust_agent: match heartbeats {
            Heartbeats::Usual => near_agent,
            Heartbeats::Slow => slow_agent,
        },
        ..Plan::default()
    };
    let mut fleet = Fleet::start(&plan)?;
    common::declare_and_wait(&fleet).await;
    let spec = json!({ "key_sha256": "0".repeat(64) });
    let customer = fleet::documents::resource("customer", CUSTOMER, &spec);
    common::declare(fleet.entry(0), &customer).await;
    actix_rt::time::sleep(SETTLE).await;
    let idle = observe(&fleet, actix_rt::time::sleep(phase)).await?.0;
    let (changed, changes) = observe(&fleet, change_for(fleet.entry(0), phase)).await?;
    let (loaded, timings) = observe(&fleet, load::run(&chats(&fleet, shape))).await?;
    let row = json!({
        "agents": shape.agents,
        "entries": shape.entries,
        "load_average": fs::read_to_string("/proc/loadavg")?.trim(),
        "idle": idle,
        "changes": { "made": changes?, "costs": changed },
        "load": {
            "requests": timings.whole.len(),
            "failures": timings.failures,
            "requests_per_second":
                to_f64(timings.whole.len()) / timings.elapsed.as_secs_f64(),
            "costs": loaded,
        },
        "in_force_ms": in_force_times(fleet.entry(0)).await?,
    });
    fleet.stop(STOP_LIMIT)?;
    Ok(row)
}

fn chats(fleet: &Fleet, shape: Shape) -> Load {
    let in_flight = MAX_IN_FLIGHT.min(2 * shape.agents);
    Load {
        addresses: (0..shape.entries).map(|index| fleet.entry(index)).collect(),
        in_flight,
        requests: in_flight * REQUESTS_PER_IN_FLIGHT,
        tokens: TOKENS,
    }
}

/// Runs a phase and returns what each role cost while it ran.
async fn observe<T>(fleet: &Fleet, phase: impl Future<Output = T>) -> anyhow::Result<(Value, T)> {
    let before = reading(fleet).await?;
    let outcome = phase.await;
    let after = reading(fleet).await?;
    Ok((costs(fleet, &before, &after), outcome))
}

struct Reading {
    at: Instant,
    processor: Map<u32, Duration>,
    connections: Map<(u32, String), sockets::Traffic>,
    resident: Map<u32, u64>,
    store: Value,
}

async fn reading(fleet: &Fleet) -> anyhow::Result<Reading> {
    let store = Call::get(fleet.store.address, "/control/counts").send().await;
    let store = store.context("the store's stand-in gave no answer")?.json();
    let processes: Vec<u32> = roles(fleet).into_iter().flat_map(|(_, ids)| ids).collect();
    let times = processes.iter().map(|id| Ok((*id, procfs::thread_time(*id)?)));
    let sizes = processes.iter().map(|id| Ok((*id, procfs::usage(*id)?.resident_bytes)));
    Ok(Reading {
        at: Instant::now(),
        processor: times.collect::<io::Result<_>>()?,
        connections: sockets::connections(),
        resident: sizes.collect::<io::Result<_>>()?,
        store,
    })
}

/// Returns the processes of each role. The entry that takes the operators' calls stands alone.
fn roles(fleet: &Fleet) -> Vec<(&'static str, Vec<u32>)> {
    let names: Vec<&str> = fleet.entries.iter().map(|entry| entry.process.name.as_str()).collect();
    let reads = |own: &str| {
        let live = names.iter().copied();
        readers::is_reader(own, DATA_CENTRE, live, readers::PER_DATA_CENTRE, Duration::ZERO)
    };
    let (mut operator, mut reader, mut entry) = (Vec::new(), Vec::new(), Vec::new());
    for (index, one) in fleet.entries.iter().enumerate() {
        let role = match (index, reads(&one.process.name)) {
            (0, _) => &mut operator,
            (_, true) => &mut reader,
            (_, false) => &mut entry,
        };
        role.push(one.process.id());
    }
    let agents = fleet.targets.iter().map(|target| target.agent.id()).collect();
    vec![("operator", operator), ("reader", reader), ("entry", entry), ("agent", agents)]
}

fn costs(fleet: &Fleet, before: &Reading, after: &Reading) -> Value {
    let seconds = (after.at - before.at).as_secs_f64();
    let traffic = sockets::between(&before.connections, &after.connections);
    let mut costs = serde_json::Map::new();
    for (role, processes) in roles(fleet) {
        let mean = |of: &dyn Fn(&u32) -> f64| {
            processes.iter().map(of).sum::<f64>() / to_f64(processes.len().max(1))
        };
        let processor = |id: &u32| {
            let used = after.processor[id].saturating_sub(before.processor[id]);
            used.as_secs_f64() * 1e3 / seconds
        };
        let moved = |id: &u32| traffic.get(id).copied().unwrap_or_default();
        let row = json!({
            "processes": processes.len(),
            "processor_ms_per_s": mean(&processor),
            "resident_mb": mean(&|id| to_f64(after.resident[id]) / 1e6),
            "sent_bytes_per_s": mean(&|id| to_f64(moved(id).sent) / seconds),
            "received_bytes_per_s": mean(&|id| to_f64(moved(id).received) / seconds),
        });
        costs.insert(role.to_owned(), row);
    }
    costs.insert("store".to_owned(), store_calls(&before.store, &after.store, seconds));
    Value::Object(costs)
}

fn store_calls(before: &Value, after: &Value, seconds: f64) -> Value {
    let mut calls = serde_json::Map::new();
    for (call, count) in after["calls"].as_object().into_iter().flatten() {
        let earlier = before["calls"][call].as_f64().unwrap_or_default();
        let rate = (count.as_f64().unwrap_or_default() - earlier) / seconds;
        calls.insert(format!("{call}_per_s"), json!(rate));
    }
    calls.insert("waiting_watches".to_owned(), after["waiting_watches"].clone());
    Value::Object(calls)
}

/// Changes one customer again and again; returns how often.
async fn change_for(entry: SocketAddr, phase: Duration) -> anyhow::Result<usize> {
    let start = Instant::now();
    let mut made = 0;
    while start.elapsed() < phase {
        let next = actix_rt::time::Instant::now() + CHANGE_INTERVAL;
        change(entry, made).await?;
        made += 1;
        actix_rt::time::sleep_until(next).await;
    }
    Ok(made)
}

async fn change(entry: SocketAddr, number: usize) -> anyhow::Result<()> {
    let mut document = read(entry).await?;
    document["spec"]["key_sha256"] = json!(format!("{number:064x}"));
    if let Some(object) = document.as_object_mut() {
        object.remove("status");
    }
    let call = Call::post(entry, CUSTOMER_PATH, &document);
    let call = Call { method: "PUT", token: fleet::OPERATOR_TOKEN, ..call };
    let answer = call.send().await.context("the operators' API gave no answer")?;
    let text = String::from_utf8_lossy(&answer.body);
    anyhow::ensure!(answer.status.is_success(), "The change was refused: {text}.");
    Ok(())
}

async fn read(entry: SocketAddr) -> anyhow::Result<Value> {
    let call = Call { token: fleet::OPERATOR_TOKEN, ..Call::get(entry, CUSTOMER_PATH) };
    let answer = call.send().await.context("the operators' API gave no answer")?;
    Ok(answer.json())
}

/// Returns how long changes took from the operator's call until they were in force everywhere.
async fn in_force_times(entry: SocketAddr) -> anyhow::Result<Vec<u128>> {
    let mut times = Vec::new();
    for sample in 0..IN_FORCE_SAMPLES {
        let start = Instant::now();
        change(entry, 1_000_000 + sample).await?;
        while !is_in_force(&read(entry).await?) {
            anyhow::ensure!(start.elapsed() < IN_FORCE_LIMIT, "The change is not in force.");
            actix_rt::time::sleep(STATUS_INTERVAL).await;
        }
        times.push(start.elapsed().as_millis());
    }
    Ok(times)
}

fn is_in_force(document: &Value) -> bool {
    let conditions = document["status"]["conditions"].as_array();
    let in_force = |one: &Value| one["type"] == "InForce" && one["status"] == "True";
    conditions.is_some_and(|conditions| conditions.iter().any(in_force))
}
