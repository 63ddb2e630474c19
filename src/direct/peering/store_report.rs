//! Logs and counts the entries that the store leaves without an answer, so that an outage can be told from
//! a store that turns some entries away.

use std::fmt::Write as _;
use std::time::Duration;

use crate::direct::known::store::Collection;
use crate::direct::known::store_calls::Served;
use crate::direct::peering::sync::StateSync;
use crate::direct::state::entry::Options;
use crate::telemetry::events;

/// Names of entries in one log line.
const MAX_NAMES: usize = 8;

/// Time after a call without an answer for which the entry counts as turned away, in times within which
/// changes are in force. One that is turned away calls again sooner.
const RECENT_FACTOR: u32 = 2;

impl StateSync {
    /// Updates the metrics of calls without an answer, and logs when the store begins to answer all,
    /// some or none of the entries.
    pub fn report_unanswered(&self) {
        let entry = &self.entry;
        let Options { name, heartbeat_interval, in_force_time, .. } = &entry.options;
        let (now, recent) = (entry.now(), *in_force_time * RECENT_FACTOR);
        let peers = entry.peers.borrow();
        let own_failure = entry.store_calls.failed_at.get().map(|at| now.saturating_sub(at));
        let own = own_failure.filter(|ago| *ago <= recent).map(|ago| (name.as_str(), ago));
        let mut unanswered = peers.unanswered(recent, *heartbeat_interval, now);
        unanswered.extend(own);
        let served = match unanswered.len() {
            _ if entry.store_outages.is_out(now) => Served::Nobody,
            0 => Served::All,
            _ => Served::Some,
        };
        entry.metrics.store_served(unanswered.len(), served);
        if entry.store_calls.served.replace(served) == served {
            return;
        }
        unanswered.sort_unstable();
        let entries = peers.live(*heartbeat_interval, now).count() + 1;
        let ages = Collection::ALL.map(|collection| entry.confirmations.age(collection, now));
        let answered_ms = ages.into_iter().flatten().min().unwrap_or(now).as_millis();
        events::log(
            events::STORE_SERVES,
            format_args!(
                "served={} unanswered={} entries={entries} answered_ms={answered_ms} names=\"{}\"",
                served.name(),
                unanswered.len(),
                names(&unanswered)
            ),
        );
    }
}

/// Returns names with the milliseconds since the last call without an answer, as logs state them.
fn names(unanswered: &[(&str, Duration)]) -> String {
    let mut text = String::new();
    for (index, (name, ago)) in unanswered.iter().take(MAX_NAMES).enumerate() {
        let separator = if index > 0 { "," } else { "" };
        // Writing to a string does not fail.
        let _ = write!(text, "{separator}{name}:{}", ago.as_millis());
    }
    text
}
