//! Decisions under load, each with the load pattern that it answers. No I/O, and no clock of their own: times are passed in.

pub mod admission;
pub mod attempts;
pub mod backoffs;
pub mod claims;
pub mod contact_rounds;
pub mod demand;
pub mod departures;
pub mod outages;
pub mod pass_time;
pub mod rate_limits;
pub mod read_times;
pub mod stopping;
pub mod target_choice;
pub mod target_silence;
mod target_state;
pub mod targets;
pub mod warmth;
