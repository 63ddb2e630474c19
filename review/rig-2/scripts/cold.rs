//! A server starts cold while some machines are cut off from the others.

use std::io;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use super::{has_trouble, BROKEN, HELD, NOT_RUN};
use crate::fleet::{self, Back, Bounds, Fleet};
use crate::http;
use crate::server::Settings;
use crate::sys::{self, Record};

const ENTRIES: usize = 15;
/// A third of the machines; the pages have `node_cut` with a share of 0.35 for 12 s.
const CUT: [usize; 5] = [10, 11, 12, 13, 14];
const CUT_TIME: Duration = Duration::from_secs(8);
/// `coldStartS`, `coldPerS`, `coldOverrun` and `coldSlack`.
const COLD: Duration = Duration::from_secs(3);
const PER_S: f64 = 18.0;
const OVERRUN: f64 = 1.5;
const SLACK: f64 = 5.0;
/// Clients at each machine, and the pause between two requests of one.
const CLIENTS: usize = 6;
const PAUSE: Duration = Duration::from_millis(125);

const CONFIGURATION: &str = r#"{"version":7,"routes":[
 {"name":"r-1","host":"ficu95.example","prefix":"/lohu930/","type":"idempotent","timeoutMs":1000,
  "sloMs":300,"priority":2,"service":"wuno96b","maxAttempts":2,"public":false}],
 "services":[{"name":"wuno96b","healthPath":"/healthz","maxConns":789,"protocol":"h1","tls":false,
  "coldStartS":3.0,"coldPerS":18.0}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,
  "idleTimeoutMs":15000},
 "tenants":[{"name":"hule930","apiKeys":["n2ctnfzs989anu6wsjnb"],"priority":1}]}"#;

pub fn run(record: &Record) -> io::Result<u8> {
    let cold = Some((OVERRUN, SLACK, 5_000));
    let bounds = Bounds { retry_allowance: 191.0, grace_s: 8, config_apply_ms: 2_000, cold };
    let mut fleet = Fleet::start(ENTRIES, ENTRIES, &bounds, CONFIGURATION, record.clone())?;
    let arrivals = fleet.folder.join("arrivals").display().to_string();
    let server = |index: usize, cold: Duration| -> io::Result<Settings> {
        Ok(Settings {
            address: fleet.server_address(index)?,
            id: fleet::new_server_id(),
            service: "wuno96b".to_owned(),
            zone: "kafr-zone".to_owned(),
            slots: 6,
            store: fleet.store.address,
            cold,
            work: Duration::from_millis(15),
            heartbeat: fleet::HEARTBEAT,
            arrivals: arrivals.clone(),
        })
    };
    for index in 0..2 {
        fleet.start_server(server(index, Duration::ZERO)?, Back::Never)?;
    }
    if !fleet.wait_ready(Duration::from_secs(15)) {
        record.say("the entries are not ready");
        return Ok(NOT_RUN);
    }
    thread::sleep(Duration::from_secs(6));
    let (stop, unserved) = (Arc::new(AtomicBool::new(false)), Arc::default());
    let clients: Vec<_> = (0..ENTRIES * CLIENTS)
        .map(|client| {
            let address = fleet.callers(client % ENTRIES);
            let (stop, unserved) = (Arc::clone(&stop), Arc::clone(&unserved));
            thread::spawn(move || call_often(client, address, &stop, &unserved))
        })
        .collect();
    thread::sleep(Duration::from_secs(2));
    let began = Instant::now();
    if has_trouble() {
        CUT.iter().for_each(|entry| fleet.relays.cut(*entry, true));
        record.line("the disruption begins: edge-10 to edge-14 are cut off from the other entries");
    }
    thread::sleep(Duration::from_secs(3));
    let new = server(2, COLD)?;
    let new_id = new.id.clone();
    record.line(&format!("server {new_id} is added, cold for {} s", COLD.as_secs()));
    let added = sys::unix_ms();
    fleet.start_server(new, Back::Never)?;
    thread::sleep(CUT_TIME.saturating_sub(began.elapsed()));
    if has_trouble() {
        CUT.iter().for_each(|entry| fleet.relays.cut(*entry, false));
        record.line("the disruption has ended");
    }
    thread::sleep(Duration::from_secs(2));
    stop.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|client| drop(client.join()));
    record.say(&format!("unserved requests: {}", unserved.load(Ordering::SeqCst)));
    if !fleet.ended_entries().is_empty() {
        record.say("entries have ended");
        return Ok(NOT_RUN);
    }
    Ok(judge(record, &std::fs::read_to_string(&arrivals)?, &new_id, added))
}

fn call_often(
    client: usize,
    address: std::net::SocketAddr,
    stop: &AtomicBool,
    unserved: &std::sync::atomic::AtomicUsize,
) {
    thread::sleep(PAUSE.mul_f64((client * 7 % 24) as f64 / 24.0));
    let authorization = format!("Token {}", fleet::KEY);
    while !stop.load(Ordering::SeqCst) {
        let next = Instant::now() + PAUSE;
        // The first digits of the id name the machine.
        let id = format!("{:02x}{:014x}", client % ENTRIES, sys::random() >> 8);
        let headers = [
            ("Host", fleet::HOST),
            ("Bitternwall-Attempt-Id", id.as_str()),
            ("Bitternwall-Deadline-Ms", "1000"),
            ("Authorization", authorization.as_str()),
        ];
        let timeout = Duration::from_millis(1_300);
        let answer = http::call(address, "GET /lohu930/x", &headers, &[], timeout);
        if !answer.is_ok_and(|answer| answer.status() == 200) {
            unserved.fetch_add(1, Ordering::SeqCst);
        }
        thread::sleep(next.saturating_duration_since(Instant::now()));
    }
}

fn judge(record: &Record, arrivals: &str, server: &str, added: u64) -> u8 {
    let mut runs: Vec<u64> = Vec::new();
    for line in arrivals.lines().filter(|line| line.contains(server)) {
        let at: u64 = line.split(' ').next().and_then(|word| word.parse().ok()).unwrap_or(0);
        if line.contains(" runs ") {
            record.line_at(at, &format!("server {line}"));
            runs.push(at);
        }
    }
    runs.sort_unstable();
    // It is cold for this time at least, since its process starts a little later.
    let cold_until = added + COLD.as_millis() as u64;
    let in_second = |from: u64| runs.iter().filter(|at| (from..from + 1_000).contains(*at)).count();
    let cold = runs.iter().filter(|at| **at + 1_000 <= cold_until);
    let most = cold.map(|at| in_second(*at)).max().unwrap_or(0);
    let limit = PER_S * OVERRUN + SLACK;
    record.say(&format!(
        "the cold server got {most} requests in one second, {limit} are the most that it may get"
    ));
    if most as f64 > limit { BROKEN } else { HELD }
}
