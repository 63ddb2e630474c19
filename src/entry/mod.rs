//! The daemon of an entry host.

pub mod operator_api;
