//! The agent: the daemon in front of one target, through which all requests to the target pass.
//!
//! [`world::AgentWorld`] makes every decision (admission, the fair queue, claims, suspects, drain)
//! without I/O; [`actor`] turns frames and answers into its events, and its effects into I/O.
//! docs/AGENT.md explains why the agent alone makes these decisions.

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
pub mod systems;
pub mod tables;
pub mod target;
pub mod world;
