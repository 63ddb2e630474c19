//! A stopping process interrupts no request before its time and exits within its grace period.

use std::time::Duration;

use bitternwall::direct::stopping::{Phase, Stopping};

const GRACE: Duration = Duration::from_secs(8);
const KEEP: Duration = Duration::from_secs(2);

fn phase(after_ms: u64, in_progress: usize) -> Phase {
    let began = Duration::from_secs(50);
    Stopping::begin(began, GRACE, KEEP).phase(began + Duration::from_millis(after_ms), in_progress)
}

#[test]
fn it_serves_while_callers_may_keep_its_address() {
    assert_eq!(phase(0, 0), Phase::Serve);
    assert_eq!(phase(5_900, 0), Phase::Serve);
    assert_eq!(phase(6_000, 0), Phase::Exit);
}

#[test]
fn it_waits_for_what_is_in_progress_but_not_beyond_its_time() {
    assert_eq!(phase(6_000, 1), Phase::Serve);
    assert_eq!(phase(6_500, 1), Phase::Refuse);
    assert_eq!(phase(7_500, 1), Phase::Exit);
}
