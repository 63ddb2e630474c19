//! Logs, metrics and health checks of the daemons, and the trace of one request from their logs.

pub mod admin;
pub mod brief;
pub mod catalogue;
pub mod events;
pub mod logs;
pub mod metrics;
pub mod request_trace;
