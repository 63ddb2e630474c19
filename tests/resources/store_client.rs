//! The client of the key-value store, against the stand-in.

use std::time::Duration;

use bitternwall::external::store::{
    Compare, Store, StoreError, StoreOptions, Watch, WatchEvent, Write,
};
use bytes::Bytes;
use serde_json::json;

use crate::store::{CALL_TIMEOUT, ClosedPort, StandIn};

fn put(key: &str, value: &'static str) -> Write {
    Write::Put { key: String::from(key), value: Bytes::from(value), lease: None }
}

/// Waits until a watch has delivered at least `count` events, and returns them.
async fn collect(watch: &mut Watch, count: usize) -> Vec<WatchEvent> {
    let mut events = Vec::new();
    while events.len() < count {
        events.extend(watch.next().await.unwrap().events);
    }
    events
}

#[actix_web::test]
async fn keys_are_compared_and_swapped() {
    let service = StandIn::start(&[]);
    let store = service.store();
    let absent = Compare::CreateRevision(String::from("/a/1"), 0);
    let commit = store.commit(std::slice::from_ref(&absent), &[put("/a/1", "one")]).await.unwrap();
    assert!(commit.succeeded);
    let (revision, kv) = store.get("/a/1").await.unwrap();
    let kv = kv.unwrap();
    assert_eq!((revision, kv.mod_revision), (commit.revision, commit.revision));
    assert_eq!(&kv.value[..], b"one");
    assert!(!store.commit(&[absent], &[put("/a/1", "two")]).await.unwrap().succeeded);
    let same = Compare::ModRevision(String::from("/a/1"), kv.mod_revision);
    let writes = [put("/a/1", "two"), put("/a/2", ""), put("/b", "else")];
    assert!(store.commit(&[same], &writes).await.unwrap().succeeded);
    let range = store.range("/a/").await.unwrap();
    let values: Vec<_> = range.entries.iter().map(|kv| (&*kv.key, &kv.value[..])).collect();
    assert_eq!(values, [("/a/1", &b"two"[..]), ("/a/2", &b""[..])]);
    assert_eq!(store.range_first("/a/", 1).await.unwrap().entries.len(), 1);
    let calls = store.calls();
    assert_eq!((calls.range, calls.txn, calls.total()), (3, 3, 6));
}

#[actix_web::test]
async fn revoking_a_lease_deletes_its_keys() {
    let service = StandIn::start(&[]);
    let store = service.store();
    let lease = store.grant_lease(Duration::from_secs(60)).await.unwrap();
    let key = String::from("/lock");
    let write = Write::Put { key, value: Bytes::from("me"), lease: Some(lease) };
    assert!(store.commit(&[], &[write]).await.unwrap().succeeded);
    assert_eq!(store.keep_alive(lease).await.unwrap(), Duration::from_secs(60));
    store.revoke(lease).await.unwrap();
    assert_eq!(store.get("/lock").await.unwrap().1, None);
    assert_eq!(store.keep_alive(lease).await.unwrap(), Duration::ZERO);
    store.revoke(lease).await.unwrap();
}

#[actix_web::test]
async fn a_watch_delivers_all_changes_in_order() {
    let service = StandIn::start(&["--progress-ms", "50"]);
    let store = service.store();
    let first = store.commit(&[], &[put("/a/1", "one")]).await.unwrap().revision;
    let mut watch = store.watch("/a/", first).await.unwrap();
    store.commit(&[], &[put("/b/1", "else")]).await.unwrap();
    let delete = Write::Delete { key: String::from("/a/1") };
    let last = store.commit(&[], &[delete]).await.unwrap().revision;
    let events = collect(&mut watch, 2).await;
    assert!(matches!(&events[0], WatchEvent::Put(kv) if kv.mod_revision == first));
    let key = String::from("/a/1");
    assert_eq!(events[1], WatchEvent::Delete { key, mod_revision: last });
    let progress = watch.next().await.unwrap();
    assert_eq!((progress.revision, progress.events.len()), (last, 0));
}

#[actix_web::test]
async fn compacted_history_is_reported() {
    let service = StandIn::start(&["--history", "2"]);
    let store = service.store();
    let first = store.commit(&[], &[put("/a/1", "one")]).await.unwrap().revision;
    for value in ["two", "three", "four"] {
        store.commit(&[], &[put("/a/1", value)]).await.unwrap();
    }
    let mut old = store.watch("/a/", first).await.unwrap();
    let gone = old.next().await.unwrap_err();
    assert!(matches!(gone, StoreError::Compacted { revision } if revision > first), "{gone}");
    let StoreError::Compacted { revision } = gone else { panic!("{gone}") };
    let mut held = store.watch("/a/", revision).await.unwrap();
    assert_eq!(held.next().await.unwrap().events.len(), 2);
}

#[actix_web::test]
async fn only_calls_without_effect_are_refused() {
    let closed = ClosedPort::take();
    let endpoints = vec![closed.endpoint.clone()];
    let unreachable = StoreOptions { endpoints, call_timeout: CALL_TIMEOUT };
    let refused = Store::new(unreachable).commit(&[], &[put("/a", "1")]).await.unwrap_err();
    assert!(matches!(refused, StoreError::Refused { .. }), "{refused}");

    let limited = StandIn::start(&["--history", "10"]);
    let store = limited.store();
    let too_large = Write::Put {
        key: String::from("/a"),
        value: Bytes::from(vec![b'x'; (1 << 20) + 1]),
        lease: None,
    };
    let refused = store.commit(&[], &[too_large]).await.unwrap_err();
    assert!(matches!(refused, StoreError::Refused { .. }), "{refused}");

    limited.set_faults(json!({ "lose_answers": 1 })).await;
    let unknown = store.commit(&[], &[put("/a", "1")]).await.unwrap_err();
    assert!(matches!(unknown, StoreError::Unknown { .. }), "{unknown}");
    assert!(store.get("/a").await.unwrap().1.is_some(), "the write was carried out");
}

#[actix_web::test]
async fn a_slow_service_leaves_a_write_unknown() {
    let service = StandIn::start(&[]);
    let options = StoreOptions { call_timeout: Duration::from_millis(50), ..service.options() };
    service.set_faults(json!({ "slow_ms": 60_000 })).await;
    let unknown = Store::new(options).commit(&[], &[put("/a", "1")]).await.unwrap_err();
    assert!(matches!(unknown, StoreError::Unknown { .. }), "{unknown}");
}

#[actix_web::test]
async fn further_endpoints_are_tried() {
    let service = StandIn::start(&[]);
    let closed = ClosedPort::take();
    let endpoints = vec![closed.endpoint.clone(), service.endpoint.clone()];
    let store = Store::new(StoreOptions { endpoints, call_timeout: CALL_TIMEOUT });
    assert!(store.commit(&[], &[put("/a", "1")]).await.unwrap().succeeded);
    assert!(store.get("/a").await.unwrap().1.is_some());
    assert_eq!(store.calls().total(), 3, "the endpoint that answered last is tried first");
}
