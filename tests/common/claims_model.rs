//! A simulation of several agents over a model of the key-value service.
//!
//! Calls to the service are delayed, lose their answers or are executed after their timeout; agents
//! are paused and restart without state. The model checks how often the target runs the request of
//! each claim key.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, SystemTime};

use bitternwall::agent::events::{CommitOutcome, Effect, Event, Failure, JobId, ProbeOutcome};
use bitternwall::agent::{config_view, segment, shard, world};
use bitternwall::external::store;
use bitternwall::resources::kinds;
use bitternwall::wire;
use bitternwall::wire::server::LinkId;
use bytes::Bytes;

use crate::claim_steps::{CallOutcome, Coverage, Run, Step};
use crate::claim_store_model::{MAX_SKEW_MS, SERVICE, StoreModel};

const SHARDS: u32 = 2;
const DEADLINE_MS: u64 = 400;
/// A claim is saved at most this long before its request is dispatched.
const MAX_WAIT_MS: u64 = 300;
/// Difference between the wall clocks of agents with consecutive indices.
const SKEW_MS: u64 = 7;
const AGENTS: usize = 3;

/// Call is a call of an agent to the key-value service.
enum Call {
    ShardCount(u32),
    Head(usize, Option<u64>),
    Segments(usize, Option<u64>, segment::Versioned<segment::Head>),
    Commit(usize, Vec<store::Compare>, Vec<store::Write>),
}

/// Due is a call that is to be executed or an event that is to be delivered at a scheduled time.
enum Due {
    Call { agent: usize, incarnation: u64, call: Call, outcome: CallOutcome, timed_out: bool },
    Event { agent: usize, incarnation: u64, event: Event },
}

struct Agent {
    world: world::AgentWorld,
    incarnation: u64,
    link: u64,
    inbox: Vec<Event>,
    paused_until: u64,
}

/// Model simulates the agents, the key-value service and the target.
pub struct Model {
    now: u64,
    agents: Vec<Agent>,
    check: world::ClaimCheck,
    retention_ms: u64,
    store: StoreModel,
    due: BTreeMap<(u64, u64), Due>,
    next_order: u64,
    call_outcomes: Vec<CallOutcome>,
    target_runs: Vec<Run>,
    last: Option<(usize, Box<wire::StartAttempt>)>,
    attempts: u64,
    /// When the target last ran the request of each claim key.
    runs: BTreeMap<Vec<u8>, u64>,
    answered: BTreeSet<u64>,
    /// Attempts that an agent refused as not executed, with the agent's incarnation.
    refused: BTreeSet<(usize, u64, u64)>,
    /// Attempts whose request the target of an agent ran, with the agent's incarnation.
    ran: BTreeSet<(usize, u64, u64)>,
    completed: BTreeSet<(usize, u64, JobId)>,
    coverage: Coverage,
}

impl Model {
    /// Creates a model with agents that have no state yet.
    pub fn new(check: world::ClaimCheck, retention_ms: u64) -> Self {
        let mut model = Self {
            now: 1,
            agents: Vec::new(),
            check,
            retention_ms,
            store: StoreModel::new(retention_ms),
            due: BTreeMap::new(),
            next_order: 0,
            call_outcomes: Vec::new(),
            target_runs: Vec::new(),
            last: None,
            attempts: 0,
            runs: BTreeMap::new(),
            answered: BTreeSet::new(),
            refused: BTreeSet::new(),
            ran: BTreeSet::new(),
            completed: BTreeSet::new(),
            coverage: Coverage::default(),
        };
        for index in 0..AGENTS {
            let incarnation = u64::try_from(index).unwrap() + 1;
            model.agents.push(agent(check, incarnation, retention_ms));
        }
        model
    }

    /// Takes one step, with all ticks that are due in it. The error describes a violated guarantee.
    pub fn step(&mut self, step: &Step) -> Result<(), String> {
        match step {
            Step::Send(key, agent) => self.send(*key, *agent),
            Step::SendAgain(agent) => self.send_again(*agent),
            Step::Cancel => {
                if let Some((agent, request)) = &self.last {
                    let id = request.id.unwrap();
                    self.answered.insert(id.counter);
                    self.agents[*agent].inbox.push(Event::Cancel(id));
                }
            }
            Step::LinkDown(agent) => {
                let state = &mut self.agents[*agent];
                state.inbox.push(Event::LinkDown(LinkId(state.link)));
                state.link += 1;
            }
            Step::Restart(index) => {
                let incarnation = self.agents[*index].incarnation + 100;
                self.agents[*index] = agent(self.check, incarnation, self.retention_ms);
            }
            Step::Pause(agent, ms) => self.agents[*agent].paused_until = self.now + ms,
            Step::Advance(ms) => return (0..*ms).try_for_each(|_| self.advance_millisecond()),
            Step::Store(call_outcomes) => self.call_outcomes.clone_from(call_outcomes),
            Step::Target(runs) => self.target_runs.clone_from(runs),
        }
        self.advance_millisecond()
    }

    /// Runs without further faults for twice the deadline, so that every attempt ends.
    pub fn settle(&mut self) -> Result<(), String> {
        self.call_outcomes.clear();
        self.target_runs.clear();
        (0..2 * DEADLINE_MS).try_for_each(|_| self.advance_millisecond())
    }

    /// Returns the situations that the steps reached.
    pub fn coverage(&self) -> Coverage {
        Coverage {
            conflicts: self.store.conflicts,
            rolled_segments: self.store.rolled_segments,
            dropped_segments: self.store.dropped_segments,
            ..self.coverage
        }
    }

    /// Returns the attempts that were never answered, which is meaningful only if no agent
    /// restarted.
    pub fn unanswered(&self) -> Vec<u64> {
        (0..self.attempts).filter(|id| !self.answered.contains(id)).collect()
    }

    fn send(&mut self, key: u8, agent: usize) {
        let id = wire::AttemptId { incarnation: 9, counter: self.attempts };
        self.attempts += 1;
        let request = Box::new(wire::StartAttempt {
            id: Some(id),
            customer: format!("plant-{}", key % 3),
            claim_key: Bytes::copy_from_slice(&[key.wrapping_mul(37); 16]),
            deadline_ms: DEADLINE_MS,
            config_revision: 1,
            estimated_tokens: 1,
            weight: 1,
            ..Default::default()
        });
        self.last = Some((agent, request.clone()));
        let state = &mut self.agents[agent];
        state.inbox.push(Event::Start { link: LinkId(state.link), request });
    }

    fn send_again(&mut self, agent: usize) {
        let Some((_, request)) = self.last.clone() else { return };
        let state = &mut self.agents[agent];
        state.link += 1;
        state.inbox.push(Event::Start { link: LinkId(state.link), request });
    }

    fn advance_millisecond(&mut self) -> Result<(), String> {
        self.now += 1;
        while let Some(entry) = self.due.first_entry()
            && entry.key().0 <= self.now
        {
            match entry.remove() {
                Due::Call { agent, incarnation, call, outcome, timed_out } => {
                    self.execute(agent, incarnation, call, outcome, timed_out);
                }
                Due::Event { agent, incarnation, event } => {
                    if self.agents[agent].incarnation == incarnation {
                        self.agents[agent].inbox.push(event);
                    }
                }
            }
        }
        (0..AGENTS).try_for_each(|index| self.tick(index))?;
        self.store.violation.take().map_or(Ok(()), Err)
    }

    fn tick(&mut self, index: usize) -> Result<(), String> {
        let now = Duration::from_millis(self.now);
        let state = &mut self.agents[index];
        if state.paused_until > self.now {
            return Ok(());
        }
        let mut events = vec![Event::Config(config_view::ConfigView {
            revision: 1,
            drain: false,
            kind: Some(kinds::ServiceKind::Plain),
            claim_shards: SHARDS,
            confirmed_at: now,
        })];
        events.append(&mut state.inbox);
        let mut effects = Vec::new();
        let skew = Duration::from_millis(SKEW_MS) * u32::try_from(index).unwrap();
        state.world.tick(now, SystemTime::UNIX_EPOCH + now + skew, events, &mut effects);
        let incarnation = state.incarnation;
        effects.into_iter().try_for_each(|effect| self.perform(index, incarnation, effect))
    }

    fn perform(&mut self, agent: usize, incarnation: u64, effect: Effect) -> Result<(), String> {
        match effect {
            Effect::Refuse { to, reason, executed, .. } => {
                if reason == wire::RefusalReason::OutcomeUnknown {
                    self.coverage.unknown_outcomes += 1;
                }
                self.answered.insert(to.id.counter);
                if executed == wire::Executed::No {
                    if self.ran.contains(&(agent, incarnation, to.id.counter)) {
                        return Err(format!(
                            "attempt {} ran, but is refused as not run",
                            to.id.counter
                        ));
                    }
                    self.refused.insert((agent, incarnation, to.id.counter));
                }
            }
            Effect::Dispatch { job, request, subscribers, .. } => {
                for to in &subscribers {
                    if self.refused.contains(&(agent, incarnation, to.id.counter)) {
                        return Err(format!("attempt {} was refused as not run", to.id.counter));
                    }
                    self.answered.insert(to.id.counter);
                    if !matches!(self.target_runs.last(), Some(Run::Unreachable)) {
                        self.ran.insert((agent, incarnation, to.id.counter));
                    }
                }
                return self.dispatch(agent, incarnation, job, &request);
            }
            Effect::Attach { job, to } => {
                let kept = self.completed.contains(&(agent, incarnation, job));
                let count =
                    if kept { &mut self.coverage.kept_answers } else { &mut self.coverage.joined };
                *count += 1;
                self.answered.insert(to.id.counter);
            }
            Effect::ReadShardCount { proposed } => {
                self.call(agent, incarnation, Call::ShardCount(proposed))
            }
            Effect::ReadShard { shard, from } => {
                self.call(agent, incarnation, Call::Head(shard, from))
            }
            Effect::Commit { shard, compares, writes } => {
                self.call(agent, incarnation, Call::Commit(shard, compares, writes));
            }
            _ => {}
        }
        Ok(())
    }

    fn dispatch(
        &mut self,
        agent: usize,
        incarnation: u64,
        job: JobId,
        request: &wire::StartAttempt,
    ) -> Result<(), String> {
        let run = self.target_runs.pop().unwrap_or(Run::Answers(5));
        let key = request.claim_key.to_vec();
        if !matches!(run, Run::Unreachable) {
            self.coverage.runs += 1;
            let min_gap_ms = self.retention_ms.saturating_sub(MAX_WAIT_MS + MAX_SKEW_MS);
            if let Some(before) = self.runs.insert(key.clone(), self.now)
                && self.now - before < min_gap_ms
            {
                return Err(format!("key {} ran twice", key[0]));
            }
        }
        let (delay, events) = match run {
            Run::Answers(ms) => (ms, vec![Event::Completed { job, bytes: 10, tokens: None }]),
            Run::Unreachable => {
                (1, vec![Event::Failed { job, failure: Failure::Unreachable }, healthy()])
            }
            Run::Breaks(ms) => {
                (ms, vec![Event::Failed { job, failure: Failure::Broken }, healthy()])
            }
            Run::Crashes(ms) => {
                let crashed = Event::Probed(ProbeOutcome::Refused);
                (ms, vec![Event::Failed { job, failure: Failure::Broken }, crashed, healthy()])
            }
        };
        if matches!(run, Run::Answers(_)) {
            self.completed.insert((agent, incarnation, job));
        }
        for event in events {
            self.schedule(delay, Due::Event { agent, incarnation, event });
        }
        Ok(())
    }

    fn call(&mut self, agent: usize, incarnation: u64, call: Call) {
        let outcome = self.call_outcomes.pop().unwrap_or(CallOutcome::Done(1, 1));
        let (delay, timed_out) = match outcome {
            CallOutcome::Done(delay, _) | CallOutcome::Lost(delay) => (delay, false),
            CallOutcome::Late(delay) => {
                self.schedule(1, Due::Event { agent, incarnation, event: no_answer(&call) });
                (delay, true)
            }
            CallOutcome::Refused => {
                let event = match call {
                    Call::Commit(shard, ..) => {
                        Event::Committed { shard, outcome: CommitOutcome::Refused }
                    }
                    _ => no_answer(&call),
                };
                return self.schedule(1, Due::Event { agent, incarnation, event });
            }
        };
        self.schedule(delay, Due::Call { agent, incarnation, call, outcome, timed_out });
    }

    fn execute(
        &mut self,
        agent: usize,
        incarnation: u64,
        call: Call,
        outcome: CallOutcome,
        timed_out: bool,
    ) {
        let no_reply = no_answer(&call);
        let event = match call {
            Call::ShardCount(proposed) => Event::ShardCount(self.store.read_shard_count(proposed)),
            Call::Head(shard, from) => match self.store.read_head(shard) {
                Some(head) if !timed_out => {
                    let call = Call::Segments(shard, from, head);
                    return self
                        .schedule(2, Due::Call { agent, incarnation, call, outcome, timed_out });
                }
                Some(_) => no_reply.clone(),
                None => Event::ShardRead { shard, snapshot: Some(segment::Snapshot::default()) },
            },
            Call::Segments(shard, from, head) => {
                Event::ShardRead { shard, snapshot: self.store.read_segments(shard, from, head) }
            }
            Call::Commit(shard, compares, writes) => {
                let outcome = self.store.commit(self.now, &compares, &writes);
                if timed_out && matches!(outcome, CommitOutcome::Saved { .. }) {
                    self.coverage.late_writes += 1;
                }
                Event::Committed { shard, outcome }
            }
        };
        match outcome {
            _ if timed_out => {}
            CallOutcome::Lost(_) => {
                self.coverage.lost_answers += 1;
                self.schedule(1, Due::Event { agent, incarnation, event: no_reply });
            }
            CallOutcome::Done(_, delay) => {
                self.schedule(delay, Due::Event { agent, incarnation, event })
            }
            CallOutcome::Late(_) | CallOutcome::Refused => {}
        }
    }

    fn schedule(&mut self, delay: u64, due: Due) {
        self.next_order += 1;
        self.due.insert((self.now + delay, self.next_order), due);
    }
}

fn no_answer(call: &Call) -> Event {
    match call {
        Call::ShardCount(_) => Event::ShardCount(None),
        Call::Head(shard, _) | Call::Segments(shard, ..) => {
            Event::ShardRead { shard: *shard, snapshot: None }
        }
        Call::Commit(shard, ..) => {
            Event::Committed { shard: *shard, outcome: CommitOutcome::Unknown }
        }
    }
}

fn healthy() -> Event {
    Event::Probed(ProbeOutcome::Healthy)
}

fn agent(check: world::ClaimCheck, incarnation: u64, retention_ms: u64) -> Agent {
    let world = world::AgentWorld::new(world::Options {
        slots: 2,
        max_queued: 64,
        max_wait: Duration::from_millis(MAX_WAIT_MS),
        freshness: Duration::from_secs(1),
        retry_after: Duration::from_millis(10),
        suspect_timeout: Duration::from_millis(50),
        fingerprint_ttl: Duration::from_secs(1),
        kept_bytes: 25,
        drop_duplicates: true,
        order: world::QueueOrder::Fair,
        claims: world::ClaimOptions {
            check,
            service: SERVICE.to_owned(),
            incarnation,
            commit_interval: Duration::from_millis(2),
            limits: shard::Limits { retention_ms, bucket_ms: 30 },
            max_ahead: 4,
        },
    });
    Agent { world, incarnation, link: 0, inbox: Vec::new(), paused_until: 0 }
}
