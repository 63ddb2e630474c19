//! A fake model engine: the chat API over a continuous batch, load reports, orders and faults on
//! request.

pub mod answer;
pub mod messages;
mod run;
mod slots;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use std::{process, result};

use actix_web::{HttpRequest, HttpResponse, web};
use bytes::Bytes;
use futures_util::stream;
use serde::Serialize;
use tokio::time;

pub use self::answer::{expected_answer, expected_tokens};
use self::messages::{Behaviour, ChatRequest, Load, OrderRequest, OrderResponse, Runs};
use self::run::Run;
use self::slots::Slots;
use crate::reply::ConnectionAborted;
use crate::{reply, server};

const REQUEST_ID_HEADER: &str = "x-request-id";
const MAX_ANSWER_TOKENS: usize = 100_000;

/// The engine's name, capacity and speed.
#[derive(Clone, Debug)]
pub struct Options {
    /// The engine's name, which every answer carries as its `system_fingerprint`.
    pub name: String,
    /// Number of requests that run at the same time.
    pub slots: usize,
    /// Time per token.
    pub token_time: Duration,
    /// Time before the first token, in addition to `token_time`.
    pub first_token_time: Duration,
    /// Delay after which a change of the load is reported.
    pub load_lag: Duration,
    /// The process aborts when a prompt that contains this text starts to run.
    pub crash_on: Option<String>,
    /// True to accept orders with outdated fencing numbers.
    pub ignores_fencing: bool,
}

impl Options {
    /// Returns the default options of an engine with this name.
    pub fn named(name: impl Into<String>) -> Self {
        Self {
            name: name.into(),
            slots: 4,
            token_time: Duration::from_millis(5),
            first_token_time: Duration::from_millis(20),
            load_lag: Duration::ZERO,
            crash_on: None,
            ignores_fencing: false,
        }
    }
}

#[derive(Default)]
struct Inner {
    behaviour: Behaviour,
    stalled_until: Option<Instant>,
    runs: Runs,
    run_ids: u64,
    orders: Vec<OrderRequest>,
    fencing: u64,
}

/// The state shared by the request handlers.
struct Engine {
    options: Options,
    slots: Arc<Slots>,
    inner: Mutex<Inner>,
}

impl Engine {
    fn new(options: Options) -> Self {
        let slots = Arc::new(Slots::new(options.slots, options.load_lag));
        Self { options, slots, inner: Mutex::default() }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn next_run_id(&self) -> String {
        let mut inner = self.lock();
        inner.run_ids += 1;
        format!("chatcmpl-{}-{}", self.options.name, inner.run_ids)
    }

    fn count_start(&self, key: &str) {
        let mut inner = self.lock();
        inner.runs.started += 1;
        *inner.runs.runs.entry(key.to_owned()).or_default() += 1;
    }

    fn count_finish(&self) {
        self.lock().runs.finished += 1;
    }

    fn count_cancel(&self) {
        self.lock().runs.cancelled += 1;
    }

    fn crash_if_requested(&self, prompt: &str) {
        let requested = self.lock().behaviour.crash_on.clone();
        let markers = [&self.options.crash_on, &requested];
        if markers.into_iter().flatten().any(|marker| prompt.contains(marker)) {
            process::abort();
        }
    }

    fn aborts_after(&self, tokens: usize) -> bool {
        self.lock().behaviour.cut_after_tokens.is_some_and(|limit| tokens >= limit)
    }

    async fn wait_for_stall_end(&self) {
        let stalled_until = self.lock().stalled_until;
        if let Some(until) = stalled_until {
            time::sleep_until(until.into()).await;
        }
    }

    fn set_behaviour(&self, behaviour: Behaviour, now: Instant) {
        if behaviour.crash {
            process::abort();
        }
        let mut inner = self.lock();
        inner.stalled_until = Some(now + Duration::from_millis(behaviour.stall_ms));
        inner.behaviour = behaviour;
    }

    /// Records an order. Refuses one whose fencing number is lower than a previous one, unless the
    /// engine ignores fencing.
    fn accept_order(&self, req: OrderRequest) -> result::Result<OrderResponse, StaleFencing> {
        let mut inner = self.lock();
        if req.fencing < inner.fencing && !self.options.ignores_fencing {
            return Err(StaleFencing { offered: req.fencing, highest: inner.fencing });
        }
        inner.fencing = inner.fencing.max(req.fencing);
        let engine = self.options.name.clone();
        let response = OrderResponse { engine, fencing: req.fencing };
        inner.orders.push(req);
        Ok(response)
    }
}

#[derive(Debug, thiserror::Error)]
#[error("The order's fencing number {offered} is lower than {highest}, the highest so far.")]
struct StaleFencing {
    offered: u64,
    highest: u64,
}

type State = web::Data<Engine>;

/// Serves the engine on the caller's actix runtime.
///
/// A crash request aborts the whole process, so send one only to an engine that runs in a separate
/// process.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub fn start(listen: SocketAddr, options: Options) -> server::Result<server::Running> {
    let state = State::new(Engine::new(options));
    server::start(listen, move |cfg| routes(cfg, &state))
}

fn routes(cfg: &mut web::ServiceConfig, state: &State) {
    cfg.app_data(state.clone())
        .app_data(reply::json_config(reply::refuse_json))
        .route("/health", web::get().to(HttpResponse::Ok))
        .route("/v1/chat/completions", web::post().to(chat))
        .route("/v1/load", web::get().to(load))
        .route("/v1/orders", web::post().to(post_order))
        .route("/control/behaviour", web::post().to(set_behaviour))
        .route("/control/runs", web::get().to(runs))
        .route("/control/orders", web::get().to(orders));
}

async fn chat(state: State, http_req: HttpRequest, req: web::Json<ChatRequest>) -> HttpResponse {
    let req = req.into_inner();
    if req.max_tokens > MAX_ANSWER_TOKENS || req.resume_from > req.max_tokens {
        let (max_tokens, resume_from) = (req.max_tokens, req.resume_from);
        return HttpResponse::BadRequest().json(reply::problem(format!(
            "An answer of {max_tokens} tokens from token {resume_from} on cannot be generated; \
             max_tokens is at most {MAX_ANSWER_TOKENS}, and resume_from at most max_tokens."
        )));
    }
    let request_id = http_req.headers().get(REQUEST_ID_HEADER).and_then(|id| id.to_str().ok());
    let key = request_id.map_or_else(|| req.prompt(), str::to_owned);
    let is_streamed = req.stream;
    let run = Run::new(state.into_inner(), key, req);
    if is_streamed { streamed_response(run) } else { complete_response(run).await }
}

async fn complete_response(run: Run) -> HttpResponse {
    match run.complete().await {
        Ok(answer) => HttpResponse::Ok().json(answer),
        Err(ConnectionAborted) => reply::abort(),
    }
}

fn streamed_response(run: Run) -> HttpResponse {
    let events = stream::unfold(Some(run), |run| async {
        let mut run = run?;
        Some(match run.next_token().await {
            Ok(Some(token)) => (Ok(event(&run.token_chunk(token))), Some(run)),
            Ok(None) => (Ok(last_events(&run)), None),
            Err(aborted) => (Err(aborted), None),
        })
    });
    HttpResponse::Ok()
        .content_type("text/event-stream")
        .streaming::<_, ConnectionAborted>(Box::pin(events))
}

fn event(data: &impl Serialize) -> Bytes {
    let data = serde_json::to_string(data).expect("an event can be written as JSON");
    format!("data: {data}\n\n").into()
}

fn last_events(run: &Run) -> Bytes {
    [event(&run.last_chunk()), Bytes::from_static(b"data: [DONE]\n\n")].concat().into()
}

async fn load(state: State) -> web::Json<Load> {
    web::Json(state.slots.load(Instant::now()))
}

async fn post_order(state: State, req: web::Json<OrderRequest>) -> HttpResponse {
    match state.accept_order(req.into_inner()) {
        Ok(response) => HttpResponse::Ok().json(response),
        Err(stale) => HttpResponse::Conflict().json(reply::problem(stale.to_string())),
    }
}

async fn set_behaviour(state: State, behaviour: web::Json<Behaviour>) -> HttpResponse {
    state.set_behaviour(behaviour.into_inner(), Instant::now());
    HttpResponse::NoContent().finish()
}

async fn runs(state: State) -> web::Json<Runs> {
    web::Json(state.lock().runs.clone())
}

async fn orders(state: State) -> web::Json<Vec<OrderRequest>> {
    web::Json(state.lock().orders.clone())
}
