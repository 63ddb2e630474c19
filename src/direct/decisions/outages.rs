//! How long services have had no available target.
//!
//! Load pattern: a group cannot open, for instance since some of its ranks do not run, and callers keep
//! arriving. A short outage mostly ends while a request waits. In a long one waiting brings no request
//! an answer: it only delays the refusal, by which the caller could turn elsewhere.

use std::time::Duration;

use crate::collections::Map;

/// Length of an outage beyond which requests do not wait for its end: several times as long as a target
/// takes to start again and a group to form.
const LONG_OUTAGE: Duration = Duration::from_secs(10);

/// Time without a request that found the service unavailable after which nothing says that the outage
/// went on meanwhile.
const MAX_GAP: Duration = Duration::from_secs(5);

/// The outages of services in progress.
#[derive(Clone, Debug, Default)]
pub struct Outages(Map<String, Outage>);

#[derive(Clone, Copy, Debug)]
struct Outage {
    since: Duration,
    last_seen: Duration,
    is_long: bool,
}

/// What a request learned about an outage.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Finding {
    /// The outage may end soon.
    Short,
    /// The outage has just become a long one.
    BecameLong,
    /// The outage is a long one.
    Long,
}

impl Outages {
    /// Records that a request found no available target of a service.
    pub fn record(&mut self, service: &str, now: Duration) -> Finding {
        let new = Outage { since: now, last_seen: now, is_long: false };
        let outage = match self.0.get_mut(service) {
            Some(outage) => outage,
            None => self.0.entry(service.to_owned()).or_insert(new),
        };
        if now.saturating_sub(outage.last_seen) > MAX_GAP {
            *outage = new;
        }
        outage.last_seen = now;
        let was_long = outage.is_long;
        outage.is_long = now.saturating_sub(outage.since) >= LONG_OUTAGE;
        match (was_long, outage.is_long) {
            (_, false) => Finding::Short,
            (false, true) => Finding::BecameLong,
            (true, true) => Finding::Long,
        }
    }

    /// Records that a target of a service is available. Returns true if that ends a long outage.
    pub fn end(&mut self, service: &str) -> bool {
        self.0.remove(service).is_some_and(|outage| outage.is_long)
    }
}
