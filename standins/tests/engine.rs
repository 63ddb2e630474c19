//! The fake model engine: answers, batching and faults.

mod common;

use std::cell;
use std::time::Duration;

use common::{LAST_CHUNK, Lines, Standin};
use futures_util::future;
use serde_json::{Value, json};
use standins::engine;
use standins::engine::messages::{ChatChunk, ChatCompletion, Load, Message, Runs};
use tokio::time;

const MODEL: &str = "summary";

fn chat(prompt: &str, max_tokens: usize, stream: bool) -> Value {
    let messages = [json!({ "role": "user", "content": prompt })];
    json!({ "model": MODEL, "messages": messages, "max_tokens": max_tokens, "stream": stream })
}

fn expected(prompt: &str, max_tokens: usize) -> Vec<String> {
    let message = Message { role: "user".to_owned(), content: prompt.to_owned() };
    engine::expected_tokens(MODEL, &[message], max_tokens)
}

async fn streamed(target: &Standin, req: &Value) -> Vec<String> {
    let res = target.send("/v1/chat/completions", req).await.expect("a response");
    let mut lines = Lines::new(res);
    let mut tokens = Vec::new();
    loop {
        let line = lines
            .next()
            .await
            .expect("the stream is complete")
            .expect("the stream is not interrupted");
        let data = line.strip_prefix("data: ").expect("each line is an event");
        if data == "[DONE]" {
            return tokens;
        }
        let chunk: ChatChunk = serde_json::from_str(data).expect("the event is a chunk");
        assert_eq!(chunk.system_fingerprint, "e1");
        tokens.extend(chunk.choices.into_iter().filter_map(|choice| choice.delta.content));
    }
}

#[actix_rt::test]
async fn complete_and_streamed_answers_follow_from_the_request() {
    let target = Standin::start(&["engine", "--name", "e1"]);
    let (_, complete) = target.post("/v1/chat/completions", &chat("hello", 12, false)).await;
    let complete: ChatCompletion = serde_json::from_value(complete).unwrap();
    assert_eq!(complete.choices[0].message.content, expected("hello", 12).concat());
    assert_eq!(complete.system_fingerprint, "e1");
    assert_eq!(complete.usage.completion_tokens, 12);
    assert_eq!(streamed(&target, &chat("hello", 12, true)).await, expected("hello", 12));
    assert_ne!(expected("hello", 12), expected("other", 12));
}

#[actix_rt::test]
async fn a_resumed_answer_begins_at_its_token() {
    let target = Standin::start(&["engine", "--name", "e1"]);
    let mut req = chat("hello", 12, true);
    req["resume_from"] = json!(5);
    assert_eq!(streamed(&target, &req).await, expected("hello", 12)[5..]);
    req["resume_from"] = json!(13);
    assert_eq!(target.post("/v1/chat/completions", &req).await.0, 400);
}

#[actix_rt::test]
async fn a_truncated_answer_has_no_end() {
    let target = Standin::start(&["engine", "--name", "e1"]);
    target.post("/control/behaviour", &json!({ "cut_after_tokens": 3 })).await;
    let answer = target.post_raw("/v1/chat/completions", &chat("hello", 12, true)).await;
    assert_eq!(answer.matches("data: ").count(), 3, "{answer}");
    assert!(!answer.ends_with(LAST_CHUNK), "{answer}");
    let answer = target.post_raw("/v1/chat/completions", &chat("hello", 12, false)).await;
    assert_eq!(answer, "");
    assert_eq!(streamed(&target, &chat("hello", 3, true)).await, expected("hello", 3));
}

async fn post_at_load(target: &Standin, requests: usize, req: &Value) {
    loop {
        let load: Load = target.get("/v1/load").await;
        if (load.running + load.waiting, load.slots) == (requests, 1) {
            break;
        }
        time::sleep(Duration::from_millis(5)).await;
    }
    assert_eq!(target.post("/v1/chat/completions", req).await.0, 200);
}

#[actix_rt::test]
async fn requests_beyond_the_slots_wait_by_priority() {
    let target = Standin::start(&["engine", "--name", "e1", "--slots", "1"]);
    let order = cell::RefCell::new(Vec::new());
    let mut urgent = chat("urgent", 1, false);
    urgent["priority"] = json!(-1);
    let reqs = [chat("first", 200, false), chat("late", 1, false), urgent];
    let posts = reqs.iter().enumerate().map(async |(index, req)| {
        post_at_load(&target, index, req).await;
        order.borrow_mut().push(index);
    });
    future::join_all(posts).await;
    assert_eq!(*order.borrow(), [0, 2, 1], "the urgent one runs before the late one");
}

#[actix_rt::test]
async fn a_client_that_disconnects_frees_its_slot() {
    let target = Standin::start(&["engine", "--name", "e1", "--slots", "1"]);
    for is_streamed in [true, false] {
        let req = chat("long", 100_000, is_streamed);
        let answer = target.post_raw("/v1/chat/completions", &req);
        let left = time::timeout(Duration::from_millis(200), answer);
        left.await.expect_err("the answer takes far longer");
    }
    let next = chat("next", 2, true);
    let after = time::timeout(Duration::from_secs(5), streamed(&target, &next));
    assert_eq!(after.await.expect("the slot is free"), expected("next", 2));
    let runs: Runs = target.get("/control/runs").await;
    assert_eq!((runs.cancelled, runs.finished, runs.runs["long"]), (2, 1, 2));
}

#[actix_rt::test]
async fn a_prompt_with_the_crash_marker_aborts_the_process() {
    let mut target = Standin::start(&["engine", "--name", "e1", "--crash-on", "BOOM"]);
    assert_eq!(streamed(&target, &chat("calm", 2, true)).await, expected("calm", 2));
    let crashed = target.send("/v1/chat/completions", &chat("go BOOM", 2, false)).await;
    crashed.expect_err("the process aborts");
    assert!(!target.wait().await.success());
}

#[actix_rt::test]
async fn orders_with_old_fencing_numbers_are_refused_unless_ignored() {
    let order = |fencing: u64| json!({ "fencing": fencing, "order": { "load": "map-1" } });
    for (extra, old_status) in [(None, 409), (Some("--ignores-fencing"), 200)] {
        let args: Vec<_> = ["engine", "--name", "e1"].into_iter().chain(extra).collect();
        let target = Standin::start(&args);
        assert_eq!(target.post("/v1/orders", &order(4)).await.0, 200);
        assert_eq!(target.post("/v1/orders", &order(4)).await.0, 200);
        assert_eq!(target.post("/v1/orders", &order(3)).await.0, old_status);
    }
}

#[actix_rt::test]
async fn a_stalled_engine_resumes_and_its_load_is_reported_late() {
    let target = Standin::start(&["engine", "--name", "e1", "--load-lag-ms", "2000"]);
    target.post("/control/behaviour", &json!({ "stall_ms": 500 })).await;
    let start = time::Instant::now();
    let req = chat("hello", 3, true);
    let late_load = async {
        time::sleep(Duration::from_millis(200)).await;
        target.get::<Load>("/v1/load").await
    };
    let (tokens, load) = futures_util::join!(streamed(&target, &req), late_load);
    assert_eq!(tokens, expected("hello", 3));
    assert!(start.elapsed() >= Duration::from_millis(490), "{:?}", start.elapsed());
    assert_eq!((load.running, load.slots), (0, 4), "the load is reported two seconds late");
}
