//! Bitternwall routes callers' requests to expert-parallel model groups and plain services.
//!
//! All code is in this library; the programs under `src/bin` only read the command line and start
//! it. Decisions are made in modules without I/O, driven by events and ticks (see docs/DESIGN.md).
//! The actors in [`entry`] and [`agent`] turn I/O into events for these modules and carry out the
//! effects that they return.

pub mod agent;
pub mod audit;
pub mod cli;
pub mod clock;
pub mod collections;
pub mod config;
pub mod daemon;
pub mod direct;
pub mod entry;
pub mod expert_map;
pub mod external;
pub mod fingerprint;
pub mod members;
pub mod problem;
pub mod ranks;
pub mod resources;
pub mod settings;
pub mod telemetry;
pub mod wire;
