//! The decisions of an agent, one file each.

pub mod admission;
pub mod answers;
pub mod claims;
pub mod drain;
pub mod queue;
pub mod retry;
