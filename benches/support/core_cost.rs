//! What the decision cores cost at the target's size, without any I/O.

use std::hint;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use bitternwall::agent::options as agent_options;
use bitternwall::agent::{config_view, events as agent_events, world as agent_world};
use bitternwall::config::{envelope, history, state, view};
use bitternwall::entry::core::events::{self, Effect, Event};
use bitternwall::entry::core::{EntryWorld, Options, tables};
use bitternwall::external::store;
use bitternwall::resources::kinds;
use bitternwall::wire;
use bitternwall::wire::server;
use bytes::Bytes;
use serde_json::{Value, json};

use crate::procfs;

const CUSTOMERS: usize = 240;
const MODELS: usize = 21;
const TARGETS: usize = 12_000;
const DATA_CENTRES: usize = 39;
/// Changes of configuration on a day at the target size.
const CHANGES_A_DAY: f64 = 41_000.0;
const SECONDS_A_DAY: f64 = 86_400.0;
const REQUESTS: usize = 20_000;
/// Requests that are open while one more is served.
const OPEN: usize = 100;
const HEARTBEATS: usize = 200_000;
const CHANGES: usize = 20;
const OWN_DATA_CENTRE: &str = "dc-0";

/// Measures both cores and the configuration that they read.
///
/// # Panics
///
/// Panics where the target-size configuration does not make a whole view.
pub fn measure() -> Value {
    let before = resident();
    let mut history = history::History::default();
    history.replace(&range()).expect("the first state is newer than none");
    let with_state = resident();
    let view = Arc::new(view::View::new(history.state()));
    let with_view = resident();
    assert_eq!(view.targets().len(), TARGETS, "{:?}", view.skipped().first());
    let (mut world, linked) = entry_world(&view);
    let with_world = resident();
    let changes = changes(&mut history, &mut world);
    json!({
        "customers": CUSTOMERS, "models": MODELS, "targets": TARGETS, "linked_targets": linked,
        "state_bytes": with_state.saturating_sub(before),
        "view_bytes": with_view.saturating_sub(with_state),
        "entry_tables_bytes": with_world.saturating_sub(with_view),
        "change": changes,
        "entry_us_per_request": entry_requests(&mut world),
        "entry_us_per_heartbeat": entry_heartbeats(&mut world, &view),
        "agent_us_per_request": agent_requests(),
    })
}

fn resident() -> u64 {
    procfs::usage(std::process::id()).map(|usage| usage.resident_bytes).unwrap_or_default()
}

fn stored(kind: &str, name: &str, spec: &Value, revision: u64) -> store::KeyValue {
    let value = json!({
        "name": name, "generation": revision, "change_id": "5f0c8b5e9d7a4a55", "actor": "amal",
        "spec": spec,
    });
    store::KeyValue {
        key: format!("{}{kind}/{name}", envelope::PREFIX),
        value: Bytes::from(value.to_string()),
        create_revision: 1,
        mod_revision: revision,
    }
}

fn target(index: usize, drain: bool, revision: u64) -> store::KeyValue {
    let agent = SocketAddr::from(([10, 0, 0, 1], 7_000));
    let spec = json!({
        "service": format!("service-{}", index % MODELS),
        "agent": agent,
        "data_centre": format!("dc-{}", index / MODELS % DATA_CENTRES),
        "drain": drain,
    });
    stored("target", &format!("target-{index:05}"), &spec, revision)
}

fn range() -> store::Range {
    let names = |prefix: &str, count| -> Vec<String> {
        (0..count).map(|index| format!("{prefix}-{index}")).collect()
    };
    let (customers, services) = (names("customer", CUSTOMERS), names("service", MODELS));
    let mut entries: Vec<_> = (0..TARGETS).map(|index| target(index, false, 1)).collect();
    for (index, name) in customers.iter().enumerate() {
        let spec = json!({ "key_sha256": format!("{index:064x}") });
        entries.push(stored("customer", name, &spec, 1));
    }
    for (index, name) in services.iter().enumerate() {
        let spec = json!({ "kind": "model", "models": [format!("model-{index}")] });
        entries.push(stored("service", name, &spec, 1));
    }
    let spec = json!({
        "customers": customers, "services": services, "max_in_flight": 1_000,
    });
    entries.push(stored("policy", "members", &spec, 1));
    store::Range { revision: 1, entries }
}

fn entry_world(view: &Arc<view::View>) -> (EntryWorld, usize) {
    let options = Options { data_centre: OWN_DATA_CENTRE.to_owned(), ..Options::default() };
    let mut world = EntryWorld::new(options);
    let mut events =
        vec![Event::ConfigChanged(Arc::clone(view)), Event::MayServeUntil(Duration::MAX)];
    let near = near_targets(view);
    for target in &near {
        events.push(Event::LinkUp {
            target: target.clone(),
            incarnation: 1,
            region: String::new(),
        });
        events.push(heartbeat(target));
    }
    world.tick(Duration::from_secs(1), events, &mut Vec::new());
    (world, near.len())
}

fn near_targets(view: &view::View) -> Vec<String> {
    let near = view.targets().iter().filter(|row| row.spec.data_centre == OWN_DATA_CENTRE);
    near.map(|row| row.name.clone()).collect()
}

fn heartbeat(target: &str) -> Event {
    let report =
        events::TargetReport { slots: 64, takes_work: true, ..events::TargetReport::default() };
    Event::Heartbeat { target: target.to_owned(), report }
}

fn new_request(id: usize) -> events::NewRequest {
    let number = u64::try_from(id).unwrap_or(u64::MAX);
    let customer = format!("{:064x}", id % CUSTOMERS);
    events::NewRequest {
        id: tables::RequestId(number),
        key_hash: view::parse_key_hash(&customer).expect("the hash is hex"),
        route: events::Route::Model { model: format!("model-{}", id % MODELS) },
        idempotency_key: None,
        timeout: None,
        estimated_tokens: 300,
        affinity: number,
        fingerprint: number,
        resumable: true,
    }
}

/// Returns the time from a request's arrival to the end of its answer, with others open.
fn entry_requests(world: &mut EntryWorld) -> f64 {
    let now = Duration::from_secs(100);
    let mut open = std::collections::VecDeque::new();
    let start = Instant::now();
    for id in 0..REQUESTS {
        let mut effects = Vec::new();
        world.tick(now, vec![Event::Submitted(new_request(id))], &mut effects);
        let Some(Effect::Start(started)) = effects.pop() else {
            panic!("the request {id} was not started: {effects:?}");
        };
        world.tick(now, vec![Event::AnswerStarted(started.attempt)], &mut effects);
        open.push_back(started.attempt);
        if open.len() > OPEN
            && let Some(oldest) = open.pop_front()
        {
            world.tick(now, vec![Event::Answered(oldest)], &mut effects);
        }
    }
    per_item(start, REQUESTS)
}

fn entry_heartbeats(world: &mut EntryWorld, view: &view::View) -> f64 {
    let near = near_targets(view);
    let start = Instant::now();
    for target in near.iter().cycle().take(HEARTBEATS) {
        world.tick(Duration::from_secs(100), vec![heartbeat(target)], &mut Vec::new());
    }
    per_item(start, HEARTBEATS)
}

/// Returns what one change of a target's resource costs every entry today.
fn changes(history: &mut history::History, world: &mut EntryWorld) -> Value {
    let (mut moved, mut derived, mut ticked) = (Duration::ZERO, Duration::ZERO, Duration::ZERO);
    for change in 0..CHANGES {
        let revision = history.revision() + 1;
        let delta = state::Delta {
            base_revision: history.revision(),
            revision,
            changed: vec![target(change, change % 2 == 0, revision)],
            deleted: Vec::new(),
        };
        let start = Instant::now();
        history.apply_delta(&delta).expect("the delta fits");
        moved += start.elapsed();
        let start = Instant::now();
        let view = Arc::new(view::View::new(history.state()));
        derived += start.elapsed();
        let start = Instant::now();
        let event = Event::ConfigChanged(view);
        world.tick(Duration::from_secs(1), vec![event], &mut Vec::new());
        ticked += start.elapsed();
    }
    let millis = |total: Duration| total.as_secs_f64() * 1e3 / crate::to_f64(CHANGES);
    let total = millis(moved + derived + ticked);
    json!({
        "apply_ms": millis(moved),
        "derive_ms": millis(derived),
        "take_over_ms": millis(ticked),
        "total_ms": total,
        "core_share_at_target": total * CHANGES_A_DAY / SECONDS_A_DAY / 1e3,
    })
}

fn agent_requests() -> f64 {
    let mut world = agent_world::AgentWorld::new(agent_core_options());
    let (now, wall) = (Duration::from_secs(1), SystemTime::now());
    let config = config_view::ConfigView {
        revision: 1,
        kind: Some(kinds::ServiceKind::Model),
        claim_shards: 4,
        confirmed_at: now,
        ..config_view::ConfigView::default()
    };
    let mut effects = Vec::new();
    world.tick(now, wall, vec![agent_events::Event::Config(config)], &mut effects);
    let start = Instant::now();
    for id in 0..REQUESTS {
        effects.clear();
        let request = Box::new(attempt(id));
        let event = agent_events::Event::Start { link: server::LinkId(1), request };
        world.tick(now, wall, vec![event], &mut effects);
        let handed_on = effects.iter().find_map(|effect| match effect {
            agent_events::Effect::Dispatch { job, .. } => Some(*job),
            _ => None,
        });
        let job = handed_on.unwrap_or_else(|| panic!("{id} was not handed on: {effects:?}"));
        world.tick(now, wall, vec![agent_events::Event::Head(job)], &mut effects);
        let ended = agent_events::Event::Completed { job, bytes: 1_000, tokens: Some(300) };
        world.tick(now, wall, vec![ended], &mut effects);
        hint::black_box(&effects);
    }
    per_item(start, REQUESTS)
}

fn agent_core_options() -> agent_world::Options {
    let settings = json!({
        "target": "t", "service": "s", "data_centre": OWN_DATA_CENTRE, "region": "r",
        "listen": "127.0.0.1:1", "admin_listen": "127.0.0.1:2",
        "target_url": "http://127.0.0.1:3", "store": ["http://127.0.0.1:4"],
    });
    let settings = serde_json::from_value(settings).expect("the settings are whole");
    agent_options::core(&settings, 1)
}

fn attempt(id: usize) -> wire::StartAttempt {
    let number = u64::try_from(id).unwrap_or(u64::MAX);
    wire::StartAttempt {
        id: Some(wire::AttemptId { incarnation: 1, counter: number }),
        customer: format!("customer-{}", id % CUSTOMERS),
        service: "s".to_owned(),
        method: "POST".to_owned(),
        path: "/v1/chat/completions".to_owned(),
        deadline_ms: 60_000,
        config_revision: 1,
        estimated_tokens: 300,
        weight: 1,
        fingerprint: number,
        ..wire::StartAttempt::default()
    }
}

fn per_item(start: Instant, count: usize) -> f64 {
    start.elapsed().as_secs_f64() * 1e6 / crate::to_f64(count)
}
