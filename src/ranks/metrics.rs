//! The counters of an agent beside a rank; docs/OPERATIONS.md lists them.

use std::result;

use prometheus::{IntCounter, IntCounterVec, IntGauge, Opts, Registry};

/// The result of registering metrics.
pub type Result<T> = result::Result<T, prometheus::Error>;

/// Metrics counts what an agent does.
pub struct Metrics {
    /// Orders to engines by outcome.
    pub orders: IntCounterVec,
    /// Changes of the map begun here.
    pub switches: IntCounter,
    /// The version of the map in use.
    pub map_version: IntGauge,
    /// The busiest rank's expected work against the mean rank's, in percent.
    pub skew_percent: IntGauge,
}

impl Metrics {
    /// Registers the metrics.
    ///
    /// # Errors
    ///
    /// Returns an error where a name is registered already.
    pub fn register(registry: &Registry) -> Result<Self> {
        let opts = Opts::new("bitternwall_rank_orders_total", "Orders to engines by outcome.");
        let orders = IntCounterVec::new(opts, &["order", "outcome"])?;
        let switches =
            IntCounter::new("bitternwall_rank_switches_total", "Changes of the map begun here.")?;
        let map_version =
            IntGauge::new("bitternwall_rank_map_version", "The version of the map in use.")?;
        let skew_percent = IntGauge::new(
            "bitternwall_rank_skew_percent",
            "The busiest rank's expected work against the mean rank's, in percent.",
        )?;
        registry.register(Box::new(orders.clone()))?;
        registry.register(Box::new(switches.clone()))?;
        registry.register(Box::new(map_version.clone()))?;
        registry.register(Box::new(skew_percent.clone()))?;
        Ok(Self { orders, switches, map_version, skew_percent })
    }
}
