//! Entries share the rate of requests that a target names.

use std::time::Duration;

use bitternwall::direct::decisions::rate_limits::{Permission, RateLimits};
use bitternwall::direct::known::heartbeat::Heartbeat;
use bitternwall::direct::known::peers::Peers;
use bitternwall::direct::known::permit::{Grant, RateReport};
use proptest::prelude::*;

const TARGET: &str = "i-1";
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);

/// The bound that targets state: in this time, so many times their rate, and some requests.
const WINDOW: Duration = Duration::from_secs(4);
const MARGIN: f64 = 1.5;
const SPARE: f64 = 5.0;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn limited(per_s: f64) -> RateLimits {
    let mut limits = RateLimits::default();
    assert!(limits.observe(TARGET, Some(per_s), ms(0)));
    limits
}

/// Asks the owner for permits and sends a request if there is one. Returns true if it was sent.
fn send(entry: &mut RateLimits, owner: &mut RateLimits, per_s: f64, now: Duration) -> bool {
    if entry.permission(TARGET, now) == Permission::MustAsk {
        entry.begin_asking(TARGET);
        let grant = owner.grant(TARGET, per_s, now);
        entry.end_asking(TARGET, grant, now);
    }
    let granted = entry.permission(TARGET, now) == Permission::Granted;
    if granted {
        entry.take_permit(TARGET, now);
    }
    granted
}

/// Returns the most sends in a window; the sends are in order.
fn most_in_window(sends: &[Duration]) -> usize {
    let in_window = |(index, first): (usize, &Duration)| {
        sends.partition_point(|at| *at <= *first + WINDOW) - index
    };
    sends.iter().enumerate().map(in_window).max().unwrap_or(0)
}

fn is_within(sends: &[Duration], per_s: f64) -> bool {
    let allowed = per_s * WINDOW.as_secs_f64() * MARGIN + SPARE;
    u32::try_from(most_in_window(sends)).is_ok_and(|most| f64::from(most) <= allowed)
}

#[test]
fn a_target_without_a_rate_needs_no_permit() {
    let mut limits = RateLimits::default();
    assert!(!limits.observe(TARGET, None, ms(0)));
    assert_eq!(limits.permission(TARGET, ms(0)), Permission::Granted);
    assert_eq!(limits.limited(), 0);
}

#[test]
fn one_entry_alone_gets_nearly_all_of_a_rate() {
    for per_s in [0.5, 2.0, 7.5, 40.0, 900.0] {
        let (mut entry, mut owner) = (limited(per_s), RateLimits::default());
        let arrivals = (0..40_000).map(ms);
        let sends: Vec<Duration> =
            arrivals.filter(|now| send(&mut entry, &mut owner, per_s, *now)).collect();
        assert!(is_within(&sends, per_s), "{per_s}: {}", most_in_window(&sends));
        let sent = f64::from(u32::try_from(sends.len()).expect("few"));
        assert!(sent >= per_s * 40.0 * 0.9, "{sent} at {per_s}");
    }
}

#[test]
fn a_target_that_takes_nothing_is_tried_now_and_then() {
    let (mut entry, mut owner) = (limited(0.0), RateLimits::default());
    let sends: Vec<Duration> =
        (0..60_000).map(ms).filter(|now| send(&mut entry, &mut owner, 0.0, *now)).collect();
    assert!((10..=14).contains(&sends.len()), "{}", sends.len());
    assert!(is_within(&sends, 0.0));
}

#[test]
fn an_entry_does_not_ask_twice_at_once() {
    let mut limits = limited(2.0);
    assert_eq!(limits.permission(TARGET, ms(0)), Permission::MustAsk);
    limits.begin_asking(TARGET);
    assert!(matches!(limits.permission(TARGET, ms(0)), Permission::After(at) if at < ms(20)));
    limits.end_asking(TARGET, Grant::NoReply, ms(1));
    assert!(matches!(limits.permission(TARGET, ms(1)), Permission::After(at) if at > ms(20)));
    assert_eq!(limits.permission(TARGET, ms(500)), Permission::MustAsk);
}

#[test]
fn a_permit_that_was_not_used_in_time_expires() {
    let mut limits = limited(2.0);
    limits.begin_asking(TARGET);
    limits.end_asking(TARGET, Grant::Permits(3), ms(0));
    assert_eq!(limits.permission(TARGET, ms(400)), Permission::Granted);
    assert_eq!(limits.permission(TARGET, ms(600)), Permission::MustAsk);
}

#[test]
fn answers_that_are_under_way_together_do_not_lift_a_rate() {
    let mut limits = limited(2.0);
    assert!(!limits.observe(TARGET, None, ms(300)));
    assert_eq!(limits.rate(TARGET), Some(2.0));
    assert!(limits.observe(TARGET, Some(3.0), ms(400)));
    assert!(!limits.observe(TARGET, None, ms(1_300)));
    assert!(limits.observe(TARGET, None, ms(1_500)));
    assert_eq!(limits.rate(TARGET), None);
}

#[test]
fn entries_hear_of_a_rate_and_of_its_end() {
    let (mut first, mut second) = (limited(2.0), RateLimits::default());
    for report in first.reports(1, ms(10)) {
        assert!(second.merge(&report, ms(1_000)));
        assert!(!second.merge(&report, ms(1_000)), "again");
    }
    assert_eq!(second.rate(TARGET), Some(2.0));
    assert_eq!(second.reports(1, ms(1_000)), [], "only what an entry has seen itself");
    first.observe(TARGET, None, ms(2_000));
    for report in first.reports(1, ms(2_000)) {
        second.merge(&report, ms(3_000));
    }
    assert_eq!(second.rate(TARGET), None);
}

#[test]
fn an_older_report_does_not_replace_a_newer_answer() {
    let mut limits = RateLimits::default();
    limits.observe(TARGET, Some(5.0), ms(10_000));
    let report = RateReport { target: TARGET.to_owned(), per_s: Some(1.0), age_ms: 2_000 };
    assert!(!limits.merge(&report, ms(10_500)));
    assert_eq!(limits.rate(TARGET), Some(5.0));
}

#[test]
fn numbers_that_are_no_rate_change_nothing() {
    for per_s in [-1.0, f64::NAN, f64::INFINITY] {
        let mut limits = RateLimits::default();
        let report = RateReport { target: TARGET.to_owned(), per_s: Some(per_s), age_ms: 0 };
        assert!(!limits.merge(&report, ms(1)));
        assert_eq!(limits.rate(TARGET), None);
        assert!(matches!(limits.grant(TARGET, per_s, ms(1)), Grant::Denied(_)));
    }
}

#[test]
fn a_late_report_of_a_target_that_has_left_is_dropped() {
    let mut limits = RateLimits::default();
    let report = RateReport { target: TARGET.to_owned(), per_s: Some(1.0), age_ms: 0 };
    limits.merge(&report, ms(1));
    limits.retain(|target| target != TARGET);
    assert_eq!(limits.limited(), 0);
}

#[test]
fn a_huge_rate_holds_nothing_up() {
    let (mut entry, mut owner) = (limited(1e18), RateLimits::default());
    let sent = (1..1_000).map(ms).filter(|now| send(&mut entry, &mut owner, 1e18, *now)).count();
    assert!(sent > 990, "{sent}");
}

#[test]
fn the_reports_of_many_targets_fit_a_heartbeat_and_come_in_turn() {
    let mut limits = RateLimits::default();
    for target in 0..40 {
        limits.observe(&format!("i-{target}"), Some(1.0), ms(0));
    }
    let mut seen = std::collections::BTreeSet::new();
    for sequence in 0..8 {
        let reports = limits.reports(sequence, ms(100));
        assert!(reports.len() <= 12, "{}", reports.len());
        seen.extend(reports.into_iter().map(|report| report.target));
    }
    assert_eq!(seen.len(), 40);
}

#[test]
fn entries_agree_who_hands_out_permits_and_a_stopping_one_does_not() {
    let names = ["entry-0", "entry-1", "entry-2", "entry-3"];
    let peers_of = |local: &str, leaving: &[&str]| {
        let mut peers = Peers::default();
        for (index, name) in (1_u8..).zip(names).filter(|(_, name)| *name != local) {
            let heartbeat = Heartbeat {
                name: name.to_owned(),
                sequence: 1,
                leaving: leaving.contains(&name),
                ..Heartbeat::default()
            };
            peers.record_heartbeat(heartbeat, ([10, 0, 0, index], 1).into(), ms(0));
        }
        peers
    };
    for leaving in [&[][..], &["entry-0", "entry-2"][..]] {
        for target in ["i-1", "i-2", "i-3", "i-4", "i-5"] {
            let mut owners: Vec<String> = Vec::new();
            for (index, name) in (1_u8..).zip(names) {
                let peers = peers_of(name, leaving);
                let stopping = leaving.contains(&name);
                let owner = peers.permit_owner(target, name, stopping, HEARTBEAT_INTERVAL, ms(50));
                owners.push(owner.map_or(format!("10.0.0.{index}:1"), |owner| owner.to_string()));
            }
            assert!(owners.windows(2).all(|pair| pair[0] == pair[1]), "{target}: {owners:?}");
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// However many entries ask, and though the entry that hands out permits is replaced, a target
    /// gets no more than its bound allows.
    #[test]
    fn a_target_gets_no_more_than_its_rate(
        per_s in prop::sample::select(vec![0.0, 0.3, 1.0, 2.5, 12.0, 80.0]),
        entries in 1_usize..14,
        pause_ms in 1_u64..200,
        owner_changes_ms in prop::collection::vec(2_000_u64..20_000, 0..3),
    ) {
        let mut asking: Vec<RateLimits> = (0..entries).map(|_| limited(per_s)).collect();
        let mut owner = RateLimits::default();
        let mut sends = Vec::new();
        for at in 0..20_000 / pause_ms {
            let now = ms(at * pause_ms);
            let step = at * pause_ms..(at + 1) * pause_ms;
            if owner_changes_ms.iter().any(|change| step.contains(change)) {
                owner = RateLimits::default();
            }
            for entry in &mut asking {
                if send(entry, &mut owner, per_s, now) {
                    sends.push(now);
                }
            }
        }
        prop_assert!(is_within(&sends, per_s), "{} at {}", most_in_window(&sends), per_s);
    }
}
