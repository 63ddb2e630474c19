//! A process that was told to stop cuts nothing and is gone in time.

use std::time::Duration;

use bitternwall::direct::stopping::{Step, Stopping};

const GRACE: Duration = Duration::from_secs(8);
const KEEP: Duration = Duration::from_secs(2);

fn step(after_ms: u64, in_progress: usize) -> Step {
    let began = Duration::from_secs(50);
    Stopping::begin(began, GRACE, KEEP).step(began + Duration::from_millis(after_ms), in_progress)
}

#[test]
fn it_serves_while_callers_may_keep_its_address() {
    assert_eq!(step(0, 0), Step::Serve);
    assert_eq!(step(5_900, 0), Step::Serve);
    assert_eq!(step(6_000, 0), Step::Exit);
}

#[test]
fn it_waits_for_what_is_in_progress_but_not_beyond_its_time() {
    assert_eq!(step(6_000, 1), Step::Serve);
    assert_eq!(step(6_500, 1), Step::Refuse);
    assert_eq!(step(7_500, 1), Step::Exit);
}
