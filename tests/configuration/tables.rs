//! The typed tables of a state, and the deltas between states.

use bitternwall::config::envelope::EnvelopeError;
use bitternwall::config::history::History;
use bitternwall::config::state::{Delta, State, StateError};
use bitternwall::config::view::{Grant, View};
use bitternwall::external::store;

fn key_value(key: &str, revision: u64, value: &str) -> store::KeyValue {
    let key = format!("/bitternwall/config/{key}");
    let value = value.to_owned().into();
    store::KeyValue { key, value, create_revision: revision, mod_revision: revision }
}

fn resource(kind: &str, name: &str, spec: &str) -> store::KeyValue {
    let value = format!(
        r#"{{"kind":"{kind}","name":"{name}","generation":1,"change_id":"c","actor":"a","spec":{spec}}}"#
    );
    key_value(&format!("{kind}/{name}"), 1, &value)
}

fn view(entries: Vec<store::KeyValue>) -> View {
    let mut state = State::default();
    state.replace(&store::Range { revision: 9, entries }).expect("the first state is newer");
    View::new(&state)
}

fn customer(name: &str, digit: char) -> store::KeyValue {
    let hash = digit.to_string().repeat(64);
    resource("customer", name, &format!(r#"{{"key_sha256":"{hash}"}}"#))
}

#[test]
fn policies_resolve_to_grants_and_targets_to_their_service() {
    let view = view(vec![
        customer("studio", 'a'),
        resource("service", "llm", r#"{"kind":"model","models":["brand"]}"#),
        resource("policy", "p1", r#"{"customers":["studio"],"services":["llm"],"weight":3}"#),
        resource(
            "policy",
            "p2",
            r#"{"customers":["studio"],"services":["llm"],"max_in_flight":99}"#,
        ),
        resource(
            "target",
            "t1",
            r#"{"service":"llm","agent":"127.0.0.1:1","data_centre":"lekki"}"#,
        ),
        resource(
            "group",
            "g",
            r#"{"service":"llm","ranks":["t1"],"layers":2,"experts":4,"slots_per_rank":4}"#,
        ),
    ]);
    assert!(view.skipped().is_empty(), "{:?}", view.skipped());
    let (studio, _) = view.customer_by_key(&[0xaa; 32]).unwrap();
    let (llm, _) = view.service_by_model("brand").unwrap();
    assert_eq!(view.grant(studio, llm), Some(Grant { weight: 3, max_in_flight: 99 }));
    assert_eq!(view.targets_of(llm).map(|(_, target)| &*target.name).collect::<Vec<_>>(), ["t1"]);
    assert_eq!(view.groups()[0].ranks, [view.target_by_name("t1").unwrap().0]);
}

#[test]
fn resources_that_cannot_be_used_are_skipped_and_named() {
    let view = view(vec![
        customer("a-first", 'b'),
        customer("b-second", 'b'),
        resource("customer", "bad-hash", r#"{"key_sha256":"B0"}"#),
        resource("service", "odd", r#"{"kind":"teapot"}"#),
        resource("target", "lost", r#"{"service":"odd","agent":"127.0.0.1:1","data_centre":"x"}"#),
        resource("policy", "half", r#"{"customers":["a-first"],"services":["odd"]}"#),
        key_value("teapot/one", 1, "{}"),
        key_value("customer/other", 1, r#"{"name":"me","spec":{"key_sha256":""}}"#),
        key_value("customer/torn", 1, r#"{"name":"#),
    ]);
    assert_eq!(view.customers().len(), 1);
    assert!(view.services().is_empty() && view.targets().is_empty());
    let mut kinds: Vec<_> = view
        .skipped()
        .iter()
        .map(|error| match error {
            EnvelopeError::UnknownKey { .. } => "unknown key",
            EnvelopeError::Malformed { .. } => "malformed",
            EnvelopeError::NameMismatch { .. } => "other name",
            EnvelopeError::BadKeyHash { .. } => "bad hash",
            EnvelopeError::Dangling { .. } => "dangling",
            EnvelopeError::Duplicate { .. } => "duplicate",
        })
        .collect();
    kinds.sort_unstable();
    let expected = [
        "bad hash",
        "dangling",
        "dangling",
        "duplicate",
        "malformed",
        "malformed",
        "other name",
        "unknown key",
    ];
    assert_eq!(kinds, expected);
}

#[test]
fn a_state_moves_forward_only_and_without_gaps() {
    let mut state = State::default();
    state.replace(&store::Range { revision: 5, entries: Vec::new() }).unwrap();
    let stale = store::Range { revision: 5, entries: vec![key_value("a", 1, "")] };
    assert_eq!(state.replace(&stale), Err(StateError::NotNewer { held: 5, offered: 5 }));
    let delta = Delta { base_revision: 6, revision: 7, ..Delta::default() };
    assert_eq!(state.apply_delta(&delta), Err(StateError::Gap { held: 5, base: 6 }));
    assert_eq!((state.revision(), state.resources().len()), (5, 0));
}

/// A key that was created and deleted between two complete states is in neither, so their
/// difference must not be sent to a peer that holds a revision between them.
#[test]
fn a_difference_of_states_is_no_delta_for_a_peer_between_them() {
    let mut history = History::default();
    history.replace(&store::Range { revision: 10, entries: Vec::new() }).unwrap();
    history.replace(&store::Range { revision: 20, entries: Vec::new() }).unwrap();
    assert_eq!(history.answer(10).map(|answer| answer.base_revision), Some(10));
    assert_eq!(history.answer(15).map(|answer| answer.base_revision), Some(0));
    assert_eq!(history.answer(20), None);
    let mut peer = History::default();
    let entries = vec![key_value("a", 12, "")];
    peer.replace(&store::Range { revision: 15, entries }).unwrap();
    let refused = peer.apply_answer(&history.answer(10).unwrap());
    assert_eq!(refused, Err(StateError::BaseMismatch { held: 15, base: 10 }));
    peer.apply_answer(&history.answer(15).unwrap()).unwrap();
    assert!(peer.state().resources().is_empty());
}
