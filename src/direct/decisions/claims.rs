//! Who gets the next place of a service: the order of those who wait, and the places that are kept
//! for more urgent requests.
//!
//! Load pattern: for seconds or minutes more requests come than the groups of a service carry, and
//! kinds of different urgency share them through many entries. Places are given to the most urgent
//! first, and among equals to who has waited longest. A place that a less urgent request takes is not
//! available to the more urgent ones that come while it runs, and no request is broken off for
//! another. So the last places are reserved, as many as the more urgent ones are expected to need
//! (trunk reservation).

use std::collections::BTreeMap;
use std::time::Duration;

use crate::direct::decisions::target_choice;

/// The risk that a more urgent request finds no place though places are kept for it.
const RESERVE_RISK: f64 = 0.02;

/// Standard deviations that a normally distributed number exceeds with that risk.
const RESERVE_DEVIATIONS: f64 = 2.05;

/// How old the loads are by which entries let requests in.
const LOAD_AGE: Duration = Duration::from_millis(300);

/// The position of a request in a [`WaitQueue`].
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Ticket {
    urgency: u8,
    number: u64,
}

/// The requests of an entry that wait for a place of one service, each with what wakes it.
#[derive(Clone, Debug)]
pub struct WaitQueue<W> {
    waiting: BTreeMap<Ticket, W>,
    next_number: u64,
}

impl<W> Default for WaitQueue<W> {
    fn default() -> Self {
        Self { waiting: BTreeMap::new(), next_number: 0 }
    }
}

impl<W> WaitQueue<W> {
    /// Adds a request behind those of equal or greater urgency; 0 is the most urgent.
    pub fn join(&mut self, urgency: u8, waker: W) -> Ticket {
        let ticket = Ticket { urgency, number: self.next_number };
        self.next_number += 1;
        self.waiting.insert(ticket, waker);
        ticket
    }

    /// Removes a request that got a place or gave up.
    pub fn leave(&mut self, ticket: Ticket) {
        self.waiting.remove(&ticket);
    }

    /// Returns what wakes the request that gets the next place.
    pub fn first(&self) -> Option<&W> {
        self.waiting.first_key_value().map(|(_, waker)| waker)
    }

    /// Returns the number of requests that get a place before this one.
    pub fn ahead(&self, ticket: Ticket) -> usize {
        self.waiting.range(..ticket).count()
    }

    /// Returns true if no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}

/// What a request of a certain urgency finds at the groups of its service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Contention {
    /// Requests of all entries in flight in the groups.
    pub load: f64,
    /// Requests with which the groups answer on time.
    pub capacity: f64,
    /// More urgent requests a second that come to all entries.
    pub more_urgent_per_s: f64,
    /// Requests a second that are as urgent, and come to all entries.
    pub as_urgent_per_s: f64,
    /// Less urgent requests a second that come to all entries.
    pub less_urgent_per_s: f64,
    /// The mean time for which a request occupies its place.
    pub place_time: Duration,
}

impl Contention {
    /// Returns the requests a second that end while all places are taken.
    fn ended_per_s(&self) -> f64 {
        match self.place_time.is_zero() {
            true => 0.0,
            false => self.capacity / self.place_time.as_secs_f64(),
        }
    }

    /// Returns the share of the capacity that is kept for more urgent requests, from 0 to 1.
    ///
    /// While a request occupies its place, more urgent ones come and others end. Where fewer come
    /// than end, places are kept for the longest run of arrivals that chance brings; where more
    /// come, also for those by which they exceed the ends.
    pub fn kept(&self) -> f64 {
        let ended_per_s = self.ended_per_s();
        if self.more_urgent_per_s <= 0.0 || ended_per_s <= 0.0 {
            return 0.0;
        }
        let seconds = self.place_time.as_secs_f64();
        let variance_per_s = self.more_urgent_per_s + ended_per_s;
        let excess_per_s = self.more_urgent_per_s - ended_per_s;
        let by_chance = RESERVE_DEVIATIONS * (variance_per_s * seconds).sqrt();
        let places = match excess_per_s < 0.0 {
            true => {
                let longest_run = variance_per_s / (-2.0 * excess_per_s) * -RESERVE_RISK.ln();
                longest_run.min(by_chance)
            }
            false => excess_per_s * seconds + by_chance,
        };
        (places / self.capacity).clamp(0.0, 1.0)
    }

    /// Returns the share of the capacity into which fewer such requests are let the fuller it is.
    ///
    /// All entries see the same last places, a little late. The requests that are at least as urgent
    /// overfill them only by as many as come, by chance or in the mean, beyond those that end
    /// meanwhile. The less urgent ones leave these places to them.
    pub fn last_places(&self) -> f64 {
        let ended_per_s = self.ended_per_s();
        if ended_per_s <= 0.0 || self.less_urgent_per_s <= 0.0 {
            return target_choice::LAST_PLACES;
        }
        let seconds = LOAD_AGE.as_secs_f64();
        let coming_per_s = self.more_urgent_per_s + self.as_urgent_per_s;
        let by_chance = RESERVE_DEVIATIONS * ((coming_per_s + ended_per_s) * seconds).sqrt();
        let places = (coming_per_s - ended_per_s) * seconds + by_chance;
        (places / self.capacity).clamp(0.0, target_choice::LAST_PLACES)
    }

    /// Returns the time after which the request is expected to find a place beside those that are
    /// kept; `None` if that does not happen while as many more urgent ones come.
    pub fn place_after(&self) -> Option<Duration> {
        let excess = self.load - self.capacity * (1.0 - self.kept());
        if excess <= 0.0 {
            return Some(Duration::ZERO);
        }
        let freed_per_s = self.ended_per_s() - self.more_urgent_per_s;
        match freed_per_s > 0.0 {
            true => Duration::try_from_secs_f64(excess / freed_per_s).ok(),
            false => None,
        }
    }
}
