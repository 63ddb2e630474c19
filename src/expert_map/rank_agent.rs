//! The part of a rank's agent that stands between coordinators and the engine: it refuses old
//! orders, also on behalf of engines that would obey them.

use std::time::Duration;

use crate::expert_map::protocol::{
    Command, EngineOrder, EngineStatus, Fence, Incarnation, Life, Order, Report, Safeguards,
    StoreAnswer,
};

/// Time after which a starting agent asks its engine and the key-value service again.
const START_RETRY: Duration = Duration::from_millis(200);

/// Event is what happened since the last tick.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Event {
    /// A coordinator's order arrived.
    Order(Order),
    /// The engine has carried out the orders up to one of them.
    Engine {
        /// The last order carried out.
        sequence: u64,
        /// How the engine stands after it.
        status: EngineStatus,
    },
    /// The key-value service answered.
    Store(StoreAnswer),
}

/// Effect is what the agent's actor does next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Effect {
    /// Read the group's record.
    ReadRecord,
    /// Pass an order to the engine.
    Engine(EngineOrder),
    /// Send a report to the coordinator that gave the order.
    Report(Report),
}

/// RankAgent is the agent of one rank.
#[derive(Clone, Debug)]
pub struct RankAgent {
    rank: usize,
    life: Life,
    safeguards: Safeguards,
    promised: Fence,
    number_known: bool,
    engine: Option<EngineStatus>,
    sequence: u64,
    reports: u64,
    unanswered: Vec<(u64, Fence)>,
    next_start_try: Duration,
}

impl RankAgent {
    /// Starts without memory; `life` must differ from that of every earlier run.
    pub fn new(rank: usize, life: Life, safeguards: Safeguards) -> Self {
        Self {
            rank,
            life,
            safeguards,
            promised: Fence::default(),
            number_known: false,
            engine: None,
            sequence: 0,
            reports: 0,
            unanswered: Vec::new(),
            next_start_try: Duration::ZERO,
        }
    }

    /// Returns the run of the agent.
    pub fn life(&self) -> Life {
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
            self.pass(self.promised, Command::Query, effects);
        }
    }

    fn is_ready(&self) -> bool {
        self.number_known && self.engine.is_some()
    }

    /// Learns the number before any order passes. Where the service is down, the engine's own
    /// incarnation and the lives in the orders protect the rank as well, so the agent goes on.
    fn read(&mut self, answer: StoreAnswer) {
        match answer {
            StoreAnswer::Read(stored) => {
                let record = stored.record;
                let floor = (record.incarnation, record.number);
                if floor > (self.promised.incarnation, self.promised.number) {
                    let coordinator = record.writer;
                    self.promised = Fence { incarnation: floor.0, number: floor.1, coordinator };
                }
                self.number_known = true;
            }
            StoreAnswer::Unavailable | StoreAnswer::Unknown => self.number_known = true,
            StoreAnswer::Swapped(_) | StoreAnswer::Conflict => {}
        }
    }

    fn receive(&mut self, order: &Order, effects: &mut Vec<Effect>) {
        let (true, Some(status)) = (self.number_known, self.engine) else { return };
        if !self.admits(order) {
            effects.push(self.report(order.fence, status));
            return;
        }
        self.promised = order.fence;
        let command = match passes_engine(&order.command, order.fence.incarnation, &status) {
            true => order.command,
            false => Command::Query,
        };
        self.pass(order.fence, command, effects);
        self.unanswered.push((self.sequence, order.fence));
    }

    fn admits(&self, order: &Order) -> bool {
        let fenced = !self.safeguards.fencing || order.fence.passes(&self.promised);
        let meant = !self.safeguards.lives || order.to == self.life;
        fenced && (meant || order.command == Command::Query)
    }

    fn pass(&mut self, fence: Fence, command: Command, effects: &mut Vec<Effect>) {
        self.sequence += 1;
        effects.push(Effect::Engine(EngineOrder { sequence: self.sequence, fence, command }));
    }

    fn hear(&mut self, sequence: u64, status: EngineStatus, effects: &mut Vec<Effect>) {
        self.engine = Some(status);
        let (answered, left) = self.unanswered.iter().partition(|(order, _)| *order <= sequence);
        self.unanswered = left;
        let answered: Vec<(u64, Fence)> = answered;
        effects.extend(answered.into_iter().map(|(_, fence)| self.report(fence, status)));
    }

    fn report(&mut self, fence: Fence, status: EngineStatus) -> Effect {
        self.reports += 1;
        let (rank, life, promised, sequence) = (self.rank, self.life, self.promised, self.reports);
        Effect::Report(Report { rank, life, fence, promised, sequence, status })
    }
}

/// Tells whether a command fits the engine's state. An engine that ignores fences would obey
/// others as well.
fn passes_engine(command: &Command, incarnation: Incarnation, status: &EngineStatus) -> bool {
    let same = status.incarnation == incarnation;
    let holds_for = status.holds_for().map(|switch| switch.number);
    match command {
        Command::Query => true,
        Command::Join { engine, .. } => *engine == status.life && incarnation > status.incarnation,
        Command::Prepare(_) | Command::Arm(_) => same && status.armed.is_none(),
        Command::Release(number) | Command::Abort(number) => same && holds_for == Some(*number),
    }
}
