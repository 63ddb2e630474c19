//! The direct path: entries that send requests straight to targets, without an agent in between.
//!
//! Its rooms, each of which uses only those before it: [`connections`], [`known`], [`message`],
//! [`decisions`], [`state`], [`peering`], [`exchange`], and the wiring in [`daemon`] and
//! [`addresses`]. The vocabulary of a platform's protocol stays in its adapter, which provides the
//! functions of [`message::TargetProtocol`], [`known::store::Store`] and
//! [`known::store::Formats`]. docs/DESIGN.md shows the way of a request through the rooms.

pub mod addresses;
pub mod connections;
pub mod daemon;
pub mod decisions;
pub mod exchange;
pub mod known;
pub mod message;
pub mod peering;
pub mod state;
