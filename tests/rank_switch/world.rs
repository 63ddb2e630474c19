//! A group of ranks in lock-step whose engines take orders as docs/EXPERT_MAPS.md says, and
//! coordinators that reach them over a network that loses and delays.

use std::sync::Arc;
use std::time::Duration;

use bitternwall::expert_map::map::{ExpertMap, Layer};
use bitternwall::ranks::report::{Order, OrderOutcome, RankReport, Switch};
use bitternwall::ranks::switch::{Given, Progress, RankView, Switcher};

pub const TICK: Duration = Duration::from_millis(10);
const TICKS_PER_STEP: u64 = 4;
const TICKS_PER_DECISION: u64 = 5;
const TICKS_PER_STATUS: u64 = 20;
const FORM_TICKS: u64 = 60;
const LOAD_TICKS: u64 = 40;

/// Guards can be switched off to show that the check finds what they prevent.
#[derive(Clone, Copy, Debug)]
pub struct Rules {
    pub ranks: usize,
    /// A rank that is armed takes an arm order for another step.
    pub rearms: bool,
    /// A rank forgets what it had prepared as soon as it loads something else.
    pub forgets_prepared: bool,
    /// The step is held before ranks are armed.
    pub hold: bool,
    /// Coordinators have numbers of their own in versions.
    pub own_numbers: bool,
}

#[derive(Clone, Copy, Debug, Default)]
pub struct Network {
    /// Orders in a hundred that never arrive.
    pub lost: u64,
    /// Orders in a hundred that are carried out, but not answered.
    pub unanswered: u64,
    /// Orders in a hundred that are carried out late and not answered.
    pub late: u64,
}

#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// The planner of a coordinator wants a map.
    Want(usize),
    /// A coordinator's process stands still; its clock does too.
    Pause(usize, u64),
    /// A coordinator starts again without memory.
    Restart(usize),
    /// A coordinator believes, or not, that it coordinates.
    Believe(usize, bool),
    /// A rank dies; the group forms anew.
    KillRank,
    /// No requests run, so no step begins.
    Idle(u64),
    Network(Network),
}

#[derive(Clone, Debug, Default)]
struct Engine {
    version: u64,
    content: u64,
    highest: u64,
    prepared: Option<(u64, u64)>,
    loading: Option<(u64, u64, u64)>,
    armed: Option<Switch>,
    /// The map that the rank was armed with; a later one may be loaded meanwhile.
    armed_content: u64,
    held: Option<u64>,
}

struct Coordinator {
    switcher: Switcher,
    views: Vec<RankView>,
    clock: Duration,
    paused_until: u64,
    believes: bool,
    life: u64,
    progress: Progress,
}

struct Flying {
    at: u64,
    given: Given,
    answer_to: Option<(usize, u64)>,
}

pub struct World {
    rules: Rules,
    network: Network,
    random: u64,
    pub tick: u64,
    pub step: u64,
    epoch: u64,
    opens_at: u64,
    idle_until: u64,
    engines: Vec<Engine>,
    coordinators: Vec<Coordinator>,
    flying: Vec<Flying>,
    maps: u64,
    /// Switches that all ranks made.
    pub switches: u64,
}

/// A map that stands for its number: the content of a version is what matters here.
fn map(number: u64) -> ExpertMap {
    let held = vec![vec![usize::try_from(number).unwrap_or(0)]];
    ExpertMap { layers: vec![Layer { held }] }
}

fn number(map: &ExpertMap) -> u64 {
    u64::try_from(map.layers[0].held[0][0]).unwrap_or(0)
}

impl World {
    pub fn new(rules: Rules, seed: u64) -> Self {
        let coordinator = |rank: usize| Coordinator {
            switcher: Switcher::new(if rules.own_numbers {
                7 + seed + u64::try_from(rank).unwrap_or(0)
            } else {
                7
            }),
            views: vec![RankView::default(); rules.ranks],
            clock: Duration::ZERO,
            paused_until: 0,
            believes: rank == 0,
            life: 0,
            progress: Progress::Idle,
        };
        Self {
            rules,
            network: Network::default(),
            random: seed | 1,
            tick: 0,
            step: 0,
            epoch: 1,
            opens_at: 0,
            idle_until: 0,
            engines: vec![Engine::default(); rules.ranks],
            coordinators: vec![coordinator(0), coordinator(1)],
            flying: Vec::new(),
            maps: 0,
            switches: 0,
        }
    }

    fn draw(&mut self, below: u64) -> u64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        self.random % below
    }

    pub fn apply(&mut self, fault: Fault) {
        match fault {
            Fault::Want(index) => self.want(index % 2),
            Fault::Pause(index, ticks) => {
                self.coordinators[index % 2].paused_until = self.tick + ticks;
            }
            Fault::Restart(index) => self.restart(index % 2),
            Fault::Believe(index, believes) => {
                self.coordinators[index % 2].believes = believes;
            }
            Fault::KillRank => self.form(),
            Fault::Idle(ticks) => self.idle_until = self.tick + ticks,
            Fault::Network(network) => self.network = network,
        }
    }

    /// Ends all faults: the first coordinator alone coordinates.
    pub fn heal(&mut self) {
        self.network = Network::default();
        self.idle_until = 0;
        for (index, coordinator) in self.coordinators.iter_mut().enumerate() {
            coordinator.paused_until = 0;
            coordinator.believes = index == 0;
        }
    }

    pub fn want(&mut self, index: usize) {
        self.maps += 1;
        let wanted = map(self.maps);
        let coordinator = &mut self.coordinators[index];
        let now = coordinator.clock;
        coordinator.switcher.want(wanted, &coordinator.views, now);
    }

    pub fn is_settled(&self) -> bool {
        self.engines.iter().all(|engine| engine.armed.is_none() && engine.held.is_none())
    }

    fn restart(&mut self, index: usize) {
        let number = if self.rules.own_numbers { self.draw(4_000) + 10 } else { 7 };
        let ranks = self.rules.ranks;
        let coordinator = &mut self.coordinators[index];
        coordinator.switcher = Switcher::new(number);
        coordinator.views = vec![RankView::default(); ranks];
        coordinator.life += 1;
        coordinator.clock += Duration::from_secs(3_600);
    }

    fn form(&mut self) {
        self.epoch += 1;
        self.step = 0;
        self.opens_at = self.tick + FORM_TICKS;
        self.engines = vec![Engine::default(); self.rules.ranks];
    }

    fn is_open(&self) -> bool {
        self.tick >= self.opens_at
    }

    /// Moves time on and checks that ranks begin steps with one map.
    ///
    /// # Errors
    ///
    /// Returns the maps that ranks of one step have.
    pub fn advance(&mut self) -> Result<(), String> {
        self.tick += 1;
        self.finish_loading();
        self.deliver();
        for index in 0..self.coordinators.len() {
            self.run(index);
        }
        if self.tick.is_multiple_of(TICKS_PER_STEP) {
            self.begin_step()?;
        }
        Ok(())
    }

    fn finish_loading(&mut self) {
        for engine in &mut self.engines {
            if let Some((version, content, at)) = engine.loading
                && at <= self.tick
            {
                engine.prepared = Some((version, content));
                engine.loading = None;
            }
        }
    }

    fn begin_step(&mut self) -> Result<(), String> {
        let next = self.step + 1;
        let held = self.engines.iter().any(|engine| engine.held == Some(next));
        if !self.is_open() || self.tick < self.idle_until || held {
            return Ok(());
        }
        self.step = next;
        let mut switched = false;
        for engine in &mut self.engines {
            if let Some(armed) = engine.armed.filter(|armed| armed.step == next) {
                (engine.version, engine.content) = (armed.version, engine.armed_content);
                engine.armed = None;
                engine.prepared.take_if(|(version, _)| *version == armed.version);
                switched = true;
            }
        }
        self.switches += u64::from(switched);
        let maps: Vec<(u64, u64)> =
            self.engines.iter().map(|engine| (engine.version, engine.content)).collect();
        match maps.iter().all(|map| *map == maps[0]) {
            true => Ok(()),
            false => Err(format!("step {next} at tick {}: {maps:?}", self.tick)),
        }
    }

    fn report(&self, rank: usize) -> RankReport {
        let engine = &self.engines[rank];
        RankReport {
            group: "g".to_owned(),
            epoch: self.epoch,
            rank,
            ranks: self.rules.ranks,
            open: self.is_open(),
            step: self.step,
            version: engine.version,
            prepared: engine.prepared.map(|(version, _)| version),
            armed: engine.armed,
            held_step: engine.held,
            queued: 0,
            active: 1,
        }
    }

    fn run(&mut self, index: usize) {
        if self.coordinators[index].paused_until > self.tick {
            return;
        }
        self.coordinators[index].clock += TICK;
        if (self.tick + u64::try_from(index).unwrap_or(0)).is_multiple_of(TICKS_PER_STATUS) {
            for rank in 0..self.rules.ranks {
                let report = self.report(rank);
                let coordinator = &mut self.coordinators[index];
                coordinator.views[rank] = RankView { report, received_at: coordinator.clock };
            }
        }
        if !self.tick.is_multiple_of(TICKS_PER_DECISION) || !self.coordinators[index].believes {
            return;
        }
        let present = self.present(index);
        let coordinator = &mut self.coordinators[index];
        let now = coordinator.clock;
        let (progress, orders) =
            coordinator.switcher.tick(&coordinator.views, &|| present.clone(), now);
        coordinator.progress = progress;
        for given in orders {
            self.send(index, given);
        }
    }

    /// The map in use as a coordinator knows it: only where all its views show one version.
    fn present(&self, index: usize) -> Option<Arc<ExpertMap>> {
        let views = &self.coordinators[index].views;
        let version = views[0].report.version;
        let same = views.iter().all(|view| view.report.version == version);
        let content = self.engines.iter().find(|engine| engine.version == version)?.content;
        same.then(|| Arc::new(map(content)))
    }

    fn send(&mut self, index: usize, given: Given) {
        let is_hold = matches!(given.order, Order::Hold { .. });
        if is_hold && !self.rules.hold {
            // The engine pretends to hold, as if the order were not there.
            let coordinator = &mut self.coordinators[index];
            if let Order::Hold { step } = given.order {
                coordinator.views[given.rank].report.held_step = Some(step);
            }
            return;
        }
        let life = self.coordinators[index].life;
        let fate = self.draw(100);
        let Network { lost, unanswered, late } = self.network;
        let soon = self.tick + 1 + self.draw(3);
        let (at, answer_to) = if fate < lost {
            (u64::MAX, None)
        } else if fate < lost + unanswered {
            (soon, None)
        } else if fate < lost + unanswered + late {
            (self.tick + 200 + self.draw(1_000), None)
        } else {
            (soon, Some((index, life)))
        };
        if answer_to.is_none() {
            // The coordinator hears nothing; its own timeout lets it give the order again.
            let now = self.coordinators[index].clock;
            self.coordinators[index].switcher.answered(&given, OrderOutcome::NoAnswer, now);
        }
        if at != u64::MAX {
            self.flying.push(Flying { at, given, answer_to });
        }
    }

    fn deliver(&mut self) {
        let due: Vec<Flying> = {
            let tick = self.tick;
            let (due, later) = self.flying.drain(..).partition(|flying| flying.at <= tick);
            self.flying = later;
            due
        };
        for Flying { given, answer_to, .. } in due {
            let outcome = self.carry_out(&given);
            let Some((index, life)) = answer_to else { continue };
            let report = self.report(given.rank);
            let coordinator = &mut self.coordinators[index];
            if coordinator.life == life && coordinator.paused_until <= self.tick {
                coordinator.views[given.rank] = RankView { report, received_at: coordinator.clock };
                coordinator.switcher.answered(&given, outcome, coordinator.clock);
            }
        }
    }

    fn carry_out(&mut self, given: &Given) -> OrderOutcome {
        if given.epoch != self.epoch || !self.is_open() {
            return OrderOutcome::Conflict;
        }
        let (step, tick, rules) = (self.step, self.tick, self.rules);
        let engine = &mut self.engines[given.rank];
        match &given.order {
            Order::Prepare { version, map } => {
                if engine.prepared.is_some_and(|(prepared, _)| prepared == *version) {
                    return OrderOutcome::Done;
                }
                if *version <= engine.highest || engine.armed.is_some() {
                    return OrderOutcome::Conflict;
                }
                engine.highest = *version;
                if rules.forgets_prepared {
                    engine.prepared = None;
                }
                engine.loading = Some((*version, number(map), tick + LOAD_TICKS));
                OrderOutcome::Begun
            }
            Order::Arm(switch) => {
                if engine.armed == Some(*switch) {
                    return OrderOutcome::Done;
                }
                let prepared = engine.prepared.filter(|(version, _)| *version == switch.version);
                let free = engine.armed.is_none() || rules.rearms;
                let Some((_, content)) = prepared.filter(|_| switch.step > step && free) else {
                    return OrderOutcome::Conflict;
                };
                (engine.armed, engine.armed_content) = (Some(*switch), content);
                OrderOutcome::Begun
            }
            Order::Disarm { version } => {
                if engine.armed.is_some_and(|armed| armed.version == *version) {
                    engine.armed = None;
                }
                OrderOutcome::Done
            }
            Order::Hold { step: held } => match engine.held {
                Some(known) if known == *held => OrderOutcome::Done,
                Some(_) => OrderOutcome::Conflict,
                None if *held <= step => OrderOutcome::Conflict,
                None => {
                    engine.held = Some(*held);
                    OrderOutcome::Begun
                }
            },
            Order::Release { step: released } => {
                if engine.held == Some(*released) {
                    engine.held = None;
                }
                OrderOutcome::Done
            }
        }
    }
}
