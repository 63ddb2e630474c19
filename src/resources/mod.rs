//! The resources that operators declare, and the one way to change them.
//!
//! A change is planned against one view of the configuration and committed by one transaction
//! with its audit record and its marker; docs/OPERATING.md tells what operators may rely on.

pub mod changes;
pub mod documents;
pub mod error;
pub mod kinds;
pub mod names;
pub mod plan;
pub mod service;
pub mod specs;
pub mod status;
pub mod stored;
pub mod watch;
