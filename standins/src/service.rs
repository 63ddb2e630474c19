//! A fake plain service that counts the runs of each call, so that tests detect duplicates.

use std::collections;
use std::net::SocketAddr;
use std::process;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use actix_web::{HttpRequest, HttpResponse, web};
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use tokio::time;

use crate::{reply, server};

const KEY_HEADER: &str = "idempotency-key";

/// The names that every answer carries.
#[derive(Clone, Debug)]
pub struct Options {
    /// The name of the service.
    pub service: String,
    /// The name of this target of the service.
    pub target: String,
}

/// The faults being injected; each request to `/control/behaviour` replaces all of them.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Behaviour {
    /// The process aborts after running a call whose body contains this text, before the answer.
    pub crash_on: Option<String>,
    /// True to abort the process immediately.
    pub crash: bool,
    /// Additional time that every call takes, in milliseconds.
    pub delay_ms: u64,
    /// True to truncate the answer of every call half-way, after the call has run.
    pub cut_mid_answer: bool,
}

/// The identity of a call; requests with the same key count as runs of one call.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct CallKey {
    /// The HTTP method.
    pub method: String,
    /// The path without its query.
    pub path: String,
    /// The `Idempotency-Key` header, if any.
    pub key: Option<String>,
}

/// The number of runs of one call.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CallRuns {
    /// The call that was counted.
    #[serde(flatten)]
    pub call: CallKey,
    /// Number of runs, at least one.
    pub runs: u64,
}

/// Runs of all calls since the service started.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Runs {
    /// One element per call.
    pub calls: Vec<CallRuns>,
    /// Total number of runs.
    pub total: u64,
}

/// The response to every call.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Answer {
    /// The name of the service.
    pub service: String,
    /// The name of the target that ran the call.
    pub target: String,
    /// The HTTP method.
    pub method: String,
    /// The path without its query.
    pub path: String,
    /// Number of this run among those of the same call, from one.
    pub run: u64,
    /// The body of the request.
    pub echo: String,
}

#[derive(Deserialize)]
struct Query {
    #[serde(default)]
    delay_ms: u64,
}

#[derive(Default)]
struct Inner {
    behaviour: Behaviour,
    runs: collections::BTreeMap<CallKey, u64>,
}

#[derive(Clone)]
struct Service {
    options: Options,
    inner: Arc<Mutex<Inner>>,
}

impl Service {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn count(&self, call: CallKey) -> u64 {
        let mut inner = self.lock();
        let runs = inner.runs.entry(call).or_default();
        *runs += 1;
        *runs
    }

    fn runs(&self) -> Runs {
        let inner = self.lock();
        let entries = inner.runs.iter();
        let calls = entries.map(|(call, &runs)| CallRuns { call: call.clone(), runs });
        Runs { calls: calls.collect(), total: inner.runs.values().sum() }
    }
}

type State = web::Data<Service>;

/// Serves the plain service on the caller's actix runtime.
///
/// A crash request aborts the whole process, so send one only to a service that runs in a separate
/// process.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub fn start(listen: SocketAddr, options: Options) -> server::Result<server::Running> {
    let state = State::new(Service { options, inner: Arc::default() });
    server::start(listen, move |cfg| routes(cfg, &state))
}

fn routes(cfg: &mut web::ServiceConfig, state: &State) {
    cfg.app_data(state.clone())
        .app_data(reply::json_config(reply::refuse_json))
        .app_data(web::PayloadConfig::new(reply::BODY_LIMIT_BYTES))
        .route("/control/behaviour", web::post().to(set_behaviour))
        .route("/control/runs", web::get().to(runs))
        .default_service(web::to(call));
}

async fn call(
    state: State,
    req: HttpRequest,
    query: web::Query<Query>,
    body: Bytes,
) -> HttpResponse {
    let key = req.headers().get(KEY_HEADER).and_then(|key| key.to_str().ok());
    let (method, path) = (req.method().to_string(), req.path().to_owned());
    let call = CallKey { method: method.clone(), path: path.clone(), key: key.map(str::to_owned) };
    let run = state.count(call);
    let behaviour = state.lock().behaviour.clone();
    time::sleep(Duration::from_millis(query.delay_ms + behaviour.delay_ms)).await;
    let echo = String::from_utf8_lossy(&body).into_owned();
    if behaviour.crash_on.is_some_and(|marker| echo.contains(&marker)) {
        process::abort();
    }
    let Options { service, target } = state.options.clone();
    let answer = Answer { service, target, method, path, run, echo };
    if behaviour.cut_mid_answer {
        let body = serde_json::to_vec(&answer).expect("an answer can be written as JSON");
        return reply::truncate_half_way(&body.into());
    }
    HttpResponse::Ok().json(answer)
}

async fn set_behaviour(state: State, behaviour: web::Json<Behaviour>) -> HttpResponse {
    if behaviour.crash {
        process::abort();
    }
    state.lock().behaviour = behaviour.into_inner();
    HttpResponse::NoContent().finish()
}

async fn runs(state: State) -> web::Json<Runs> {
    web::Json(state.runs())
}
