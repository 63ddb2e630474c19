//! The state that the tasks of one entry process share.

pub mod entry;
pub mod metrics;
pub mod permit_calls;
mod permit_owners;
pub mod places;
