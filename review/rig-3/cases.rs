//! The cases that are scripts.

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::{CONTACT, CRASHING_PART, Rig, Seen, Server, cannot_run, lock};

const HOST: &str = "ficu95.example";
const KEY: &str = "n2ctnfzs989anu6wsjnb";
/// The site's `configApplyMs`.
const CONFIG_APPLY: Duration = Duration::from_millis(2_000);
/// The site's `drainMs`.
const DRAIN: Duration = Duration::from_millis(2_000);

/// Runs a case and returns its exit code.
pub fn run(case: &str) -> i32 {
    match case {
        "copies" => copies(),
        "parts" => parts(),
        "turned-away" => turned_away(),
        "gone" => gone(),
        _ => cannot_run("no such case"),
    }
}

/// Returns a configuration with one route for requests that aren't idempotent, and one tenant.
fn configuration(version: u32, keys: &str) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-1\",\"host\":\"{HOST}\",\
         \"prefix\":\"/puxa403/\",\"type\":\"non_idempotent\",\"timeoutMs\":1000,\"sloMs\":100,\
         \"priority\":2,\"service\":\"wuno96b\",\"maxAttempts\":1,\"public\":false,\
         \"sticky\":false,\"resumable\":false}}],\
         \"services\":[{{\"name\":\"wuno96b\",\"healthPath\":\"/healthz\",\"maxConns\":208,\
         \"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\
         \"idleTimeoutMs\":15000}},\
         \"tenants\":[{{\"name\":\"hule930\",\"apiKeys\":[{keys}],\"priority\":1}}]}}"
    )
}

/// Returns a key that the operator drops at some time.
fn revocable_key(index: usize) -> String {
    format!("anfqasnmgkcuyj8pjbv{index}")
}

/// Returns the keys of a configuration after so many of them were dropped.
fn keys(dropped: usize) -> String {
    let left = (dropped..TIMES).map(|index| format!(",\"{}\"", revocable_key(index)));
    format!("\"{KEY}\"{}", left.collect::<String>())
}

fn head(key: &str) -> String {
    format!("POST /puxa403/2f HTTP/1.1\r\nHost: {HOST}\r\nAuthorization: Token {key}\r\n")
}

const DEADLINE: Duration = Duration::from_millis(1_000);

fn start(case: &str) -> (Arc<Rig>, Vec<Arc<Server>>) {
    let mut rig = Rig::new(case);
    rig.store.put("op/config", &configuration(7, &keys(0)));
    let work = Duration::from_millis(15);
    let names = ["kafr", "damietta", "tanta"];
    let servers = names.iter().enumerate().map(|(index, name)| {
        let zone = Rig::zone(index);
        Server::start(name, "wuno96b", zone, work, &rig.store, &rig.seen, &rig.record)
    });
    let servers = servers.collect();
    rig.start_entries();
    (Arc::new(rig), servers)
}

/// Copies of one request that come one after the other, and the pause between two of them.
const COPIES: usize = 8;
const COPY_PAUSE: Duration = Duration::from_millis(60);

/// Sends some requests within half a second, each as an attempt of its own at another entry. Returns
/// the statuses, 0 for no answer.
fn send_copies(
    rig: &Arc<Rig>,
    first_entry: usize,
    request: impl Fn(usize) -> (String, Vec<u8>),
) -> Vec<u16> {
    let senders: Vec<_> = (0..COPIES)
        .map(|index| {
            let (rig, (head, body)) = (Arc::clone(rig), request(index));
            thread::spawn(move || {
                thread::sleep(COPY_PAUSE * index as u32);
                let (_, answer) = rig.send(first_entry + index, &head, &body, DEADLINE);
                answer.map_or(0, |answer| answer.status())
            })
        })
        .collect();
    senders.into_iter().map(|sender| sender.join().unwrap_or(0)).collect()
}

/// BUDGET: a request that crashes the servers that run it reaches servers in more than three retries
/// that are sent later than `contactMs` after it has crashed the third.
fn copies() -> i32 {
    let (rig, _servers) = start("copies");
    let body: &'static [u8] =
        if rig.trouble { b"crash {\"valve\":7,\"hold\":true}" } else { b"{\"valve\":7,\"hold\":true}" };
    serve_calm_requests(&rig);
    for time in 0..3 {
        let statuses = send_copies(&rig, time, |_| (head(KEY), body.to_vec()));
        rig.record.line(&format!("time {}: {COPIES} copies get {statuses:?}", time + 1));
        thread::sleep(Duration::from_secs(7));
    }
    let seen = lock(&rig.seen);
    let late = arrivals_after_crashes(&seen, 3);
    rig.record.line(&format!(
        "{} crashes; {late} arrivals later than {} ms after the third (bound: 3)",
        seen.crashes.len(),
        CONTACT.as_millis()
    ));
    i32::from(late > 3)
}

/// Sends one request to each entry, which has to be served.
fn serve_calm_requests(rig: &Rig) {
    for index in 0..rig.entries.len() {
        let (_, answer) = rig.send(index, &head(KEY), b"{\"valve\":1,\"hold\":false}", DEADLINE);
        if answer.map_or(0, |answer| answer.status()) != 200 {
            cannot_run("the calm requests are not served");
        }
    }
}

/// Returns the crashing requests that arrived later than `contactMs` after so many crashes.
fn arrivals_after_crashes(seen: &Seen, crashes: usize) -> usize {
    let Some(last) = crashes.checked_sub(1).and_then(|index| seen.crashes.get(index)) else { return 0 };
    let from: Instant = *last + CONTACT;
    seen.arrivals.iter().filter(|arrival| arrival.crashes && arrival.at > from).count()
}

/// BUDGET: more than three requests with a part that crashes servers reach servers later than
/// `contactMs` after the fifth crash.
fn parts() -> i32 {
    let (rig, _servers) = start("parts");
    let part = if rig.trouble { CRASHING_PART } else { "91bd3f06:410" };
    // Traffic starts 10 s after the machines do.
    thread::sleep(Duration::from_secs(8));
    serve_calm_requests(&rig);
    for time in 0..4 {
        let statuses = send_copies(&rig, time, |index| {
            let own_part = format!("e4402{time}{index:02}:250");
            let head = format!("{}Bitternwall-Prefix-Hash: {part},{own_part}\r\n", head(KEY));
            (head, format!("{{\"valve\":{time}{index:02}}}").into_bytes())
        });
        rig.record.line(&format!("time {}: {COPIES} requests get {statuses:?}", time + 1));
        thread::sleep(Duration::from_secs(7));
    }
    let seen = lock(&rig.seen);
    let late = arrivals_after_crashes(&seen, 5);
    rig.record.line(&format!(
        "{} crashes; {late} arrivals later than {} ms after the fifth (bound: 3)",
        seen.crashes.len(),
        CONTACT.as_millis()
    ));
    i32::from(late > 3)
}

/// The machines that the store turns away, 4 of 13.
const TURNED_AWAY: [&str; 4] =
    ["edge-kafr-zone-4", "edge-damietta-zone-3", "edge-damietta-zone-4", "edge-tanta-zone-2"];
/// How often, for how long, and with which pause.
const TIMES: usize = 4;
const AWAY_TIME: Duration = Duration::from_secs(6);
const AWAY_PAUSE: Duration = Duration::from_secs(12);

/// CONFIG: a request sent later than `configApplyMs` after the acknowledgement of a version is run with
/// a dropped key, by a machine in touch.
fn turned_away() -> i32 {
    let (rig, _servers) = start("turned-away");
    while_turned_away(&rig, |time, away| drop_a_key(&rig, time, away))
}

/// Turns the machines away some times, until `change` returns that the rule was broken. Returns the
/// exit code.
fn while_turned_away(rig: &Arc<Rig>, mut change: impl FnMut(usize, &[usize]) -> usize) -> i32 {
    // Traffic starts 10 s after the machines do; the first calls of all machines have ended by then.
    thread::sleep(Duration::from_secs(8));
    let away = TURNED_AWAY.map(|name| rig.entry(name));
    let mut broken = 0;
    for time in 1..=TIMES {
        if rig.trouble {
            away.iter().for_each(|index| rig.entries[*index].door.set_silent(true));
            rig.record.line(&format!("the store leaves the calls of {TURNED_AWAY:?} unanswered"));
        }
        thread::sleep(Duration::from_millis(20));
        broken += change(time, &away);
        away.iter().for_each(|index| rig.entries[*index].door.set_silent(false));
        rig.record.line("the store serves all machines");
        if broken > 0 || time == TIMES {
            break;
        }
        thread::sleep(AWAY_PAUSE);
    }
    i32::from(broken > 0)
}

/// Drops one key and sends requests with it to all machines but those turned away. Returns how many
/// that were sent too late for it ran.
fn drop_a_key(rig: &Arc<Rig>, time: usize, away: &[usize]) -> usize {
    let version = 7 + u32::try_from(time).unwrap_or(0) * 3;
    rig.store.put("op/config", &configuration(version, &keys(time)));
    let acknowledged = Instant::now();
    rig.record.line(&format!("the store acknowledges version {version}, which drops a key"));
    let served = (0..rig.entries.len()).filter(|index| !away.contains(index));
    let clients: Vec<_> = served
        .map(|index| {
            let rig = Arc::clone(rig);
            thread::spawn(move || {
                let key = revocable_key(time - 1);
                let mut late = Vec::new();
                while acknowledged.elapsed() < AWAY_TIME {
                    let sent = acknowledged.elapsed();
                    let (id, _) = rig.send(index, &head(&key), b"{\"valve\":7}", DEADLINE);
                    if sent > CONFIG_APPLY {
                        late.push((id, sent));
                    }
                    thread::sleep(Duration::from_millis(40));
                }
                late
            })
        })
        .collect();
    let late: Vec<(String, Duration)> =
        clients.into_iter().flat_map(|client| client.join().unwrap_or_default()).collect();
    let seen = lock(&rig.seen);
    let ran = |id: &str| seen.arrivals.iter().any(|arrival| arrival.attempt == id);
    let broken: Vec<&Duration> =
        late.iter().filter(|(id, _)| ran(id)).map(|(_, sent)| sent).collect();
    let last = broken.iter().max().map_or(0, |sent| sent.as_millis());
    rig.record.line(&format!(
        "time {time}: {} of {} requests sent later than {} ms after the acknowledgement ran with the \
         dropped key, the last one sent after {last} ms",
        broken.len(),
        late.len(),
        CONFIG_APPLY.as_millis()
    ));
    broken.len()
}

/// DRAIN: a request reaches a server later than `drainMs` after the acknowledgement that it is gone,
/// from a machine in touch.
fn gone() -> i32 {
    let (rig, servers) = start("gone");
    while_turned_away(&rig, |time, away| {
        let server = &servers[time % servers.len()];
        let id = server.leave_unreported();
        let acknowledged = Instant::now();
        send_while(&rig, away, acknowledged);
        let seen = lock(&rig.seen);
        let at_server = seen.arrivals.iter().filter(|arrival| arrival.server == id);
        let after = at_server.filter_map(|arrival| arrival.at.checked_duration_since(acknowledged));
        let late: Vec<Duration> = after.filter(|after| *after > DRAIN).collect();
        drop(seen);
        let last = late.iter().max().map_or(0, |after| after.as_millis());
        rig.record.line(&format!(
            "time {time}: {} requests reached {id} later than {} ms after the acknowledgement, the last \
             one after {last} ms",
            late.len(),
            DRAIN.as_millis()
        ));
        server.replace();
        late.len()
    })
}

/// Sends requests to all machines but those turned away.
fn send_while(rig: &Arc<Rig>, away: &[usize], since: Instant) {
    let served = (0..rig.entries.len()).filter(|index| !away.contains(index));
    let clients: Vec<_> = served
        .map(|index| {
            let rig = Arc::clone(rig);
            thread::spawn(move || {
                while since.elapsed() < AWAY_TIME {
                    rig.send(index, &head(KEY), b"{\"valve\":7}", DEADLINE);
                    thread::sleep(Duration::from_millis(40));
                }
            })
        })
        .collect();
    for client in clients {
        let _ = client.join();
    }
}
