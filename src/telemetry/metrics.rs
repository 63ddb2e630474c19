//! Registers metrics as they are made.

use std::result;

use prometheus::Registry;
use prometheus::core::Collector;

/// The result of registering a metric.
pub type Result<T> = result::Result<T, prometheus::Error>;

/// Registers a metric and returns it.
///
/// # Errors
///
/// Returns an error where it could not be made or its name is registered already.
pub fn register<C: Collector + Clone + 'static>(registry: &Registry, made: Result<C>) -> Result<C> {
    let collector = made?;
    registry.register(Box::new(collector.clone()))?;
    Ok(collector)
}
