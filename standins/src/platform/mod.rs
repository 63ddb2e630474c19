//! Fakes of the users' platform for the tests of its adapter: the configuration store and a
//! server instance.

pub mod server;
pub mod store;
