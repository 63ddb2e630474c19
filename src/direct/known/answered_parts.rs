//! Counts how often targets answered requests with a part in their prompts.
//!
//! Load pattern: a part that crashes targets shares each lost request with popular parts, which are
//! in every crash too. A group of targets that stops at each crash of a member gives few answers in
//! between to clear them, but popular parts have been answered before.

use std::time::Duration;

use crate::collections::Map;

/// Crashes in sequence after which a part is refused that was never answered.
pub const MIN_CRASH_LIMIT: u32 = 3;

/// Crashes in sequence after which any part is refused. A part that was answered often can still
/// begin to crash targets, for example those of a new release.
pub const MAX_CRASH_LIMIT: u32 = 12;

/// Answers after which an entry knows popular parts, which nearly all answers show.
const INFORMED_ANSWERS: u32 = 3;

/// Time after the start of the process from which few answers mean that there are few requests.
const INFORMED_AGE: Duration = Duration::from_secs(10);

/// Limit of the parts on record.
const MAX_PARTS: usize = 1_024;

#[derive(Clone, Copy, Debug)]
struct Answers {
    count: u32,
    /// When the last one was complete, on the entry's clock.
    last: Duration,
}

/// The parts that targets have answered.
#[derive(Debug, Default)]
pub struct AnsweredParts {
    answers: Map<u64, Answers>,
    /// All answers since the start of the process.
    total: u32,
}

impl AnsweredParts {
    /// Counts an answer to any request.
    pub fn record_request(&mut self) {
        self.total = self.total.saturating_add(1);
    }

    /// Returns true if the entry can tell popular parts from one at fault. Just after its start it
    /// has seen no answers to either.
    pub fn is_informed(&self, now: Duration) -> bool {
        self.total >= INFORMED_ANSWERS || now >= INFORMED_AGE
    }

    /// Counts an answer to a request with this part.
    pub fn record(&mut self, part: u64, now: Duration) {
        if !self.answers.contains_key(&part) && self.answers.len() >= MAX_PARTS {
            let oldest = self.answers.iter().min_by_key(|(_, answers)| answers.last);
            if let Some(oldest) = oldest.map(|(part, _)| *part) {
                self.answers.remove(&oldest);
            }
        }
        let answers = self.answers.entry(part).or_insert(Answers { count: 0, last: now });
        answers.count = answers.count.saturating_add(1);
        answers.last = now;
    }

    /// Returns the crashes in sequence after which a part is refused: the more often it was
    /// answered, the more of them.
    pub fn crash_limit(&self, part: u64) -> u32 {
        let count = self.answers.get(&part).map_or(0, |answers| answers.count);
        MIN_CRASH_LIMIT.saturating_add(count).min(MAX_CRASH_LIMIT)
    }

    /// Drops the parts without an answer for `ttl`.
    pub fn expire(&mut self, ttl: Duration, now: Duration) {
        self.answers.retain(|_, answers| now.saturating_sub(answers.last) <= ttl);
    }
}
