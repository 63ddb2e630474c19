//! All steps of the request path between real processes: address lookup, chat, plain call and
//! refusals.

mod common;

use awc::http::StatusCode;
use common::{Call, KEY};
use serde_json::{Value, json};
use standins::fleet::{self, Fleet, Plan};

async fn start() -> Fleet {
    let plan = Plan { entries: 2, engines: 2, services: 2, ..Plan::default() };
    let fleet = Fleet::start(&plan).expect("the fleet starts");
    common::declare_and_wait(&fleet).await;
    fleet
}

fn assert_problem(answer: &common::Answer, status: StatusCode, type_: &str, executed: &str) {
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    assert_eq!(answer.status, status, "{text}");
    assert_eq!(answer.header("content-type"), Some("application/problem+json"), "{text}");
    assert_eq!(answer.json()["type"], type_, "{text}");
    assert_eq!(answer.json()["executed"], executed, "{text}");
}

#[actix_rt::test]
async fn serves_the_request_path_and_refuses_correctly() {
    let fleet = start().await;
    addresses_name_every_entry(&fleet).await;
    chats_are_answered_completely(&fleet).await;
    plain_calls_are_answered(&fleet).await;
    callers_errors_are_problems(&fleet).await;
    operators_errors_are_problems(&fleet).await;
}

async fn addresses_name_every_entry(fleet: &Fleet) {
    let answer = Call::get(fleet.entry(0), "/v1/addresses").send().await.expect("an answer");
    assert_eq!(answer.status, StatusCode::OK);
    let document = answer.json();
    let listed = document["addresses"].as_array().expect("a list").clone();
    for index in 0..fleet.entries.len() {
        let address = fleet.entry(index).to_string();
        assert!(listed.iter().any(|entry| entry["address"] == address), "{document}");
    }
    let cacheable = listed.iter().all(|entry| entry["keep_ms"].as_u64().is_some_and(|ms| ms > 0));
    assert!(cacheable, "{document}");
}

async fn chats_are_answered_completely(fleet: &Fleet) {
    for index in 0..fleet.entries.len() {
        let entry = fleet.entry(index);
        let whole = common::chat(entry, "shift log", 20, false).await.expect("an answer");
        assert_eq!(whole.status, StatusCode::OK);
        assert_eq!(common::answer_text(&whole), common::expected_text("shift log", 20));
        let served_by = whole.header("bitternwall-entry").map(str::to_owned);
        assert_eq!(served_by, Some(format!("entry-{index}")));
        let streamed = common::chat(entry, "brief", 20, true).await.expect("an answer");
        assert_eq!(streamed.status, StatusCode::OK);
        let (text, done) = common::streamed_text(&streamed);
        assert_eq!(text, common::expected_text("brief", 20));
        assert!(done, "the stream ends with its final event");
    }
}

async fn plain_calls_are_answered(fleet: &Fleet) {
    let body = json!({ "valve": 7 });
    let call = Call::post(fleet.entry(0), "/v1/services/dispatch-api/echo?x=1", &body);
    let answer = call.send().await.expect("an answer");
    assert_eq!(answer.status, StatusCode::OK);
    let document = answer.json();
    assert_eq!(document["path"], "/echo", "{document}");
    assert_eq!(document["method"], "POST", "{document}");
    let headers = [("idempotency-key", "hold-1")];
    let call = Call::post(fleet.entry(1), "/v1/services/dispatch-api/holds", &body);
    let answer = Call { headers: &headers, ..call }.send().await.expect("an answer");
    assert_eq!(answer.status, StatusCode::OK, "{}", String::from_utf8_lossy(&answer.body));
    assert_eq!(common::runs_with_key(fleet, "hold-1").await, 1);
    a_key_is_bound_to_its_first_call(fleet, &answer).await;
}

/// Checks that a repeated call under the same key gets the first answer, and a different one is
/// refused.
async fn a_key_is_bound_to_its_first_call(fleet: &Fleet, first: &common::Answer) {
    let headers = [("idempotency-key", "hold-1")];
    let path = "/v1/services/dispatch-api/holds";
    let call = Call::post(fleet.entry(0), path, &json!({ "valve": 7 }));
    let answer = Call { headers: &headers, ..call }.send().await.expect("an answer");
    assert_eq!((answer.status, &answer.body), (StatusCode::OK, &first.body));
    let call = Call::post(fleet.entry(0), path, &json!({ "valve": 8 }));
    let answer = Call { headers: &headers, ..call }.send().await.expect("an answer");
    let type_ = "/problems/idempotency-key-reused";
    assert_problem(&answer, StatusCode::UNPROCESSABLE_ENTITY, type_, "no");
    assert_eq!(common::runs_with_key(fleet, "hold-1").await, 1);
}

async fn callers_errors_are_problems(fleet: &Fleet) {
    let entry = fleet.entry(0);
    let chat = "/v1/chat/completions";
    let call = Call::post(entry, chat, &common::chat_body("hi", 1, false));
    let answer = Call { token: "wrong", ..call }.send().await.expect("an answer");
    assert_problem(&answer, StatusCode::UNAUTHORIZED, "/problems/unknown-customer", "no");
    let call = Call { body: b"{\"model\": 3".to_vec(), ..Call::post(entry, chat, &Value::Null) };
    let answer = call.send().await.expect("an answer");
    assert_problem(&answer, StatusCode::BAD_REQUEST, "/problems/malformed-request", "no");
    let prompt = "x".repeat(2 * 1024 * 1024);
    let call = Call::post(entry, chat, &common::chat_body(&prompt, 1, false));
    if let Some(answer) = call.send().await {
        assert_problem(&answer, StatusCode::PAYLOAD_TOO_LARGE, "/problems/body-too-large", "no");
    }
    let answer = Call::get(entry, "/v1/services/nothing/x").send().await.expect("an answer");
    assert_problem(&answer, StatusCode::NOT_FOUND, "/problems/unknown-service", "no");
    let call = Call::post(entry, "/v1/services/dispatch-api/holds", &json!({}));
    let answer = call.send().await.expect("an answer");
    let type_ = "/problems/idempotency-key-required";
    assert_problem(&answer, StatusCode::PRECONDITION_REQUIRED, type_, "no");
}

async fn operators_errors_are_problems(fleet: &Fleet) {
    let path = "/v1/resources/customer/rosetta-plant";
    let read = Call { token: fleet::OPERATOR_TOKEN, ..Call::get(fleet.entry(0), path) };
    let mut document = read.send().await.expect("an answer").json();
    let put = |document: &Value, token| Call {
        method: "PUT",
        token,
        ..Call::post(fleet.entry(1), path, document)
    };
    let answer = put(&document, KEY).send().await.expect("an answer");
    assert_eq!(answer.status, StatusCode::UNAUTHORIZED, "a customer is no operator");
    document["spec"]["key_sha256"] = json!("0".repeat(64));
    let answer = put(&document, fleet::OPERATOR_TOKEN).send().await.expect("an answer");
    assert_eq!(answer.status, StatusCode::OK, "{}", String::from_utf8_lossy(&answer.body));
    let answer = put(&document, fleet::OPERATOR_TOKEN).send().await.expect("an answer");
    assert_eq!(answer.status, StatusCode::CONFLICT, "the version is stale now");
}
