//! Answers to attempts of an earlier life of the entry, or of nobody, reach no caller.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix::{Actor as _, Addr};
use bitternwall::clock::Clock;
use bitternwall::config::{codec, options as config_options, replica};
use bitternwall::entry::core::Options;
use bitternwall::entry::core::events::{NewRequest, Route};
use bitternwall::entry::core::tables::RequestId;
use bitternwall::entry::membership::{self, Membership};
use bitternwall::entry::relay::Piece;
use bitternwall::entry::{actor, config_source, force, metrics, outbound};
use bitternwall::members::table;
use bitternwall::platform::store;
use bitternwall::wire;
use bitternwall::wire::client::LinkEvent;
use bitternwall::wire::frame::Kind;
use bytes::Bytes;
use serde_json::{Value, json};
use standins::fleet::documents;
use tokio::sync::mpsc;
use tokio::time;

const INCARNATION: u64 = 7;
const EARLIER_INCARNATION: u64 = 6;
const REVISION: u64 = 5;
const TARGET: &str = "engine-0";
const DATA_CENTRE: &str = "kafr";
const OWN: &[u8] = b"{\"own\":true}";
const FOREIGN: &[u8] = b"{\"foreign\":true}";
/// How long a test waits for what must come.
const PATIENCE: Duration = Duration::from_secs(30);

fn member(name: &str, role: wire::Role) -> wire::Member {
    wire::Member {
        name: name.to_owned(),
        incarnation: INCARNATION,
        role: role.into(),
        data_centre: DATA_CENTRE.to_owned(),
        ..wire::Member::default()
    }
}

fn start() -> Addr<actor::EntryActor> {
    let metrics = metrics::EntryMetrics::register(&prometheus::Registry::new());
    let clock = Clock::system();
    let timing = config_options::Timing::SMALL;
    let options = config_options::Options::new("entry/e", DATA_CENTRE, true, 1, timing);
    let endpoints = vec!["http://127.0.0.1:1".to_owned()];
    let store = store::Store::new(store::StoreOptions { endpoints, call_timeout: PATIENCE });
    let membership = Membership::new(membership::Parts {
        own: member("e", wire::Role::Entry),
        replica: replica::Replica::new(options, clock.monotonic()),
        timing: table::Timing::SMALL,
        source: config_source::ConfigSource::new(store, Rc::new(|_| {})),
        board: force::Board::default(),
        peers: Vec::new(),
    });
    actor::EntryActor::new(actor::Parts {
        options: Options::default(),
        clock,
        membership,
        dialler: Box::new(|_, _, _| actix_rt::spawn(std::future::ready(()))),
        heartbeat: timing.heartbeat,
        link_deadline: PATIENCE,
        address_keep: PATIENCE,
        metrics: metrics.expect("an empty registry takes the metrics"),
        ready: Arc::default(),
    })
    .start()
}

fn stored(kind: &str, name: &str, spec: &Value) -> wire::Resource {
    let value = json!({ "kind": kind, "name": name, "generation": 1, "spec": spec });
    wire::Resource {
        key: format!("/bitternwall/config/{kind}/{name}"),
        value: Bytes::from(value.to_string()),
        create_revision: REVISION,
        mod_revision: REVISION,
    }
}

fn configuration() -> wire::ConfigState {
    let (customer, _, hash) = documents::CUSTOMERS[0];
    let resources = vec![
        stored("customer", customer, &json!({ "key_sha256": hash })),
        stored("service", "llm", &json!({ "kind": "model", "models": ["summary"] })),
        stored("policy", "members", &json!({ "customers": [customer], "services": ["llm"] })),
        stored(
            "target",
            TARGET,
            &json!({ "service": "llm", "agent": "127.0.0.1:1", "data_centre": "kafr" }),
        ),
    ];
    wire::ConfigState { revision: REVISION, resources, ..wire::ConfigState::default() }
}

fn link(entry: &Addr<actor::EntryActor>, event: LinkEvent) {
    let process = codec::process_name(wire::Role::Agent, TARGET);
    entry.do_send(actor::Dialled { process, event });
}

/// Links a healthy agent that confirms the entry's configuration by each of its heartbeats.
async fn bring_up(entry: &Addr<actor::EntryActor>) -> mpsc::UnboundedReceiver<wire::Frame> {
    let (tx, mut agent) = mpsc::unbounded_channel();
    let member = Some(member(TARGET, wire::Role::Agent));
    link(entry, LinkEvent::Up { hello: Box::new(wire::Hello { member, heartbeat: None }), tx });
    link(entry, LinkEvent::Frame(Kind::ConfigState(configuration())));
    let load = wire::Load { slots: 8, takes_work: true, ..wire::Load::default() };
    loop {
        let frame = time::timeout(PATIENCE, agent.recv()).await.expect("heartbeats come");
        let Some(Kind::Heartbeat(heard)) = frame.expect("the link is up").kind else { continue };
        link(
            entry,
            LinkEvent::Frame(Kind::Heartbeat(wire::Heartbeat {
                sequence: heard.sequence,
                heard_sequence: heard.sequence,
                config_revision: REVISION,
                config_age_ms: Some(0),
                load: Some(load),
                ..wire::Heartbeat::default()
            })),
        );
        if heard.config_revision == REVISION {
            return agent;
        }
    }
}

fn submit(entry: &Addr<actor::EntryActor>) -> mpsc::UnboundedReceiver<Piece> {
    let (_, _, hash) = documents::CUSTOMERS[0];
    let byte = |at: usize| u8::from_str_radix(&hash[2 * at..2 * at + 2], 16).expect("hex digits");
    let (tx, rx) = mpsc::unbounded_channel();
    let request = NewRequest {
        id: RequestId(0),
        key_hash: std::array::from_fn(byte),
        route: Route::Model { model: "summary".to_owned() },
        idempotency_key: None,
        timeout: None,
        estimated_tokens: 1,
        affinity: 1,
        fingerprint: 1,
        resumable: false,
    };
    let outbound = outbound::Outbound {
        method: "POST".to_owned(),
        path: "/v1/chat/completions".to_owned(),
        headers: Vec::new(),
        body: Bytes::new(),
    };
    entry.do_send(actor::Submit { request, outbound, tx });
    rx
}

/// Sends a whole answer to an attempt.
fn answer(entry: &Addr<actor::EntryActor>, id: wire::AttemptId, body: &'static [u8]) {
    let id = Some(id);
    let length = u64::try_from(body.len()).expect("a short body");
    let body = wire::AnswerBody { id, index: 0, data: Bytes::from_static(body) };
    let end = wire::AnswerEnd { id, pieces: 1, length, complete: true };
    for kind in [
        Kind::AnswerHead(wire::AnswerHead { id, status: 200, headers: Vec::new() }),
        Kind::AnswerBody(body),
        Kind::AnswerEnd(end),
    ] {
        link(entry, LinkEvent::Frame(kind));
    }
}

async fn attempt(agent: &mut mpsc::UnboundedReceiver<wire::Frame>) -> wire::AttemptId {
    loop {
        let frame = time::timeout(PATIENCE, agent.recv()).await.expect("an attempt is made");
        if let Some(Kind::StartAttempt(start)) = frame.expect("the link is up").kind {
            return start.id.expect("an attempt has an id");
        }
    }
}

#[actix_rt::test]
async fn only_the_own_attempt_of_this_life_is_passed_on() {
    let entry = start();
    let mut agent = bring_up(&entry).await;
    let mut caller = submit(&entry);
    let own = attempt(&mut agent).await;
    assert_eq!(own.incarnation, INCARNATION);
    answer(&entry, wire::AttemptId { incarnation: EARLIER_INCARNATION, ..own }, FOREIGN);
    answer(&entry, wire::AttemptId { counter: own.counter + 1, ..own }, FOREIGN);
    let refusal = wire::Refusal {
        id: Some(wire::AttemptId { incarnation: EARLIER_INCARNATION, ..own }),
        executed: wire::Executed::No.into(),
        ..wire::Refusal::default()
    };
    link(&entry, LinkEvent::Frame(Kind::Refusal(refusal)));
    answer(&entry, own, OWN);
    answer(&entry, own, FOREIGN);
    let piece = time::timeout(PATIENCE, caller.recv()).await.expect("an answer comes");
    let Some(Piece::Whole { body, .. }) = piece else { panic!("{piece:?} is no whole answer") };
    assert_eq!(body, Bytes::from_static(OWN));
    assert_eq!(caller.recv().await, None, "nothing follows the answer");
}
