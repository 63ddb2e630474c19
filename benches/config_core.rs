//! Measures processor time and memory of the configuration and members modules at the planned
//! fleet size.
//!
//! Prints one JSON object per case; docs/CONFIGURATION.md interprets them. Run it with `cargo
//! bench --bench config_core`, on a host with `/proc`.

use std::hint::black_box;
use std::sync::Arc;
use std::time::Duration;
use std::{fs, io, mem};

use bitternwall::config::options::{Options, Timing};
use bitternwall::config::peer_heartbeats::Heartbeat;
use bitternwall::config::progress::Progress;
use bitternwall::config::replica::{Event, Replica};
use bitternwall::config::{history, state, view};
use bitternwall::external::store;
use bitternwall::members::{addresses, table};
use bytes::Bytes;
use serde_json::json;

const ENTRIES: u32 = 41;
const SERVERS: u32 = 308;
const CUSTOMERS: u32 = 240;
const MODELS: u32 = 21;
const DATA_CENTRES: u32 = 39;
const HEARTBEATS_PER_SECOND: f64 = 0.5;
const TICKS_PER_SECOND: f64 = 4.0;
const CHANGES_PER_SECOND: f64 = 41_000.0 / 86_400.0;
const ADDRESS_ANSWERS_PER_SECOND: f64 = 20.0;
const COPIES: u32 = 20;
const KEEP: Duration = Duration::from_secs(30);
const START: Duration = Duration::from_secs(1_000);

fn main() -> io::Result<()> {
    println!(
        "{}",
        json!({"case": "tables", "entries": ENTRIES, "servers": SERVERS,
        "customers": CUSTOMERS, "models": MODELS})
    );
    let one = range("state_of_one_data_centre", SERVERS);
    let all = range("state_of_all_data_centres", SERVERS * DATA_CENTRES);
    // Memory is measured first, before freed memory could be reused.
    measure_memory("replica_contacts", filled_replica)?;
    measure_memory("members_table", filled_members)?;
    for (case, range) in [&one, &all] {
        measure_memory(case, || filled_history(range))?;
        let history = filled_history(range);
        measure_memory(&format!("{case}_view"), || view::View::new(history.state()))?;
    }
    bench_replica()?;
    bench_members()?;
    for (case, range) in [&one, &all] {
        bench_state(case, range)?;
    }
    Ok(())
}

/// Returns the processor time that this process has used.
fn cpu_time() -> io::Result<Duration> {
    let text = fs::read_to_string("/proc/self/schedstat")?;
    let nanos = text.split_whitespace().next().and_then(|field| field.parse().ok());
    Ok(Duration::from_nanos(nanos.unwrap_or_default()))
}

/// Returns the resident memory of this process.
fn resident_kib() -> io::Result<u32> {
    let text = fs::read_to_string("/proc/self/status")?;
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().next()?.parse().ok());
    Ok(kib.unwrap_or_default())
}

/// Prints the mean processor time of one call of `operation`, and the share of a core that it uses
/// at a rate of `per_second` calls.
fn measure(
    case: &str,
    repeats: u32,
    per_second: f64,
    mut operation: impl FnMut(u32),
) -> io::Result<()> {
    operation(0);
    let start = cpu_time()?;
    for repeat in 1..=repeats {
        operation(repeat);
    }
    let each = (cpu_time()? - start) / repeats;
    let share = each.as_secs_f64() * per_second;
    let row = json!({"case": case, "repeats": repeats, "cpu_ns": u64::try_from(each.as_nanos()).ok(),
        "per_second": per_second, "core_percent": share * 100.0});
    println!("{row}");
    Ok(())
}

/// Prints the mean resident memory of one value that `build` returns.
fn measure_memory<T>(case: &str, build: impl Fn() -> T) -> io::Result<()> {
    let before = resident_kib()?;
    let copies: Vec<_> = (0..COPIES).map(|_| build()).collect();
    let each = (resident_kib()?.saturating_sub(before)) / COPIES;
    println!("{}", json!({"case": case, "copies": COPIES, "resident_kib": each}));
    mem::forget(copies);
    Ok(())
}

fn name(index: u32) -> String {
    if index < ENTRIES { format!("ikeja-entry-{index}") } else { format!("ikeja-agent-{index}") }
}

fn heartbeat(index: u32, round: u32) -> Heartbeat {
    Heartbeat {
        peer: Arc::from(name(index)),
        incarnation: 1,
        data_centre: Arc::from("ikeja"),
        entry: index < ENTRIES,
        sequence: u64::from(round),
        revision: 1_000,
        age: Some(Duration::from_secs(1)),
        echo: 0,
    }
}

fn filled_replica() -> Replica {
    let options = Options::new(&name(0), "ikeja", true, 7, Timing::LARGE);
    let mut replica = Replica::new(options, START);
    let voters: Vec<_> = (0..ENTRIES).map(name).collect();
    replica.set_voters(voters.iter().map(String::as_str), START);
    let mut effects = Vec::new();
    for index in 1..ENTRIES + SERVERS {
        replica.handle(Event::Heartbeat(heartbeat(index, 0)), START, &mut effects);
    }
    replica
}

fn bench_replica() -> io::Result<()> {
    let mut replica = filled_replica();
    let mut effects = Vec::new();
    let heartbeats: Vec<_> = (1..ENTRIES + SERVERS).map(|index| heartbeat(index, 1)).collect();
    let per_second = HEARTBEATS_PER_SECOND * f64::from(ENTRIES - 1 + SERVERS);
    let mut heartbeats = heartbeats.iter().cycle();
    measure("replica_heartbeat", 200_000, per_second, |_| {
        let heartbeat = heartbeats.next().cloned();
        heartbeat
            .into_iter()
            .for_each(|heartbeat| replica.handle(Event::Heartbeat(heartbeat), START, &mut effects));
        effects.clear();
    })?;
    measure("replica_tick", 20_000, TICKS_PER_SECOND, |_| {
        replica.tick(START, &mut effects);
        effects.clear();
    })?;
    let mut progress = Progress::default();
    measure("progress_tick", 20_000, TICKS_PER_SECOND, |_| progress.tick(&replica, START))?;
    measure("progress_summaries", 20_000, HEARTBEATS_PER_SECOND, |_| {
        black_box(progress.summaries(&replica, START));
    })
}

fn filled_members() -> table::Table {
    let mut members = table::Table::new(table::Timing::LARGE);
    (1..ENTRIES + SERVERS).for_each(|index| record_heartbeat(&mut members, index));
    members
}

fn record_heartbeat(members: &mut table::Table, index: u32) {
    let name = name(index);
    members.record_heartbeat(&table::Heartbeat {
        name: &name,
        incarnation: 1,
        role: if index < ENTRIES { table::Role::Entry } else { table::Role::Agent },
        data_centre: "ikeja",
        region: "ng-southwest",
        address: "10.0.0.1:8000",
        leaving: false,
        load: index,
        sent_after: Some(START),
    });
}

fn bench_members() -> io::Result<()> {
    let mut members = filled_members();
    let per_second = HEARTBEATS_PER_SECOND * f64::from(ENTRIES - 1 + SERVERS);
    measure("members_heartbeat", 200_000, per_second, |repeat| {
        record_heartbeat(&mut members, 1 + repeat % (ENTRIES + SERVERS - 1));
    })?;
    let local = addresses::LocalEntry {
        name: "ikeja-entry-0",
        data_centre: "ikeja",
        region: "ng-southwest",
        address: "10.0.0.1:8000",
        load: 0,
        leaving: false,
    };
    measure("members_addresses", 20_000, ADDRESS_ANSWERS_PER_SECOND, |repeat| {
        black_box(addresses::choose(&local, &members, u64::from(repeat), KEEP, START));
    })
}

fn resource(kind: &str, name: &str, spec: &serde_json::Value) -> store::KeyValue {
    let envelope = json!({"kind": kind, "name": name, "generation": 1, "change_id": "0123456789",
        "actor": "operator", "spec": spec});
    let key = format!("/bitternwall/config/{kind}/{name}");
    let value = envelope.to_string().into();
    store::KeyValue { key, value, create_revision: 1, mod_revision: 1 }
}

fn resources(servers: u32) -> Vec<store::KeyValue> {
    let customers = (0..CUSTOMERS).map(|index| {
        let spec = json!({"key_sha256": format!("{index:064x}")});
        resource("customer", &format!("customer-{index}"), &spec)
    });
    let services = (0..MODELS).map(|index| {
        let spec = json!({"kind": "model", "models": [format!("model-{index}")]});
        resource("service", &format!("service-{index}"), &spec)
    });
    let policies = (0..CUSTOMERS).map(|index| {
        let services: Vec<_> = (0..MODELS).map(|index| format!("service-{index}")).collect();
        let spec = json!({"customers": [format!("customer-{index}")], "services": services});
        resource("policy", &format!("policy-{index}"), &spec)
    });
    let targets = (0..servers).map(|index| {
        let spec = json!({"service": format!("service-{}", index % MODELS),
            "agent": "10.0.0.1:9000", "data_centre": format!("dc-{}", index / SERVERS)});
        resource("target", &format!("target-{index}"), &spec)
    });
    customers.chain(services).chain(policies).chain(targets).collect()
}

fn range(case: &'static str, servers: u32) -> (&'static str, store::Range) {
    (case, store::Range { revision: 1_000, entries: resources(servers) })
}

/// Returns a history whose values are copied, not shared with `range`, as in a process.
fn filled_history(range: &store::Range) -> history::History {
    let mut range = range.clone();
    for entry in &mut range.entries {
        entry.value = Bytes::copy_from_slice(&entry.value);
    }
    let mut history = history::History::default();
    history.replace(&range).expect("the first state is newer");
    history
}

fn bench_state(case: &str, range: &store::Range) -> io::Result<()> {
    let mut history = filled_history(range);
    measure(&format!("{case}_view"), 200, CHANGES_PER_SECOND, |_| {
        black_box(view::View::new(history.state()));
    })?;
    measure(&format!("{case}_delta"), 5_000, CHANGES_PER_SECOND, |_| {
        let shared = Arc::clone(history.state());
        let revision = shared.revision() + 1;
        let changed = range.entries[..1].to_vec();
        let base_revision = shared.revision();
        let delta = state::Delta { base_revision, revision, changed, deleted: Vec::new() };
        black_box(history.apply_delta(&delta)).unwrap_or_default();
    })
}
