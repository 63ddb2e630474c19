//! The operators' command line against a running API.

use std::fs;
use std::path::PathBuf;
use std::process;
use std::sync::atomic::{AtomicU64, Ordering};

use bitternwall::cli;
use bitternwall::cli::command::command;
use bitternwall::cli::error::CliError;
use bitternwall::cli::options::{Action, Options};
use serde_json::{Value, json};

use crate::api::{Api, TOKEN};
use crate::store::ClosedPort;

/// A temporary file that is deleted when this value is dropped.
struct TempFile(PathBuf);

impl TempFile {
    fn new(text: &str) -> Self {
        static COUNTER: AtomicU64 = AtomicU64::new(0);
        let number = COUNTER.fetch_add(1, Ordering::Relaxed);
        let name = format!("bitternwall-cli-{}-{number}", process::id());
        let path = std::env::temp_dir().join(name);
        fs::write(&path, text).unwrap();
        Self(path)
    }

    fn as_str(&self) -> &str {
        self.0.to_str().unwrap()
    }
}

impl Drop for TempFile {
    fn drop(&mut self) {
        let _ = fs::remove_file(&self.0);
    }
}

async fn run(api: &Api, arguments: &[&str]) -> (String, u8) {
    let token = TempFile::new(TOKEN);
    let closed = ClosedPort::take();
    // Nothing listens at the first entry, so each command has to fail over to the second one.
    let global = [
        "bitternwall",
        "--entry",
        &closed.endpoint,
        "--entry",
        &api.base,
        "--token-file",
        token.as_str(),
    ];
    let matches = command().get_matches_from(global.iter().chain(arguments));
    let mut out = Vec::new();
    let result = cli::run(Options::from_matches(&matches).unwrap(), &mut out).await;
    (String::from_utf8(out).unwrap(), result.map_or_else(|error| error.exit_code(), |()| 0))
}

fn documents(timeout_ms: u64, resource_version: Option<u64>) -> TempFile {
    let mut service = json!({
        "kind": "service",
        "metadata": { "name": "dispatch" },
        "spec": { "kind": "plain", "timeout_ms": timeout_ms },
    });
    if let Some(version) = resource_version {
        service["metadata"]["resource_version"] = json!(version);
    }
    let target = json!({
        "kind": "target",
        "metadata": { "name": "t1" },
        "spec": { "service": "dispatch", "agent": "10.0.0.1:9000", "data_centre": "ikeja" },
    });
    TempFile::new(&json!([target, service]).to_string())
}

#[actix_web::test]
async fn apply_reports_what_it_did_to_each_resource() {
    let api = Api::start();
    let (first, second) = (documents(5, None), documents(6, None));
    let created = run(&api, &["apply", "-f", first.as_str()]).await;
    assert_eq!(created, (String::from("service/dispatch created\ntarget/t1 created\n"), 0));
    let changed = run(&api, &["apply", "-f", second.as_str()]).await;
    assert_eq!(changed, (String::from("service/dispatch changed\ntarget/t1 unchanged\n"), 0));
    let stale = documents(7, Some(1));
    let (out, code) = run(&api, &["apply", "-f", stale.as_str()]).await;
    assert!(out.starts_with("service/dispatch conflict: "), "{out}");
    assert!(out.ends_with("target/t1 unchanged\n"), "{out}");
    assert_eq!(code, cli::error::EXIT_CONFLICT);
    let bad = documents(0, None);
    let (out, code) = run(&api, &["apply", "-f", bad.as_str()]).await;
    assert!(out.starts_with("service/dispatch refused: The field `timeout_ms` is 0"), "{out}");
    assert_eq!(code, cli::error::EXIT_FAILED);
    api.stop().await;
}

#[actix_web::test]
async fn apply_waits_until_all_is_in_force() {
    let api = Api::start();
    let file = documents(5, None);
    let arguments = ["apply", "-f", file.as_str(), "--wait", "--timeout", "1"];
    assert_eq!(run(&api, &arguments).await.1, cli::error::EXIT_NOT_IN_FORCE);
    api.in_force.store(true, Ordering::SeqCst);
    assert_eq!(run(&api, &arguments).await.1, 0);
    api.stop().await;
}

#[actix_web::test]
async fn a_change_whose_answer_was_lost_is_made_once() {
    let api = Api::start();
    api.store.set_faults(json!({ "lose_answers": 1 })).await;
    let file = documents(5, None);
    let (out, code) = run(&api, &["apply", "-f", file.as_str()]).await;
    assert_eq!((&*out, code), ("service/dispatch created\ntarget/t1 created\n", 0));
    let (audit, _) = run(&api, &["--output", "json", "audit"]).await;
    let audit: Value = serde_json::from_str(&audit).unwrap();
    assert_eq!(audit["items"].as_array().unwrap().len(), 2);
    let id = audit["items"][0]["change_id"].as_str().unwrap();
    let (out, _) = run(&api, &["change", id]).await;
    assert!(out.ends_with("create of target/t1 was made at resource version 3\n"), "{out}");
    api.stop().await;
}

#[actix_web::test]
async fn drain_get_and_delete() {
    let api = Api::start();
    let file = documents(5, None);
    run(&api, &["apply", "-f", file.as_str()]).await;
    assert_eq!(run(&api, &["drain", "t1"]).await.1, 0);
    let (out, _) = run(&api, &["get", "target", "t1", "--output", "json"]).await;
    let target: Value = serde_json::from_str(&out).unwrap();
    assert_eq!(target["spec"]["drain"], true);
    run(&api, &["drain", "t1", "--undo"]).await;
    let (table, _) = run(&api, &["get", "target"]).await;
    insta::assert_snapshot!(table, @r"
    NAME  GENERATION  VERSION  IN-FORCE
    t1    3           5        False
    ");
    let (_, code) = run(&api, &["delete", "service", "dispatch"]).await;
    assert_eq!(code, cli::error::EXIT_CONFLICT, "the target names it");
    assert_eq!(run(&api, &["delete", "target", "t1"]).await.1, 0);
    assert_eq!(run(&api, &["get", "target", "t1"]).await.1, cli::error::EXIT_FAILED);
    api.stop().await;
}

#[test]
fn wrong_command_lines_are_usage_errors() {
    command().debug_assert();
    for wrong in [&["get", "bridge"][..], &["apply"], &["check", "entry"], &[]] {
        let arguments = ["bitternwall"].iter().chain(wrong);
        assert_eq!(command().try_get_matches_from(arguments).unwrap_err().exit_code(), 2);
    }
    let matches = command().get_matches_from(["bitternwall", "--entry", "ftp://x", "hash-key"]);
    let error = Options::from_matches(&matches).unwrap_err();
    assert!(matches!(&error, CliError::Argument { value, .. } if value == "ftp://x"), "{error}");
    assert_eq!(error.exit_code(), 2);
    let matches = command().get_matches_from(["bitternwall", "drain", "t1", "--undo"]);
    let Action::Drain { drain, .. } = Options::from_matches(&matches).unwrap().action else {
        panic!("drain is parsed");
    };
    assert!(!drain);
}
