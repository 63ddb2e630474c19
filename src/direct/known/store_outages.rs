//! Decides whether targets that disappear from the store's list may have lapsed.
//!
//! Load pattern: the store is unavailable for a while, and the leases of healthy targets expire
//! meanwhile. They register again soon after the store recovers; removing them at once would leave
//! callers without targets for that time. A target that leaves while the store is available is gone,
//! and a request that is sent there later is lost.
//!
//! A failed call alone does not tell the two apart: a watch was cut, or one entry cannot reach the
//! store. Leases expire only while the store answers nobody, so what counts is when it last answered
//! any entry, which heartbeats tell. See docs/PLATFORM.md.

use std::cell::Cell;
use std::time::Duration;

/// Renewals of its lease that a target must miss before the lease expires. It expires after three
/// intervals, of which one may have passed when the outage began.
const MISSED_RENEWALS: u32 = 2;

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
    /// When it last left a call of any entry unanswered.
    failed_at: Cell<Option<Duration>>,
    /// The end of the last outage.
    ended_at: Cell<Option<Duration>>,
}

impl StoreOutages {
    /// Returns the record of a store in which targets renew their leases at an interval.
    pub fn new(renewal_interval: Duration) -> Self {
        Self {
            min_silence: renewal_interval * MISSED_RENEWALS,
            answered_at: Cell::default(),
            failed_at: Cell::default(),
            ended_at: Cell::default(),
        }
    }

    /// Records that a call of some entry failed at a time.
    pub fn record_failure(&self, at: Duration) {
        self.failed_at.set(self.failed_at.get().max(Some(at)));
    }

    /// Records that the store answered some entry at a time. Returns how long it had been silent if
    /// that ends an outage.
    pub fn record_answer(&self, at: Duration) -> Option<Duration> {
        let last = self.answered_at.get();
        self.answered_at.set(last.max(Some(at)));
        let silence = at.checked_sub(last?)?;
        let outage = silence >= self.min_silence && self.failed_at.get() > last;
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
    fn is_out(&self, now: Duration) -> bool {
        let Some(last) = self.answered_at.get() else { return false };
        now.saturating_sub(last) >= self.min_silence && self.failed_at.get() > Some(last)
    }

    /// Returns true until the time to register again has passed and the store has answered since.
    fn may_register_again(&self, now: Duration) -> bool {
        let Some(ended) = self.ended_at.get() else { return false };
        let is_checked = self.answered_at.get() >= Some(ended + REREGISTRATION_TIME);
        now < ended + REREGISTRATION_TIME + PROPAGATION_TIME || !is_checked
    }
}
