//! Logs and metrics.

pub mod events;
