//! The entry's metrics; docs/OPERATING.md lists them.

use std::result;

use prometheus::{IntCounter, IntCounterVec, Opts, Registry};

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
        registry.register(Box::new(requests.clone()))?;
        registry.register(Box::new(attempts.clone()))?;
        registry.register(Box::new(refusals.clone()))?;
        Ok(Self { requests, attempts, refusals })
    }

    /// Counts a refusal by its type.
    pub fn refused(&self, refusal: &Refusal) {
        self.refusals.with_label_values(&[refusals::type_of(refusal)]).inc();
    }
}
