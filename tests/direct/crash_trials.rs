//! Copies of a request that crashes targets, or requests with a part in common, arrive together.

use std::time::Duration;

use bitternwall::direct::known::crash_memory::{Attempt, CrashMemory, Subject};
use bitternwall::direct::known::crash_trials::Trials;

const TTL: Duration = Duration::from_secs(600);
/// Late enough for an entry to know popular parts from others.
const START: Duration = Duration::from_secs(60);
const DEADLINE: Duration = Duration::from_secs(1);
/// From the start of a run until its target crashes.
const RUN_TIME: Duration = Duration::from_millis(700);
/// Copies of one volley, the time between two of them, and between two volleys.
const COPIES: usize = 8;
const COPY_PAUSE: Duration = Duration::from_millis(60);
const VOLLEY_PAUSE: Duration = Duration::from_secs(7);
const ENTRIES: usize = 13;
const REQUEST: u64 = 7;
const PART: u64 = 70;
const OTHER_PART: u64 = 80;

/// Starts a request unless it has to wait or is refused.
fn start(memory: &mut CrashMemory, request: u64, parts: &[u64], now: Duration) -> Option<Trials> {
    let waits = memory.trial_left(request, parts, now).is_some();
    let refused = memory.refused_for(request, parts, now).is_some();
    (!waits && !refused).then(|| memory.begin_trials(request, parts, DEADLINE, now))
}

fn crash(memory: &mut CrashMemory, attempt: Attempt, now: Duration) {
    let target = attempt.target.clone();
    memory.record_unanswered(attempt, now);
    memory.record_target_ended(&target, now);
}

/// Returns a memory with one crash on record.
fn with_a_crash(request: u64, parts: &[u64]) -> CrashMemory {
    let mut memory = CrashMemory::new(TTL);
    let attempt = memory.dispatch(request, parts, "t-first", START);
    crash(&mut memory, attempt, START);
    memory
}

fn tell(from: &CrashMemory, to: &mut CrashMemory, now: Duration) {
    for report in from.reports(1, now) {
        to.merge(&report, now);
    }
}

#[test]
fn copies_wait_for_the_one_under_way_once_a_crash_is_on_record() {
    let mut memory = with_a_crash(REQUEST, &[]);
    let trials = start(&mut memory, REQUEST, &[], START).expect("the first copy");
    let on_trial = memory.trial_left(REQUEST, &[], START);
    assert_eq!(on_trial, Some((Subject::Request(REQUEST), DEADLINE)));
    assert!(start(&mut memory, REQUEST, &[], START).is_none());
    assert!(start(&mut memory, REQUEST + 1, &[], START).is_some_and(|trials| trials.is_empty()));
    memory.end_trials(&trials);
    assert!(start(&mut memory, REQUEST, &[], START).is_some(), "its target refused it");
}

#[test]
fn an_answer_lets_all_copies_run_again() {
    let mut memory = with_a_crash(REQUEST, &[]);
    let _trials = start(&mut memory, REQUEST, &[], START).expect("the first copy");
    memory.record_answered(REQUEST, &[], true, START);
    for _ in 0..COPIES {
        assert!(start(&mut memory, REQUEST, &[], START).is_some_and(|trials| trials.is_empty()));
    }
}

#[test]
fn a_trial_of_another_entry_holds_copies_until_it_crashes_or_its_deadline_has_passed() {
    let mut here = with_a_crash(REQUEST, &[]);
    let mut there = CrashMemory::new(TTL);
    let _trials = start(&mut here, REQUEST, &[], START).expect("the first copy");
    let attempt = here.dispatch(REQUEST, &[], "t-2", START);
    tell(&here, &mut there, START);
    assert!(start(&mut there, REQUEST, &[], START).is_none());
    assert!(there.trial_left(REQUEST, &[], START + DEADLINE).is_none());
    crash(&mut here, attempt, START + RUN_TIME);
    tell(&here, &mut there, START + RUN_TIME);
    assert!(there.trial_left(REQUEST, &[], START + RUN_TIME).is_none());
    assert!(there.refused_for(REQUEST, &[], START + RUN_TIME).is_some());
}

#[test]
fn requests_with_a_sound_part_in_common_do_not_wait_for_each_other() {
    let mut memory = CrashMemory::new(TTL);
    memory.record_answered(1, &[PART], true, START);
    let attempt = memory.dispatch(2, &[PART, OTHER_PART], "t-1", START);
    crash(&mut memory, attempt, START);
    for request in 10..20 {
        assert!(
            start(&mut memory, request, &[PART], START).is_some_and(|trials| trials.is_empty())
        );
    }
    // The other part was never answered.
    assert!(start(&mut memory, 20, &[PART, OTHER_PART], START).is_some());
    assert!(start(&mut memory, 21, &[PART, OTHER_PART], START).is_none());
}

#[test]
fn requests_with_one_of_two_parts_that_crashed_together_do_not_wait() {
    let mut memory = with_a_crash(1, &[PART, OTHER_PART]);
    assert!(start(&mut memory, 2, &[PART, OTHER_PART], START).is_some());
    assert!(start(&mut memory, 3, &[PART, OTHER_PART], START).is_none());
    assert!(start(&mut memory, 4, &[PART], START).is_some());
    assert!(start(&mut memory, 5, &[OTHER_PART], START).is_some());
}

/// Sends volleys to all entries, and returns the arrivals at targets by volley. Entries hear of each other's
/// records before the next copy comes.
fn volleys(count: u32, request_of: impl Fn(u32, usize) -> (u64, Vec<u64>)) -> Vec<usize> {
    let mut memories: Vec<CrashMemory> = (0..ENTRIES).map(|_| CrashMemory::new(TTL)).collect();
    let mut arrivals = Vec::new();
    for volley in 0..count {
        let began = START + VOLLEY_PAUSE * volley;
        let mut running: Vec<(usize, Attempt, Duration)> = Vec::new();
        for step in 0..30 {
            let now = began + COPY_PAUSE * step;
            let ended: Vec<_> = running.extract_if(.., |(_, _, ends)| *ends <= now).collect();
            for (entry, attempt, _) in ended {
                crash(&mut memories[entry], attempt, now);
            }
            let index = usize::try_from(step).expect("few");
            if index < COPIES {
                let (request, parts) = request_of(volley, index);
                let memory = &mut memories[index];
                if start(memory, request, &parts, now).is_some() {
                    let target = format!("t-{volley}-{}", index % 3);
                    let attempt = memory.dispatch(request, &parts, &target, now);
                    running.push((index, attempt, now + RUN_TIME));
                    arrivals.push(volley);
                }
            }
            for from in 0..ENTRIES {
                let reports = memories[from].reports(u64::from(step), now);
                for memory in &mut memories {
                    for report in &reports {
                        memory.merge(report, now);
                    }
                }
            }
        }
    }
    let in_volley = |volley| arrivals.iter().filter(|arrival| **arrival == volley).count();
    (0..count).map(in_volley).collect()
}

/// Eight copies crashed three targets each time, which counted as one crash.
#[test]
fn copies_that_come_together_reach_one_target_once_a_crash_is_on_record() {
    assert_eq!(volleys(4, |_, _| (REQUEST, Vec::new())), [8, 1, 0, 0]);
}

/// The same for requests that share a part only.
#[test]
fn requests_with_a_crashing_part_reach_one_target_at_a_time_once_a_crash_is_on_record() {
    let request = |volley: u32, index: usize| {
        let own = 1_000 * u64::from(volley + 1) + u64::try_from(index).expect("few");
        (own, vec![PART, own])
    };
    assert_eq!(volleys(5, request), [8, 1, 1, 0, 0]);
}
