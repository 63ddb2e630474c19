//! Who asks the store in time while it turns some entries away without an answer.

use std::net::SocketAddr;
use std::time::Duration;

use bitternwall::direct::decisions::read_times::ReadTimes;
use bitternwall::direct::known::heartbeat::Heartbeat;
use bitternwall::direct::known::peers::Peers;

const IN_FORCE_TIME: Duration = Duration::from_secs(2);
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);
const USUAL_ANSWER: Duration = Duration::from_millis(4);
/// From the moment at which one entry has a change until all have it.
const SPREAD_TIME: Duration = Duration::from_millis(200);
/// Entries of a small fleet.
const ENTRIES: usize = 13;
/// The part of the entries that is turned away in a large fleet.
const SHARE_AWAY: f64 = 0.35;

/// Returns each entry's position among the store readers of a fleet, if it is one.
fn positions(entries: usize) -> Vec<Option<usize>> {
    let name = |index: usize| format!("edge-{index}");
    let addr = |index: usize| {
        let port = u16::try_from(index + 1).expect("few entries");
        SocketAddr::from(([127, 0, 0, 1], port))
    };
    let position = |local: usize| {
        let mut peers = Peers::default();
        for index in (0..entries).filter(|index| *index != local) {
            let name = name(index);
            let heartbeat = Heartbeat { name, reads_store: true, ..Heartbeat::default() };
            peers.record_heartbeat(heartbeat, addr(index), Duration::ZERO);
        }
        peers.reader_position(&name(local), HEARTBEAT_INTERVAL, Duration::ZERO)
    };
    (0..entries).map(position).collect()
}

/// Returns all ways to choose `count` of the entries, as bits.
fn draws(count: u32) -> impl Iterator<Item = u32> {
    (0..1_u32 << ENTRIES).filter(move |draw| draw.count_ones() == count)
}

/// Returns the latest time after the last answer at which an entry with a position among the readers
/// asks, or asks anew.
fn asks_at(times: &ReadTimes, position: Option<usize>, entries: u32) -> Option<Duration> {
    match position {
        Some(0) => Some(times.watch_wait(true, 1.0)),
        Some(_) => Some(times.max_age(USUAL_ANSWER)),
        None => times.asks_for_itself(entries, 1.0).then(|| times.own_read_age(USUAL_ANSWER)),
    }
}

/// The readers were turned away, and nobody who was served asked in time.
#[test]
fn an_entry_that_is_served_asks_in_time_whichever_entries_are_turned_away() {
    let times = ReadTimes::new(IN_FORCE_TIME);
    let positions = positions(ENTRIES);
    let entries = u32::try_from(ENTRIES).expect("few entries");
    for (away, all_draws, without_readers) in [(4, 715, 10), (5, 1_287, 45)] {
        let is_served = |draw: u32, index: usize| draw & (1 << index) == 0;
        let served = |draw: u32| (0..ENTRIES).filter(move |index| is_served(draw, *index));
        let in_time = |draw: &u32| {
            let asks = served(*draw).filter_map(|index| asks_at(&times, positions[index], entries));
            asks.min().is_some_and(|at| at + USUAL_ANSWER + SPREAD_TIME <= IN_FORCE_TIME)
        };
        let no_reader = |draw: &u32| served(*draw).all(|index| positions[index].is_none());
        assert_eq!(draws(away).count(), all_draws);
        assert_eq!(draws(away).filter(no_reader).count(), without_readers);
        assert_eq!(draws(away).filter(|draw| !in_time(draw)).count(), 0, "{away} of {ENTRIES}");
    }
}

/// A part of a large fleet asks at once: few enough for the store, and enough that some are served.
#[test]
fn a_bounded_number_of_entries_asks_for_itself_at_once() {
    const DRAWS: u32 = 100_000;
    let times = ReadTimes::new(IN_FORCE_TIME);
    for entries in [1, 13, 32, 58, 98, 1_600] {
        let asking = (0..DRAWS)
            .filter(|draw| times.asks_for_itself(entries, f64::from(*draw) / f64::from(DRAWS)));
        let share = f64::from(u32::try_from(asking.count()).expect("few draws")) / f64::from(DRAWS);
        let expected = share * f64::from(entries);
        assert!(expected <= 33.0, "{expected} of {entries} ask at once");
        if entries <= 32 {
            assert!(share >= 1.0, "all of {entries} ask");
            continue;
        }
        let served = f64::from(entries) * (1.0 - SHARE_AWAY);
        let none_served = (1.0 - share).powf(served);
        assert!(none_served < 1e-8, "{none_served} with {entries}");
    }
}
