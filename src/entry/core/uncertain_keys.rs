//! Records the claim keys of requests that may have run.
//!
//! A caller takes a refusal as a statement about its idempotency key, not only about one call:
//! after "not executed" it may send the operation again under another key. So once this entry has
//! reported a key's outcome as unknown, it never reports "not executed" for that key, even if a
//! later call under it was not executed.

use std::collections::VecDeque;
use std::time::Duration;

use crate::collections::Map;
use crate::entry::core::events::{Executed, Refusal};
use crate::entry::core::tables::ClaimKey;

/// How long a key is kept; agents keep claims for at least as long by default.
const RETENTION: Duration = Duration::from_secs(86_400);
/// The maximum number of keys; the oldest is evicted first.
const MAX_KEYS: usize = 100_000;

/// The claim keys of operations that may have run, each with its expiry time.
#[derive(Debug, Default)]
pub struct UncertainKeys {
    expires_at: Map<ClaimKey, Duration>,
    order: VecDeque<(Duration, ClaimKey)>,
}

impl UncertainKeys {
    /// Returns the refusal with its outcome changed from not executed to unknown if an operation
    /// under the key may have run before. Records the key if the refusal says that it may have run.
    pub fn reconcile(&mut self, now: Duration, key: Option<ClaimKey>, refusal: Refusal) -> Refusal {
        let Some(key) = key else { return refusal };
        self.evict_expired(now);
        match refusal.executed {
            Executed::No if self.expires_at.contains_key(&key) => {
                Refusal { executed: Executed::Unknown, ..refusal }
            }
            Executed::No => refusal,
            Executed::Yes | Executed::Unknown => {
                self.insert(now, key);
                refusal
            }
        }
    }

    /// Removes a key whose caller has received the answer.
    pub fn remove(&mut self, key: ClaimKey) {
        self.expires_at.remove(&key);
    }

    /// Records a key whose operation may have run.
    pub fn insert(&mut self, now: Duration, key: ClaimKey) {
        let until = now + RETENTION;
        self.expires_at.insert(key, until);
        self.order.push_back((until, key));
        if self.order.len() > MAX_KEYS {
            self.evict_oldest();
        }
    }

    fn evict_expired(&mut self, now: Duration) {
        while self.order.front().is_some_and(|(until, _)| *until <= now) {
            self.evict_oldest();
        }
    }

    fn evict_oldest(&mut self) {
        let Some((until, key)) = self.order.pop_front() else { return };
        if self.expires_at.get(&key) == Some(&until) {
            self.expires_at.remove(&key);
        }
    }
}
