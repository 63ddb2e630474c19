//! Entries and agents that find each other without seeds: when they look, and what that costs the store.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use bitternwall::direct::decisions::contact_rounds::{ContactRounds, Heard, Keep, Look};
use bitternwall::direct::known::agents::Agents;
use bitternwall::direct::known::contact::Contact;
use bitternwall::direct::known::peers::Peers;
use bitternwall::direct::known::store::Item;
use bitternwall::ranks::known_entries::KnownEntries;
use rand::rngs::StdRng;
use rand::{Rng as _, SeedableRng as _};

/// The calls a second that the store of the smallest deployment takes.
const MAX_READS_PER_S: usize = 2_000;
const MAX_WRITES_PER_S: usize = 400;

/// The time over which the processes of a fleet start.
const START_SPREAD: Duration = Duration::from_millis(300);

/// Time from the first heartbeat to an entry until both hear each other.
const ACQUAINTANCE_TIME: Duration = Duration::from_millis(150);

/// Time from the beginning of a write, which takes two calls, until the record can be read.
const WRITE_TIME: Duration = Duration::from_millis(10);

/// Entries that read the store once all of a fleet know each other.
const READERS: usize = 3;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Call {
    Read,
    StaleRead,
    Write,
    Renewal,
}

/// One entry of a simulated fleet.
#[derive(Default)]
struct Seeker {
    rounds: ContactRounds,
    started: Duration,
    hears_others_from: Option<Duration>,
    on_record_from: Option<Duration>,
    contacted: Vec<usize>,
}

/// The seeds of a simulated fleet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Seeds {
    Down,
    /// All entries meet by one of them, and another is down.
    OneDown,
    Up,
}

/// Plays a fleet that starts at once for a time. Returns its calls to the store in order.
fn play(entries: usize, seeds: Seeds, time: Duration, seed: u64) -> Vec<(Duration, Call)> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut seekers: Vec<Seeker> = Vec::new();
    let mut checks: BTreeMap<(Duration, usize), ()> = BTreeMap::new();
    for index in 0..entries {
        let started = START_SPREAD.mul_f64(rng.random());
        let hears_others_from = (seeds != Seeds::Down).then_some(START_SPREAD + ACQUAINTANCE_TIME);
        seekers.push(Seeker { started, hears_others_from, ..Seeker::default() });
        checks.insert((started + ContactRounds::first_pause(rng.random()), index), ());
    }
    let mut calls = Vec::new();
    while let Some(((now, index), ())) = checks.pop_first() {
        if now > time {
            break;
        }
        let hears_others = seekers[index].hears_others_from.is_some_and(|at| at <= now);
        let uptime = now - seekers[index].started;
        let heard = match (hears_others, seeds) {
            (false, _) => Heard::Nobody,
            (true, Seeds::Up) => Heard::AllSeeds,
            (true, Seeds::Down | Seeds::OneDown) => Heard::Some,
        };
        let look = seekers[index].rounds.look(heard, index < READERS, uptime);
        let mut new = 0;
        if look != Look::None {
            let is_alone = look == Look::Alone;
            calls.push((now, if is_alone { Call::Read } else { Call::StaleRead }));
            let on_record = |seeker: &Seeker| seeker.on_record_from.is_some_and(|at| at <= now);
            let records: Vec<usize> =
                (0..entries).filter(|other| on_record(&seekers[*other])).collect();
            for other in records.iter().copied().filter(|other| *other != index) {
                if !hears_others && !seekers[index].contacted.contains(&other) {
                    seekers[index].contacted.push(other);
                    new += 1;
                    for known in [index, other] {
                        let at = now + ACQUAINTANCE_TIME;
                        let from = seekers[known].hears_others_from.unwrap_or(at);
                        seekers[known].hears_others_from = Some(from.min(at));
                    }
                }
            }
            match ContactRounds::keep(look, new, records.contains(&index)) {
                Keep::Nothing => {}
                Keep::Renew => calls.push((now, Call::Renewal)),
                Keep::Write => {
                    calls.extend([(now, Call::Write), (now, Call::Write)]);
                    seekers[index].on_record_from = Some(now + WRITE_TIME);
                }
            }
            if !is_alone {
                seekers[index].rounds.record_read(uptime, rng.random());
            }
        }
        checks.insert((now + ContactRounds::pause(look, new, rng.random()), index), ());
    }
    let alone = seekers.iter().filter(|seeker| seeker.hears_others_from.is_none()).count();
    assert_eq!(alone, 0, "entries that hear nobody after {time:?}");
    calls
}

/// Returns the largest number of calls of these kinds in one second.
fn most_per_second(calls: &[(Duration, Call)], kinds: &[Call]) -> usize {
    let times: Vec<Duration> =
        calls.iter().filter(|(_, call)| kinds.contains(call)).map(|(at, _)| *at).collect();
    let within = |from: &Duration| {
        times.iter().filter(|at| **at >= *from && **at < *from + Duration::from_secs(1)).count()
    };
    times.iter().map(within).max().unwrap_or(0)
}

#[test]
fn a_fleet_that_starts_at_once_without_seeds_stays_within_the_calls_of_the_store() {
    for entries in [2, 13, 60, 1_600] {
        for seed in 1..=5 {
            let calls = play(entries, Seeds::Down, Duration::from_secs(4), seed);
            let reads = most_per_second(&calls, &[Call::Read, Call::StaleRead, Call::Renewal]);
            let writes = most_per_second(&calls, &[Call::Write]);
            println!("{entries} entries: {reads} reads and {writes} writes in the worst second");
            assert!(reads <= MAX_READS_PER_S, "{entries} entries, seed {seed}: {reads} reads");
            assert!(writes <= MAX_WRITES_PER_S, "{entries} entries, seed {seed}: {writes} writes");
        }
    }
}

#[test]
fn a_fleet_that_hears_all_of_its_seeds_makes_no_calls() {
    for entries in [13, 60, 1_600] {
        assert_eq!(play(entries, Seeds::Up, Duration::from_secs(60), 1), []);
    }
}

#[test]
fn a_fleet_that_lacks_a_seed_leaves_the_calls_to_its_readers() {
    for entries in [13, 60, 1_600] {
        let minute = Duration::from_secs(60);
        let calls = play(entries, Seeds::OneDown, minute, 1);
        let count = |kind| calls.iter().filter(|(_, call)| *call == kind).count();
        let first_seconds = calls.iter().filter(|(at, _)| *at < Duration::from_secs(3)).count();
        println!(
            "{entries} entries: {} calls in a minute, {} of them reads that may be stale and {} \
             renewals; {first_seconds} in the first 3 s",
            calls.len(),
            count(Call::StaleRead),
            count(Call::Renewal)
        );
        assert_eq!((count(Call::Read), first_seconds), (0, 0));
        assert_eq!(count(Call::Write), READERS * 2);
        assert!(count(Call::StaleRead) + count(Call::Renewal) <= READERS * 2 * 8);
    }
}

#[test]
fn an_entry_that_stays_alone_goes_on_looking() {
    let rounds = ContactRounds::default();
    let day = Duration::from_secs(86_400);
    assert_eq!(rounds.look(Heard::Nobody, true, day), Look::Alone);
    assert!(ContactRounds::pause(Look::Alone, 0, 1.0) <= Duration::from_millis(1_250));
    assert_eq!(ContactRounds::keep(Look::Alone, 0, false), Keep::Write);
    assert_eq!(ContactRounds::keep(Look::Alone, 2, false), Keep::Nothing);
    assert_eq!(rounds.look(Heard::Some, false, day), Look::None);
}

fn addr(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 1, 0, number], 7_340))
}

#[test]
fn a_contact_that_is_heard_or_known_is_not_contacted_again() {
    let mut peers = Peers::new("kafr");
    assert!(peers.introduce("entry-1", addr(1), Duration::ZERO));
    assert!(!peers.introduce("entry-1", addr(1), Duration::from_secs(1)));
    assert_eq!(peers.recipients(&[], Duration::from_secs(1)), [addr(1)]);
    // One that never answers is forgotten, as are entries that fall silent.
    assert!(peers.recipients(&[], Duration::from_secs(31)).is_empty());
}

#[test]
fn a_record_without_an_address_of_a_host_is_refused() {
    let item = |value: &str| Item {
        key: "entry-1".to_owned(),
        value: value.to_owned().into(),
        revision: 1,
    };
    let contact = Contact { name: "entry-1".to_owned(), addr: addr(1) };
    let text = String::from_utf8(contact.encode()).expect("text");
    assert_eq!(Contact::decode(&item(&text)), Ok(contact));
    let odd = ["", "{}", "[]", r#"{"peers":7}"#, r#"{"peers":"0.0.0.0:80"}"#];
    let odd = odd.iter().chain(&[r#"{"peers":"224.0.0.1:80"}"#, r#"{"peers":"10.1.0.1:0"}"#]);
    for value in odd {
        let error = Contact::decode(&item(value)).expect_err(value);
        assert!(!error.reason.is_empty());
    }
}

#[test]
fn agents_that_send_notices_are_left_alone() {
    let engines: Vec<SocketAddr> = (0..64).map(addr).collect();
    let mut agents = Agents::default();
    let now = Duration::from_secs(9);
    for engine in &engines[1..] {
        agents.record_notice(*engine, now);
    }
    assert_eq!(agents.to_introduce(&engines, 58, 7, now), [engines[0]]);
    assert_eq!(agents.to_introduce(&engines, 1, 7, now), [engines[0]]);
    // A notice that is seconds old says little.
    let later = now + Duration::from_secs(3);
    assert_eq!(agents.to_introduce(&engines, 1, 7, later).len(), engines.len());
}

#[test]
fn entries_share_the_introductions_to_agents_that_know_nobody() {
    let engines: Vec<SocketAddr> =
        (0..12_000_u16).map(|number| SocketAddr::from(([10, 2, 0, 1], number))).collect();
    let mut rng = StdRng::seed_from_u64(1);
    let mut introduced = vec![0_u32; engines.len()];
    let mut most = 0;
    for _entry in 0..1_600 {
        let draw = rng.random_range(0..usize::MAX);
        let recipients =
            Agents::default().to_introduce(&engines, 1_600, draw, Duration::from_secs(1));
        most = most.max(recipients.len());
        for engine in recipients {
            introduced[usize::from(engine.port())] += 1;
        }
    }
    let missed = introduced.iter().filter(|count| **count == 0).count();
    println!("{most} introductions by an entry in a second, {missed} of 12000 agents missed");
    assert!(most <= 32);
    // Three on average leave one agent in twenty to the next round.
    assert!(missed < engines.len() / 10);
}

#[test]
fn an_agent_asks_the_entry_that_introduces_itself() {
    let now = Duration::from_secs(1);
    let mut entries = KnownEntries::new(vec![addr(1), addr(2)], 1);
    assert_eq!(entries.to_ask(now), Some(addr(2)));
    entries.record_failure(addr(2), now);
    assert_eq!(entries.to_ask(now), Some(addr(1)));
    assert!(entries.record_introduction(addr(3), now));
    assert!(!entries.record_introduction(addr(3), now));
    assert_eq!(entries.to_ask(now), Some(addr(3)));
    entries.record_answer(addr(3));
    entries.record_listed(vec![addr(4)]);
    assert_eq!(entries.all(now), [addr(1), addr(2), addr(4), addr(3)]);
    entries.record_failure(addr(3), now);
    assert_eq!(entries.to_ask(now), Some(addr(1)));
    // All entries were replaced since.
    let later = now + Duration::from_secs(60);
    for dead in [addr(1), addr(2), addr(4)] {
        entries.record_failure(dead, later);
    }
    assert!(entries.record_introduction(addr(5), later));
    assert_eq!(entries.to_ask(later), Some(addr(5)));
    entries.set_seeds(vec![addr(6)]);
    assert_eq!(entries.all(later), [addr(6), addr(4), addr(5)]);
}

#[test]
fn an_agent_without_seeds_waits_for_an_introduction() {
    let now = Duration::from_secs(1);
    let mut entries = KnownEntries::new(Vec::new(), 7);
    assert_eq!(entries.to_ask(now), None);
    assert!(entries.record_introduction(addr(3), now));
    assert_eq!(entries.to_ask(now), Some(addr(3)));
    entries.record_failure(addr(3), now);
    assert_eq!(entries.to_ask(now), None);
}
