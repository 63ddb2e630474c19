//! Refuses requests whose deadline has passed.

use std::collections;
use std::time::Duration;

use crate::entry::core::EntryWorld;
use crate::entry::core::events::{AttemptFailure, Effect, Executed, Refusal, RefusalReason};
use crate::entry::core::tables::RequestId;

/// How long after the deadline the entry waits for the agent's own refusal, since only the agent
/// knows whether the request ran.
pub const AGENT_REPLY_GRACE: Duration = Duration::from_millis(100);

/// The open requests, ordered by deadline.
#[derive(Debug, Default)]
pub struct Deadlines {
    due: collections::BTreeSet<(Duration, RequestId)>,
}

impl Deadlines {
    /// Adds a request.
    pub fn insert(&mut self, deadline: Duration, request: RequestId) {
        self.due.insert((deadline, request));
    }

    /// Removes a request.
    pub fn remove(&mut self, deadline: Duration, request: RequestId) {
        self.due.remove(&(deadline, request));
    }

    fn pop_due(&mut self, now: Duration) -> Option<RequestId> {
        let (deadline, request) = *self.due.first()?;
        if deadline + AGENT_REPLY_GRACE > now {
            return None;
        }
        self.due.pop_first();
        Some(request)
    }
}

/// Cancels and refuses every request that is past its deadline and the grace time.
pub fn expire(world: &mut EntryWorld, now: Duration, effects: &mut Vec<Effect>) {
    while let Some(request) = world.deadlines.pop_due(now) {
        let Some(open) = world.tables.requests.get(&request) else { continue };
        let attempt = open.attempt;
        let executed = match attempt.is_some() || open.may_have_run {
            true => Executed::Unknown,
            false => Executed::No,
        };
        world.cancel(attempt, effects);
        let reason = RefusalReason::Attempt(AttemptFailure::Deadline);
        let refusal = Refusal { reason, executed, retry_after: None };
        world.refuse(now, request, refusal, effects);
    }
}
