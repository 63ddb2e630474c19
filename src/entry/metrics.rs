//! The entry's metrics; docs/OPERATING.md lists them.

use prometheus::{IntCounter, IntCounterVec, IntGauge, Opts, Registry};

use crate::entry::core::events::Refusal;
use crate::entry::refusals;
use crate::telemetry::metrics::{self, Result};

/// The counters and gauges of an entry.
#[derive(Clone)]
pub struct EntryMetrics {
    /// Requests that callers sent.
    pub requests: IntCounter,
    /// Attempts that were sent to agents, including retries.
    pub attempts: IntCounter,
    /// Targets that may be sent requests now.
    pub targets_taking_work: IntGauge,
    /// Admitted requests without a final answer.
    pub open_requests: IntGauge,
    refusals: IntCounterVec,
}

impl EntryMetrics {
    /// Creates the metrics and registers them.
    ///
    /// # Errors
    ///
    /// Returns an error if a name is already registered.
    pub fn register(registry: &Registry) -> Result<Self> {
        let counter = |name, help| metrics::register(registry, IntCounter::new(name, help));
        let gauge = |name, help| metrics::register(registry, IntGauge::new(name, help));
        let opts = Opts::new("bitternwall_entry_refusals_total", "Requests that were refused.");
        Ok(Self {
            requests: counter("bitternwall_entry_requests_total", "Requests that callers sent.")?,
            attempts: counter("bitternwall_entry_attempts_total", "Attempts sent to agents.")?,
            targets_taking_work: gauge(
                "bitternwall_entry_targets_taking_work",
                "Targets that would get work now.",
            )?,
            open_requests: gauge(
                "bitternwall_entry_open_requests",
                "Requests without a final answer.",
            )?,
            refusals: metrics::register(registry, IntCounterVec::new(opts, &["type"]))?,
        })
    }

    /// Counts a refusal under its problem type.
    pub fn refused(&self, refusal: &Refusal) {
        self.refusals.with_label_values(&[refusals::type_of(refusal)]).inc();
    }
}
