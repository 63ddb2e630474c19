//! Helpers for the tests that run the real programs as processes.

#![allow(dead_code, reason = "each test file uses its own part of the helpers")]

pub mod raw_target;
pub mod streams;
mod strict_io;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use awc::http::StatusCode;
use awc::http::header::HeaderMap;
use serde_json::{Value, json};
use standins::fleet::{self, Fleet, documents};

/// Time after which a condition that does not hold fails the test; a working fleet needs much less.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(50);
const CALL_TIMEOUT: Duration = Duration::from_secs(30);

/// The bearer key of the fleet's first customer.
pub const KEY: &str = documents::CUSTOMERS[0].1;

/// Answer is a complete HTTP response.
#[derive(Debug)]
pub struct Answer {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Vec<u8>,
}

impl Answer {
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).expect("the body is JSON")
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
}

/// Call is an HTTP request, which is sent with a bearer token.
pub struct Call<'a> {
    pub method: &'a str,
    pub address: SocketAddr,
    pub path: &'a str,
    pub token: &'a str,
    pub headers: &'a [(&'a str, &'a str)],
    pub body: Vec<u8>,
}

impl<'a> Call<'a> {
    pub fn get(address: SocketAddr, path: &'a str) -> Self {
        Self { method: "GET", address, path, token: KEY, headers: &[], body: Vec::new() }
    }

    pub fn post(address: SocketAddr, path: &'a str, body: &Value) -> Self {
        Self { method: "POST", body: body.to_string().into_bytes(), ..Self::get(address, path) }
    }

    /// Sends the request. Returns `None` if the connection failed or the response was truncated.
    pub async fn send(self) -> Option<Answer> {
        let client = streams::strict_client(CALL_TIMEOUT);
        let method = self.method.parse().expect("the test names a method");
        let url = format!("http://{}{}", self.address, self.path);
        let mut request = client.request(method, url).bearer_auth(self.token);
        request = request.insert_header(("content-type", "application/json"));
        for (name, value) in self.headers {
            request = request.insert_header((*name, *value));
        }
        let mut response = request.send_body(self.body).await.ok()?;
        let (status, headers) = (response.status(), response.headers().clone());
        let body = response.body().limit(64 * 1024 * 1024).await.ok()?.to_vec();
        Some(Answer { status, headers, body })
    }
}

/// Creates every resource of a fleet and waits until every entry serves the fleet's services.
pub async fn declare_and_wait(fleet: &Fleet) {
    wait_for("the operator API", async || {
        let call = Call { token: fleet::OPERATOR_TOKEN, ..Call::get(fleet.entry(0), "/v1/audit") };
        call.send().await.is_some_and(|answer| answer.status == StatusCode::OK)
    })
    .await;
    for document in fleet.documents() {
        declare(fleet.entry(0), &document).await;
    }
    for index in 0..fleet.entries.len() {
        wait_for_targets(fleet, fleet.entries[index].admin).await;
        wait_until_serving(fleet, fleet.entry(index)).await;
    }
}

/// Creates one resource.
pub async fn declare(entry: SocketAddr, document: &Value) {
    let kind = document["kind"].as_str().expect("a document has a kind");
    let path = format!("/v1/resources/{kind}");
    let call = Call { token: fleet::OPERATOR_TOKEN, ..Call::post(entry, &path, document) };
    let answer = call.send().await.expect("the entry answers");
    let text = String::from_utf8_lossy(&answer.body);
    assert_eq!(answer.status, StatusCode::CREATED, "{document}: {text}");
}

/// Waits until an entry counts every target as taking work.
pub async fn wait_for_targets(fleet: &Fleet, admin: SocketAddr) {
    let line = format!("bitternwall_entry_targets_taking_work {}", fleet.targets.len());
    let start = Instant::now();
    loop {
        let answer = Call::get(admin, "/metrics").send().await;
        if answer.is_some_and(|answer| String::from_utf8_lossy(&answer.body).contains(&line)) {
            return;
        }
        assert!(
            start.elapsed() < READY_TIMEOUT,
            "timed out waiting for every target to take work; last log lines: {:#?}",
            fleet.last_log_lines()
        );
        actix_rt::time::sleep(POLL_INTERVAL).await;
    }
}

async fn wait_until_serving(fleet: &Fleet, entry: SocketAddr) {
    if fleet.targets.iter().any(|target| target.service == fleet::MODEL_SERVICE) {
        wait_for("a chat", async || {
            chat(entry, "ready?", 1, false).await.is_some_and(|a| a.status == StatusCode::OK)
        })
        .await;
    }
    if fleet.targets.iter().any(|target| target.service == fleet::PLAIN_SERVICE) {
        wait_for("a plain call", async || {
            let call = Call::get(entry, "/v1/services/dispatch-api/quality");
            call.send().await.is_some_and(|answer| answer.status == StatusCode::OK)
        })
        .await;
    }
}

/// Polls a condition until it holds.
///
/// # Panics
///
/// Panics if the condition does not hold within [`READY_TIMEOUT`].
pub async fn wait_for(what: &str, mut condition: impl AsyncFnMut() -> bool) {
    let start = Instant::now();
    while !condition().await {
        assert!(start.elapsed() < READY_TIMEOUT, "timed out waiting for {what}");
        actix_rt::time::sleep(POLL_INTERVAL).await;
    }
}

/// Returns the body of a chat request.
pub fn chat_body(prompt: &str, tokens: usize, stream: bool) -> Value {
    json!({
        "model": documents::MODEL,
        "messages": [{ "role": "user", "content": prompt }],
        "max_tokens": tokens,
        "stream": stream,
    })
}

/// Sends a chat request.
pub async fn chat(entry: SocketAddr, prompt: &str, tokens: usize, stream: bool) -> Option<Answer> {
    Call::post(entry, "/v1/chat/completions", &chat_body(prompt, tokens, stream)).send().await
}

/// Returns the text with which an engine answers [`chat_body`].
pub fn expected_text(prompt: &str, tokens: usize) -> String {
    let message =
        standins::engine::messages::Message { role: "user".to_owned(), content: prompt.to_owned() };
    standins::engine::expected_answer(documents::MODEL, &[message], tokens)
}

/// Returns the text of an unstreamed chat answer.
pub fn answer_text(answer: &Answer) -> String {
    answer.json()["choices"][0]["message"]["content"].as_str().unwrap_or_default().to_owned()
}

/// Returns the text of a streamed answer, and whether its last event marks it as complete.
pub fn streamed_text(answer: &Answer) -> (String, bool) {
    let body = String::from_utf8(answer.body.clone()).expect("a stream is text");
    let events: Vec<&str> = body.split("\n\n").filter(|event| !event.is_empty()).collect();
    let chunks = events.iter().filter_map(|event| event.strip_prefix("data: "));
    let text = chunks
        .filter_map(|chunk| serde_json::from_str::<Value>(chunk).ok())
        .filter_map(|chunk| chunk["choices"][0]["delta"]["content"].as_str().map(str::to_owned))
        .collect();
    (text, events.last() == Some(&"data: [DONE]"))
}

/// Returns how often the stand-ins of the plain service ran a call with this idempotency key.
pub async fn runs_with_key(fleet: &Fleet, key: &str) -> u64 {
    let mut runs = 0;
    let plain = fleet.targets.iter().filter(|target| target.service == fleet::PLAIN_SERVICE);
    for target in plain {
        let call = Call::get(target.back_end.address, "/control/runs");
        let Some(answer) = call.send().await else { continue };
        let listed = answer.json();
        let listed = listed["calls"].as_array().cloned().unwrap_or_default();
        let matching = listed.iter().filter(|run| run["key"] == key);
        runs += matching.filter_map(|run| run["runs"].as_u64()).sum::<u64>();
    }
    runs
}

/// Sets the platform's host list, which serves the new list after `lag_ms` milliseconds.
pub async fn publish_hosts(fleet: &Fleet, hosts: &[Value], lag_ms: u64) {
    let list = fleet.hosts.as_ref().expect("the plan has a host list");
    let body = json!({ "hosts": hosts, "lag_ms": lag_ms });
    let call = Call::post(list.address, "/control/hosts", &body);
    let answer = call.send().await.expect("the stand-in answers");
    assert!(answer.status.is_success(), "{}", answer.status);
}

/// Returns an entry's record in the host list.
pub fn entry_host(fleet: &Fleet, index: usize) -> Value {
    json!({
        "name": format!("entry-{index}"),
        "address": fleet.entries[index].link,
        "role": "entry",
        "data_centre": fleet::DATA_CENTRES[index],
        "state": "live",
    })
}
