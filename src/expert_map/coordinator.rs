//! The coordinator of a group: the part of rank 0's agent that switches the map on all ranks, or
//! leaves the old one in use everywhere. docs/EXPERT_MAPS.md gives the proof.

mod record;

use std::time::Duration;

use crate::expert_map::protocol;

/// Time after which unanswered orders and calls are sent again.
const RETRY: Duration = Duration::from_millis(200);
/// Time between two looks at the ranks while nothing changes.
const IDLE_QUERY: Duration = Duration::from_secs(1);
/// Time that all ranks have to accept a switch.
const ARM_TIMEOUT: Duration = Duration::from_secs(5);
/// Largest number of steps that a switch is armed ahead.
const MAX_LEAD_STEPS: u64 = 4096;

/// Options is how a coordinator does its work.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Ranks of the group.
    pub ranks: usize,
    /// The generation of the group's resource at which its ranks last changed; a later one forms
    /// the group anew, so a change of other fields must not raise it.
    pub generation: u64,
    /// The run of the coordinator; it must differ from that of every earlier run.
    pub life: protocol::Life,
    /// Steps that a switch is armed ahead at first; doubled each time that a rank was too far.
    pub lead_steps: u64,
    /// Time that all ranks have to load the weights of a map.
    pub prepare_timeout: Duration,
    /// The mechanisms in force.
    pub safeguards: protocol::Safeguards,
}

/// Event is what happened since the last tick.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Event {
    /// The planner wants to switch to a new map.
    Want,
    /// A rank's agent answered.
    Report(protocol::Report),
    /// The key-value service answered the one call in progress.
    Store(protocol::StoreAnswer),
}

/// Effect is what the coordinator's actor does next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Effect {
    /// Send an order to the agent of a rank.
    Send {
        /// The rank.
        rank: usize,
        /// The order.
        order: protocol::Order,
    },
    /// Read the group's record.
    ReadRecord,
    /// Replace the record if it still has the revision.
    SwapRecord {
        /// The revision to compare.
        revision: u64,
        /// The new record.
        record: protocol::Record,
    },
    /// The wanted map has this version from now on, and orders name it so.
    Named(protocol::Version),
    /// Every rank takes, or took, the new map.
    Switched(protocol::Version),
    /// The old map stays in use; the map of this version may be wanted again under another.
    Abandoned(protocol::Version),
}

/// Phase is what a coordinator waits for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Phase {
    /// Every rank's answer to a query under the present fence.
    Surveying,
    /// A decided switch to end on every rank: released or aborted.
    Settling {
        /// The switch's number.
        number: protocol::Number,
        /// True to release it.
        forward: bool,
    },
    /// A wanted map, or a change among the ranks.
    Idle,
    /// The record to name the next incarnation.
    Forming,
    /// Every rank to join the incarnation on a map.
    Joining(protocol::Version),
    /// Every rank to load the new map's weights.
    Preparing,
    /// Every rank to accept the switch.
    Arming(protocol::Switch),
    /// Another generation of the group has taken over.
    Deposed,
}

/// RankView is what the coordinator knows of one rank.
#[derive(Clone, Copy, Debug, Default)]
struct RankView {
    agent: protocol::Life,
    sequence: u64,
    status: Option<protocol::EngineStatus>,
    joined: Option<protocol::Life>,
}

/// Coordinator switches the maps of one group.
#[derive(Clone, Debug)]
pub struct Coordinator {
    options: Options,
    fence: protocol::Fence,
    phase: Phase,
    phase_since: Duration,
    ranks: Vec<RankView>,
    stored: Option<protocol::Stored>,
    proposed: Option<record::Proposal>,
    store_busy: bool,
    wanted: bool,
    lead_steps: u64,
    next_send: Duration,
    next_call: Duration,
}

impl Coordinator {
    /// Starts without memory.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            fence: protocol::Fence { coordinator: options.life, ..protocol::Fence::default() },
            phase: Phase::Surveying,
            phase_since: Duration::ZERO,
            ranks: vec![RankView::default(); options.ranks],
            stored: None,
            proposed: None,
            store_busy: false,
            wanted: false,
            lead_steps: options.lead_steps,
            next_send: Duration::ZERO,
            next_call: Duration::ZERO,
        }
    }

    /// Returns what the coordinator waits for.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Takes in what happened and says what to do.
    pub fn tick(&mut self, now: Duration, events: &[Event], effects: &mut Vec<Effect>) {
        for event in events {
            match event {
                Event::Want => self.wanted = true,
                Event::Report(report) => self.hear(now, report, effects),
                Event::Store(answer) => self.settle_call(now, answer, effects),
            }
        }
        self.follow_record(now, effects);
        if self.phase == Phase::Deposed {
            return;
        }
        self.advance(now, effects);
        self.call_store(now, effects);
        if now >= self.next_send {
            self.next_send = now + if self.phase == Phase::Idle { IDLE_QUERY } else { RETRY };
            self.send_orders(effects);
        }
    }

    fn enter(&mut self, now: Duration, phase: Phase) {
        self.phase = phase;
        self.phase_since = now;
        self.next_send = now;
    }

    /// Asks all ranks under a higher number, so that no older order passes from their answers on.
    fn survey(&mut self, now: Duration, above: protocol::Number) {
        let highest = self.fence.number.max(above).max(self.record().number);
        self.fence.number = highest.next();
        self.forget_statuses();
        self.enter(now, Phase::Surveying);
    }

    fn forget_statuses(&mut self) {
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

    fn hear(&mut self, now: Duration, report: &protocol::Report, effects: &mut Vec<Effect>) {
        let mine = report.fence.coordinator == self.options.life;
        if !mine || self.phase == Phase::Deposed {
            return;
        }
        let Some(rank) = self.ranks.get_mut(report.rank) else { return };
        let outdated = rank.agent == report.life && report.sequence < rank.sequence;
        if outdated {
            return;
        }
        rank.agent = report.life;
        rank.sequence = report.sequence;
        if report.fence != self.fence {
            return;
        }
        let own = report.rank == 0 && report.status.incarnation > self.fence.incarnation;
        if own {
            self.adopt(now, report.status.incarnation, effects);
        } else if report.promised.incarnation > self.fence.incarnation {
            self.read_again();
        } else if !self.fence.passes(&report.promised) {
            self.abandon(effects);
            self.survey(now, report.promised.number);
        } else if self.fence == report.promised {
            rank.status = Some(report.status);
        }
    }

    /// Asks the record about a later incarnation. This is its coordinator only where its own
    /// engine belongs to it, or where the record says so.
    fn read_again(&mut self) {
        let newest = self.fence.incarnation;
        self.stored = self.stored.filter(|stored| stored.record.incarnation > newest);
    }

    fn adopt(
        &mut self,
        now: Duration,
        incarnation: protocol::Incarnation,
        effects: &mut Vec<Effect>,
    ) {
        self.abandon(effects);
        self.fence.incarnation = incarnation;
        self.survey(now, self.fence.number);
    }

    fn abandon(&mut self, effects: &mut Vec<Effect>) {
        if let Phase::Preparing | Phase::Arming(_) = self.phase {
            effects.push(Effect::Abandoned(protocol::Version(self.fence.number.0)));
        }
    }

    fn advance(&mut self, now: Duration, effects: &mut Vec<Effect>) {
        let is_stray =
            |status: &protocol::EngineStatus| status.incarnation != self.fence.incarnation;
        let settled = matches!(self.phase, Phase::Surveying | Phase::Forming | Phase::Joining(_));
        if !settled && self.statuses().any(is_stray) {
            self.abandon(effects);
            self.survey(now, self.fence.number);
        }
        match self.phase {
            Phase::Surveying => self.decide(now),
            Phase::Settling { number, forward } => self.finish(now, number, forward, effects),
            Phase::Idle if self.statuses().any(|status| status.holds_for().is_some()) => {
                self.survey(now, self.fence.number);
            }
            Phase::Joining(_) => self.join(now),
            Phase::Preparing => self.prepare(now, effects),
            Phase::Arming(switch) => self.arm(now, switch, effects),
            Phase::Idle | Phase::Forming | Phase::Deposed => {}
        }
    }

    /// Decides once all ranks have answered: the answers promise that nothing older passes, so
    /// what they say stays true.
    fn decide(&mut self, now: Duration) {
        if !self.all(|_| true) {
            return;
        }
        if !self.all(|status| status.incarnation == self.fence.incarnation)
            || self.fence.incarnation == protocol::Incarnation::default()
        {
            self.enter(now, Phase::Forming);
            return;
        }
        let held =
            self.statuses().filter_map(protocol::EngineStatus::holds_for).map(|s| s.number).max();
        match held {
            None => self.enter(now, Phase::Idle),
            Some(number) => {
                let released = self.statuses().any(|status| status.is_released(number));
                let forward = released && self.options.safeguards.forward;
                self.enter(now, Phase::Settling { number, forward });
            }
        }
    }

    fn finish(
        &mut self,
        now: Duration,
        number: protocol::Number,
        forward: bool,
        effects: &mut Vec<Effect>,
    ) {
        if !self.all(|status| status.holds_for().is_none()) {
            return;
        }
        if forward {
            effects.push(Effect::Switched(protocol::Version(number.0)));
        }
        self.enter(now, Phase::Idle);
    }

    fn join(&mut self, now: Duration) {
        let incarnation = self.fence.incarnation;
        let is_lost = |rank: &RankView| match (rank.status, rank.joined) {
            (Some(status), Some(engine)) => status.life != engine,
            _ => false,
        };
        if self.ranks.iter().any(is_lost) {
            self.enter(now, Phase::Forming);
        } else if self.all(|status| status.incarnation == incarnation) {
            self.enter(now, Phase::Idle);
        }
    }

    fn prepare(&mut self, now: Duration, effects: &mut Vec<Effect>) {
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

    fn arm(&mut self, now: Duration, switch: protocol::Switch, effects: &mut Vec<Effect>) {
        let is_armed = |status: &protocol::EngineStatus| status.holds_for() == Some(switch);
        let any_armed = !self.options.safeguards.all_armed && self.statuses().any(is_armed);
        if any_armed || self.all(is_armed) {
            self.lead_steps = self.options.lead_steps;
            let number = switch.number;
            self.enter(now, Phase::Settling { number, forward: true });
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
                self.ranks[index].joined.get_or_insert(engine);
            }
            let order = protocol::Order { fence: self.fence, to: self.ranks[index].agent, command };
            effects.push(Effect::Send { rank: index, order });
        }
    }

    /// Returns what a rank has to do next; a query where it has done its part.
    fn command(&self, index: usize) -> protocol::Command {
        let rank = &self.ranks[index];
        let held = rank.status.as_ref().and_then(protocol::EngineStatus::holds_for);
        match (self.phase, rank.status) {
            (Phase::Settling { number, forward }, _) if held.is_some() => match forward {
                true => protocol::Command::Release(number),
                false => protocol::Command::Abort(held.map_or(number, |switch| switch.number)),
            },
            (Phase::Joining(version), Some(status))
                if status.incarnation < self.fence.incarnation =>
            {
                protocol::Command::Join { engine: status.life, version }
            }
            (Phase::Preparing, _) => {
                protocol::Command::Prepare(protocol::Version(self.fence.number.0))
            }
            (Phase::Arming(switch), _) if held.is_none() => protocol::Command::Arm(switch),
            _ => protocol::Command::Query,
        }
    }
}
