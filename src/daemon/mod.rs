//! Code shared by the daemons: command line, exit code, reload of settings and stop signals.

pub mod app;
pub mod exit;
pub mod options;
pub mod reload;
pub mod signals;
