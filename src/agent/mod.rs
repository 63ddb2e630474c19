//! The daemon before one target: the only way to it.
//!
//! [`world::AgentWorld`] takes every decision (admission, the fair queue, claims, suspects,
//! drain) without I/O; [`actor`] turns frames and answers into its events and its effects into
//! I/O. docs/AGENT.md tells why the agent decides all this alone.

pub mod actor;
pub mod claim_store;
pub mod config_view;
pub mod daemon;
mod effects;
pub mod events;
mod frames;
pub mod links;
pub mod metrics;
pub mod options;
pub mod relay;
pub mod segment;
pub mod shard;
pub mod strict_io;
pub mod systems;
pub mod tables;
pub mod target;
pub mod world;
