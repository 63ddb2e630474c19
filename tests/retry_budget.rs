//! Retries stay within their budget when half of the targets fail.

#[path = "common/entry_model.rs"]
mod entry_model;

use bitternwall::entry::core::Options;
use bitternwall::entry::core::events::StartAttempt;
use entry_model::{EntryModel, Fate, Kind};

const REQUESTS: usize = 2_000;
const TARGETS: usize = 16;
/// The allowed number of attempts per request while half of the targets fail.
const MAX_TRIES_PER_REQUEST: f64 = 1.2;

fn half_fails(start: &StartAttempt) -> Fate {
    let number: usize = start.target.rsplit('-').next().and_then(|n| n.parse().ok()).unwrap_or(0);
    if number.is_multiple_of(2) { Fate::FailsAfterRun } else { Fate::Answered }
}

fn tries_per_request(options: Options) -> f64 {
    let mut model = EntryModel::new(options, TARGETS);
    for _ in 0..REQUESTS {
        model.submit(Kind::Idempotent, &mut half_fails);
    }
    let count = |n: usize| f64::from(u32::try_from(n).expect("counts are small"));
    count(model.starts.len()) / count(REQUESTS)
}

#[test]
fn tries_stay_under_the_bound_with_half_of_the_targets_failing() {
    let tries = tries_per_request(Options::default());
    assert!(tries < MAX_TRIES_PER_REQUEST, "{tries} tries for each request");
}

#[test]
fn tries_exceed_the_bound_without_a_budget_and_ejection() {
    let unlimited = Options {
        retry_share: 100.0,
        retry_burst: 1e9,
        base_ejection: std::time::Duration::ZERO,
        ..Options::default()
    };
    let tries = tries_per_request(unlimited);
    assert!(tries > MAX_TRIES_PER_REQUEST, "{tries} tries for each request");
}
