//! What passes between processes: frames, notices of links, heartbeats and probes.

use bitternwall::agent::events::{Event, ProbeOutcome};
use bitternwall::entry::core::events::Event as EntryEvent;
use bitternwall::wire;
use bitternwall::wire::frame;

use super::links::{End, Notice, Pair, Parcel};
use super::rows::Fault;
use super::site::{Site, clock};
use super::{AGENTS, BEAT_MS, ENTRIES};

/// Milliseconds between two health probes of a target.
const PROBE_BEAT_MS: u64 = 30;
/// Milliseconds that a health probe takes.
const PROBE_MS: u64 = 10;
/// Milliseconds after which a probe that nobody answers is given up.
const SILENT_PROBE_MS: u64 = 300;

impl Site {
    /// Moves frames and links on, and sends heartbeats.
    pub(super) fn move_frames(&mut self) {
        let (entries, agents) = (self.entries_alive(), self.agents_alive());
        let acts: [bool; AGENTS] = std::array::from_fn(|i| agents[i] && !self.is_paused(i));
        let hears = |end, pair: Pair| match end {
            End::Entry => entries[pair.entry],
            End::Agent => acts[pair.agent],
        };
        let exists = |end, pair: Pair| match end {
            End::Entry => entries[pair.entry],
            End::Agent => agents[pair.agent],
        };
        let arrived = self.links.arrivals(self.now, hears);
        let notices = self.links.tick(self.now, hears, exists);
        arrived.into_iter().for_each(|parcel| self.deliver(parcel));
        notices.into_iter().for_each(|notice| self.notify(notice));
        if self.now.is_multiple_of(BEAT_MS) {
            self.beat();
        }
        if self.now.is_multiple_of(PROBE_BEAT_MS) {
            let acting: Vec<_> = (0..AGENTS).filter(|agent| !self.is_paused(*agent)).collect();
            acting.into_iter().for_each(|agent| self.probe(agent));
        }
    }

    fn deliver(&mut self, parcel: Parcel) {
        let Parcel { pair, link, to, kind } = parcel;
        let now = clock(self.now);
        match to {
            End::Entry => {
                let target = self.target_name(pair.agent);
                if let Some(entry) = &mut self.entries[pair.entry] {
                    entry.frame(now, &target, kind);
                }
            }
            End::Agent => {
                self.note_arrival(&kind);
                if let Some(agent) = &mut self.agents[pair.agent] {
                    agent.frame(self.now, link, kind);
                }
            }
        }
    }

    fn notify(&mut self, notice: Notice) {
        let now = clock(self.now);
        match notice {
            Notice::Up(pair, _) => {
                let target = self.target_name(pair.agent);
                let Some(agent) = &self.agents[pair.agent] else { return };
                let (incarnation, hello) = (agent.life, agent.heartbeat());
                if let Some(entry) = &mut self.entries[pair.entry] {
                    let up = EntryEvent::LinkUp {
                        target: target.clone(),
                        incarnation,
                        region: String::new(),
                    };
                    entry.tick(now, vec![up]);
                    entry.frame(now, &target, hello);
                }
            }
            Notice::Down(End::Entry, pair, _) => {
                let target = self.target_name(pair.agent);
                if let Some(entry) = &mut self.entries[pair.entry] {
                    entry.tick(now, vec![EntryEvent::LinkDown { target }]);
                }
            }
            Notice::Down(End::Agent, pair, link) => {
                if let Some(agent) = &mut self.agents[pair.agent] {
                    agent.events.push(Event::LinkDown(link));
                }
            }
        }
    }

    fn beat(&mut self) {
        for agent in 0..AGENTS {
            if !self.is_paused(agent) {
                self.beat_agent(agent);
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
    pub(super) fn beat_agent(&mut self, agent: usize) {
        let Some(side) = &self.agents[agent] else { return };
        let mut kind = side.heartbeat();
        let unheard = self.faults.lasts(Fault::Drain, self.now);
        if let (frame::Kind::Heartbeat(heartbeat), true) = (&mut kind, unheard) {
            heartbeat.draining = false;
        }
        for entry in 0..ENTRIES {
            self.links.send(self.now, End::Agent, Pair { entry, agent }, kind.clone());
        }
    }

    /// Starts a health probe of a target.
    pub(super) fn probe(&mut self, agent: usize) {
        let Some(side) = &self.agents[agent] else { return };
        let gone = agent == self.faults.victim && self.faults.lasts(Fault::HostGone, self.now);
        let wait = if gone { SILENT_PROBE_MS } else { PROBE_MS };
        self.probes.push((self.now + wait, agent, side.life));
    }

    /// Hands agents the probes that ended.
    pub(super) fn move_probes(&mut self) {
        let now = self.now;
        let due: Vec<_> = self.probes.extract_if(.., |(at, ..)| *at <= now).collect();
        for (_, index, life) in due {
            let outcome = if self.targets[index].alive {
                ProbeOutcome::Healthy
            } else {
                ProbeOutcome::Refused
            };
            if let Some(agent) = self.agents[index].as_mut().filter(|agent| agent.life == life) {
                agent.probed(outcome);
            }
        }
    }

    /// Breaks links and tells both ends.
    pub fn break_links(&mut self, concerns: impl Fn(Pair) -> bool) {
        let (entries, agents) = (self.entries_alive(), self.agents_alive());
        let exists = |end, pair: Pair| match end {
            End::Entry => entries[pair.entry],
            End::Agent => agents[pair.agent],
        };
        let notices = self.links.break_all(self.now, concerns, exists);
        notices.into_iter().for_each(|notice| self.notify(notice));
    }
}
