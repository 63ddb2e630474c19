//! Several agents over a small model of the key-value service, on a simulated clock.
//!
//! Calls to the service are delayed, lose their answers or are made late; agents pause and come
//! back without memory. The model counts how often the target ran each key.

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

use crate::claim_steps::{Fate, Run, Seen, Step};
use crate::claim_store_model::{MAX_SKEW_MS, SERVICE, StoreModel};

const SHARDS: u32 = 2;
const DEADLINE_MS: u64 = 400;
/// A claim is saved at most this long before its request is handed on.
const MAX_WAIT_MS: u64 = 300;
/// How far the wall clocks of two neighbours differ.
const SKEW_MS: u64 = 7;
const AGENTS: usize = 3;

enum Call {
    ShardCount(u32),
    Head(usize, Option<u64>),
    Segments(usize, Option<u64>, segment::Versioned<segment::Head>),
    Commit(usize, Vec<store::Compare>, Vec<store::Write>),
}

enum Due {
    Call { agent: usize, life: u64, call: Call, fate: Fate, answered: bool },
    Event { agent: usize, life: u64, event: Event },
}

struct Agent {
    world: world::AgentWorld,
    life: u64,
    link: u64,
    inbox: Vec<Event>,
    paused_until: u64,
}

/// Model is the agents, the service and the target.
pub struct Model {
    now: u64,
    agents: Vec<Agent>,
    check: world::ClaimCheck,
    retention_ms: u64,
    store: StoreModel,
    due: BTreeMap<(u64, u64), Due>,
    order: u64,
    fates: Vec<Fate>,
    target: Vec<Run>,
    last: Option<(usize, Box<wire::StartAttempt>)>,
    attempts: u64,
    /// When the target last ran each key.
    runs: BTreeMap<Vec<u8>, u64>,
    answered: BTreeSet<u64>,
    /// Attempts that one life of an agent refused as not run.
    refused: BTreeSet<(usize, u64, u64)>,
    /// Attempts whose request the target of one life of an agent ran.
    ran: BTreeSet<(usize, u64, u64)>,
    ended: BTreeSet<(usize, u64, JobId)>,
    seen: Seen,
}

impl Model {
    /// Returns agents that know nothing yet.
    pub fn new(check: world::ClaimCheck, retention_ms: u64) -> Self {
        let mut model = Self {
            now: 1,
            agents: Vec::new(),
            check,
            retention_ms,
            store: StoreModel::new(retention_ms),
            due: BTreeMap::new(),
            order: 0,
            fates: Vec::new(),
            target: Vec::new(),
            last: None,
            attempts: 0,
            runs: BTreeMap::new(),
            answered: BTreeSet::new(),
            refused: BTreeSet::new(),
            ran: BTreeSet::new(),
            ended: BTreeSet::new(),
            seen: Seen::default(),
        };
        for index in 0..AGENTS {
            let life = u64::try_from(index).unwrap() + 1;
            model.agents.push(agent(check, life, retention_ms));
        }
        model
    }

    /// Takes one step, with every tick in it, and returns what broke the promise.
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
                let row = &mut self.agents[*agent];
                row.inbox.push(Event::LinkDown(LinkId(row.link)));
                row.link += 1;
            }
            Step::Restart(index) => {
                let life = self.agents[*index].life + 100;
                self.agents[*index] = agent(self.check, life, self.retention_ms);
            }
            Step::Pause(agent, ms) => self.agents[*agent].paused_until = self.now + ms,
            Step::Advance(ms) => return (0..*ms).try_for_each(|_| self.millisecond()),
            Step::Store(fates) => self.fates.clone_from(fates),
            Step::Target(runs) => self.target.clone_from(runs),
        }
        self.millisecond()
    }

    /// Lets everything come to rest without further faults.
    pub fn settle(&mut self) -> Result<(), String> {
        self.fates.clear();
        self.target.clear();
        (0..2 * DEADLINE_MS).try_for_each(|_| self.millisecond())
    }

    /// Returns what the steps led to.
    pub fn seen(&self) -> Seen {
        Seen {
            conflicts: self.store.conflicts,
            rolled_segments: self.store.rolled_segments,
            dropped_segments: self.store.dropped_segments,
            ..self.seen
        }
    }

    /// Returns the attempts that an agent alive since then never answered.
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
        let row = &mut self.agents[agent];
        row.inbox.push(Event::Start { link: LinkId(row.link), request });
    }

    fn send_again(&mut self, agent: usize) {
        let Some((_, request)) = self.last.clone() else { return };
        let row = &mut self.agents[agent];
        row.link += 1;
        row.inbox.push(Event::Start { link: LinkId(row.link), request });
    }

    fn millisecond(&mut self) -> Result<(), String> {
        self.now += 1;
        while let Some(entry) = self.due.first_entry()
            && entry.key().0 <= self.now
        {
            match entry.remove() {
                Due::Call { agent, life, call, fate, answered } => {
                    self.make(agent, life, call, fate, answered);
                }
                Due::Event { agent, life, event } => {
                    if self.agents[agent].life == life {
                        self.agents[agent].inbox.push(event);
                    }
                }
            }
        }
        (0..AGENTS).try_for_each(|index| self.tick(index))?;
        self.store.broken.take().map_or(Ok(()), Err)
    }

    fn tick(&mut self, index: usize) -> Result<(), String> {
        let now = Duration::from_millis(self.now);
        let row = &mut self.agents[index];
        if row.paused_until > self.now {
            return Ok(());
        }
        let mut events = vec![Event::Config(config_view::ConfigView {
            revision: 1,
            drain: false,
            kind: Some(kinds::ServiceKind::Plain),
            claim_shards: SHARDS,
            confirmed_at: now,
        })];
        events.append(&mut row.inbox);
        let mut effects = Vec::new();
        let skew = Duration::from_millis(SKEW_MS) * u32::try_from(index).unwrap();
        row.world.tick(now, SystemTime::UNIX_EPOCH + now + skew, events, &mut effects);
        let life = row.life;
        effects.into_iter().try_for_each(|effect| self.perform(index, life, effect))
    }

    fn perform(&mut self, agent: usize, life: u64, effect: Effect) -> Result<(), String> {
        match effect {
            Effect::Refuse { to, reason, executed, .. } => {
                if reason == wire::RefusalReason::OutcomeUnknown {
                    self.seen.unknown_outcomes += 1;
                }
                self.answered.insert(to.id.counter);
                if executed == wire::Executed::No {
                    if self.ran.contains(&(agent, life, to.id.counter)) {
                        return Err(format!(
                            "attempt {} ran, but is refused as not run",
                            to.id.counter
                        ));
                    }
                    self.refused.insert((agent, life, to.id.counter));
                }
            }
            Effect::Dispatch { job, request, subscribers, .. } => {
                for to in &subscribers {
                    if self.refused.contains(&(agent, life, to.id.counter)) {
                        return Err(format!("attempt {} was refused as not run", to.id.counter));
                    }
                    self.answered.insert(to.id.counter);
                    if !matches!(self.target.last(), Some(Run::Unreachable)) {
                        self.ran.insert((agent, life, to.id.counter));
                    }
                }
                return self.hand_on(agent, life, job, &request);
            }
            Effect::Attach { job, to } => {
                let kept = self.ended.contains(&(agent, life, job));
                let count = if kept { &mut self.seen.kept_answers } else { &mut self.seen.joined };
                *count += 1;
                self.answered.insert(to.id.counter);
            }
            Effect::ReadShardCount { proposed } => {
                self.call(agent, life, Call::ShardCount(proposed))
            }
            Effect::ReadShard { shard, from } => self.call(agent, life, Call::Head(shard, from)),
            Effect::Commit { shard, compares, writes } => {
                self.call(agent, life, Call::Commit(shard, compares, writes));
            }
            _ => {}
        }
        Ok(())
    }

    fn hand_on(
        &mut self,
        agent: usize,
        life: u64,
        job: JobId,
        request: &wire::StartAttempt,
    ) -> Result<(), String> {
        let run = self.target.pop().unwrap_or(Run::Answers(5));
        let key = request.claim_key.to_vec();
        if !matches!(run, Run::Unreachable) {
            self.seen.runs += 1;
            let again_from = self.retention_ms.saturating_sub(MAX_WAIT_MS + MAX_SKEW_MS);
            if let Some(before) = self.runs.insert(key.clone(), self.now)
                && self.now - before < again_from
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
            Run::Dies(ms) => {
                let died = Event::Probed(ProbeOutcome::Refused);
                (ms, vec![Event::Failed { job, failure: Failure::Broken }, died, healthy()])
            }
        };
        if matches!(run, Run::Answers(_)) {
            self.ended.insert((agent, life, job));
        }
        for event in events {
            self.later(delay, Due::Event { agent, life, event });
        }
        Ok(())
    }

    fn call(&mut self, agent: usize, life: u64, call: Call) {
        let fate = self.fates.pop().unwrap_or(Fate::Done(1, 1));
        let (delay, answered) = match fate {
            Fate::Done(made, _) | Fate::Lost(made) => (made, false),
            Fate::Late(made) => {
                self.later(1, Due::Event { agent, life, event: no_answer(&call) });
                (made, true)
            }
            Fate::Refused => {
                let event = match call {
                    Call::Commit(shard, ..) => {
                        Event::Committed { shard, outcome: CommitOutcome::Refused }
                    }
                    _ => no_answer(&call),
                };
                return self.later(1, Due::Event { agent, life, event });
            }
        };
        self.later(delay, Due::Call { agent, life, call, fate, answered });
    }

    fn make(&mut self, agent: usize, life: u64, call: Call, fate: Fate, answered: bool) {
        let lost = no_answer(&call);
        let event = match call {
            Call::ShardCount(proposed) => Event::ShardCount(self.store.read_shard_count(proposed)),
            Call::Head(shard, from) => match self.store.read_head(shard) {
                Some(head) if !answered => {
                    let call = Call::Segments(shard, from, head);
                    return self.later(2, Due::Call { agent, life, call, fate, answered });
                }
                Some(_) => lost.clone(),
                None => Event::ShardRead { shard, snapshot: Some(segment::Snapshot::default()) },
            },
            Call::Segments(shard, from, head) => {
                Event::ShardRead { shard, snapshot: self.store.read_segments(shard, from, head) }
            }
            Call::Commit(shard, compares, writes) => {
                let outcome = self.store.commit(self.now, &compares, &writes);
                if answered && matches!(outcome, CommitOutcome::Saved { .. }) {
                    self.seen.late_writes += 1;
                }
                Event::Committed { shard, outcome }
            }
        };
        match fate {
            _ if answered => {}
            Fate::Lost(_) => {
                self.seen.lost_answers += 1;
                self.later(1, Due::Event { agent, life, event: lost });
            }
            Fate::Done(_, delay) => self.later(delay, Due::Event { agent, life, event }),
            Fate::Late(_) | Fate::Refused => {}
        }
    }

    fn later(&mut self, delay: u64, due: Due) {
        self.order += 1;
        self.due.insert((self.now + delay, self.order), due);
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

fn agent(check: world::ClaimCheck, life: u64, retention_ms: u64) -> Agent {
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
            incarnation: life,
            commit_interval: Duration::from_millis(2),
            limits: shard::Limits { retention_ms, bucket_ms: 30 },
            max_ahead: 4,
        },
    });
    Agent { world, life, link: 0, inbox: Vec::new(), paused_until: 0 }
}
