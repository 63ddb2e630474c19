//! Targets whose answers never end, on the own interface: the agent and the entry stay within bounded
//! memory, and callers are told in time.

mod common;

use std::fs;
use std::io::{Read as _, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use actix_rt::task;
use common::raw_target::{Form, RawCaller, RawTarget};
use serde_json::{Value, json};
use standins::fleet::{Fleet, Plan};
use standins::platform::endless::{EndlessServer, Flood};
use tokio::sync::Mutex;

const CALLERS: usize = 4;

/// Bytes after which the target stops sending, far more than any process may hold.
const MAX_SENT_BYTES: usize = 300 * 1024 * 1024;

/// The memory that answers for resends may take, in the settings of the agent.
const KEPT_BYTES: u64 = 4 * 1024 * 1024;

/// How much more memory a process may take, as for entries on the direct path. The agent may hold
/// kept answers besides.
const MAX_MEMORY_GROWTH_KB: u64 = 30 * 1024;

/// The time that callers allow.
const CALLER_TIMEOUT: Duration = Duration::from_secs(3);

/// Time after that in which a caller has its answer.
const ANSWER_SLACK: Duration = Duration::from_secs(1);

const MEMORY_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Held while a fleet is flooded, so that its memory and times are those of one flood.
static FLOODS: Mutex<()> = Mutex::const_new(());

/// Samples the memory of a process, in a thread of its own.
struct Meter {
    stop: Arc<AtomicBool>,
    sampling: JoinHandle<u64>,
}

impl Meter {
    fn start(process: u32) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = Arc::clone(&stop);
        let before = memory_kb(process);
        let sampling = thread::spawn(move || {
            let mut growth = 0;
            while !stopped.load(Ordering::Relaxed) {
                growth = growth.max(memory_kb(process).saturating_sub(before));
                thread::sleep(MEMORY_CHECK_INTERVAL);
            }
            growth
        });
        Self { stop, sampling }
    }

    /// Returns the largest growth in KB.
    fn finish(self) -> u64 {
        self.stop.store(true, Ordering::Relaxed);
        self.sampling.join().expect("no panic")
    }
}

/// Returns the resident memory of a process.
fn memory_kb(process: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{process}/status")).expect("it runs");
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).expect("a size");
    line.trim().trim_end_matches(" kB").parse().expect("a number")
}

fn keep_little(settings: &mut Value) {
    settings["queue"] = json!({"kept_bytes": KEPT_BYTES});
}

/// What a caller does with the bytes that it gets.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Reading {
    AsTheyCome,
    /// It reads nothing until its time is over.
    Never,
}

/// Sends a request and returns the time to the end of its answer and the beginning of it.
fn call(entry: SocketAddr, request: &str, reading: Reading) -> (Duration, String) {
    let began = Instant::now();
    let mut stream = TcpStream::connect(entry).expect("a connection");
    stream.write_all(request.as_bytes()).expect("it is sent");
    if reading == Reading::Never {
        thread::sleep(CALLER_TIMEOUT);
        return (began.elapsed(), String::new());
    }
    stream.set_read_timeout(Some(CALLER_TIMEOUT * 3)).expect("a time above zero");
    let (mut start, mut buf) = (Vec::new(), vec![0; 64 * 1024]);
    while let Ok(length) = stream.read(&mut buf) {
        if length == 0 {
            break;
        }
        if start.len() < 1_024 {
            start.extend_from_slice(&buf[..length.min(1_024)]);
        }
    }
    (began.elapsed(), String::from_utf8_lossy(&start).into_owned())
}

/// Waits until the agent has connected to the target, and the entry to the agent.
async fn until_reached(fleet: &Fleet) {
    let entry = fleet.entry(0);
    let request = format!(
        "GET /v1/services/dispatch-api/probe HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer {}\r\n\
         Request-Timeout-Ms: 300\r\nConnection: close\r\n\r\n",
        common::KEY
    );
    common::wait_for("the agent to be reached", async || {
        let request = request.clone();
        let answer = task::spawn_blocking(move || call(entry, &request, Reading::AsTheyCome));
        !answer.await.expect("no panic").1.starts_with("HTTP/1.1 503")
    })
    .await;
}

/// Sends requests that one target answers without end. `keyed` ones may not be repeated, so that the
/// agent keeps their answers.
async fn flood(flood: Flood, keyed: bool, reading: Reading) {
    let _alone = FLOODS.lock().await;
    let plan = Plan { engines: 0, services: 1, adjust_agent: keep_little, ..Plan::default() };
    let mut fleet = Fleet::start(&plan).expect("the fleet starts");
    common::declare_and_wait(&fleet).await;
    let endless = EndlessServer::start_limited(flood, MAX_SENT_BYTES).expect("a server");
    fleet.targets[0].redirect_agent(endless.address()).expect("the agent starts");
    until_reached(&fleet).await;
    let agent = Meter::start(fleet.targets[0].agent.id());
    let entry_meter = Meter::start(fleet.entries[0].process.id());
    let entry = fleet.entry(0);
    let callers = (0..CALLERS).map(|number| {
        let line = match keyed {
            true => format!(
                "POST /v1/services/dispatch-api/holds HTTP/1.1\r\nIdempotency-Key: k{number}"
            ),
            false => "GET /v1/services/dispatch-api/quality HTTP/1.1".to_owned(),
        };
        let request = format!(
            "{line}\r\nHost: a\r\nAuthorization: Bearer {}\r\nRequest-Timeout-Ms: {}\r\n\
             Connection: close\r\nContent-Length: 0\r\n\r\n",
            common::KEY,
            CALLER_TIMEOUT.as_millis()
        );
        task::spawn_blocking(move || call(entry, &request, reading))
    });
    let answers: Vec<(Duration, String)> = futures_util::future::join_all(callers)
        .await
        .into_iter()
        .map(|answer| answer.expect("no panic"))
        .collect();
    let (agent, entry) = (agent.finish(), entry_meter.finish());
    println!("{flood:?} keyed={keyed} {reading:?}: agent +{agent} KB, entry +{entry} KB");
    let max_agent = MAX_MEMORY_GROWTH_KB + KEPT_BYTES / 1_024;
    assert!(agent < max_agent, "{flood:?}: the agent took {agent} KB more");
    assert!(entry < MAX_MEMORY_GROWTH_KB, "{flood:?}: the entry took {entry} KB more");
    for (took, answer) in answers {
        assert!(took < CALLER_TIMEOUT + ANSWER_SLACK, "{flood:?}: {took:?} for {answer:?}");
        if reading == Reading::AsTheyCome {
            let status = answer.split(' ').nth(1).unwrap_or_default();
            assert!(["200", "502", "504", "409"].contains(&status), "{flood:?}: {answer:?}");
        }
    }
}

// Guards against an answer too long to be kept that is cut, and against a resend that waits for it.
#[actix_rt::test]
async fn a_keyed_answer_longer_than_what_is_kept_arrives_whole_and_its_resend_gets_an_answer() {
    let _alone = FLOODS.lock().await;
    let plan = Plan { engines: 0, services: 1, adjust_agent: keep_little, ..Plan::default() };
    let mut fleet = Fleet::start(&plan).expect("the fleet starts");
    let body = "valve ".repeat(1024 * 1024);
    let length = body.len();
    let answer = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{body}");
    let target = RawTarget::start(vec![Form { bytes: answer, resets: false }]);
    fleet.targets[0].redirect_agent(target.address).expect("the agent starts");
    common::declare_and_wait(&fleet).await;
    let entry = fleet.entry(0);
    let send = || async move {
        let exchange =
            move || RawCaller::open(entry).exchange("POST", "/form/0", "Idempotency-Key: long\r\n");
        task::spawn_blocking(exchange).await.expect("no panic")
    };
    let first = send().await;
    assert!(first.starts_with("HTTP/1.1 200"), "{:?}", &first[..200.min(first.len())]);
    let (_, chunks) = first.split_once("\r\n\r\n").expect("a head");
    // Sizes of chunks have no letters beyond f.
    assert_eq!(chunks.matches('l').count(), 1024 * 1024, "the answer is whole");
    assert!(chunks.ends_with("\r\n0\r\n\r\n"), "the answer ends");
    let resent = send().await;
    assert!(!resent.is_empty() && !resent.starts_with("HTTP/1.1 200"), "{}", resent.len());
    assert_eq!(target.runs(), 1);
}

// Guards against a caller that reads slowly and gets a part of a long answer, or waits for the rest.
#[actix_rt::test]
async fn a_caller_that_reads_slowly_gets_a_long_answer_whole() {
    let _alone = FLOODS.lock().await;
    let plan = Plan { engines: 0, services: 1, adjust_agent: keep_little, ..Plan::default() };
    let mut fleet = Fleet::start(&plan).expect("the fleet starts");
    let body = "valve ".repeat(1024 * 1024);
    let answer = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len());
    let target = RawTarget::start(vec![Form { bytes: answer, resets: false }]);
    fleet.targets[0].redirect_agent(target.address).expect("the agent starts");
    common::declare_and_wait(&fleet).await;
    let meter = Meter::start(fleet.entries[0].process.id());
    let entry = fleet.entry(0);
    let read = move || {
        let mut caller = RawCaller::open(entry).reading_slowly(Duration::from_millis(1));
        caller.exchange("GET", "/form/0", "")
    };
    let answer = task::spawn_blocking(read).await.expect("no panic");
    let (head, chunks) = answer.split_once("\r\n\r\n").expect("a head");
    assert!(head.starts_with("HTTP/1.1 200"), "{head}");
    assert_eq!(chunks.matches('l').count(), 1024 * 1024, "the answer is whole");
    assert!(chunks.ends_with("\r\n0\r\n\r\n"), "the answer ends");
    let growth = meter.finish();
    assert!(growth < MAX_MEMORY_GROWTH_KB, "the entry took {growth} KB more");
}

// Each of the following guards against bytes without an end that filled a process.

#[actix_rt::test]
async fn an_endless_document_is_borne() {
    flood(Flood::Document, false, Reading::AsTheyCome).await;
}

#[actix_rt::test]
async fn an_endless_document_that_nobody_reads_is_borne() {
    flood(Flood::Document, false, Reading::Never).await;
}

#[actix_rt::test]
async fn an_endless_document_of_a_keyed_request_is_borne() {
    flood(Flood::Document, true, Reading::AsTheyCome).await;
}

#[actix_rt::test]
async fn endless_chunks_are_borne() {
    flood(Flood::PaddedChunks, false, Reading::AsTheyCome).await;
}

#[actix_rt::test]
async fn an_endless_event_is_borne() {
    flood(Flood::Event, false, Reading::AsTheyCome).await;
}

#[actix_rt::test]
async fn an_endless_event_of_a_keyed_request_is_borne() {
    flood(Flood::Event, true, Reading::AsTheyCome).await;
}

#[actix_rt::test]
async fn an_endless_body_without_a_length_is_borne() {
    flood(Flood::UnframedDocument, false, Reading::AsTheyCome).await;
}

#[actix_rt::test]
async fn an_endless_head_is_borne() {
    flood(Flood::HeaderLines, false, Reading::AsTheyCome).await;
}

#[actix_rt::test]
async fn endless_interim_answers_are_borne() {
    flood(Flood::InterimHeads, false, Reading::AsTheyCome).await;
}

#[actix_rt::test]
async fn endless_trailers_are_borne() {
    flood(Flood::Trailers, false, Reading::AsTheyCome).await;
}

#[actix_rt::test]
async fn an_endless_chunk_extension_is_borne() {
    flood(Flood::ChunkExtension, false, Reading::AsTheyCome).await;
}
