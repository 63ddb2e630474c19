//! The configuration: a linear history, ordered by the revisions of the key-value service.
//!
//! A process holds the state of one revision and only ever advances to a higher one, so a deleted
//! resource cannot reappear. docs/CONFIGURATION.md explains the rules and their costs.

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
