//! The coordinator of a group: the part of rank 0's agent that switches the map on all ranks, or
//! on none of them. docs/EXPERT_MAPS.md gives the proof.

mod record;

use std::time::Duration;

use crate::expert_map::protocol;

/// Interval at which unanswered orders and calls are sent again.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// Interval between two queries to the ranks while the coordinator is idle.
const IDLE_QUERY_INTERVAL: Duration = Duration::from_secs(1);
/// Time within which all ranks must accept a switch.
const ARM_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum number of steps by which a switch is armed ahead.
const MAX_LEAD_STEPS: u64 = 4096;

/// Options configures a coordinator.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Number of ranks in the group.
    pub ranks: usize,
    /// The generation of the group's resource at which its ranks last changed. A later generation
    /// forms the group again, so changes of other fields must not raise it.
    pub generation: u64,
    /// The incarnation of the coordinator's process; it must differ from all earlier ones.
    pub process_incarnation: protocol::ProcessIncarnation,
    /// Number of steps by which a switch is first armed ahead; doubled each time that a rank has
    /// passed the step or that arming times out.
    pub lead_steps: u64,
    /// Time within which all ranks must load the weights of a map.
    pub prepare_timeout: Duration,
    /// The safety mechanisms that are enabled.
    pub safeguards: protocol::Safeguards,
}

/// Event is an input to the coordinator since its last tick.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Event {
    /// The planner requests a switch to a new map.
    SwitchRequested,
    /// A rank's agent answered.
    Report(protocol::Report),
    /// The key-value service answered the pending call.
    Store(protocol::StoreAnswer),
}

/// Effect is an action that the coordinator's actor has to carry out.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Effect {
    /// Send an order to the agent of a rank.
    Send {
        /// Index of the rank in its group.
        rank: usize,
        /// The order to send.
        order: protocol::Order,
    },
    /// Read the group's record.
    ReadRecord,
    /// Replace the group's record if it still has the given revision.
    SwapRecord {
        /// The expected revision.
        revision: u64,
        /// The new record.
        record: protocol::Record,
    },
    /// The requested map has this version from now on; orders refer to it by the version.
    VersionAssigned(protocol::Version),
    /// Every rank uses the map of this version, or is released to use it.
    Switched(protocol::Version),
    /// The old map stays in use; if this map is requested again, it gets another version.
    Abandoned(protocol::Version),
}

/// Phase is the state of a coordinator.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Phase {
    /// Waits for every rank's answer to a query with the current fence.
    Surveying,
    /// Releases or disarms an unfinished switch on every rank.
    Settling {
        /// The switch's fencing number.
        number: protocol::FencingNumber,
        /// True to release the switch, false to disarm it.
        roll_forward: bool,
    },
    /// Waits for a request to switch, or for a change among the ranks.
    Idle,
    /// Waits for the record to name the next group incarnation.
    Forming,
    /// Waits for every rank to join the group incarnation with the map of this version.
    Joining(protocol::Version),
    /// Waits for every rank to load the new map's weights.
    Preparing,
    /// Waits for every rank to accept the switch.
    Arming(protocol::Switch),
    /// Does nothing any more, since a later generation of the group has another coordinator.
    Deposed,
}

/// RankView is the coordinator's knowledge of one rank.
#[derive(Clone, Copy, Debug, Default)]
struct RankView {
    agent: protocol::ProcessIncarnation,
    sequence: u64,
    status: Option<protocol::EngineStatus>,
    joined_engine: Option<protocol::ProcessIncarnation>,
}

/// Coordinator switches the map of one group.
#[derive(Clone, Debug)]
pub struct Coordinator {
    options: Options,
    fence: protocol::Fence,
    phase: Phase,
    phase_since: Duration,
    ranks: Vec<RankView>,
    stored: Option<protocol::Stored>,
    pending_swap: Option<record::PendingSwap>,
    store_call_pending: bool,
    switch_requested: bool,
    lead_steps: u64,
    next_send: Duration,
    next_store_call: Duration,
}

impl Coordinator {
    /// Returns a coordinator without any state of an earlier process.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            fence: protocol::Fence {
                coordinator: options.process_incarnation,
                ..protocol::Fence::default()
            },
            phase: Phase::Surveying,
            phase_since: Duration::ZERO,
            ranks: vec![RankView::default(); options.ranks],
            stored: None,
            pending_swap: None,
            store_call_pending: false,
            switch_requested: false,
            lead_steps: options.lead_steps,
            next_send: Duration::ZERO,
            next_store_call: Duration::ZERO,
        }
    }

    /// Returns the current phase.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Handles the events since the last tick and appends the actions to carry out to `effects`.
    pub fn tick(&mut self, now: Duration, events: &[Event], effects: &mut Vec<Effect>) {
        for event in events {
            match event {
                Event::SwitchRequested => self.switch_requested = true,
                Event::Report(report) => self.on_report(now, report, effects),
                Event::Store(answer) => self.on_store_answer(now, answer, effects),
            }
        }
        self.apply_record(now, effects);
        if self.phase == Phase::Deposed {
            return;
        }
        self.advance(now, effects);
        self.call_store(now, effects);
        if now >= self.next_send {
            self.next_send =
                now + if self.phase == Phase::Idle { IDLE_QUERY_INTERVAL } else { RETRY_INTERVAL };
            self.send_orders(effects);
        }
    }

    fn enter(&mut self, now: Duration, phase: Phase) {
        self.phase = phase;
        self.phase_since = now;
        self.next_send = now;
    }

    /// Queries all ranks with a higher fencing number; ranks that answer refuse all older orders.
    fn survey(&mut self, now: Duration, above: protocol::FencingNumber) {
        let highest = self.fence.number.max(above).max(self.record().number);
        self.fence.number = highest.next();
        self.clear_statuses();
        self.enter(now, Phase::Surveying);
    }

    fn clear_statuses(&mut self) {
        self.ranks.iter_mut().for_each(|rank| rank.status = None);
    }

    fn record(&self) -> protocol::Record {
        self.stored.map_or(protocol::Record::default(), |stored| stored.record)
    }

    fn statuses(&self) -> impl Iterator<Item = &protocol::EngineStatus> {
        self.ranks.iter().filter_map(|rank| rank.status.as_ref())
    }

    fn all(&self, test: impl Fn(&protocol::EngineStatus) -> bool) -> bool {
        self.ranks.iter().all(|rank| rank.status.as_ref().is_some_and(&test))
    }

    fn on_report(&mut self, now: Duration, report: &protocol::Report, effects: &mut Vec<Effect>) {
        let is_own = report.fence.coordinator == self.options.process_incarnation;
        if !is_own || self.phase == Phase::Deposed {
            return;
        }
        let Some(rank) = self.ranks.get_mut(report.rank) else { return };
        let outdated = rank.agent == report.process_incarnation && report.sequence < rank.sequence;
        if outdated {
            return;
        }
        rank.agent = report.process_incarnation;
        rank.sequence = report.sequence;
        if report.fence != self.fence {
            return;
        }
        let own_engine_ahead =
            report.rank == 0 && report.status.group_incarnation > self.fence.group_incarnation;
        if own_engine_ahead {
            self.adopt_group_incarnation(now, report.status.group_incarnation, effects);
        } else if report.promised.group_incarnation > self.fence.group_incarnation {
            self.invalidate_record();
        } else if !self.fence.passes(&report.promised) {
            self.abandon(effects);
            self.survey(now, report.promised.number);
        } else if self.fence == report.promised {
            rank.status = Some(report.status);
        }
    }

    /// Has the record read again unless it already shows a later group incarnation. This process
    /// coordinates a later incarnation only if its own engine belongs to it or the record names it.
    fn invalidate_record(&mut self) {
        let newest = self.fence.group_incarnation;
        self.stored = self.stored.filter(|stored| stored.record.group_incarnation > newest);
    }

    fn adopt_group_incarnation(
        &mut self,
        now: Duration,
        group_incarnation: protocol::GroupIncarnation,
        effects: &mut Vec<Effect>,
    ) {
        self.abandon(effects);
        self.fence.group_incarnation = group_incarnation;
        self.survey(now, self.fence.number);
    }

    fn abandon(&mut self, effects: &mut Vec<Effect>) {
        if let Phase::Preparing | Phase::Arming(_) = self.phase {
            effects.push(Effect::Abandoned(protocol::Version(self.fence.number.0)));
        }
    }

    fn advance(&mut self, now: Duration, effects: &mut Vec<Effect>) {
        let in_other_group = |status: &protocol::EngineStatus| {
            status.group_incarnation != self.fence.group_incarnation
        };
        let settled = matches!(self.phase, Phase::Surveying | Phase::Forming | Phase::Joining(_));
        if !settled && self.statuses().any(in_other_group) {
            self.abandon(effects);
            self.survey(now, self.fence.number);
        }
        match self.phase {
            Phase::Surveying => self.evaluate_survey(now),
            Phase::Settling { number, roll_forward } => {
                self.settle(now, number, roll_forward, effects)
            }
            Phase::Idle if self.statuses().any(|status| status.held_switch().is_some()) => {
                self.survey(now, self.fence.number);
            }
            Phase::Joining(_) => self.check_joined(now),
            Phase::Preparing => self.check_prepared(now, effects),
            Phase::Arming(switch) => self.check_armed(now, switch, effects),
            Phase::Idle | Phase::Forming | Phase::Deposed => {}
        }
    }

    /// Chooses the next phase once all ranks have answered. Ranks that have answered refuse older
    /// orders, so the reported statuses stay valid.
    fn evaluate_survey(&mut self, now: Duration) {
        if !self.all(|_| true) {
            return;
        }
        if !self.all(|status| status.group_incarnation == self.fence.group_incarnation)
            || self.fence.group_incarnation == protocol::GroupIncarnation::default()
        {
            self.enter(now, Phase::Forming);
            return;
        }
        let held =
            self.statuses().filter_map(protocol::EngineStatus::held_switch).map(|s| s.number).max();
        match held {
            None => self.enter(now, Phase::Idle),
            Some(number) => {
                let released = self.statuses().any(|status| status.is_released(number));
                let roll_forward = released && self.options.safeguards.roll_forward;
                self.enter(now, Phase::Settling { number, roll_forward });
            }
        }
    }

    fn settle(
        &mut self,
        now: Duration,
        number: protocol::FencingNumber,
        roll_forward: bool,
        effects: &mut Vec<Effect>,
    ) {
        if !self.all(|status| status.held_switch().is_none()) {
            return;
        }
        if roll_forward {
            effects.push(Effect::Switched(protocol::Version(number.0)));
        }
        self.enter(now, Phase::Idle);
    }

    fn check_joined(&mut self, now: Duration) {
        let group_incarnation = self.fence.group_incarnation;
        let is_lost = |rank: &RankView| match (rank.status, rank.joined_engine) {
            (Some(status), Some(engine)) => status.process_incarnation != engine,
            _ => false,
        };
        if self.ranks.iter().any(is_lost) {
            self.enter(now, Phase::Forming);
        } else if self.all(|status| status.group_incarnation == group_incarnation) {
            self.enter(now, Phase::Idle);
        }
    }

    fn check_prepared(&mut self, now: Duration, effects: &mut Vec<Effect>) {
        let version = protocol::Version(self.fence.number.0);
        if self.all(|status| status.prepared == Some(version)) {
            let furthest = self.statuses().map(|status| status.next_step).max();
            let step = protocol::Step(furthest.unwrap_or_default().0 + self.lead_steps);
            let switch = protocol::Switch { number: self.fence.number, version, step };
            self.enter(now, Phase::Arming(switch));
        } else if now > self.phase_since + self.options.prepare_timeout {
            self.abandon(effects);
            self.survey(now, self.fence.number);
        }
    }

    fn check_armed(&mut self, now: Duration, switch: protocol::Switch, effects: &mut Vec<Effect>) {
        let is_armed = |status: &protocol::EngineStatus| status.held_switch() == Some(switch);
        let any_armed = !self.options.safeguards.all_armed && self.statuses().any(is_armed);
        if any_armed || self.all(is_armed) {
            self.lead_steps = self.options.lead_steps;
            let number = switch.number;
            self.enter(now, Phase::Settling { number, roll_forward: true });
            return;
        }
        let passed = self.statuses().any(|status| status.next_step > switch.step);
        if passed || now > self.phase_since + ARM_TIMEOUT {
            self.lead_steps = (self.lead_steps * 2).min(MAX_LEAD_STEPS);
            self.abandon(effects);
            self.survey(now, self.fence.number);
        }
    }

    fn send_orders(&mut self, effects: &mut Vec<Effect>) {
        for index in 0..self.ranks.len() {
            let command = self.command(index);
            if let protocol::Command::Join { engine, .. } = command {
                self.ranks[index].joined_engine.get_or_insert(engine);
            }
            let order = protocol::Order { fence: self.fence, to: self.ranks[index].agent, command };
            effects.push(Effect::Send { rank: index, order });
        }
    }

    /// Returns the next command for a rank; a query if the rank has completed the current phase.
    fn command(&self, index: usize) -> protocol::Command {
        let rank = &self.ranks[index];
        let held = rank.status.as_ref().and_then(protocol::EngineStatus::held_switch);
        match (self.phase, rank.status) {
            (Phase::Settling { number, roll_forward }, _) if held.is_some() => match roll_forward {
                true => protocol::Command::Release(number),
                false => protocol::Command::Disarm(held.map_or(number, |switch| switch.number)),
            },
            (Phase::Joining(version), Some(status))
                if status.group_incarnation < self.fence.group_incarnation =>
            {
                protocol::Command::Join { engine: status.process_incarnation, version }
            }
            (Phase::Preparing, _) => {
                protocol::Command::Prepare(protocol::Version(self.fence.number.0))
            }
            (Phase::Arming(switch), _) if held.is_none() => protocol::Command::Arm(switch),
            _ => protocol::Command::Query,
        }
    }
}
