//! All processes are killed right after a model server has acknowledged that it holds a step, and the
//! three machines that the others have as seeds stay down. With `SEEDS_UP` set they come back too, which
//! shows the cause: the rule then holds.

use std::io;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use super::{has_trouble, BROKEN, HELD, NOT_RUN};
use crate::engines::{self, Engines, EXPERTS, PLACES, RANKS};
use crate::fleet::{self, Bounds, Fleet};
use crate::http;
use crate::sys::{self, Record};

const ENTRIES: usize = 12;
/// The machines that the settings of all name as seeds.
const SEEDS: usize = 3;
/// `recoverS`.
const RECOVER: Duration = Duration::from_secs(12);
/// The pause between two requests of the clients.
const PAUSE: Duration = Duration::from_millis(60);
/// The longest time for the system to begin a change of the map.
const MAX_WAIT: Duration = Duration::from_secs(30);

fn configuration() -> String {
    format!(
        r#"{{"version":7,"routes":[{{"name":"r-1","host":"ficu95.example","prefix":"/lohu930/",
 "type":"streaming","timeoutMs":2000,"sloMs":400,"priority":1,"service":"huvo11a","maxAttempts":2,
 "public":false,"sticky":true,"resumable":true,"gapTargetMs":120}}],
 "services":[{{"name":"huvo11a","healthPath":"/healthz","maxConns":884,"protocol":"h1","tls":false,
 "engine":{{"slots":12,"kvCapacity":372000,"kvTokenBytes":96256,"linkMbps":92000.0,"stride":1,
 "models":[{{"name":"m"}}],"step_ms":20.0,"per_seq_ms":0.1,"context_per_k":0.036,
 "read_per_s":61200.0,"pairs_per_m":0.325,"chunk":512,"report_lag_ms":200.0,"loadsPerS":0.0,
 "loads_at_once":8,"delays":[],"usual":{{"prompt":835,"answer":139}},"sets":1,"experts":{EXPERTS},
 "placements":{PLACES},"spare":2,"expertMb":580.0,"expertShare":0.85,"form_ms":600.0}}}}],
 "limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,
 "idleTimeoutMs":15000}},
 "tenants":[{{"name":"hule930","apiKeys":["n2ctnfzs989anu6wsjnb"],"priority":1}}]}}"#
    )
}

fn send(fleet: &Fleet, entry: usize) -> bool {
    let id = format!("{:016x}", sys::random());
    let authorization = format!("Token {}", fleet::KEY);
    let headers = [
        ("Host", fleet::HOST),
        ("Bitternwall-Attempt-Id", id.as_str()),
        ("Bitternwall-Deadline-Ms", "2000"),
        ("Bitternwall-Model", "m"),
        ("Bitternwall-Token-Counts", "100,8"),
        ("Bitternwall-Prefix-Hash", "5c1e07a2:40,91bd3f06:60"),
        ("Authorization", authorization.as_str()),
    ];
    let timeout = Duration::from_millis(2_600);
    let request = "POST /lohu930/2f";
    let answer = http::call(fleet.callers(entry), request, &headers, b"prompt", timeout);
    let status = answer.as_ref().map_or(0, http::Message::status);
    fleet.record.line(&format!("client gets {status} for {id} from edge-{entry}"));
    answer.is_ok_and(|answer| status == 200 && answer.body.ends_with(b"id: 8\ndata: x\n\n"))
}

/// Sends requests to the running entries for a time, or until a condition holds. Returns the number
/// of those sent and of those served.
fn load(fleet: &Fleet, time: Duration, until: impl Fn() -> bool) -> (usize, usize) {
    let end = Instant::now() + time;
    thread::scope(|scope| {
        let mut clients = Vec::new();
        while Instant::now() < end && !until() {
            let entry = SEEDS + clients.len() % (ENTRIES - SEEDS);
            clients.push(scope.spawn(move || send(fleet, entry)));
            thread::sleep(PAUSE);
        }
        let sent = clients.len();
        let served = clients.into_iter().map(|client| client.join());
        (sent, served.filter(|served| matches!(served, Ok(true))).count())
    })
}

pub fn run(record: &Record) -> io::Result<u8> {
    let bounds = Bounds { retry_allowance: 191.0, grace_s: 8, config_apply_ms: 2_000, cold: None };
    let mut fleet = Fleet::start(ENTRIES, ENTRIES, &bounds, &configuration(), record.clone())?;
    let listeners = engines::listen((0..RANKS).map(|rank| fleet.side(rank)))?;
    let servers: Vec<(_, String)> =
        listeners.into_iter().map(|listener| (listener, fleet::new_server_id())).collect();
    let addresses: io::Result<Vec<_>> =
        servers.iter().map(|(listener, _)| engines::address(listener)).collect();
    let addresses = addresses?;
    let ids: Vec<String> = servers.iter().map(|(_, id)| id.clone()).collect();
    let engines = Engines::start(servers, record.clone());
    for (id, address) in ids.into_iter().zip(addresses.clone()) {
        let store = fleet.store.clone();
        let born = sys::unix_ms();
        thread::spawn(move || loop {
            store.write_server(&id, &format!(
                "{{\"service\":\"huvo11a\",\"address\":\"{address}\",\"zone\":\"kafr-zone\",\
                 \"version\":\"v1\",\"slots\":12,\"state\":\"ready\",\"coldLeftMs\":0,\
                 \"phase\":\"both\",\"sequence\":0,\"born\":{born}}}"
            ));
            thread::sleep(fleet::HEARTBEAT);
        });
    }
    fleet.start_agents(&addresses)?;
    if !fleet.wait_ready(Duration::from_secs(15)) {
        record.say("the entries are not ready");
        return Ok(NOT_RUN);
    }
    thread::sleep(Duration::from_secs(3));
    let (sent, served) = load(&fleet, Duration::from_secs(6), || false);
    record.say(&format!("before: {served} of {sent} requests served; {}", engines.state()));
    if served * 4 < sent {
        record.say("the requests are not served");
        return Ok(NOT_RUN);
    }
    let held = Arc::new(AtomicBool::new(false));
    let (seen, processes, killed) = (Arc::clone(&held), fleet.processes(), record.clone());
    engines.on_next_hold(move || {
        if has_trouble() {
            processes.iter().for_each(|process| sys::signal(*process, sys::SIGKILL));
            killed.line("the disruption: all processes were killed at once");
        }
        seen.store(true, Ordering::SeqCst);
    });
    engines.shift();
    load(&fleet, MAX_WAIT, || held.load(Ordering::SeqCst));
    record.say(&format!("at the fault: {}", engines.state()));
    if !held.load(Ordering::SeqCst) {
        record.say("no step was held");
        return Ok(NOT_RUN);
    }
    if has_trouble() {
        fleet.reap();
        thread::sleep(Duration::from_secs(1));
        let seeds_up = std::env::var_os("SEEDS_UP").is_some();
        let back: Vec<usize> = (if seeds_up { 0 } else { SEEDS }..ENTRIES).collect();
        fleet.start_entries(&back, &bounds)?;
        fleet.start_agents(&addresses)?;
        record.line(match seeds_up {
            true => "all machines are back",
            false => "the machines are back; edge-0 to edge-2, the seeds, stay down",
        });
        if !fleet.wait_ready(Duration::from_secs(15)) {
            record.say("the entries are not ready");
            return Ok(NOT_RUN);
        }
    }
    let (sent, served) = load(&fleet, RECOVER, || false);
    record.say(&format!("the first 12 s: {served} of {sent} requests served"));
    let (sent, served) = load(&fleet, Duration::from_secs(15), || false);
    record.say(&format!(
        "later: {served} of {sent} requests served, a quarter is the least; {}",
        engines.state()
    ));
    Ok(if served * 4 < sent { BROKEN } else { HELD })
}
