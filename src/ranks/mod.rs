//! Agents beside the ranks of a group whose engines take orders themselves: they measure which
//! experts are asked for, plan where experts go, and switch the map on all ranks at one step.
//!
//! [`demand`], [`rebalance`], [`switch`], [`stall`] and [`status`] are pure; [`daemon`] and the private modules beside it do the I/O. See
//! docs/EXPERT_MAPS.md.

mod coordinating;
pub mod daemon;
pub mod demand;
pub mod engine;
pub mod metrics;
pub mod orders;
pub mod rebalance;
pub mod report;
pub mod stall;
pub mod status;
pub mod switch;
mod telling;

use crate::expert_map::float;

/// Converts an index for a message.
fn narrow(index: usize) -> u32 {
    u32::try_from(index).unwrap_or(u32::MAX)
}

/// Converts an index of a message.
fn wide(index: u32) -> usize {
    usize::try_from(index).unwrap_or(usize::MAX)
}
