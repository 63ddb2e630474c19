//! Resources: changes under races and lost answers, against a model and the stand-in store.

#![allow(clippy::unwrap_used, reason = "a helper of a test that cannot go on fails it")]

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
