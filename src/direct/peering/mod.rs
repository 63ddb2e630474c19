//! The talk between entries, and the replication of the cluster state from the store.

pub mod contacts;
pub mod crash_store;
pub mod fleet;
pub mod gossip;
pub mod introductions;
pub mod permits;
pub mod rank_notices;
mod standing;
mod store_reader;
mod store_report;
pub mod sync;
mod target_list;
pub mod transfer;
