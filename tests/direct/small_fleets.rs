//! Fleets of 3, 10 and 30 hosts: a group of any size takes requests once its ranks run, and callers of
//! one that cannot open are refused without a wait.

use std::time::Duration;

use bitternwall::collections::Map;
use bitternwall::direct::decisions::outages::{Finding, Outages};
use bitternwall::direct::decisions::target_choice::{self, Criteria, NoChoice};
use bitternwall::direct::decisions::targets::Targets;

use crate::target_choice::target;

/// Entries, and ranks of the only group.
const FLEETS: [(usize, u16); 3] = [(1, 2), (4, 6), (10, 20)];

const HEARTBEAT: Duration = Duration::from_millis(100);

fn criteria(draw: u32) -> Criteria<'static> {
    Criteria {
        service: "model",
        fill: 1.0,
        pause_goal: None,
        tried: &[],
        draw,
        kept: 0.0,
        last_places: target_choice::LAST_PLACES,
    }
}

/// Returns the tables of a fleet's entries, whose agents have reported the group as open or closed.
fn fleet(entries: usize, ranks: u16, open: bool) -> Vec<Targets> {
    let mut fleet = vec![Targets::new("kafr"); entries];
    for entry in &mut fleet {
        for rank in 0..ranks {
            let target = target(&format!("rank-{rank}"), 7_000 + rank);
            let addr = target.addr;
            entry.upsert(target);
            entry.set_group_state(addr, "g0", open, Duration::ZERO);
        }
    }
    fleet
}

#[test]
fn a_fleet_of_any_size_serves_from_the_first_second() {
    for (entries, ranks) in FLEETS {
        let mut fleet = fleet(entries, ranks, true);
        let slots = fleet[0].iter().map(|target| target.slots).sum::<u32>();
        let requests = usize::try_from(slots).expect("small") * 8 / 10;
        let mut loads: Map<String, u32> = Map::default();
        let mut served = 0;
        for request in 0..requests {
            let now = HEARTBEAT * u32::try_from(request / entries).expect("small");
            let entry = &mut fleet[request % entries];
            let local: Map<String, u32> =
                entry.local_loads().map(|(id, load)| (id.to_owned(), load)).collect();
            let of_others = |(id, load): (&String, &u32)| {
                (id.clone(), load - local.get(id).copied().unwrap_or(0))
            };
            entry.set_peer_loads(loads.iter().map(of_others).collect());
            let draw = u32::try_from(request).expect("small").wrapping_mul(0x9E37_79B1);
            if let Ok(choice) = entry.choose(&criteria(draw), now) {
                entry.request_started(&choice.target.id);
                *loads.entry(choice.target.id).or_default() += 1;
                served += 1;
            }
        }
        assert!(served * 100 >= requests * 95, "{entries} entries: {served} of {requests}");
    }
}

#[test]
fn callers_of_a_group_that_cannot_open_do_not_wait_for_it() {
    for (entries, ranks) in FLEETS {
        let fleet = fleet(entries, ranks, false);
        let now = Duration::from_secs(1);
        for entry in &fleet {
            let reason = entry.choose(&criteria(7), now).unwrap_err();
            assert_eq!(reason, NoChoice::AllUnavailable);
        }
    }
    let mut outages = Outages::default();
    let mut found = |second: u64| outages.record("model", Duration::from_secs(second));
    assert!((0..10).all(|second| found(second) == Finding::Short));
    assert_eq!(found(10), Finding::BecameLong);
    assert_eq!(found(11), Finding::Long);
    assert_eq!(found(30), Finding::Short, "nothing says that it went on for these 19 s");
    assert!(!outages.end("model"));
}

#[test]
fn requests_wait_again_once_a_target_was_available() {
    let mut outages = Outages::default();
    for second in 0..=12 {
        outages.record("model", Duration::from_secs(second));
    }
    assert!(outages.end("model"), "a long one has ended");
    assert!(!outages.end("model"));
    assert_eq!(outages.record("model", Duration::from_secs(13)), Finding::Short);
}
