//! The operator empties data centres, and takes them back.

use std::time::Duration;

use bitternwall::collections::{Map, Set};
use bitternwall::direct::decisions::target_choice::{self, Criteria, NoChoice};
use bitternwall::direct::decisions::targets::Targets;
use bitternwall::direct::known::cluster_state::KnownVersions;
use bitternwall::direct::known::heartbeat::Heartbeat;
use bitternwall::direct::known::peers::Peers;
use bitternwall::direct::known::standing::{Standing, StandingMessage};
use bitternwall::direct::known::store::Position;
use bitternwall::direct::known::target::Target;

use crate::target_choice::target;

const NOW: Duration = Duration::from_secs(100);

fn table() -> Targets {
    let mut targets = Targets::new("a");
    for (id, port, data_centre) in [("t0", 1, "a"), ("t1", 2, "a"), ("t2", 3, "b")] {
        targets.upsert(Target { data_centre: data_centre.to_owned(), ..target(id, port) });
    }
    targets
}

fn emptied(targets: &mut Targets, names: &[&str]) {
    let names: Set<String> = names.iter().map(|name| (*name).to_owned()).collect();
    targets.set_emptied(names, NOW);
}

/// Returns the targets that 100 requests are sent to, or the reason that one is sent to none.
fn chosen(targets: &Targets, tried: &[String]) -> Result<Set<String>, NoChoice> {
    let criteria = |draw: u32| Criteria {
        service: "model",
        fill: 1.0,
        pause_goal: None,
        tried,
        draw: draw.wrapping_mul(2_654_435_761),
        kept: 0.0,
        last_places: target_choice::LAST_PLACES,
    };
    (0..100).map(|draw| Ok(targets.choose(&criteria(draw), NOW)?.target.id)).collect()
}

fn ids(ids: &[&str]) -> Set<String> {
    ids.iter().map(|id| (*id).to_owned()).collect()
}

fn at(revision: u64) -> Position {
    Position { era: 1, revision }
}

fn known(emptied: &[(&str, u64)], revision: u64) -> Standing {
    let mut standing = Standing::default();
    let emptied = emptied.iter().map(|(name, revision)| ((*name).to_owned(), *revision));
    standing.replace(emptied.collect(), at(revision));
    standing
}

fn names(standing: &Standing) -> Set<String> {
    standing.emptied().map(|(name, _)| name.to_owned()).collect()
}

#[test]
fn targets_of_an_emptied_data_centre_get_no_requests_until_it_is_taken_back() {
    let mut targets = table();
    assert_eq!(chosen(&targets, &[]), Ok(ids(&["t0", "t1", "t2"])));
    targets.request_started("t0");
    emptied(&mut targets, &["a"]);
    assert_eq!(chosen(&targets, &[]), Ok(ids(&["t2"])));
    assert_eq!(targets.load("t0"), 1, "a request in flight ends there");
    targets.upsert(Target { data_centre: "a".to_owned(), ..target("t3", 4) });
    assert_eq!(chosen(&targets, &[]), Ok(ids(&["t2"])), "also one that starts meanwhile");
    emptied(&mut targets, &[]);
    assert_eq!(chosen(&targets, &[]), Ok(ids(&["t0", "t1", "t2", "t3"])));
}

#[test]
fn a_request_is_refused_for_that_reason_only_where_no_other_target_is_left() {
    let mut targets = table();
    emptied(&mut targets, &["a", "b"]);
    assert_eq!(chosen(&targets, &[]), Err(NoChoice::AllEmptied), "two keys at once");
    emptied(&mut targets, &["a"]);
    assert_eq!(
        chosen(&targets, &["t2".to_owned()]),
        Err(NoChoice::AllEmptied),
        "the rest is tried"
    );
    targets.remove("t2");
    assert_eq!(chosen(&targets, &[]), Err(NoChoice::AllEmptied), "another one is lost");
    targets.remove("t0");
    targets.remove("t1");
    assert_eq!(chosen(&targets, &[]), Err(NoChoice::NoTargets));
}

#[test]
fn an_unknown_or_misspelled_name_empties_nothing() {
    let mut targets = table();
    emptied(&mut targets, &["A", "c", ""]);
    assert_eq!(chosen(&targets, &[]), Ok(ids(&["t0", "t1", "t2"])));
}

#[test]
fn a_request_that_is_taken_back_within_a_second_leaves_nothing_behind() {
    let mut standing = known(&[], 10);
    assert!(standing.change("a", true, at(11)));
    assert_eq!(names(&standing), ids(&["a"]));
    assert!(standing.change("a", false, at(12)));
    assert_eq!(names(&standing), ids(&[]));
    assert!(!standing.change("a", true, at(11)), "a late answer");
    assert_eq!((names(&standing), standing.position()), (ids(&[]), at(12)));
    assert!(standing.change("a", true, at(13)), "again while it comes back");
    assert_eq!(names(&standing), ids(&["a"]));
}

#[test]
fn a_list_read_later_counts_and_an_older_one_does_not() {
    let mut standing = known(&[("a", 5)], 10);
    let list = |names: &[(&str, u64)]| -> Map<String, u64> {
        names.iter().map(|(name, revision)| ((*name).to_owned(), *revision)).collect()
    };
    assert!(!standing.replace(list(&[]), at(9)));
    assert!(!standing.replace(list(&[("a", 5)]), at(20)), "nothing new");
    assert_eq!(standing.position(), at(10), "so no entry fetches it again");
    assert!(standing.replace(list(&[("b", 21)]), at(21)));
    assert_eq!(names(&standing), ids(&["b"]));
    let later_era = Position { era: 2, revision: 3 };
    assert!(standing.replace(list(&[]), later_era), "the store came back from an older copy");
    assert!(!standing.change("b", true, at(30)), "a change of the former era");
}

#[test]
fn nothing_is_known_before_the_first_list() {
    let mut standing = Standing::default();
    assert!(!standing.is_known());
    assert!(!standing.change("a", true, at(3)), "a change alone does not tell the rest");
    standing.replace(Map::default(), at(4));
    assert!(standing.is_known());
}

#[test]
fn an_entry_without_a_reader_hears_of_it_from_the_others() {
    let mut peers = Peers::default();
    let ahead = Heartbeat {
        name: "b".to_owned(),
        sequence: 1,
        standing_era: 1,
        standing_at: 7,
        ..Heartbeat::default()
    };
    peers.record_heartbeat(ahead, ([10, 0, 0, 1], 1).into(), NOW);
    let source = |standing_at| {
        let known = KnownVersions { standing_at, ..KnownVersions::default() };
        peers.find_newer(known, "a", 0, Duration::from_millis(100), NOW).is_some()
    };
    assert!(source(at(6)));
    assert!(!source(at(7)));
}

#[test]
fn heartbeats_tell_of_few_data_centres_and_the_rest_is_fetched() {
    let few = known(&[("kgn-b", 7)], 7);
    let (emptied, position) = StandingMessage::brief(&few).expect("few").content();
    let mut heard = Standing::default();
    assert!(heard.replace(emptied, position));
    assert_eq!(heard, few);
    let many: Vec<(String, u64)> = (0..40).map(|index| (format!("typo-{index}"), index)).collect();
    let mut standing = Standing::default();
    standing.replace(many.into_iter().collect(), at(40));
    assert!(StandingMessage::brief(&standing).is_none());
    let (emptied, position) = StandingMessage::newer(&standing, at(39)).expect("newer").content();
    assert_eq!((emptied.len(), position), (40, at(40)));
    assert!(StandingMessage::newer(&standing, at(40)).is_none());
}
