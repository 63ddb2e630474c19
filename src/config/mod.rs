//! The configuration: one linear history by the revision of the key-value service.
//!
//! A process holds the state of one revision and only ever moves to a higher one, so a deleted
//! resource cannot come back; docs/CONFIGURATION.md sets out the rules and what they cost.

pub mod codec;
mod derive;
pub mod envelope;
pub mod history;
pub mod options;
pub mod peer_heartbeats;
pub mod progress;
pub mod readers;
pub mod replica;
pub mod source;
pub mod state;
pub mod view;
