//! The operators' HTTP API, backed by the stand-in store.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use actix_web::http::{Method, StatusCode};
use actix_web::{App, HttpServer, dev};
use bitternwall::clock::Clock;
use bitternwall::entry::operator_api::{self, Operator, OperatorSettings, Options};
use bitternwall::problem::{self, Executed, Problem};
use bitternwall::resources::status::{Condition, ConditionStatus, IN_FORCE, Status};
use bytes::Bytes;
use futures_util::StreamExt;
use serde_json::{Value, json};
use sha2::Digest;
use tokio::sync;

use crate::store::StandIn;

pub const TOKEN: &str = "amina's token";

/// A running API server and the store behind it.
pub struct Api {
    pub store: StandIn,
    pub base: String,
    /// Whether the API reports resources as in force.
    pub in_force: Arc<AtomicBool>,
    /// Set to true to announce the shutdown of the server.
    stopping: sync::watch::Sender<bool>,
    handle: dev::ServerHandle,
}

impl Api {
    pub fn start() -> Self {
        let (store, in_force) = (StandIn::start(&[]), Arc::new(AtomicBool::new(false)));
        let (stopping, receiver) = sync::watch::channel(false);
        let options = options(&store, &in_force, receiver);
        let app = move || App::new().configure(|cfg| operator_api::configure(cfg, &options));
        let server = HttpServer::new(app).workers(1).disable_signals();
        let server = server.bind(("127.0.0.1", 0)).unwrap();
        let base = format!("http://{}", server.addrs()[0]);
        let server = server.run();
        let handle = server.handle();
        actix::spawn(server);
        Self { store, base, in_force, stopping, handle }
    }

    pub async fn stop(self) {
        self.handle.stop(false).await;
    }

    fn call(&self, method: Method, path: &str) -> awc::ClientRequest {
        let request = awc::Client::default().request(method, format!("{}{path}", self.base));
        request.bearer_auth(TOKEN)
    }

    async fn get(&self, path: &str) -> (StatusCode, Value) {
        read(self.call(Method::GET, path).send().await.unwrap()).await
    }

    async fn create(&self, change_id: &str, timeout_ms: u64) -> (StatusCode, Value) {
        let request = self.call(Method::POST, "/v1/resources/service");
        let request = request.insert_header(("Change-Id", change_id));
        read(request.send_json(&document(timeout_ms)).await.unwrap()).await
    }

    async fn replace(&self, version: &Value, timeout_ms: u64) -> (StatusCode, Value) {
        let request = self.call(Method::PUT, "/v1/resources/service/dispatch");
        let request = request.insert_header(("If-Match", format!("\"{version}\"")));
        read(request.send_json(&document(timeout_ms)).await.unwrap()).await
    }
}

fn options(
    store: &StandIn,
    in_force: &Arc<AtomicBool>,
    stopping: sync::watch::Receiver<bool>,
) -> Options {
    let in_force = Arc::clone(in_force);
    let token_sha256 = format!("{:x}", sha2::Sha256::digest(TOKEN));
    let operators = vec![Operator { name: String::from("amina"), token_sha256 }];
    let settings = OperatorSettings { operators, settle_timeout_ms: 0, audit_limit: 1000 };
    assert!(operator_api::check(&settings).is_none());
    Options {
        store: store.options(),
        settings,
        clock: Clock::system(),
        status: Arc::new(move |_, _, _| status(in_force.load(Ordering::SeqCst))),
        stopping,
    }
}

fn status(in_force: bool) -> Status {
    let (status, reason) = match in_force {
        true => (ConditionStatus::True, "Acknowledged"),
        false => (ConditionStatus::False, "Waiting"),
    };
    let (reason, message) = (String::from(reason), String::from("1 process waits."));
    let condition = Condition { type_: String::from(IN_FORCE), status, reason, message };
    Status { observed_generation: u64::from(in_force), conditions: vec![condition] }
}

fn document(timeout_ms: u64) -> Value {
    json!({
        "kind": "service",
        "metadata": { "name": "dispatch" },
        "spec": { "kind": "plain", "timeout_ms": timeout_ms },
    })
}

async fn read(mut answer: awc::ClientResponse) -> (StatusCode, Value) {
    let body = answer.body().await.unwrap();
    if !answer.status().is_success() {
        assert_eq!(answer.headers().get("content-type").unwrap(), problem::MEDIA_TYPE);
    }
    (answer.status(), serde_json::from_slice(&body).unwrap())
}

/// Reads lines of a watch until one has the given type, and returns that line.
async fn next_line_of_type(
    answer: &mut awc::ClientResponse,
    buf: &mut Vec<u8>,
    type_: &str,
) -> Value {
    loop {
        while let Some(end) = buf.iter().position(|byte| *byte == b'\n') {
            let line: Vec<_> = buf.drain(..=end).collect();
            let line: Value = serde_json::from_slice(&line).unwrap();
            if line["type"] == type_ {
                return line;
            }
        }
        let chunk: Bytes = answer.next().await.expect("the watch has not ended").unwrap();
        buf.extend_from_slice(&chunk);
    }
}

#[actix_web::test]
async fn a_resource_is_created_read_replaced_and_deleted() {
    let api = Api::start();
    let (code, created) = api.create("c1", 5).await;
    assert_eq!(code, StatusCode::CREATED);
    assert_eq!(created["metadata"]["generation"], 1);
    assert_eq!(created["metadata"]["change_id"], "c1");
    assert_eq!(created["spec"]["claim_shards"], 4, "defaults are filled in");
    assert_eq!(created["status"]["conditions"][0]["type"], "InForce");
    assert_eq!(api.get("/v1/resources/service/dispatch").await, (StatusCode::OK, created.clone()));
    let version = &created["metadata"]["resource_version"];
    let (code, replaced) = api.replace(version, 6).await;
    assert_eq!((code, &replaced["metadata"]["generation"]), (StatusCode::OK, &json!(2)));
    let (code, list) = api.get("/v1/resources/service").await;
    assert_eq!((code, &list["items"]), (StatusCode::OK, &json!([replaced])));
    let version = &replaced["metadata"]["resource_version"];
    let path = format!("/v1/resources/service/dispatch?resource_version={version}");
    let deleted = read(api.call(Method::DELETE, &path).send().await.unwrap()).await;
    assert_eq!((deleted.0, &deleted.1["generation"]), (StatusCode::OK, &json!(3)));
    let (_, audit) = api.get("/v1/audit?limit=2").await;
    let actions: Vec<_> =
        audit["items"].as_array().unwrap().iter().map(|item| &item["action"]).collect();
    assert_eq!(actions, ["delete", "replace"]);
    assert_eq!(audit["items"][0]["actor"], "amina");
    api.stop().await;
}

#[actix_web::test]
async fn a_stale_version_is_a_conflict_with_the_present_one() {
    let api = Api::start();
    let version = api.create("c1", 5).await.1["metadata"]["resource_version"].clone();
    let present = api.replace(&version, 6).await.1["metadata"]["resource_version"].clone();
    let (code, conflict) = api.replace(&version, 7).await;
    assert_eq!(code, StatusCode::CONFLICT);
    assert_eq!(conflict["type"], "conflict");
    assert_eq!((&conflict["present_version"], &conflict["executed"]), (&present, &json!("no")));
    let (code, exists) = api.create("c4", 5).await;
    assert_eq!((code, &exists["type"]), (StatusCode::CONFLICT, &json!("already-exists")));
    let path = "/v1/resources/service/dispatch";
    let bare = api.call(Method::DELETE, path).send().await.unwrap();
    assert_eq!(read(bare).await.0, StatusCode::PRECONDITION_REQUIRED);
    api.stop().await;
}

#[actix_web::test]
async fn calls_that_are_not_allowed_are_refused() {
    let api = Api::start();
    let anonymous = awc::Client::default().get(format!("{}/v1/audit", api.base));
    let (code, refused) = read(anonymous.send().await.unwrap()).await;
    assert_eq!((code, &refused["executed"]), (StatusCode::UNAUTHORIZED, &json!("no")));
    let wrong = awc::Client::default().get(format!("{}/v1/audit", api.base)).bearer_auth("wrong");
    assert_eq!(wrong.send().await.unwrap().status(), StatusCode::UNAUTHORIZED);
    assert_eq!(api.get("/v1/resources/bridge").await.0, StatusCode::NOT_FOUND);
    assert_eq!(api.get("/v1/resources/service/none").await.0, StatusCode::NOT_FOUND);
    let (code, invalid) = api.create("c1", 0).await;
    assert_eq!(code, StatusCode::UNPROCESSABLE_ENTITY);
    let named = (&invalid["field"], &invalid["value"], &invalid["allowed"]);
    assert_eq!(named, (&json!("timeout_ms"), &json!("0"), &json!("1 to 86400000")));
    let request = api.call(Method::POST, "/v1/resources/policy");
    let policy = json!({
        "kind": "policy",
        "metadata": { "name": "all" },
        "spec": { "customers": [], "services": ["dispatch"] },
    });
    let (code, dangling) = read(request.send_json(&policy).await.unwrap()).await;
    assert_eq!(code, StatusCode::UNPROCESSABLE_ENTITY);
    assert_eq!(dangling["field"], "services[0]");
    api.stop().await;
}

#[actix_web::test]
async fn an_unknown_outcome_is_reported_and_can_be_queried_later() {
    let api = Api::start();
    api.store.set_faults(json!({ "lose_answers": 1 })).await;
    let (code, unknown) = api.create("c1", 5).await;
    assert_eq!(code, StatusCode::GATEWAY_TIMEOUT);
    let reported = (&unknown["executed"], &unknown["change_id"]);
    assert_eq!(reported, (&json!("unknown"), &json!("c1")));
    let (_, outcome) = api.get("/v1/changes/c1").await;
    assert_eq!((&outcome["state"], &outcome["name"]), (&json!("applied"), &json!("dispatch")));
    let (code, resent) = api.create("c1", 5).await;
    assert_eq!(code, StatusCode::CREATED);
    assert_eq!(resent["metadata"]["resource_version"], outcome["resource_version"]);
    assert_eq!(api.get("/v1/changes/c2").await.1["state"], "not_applied");
    api.store.set_faults(json!({ "down": true })).await;
    let request = api.call(Method::POST, "/v1/resources/service");
    let answer = request.send_json(&document(5)).await.unwrap();
    assert!(answer.headers().contains_key("retry-after"));
    let (code, refused) = read(answer).await;
    assert_eq!((code, &refused["executed"]), (StatusCode::SERVICE_UNAVAILABLE, &json!("no")));
    api.stop().await;
}

#[actix_web::test]
async fn a_watch_reports_changes_and_when_they_are_in_force() {
    let api = Api::start();
    let first = api.create("c1", 5).await.1;
    let mut watch = api.call(Method::GET, "/v1/resources/service?watch=true").send().await.unwrap();
    let mut buf = Vec::new();
    assert_eq!(next_line_of_type(&mut watch, &mut buf, "ADDED").await["object"], first);
    let second = api.replace(&first["metadata"]["resource_version"], 6).await.1;
    let modified = next_line_of_type(&mut watch, &mut buf, "MODIFIED").await;
    assert_eq!(modified["object"], second);
    assert_eq!(modified["object"]["status"]["conditions"][0]["status"], "False");
    api.in_force.store(true, Ordering::SeqCst);
    let status = next_line_of_type(&mut watch, &mut buf, "STATUS").await;
    assert_eq!(status["object"]["metadata"], second["metadata"]);
    assert_eq!(status["object"]["status"]["conditions"][0]["status"], "True");
    let version = &first["metadata"]["resource_version"];
    let path = format!("/v1/resources/service?watch=true&resource_version={version}");
    let mut later = api.call(Method::GET, &path).send().await.unwrap();
    let modified = next_line_of_type(&mut later, &mut Vec::new(), "MODIFIED").await;
    assert_eq!(modified["object"]["metadata"], second["metadata"]);
    api.stopping.send_replace(true);
    let rest: Vec<_> = watch.map(|chunk| chunk.unwrap()).collect().await;
    assert!(rest.concat().ends_with(b"\n"), "a shutdown ends a watch after a complete line");
    api.stop().await;
}

#[test]
fn a_problem_rounds_its_delay_up() {
    let status = StatusCode::SERVICE_UNAVAILABLE;
    let problem = Problem::new("overloaded", "Overloaded", status, String::from("Come later."))
        .executed(Executed::No)
        .retry_after(Duration::from_millis(1500))
        .with("queue", 7);
    assert_eq!(problem.to_response().headers().get("retry-after").unwrap(), "2");
    insta::assert_snapshot!(serde_json::to_string(&problem).unwrap(), @r#"{"type":"overloaded","title":"Overloaded","status":503,"detail":"Come later.","executed":"no","queue":7}"#);
}
