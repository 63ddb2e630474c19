//! A small world for the switch protocol: engines in lock-step, their agents, a network that
//! loses, delays, doubles and reorders, and a key-value service with outages.

use std::collections::BTreeMap;
use std::time::Duration;

use bitternwall::expert_map::coordinator::{self, Coordinator, Phase};
use bitternwall::expert_map::protocol::{
    Armed, Command, EngineOrder, EngineStatus, Fence, Incarnation, Life, Order, Record, Report,
    Safeguards, Step, StoreAnswer, Stored, Version,
};
use bitternwall::expert_map::rank_agent::{self, RankAgent};

use crate::group::Rng;

pub const TICK: Duration = Duration::from_millis(50);
const LEAD_STEPS: u64 = 12;
const LOAD_TICKS: u64 = 6;
const RESTART_TICKS: u64 = 10;

/// What the engines and the protocol are allowed to rely on.
#[derive(Clone, Copy, Debug)]
pub struct Rules {
    pub ranks: usize,
    pub safeguards: Safeguards,
    /// Engines hold at the armed step until they are released.
    pub hold: bool,
    /// Engines refuse old fences themselves.
    pub engines_check: bool,
}

/// How bad the network is, in parts of 100.
#[derive(Clone, Copy, Debug, Default)]
pub struct Network {
    pub lost: u64,
    pub doubled: u64,
    pub late: u64,
    pub late_ticks: u64,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StoreMode {
    Up,
    Down,
    AnswersLost,
    Mixed,
}

#[derive(Clone, Copy, Debug)]
pub enum Fault {
    KillAgent(usize),
    PauseAgent(usize, u64),
    KillEngine(usize),
    StallEngine(usize, u64),
    Store(StoreMode),
    Network(Network),
    /// The group's resource names another target as rank 0; the former one is paused and wakes.
    ReplaceRankZero,
    Want,
}

#[derive(Debug, Default)]
struct Engine {
    status: EngineStatus,
    newest: Fence,
    loading: Option<(u64, Version)>,
    stalled_until: u64,
}

#[derive(Debug)]
struct Process {
    agent: RankAgent,
    coordinator: Option<Coordinator>,
    agent_inbox: Vec<rank_agent::Event>,
    coordinator_inbox: Vec<coordinator::Event>,
    to_engine: Vec<EngineOrder>,
}

#[derive(Debug, Default)]
struct Host {
    engine: Engine,
    process: Option<Process>,
    restart_at: u64,
    paused_until: u64,
}

#[derive(Clone, Debug)]
enum Packet {
    Order { to: usize, order: Order },
    Report { to: usize, report: Report },
    AgentStore { to: usize, life: Life, answer: StoreAnswer },
    CoordinatorStore { to: usize, life: Life, answer: StoreAnswer },
    Swap { revision: u64, record: Record },
}

#[derive(Debug)]
pub struct World {
    rules: Rules,
    rng: Rng,
    tick: u64,
    hosts: Vec<Host>,
    lives: u64,
    spare_lives: Vec<Life>,
    packets: Vec<(u64, Packet)>,
    network: Network,
    store_mode: StoreMode,
    stored: Stored,
    replaced: bool,
    used: BTreeMap<(Incarnation, Step), Version>,
    pub violation: Option<String>,
    pub switched: usize,
}

impl World {
    /// One host for each rank, and a spare one for a replaced rank 0.
    pub fn new(rules: Rules, seed: u64) -> Self {
        let mut world = Self {
            rules,
            rng: Rng::new(seed),
            tick: 1,
            hosts: (0..=rules.ranks).map(|_| Host::default()).collect(),
            lives: 0,
            spare_lives: Vec::new(),
            packets: Vec::new(),
            network: Network::default(),
            store_mode: StoreMode::Up,
            stored: Stored::default(),
            replaced: false,
            used: BTreeMap::new(),
            violation: None,
            switched: 0,
        };
        for host in 0..=rules.ranks {
            world.hosts[host].engine.status.life = world.new_life();
            world.start(host);
        }
        world
    }

    fn new_life(&mut self) -> Life {
        self.lives += 1;
        Life(self.lives)
    }

    fn chance(&mut self, percent: u64) -> bool {
        self.rng.bits() % 100 < percent
    }

    fn spare(&self) -> usize {
        self.rules.ranks
    }

    fn start(&mut self, host: usize) {
        let life = self.new_life();
        let rank = if host == self.spare() { 0 } else { host };
        if host == self.spare() {
            self.spare_lives.push(life);
        }
        let generation = match host {
            0 => Some(1),
            _ if host == self.spare() && self.replaced => Some(2),
            _ => None,
        };
        let coordinator = generation.map(|generation| {
            Coordinator::new(coordinator::Options {
                ranks: self.rules.ranks,
                generation,
                life,
                lead_steps: LEAD_STEPS,
                prepare_timeout: Duration::from_secs(5),
                safeguards: self.rules.safeguards,
            })
        });
        self.hosts[host].process = Some(Process {
            agent: RankAgent::new(rank, life, self.rules.safeguards),
            coordinator,
            agent_inbox: Vec::new(),
            coordinator_inbox: Vec::new(),
            to_engine: Vec::new(),
        });
    }

    /// Returns the phase of the newest coordinator.
    pub fn phase(&self) -> Option<Phase> {
        let host = if self.replaced { self.spare() } else { 0 };
        let process = self.hosts[host].process.as_ref()?;
        process.coordinator.as_ref().map(Coordinator::phase)
    }

    pub fn inject(&mut self, fault: Fault) {
        match fault {
            Fault::KillAgent(host) => self.kill_agent(host),
            Fault::PauseAgent(host, ticks) => self.hosts[host].paused_until = self.tick + ticks,
            Fault::KillEngine(host) => {
                let life = self.new_life();
                let status = EngineStatus { life, ..EngineStatus::default() };
                self.hosts[host].engine = Engine { status, ..Engine::default() };
                if let Some(process) = &mut self.hosts[host].process {
                    process.to_engine.clear();
                    process.agent_inbox.push(rank_agent::Event::Engine { sequence: 0, status });
                }
            }
            Fault::StallEngine(host, ticks) => {
                self.hosts[host].engine.stalled_until = self.tick + ticks;
            }
            Fault::Store(mode) => self.store_mode = mode,
            Fault::Network(network) => self.network = network,
            Fault::ReplaceRankZero if !self.replaced => {
                self.replaced = true;
                self.hosts[0].paused_until = self.tick + 60;
                let spare = self.spare();
                self.start(spare);
            }
            Fault::ReplaceRankZero => {}
            Fault::Want => {
                let processes = self.hosts.iter_mut().filter_map(|host| host.process.as_mut());
                processes.for_each(|p| p.coordinator_inbox.push(coordinator::Event::Want));
            }
        }
    }

    /// Orders on their way to the engine arrive before the next connection opens, or never.
    fn kill_agent(&mut self, host: usize) {
        let Some(process) = self.hosts[host].process.take() else { return };
        let arrived = self.rng.below(process.to_engine.len() + 1);
        for order in &process.to_engine[..arrived] {
            self.obey(host, order);
        }
        self.hosts[host].paused_until = 0;
        self.hosts[host].restart_at = self.tick + RESTART_TICKS;
    }

    /// Ends all faults but those of the key-value service.
    pub fn heal(&mut self) {
        self.network = Network::default();
        for host in &mut self.hosts {
            host.paused_until = 0;
            host.engine.stalled_until = 0;
        }
    }

    pub fn run(&mut self, ticks: u64) {
        for _ in 0..ticks {
            self.step();
        }
    }

    /// Returns the step that all members of the present group have reached.
    pub fn progress(&self) -> (Incarnation, Step) {
        let members = self.members();
        let status = |host: &usize| self.hosts[*host].engine.status;
        let incarnation = members.iter().map(|h| status(h).incarnation).max().unwrap_or_default();
        let of_group = |host: &usize| {
            let status = status(host);
            if status.incarnation == incarnation { status.next_step } else { Step(0) }
        };
        (incarnation, members.iter().map(of_group).min().unwrap_or_default())
    }

    fn members(&self) -> Vec<usize> {
        let first = if self.replaced { self.spare() } else { 0 };
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
            Packet::AgentStore { to, life, answer } => {
                if let Some(process) = &mut self.hosts[to].process
                    && process.agent.life() == life
                {
                    process.agent_inbox.push(rank_agent::Event::Store(answer));
                }
            }
            Packet::CoordinatorStore { to, life, answer } => {
                if let Some(process) = &mut self.hosts[to].process
                    && process.agent.life() == life
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
        let now = TICK.mul_f64(u32::try_from(self.tick).unwrap().into());
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
            let life = process.agent.life();
            effects.into_iter().for_each(|effect| self.apply_coordinator(host, life, effect));
        }
        self.hosts[host].process = Some(process);
    }

    fn apply_agent(&mut self, host: usize, process: &mut Process, effect: rank_agent::Effect) {
        match effect {
            rank_agent::Effect::ReadRecord => {
                let life = process.agent.life();
                let answer = self.read();
                self.send(Packet::AgentStore { to: host, life, answer }, true);
            }
            rank_agent::Effect::Engine(order) => process.to_engine.push(order),
            rank_agent::Effect::Report(report) => {
                let to = self.coordinator_host(report.fence.coordinator);
                self.send(Packet::Report { to, report }, false);
            }
        }
    }

    fn coordinator_host(&self, life: Life) -> usize {
        if self.spare_lives.contains(&life) { self.spare() } else { 0 }
    }

    fn apply_coordinator(&mut self, host: usize, life: Life, effect: coordinator::Effect) {
        match effect {
            coordinator::Effect::Send { rank, order } => {
                let to = if rank == 0 { host } else { rank };
                self.send(Packet::Order { to, order }, false);
            }
            coordinator::Effect::ReadRecord => {
                let answer = self.read();
                self.send(Packet::CoordinatorStore { to: host, life, answer }, true);
            }
            coordinator::Effect::SwapRecord { revision, record } => {
                let answer = self.answer_swap(revision, record);
                self.send(Packet::CoordinatorStore { to: host, life, answer }, true);
            }
            coordinator::Effect::Switched(_) => self.switched += 1,
            coordinator::Effect::Named(_) | coordinator::Effect::Abandoned(_) => {}
        }
    }

    fn read(&mut self) -> StoreAnswer {
        let down = match self.store_mode {
            StoreMode::Up => false,
            StoreMode::Down | StoreMode::AnswersLost => true,
            StoreMode::Mixed => self.chance(40),
        };
        if down { StoreAnswer::Unavailable } else { StoreAnswer::Read(self.stored) }
    }

    fn answer_swap(&mut self, revision: u64, record: Record) -> StoreAnswer {
        let (late, lost) = (self.chance(30), self.chance(30));
        match self.store_mode {
            StoreMode::Up => self.swap(revision, record),
            StoreMode::Down => StoreAnswer::Unavailable,
            StoreMode::AnswersLost => {
                self.swap(revision, record);
                StoreAnswer::Unknown
            }
            StoreMode::Mixed if late => {
                let late = self.tick + self.rng.bits() % 20;
                self.packets.push((late, Packet::Swap { revision, record }));
                StoreAnswer::Unknown
            }
            StoreMode::Mixed if lost => StoreAnswer::Unknown,
            StoreMode::Mixed => self.swap(revision, record),
        }
    }

    fn swap(&mut self, revision: u64, record: Record) -> StoreAnswer {
        if self.stored.revision != revision {
            return StoreAnswer::Conflict;
        }
        self.stored = Stored { record, revision: revision + 1 };
        StoreAnswer::Swapped(revision + 1)
    }

    fn send(&mut self, packet: Packet, reliable: bool) {
        let Network { lost, doubled, late, late_ticks } = self.network;
        let copies = if !reliable && self.chance(doubled) { 2 } else { 1 };
        for _ in 0..copies {
            if !reliable && self.chance(lost) {
                continue;
            }
            let extra = if self.chance(late) { self.rng.bits() % late_ticks.max(1) } else { 0 };
            self.packets.push((self.tick + 1 + extra, packet.clone()));
        }
    }

    fn run_engine_orders(&mut self, host: usize) {
        let Some(mut process) = self.hosts[host].process.take() else { return };
        let count = self.rng.below(process.to_engine.len() + 1).max(process.to_engine.len() / 2);
        let orders: Vec<EngineOrder> = process.to_engine.drain(..count).collect();
        for order in orders {
            self.obey(host, &order);
            let (sequence, status) = (order.sequence, self.hosts[host].engine.status);
            process.agent_inbox.push(rank_agent::Event::Engine { sequence, status });
        }
        self.hosts[host].process = Some(process);
    }

    fn obey(&mut self, host: usize, order: &EngineOrder) {
        let check = self.rules.engines_check;
        let tick = self.tick;
        let engine = &mut self.hosts[host].engine;
        if check && !order.fence.passes(&engine.newest) {
            return;
        }
        engine.newest = order.fence;
        let status = &mut engine.status;
        match order.command {
            Command::Query => {}
            Command::Join { version, .. } => {
                let (life, incarnation) = (status.life, order.fence.incarnation);
                *status = EngineStatus { life, incarnation, version, ..EngineStatus::default() };
                engine.loading = None;
            }
            Command::Prepare(version) => {
                if status.prepared != Some(version)
                    && engine.loading.is_none_or(|(_, loading)| loading != version)
                {
                    engine.loading = Some((tick + LOAD_TICKS, version));
                }
            }
            Command::Arm(switch) => {
                if status.next_step <= switch.step && status.prepared == Some(switch.version) {
                    status.armed = Some(Armed { switch, released: false });
                }
            }
            Command::Release(_) => {
                if let Some(armed) = &mut status.armed {
                    armed.released = true;
                }
            }
            Command::Abort(_) => status.armed = None,
        }
    }

    fn run_engines(&mut self) {
        let before: Vec<EngineStatus> = self.hosts.iter().map(|h| h.engine.status).collect();
        for host in 0..self.hosts.len() {
            let tick = self.tick;
            let engine = &mut self.hosts[host].engine;
            if let Some((_, version)) = engine.loading.take_if(|(at, _)| *at <= tick) {
                engine.status.prepared = Some(version);
            }
            if engine.stalled_until <= tick && self.may_begin(host, &before) && !self.chance(1) {
                self.begin_step(host);
            }
        }
    }

    /// Lock-step: a rank begins a step only after all ranks of its incarnation ended the last.
    fn may_begin(&self, host: usize, before: &[EngineStatus]) -> bool {
        let own = before[host];
        let group = before.iter().filter(|status| status.incarnation == own.incarnation);
        own.incarnation > Incarnation(0)
            && group.clone().count() == self.rules.ranks
            && group.clone().all(|status| status.next_step >= own.next_step)
    }

    fn begin_step(&mut self, host: usize) {
        let status = &mut self.hosts[host].engine.status;
        if let Some(armed) = status.armed.filter(|armed| armed.switch.step <= status.next_step) {
            if armed.released {
                status.version = armed.switch.version;
                status.last_taken = armed.switch.number;
                status.armed = None;
                status.prepared = None;
            } else if self.rules.hold {
                return;
            }
        }
        let (step, version) = ((status.incarnation, status.next_step), status.version);
        status.next_step = Step(status.next_step.0 + 1);
        let used = *self.used.entry(step).or_insert(version);
        if used != version && self.violation.is_none() {
            let found = format!("host {host} takes {step:?} on {version:?}, another on {used:?}");
            self.violation = Some(found);
        }
    }
}
