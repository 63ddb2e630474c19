//! Resources: concurrent changes and lost responses, against a model of the store and the stand-in.

#![allow(clippy::unwrap_used, reason = "a failed step of a helper fails the test")]

#[path = "resources/api.rs"]
mod api;
#[path = "resources/cli.rs"]
mod cli;
#[path = "resources/connections.rs"]
mod connections;
#[path = "resources/faults.rs"]
mod faults;
#[path = "resources/model.rs"]
mod model;
#[path = "resources/races.rs"]
mod races;
#[path = "resources/service.rs"]
mod service;
#[path = "resources/specs.rs"]
mod specs;
#[path = "common/store.rs"]
mod store;
#[path = "resources/store_client.rs"]
mod store_client;
