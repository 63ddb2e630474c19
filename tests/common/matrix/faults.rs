//! When and how each fault begins and ends.

use bitternwall::agent::events::{DrainCause, Event};

use super::links::Pair;
use super::rows::{Fault, Step};
use super::simulation::{Simulation, Trace};
use super::{FAULT_DURATION_MS, target};

/// Milliseconds after which a crashed target is restarted.
const RESTART_MS: u64 = 200;

/// ScheduledFault is one fault with its begin and end, in milliseconds of simulated time.
#[derive(Clone, Copy, Debug)]
pub struct ScheduledFault {
    pub fault: Fault,
    pub from: u64,
    pub to: u64,
}

/// FaultSchedule holds the faults of a row and the restarts that follow from them.
#[derive(Debug)]
pub struct FaultSchedule {
    scheduled: Vec<ScheduledFault>,
    /// When each crashed target is restarted, and its index.
    restarts: Vec<(u64, usize)>,
    /// The agent that the faults hit: the one that the request is sent to.
    pub victim: usize,
}

impl FaultSchedule {
    /// Schedules each fault for the time at which a run without faults reaches its step.
    pub fn new(faults: &[(Fault, Step)], baseline: &Trace) -> Self {
        let schedule = |(fault, step): &(Fault, Step)| {
            let from = baseline.reached[step];
            ScheduledFault { fault: *fault, from, to: from + FAULT_DURATION_MS }
        };
        let scheduled = faults.iter().map(schedule).collect();
        Self { scheduled, restarts: Vec::new(), victim: baseline.victim }
    }

    /// Returns when the last fault ends.
    pub fn ends_at(&self) -> u64 {
        self.scheduled.iter().map(|scheduled| scheduled.to).max().unwrap_or_default()
    }

    /// Returns true while a fault of this kind is active.
    pub fn is_active(&self, fault: Fault, now: u64) -> bool {
        self.scheduled.iter().any(|scheduled| {
            scheduled.fault == fault && scheduled.from <= now && now < scheduled.to
        })
    }

    /// Schedules the restart of a crashed target.
    pub fn schedule_restart(&mut self, now: u64, target: usize) {
        self.restarts.push((now + RESTART_MS, target));
    }
}

/// Begins and ends the faults that are due, and restarts crashed targets.
pub fn tick(sim: &mut Simulation) {
    let now = sim.now;
    let due: Vec<_> = sim.faults.restarts.extract_if(.., |(at, _)| *at <= now).collect();
    for (_, target) in due {
        sim.restart_target(target);
    }
    for scheduled in sim.faults.scheduled.clone() {
        if scheduled.from == now {
            begin(sim, scheduled.fault);
        } else if scheduled.to == now {
            end(sim, scheduled.fault);
        }
    }
}

fn begin(sim: &mut Simulation, fault: Fault) {
    let (now, victim) = (sim.now, sim.faults.victim);
    let pair = Pair { entry: 0, agent: victim };
    match fault {
        Fault::KillTarget => sim.kill_target(victim),
        Fault::KillAgent => {
            sim.kill_agent(victim);
            sim.break_links(|other| other.agent == victim);
        }
        Fault::KillEntry => sim.kill_entry(0),
        Fault::PauseAgent => sim.paused_until[victim] = now + FAULT_DURATION_MS,
        Fault::CutLink => {
            sim.links.conditions[victim].unreachable_from[0] = true;
            sim.break_links(|other| other == pair);
        }
        Fault::BlackHole => sim.links.drop_frames(pair),
        Fault::HostGone => {
            sim.kill_target(victim);
            sim.kill_agent(victim);
            sim.links.remove_host(now, victim);
        }
        Fault::Drain => drain(sim, true),
        _ => set(sim, fault, true),
    }
}

fn end(sim: &mut Simulation, fault: Fault) {
    let victim = sim.faults.victim;
    match fault {
        Fault::KillTarget => sim.restart_target(victim),
        Fault::KillAgent => sim.restart_agent(victim),
        Fault::KillEntry => sim.restart_entry(0),
        Fault::CutLink => sim.links.conditions[victim].unreachable_from[0] = false,
        Fault::HostGone => {
            sim.restart_target(victim);
            sim.restart_agent(victim);
        }
        Fault::Drain => drain(sim, false),
        Fault::PauseAgent | Fault::BlackHole | Fault::CrashingBody => {}
        _ => set(sim, fault, false),
    }
}

fn set(sim: &mut Simulation, fault: Fault, on: bool) {
    let conditions = &mut sim.links.conditions[sim.faults.victim];
    match fault {
        Fault::Delay => conditions.delay = on,
        Fault::Duplicate => conditions.duplicate = on,
        Fault::Reorder => conditions.reorder = on,
        Fault::StoreDown => sim.store.down = on,
        Fault::StoreSlow => sim.store.slow = on,
        Fault::LostAnswer => sim.store.loses_answers = on,
        _ => {}
    }
}

fn drain(sim: &mut Simulation, on: bool) {
    let (now, notify) = (sim.now, sim.mechanisms.notify_drain);
    let Some(agent) = &mut sim.agents[sim.faults.victim] else { return };
    agent.draining_since = on.then_some(now);
    if notify {
        agent.events.push(Event::Drain { cause: DrainCause::HostList, on });
    }
}

/// Kills the targets that run the crashing body, while that fault is active.
pub fn crash(sim: &mut Simulation, number: u64) {
    if !sim.faults.is_active(Fault::CrashingBody, sim.now) {
        return;
    }
    let killed = |target: &target::Target| target.is_killed_by(number, sim.now);
    let crashing: Vec<_> = (0..sim.targets.len()).filter(|i| killed(&sim.targets[*i])).collect();
    for index in crashing {
        sim.kill_target(index);
        sim.ledger.crashes += 1;
        sim.faults.schedule_restart(sim.now, index);
    }
}
