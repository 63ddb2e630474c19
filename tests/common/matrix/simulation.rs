//! The simulation of one row: entries, agents, targets, callers, the links and the store.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use bitternwall::agent::events::{Event, JobId};
use bitternwall::config::view;
use bitternwall::entry::core::events::{CrashReport, Event as EntryEvent};
use bitternwall::wire;

use super::agent::{self, AgentProcess};
use super::callers::{self, Callers};
use super::entry::{self, EntryProcess};
use super::faults::{self, FaultSchedule};
use super::ledger::Ledger;
use super::links::{End, Links, Pair};
use super::rows::{Kind, Row, Step};
use super::store::Store;
use super::target::{self, Exchange, Target};
use super::{AGENTS, ENTRIES, Mechanisms, TICK_MS};

const START_MS: u64 = 10_000;
/// When the row's request is sent, in milliseconds of simulated time; every link is up by then.
const REQUEST_MS: u64 = START_MS + 300;
/// The entries that get one more request each, one tick before the row's.
const CONCURRENT_ENTRIES: [usize; 3] = [1, 0, 1];
/// Milliseconds after the last fault within which the system must have recovered.
const RECOVERY_MS: u64 = 1_000;
/// Milliseconds after the last fault after which callers send no more.
const STOP_MS: u64 = 6_000;
/// Milliseconds without submissions at the end of a row, in which late runs would show.
const QUIET_MS: u64 = 500;
/// Milliseconds after the last submission within which every submission must have ended.
const END_MS: u64 = 3_000;

/// Trace is the course of the row's request in one run.
#[derive(Clone, Debug)]
pub struct Trace {
    /// The agent that the request is sent to.
    pub victim: usize,
    /// When the request reached each step, in milliseconds of simulated time.
    pub reached: BTreeMap<Step, u64>,
}

/// Simulation is the state of all processes, links and callers, which advances by ticks.
pub struct Simulation {
    pub now: u64,
    pub mechanisms: Mechanisms,
    pub faults: FaultSchedule,
    pub links: Links,
    pub entries: [Option<EntryProcess>; ENTRIES],
    pub agents: [Option<AgentProcess>; AGENTS],
    pub targets: [Target; AGENTS],
    pub store: Store,
    pub ledger: Ledger,
    pub callers: Callers,
    pub paused_until: [u64; AGENTS],
    max_crashes: u64,
    pub(super) kind: Kind,
    /// Number of the row's request.
    pub(super) main: u64,
    pub(super) trace: Trace,
    pub(super) view: Arc<view::View>,
    pub(super) last_incarnation: u64,
    /// For each entry, how many active faults keep it down; likewise for agents and targets.
    pub(super) entries_down: [u32; ENTRIES],
    pub(super) agents_down: [u32; AGENTS],
    pub(super) targets_down: [u32; AGENTS],
    was_paused: [bool; AGENTS],
    /// When each broken connection to a target is noticed, by which agent, and its exchange.
    pub(super) broken_connections: Vec<(u64, usize, Exchange)>,
    /// When each health probe ends, its agent, and the incarnation of the agent that started it.
    pub(super) probes: Vec<(u64, usize, u64)>,
}

impl Trace {
    /// Runs a request without faults and returns its trace.
    pub fn new(kind: Kind, view: &Arc<view::View>) -> Self {
        let row = Row { kind, faults: Vec::new() };
        let mut sim = Simulation::new(&row, &Self::blank(), view, Mechanisms::default());
        sim.run().expect("a run without faults keeps every guarantee");
        let mut baseline = sim.trace;
        let dispatched = baseline.reached[&Step::Dispatched];
        baseline.reached.entry(Step::Claimed).or_insert(dispatched);
        baseline.reached.insert(Step::Running, dispatched + TICK_MS);
        baseline
    }

    fn blank() -> Self {
        Self { victim: 0, reached: BTreeMap::from([(Step::Accepted, REQUEST_MS)]) }
    }
}

impl Simulation {
    /// Returns a simulation of a row at its start. `base` is the trace of a run without faults.
    pub fn new(row: &Row, base: &Trace, view: &Arc<view::View>, mechanisms: Mechanisms) -> Self {
        let mut callers = Callers::default();
        for entry in CONCURRENT_ENTRIES {
            callers.add(row.kind, entry, REQUEST_MS - TICK_MS, true);
        }
        let main = callers.add(row.kind, 0, REQUEST_MS, true);
        let faults = FaultSchedule::new(&row.faults, base);
        let mut sim = Self {
            now: START_MS,
            mechanisms,
            faults,
            links: Links::new(),
            entries: [None, None],
            agents: [None, None, None],
            targets: [Target::new(), Target::new(), Target::new()],
            store: Store::new(),
            ledger: Ledger::default(),
            callers,
            paused_until: [0; AGENTS],
            max_crashes: row.max_crashes(),
            kind: row.kind,
            main,
            trace: Trace::blank(),
            view: Arc::clone(view),
            last_incarnation: 0,
            entries_down: [1; ENTRIES],
            agents_down: [1; AGENTS],
            targets_down: [0; AGENTS],
            was_paused: [false; AGENTS],
            broken_connections: Vec::new(),
            probes: Vec::new(),
        };
        (0..ENTRIES).for_each(|index| sim.restart_entry(index));
        (0..AGENTS).for_each(|index| sim.restart_agent(index));
        sim
    }

    /// Runs the row to its end. The error describes the guarantee that was broken.
    pub fn run(&mut self) -> Result<(), String> {
        let faults_end = self.faults.ends_at().max(REQUEST_MS);
        while self.now < faults_end + RECOVERY_MS {
            self.tick()?;
        }
        self.add_final_requests();
        while !self.callers.are_done() && self.now < faults_end + STOP_MS {
            self.tick()?;
        }
        self.callers.stop_sending();
        let end = self.now + END_MS;
        while !self.callers.are_done() && self.now < end {
            self.tick()?;
        }
        let end = self.now + QUIET_MS;
        while self.now < end {
            self.tick()?;
        }
        self.check_end()
    }

    /// Returns true if the number of attempts or the time of the answer differs from `baseline`.
    pub fn differs_from(&self, baseline: &Trace) -> bool {
        let main = self.callers.all.iter().find(|caller| caller.number == self.main);
        let attempts = main
            .map(|main| self.callers.submissions_of(main).map(|sent| sent.attempts.len()).sum());
        let answered = self.trace.reached.get(&Step::Answered);
        attempts != Some(1_usize) || answered != baseline.reached.get(&Step::Answered)
    }

    /// Adds requests that must get complete answers at the first submission.
    fn add_final_requests(&mut self) {
        let plain = [Kind::Idempotent, Kind::NotRepeatable];
        let kinds = if self.kind == Kind::Streamed { &[Kind::Streamed][..] } else { &plain };
        for kind in kinds {
            for entry in 0..ENTRIES {
                self.callers.add(*kind, entry, self.now, false);
            }
        }
    }

    fn check_end(&self) -> Result<(), String> {
        if !self.callers.are_done() {
            return Err("a submission never ended".to_owned());
        }
        self.callers.check_ends((self.ledger.crashes > 0).then_some(self.main))
    }

    fn tick(&mut self) -> Result<(), String> {
        self.now += TICK_MS;
        faults::tick(self);
        self.resume_agents();
        self.advance_links();
        self.advance_targets();
        for (caller, event) in self.store.tick(self.now)? {
            self.agent_event(caller, event);
        }
        self.finish_probes();
        self.advance_callers();
        self.run_entries();
        self.run_agents()?;
        self.check()
    }

    fn check(&self) -> Result<(), String> {
        if self.ledger.crashes > self.max_crashes {
            return Err(format!("one body took {} targets down", self.ledger.crashes));
        }
        self.entries.iter().flatten().try_for_each(|entry| self.check_retry_budget(entry))?;
        self.ledger.check(&self.callers)
    }

    /// Checks the retry budget, which the resumption of a stream may overdraw once.
    fn check_retry_budget(&self, entry: &EntryProcess) -> Result<(), String> {
        let overdraft = if self.kind == Kind::Streamed { entry::RETRY_BURST } else { 0.0 };
        let first = f64::from(entry.submitted);
        let bound = first * (1.0 + entry::RETRY_SHARE) + entry::RETRY_BURST + overdraft;
        match f64::from(entry.started) <= bound {
            true => Ok(()),
            false => Err(format!("{} tries of {} requests", entry.started, entry.submitted)),
        }
    }

    /// Closes the links of an agent whose pause ended, before the agent reads from them.
    fn resume_agents(&mut self) {
        for agent in 0..AGENTS {
            let paused = self.is_paused(agent);
            let resumed = std::mem::replace(&mut self.was_paused[agent], paused) && !paused;
            if resumed {
                self.break_links(|pair| pair.agent == agent);
            }
        }
    }

    pub(super) fn is_paused(&self, agent: usize) -> bool {
        self.paused_until[agent] > self.now
    }

    fn advance_targets(&mut self) {
        faults::crash(self, self.main);
        let now = self.now;
        let due: Vec<_> = self.broken_connections.extract_if(.., |(at, ..)| *at <= now).collect();
        for (_, index, (owner, job)) in due {
            if let Some(agent) = self.agents[index].as_mut().filter(|a| a.incarnation == owner) {
                agent.target_event(job, target::Event::Interrupted);
            }
        }
        for index in 0..AGENTS {
            for ((owner, job), event) in self.targets[index].tick(self.now) {
                if self.targets[index].has_answered(self.main) {
                    self.record_step(Step::Answering);
                }
                if let Some(agent) = self.agents[index].as_mut().filter(|a| a.incarnation == owner)
                {
                    agent.target_event(job, event);
                }
            }
        }
    }

    fn advance_callers(&mut self) {
        let alive = self.entries_alive();
        for (entry, id, number, kind) in self.callers.due(self.now, &alive) {
            let (request, outbound) = callers::request(id, number, kind);
            if let Some(entry) = &mut self.entries[entry] {
                entry.submit(clock(self.now), request, outbound);
            }
        }
    }

    fn run_entries(&mut self) {
        for index in 0..ENTRIES {
            let Some(entry) = &mut self.entries[index] else { continue };
            entry.tick(clock(self.now), Vec::new());
            for out in std::mem::take(&mut entry.out) {
                self.handle_entry_output(index, out);
            }
        }
    }

    fn handle_entry_output(&mut self, entry: usize, out: entry::Output) {
        match out {
            entry::Output::Frame(target, kind) => {
                let agent = (0..AGENTS).find(|index| self.target_name(*index) == target);
                let pair = Pair { entry, agent: agent.expect("entries know three targets") };
                self.record_start(pair.agent, &kind);
                self.links.send(self.now, End::Entry, pair, kind);
            }
            entry::Output::Attempt(id, attempt) => {
                self.callers.submissions[callers::index_of(id)].attempts.push(attempt);
            }
            entry::Output::Piece(id, piece) => {
                self.callers.receive(self.now, id, piece);
                self.record_piece(id);
            }
            entry::Output::Crashes(reports) => self.broadcast_crashes(entry, &reports),
        }
    }

    /// Delivers an entry's crash reports to the other entries, over the links between entries.
    fn broadcast_crashes(&mut self, from: usize, reports: &[CrashReport]) {
        let now = clock(self.now);
        for index in (0..ENTRIES).filter(|index| *index != from) {
            if let Some(entry) = &mut self.entries[index] {
                entry.tick(now, vec![EntryEvent::CrashesReported(reports.to_vec())]);
            }
        }
    }

    fn run_agents(&mut self) -> Result<(), String> {
        for index in 0..AGENTS {
            if self.is_paused(index) {
                continue;
            }
            let Some(agent) = &mut self.agents[index] else { continue };
            agent.tick(self.now, Duration::from_millis(self.now));
            for out in std::mem::take(&mut agent.out) {
                self.handle_agent_output(index, out)?;
            }
        }
        Ok(())
    }

    fn handle_agent_output(&mut self, index: usize, out: agent::Output) -> Result<(), String> {
        let Some(agent) = &self.agents[index] else { return Ok(()) };
        let incarnation = agent.incarnation;
        match out {
            agent::Output::Frame(link, kind) => self.links.post(self.now, End::Agent, link, kind),
            agent::Output::Dispatch(job, request, waiting) => {
                self.check_drain(index, &request)?;
                self.dispatch(index, (incarnation, job), &request, waiting);
            }
            agent::Output::Attached(id) => self.ledger.record_attempt(id),
            agent::Output::Abort(job) => self.targets[index].abort((incarnation, job)),
            agent::Output::StoreCall(effect) => {
                self.record_store_call(index, &effect);
                self.store.call(self.now, (index, incarnation), effect);
            }
            agent::Output::Probe => self.probe(index),
            agent::Output::SendHeartbeats => self.send_agent_heartbeat(index),
        }
        Ok(())
    }

    fn check_drain(&self, index: usize, request: &wire::StartAttempt) -> Result<(), String> {
        let (Some(agent), Some(id)) = (&self.agents[index], request.id) else { return Ok(()) };
        let arrived = agent.first_seen.get(&(id.incarnation, id.counter));
        match (agent.draining_since, arrived) {
            (Some(since), Some(arrived)) if *arrived >= since => {
                Err("a draining agent started a new request".to_owned())
            }
            _ => Ok(()),
        }
    }

    fn dispatch(
        &mut self,
        index: usize,
        exchange: (u64, JobId),
        request: &wire::StartAttempt,
        waiting: Vec<wire::AttemptId>,
    ) {
        match self.targets[index].start(self.now, exchange, request) {
            Some(number) => {
                self.ledger.record_run(number);
                waiting.into_iter().for_each(|id| self.ledger.record_attempt(id));
                if number == self.main {
                    self.record_step(Step::Dispatched);
                }
            }
            None => {
                if let Some(agent) = &mut self.agents[index] {
                    agent.target_unreachable(exchange.1);
                }
            }
        }
    }

    fn agent_event(&mut self, (index, owner): (usize, u64), event: Event) {
        if let Some(agent) = self.agents[index].as_mut().filter(|a| a.incarnation == owner) {
            agent.events.push(event);
        }
    }

    pub(super) fn entries_alive(&self) -> [bool; ENTRIES] {
        std::array::from_fn(|index| self.entries[index].is_some())
    }

    pub(super) fn agents_alive(&self) -> [bool; AGENTS] {
        std::array::from_fn(|index| self.agents[index].is_some())
    }

    pub(super) fn target_name(&self, index: usize) -> String {
        let service = if self.kind == Kind::Streamed { "llm" } else { "desk" };
        format!("{service}-{index}")
    }
}

/// Returns a simulated time as the cores expect it.
pub fn clock(ms: u64) -> Duration {
    Duration::from_millis(ms)
}
