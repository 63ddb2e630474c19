//! The entry's metrics; docs/OPERATING.md lists them.

use std::result;

use prometheus::{IntCounter, IntCounterVec, IntGauge, Opts, Registry};

use crate::entry::core::events::Refusal;
use crate::entry::refusals;

/// The result of registering metrics.
pub type Result<T> = result::Result<T, prometheus::Error>;

/// EntryMetrics counts what an entry did.
#[derive(Clone)]
pub struct EntryMetrics {
    /// Requests that callers sent.
    pub requests: IntCounter,
    /// Attempts that were sent to agents.
    pub attempts: IntCounter,
    /// Targets that would get work now.
    pub targets_taking_work: IntGauge,
    /// Requests without a final answer.
    pub open_requests: IntGauge,
    refusals: IntCounterVec,
}

impl EntryMetrics {
    /// Registers the metrics.
    ///
    /// # Errors
    ///
    /// Returns an error where a name is registered already.
    pub fn register(registry: &Registry) -> Result<Self> {
        let requests =
            IntCounter::new("bitternwall_entry_requests_total", "Requests that callers sent.")?;
        let attempts =
            IntCounter::new("bitternwall_entry_attempts_total", "Attempts sent to agents.")?;
        let opts = Opts::new("bitternwall_entry_refusals_total", "Requests that were refused.");
        let refusals = IntCounterVec::new(opts, &["type"])?;
        let targets_taking_work = IntGauge::new(
            "bitternwall_entry_targets_taking_work",
            "Targets that would get work now.",
        )?;
        let open_requests =
            IntGauge::new("bitternwall_entry_open_requests", "Requests without a final answer.")?;
        registry.register(Box::new(targets_taking_work.clone()))?;
        registry.register(Box::new(open_requests.clone()))?;
        registry.register(Box::new(requests.clone()))?;
        registry.register(Box::new(attempts.clone()))?;
        registry.register(Box::new(refusals.clone()))?;
        Ok(Self { requests, attempts, targets_taking_work, open_requests, refusals })
    }

    /// Counts a refusal by its type.
    pub fn refused(&self, refusal: &Refusal) {
        self.refusals.with_label_values(&[refusals::type_of(refusal)]).inc();
    }
}
