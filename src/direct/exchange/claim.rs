//! The claim of a request on a place of a service whose requests differ in urgency.
//!
//! [`claims`](crate::direct::decisions::claims) decides the order and what is kept for others.

use std::fmt;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;

use crate::direct::decisions::claims::{Contention, Ticket};
use crate::direct::decisions::target_choice::Criteria;
use crate::direct::exchange::call::Call;
use crate::direct::state::entry::Entry;
use crate::telemetry::events::{self, LogEvent};

/// The shortest wait for a place that is logged.
const MIN_LOGGED_WAIT: Duration = Duration::from_millis(1);

/// A claim on a place, from the arrival of the request until it has a place or is refused.
pub struct Claim {
    entry: Rc<Entry>,
    service: String,
    ticket: Ticket,
    /// Woken when the claim is the first.
    turn: Rc<Notify>,
    /// The urgency by which it gets a place, which is greater than its own while such requests have got
    /// far fewer places than all.
    urgency: u8,
    /// What it found at the last try.
    contention: Contention,
}

impl Claim {
    /// Makes the claim of a request; `None` if it needs none. Where all requests are equally urgent
    /// there is nothing to decide, and a request that has had a place goes on with its answer.
    pub fn join(call: &Call) -> Option<Self> {
        if !call.ranked || !call.tried.is_empty() {
            return None;
        }
        let entry = Rc::clone(&call.entry);
        let now = entry.now();
        let turn = Rc::new(Notify::new());
        let (urgency, ticket) = {
            let mut places = entry.places.borrow_mut();
            places.record_asked(&call.service, call.urgency, now);
            let demand = places.demand(&call.service);
            let urgency =
                demand.map_or(call.urgency, |demand| demand.effective_urgency(call.urgency, now));
            (urgency, places.join(&call.service, urgency, Rc::clone(&turn)))
        };
        let service = call.service.clone();
        let contention = Contention::default();
        Some(Self { entry, service, ticket, turn, urgency, contention })
    }

    /// Returns the number of claims that get a place before this one.
    pub fn ahead(&self) -> usize {
        self.entry.places.borrow().ahead(&self.service, self.ticket)
    }

    /// Compares the demand with what the groups of the service carry.
    pub fn look(&mut self, call: &Call, criteria: &Criteria<'_>) -> Contention {
        self.contention = self.contention(call, criteria);
        self.contention
    }

    fn contention(&self, call: &Call, criteria: &Criteria<'_>) -> Contention {
        let entry = &self.entry;
        let now = entry.now();
        let targets = entry.targets.borrow();
        let groups = targets.group_loads(criteria, now);
        // Nothing has run lately in a group whose passes are not known: it may be closed.
        let running = || groups.iter().filter(|group| group.pass_time.is_some());
        let interval = entry.options.heartbeat_interval;
        let (places, peers) = (entry.places.borrow(), entry.peers.borrow());
        let more_urgent_per_s = |urgency: u8| {
            let own = places.demand(&self.service);
            let own = own.map_or(0.0, |demand| demand.more_urgent_per_s(urgency, now));
            own + peers.more_urgent_per_s(&self.service, urgency, interval, now)
        };
        let more_urgent = more_urgent_per_s(self.urgency);
        let as_urgent = more_urgent_per_s(self.urgency.saturating_add(1));
        let all = more_urgent_per_s(u8::MAX);
        let place_time =
            entry.with_service_load(&self.service, |load| load.mean_answer_time(call.route.form));
        let capacity = running().map(|group| group.capacity).sum();
        Contention {
            load: running().map(|group| f64::from(group.load)).sum(),
            capacity,
            more_urgent_per_s: more_urgent,
            as_urgent_per_s: as_urgent - more_urgent,
            less_urgent_per_s: all - as_urgent,
            place_time: place_time.unwrap_or_default(),
        }
    }

    /// Returns true if no place is expected to be free for the request within a time.
    pub fn is_hopeless(&self, within: Duration) -> bool {
        self.contention.place_after().is_none_or(|after| after > within)
    }

    /// Returns the time after which a place is expected to be free, as far as known.
    pub fn place_after(&self) -> Duration {
        self.contention.place_after().unwrap_or(self.contention.place_time)
    }

    /// Returns a random number from 0 to 1 by which the return of the caller is spread: the more
    /// urgent the request is among those that come, the smaller.
    pub fn return_draw(&self, call: &Call) -> f64 {
        let draw = self.entry.random_fraction();
        let places = self.entry.places.borrow();
        match places.demand(&self.service) {
            Some(demand) => demand.return_draw(call.urgency, draw),
            None => draw,
        }
    }

    /// Waits until the claim is the first, or may be.
    pub async fn turn(&self) {
        self.turn.notified().await;
    }

    /// Lets the first claim try to get a place.
    pub fn wake_first(&self) {
        self.entry.places.borrow().wake_first(&self.service);
    }

    /// Records that the request has got a place.
    pub fn record_served(&self, call: &Call) {
        let now = self.entry.now();
        self.entry.places.borrow_mut().record_served(&self.service, call.urgency, now);
        if call.waited >= MIN_LOGGED_WAIT {
            self.log(events::PLACE_GRANTED, call, format_args!(""));
        }
    }

    /// Logs that the request is refused.
    pub fn log_refused(&self, call: &Call, retry_after: Duration) {
        let retry_after_ms = retry_after.as_millis();
        self.log(events::PLACE_REFUSED, call, format_args!(" retry_after_ms={retry_after_ms}"));
    }

    fn log(&self, event: LogEvent, call: &Call, more: fmt::Arguments<'_>) {
        let Contention { load, capacity, more_urgent_per_s, place_time, .. } = self.contention;
        let expected_ms =
            self.contention.place_after().map_or("-".to_owned(), |at| at.as_millis().to_string());
        events::log(
            event,
            format_args!(
                "id={} service={} customer={} urgency={} served_as={} ahead={} waited_ms={} \
                 load={load:.0} capacity={capacity:.0} kept={:.0} more_urgent_per_s={:.1} \
                 place_time_ms={} place_after_ms={expected_ms}{more}",
                call.caller.log_id(),
                self.service,
                call.customer.as_deref().unwrap_or("-"),
                call.urgency,
                self.urgency,
                self.ahead(),
                call.waited.as_millis(),
                self.contention.kept() * capacity,
                more_urgent_per_s,
                place_time.as_millis(),
            ),
        );
    }
}

impl Drop for Claim {
    fn drop(&mut self) {
        let mut places = self.entry.places.borrow_mut();
        places.leave(&self.service, self.ticket);
        places.wake_first(&self.service);
    }
}
