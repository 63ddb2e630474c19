//! The metrics of a rank's agent; docs/OPERATIONS.md lists them.

use prometheus::{IntCounter, IntCounterVec, IntGauge, Opts, Registry};

use crate::telemetry::metrics::{self, Result};

/// Metrics holds the metrics of a rank's agent.
pub struct Metrics {
    /// Number of orders to engines, by order and outcome.
    pub orders: IntCounterVec,
    /// Number of switches that this agent has started as coordinator.
    pub switches: IntCounter,
    /// The version of the map that the rank uses.
    pub map_version: IntGauge,
    /// Number of messages with expert counts that were left out.
    pub ignored_counts: IntCounter,
    /// 1 while an entry tells the agent of the other ranks.
    pub asked_entry: IntGauge,
    /// The busiest rank's expected work relative to the mean rank's, in percent.
    pub skew_percent: IntGauge,
}

impl Metrics {
    /// Registers the metrics.
    ///
    /// # Errors
    ///
    /// Returns an error if a metric's name is already registered.
    pub fn register(registry: &Registry) -> Result<Self> {
        let counter = |name, help| metrics::register(registry, IntCounter::new(name, help));
        let gauge = |name, help| metrics::register(registry, IntGauge::new(name, help));
        let opts = Opts::new("bitternwall_rank_orders_total", "Orders to engines by outcome.");
        Ok(Self {
            orders: metrics::register(registry, IntCounterVec::new(opts, &["order", "outcome"]))?,
            switches: counter("bitternwall_rank_switches_total", "Changes of the map begun here.")?,
            ignored_counts: counter(
                "bitternwall_rank_ignored_counts_total",
                "Messages with expert counts that were left out.",
            )?,
            asked_entry: gauge(
                "bitternwall_rank_entry_answers",
                "1 while an entry tells the agent of the other ranks.",
            )?,
            map_version: gauge("bitternwall_rank_map_version", "The version of the map in use.")?,
            skew_percent: gauge(
                "bitternwall_rank_skew_percent",
                "The busiest rank's expected work against the mean rank's, in percent.",
            )?,
        })
    }
}
