//! The weight store, whose rate in bytes a second all readers share.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use actix_web::body::SizedStream;
use actix_web::http::header;
use actix_web::{HttpResponse, web};
use bytes::Bytes;
use futures_util::stream;
use serde::{Deserialize, Serialize};
use tokio::time;

use crate::reply::ConnectionAborted;
use crate::{reply, server};

const PIECE_BYTES: u64 = 64 * 1024;
const NANOS_PER_SECOND: u64 = 1_000_000_000;
static ZEROS: [u8; 64 * 1024] = [0; 64 * 1024];

/// Options sets the store's rate and queue.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// What all readers get together, at least one byte a second.
    pub bytes_per_second: u64,
    /// Reads that may be under way at once.
    pub queue: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self { bytes_per_second: 50_000_000, queue: 16 }
    }
}

/// Counts is what was read since the start.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Counts {
    /// Reads that were taken.
    pub reads: u64,
    /// Reads refused since the queue was full.
    pub refused: u64,
    /// Bytes handed out.
    pub bytes_sent: u64,
}

struct Inner {
    open: usize,
    /// Bytes that the open reads still wait for.
    backlog_bytes: u64,
    /// When the last piece handed out will have passed at the store's rate.
    free_at: Instant,
    counts: Counts,
}

struct Weights {
    options: Options,
    inner: Mutex<Inner>,
}

/// The queue is full; the caller comes back after so many seconds.
#[derive(Debug, thiserror::Error)]
#[error("The queue of {queue} reads is full; come back in {retry_after_seconds} seconds.")]
struct QueueFull {
    queue: usize,
    retry_after_seconds: u64,
}

impl Weights {
    fn new(options: Options, now: Instant) -> Self {
        let options = Options { bytes_per_second: options.bytes_per_second.max(1), ..options };
        let inner = Inner { open: 0, backlog_bytes: 0, free_at: now, counts: Counts::default() };
        Self { options, inner: Mutex::new(inner) }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn admit(&self, bytes: u64) -> Result<(), QueueFull> {
        let mut inner = self.lock();
        let Options { bytes_per_second, queue } = self.options;
        if inner.open >= queue {
            inner.counts.refused += 1;
            let retry_after_seconds = inner.backlog_bytes.div_ceil(bytes_per_second).max(1);
            return Err(QueueFull { queue, retry_after_seconds });
        }
        inner.open += 1;
        inner.backlog_bytes = inner.backlog_bytes.saturating_add(bytes);
        inner.counts.reads += 1;
        Ok(())
    }

    /// Books one piece and returns when it has passed.
    fn book(&self, bytes: u64, now: Instant) -> Instant {
        let nanos = bytes * NANOS_PER_SECOND / self.options.bytes_per_second;
        let mut inner = self.lock();
        inner.free_at = inner.free_at.max(now) + Duration::from_nanos(nanos);
        inner.free_at
    }

    fn count_sent(&self, bytes: u64) {
        let mut inner = self.lock();
        inner.backlog_bytes = inner.backlog_bytes.saturating_sub(bytes);
        inner.counts.bytes_sent += bytes;
    }
}

/// Transfer is one read under way; dropping it leaves the queue.
struct Transfer {
    weights: Arc<Weights>,
    left: u64,
}

impl Transfer {
    async fn next_piece(&mut self) -> Option<Bytes> {
        let bytes = self.left.min(PIECE_BYTES);
        if bytes == 0 {
            return None;
        }
        time::sleep_until(self.weights.book(bytes, Instant::now()).into()).await;
        self.weights.count_sent(bytes);
        self.left -= bytes;
        let length = usize::try_from(bytes).expect("a piece is small");
        Some(Bytes::from_static(&ZEROS[..length]))
    }
}

impl Drop for Transfer {
    fn drop(&mut self) {
        let mut inner = self.weights.lock();
        inner.open -= 1;
        inner.backlog_bytes = inner.backlog_bytes.saturating_sub(self.left);
    }
}

#[derive(Deserialize)]
struct Query {
    bytes: u64,
}

type State = web::Data<Weights>;

/// Serves the weight store on the caller's actix runtime.
///
/// # Errors
///
/// Returns an error where the address cannot be bound.
pub fn start(listen: SocketAddr, options: Options) -> server::Result<server::Running> {
    let state = State::new(Weights::new(options, Instant::now()));
    server::start(listen, move |cfg| routes(cfg, &state))
}

fn routes(cfg: &mut web::ServiceConfig, state: &State) {
    cfg.app_data(state.clone())
        .route("/v1/weights/{model}/{layer}/{expert}", web::get().to(read))
        .route("/control/counts", web::get().to(counts));
}

/// Answers with zeros: nothing in the system looks into weights, only their size matters.
async fn read(
    state: State,
    _expert: web::Path<(String, u32, u32)>,
    query: web::Query<Query>,
) -> HttpResponse {
    if let Err(full) = state.admit(query.bytes) {
        return HttpResponse::TooManyRequests()
            .insert_header((header::RETRY_AFTER, full.retry_after_seconds.to_string()))
            .json(reply::problem(full.to_string()));
    }
    let transfer = Transfer { weights: state.into_inner(), left: query.bytes };
    let pieces = stream::unfold(transfer, |mut transfer| async {
        let piece = transfer.next_piece().await?;
        Some((Ok::<Bytes, ConnectionAborted>(piece), transfer))
    });
    HttpResponse::Ok()
        .content_type("application/octet-stream")
        .body(SizedStream::new(query.bytes, Box::pin(pieces)))
}

async fn counts(state: State) -> web::Json<Counts> {
    web::Json(state.lock().counts)
}
