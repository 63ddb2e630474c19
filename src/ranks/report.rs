//! What a rank's engine reports and which orders it takes, in the project's own words.

use std::result;
use std::sync::Arc;

use bytes::Bytes;

use crate::direct::http::Request;
use crate::direct::store::UnreadableValue;
use crate::expert_map::map::ExpertMap;

/// The result of reading an engine's answer.
pub type Result<T> = result::Result<T, UnreadableValue>;

/// Switch is a change of a rank's map that begins with one step of its group.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Switch {
    /// The version of the new map.
    pub version: u64,
    /// The first step with it.
    pub step: u64,
}

/// RankReport is the state of one rank.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RankReport {
    /// The group.
    pub group: String,
    /// Counts the times that the group was formed.
    pub epoch: u64,
    /// The rank's place in its group.
    pub rank: usize,
    /// Ranks of the group.
    pub ranks: usize,
    /// True while the group runs requests.
    pub open: bool,
    /// The last step that was begun.
    pub step: u64,
    /// The version of the map in use.
    pub version: u64,
    /// The version whose experts are all there for a switch.
    pub prepared: Option<u64>,
    /// The switch that the rank will make.
    pub armed: Option<Switch>,
    /// The step that the group does not begin until it is released here.
    pub held_step: Option<u64>,
    /// Requests that wait.
    pub queued: u32,
    /// Requests that run.
    pub active: u32,
}

/// Picks is how often a rank's requests chose each expert since the rank started, by layer.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ExpertCounts {
    /// The group's epoch.
    pub epoch: u64,
    /// The counts, layer after layer.
    pub counts: Vec<u64>,
}

/// Held is the experts that a rank holds by layer.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct HeldExperts {
    /// The version of the map.
    pub version: u64,
    /// The experts by layer.
    pub layers: Vec<Vec<usize>>,
}

/// Order is what a rank is told to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Order {
    /// Load the experts of a map beside those in use.
    Prepare {
        /// The map's version, higher than any before.
        version: u64,
        /// The map.
        map: Arc<ExpertMap>,
    },
    /// Use a prepared map from a step on.
    Arm(Switch),
    /// Forget the switch to a version.
    Disarm {
        /// The version.
        version: u64,
    },
    /// Do not begin a step.
    Hold {
        /// The step.
        step: u64,
    },
    /// Begin a step that was held.
    Release {
        /// The step.
        step: u64,
    },
}

impl Order {
    /// Returns the name that logs use.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Prepare { .. } => "prepare",
            Self::Arm(_) => "arm",
            Self::Disarm { .. } => "disarm",
            Self::Hold { .. } => "hold",
            Self::Release { .. } => "release",
        }
    }
}

/// OrderOutcome is what became of an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderOutcome {
    /// It is done, or was done before.
    Done,
    /// It has begun.
    Begun,
    /// It does not fit the engine's state.
    Conflict,
    /// It was not understood, or another engine answered.
    Refused,
    /// Nobody knows.
    NoAnswer,
}

/// EngineProtocol translates between these types and what engines speak.
#[derive(Clone, Copy)]
pub struct EngineProtocol {
    /// Returns the request for a report.
    pub report_request: fn() -> Request,
    /// Reads a report.
    pub read_report: fn(&Bytes) -> Result<RankReport>,
    /// Returns the request for the picks.
    pub expert_counts_request: fn() -> Request,
    /// Reads the picks.
    pub read_expert_counts: fn(&Bytes) -> Result<ExpertCounts>,
    /// Returns the request for the experts held.
    pub held_experts_request: fn() -> Request,
    /// Reads the experts held.
    pub read_held_experts: fn(&Bytes) -> Result<HeldExperts>,
    /// Returns the request that gives an order to a rank of a group in an epoch.
    pub order: fn(&Order, u64) -> Request,
    /// Reads the status of the answer to an order.
    pub read_outcome: fn(u16) -> OrderOutcome,
}
