//! The fakes of the host list and the weight store.

mod common;

use std::time::{Duration, Instant};

use common::Standin;
use serde_json::{Value, json};
use standins::weights::Counts;

fn hosts(state: &str) -> Value {
    json!([{
        "name": "h1", "address": "127.0.0.1:7001", "role": "entry",
        "data_centre": "kafr", "state": state,
    }])
}

#[actix_rt::test]
async fn a_change_of_the_host_list_becomes_visible_after_its_lag() {
    let list = Standin::start(&["hosts"]);
    let empty: Value = list.get("/v1/hosts").await;
    assert_eq!(empty["hosts"], json!([]));
    assert_eq!(list.post("/control/hosts", &json!({ "hosts": hosts("live") })).await.0, 204);
    let change = json!({ "hosts": hosts("leaving"), "lag_ms": 400 });
    let changed = Instant::now();
    assert_eq!(list.post("/control/hosts", &change).await.0, 204);
    let mut listed: Value = list.get("/v1/hosts").await;
    assert_eq!(listed["hosts"], hosts("live"));
    while listed["hosts"] != hosts("leaving") {
        tokio::time::sleep(Duration::from_millis(10)).await;
        listed = list.get("/v1/hosts").await;
    }
    assert!(changed.elapsed() >= Duration::from_millis(400));
    let unknown = json!({ "hosts": hosts("gone") });
    assert_eq!(list.post("/control/hosts", &unknown).await.0, 400);
}

#[actix_rt::test]
async fn readers_of_weights_share_one_rate() {
    const READ_BYTES: usize = 100_000;
    let store = Standin::start(&["weights", "--bytes-per-second", "400000"]);
    let url = store.url("/v1/weights/summary/3/17?bytes=100000");
    let read = async || {
        let res = awc::Client::default().get(&url).send().await;
        res.unwrap().body().limit(READ_BYTES).await.unwrap()
    };
    let start = Instant::now();
    let (first, second) = futures_util::join!(read(), read());
    assert!(start.elapsed() >= Duration::from_millis(500), "{:?}", start.elapsed());
    assert!(first.iter().chain(&second).all(|&byte| byte == 0));
    assert_eq!((first.len(), second.len()), (READ_BYTES, READ_BYTES));
    let counts: Counts = store.get("/control/counts").await;
    assert_eq!(counts, Counts { reads: 2, refused: 0, bytes_sent: 200_000 });
}

#[actix_rt::test]
async fn a_full_queue_of_weight_reads_gives_a_retry_after() {
    let store = Standin::start(&["weights", "--bytes-per-second", "100000", "--queue", "1"]);
    let client = awc::Client::default();
    let url = store.url("/v1/weights/summary/3/17?bytes=300000");
    let first = client.get(&url).send().await.unwrap();
    let refused = client.get(&url).send().await.unwrap();
    assert_eq!(refused.status(), 429);
    let retry_after: u64 =
        refused.headers().get("retry-after").unwrap().to_str().unwrap().parse().unwrap();
    assert!((2..=3).contains(&retry_after), "{retry_after}");
    drop(first);
    let freed = async {
        while client.get(&url).send().await.unwrap().status() != 200 {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    let freed = tokio::time::timeout(Duration::from_secs(2), freed);
    freed.await.expect("the disconnect of the first reader frees its slot");
}
