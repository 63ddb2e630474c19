//! What the agents of a group's ranks tell each other.
//!
//! Each agent reads its own rank's engine, which is free and fresh, and tells all agents of the
//! group the rank's state, and those that may coordinate also how often requests chose each expert.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::collections::Map;
use crate::expert_map::map::{ExpertMap, Layer};
use crate::ranks::report::{HeldExperts, RankReport, Switch};
use crate::ranks::switch::RankView;

/// Counts in one datagram, so that it fits common links' packets.
pub const COUNTS_PER_MESSAGE: usize = 240;

/// Ranks whose counts a coordinator takes in at each beat. The ranks of a larger group send theirs
/// more rarely, so that the coordinator's link carries the same at any size.
pub const RANKS_COUNTED_PER_HEARTBEAT: usize = 8;

/// An agent that was not heard for this long does not coordinate.
pub const SILENT_AFTER: Duration = Duration::from_millis(1_200);

/// Age of what an engine reports to another host, with a reserve.
const REPORT_LAG: Duration = Duration::from_millis(400);

/// RankMessage is one datagram between agents.
#[derive(Clone, PartialEq, prost::Message)]
pub struct RankMessage {
    /// The engine's address, which names the rank's host.
    #[prost(string, tag = "1")]
    pub engine: String,
    /// A number that differs in each life of the agent.
    #[prost(fixed64, tag = "2")]
    pub life: u64,
    /// The rank's state.
    #[prost(message, optional, tag = "3")]
    pub state: Option<StateMessage>,
    /// How often requests chose each expert since the rank's start, a part of the sums.
    #[prost(message, optional, tag = "4")]
    pub counts: Option<CountsMessage>,
}

/// StateMessage is the state of one rank.
#[derive(Clone, PartialEq, prost::Message)]
pub struct StateMessage {
    /// The group.
    #[prost(string, tag = "1")]
    pub group: String,
    /// The group's epoch.
    #[prost(uint64, tag = "2")]
    pub epoch: u64,
    /// The rank.
    #[prost(uint32, tag = "3")]
    pub rank: u32,
    /// Ranks of the group.
    #[prost(uint32, tag = "4")]
    pub ranks: u32,
    /// True while the group runs requests.
    #[prost(bool, tag = "5")]
    pub open: bool,
    /// The last step begun.
    #[prost(uint64, tag = "6")]
    pub step: u64,
    /// The version of the map in use.
    #[prost(uint64, tag = "7")]
    pub version: u64,
    /// The version prepared.
    #[prost(uint64, optional, tag = "8")]
    pub prepared: Option<u64>,
    /// The version armed.
    #[prost(uint64, optional, tag = "9")]
    pub armed_version: Option<u64>,
    /// The step of the switch.
    #[prost(uint64, optional, tag = "10")]
    pub armed_step: Option<u64>,
    /// The step held.
    #[prost(uint64, optional, tag = "11")]
    pub held_step: Option<u64>,
    /// The version of the map whose experts follow.
    #[prost(uint64, tag = "12")]
    pub held_version: u64,
    /// The experts held, by layer.
    #[prost(message, repeated, tag = "13")]
    pub layers: Vec<LayerMessage>,
    /// Counts the agent's looks at its engine, so that an older state never replaces a newer one.
    #[prost(uint64, tag = "14")]
    pub reading: u64,
    /// Requests that run.
    #[prost(uint32, tag = "15")]
    pub active: u32,
    /// Requests that wait.
    #[prost(uint32, tag = "16")]
    pub queued: u32,
}

/// LayerMessage is the experts that a rank holds in one layer.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LayerMessage {
    /// The experts.
    #[prost(uint32, repeated, tag = "1")]
    pub experts: Vec<u32>,
}

/// CountsMessage is a part of a rank's counts.
#[derive(Clone, PartialEq, prost::Message)]
pub struct CountsMessage {
    /// The epoch in which they were read.
    #[prost(uint64, tag = "1")]
    pub epoch: u64,
    /// The place of the first one.
    #[prost(uint32, tag = "2")]
    pub first: u32,
    /// How many the rank has in all.
    #[prost(uint32, tag = "3")]
    pub total: u32,
    /// The counts.
    #[prost(uint64, repeated, tag = "4")]
    pub counts: Vec<u64>,
}

impl StateMessage {
    /// Returns the message for a state.
    pub fn of(report: &RankReport, held: &HeldExperts, reading: u64) -> Self {
        let layer = |layer: &Vec<usize>| LayerMessage {
            experts: layer.iter().map(|expert| super::narrow(*expert)).collect(),
        };
        Self {
            group: report.group.clone(),
            epoch: report.epoch,
            rank: super::narrow(report.rank),
            ranks: super::narrow(report.ranks),
            open: report.open,
            step: report.step,
            version: report.version,
            prepared: report.prepared,
            armed_version: report.armed.map(|armed| armed.version),
            armed_step: report.armed.map(|armed| armed.step),
            held_step: report.held_step,
            held_version: held.version,
            layers: held.layers.iter().map(layer).collect(),
            reading,
            active: report.active,
            queued: report.queued,
        }
    }

    /// Returns the state.
    pub fn report(&self) -> RankReport {
        let armed = self.armed_version.zip(self.armed_step);
        RankReport {
            group: self.group.clone(),
            epoch: self.epoch,
            rank: super::wide(self.rank),
            ranks: super::wide(self.ranks),
            open: self.open,
            step: self.step,
            version: self.version,
            prepared: self.prepared,
            armed: armed.map(|(version, step)| Switch { version, step }),
            held_step: self.held_step,
            queued: self.queued,
            active: self.active,
        }
    }

    fn experts(&self) -> HeldExperts {
        let layers = self
            .layers
            .iter()
            .map(|layer| layer.experts.iter().map(|expert| super::wide(*expert)).collect());
        HeldExperts { version: self.held_version, layers: layers.collect() }
    }
}

/// Member is one rank of the group as its agent tells it.
#[derive(Clone, Debug)]
pub struct Member {
    /// Its engine.
    pub engine: SocketAddr,
    /// Its state.
    pub view: RankView,
    /// The experts that it holds.
    pub held: HeldExperts,
    /// When its agent was heard; `None` where only the engine was asked.
    pub agent_received_at: Option<Duration>,
    life: u64,
    reading: u64,
    counts: Counts,
}

/// Counts is how often the requests of one rank chose each expert: the newest sums, and those up to
/// which the planner has taken them.
#[derive(Clone, Debug, Default)]
struct Counts {
    epoch: u64,
    told: Vec<u64>,
    taken: Vec<u64>,
}

/// Members is the table of one group's ranks.
#[derive(Debug, Default)]
pub struct Members {
    group: String,
    by_rank: Map<usize, Member>,
}

impl Members {
    /// Takes in a message of an agent. Messages of other groups are passed over.
    pub fn receive_message(&mut self, own_group: &str, message: &RankMessage, now: Duration) {
        let Ok(engine) = message.engine.parse::<SocketAddr>() else { return };
        if self.group != own_group {
            own_group.clone_into(&mut self.group);
            self.by_rank.clear();
        }
        if let Some(state) = &message.state {
            self.take_state(engine, message.life, state, now);
        }
        if let Some(counts) = &message.counts
            && let Some(member) = self.by_rank.values_mut().find(|member| member.engine == engine)
        {
            member.counts.take(counts);
        }
    }

    /// Takes in a state as an agent read it, in a message or with the answer to an order.
    pub fn take_state(
        &mut self,
        engine: SocketAddr,
        life: u64,
        state: &StateMessage,
        now: Duration,
    ) {
        if state.group != self.group {
            return;
        }
        let rank = super::wide(state.rank);
        let counts = match self.by_rank.get(&rank) {
            Some(old) if old.life == life && old.reading >= state.reading => return,
            Some(old) if old.engine == engine => old.counts.clone(),
            _ => Counts::default(),
        };
        let member = Member {
            engine,
            view: RankView { report: state.report(), received_at: now },
            held: state.experts(),
            agent_received_at: Some(now),
            life,
            reading: state.reading,
            counts,
        };
        self.by_rank.insert(rank, member);
    }

    /// Takes in a report that another host's engine gave, which shows a state of a moment ago.
    pub fn asked(&mut self, rank: usize, report: RankReport, now: Duration) {
        let as_of = now.saturating_sub(REPORT_LAG);
        if let Some(member) = self.by_rank.get_mut(&rank)
            && report.group == self.group
            && member.view.received_at < as_of
        {
            member.view = RankView { report, received_at: as_of };
        }
    }

    /// Takes in the experts that a rank holds.
    pub fn holds(&mut self, rank: usize, held: HeldExperts) {
        if let Some(member) = self.by_rank.get_mut(&rank) {
            member.held = held;
        }
    }

    /// Returns a rank.
    pub fn get(&self, rank: usize) -> Option<&Member> {
        self.by_rank.get(&rank)
    }

    /// Returns all ranks in order; none where one is missing.
    fn whole(&self) -> Option<Vec<&Member>> {
        let ranks = self.by_rank.values().map(|member| member.view.report.ranks).max()?;
        (0..ranks).map(|rank| self.by_rank.get(&rank)).collect()
    }

    /// Returns the views of all ranks in order; none where one is missing.
    pub fn views(&self) -> Option<Vec<RankView>> {
        Some(self.whole()?.into_iter().map(|member| member.view.clone()).collect())
    }

    /// Returns the hosts of the group's ranks; none where one is missing.
    pub fn hosts(&self) -> Option<Vec<SocketAddr>> {
        Some(self.whole()?.into_iter().map(|member| member.engine).collect())
    }

    /// Returns the map that all ranks use, where they told its experts.
    pub fn present(&self) -> Option<Arc<ExpertMap>> {
        let members = self.whole()?;
        let version = members.first()?.view.report.version;
        let known = members
            .iter()
            .all(|member| member.view.report.version == version && member.held.version == version);
        let layers = members.first()?.held.layers.len();
        let even = members.iter().all(|member| member.held.layers.len() == layers);
        if !known || !even || layers == 0 {
            return None;
        }
        let layer = |index: usize| Layer {
            held: members
                .iter()
                .map(|member| {
                    let mut held = member.held.layers[index].clone();
                    held.sort_unstable();
                    held
                })
                .collect(),
        };
        Some(Arc::new(ExpertMap { layers: (0..layers).map(layer).collect() }))
    }

    /// Returns the lowest rank whose agent was heard lately; it coordinates.
    pub fn coordinator(&self, now: Duration) -> Option<usize> {
        let live = self.by_rank.iter().filter(|(_, member)| is_live(member, now));
        live.map(|(rank, _)| *rank).min()
    }

    /// Returns the hosts of the two lowest live ranks, which are told the counts.
    pub fn candidates(&self, now: Duration) -> Vec<SocketAddr> {
        let live = self.by_rank.iter().filter(|(_, member)| is_live(member, now));
        let mut live: Vec<(usize, SocketAddr)> =
            live.map(|(rank, member)| (*rank, member.engine)).collect();
        live.sort_unstable();
        live.truncate(2);
        live.into_iter().map(|(_, engine)| engine).collect()
    }

    /// Returns the ranks whose agents are silent.
    pub fn silent(&self, now: Duration) -> Vec<(usize, SocketAddr)> {
        let silent = self.by_rank.iter().filter(|(_, member)| !is_live(member, now));
        silent.map(|(rank, member)| (*rank, member.engine)).collect()
    }

    /// Returns how often requests chose each expert since the last call, by layer, over the ranks
    /// whose counts are complete.
    pub fn take_counts(&mut self, layers: usize) -> Vec<Vec<f64>> {
        let mut sums: Vec<Vec<f64>> = vec![Vec::new(); layers];
        for member in self.by_rank.values_mut() {
            let counts = &mut member.counts;
            if layers == 0 || counts.told.is_empty() || counts.told.len() % layers != 0 {
                continue;
            }
            let experts = counts.told.len() / layers;
            counts.taken.resize(counts.told.len(), 0);
            let new =
                counts.told.iter().zip(&counts.taken).map(|(told, taken)| told - taken.min(told));
            for (place, count) in new.enumerate() {
                let layer = &mut sums[place / experts];
                layer.resize(experts, 0.0);
                layer[place % experts] += super::float(usize::try_from(count).unwrap_or(0));
            }
            counts.taken.clone_from(&counts.told);
        }
        sums
    }
}

impl Counts {
    fn take(&mut self, message: &CountsMessage) {
        let total = super::wide(message.total);
        let first = super::wide(message.first);
        if self.told.len() != total || self.epoch != message.epoch {
            *self = Self { epoch: message.epoch, told: vec![0; total], taken: vec![0; total] };
        }
        for (offset, count) in message.counts.iter().enumerate() {
            let Some(told) = self.told.get_mut(first + offset) else { return };
            if self.taken[first + offset] > *count {
                // The rank has started again and counts anew.
                self.taken[first + offset] = 0;
            }
            // The first value of a place tells nothing of the time before it.
            if *told == 0 && self.taken[first + offset] == 0 {
                self.taken[first + offset] = *count;
            }
            *told = *count;
        }
    }
}

fn is_live(member: &Member, now: Duration) -> bool {
    member.agent_received_at.is_some_and(|received| now.saturating_sub(received) <= SILENT_AFTER)
}

/// Returns every how many looks an agent sends its counts in a group of `ranks`.
pub fn counts_interval(ranks: usize) -> u64 {
    u64::try_from(ranks.div_ceil(RANKS_COUNTED_PER_HEARTBEAT)).unwrap_or(u64::MAX).max(1)
}
