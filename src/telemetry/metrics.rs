//! Registration of metrics.

use std::result;

use prometheus::Registry;
use prometheus::core::Collector;

/// The result of creating and registering a metric.
pub type Result<T> = result::Result<T, prometheus::Error>;

/// Registers a newly created metric and returns it.
///
/// # Errors
///
/// Returns the error in `created`, or an error if the metric's name is already registered.
pub fn register<C: Collector + Clone + 'static>(
    registry: &Registry,
    created: Result<C>,
) -> Result<C> {
    let collector = created?;
    registry.register(Box::new(collector.clone()))?;
    Ok(collector)
}
