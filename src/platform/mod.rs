//! The platform's services: the key-value service and the host list.

pub mod store;
