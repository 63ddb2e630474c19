//! How long a store reader waits for the store.
//!
//! Load pattern: the store, or the way to it, is silent for a moment. A watch call that was sent then
//! gets no answer, not even once the store is back, and until the reader gives it up it looks like a
//! watch without changes. All readers may have sent theirs at that moment, since a change ends all
//! their calls at once. So the times follow from the time within which a change is to be in force:
//! that of an unanswered watch, a new read and the way to the other entries fit into it.
//!
//! Calls cost something on calm days too. So one reader alone, the first, asks so often; the others
//! wait long for a change, and ask anew as soon as no entry tells of a recent confirmation.
//!
//! The store may turn some entries away and serve the others. If all readers are among the former,
//! nobody asks on behalf of those that it serves. Whoever replaces the readers one after the other
//! takes as many times as long as calls stay unanswered, so entries ask for themselves, all at once,
//! when the calls of the readers had time to be answered. In a large fleet a random part of them asks:
//! enough that some are served, and few enough that an outage of the store does not become a storm of
//! calls. See docs/PLATFORM.md.

use std::time::Duration;

/// Share of the time for changes that a watch call of the first reader waits for one, at least.
const WATCH_SHARE: f64 = 0.45;

/// Share that is added at random, so that the calls for several collections end at different times.
const WATCH_SPREAD: f64 = 0.1;

/// How many times the time for changes a watch call of another reader waits.
const LONG_WATCH_FACTOR: u32 = 4;

/// Longest wait of a watch call, below what stores commonly allow.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(20);

/// Share within which the answer to a watch call is due once its wait has ended.
const ANSWER_SHARE: f64 = 0.2;

/// Share, beyond the age at which readers ask anew, after which the other entries ask as well.
const OWN_READ_SHARE: f64 = 0.05;

/// Share that lies between two times at which the same entry may ask for itself.
const ROUND_SHARE: f64 = 0.5;

/// Entries that ask for themselves at once, on average. If the store turns a third of the entries away,
/// whichever they are, the probability that it serves none of these is below one in a hundred million.
const OWN_READERS: f64 = 32.0;

/// How many times as long as its last answer the next one of a slow store may take.
const SLOW_FACTOR: u32 = 2;

/// Share that the pause between two failed calls does not exceed.
const MAX_PAUSE_SHARE: f64 = 0.5;

/// First pause after a failed call; each further failure in a row doubles it.
const FIRST_PAUSE: Duration = Duration::from_millis(100);

/// The times of one reader's calls.
#[derive(Clone, Copy, Debug)]
pub struct ReadTimes {
    in_force_time: Duration,
}

impl ReadTimes {
    /// Returns the times for changes that are to be in force within a time.
    pub fn new(in_force_time: Duration) -> Self {
        Self { in_force_time }
    }

    /// Returns how long a watch call of the first reader, or of another one, waits for changes. `draw`
    /// is a random number from 0 to 1.
    pub fn watch_wait(&self, is_first: bool, draw: f64) -> Duration {
        let wait = match is_first {
            true => self.in_force_time.mul_f64(WATCH_SHARE + WATCH_SPREAD * draw),
            false => self.in_force_time * LONG_WATCH_FACTOR,
        };
        wait.min(MAX_WATCH_WAIT)
    }

    /// Returns the age of the last confirmation, by any reader, at which a reader gives up its watch
    /// call and asks anew. `last` is the time that the last answer to this reader took.
    pub fn max_age(&self, last: Duration) -> Duration {
        self.watch_wait(true, 1.0) + self.answer_time(last)
    }

    /// Returns the age of the last confirmation at which an entry that is no reader asks for itself.
    /// `last` is the time that the store took for its last answer to the first reader.
    pub fn own_read_age(&self, last: Duration) -> Duration {
        self.max_age(last) + self.in_force_time.mul_f64(OWN_READ_SHARE)
    }

    /// Returns true if one of so many live entries, the local one included, is among those that ask for
    /// themselves in a round. `draw` is a random number from 0 to 1.
    pub fn asks_for_itself(&self, entries: u32, draw: f64) -> bool {
        draw * f64::from(entries) < OWN_READERS
    }

    /// Returns the time between two rounds in which entries ask for themselves.
    pub fn round(&self) -> Duration {
        self.in_force_time.mul_f64(ROUND_SHARE)
    }

    /// Returns the time after the end of its wait at which a watch call counts as unanswered. A store
    /// that is known to be slow is given longer; `last` is the time that its last answer took.
    pub fn answer_time(&self, last: Duration) -> Duration {
        let usual = self.in_force_time.mul_f64(ANSWER_SHARE);
        usual.max(last * SLOW_FACTOR).min(self.in_force_time)
    }

    /// Returns the pause after the last of so many failed calls in a row, which took the given time:
    /// a call that was waited for needs no pause besides. `draw` is a random number from 0 to 1.
    pub fn retry_pause(&self, failures: u32, call_took: Duration, draw: f64) -> Duration {
        let doubled = FIRST_PAUSE * 2_u32.pow(failures.saturating_sub(1).min(8));
        let pause = doubled.min(self.in_force_time.mul_f64(MAX_PAUSE_SHARE));
        pause.mul_f64(0.75 + 0.25 * draw).saturating_sub(call_took)
    }
}
