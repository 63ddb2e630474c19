//! Engines that advance in lock-step, and the check that all of them use one map in each step.

use std::collections::BTreeMap;

use super::{LOAD_TICKS, World};
use bitternwall::expert_map::protocol;
use bitternwall::expert_map::rank_agent;

impl World {
    pub(super) fn run_engine_orders(&mut self, host: usize) {
        let Some(mut process) = self.hosts[host].process.take() else { return };
        let count =
            self.rng.below(process.engine_queue.len() + 1).max(process.engine_queue.len() / 2);
        let orders: Vec<protocol::EngineOrder> = process.engine_queue.drain(..count).collect();
        for order in orders {
            self.carry_out_order(host, &order);
            let (sequence, status) = (order.sequence, self.hosts[host].engine.status);
            process.agent_inbox.push(rank_agent::Event::Engine { sequence, status });
        }
        self.hosts[host].process = Some(process);
    }

    pub(super) fn carry_out_order(&mut self, host: usize, order: &protocol::EngineOrder) {
        let check = self.rules.engines_check;
        let tick = self.tick;
        let engine = &mut self.hosts[host].engine;
        if check && !order.fence.passes(&engine.status.newest_fence) {
            return;
        }
        let status = &mut engine.status;
        if check {
            status.newest_fence = order.fence;
        }
        match order.command {
            protocol::Command::Query => {}
            protocol::Command::Join { version, .. } => {
                let (process_incarnation, newest_fence) =
                    (status.process_incarnation, status.newest_fence);
                let group_incarnation = order.fence.group_incarnation;
                *status = protocol::EngineStatus {
                    process_incarnation,
                    group_incarnation,
                    version,
                    newest_fence,
                    ..protocol::EngineStatus::default()
                };
                engine.loading = None;
            }
            protocol::Command::Prepare(version) => {
                if status.prepared != Some(version)
                    && engine.loading.is_none_or(|(_, loading)| loading != version)
                {
                    engine.loading = Some((tick + LOAD_TICKS, version));
                }
            }
            protocol::Command::Arm(switch) => {
                if status.next_step <= switch.step && status.prepared == Some(switch.version) {
                    status.armed = Some(protocol::Armed { switch, released: false });
                }
            }
            protocol::Command::Release(_) => {
                if let Some(armed) = &mut status.armed {
                    armed.released = true;
                }
            }
            protocol::Command::Disarm(_) => status.armed = None,
        }
    }

    pub(super) fn run_engines(&mut self) {
        let ready = self.ready_steps();
        for host in 0..self.hosts.len() {
            let tick = self.tick;
            let engine = &mut self.hosts[host].engine;
            if let Some((_, version)) = engine.loading.take_if(|(at, _)| *at <= tick) {
                engine.status.prepared = Some(version);
            }
            let status = engine.status;
            let running = engine.stalled_until <= tick;
            let may_begin = ready.get(&status.group_incarnation) == Some(&status.next_step);
            if running && may_begin && !self.chance(1) {
                self.begin_step(host);
            }
        }
    }

    /// Returns the step that each complete group may begin next: in lock-step, a rank begins a step
    /// only after all ranks of its group incarnation have ended the previous one.
    pub(super) fn ready_steps(&self) -> BTreeMap<protocol::GroupIncarnation, protocol::Step> {
        let mut groups: BTreeMap<protocol::GroupIncarnation, (usize, protocol::Step)> =
            BTreeMap::new();
        for host in &self.hosts {
            let protocol::EngineStatus { group_incarnation, next_step, .. } = host.engine.status;
            let group = groups.entry(group_incarnation).or_insert((0, next_step));
            *group = (group.0 + 1, group.1.min(next_step));
        }
        let complete = |(group_incarnation, (count, _)): &(
            protocol::GroupIncarnation,
            (usize, protocol::Step),
        )| {
            *group_incarnation > protocol::GroupIncarnation(0) && *count == self.rules.ranks
        };
        groups.into_iter().filter(complete).map(|(group, (_, step))| (group, step)).collect()
    }

    pub(super) fn begin_step(&mut self, host: usize) {
        let status = &mut self.hosts[host].engine.status;
        if let Some(armed) = status.armed.filter(|armed| armed.switch.step <= status.next_step) {
            if armed.released {
                status.version = armed.switch.version;
                status.last_taken = armed.switch.number;
                status.armed = None;
                status.prepared = None;
            } else if self.rules.hold {
                self.ticks_held += 1;
                return;
            }
        }
        let (step, version) = ((status.group_incarnation, status.next_step), status.version);
        status.next_step = protocol::Step(status.next_step.0 + 1);
        let used = *self.used_versions.entry(step).or_insert(version);
        if used != version && self.violation.is_none() {
            let found = format!("host {host} takes {step:?} on {version:?}, another on {used:?}");
            self.violation = Some(found);
        }
    }
}
