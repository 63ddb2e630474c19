//! The protocol between the system's own processes. docs/DESIGN.md explains why one stream carries
//! everything between two of them.

pub mod client;
pub mod server;

pub use generated::*;

#[allow(
    missing_docs,
    clippy::all,
    clippy::pedantic,
    clippy::allow_attributes_without_reason,
    clippy::as_conversions,
    clippy::missing_errors_doc,
    reason = "tools/wiregen writes this file from proto/link.proto"
)]
#[rustfmt::skip]
mod generated;
