//! The part of a rank's agent that passes orders from coordinators to the engine. It refuses
//! outdated orders, also on behalf of engines that do not check fences and would obey them.

use std::time::Duration;

use crate::expert_map::protocol;

/// Interval at which a starting agent queries its engine and the key-value service.
const START_RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// Maximum number of orders that wait for the engine. Further ones are dropped; the coordinator
/// repeats them.
const MAX_UNANSWERED: usize = 32;

/// Event is an input to the agent since its last tick.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Event {
    /// A coordinator's order arrived.
    Order(protocol::Order),
    /// The engine has carried out the orders up to one of them.
    Engine {
        /// The last order carried out; zero on a new connection, which voids all earlier orders.
        sequence: u64,
        /// The engine's status after that order.
        status: protocol::EngineStatus,
    },
    /// The key-value service answered.
    Store(protocol::StoreAnswer),
}

/// Effect is an action that the agent's actor has to carry out.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Effect {
    /// Read the group's record.
    ReadRecord,
    /// Pass an order to the engine.
    Engine(protocol::EngineOrder),
    /// Send a report to the coordinator that gave the order.
    Report(protocol::Report),
}

/// RankAgent is the agent of one rank.
#[derive(Clone, Debug)]
pub struct RankAgent {
    rank: usize,
    process_incarnation: protocol::ProcessIncarnation,
    safeguards: protocol::Safeguards,
    promised: protocol::Fence,
    number_known: bool,
    engine: Option<protocol::EngineStatus>,
    sequence: u64,
    reports_sent: u64,
    unanswered: Vec<(u64, protocol::Fence)>,
    next_start_attempt: Duration,
}

impl RankAgent {
    /// Returns an agent without any state of an earlier process; `process_incarnation` must differ
    /// from all earlier ones.
    pub fn new(
        rank: usize,
        process_incarnation: protocol::ProcessIncarnation,
        safeguards: protocol::Safeguards,
    ) -> Self {
        Self {
            rank,
            process_incarnation,
            safeguards,
            promised: protocol::Fence::default(),
            number_known: false,
            engine: None,
            sequence: 0,
            reports_sent: 0,
            unanswered: Vec::new(),
            next_start_attempt: Duration::ZERO,
        }
    }

    /// Returns the incarnation of the agent's process.
    pub fn process_incarnation(&self) -> protocol::ProcessIncarnation {
        self.process_incarnation
    }

    /// Handles the events since the last tick and appends the actions to carry out to `effects`.
    pub fn tick(&mut self, now: Duration, events: &[Event], effects: &mut Vec<Effect>) {
        for event in events {
            match event {
                Event::Order(order) => self.on_order(order, effects),
                Event::Engine { sequence, status } => {
                    self.on_engine_status(*sequence, *status, effects)
                }
                Event::Store(answer) => self.on_store_answer(*answer),
            }
        }
        if !self.is_ready() && now >= self.next_start_attempt {
            self.next_start_attempt = now + START_RETRY_INTERVAL;
            effects.push(Effect::ReadRecord);
            self.send_to_engine(self.promised, protocol::Command::Query, effects);
        }
    }

    fn is_ready(&self) -> bool {
        self.number_known && self.engine.is_some()
    }

    /// Takes the fencing number from the record before any order is accepted. If the key-value
    /// service is unavailable, the agent proceeds without it: the engine's group incarnation and
    /// the process incarnations in the orders protect the rank as well.
    fn on_store_answer(&mut self, answer: protocol::StoreAnswer) {
        match answer {
            protocol::StoreAnswer::Read(stored) => {
                let protocol::Record { group_incarnation, number, writer: coordinator, .. } =
                    stored.record;
                self.raise_promised(protocol::Fence { group_incarnation, number, coordinator });
                self.number_known = true;
            }
            protocol::StoreAnswer::Unavailable | protocol::StoreAnswer::Unknown => {
                self.number_known = true
            }
            protocol::StoreAnswer::Swapped(_) | protocol::StoreAnswer::Conflict => {}
        }
    }

    fn raise_promised(&mut self, fence: protocol::Fence) {
        let known = (self.promised.group_incarnation, self.promised.number);
        if (fence.group_incarnation, fence.number) > known {
            self.promised = fence;
        }
    }

    fn on_order(&mut self, order: &protocol::Order, effects: &mut Vec<Effect>) {
        let (true, Some(status)) = (self.number_known, self.engine) else { return };
        if self.unanswered.len() >= MAX_UNANSWERED {
            return;
        }
        if !self.accepts(order) {
            effects.push(self.report(order.fence, status));
            return;
        }
        self.promised = order.fence;
        let command =
            match fits_engine_state(&order.command, order.fence.group_incarnation, &status) {
                true => order.command,
                false => protocol::Command::Query,
            };
        self.send_to_engine(order.fence, command, effects);
        self.unanswered.push((self.sequence, order.fence));
    }

    fn accepts(&self, order: &protocol::Order) -> bool {
        let current = !self.safeguards.fencing || order.fence.passes(&self.promised);
        let addressed = !self.safeguards.incarnation_check || order.to == self.process_incarnation;
        current && (addressed || order.command == protocol::Command::Query)
    }

    fn send_to_engine(
        &mut self,
        fence: protocol::Fence,
        command: protocol::Command,
        effects: &mut Vec<Effect>,
    ) {
        self.sequence += 1;
        effects.push(Effect::Engine(protocol::EngineOrder {
            sequence: self.sequence,
            fence,
            command,
        }));
    }

    fn on_engine_status(
        &mut self,
        sequence: u64,
        status: protocol::EngineStatus,
        effects: &mut Vec<Effect>,
    ) {
        self.engine = Some(status);
        self.raise_promised(status.newest_fence);
        if sequence == 0 {
            self.unanswered.clear();
        }
        let (answered, pending) = self.unanswered.iter().partition(|(order, _)| *order <= sequence);
        self.unanswered = pending;
        let answered: Vec<(u64, protocol::Fence)> = answered;
        effects.extend(answered.into_iter().map(|(_, fence)| self.report(fence, status)));
    }

    fn report(&mut self, fence: protocol::Fence, status: protocol::EngineStatus) -> Effect {
        self.reports_sent += 1;
        let (rank, process_incarnation, promised, sequence) =
            (self.rank, self.process_incarnation, self.promised, self.reports_sent);
        Effect::Report(protocol::Report {
            rank,
            process_incarnation,
            fence,
            promised,
            sequence,
            status,
        })
    }
}

/// Returns true if a command fits the engine's state. An engine that does not check fences would
/// also obey commands that do not fit.
fn fits_engine_state(
    command: &protocol::Command,
    group_incarnation: protocol::GroupIncarnation,
    status: &protocol::EngineStatus,
) -> bool {
    let same_group = status.group_incarnation == group_incarnation;
    let held_switch = status.held_switch().map(|switch| switch.number);
    match command {
        protocol::Command::Query => true,
        protocol::Command::Join { engine, .. } => {
            *engine == status.process_incarnation && group_incarnation > status.group_incarnation
        }
        protocol::Command::Prepare(_) | protocol::Command::Arm(_) => {
            same_group && status.armed.is_none()
        }
        protocol::Command::Release(number) | protocol::Command::Disarm(number) => {
            same_group && held_switch == Some(*number)
        }
    }
}
