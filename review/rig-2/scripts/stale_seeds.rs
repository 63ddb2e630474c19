//! The three machines that the settings of all name as seeds are removed for good, and others are added.
//! A request that crashes servers then comes at one machine after the other.

use std::io;
use std::thread;
use std::time::Duration;

use super::{has_trouble, BROKEN, HELD, NOT_RUN};
use crate::fleet::{self, Back, Bounds, Fleet};
use crate::http;
use crate::server::Settings;
use crate::sys::{self, Record};

const ENTRIES: usize = 12;
/// The machines that run at first.
const FIRST: usize = 7;
/// Those of them that the settings of all name as seeds.
const SEEDS: [usize; 3] = [0, 1, 2];
/// `contactMs`.
const CONTACT_MS: u64 = 3_000;
/// The pause between two tries of the client that sends the request, each at the next machine.
const PAUSE: Duration = Duration::from_millis(1_500);
/// Retries of the request that the rule allows later than `contactMs` after the third crash.
const ALLOWED: usize = 3;
const PATH: &str = "/lohu930/poison/1";

const CONFIGURATION: &str = r#"{"version":7,"routes":[
 {"name":"r-1","host":"ficu95.example","prefix":"/lohu930/","type":"idempotent","timeoutMs":1000,
  "sloMs":100,"priority":2,"service":"wuno96b","maxAttempts":2,"public":false}],
 "services":[{"name":"wuno96b","healthPath":"/healthz","maxConns":208,"protocol":"h1","tls":false}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,
  "idleTimeoutMs":15000},
 "tenants":[{"name":"hule930","apiKeys":["n2ctnfzs989anu6wsjnb"],"priority":1}]}"#;

/// One try of a client.
struct Sent {
    id: String,
    entry: usize,
}

fn send(fleet: &Fleet, entry: usize, path: &str) -> (Sent, u16) {
    let id = format!("{:016x}", sys::random());
    let authorization = format!("Token {}", fleet::KEY);
    let headers = [
        ("Host", fleet::HOST),
        ("Bitternwall-Attempt-Id", id.as_str()),
        ("Bitternwall-Deadline-Ms", "1000"),
        ("Authorization", authorization.as_str()),
    ];
    fleet.record.line(&format!("client sends {id} {path} to edge-{entry}"));
    let timeout = Duration::from_millis(1_300);
    let answer = http::call(fleet.callers(entry), &format!("GET {path}"), &headers, &[], timeout);
    let status = answer.map_or(0, |answer| answer.status());
    fleet.record.line(&format!("client gets {status} for {id} from edge-{entry}"));
    (Sent { id, entry }, status)
}

pub fn run(record: &Record) -> io::Result<u8> {
    let bounds = Bounds { retry_allowance: 191.0, grace_s: 8, config_apply_ms: 2_000, cold: None };
    let mut fleet = Fleet::start(ENTRIES, FIRST, &bounds, CONFIGURATION, record.clone())?;
    let arrivals = fleet.folder.join("arrivals").display().to_string();
    for index in 0..6 {
        let settings = Settings {
            address: fleet.server_address(index)?,
            id: fleet::new_server_id(),
            service: "wuno96b".to_owned(),
            zone: "kafr-zone".to_owned(),
            slots: 6,
            store: fleet.store.address,
            cold: Duration::ZERO,
            work: Duration::from_millis(15),
            heartbeat: fleet::HEARTBEAT,
            arrivals: arrivals.clone(),
        };
        // One that crashes is back after two seconds.
        fleet.start_server(settings, Back::WithNewId(Duration::from_secs(2)))?;
    }
    if !fleet.wait_ready(Duration::from_secs(15)) {
        record.say("the entries are not ready");
        return Ok(NOT_RUN);
    }
    thread::sleep(Duration::from_secs(4));
    if has_trouble() {
        fleet.kill_entries(&SEEDS);
        record.line("the disruption: edge-0 to edge-2, the seeds, are removed for good");
    }
    thread::sleep(Duration::from_secs(1));
    let added: Vec<usize> = (FIRST..ENTRIES).collect();
    fleet.start_entries(&added, &bounds)?;
    if !fleet.wait_ready(Duration::from_secs(15)) {
        record.say("the entries are not ready");
        return Ok(NOT_RUN);
    }
    // All machines have been in touch for a while before the request comes.
    thread::sleep(Duration::from_secs(6));
    let running: Vec<usize> = (SEEDS.len()..ENTRIES).collect();
    if !running.iter().all(|entry| send(&fleet, *entry, "/lohu930/sound").1 == 200) {
        record.say("not all entries serve");
        return Ok(NOT_RUN);
    }
    let mut sent = Vec::new();
    for entry in running.iter().cycle().take(running.len() * 2) {
        thread::sleep(PAUSE);
        sent.push(send(&fleet, *entry, PATH).0);
    }
    thread::sleep(Duration::from_secs(1));
    if !fleet.ended_entries().is_empty() {
        record.say("entries have ended by themselves");
        return Ok(NOT_RUN);
    }
    Ok(judge(record, &std::fs::read_to_string(&arrivals)?, &sent))
}

/// Counts how often the request reached a server later than `contactMs` after the third crash.
fn judge(record: &Record, arrivals: &str, sent: &[Sent]) -> u8 {
    let mut runs = Vec::new();
    for line in arrivals.lines().filter(|line| line.contains("/poison/")) {
        let words: Vec<&str> = line.split(' ').collect();
        let [at, server, what, id, _] = words[..] else { continue };
        let at: u64 = at.parse().unwrap_or(0);
        let Some(sent) = sent.iter().find(|sent| sent.id == id) else { continue };
        record.line_at(at, &format!("server {server} {what} {id} from edge-{}", sent.entry));
        if what == "runs" {
            runs.push(at);
        }
    }
    runs.sort_unstable();
    let late = runs.get(2).map_or(0, |third| {
        runs.iter().filter(|at| **at > third + CONTACT_MS).count()
    });
    record.say(&format!(
        "the request crashed {} servers, {late} of them by retries later than {CONTACT_MS} ms after \
         the third; {ALLOWED} are allowed",
        runs.len()
    ));
    if late > ALLOWED { BROKEN } else { HELD }
}
