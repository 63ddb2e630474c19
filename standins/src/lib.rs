//! Small fakes of the systems outside, for tests and the demo only.
//!
//! Each module is one fake with a `start` function that serves it on the caller's actix runtime;
//! the `standin` program serves the same fakes as processes of their own.

pub mod engine;
pub mod fault_proxy;
pub mod fleet;
pub mod hosts;
pub mod kv;
pub mod lagged;

pub mod platform;
pub mod reply;
pub mod server;
pub mod service;
pub mod weights;

pub use server::Running;
