//! The metrics of the connections of each port; docs/OPERATIONS.md lists them.

use prometheus::{IntCounterVec, IntGaugeVec, Opts, Registry};

use crate::direct::connections::port::{Port, Swept};
use crate::telemetry::metrics::{self, Result};

/// The metrics of the ports of one process.
#[derive(Clone)]
pub struct PortMetrics {
    open: IntGaugeVec,
    closed: IntCounterVec,
    refused: IntCounterVec,
}

impl PortMetrics {
    /// Registers the metrics.
    ///
    /// # Errors
    ///
    /// Returns an error if a name is registered already.
    pub fn register(registry: &Registry) -> Result<Self> {
        let counter = |name: &str, help: &str| {
            metrics::register(registry, IntCounterVec::new(Opts::new(name, help), &["port"]))
        };
        let open = Opts::new("bitternwall_connections", "Open connections that others opened.");
        Ok(Self {
            open: metrics::register(registry, IntGaugeVec::new(open, &["port"]))?,
            closed: counter(
                "bitternwall_connections_closed_total",
                "Connections closed for new ones, or since a head took too long.",
            )?,
            refused: counter(
                "bitternwall_connections_refused_total",
                "Connections closed as soon as they were accepted.",
            )?,
        })
    }

    /// Reports a port after it was swept.
    pub fn report(&self, port: &Port, swept: Swept) {
        let labels = [port.name()];
        self.open.with_label_values(&labels).set(i64::try_from(port.open()).unwrap_or(i64::MAX));
        self.closed.with_label_values(&labels).inc_by(swept.closed);
        self.refused.with_label_values(&labels).inc_by(swept.refused);
    }
}
