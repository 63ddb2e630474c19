//! Claims with real processes: calls that may not be repeated are sent again to the same agent and
//! to others, also after a restart and while the key-value service fails.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::net::SocketAddr;
use std::time::Duration;

use bitternwall::wire::{Executed, RefusalReason};
use serde_json::{Value, json};
use standins::{kv, service};

#[allow(dead_code, reason = "other tests use the rest")]
#[path = "common/agent.rs"]
mod agent;

/// Number of claim shards that the tests' configuration declares for the service.
const SHARDS: usize = 2;
const KEY: &[u8; 16] = b"hold-0000000001!";

struct Site {
    kv: SocketAddr,
    target: SocketAddr,
}

impl Site {
    fn start() -> Self {
        let (service, target) = ("dispatch-api".to_owned(), "t-1".to_owned());
        let options = service::Options { service, target };
        Self {
            kv: agent::stand_in(|listen| kv::start(listen, kv::Options::default())),
            target: agent::stand_in(|listen| service::start(listen, options)),
        }
    }

    async fn agent(&self, incarnation: u64) -> (agent::AgentProcess, agent::EntryLink) {
        let process = agent::AgentProcess::start(self.target, self.kv);
        let link = agent::EntryLink::open(process.listen, incarnation).await;
        (process, link)
    }

    async fn faults(&self, faults: Value) {
        let url = format!("http://{}/control/faults", self.kv);
        let answer = awc::Client::new().post(url).send_json(&faults).await.unwrap();
        assert!(answer.status().is_success());
    }

    /// Returns how often the target has run `POST /holds`.
    async fn runs(&self) -> u64 {
        let url = format!("http://{}/control/runs", self.target);
        let mut answer = awc::Client::new().get(url).send().await.unwrap();
        let runs: service::Runs = answer.json().await.unwrap();
        let holds = runs.calls.iter().filter(|call| call.call.path == "/holds");
        holds.map(|call| call.runs).sum()
    }
}

async fn hold(link: &mut agent::EntryLink) -> agent::AttemptResult {
    let id = link.start("POST", "/holds", KEY).await;
    link.result(id).await
}

fn refusal(result: &agent::AttemptResult) -> (RefusalReason, Executed) {
    let refusal = result.refusal.expect("the attempt is refused");
    (refusal.reason(), refusal.executed())
}

#[actix_rt::test]
async fn a_call_runs_once_whichever_agent_gets_the_resend() {
    let site = Site::start();
    let (process, mut first) = site.agent(1).await;
    let (_other, mut second) = site.agent(2).await;
    let answer = hold(&mut first).await;
    assert_eq!(answer.status, 200);
    let again = hold(&mut first).await;
    assert_eq!((again.status, &again.body), (200, &answer.body), "the same answer");
    let unknown = (RefusalReason::OutcomeUnknown, Executed::Unknown);
    assert_eq!(refusal(&hold(&mut second).await), unknown);
    drop(process);
    let (_restarted, mut restarted) = site.agent(3).await;
    assert_eq!(refusal(&hold(&mut restarted).await), unknown);
    assert_eq!(site.runs().await, 1);
}

#[actix_rt::test]
async fn a_lost_answer_of_the_store_neither_loses_nor_doubles_a_call() {
    let site = Site::start();
    let (_process, mut link) = site.agent(1).await;
    assert_eq!(hold(&mut link).await.status, 200);
    site.faults(json!({ "lose_answers": 1 })).await;
    let id = link.start("POST", "/holds", b"hold-0000000002!").await;
    assert_eq!(link.result(id).await.status, 200);
    assert_eq!(site.runs().await, 2);
}

#[actix_rt::test]
async fn while_the_store_is_down_calls_are_refused_as_not_run() {
    let site = Site::start();
    let (_process, mut link) = site.agent(1).await;
    site.faults(json!({ "down": true })).await;
    let refused = hold(&mut link).await;
    assert_eq!(refusal(&refused), (RefusalReason::StoreUnavailable, Executed::No));
    assert!(refused.refusal.unwrap().retry_after_ms > 0, "the refusal names a retry time");
    assert_eq!(site.runs().await, 0);
    site.faults(json!({})).await;
    while hold(&mut link).await.status != 200 {}
    assert_eq!(site.runs().await, 1);
}

#[actix_rt::test]
async fn an_outage_leaves_in_doubt_only_claims_in_flight() {
    let site = Site::start();
    let (_process, mut link) = site.agent(1).await;
    assert_eq!(hold(&mut link).await.status, 200);
    site.faults(json!({ "down": true })).await;
    let mut refusals = Vec::new();
    for number in 2..8 {
        let id = link.start("POST", "/holds", &[number; 16]).await;
        let refused = link.result(id).await.refusal.expect("the attempt is refused");
        assert_eq!(refused.reason(), RefusalReason::StoreUnavailable);
        refusals.push(refused.executed());
        tokio::time::sleep(Duration::from_millis(refused.retry_after_ms)).await;
    }
    let in_doubt = refusals.iter().filter(|executed| **executed != Executed::No).count();
    assert!(in_doubt <= SHARDS, "{refusals:?}");
    assert_eq!(site.runs().await, 1);
}
