//! The fake key-value service, through the published gateway's interface.

mod common;

use std::time::{Duration, Instant};

use base64::Engine as _;
use base64::engine::general_purpose;
use common::{LAST_CHUNK, Lines, Standin};
use serde_json::{Value, json};
use standins::kv;
use standins::kv::admission::Counts;

fn b64(text: &str) -> String {
    general_purpose::STANDARD.encode(text)
}

async fn put(kv: &Standin, key: &str, value: &str) -> i64 {
    let (status, answer) =
        kv.post("/v3/kv/put", &json!({ "key": b64(key), "value": b64(value) })).await;
    assert_eq!(status, 200, "{answer}");
    revision(&answer)
}

async fn range(kv: &Standin, key: &str) -> Value {
    kv.post("/v3/kv/range", &json!({ "key": b64(key) })).await.1
}

fn revision(answer: &Value) -> i64 {
    let revision = answer["header"]["revision"].as_str().expect("numbers are strings");
    revision.parse().expect("the revision is a number")
}

fn create(key: &str, value: &str) -> Value {
    json!({
        "compare": [{ "target": "CREATE", "result": "EQUAL", "key": b64(key), "create_revision": 0 }],
        "success": [{ "request_put": { "key": b64(key), "value": b64(value) } }],
        "failure": [{ "request_range": { "key": b64(key) } }],
    })
}

#[actix_rt::test]
async fn txn_applies_only_when_the_compared_revision_holds() {
    let kv = Standin::start(&["kv"]);
    let (_, first) = kv.post("/v3/kv/txn", &create("a", "1")).await;
    assert_eq!(first["succeeded"], true);
    let (_, second) = kv.post("/v3/kv/txn", &create("a", "2")).await;
    assert!(second.get("succeeded").is_none());
    let found = &second["responses"][0]["response_range"]["kvs"][0];
    assert_eq!(found["value"], b64("1"));

    let swap = |at: &Value| {
        json!({
            "compare": [{ "target": "MOD", "key": b64("a"), "modRevision": at }],
            "success": [
                { "requestPut": { "key": b64("b"), "value": b64("3") } },
                { "requestDeleteRange": { "key": b64("a") } },
            ],
        })
    };
    let (_, stale) = kv.post("/v3/kv/txn", &swap(&json!("1"))).await;
    assert!(stale.get("succeeded").is_none());
    assert_eq!(revision(&stale), revision(&first));
    let (_, swapped) = kv.post("/v3/kv/txn", &swap(&found["mod_revision"])).await;
    assert_eq!(swapped["succeeded"], true);
    assert_eq!(revision(&swapped), revision(&first) + 1, "one revision for all its writes");
    assert!(range(&kv, "a").await.get("kvs").is_none());
    assert_eq!(range(&kv, "b").await["kvs"][0]["value"], b64("3"));
}

#[actix_rt::test]
async fn refused_txns_and_values_change_nothing() {
    let kv = Standin::start(&["kv"]);
    let large = "x".repeat(1_000_001);
    let txn = json!({ "success": [
        { "request_put": { "key": b64("a"), "value": b64("1") } },
        { "request_put": { "key": b64("b"), "value": b64(&large) } },
    ]});
    let (status, refusal) = kv.post("/v3/kv/txn", &txn).await;
    assert_eq!((status, &refusal["code"]), (400, &json!(3)), "{refusal}");
    let unknown_lease = json!({ "key": b64("a"), "value": b64("1"), "lease": "77" });
    let (status, refusal) = kv.post("/v3/kv/put", &unknown_lease).await;
    assert_eq!((status, &refusal["code"]), (404, &json!(5)), "{refusal}");
    assert!(range(&kv, "a").await.get("kvs").is_none());
    assert_eq!(
        put(&kv, "c", &large[1..]).await,
        2,
        "the largest value that fits is the first write"
    );
}

#[actix_rt::test]
async fn a_range_reads_a_prefix_up_to_its_limit() {
    let kv = Standin::start(&["kv"]);
    for key in ["/r/a", "/r/b", "/s/a"] {
        put(&kv, key, "1").await;
    }
    let prefix = json!({ "key": b64("/r/"), "range_end": b64("/r0"), "limit": "1" });
    let (_, found) = kv.post("/v3/kv/range", &prefix).await;
    assert_eq!((&found["count"], &found["more"]), (&json!("2"), &json!(true)));
    assert_eq!(found["kvs"].as_array().map(Vec::len), Some(1));
    assert_eq!(found["kvs"][0]["key"], b64("/r/a"));
}

#[actix_rt::test]
async fn a_write_whose_response_is_lost_takes_effect() {
    let kv = Standin::start(&["kv"]);
    kv.post("/control/faults", &json!({ "lose_answers": 1 })).await;
    kv.send("/v3/kv/txn", &create("a", "1")).await.expect_err("the response is lost");
    assert_eq!(range(&kv, "a").await["kvs"][0]["value"], b64("1"));
    put(&kv, "b", "2").await;
    let counts: Counts = kv.get("/control/counts").await;
    assert_eq!(counts.lost_answers, 1);
}

#[actix_rt::test]
async fn a_service_that_is_down_aborts_calls_and_watches() {
    let kv = Standin::start(&["kv"]);
    let create = json!({ "create_request": { "key": b64("a") } });
    let go_down = async {
        tokio::time::sleep(Duration::from_millis(200)).await;
        kv.post("/control/faults", &json!({ "down": true })).await
    };
    let (watched, _) = futures_util::join!(kv.post_raw("/v3/watch", &create), go_down);
    assert!(watched.contains("\"created\":true") && !watched.ends_with(LAST_CHUNK), "{watched}");
    kv.send("/v3/kv/put", &json!({ "key": b64("a"), "value": b64("1") }))
        .await
        .expect_err("there is no response");
    kv.post("/control/faults", &json!({})).await;
    assert!(range(&kv, "a").await.get("kvs").is_none(), "the call had no effect");
    let counts: Counts = kv.get("/control/counts").await;
    assert_eq!((counts.cut, counts.waiting_watches), (1, 0));
}

#[actix_rt::test]
async fn a_flapping_service_goes_down_and_comes_back() {
    let kv = Standin::start(&["kv"]);
    kv.post("/control/faults", &json!({ "flap_ms": 150 })).await;
    let mut outcomes = Vec::new();
    while outcomes.len() < 4 {
        let is_up = kv.send("/v3/kv/range", &json!({ "key": b64("a") })).await.is_ok();
        if outcomes.last() != Some(&is_up) {
            outcomes.push(is_up);
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    assert_eq!(outcomes, [true, false, true, false]);
}

async fn open_watch(kv: &Standin, start_revision: i64) -> Lines {
    let create = json!({ "create_request": {
        "key": b64("/w/"), "range_end": b64("/w0"), "progress_notify": true,
        "start_revision": start_revision.to_string(),
    }});
    let mut lines = Lines::new(kv.send("/v3/watch", &create).await.expect("the watch opens"));
    assert_eq!(lines.next_json().await["result"]["created"], true);
    lines
}

#[actix_rt::test]
async fn a_watch_reports_all_changes_from_its_revision_on() {
    let kv = Standin::start(&["kv", "--progress-ms", "100"]);
    put(&kv, "/w/a", "1").await;
    let second = put(&kv, "/w/a", "2").await;
    put(&kv, "/x/a", "3").await;
    let mut watch = open_watch(&kv, second).await;
    let message = watch.next_json().await;
    assert_eq!(message["result"]["events"].as_array().map(Vec::len), Some(1), "{message}");
    assert_eq!(message["result"]["events"][0]["kv"]["value"], b64("2"));

    let (_, deleted) = kv.post("/v3/kv/deleterange", &json!({ "key": b64("/w/a") })).await;
    let message = watch.next_json().await;
    assert_eq!(message["result"]["events"][0]["type"], "DELETE", "{message}");
    let progress = watch.next_json().await;
    assert!(progress["result"].get("events").is_none(), "{progress}");
    assert_eq!(revision(&progress["result"]), revision(&deleted));
}

#[actix_rt::test]
async fn a_watch_before_the_kept_history_is_cancelled() {
    let kv = Standin::start(&["kv", "--history", "2"]);
    for value in ["1", "2", "3"] {
        put(&kv, "/w/a", value).await;
    }
    let mut watch = open_watch(&kv, 2).await;
    let message = watch.next_json().await;
    assert_eq!(message["result"]["canceled"], true);
    assert_eq!(message["result"]["compact_revision"], "3");
    assert!(watch.next().await.is_none(), "the stream ends");
    let mut watch = open_watch(&kv, 3).await;
    let message = watch.next_json().await;
    assert_eq!(message["result"]["events"].as_array().map(Vec::len), Some(2), "{message}");
}

async fn next_event(watch: &mut Lines) -> Value {
    loop {
        let mut message = watch.next_json().await;
        if message["result"].get("events").is_some() {
            return message["result"]["events"][0].take();
        }
    }
}

async fn grant(kv: &Standin, key: &str) -> Value {
    let (_, granted) = kv.post("/v3/lease/grant", &json!({ "TTL": 1 })).await;
    let id = granted["ID"].clone();
    let leased = json!({ "key": b64(key), "value": b64("1"), "lease": id });
    assert_eq!(kv.post("/v3/kv/put", &leased).await.0, 200);
    id
}

#[actix_rt::test]
async fn a_lease_expires_by_itself_unless_renewed() {
    let kv = Standin::start(&["kv"]);
    let mut watch = open_watch(&kv, 2).await;
    let kept = grant(&kv, "/kept").await;
    grant(&kv, "/w/left").await;
    for _ in 0..4 {
        tokio::time::sleep(Duration::from_millis(400)).await;
        let (_, renewed) = kv.post("/v3/lease/keepalive", &json!({ "ID": kept })).await;
        assert_eq!(renewed["result"]["TTL"], "1", "{renewed}");
    }
    assert!(range(&kv, "/w/left").await.get("kvs").is_none());
    assert!(range(&kv, "/kept").await.get("kvs").is_some());
    assert!(next_event(&mut watch).await.get("type").is_none(), "the first event is the write");
    assert_eq!(next_event(&mut watch).await["type"], "DELETE");

    kv.post("/control/lapse_lease", &json!({ "id": kept })).await;
    assert!(range(&kv, "/kept").await.get("kvs").is_none());
    let (_, gone) = kv.post("/v3/lease/keepalive", &json!({ "ID": kept })).await;
    assert!(gone["result"].get("TTL").is_none(), "{gone}");
}

#[actix_rt::test]
async fn calls_over_the_rate_are_refused_and_counted() {
    let kv = Standin::start(&["kv", "--writes-per-second", "3"]);
    let mut statuses = Vec::new();
    for _ in 0..5 {
        let body = json!({ "key": b64("a"), "value": b64("1") });
        statuses.push(kv.post("/v3/kv/put", &body).await);
    }
    let refused = statuses.iter().filter(|(status, _)| *status == 429).count();
    assert_eq!(refused, 2, "{statuses:?}");
    assert_eq!(statuses[4].1["code"], 8);
    assert!(range(&kv, "a").await.get("kvs").is_some(), "reads have a separate limit");
    let counts: Counts = kv.get("/control/counts").await;
    assert_eq!((counts.refused, counts.peak_writes_per_second), (2, 5));
}

#[actix_rt::test]
async fn a_standin_runs_inside_a_test_until_it_is_stopped() {
    let listen = "127.0.0.1:0".parse().unwrap();
    let running = kv::start(listen, kv::Options::default()).unwrap();
    let url = format!("http://{}/control/counts", running.address);
    let counts: Counts =
        awc::Client::default().get(&url).send().await.unwrap().json().await.unwrap();
    assert_eq!(counts, Counts::default());
    kv::start(running.address, kv::Options::default()).err().expect("the port is taken");
    running.handle.stop(false).await;
    awc::Client::default().get(&url).send().await.expect_err("it is stopped");
}

#[actix_rt::test]
async fn a_slow_service_answers_late() {
    let kv = Standin::start(&["kv"]);
    kv.post("/control/faults", &json!({ "slow_ms": 300 })).await;
    let start = Instant::now();
    put(&kv, "a", "1").await;
    assert!(start.elapsed() >= Duration::from_millis(300), "{:?}", start.elapsed());
}
