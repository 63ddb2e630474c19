//! Fakes of external systems, for tests and the demo only.
//!
//! Most modules are a fake with a `start` function that serves it on the caller's actix runtime;
//! the `standin` program serves the same fakes as separate processes. The module [`fleet`] starts a
//! complete system on loopback, and [`fault_proxy`] injects connection faults.

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
