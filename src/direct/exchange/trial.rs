//! Lets one request at a time run of those that may be at fault in a crash on record; see
//! [`crash_trials`](crate::direct::known::crash_trials).

use std::mem;
use std::rc::Rc;
use std::result;
use std::time::Duration;

use tokio::time;

use crate::direct::exchange::call::Call;
use crate::direct::known::crash_memory::Subject;
use crate::direct::message::{Cause, LocalAnswer};
use crate::problem::Executed;

/// Interval at which a request that waits for a trial looks whether it has ended.
const TRIAL_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// The result of waiting for a trial; the error is the answer for the caller.
pub(super) type Result<T> = result::Result<T, LocalAnswer>;

impl Call {
    /// Begins a trial of the request, if a crash on record may be its fault, and tells the other entries
    /// at once. A trial of an earlier attempt has ended.
    fn begin_trials(&mut self) {
        let (left, now) = (self.time_left(), self.entry.now());
        let mut crashes = self.entry.crashes.borrow_mut();
        self.trials = crashes.begin_trials(self.fingerprint, &self.prompt_parts, left, now);
        if !self.trials.is_empty() {
            self.entry.crashes_changed.notify_one();
        }
    }

    /// Ends the trial of the last attempt.
    pub fn end_trials(&mut self) {
        let trials = mem::take(&mut self.trials);
        if !trials.is_empty() {
            self.entry.crashes.borrow_mut().end_trials(&trials);
        }
    }
}

/// Checks that a request is not refused.
///
/// # Errors
///
/// Returns the answer for the caller if targets crashed under it, or under a part of its prompt.
pub(super) fn check_refusal(call: &Call) -> Result<()> {
    let (crashes, now) = (call.entry.crashes.borrow(), call.entry.now());
    match crashes.refused_for(call.fingerprint, &call.prompt_parts, now) {
        Some((subject, left)) => Err(suspected(call, subject, left)),
        None => Ok(()),
    }
}

/// Waits up to `max_wait` while a copy of the request, or a request with a part in common, is on trial, and
/// begins one of the request if a crash is on record.
///
/// # Errors
///
/// Returns the answer for the caller if the request is refused, or the trial has not ended in time.
pub(super) async fn wait(call: &mut Call, max_wait: Duration) -> Result<()> {
    let entry = Rc::clone(&call.entry);
    let started = entry.now();
    call.end_trials();
    loop {
        check_refusal(call)?;
        let now = entry.now();
        let left = entry.crashes.borrow().trial_left(call.fingerprint, &call.prompt_parts, now);
        let Some((subject, left)) = left else {
            call.begin_trials();
            return Ok(());
        };
        let wait = max_wait.saturating_sub(now.saturating_sub(started));
        if wait.is_zero() {
            return Err(suspected(call, subject, left));
        }
        time::sleep(TRIAL_CHECK_INTERVAL.min(wait)).await;
    }
}

fn suspected(call: &Call, subject: Subject, retry_after: Duration) -> LocalAnswer {
    let cause = match subject {
        Subject::Request(_) => Cause::CrashingRequest,
        Subject::Part(_) => Cause::CrashingPart,
    };
    let executed = if call.may_have_run { Executed::Unknown } else { Executed::No };
    LocalAnswer { cause, executed, retry_after: Some(retry_after) }
}
