//! Decides how many requests a model server may run so that answers do not pause for too long.
//!
//! Load pattern: a server writes to all of its requests in passes, and a pass grows with each of
//! them, with uneven experts and with a slow rank. An answer that pauses beyond its objective once
//! is late as a whole, so that a few requests too many spoil all of them. The pauses of answers
//! that are under way show the length of passes; where it nears the objective, fewer requests are
//! sent, in proportion to the part of a pass that they cause.
//!
//! Ranks of a group make their passes together, so one slow rank slows all of them, and fewer
//! requests do not help. Other groups are asked first while a group's passes are that long.

use std::time::Duration;

use crate::collections::Map;

/// The part of the objective that passes may take; the rest covers passes that read long prompts.
const GOAL_PART: f64 = 0.8;

/// Weight of a new pause in the average.
const SAMPLE_WEIGHT: f64 = 0.25;

/// Age from which on a pause tells nothing of a server.
const MAX_AGE: Duration = Duration::from_millis(1_500);

/// The part of a server's slots that are filled in any case, so that its pace stays known.
const MIN_FILL: f64 = 0.25;

/// Pauses, in objectives, from which on a group counts as slow: more than its load or an uneven map
/// explains.
const SLOW_OBJECTIVES: f64 = 2.0;

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

/// GroupPaces is the length of the passes of groups.
#[derive(Clone, Debug, Default)]
pub struct GroupPaces {
    by_group: Map<String, Pace>,
}

impl GroupPaces {
    /// Takes in a pause between two events of an answer from a rank of a group.
    pub fn observe(&mut self, group: &str, pause: Duration, now: Duration) {
        if let Some(pace) = self.by_group.get_mut(group) {
            pace.observe(pause, now);
            return;
        }
        let mut pace = Pace::default();
        pace.observe(pause, now);
        self.by_group.insert(group.to_owned(), pace);
    }

    /// Forgets a group, which has formed anew.
    pub fn forget(&mut self, group: &str) {
        self.by_group.remove(group);
    }

    /// Returns the groups whose answers cannot be on time.
    pub fn slow(&self, goal: &Goal, now: Duration) -> Vec<&str> {
        let limit = goal.objective.as_secs_f64() * SLOW_OBJECTIVES;
        let slow = |pace: &Pace| pace.recent(now).is_some_and(|pause| pause > limit);
        let groups = self.by_group.iter().filter(|(_, pace)| slow(pace));
        groups.map(|(group, _)| group.as_str()).collect()
    }
}
