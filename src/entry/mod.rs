//! The entry: accepts callers' requests and routes them to targets through the targets' agents.

pub mod accepted;
pub mod actor;
pub mod addresses;
pub mod caller_api;
pub mod chat;
pub mod config_source;
pub mod core;
pub mod daemon;
pub mod explain_api;
pub mod frames;
pub mod links;
pub mod membership;
pub mod metrics;
pub mod operator_api;
pub mod outbound;
pub mod refusals;
pub mod relay;
pub mod rollout;
pub mod sse;
