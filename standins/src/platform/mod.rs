//! Fakes of the users' platform for the tests of its adapter: the configuration store, a server
//! instance, and a server whose answers never end.

pub mod endless;
pub mod rank;
pub mod server;
pub mod store;
