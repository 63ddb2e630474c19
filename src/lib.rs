//! Bitternwall routes callers' requests to expert-parallel model groups and plain services.
//!
//! The library holds everything; the programs under `src/bin` only wire it. The decisions live
//! in pure modules that a tick drives (see docs/DESIGN.md), and the actors in [`entry`] and
//! [`agent`] turn I/O into their events and their effects into I/O.

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
pub mod members;
pub mod problem;
pub mod ranks;
pub mod resources;
pub mod settings;
pub mod telemetry;
pub mod wire;
