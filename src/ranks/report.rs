//! A rank's reports and orders, independent of the protocol that its engine uses.

use std::result;
use std::sync::Arc;

use bytes::Bytes;

use crate::direct::connections::http::Request;
use crate::direct::known::store::UnreadableValue;
use crate::expert_map::map::ExpertMap;

/// The result of parsing an engine's answer.
pub type Result<T> = result::Result<T, UnreadableValue>;

/// Switch is a change of a rank's map that takes effect at one step of its group.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Switch {
    /// The version of the new map.
    pub version: u64,
    /// The first step that uses the new map.
    pub step: u64,
}

/// RankReport is the state of one rank.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RankReport {
    /// The name of the group.
    pub group: String,
    /// Counts how often the group has formed.
    pub epoch: u64,
    /// The rank's index in its group.
    pub rank: usize,
    /// Number of ranks in the group.
    pub ranks: usize,
    /// True while the group accepts and runs requests.
    pub open: bool,
    /// The last step that was begun.
    pub step: u64,
    /// The version of the map in use.
    pub version: u64,
    /// The version whose experts are all loaded, ready for a switch.
    pub prepared: Option<u64>,
    /// The switch that the rank has accepted and not yet made.
    pub armed: Option<Switch>,
    /// The step that the group does not begin until it is released at this rank.
    pub held_step: Option<u64>,
    /// Number of waiting requests.
    pub queued: u32,
    /// Number of running requests.
    pub active: u32,
    /// How much longer the rank takes for its work than a rank of normal speed.
    pub slowness: Slowness,
}

/// Slowness is the time that a rank takes for its work, in percent of that of a rank of normal speed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Slowness(u32);

impl Slowness {
    /// Slowness up to which a rank counts as normal, in percent. Small differences pass by before
    /// experts have moved.
    const MAX_NORMAL: u32 = 115;

    /// Highest slowness that is told apart, in percent.
    const MAX: u32 = 2_000;

    /// Returns the slowness of a rank that takes `ratio` times as long. A ratio that is no positive
    /// number counts as normal.
    pub fn of(ratio: f64) -> Self {
        let ratio =
            if ratio.is_finite() { ratio.clamp(0.0, f64::from(Self::MAX) / 100.0) } else { 1.0 };
        #[allow(clippy::as_conversions, reason = "the ratio is within the bounds of the type")]
        Self::of_percent((ratio * 100.0) as u32)
    }

    /// Returns the slowness of a rank that takes `percent` of the normal time.
    pub fn of_percent(percent: u32) -> Self {
        Self(if percent <= Self::MAX_NORMAL { 100 } else { percent.min(Self::MAX) })
    }

    /// Returns the slowness in percent; 100 for a rank of normal speed.
    pub fn percent(self) -> u32 {
        self.0
    }

    /// Returns the speed of the rank, 1 for a rank of normal speed.
    pub fn speed(self) -> f64 {
        100.0 / f64::from(self.0)
    }
}

impl Default for Slowness {
    fn default() -> Self {
        Self(100)
    }
}

impl RankReport {
    /// Returns what the progress of a switch depends on, except for the step.
    pub fn switch_state(&self) -> impl PartialEq + use<> {
        (self.epoch, self.open, self.version, self.prepared, self.armed, self.held_step)
    }
}

/// ExpertCounts holds how often a rank's requests have chosen each expert since the rank started.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ExpertCounts {
    /// The group's epoch.
    pub epoch: u64,
    /// The counts of all experts of the first layer, then those of the next layers.
    pub counts: Vec<u64>,
}

/// HeldExperts lists the experts that a rank holds.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct HeldExperts {
    /// The version of the map to which the experts belong.
    pub version: u64,
    /// The indices of the experts, by layer.
    pub layers: Vec<Vec<usize>>,
}

/// Order is a command to a rank.
#[derive(Clone, Debug, PartialEq)]
pub enum Order {
    /// Load the experts of a map in addition to those in use.
    Prepare {
        /// The map's version, higher than all earlier ones.
        version: u64,
        /// The map to load.
        map: Arc<ExpertMap>,
    },
    /// Switch to a prepared map at a step.
    Arm(Switch),
    /// Forget the armed switch to a version.
    Disarm {
        /// The version of the switch.
        version: u64,
    },
    /// Do not begin a step until it is released.
    Hold {
        /// The step to hold.
        step: u64,
    },
    /// Begin a held step.
    Release {
        /// The step to release.
        step: u64,
    },
}

impl Order {
    /// Returns the order's name in logs and metrics.
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

/// OrderOutcome is the result of an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderOutcome {
    /// The order is complete, now or from an earlier attempt.
    Done,
    /// The order was accepted and is being carried out.
    Begun,
    /// The order conflicts with the engine's state.
    Conflict,
    /// The order was not understood, or the wrong engine answered.
    Refused,
    /// There was no answer, so it is unknown whether the order was carried out.
    NoAnswer,
}

/// EngineProtocol translates between these types and the protocol of the engines.
#[derive(Clone, Copy)]
pub struct EngineProtocol {
    /// Returns the request for a report.
    pub report_request: fn() -> Request,
    /// Parses a report.
    pub read_report: fn(&Bytes) -> Result<RankReport>,
    /// Returns the request for the expert counts.
    pub expert_counts_request: fn() -> Request,
    /// Parses the expert counts.
    pub read_expert_counts: fn(&Bytes) -> Result<ExpertCounts>,
    /// Returns the request for the experts that the rank holds.
    pub held_experts_request: fn() -> Request,
    /// Parses the experts that the rank holds.
    pub read_held_experts: fn(&Bytes) -> Result<HeldExperts>,
    /// Returns the request for an order to a rank, given the group's epoch.
    pub order: fn(&Order, u64) -> Request,
    /// Converts the HTTP status of the answer to an order.
    pub read_outcome: fn(u16) -> OrderOutcome,
}
