//! Targets that have said in an answer that they leave.
//!
//! A target may say so before the target list does, or without a record that says it. What one answer
//! has said holds for that incarnation, whatever later answers say. See docs/PLATFORM.md.

use std::time::Duration;

use crate::collections::Map;

/// Time for which a departure is remembered after the target's last answer that said it. Targets end
/// long before.
const MEMORY: Duration = Duration::from_secs(600);

#[derive(Clone, Copy, Debug)]
struct Departure {
    /// The start of the incarnation that leaves, as Unix time in milliseconds, if it states that.
    started_unix_ms: Option<u64>,
    /// When an answer last said so, on the entry's clock.
    said_at: Duration,
}

/// The departures by the ids of the targets. They outlast the target's record, which may lapse and
/// return around an outage of the store.
#[derive(Clone, Debug, Default)]
pub struct Departures {
    departures: Map<String, Departure>,
}

impl Departures {
    /// Records that an incarnation of a target has said that it leaves. Returns true if that is new.
    pub fn record(&mut self, target: &str, started_unix_ms: Option<u64>, now: Duration) -> bool {
        let is_known = self.is_leaving(target, started_unix_ms);
        let departure = Departure { started_unix_ms, said_at: now };
        self.departures.insert(target.to_owned(), departure);
        !is_known
    }

    /// Returns true if this incarnation of a target has said that it leaves.
    pub fn is_leaving(&self, target: &str, started_unix_ms: Option<u64>) -> bool {
        let departure = self.departures.get(target);
        departure.is_some_and(|departure| departure.started_unix_ms == started_unix_ms)
    }

    /// Drops departures of long ago.
    pub fn prune(&mut self, now: Duration) {
        self.departures.retain(|_, departure| now.saturating_sub(departure.said_at) < MEMORY);
    }
}
