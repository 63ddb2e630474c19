//! Limits the requests in flight at a model server, so that its answers do not pause for too long.
//!
//! Load pattern: a model server generates output for all of its requests in passes, and a pass
//! takes longer with each request, with uneven expert load and with a slow rank. An answer that
//! once pauses beyond its objective counts as late, so a few requests too many make all answers
//! late. The pauses between the events of answers in progress show the length of passes. When it
//! comes near the objective, fewer requests are sent, in proportion to the part of a pass that they
//! cause.
//!
//! The ranks of a group run their passes in lockstep, so the pauses of any rank's answers show the
//! passes of all, and the limit is one for the whole group. In a large fleet an entry has an answer in
//! progress at few of the ranks, and a limit by rank would know nothing of the others. One slow rank
//! also slows all of them, and fewer requests do not help. Other groups are then preferred while the
//! group's passes are that long, and it is filled up only with what they do not take.

use std::time::Duration;

use crate::collections::Map;

/// The share of the objective that passes may take; the rest covers passes that also prefill long
/// prompts.
const PASS_SHARE: f64 = 0.8;

/// Weight of a new pause in the moving average.
const SAMPLE_WEIGHT: f64 = 0.25;

/// Age above which the average is discarded, since it no longer says anything about the server.
const MAX_AVERAGE_AGE: Duration = Duration::from_millis(1_500);

/// The share of a server's slots that are always used, so that its pass time stays known.
const MIN_FILL: f64 = 0.25;

/// Pass time above which a group counts as slow, as a multiple of the objective: more than its load
/// or an uneven expert map explains.
const SLOW_GROUP_OBJECTIVES: f64 = 2.0;

/// The limit for the pauses between the events of an answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PauseGoal {
    /// The longest pause between two events that is still on time.
    pub objective: Duration,
    /// The length of a pass of the service's model servers without requests.
    pub empty_pass: Duration,
}

/// Moving average of the length of a server's passes, measured by the pauses in its answers.
#[derive(Clone, Copy, Debug, Default)]
pub struct PassTime {
    /// The average in seconds, and when it was last updated.
    average: Option<(f64, Duration)>,
}

impl PauseGoal {
    /// Returns the goal of a group whose slowest rank takes `slowness` times as long as it should.
    pub fn slowed(&self, slowness: f64) -> Self {
        Self { empty_pass: self.empty_pass.mul_f64(slowness.max(1.0)), ..*self }
    }

    /// Returns true if passes are too long even without requests, so that no answer is on time.
    pub fn is_out_of_reach(&self) -> bool {
        self.empty_pass >= self.objective.mul_f64(PASS_SHARE)
    }
}

impl PassTime {
    /// Records a pause between two events of an answer.
    pub fn observe(&mut self, pause: Duration, now: Duration) {
        let newest = pause.as_secs_f64();
        let average = match self.recent(now) {
            Some(average) => average + (newest - average) * SAMPLE_WEIGHT,
            None => newest,
        };
        self.average = Some((average, now));
    }

    fn recent(&self, now: Duration) -> Option<f64> {
        let (average, at) = self.average?;
        (now.saturating_sub(at) <= MAX_AVERAGE_AGE).then_some(average)
    }

    /// Returns the number of requests that a server may have in flight, between a quarter of
    /// `slots` and `slots`. `load` is the number that it has now.
    pub fn concurrency_limit(&self, goal: &PauseGoal, slots: f64, load: u32, now: Duration) -> f64 {
        let Some(pause) = self.recent(now) else { return slots };
        let allowed = goal.objective.as_secs_f64() * PASS_SHARE;
        let empty = goal.empty_pass.as_secs_f64();
        if pause <= allowed || allowed <= empty {
            return slots;
        }
        let limit = f64::from(load) * (allowed - empty) / (pause - empty);
        limit.clamp(slots * MIN_FILL, slots)
    }
}

/// The load and the pass time of one group, averaged over the same pauses.
#[derive(Clone, Copy, Debug, Default)]
struct GroupPassTime {
    pass_time: PassTime,
    /// Requests in flight at all ranks together.
    load: f64,
}

/// The pass times of groups, each averaged over all of its ranks.
#[derive(Clone, Debug, Default)]
pub struct GroupPassTimes {
    averages: Map<String, GroupPassTime>,
}

impl GroupPassTimes {
    /// Records a pause between two events of an answer from a rank of a group, whose ranks have `load`
    /// requests in flight.
    pub fn observe(&mut self, group: &str, pause: Duration, load: u32, now: Duration) {
        if !self.averages.contains_key(group) {
            self.averages.insert(group.to_owned(), GroupPassTime::default());
        }
        let Some(group) = self.averages.get_mut(group) else { return };
        let weight = if group.pass_time.recent(now).is_some() { SAMPLE_WEIGHT } else { 1.0 };
        group.load += (f64::from(load) - group.load) * weight;
        group.pass_time.observe(pause, now);
    }

    /// Returns the recent mean length of a group's passes, if known.
    pub fn mean(&self, group: &str, now: Duration) -> Option<Duration> {
        let seconds = self.averages.get(group)?.pass_time.recent(now)?;
        Duration::try_from_secs_f64(seconds).ok()
    }

    /// Returns the number of requests that the ranks of a group together can have in flight with
    /// passes within the goal, between a quarter of their `slots` and all of them. Beyond what an
    /// empty pass takes, passes are assumed to take longer in proportion to the load.
    pub fn capacity(&self, group: &str, goal: &PauseGoal, slots: f64, now: Duration) -> f64 {
        let Some(GroupPassTime { pass_time, load }) = self.averages.get(group) else {
            return slots;
        };
        let Some(pause) = pass_time.recent(now) else { return slots };
        let allowed = goal.objective.as_secs_f64() * PASS_SHARE;
        let empty = goal.empty_pass.as_secs_f64();
        if pause <= empty || allowed <= empty {
            return slots;
        }
        (load * (allowed - empty) / (pause - empty)).clamp(slots * MIN_FILL, slots)
    }

    /// Discards the average of a group that has formed again.
    pub fn forget(&mut self, group: &str) {
        self.averages.remove(group);
    }

    /// Returns the groups whose passes take more than twice the objective, so that their answers
    /// cannot be on time.
    pub fn slow(&self, goal: &PauseGoal, now: Duration) -> Vec<&str> {
        let limit = goal.objective.as_secs_f64() * SLOW_GROUP_OBJECTIVES;
        let slow =
            |group: &GroupPassTime| group.pass_time.recent(now).is_some_and(|pause| pause > limit);
        let groups = self.averages.iter().filter(|(_, group)| slow(group));
        groups.map(|(group, _)| group.as_str()).collect()
    }
}
