//! Holds requests that may crash targets to one attempt at a time, over all entries.
//!
//! Load pattern: copies of a request that crashes each target that runs it arrive together, at several
//! entries. Each copy that is under way takes a target with it, and all of these crashes count once, since
//! targets also end for other reasons while copies of a sound request run there. So once a crash is on
//! record, one copy at a time is a trial, of which its entry tells the others at once; the next one starts
//! when it has been answered, which clears the record, or has crashed its target, which adds to it.
//!
//! Two entries that start a trial before they hear of each other run two copies. A request without a
//! crash on record waits for nobody.

use std::time::Duration;

use crate::direct::known::answered_parts::MIN_CRASH_LIMIT;
use crate::direct::known::crash_history::CrashHistory;
use crate::direct::known::crash_memory::{CrashMemory, Subject};
use crate::direct::known::crash_record::{ANNOUNCEMENT_TIME, Record, Trial};

/// Longest time for which others wait for a trial of which nothing more is heard.
pub(super) const MAX_TRIAL_TIME: Duration = Duration::from_secs(3);

impl Record {
    /// Returns the end of a trial in progress; `None` unless there is one since the last crash.
    fn trial_end(&self, now: Duration) -> Option<Duration> {
        let trials = [self.local_trial, self.remote_trial].into_iter().flatten();
        let current = trials.filter(|trial| trial.crashes >= self.crashes && trial.until > now);
        current.map(|trial| trial.until).max()
    }

    /// Returns true while this entry has an attempt under way as a trial.
    pub(super) fn is_on_trial_here(&self, now: Duration) -> bool {
        self.local_trial_left(now).is_some()
    }

    /// Returns the time that is left of a trial of this entry.
    pub(super) fn local_trial_left(&self, now: Duration) -> Option<Duration> {
        let trial = self.local_trial.filter(|trial| trial.crashes >= self.crashes)?;
        trial.until.checked_sub(now).filter(|left| !left.is_zero())
    }
}

impl CrashHistory {
    /// Returns the record of a subject that may be at fault in crashes that no answer has cleared.
    fn suspect(&self, subject: u64, parts: &[u64]) -> Option<&Record> {
        let record = self.records.get(&subject).filter(|record| record.uncleared() > 0)?;
        let is_known_sound = |part: u64| !self.may_be_at_fault(part);
        let is_suspect = self.answered_parts.is_none()
            || !is_known_sound(subject) && record.limit <= MIN_CRASH_LIMIT;
        let mut companions = record.companions.iter();
        let is_explained = companions.all(|other| parts.contains(other) || is_known_sound(*other));
        (is_suspect && is_explained).then_some(record)
    }

    fn trial_left(&self, subject: u64, parts: &[u64], now: Duration) -> Option<Duration> {
        let until = self.suspect(subject, parts)?.trial_end(now)?;
        Some(until.saturating_sub(now))
    }

    fn begin_trial(&mut self, subject: u64, parts: &[u64], until: Duration, now: Duration) -> bool {
        if self.suspect(subject, parts).is_none() {
            return false;
        }
        if let Some(record) = self.records.get_mut(&subject) {
            record.local_trial = Some(Trial { crashes: record.crashes, until });
            record.announced_until = now + ANNOUNCEMENT_TIME;
        }
        true
    }

    fn end_trial(&mut self, subject: u64) {
        if let Some(record) = self.records.get_mut(&subject) {
            record.local_trial = None;
        }
    }
}

/// The attempt of a request, or of requests with a part of a prompt, that others wait for.
#[derive(Debug, Default)]
pub struct Trials {
    request: Option<u64>,
    parts: Vec<u64>,
}

impl Trials {
    /// Returns true if nobody waits for the attempt.
    pub fn is_empty(&self) -> bool {
        self.request.is_none() && self.parts.is_empty()
    }
}

impl CrashMemory {
    /// Returns what is on trial that a request waits for, itself by a copy or a part that another request has
    /// in common with it, and for how long; `None` if it need not wait.
    pub fn trial_left(
        &self,
        fingerprint: u64,
        parts: &[u64],
        now: Duration,
    ) -> Option<(Subject, Duration)> {
        let request = self.requests.trial_left(fingerprint, &[], now);
        let request = request.map(|left| (Subject::Request(fingerprint), left));
        let parts = parts.iter().filter_map(|part| {
            let left = self.parts.trial_left(*part, parts, now)?;
            Some((Subject::Part(*part), left))
        });
        request.into_iter().chain(parts).max_by_key(|(_, left)| *left)
    }

    /// Begins a trial of a request that is about to be sent, for all of it that may be at fault in a
    /// crash on record. `time_left` is the time until the request's deadline.
    pub fn begin_trials(
        &mut self,
        fingerprint: u64,
        parts: &[u64],
        time_left: Duration,
        now: Duration,
    ) -> Trials {
        let until = now + time_left.min(MAX_TRIAL_TIME);
        let is_request = self.requests.begin_trial(fingerprint, &[], until, now);
        let on_trial = parts.iter().copied();
        let on_trial = on_trial.filter(|part| self.parts.begin_trial(*part, parts, until, now));
        Trials { request: is_request.then_some(fingerprint), parts: on_trial.collect() }
    }

    /// Ends the trials of an attempt.
    pub fn end_trials(&mut self, trials: &Trials) {
        trials.request.iter().for_each(|request| self.requests.end_trial(*request));
        trials.parts.iter().for_each(|part| self.parts.end_trial(*part));
    }
}
