//! The exchange with callers and targets, from the admission of a request to the end of its answer.

pub mod attempt;
pub mod call;
mod claim;
pub mod crash_probe;
pub mod forward;
mod outage;
pub mod prompt_parts;
pub mod relay;
mod round_trip;
pub mod silence;
mod slot;
pub mod slot_wait;
mod target_notices;
mod trial;
