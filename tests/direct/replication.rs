//! The cluster state of an entry only moves forward, and outlives an outage of the store.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use bitternwall::direct::addresses::{self, LocalEntry};
use bitternwall::direct::known::cluster_state::{ClusterState, KnownVersions, TargetRecord};
use bitternwall::direct::known::heartbeat::{Heartbeat, Load, PeerAddr};
use bitternwall::direct::known::peers::{self, FANOUT, MAX_PEER_ADDRS, Peers};
use bitternwall::direct::known::store::Position;
use bitternwall::direct::known::store_outages::Absence;
use bitternwall::direct::known::store_readers::STORE_READERS;
use bitternwall::direct::known::target::Target;
use bitternwall::direct::peering::transfer;
use bytes::Bytes;
use proptest::prelude::*;

use crate::lookups::configuration;
use crate::target_choice::target;

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);

fn listed(target: Target, revision: u64) -> TargetRecord {
    TargetRecord { revision, raw: Bytes::new(), target: Some(target) }
}

/// Returns the position of a revision in the store's first era.
fn at(revision: u64) -> Position {
    Position { era: 0, revision }
}

proptest! {
    /// In whatever order versions arrive, and from whichever source, the one in force never goes
    /// back.
    #[test]
    fn a_configuration_never_goes_back(versions in prop::collection::vec(1u64..50, 1..30)) {
        let mut state = ClusterState::default();
        let mut highest = 0;
        for version in versions {
            let taken = state.offer_configuration(configuration(version), Bytes::new());
            prop_assert_eq!(taken, version > highest);
            highest = highest.max(version);
            prop_assert_eq!(state.version(), highest);
        }
    }
}

#[test]
fn a_late_change_does_not_bring_a_target_back() {
    let mut state = ClusterState::default();
    state.replace_targets(
        vec![("t0".to_owned(), listed(target("t0", 1), 5))],
        at(5),
        Absence::Gone,
    );
    assert!(state.remove_target("t0", 8, Absence::Gone));
    assert!(!state.put_target("t0".to_owned(), listed(target("t0", 1), 7)));
    assert!(state.targets().is_empty());
    assert!(state.put_target("t0".to_owned(), listed(target("t0", 1), 9)));
    assert!(!state.remove_target("t0", 8, Absence::Gone));
    assert_eq!(state.targets().len(), 1);
}

#[test]
fn an_older_list_is_ignored() {
    let mut state = ClusterState::default();
    assert!(state.replace_targets(Vec::new(), at(10), Absence::Gone));
    assert!(!state.replace_targets(
        vec![("t0".to_owned(), listed(target("t0", 1), 5))],
        at(9),
        Absence::Gone
    ));
    assert!(state.targets().is_empty());
}

#[test]
fn of_two_incarnations_at_one_address_only_the_newer_one_is_there() {
    let mut state = ClusterState::default();
    state.replace_targets(
        vec![
            ("old".to_owned(), listed(target("old", 1), 5)),
            ("new".to_owned(), listed(target("new", 1), 9)),
            ("other".to_owned(), listed(target("other", 2), 3)),
        ],
        at(9),
        Absence::Gone,
    );
    let mut ids: Vec<String> = state.targets().into_iter().map(|target| target.id).collect();
    ids.sort_unstable();
    assert_eq!(ids, ["new", "other"]);
}

#[test]
fn an_entry_that_cannot_be_read_names_no_target_and_harms_no_other() {
    let mut state = ClusterState::default();
    let unreadable = TargetRecord { revision: 4, raw: Bytes::from_static(b"\xff"), target: None };
    let sound = listed(target("t0", 1), 5);
    state.replace_targets(
        vec![("bad".to_owned(), unreadable), ("t0".to_owned(), sound)],
        at(5),
        Absence::Gone,
    );
    assert_eq!(state.targets().len(), 1);
}

fn heartbeat(name: &str, sequence: u64) -> Heartbeat {
    Heartbeat {
        name: name.to_owned(),
        incarnation: 1,
        sequence,
        callers_addr: format!("10.0.0.{}:80", name.len()),
        ready: true,
        reads_store: true,
        ..Heartbeat::default()
    }
}

fn from(host: u8) -> SocketAddr {
    ([10, 0, 0, host], 7_000).into()
}

#[test]
fn a_late_heartbeat_does_not_replace_a_newer_one() {
    let mut peers = Peers::default();
    let loads = vec![Load { target: "t0".to_owned(), requests: 3 }];
    peers.record_heartbeat(Heartbeat { loads, ..heartbeat("a", 2) }, from(1), Duration::ZERO);
    peers.record_heartbeat(heartbeat("a", 1), from(1), Duration::ZERO);
    assert_eq!(peers.loads(HEARTBEAT_INTERVAL, Duration::ZERO).get("t0"), Some(&3));
    let restarted = Heartbeat { incarnation: 2, ..heartbeat("a", 1) };
    assert!(peers.record_heartbeat(restarted, from(1), Duration::ZERO).joined);
    assert_eq!(peers.loads(HEARTBEAT_INTERVAL, Duration::ZERO).get("t0"), None);
}

#[test]
fn a_silent_entry_counts_for_nothing() {
    let mut peers = Peers::default();
    let loads = vec![Load { target: "t0".to_owned(), requests: 3 }];
    peers.record_heartbeat(Heartbeat { loads, ..heartbeat("a", 1) }, from(1), Duration::ZERO);
    let later = HEARTBEAT_INTERVAL * 11;
    assert!(peers.loads(HEARTBEAT_INTERVAL, later).is_empty());
    let local = LocalEntry { addr: from(9), ready: false };
    assert!(addresses::serving(local, &peers, HEARTBEAT_INTERVAL, later).is_empty());
    assert_eq!(addresses::serving(local, &peers, HEARTBEAT_INTERVAL, Duration::ZERO).len(), 1);
}

#[test]
fn callers_are_not_given_leaving_or_unready_entries() {
    let mut peers = Peers::default();
    peers.record_heartbeat(
        Heartbeat { leaving: true, ..heartbeat("a", 1) },
        from(1),
        Duration::ZERO,
    );
    peers.record_heartbeat(
        Heartbeat { ready: false, ..heartbeat("bb", 1) },
        from(2),
        Duration::ZERO,
    );
    peers.record_heartbeat(heartbeat("ccc", 1), from(3), Duration::ZERO);
    let local = LocalEntry { addr: from(9), ready: true };
    let serving = addresses::serving(local, &peers, HEARTBEAT_INTERVAL, Duration::ZERO);
    assert_eq!(serving, [from(9), ([10, 0, 0, 3], 80).into()]);
}

#[test]
fn few_entries_read_the_store_and_others_replace_those_that_it_refuses() {
    let names: Vec<String> = (0..13).map(|index| format!("entry-{index}")).collect();
    let readers = |reads: &dyn Fn(&str) -> bool| -> Vec<String> {
        let is_reader = |local: &String| {
            let mut peers = Peers::default();
            for (host, name) in names.iter().enumerate().filter(|(_, name)| *name != local) {
                let host = u8::try_from(host).expect("few hosts");
                let heartbeat = Heartbeat { reads_store: reads(name), ..heartbeat(name, 1) };
                peers.record_heartbeat(heartbeat, from(host), Duration::ZERO);
            }
            peers.reader_position(local, HEARTBEAT_INTERVAL, Duration::ZERO).is_some()
        };
        names.iter().filter(|name| is_reader(name)).cloned().collect()
    };
    let usual = readers(&|_| true);
    assert_eq!(usual.len(), STORE_READERS);
    let refused = usual[0].clone();
    let instead = readers(&|name| name != refused);
    assert!(instead.len() > STORE_READERS, "{instead:?} with {refused} refused by the store");
}

#[test]
fn an_entry_without_peers_reads_the_store_itself() {
    assert_eq!(Peers::default().reader_position("a", HEARTBEAT_INTERVAL, Duration::ZERO), Some(0));
}

#[test]
fn addresses_of_peers_are_learned_from_heartbeats() {
    let mut peers = Peers::default();
    let known_peers = vec![PeerAddr::of(from(7)).expect("IPv4")];
    peers.record_heartbeat(Heartbeat { known_peers, ..heartbeat("a", 1) }, from(1), Duration::ZERO);
    let mut recipients = peers.recipients(&[from(8)], Duration::ZERO);
    recipients.sort_unstable();
    assert_eq!(recipients, [from(1), from(7), from(8)]);
    assert_eq!(peers.recipients(&[from(8)], Duration::from_secs(60)), [from(8)]);
}

fn fleet(entries: u8) -> Peers {
    let mut peers = Peers::default();
    for host in 1..=entries {
        peers.record_heartbeat(heartbeat(&format!("entry-{host}"), 1), from(host), Duration::ZERO);
    }
    peers
}

#[test]
fn a_heartbeat_goes_to_a_bounded_number_of_entries_and_all_get_one_in_turn() {
    for entries in [5, 13, 58, 200] {
        let mut peers = fleet(entries);
        let recipients = peers.recipients(&[], Duration::ZERO);
        let rotation = peers.rotation();
        let mut sent_to: Vec<SocketAddr> = Vec::new();
        for sequence in 40..40 + rotation {
            let share: Vec<_> = peers::rotation_part(&recipients, sequence, rotation).collect();
            assert!(share.len() <= FANOUT, "{} of {entries}", share.len());
            sent_to.extend(share);
        }
        sent_to.sort_unstable();
        assert_eq!(sent_to, recipients);
    }
}

#[test]
fn entries_of_the_own_data_centre_get_each_heartbeat_of_a_large_fleet() {
    let mut peers = Peers::new("kafr");
    for host in 1..=98 {
        let data_centre = if host <= 16 { "kafr" } else { "tanta" }.to_owned();
        let sent = Heartbeat { data_centre, ..heartbeat(&format!("entry-{host}"), 1) };
        peers.record_heartbeat(sent, from(host), Duration::ZERO);
    }
    let recipients = peers.recipients(&[], Duration::ZERO);
    let near: Vec<SocketAddr> = (1..=16).map(from).collect();
    let mut reached = BTreeSet::new();
    for sequence in 0..peers.rotation() {
        let turn = peers.turn(&recipients, sequence);
        assert!(near.iter().all(|addr| turn.contains(addr)), "heartbeat {sequence}");
        assert!(turn.len() <= 2 * FANOUT, "{} recipients", turn.len());
        reached.extend(turn);
    }
    assert_eq!(reached.len(), 98, "all others within a rotation");
}

#[test]
fn an_entry_of_a_large_fleet_counts_as_silent_only_after_several_rotations() {
    let peers = fleet(120);
    let turn = HEARTBEAT_INTERVAL * u32::try_from(peers.rotation()).expect("a short rotation");
    assert_eq!(peers.live(HEARTBEAT_INTERVAL, turn * 4).count(), 120);
    assert_eq!(peers.live(HEARTBEAT_INTERVAL, turn * 5).count(), 0);
}

#[test]
fn each_entry_receives_all_addresses_over_a_few_heartbeats() {
    let peers = fleet(120);
    let rotation = peers.rotation();
    for turn in 0..rotation {
        let heartbeats = (0..400).filter(|sequence| sequence % rotation == turn);
        let addresses = heartbeats.flat_map(|sequence| {
            peers.peers_to_announce(HEARTBEAT_INTERVAL, Duration::ZERO, sequence)
        });
        let addresses: BTreeSet<SocketAddr> = addresses.filter_map(PeerAddr::addr).collect();
        assert_eq!(addresses.len(), 120, "turn {turn} of {rotation}");
    }
    let most = (0..400).map(|sequence| {
        peers.peers_to_announce(HEARTBEAT_INTERVAL, Duration::ZERO, sequence).len()
    });
    assert!(most.max() <= Some(MAX_PEER_ADDRS));
}

#[test]
fn addresses_are_a_small_part_of_the_heartbeats_once_no_entry_is_new() {
    let mut peers = fleet(120);
    // The entries of the fleet go on sending; none of them is new.
    let later = Duration::from_secs(10);
    for host in 1..=120 {
        peers.record_heartbeat(heartbeat(&format!("entry-{host}"), 2), from(host), later);
    }
    let rotation = peers.rotation();
    let announced = |now: Duration| -> usize {
        let sequences = 0..100 * rotation;
        sequences.map(|at| peers.peers_to_announce(HEARTBEAT_INTERVAL, now, at).len()).sum()
    };
    assert!(announced(later) * 4 < announced(Duration::ZERO), "{} addresses", announced(later));
    let heard: BTreeSet<SocketAddr> = (0..100 * rotation)
        .flat_map(|at| peers.peers_to_announce(HEARTBEAT_INTERVAL, later, at))
        .filter_map(PeerAddr::addr)
        .collect();
    assert_eq!(heard.len(), 120);
}

/// Time to send a configuration of a thousand routes over the network link of a small entry.
const TRANSFER_TIME: Duration = Duration::from_millis(180);

/// Simulates how a new configuration spreads from one entry, and returns how long that takes.
fn spread(entries: usize, data_centres: usize) -> Duration {
    let data_centre = |index: usize| format!("dc{}", index % data_centres);
    let mut has: BTreeSet<usize> = BTreeSet::from([0]);
    let mut draw = 7_u64;
    let mut took = Duration::ZERO;
    while has.len() < entries {
        let mut peers = Peers::default();
        for index in 0..entries {
            let heartbeat = Heartbeat {
                version: u64::from(has.contains(&index)) + 1,
                data_centre: data_centre(index),
                ..heartbeat(&format!("entry-{index}"), 1)
            };
            peers.record_heartbeat(
                heartbeat,
                from(u8::try_from(index).expect("few")),
                Duration::ZERO,
            );
        }
        let mut requests = vec![0; entries];
        let mut received = Vec::new();
        for index in (0..entries).filter(|index| !has.contains(index)) {
            draw = draw.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963);
            let known = KnownVersions { version: 1, ..KnownVersions::default() };
            let near = data_centre(index);
            let source =
                peers.find_newer(known, &near, draw >> 33, HEARTBEAT_INTERVAL, Duration::ZERO);
            let source = source.expect("one is ahead").addr;
            let position =
                (0..entries).find(|index| from(u8::try_from(*index).expect("few")) == source);
            let requests = &mut requests[position.expect("a known entry")];
            *requests += 1;
            if *requests <= transfer::MAX_TRANSFERS {
                received.push(index);
            }
        }
        has.extend(received);
        took += TRANSFER_TIME;
    }
    took
}

#[test]
fn a_large_configuration_reaches_a_large_fleet_within_two_seconds() {
    let took = [spread(13, 3), spread(58, 4), spread(200, 4)];
    assert!(took.iter().all(|took| *took <= Duration::from_secs(2)), "{took:?}");
}

#[test]
fn an_entry_with_the_newest_configuration_still_fetches_newer_targets() {
    let mut peers = Peers::default();
    let ahead = Heartbeat { version: 3, targets_at: 9, ..heartbeat("a", 1) };
    peers.record_heartbeat(ahead, from(1), Duration::ZERO);
    let source = |version, targets_at| {
        let targets_at = at(targets_at);
        let known = KnownVersions { version, targets_at, ..KnownVersions::default() };
        peers
            .find_newer(known, "dc", 0, HEARTBEAT_INTERVAL, Duration::ZERO)
            .map(|peer| peer.heartbeat.name.as_str())
    };
    assert_eq!(source(2, 9), Some("a"));
    assert_eq!(source(3, 8), Some("a"));
    assert_eq!(source(3, 9), None);
}
