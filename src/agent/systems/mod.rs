//! The systems of the decision core: functions over [`crate::agent::world::AgentWorld`], one module
//! per concern.

pub mod admission;
pub mod answers;
pub mod claims;
pub mod drain;
pub mod queue;
pub mod suspects;
