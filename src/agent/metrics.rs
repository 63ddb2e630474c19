//! The agent's metrics, which docs/OPERATING.md lists.

use prometheus::{IntCounter, IntCounterVec, IntGauge, Opts, Registry};

use crate::telemetry::metrics::{self, Result};

/// Metrics are the agent's counters and gauges.
#[derive(Clone, Debug)]
pub struct Metrics {
    registry: Registry,
    /// Attempts received from entries.
    pub attempts: IntCounter,
    /// Requests dispatched to the target.
    pub dispatched: IntCounter,
    /// Answers that the target sent completely.
    pub answered: IntCounter,
    /// Attempts refused, by reason.
    pub refused: IntCounterVec,
    /// Requests that run on the target now.
    pub running: IntGauge,
    /// Requests that wait for a slot now.
    pub queued: IntGauge,
    /// One while the target counts as healthy, otherwise zero.
    pub target_healthy: IntGauge,
    /// One while the agent refuses new work, otherwise zero.
    pub draining: IntGauge,
    /// Open connections with entries.
    pub links: IntGauge,
    /// The revision of the configuration in force; zero before the first.
    pub config_revision: IntGauge,
    /// Transactions sent to the key-value service to save claims.
    pub claim_commits: IntCounter,
    /// Claims saved.
    pub claims_saved: IntCounter,
}

impl Metrics {
    /// Creates the metrics and registers them in a registry of their own.
    ///
    /// # Errors
    ///
    /// Returns an error if two metrics have the same name.
    pub fn new() -> Result<Self> {
        let registry = Registry::new();
        let counter = |name, help| metrics::register(&registry, IntCounter::new(name, help));
        let gauge = |name, help| metrics::register(&registry, IntGauge::new(name, help));
        let refused = Opts::new("bitternwall_agent_refused_total", "Attempts refused.");
        let refused = metrics::register(&registry, IntCounterVec::new(refused, &["reason"]))?;
        Ok(Self {
            attempts: counter("bitternwall_agent_attempts_total", "Attempts that arrived.")?,
            dispatched: counter("bitternwall_agent_handed_on_total", "Requests handed on.")?,
            answered: counter("bitternwall_agent_answered_total", "Whole answers.")?,
            refused,
            running: gauge("bitternwall_agent_running", "Requests that the target runs.")?,
            queued: gauge("bitternwall_agent_queued", "Requests that wait.")?,
            target_healthy: gauge("bitternwall_agent_target_healthy", "1 if healthy.")?,
            draining: gauge("bitternwall_agent_draining", "1 while draining.")?,
            links: gauge("bitternwall_agent_links", "Open connections with entries.")?,
            config_revision: gauge("bitternwall_agent_config_revision", "Revision in force.")?,
            claim_commits: counter("bitternwall_agent_claim_commits_total", "Claim writes.")?,
            claims_saved: counter("bitternwall_agent_claims_saved_total", "Claims saved.")?,
            registry,
        })
    }

    /// Returns the registry that holds the metrics.
    pub fn registry(&self) -> Registry {
        self.registry.clone()
    }
}
