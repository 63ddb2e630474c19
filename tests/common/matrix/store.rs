//! The key-value service as its callers see it: available, down, slow, or losing its answers.

use std::collections::BTreeMap;

use bitternwall::agent::events::{CommitOutcome, Effect, Event};
use bitternwall::agent::segment;

use crate::claim_store_model::StoreModel;

/// Milliseconds that a call takes.
const CALL_MS: u64 = 20;
/// Milliseconds that a call takes while the service is slow.
const SLOW_CALL_MS: u64 = 400;
/// Milliseconds after which a call times out at its caller.
const CALL_TIMEOUT_MS: u64 = 300;
/// Claims are kept for longer than any row lasts.
const RETENTION_MS: u64 = 10_000_000;

/// Caller is an agent's index and its incarnation.
pub type Caller = (usize, u64);

struct Call {
    caller: Caller,
    effect: Effect,
    /// Whether the caller's call times out before it is executed.
    timed_out: bool,
}

/// Store is the service with the calls and answers in flight.
pub struct Store {
    pub down: bool,
    pub slow: bool,
    pub loses_answers: bool,
    model: StoreModel,
    /// Calls in flight by their time of execution and order of arrival.
    calls: BTreeMap<(u64, u64), Call>,
    answers: Vec<(u64, Caller, Event)>,
    order: u64,
}

impl Store {
    /// Returns an empty store.
    pub fn new() -> Self {
        Self {
            down: false,
            slow: false,
            loses_answers: false,
            model: StoreModel::new(RETENTION_MS),
            calls: BTreeMap::new(),
            answers: Vec::new(),
            order: 0,
        }
    }

    /// Accepts a call from an agent.
    pub fn call(&mut self, now: u64, caller: Caller, effect: Effect) {
        if self.down {
            let refused = refused(&effect);
            self.answers.push((now + CALL_MS, caller, refused));
            return;
        }
        if self.slow {
            self.answers.push((now + CALL_TIMEOUT_MS, caller, no_answer(&effect)));
        }
        let at = now + if self.slow { SLOW_CALL_MS } else { CALL_MS };
        self.order += 1;
        self.calls.insert((at, self.order), Call { caller, effect, timed_out: self.slow });
    }

    /// Executes the calls that are due and returns the answers that arrive. The error describes an
    /// invariant of the claims that a commit broke.
    pub fn tick(&mut self, now: u64) -> Result<Vec<(Caller, Event)>, String> {
        while let Some(entry) = self.calls.first_entry()
            && entry.key().0 <= now
        {
            let call = entry.remove();
            self.execute(now, call);
        }
        let due: Vec<_> = self.answers.extract_if(.., |(at, ..)| *at <= now).collect();
        let answers = due.into_iter().map(|(_, caller, event)| (caller, event)).collect();
        self.model.violation.take().map_or(Ok(answers), Err)
    }

    fn execute(&mut self, now: u64, Call { caller, effect, timed_out }: Call) {
        let lost = no_answer(&effect);
        let event = if self.down {
            lost
        } else {
            match self.answer(now, effect) {
                Event::Committed { .. } if self.loses_answers => lost,
                event => event,
            }
        };
        if !timed_out {
            self.answers.push((now, caller, event));
        }
    }

    fn answer(&mut self, now: u64, effect: Effect) -> Event {
        match effect {
            Effect::ReadShardCount { proposed } => {
                Event::ShardCount(self.model.read_shard_count(proposed))
            }
            Effect::ReadShard { shard, from } => {
                let snapshot = match self.model.read_head(shard) {
                    Some(head) => self.model.read_segments(shard, from, head),
                    None => Some(segment::Snapshot::default()),
                };
                Event::ShardRead { shard, snapshot }
            }
            Effect::Commit { shard, compares, writes } => {
                let outcome = self.model.commit(now, &compares, &writes);
                Event::Committed { shard, outcome }
            }
            other => unreachable!("{other:?} is no call"),
        }
    }
}

fn refused(effect: &Effect) -> Event {
    match effect {
        Effect::Commit { shard, .. } => {
            Event::Committed { shard: *shard, outcome: CommitOutcome::Refused }
        }
        _ => no_answer(effect),
    }
}

fn no_answer(effect: &Effect) -> Event {
    match effect {
        Effect::ReadShardCount { .. } => Event::ShardCount(None),
        Effect::ReadShard { shard, .. } => Event::ShardRead { shard: *shard, snapshot: None },
        Effect::Commit { shard, .. } => {
            Event::Committed { shard: *shard, outcome: CommitOutcome::Unknown }
        }
        other => unreachable!("{other:?} is no call"),
    }
}
