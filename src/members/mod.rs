//! Membership of the system, and the entry addresses that callers are given.
//!
//! Settings and the host list only name the members to expect; heartbeats show which are alive. A
//! list that is late or wrong therefore neither removes a live member nor keeps a dead one: see
//! docs/CONFIGURATION.md.

pub mod addresses;
pub mod leaving;
pub mod table;
