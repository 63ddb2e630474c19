//! Choices of a target on a deployment without priorities, cold targets or evacuations are those that
//! were recorded before these parts were built.
//!
//! The recording is the digest of 6,000 choices by 13 entries, among two groups of eight ranks and a
//! plain service, with loads that entries exchange, pauses around the objective, and failures.

use std::time::Duration;

use bitternwall::collections::Map;
use bitternwall::direct::decisions::pass_time::PauseGoal;
use bitternwall::direct::decisions::target_choice::{self, Criteria};
use bitternwall::direct::decisions::targets::Targets;
use bitternwall::direct::known::target::{Outcome, Target};

const ENTRIES: usize = 13;
const RANKS: u16 = 16;
const CHOICES: u32 = 6_000;
/// The digest on b4a59aa.
const RECORDED: u64 = 8_143_880_453_667_471_937;

const GOAL: PauseGoal =
    PauseGoal { objective: Duration::from_millis(120), empty_pass: Duration::from_millis(41) };

/// A sequence of pseudo-random numbers.
struct Draws(u64);

impl Draws {
    fn next(&mut self) -> u32 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        u32::try_from(self.0 >> 32).expect("32 bits")
    }

    fn below(&mut self, limit: u32) -> u32 {
        self.next() % limit
    }
}

fn table(entry: usize) -> Targets {
    let data_centres = ["kafr", "damietta", "tanta"];
    let mut targets = Targets::new(data_centres[entry % 3]);
    for rank in 0..RANKS + 3 {
        let service = if rank < RANKS { "model" } else { "plain" };
        let slots = if rank < RANKS { 12 } else { 6 };
        let target = crate::target_choice::target(&format!("t{rank}"), 1_000 + rank);
        let data_centre = data_centres[usize::from(rank) % 3].to_owned();
        targets.upsert(Target { service: service.to_owned(), slots, data_centre, ..target });
        if rank < RANKS {
            let group = if rank < RANKS / 2 { "a" } else { "b" };
            let addr = ([127, 0, 0, 1], 1_000 + rank).into();
            targets.set_group_state(addr, group, true, Duration::ZERO);
        }
    }
    targets
}

fn exchange_loads(entries: &mut [Targets]) {
    let loads: Vec<Vec<(String, u32)>> = entries
        .iter()
        .map(|entry| entry.local_loads().map(|(id, load)| (id.to_owned(), load)).collect())
        .collect();
    for (index, entry) in entries.iter_mut().enumerate() {
        let mut peers: Map<String, u32> = Map::default();
        let others = loads.iter().enumerate().filter(|(other, _)| *other != index);
        for (id, load) in others.flat_map(|(_, loads)| loads) {
            *peers.entry(id.clone()).or_default() += load;
        }
        entry.set_peer_loads(peers);
    }
}

#[test]
fn choices_without_priorities_cold_targets_or_evacuations_are_as_recorded() {
    let mut entries: Vec<Targets> = (0..ENTRIES).map(table).collect();
    let mut draws = Draws(7);
    let mut running: Vec<(usize, String)> = Vec::new();
    let mut chosen = String::new();
    for choice in 0..CHOICES {
        let now = Duration::from_millis(u64::from(choice) * 7);
        let entry = usize::try_from(draws.below(13)).expect("small");
        let model = draws.below(4) > 0;
        let criteria = Criteria {
            service: if model { "model" } else { "plain" },
            fill: if model { 1.0 } else { 1.5 },
            pause_goal: model.then_some(GOAL),
            tried: &[],
            draw: draws.next(),
            kept: 0.0,
            last_places: target_choice::LAST_PLACES,
        };
        match entries[entry].choose(&criteria, now) {
            Ok(choice) => {
                entries[entry].request_started(&choice.target.id);
                chosen.push_str(&choice.target.id);
                running.push((entry, choice.target.id));
            }
            Err(reason) => chosen.push_str(&format!("{reason:?}")),
        }
        chosen.push(' ');
        if choice % 3 > 0 && running.len() > 40 {
            let index = usize::try_from(draws.next()).expect("64 bits") % running.len();
            let (entry, id) = running.swap_remove(index);
            let outcome = match draws.below(40) {
                0 => Outcome::Broken,
                1 => Outcome::Failed,
                2 | 3 => Outcome::Full,
                _ => Outcome::Answered,
            };
            entries[entry].record(&id, outcome, now);
            let pause = Duration::from_millis(u64::from(60 + draws.below(100)));
            entries[entry].record_pause(&id, pause, now);
            entries[entry].request_ended(&id);
        }
        if choice % 15 == 0 {
            exchange_loads(&mut entries);
        }
    }
    assert_eq!(xxhash_rust::xxh3::xxh3_64(chosen.as_bytes()), RECORDED, "{chosen:.200}");
}
