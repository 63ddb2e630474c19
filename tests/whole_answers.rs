//! A caller gets its own answer, complete and in order, or an explicit error, whichever process or
//! connection fails on the way.

mod common;

use std::time::Duration;

use awc::http::StatusCode;
use common::streams::{self, Streamed};
use futures_util::{StreamExt as _, future, stream};
use serde_json::json;
use standins::fleet::{Fleet, Plan};

/// Milliseconds per token; slow enough that a stream is still in progress when a fault is injected.
const TOKEN_MS: &str = "20";
/// Tokens that are read before a fault is injected.
const BEFORE_FAULT: usize = 10;
/// Delay of a slow link, well below the deadline after which a silent link is closed.
const LINK_DELAY: Duration = Duration::from_millis(30);
const TOKENS: usize = 60;
/// Concurrent requests of the test's customer, fewer than its policy allows in flight at one entry.
const MAX_CONCURRENT: usize = 60;

async fn start(engines: usize, token_ms: &str) -> Fleet {
    let engine_arguments = vec!["--token-ms".to_owned(), token_ms.to_owned()];
    let plan = Plan { entries: 2, engines, services: 0, engine_arguments, ..Plan::default() };
    let fleet = Fleet::start(&plan).expect("the fleet starts");
    common::declare_and_wait(&fleet).await;
    fleet
}

async fn open_stream(fleet: &Fleet, prompt: &str) -> (Streamed, usize) {
    let mut streamed =
        Streamed::open(fleet.entry(0), prompt, TOKENS).await.expect("an answer begins");
    assert_eq!(streamed.status, StatusCode::OK);
    streamed.read_tokens(BEFORE_FAULT).await;
    let target = streams::target_index(fleet, &streamed.target);
    (streamed, target)
}

#[actix_rt::test]
async fn a_stream_resumes_after_its_engine_dies() {
    let mut fleet = start(2, TOKEN_MS).await;
    let (streamed, target) = open_stream(&fleet, "shift log").await;
    fleet.targets[target].back_end.kill().expect("the engine ends");
    streamed.finish().await.assert_complete("shift log", TOKENS);
    let other = &fleet.targets[1 - target];
    let runs = streams::runs(other.back_end.address).await;
    assert_eq!(runs.runs.get("shift log"), Some(&1), "the other engine finished it");
}

#[actix_rt::test]
async fn a_stream_resumes_after_its_agent_dies() {
    let mut fleet = start(2, TOKEN_MS).await;
    let (streamed, target) = open_stream(&fleet, "shift log").await;
    fleet.targets[target].agent.kill().expect("the agent ends");
    streamed.finish().await.assert_complete("shift log", TOKENS);
}

#[actix_rt::test]
async fn a_stream_resumes_after_its_slow_link_is_cut() {
    let engine_arguments = vec!["--token-ms".to_owned(), TOKEN_MS.to_owned()];
    let plan = Plan { engines: 2, services: 0, engine_arguments, ..Plan::default() };
    let mut fleet = Fleet::start(&plan).expect("the fleet starts");
    let pipes = streams::pipe_links(&mut fleet).await;
    common::declare_and_wait(&fleet).await;
    pipes.iter().for_each(|pipe| pipe.set_delay(LINK_DELAY));
    let (streamed, target) = open_stream(&fleet, "shift log").await;
    pipes[target].close_connections();
    streamed.finish().await.assert_complete("shift log", TOKENS);
}

#[actix_rt::test]
async fn a_repeatedly_interrupted_stream_is_complete_or_ends_with_an_error() {
    let fleet = start(4, "2").await;
    for engine in streams::engines(&fleet) {
        streams::set_behaviour(engine.back_end.address, &json!({ "cut_after_tokens": 10 })).await;
    }
    let complete = streams::stream(fleet.entry(0), "three cuts", 35).await;
    complete.expect("an answer begins").assert_complete("three cuts", 35);
    let interrupted = streams::stream(fleet.entry(1), "too many cuts", 60).await;
    interrupted.expect("an answer begins").assert_interrupted("too many cuts", 60);
}

#[actix_rt::test]
async fn an_interrupted_unstreamed_answer_is_retried_transparently() {
    let fleet = start(2, "2").await;
    let engine = fleet.targets[0].back_end.address;
    streams::set_behaviour(engine, &json!({ "cut_after_tokens": 5 })).await;
    let prompts: Vec<String> = (0..8).map(|index| format!("brief {index}")).collect();
    for prompt in &prompts {
        let answer = common::chat(fleet.entry(0), prompt, 20, false).await.expect("an answer");
        assert_eq!(answer.status, StatusCode::OK, "{}", String::from_utf8_lossy(&answer.body));
        assert_eq!(common::answer_text(&answer), common::expected_text(prompt, 20));
    }
    let interrupted = streams::runs(engine).await;
    assert!(
        prompts.iter().any(|prompt| interrupted.runs.contains_key(prompt)),
        "one was interrupted: {interrupted:?}"
    );
}

#[actix_rt::test]
async fn every_one_of_many_concurrent_requests_gets_its_own_text() {
    let fleet = start(4, "1").await;
    let ask = async |index: usize| {
        let (entry, tokens) = (fleet.entry(index % 2), 5 + index % 40);
        let prompt = format!("{} {index}", if index.is_multiple_of(3) { "draft" } else { "log" });
        if index.is_multiple_of(2) {
            let finished = streams::stream(entry, &prompt, tokens).await;
            finished.expect("an answer begins").assert_complete(&prompt, tokens);
        } else {
            let answer = common::chat(entry, &prompt, tokens, false).await.expect("an answer");
            assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
            assert_eq!(common::answer_text(&answer), common::expected_text(&prompt, tokens));
        }
    };
    stream::iter(0..200).map(ask).buffer_unordered(MAX_CONCURRENT).collect::<Vec<()>>().await;
}

#[actix_rt::test]
async fn no_request_in_progress_gets_a_truncated_or_foreign_answer_when_engine_and_agent_die() {
    let mut fleet = start(4, "10").await;
    let entries = [fleet.entry(0), fleet.entry(1)];
    let ask = |index: usize| async move {
        let prompt = format!("log {index}");
        let answered = streams::stream(entries[index % 2], &prompt, TOKENS).await;
        let finished = answered.expect("an answer or a refusal");
        if finished.status != StatusCode::OK {
            return false;
        }
        match finished.is_marked_complete() {
            true => finished.assert_complete(&prompt, TOKENS),
            false => finished.assert_interrupted(&prompt, TOKENS),
        }
        finished.done_events == 1
    };
    let inject_faults = async {
        let [first, second] = [0, 1].map(|index| fleet.targets[index].back_end.address);
        common::wait_for("runs on both targets", async || {
            streams::runs(first).await.started > 0 && streams::runs(second).await.started > 0
        })
        .await;
        fleet.targets[0].back_end.kill().expect("the engine ends");
        fleet.targets[1].agent.kill().expect("the agent ends");
    };
    let (answered, ()) = future::join(future::join_all((0..40).map(ask)), inject_faults).await;
    assert!(answered.iter().any(|complete| *complete), "the other two targets answer");
}
