//! How many requests of each urgency have come lately, and how many of them got a place.
//!
//! Load pattern: a shortage in which the more urgent requests alone would take all places. A kind
//! that gets far fewer places than all kinds on average is preferred until it has caught up, so that
//! none is shut out.

use std::collections::BTreeMap;
use std::time::Duration;

/// The time over which the rate of arrivals is averaged. Waves of requests rise within seconds.
const RATE_TIME: Duration = Duration::from_secs(1);

/// The time over which the share of served requests is averaged.
const SERVED_TIME: Duration = Duration::from_secs(10);

/// The share of what all kinds get on average below which a kind goes before all others. Callers are
/// owed a quarter; the rest covers that entries count for themselves.
const STARVED_SHARE: f64 = 0.3;

/// The share of what all kinds get on average below which a kind is taken for the next more urgent
/// one.
const NEGLECTED_SHARE: f64 = 0.35;

/// The urgency that no other one goes before.
const MOST_URGENT: u8 = 0;

/// Kinds that a heartbeat reports, the most urgent first; the limit keeps it within one packet.
const MAX_REPORTED: usize = 8;

/// A sum in which older events count less.
#[derive(Clone, Copy, Debug, Default)]
struct FadingSum {
    sum: f64,
    at: Duration,
}

impl FadingSum {
    fn at(&self, now: Duration, time: Duration) -> f64 {
        let age = now.saturating_sub(self.at).as_secs_f64();
        self.sum * (-age / time.as_secs_f64()).exp()
    }

    fn add(&mut self, now: Duration, time: Duration) {
        *self = Self { sum: self.at(now, time) + 1.0, at: now };
    }
}

/// The recent requests of one urgency.
#[derive(Clone, Copy, Debug, Default)]
struct Kind {
    recent: FadingSum,
    asked: FadingSum,
    served: FadingSum,
}

/// The recent requests for one service by urgency, as one entry has seen them.
#[derive(Clone, Debug, Default)]
pub struct Demand {
    kinds: BTreeMap<u8, Kind>,
}

impl Demand {
    /// Records that a request came.
    pub fn record_asked(&mut self, urgency: u8, now: Duration) {
        let kind = self.kinds.entry(urgency).or_default();
        kind.recent.add(now, RATE_TIME);
        kind.asked.add(now, SERVED_TIME);
    }

    /// Records that a request got a place.
    pub fn record_served(&mut self, urgency: u8, now: Duration) {
        self.kinds.entry(urgency).or_default().served.add(now, SERVED_TIME);
    }

    /// Returns the requests a second by urgency, for a report to other entries.
    pub fn rates(&self, now: Duration) -> impl Iterator<Item = (u8, f64)> {
        let seconds = RATE_TIME.as_secs_f64();
        let rates = self.kinds.iter().take(MAX_REPORTED);
        rates.map(move |(urgency, kind)| (*urgency, kind.recent.at(now, RATE_TIME) / seconds))
    }

    /// Returns the requests a second that are more urgent than `urgency`.
    pub fn more_urgent_per_s(&self, urgency: u8, now: Duration) -> f64 {
        self.rates(now).filter(|(other, _)| *other < urgency).map(|(_, per_s)| per_s).sum()
    }

    /// Divides the range of a uniform random number from 0 to 1 among the kinds in their order, and
    /// returns the number within the part of one kind.
    pub fn return_draw(&self, urgency: u8, draw: f64) -> f64 {
        let count = |kinds: usize| f64::from(u32::try_from(kinds).unwrap_or(u32::MAX));
        let before = count(self.kinds.range(..urgency).count());
        (before + draw) / count(self.kinds.len()).max(before + 1.0)
    }

    /// Returns the urgency by which a request of this urgency gets a place now: its own, or a greater
    /// one while such requests have got far fewer places than all on average.
    pub fn effective_urgency(&self, urgency: u8, now: Duration) -> u8 {
        let Some(kind) = self.kinds.get(&urgency) else { return urgency };
        let sum = |part: fn(&Kind) -> FadingSum| -> f64 {
            self.kinds.values().map(|kind| part(kind).at(now, SERVED_TIME)).sum()
        };
        let (all_asked, all_served) = (sum(|kind| kind.asked), sum(|kind| kind.served));
        let asked = kind.asked.at(now, SERVED_TIME);
        let served = kind.served.at(now, SERVED_TIME);
        let is_below = |share: f64| served * all_asked < share * all_served * asked;
        if is_below(STARVED_SHARE) {
            return MOST_URGENT;
        }
        match self.kinds.range(..urgency).next_back() {
            Some((next, _)) if is_below(NEGLECTED_SHARE) => *next,
            _ => urgency,
        }
    }
}
