//! The part of a rank's agent that stands between coordinators and the engine: it refuses old
//! orders, also on behalf of engines that would obey them.

use std::time::Duration;

use crate::expert_map::protocol;

/// Time after which a starting agent asks its engine and the key-value service again.
const START_RETRY: Duration = Duration::from_millis(200);
/// Orders that may wait for the engine; a coordinator repeats those that the agent drops.
const MAX_UNANSWERED: usize = 32;

/// Event is what happened since the last tick.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Event {
    /// A coordinator's order arrived.
    Order(protocol::Order),
    /// The engine has carried out the orders up to one of them.
    Engine {
        /// The last order carried out; zero on a new connection, which voids all orders before.
        sequence: u64,
        /// How the engine stands after it.
        status: protocol::EngineStatus,
    },
    /// The key-value service answered.
    Store(protocol::StoreAnswer),
}

/// Effect is what the agent's actor does next.
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
    life: protocol::Life,
    safeguards: protocol::Safeguards,
    promised: protocol::Fence,
    number_known: bool,
    engine: Option<protocol::EngineStatus>,
    sequence: u64,
    reports: u64,
    unanswered: Vec<(u64, protocol::Fence)>,
    next_start_try: Duration,
}

impl RankAgent {
    /// Starts without memory; `life` must differ from that of every earlier run.
    pub fn new(rank: usize, life: protocol::Life, safeguards: protocol::Safeguards) -> Self {
        Self {
            rank,
            life,
            safeguards,
            promised: protocol::Fence::default(),
            number_known: false,
            engine: None,
            sequence: 0,
            reports: 0,
            unanswered: Vec::new(),
            next_start_try: Duration::ZERO,
        }
    }

    /// Returns the run of the agent.
    pub fn life(&self) -> protocol::Life {
        self.life
    }

    /// Takes in what happened and says what to do.
    pub fn tick(&mut self, now: Duration, events: &[Event], effects: &mut Vec<Effect>) {
        for event in events {
            match event {
                Event::Order(order) => self.receive(order, effects),
                Event::Engine { sequence, status } => self.hear(*sequence, *status, effects),
                Event::Store(answer) => self.read(*answer),
            }
        }
        if !self.is_ready() && now >= self.next_start_try {
            self.next_start_try = now + START_RETRY;
            effects.push(Effect::ReadRecord);
            self.pass(self.promised, protocol::Command::Query, effects);
        }
    }

    fn is_ready(&self) -> bool {
        self.number_known && self.engine.is_some()
    }

    /// Learns the number before any order passes. Where the service is down, the engine's own
    /// incarnation and the lives in the orders protect the rank as well, so the agent goes on.
    fn read(&mut self, answer: protocol::StoreAnswer) {
        match answer {
            protocol::StoreAnswer::Read(stored) => {
                let protocol::Record { incarnation, number, writer: coordinator, .. } =
                    stored.record;
                self.learn(protocol::Fence { incarnation, number, coordinator });
                self.number_known = true;
            }
            protocol::StoreAnswer::Unavailable | protocol::StoreAnswer::Unknown => {
                self.number_known = true
            }
            protocol::StoreAnswer::Swapped(_) | protocol::StoreAnswer::Conflict => {}
        }
    }

    fn learn(&mut self, fence: protocol::Fence) {
        let known = (self.promised.incarnation, self.promised.number);
        if (fence.incarnation, fence.number) > known {
            self.promised = fence;
        }
    }

    fn receive(&mut self, order: &protocol::Order, effects: &mut Vec<Effect>) {
        let (true, Some(status)) = (self.number_known, self.engine) else { return };
        if self.unanswered.len() >= MAX_UNANSWERED {
            return;
        }
        if !self.admits(order) {
            effects.push(self.report(order.fence, status));
            return;
        }
        self.promised = order.fence;
        let command = match passes_engine(&order.command, order.fence.incarnation, &status) {
            true => order.command,
            false => protocol::Command::Query,
        };
        self.pass(order.fence, command, effects);
        self.unanswered.push((self.sequence, order.fence));
    }

    fn admits(&self, order: &protocol::Order) -> bool {
        let fenced = !self.safeguards.fencing || order.fence.passes(&self.promised);
        let meant = !self.safeguards.lives || order.to == self.life;
        fenced && (meant || order.command == protocol::Command::Query)
    }

    fn pass(
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

    fn hear(&mut self, sequence: u64, status: protocol::EngineStatus, effects: &mut Vec<Effect>) {
        self.engine = Some(status);
        self.learn(status.newest);
        if sequence == 0 {
            self.unanswered.clear();
        }
        let (answered, left) = self.unanswered.iter().partition(|(order, _)| *order <= sequence);
        self.unanswered = left;
        let answered: Vec<(u64, protocol::Fence)> = answered;
        effects.extend(answered.into_iter().map(|(_, fence)| self.report(fence, status)));
    }

    fn report(&mut self, fence: protocol::Fence, status: protocol::EngineStatus) -> Effect {
        self.reports += 1;
        let (rank, life, promised, sequence) = (self.rank, self.life, self.promised, self.reports);
        Effect::Report(protocol::Report { rank, life, fence, promised, sequence, status })
    }
}

/// Tells whether a command fits the engine's state. An engine that ignores fences would obey
/// others as well.
fn passes_engine(
    command: &protocol::Command,
    incarnation: protocol::Incarnation,
    status: &protocol::EngineStatus,
) -> bool {
    let same = status.incarnation == incarnation;
    let holds_for = status.holds_for().map(|switch| switch.number);
    match command {
        protocol::Command::Query => true,
        protocol::Command::Join { engine, .. } => {
            *engine == status.life && incarnation > status.incarnation
        }
        protocol::Command::Prepare(_) | protocol::Command::Arm(_) => same && status.armed.is_none(),
        protocol::Command::Release(number) | protocol::Command::Abort(number) => {
            same && holds_for == Some(*number)
        }
    }
}
