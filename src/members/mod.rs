//! Who belongs to the system, and which addresses callers are given.
//!
//! Settings and the host list only say whom to expect; heartbeats say who lives. So a list that
//! lags or is wrong neither ends a live member nor keeps a dead one: see docs/CONFIGURATION.md.

pub mod addresses;
pub mod leaving;
pub mod table;
