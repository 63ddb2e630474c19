//! Traffic between the processes: frames, link events, heartbeats and health probes.

use bitternwall::agent::events::{Event, ProbeOutcome};
use bitternwall::entry::core::events::Event as EntryEvent;
use bitternwall::wire;
use bitternwall::wire::frame;

use super::links::{End, InFlight, LinkEvent, Pair};
use super::rows::Fault;
use super::simulation::{Simulation, clock};
use super::{AGENTS, ENTRIES, HEARTBEAT_INTERVAL_MS};

/// Milliseconds between two health probes of a target.
const PROBE_INTERVAL_MS: u64 = 30;
/// Milliseconds until a health probe is answered.
const PROBE_MS: u64 = 10;
/// Milliseconds after which a health probe without an answer times out.
const PROBE_TIMEOUT_MS: u64 = 300;

impl Simulation {
    /// Delivers the frames that are due, updates the links, and starts heartbeats and probes.
    pub(super) fn advance_links(&mut self) {
        let (entries, agents) = (self.entries_alive(), self.agents_alive());
        let agents_responsive: [bool; AGENTS] =
            std::array::from_fn(|i| agents[i] && !self.is_paused(i));
        let responsive = |end, pair: Pair| match end {
            End::Entry => entries[pair.entry],
            End::Agent => agents_responsive[pair.agent],
        };
        let exists = |end, pair: Pair| match end {
            End::Entry => entries[pair.entry],
            End::Agent => agents[pair.agent],
        };
        let arrived = self.links.arrivals(self.now, responsive);
        let events = self.links.tick(self.now, responsive, exists);
        arrived.into_iter().for_each(|in_flight| self.deliver(in_flight));
        events.into_iter().for_each(|event| self.handle_link_event(event));
        if self.now.is_multiple_of(HEARTBEAT_INTERVAL_MS) {
            self.send_heartbeats();
        }
        if self.now.is_multiple_of(PROBE_INTERVAL_MS) {
            let acting: Vec<_> = (0..AGENTS).filter(|agent| !self.is_paused(*agent)).collect();
            acting.into_iter().for_each(|agent| self.probe(agent));
        }
    }

    fn deliver(&mut self, in_flight: InFlight) {
        let InFlight { pair, link, to, kind } = in_flight;
        let now = clock(self.now);
        match to {
            End::Entry => {
                let target = self.target_name(pair.agent);
                if let Some(entry) = &mut self.entries[pair.entry] {
                    entry.receive_frame(now, &target, kind);
                }
            }
            End::Agent => {
                self.record_arrival(&kind);
                if let Some(agent) = &mut self.agents[pair.agent] {
                    agent.receive_frame(self.now, link, kind);
                }
            }
        }
    }

    fn handle_link_event(&mut self, event: LinkEvent) {
        let now = clock(self.now);
        match event {
            LinkEvent::Up(pair, _) => {
                let target = self.target_name(pair.agent);
                let Some(agent) = &self.agents[pair.agent] else { return };
                let (incarnation, hello) = (agent.incarnation, agent.heartbeat());
                if let Some(entry) = &mut self.entries[pair.entry] {
                    let up = EntryEvent::LinkUp {
                        target: target.clone(),
                        incarnation,
                        region: String::new(),
                    };
                    entry.tick(now, vec![up]);
                    entry.receive_frame(now, &target, hello);
                }
            }
            LinkEvent::Down(End::Entry, pair, _) => {
                let target = self.target_name(pair.agent);
                if let Some(entry) = &mut self.entries[pair.entry] {
                    entry.tick(now, vec![EntryEvent::LinkDown { target }]);
                }
            }
            LinkEvent::Down(End::Agent, pair, link) => {
                if let Some(agent) = &mut self.agents[pair.agent] {
                    agent.events.push(Event::LinkDown(link));
                }
            }
        }
    }

    fn send_heartbeats(&mut self) {
        for agent in 0..AGENTS {
            if !self.is_paused(agent) {
                self.send_agent_heartbeat(agent);
            }
        }
        for entry in 0..ENTRIES {
            if self.entries[entry].is_none() {
                continue;
            }
            let heartbeat = frame::Kind::Heartbeat(wire::Heartbeat::default());
            for agent in 0..AGENTS {
                let pair = Pair { entry, agent };
                self.links.send(self.now, End::Entry, pair, heartbeat.clone());
            }
        }
    }

    /// Sends an agent's heartbeat to every entry.
    pub(super) fn send_agent_heartbeat(&mut self, agent: usize) {
        let Some(process) = &self.agents[agent] else { return };
        let mut kind = process.heartbeat();
        let unreported = self.faults.is_active(Fault::Drain, self.now);
        if let (frame::Kind::Heartbeat(heartbeat), true) = (&mut kind, unreported) {
            heartbeat.draining = false;
        }
        for entry in 0..ENTRIES {
            self.links.send(self.now, End::Agent, Pair { entry, agent }, kind.clone());
        }
    }

    /// Starts a health probe of a target.
    pub(super) fn probe(&mut self, agent: usize) {
        let Some(process) = &self.agents[agent] else { return };
        let host_gone =
            agent == self.faults.victim && self.faults.is_active(Fault::HostGone, self.now);
        let wait = if host_gone { PROBE_TIMEOUT_MS } else { PROBE_MS };
        self.probes.push((self.now + wait, agent, process.incarnation));
    }

    /// Reports the probes that ended to their agents.
    pub(super) fn finish_probes(&mut self) {
        let now = self.now;
        let due: Vec<_> = self.probes.extract_if(.., |(at, ..)| *at <= now).collect();
        for (_, index, owner) in due {
            let outcome = if self.targets[index].alive {
                ProbeOutcome::Healthy
            } else {
                ProbeOutcome::Refused
            };
            if let Some(agent) = self.agents[index].as_mut().filter(|a| a.incarnation == owner) {
                agent.probe_finished(outcome);
            }
        }
    }

    /// Breaks links and notifies both ends.
    pub fn break_links(&mut self, concerns: impl Fn(Pair) -> bool) {
        let (entries, agents) = (self.entries_alive(), self.agents_alive());
        let exists = |end, pair: Pair| match end {
            End::Entry => entries[pair.entry],
            End::Agent => agents[pair.agent],
        };
        let events = self.links.break_all(self.now, concerns, exists);
        events.into_iter().for_each(|event| self.handle_link_event(event));
    }
}
