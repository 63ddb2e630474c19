//! Small fakes of the users' platform for the tests of its adapter: the store and one server.

pub mod server;
pub mod store;
