//! A connection that silently drops all data is detected, and idempotent requests complete.
//!
//! Each test puts a TCP proxy (`FaultProxy`) between two processes. At some point the proxy drops
//! all further data of its open connections without closing them, while new connections work.

mod common;

use std::cell::Cell;
use std::net::SocketAddr;
use std::time::Duration;

use awc::http::StatusCode;
use bitternwall::settings;
use bitternwall::settings::agent::AgentSettings;
use bitternwall::settings::entry::EntrySettings;
use common::Call;
use common::streams::{self, Streamed};
use serde_json::json;
use standins::fault_proxy::FaultProxy;
use standins::fleet::{Fleet, Plan};

/// Time limit for the detection of a silent connection.
const DETECTION_LIMIT: Duration = Duration::from_secs(3);
const PROMPT: &str = "quality readings";
/// At 20 ms per token, the stream lasts longer than the detection of a silent connection.
const TOKENS: usize = 200;
/// Tokens that are read before the fault is injected.
const TOKENS_BEFORE_FAULT: usize = 20;

fn plan(engines: usize, services: usize) -> Plan {
    let engine_arguments = vec!["--token-ms".to_owned(), "20".to_owned()];
    Plan { engines, services, engine_arguments, ..Plan::default() }
}

/// Starts a fleet with a proxy between the entry and each agent.
async fn fleet_with_proxied_links(engines: usize, services: usize) -> (Fleet, Vec<FaultProxy>) {
    let mut fleet = Fleet::start(&plan(engines, services)).expect("the fleet starts");
    let pipes = streams::pipe_links(&mut fleet).await;
    common::declare_and_wait(&fleet).await;
    (fleet, pipes)
}

/// Starts a fleet with a proxy between each agent and its target.
async fn fleet_with_proxied_targets(engines: usize, services: usize) -> (Fleet, Vec<FaultProxy>) {
    let mut fleet = Fleet::start(&plan(engines, services)).expect("the fleet starts");
    let mut pipes = Vec::new();
    for target in &mut fleet.targets {
        let pipe = FaultProxy::start(target.back_end.address).await.expect("a port is free");
        target.redirect_agent(pipe.address).expect("the agent starts again");
        pipes.push(pipe);
    }
    common::declare_and_wait(&fleet).await;
    (fleet, pipes)
}

/// Opens a stream and reads its first tokens.
async fn open_stream(entry: SocketAddr) -> Streamed {
    let mut streamed = Streamed::open(entry, PROMPT, TOKENS).await.expect("an answer begins");
    assert_eq!(streamed.status, StatusCode::OK);
    streamed.read_tokens(TOKENS_BEFORE_FAULT).await;
    streamed
}

#[test]
fn the_deadlines_in_the_example_settings_detect_a_silent_connection_in_time() {
    let entry: EntrySettings =
        settings::load("examples/settings/entry.json".as_ref(), settings::entry::check)
            .expect("the example is valid");
    assert!(entry.link_deadline() < DETECTION_LIMIT, "{:?}", entry.link_deadline());
    let agent: AgentSettings =
        settings::load("examples/settings/agent-model.json".as_ref(), settings::agent::check)
            .expect("the example is valid");
    assert!(Duration::from_millis(agent.links.deadline_ms) < DETECTION_LIMIT);
}

#[actix_rt::test]
async fn a_stream_resumes_when_the_link_to_its_agent_goes_silent() {
    let (fleet, pipes) = fleet_with_proxied_links(2, 0).await;
    let streamed = open_stream(fleet.entry(0)).await;
    let pipe = &pipes[streams::target_index(&fleet, &streamed.target)];
    let before = pipe.accepted();
    pipe.blackhole();
    streamed.finish().await.assert_complete(PROMPT, TOKENS);
    common::wait_for("a new connection", async || pipe.accepted() > before).await;
}

#[actix_rt::test]
async fn the_only_target_serves_again_over_a_new_link() {
    let (fleet, pipes) = fleet_with_proxied_links(1, 1).await;
    for pipe in &pipes {
        pipe.blackhole();
    }
    common::wait_for("an answer over a new link", async || {
        let answer = common::chat(fleet.entry(0), "again", 5, false).await;
        answer.is_some_and(|answer| answer.status == StatusCode::OK)
    })
    .await;
}

/// Sends a non-idempotent request, silences the connections while the target executes it, and sends
/// it again with the same key. It must be executed once, and no answer may deny that it was.
async fn request_across_silence(fleet: &Fleet, pipes: &[FaultProxy]) {
    for target in &fleet.targets {
        streams::set_behaviour(target.back_end.address, &json!({ "delay_ms": 500 })).await;
    }
    let entry = fleet.entry(0);
    let hold = async || {
        let headers = [("idempotency-key", "hold-7"), ("request-timeout-ms", "6000")];
        let path = "/v1/services/dispatch-api/holds";
        let call = Call { headers: &headers, ..Call::post(entry, path, &json!({ "valve": 7 })) };
        call.send().await.expect("an answer")
    };
    let silence = async {
        common::wait_for("the execution of the hold", async || {
            common::runs_with_key(fleet, "hold-7").await > 0
        })
        .await;
        pipes.iter().for_each(FaultProxy::blackhole);
    };
    let (first, ()) = futures_util::future::join(hold(), silence).await;
    let second = hold().await;
    for answer in [&first, &second] {
        let is_true = answer.status == StatusCode::OK || answer.json()["executed"] != "no";
        assert!(is_true, "{}", String::from_utf8_lossy(&answer.body));
    }
    assert_eq!(common::runs_with_key(fleet, "hold-7").await, 1);
}

#[actix_rt::test]
async fn a_non_idempotent_request_runs_once_when_the_link_goes_silent() {
    let (fleet, pipes) = fleet_with_proxied_links(0, 2).await;
    request_across_silence(&fleet, &pipes).await;
}

#[actix_rt::test]
async fn a_non_idempotent_request_runs_once_when_the_connection_to_its_target_goes_silent() {
    let (fleet, pipes) = fleet_with_proxied_targets(0, 2).await;
    request_across_silence(&fleet, &pipes).await;
}

#[actix_rt::test]
async fn a_stream_resumes_when_the_connection_to_its_target_goes_silent() {
    let (fleet, pipes) = fleet_with_proxied_targets(2, 0).await;
    let streamed = open_stream(fleet.entry(0)).await;
    pipes[streams::target_index(&fleet, &streamed.target)].blackhole();
    streamed.finish().await.assert_complete(PROMPT, TOKENS);
}

#[actix_rt::test]
async fn streams_of_an_engine_that_stalls_are_not_taken_for_crashing_requests() {
    const STREAMS: usize = 6;
    const STALLED_TOKENS: usize = 60;
    let fleet = Fleet::start(&plan(2, 0)).expect("the fleet starts");
    common::declare_and_wait(&fleet).await;
    let entry = fleet.entry(0);
    let stalled = Cell::new(0);
    for round in 0..3 {
        let prompts = (0..STREAMS).map(|index| format!("{PROMPT} {index}"));
        let started = Cell::new(0);
        let ask = async |prompt: String| {
            let mut streamed =
                Streamed::open(entry, &prompt, STALLED_TOKENS).await.expect("an answer");
            // A request that is taken for the cause of two crashes would be refused here.
            assert_eq!(streamed.status, StatusCode::OK, "{prompt} in round {round}");
            streamed.read_tokens(TOKENS_BEFORE_FAULT).await;
            started.set(started.get() + 1);
            let is_stalled = streamed.target == fleet.targets[0].name;
            stalled.set(stalled.get() + u32::from(is_stalled));
            streamed.finish().await.assert_complete(&prompt, STALLED_TOKENS);
        };
        let stall = async {
            common::wait_for("every stream", async || started.get() == STREAMS).await;
            let engine = fleet.targets[0].back_end.address;
            streams::set_behaviour(engine, &json!({ "stall_ms": 4_000 })).await;
        };
        futures_util::future::join(futures_util::future::join_all(prompts.map(ask)), stall).await;
    }
    assert!(stalled.get() > 3, "several streams stall at once, not {}", stalled.get());
}
