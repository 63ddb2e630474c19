//! Expert maps: which rank of a group holds which experts, when a new map is worth its cost, and
//! how all ranks switch to it at the same step. docs/EXPERT_MAPS.md has the design and its
//! measurements.

pub mod budget;
pub mod coordinator;
pub mod loads;
pub mod map;
pub mod placement;
pub mod planner;
pub mod protocol;
pub mod rank_agent;

/// Converts a count to a floating-point number.
#[allow(clippy::as_conversions, reason = "counts here stay far below 2^52, and From has no usize")]
pub(crate) fn float(count: usize) -> f64 {
    count as f64
}
