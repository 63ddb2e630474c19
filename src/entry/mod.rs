//! The daemon of an entry host.

pub mod actor;
pub mod addresses;
pub mod caller_api;
pub mod chat;
pub mod config_reader;
pub mod core;
pub mod daemon;
pub mod links;
pub mod metrics;
pub mod operator_api;
pub mod outbound;
pub mod refusals;
pub mod relay;
pub mod sse;
