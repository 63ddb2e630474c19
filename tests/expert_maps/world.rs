//! A simulation of the switch protocol: engines in lock-step, their agents, a network that loses,
//! delays, duplicates and reorders messages, and a key-value service with outages.

mod engines;
mod faults;
mod store;

use std::collections::BTreeMap;
use std::time::Duration;

use bitternwall::expert_map::coordinator::{self, Coordinator, Phase};
use bitternwall::expert_map::protocol;
use bitternwall::expert_map::rank_agent::{self, RankAgent};

pub use faults::{Fault, Network, StoreMode};

use crate::group::Rng;

pub const TICK: Duration = Duration::from_millis(50);
const LOAD_TICKS: u64 = 6;
const RESTART_TICKS: u64 = 10;

/// Configuration of one simulation: the group, and the mechanisms that are enabled.
#[derive(Clone, Copy, Debug)]
pub struct Rules {
    pub ranks: usize,
    pub safeguards: protocol::Safeguards,
    /// Engines do not begin the armed step until they are released.
    pub hold: bool,
    /// Number of steps by which a switch is armed ahead.
    pub lead_steps: u64,
    /// Engines refuse outdated fences themselves.
    pub engines_check: bool,
}

#[derive(Debug, Default)]
struct Engine {
    status: protocol::EngineStatus,
    loading: Option<(u64, protocol::Version)>,
    stalled_until: u64,
}

#[derive(Debug)]
struct Process {
    agent: RankAgent,
    coordinator: Option<Coordinator>,
    agent_inbox: Vec<rank_agent::Event>,
    coordinator_inbox: Vec<coordinator::Event>,
    engine_queue: Vec<protocol::EngineOrder>,
}

#[derive(Debug, Default)]
struct Host {
    engine: Engine,
    process: Option<Process>,
    restart_at: u64,
    paused_until: u64,
}

#[derive(Clone, Copy, Debug)]
enum Packet {
    Order {
        to: usize,
        order: protocol::Order,
    },
    Report {
        to: usize,
        report: protocol::Report,
    },
    AgentStore {
        to: usize,
        process_incarnation: protocol::ProcessIncarnation,
        answer: protocol::StoreAnswer,
    },
    CoordinatorStore {
        to: usize,
        process_incarnation: protocol::ProcessIncarnation,
        answer: protocol::StoreAnswer,
    },
    Swap {
        revision: u64,
        record: protocol::Record,
    },
}

/// Delivery is how one order is delivered; `After` counts ticks.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Delivery {
    ByNetwork,
    Lost,
    After(u64),
}

type Deliver = Box<dyn Fn(usize, &protocol::Order) -> Delivery>;

pub struct World {
    rules: Rules,
    rng: Rng,
    tick: u64,
    hosts: Vec<Host>,
    process_incarnations: u64,
    spare_incarnations: Vec<protocol::ProcessIncarnation>,
    packets: Vec<(u64, Packet)>,
    network: Network,
    deliver_order: Deliver,
    store_mode: StoreMode,
    stored: protocol::Stored,
    replaced: bool,
    used_versions: BTreeMap<(protocol::GroupIncarnation, protocol::Step), protocol::Version>,
    pub violation: Option<String>,
    pub switched: usize,
    /// Number of ticks in which an engine waited at the armed step, summed over all engines.
    pub ticks_held: usize,
}

impl World {
    /// Creates one host for each rank, and a spare one for a replaced rank 0.
    pub fn new(rules: Rules, seed: u64) -> Self {
        let mut world = Self {
            rules,
            rng: Rng::new(seed),
            tick: 1,
            hosts: (0..=rules.ranks).map(|_| Host::default()).collect(),
            process_incarnations: 0,
            spare_incarnations: Vec::new(),
            packets: Vec::new(),
            network: Network::default(),
            deliver_order: Box::new(|_, _| Delivery::ByNetwork),
            store_mode: StoreMode::Up,
            stored: protocol::Stored::default(),
            replaced: false,
            used_versions: BTreeMap::new(),
            violation: None,
            switched: 0,
            ticks_held: 0,
        };
        for host in 0..=rules.ranks {
            world.hosts[host].engine.status.process_incarnation = world.new_process_incarnation();
            world.start(host);
        }
        world
    }

    fn new_process_incarnation(&mut self) -> protocol::ProcessIncarnation {
        self.process_incarnations += 1;
        protocol::ProcessIncarnation(self.process_incarnations)
    }

    fn chance(&mut self, percent: u64) -> bool {
        self.rng.bits() % 100 < percent
    }

    fn spare_host(&self) -> usize {
        self.rules.ranks
    }

    fn start(&mut self, host: usize) {
        let process_incarnation = self.new_process_incarnation();
        let rank = if host == self.spare_host() { 0 } else { host };
        if host == self.spare_host() {
            self.spare_incarnations.push(process_incarnation);
        }
        let generation = match host {
            0 => Some(1),
            _ if host == self.spare_host() && self.replaced => Some(2),
            _ => None,
        };
        let coordinator = generation.map(|generation| {
            Coordinator::new(coordinator::Options {
                ranks: self.rules.ranks,
                generation,
                process_incarnation,
                lead_steps: self.rules.lead_steps,
                prepare_timeout: Duration::from_secs(5),
                safeguards: self.rules.safeguards,
            })
        });
        self.hosts[host].process = Some(Process {
            agent: RankAgent::new(rank, process_incarnation, self.rules.safeguards),
            coordinator,
            agent_inbox: Vec::new(),
            coordinator_inbox: Vec::new(),
            engine_queue: Vec::new(),
        });
    }

    /// Sets the function that decides how each order is delivered from now on.
    pub fn deliver_orders(
        &mut self,
        deliver: impl Fn(usize, &protocol::Order) -> Delivery + 'static,
    ) {
        self.deliver_order = Box::new(deliver);
    }

    /// Returns the incarnation of the agent process on a host.
    pub fn process_incarnation(&self, host: usize) -> Option<protocol::ProcessIncarnation> {
        self.hosts[host].process.as_ref().map(|process| process.agent.process_incarnation())
    }

    /// Runs until the newest coordinator is in a phase that passes the test.
    pub fn run_until(&mut self, test: impl Fn(Phase) -> bool) {
        for _ in 0..2000 {
            if self.phase().is_some_and(&test) {
                return;
            }
            self.step();
        }
        panic!("phase not reached; the coordinator is in {:?}", self.phase());
    }

    /// Returns the phase of the newest coordinator.
    pub fn phase(&self) -> Option<Phase> {
        let host = if self.replaced { self.spare_host() } else { 0 };
        let process = self.hosts[host].process.as_ref()?;
        process.coordinator.as_ref().map(Coordinator::phase)
    }

    /// Returns the newest group incarnation and the step that all its members have reached.
    pub fn progress(&self) -> (protocol::GroupIncarnation, protocol::Step) {
        let members = self.members();
        let status = |host: &usize| self.hosts[*host].engine.status;
        let group_incarnation =
            members.iter().map(|h| status(h).group_incarnation).max().unwrap_or_default();
        let of_group = |host: &usize| {
            let status = status(host);
            if status.group_incarnation == group_incarnation {
                status.next_step
            } else {
                protocol::Step(0)
            }
        };
        (group_incarnation, members.iter().map(of_group).min().unwrap_or_default())
    }

    fn members(&self) -> Vec<usize> {
        let first = if self.replaced { self.spare_host() } else { 0 };
        (0..self.rules.ranks).map(|rank| if rank == 0 { first } else { rank }).collect()
    }

    pub fn step(&mut self) {
        self.tick += 1;
        let tick = self.tick;
        let (due, later) = std::mem::take(&mut self.packets).into_iter().partition(|p| p.0 <= tick);
        self.packets = later;
        let due: Vec<(u64, Packet)> = due;
        due.into_iter().for_each(|(_, packet)| self.deliver(packet));
        for host in 0..self.hosts.len() {
            self.run_process(host);
            self.run_engine_orders(host);
        }
        self.run_engines();
    }

    fn deliver(&mut self, packet: Packet) {
        match packet {
            Packet::Swap { revision, record } => {
                self.swap(revision, record);
            }
            Packet::Order { to, order } => {
                if let Some(process) = &mut self.hosts[to].process {
                    process.agent_inbox.push(rank_agent::Event::Order(order));
                }
            }
            Packet::Report { to, report } => {
                if let Some(process) = &mut self.hosts[to].process {
                    process.coordinator_inbox.push(coordinator::Event::Report(report));
                }
            }
            Packet::AgentStore { to, process_incarnation, answer } => {
                if let Some(process) = &mut self.hosts[to].process
                    && process.agent.process_incarnation() == process_incarnation
                {
                    process.agent_inbox.push(rank_agent::Event::Store(answer));
                }
            }
            Packet::CoordinatorStore { to, process_incarnation, answer } => {
                if let Some(process) = &mut self.hosts[to].process
                    && process.agent.process_incarnation() == process_incarnation
                {
                    process.coordinator_inbox.push(coordinator::Event::Store(answer));
                }
            }
        }
    }

    fn run_process(&mut self, host: usize) {
        if self.hosts[host].process.is_none() && self.tick >= self.hosts[host].restart_at {
            self.start(host);
        }
        if self.tick < self.hosts[host].paused_until {
            return;
        }
        let Some(mut process) = self.hosts[host].process.take() else { return };
        let now = TICK * u32::try_from(self.tick).expect("runs are short");
        let mut effects = Vec::new();
        let events = std::mem::take(&mut process.agent_inbox);
        process.agent.tick(now, &events, &mut effects);
        for effect in effects {
            self.apply_agent(host, &mut process, effect);
        }
        if let Some(coordinator) = &mut process.coordinator {
            let mut effects = Vec::new();
            let events = std::mem::take(&mut process.coordinator_inbox);
            coordinator.tick(now, &events, &mut effects);
            let process_incarnation = process.agent.process_incarnation();
            effects
                .into_iter()
                .for_each(|effect| self.apply_coordinator(host, process_incarnation, effect));
        }
        self.hosts[host].process = Some(process);
    }

    fn apply_agent(&mut self, host: usize, process: &mut Process, effect: rank_agent::Effect) {
        match effect {
            rank_agent::Effect::ReadRecord => {
                let process_incarnation = process.agent.process_incarnation();
                let answer = self.read();
                self.send(Packet::AgentStore { to: host, process_incarnation, answer }, true);
            }
            rank_agent::Effect::Engine(order) => process.engine_queue.push(order),
            rank_agent::Effect::Report(report) => {
                let to = self.coordinator_host(report.fence.coordinator);
                self.send(Packet::Report { to, report }, false);
            }
        }
    }

    fn coordinator_host(&self, process_incarnation: protocol::ProcessIncarnation) -> usize {
        if self.spare_incarnations.contains(&process_incarnation) { self.spare_host() } else { 0 }
    }

    fn apply_coordinator(
        &mut self,
        host: usize,
        process_incarnation: protocol::ProcessIncarnation,
        effect: coordinator::Effect,
    ) {
        match effect {
            coordinator::Effect::Send { rank, order } => {
                let to = if rank == 0 { host } else { rank };
                match (self.deliver_order)(to, &order) {
                    Delivery::ByNetwork => self.send(Packet::Order { to, order }, false),
                    Delivery::Lost => {}
                    Delivery::After(ticks) => {
                        self.packets.push((self.tick + ticks, Packet::Order { to, order }));
                    }
                }
            }
            coordinator::Effect::ReadRecord => {
                let answer = self.read();
                self.send(Packet::CoordinatorStore { to: host, process_incarnation, answer }, true);
            }
            coordinator::Effect::SwapRecord { revision, record } => {
                let answer = self.answer_swap(revision, record);
                self.send(Packet::CoordinatorStore { to: host, process_incarnation, answer }, true);
            }
            coordinator::Effect::Switched(_) => self.switched += 1,
            coordinator::Effect::VersionAssigned(_) | coordinator::Effect::Abandoned(_) => {}
        }
    }

    fn send(&mut self, packet: Packet, reliable: bool) {
        let Network { lost, duplicated, late, late_ticks } = self.network;
        let copies = if !reliable && self.chance(duplicated) { 2 } else { 1 };
        for _ in 0..copies {
            if !reliable && self.chance(lost) {
                continue;
            }
            let extra = if self.chance(late) { self.rng.bits() % late_ticks.max(1) } else { 0 };
            self.packets.push((self.tick + 1 + extra, packet));
        }
    }
}
