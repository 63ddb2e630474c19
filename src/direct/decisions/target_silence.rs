//! Targets that say nothing, because their host is frozen or cut off.
//!
//! Load pattern: a host freezes for seconds while requests run and wait there. Nothing tells its
//! silence from a long queue at first, so requests pile up there, and callers leave. A target that
//! has not confirmed the end of a request may still run it, so the request counts as load until the
//! target speaks. The agents of its group notice the silence within a second; the target gets no
//! requests from then on, and what waits there is moved while its caller still waits.

use std::time::Duration;

/// Time after which a report of silence no longer counts; the agents repeat it twice in this time.
const MAX_REPORT_AGE: Duration = Duration::from_millis(1_500);

/// Time after which an unconfirmed request no longer counts as load. A target without an agent may
/// have nothing to say to this entry for long.
const MAX_UNCONFIRMED_AGE: Duration = Duration::from_secs(3);

/// What an entry knows of the silence of one target.
#[derive(Clone, Debug, Default)]
pub struct TargetSilence {
    /// When an agent last reported that the target answers nobody.
    reported_at: Option<Duration>,
    /// When requests were given up there that the target had not answered.
    abandoned_at: Vec<Duration>,
    /// True from the end of a silence to the next answer.
    returning: bool,
}

impl TargetSilence {
    /// Records a report that the target answers nobody. Returns true if it is new.
    pub fn record_report(&mut self, now: Duration) -> bool {
        let is_new = !self.is_silent(now);
        self.reported_at = Some(now);
        self.returning = true;
        is_new
    }

    /// Records that the target, or the agent on its host, was heard. Returns true if that ends a
    /// silence.
    pub fn record_heard(&mut self, now: Duration) -> bool {
        let was_silent = self.is_silent(now);
        self.reported_at = None;
        self.abandoned_at.clear();
        was_silent
    }

    /// Records that the target answered a request.
    pub fn record_answered(&mut self, now: Duration) {
        self.record_heard(now);
        self.returning = false;
    }

    /// Records that a request was given up that the target had not answered.
    pub fn record_abandoned(&mut self, now: Duration) {
        self.abandoned_at.retain(|at| now.saturating_sub(*at) < MAX_UNCONFIRMED_AGE);
        self.abandoned_at.push(now);
    }

    /// Returns true while the target answers nobody, as far as known.
    pub fn is_silent(&self, now: Duration) -> bool {
        self.reported_at.is_some_and(|at| now.saturating_sub(at) < MAX_REPORT_AGE)
    }

    /// Returns true from the end of a silence to the next answer. The target then gets one request
    /// at a time.
    pub fn is_returning(&self, now: Duration) -> bool {
        self.returning && !self.is_silent(now)
    }

    /// Returns the number of requests whose end the target has not confirmed.
    pub fn unconfirmed(&self, now: Duration) -> usize {
        let counts = |at: &&Duration| now.saturating_sub(**at) < MAX_UNCONFIRMED_AGE;
        self.abandoned_at.iter().filter(counts).count()
    }
}
