//! The agent's metrics; docs/OPERATING.md lists them.

use prometheus::{IntCounter, IntCounterVec, IntGauge, Opts, Registry};

use crate::telemetry::metrics::{self, Result};

/// Metrics are the agent's counters and gauges.
#[derive(Clone, Debug)]
pub struct Metrics {
    registry: Registry,
    /// Attempts that arrived.
    pub attempts: IntCounter,
    /// Requests handed to the target.
    pub handed_on: IntCounter,
    /// Answers that the target ended whole.
    pub answered: IntCounter,
    /// Attempts refused, by reason.
    pub refused: IntCounterVec,
    /// Requests that the target runs.
    pub running: IntGauge,
    /// Requests that wait.
    pub queued: IntGauge,
    /// One where the target answers its health probes.
    pub target_healthy: IntGauge,
    /// One while the agent takes nothing new.
    pub draining: IntGauge,
    /// Open connections with entries.
    pub links: IntGauge,
    /// The revision of the configuration in force.
    pub config_revision: IntGauge,
    /// Transactions sent to save claims.
    pub claim_commits: IntCounter,
    /// Claims saved.
    pub claims_saved: IntCounter,
}

impl Metrics {
    /// Registers the metrics.
    ///
    /// # Errors
    ///
    /// Returns an error where two metrics share a name.
    pub fn new() -> Result<Self> {
        let registry = Registry::new();
        let counter = |name, help| metrics::register(&registry, IntCounter::new(name, help));
        let gauge = |name, help| metrics::register(&registry, IntGauge::new(name, help));
        let refused = Opts::new("bitternwall_agent_refused_total", "Attempts refused.");
        let refused = metrics::register(&registry, IntCounterVec::new(refused, &["reason"]))?;
        Ok(Self {
            attempts: counter("bitternwall_agent_attempts_total", "Attempts that arrived.")?,
            handed_on: counter("bitternwall_agent_handed_on_total", "Requests handed on.")?,
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

    /// Returns the registry, from which the metrics are read.
    pub fn registry(&self) -> Registry {
        self.registry.clone()
    }
}
