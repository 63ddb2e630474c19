//! Clients of the platform's services: the key-value service and the host list.

pub mod host_list;
pub mod store;
