//! Measures claims and writes per second, and the latency that a claim adds to a call, compared
//! with one write per call.
//!
//! An agent's process runs in front of a plain service; the key-value service accepts 300 writes
//! per second. Each measurement is one line of JSON. Run `cargo bench --bench claims`.

#![allow(clippy::unwrap_used, reason = "a measurement fails by panicking")]

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bitternwall::collections;
use bitternwall::external::store;
use bitternwall::wire::frame;
use bytes::Bytes;
use hdrhistogram::Histogram;
use serde_json::json;
use standins::{kv, service};

#[allow(dead_code, reason = "the tests use the rest")]
#[path = "../tests/common/agent.rs"]
mod agent;

const RATES: [u64; 3] = [10, 100, 1_000];
const DURATION: Duration = Duration::from_secs(8);
/// How long the bench waits for answers after the last call.
const DRAIN_TIME: Duration = Duration::from_secs(3);
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Measurement is the result of one mode at one rate.
struct Measurement {
    mode: &'static str,
    rate: u64,
    sent: u64,
    done: u64,
    refused: u64,
    writes: u64,
    micros: Histogram<u64>,
}

impl Measurement {
    fn new(mode: &'static str, rate: u64) -> Self {
        let micros = Histogram::new(3).unwrap();
        Self { mode, rate, sent: 0, done: 0, refused: 0, writes: 0, micros }
    }

    fn print(&self) {
        let seconds = DURATION.as_secs();
        let quantile = |q| self.micros.value_at_quantile(q) / 1_000;
        let result = json!({
            "bench": "claims",
            "mode": self.mode,
            "requests_per_second": self.rate,
            "sent": self.sent,
            "done": self.done,
            "refused": self.refused,
            "claims_per_second": self.done / seconds,
            "writes_per_second": self.writes / seconds,
            "p50_ms": quantile(0.5),
            "p99_ms": quantile(0.99),
        });
        println!("{result}");
    }
}

#[actix_rt::main]
async fn main() {
    for rate in RATES {
        let kv = agent::stand_in(|listen| kv::start(listen, kv::Options::default()));
        grouped(rate, kv).await.print();
        let kv = agent::stand_in(|listen| kv::start(listen, kv::Options::default()));
        one_write_each(rate, kv).await.print();
    }
}

async fn grouped(rate: u64, kv: SocketAddr) -> Measurement {
    let names = ("dispatch-api".to_owned(), "t-1".to_owned());
    let options = service::Options { service: names.0, target: names.1 };
    let target = agent::stand_in(|listen| service::start(listen, options));
    let process = agent::AgentProcess::start(target, kv);
    let mut link = agent::EntryLink::open(process.listen, 1).await;
    let before = writes(kv).await;
    let mut result = Measurement::new("grouped", rate);
    let mut started = collections::Map::default();
    let begin = Instant::now();
    let interval = Duration::from_secs(1) / u32::try_from(rate).unwrap();
    while begin.elapsed() < DURATION + DRAIN_TIME {
        let due = interval * u32::try_from(result.sent).unwrap();
        if due < DURATION && begin.elapsed() >= due {
            let key = xxhash_rust::xxh3::xxh3_128(&result.sent.to_le_bytes()).to_le_bytes();
            let id = link.start("POST", "/holds", &key).await;
            started.insert(id, Instant::now());
            result.sent += 1;
            continue;
        }
        let wait = if due < DURATION { due.saturating_sub(begin.elapsed()) } else { interval };
        let Some(kind) = link.recv(wait.max(Duration::from_micros(100))).await else { continue };
        match kind {
            frame::Kind::AnswerEnd(end) if end.complete => {
                result.done += 1;
                let at: Instant = started[&end.id.unwrap()];
                result.micros.record(u64::try_from(at.elapsed().as_micros()).unwrap()).unwrap();
            }
            frame::Kind::Refusal(_) => result.refused += 1,
            _ => {}
        }
    }
    result.writes = writes(kv).await - before;
    result
}

async fn one_write_each(rate: u64, kv: SocketAddr) -> Measurement {
    let endpoints = vec![format!("http://{kv}")];
    let store = store::Store::new(store::StoreOptions { endpoints, call_timeout: CALL_TIMEOUT });
    let result = Rc::new(std::cell::RefCell::new(Measurement::new("one_write_each", rate)));
    let interval = Duration::from_secs(1) / u32::try_from(rate).unwrap();
    let begin = Instant::now();
    while begin.elapsed() < DURATION {
        let sent = result.borrow().sent;
        let due = interval * u32::try_from(sent).unwrap();
        if begin.elapsed() < due {
            actix_rt::time::sleep(due - begin.elapsed()).await;
            continue;
        }
        result.borrow_mut().sent += 1;
        let (store, result) = (store.clone(), Rc::clone(&result));
        actix_rt::spawn(async move {
            let started = Instant::now();
            let key = format!("/claims/{sent}");
            let compares = [store::Compare::ModRevision(key.clone(), 0)];
            let value = Bytes::from_static(b"1");
            let writes = [store::Write::Put { key, value, lease: None }];
            let committed = store.commit(&compares, &writes).await;
            let mut result = result.borrow_mut();
            if committed.is_ok_and(|commit| commit.succeeded) {
                result.done += 1;
                let micros = u64::try_from(started.elapsed().as_micros()).unwrap();
                result.micros.record(micros).unwrap();
            } else {
                result.refused += 1;
            }
        });
    }
    actix_rt::time::sleep(DRAIN_TIME).await;
    result.borrow_mut().writes = writes(kv).await;
    Rc::try_unwrap(result).ok().unwrap().into_inner()
}

/// Returns the number of transactions that the key-value service has received.
async fn writes(kv: SocketAddr) -> u64 {
    let url = format!("http://{kv}/control/counts");
    let mut answer = awc::Client::new().get(url).send().await.unwrap();
    let counts: serde_json::Value = answer.json().await.unwrap();
    counts["calls"]["txn"].as_u64().unwrap_or(0)
}
