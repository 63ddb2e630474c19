//! What an entry knows of one target besides the list, from its own attempts and from agents.

use std::time::Duration;

use crate::direct::pace::Pace;
use crate::direct::targets::Outcome;

/// First pause of a target that failed; each further failure in a row doubles it.
const FIRST_PAUSE: Duration = Duration::from_millis(300);

/// Longest pause of a target that keeps failing, so that one that is back is found soon.
const MAX_PAUSE: Duration = Duration::from_secs(3);

/// Pause of a target whose address another process has, long enough for the list to say so.
const REPLACED_PAUSE: Duration = Duration::from_secs(10);

/// Pause of a target that said it is full, about the time in which a place comes free.
const FULL_PAUSE: Duration = Duration::from_millis(40);

/// Age up to which an agent's word that a group is closed counts; agents repeat it each second.
const MAX_NOTICE_AGE: Duration = Duration::from_millis(2_500);

/// Weight of a new sample in the moving averages of a target.
const SAMPLE_WEIGHT: f64 = 0.15;

/// Standing is what an entry knows of a target besides the list.
#[derive(Clone, Debug, Default)]
pub(super) struct Standing {
    /// This entry's requests there.
    pub own: u32,
    /// The part of its answers that failed lately, from 0 to 1.
    pub failures: f64,
    /// Failures without an answer between them.
    pub broken_in_row: u32,
    /// Until when it gets nothing.
    pub paused_until: Duration,
    /// Until when its places count as taken.
    pub full_until: Duration,
    /// How long its passes take.
    pub pace: Pace,
    /// When its agent last said that its group takes no work.
    pub closed_at: Option<Duration>,
    /// Its group, where an agent has named it.
    pub group: Option<String>,
}

impl Standing {
    /// Tells whether the target may be sent requests.
    pub fn takes_work(&self, now: Duration) -> bool {
        let closed = self.closed_at.is_some_and(|at| now.saturating_sub(at) < MAX_NOTICE_AGE);
        !closed && self.paused_until <= now
    }

    /// Takes in what an attempt says. Returns how long the target is paused, where it was not
    /// before.
    pub fn learn(&mut self, outcome: Outcome, now: Duration) -> Option<Duration> {
        let sample = if outcome == Outcome::Answered { 0.0 } else { 1.0 };
        if !matches!(outcome, Outcome::Full | Outcome::Closed) {
            self.failures += (sample - self.failures) * SAMPLE_WEIGHT;
        }
        match outcome {
            Outcome::Answered | Outcome::Failed => {
                self.broken_in_row = 0;
                None
            }
            Outcome::Full => {
                self.full_until = now + FULL_PAUSE;
                None
            }
            // Its whole group is paused, see `Targets::learn`.
            Outcome::Closed => None,
            Outcome::Replaced => {
                self.paused_until = now + REPLACED_PAUSE;
                Some(REPLACED_PAUSE)
            }
            Outcome::Broken => {
                if self.paused_until > now {
                    return None;
                }
                let doublings = self.broken_in_row.min(8);
                self.broken_in_row += 1;
                let pause = (FIRST_PAUSE * 2_u32.pow(doublings)).min(MAX_PAUSE);
                self.paused_until = now + pause;
                Some(pause)
            }
        }
    }
}
