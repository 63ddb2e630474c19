//! The times of a store reader's calls follow from the time within which changes are in force.

use std::time::Duration;

use bitternwall::direct::decisions::read_times::ReadTimes;
use bitternwall::direct::known::confirmation::{AnswerId, Confirmations};
use bitternwall::direct::known::store::Collection;
use proptest::prelude::*;

const USUAL_ANSWER: Duration = Duration::from_millis(4);
/// From the moment at which one entry has a change until all have it.
const SPREAD_TIME: Duration = Duration::from_millis(200);

proptest! {
    /// The longest watch call without an answer, a new read of a store that answers as usual, and
    /// the way to the other entries take less than a change may.
    #[test]
    fn an_unanswered_watch_and_a_new_read_fit_into_the_time_for_changes(
        in_force_ms in 1_500_u64..60_000,
        draw in 0.0_f64..1.0,
    ) {
        let in_force = Duration::from_millis(in_force_ms);
        let times = ReadTimes::new(in_force);
        let unanswered = times.watch_wait(true, draw) + times.answer_time(USUAL_ANSWER);
        let pause = times.retry_pause(1, unanswered, draw);
        prop_assert!(unanswered + pause + USUAL_ANSWER + SPREAD_TIME <= in_force);
        let max_age = times.max_age(USUAL_ANSWER);
        prop_assert!(max_age + USUAL_ANSWER + SPREAD_TIME <= in_force, "the others give up in time");
        prop_assert!(max_age >= unanswered, "the others do not give up before the first reader");
        let own_read_age = times.own_read_age(USUAL_ANSWER);
        prop_assert!(own_read_age > max_age, "the readers go before all others");
        prop_assert!(own_read_age + USUAL_ANSWER + SPREAD_TIME <= in_force, "all others ask in time");
    }

    /// Each pause between two failed calls leaves time for a call, whatever failed before.
    #[test]
    fn a_pause_leaves_time_for_a_call(failures in 1_u32..1_000, draw in 0.0_f64..1.0) {
        let in_force = Duration::from_secs(2);
        let pause = ReadTimes::new(in_force).retry_pause(failures, Duration::ZERO, draw);
        prop_assert!(pause >= Duration::from_millis(50), "a refusing store is not flooded");
        prop_assert!(pause + SPREAD_TIME < in_force);
    }
}

#[test]
fn a_slow_store_is_given_twice_the_time_of_its_last_answer() {
    let times = ReadTimes::new(Duration::from_secs(2));
    assert_eq!(times.answer_time(USUAL_ANSWER), Duration::from_millis(400));
    assert_eq!(times.answer_time(Duration::from_millis(600)), Duration::from_millis(1_200));
    assert_eq!(times.answer_time(Duration::from_secs(30)), Duration::from_secs(2));
}

#[test]
fn only_the_first_reader_asks_often() {
    let times = ReadTimes::new(Duration::from_secs(2));
    assert_eq!(times.watch_wait(true, 0.0), Duration::from_millis(900));
    assert_eq!(times.watch_wait(false, 0.0), Duration::from_secs(8));
    let large = ReadTimes::new(Duration::from_secs(600));
    assert!(large.watch_wait(false, 0.0) <= Duration::from_secs(30), "stores allow no more");
}

#[test]
fn a_call_that_was_waited_for_needs_no_pause_besides() {
    let times = ReadTimes::new(Duration::from_secs(2));
    assert_eq!(times.retry_pause(9, Duration::from_millis(1_500), 1.0), Duration::ZERO);
}

#[test]
fn an_age_counts_from_the_latest_confirmation_and_changes_are_told_once() {
    let confirmations = Confirmations::default();
    let (collection, limit) = (Collection::Configuration, Duration::from_secs(2));
    let at = Duration::from_secs;
    assert_eq!(confirmations.age(collection, at(5)), None);
    assert_eq!(confirmations.overdue_change(collection, limit, at(5)), None);
    confirmations.record(collection, answer(1, 1), at(6));
    confirmations.record(collection, answer(2, 1), at(4));
    assert_eq!(confirmations.age(collection, at(7)), Some(at(1)));
    assert_eq!(confirmations.age(Collection::Targets, at(7)), None);
    assert_eq!(confirmations.overdue_change(collection, limit, at(8)), None);
    assert_eq!(confirmations.overdue_change(collection, limit, at(9)), Some(true));
    assert_eq!(confirmations.overdue_change(collection, limit, at(10)), None);
    confirmations.record(collection, answer(2, 2), at(10));
    assert_eq!(confirmations.overdue_change(collection, limit, at(11)), Some(false));
}

fn answer(origin: u64, number: u64) -> AnswerId {
    AnswerId { origin, number }
}

/// Entries that pass an age on to each other, and each time that a message is under way is missing from it.
struct Circle {
    entries: Vec<Confirmations>,
    transit: Duration,
}

impl Circle {
    /// Lets each entry tell all others what it knows, by messages that arrive at `now`.
    fn exchange(&self, now: Duration) {
        let sent = now - self.transit;
        let told = |entry: &Confirmations| {
            let answer = entry.answer(COLLECTION)?;
            Some((answer, entry.age(COLLECTION, sent)?))
        };
        let told: Vec<_> = self.entries.iter().map(told).collect();
        for (from, told) in told.iter().enumerate() {
            let Some((answer, age)) = told else { continue };
            let others = self.entries.iter().enumerate().filter(|(to, _)| *to != from);
            others.for_each(|(_, entry)| entry.record(COLLECTION, *answer, now - *age));
        }
    }
}

const COLLECTION: Collection = Collection::Targets;

/// Slow hosts made old news young again, and no entry found that the store was silent.
#[test]
fn an_age_that_is_passed_on_does_not_become_younger_each_time() {
    let (seconds, interval) = (Duration::from_secs, Duration::from_millis(100));
    let entries = (0..13).map(|_| Confirmations::default()).collect();
    let circle = Circle { entries, transit: interval };
    circle.entries[0].record(COLLECTION, answer(1, 1), seconds(1));
    circle.entries[1].record(COLLECTION, answer(2, 1), seconds(1) + interval / 2);
    for step in 1..=50 {
        circle.exchange(seconds(1) + interval * step);
    }
    // The answers of two processes have passed two entries at most before all had heard of both.
    let youngest = seconds(5) - interval * 3;
    for entry in &circle.entries {
        let age = entry.age(COLLECTION, seconds(6)).expect("all have heard");
        assert!(age >= youngest, "{age:?}");
    }
}

/// A host that was frozen takes what waited in its buffer for new, and tells the others.
#[test]
fn what_a_frozen_host_takes_for_new_does_not_convince_the_others() {
    let at = Duration::from_secs;
    let (calm, frozen) = (Confirmations::default(), Confirmations::default());
    calm.record(COLLECTION, answer(1, 1), at(1));
    frozen.record(COLLECTION, answer(1, 1), at(9));
    let told = frozen.answer(COLLECTION).expect("an answer");
    calm.record(COLLECTION, told, at(9));
    assert_eq!(calm.age(COLLECTION, at(10)), Some(at(9)));
    calm.record(COLLECTION, answer(1, 2), at(10));
    assert_eq!(calm.age(COLLECTION, at(10)), Some(Duration::ZERO));
}
