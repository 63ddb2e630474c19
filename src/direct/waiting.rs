//! Decides how long a request waits for a place and when a refused one may come back.
//!
//! Load pattern: more requests than places. A place comes free every few milliseconds, so a short
//! wait often finds one; a long one makes the answer late and only moves the queue from the
//! targets into the entry. What finds no place in time is refused at once, with a time to come
//! back that grows with the share of requests that are refused, and that differs by caller so
//! that they do not come back together.

use std::time::Duration;

/// The part of a request's objective that it waits for a place.
const WAIT_PART: f64 = 0.125;

/// Longest wait for targets that are all away. Callers give an attempt up that brings nothing for
/// two seconds, and the first event takes some of them.
const MAX_OUTAGE_WAIT: Duration = Duration::from_millis(1_600);

/// Bounds of the time after which a refused caller may come back.
const MIN_RETURN: Duration = Duration::from_millis(150);

/// Time after which callers come back to a service whose targets were all away; it takes a group
/// about this long to form anew.
const OUTAGE_RETURN: Duration = Duration::from_millis(1_000);

/// The part of the caller's remaining time within which it is told to come back.
const MAX_RETURN_PART: f64 = 0.3;

/// Weight of a new request in the share of refused ones.
const SAMPLE_WEIGHT: f64 = 0.02;

/// Weight of a new answer in the average time to the first event.
const FIRST_EVENT_WEIGHT: f64 = 0.2;

/// Pressure is how a service lately served an entry's requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pressure {
    refused: f64,
    first_event: Option<f64>,
}

impl Pressure {
    /// Notes how long a request waited for the first event of its answer, in its objectives.
    pub fn first_event(&mut self, objectives: f64) {
        let average = self.first_event.unwrap_or(objectives);
        self.first_event = Some(average + (objectives - average) * FIRST_EVENT_WEIGHT);
    }

    /// Tells whether answers begin late as a rule, or whether nothing is known of them yet. A target
    /// that is silent then is most likely busy, and to ask another one would add to the crowd.
    pub fn is_crowded(&self) -> bool {
        self.first_event.is_none_or(|objectives| objectives > 1.0)
    }

    /// Notes that a request found a place.
    pub fn admitted(&mut self) {
        self.refused -= self.refused * SAMPLE_WEIGHT;
    }

    /// Notes that a request was refused.
    pub fn refused(&mut self) {
        self.refused += (1.0 - self.refused) * SAMPLE_WEIGHT;
    }

    /// Returns when a caller may come back that found all targets away: they may need about as
    /// long again, and then callers come back over a while.
    pub fn after_outage(time_left: Duration, draw: f64) -> Duration {
        let longest = time_left.mul_f64(MAX_RETURN_PART);
        (OUTAGE_RETURN + OUTAGE_RETURN.mul_f64(draw)).min(longest)
    }

    /// Returns when a refused caller may come back. `draw` is drawn evenly from 0 to 1.
    pub fn retry_after(&self, time_left: Duration, draw: f64) -> Duration {
        let longest = time_left.mul_f64(MAX_RETURN_PART);
        let spread = longest.saturating_sub(MIN_RETURN).mul_f64(self.refused.sqrt() * draw);
        (MIN_RETURN + spread).min(longest)
    }
}

/// Returns how long a request may wait while no target takes work at all: targets that failed
/// together are mostly back together, within about a second, and a caller that is refused
/// meanwhile has used up one of its few tries.
pub fn longest_outage_wait(time_left: Duration) -> Duration {
    MAX_OUTAGE_WAIT.min(time_left / 4)
}

/// Returns how long a request may wait for a place.
pub fn longest_wait(objective: Duration, time_left: Duration) -> Duration {
    objective.mul_f64(WAIT_PART).min(time_left / 4)
}
