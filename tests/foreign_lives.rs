//! Answers to attempts of an earlier incarnation of the entry, or to attempts that were never made,
//! reach no caller.
//!
//! The test acts as the agent of a target towards a real entry.

mod common;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use awc::http::StatusCode;
use bitternwall::wire;
use bitternwall::wire::frame::Kind;
use bitternwall::wire::server::{self, FrameSender, LinkEvent};
use bytes::Bytes;
use serde_json::json;
use standins::fleet::{Fleet, Plan};
use tokio::time;

const EXPECTED_BODY: &str = "{\"own\":true}";
const FOREIGN_BODY: &str = "{\"foreign\":true}";
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);

fn heartbeat() -> wire::Heartbeat {
    let load =
        wire::Load { slots: 8, target_healthy: true, takes_work: true, ..wire::Load::default() };
    wire::Heartbeat { load: Some(load), ..wire::Heartbeat::default() }
}

fn hello(target: &str) -> Kind {
    let member = wire::Member {
        name: target.to_owned(),
        incarnation: 1,
        role: wire::Role::Agent.into(),
        data_centre: "kafr".to_owned(),
        ..wire::Member::default()
    };
    Kind::Hello(wire::Hello {
        member: Some(member),
        heartbeat: Some(heartbeat()),
        ..wire::Hello::default()
    })
}

/// Sends a complete answer to an attempt.
fn answer(link: &FrameSender, id: wire::AttemptId, body: &'static str) {
    let id = Some(id);
    let length = u64::try_from(body.len()).expect("a short body");
    let data = Bytes::from_static(body.as_bytes());
    link.post(Kind::AnswerHead(wire::AnswerHead { id, status: 200, headers: Vec::new() }));
    link.post(Kind::AnswerBody(wire::AnswerBody { id, index: 0, data }));
    link.post(Kind::AnswerEnd(wire::AnswerEnd { id, pieces: 1, length, complete: true }));
}

/// Answers an attempt, but first sends answers and a refusal for attempts that this incarnation of
/// the entry did not make. Afterwards answers the attempt a second time, with another body.
fn answer_attempt(link: &FrameSender, attempt: wire::AttemptId) {
    let earlier_incarnation = wire::AttemptId { incarnation: attempt.incarnation ^ 1, ..attempt };
    let never_made = wire::AttemptId { counter: attempt.counter + 1_000, ..attempt };
    answer(link, earlier_incarnation, FOREIGN_BODY);
    answer(link, never_made, FOREIGN_BODY);
    let executed = wire::Executed::No.into();
    let refusal =
        wire::Refusal { id: Some(earlier_incarnation), executed, ..wire::Refusal::default() };
    link.post(Kind::Refusal(refusal));
    answer(link, attempt, EXPECTED_BODY);
    answer(link, attempt, FOREIGN_BODY);
}

fn handler(target: &str) -> server::Handler {
    let links: Mutex<BTreeMap<server::LinkId, FrameSender>> = Mutex::default();
    let target = target.to_owned();
    Arc::new(move |event| {
        let mut links = links.lock().unwrap_or_else(PoisonError::into_inner);
        match event {
            LinkEvent::Opened { link, sender } => {
                sender.post(hello(&target));
                tokio::spawn(send_heartbeats(sender.clone()));
                links.insert(link, sender);
            }
            LinkEvent::Frame { link, kind } => {
                if let Kind::StartAttempt(start) = *kind
                    && let (Some(link), Some(id)) = (links.get(&link), start.id)
                {
                    answer_attempt(link, id);
                }
            }
            LinkEvent::Closed(link) => drop(links.remove(&link)),
        }
    })
}

async fn send_heartbeats(link: FrameSender) {
    while link.send(Kind::Heartbeat(heartbeat())).await {
        time::sleep(HEARTBEAT_INTERVAL).await;
    }
}

async fn serve_as_agent(target: &str) -> SocketAddr {
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = server::listen(any_port).await.expect("a port is free");
    let address = listener.local_addr().expect("the listener is bound");
    actix_rt::spawn(server::serve(listener, handler(target), std::future::pending()));
    address
}

#[actix_rt::test]
async fn only_the_answer_to_an_attempt_of_this_incarnation_is_forwarded() {
    let plan = Plan { services: 0, ..Plan::default() };
    let mut fleet = Fleet::start(&plan).expect("the fleet starts");
    fleet.targets[0].link = serve_as_agent(&fleet.targets[0].name).await;
    common::declare_and_wait(&fleet).await;
    for index in 0..20 {
        let prompt = format!("log {index}");
        let answer = common::chat(fleet.entry(0), &prompt, 5, false).await.expect("an answer");
        assert_eq!(answer.status, StatusCode::OK);
        assert_eq!(answer.json(), json!({ "own": true }));
    }
}
