//! A server leaves while an entry that reads the store has just had its way to the store back.

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::rig::{self, Attempt, Clients, Deployment, Entry, Record, Server};

/// `drainMs` and `contactMs` of the sheet.
const DRAIN_MS: u64 = 2_000;
const CONTACT_MS: u64 = 3_000;

/// How long the entry is cut off from the store; the sheet's `core_cut` lasts 5.5 s.
const CUT: Duration = Duration::from_millis(1_000);

/// The number of cuts and replacements.
const ROUNDS: u8 = 10;

const ENTRIES: u8 = 13;
const ZONES: [&str; 3] = ["kafr-zone", "damietta-zone", "tanta-zone"];

pub fn run(folder: &Path, trouble: bool) -> bool {
    let record = Record::new();
    let site = Deployment::new(&record);
    let work = Duration::from_millis(110);
    let server = |number: u8, zone: usize| {
        Server::start(&record, &format!("i-{number:02}"), site.ip(100 + number), ZONES[zone], work)
    };
    let mut servers: Vec<Arc<Server>> = (0..3).map(|n| server(n + 1, usize::from(n))).collect();
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

    // The same several times, with other servers each time.
    let mut rounds = Vec::new();
    for round in 0..ROUNDS {
        let leaving = [Arc::clone(&servers[0]), Arc::clone(&servers[1])];
        let new = [server(10 + 2 * round, 0), server(11 + 2 * round, 1)];
        rounds.push(replace_servers(&site, &entries, &leaving, &new, trouble));
        servers.drain(..2);
        servers.extend(new);
        thread::sleep(Duration::from_millis(200));
    }
    let attempts = clients.finish();
    site.keep_logs(&entries, &["E7011", "E7012", "E7030", "E7031"]);

    let (mut late, mut lost) = (0, 0);
    for round in &rounds {
        let (round_late, round_lost) = round.count_late(&record, &attempts);
        late += round_late;
        lost += round_lost;
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

/// One replacement of two servers, and the cut before it.
struct Round {
    /// The server whose entry was removed.
    gone: Arc<Server>,
    /// When the store accepted that.
    left: u64,
    /// The entry that was cut off from the store, and when it was back.
    cut: Option<(String, u64)>,
}

/// Cuts the entry that read the server list last off from the store, lets it come back, and replaces
/// two servers. The new ones start first. The first of the old ones never reports `draining`: its
/// entry is removed, and it serves on for `drainMs` and a while; then it exits.
fn replace_servers(
    site: &Deployment,
    entries: &[Entry],
    leaving: &[Arc<Server>; 2],
    new: &[Arc<Server>; 2],
    trouble: bool,
) -> Round {
    let record = &site.record;
    let reader = entries
        .iter()
        .filter(|entry| entry.gate.watching.load(Ordering::SeqCst) > 0)
        .max_by_key(|entry| entry.gate.watched_at.load(Ordering::SeqCst))
        .unwrap_or_else(|| rig::could_not_run("no entry watches the server list"));
    if trouble {
        record.say(format!("{} is cut off from the store", reader.name));
        site.store.set_cut(&reader.gate, true);
    }
    thread::sleep(CUT);
    let healed = record.now();
    if trouble {
        site.store.set_cut(&reader.gate, false);
        record.say(format!("{} reaches the store again", reader.name));
    }
    thread::sleep(Duration::from_millis(700));

    let [gone, drained] = leaving;
    let put = |server: &Server, state: &str| (server.key(), Some(server.entry(state).into_bytes()));
    site.store.change_all(vec![
        put(&new[0], "ready"),
        (gone.key(), None),
        put(&new[1], "ready"),
        put(drained, "draining"),
    ]);
    let left = record.now();
    record.say(format!("the store has accepted that {} is gone; it serves on", gone.id));
    record.say(format!("the store has accepted that {} is draining", drained.id));
    thread::sleep(Duration::from_millis(4_000));
    gone.end();
    record.say(format!("{} has ended", gone.id));
    thread::sleep(Duration::from_millis(200));
    site.store.remove(&drained.key());
    thread::sleep(Duration::from_millis(300));
    drained.end();
    record.say(format!("{} has ended", drained.id));
    let cut = trouble.then(|| (reader.name.clone(), healed));
    Round { gone: Arc::clone(gone), left, cut }
}

impl Round {
    /// Counts the requests at the server that is gone, later than `drainMs` after the store accepted
    /// that, and those of them that its end cut. Requests from the entry that was cut off count only
    /// `contactMs` after it is back.
    fn count_late(&self, record: &Record, attempts: &[Attempt]) -> (u32, u32) {
        let (mut late, mut lost) = (0, 0);
        let arrivals = self.gone.arrivals();
        for arrival in arrivals.iter().filter(|a| a.ran && a.at > self.left + DRAIN_MS) {
            let Some(attempt) = attempts.iter().find(|attempt| attempt.id == arrival.id) else {
                continue;
            };
            let out_of_touch = self.cut.as_ref().is_some_and(|(name, healed)| {
                *name == attempt.entry && attempt.sent <= healed + CONTACT_MS
            });
            if out_of_touch {
                continue;
            }
            late += 1;
            lost += u32::from(!arrival.answered);
            record.add(format!(
                "LATE     id={} from {} reaches {} {} ms after its leaving was acknowledged; answered={} status={}",
                arrival.id, attempt.entry, arrival.server, arrival.at - self.left, arrival.answered, attempt.status
            ));
        }
        (late, lost)
    }
}
