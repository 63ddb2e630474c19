//! The platform's store, as far as entries use it, with the faults that tests need.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use actix_web::{HttpResponse, web};
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde::Deserialize;
use serde_json::{Value, json};

use crate::{Running, server};

/// Pause between two looks of a waiting watch.
const WATCH_STEP: Duration = Duration::from_millis(5);

/// Mode is how the store answers.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Mode {
    /// As it should.
    #[default]
    Up,
    /// With 503.
    Refusing,
    /// Not at all.
    Silent,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, (Vec<u8>, u64)>,
    changes: Vec<(u64, String, Option<Vec<u8>>)>,
    compacted: u64,
    mode: Mode,
    calls: u64,
}

/// PlatformStore is a running store; clones share it.
#[derive(Clone, Default)]
pub struct PlatformStore(Arc<Mutex<State>>);

impl PlatformStore {
    /// Starts the store at an address.
    ///
    /// # Errors
    ///
    /// Returns an error where the address cannot be listened on.
    pub fn start(&self, listen: SocketAddr) -> server::Result<Running> {
        let data = web::Data::new(self.clone());
        server::start(listen, move |cfg| {
            cfg.app_data(data.clone())
                .route("/v1/kv-range", web::get().to(range))
                .route("/v1/kv-watch", web::get().to(watch));
        })
    }

    /// Writes a key as the operator or a server does.
    pub fn put(&self, key: &str, value: impl Into<Vec<u8>>) {
        let value = value.into();
        self.with(|state| {
            state.revision += 1;
            let revision = state.revision;
            state.items.insert(key.to_owned(), (value.clone(), revision));
            state.changes.push((revision, key.to_owned(), Some(value)));
        });
    }

    /// Removes a key.
    pub fn remove(&self, key: &str) {
        self.with(|state| {
            state.revision += 1;
            state.items.remove(key);
            state.changes.push((state.revision, key.to_owned(), None));
        });
    }

    /// Sets how the store answers from now on.
    pub fn set_mode(&self, mode: Mode) {
        self.with(|state| state.mode = mode);
    }

    /// Forgets all history.
    pub fn compact(&self) {
        self.with(|state| {
            state.compacted = state.revision;
            state.changes.clear();
        });
    }

    /// Returns the calls taken so far.
    pub fn calls(&self) -> u64 {
        self.with(|state| state.calls)
    }

    fn with<T>(&self, use_state: impl FnOnce(&mut State) -> T) -> T {
        use_state(&mut self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Counts a call and tells whether it is answered.
    async fn admit(&self) -> Option<HttpResponse> {
        let mode = self.with(|state| {
            state.calls += 1;
            state.mode
        });
        match mode {
            Mode::Up => None,
            Mode::Refusing => Some(HttpResponse::ServiceUnavailable().finish()),
            Mode::Silent => {
                actix_rt::time::sleep(Duration::from_secs(3_600)).await;
                Some(HttpResponse::ServiceUnavailable().finish())
            }
        }
    }
}

#[derive(Deserialize)]
struct RangeQuery {
    prefix: String,
}

#[derive(Deserialize)]
struct WatchQuery {
    prefix: String,
    after: u64,
    #[serde(rename = "waitMs")]
    wait_ms: u64,
}

fn item(key: &str, value: &[u8], revision: u64) -> Value {
    let value = STANDARD.encode(value);
    json!({"key": key, "value": value, "revision": revision, "created": revision, "lease": 0})
}

async fn range(store: web::Data<PlatformStore>, query: web::Query<RangeQuery>) -> HttpResponse {
    if let Some(response) = store.admit().await {
        return response;
    }
    let body = store.with(|state| {
        let items = state.items.iter().filter(|(key, _)| key.starts_with(&query.prefix));
        let entries: Vec<Value> =
            items.map(|(key, (value, revision))| item(key, value, *revision)).collect();
        json!({"entries": entries, "hasMore": false, "at": state.revision})
    });
    HttpResponse::Ok().json(body)
}

async fn watch(store: web::Data<PlatformStore>, query: web::Query<WatchQuery>) -> HttpResponse {
    if let Some(response) = store.admit().await {
        return response;
    }
    let steps = Duration::from_millis(query.wait_ms).as_millis() / WATCH_STEP.as_millis();
    for _ in 0..=steps {
        let (mode, compacted) = store.with(|state| (state.mode, state.compacted));
        if mode != Mode::Up {
            return HttpResponse::ServiceUnavailable().finish();
        }
        if query.after < compacted {
            return HttpResponse::Gone().finish();
        }
        let (events, at) = store.with(|state| (events(state, &query), state.revision));
        if !events.is_empty() {
            return HttpResponse::Ok().json(json!({"events": events, "at": at}));
        }
        actix_rt::time::sleep(WATCH_STEP).await;
    }
    let at = store.with(|state| state.revision);
    HttpResponse::Ok().json(json!({"events": [], "at": at}))
}

fn events(state: &State, query: &WatchQuery) -> Vec<Value> {
    let changes = state.changes.iter();
    let wanted = changes.filter(|(at, key, _)| *at > query.after && key.starts_with(&query.prefix));
    let event = |(revision, key, value): &(u64, String, Option<Vec<u8>>)| match value {
        Some(value) => item(key, value, *revision),
        None => json!({"key": key, "revision": revision, "deleted": true}),
    };
    wanted.map(event).collect()
}
