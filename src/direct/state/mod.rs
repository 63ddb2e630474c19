//! The state that the tasks of one entry process share.

mod buffer_report;
pub mod entry;
mod log_lines;
pub mod metrics;
pub mod permit_calls;
mod permit_owners;
pub mod places;
