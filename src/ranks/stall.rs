//! Detects a stalled group: one that has requests but begins no step.
//!
//! Load pattern: a rank's host fails, freezes or loses its network, and all other ranks wait for it
//! with requests in progress. The group still reports itself as open, so new requests would wait
//! there until their callers time out.

use std::time::Duration;

use crate::ranks::report::RankReport;

/// Time without a new step after which a group with requests counts as stalled. Steps of a full
/// group take a tenth of it.
const STALL_AFTER: Duration = Duration::from_millis(700);

/// StallDetector tracks the steps that one rank reports.
#[derive(Clone, Copy, Debug, Default)]
pub struct StallDetector {
    last_progress: Option<(u64, u64, Duration)>,
}

impl StallDetector {
    /// Records a report and returns true if the group is stalled.
    pub fn observe(&mut self, report: &RankReport, now: Duration) -> bool {
        let has_requests = report.active > 0 || report.queued > 0;
        match self.last_progress {
            Some((epoch, step, since))
                if (epoch, step) == (report.epoch, report.step) && has_requests =>
            {
                now.saturating_sub(since) >= STALL_AFTER
            }
            _ => {
                self.last_progress = Some((report.epoch, report.step, now));
                false
            }
        }
    }
}
