//! Answers to attempts of an earlier life of the entry, or of nobody, reach no caller.

use std::rc::Rc;
use std::time::Duration;

use actix::{Actor as _, Addr};
use bitternwall::clock::Clock;
use bitternwall::entry::core::Options;
use bitternwall::entry::core::events::{NewRequest, Route};
use bitternwall::entry::core::tables::RequestId;
use bitternwall::entry::relay::Piece;
use bitternwall::entry::{actor, metrics, outbound};
use bitternwall::platform::store;
use bitternwall::wire;
use bitternwall::wire::client::{LinkEvent, Sender};
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
const OWN: &[u8] = b"{\"own\":true}";
const FOREIGN: &[u8] = b"{\"foreign\":true}";
/// How long a test waits for what must come.
const PATIENCE: Duration = Duration::from_secs(30);

fn start() -> Addr<actor::EntryActor> {
    let metrics = metrics::EntryMetrics::register(&prometheus::Registry::new());
    actor::EntryActor::new(
        Options::default(),
        Clock::system(),
        INCARNATION,
        Rc::default(),
        Box::new(|_, _, _| actix_rt::spawn(std::future::ready(()))),
        metrics.expect("an empty registry takes the metrics"),
    )
    .start()
}

fn stored(kind: &str, name: &str, spec: &Value) -> store::KeyValue {
    let value = json!({ "kind": kind, "name": name, "generation": 1, "spec": spec });
    store::KeyValue {
        key: format!("/bitternwall/config/{kind}/{name}"),
        value: Bytes::from(value.to_string()),
        create_revision: REVISION,
        mod_revision: REVISION,
    }
}

fn configuration() -> store::Range {
    let (customer, _, hash) = documents::CUSTOMERS[0];
    let entries = vec![
        stored("customer", customer, &json!({ "key_sha256": hash })),
        stored("service", "llm", &json!({ "kind": "model", "models": ["summary"] })),
        stored("policy", "members", &json!({ "customers": [customer], "services": ["llm"] })),
        stored(
            "target",
            TARGET,
            &json!({ "service": "llm", "agent": "127.0.0.1:1", "data_centre": "kafr" }),
        ),
    ];
    store::Range { revision: REVISION, entries }
}

fn link(entry: &Addr<actor::EntryActor>, event: LinkEvent) {
    entry.do_send(actor::TargetLink { target: TARGET.to_owned(), event });
}

fn bring_up(entry: &Addr<actor::EntryActor>, tx: Sender) {
    entry.do_send(actor::ConfigFeed::Whole(configuration()));
    let load = wire::Load { slots: 8, target_healthy: true, ..wire::Load::default() };
    let heartbeat = wire::Heartbeat { load: Some(load), ..wire::Heartbeat::default() };
    let hello = Box::new(wire::Hello { member: None, heartbeat: Some(heartbeat) });
    link(entry, LinkEvent::Up { hello, tx });
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
    let (tx, mut agent) = mpsc::unbounded_channel();
    bring_up(&entry, tx);
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
