//! Remembers under which requests targets crashed, so that a request that crashes every target that
//! runs it reaches only a few of them.
//!
//! Load pattern: a caller sends such a request again and again, each time as a new attempt and to
//! any entry. Entries exchange their records on heartbeats and refuse a request after
//! [`MAX_CRASHES`].
//!
//! A target that ends takes down all requests that it runs, and at most one of them is the cause.
//! Two rules keep harmless requests from being refused. An attempt carries the number of crashes
//! that were known when it was dispatched, and a crash under it raises the record to one more than
//! that; so however many targets crash at once, copies of one request in progress there count once.
//! From the first crash on, [`crash_trials`](crate::direct::known::crash_trials) lets one copy run at a time.
//! And a complete answer to the request clears all crashes known by then.
//!
//! The same holds for the parts of prompts, which many requests share; see
//! [`crash_memory`](crate::direct::known::crash_memory).
//!
//! See docs/PLATFORM.md.

use std::collections::VecDeque;
use std::mem;
use std::rc::Rc;
use std::time::Duration;

use crate::collections::Map;
use crate::direct::known::answered_parts::{AnsweredParts, MAX_CRASH_LIMIT, MIN_CRASH_LIMIT};
use crate::direct::known::companions;
use crate::direct::known::crash_record::{ANNOUNCEMENT_TIME, Crash, CrashReport, Record, Trial};
use crate::direct::known::crash_trials::MAX_TRIAL_TIME;
use crate::entry::core::crashes::MAX_CRASHES;

/// Time after the end of an attempt in which the end of its target is attributed to it. The target
/// list shows the end of a target only after several missed heartbeats of that target.
const ATTRIBUTION_WINDOW: Duration = Duration::from_secs(10);

/// Limit of the requests on record, and of the ended attempts whose target may have crashed.
const MAX_RECORDS: usize = 1_024;

/// Crash reports in one heartbeat; the limit keeps it within one packet.
const MAX_REPORTS: usize = 8;

/// An attempt that was sent to a target and has not ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Dispatch {
    /// The target's id.
    pub target: String,
    /// The request's fingerprint.
    pub fingerprint: u64,
    /// The crashes on the request's record when it was sent.
    known_crashes: u32,
    /// The parts of the prompt, if the record is about one of them.
    parts: Rc<[u64]>,
    /// When it was sent, on the entry's clock.
    at: Duration,
}

/// The crashes of targets that this entry has seen or heard of.
#[derive(Debug)]
pub struct CrashHistory {
    /// The records by fingerprint.
    pub(super) records: Map<u64, Record>,
    /// Attempts that ended without an answer, oldest first, with the time of their end.
    unanswered: VecDeque<(Dispatch, Duration)>,
    /// When targets were found to have ended.
    ended_targets: Map<String, Duration>,
    /// The time for which a record is kept after its last change.
    ttl: Duration,
    /// The answered parts, if the records are about parts of prompts.
    pub(super) answered_parts: Option<AnsweredParts>,
}

impl CrashHistory {
    /// Returns an empty history of requests whose records expire `ttl` after their last crash.
    pub fn new(ttl: Duration) -> Self {
        let (records, ended_targets) = (Map::default(), Map::default());
        Self { records, unanswered: VecDeque::new(), ended_targets, ttl, answered_parts: None }
    }

    /// Returns an empty history of parts of prompts, whose ids take the place of fingerprints. Many
    /// requests share a part, so it is refused after more crashes than a request.
    pub fn of_parts(ttl: Duration) -> Self {
        Self { answered_parts: Some(AnsweredParts::default()), ..Self::new(ttl) }
    }

    /// Returns the crashes in sequence after which a subject is refused, as far as this entry knows.
    fn limit(&self, fingerprint: u64) -> u32 {
        let max_crashes = u32::try_from(MAX_CRASHES).unwrap_or(u32::MAX);
        self.answered_parts.as_ref().map_or(max_crashes, |parts| parts.crash_limit(fingerprint))
    }

    /// Returns an attempt that is about to be sent to a target.
    pub fn dispatch(&self, fingerprint: u64, target: &str, now: Duration) -> Dispatch {
        self.dispatch_part(fingerprint, &Rc::default(), target, now)
    }

    /// Returns an attempt that is about to be sent to a target, for one of the parts of its prompt.
    pub fn dispatch_part(
        &self,
        fingerprint: u64,
        parts: &Rc<[u64]>,
        target: &str,
        now: Duration,
    ) -> Dispatch {
        let known_crashes = self.records.get(&fingerprint).map_or(0, |record| record.crashes);
        let parts = Rc::clone(parts);
        Dispatch { target: target.to_owned(), fingerprint, known_crashes, parts, at: now }
    }

    /// Returns true unless a part is known to be sound: an answer has cleared it, here or elsewhere.
    pub(super) fn may_be_at_fault(&self, part: u64) -> bool {
        let unanswered = self.limit(part) <= MIN_CRASH_LIMIT;
        let record = self.records.get(&part);
        unanswered && record.is_none_or(|record| record.cleared == 0)
    }

    /// Records that a request succeeded, whatever its parts.
    pub fn record_success(&mut self) {
        if let Some(parts) = &mut self.answered_parts {
            parts.record_request();
        }
    }

    /// Clears a request of all crashes known so far, since a target answered it completely. Returns
    /// true if the record is to be written to the store.
    pub fn record_answered(&mut self, fingerprint: u64, now: Duration) -> bool {
        if let Some(parts) = &mut self.answered_parts {
            parts.record(fingerprint, now);
        }
        let limit = self.limit(fingerprint);
        match self.records.get_mut(&fingerprint) {
            Some(record) if record.uncleared() > 0 => {
                record.unsaved |= record.was_refused;
                record.cleared = record.crashes;
                record.limit = record.limit.max(limit);
                record.announced_until = now + ANNOUNCEMENT_TIME;
                record.unsaved
            }
            Some(_) | None => false,
        }
    }

    /// Records that an attempt ended without an answer. Returns the crash that it adds, if the
    /// target is already known to have ended.
    pub fn record_unanswered(&mut self, dispatch: Dispatch, now: Duration) -> Option<Crash> {
        let ended = self.ended_targets.get(&dispatch.target);
        if ended.is_some_and(|ended| *ended >= dispatch.at) {
            return self.add_crash(&dispatch, now);
        }
        if self.unanswered.len() >= MAX_RECORDS {
            self.unanswered.pop_front();
        }
        self.unanswered.push_back((dispatch, now));
        None
    }

    /// Records that a target has ended without being told to. Returns the crashes that this adds to
    /// the requests that recently ended there without an answer.
    pub fn record_target_ended(&mut self, target: &str, now: Duration) -> Vec<Crash> {
        self.ended_targets.insert(target.to_owned(), now);
        let (lost, others): (VecDeque<_>, VecDeque<_>) =
            mem::take(&mut self.unanswered).into_iter().partition(|(d, _)| d.target == target);
        self.unanswered = others;
        let lost = lost.into_iter().filter(|(_, ended)| is_recent(*ended, now));
        lost.filter_map(|(dispatch, _)| self.add_crash(&dispatch, now)).collect()
    }

    fn add_crash(&mut self, dispatch: &Dispatch, now: Duration) -> Option<Crash> {
        if self.answered_parts.as_ref().is_some_and(|parts| !parts.is_informed(now)) {
            return None;
        }
        let fingerprint = dispatch.fingerprint;
        let crashes = dispatch.known_crashes.saturating_add(1);
        let (ttl, limit) = (self.ttl, self.limit(fingerprint));
        let others = dispatch.parts.iter().copied().filter(|part| *part != fingerprint);
        let others = companions::first(others.filter(|part| self.may_be_at_fault(*part)));
        let record = self.record_mut(fingerprint)?;
        record.add_companions(&others, now);
        if record.crashes >= crashes {
            return None;
        }
        record.crashes = crashes;
        record.limit = record.limit.max(limit);
        record.until = now + ttl;
        record.announced_until = now + ANNOUNCEMENT_TIME;
        record.was_refused |= record.is_refused();
        record.unsaved |= record.is_refused();
        Some(record.crash(fingerprint))
    }

    /// Returns the record of a request, a new one if there is none. Where that would exceed the
    /// limit, it replaces the one with the fewest crashes that is not refused; `None` if all are.
    fn record_mut(&mut self, fingerprint: u64) -> Option<&mut Record> {
        if !self.records.contains_key(&fingerprint) && self.records.len() >= MAX_RECORDS {
            let replaceable = self.records.iter().filter(|(_, record)| !record.is_refused());
            let least = replaceable.min_by_key(|(_, record)| (record.uncleared(), record.until));
            let least = least.map(|(fingerprint, _)| *fingerprint)?;
            self.records.remove(&least);
        }
        Some(self.records.entry(fingerprint).or_default())
    }

    /// Returns the time for which a request is still refused; `None` if it is not refused.
    pub fn refused_for(&self, fingerprint: u64, now: Duration) -> Option<Duration> {
        let record = self.records.get(&fingerprint)?;
        (record.is_refused() && record.until > now).then(|| record.until.saturating_sub(now))
    }

    /// Returns the time for which a part is still refused in a prompt with these parts; `None` if it
    /// is not refused, or not without a part that is missing here.
    pub fn refused_beside(&self, part: u64, parts: &[u64], now: Duration) -> Option<Duration> {
        let left = self.refused_for(part, now)?;
        let mut companions = self.records.get(&part)?.companions.iter();
        let explained =
            companions.all(|other| parts.contains(other) || !self.may_be_at_fault(*other));
        explained.then_some(left)
    }

    /// Returns the number of requests that are refused.
    pub fn refused_count(&self) -> usize {
        self.records.values().filter(|record| record.is_refused()).count()
    }

    /// Adds what another entry has on record. Returns the crash if the request is refused since.
    pub fn merge(&mut self, report: &CrashReport, now: Duration) -> Option<Crash> {
        let ttl = Duration::from_millis(report.ttl_ms).min(self.ttl);
        let own_limit = self.limit(report.fingerprint);
        let record = self.record_mut(report.fingerprint)?;
        let was_refused = record.is_refused();
        if report.crashes > report.cleared {
            record.add_companions(&report.companions, now);
        }
        record.crashes = record.crashes.max(report.crashes);
        record.cleared = record.cleared.max(report.cleared);
        record.until = record.until.max(now + ttl);
        if report.trial_ms > 0 {
            let until = now + Duration::from_millis(report.trial_ms).min(MAX_TRIAL_TIME);
            record.remote_trial = Some(Trial { crashes: report.crashes, until });
        }
        if own_limit > report.limit.max(record.limit) && report.crashes > report.cleared {
            // The sender does not know of the answers here.
            record.announced_until = now + ANNOUNCEMENT_TIME;
        }
        record.limit = record.limit.max(own_limit).max(report.limit.min(MAX_CRASH_LIMIT));
        if was_refused || !record.is_refused() {
            return None;
        }
        // The sender may not reach all entries.
        record.announced_until = now + ANNOUNCEMENT_TIME;
        record.was_refused = true;
        Some(record.crash(report.fingerprint))
    }

    /// Makes heartbeats carry all requests that are or were refused, for an entry that has just
    /// started. It may read from the store that a request is refused that was cleared since.
    pub fn announce_refused(&mut self, now: Duration) {
        for record in self.records.values_mut().filter(|record| record.was_refused) {
            record.announced_until = now + ANNOUNCEMENT_TIME;
        }
    }

    /// Returns the reports for one heartbeat: those of subjects refused or on trial first, then those with
    /// several crashes, and the others in turn. `sequence` is the number of the heartbeat.
    pub fn reports(&self, sequence: u64, now: Duration) -> Vec<CrashReport> {
        let announced = self.records.iter().filter(|(_, record)| record.announced_until > now);
        let (mut refused, others): (Vec<_>, Vec<_>) =
            announced.partition(|(_, record)| record.is_refused() || record.is_on_trial_here(now));
        let (mut repeated, mut others): (Vec<_>, Vec<_>) =
            others.into_iter().partition(|(_, record)| record.uncleared() > 1);
        let sequence = usize::try_from(sequence).unwrap_or(0);
        let mut slots = MAX_REPORTS;
        for list in [&mut refused, &mut repeated, &mut others] {
            list.sort_unstable_by_key(|(fingerprint, _)| **fingerprint);
            let offset = sequence.wrapping_mul(slots).checked_rem(list.len()).unwrap_or(0);
            list.rotate_left(offset);
            slots = slots.saturating_sub(list.len());
        }
        let part = self.answered_parts.is_some();
        let selected = refused.into_iter().chain(repeated).chain(others).take(MAX_REPORTS);
        selected.map(|(fingerprint, record)| record.report(*fingerprint, part, now)).collect()
    }

    /// Returns a record that this entry has to write to the store.
    pub fn next_unsaved(&self, now: Duration) -> Option<CrashReport> {
        let mut unsaved = self.records.iter().filter(|(_, record)| record.unsaved);
        let part = self.answered_parts.is_some();
        unsaved.next().map(|(fingerprint, record)| record.report(*fingerprint, part, now))
    }

    /// Records that a report was written to the store.
    pub fn mark_saved(&mut self, report: &CrashReport) {
        if let Some(record) = self.records.get_mut(&report.fingerprint) {
            let current = (record.crashes, record.cleared) == (report.crashes, report.cleared)
                && record.companions == report.companions;
            record.unsaved &= !current;
            record.saved = true;
        }
    }

    /// Records that the store came back from an older copy: what this entry has written there may be
    /// gone. Returns the number of records that it has to write again.
    pub fn record_store_returned(&mut self) -> usize {
        let saved = self.records.values_mut().filter(|record| record.saved);
        saved.map(|record| record.unsaved = true).count()
    }

    /// Drops what has expired.
    pub fn expire(&mut self, now: Duration) {
        self.records.retain(|_, record| record.until > now);
        if let Some(parts) = &mut self.answered_parts {
            parts.expire(self.ttl, now);
        }
        self.ended_targets.retain(|_, ended| is_recent(*ended, now));
        while self.unanswered.front().is_some_and(|(_, ended)| !is_recent(*ended, now)) {
            self.unanswered.pop_front();
        }
    }
}

fn is_recent(at: Duration, now: Duration) -> bool {
    now.saturating_sub(at) <= ATTRIBUTION_WINDOW
}
