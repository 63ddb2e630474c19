//! Decides how many requests a model server may run so that answers do not pause for too long.
//!
//! Load pattern: a server writes to all of its requests in passes, and a pass grows with each of
//! them, with uneven experts and with a slow rank. An answer that pauses beyond its objective once
//! is late as a whole, so that a few requests too many spoil all of them. The pauses of answers
//! that are under way show the length of passes; where it nears the objective, fewer requests are
//! sent, in proportion to the part of a pass that they cause.

use std::time::Duration;

/// The part of the objective that passes may take; the rest covers passes that read long prompts.
const GOAL_PART: f64 = 0.8;

/// Weight of a new pause in the average.
const SAMPLE_WEIGHT: f64 = 0.25;

/// Age from which on a pause tells nothing of a server.
const MAX_AGE: Duration = Duration::from_millis(1_500);

/// The part of a server's slots that are filled in any case, so that its pace stays known.
const MIN_FILL: f64 = 0.25;

/// Goal is what a service's answers must keep to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Goal {
    /// The longest pause between two events that is still on time.
    pub objective: Duration,
    /// The length of a pass without requests.
    pub empty_pass: Duration,
}

/// Pace is the length of a server's passes, as answers show it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pace {
    pause: Option<(f64, Duration)>,
}

impl Pace {
    /// Takes in a pause between two events of an answer.
    pub fn observe(&mut self, pause: Duration, now: Duration) {
        let newest = pause.as_secs_f64();
        let average = match self.recent(now) {
            Some(average) => average + (newest - average) * SAMPLE_WEIGHT,
            None => newest,
        };
        self.pause = Some((average, now));
    }

    fn recent(&self, now: Duration) -> Option<f64> {
        let (average, at) = self.pause?;
        (now.saturating_sub(at) <= MAX_AGE).then_some(average)
    }

    /// Returns the requests that a server with `slots` may have while it runs `load`.
    pub fn places(&self, goal: &Goal, slots: f64, load: u32, now: Duration) -> f64 {
        let Some(pause) = self.recent(now) else { return slots };
        let allowed = goal.objective.as_secs_f64() * GOAL_PART;
        let empty = goal.empty_pass.as_secs_f64();
        if pause <= allowed || allowed <= empty {
            return slots;
        }
        let kept = f64::from(load) * (allowed - empty) / (pause - empty);
        kept.clamp(slots * MIN_FILL, slots)
    }
}
