//! Asks for streamed chats, a fixed number at a time, and times their beginnings and ends.

#![allow(dead_code, reason = "each bench uses its own part of the load")]

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_util::StreamExt as _;
use hdrhistogram::Histogram;
use serde_json::Value;

use crate::common;

const CHAT_PATH: &str = "/v1/chat/completions";
/// What ends a whole streamed answer.
const DONE: &[u8] = b"data: [DONE]\n\n";
const TIMEOUT: Duration = Duration::from_secs(30);
/// Significant digits of the histograms.
const DIGITS: u8 = 3;

/// Load is how much is asked for, and of whom.
pub struct Load {
    /// Who is asked, one after the other.
    pub addresses: Vec<SocketAddr>,
    /// Requests that are under way at once.
    pub in_flight: usize,
    /// Requests in all.
    pub requests: usize,
    /// Tokens of each answer.
    pub tokens: usize,
}

/// Timings is how long the answers took, in microseconds.
pub struct Timings {
    /// Until the first byte of the body.
    pub first_byte: Histogram<u64>,
    /// Until the last byte.
    pub whole: Histogram<u64>,
    /// Answers that were refused or cut.
    pub failures: u64,
    /// From the first request to the last answer.
    pub elapsed: Duration,
}

impl Default for Timings {
    fn default() -> Self {
        let histogram = || Histogram::new(DIGITS).expect("the digits are in range");
        Self { first_byte: histogram(), whole: histogram(), failures: 0, elapsed: Duration::ZERO }
    }
}

impl Timings {
    /// Adds what another run took.
    pub fn add(&mut self, other: &Self) {
        let fits = "both histograms grow by themselves";
        self.first_byte.add(&other.first_byte).expect(fits);
        self.whole.add(&other.whole).expect(fits);
        self.failures += other.failures;
        self.elapsed += other.elapsed;
    }

    fn record(&mut self, timing: Option<Timing>) {
        let Some(timing) = timing else {
            self.failures += 1;
            return;
        };
        let fits = "the histogram grows by itself";
        self.first_byte.record(micros(timing.first_byte)).expect(fits);
        self.whole.record(micros(timing.whole)).expect(fits);
    }
}

struct Timing {
    first_byte: Duration,
    whole: Duration,
}

/// Sends a load and waits for the last answer.
pub async fn run(load: &Load) -> Timings {
    let client = awc::Client::builder().timeout(TIMEOUT).finish();
    let body = Rc::new(common::chat_body("Summarise the shift log", load.tokens, true));
    let timings = Rc::new(RefCell::new(Timings::default()));
    let next = Rc::new(Cell::new(0));
    let start = Instant::now();
    let callers = (0..load.in_flight).map(|_| {
        let (client, body, next) = (client.clone(), Rc::clone(&body), Rc::clone(&next));
        let timings = Rc::clone(&timings);
        async move {
            while next.get() < load.requests {
                let address = load.addresses[next.get() % load.addresses.len()];
                next.set(next.get() + 1);
                let timing = chat(&client, address, &body).await;
                timings.borrow_mut().record(timing);
            }
        }
    });
    futures_util::future::join_all(callers).await;
    let mut timings = timings.take();
    timings.elapsed = start.elapsed();
    timings
}

/// Returns none where the answer was refused or is not whole.
async fn chat(client: &awc::Client, address: SocketAddr, body: &Value) -> Option<Timing> {
    let start = Instant::now();
    let request = client.post(format!("http://{address}{CHAT_PATH}")).bearer_auth(common::KEY);
    let mut response = request.send_json(body).await.ok()?;
    if !response.status().is_success() {
        return None;
    }
    let mut first_byte = None;
    let mut last = bytes::Bytes::new();
    while let Some(piece) = response.next().await {
        last = piece.ok()?;
        first_byte.get_or_insert_with(|| start.elapsed());
    }
    let whole = start.elapsed();
    last.ends_with(DONE).then_some(Timing { first_byte: first_byte?, whole })
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
