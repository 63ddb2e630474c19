//! The operator's configuration of the direct path, indexed for lookups.
//!
//! See docs/PLATFORM.md for how a configuration reaches an entry.

use std::time::Duration;

use crate::collections::{Map, Set};
use crate::direct::known::store::UnreadableValue;

/// How often a request of a route may run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Repeatability {
    /// Several runs have the effect of one, so the entry may send a request again after a failure.
    Idempotent,
    /// At most once for each attempt of the caller.
    AtMostOnce,
}

/// The form of a route's answers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AnswerForm {
    /// A single document.
    Document,
    /// A stream of server-sent events with increasing ids.
    Events,
}

/// The share of a route's requests that one service gets.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Share {
    /// The name of the service.
    pub service: String,
    /// The weight relative to the other shares of the route.
    pub weight: u32,
}

/// A rule that maps requests to services.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The name of the route in logs.
    pub name: String,
    /// The host name in requests, compared without regard to case.
    pub host: String,
    /// The prefix of the paths, with a slash at both ends.
    pub prefix: String,
    /// How often a request may run.
    pub repeatability: Repeatability,
    /// The form of the answers.
    pub form: AnswerForm,
    /// The upper limit of a request's timeout, counted from its arrival to the end of its answer.
    pub timeout: Duration,
    /// The time from arrival within which an answer, or its first event, is on time.
    pub objective: Duration,
    /// The longest pause between two events of an answer that is on time; `None` where there is no
    /// such objective.
    pub pause_objective: Option<Duration>,
    /// The priority of requests; 0 is the most urgent.
    pub priority: u8,
    /// The largest number of targets that one attempt of a caller may be sent to.
    pub max_targets: u32,
    /// True if requests need no API key.
    pub public: bool,
    /// The services that get the requests; at least one.
    pub shares: Vec<Share>,
}

impl Route {
    /// Returns the service for a request. `draw` is a uniform random number over all of `u32`.
    pub fn service(&self, draw: u32) -> &str {
        let total: u64 = self.shares.iter().map(|share| u64::from(share.weight)).sum();
        let mut point = (u64::from(draw) * total) >> u32::BITS;
        for share in &self.shares {
            let weight = u64::from(share.weight);
            if point < weight {
                return &share.service;
            }
            point -= weight;
        }
        self.shares.last().map_or("", |share| &share.service)
    }

    /// Returns true if a request may be sent again after an attempt that may have run.
    pub fn may_repeat(&self) -> bool {
        self.repeatability == Repeatability::Idempotent
    }
}

/// The properties that all model servers of a service share.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineShape {
    /// Requests that one server runs at once.
    pub slots: u32,
    /// Milliseconds of a step without requests.
    pub step_ms: f64,
    /// Milliseconds that each request that generates output adds to a step.
    pub per_request_ms: f64,
    /// Steps in a pass that generates output.
    pub stride: u32,
    /// Prompt tokens that a server processes in a second.
    pub prefill_tokens_per_second: f64,
    /// Sets of layers that share one choice of experts; 0 where the service has no experts.
    pub expert_sets: u32,
    /// Experts in each set.
    pub experts: u32,
    /// Expert copies that one rank holds in each set.
    pub expert_slots: u32,
    /// Experts of a set that a rank may load for one switch of the expert map.
    pub spare_slots: u32,
    /// The share of a token's work that experts do, from 0 to 1.
    pub expert_share: f64,
}

impl EngineShape {
    /// Returns the length of a pass that generates next to no output.
    pub fn empty_pass(&self) -> Duration {
        let seconds = self.step_ms * f64::from(self.stride) / 1_000.0;
        Duration::try_from_secs_f64(seconds).unwrap_or_default()
    }
}

/// How the targets of a service are after their start, or when they come back.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdStart {
    /// How long a target is cold after its start.
    pub time: Duration,
    /// Requests a second that a cold target bears, from all entries together; above 0.
    pub per_s: f64,
}

/// A set of targets that serve the same requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// The name that routes and targets refer to.
    pub name: String,
    /// Connections that one target accepts from all of its clients together.
    pub max_connections: u32,
    /// The properties of its model servers; `None` for plain services.
    pub engine: Option<EngineShape>,
    /// How its targets are while cold; `None` if they bear as much as others, the field that cannot be
    /// decoded if there is one.
    pub cold: Result<Option<ColdStart>, UnreadableValue>,
}

impl Service {
    /// Returns true if the targets are ranks of groups that place experts.
    pub fn has_experts(&self) -> bool {
        self.engine.as_ref().is_some_and(|engine| engine.expert_sets > 0)
    }
}

/// A holder of API keys.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Customer {
    /// The name that is sent to targets and logged.
    pub name: String,
    /// The customer's API keys.
    pub keys: Vec<String>,
    /// The priority of its requests, which overrides that of routes; `None` for no override.
    pub priority: Option<u8>,
}

/// The limits of what a caller may send.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RequestLimits {
    /// The largest body, in bytes.
    pub body_bytes: usize,
}

/// One version of the operator's configuration.
#[derive(Clone, Debug)]
pub struct Configuration {
    /// The version; a higher one replaces a lower one.
    pub version: u64,
    /// The limits of requests on all routes.
    pub limits: RequestLimits,
    /// True if requests need an API key, except on public routes.
    pub keys_required: bool,
    routes: Map<String, Vec<Route>>,
    /// The different priorities of the requests for each service, the most urgent first.
    ranks: Map<String, Vec<(u8, u8)>>,
    services: Map<String, Service>,
    customers: Vec<Customer>,
    keys: Map<String, usize>,
}

/// The decoded parts of a [`Configuration`].
#[derive(Clone, Debug)]
pub struct Parts {
    /// The operator's version number.
    pub version: u64,
    /// The limits of requests on all routes.
    pub limits: RequestLimits,
    /// All routes, in any order.
    pub routes: Vec<Route>,
    /// All services.
    pub services: Vec<Service>,
    /// All customers; `None` where requests need no API keys.
    pub customers: Option<Vec<Customer>>,
}

impl Configuration {
    /// Indexes the parts.
    pub fn new(parts: Parts) -> Self {
        let ranks = rank_services(&parts);
        let mut routes: Map<String, Vec<Route>> = Map::default();
        for route in parts.routes {
            routes.entry(route.host.to_ascii_lowercase()).or_default().push(route);
        }
        for list in routes.values_mut() {
            list.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let keys_required = parts.customers.is_some();
        let customers = parts.customers.unwrap_or_default();
        let keys = customers
            .iter()
            .enumerate()
            .flat_map(|(index, customer)| customer.keys.iter().map(move |key| (key.clone(), index)))
            .collect();
        let services =
            parts.services.into_iter().map(|service| (service.name.clone(), service)).collect();
        Self {
            version: parts.version,
            limits: parts.limits,
            keys_required,
            routes,
            ranks,
            services,
            customers,
            keys,
        }
    }

    /// Returns the route of a host with the longest prefix of the path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let routes = match self.routes.get(host) {
            Some(routes) => routes,
            None => self.routes.get(&host.to_ascii_lowercase())?,
        };
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// Returns the customer that holds an API key.
    pub fn customer(&self, key: &str) -> Option<&Customer> {
        self.keys.get(key).and_then(|index| self.customers.get(*index))
    }

    /// Returns true if the requests for a service differ in priority, so that one may go before
    /// another.
    pub fn is_ranked(&self, service: &str) -> bool {
        self.ranks.get(service).is_some_and(|ranks| ranks.len() > 1)
    }

    /// Returns how urgent a request for a service is: the number of different priorities that go
    /// before its own. The customer's priority goes before the route's.
    pub fn urgency(&self, service: &str, route: &Route, customer: Option<&Customer>) -> u8 {
        let own = priorities(route, customer.and_then(|customer| customer.priority));
        let ranks = self.ranks.get(service).map_or(&[][..], Vec::as_slice);
        u8::try_from(ranks.partition_point(|rank| *rank < own)).unwrap_or(u8::MAX)
    }

    /// Returns a service by its name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }

    /// Returns all services.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.services.values()
    }

    /// Returns the number of routes.
    pub fn route_count(&self) -> usize {
        self.routes.values().map(Vec::len).sum()
    }
}

/// The priorities that decide about a request, in this order: that of its customer, if it has one,
/// or else of its route, and that of its route among equals.
fn priorities(route: &Route, of_customer: Option<u8>) -> (u8, u8) {
    (of_customer.unwrap_or(route.priority), route.priority)
}

/// Returns the different priorities of the requests for each service, the most urgent first.
fn rank_services(parts: &Parts) -> Map<String, Vec<(u8, u8)>> {
    let customers = parts.customers.iter().flatten();
    let of_customers: Set<Option<u8>> = customers.map(|customer| customer.priority).collect();
    let mut ranks: Map<String, Vec<(u8, u8)>> = Map::default();
    for route in &parts.routes {
        let no_key_needed = route.public || parts.customers.is_none();
        let of_callers = of_customers.iter().copied().filter(|_| !no_key_needed);
        let possible = of_callers.chain(no_key_needed.then_some(None));
        let possible: Vec<(u8, u8)> = possible.map(|own| priorities(route, own)).collect();
        for share in &route.shares {
            ranks.entry(share.service.clone()).or_default().extend(&possible);
        }
    }
    for ranks in ranks.values_mut() {
        ranks.sort_unstable();
        ranks.dedup();
    }
    ranks
}
