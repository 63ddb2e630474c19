//! The table of a group's ranks, as their agents report them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::collections::Map;
use crate::expert_map::map::{ExpertMap, Layer};
use crate::ranks::messages::{RankMessage, StateMessage};
use crate::ranks::report::{HeldExperts, RankReport};
use crate::ranks::switch::RankView;

/// Time without a message after which an agent counts as silent and does not coordinate.
pub const AGENT_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Age of the last message of an agent above which the coordinator polls its engine: five messages in
/// a row are missing.
const SUSPICION_AGE: Duration = Duration::from_millis(500);

/// Age of the report of a rank without an agent above which the coordinator polls its engine.
const SILENT_RANK_POLL_AGE: Duration = Duration::from_secs(1);

/// Assumed maximum age of a report that an engine sends to another host, with a reserve.
const REMOTE_REPORT_LAG: Duration = Duration::from_millis(400);

/// Member is one rank of the group, as its agent last reported it.
#[derive(Clone, Debug)]
pub struct Member {
    /// The address of the rank's engine.
    pub engine: SocketAddr,
    /// The rank's state.
    pub view: RankView,
    /// The experts that the rank holds.
    pub held_experts: HeldExperts,
    /// When a message of the rank's agent was last received; `None` if only the engine was polled.
    pub agent_received_at: Option<Duration>,
    incarnation: u64,
    sequence: u64,
}

/// Members is the table of one group's ranks.
#[derive(Debug, Default)]
pub struct Members {
    group: String,
    by_rank: Map<usize, Member>,
}

impl Members {
    /// Records the message of an agent. States of other groups are ignored.
    pub fn receive_message(&mut self, local_group: &str, message: &RankMessage, now: Duration) {
        let Ok(engine) = message.engine.parse::<SocketAddr>() else { return };
        if self.group != local_group {
            local_group.clone_into(&mut self.group);
            self.by_rank.clear();
        }
        if let Some(state) = &message.state {
            self.record_state(engine, message.incarnation, state, now);
        }
    }

    /// Records a state that an agent has sent, in a message or with the answer to an order.
    pub fn record_state(
        &mut self,
        engine: SocketAddr,
        incarnation: u64,
        state: &StateMessage,
        now: Duration,
    ) {
        if state.group != self.group {
            return;
        }
        let rank = super::to_usize(state.rank);
        let old = self.by_rank.get(&rank);
        if old.is_some_and(|old| old.incarnation == incarnation && old.sequence >= state.sequence) {
            return;
        }
        let held_experts = match old.filter(|old| state.layers.is_empty() && old.engine == engine) {
            Some(old) => old.held_experts.clone(),
            None => state.held_experts(),
        };
        let member = Member {
            engine,
            view: RankView { report: state.report(), received_at: now },
            held_experts,
            agent_received_at: Some(now),
            incarnation,
            sequence: state.sequence,
        };
        self.by_rank.insert(rank, member);
    }

    /// Records a report that was read from another host's engine, which is out of date by up to
    /// `REMOTE_REPORT_LAG`.
    pub fn record_report(&mut self, rank: usize, report: RankReport, now: Duration) {
        let as_of = now.saturating_sub(REMOTE_REPORT_LAG);
        if let Some(member) = self.by_rank.get_mut(&rank)
            && report.group == self.group
            && member.view.received_at < as_of
        {
            member.view = RankView { report, received_at: as_of };
        }
    }

    /// Records the experts that a rank holds.
    pub fn record_held_experts(&mut self, rank: usize, held: HeldExperts) {
        if let Some(member) = self.by_rank.get_mut(&rank) {
            member.held_experts = held;
        }
    }

    /// Returns the member with the given rank.
    pub fn get(&self, rank: usize) -> Option<&Member> {
        self.by_rank.get(&rank)
    }

    /// Returns all members by rank, or `None` if one is missing.
    fn all_members(&self) -> Option<Vec<&Member>> {
        let ranks = self.by_rank.values().map(|member| member.view.report.ranks).max()?;
        (0..ranks).map(|rank| self.by_rank.get(&rank)).collect()
    }

    /// Returns the views of all ranks in order, or `None` if one is missing.
    pub fn views(&self) -> Option<Vec<RankView>> {
        Some(self.all_members()?.into_iter().map(|member| member.view.clone()).collect())
    }

    /// Returns the engine addresses of all ranks in order, or `None` if one is missing.
    pub fn hosts(&self) -> Option<Vec<SocketAddr>> {
        Some(self.all_members()?.into_iter().map(|member| member.engine).collect())
    }

    /// Returns the map that all ranks use, or `None` if they differ or their experts are unknown.
    pub fn current_map(&self) -> Option<Arc<ExpertMap>> {
        let members = self.all_members()?;
        let version = members.first()?.view.report.version;
        let known = members.iter().all(|member| {
            member.view.report.version == version && member.held_experts.version == version
        });
        let layers = members.first()?.held_experts.layers.len();
        let same_layers = members.iter().all(|member| member.held_experts.layers.len() == layers);
        if !known || !same_layers || layers == 0 {
            return None;
        }
        let layer = |index: usize| Layer {
            held: members
                .iter()
                .map(|member| {
                    let mut held = member.held_experts.layers[index].clone();
                    held.sort_unstable();
                    held
                })
                .collect(),
        };
        Some(Arc::new(ExpertMap { layers: (0..layers).map(layer).collect() }))
    }

    /// Returns the rank that coordinates: the lowest one whose agent is not silent.
    pub fn coordinator(&self, now: Duration) -> Option<usize> {
        let live = self.by_rank.iter().filter(|(_, member)| is_live(member, now));
        live.map(|(rank, _)| *rank).min()
    }

    /// Returns the engine addresses of the two lowest live ranks, which receive the counts.
    pub fn candidates(&self, now: Duration) -> Vec<SocketAddr> {
        let live = self.by_rank.iter().filter(|(_, member)| is_live(member, now));
        let mut live: Vec<(usize, SocketAddr)> =
            live.map(|(rank, member)| (*rank, member.engine)).collect();
        live.sort_unstable();
        live.truncate(2);
        live.into_iter().map(|(_, engine)| engine).collect()
    }

    /// Returns true if a rank's agent is not silent.
    pub fn has_live_agent(&self, rank: usize, now: Duration) -> bool {
        self.by_rank.get(&rank).is_some_and(|member| is_live(member, now))
    }

    /// Returns the ranks whose agents are silent, with their engine addresses.
    pub fn silent_ranks(&self, now: Duration) -> Vec<(usize, SocketAddr)> {
        let silent = self.by_rank.iter().filter(|(_, member)| !is_live(member, now));
        silent.map(|(rank, member)| (*rank, member.engine)).collect()
    }

    /// Returns the ranks whose engines a coordinator should poll, with their addresses: their agents
    /// are silent and their reports out of date. While a switch is in progress, reports are out of
    /// date sooner, since the switch may depend on them.
    pub fn stale_ranks(&self, switch_in_progress: bool, now: Duration) -> Vec<(usize, SocketAddr)> {
        let is_stale = |member: &Member| {
            let age = now.saturating_sub(member.view.received_at);
            let reported_by_agent = member.agent_received_at == Some(member.view.received_at);
            match is_live(member, now) {
                true => reported_by_agent && age > SUSPICION_AGE,
                false if switch_in_progress => age > SILENT_RANK_POLL_AGE / 4,
                false => age > SILENT_RANK_POLL_AGE,
            }
        };
        let stale = self.by_rank.iter().filter(|(_, member)| is_stale(member));
        stale.map(|(rank, member)| (*rank, member.engine)).collect()
    }

    /// Returns those of the engines whose agents were not heard since the given times: they answer
    /// nobody. `None` if that is half of the group, since the link of the local host is then the
    /// likely cause.
    pub fn confirmed_silent(
        &self,
        failed_at: &Map<SocketAddr, Duration>,
    ) -> Option<Vec<SocketAddr>> {
        let silent = self.by_rank.values().filter(|member| {
            let failed = failed_at.get(&member.engine);
            failed.is_some_and(|at| member.agent_received_at.is_none_or(|heard| heard < *at))
        });
        let mut silent: Vec<SocketAddr> = silent.map(|member| member.engine).collect();
        silent.sort_unstable();
        (silent.len() * 2 < self.by_rank.len()).then_some(silent)
    }
}

fn is_live(member: &Member, now: Duration) -> bool {
    member.agent_received_at.is_some_and(|received| now.saturating_sub(received) <= AGENT_TIMEOUT)
}
