//! The entry's local state for one target, from its own attempts and from agents.

use std::time::Duration;

use crate::direct::decisions::pass_time::PassTime;
use crate::direct::decisions::target_silence::TargetSilence;
use crate::direct::known::target::Outcome;

/// First ejection of a target that failed; each further failure in a row doubles it.
const FIRST_EJECTION: Duration = Duration::from_millis(300);

/// Longest ejection of a target that keeps failing, so that one that recovered is found soon.
const MAX_EJECTION: Duration = Duration::from_secs(3);

/// Ejection of a target whose address another process has, long enough for the target list to show
/// the change.
const REPLACED_EJECTION: Duration = Duration::from_secs(10);

/// Time for which a target that refused a request counts as full, about the time in which one of
/// its slots becomes available.
const FULL_BACKOFF: Duration = Duration::from_millis(40);

/// Age up to which an agent's report that a group is closed counts; agents repeat it at least each
/// second.
const MAX_NOTICE_AGE: Duration = Duration::from_millis(2_500);

/// Weight of a new sample in the moving averages of a target.
const SAMPLE_WEIGHT: f64 = 0.15;

/// The entry's local state for one target: load, recent failures and ejection, in addition to what
/// the target list says.
#[derive(Clone, Debug, Default)]
pub(super) struct TargetState {
    /// Requests that this entry has in flight at the target.
    pub in_flight: u32,
    /// Moving average of the share of attempts that failed, from 0 to 1.
    pub failure_rate: f64,
    /// [`Outcome::Broken`] attempts since the last answer; attempts during an ejection don't count.
    pub consecutive_failures: u32,
    /// End of the ejection, on the entry's clock; the target gets no requests before.
    pub ejected_until: Duration,
    /// Time on the entry's clock until which all of its slots count as taken.
    pub full_until: Duration,
    /// The length of its passes.
    pub pass_time: PassTime,
    /// When its agent last reported that its group takes no requests; `None` once it reports that
    /// the group is open.
    pub group_closed_at: Option<Duration>,
    /// Its group, if an agent has named it.
    pub group: Option<String>,
    /// The time that it takes for its work, in percent of the normal time, as its agent reports; 0 if
    /// that is not known.
    pub slowness_percent: u32,
    /// Its silence, as agents report it.
    pub silence: TargetSilence,
}

impl TargetState {
    /// Returns true if the target may be sent requests.
    pub fn is_available(&self, now: Duration) -> bool {
        let closed = self.group_closed_at.is_some_and(|at| now.saturating_sub(at) < MAX_NOTICE_AGE);
        !closed && !self.silence.is_silent(now) && self.ejected_until <= now
    }

    /// Records the outcome of an attempt. Returns the length of the ejection that it causes, if
    /// any.
    pub fn record(&mut self, outcome: Outcome, now: Duration) -> Option<Duration> {
        match outcome {
            Outcome::Answered | Outcome::Failed => self.silence.record_answered(now),
            Outcome::Full | Outcome::Closed => {
                self.silence.record_heard(now);
            }
            Outcome::Replaced | Outcome::Broken => {}
        }
        let sample = if outcome == Outcome::Answered { 0.0 } else { 1.0 };
        if !matches!(outcome, Outcome::Full | Outcome::Closed) {
            self.failure_rate += (sample - self.failure_rate) * SAMPLE_WEIGHT;
        }
        match outcome {
            Outcome::Answered | Outcome::Failed => {
                self.consecutive_failures = 0;
                None
            }
            Outcome::Full => {
                self.full_until = now + FULL_BACKOFF;
                None
            }
            // The whole group is ejected, see `Targets::record`.
            Outcome::Closed => None,
            Outcome::Replaced => {
                self.ejected_until = now + REPLACED_EJECTION;
                Some(REPLACED_EJECTION)
            }
            Outcome::Broken => {
                if self.ejected_until > now {
                    return None;
                }
                let doublings = self.consecutive_failures.min(8);
                self.consecutive_failures += 1;
                let ejection = (FIRST_EJECTION * 2_u32.pow(doublings)).min(MAX_EJECTION);
                self.ejected_until = now + ejection;
                Some(ejection)
            }
        }
    }
}
