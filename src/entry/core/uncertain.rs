//! Remembers the idempotency keys of requests that may have run.
//!
//! A caller reads a refusal as the word on its key, not on one call: told "not run", it may send
//! the operation again under another key. So a key that was once told "unknown" is never told
//! "not run" afterwards by this entry, whatever becomes of the later calls.

use std::collections::VecDeque;
use std::time::Duration;

use crate::collections::Map;
use crate::entry::core::events::{Executed, Refusal};
use crate::entry::core::tables::ClaimKey;

/// How long a key is remembered; agents forget claims no sooner by default.
const MEMORY: Duration = Duration::from_secs(86_400);
/// Keys that are remembered at once; the oldest goes first.
const MAX_KEYS: usize = 100_000;

/// Uncertain is the table of keys whose operation may have run.
#[derive(Debug, Default)]
pub struct Uncertain {
    until: Map<ClaimKey, Duration>,
    order: VecDeque<(Duration, ClaimKey)>,
}

impl Uncertain {
    /// Returns what to tell the caller in place of a refusal, and remembers what it says.
    pub fn judge(&mut self, now: Duration, key: Option<ClaimKey>, refusal: Refusal) -> Refusal {
        let Some(key) = key else { return refusal };
        self.forget(now);
        match refusal.executed {
            Executed::No if self.until.contains_key(&key) => {
                Refusal { executed: Executed::Unknown, ..refusal }
            }
            Executed::No => refusal,
            Executed::Yes | Executed::Unknown => {
                self.remember(now, key);
                refusal
            }
        }
    }

    /// Forgets a key whose caller has the answer.
    pub fn settle(&mut self, key: ClaimKey) {
        self.until.remove(&key);
    }

    /// Remembers a key whose operation may have run.
    pub fn remember(&mut self, now: Duration, key: ClaimKey) {
        let until = now + MEMORY;
        self.until.insert(key, until);
        self.order.push_back((until, key));
        if self.order.len() > MAX_KEYS {
            self.drop_oldest();
        }
    }

    fn forget(&mut self, now: Duration) {
        while self.order.front().is_some_and(|(until, _)| *until <= now) {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        let Some((until, key)) = self.order.pop_front() else { return };
        if self.until.get(&key) == Some(&until) {
            self.until.remove(&key);
        }
    }
}
