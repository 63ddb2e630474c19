//! The messages that the agents of a group's ranks exchange.
//!
//! Each agent reads its own rank's engine, which costs nothing and gives current values. It sends
//! the rank's state to all agents of the group, and to those that may coordinate also how often
//! requests chose each expert.

use bytes::Bytes;

use crate::direct::known::heartbeat::Introduction;
use crate::ranks::report::{HeldExperts, RankReport, Slowness, Switch};

/// RankMessage is one datagram between agents.
#[derive(Clone, PartialEq, prost::Message)]
pub struct RankMessage {
    /// The engine's address, which identifies the rank's host.
    #[prost(string, tag = "1")]
    pub engine: String,
    /// The incarnation of the agent's process, which differs after each start.
    #[prost(fixed64, tag = "2")]
    pub incarnation: u64,
    /// The rank's state; `None` in a message with counts.
    #[prost(message, optional, tag = "3")]
    pub state: Option<StateMessage>,
    /// How often requests chose some of the experts since the rank's start; `None` in a message
    /// with the state.
    #[prost(message, optional, tag = "4")]
    pub counts: Option<CountsMessage>,
    /// Tells of the entry that sends the datagram, which comes with nothing else.
    #[prost(message, optional, tag = "5")]
    pub introduction: Option<Introduction>,
}

/// StateMessage is the state of one rank.
#[derive(Clone, PartialEq, prost::Message)]
pub struct StateMessage {
    /// The group's name.
    #[prost(string, tag = "1")]
    pub group: String,
    /// The group's epoch, which counts how often the group has formed.
    #[prost(uint64, tag = "2")]
    pub epoch: u64,
    /// The rank's index in its group.
    #[prost(uint32, tag = "3")]
    pub rank: u32,
    /// Number of ranks in the group.
    #[prost(uint32, tag = "4")]
    pub ranks: u32,
    /// True while the group accepts and runs requests.
    #[prost(bool, tag = "5")]
    pub open: bool,
    /// The last step that was begun.
    #[prost(uint64, tag = "6")]
    pub step: u64,
    /// The version of the map in use.
    #[prost(uint64, tag = "7")]
    pub version: u64,
    /// The version that is prepared, if any.
    #[prost(uint64, optional, tag = "8")]
    pub prepared: Option<u64>,
    /// The version of the armed switch, if any.
    #[prost(uint64, optional, tag = "9")]
    pub armed_version: Option<u64>,
    /// The step of the armed switch, if any.
    #[prost(uint64, optional, tag = "10")]
    pub armed_step: Option<u64>,
    /// The step that is held, if any.
    #[prost(uint64, optional, tag = "11")]
    pub held_step: Option<u64>,
    /// The version of the map to which `layers` belong; may lag behind `version`.
    #[prost(uint64, tag = "12")]
    pub held_version: u64,
    /// The experts that the rank holds, by layer.
    #[prost(message, repeated, tag = "13")]
    pub layers: Vec<LayerMessage>,
    /// Counts the agent's polls of its engine, so that an older state never replaces a newer one.
    #[prost(uint64, tag = "14")]
    pub sequence: u64,
    /// Number of running requests.
    #[prost(uint32, tag = "15")]
    pub active: u32,
    /// Number of waiting requests.
    #[prost(uint32, tag = "16")]
    pub queued: u32,
    /// The rank's slowness in percent; 0 if its agent does not tell.
    #[prost(uint32, tag = "17")]
    pub slowness_percent: u32,
}

/// LayerMessage lists the experts that a rank holds in one layer.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LayerMessage {
    /// The indices of the experts.
    #[prost(uint32, repeated, tag = "1")]
    pub experts: Vec<u32>,
}

/// CountsMessage carries how often requests chose some of the experts since the last such message of
/// its sender.
#[derive(Clone, PartialEq, prost::Message)]
pub struct CountsMessage {
    /// The group's epoch in which the counts were read.
    #[prost(uint64, tag = "1")]
    pub epoch: u64,
    /// The index of the first count, in the sequence of all counts of a rank.
    #[prost(uint32, tag = "2")]
    pub first: u32,
    /// Number of all counts of a rank.
    #[prost(uint32, tag = "3")]
    pub total: u32,
    /// The counts from `first` on, in units of `scale`.
    #[prost(bytes = "bytes", tag = "5")]
    pub counts: Bytes,
    /// The number of choices that one unit of a count stands for.
    #[prost(uint64, tag = "6")]
    pub scale: u64,
    /// The rank that sends the counts.
    #[prost(uint32, tag = "7")]
    pub rank: u32,
    /// True if the counts are complete: those of a rank that needs no collector, or the sums of a
    /// collector.
    #[prost(bool, tag = "8")]
    pub summed: bool,
}

impl StateMessage {
    /// Returns the message for a report and the experts that the rank holds.
    pub fn of(report: &RankReport, held: &HeldExperts, sequence: u64) -> Self {
        let layer = |layer: &Vec<usize>| LayerMessage {
            experts: layer.iter().map(|expert| super::to_u32(*expert)).collect(),
        };
        Self {
            group: report.group.clone(),
            epoch: report.epoch,
            rank: super::to_u32(report.rank),
            ranks: super::to_u32(report.ranks),
            open: report.open,
            step: report.step,
            version: report.version,
            prepared: report.prepared,
            armed_version: report.armed.map(|armed| armed.version),
            armed_step: report.armed.map(|armed| armed.step),
            held_step: report.held_step,
            held_version: held.version,
            layers: held.layers.iter().map(layer).collect(),
            sequence,
            active: report.active,
            queued: report.queued,
            slowness_percent: report.slowness.percent(),
        }
    }

    /// Returns the state without the experts that the rank holds, which change seldom.
    pub fn without_experts(self) -> Self {
        Self { layers: Vec::new(), ..self }
    }

    /// Returns the message's state as a report.
    pub fn report(&self) -> RankReport {
        let armed = self.armed_version.zip(self.armed_step);
        RankReport {
            group: self.group.clone(),
            epoch: self.epoch,
            rank: super::to_usize(self.rank),
            ranks: super::to_usize(self.ranks),
            open: self.open,
            step: self.step,
            version: self.version,
            prepared: self.prepared,
            armed: armed.map(|(version, step)| Switch { version, step }),
            held_step: self.held_step,
            queued: self.queued,
            active: self.active,
            slowness: Slowness::of_percent(self.slowness_percent),
        }
    }

    /// Returns the experts that the rank holds.
    pub fn held_experts(&self) -> HeldExperts {
        let layers = self
            .layers
            .iter()
            .map(|layer| layer.experts.iter().map(|expert| super::to_usize(*expert)).collect());
        HeldExperts { version: self.held_version, layers: layers.collect() }
    }
}
