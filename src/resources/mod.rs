//! The resources that operators declare, and the only code that changes them.
//!
//! A change is planned against one view of the configuration and committed in one transaction
//! together with its audit record and its marker; docs/OPERATING.md describes the guarantees for
//! operators.

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
