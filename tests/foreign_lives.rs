//! Answers to attempts of an earlier life of the entry, or of nobody, reach no caller.
//!
//! The test plays the agent of a target before a real entry.

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

const OWN: &str = "{\"own\":true}";
const FOREIGN: &str = "{\"foreign\":true}";
const HEARTBEAT: Duration = Duration::from_millis(200);

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
    Kind::Hello(wire::Hello { member: Some(member), heartbeat: Some(heartbeat()) })
}

/// Sends a whole answer to an attempt.
fn answer(link: &FrameSender, id: wire::AttemptId, body: &'static str) {
    let id = Some(id);
    let length = u64::try_from(body.len()).expect("a short body");
    let data = Bytes::from_static(body.as_bytes());
    link.post(Kind::AnswerHead(wire::AnswerHead { id, status: 200, headers: Vec::new() }));
    link.post(Kind::AnswerBody(wire::AnswerBody { id, index: 0, data }));
    link.post(Kind::AnswerEnd(wire::AnswerEnd { id, pieces: 1, length, complete: true }));
}

/// Answers an attempt after others that the entry does not wait for.
fn take_attempt(link: &FrameSender, own: wire::AttemptId) {
    let earlier_life = wire::AttemptId { incarnation: own.incarnation ^ 1, ..own };
    let never_made = wire::AttemptId { counter: own.counter + 1_000, ..own };
    answer(link, earlier_life, FOREIGN);
    answer(link, never_made, FOREIGN);
    let executed = wire::Executed::No.into();
    let refusal = wire::Refusal { id: Some(earlier_life), executed, ..wire::Refusal::default() };
    link.post(Kind::Refusal(refusal));
    answer(link, own, OWN);
    answer(link, own, FOREIGN);
}

fn handler(target: &str) -> server::Handler {
    let links: Mutex<BTreeMap<server::LinkId, FrameSender>> = Mutex::default();
    let target = target.to_owned();
    Arc::new(move |event| {
        let mut links = links.lock().unwrap_or_else(PoisonError::into_inner);
        match event {
            LinkEvent::Opened { link, sender } => {
                sender.post(hello(&target));
                tokio::spawn(keep_alive(sender.clone()));
                links.insert(link, sender);
            }
            LinkEvent::Frame { link, kind } => {
                if let Kind::StartAttempt(start) = *kind
                    && let (Some(link), Some(id)) = (links.get(&link), start.id)
                {
                    take_attempt(link, id);
                }
            }
            LinkEvent::Closed(link) => drop(links.remove(&link)),
        }
    })
}

async fn keep_alive(link: FrameSender) {
    while link.send(Kind::Heartbeat(heartbeat())).await {
        time::sleep(HEARTBEAT).await;
    }
}

async fn play_agent(target: &str) -> SocketAddr {
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = server::listen(any_port).await.expect("a port is free");
    let address = listener.local_addr().expect("the listener is bound");
    actix_rt::spawn(server::serve(listener, handler(target), std::future::pending()));
    address
}

#[actix_rt::test]
async fn only_the_own_attempt_of_this_life_is_passed_on() {
    let plan = Plan { services: 0, ..Plan::default() };
    let mut fleet = Fleet::start(&plan).expect("the fleet starts");
    fleet.targets[0].link = play_agent(&fleet.targets[0].name).await;
    common::declare_and_wait(&fleet).await;
    for index in 0..20 {
        let prompt = format!("log {index}");
        let answer = common::chat(fleet.entry(0), &prompt, 5, false).await.expect("an answer");
        assert_eq!(answer.status, StatusCode::OK);
        assert_eq!(answer.json(), json!({ "own": true }));
    }
}
