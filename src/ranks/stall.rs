//! Tells when a group stands still.
//!
//! Load pattern: a rank's host dies, freezes, or is cut off, and all ranks wait for it with requests
//! in hand. The group still counts as open then, and new requests would only wait there until their
//! callers give up.

use std::time::Duration;

use crate::ranks::report::RankReport;

/// Time without a step, with requests there, after which a group stands still. Steps of a full group
/// take a tenth of it.
const STALL_AFTER: Duration = Duration::from_millis(700);

/// Stall follows the steps that one rank reports.
#[derive(Clone, Copy, Debug, Default)]
pub struct StallDetector {
    last: Option<(u64, u64, Duration)>,
}

impl StallDetector {
    /// Takes in a report, and tells whether the group stands still.
    pub fn observe(&mut self, report: &RankReport, now: Duration) -> bool {
        let waits = report.active > 0 || report.queued > 0;
        match self.last {
            Some((epoch, step, since)) if (epoch, step) == (report.epoch, report.step) && waits => {
                now.saturating_sub(since) >= STALL_AFTER
            }
            _ => {
                self.last = Some((report.epoch, report.step, now));
                false
            }
        }
    }
}
