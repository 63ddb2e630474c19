//! Agents of the ranks of a group whose engines accept orders directly: they measure the demand for
//! experts, plan their placement, and switch the map on all ranks at the same step.
//!
//! [`demand`], [`rebalance`], [`switch`], [`stall`] and [`status`] perform no I/O; [`daemon`] and
//! the private modules do. See docs/EXPERT_MAPS.md.

mod coordination;

pub mod daemon;
pub mod demand;
pub mod engine;
pub mod expert_counts;
pub mod known_entries;
pub mod map_codec;
pub mod messages;
mod messaging;
pub mod metrics;
pub mod order_tree;
mod ordering;
pub mod orders;
pub mod reach;
pub mod rebalance;
pub mod report;
pub mod stall;
pub mod status;
pub mod switch;

use crate::expert_map::float;

/// Converts an index to the type used in messages.
fn to_u32(index: usize) -> u32 {
    u32::try_from(index).unwrap_or(u32::MAX)
}

/// Converts an index from the type used in messages.
fn to_usize(index: u32) -> usize {
    usize::try_from(index).unwrap_or(usize::MAX)
}
