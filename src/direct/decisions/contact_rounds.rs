//! When an entry looks for others in the store, and when it keeps a record there for them.
//!
//! Load pattern: the whole fleet starts within a fraction of a second, with the hosts that the
//! settings name as seeds, without them, or while the store is silent. While all seeds are heard
//! nobody needs the store; when one is not, the few store readers keep records. Without seeds each one
//! looks once after a random delay, so that the first of them are on record when the others look.

use std::time::Duration;

/// The least time from the start to the first look into the store. Heartbeats of seeds that start at
/// about the same time arrive earlier.
const FIRST_LOOK_AFTER: Duration = Duration::from_millis(500);

/// The time over which the first looks of entries that start together are spread.
const FIRST_LOOK_SPREAD: Duration = Duration::from_secs(1);

/// Mean time between two checks whether this entry hears others.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Time in which entries that were just found answer, if they are there.
const ANSWER_TIME: Duration = Duration::from_millis(300);

/// Time from the start in which an entry gets to know the others, so that it keeps no record though
/// it will not be a store reader.
const SETTLING_TIME: Duration = Duration::from_secs(3);

/// Mean time between two looks of a store reader that hears others.
const READER_INTERVAL: Duration = Duration::from_secs(10);

/// The time after which a record that its entry does not renew ends. It outlasts several renewals, and
/// an outage of the store in which leases go on.
pub const RECORD_LIFETIME: Duration = Duration::from_secs(60);

/// Whom an entry hears.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Heard {
    /// No other entry.
    Nobody,
    /// Others, but not all seeds, so that an entry that starts may find nobody by its seeds.
    Some,
    /// Others, and those on all seed hosts.
    AllSeeds,
}

/// What an entry does at a check.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Look {
    /// It leaves the store alone.
    None,
    /// It reads the records, all that the store has acknowledged, since it hears nobody.
    Alone,
    /// It reads the records as of some seconds ago, to find entries that the others do not hear.
    Reader,
}

/// What an entry does with its own record after a look.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Keep {
    /// Nothing: those that it has just found may answer.
    Nothing,
    /// It writes the record.
    Write,
    /// It renews the record.
    Renew,
}

/// The times at which one entry looks.
#[derive(Clone, Copy, Debug, Default)]
pub struct ContactRounds {
    reader_due: Option<Duration>,
}

impl ContactRounds {
    /// Returns the time from the start to the first check. `draw` is random, from 0 to 1.
    pub fn first_pause(draw: f64) -> Duration {
        FIRST_LOOK_AFTER + FIRST_LOOK_SPREAD.mul_f64(draw)
    }

    /// Returns what to do at a check at `now`, a time since the start.
    pub fn look(&self, heard: Heard, is_reader: bool, now: Duration) -> Look {
        let is_due = now >= self.reader_due.unwrap_or(SETTLING_TIME);
        match heard {
            Heard::Nobody => Look::Alone,
            Heard::Some if is_reader && is_due => Look::Reader,
            Heard::Some | Heard::AllSeeds => Look::None,
        }
    }

    /// Records that a look of a reader has succeeded. `draw` is random, from 0 to 1.
    pub fn record_read(&mut self, now: Duration, draw: f64) {
        self.reader_due = Some(now + READER_INTERVAL.mul_f64(0.75 + 0.5 * draw));
    }

    /// Returns what to do with the own record after a look that found `new` addresses. `on_record` is
    /// true if the store holds the record, under a lease that this process knows.
    pub fn keep(look: Look, new: usize, on_record: bool) -> Keep {
        match (look, on_record) {
            (Look::None, _) => Keep::Nothing,
            (Look::Alone, _) if new > 0 => Keep::Nothing,
            (_, true) => Keep::Renew,
            (_, false) => Keep::Write,
        }
    }

    /// Returns the time to the next check after a look that found `new` addresses. `draw` is random,
    /// from 0 to 1.
    pub fn pause(look: Look, new: usize, draw: f64) -> Duration {
        match look {
            Look::Alone if new > 0 => ANSWER_TIME,
            _ => CHECK_INTERVAL.mul_f64(0.75 + 0.5 * draw),
        }
    }
}
