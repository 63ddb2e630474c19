//! The platform's services: the key-value service and the list of hosts.

pub mod host_list;
pub mod store;
