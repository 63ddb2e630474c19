//! [`Resources`] with the real store client, against the stand-in store.

use std::rc::Rc;
use std::time::Duration;

use bitternwall::audit::{self, Action};
use bitternwall::clock::Clock;
use bitternwall::resources::changes::{self, Change, ChangeState, Operation};
use bitternwall::resources::error::ResourceError;
use bitternwall::resources::kinds::Kind;
use bitternwall::resources::service::{Resources, ResourcesOptions};
use bitternwall::resources::watch::ResourceEvent;
use serde_json::{Value, json};

use crate::store::StandIn;

const SETTLE_TIMEOUT: Duration = Duration::from_secs(10);

fn resources(service: &StandIn, settle_timeout: Duration, audit_limit: u64) -> Resources {
    let options = ResourcesOptions { settle_timeout, audit_limit };
    let draw = Rc::new(rand::random::<u64>);
    Resources::new(service.store(), options, Clock::system(), draw)
}

fn plain(timeout_ms: u64) -> Value {
    json!({ "kind": "plain", "timeout_ms": timeout_ms })
}

fn change(id: &str, name: &str, operation: Operation) -> Change {
    let (id, name) = (String::from(id), String::from(name));
    Change { id, actor: String::from("amina"), kind: Kind::Service, name, operation }
}

fn create(id: &str, name: &str) -> Change {
    change(id, name, Operation::Create { spec: plain(1) })
}

fn replace(id: &str, resource_version: u64, timeout_ms: u64) -> Change {
    let spec = plain(timeout_ms);
    change(id, "dispatch", Operation::Replace { resource_version, spec })
}

#[actix_web::test]
async fn of_two_racing_replaces_one_is_accepted() {
    let service = StandIn::start(&[]);
    let (one, two) =
        (resources(&service, SETTLE_TIMEOUT, 1000), resources(&service, SETTLE_TIMEOUT, 1000));
    let mut version = one.apply(&create("c0", "dispatch")).await.unwrap().resource_version;
    for round in 0..20 {
        let (first, second) = (format!("a{round}"), format!("b{round}"));
        let (first, second) = (replace(&first, version, 10), replace(&second, version, 20));
        let outcomes = futures_util::future::join(one.apply(&first), two.apply(&second)).await;
        let (won, lost) = match outcomes {
            (Ok(won), Err(lost)) | (Err(lost), Ok(won)) => (won, lost),
            other => panic!("{other:?}"),
        };
        let ResourceError::Conflict { given_version, present_version, .. } = lost else {
            panic!("{lost}");
        };
        assert_eq!((given_version, present_version), (version, won.resource_version));
        assert_eq!(won.applied.generation, round + 2);
        version = won.resource_version;
    }
    assert_eq!(one.audit(100).await.unwrap().len(), 21);
}

#[actix_web::test]
async fn a_lost_response_is_settled_by_reading_the_marker() {
    let service = StandIn::start(&[]);
    let resources = resources(&service, SETTLE_TIMEOUT, 1000);
    service.set_faults(json!({ "lose_answers": 1 })).await;
    let accepted = resources.apply(&create("c1", "dispatch")).await.unwrap();
    let stored = resources.read(Kind::Service, "dispatch").await.unwrap();
    assert_eq!(stored.resource_version, accepted.resource_version);
    assert_eq!((stored.resource.generation, &*stored.resource.change_id), (1, "c1"));
    let trail = resources.audit(10).await.unwrap();
    assert_eq!(trail.len(), 1);
    assert_eq!((&*trail[0].actor, trail[0].action), ("amina", Action::Create));
}

#[actix_web::test]
async fn a_repeated_change_returns_the_recorded_outcome() {
    let service = StandIn::start(&[]);
    let resources = resources(&service, SETTLE_TIMEOUT, 1000);
    let first = resources.apply(&create("c1", "dispatch")).await.unwrap();
    let update = replace("c2", first.resource_version, 5);
    let second = resources.apply(&update).await.unwrap();
    assert_eq!(resources.apply(&create("c1", "dispatch")).await.unwrap(), first);
    assert_eq!(resources.apply(&update).await.unwrap(), second);
    let other = resources.apply(&replace("c2", second.resource_version, 6)).await.unwrap_err();
    assert!(matches!(other, ResourceError::ChangeIdReused { .. }), "{other}");
    assert_eq!(resources.read(Kind::Service, "dispatch").await.unwrap().resource.generation, 2);
}

#[actix_web::test]
async fn a_store_that_is_down_accepts_nothing() {
    let service = StandIn::start(&[]);
    let resources = resources(&service, SETTLE_TIMEOUT, 1000);
    service.set_faults(json!({ "down": true })).await;
    let refused = resources.apply(&create("c1", "dispatch")).await.unwrap_err();
    assert!(matches!(refused, ResourceError::Unavailable { .. }), "{refused}");
    service.set_faults(json!({})).await;
    let absent = resources.read(Kind::Service, "dispatch").await.unwrap_err();
    assert!(matches!(absent, ResourceError::NotFound { .. }), "{absent}");
    assert!(
        resources.apply(&create("c1", "dispatch")).await.is_ok(),
        "the change can be sent again"
    );
}

#[actix_web::test]
async fn an_outcome_not_settled_in_time_is_unknown_and_can_be_queried_later() {
    let service = StandIn::start(&[]);
    let without_settling = resources(&service, Duration::ZERO, 1000);
    service.set_faults(json!({ "lose_answers": 1 })).await;
    let unknown = without_settling.apply(&create("c1", "dispatch")).await.unwrap_err();
    assert!(
        matches!(&unknown, ResourceError::OutcomeUnknown { change_id, .. } if change_id == "c1"),
        "{unknown}"
    );
    let ChangeState::Accepted(settled) =
        without_settling.settle_change("c1", "amina").await.unwrap()
    else {
        panic!("the change was applied");
    };
    let stored = without_settling.read(Kind::Service, "dispatch").await.unwrap();
    assert_eq!(settled.resource_version, stored.resource_version);
    assert_eq!(without_settling.apply(&create("c1", "dispatch")).await.unwrap(), settled);
}

#[actix_web::test]
async fn a_change_reported_as_not_applied_is_never_applied() {
    let service = StandIn::start(&[]);
    let resources = resources(&service, SETTLE_TIMEOUT, 1000);
    let state = resources.settle_change("c1", "amina").await.unwrap();
    assert!(matches!(state, ChangeState::NotApplied { .. }), "{state:?}");
    let late = resources.apply(&create("c1", "dispatch")).await.unwrap_err();
    assert!(matches!(late, ResourceError::Abandoned { .. }), "{late}");
    assert!(resources.read(Kind::Service, "dispatch").await.is_err());
    assert!(resources.apply(&create("c2", "dispatch")).await.is_ok());
}

#[actix_web::test]
async fn a_resource_in_use_is_not_deleted_and_deleting_counts_as_a_generation() {
    let service = StandIn::start(&[]);
    let resources = resources(&service, SETTLE_TIMEOUT, 1000);
    let version = resources.apply(&create("c1", "dispatch")).await.unwrap().resource_version;
    let spec = json!({ "service": "dispatch", "agent": "10.0.0.1:9", "data_centre": "ikeja" });
    let operation = Operation::Create { spec };
    let target = Change { kind: Kind::Target, ..change("c2", "t1", operation) };
    let target_version = resources.apply(&target).await.unwrap().resource_version;
    let delete = change("c3", "dispatch", Operation::Delete { resource_version: version });
    let in_use = resources.apply(&delete).await.unwrap_err();
    assert!(matches!(in_use, ResourceError::InUse { .. }), "{in_use}");
    let operation = Operation::Delete { resource_version: target_version };
    let delete_target = Change { kind: Kind::Target, ..change("c4", "t1", operation) };
    assert_eq!(resources.apply(&delete_target).await.unwrap().applied.generation, 2);
    assert!(resources.apply(&delete).await.is_ok());
    let again = Change { id: String::from("c5"), ..delete };
    assert!(matches!(resources.apply(&again).await, Err(ResourceError::NotFound { .. })));
}

#[actix_web::test]
async fn the_trail_and_the_markers_are_bounded() {
    let service = StandIn::start(&[]);
    let writing = resources(&service, SETTLE_TIMEOUT, u64::MAX);
    for number in 0..70 {
        let (id, name) = (format!("c{number}"), format!("s{number}"));
        writing.apply(&create(&id, &name)).await.unwrap();
    }
    let bounded = resources(&service, SETTLE_TIMEOUT, 5);
    let removed = [bounded.prune().await.unwrap(), bounded.prune().await.unwrap()];
    assert_eq!(removed, [50, 15], "a batch is limited to what fits into one transaction");
    assert_eq!(bounded.prune().await.unwrap(), 0);
    let store = service.store();
    assert_eq!(store.range(audit::AUDIT_PREFIX).await.unwrap().entries.len(), 5);
    assert_eq!(store.range(changes::CHANGES_PREFIX).await.unwrap().entries.len(), 5);
    assert_eq!(bounded.list(Kind::Service).await.unwrap().resources.len(), 70);
}

#[actix_web::test]
async fn a_watch_follows_a_list_without_a_gap() {
    let service = StandIn::start(&[]);
    let resources = resources(&service, SETTLE_TIMEOUT, 1000);
    let version = resources.apply(&create("c1", "dispatch")).await.unwrap().resource_version;
    let list = resources.list(Kind::Service).await.unwrap();
    assert_eq!(list.resources.len(), 1);
    let mut watch = resources.watch(Kind::Service, list.resource_version).await.unwrap();
    let changed = resources.apply(&replace("c2", version, 7)).await.unwrap().resource_version;
    let delete = change("c3", "dispatch", Operation::Delete { resource_version: changed });
    resources.apply(&delete).await.unwrap();
    let mut events = Vec::new();
    while events.len() < 2 {
        events.extend(watch.next().await.unwrap().events);
    }
    assert!(matches!(&events[0], ResourceEvent::Modified(it) if it.resource_version == changed));
    assert!(matches!(&events[1], ResourceEvent::Deleted { name, .. } if name == "dispatch"));
}

#[actix_web::test]
async fn a_watch_from_a_compacted_revision_fails() {
    let service = StandIn::start(&["--history", "10"]);
    let resources = resources(&service, SETTLE_TIMEOUT, 1000);
    let version = resources.apply(&create("c0", "first")).await.unwrap().resource_version;
    for number in 1..5 {
        let (id, name) = (format!("c{number}"), format!("s{number}"));
        resources.apply(&create(&id, &name)).await.unwrap();
    }
    let mut old = resources.watch(Kind::Service, version).await.unwrap();
    let gone = old.next().await.unwrap_err();
    assert!(matches!(gone, ResourceError::HistoryGone { .. }), "{gone}");
}
