//! The faults of a simulation and how they are injected.

use bitternwall::expert_map::coordinator;
use bitternwall::expert_map::protocol;
use bitternwall::expert_map::rank_agent;

use super::{Engine, RESTART_TICKS, World};

/// Fault rates of the network, in percent of the messages; `late_ticks` limits the extra delay.
#[derive(Clone, Copy, Debug, Default)]
pub struct Network {
    pub lost: u64,
    pub duplicated: u64,
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
    /// The group's resource names another target as rank 0; the former one pauses and resumes
    /// later.
    ReplaceRankZero,
    RequestSwitch,
}

impl World {
    pub fn inject(&mut self, fault: Fault) {
        match fault {
            Fault::KillAgent(host) => self.kill_agent(host),
            Fault::PauseAgent(host, ticks) => self.hosts[host].paused_until = self.tick + ticks,
            Fault::KillEngine(host) => {
                let process_incarnation = self.new_process_incarnation();
                let status = protocol::EngineStatus {
                    process_incarnation,
                    ..protocol::EngineStatus::default()
                };
                self.hosts[host].engine = Engine { status, ..Engine::default() };
                if let Some(process) = &mut self.hosts[host].process {
                    process.engine_queue.clear();
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
                let spare_host = self.spare_host();
                self.start(spare_host);
            }
            Fault::ReplaceRankZero => {}
            Fault::RequestSwitch => {
                let processes = self.hosts.iter_mut().filter_map(|host| host.process.as_mut());
                processes
                    .for_each(|p| p.coordinator_inbox.push(coordinator::Event::SwitchRequested));
            }
        }
    }

    /// Terminates an agent. Its queued orders reach the engine before the next connection opens, or
    /// never.
    fn kill_agent(&mut self, host: usize) {
        let Some(process) = self.hosts[host].process.take() else { return };
        let arrived = self.rng.below(process.engine_queue.len() + 1);
        for order in &process.engine_queue[..arrived] {
            self.carry_out_order(host, order);
        }
        self.hosts[host].paused_until = 0;
        self.hosts[host].restart_at = self.tick + RESTART_TICKS;
    }

    /// Ends all faults except those of the key-value service.
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
}
