//! A fake of the platform's configuration store: the range, watch, lease and write calls that entries
//! use, with outages, compaction and a return from an older copy on request.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use actix_web::http::header::{HeaderName, HeaderValue};
use actix_web::{HttpResponse, web};
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde::Deserialize;
use serde_json::{Value, json};

use crate::{Running, server};

/// The header that tells how many times the store came back from an older copy.
const STORE_ERA: HeaderName = HeaderName::from_static("store-era");

/// The items of one page of a listing, and the bytes of their encoded values.
const PAGE_ITEMS: usize = 500;
const PAGE_BYTES: usize = 1_400_000;

/// Interval at which a waiting watch polls for changes.
const WATCH_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// How the store responds to calls.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Mode {
    /// Normally.
    #[default]
    Up,
    /// With status 503.
    Refusing,
    /// Calls get no response for an hour; watches that wait already get status 503.
    Silent,
    /// Calls get no response for an hour; watches that wait already go on once the store is back.
    Stalled,
}

#[derive(Clone, Default)]
struct State {
    /// How many times the store came back from an older copy.
    era: u64,
    /// What the header says in place of the era; `None` for an answer without the header.
    stated_era: Option<Option<String>>,
    revision: u64,
    entries: BTreeMap<String, (Vec<u8>, u64)>,
    changes: Vec<(u64, String, Option<Vec<u8>>)>,
    compacted: u64,
    mode: Mode,
    /// How long the store takes for each answer, beyond the time that a watch waits.
    answer_delay: Duration,
    calls: u64,
    /// The items of one page of a listing; `None` for [`PAGE_ITEMS`].
    page_items: Option<usize>,
    /// The leases granted, by id, with their times to live. They end on request only.
    leases: BTreeMap<u64, Duration>,
    /// The id of the lease that was granted last.
    last_lease: u64,
    /// The leases of the keys that carry one.
    leased: BTreeMap<String, u64>,
}

/// A copy of the store's content at one moment.
pub struct Copy(State);

/// A fake store; clones share its state.
#[derive(Clone, Default)]
pub struct PlatformStore(Arc<Mutex<State>>);

impl PlatformStore {
    /// Serves the store at an address, on the caller's actix runtime.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub fn start(&self, listen: SocketAddr) -> server::Result<Running> {
        let data = web::Data::new(self.clone());
        server::start(listen, move |cfg| {
            cfg.app_data(data.clone())
                .route("/v1/kv-range", web::get().to(range))
                .route("/v1/kv-watch", web::get().to(watch))
                .route("/v1/kv-lease", web::post().to(grant_lease))
                .route("/v1/kv-keep/{lease}", web::post().to(renew_lease))
                .route("/v1/kv-txn", web::post().to(write));
        })
    }

    /// Sets a key, as the operator or a server would, at a new revision.
    pub fn put(&self, key: &str, value: impl Into<Vec<u8>>) {
        let value = value.into();
        self.with(|state| {
            state.revision += 1;
            let revision = state.revision;
            state.entries.insert(key.to_owned(), (value.clone(), revision));
            state.changes.push((revision, key.to_owned(), Some(value)));
        });
    }

    /// Returns the value of a key.
    pub fn value(&self, key: &str) -> Option<Vec<u8>> {
        self.with(|state| state.entries.get(key).map(|(value, _)| value.clone()))
    }

    /// Removes a key at a new revision.
    pub fn remove(&self, key: &str) {
        self.with(|state| {
            state.revision += 1;
            state.entries.remove(key);
            state.changes.push((state.revision, key.to_owned(), None));
        });
    }

    /// Ends all leases, and removes the keys that carry them.
    pub fn end_leases(&self) {
        let keys = self.with(|state| {
            state.leases.clear();
            std::mem::take(&mut state.leased)
        });
        keys.keys().for_each(|key| self.remove(key));
    }

    /// Returns a copy of the content, for [`PlatformStore::restore`].
    pub fn copy(&self) -> Copy {
        Copy(self.with(|state| state.clone()))
    }

    /// Goes back to an older copy, in a new era: later writes and their history are gone, their
    /// revisions are given out again, and a watch from one of them gets 410.
    pub fn restore(&self, copy: &Copy) {
        self.with(|state| {
            let State { mode, answer_delay, calls, page_items, .. } = *state;
            let era = state.era + 1;
            *state = State { era, mode, answer_delay, calls, page_items, ..copy.0.clone() };
        });
    }

    /// Makes all answers from now on state another era than the store's, or none.
    pub fn state_era(&self, era: Option<&str>) {
        self.with(|state| state.stated_era = Some(era.map(str::to_owned)));
    }

    /// Adds the header that all answers of the store carry, and delays the answer.
    async fn answer(&self, mut response: HttpResponse) -> HttpResponse {
        let delay = self.with(|state| state.answer_delay);
        actix_rt::time::sleep(delay).await;
        let stated = self.with(|state| match &state.stated_era {
            Some(stated) => stated.clone(),
            None => Some(state.era.to_string()),
        });
        if let Some(era) = stated.and_then(|era| HeaderValue::try_from(era).ok()) {
            response.headers_mut().insert(STORE_ERA, era);
        }
        response
    }

    /// Returns the keys with a prefix.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        self.with(|state| {
            state.entries.keys().filter(|key| key.starts_with(prefix)).cloned().collect()
        })
    }

    /// Sets how the store responds from now on.
    pub fn set_mode(&self, mode: Mode) {
        self.with(|state| state.mode = mode);
    }

    /// Sets how long each answer takes from now on, beyond the time that a watch waits.
    pub fn set_answer_delay(&self, delay: Duration) {
        self.with(|state| state.answer_delay = delay);
    }

    /// Sets how many items a page of a listing has at most.
    pub fn set_page_items(&self, items: usize) {
        self.with(|state| state.page_items = Some(items));
    }

    /// Discards the history up to the current revision; a watch from an earlier one gets 410.
    pub fn compact(&self) {
        self.with(|state| {
            state.compacted = state.revision;
            state.changes.clear();
        });
    }

    /// Returns the number of calls received so far, including those that were refused.
    pub fn calls(&self) -> u64 {
        self.with(|state| state.calls)
    }

    fn with<T>(&self, f: impl FnOnce(&mut State) -> T) -> T {
        f(&mut self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Counts a call and returns the refusal that the current mode calls for, if any.
    async fn admit(&self) -> Option<HttpResponse> {
        let mode = self.with(|state| {
            state.calls += 1;
            state.mode
        });
        match mode {
            Mode::Up => None,
            Mode::Refusing => Some(HttpResponse::ServiceUnavailable().finish()),
            Mode::Silent | Mode::Stalled => {
                actix_rt::time::sleep(Duration::from_secs(3_600)).await;
                Some(HttpResponse::ServiceUnavailable().finish())
            }
        }
    }
}

#[derive(Deserialize)]
struct RangeQuery {
    prefix: String,
    /// The last key of the page before.
    #[serde(default)]
    after: String,
}

#[derive(Deserialize)]
struct WatchQuery {
    prefix: String,
    after: u64,
    #[serde(rename = "waitMs")]
    wait_ms: u64,
}

fn entry_json(key: &str, value: &[u8], revision: u64) -> Value {
    let value = STANDARD.encode(value);
    json!({"key": key, "value": value, "revision": revision, "created": revision, "lease": 0})
}

async fn range(store: web::Data<PlatformStore>, query: web::Query<RangeQuery>) -> HttpResponse {
    let response = read_range(&store, &query).await;
    store.answer(response).await
}

async fn read_range(store: &PlatformStore, query: &RangeQuery) -> HttpResponse {
    if let Some(response) = store.admit().await {
        return response;
    }
    let body = store.with(|state| {
        let entries = state.entries.iter().filter(|(key, _)| key.starts_with(&query.prefix));
        let rest = entries.filter(|(key, _)| query.after.is_empty() || **key > query.after);
        let mut documents: Vec<Value> =
            rest.map(|(key, (value, revision))| entry_json(key, value, *revision)).collect();
        let mut bytes = 0;
        let within = documents.iter().take_while(|document| {
            bytes += document["value"].as_str().map_or(0, str::len);
            bytes <= PAGE_BYTES
        });
        let items = within.count().max(1).min(state.page_items.unwrap_or(PAGE_ITEMS));
        let has_more = documents.len() > items;
        documents.truncate(items);
        json!({"entries": documents, "hasMore": has_more, "at": state.revision})
    });
    HttpResponse::Ok().json(body)
}

async fn watch(store: web::Data<PlatformStore>, query: web::Query<WatchQuery>) -> HttpResponse {
    let response = wait_for_changes(&store, &query).await;
    store.answer(response).await
}

async fn wait_for_changes(store: &PlatformStore, query: &WatchQuery) -> HttpResponse {
    if let Some(response) = store.admit().await {
        return response;
    }
    let due = Instant::now() + Duration::from_millis(query.wait_ms);
    loop {
        let (mode, compacted, revision) =
            store.with(|state| (state.mode, state.compacted, state.revision));
        match mode {
            Mode::Up => {}
            Mode::Stalled => {
                actix_rt::time::sleep(WATCH_POLL_INTERVAL).await;
                continue;
            }
            Mode::Refusing | Mode::Silent => return HttpResponse::ServiceUnavailable().finish(),
        }
        if query.after < compacted || query.after > revision {
            return HttpResponse::Gone().finish();
        }
        let (events, at) = store.with(|state| (events(state, query), state.revision));
        let left = due.saturating_duration_since(Instant::now());
        if !events.is_empty() || left.is_zero() {
            return HttpResponse::Ok().json(json!({"events": events, "at": at}));
        }
        actix_rt::time::sleep(left.min(WATCH_POLL_INTERVAL)).await;
    }
}

#[derive(Deserialize)]
struct LeaseRequest {
    #[serde(rename = "ttlMs")]
    ttl_ms: u64,
}

async fn grant_lease(
    store: web::Data<PlatformStore>,
    request: web::Json<LeaseRequest>,
) -> HttpResponse {
    let response = add_lease(&store, request.ttl_ms).await;
    store.answer(response).await
}

async fn add_lease(store: &PlatformStore, ttl_ms: u64) -> HttpResponse {
    if let Some(response) = store.admit().await {
        return response;
    }
    if !(1_000..=600_000).contains(&ttl_ms) {
        return HttpResponse::BadRequest().finish();
    }
    let lease = store.with(|state| {
        state.last_lease += 1;
        state.leases.insert(state.last_lease, Duration::from_millis(ttl_ms));
        state.last_lease
    });
    HttpResponse::Ok().json(json!({"lease": lease, "ttlMs": ttl_ms}))
}

async fn renew_lease(store: web::Data<PlatformStore>, lease: web::Path<u64>) -> HttpResponse {
    let response = match store.admit().await {
        Some(response) => response,
        None => match store.with(|state| state.leases.get(&lease).copied()) {
            Some(ttl) => {
                let ttl_ms = u64::try_from(ttl.as_millis()).unwrap_or(u64::MAX);
                HttpResponse::Ok().json(json!({"lease": *lease, "ttlMs": ttl_ms}))
            }
            None => HttpResponse::NotFound().finish(),
        },
    };
    store.answer(response).await
}

#[derive(Deserialize)]
struct WriteRequest {
    puts: Vec<PutRequest>,
}

#[derive(Deserialize)]
struct PutRequest {
    key: String,
    value: String,
    lease: u64,
}

/// Writes items without preconditions. The keys of the operator and of servers are refused.
async fn write(store: web::Data<PlatformStore>, request: web::Json<WriteRequest>) -> HttpResponse {
    let response = write_items(&store, &request).await;
    store.answer(response).await
}

async fn write_items(store: &PlatformStore, request: &WriteRequest) -> HttpResponse {
    if let Some(response) = store.admit().await {
        return response;
    }
    for put in &request.puts {
        if put.key.starts_with("op/") || put.key.starts_with("servers/") {
            return HttpResponse::Forbidden().finish();
        }
        if store.with(|state| put.lease != 0 && !state.leases.contains_key(&put.lease)) {
            return HttpResponse::NotFound().finish();
        }
        match STANDARD.decode(&put.value) {
            Ok(value) => {
                store.put(&put.key, value);
                store.with(|state| state.leased.insert(put.key.clone(), put.lease));
            }
            Err(_) => return HttpResponse::BadRequest().finish(),
        }
    }
    HttpResponse::Ok().json(json!({"revision": store.with(|state| state.revision)}))
}

fn events(state: &State, query: &WatchQuery) -> Vec<Value> {
    let changes = state.changes.iter();
    let matching =
        changes.filter(|(at, key, _)| *at > query.after && key.starts_with(&query.prefix));
    let event = |(revision, key, value): &(u64, String, Option<Vec<u8>>)| match value {
        Some(value) => entry_json(key, value, *revision),
        None => json!({"key": key, "revision": revision, "deleted": true}),
    };
    matching.map(event).collect()
}
