//! A target as the target list describes it, and what an attempt shows of it.

use std::net::SocketAddr;
use std::time::Duration;

use crate::direct::known::store::UnreadableValue;

/// One server of a service, as the target list describes it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Target {
    /// The id of this incarnation, which the target itself checks.
    pub id: String,
    /// The name of the service that it runs.
    pub service: String,
    /// The address at which it accepts requests.
    pub addr: SocketAddr,
    /// The data centre that it runs in, compared with the entry's own.
    pub data_centre: String,
    /// Requests that it runs at once.
    pub slots: u32,
    /// True once it takes no new work.
    pub leaving: bool,
    /// The start of this incarnation, in Unix milliseconds; `None` if the target does not state it.
    pub started_unix_ms: Option<u64>,
    /// How much longer the target is cold, as of its record; `None` if the record does not say, the
    /// field if it cannot be decoded.
    pub cold_left: Result<Option<Duration>, UnreadableValue>,
}

/// The outcome of an attempt, as far as it concerns the target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The target answered, with anything but a server error.
    Answered,
    /// The target answered with a server error.
    Failed,
    /// The target refused the request because it is full.
    Full,
    /// The target refused the request although it is idle, like a model server whose group is
    /// forming again; the other ranks of the group refuse requests too.
    Closed,
    /// Another process answered at its address, so this incarnation has ended.
    Replaced,
    /// The target could not be reached, fell silent, or its answer was truncated or invalid.
    Broken,
}
