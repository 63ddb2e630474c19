//! A server leaves while the store cuts waiting watches now and then.

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

use crate::rig::{self, Clients, Deployment, Entry, Record, Server};

/// `drainMs` of the sheet.
const DRAIN_MS: u64 = 2_000;

/// The time between two cuts.
const CUT_INTERVAL: Duration = Duration::from_millis(2_000);

const ENTRIES: u8 = 13;
const ZONES: [&str; 3] = ["kafr-zone", "damietta-zone", "tanta-zone"];

pub fn run(folder: &Path, trouble: bool) -> bool {
    let record = Record::new();
    let site = Deployment::new(&record);
    let work = Duration::from_millis(110);
    let server = |number: u8, zone: usize| {
        Server::start(&record, &format!("i-{number:02}"), site.ip(100 + number), ZONES[zone], work)
    };
    let servers: Vec<Arc<Server>> = (0..3).map(|n| server(n + 1, usize::from(n))).collect();
    site.store.put("op/config", &rig::configuration(7));
    for server in &servers {
        site.store.put(&server.key(), &server.entry("ready"));
    }
    let entries: Vec<Entry> = (0..ENTRIES)
        .map(|n| {
            let zone = ZONES[usize::from(n) % ZONES.len()];
            site.start_entry(n + 1, &format!("edge-{zone}-{}", n / 3 + 1), zone)
        })
        .collect();
    site.wait_ready(&entries);
    record.say("all entries are ready");
    let clients = Clients::start(&record, &entries, 26, Duration::from_millis(200));
    thread::sleep(Duration::from_secs(4));

    // One server is replaced: the new one starts first. The old one never reports `draining`: its
    // entry is removed, and it serves on for a while.
    let mut readers: Vec<&str> = Vec::new();
    let mut cut = || {
        if trouble {
            record.say("the store cuts the watches that are waiting");
            let watching = |entry: &&Entry| entry.gate.watching.load(Ordering::SeqCst) > 0;
            readers.extend(entries.iter().filter(watching).map(|entry| entry.name.as_str()));
            site.store.cut_watches();
        }
    };
    cut();
    let new = server(4, 0);
    site.store.put(&new.key(), &new.entry("ready"));
    thread::sleep(Duration::from_millis(1_000));
    site.store.remove(&servers[0].key());
    let left = record.now();
    record.say(format!("the store has accepted that {} is gone; it serves on", servers[0].id));
    let end = Instant::now() + Duration::from_secs(8);
    thread::sleep(CUT_INTERVAL / 2);
    while Instant::now() < end {
        cut();
        thread::sleep(CUT_INTERVAL);
    }
    servers[0].end();
    record.say(format!("{} has ended", servers[0].id));
    thread::sleep(Duration::from_secs(1));
    let attempts = clients.finish();
    site.keep_logs(&entries, &["E7011", "E7012", "E7030", "E7031"]);

    let (mut late, mut lost) = (0, 0);
    for arrival in servers[0].arrivals().iter().filter(|a| a.ran && a.at > left + DRAIN_MS) {
        let Some(attempt) = attempts.iter().find(|attempt| attempt.id == arrival.id) else {
            continue;
        };
        // A cut watch might be taken for a reset of its entry's connections.
        if readers.contains(&attempt.entry.as_str()) {
            continue;
        }
        late += 1;
        lost += u32::from(!arrival.answered);
        record.add(format!(
            "LATE     id={} from {} reaches {} {} ms after its leaving was acknowledged; answered={} status={}",
            arrival.id, attempt.entry, arrival.server, arrival.at - left, arrival.answered, attempt.status
        ));
    }
    let failed = attempts.iter().filter(|attempt| attempt.status != 200).count();
    record.say(format!(
        "{} requests, {failed} not answered with 200; {late} reached a server that was gone for over {DRAIN_MS} ms, \
         {lost} of them were cut by its end",
        attempts.len()
    ));
    record.write(&folder.join("record.txt"));
    late > 0
}
