//! The fake plain service, and the termination of every stand-in.

mod common;

use common::Standin;
use serde_json::json;
use standins::service::{Answer, Runs};

#[actix_rt::test]
async fn each_run_of_a_call_is_counted() {
    let target = Standin::start(&["service", "--name", "t1", "--service", "dispatch"]);
    for run in 1..=2 {
        let (_, answer) = target.post("/holds/7?delay_ms=5", &json!({ "valve": 7 })).await;
        let answer: Answer = serde_json::from_value(answer).unwrap();
        assert_eq!((answer.run, answer.path.as_str()), (run, "/holds/7"));
        assert_eq!((answer.target.as_str(), answer.service.as_str()), ("t1", "dispatch"));
        assert_eq!(answer.echo, r#"{"valve":7}"#);
    }
    let keyed = awc::Client::default()
        .post(target.url("/holds/7"))
        .insert_header(("Idempotency-Key", "k1"))
        .send()
        .await;
    let answer: Answer = keyed.unwrap().json().await.unwrap();
    assert_eq!(answer.run, 1);
    let runs: Runs = target.get("/control/runs").await;
    assert_eq!((runs.total, runs.calls.len()), (3, 2));
    assert_eq!(runs.calls[1].call.key.as_deref(), Some("k1"));
}

#[actix_rt::test]
async fn a_call_with_a_truncated_answer_has_run() {
    let target = Standin::start(&["service", "--name", "t1"]);
    target.post("/control/behaviour", &json!({ "cut_mid_answer": true })).await;
    let answer = target.post_raw("/holds", &json!({})).await;
    let (head, body) = answer.split_once("\r\n\r\n").unwrap();
    let length = head.lines().find_map(|line| line.strip_prefix("content-length: ")).unwrap();
    let length: usize = length.parse().unwrap();
    assert!(!body.is_empty() && body.len() < length, "{answer}");
    let runs: Runs = target.get("/control/runs").await;
    assert_eq!(runs.total, 1);
}

#[actix_rt::test]
async fn a_crash_request_aborts_the_process() {
    let mut target = Standin::start(&["service", "--name", "t1"]);
    let crashed = target.send("/control/behaviour", &json!({ "crash": true })).await;
    crashed.expect_err("the process aborts");
    assert!(!target.wait().await.success());
}

#[actix_rt::test]
async fn every_standin_terminates_on_sigterm() {
    let commands: [&[&str]; 5] = [
        &["kv"],
        &["hosts"],
        &["weights"],
        &["engine", "--name", "e1"],
        &["service", "--name", "t1"],
    ];
    for command in commands {
        let mut standin = Standin::start(command);
        standin.terminate();
        assert!(standin.wait().await.success(), "{command:?}");
    }
}
