//! A fake weight store, whose rate in bytes per second is shared by all readers.

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

const CHUNK_BYTES: u64 = 64 * 1024;
const NANOS_PER_SECOND: u64 = 1_000_000_000;
static ZEROS: [u8; 64 * 1024] = [0; 64 * 1024];

/// Limits of the store.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Combined rate of all reads in bytes per second, at least one.
    pub bytes_per_second: u64,
    /// Number of reads that may be in progress at the same time; further ones are refused with 429.
    pub queue: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self { bytes_per_second: 50_000_000, queue: 16 }
    }
}

/// Reads since the store started.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Counts {
    /// Number of accepted reads.
    pub reads: u64,
    /// Number of reads refused because the queue was full.
    pub refused: u64,
    /// Bytes sent to readers.
    pub bytes_sent: u64,
}

struct Inner {
    open: usize,
    /// Bytes that the open reads still have to receive.
    backlog_bytes: u64,
    /// Time at which all reserved chunks will have been sent at the store's rate.
    free_at: Instant,
    counts: Counts,
}

struct Weights {
    options: Options,
    inner: Mutex<Inner>,
}

/// A read was refused because the queue is full.
#[derive(Debug, thiserror::Error)]
#[error("The queue of {queue} reads is full; retry after {retry_after_seconds} seconds.")]
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

    /// Reserves the time to send one chunk and returns when it ends.
    fn reserve(&self, bytes: u64, now: Instant) -> Instant {
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

/// A read in progress; dropping it leaves the queue.
struct Transfer {
    weights: Arc<Weights>,
    remaining: u64,
}

impl Transfer {
    async fn next_chunk(&mut self) -> Option<Bytes> {
        let bytes = self.remaining.min(CHUNK_BYTES);
        if bytes == 0 {
            return None;
        }
        time::sleep_until(self.weights.reserve(bytes, Instant::now()).into()).await;
        self.weights.count_sent(bytes);
        self.remaining -= bytes;
        let length = usize::try_from(bytes).expect("a chunk fits into memory");
        Some(Bytes::from_static(&ZEROS[..length]))
    }
}

impl Drop for Transfer {
    fn drop(&mut self) {
        let mut inner = self.weights.lock();
        inner.open -= 1;
        inner.backlog_bytes = inner.backlog_bytes.saturating_sub(self.remaining);
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
/// Returns an error if the address cannot be bound.
pub fn start(listen: SocketAddr, options: Options) -> server::Result<server::Running> {
    let state = State::new(Weights::new(options, Instant::now()));
    server::start(listen, move |cfg| routes(cfg, &state))
}

fn routes(cfg: &mut web::ServiceConfig, state: &State) {
    cfg.app_data(state.clone())
        .route("/v1/weights/{model}/{layer}/{expert}", web::get().to(read))
        .route("/control/counts", web::get().to(counts));
}

/// Responds with zeros, since the system depends only on the size of weights, not on their values.
async fn read(
    state: State,
    _expert: web::Path<(String, u32, u32)>,
    query: web::Query<Query>,
) -> HttpResponse {
    if let Err(error) = state.admit(query.bytes) {
        return HttpResponse::TooManyRequests()
            .insert_header((header::RETRY_AFTER, error.retry_after_seconds.to_string()))
            .json(reply::problem(error.to_string()));
    }
    let transfer = Transfer { weights: state.into_inner(), remaining: query.bytes };
    let chunks = stream::unfold(transfer, |mut transfer| async {
        let chunk = transfer.next_chunk().await?;
        Some((Ok::<Bytes, ConnectionAborted>(chunk), transfer))
    });
    HttpResponse::Ok()
        .content_type("application/octet-stream")
        .body(SizedStream::new(query.bytes, Box::pin(chunks)))
}

async fn counts(state: State) -> web::Json<Counts> {
    web::Json(state.lock().counts)
}
