//! What the daemons share: their command line and how they are told to stop.

pub mod app;
pub mod exit;
pub mod options;
pub mod reload;
pub mod signals;
