//! A fake of the platform's key-value service: a subset of the etcd v3 JSON gateway over an
//! in-memory store.
//!
//! The routes under `/control` inject faults, expire leases and return call counts.

pub mod admission;
pub mod error;
pub mod messages;
pub mod store;
mod watch;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::time::{Duration, Instant};

use actix_web::{HttpResponse, web};
use tokio::{sync, time};

use self::admission::{Access, Admission, Call, Counts, Faults};
use self::error::Result;
use self::messages::{
    DeleteRangeRequest, DeleteRangeResponse, HeaderResponse, LeaseGrantRequest, LeaseRequest,
    LeaseResponse, PutRequest, RangeRequest, RangeResponse, RequestOp, Streamed, TxnRequest,
    TxnResponse, WatchRequest,
};
use self::store::Store;
use crate::{reply, server};

/// Interval at which leases are expired and the watches of a flapping service are woken.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Limits of the service.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Writes accepted per second.
    pub writes_per_second: u64,
    /// Reads accepted per second; opening a watch counts as one.
    pub reads_per_second: u64,
    /// Changes kept for watches that start at an earlier revision.
    pub history: usize,
    /// Interval of the progress messages, which carry only the revision, of a watch that asked for
    /// them, while nothing changes.
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
    admission: Admission,
}

struct Shared {
    inner: Mutex<Inner>,
    /// Wakes the watches after a change of the store or of the faults.
    changed: sync::watch::Sender<()>,
    progress_interval: Duration,
}

impl Shared {
    fn new(options: Options, now: Instant) -> Self {
        let store = Store::new(options.history);
        let admission = Admission::new(options.reads_per_second, options.writes_per_second, now);
        Self {
            inner: Mutex::new(Inner { store, admission }),
            changed: sync::watch::Sender::new(()),
            progress_interval: options.progress_interval,
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Handles one call: admits it, waits for the injected delay, applies it to the store, and
    /// returns the response unless that is to be lost.
    async fn handle<T>(
        &self,
        (call, access): (Call, Access),
        apply: impl FnOnce(&mut Store, Instant) -> Result<T>,
    ) -> Result<web::Json<T>> {
        let delay = self.lock().admission.admit(call, access, Instant::now())?;
        if !delay.is_zero() {
            time::sleep(delay).await;
        }
        let now = Instant::now();
        let mut inner = self.lock();
        inner.admission.check_available(now)?;
        inner.store.expire(now);
        let answer = apply(&mut inner.store, now)?;
        self.changed.send_replace(());
        inner.admission.check_response(access)?;
        Ok(web::Json(answer))
    }

    /// Expires leases, and wakes the watches if a lease expired or the service is flapping.
    fn tick(&self, now: Instant) {
        let mut inner = self.lock();
        if inner.store.expire(now) || inner.admission.is_flapping() {
            self.changed.send_replace(());
        }
    }
}

type State = web::Data<Shared>;

/// Serves the key-value service on the caller's actix runtime.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub fn start(listen: SocketAddr, options: Options) -> server::Result<server::Running> {
    let shared = Arc::new(Shared::new(options, Instant::now()));
    actix_rt::spawn(run_ticks(Arc::downgrade(&shared)));
    let state = web::Data::from(shared);
    server::start(listen, move |cfg| routes(cfg, &state))
}

async fn run_ticks(shared: Weak<Shared>) {
    while let Some(shared) = shared.upgrade() {
        shared.tick(Instant::now());
        drop(shared);
        time::sleep(TICK_INTERVAL).await;
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
        .route("/control/lapse_lease", web::post().to(expire_lease))
        .route("/control/counts", web::get().to(counts));
}

async fn range(state: State, req: web::Json<RangeRequest>) -> Result<web::Json<RangeResponse>> {
    state.handle((Call::Range, Access::Read), |store, _| store.range(&req)).await
}

async fn put(state: State, req: web::Json<PutRequest>) -> Result<web::Json<HeaderResponse>> {
    state.handle((Call::Put, Access::Write), |store, _| store.put(&req)).await
}

async fn delete_range(
    state: State,
    req: web::Json<DeleteRangeRequest>,
) -> Result<web::Json<DeleteRangeResponse>> {
    let call = (Call::DeleteRange, Access::Write);
    state.handle(call, |store, _| Ok(store.delete_range(&req))).await
}

async fn txn(state: State, req: web::Json<TxnRequest>) -> Result<web::Json<TxnResponse>> {
    let has_writes = |ops: &[RequestOp]| ops.iter().any(|op| op.request_range.is_none());
    let may_write = has_writes(&req.success) || has_writes(&req.failure);
    let access = if may_write { Access::Write } else { Access::Read };
    state.handle((Call::Txn, access), |store, _| store.txn(&req)).await
}

async fn lease_grant(
    state: State,
    req: web::Json<LeaseGrantRequest>,
) -> Result<web::Json<LeaseResponse>> {
    let call = (Call::LeaseGrant, Access::Write);
    state.handle(call, |store, now| store.grant(&req, now)).await
}

async fn lease_keep_alive(
    state: State,
    req: web::Json<LeaseRequest>,
) -> Result<web::Json<Streamed<LeaseResponse>>> {
    let call = (Call::LeaseKeepAlive, Access::Write);
    let renew = |store: &mut Store, now| Ok(Streamed { result: store.keep_alive(req.id, now) });
    state.handle(call, renew).await
}

async fn lease_revoke(
    state: State,
    req: web::Json<LeaseRequest>,
) -> Result<web::Json<HeaderResponse>> {
    state.handle((Call::LeaseRevoke, Access::Write), |store, _| store.revoke(req.id)).await
}

async fn open_watch(state: State, req: web::Json<WatchRequest>) -> Result<HttpResponse> {
    state.handle((Call::Watch, Access::Read), |_, _| Ok(())).await?;
    Ok(watch::open(state.into_inner(), req.into_inner().create_request))
}

async fn set_faults(state: State, faults: web::Json<Faults>) -> HttpResponse {
    state.lock().admission.set_faults(faults.into_inner(), Instant::now());
    state.changed.send_replace(());
    HttpResponse::NoContent().finish()
}

async fn expire_lease(
    state: State,
    req: web::Json<LeaseRequest>,
) -> Result<web::Json<HeaderResponse>> {
    let answer = state.lock().store.revoke(req.id)?;
    state.changed.send_replace(());
    Ok(web::Json(answer))
}

async fn counts(state: State) -> web::Json<Counts> {
    web::Json(state.lock().admission.counts())
}
