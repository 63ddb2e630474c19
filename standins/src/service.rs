//! A plain service that counts how often each call ran, so that tests see a doubled one.

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

/// Options names the service.
#[derive(Clone, Debug)]
pub struct Options {
    /// The service's name.
    pub service: String,
    /// The name of this target.
    pub target: String,
}

/// Behaviour is what goes wrong at present; each order replaces all of it.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Behaviour {
    /// The process aborts when a body that holds this has run.
    pub crash_on: Option<String>,
    /// The process aborts now.
    pub crash: bool,
    /// Every call takes this much longer.
    pub delay_ms: u64,
    /// Every call runs, but its answer breaks off half-way.
    pub cut_mid_answer: bool,
}

/// CallKey tells calls apart.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct CallKey {
    /// The method.
    pub method: String,
    /// The path without its query.
    pub path: String,
    /// The `Idempotency-Key` header, if any.
    pub key: Option<String>,
}

/// CallRuns is how often one call ran.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CallRuns {
    /// The call.
    #[serde(flatten)]
    pub call: CallKey,
    /// Its runs.
    pub runs: u64,
}

/// Runs is how often each call ran since the start.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Runs {
    /// One entry a call.
    pub calls: Vec<CallRuns>,
    /// All together.
    pub total: u64,
}

/// Answer is the answer to every call.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Answer {
    /// The service's name.
    pub service: String,
    /// The target's name.
    pub target: String,
    /// The method.
    pub method: String,
    /// The path without its query.
    pub path: String,
    /// Which run of this call it was, from one.
    pub run: u64,
    /// The request's body.
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
/// An order to crash ends the whole process, so only a service in a process of its own may get it.
///
/// # Errors
///
/// Returns an error where the address cannot be bound.
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
    head: HttpRequest,
    query: web::Query<Query>,
    body: Bytes,
) -> HttpResponse {
    let key = head.headers().get(KEY_HEADER).and_then(|key| key.to_str().ok());
    let (method, path) = (head.method().to_string(), head.path().to_owned());
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
        let body = serde_json::to_vec(&answer).expect("the answer holds nothing that JSON cannot");
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
