//! The places of services whose requests differ in urgency: who waits for one, and how many ask.

use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;

use crate::collections::Map;
use crate::direct::decisions::claims::{Ticket, WaitQueue};
use crate::direct::decisions::demand::Demand;
use crate::direct::known::configuration::Configuration;
use crate::direct::known::heartbeat::{self, KindRate};

/// Reports in one heartbeat; the limit keeps it within one packet.
const MAX_REPORTS: usize = 16;

/// Those who wait for places and the demand, by service.
#[derive(Debug, Default)]
pub struct Places {
    services: Map<String, ServicePlaces>,
}

#[derive(Debug, Default)]
struct ServicePlaces {
    queue: WaitQueue<Rc<Notify>>,
    demand: Demand,
}

impl Places {
    /// Records that a request for a service came.
    pub fn record_asked(&mut self, service: &str, urgency: u8, now: Duration) {
        let places = self.services.entry(service.to_owned()).or_default();
        places.demand.record_asked(urgency, now);
    }

    /// Records that a request for a service got a place.
    pub fn record_served(&mut self, service: &str, urgency: u8, now: Duration) {
        if let Some(places) = self.services.get_mut(service) {
            places.demand.record_served(urgency, now);
        }
    }

    /// Returns the demand for a service as this entry has seen it, if requests for it have come.
    pub fn demand(&self, service: &str) -> Option<&Demand> {
        self.services.get(service).map(|places| &places.demand)
    }

    /// Puts a request behind those that wait for a place of the service and are at least as urgent.
    pub fn join(&mut self, service: &str, urgency: u8, turn: Rc<Notify>) -> Ticket {
        self.services.entry(service.to_owned()).or_default().queue.join(urgency, turn)
    }

    /// Removes a request that got a place or gave up.
    pub fn leave(&mut self, service: &str, ticket: Ticket) {
        if let Some(places) = self.services.get_mut(service) {
            places.queue.leave(ticket);
        }
    }

    /// Returns the number of requests that get a place before this one.
    pub fn ahead(&self, service: &str, ticket: Ticket) -> usize {
        self.services.get(service).map_or(0, |places| places.queue.ahead(ticket))
    }

    /// Wakes the request that gets the next place of a service.
    pub fn wake_first(&self, service: &str) {
        if let Some(turn) = self.services.get(service).and_then(|places| places.queue.first()) {
            turn.notify_one();
        }
    }

    /// Returns the demand as heartbeats report it.
    pub fn report(&self, now: Duration) -> Vec<KindRate> {
        let kinds = self.services.iter().flat_map(|(service, places)| {
            let service = heartbeat::service_hash(service);
            let rates = places.demand.rates(now);
            rates.map(move |(urgency, per_s)| KindRate {
                service,
                urgency: u32::from(urgency),
                per_10s: rounded(per_s * 10.0),
            })
        });
        kinds.filter(|kind| kind.per_10s > 0).take(MAX_REPORTS).collect()
    }

    /// Forgets the services whose requests do not differ in urgency any more.
    pub fn retain_ranked(&mut self, configuration: &Configuration) {
        self.services
            .retain(|service, places| !places.queue.is_empty() || configuration.is_ranked(service));
    }
}

/// Rounds a rate for a report.
fn rounded(rate: f64) -> u32 {
    #[allow(clippy::as_conversions, reason = "a rate is not negative and far below the bound")]
    let rounded = rate.round() as u32;
    rounded
}
