//! The platform's key-value service: the etcd v3 JSON gateway subset over a store in memory.
//!
//! `/control` sets faults, lapses leases and tells what was asked of the service.

pub mod error;
pub mod gate;
pub mod messages;
pub mod store;
mod watch;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::time::{Duration, Instant};

use actix_web::{HttpResponse, web};
use tokio::{sync, time};

use self::error::Result;
use self::gate::{Access, Call, Counts, Faults, Gate};
use self::messages::{
    DeleteRangeRequest, DeleteRangeResponse, HeaderResponse, LeaseGrantRequest, LeaseRequest,
    LeaseResponse, PutRequest, RangeRequest, RangeResponse, RequestOp, Streamed, TxnRequest,
    TxnResponse, WatchRequest,
};
use self::store::Store;
use crate::{reply, server};

/// How soon an expired lease and a turn of a flapping service show.
const BEAT: Duration = Duration::from_millis(20);

/// Options sets the service's limits.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Writes that it takes in one second.
    pub writes_per_second: u64,
    /// Reads that it takes in one second; opening a watch is one.
    pub reads_per_second: u64,
    /// Changes that it keeps for watches.
    pub history: usize,
    /// How often a watch that asked for it hears the revision while nothing changes.
    pub progress_interval: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            writes_per_second: 300,
            reads_per_second: 2_000,
            history: 10_000,
            progress_interval: Duration::from_secs(1),
        }
    }
}

struct Inner {
    store: Store,
    gate: Gate,
}

struct Shared {
    inner: Mutex<Inner>,
    /// Wakes the watches.
    changed: sync::watch::Sender<()>,
    progress_interval: Duration,
}

impl Shared {
    fn new(options: Options, now: Instant) -> Self {
        let store = Store::new(options.history);
        let gate = Gate::new(options.reads_per_second, options.writes_per_second, now);
        Self {
            inner: Mutex::new(Inner { store, gate }),
            changed: sync::watch::Sender::new(()),
            progress_interval: options.progress_interval,
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes one call through the gate, applies it and answers, or loses the answer.
    async fn perform<T>(
        &self,
        (call, access): (Call, Access),
        apply: impl FnOnce(&mut Store, Instant) -> Result<T>,
    ) -> Result<web::Json<T>> {
        let delay = self.lock().gate.admit(call, access, Instant::now())?;
        if !delay.is_zero() {
            time::sleep(delay).await;
        }
        let now = Instant::now();
        let mut inner = self.lock();
        inner.gate.check_up(now)?;
        inner.store.expire(now);
        let answer = apply(&mut inner.store, now)?;
        self.changed.send_replace(());
        inner.gate.check_answer(access)?;
        Ok(web::Json(answer))
    }

    /// Expires leases, and wakes the watches where something may have changed by itself.
    fn beat(&self, now: Instant) {
        let mut inner = self.lock();
        if inner.store.expire(now) || inner.gate.flaps() {
            self.changed.send_replace(());
        }
    }
}

type State = web::Data<Shared>;

/// Serves the key-value service on the caller's actix runtime.
///
/// # Errors
///
/// Returns an error where the address cannot be bound.
pub fn start(listen: SocketAddr, options: Options) -> server::Result<server::Running> {
    let shared = Arc::new(Shared::new(options, Instant::now()));
    actix_rt::spawn(keep_beating(Arc::downgrade(&shared)));
    let state = web::Data::from(shared);
    server::start(listen, move |cfg| routes(cfg, &state))
}

async fn keep_beating(shared: Weak<Shared>) {
    while let Some(shared) = shared.upgrade() {
        shared.beat(Instant::now());
        drop(shared);
        time::sleep(BEAT).await;
    }
}

fn routes(cfg: &mut web::ServiceConfig, state: &State) {
    cfg.app_data(state.clone())
        .app_data(reply::json_config(error::refuse_json))
        .route("/v3/kv/range", web::post().to(range))
        .route("/v3/kv/put", web::post().to(put))
        .route("/v3/kv/deleterange", web::post().to(delete_range))
        .route("/v3/kv/txn", web::post().to(txn))
        .route("/v3/lease/grant", web::post().to(lease_grant))
        .route("/v3/lease/keepalive", web::post().to(lease_keep_alive))
        .route("/v3/lease/revoke", web::post().to(lease_revoke))
        .route("/v3/watch", web::post().to(open_watch))
        .route("/control/faults", web::post().to(set_faults))
        .route("/control/lapse_lease", web::post().to(lapse_lease))
        .route("/control/counts", web::get().to(counts));
}

async fn range(state: State, req: web::Json<RangeRequest>) -> Result<web::Json<RangeResponse>> {
    state.perform((Call::Range, Access::Read), |store, _| store.range(&req)).await
}

async fn put(state: State, req: web::Json<PutRequest>) -> Result<web::Json<HeaderResponse>> {
    state.perform((Call::Put, Access::Write), |store, _| store.put(&req)).await
}

async fn delete_range(
    state: State,
    req: web::Json<DeleteRangeRequest>,
) -> Result<web::Json<DeleteRangeResponse>> {
    let call = (Call::DeleteRange, Access::Write);
    state.perform(call, |store, _| Ok(store.delete_range(&req))).await
}

async fn txn(state: State, req: web::Json<TxnRequest>) -> Result<web::Json<TxnResponse>> {
    let writes = |steps: &[RequestOp]| steps.iter().any(|step| step.request_range.is_none());
    let may_write = writes(&req.success) || writes(&req.failure);
    let access = if may_write { Access::Write } else { Access::Read };
    state.perform((Call::Txn, access), |store, _| store.txn(&req)).await
}

async fn lease_grant(
    state: State,
    req: web::Json<LeaseGrantRequest>,
) -> Result<web::Json<LeaseResponse>> {
    let call = (Call::LeaseGrant, Access::Write);
    state.perform(call, |store, now| store.grant(&req, now)).await
}

async fn lease_keep_alive(
    state: State,
    req: web::Json<LeaseRequest>,
) -> Result<web::Json<Streamed<LeaseResponse>>> {
    let call = (Call::LeaseKeepAlive, Access::Write);
    let renew = |store: &mut Store, now| Ok(Streamed { result: store.keep_alive(req.id, now) });
    state.perform(call, renew).await
}

async fn lease_revoke(
    state: State,
    req: web::Json<LeaseRequest>,
) -> Result<web::Json<HeaderResponse>> {
    state.perform((Call::LeaseRevoke, Access::Write), |store, _| store.revoke(req.id)).await
}

async fn open_watch(state: State, req: web::Json<WatchRequest>) -> Result<HttpResponse> {
    state.perform((Call::Watch, Access::Read), |_, _| Ok(())).await?;
    Ok(watch::open(state.into_inner(), req.into_inner().create_request))
}

async fn set_faults(state: State, faults: web::Json<Faults>) -> HttpResponse {
    state.lock().gate.set_faults(faults.into_inner(), Instant::now());
    state.changed.send_replace(());
    HttpResponse::NoContent().finish()
}

async fn lapse_lease(
    state: State,
    req: web::Json<LeaseRequest>,
) -> Result<web::Json<HeaderResponse>> {
    let answer = state.lock().store.revoke(req.id)?;
    state.changed.send_replace(());
    Ok(web::Json(answer))
}

async fn counts(state: State) -> web::Json<Counts> {
    web::Json(state.lock().gate.counts())
}
