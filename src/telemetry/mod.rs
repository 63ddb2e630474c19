//! Logs and metrics.

pub mod admin;
pub mod events;
pub mod logs;
pub mod metrics;
pub mod request_trace;
