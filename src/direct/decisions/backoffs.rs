//! Targets that ask this entry to leave them alone for a time.
//!
//! Load pattern: an overloaded target turns a request away with a retry-after. It asks each entry by
//! itself, and other targets of its service or group may be sound, so nothing follows for them or for
//! other entries. Once the backoff has ended, the target gets one request at a time until it has
//! answered one: all that wait would otherwise come at once. See docs/PLATFORM.md.

use std::time::Duration;

use crate::collections::Map;

/// Longest backoff that a target is granted, so that one that asks for years by mistake is tried again.
const MAX_BACKOFF: Duration = Duration::from_secs(3_600);

/// Time for which a backoff that has ended is remembered while the target answers nothing.
const UNPROVEN_TIME: Duration = Duration::from_secs(60);

#[derive(Clone, Copy, Debug)]
struct Backoff {
    /// The end of the backoff, on the entry's clock.
    until: Duration,
    /// The start of the incarnation that asked, as Unix time in milliseconds, if it states that.
    started_unix_ms: Option<u64>,
}

/// The backoffs of targets by their ids. They outlast the target's record, which may lapse and return
/// around an outage of the store.
#[derive(Clone, Debug, Default)]
pub struct Backoffs {
    backoffs: Map<String, Backoff>,
}

impl Backoffs {
    /// Records that an incarnation of a target asked to be left alone for a time. Of several backoffs
    /// the one that ends last counts. Returns true if that is this one.
    pub fn record(
        &mut self,
        target: &str,
        started_unix_ms: Option<u64>,
        time: Duration,
        now: Duration,
    ) -> bool {
        let until = now + time.min(MAX_BACKOFF);
        let known = self.backoffs.get(target).filter(|known| known.is_of(started_unix_ms));
        if time.is_zero() || known.is_some_and(|known| known.until >= until) {
            return false;
        }
        self.backoffs.insert(target.to_owned(), Backoff { until, started_unix_ms });
        true
    }

    /// Returns the end of a target's backoff; `None` if it is not in one.
    pub fn until(&self, target: &str, now: Duration) -> Option<Duration> {
        let backoff = self.backoffs.get(target)?;
        (backoff.until > now).then_some(backoff.until)
    }

    /// Returns true if a target has answered no request since its backoff ended.
    pub fn is_unproven(&self, target: &str, now: Duration) -> bool {
        self.backoffs.get(target).is_some_and(|backoff| backoff.until <= now)
    }

    /// Records that a target answered a request. Answers during a backoff are to requests that were
    /// sent before.
    pub fn record_answered(&mut self, target: &str, now: Duration) {
        if self.is_unproven(target, now) {
            self.backoffs.remove(target);
        }
    }

    /// Drops the backoff of a target that is listed with another start than that of the incarnation
    /// that asked.
    pub fn record_listed(&mut self, target: &str, started_unix_ms: Option<u64>) {
        if self.backoffs.get(target).is_some_and(|backoff| !backoff.is_of(started_unix_ms)) {
            self.backoffs.remove(target);
        }
    }

    /// Drops the backoffs that ended long ago.
    pub fn prune(&mut self, now: Duration) {
        self.backoffs.retain(|_, backoff| now < backoff.until + UNPROVEN_TIME);
    }

    /// Returns the number of targets in a backoff.
    pub fn count(&self, now: Duration) -> usize {
        self.backoffs.values().filter(|backoff| backoff.until > now).count()
    }
}

impl Backoff {
    fn is_of(&self, started_unix_ms: Option<u64>) -> bool {
        self.started_unix_ms == started_unix_ms
    }
}
