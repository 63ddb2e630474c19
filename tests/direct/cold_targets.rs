//! Cold targets, which bear few requests a second from all entries together.

use std::net::SocketAddr;
use std::time::Duration;

use bitternwall::collections::{Map, Set};
use bitternwall::direct::decisions::rate_limits::{Fleet, Permission, RateLimits};
use bitternwall::direct::decisions::targets::Targets;
use bitternwall::direct::decisions::warmth::{Tolerance, Warmth};
use bitternwall::direct::known::configuration::ColdStart;
use bitternwall::direct::known::heartbeat::Heartbeat;
use bitternwall::direct::known::peers::Peers;
use bitternwall::direct::known::permit::Grant;
use bitternwall::direct::known::target::Target;

use crate::target_choice::target;

const TARGET: &str = "t0";
const TOLERANCE: Tolerance = Tolerance { overrun: 1.5, slack: 5.0 };
const START: ColdStart = ColdStart { time: Duration::from_secs(3), per_s: 18.0 };
/// The longest time that a message between entries takes.
const MAX_DELAY_MS: u64 = 6;
/// The longest time that a request which has its permit waits for a connection or a link.
const MAX_LINK_MS: u64 = 60;
/// The time within which all entries have seen that one has come or gone.
const VIEW_LAG_MS: u64 = 1_200;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// A source of numbers that are the same in each run.
struct Draws(u64);

impl Draws {
    fn below(&mut self, bound: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963);
        (self.0 >> 33) % bound
    }
}

/// Entries that all want to send to one cold target as much as they may.
struct Shortage {
    entries: Vec<RateLimits>,
    /// The entries that each one takes for the owner, with the times from which it does.
    views: Vec<Vec<(u64, usize)>>,
    /// When each process started, and when it died.
    lives: Vec<(u64, u64)>,
    per_s: f64,
}

impl Shortage {
    fn new(entries: usize, per_s: f64) -> Self {
        let mut limits = RateLimits::default();
        limits.set_cold(TARGET, TOLERANCE.rate(per_s), ms(1_000_000), ms(0));
        Self {
            entries: vec![limits; entries],
            views: vec![vec![(0, 0)]; entries],
            lives: vec![(0, u64::MAX); entries],
            per_s,
        }
    }

    fn owner_of(&self, entry: usize, now: u64) -> usize {
        let seen = self.views[entry].iter().rev().find(|(from, _)| *from <= now);
        seen.map_or(entry, |(_, owner)| *owner)
    }

    fn fleet(&self, entry: usize, now: u64) -> Fleet {
        let changed = self.views[entry].iter().map(|(from, _)| *from).filter(|from| *from <= now);
        Fleet {
            is_owner: self.owner_of(entry, now) == entry,
            changed_at: ms(changed.max().unwrap_or(0)),
            share: 1.0,
        }
    }

    /// Returns when the requests of a time arrive at the target.
    fn arrivals(&mut self, until: u64) -> Vec<u64> {
        let mut draws = Draws(5);
        let mut replies: Vec<(u64, usize, Grant)> = Vec::new();
        let mut arrivals = Vec::new();
        for now in 0..until {
            for (_, entry, grant) in replies.extract_if(.., |(at, ..)| *at <= now) {
                self.entries[entry].end_asking(TARGET, grant, ms(now));
            }
            for entry in 0..self.entries.len() {
                let (started, died) = self.lives[entry];
                if now < started || now >= died {
                    continue;
                }
                let fleet = self.fleet(entry, now);
                self.entries[entry].record_owner(TARGET, &fleet, ms(now));
                match self.entries[entry].permission(TARGET, ms(now)) {
                    Permission::MustAsk => {
                        self.entries[entry].begin_asking(TARGET);
                        replies.push(self.ask(entry, now, &mut draws));
                    }
                    Permission::Granted => {
                        self.entries[entry].take_permit(TARGET, ms(now));
                        arrivals.push(now + draws.below(MAX_LINK_MS));
                    }
                    Permission::After(_) => {}
                }
            }
        }
        arrivals.sort_unstable();
        arrivals
    }

    fn ask(&mut self, entry: usize, now: u64, draws: &mut Draws) -> (u64, usize, Grant) {
        let owner = self.owner_of(entry, now);
        let (started, died) = self.lives[owner];
        if now < started || now >= died {
            return (now + 50, entry, Grant::NoReply);
        }
        let fleet = self.fleet(owner, now);
        // The clock of a process starts with it.
        let clock = ms(now - started);
        let changed_at = fleet.changed_at.saturating_sub(ms(started));
        let fleet = Fleet { changed_at, ..fleet };
        let rate = TOLERANCE.rate(self.per_s);
        let grant = self.entries[owner].grant_cold(TARGET, rate, &fleet, clock);
        (now + draws.below(MAX_DELAY_MS), entry, grant)
    }

    fn tolerated(&self) -> usize {
        let requests = self.per_s * TOLERANCE.overrun + TOLERANCE.slack;
        (0..10_000).take_while(|count| f64::from(*count) <= requests).count() - 1
    }
}

fn most_in_a_second(arrivals: &[u64]) -> usize {
    let from =
        |(index, first): (usize, &u64)| arrivals.partition_point(|at| *at < first + 1_000) - index;
    arrivals.iter().enumerate().map(from).max().unwrap_or(0)
}

#[test]
fn no_second_of_a_cold_target_has_more_requests_than_it_tolerates_and_few_are_left_unused() {
    for (entries, per_s) in [(1, 18.0), (13, 17.0), (13, 18.0), (13, 40.0), (58, 18.0), (58, 40.0)]
    {
        let mut shortage = Shortage::new(entries, per_s);
        let arrivals = shortage.arrivals(12_000);
        let most = most_in_a_second(&arrivals);
        assert!(most <= shortage.tolerated(), "{most} at {entries} entries and {per_s} a second");
        let steady = arrivals.iter().filter(|at| (2_000..12_000).contains(*at)).count();
        let steady = f64::from(u32::try_from(steady).expect("few"));
        assert!(steady >= per_s * 10.0 * 0.9, "{steady} at {entries} entries and {per_s} a second");
    }
}

#[test]
fn no_second_has_more_where_the_owner_dies_and_another_entry_takes_over() {
    for (entries, per_s) in [(13, 17.0), (13, 18.0), (13, 40.0), (58, 18.0), (58, 40.0)] {
        let mut shortage = Shortage::new(entries, per_s);
        shortage.lives[0].1 = 4_000;
        let mut draws = Draws(7);
        for view in &mut shortage.views {
            view.push((4_000 + draws.below(VIEW_LAG_MS), 1));
        }
        let arrivals = shortage.arrivals(12_000);
        let most = most_in_a_second(&arrivals);
        assert!(most <= shortage.tolerated(), "{most} at {entries} entries and {per_s} a second");
        let after = arrivals.iter().filter(|at| **at >= 7_000).count();
        let after = f64::from(u32::try_from(after).expect("few"));
        assert!(after >= per_s * 5.0 * 0.9, "{after} at {entries} entries and {per_s} a second");
    }
}

#[test]
fn no_second_has_more_where_an_entry_joins_and_some_still_ask_the_former_owner() {
    for (entries, per_s) in [(13, 17.0), (13, 18.0), (13, 40.0), (58, 18.0), (58, 40.0)] {
        let mut shortage = Shortage::new(entries, per_s);
        let mut draws = Draws(9);
        for view in &mut shortage.views {
            view.push((4_000 + draws.below(VIEW_LAG_MS), 1));
        }
        let most = most_in_a_second(&shortage.arrivals(12_000));
        assert!(most <= shortage.tolerated(), "{most} at {entries} entries and {per_s} a second");
    }
}

#[test]
fn a_process_that_has_just_started_hands_out_nothing_and_then_a_part() {
    let alone = Fleet { is_owner: true, changed_at: ms(0), share: 1.0 };
    let mut limits = RateLimits::default();
    assert!(matches!(limits.grant_cold(TARGET, 18.0, &alone, ms(900)), Grant::Denied(_)));
    let granted = |limits: &mut RateLimits, from: u64, fleet: &Fleet| {
        let grants =
            (from..from + 1_000).map(|now| limits.grant_cold(TARGET, 18.0, fleet, ms(now)));
        grants.filter(|grant| matches!(grant, Grant::Permits(_))).count()
    };
    assert!(granted(&mut limits, 1_000, &Fleet { changed_at: ms(800), ..alone }) <= 8);
    assert!(granted(&mut limits, 3_000, &Fleet { changed_at: ms(800), ..alone }) >= 16);
    let minority = Fleet { share: 1.0 / 3.0, ..alone };
    assert!(granted(&mut limits, 5_000, &minority) <= 8, "the others may hand them out too");
}

fn heartbeat(entry: usize, sequence: u64) -> Heartbeat {
    Heartbeat { name: format!("entry-{entry}"), sequence, incarnation: 1, ..Heartbeat::default() }
}

// Guards against entries that are cut off, each of which took itself for the owner of a third.
#[test]
fn entries_that_are_cut_off_alone_hand_out_their_parts_of_the_fleet_only() {
    const HEARTBEAT_MS: u64 = 100;
    const ENTRIES: usize = 15;
    const PER_S: f64 = 18.0;
    for cut_off in 1..ENTRIES {
        let mut granted = 0;
        for entry in 0..ENTRIES {
            let is_alone = entry < cut_off;
            let mut peers = Peers::new("kafr");
            peers.expect_others();
            let count = |peers: &mut Peers, now| peers.count(ms(HEARTBEAT_MS), ms(now));
            for now in (0..10_000).step_by(100) {
                let heard = (0..ENTRIES).filter(|other| {
                    let both = !is_alone && *other >= cut_off;
                    *other != entry && (now < 4_000 || both)
                });
                for other in heard {
                    let addr = SocketAddr::from((
                        [10, 0, 0, 1],
                        1_000 + u16::try_from(other).expect("few"),
                    ));
                    peers.record_heartbeat(heartbeat(other, now / 100 + 1), addr, ms(now));
                }
                count(&mut peers, now);
            }
            let now = ms(10_000);
            // One of those that hear each other hands out for all of them.
            if is_alone || entry == ENTRIES - 1 {
                let share = peers.permit_share();
                let fleet = Fleet { is_owner: true, changed_at: peers.changed_at(), share };
                let mut limits = RateLimits::default();
                for at in 0..1_000 {
                    let grant = limits.grant_cold(TARGET, PER_S, &fleet, now + ms(at));
                    if let Grant::Permits(count) = grant {
                        granted += count;
                    }
                }
            }
        }
        // The target tolerates `PER_S` times the overrun and the slack, whoever sends.
        let tolerated = TOLERANCE.overrun * PER_S + TOLERANCE.slack;
        assert!(f64::from(granted) <= tolerated, "{granted} permits while {cut_off} are cut off");
    }
}

#[test]
fn a_rate_leaves_a_reserve_below_what_is_tolerated() {
    assert!((TOLERANCE.rate(18.0) - 18.0).abs() < 0.01);
    for (per_s, overrun, slack) in [(18.0, 1.0, 0.0), (1.0, 1.0, 0.0), (5.0, 1.2, 1.0)] {
        let rate = Tolerance { overrun, slack }.rate(per_s);
        assert!((0.0..=per_s).contains(&rate), "{rate}");
    }
}

#[test]
fn a_target_is_cold_from_its_start_until_a_later_record_says_that_it_is_warm() {
    let (now, left) = (ms(50_000), |millis| Some(ms(millis)));
    let silent = Warmth::first(None, None, now);
    assert_eq!(silent.cold_until(&START), now + START.time, "nothing is said");
    let old = Warmth::first(left(0), Some(ms(60_000)), now);
    assert!(old.cold_until(&START) <= now, "an entry has just started, the target has not");
    let young = Warmth::first(left(0), Some(ms(1_000)), now);
    assert_eq!(young.cold_until(&START), now + ms(2_000));
    let mut said = Warmth::first(left(5_000), Some(ms(100)), now);
    assert_eq!(said.cold_until(&START), now + ms(5_000));
    said.record(None, now + ms(100));
    assert_eq!(said.cold_until(&START), now + ms(5_000), "a record that does not say");
    said.record(left(0), now + ms(500));
    assert!(said.cold_until(&START) <= now + ms(500));
    said.record(left(2_000), now + ms(9_000));
    assert_eq!(said.cold_until(&START), now + ms(11_000), "cold again at any moment");
}

fn cold_table() -> Targets {
    let mut targets = Targets::new("a");
    let record =
        Target { data_centre: "a".to_owned(), cold_left: Ok(Some(ms(0))), ..target(TARGET, 1) };
    targets.list(record, Some(ms(900_000)), ms(0));
    let starts: Map<String, ColdStart> = [("model".to_owned(), START)].into_iter().collect();
    targets.set_cold_starts(starts, TOLERANCE, ms(0));
    targets
}

fn cold_left(targets: &mut Targets, millis: u64, now: Duration) {
    let record = Target {
        data_centre: "a".to_owned(),
        cold_left: Ok(Some(ms(millis))),
        ..target(TARGET, 1)
    };
    targets.list(record, Some(ms(900_000)), now);
}

fn is_cold(targets: &Targets, now: Duration) -> bool {
    targets.cold_targets(now).contains(&TARGET.to_owned())
}

#[test]
fn targets_of_a_data_centre_that_is_taken_back_are_cold_until_they_say_otherwise() {
    let mut targets = cold_table();
    assert!(!is_cold(&targets, ms(10)));
    let emptied: Set<String> = ["a".to_owned()].into_iter().collect();
    targets.set_emptied(emptied.clone(), ms(1_000));
    targets.set_emptied(Set::default(), ms(9_000));
    assert!(is_cold(&targets, ms(9_001)));
    targets.set_emptied(emptied, ms(9_500));
    targets.set_emptied(Set::default(), ms(10_000));
    assert!(is_cold(&targets, ms(12_900)), "emptied again while it came back");
    assert!(!is_cold(&targets, ms(13_100)), "not for ever");
    cold_left(&mut targets, 4_000, ms(14_000));
    assert!(is_cold(&targets, ms(17_900)));
    cold_left(&mut targets, 0, ms(17_950));
    assert!(!is_cold(&targets, ms(17_950)), "full rate as soon as it is warm");
}

#[test]
fn services_that_state_no_rate_are_not_limited() {
    let mut targets = cold_table();
    cold_left(&mut targets, 4_000, ms(100));
    assert!(is_cold(&targets, ms(200)));
    targets.set_cold_starts(Map::default(), TOLERANCE, ms(300));
    assert!(!is_cold(&targets, ms(300)));
}
