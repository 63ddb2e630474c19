//! Decides how long a request waits for a slot, and when a refused caller may retry.
//!
//! Load pattern: more requests than slots. A slot becomes available every few milliseconds, so a
//! short wait often finds one; a long wait makes the answer late and only moves the queue from the
//! targets into the entry. A request that gets no slot in time is refused at once. Its retry-after
//! grows with the share of requests that are refused, and is randomized so that callers do not
//! retry all at the same moment.

use std::time::Duration;

use crate::direct::known::configuration::AnswerForm;

/// The longest wait for a slot, as a share of the route's objective.
const MAX_WAIT_SHARE: f64 = 0.125;

/// The longest wait for a permit, as a share of the route's objective. The rest is left to the target,
/// which is overloaded.
const MAX_PERMIT_WAIT_SHARE: f64 = 0.5;

/// The longest wait while all targets are unavailable. Callers abandon an attempt that brings
/// nothing for two seconds, and the first event takes a part of that time.
const MAX_OUTAGE_WAIT: Duration = Duration::from_millis(1_600);

/// The shortest retry-after of a caller refused for lack of slots, unless its deadline is nearer.
pub const MIN_RETRY_AFTER: Duration = Duration::from_millis(150);

/// The shortest retry-after for a service whose targets are all unavailable; a group takes about
/// this long to form again.
const OUTAGE_RETRY_AFTER: Duration = Duration::from_millis(1_000);

/// The part of a backoff over which the callers that it held up return.
const BACKOFF_SPREAD: f64 = 0.25;

/// The longest retry-after, as a share of the time until the caller's deadline.
const MAX_RETRY_AFTER_SHARE: f64 = 0.3;

/// Weight of a new request in the moving average of refused requests.
const SAMPLE_WEIGHT: f64 = 0.02;

/// Weight of a new answer in the moving average of the time to the first event.
const FIRST_EVENT_WEIGHT: f64 = 0.2;

/// Weight of a new answer in the moving average of the time that answers take.
const ANSWER_TIME_WEIGHT: f64 = 0.125;

/// Weight of a new answer in the moving average of the deviation from that time.
const DEVIATION_WEIGHT: f64 = 0.25;

/// Deviations above the mean within which nearly all answers end.
const EXPECTED_DEVIATIONS: f64 = 4.0;

/// Moving averages of how a service recently served the requests of this entry.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServiceLoad {
    /// Share of requests refused for lack of slots, from 0 to 1.
    refused_share: f64,
    /// Time from arrival to the first event, as a multiple of the objective.
    first_event_time: Option<f64>,
    document_time: Option<AnswerTime>,
    stream_time: Option<AnswerTime>,
}

/// Moving averages of the time from the arrival of a request to the end of its answer, in seconds.
#[derive(Clone, Copy, Debug)]
struct AnswerTime {
    mean: f64,
    /// The absolute difference of an answer's time from the mean.
    deviation: f64,
}

impl ServiceLoad {
    /// Records the time from a request's arrival to the first event of its answer, as a multiple of
    /// the route's objective.
    pub fn record_first_event(&mut self, objectives: f64) {
        let average = self.first_event_time.unwrap_or(objectives);
        self.first_event_time = Some(average + (objectives - average) * FIRST_EVENT_WEIGHT);
    }

    /// Records the time from a request's arrival to the end of its answer.
    pub fn record_answer_time(&mut self, form: AnswerForm, took: Duration) {
        let took = took.as_secs_f64();
        let time = match form {
            AnswerForm::Document => &mut self.document_time,
            AnswerForm::Events => &mut self.stream_time,
        };
        let AnswerTime { mean, deviation } =
            time.unwrap_or(AnswerTime { mean: took, deviation: took / 2.0 });
        let difference = took - mean;
        *time = Some(AnswerTime {
            mean: mean + difference * ANSWER_TIME_WEIGHT,
            deviation: deviation + (difference.abs() - deviation) * DEVIATION_WEIGHT,
        });
    }

    /// Returns the time within which nearly all answers of a form end, as a sender estimates the
    /// time of a round trip; `None` if no answer has ended yet.
    pub fn expected_answer_time(&self, form: AnswerForm) -> Option<Duration> {
        let time = match form {
            AnswerForm::Document => self.document_time,
            AnswerForm::Events => self.stream_time,
        };
        let AnswerTime { mean, deviation } = time?;
        Some(Duration::from_secs_f64(mean + deviation * EXPECTED_DEVIATIONS))
    }

    /// Returns the mean time from the arrival of a request to the end of its answer; `None` if no
    /// answer of the form has ended yet.
    pub fn mean_answer_time(&self, form: AnswerForm) -> Option<Duration> {
        let AnswerTime { mean, .. } = match form {
            AnswerForm::Document => self.document_time,
            AnswerForm::Events => self.stream_time,
        }?;
        Duration::try_from_secs_f64(mean).ok()
    }

    /// Returns true if answers begin later than their objective on average, or if there has been
    /// none yet. A target that is silent then is most likely busy, and a retry at another one would
    /// add to the load.
    pub fn is_overloaded(&self) -> bool {
        self.first_event_time.is_none_or(|objectives| objectives > 1.0)
    }

    /// Records that a request got a slot.
    pub fn record_admitted(&mut self) {
        self.refused_share -= self.refused_share * SAMPLE_WEIGHT;
    }

    /// Records that a request was refused for lack of slots.
    pub fn record_refused(&mut self) {
        self.refused_share += (1.0 - self.refused_share) * SAMPLE_WEIGHT;
    }

    /// Returns the retry-after of a caller that found all targets unavailable: at least the time in
    /// which a group forms again, and up to twice that, so that callers return spread out. `draw`
    /// is a uniform random number from 0 to 1.
    pub fn retry_after_outage(time_left: Duration, draw: f64) -> Duration {
        let max_delay = time_left.mul_f64(MAX_RETRY_AFTER_SHARE);
        (OUTAGE_RETRY_AFTER + OUTAGE_RETRY_AFTER.mul_f64(draw)).min(max_delay)
    }

    /// Returns the retry-after of a caller that found all targets in a backoff, of which the first ends
    /// after `backoff`. `draw` is a uniform random number from 0 to 1, which spreads the returns.
    pub fn retry_after_backoff(backoff: Duration, draw: f64) -> Duration {
        let spread = MIN_RETRY_AFTER + backoff.mul_f64(BACKOFF_SPREAD);
        (backoff + spread.mul_f64(draw)).max(MIN_RETRY_AFTER)
    }

    /// Returns the retry-after of a caller refused for lack of slots, between 150 ms and 30 % of
    /// the time left. `draw` is a uniform random number from 0 to 1, and places are expected to be
    /// free after `place_after`.
    pub fn retry_after(&self, time_left: Duration, draw: f64, place_after: Duration) -> Duration {
        let max_delay = time_left.mul_f64(MAX_RETRY_AFTER_SHARE);
        let range =
            max_delay.saturating_sub(MIN_RETRY_AFTER).mul_f64(self.refused_share.sqrt() * draw);
        (MIN_RETRY_AFTER.max(place_after.mul_f64(draw)) + range).min(max_delay)
    }
}

/// Returns how long a request may wait while all targets are unavailable. Targets that failed
/// together mostly recover together, within about a second, and a caller that is refused meanwhile
/// has used up one of its few attempts.
pub fn max_outage_wait(time_left: Duration) -> Duration {
    MAX_OUTAGE_WAIT.min(time_left / 4)
}

/// Returns how long a request may wait for a permit whose time is known.
pub fn max_permit_wait(objective: Duration, time_left: Duration) -> Duration {
    objective.mul_f64(MAX_PERMIT_WAIT_SHARE).min(time_left / 4)
}

/// Returns how long a request may wait for a slot while targets are full.
pub fn max_wait(objective: Duration, time_left: Duration) -> Duration {
    objective.mul_f64(MAX_WAIT_SHARE).min(time_left / 4)
}
