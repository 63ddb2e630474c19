//! What an entry knows of the fleet, its configuration and the crashes of targets, with ages. No I/O.

pub mod agents;
pub mod answered_parts;
pub mod cluster_state;
mod companions;
pub mod configuration;
pub mod confirmation;
pub mod contact;
pub mod crash_history;
pub mod crash_memory;
pub mod crash_record;
pub mod crash_trials;
pub mod heartbeat;
pub mod peers;
pub mod permit;
pub mod standing;
pub mod store;
pub mod store_calls;
pub mod store_outages;
pub mod store_readers;
pub mod target;
