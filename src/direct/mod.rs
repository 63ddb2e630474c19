//! The direct path: an entry that reaches targets itself, without an agent before them.
//!
//! Decisions are pure modules ([`configuration`], [`facts`], [`lapses`], [`peers`], [`targets`],
//! [`pace`], [`waiting`], [`attempts`], [`events`]); the others do the I/O around them. Words of a platform's
//! protocol stay in its adapter, which hands over the functions of
//! [`message::TargetProtocol`], [`store::Store`] and [`store::Formats`]. See docs/PLATFORM.md.

pub mod addresses;
pub mod attempts;
pub mod call;
pub mod configuration;
pub mod daemon;
pub mod entry;
pub mod events;
pub mod facts;
pub mod fleet;
pub mod forward;
pub mod gossip;
pub mod http;
pub mod internal;
pub mod lapses;
pub mod listener;
pub mod message;
pub mod metrics;
pub mod pace;
pub mod peers;
pub mod placing;
pub mod pool;
pub mod process;
pub mod relay;
mod standing;
pub mod stopping;
pub mod store;
pub mod sync;
pub mod targets;
pub mod waiting;
