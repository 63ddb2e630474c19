//! Decides whether targets that disappear from the store's list may have lapsed.
//!
//! Load pattern: the store is unavailable for a while, and the leases of healthy targets expire
//! meanwhile. They register again soon after the store recovers; removing them at once would leave
//! callers without targets for that time. A target that leaves while the store is available is gone,
//! and a request that is sent there later is lost.
//!
//! A failed call alone does not tell the two apart: a watch was cut, or the store turns some entries away
//! and serves the others. Leases expire only while the store answers nobody, so what counts is when it last
//! answered any entry, which heartbeats tell. Nor does the silence of the few entries that had asked tell
//! anything of those that had not: an outage is evident once a majority has asked in vain. Only a part of a
//! large fleet asks, so a fixed number is enough there. See docs/PLATFORM.md.

use std::cell::{Cell, RefCell};
use std::time::Duration;

use crate::collections::Map;
use crate::direct::known::peers;

/// Renewals of its lease that a target must miss before the lease expires. It expires after three
/// intervals, of which one may have passed when the outage began.
const MISSED_RENEWALS: u32 = 2;

/// Entries without an answer that make an outage evident in any fleet. If the store turns a third of the
/// entries away, the probability that as many ask and all of them are among these is below one in a
/// hundred thousand.
const MAX_EVIDENCE: u32 = 12;

/// Share of the shortest silence in which leases expire within which entries ask in vain; the others hear
/// of it in the rest.
const EVIDENCE_SHARE: f64 = 5.0 / 6.0;

/// Time after the store's recovery within which running targets are on the list again, as the
/// platform guarantees.
const REREGISTRATION_TIME: Duration = Duration::from_millis(2_000);

/// Time for the last of these changes to reach this entry.
const PROPAGATION_TIME: Duration = Duration::from_millis(300);

/// What the absence of a target from the store's list means.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Absence {
    /// The target has left.
    Gone,
    /// Its lease may have expired in an outage, so it may register again.
    MayHaveLapsed,
}

/// The outages of the store, as an entry knows them from its own calls and from the other entries.
/// Times are those of the entry's clock.
#[derive(Debug)]
pub struct StoreOutages {
    /// The shortest silence of the store in which leases expire.
    min_silence: Duration,
    /// When the store last answered any entry.
    answered_at: Cell<Option<Duration>>,
    /// When it last left a call unanswered, by the entry that made it; only since the last answer.
    failed_at: RefCell<Map<String, Duration>>,
    /// The number of live entries, including the local one.
    entries: Cell<u32>,
    /// The end of the last outage.
    ended_at: Cell<Option<Duration>>,
}

impl StoreOutages {
    /// Returns the record of a store in which targets renew their leases at an interval.
    pub fn new(renewal_interval: Duration) -> Self {
        Self {
            min_silence: renewal_interval * MISSED_RENEWALS,
            answered_at: Cell::default(),
            failed_at: RefCell::default(),
            entries: Cell::new(1),
            ended_at: Cell::default(),
        }
    }

    /// Returns the time from the last answer within which entries have to have asked in vain, so that an
    /// outage is evident before the first leases expire in it.
    pub fn evidence_time(&self) -> Duration {
        self.min_silence.mul_f64(EVIDENCE_SHARE)
    }

    /// Sets the number of live entries, including the local one.
    pub fn set_entries(&self, entries: u32) {
        self.entries.set(entries.max(1));
    }

    /// Records that a call of the entry of this name failed at a time. Returns true if that is its first
    /// one since the store last answered any entry.
    pub fn record_failure(&self, entry: &str, at: Duration) -> bool {
        let mut failed_at = self.failed_at.borrow_mut();
        if self.answered_at.get() >= Some(at) {
            return false;
        }
        if let Some(last) = failed_at.get_mut(entry) {
            *last = at.max(*last);
            return false;
        }
        let is_first = failed_at.len() < peers::MAX_ENTRIES;
        if is_first {
            failed_at.insert(entry.to_owned(), at);
        }
        is_first
    }

    /// Returns true if enough entries have asked in vain since the last answer.
    fn is_evident(&self) -> bool {
        let enough = (self.entries.get() / 2 + 1).min(MAX_EVIDENCE);
        self.failed_at.borrow().len() >= usize::try_from(enough).unwrap_or(usize::MAX)
    }

    /// Records that the store answered some entry at a time. Returns how long it had been silent if
    /// that ends an outage.
    pub fn record_answer(&self, at: Duration) -> Option<Duration> {
        let last = self.answered_at.get();
        let is_evident = self.is_evident();
        self.answered_at.set(last.max(Some(at)));
        self.failed_at.borrow_mut().retain(|_, failed_at| *failed_at > at);
        let silence = at.checked_sub(last?)?;
        let outage = silence >= self.min_silence && is_evident;
        if outage {
            self.ended_at.set(Some(at));
        }
        outage.then_some(silence)
    }

    /// Records that the store came back from an older copy: targets that the copy does not list have
    /// as long as after an outage to register again.
    pub fn record_return(&self, now: Duration) {
        self.ended_at.set(Some(now));
    }

    /// Records when the last outage ended, as another entry knows it.
    pub fn adopt_end(&self, at: Duration) {
        self.ended_at.set(self.ended_at.get().max(Some(at)));
    }

    /// Returns the end of the last outage; `None` if there was none.
    pub fn ended_at(&self) -> Option<Duration> {
        self.ended_at.get()
    }

    /// Returns what it means that a target is missing from the list at a time.
    pub fn absence(&self, now: Duration) -> Absence {
        match self.is_out(now) || self.may_register_again(now) {
            true => Absence::MayHaveLapsed,
            false => Absence::Gone,
        }
    }

    /// Returns the time until the store is asked whether lapsed targets have registered again; `None`
    /// if that time has passed.
    pub fn time_to_check(&self, now: Duration) -> Option<Duration> {
        let due = self.ended_at.get()? + REREGISTRATION_TIME;
        due.checked_sub(now).filter(|left| !left.is_zero())
    }

    /// Returns the time until lapsed targets are removed, if the store answers then.
    pub fn time_to_removal(&self, now: Duration) -> Duration {
        let since = self.ended_at.get().filter(|_| !self.is_out(now)).unwrap_or(now);
        (since + REREGISTRATION_TIME + PROPAGATION_TIME).saturating_sub(now)
    }

    /// Returns true while the store answers no entry, for longer than leases last.
    pub fn is_out(&self, now: Duration) -> bool {
        let Some(last) = self.answered_at.get() else { return false };
        now.saturating_sub(last) >= self.min_silence && self.is_evident()
    }

    /// Returns true until the time to register again has passed and the store has answered since.
    fn may_register_again(&self, now: Duration) -> bool {
        let Some(ended) = self.ended_at.get() else { return false };
        let is_checked = self.answered_at.get() >= Some(ended + REREGISTRATION_TIME);
        now < ended + REREGISTRATION_TIME + PROPAGATION_TIME || !is_checked
    }
}
