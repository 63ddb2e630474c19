//! Which target a request is sent to while many entries share few targets.

use std::time::Duration;

use bitternwall::collections::Map;
use bitternwall::direct::decisions::admission::ServiceLoad;
use bitternwall::direct::decisions::pass_time::{PassTime, PauseGoal};
use bitternwall::direct::decisions::target_choice::{self, Criteria, NoChoice};
use bitternwall::direct::decisions::targets::Targets;
use bitternwall::direct::known::target::{Outcome, Target};

const NOW: Duration = Duration::from_secs(100);

pub fn target(id: &str, port: u16) -> Target {
    Target {
        id: id.to_owned(),
        service: "model".to_owned(),
        addr: ([127, 0, 0, 1], port).into(),
        data_centre: "kafr".to_owned(),
        slots: 4,
        leaving: false,
        started_unix_ms: Some(1),
        cold_left: Ok(None),
    }
}

fn table(count: u16) -> Targets {
    let mut targets = Targets::new("kafr");
    (0..count).for_each(|index| targets.upsert(target(&format!("t{index}"), 1_000 + index)));
    targets
}

fn criteria<'a>(tried: &'a [String], draw: u32) -> Criteria<'a> {
    Criteria {
        service: "model",
        fill: 1.0,
        pause_goal: None,
        tried,
        draw,
        kept: 0.0,
        last_places: target_choice::LAST_PLACES,
    }
}

#[test]
fn entries_that_exchange_loads_fill_targets_evenly() {
    const ENTRIES: usize = 13;
    let mut tables = vec![table(4); ENTRIES];
    for request in 0..16_usize {
        let entry = request % ENTRIES;
        let draw = u32::try_from(request).expect("small").wrapping_mul(2_654_435_761);
        let choice = tables[entry].choose(&criteria(&[], draw), NOW).expect("free slots");
        tables[entry].request_started(&choice.target.id);
        exchange_loads(&mut tables);
    }
    for index in 0..4 {
        assert_eq!(tables[0].load(&format!("t{index}")), 4);
    }
    assert_eq!(tables[5].choose(&criteria(&[], 1), NOW), Err(NoChoice::AllFull));
}

fn exchange_loads(tables: &mut [Targets]) {
    let local_loads: Vec<Vec<(String, u32)>> = tables
        .iter()
        .map(|table| table.local_loads().map(|(id, load)| (id.to_owned(), load)).collect())
        .collect();
    for (index, table) in tables.iter_mut().enumerate() {
        let mut peer_loads: Map<String, u32> = Map::default();
        let rest = local_loads.iter().enumerate().filter(|(other, _)| *other != index);
        rest.flat_map(|(_, loads)| loads)
            .for_each(|(id, load)| *peer_loads.entry(id.clone()).or_default() += load);
        table.set_peer_loads(peer_loads);
    }
}

#[test]
fn a_leaving_or_tried_target_gets_no_requests() {
    let mut targets = table(2);
    targets.upsert(Target { leaving: true, ..target("t0", 1_000) });
    let choice = targets.choose(&criteria(&[], 0), NOW).expect("one target is left");
    assert_eq!(choice.target.id, "t1");
    let tried = ["t1".to_owned()];
    assert_eq!(targets.choose(&criteria(&tried, 0), NOW), Err(NoChoice::NoTargets));
}

#[test]
fn a_broken_target_is_ejected_for_longer_each_time_and_recovers() {
    let mut targets = table(1);
    let first = targets.record("t0", Outcome::Broken, NOW).expect("an ejection");
    assert_eq!(targets.choose(&criteria(&[], 0), NOW), Err(NoChoice::AllUnavailable));
    assert_eq!(targets.record("t0", Outcome::Broken, NOW), None, "ejected already");
    let later = NOW + first;
    assert!(targets.choose(&criteria(&[], 0), later).is_ok());
    let second = targets.record("t0", Outcome::Broken, later).expect("an ejection");
    assert_eq!(second, first * 2);
    targets.record("t0", Outcome::Answered, later + second);
    let third = targets.record("t0", Outcome::Broken, later + second).expect("an ejection");
    assert_eq!(third, first);
}

#[test]
fn a_target_that_fails_half_of_its_requests_gets_few() {
    let mut targets = table(3);
    let mut counts: Map<String, u32> = Map::default();
    for request in 0..600_u32 {
        let draw = request.wrapping_mul(2_654_435_761);
        let id = targets.choose(&criteria(&[], draw), NOW).expect("free slots").target.id;
        let failed = id == "t0" && request % 2 == 0;
        targets.record(&id, if failed { Outcome::Failed } else { Outcome::Answered }, NOW);
        *counts.entry(id).or_default() += 1;
    }
    let failing = counts.get("t0").copied().unwrap_or(0);
    assert!(failing < 100, "{failing} of 600");
}

#[test]
fn a_new_incarnation_under_an_old_id_starts_with_a_clean_record() {
    let mut targets = table(1);
    targets.record("t0", Outcome::Replaced, NOW);
    assert!(targets.choose(&criteria(&[], 0), NOW).is_err());
    targets.upsert(Target { started_unix_ms: Some(2), ..target("t0", 1_000) });
    assert!(targets.choose(&criteria(&[], 0), NOW).is_ok());
}

#[test]
fn slots_are_released_when_requests_end_even_after_the_target_is_removed() {
    let mut targets = table(1);
    targets.request_started("t0");
    targets.remove("t0");
    assert_eq!(targets.load("t0"), 1);
    targets.request_ended("t0");
    assert_eq!(targets.load("t0"), 0);
}

#[test]
fn a_closed_group_gets_no_requests_until_its_agent_reports_it_open_or_falls_silent() {
    let mut targets = table(1);
    let addr = target("t0", 1_000).addr;
    assert_eq!(targets.set_group_state(addr, "g", false, NOW), Some("t0".to_owned()));
    assert_eq!(targets.set_group_state(addr, "g", false, NOW), None, "unchanged");
    assert_eq!(targets.choose(&criteria(&[], 0), NOW), Err(NoChoice::AllUnavailable));
    assert!(targets.choose(&criteria(&[], 0), NOW + Duration::from_secs(3)).is_ok());
    targets.set_group_state(addr, "g", false, NOW);
    targets.record("t0", Outcome::Broken, NOW);
    assert_eq!(targets.set_group_state(addr, "g", true, NOW), Some("t0".to_owned()));
    assert!(targets.choose(&criteria(&[], 0), NOW).is_ok(), "a new group starts without failures");
}

#[test]
fn a_server_whose_answers_pause_too_long_gets_fewer_requests_and_more_again_later() {
    let goal =
        PauseGoal { objective: Duration::from_millis(120), empty_pass: Duration::from_millis(30) };
    let mut targets = table(1);
    (0..4).for_each(|_| targets.request_started("t0"));
    let room = Criteria { pause_goal: Some(goal), fill: 2.0, ..criteria(&[], 0) };
    assert!(targets.choose(&room, NOW).is_ok());
    (0..20).for_each(|_| targets.record_pause("t0", Duration::from_millis(250), NOW));
    assert_eq!(targets.choose(&room, NOW), Err(NoChoice::AllFull));
    (0..20).for_each(|_| targets.record_pause("t0", Duration::from_millis(60), NOW));
    assert!(targets.choose(&room, NOW).is_ok());
}

#[test]
fn a_few_requests_are_always_sent_so_that_the_pass_time_stays_known() {
    let goal =
        PauseGoal { objective: Duration::from_millis(120), empty_pass: Duration::from_millis(30) };
    let mut pass_time = PassTime::default();
    pass_time.observe(Duration::from_secs(9), NOW);
    assert!((pass_time.concurrency_limit(&goal, 12.0, 1, NOW) - 3.0).abs() < 1e-9);
    assert!(
        (pass_time.concurrency_limit(&goal, 12.0, 1, NOW + Duration::from_secs(5)) - 12.0).abs()
            < 1e-9
    );
}

#[test]
fn one_closed_rank_ejects_its_group_but_no_other() {
    let mut targets = table(4);
    for (index, group) in ["a", "a", "b", "b"].iter().enumerate() {
        let port = 1_000 + u16::try_from(index).expect("few");
        targets.set_group_state(([127, 0, 0, 1], port).into(), group, true, NOW);
    }
    targets.record("t0", Outcome::Closed, NOW);
    for draw in 0..20_u32 {
        let choice = targets.choose(&criteria(&[], draw.wrapping_mul(2_654_435_761)), NOW);
        let id = choice.expect("the other group is open").target.id;
        assert!(["t2", "t3"].contains(&id.as_str()), "{id}");
    }
}

#[test]
fn a_closed_rank_of_an_unknown_group_ejects_all_of_its_service() {
    let mut targets = table(4);
    targets.record("t0", Outcome::Closed, NOW);
    assert_eq!(targets.choose(&criteria(&[], 0), NOW), Err(NoChoice::AllUnavailable));
    assert!(targets.choose(&criteria(&[], 0), NOW + Duration::from_millis(700)).is_ok());
}

#[test]
fn all_ranks_of_a_group_open_with_the_first_that_is_reported_open() {
    let mut targets = table(3);
    let addr = |index: u16| ([127, 0, 0, 1], 1_000 + index).into();
    (0..3).for_each(|index| {
        targets.set_group_state(addr(index), "a", false, NOW);
    });
    assert_eq!(targets.choose(&criteria(&[], 0), NOW), Err(NoChoice::AllUnavailable));
    targets.set_group_state(addr(1), "a", true, NOW);
    let tried = ["t1".to_owned()];
    assert!(targets.choose(&criteria(&tried, 0), NOW).is_ok());
}

#[test]
fn silence_counts_against_a_target_only_where_answers_usually_begin_in_time() {
    let mut load = ServiceLoad::default();
    assert!(load.is_overloaded(), "no answers yet");
    (0..10).for_each(|_| load.record_first_event(0.5));
    assert!(!load.is_overloaded());
    (0..10).for_each(|_| load.record_first_event(3.0));
    assert!(load.is_overloaded());
}

#[test]
fn a_group_that_one_rank_slows_down_is_chosen_only_if_the_others_are_full() {
    let goal =
        PauseGoal { objective: Duration::from_millis(120), empty_pass: Duration::from_millis(10) };
    let mut targets = table(4);
    for (index, group) in ["a", "a", "b", "b"].iter().enumerate() {
        let port = 1_000 + u16::try_from(index).expect("few");
        targets.set_group_state(([127, 0, 0, 1], port).into(), group, true, NOW);
    }
    (0..3).for_each(|_| targets.record_pause("t0", Duration::from_millis(760), NOW));
    let mut answered_by = Vec::new();
    for request in 0..12_u32 {
        let wanted = Criteria {
            pause_goal: Some(goal),
            ..criteria(&[], request.wrapping_mul(2_654_435_761))
        };
        let Ok(choice) = targets.choose(&wanted, NOW) else { break };
        targets.request_started(&choice.target.id);
        answered_by.push(choice.target.id);
    }
    assert!(answered_by[..8].iter().all(|id| ["t2", "t3"].contains(&id.as_str())));
    assert!(answered_by[8..].iter().all(|id| ["t0", "t1"].contains(&id.as_str())));
    assert!(answered_by.len() > 8, "the slow group serves what no other one has a slot for");
    let wanted = Criteria { pause_goal: Some(goal), ..criteria(&[], 0) };
    let later = targets.choose(&wanted, NOW + Duration::from_secs(2)).expect("a free slot");
    assert!(["t0", "t1"].contains(&later.target.id.as_str()), "its average is outdated");
}

#[test]
fn a_target_in_a_backoff_gets_nothing_and_its_group_goes_on() {
    let mut targets = table(3);
    for index in 0..3 {
        targets.set_group_state(([127, 0, 0, 1], 1_000 + index).into(), "a", true, NOW);
    }
    let backoff = Duration::from_secs(3);
    assert!(targets.record_backoff(&target("t0", 1_000), backoff, NOW));
    targets.record("t0", Outcome::Full, NOW);
    for draw in 0..20_u32 {
        let now = NOW + backoff - Duration::from_millis(1);
        let choice = targets.choose(&criteria(&[], draw.wrapping_mul(2_654_435_761)), now);
        assert_ne!(choice.expect("the others are free").target.id, "t0");
    }
    assert_eq!(targets.backoff_left("model", NOW), None, "others are free");
}

#[test]
fn targets_that_all_back_off_are_tried_one_request_at_a_time_afterwards() {
    let mut targets = table(2);
    targets.record_backoff(&target("t0", 1_000), Duration::from_secs(3), NOW);
    targets.record_backoff(&target("t1", 1_001), Duration::from_secs(2), NOW);
    assert_eq!(targets.choose(&criteria(&[], 0), NOW), Err(NoChoice::AllBackingOff));
    assert_eq!(targets.backoff_left("model", NOW), Some(Duration::from_secs(2)));
    let end = NOW + Duration::from_secs(2);
    assert_eq!(targets.next_available_at("model", NOW), Some(end));
    let choice = targets.choose(&criteria(&[], 0), end).expect("its backoff has ended");
    assert_eq!(choice.target.id, "t1");
    targets.request_started("t1");
    assert_eq!(targets.choose(&criteria(&[], 0), end), Err(NoChoice::AllFull));
    targets.record("t1", Outcome::Answered, end);
    assert!(targets.choose(&criteria(&[], 0), end).is_ok(), "it takes requests again");
}

#[test]
fn a_target_whose_record_lapses_and_returns_is_still_in_its_backoff() {
    let mut targets = table(1);
    targets.record_backoff(&target("t0", 1_000), Duration::from_secs(3), NOW);
    targets.remove("t0");
    targets.upsert(target("t0", 1_000));
    assert_eq!(targets.choose(&criteria(&[], 0), NOW), Err(NoChoice::AllBackingOff));
    targets.upsert(Target { started_unix_ms: Some(2), ..target("t0", 1_000) });
    assert!(targets.choose(&criteria(&[], 0), NOW).is_ok(), "another incarnation");
}

#[test]
fn a_target_that_said_that_it_leaves_gets_nothing_whatever_its_record_says() {
    let mut targets = table(2);
    assert!(targets.record_leaving(&target("t0", 1_000), NOW));
    assert!(!targets.record_leaving(&target("t0", 1_000), NOW), "said again");
    targets.remove("t0");
    targets.upsert(target("t0", 1_000));
    let choice = targets.choose(&criteria(&[], 0), NOW).expect("the other one");
    assert_eq!(choice.target.id, "t1");
    let tried = ["t1".to_owned()];
    assert_eq!(targets.choose(&criteria(&tried, 0), NOW), Err(NoChoice::NoTargets));
}

#[test]
fn what_an_earlier_incarnation_says_does_not_concern_the_next_one() {
    let mut targets = table(1);
    let earlier = target("t0", 1_000);
    targets.record_leaving(&earlier, NOW);
    targets.record_backoff(&earlier, Duration::from_secs(3), NOW);
    targets.upsert(Target { started_unix_ms: Some(2), ..earlier.clone() });
    assert!(targets.choose(&criteria(&[], 0), NOW).is_ok());
    assert!(!targets.record_leaving(&earlier, NOW), "a late answer");
    assert!(!targets.record_backoff(&earlier, Duration::from_secs(3), NOW), "a late answer");
    assert!(targets.choose(&criteria(&[], 0), NOW).is_ok());
}

#[test]
fn a_slow_rank_gets_fewer_requests_than_the_others() {
    let mut targets = table(4);
    targets.set_slowness(([127, 0, 0, 1], 1_000).into(), 320);
    for draw in 0..9_u32 {
        let draw = draw.wrapping_mul(2_654_435_761);
        let choice = targets.choose(&criteria(&[], draw), NOW).expect("free slots");
        targets.request_started(&choice.target.id);
    }
    assert!(targets.load("t0") <= 1, "{} requests at the slow rank", targets.load("t0"));
    let draw = 7;
    while targets.choose(&criteria(&[], draw), NOW).is_ok_and(|choice| choice.target.id != "t0") {
        let choice = targets.choose(&criteria(&[], draw), NOW).expect("free slots");
        targets.request_started(&choice.target.id);
    }
    assert!(targets.choose(&criteria(&[], draw), NOW).is_ok(), "its slots are used at the end");
}

#[test]
fn a_large_fleet_keeps_requests_where_loads_are_fresh() {
    let remote_requests = |age: f64| {
        let mut targets = table(4);
        targets.set_remote_load_age(age);
        for index in 2..4_u16 {
            let remote = target(&format!("t{index}"), 1_000 + index);
            targets.upsert(Target { data_centre: "tanta".to_owned(), ..remote });
        }
        for draw in 0..6_u32 {
            let draw = draw.wrapping_mul(2_654_435_761).rotate_left(7);
            let choice = targets.choose(&criteria(&[], draw), NOW).expect("free slots");
            targets.request_started(&choice.target.id);
        }
        targets.load("t2") + targets.load("t3")
    };
    assert!(remote_requests(7.0) < remote_requests(1.0), "{}", remote_requests(7.0));
    assert!(remote_requests(7.0) <= 1);
}

#[test]
fn a_group_with_a_rank_too_slow_for_any_answer_takes_what_the_others_cannot() {
    let goal =
        PauseGoal { objective: Duration::from_millis(150), empty_pass: Duration::from_millis(47) };
    let mut targets = table(4);
    for (port, group) in [(1_000, "slow"), (1_001, "slow"), (1_002, "sound"), (1_003, "sound")] {
        targets.set_group_state(([127, 0, 0, 1], port).into(), group, true, NOW);
    }
    targets.set_slowness(([127, 0, 0, 1], 1_000).into(), 320);
    let mut chosen = Vec::new();
    for draw in 0..16_u32 {
        let draw = draw.wrapping_mul(2_654_435_761) & 0x00ff_ffff;
        let criteria = Criteria { pause_goal: Some(goal), ..criteria(&[], draw) };
        let Ok(choice) = targets.choose(&criteria, NOW) else { break };
        targets.request_started(&choice.target.id);
        // Passes of a group whose slowest rank takes 150 ms for an empty one.
        targets.record_pause("t1", Duration::from_millis(180), NOW);
        chosen.push(choice.target.id);
    }
    let sound = |id: &&String| ["t2", "t3"].contains(&id.as_str());
    let first = chosen.iter().take_while(sound).count();
    assert!(first >= 6, "the sound group is filled first: {chosen:?}");
    assert!(chosen.len() > first + 4, "the slow group takes the rest: {chosen:?}");
}
