//! A fake model server that is one rank of a group, as its agent sees it: its state, the counts of its
//! experts, and the orders that it gets. The group executes no steps.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use actix_web::{HttpResponse, web};
use serde::Deserialize;
use serde_json::{Value, json};

use crate::{Running, server};

/// The group's name.
const GROUP: &str = "g-1";

/// The group's epoch, which does not change.
const EPOCH: u64 = 1;

/// The last step that the group has begun.
pub const STEP: u64 = 318;

/// Requests that run at each rank.
const ACTIVE: u32 = 2;

#[derive(Debug)]
struct State {
    rank: usize,
    ranks: usize,
    experts: Vec<usize>,
    held: Option<u64>,
    /// The version of the map that is ready for a switch.
    prepared: Option<u64>,
    /// The version and the step of the switch that is due.
    armed: Option<(u64, u64)>,
}

/// A fake rank; clones share its state.
#[derive(Clone, Debug)]
pub struct PlatformRank(Arc<Mutex<State>>);

impl PlatformRank {
    /// Returns one of so many ranks, with these experts of the only layer.
    pub fn new(rank: usize, ranks: usize, experts: &[usize]) -> Self {
        let experts = experts.to_vec();
        let state = State { rank, ranks, experts, held: None, prepared: None, armed: None };
        Self(Arc::new(Mutex::new(state)))
    }

    /// Makes the rank hold the step after [`STEP`], as an order would.
    pub fn hold_next_step(&self) {
        self.with(|state| state.held = Some(STEP + 1));
    }

    /// Returns true while the rank holds a step.
    pub fn holds_a_step(&self) -> bool {
        self.with(|state| state.held.is_some())
    }

    /// Serves the rank at an address, on the caller's actix runtime.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub fn start(&self, listen: SocketAddr) -> server::Result<Running> {
        let data = web::Data::new(self.clone());
        server::start(listen, move |cfg| {
            cfg.app_data(data.clone())
                .route("/v1/report", web::get().to(report))
                .route("/v1/picked", web::get().to(picked))
                .route("/v1/order", web::post().to(order));
        })
    }

    fn with<T>(&self, f: impl FnOnce(&mut State) -> T) -> T {
        f(&mut self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

async fn report(rank: web::Data<PlatformRank>) -> HttpResponse {
    HttpResponse::Ok().json(rank.with(|state| {
        let armed = state.armed.map(|(version, step)| json!({"version": version, "step": step}));
        json!({
            "queued": 0, "active": ACTIVE, "pace": 1.0, "size": state.ranks, "step": STEP,
            "group": {"name": GROUP, "epoch": EPOCH, "rank": state.rank, "state": "open"},
            "mapping": 0, "prepared": state.prepared, "armed": armed, "held": state.held
        })
    }))
}

async fn picked(rank: web::Data<PlatformRank>) -> HttpResponse {
    HttpResponse::Ok().json(rank.with(|state| {
        let counts = vec![1; state.ranks * state.experts.len()];
        let mapping = json!({"version": 0, "experts": [state.experts]});
        json!({"step": STEP, "epoch": EPOCH, "counts": counts, "mapping": mapping})
    }))
}

#[derive(Deserialize)]
struct OrderRequest {
    operation: String,
    version: Option<u64>,
    step: Option<u64>,
}

/// Carries out the orders of a switch that go with the rank's state, and refuses others.
async fn order(rank: web::Data<PlatformRank>, request: web::Json<OrderRequest>) -> HttpResponse {
    let OrderRequest { operation, version, step } = request.into_inner();
    let done = rank.with(|state| match operation.as_str() {
        "prepare" if state.armed.is_none() => {
            state.prepared = version;
            true
        }
        "arm" if state.armed.is_none() && state.prepared == version => {
            state.armed = version.zip(step);
            true
        }
        "retention" if state.held.is_none() => {
            state.held = step;
            true
        }
        "go" if state.held.is_some() && state.held == step => {
            state.held = None;
            true
        }
        _ => false,
    });
    match done {
        true => HttpResponse::Ok().json(Value::default()),
        false => HttpResponse::Conflict().finish(),
    }
}
