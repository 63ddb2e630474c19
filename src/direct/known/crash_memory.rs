//! Remembers which requests, and which parts of prompts, crash the targets that run them.
//!
//! A request that is sent again is recognised as a whole. Where no two requests are alike, what they
//! share is a part of their prompts, so each crash is recorded for the parts of the lost requests
//! too, whichever route or customer they come by. See docs/PLATFORM.md.

use std::fmt;
use std::rc::Rc;
use std::time::Duration;

use crate::direct::known::crash_history::{CrashHistory, Dispatch};
use crate::direct::known::crash_record::{Crash, CrashReport};

/// What a record of crashes is about.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Subject {
    /// A request, by its fingerprint.
    Request(u64),
    /// A part of prompts, by its id.
    Part(u64),
}

impl Subject {
    /// Returns the subject of a report.
    pub fn of(report: &CrashReport) -> Self {
        match report.part {
            true => Self::Part(report.fingerprint),
            false => Self::Request(report.fingerprint),
        }
    }
}

impl fmt::Display for Subject {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Request(fingerprint) => write!(f, "fingerprint={fingerprint:016x}"),
            Self::Part(id) => write!(f, "part={id:x}"),
        }
    }
}

/// An attempt that was sent to a target and has not ended.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The target's id.
    pub target: String,
    request: Dispatch,
    parts: Vec<Dispatch>,
}

/// A crash that was added to a record.
pub type SubjectCrash = (Subject, Crash);

/// The records of requests and of the parts of prompts.
#[derive(Debug)]
pub struct CrashMemory {
    pub(super) requests: CrashHistory,
    pub(super) parts: CrashHistory,
}

impl CrashMemory {
    /// Returns an empty memory whose records expire `ttl` after their last crash.
    pub fn new(ttl: Duration) -> Self {
        Self { requests: CrashHistory::new(ttl), parts: CrashHistory::of_parts(ttl) }
    }

    /// Returns an attempt that is about to be sent to a target.
    pub fn dispatch(
        &self,
        fingerprint: u64,
        parts: &[u64],
        target: &str,
        now: Duration,
    ) -> Attempt {
        let request = self.requests.dispatch(fingerprint, target, now);
        let all: Rc<[u64]> = parts.into();
        let parts = parts.iter().map(|part| self.parts.dispatch_part(*part, &all, target, now));
        let parts = parts.collect();
        Attempt { target: target.to_owned(), request, parts }
    }

    /// Clears a request of all crashes known so far, since a target answered it completely, and the
    /// parts of its prompt if the answer was a success. Returns true if a record is to be written to
    /// the store.
    pub fn record_answered(
        &mut self,
        fingerprint: u64,
        parts: &[u64],
        succeeded: bool,
        now: Duration,
    ) -> bool {
        let mut unsaved = self.requests.record_answered(fingerprint, now);
        if succeeded && !parts.is_empty() {
            self.parts.record_success();
            for part in parts {
                unsaved |= self.parts.record_answered(*part, now);
            }
        }
        unsaved
    }

    /// Records that an attempt ended without an answer. Returns the crashes that it adds, if the
    /// target is already known to have ended.
    pub fn record_unanswered(&mut self, attempt: Attempt, now: Duration) -> Vec<SubjectCrash> {
        let Self { requests, parts } = self;
        let request = requests.record_unanswered(attempt.request, now);
        let parts = attempt.parts.into_iter().filter_map(|part| parts.record_unanswered(part, now));
        request.into_iter().map(of_request).chain(parts.map(of_part)).collect()
    }

    /// Records that a target has ended without being told to. Returns the crashes that this adds to
    /// what recently ended there without an answer.
    pub fn record_target_ended(&mut self, target: &str, now: Duration) -> Vec<SubjectCrash> {
        let requests = self.requests.record_target_ended(target, now).into_iter().map(of_request);
        let parts = self.parts.record_target_ended(target, now).into_iter().map(of_part);
        requests.chain(parts).collect()
    }

    /// Returns why a request is refused and for how long; `None` if it is not refused.
    pub fn refused_for(
        &self,
        fingerprint: u64,
        parts: &[u64],
        now: Duration,
    ) -> Option<(Subject, Duration)> {
        let request = self.requests.refused_for(fingerprint, now);
        let request = request.map(|left| (Subject::Request(fingerprint), left));
        let refused_part = |part: &u64| {
            let left = self.parts.refused_beside(*part, parts, now);
            left.map(|left| (Subject::Part(*part), left))
        };
        request.or_else(|| parts.iter().find_map(refused_part))
    }

    /// Returns the number of requests and the number of parts that are refused.
    pub fn refused_counts(&self) -> (usize, usize) {
        (self.requests.refused_count(), self.parts.refused_count())
    }

    /// Adds what another entry has on record. Returns the crash if the subject is refused since.
    pub fn merge(&mut self, report: &CrashReport, now: Duration) -> Option<SubjectCrash> {
        let crash = self.history_mut(report).merge(report, now)?;
        Some((Subject::of(report), crash))
    }

    /// Makes heartbeats carry all that is or was refused, for an entry that has just started.
    pub fn announce_refused(&mut self, now: Duration) {
        self.requests.announce_refused(now);
        self.parts.announce_refused(now);
    }

    /// Returns the reports for one heartbeat. `sequence` is its number.
    pub fn reports(&self, sequence: u64, now: Duration) -> Vec<CrashReport> {
        let mut reports = self.parts.reports(sequence, now);
        reports.extend(self.requests.reports(sequence, now));
        reports
    }

    /// Returns a record that this entry has to write to the store.
    pub fn next_unsaved(&self, now: Duration) -> Option<CrashReport> {
        self.parts.next_unsaved(now).or_else(|| self.requests.next_unsaved(now))
    }

    /// Records that a report was written to the store.
    pub fn mark_saved(&mut self, report: &CrashReport) {
        self.history_mut(report).mark_saved(report);
    }

    /// Records that the store came back from an older copy. Returns the number of records that this
    /// entry has to write again.
    pub fn record_store_returned(&mut self) -> usize {
        self.requests.record_store_returned() + self.parts.record_store_returned()
    }

    /// Drops what has expired.
    pub fn expire(&mut self, now: Duration) {
        self.requests.expire(now);
        self.parts.expire(now);
    }

    fn history_mut(&mut self, report: &CrashReport) -> &mut CrashHistory {
        if report.part { &mut self.parts } else { &mut self.requests }
    }
}

fn of_request(crash: Crash) -> SubjectCrash {
    (Subject::Request(crash.fingerprint), crash)
}

fn of_part(crash: Crash) -> SubjectCrash {
    (Subject::Part(crash.fingerprint), crash)
}
