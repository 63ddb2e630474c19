//! The operator's configuration of the direct path, and the lookups that it answers.
//!
//! See docs/PLATFORM.md for how a configuration reaches an entry.

use std::time::Duration;

use crate::collections::Map;

/// Repeatability says how often a request of a route may run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Repeatability {
    /// Any number of runs has the effect of one.
    Idempotent,
    /// At most one run for each attempt of the caller.
    AtMostOnce,
}

/// AnswerForm is the form of a route's answers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AnswerForm {
    /// One document.
    Document,
    /// A series of events with increasing ids.
    Events,
}

/// Share is the part of a route's requests that one service takes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Share {
    /// The service.
    pub service: String,
    /// The weight against the other shares of the route.
    pub weight: u32,
}

/// Route is one rule that maps requests to a service.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The name that logs and metrics give.
    pub name: String,
    /// The host that callers name.
    pub host: String,
    /// The beginning of the paths, with a slash at both ends.
    pub prefix: String,
    /// How often a request may run.
    pub repeatability: Repeatability,
    /// The form of the answers.
    pub form: AnswerForm,
    /// The longest time that a caller is kept waiting for the end of an answer.
    pub timeout: Duration,
    /// The time within which an answer, or its first event, has its full worth.
    pub objective: Duration,
    /// The longest pause between two events of an answer that is still on time.
    pub pause_objective: Option<Duration>,
    /// The rank; 0 is the most urgent.
    pub priority: u8,
    /// The largest number of targets that one caller attempt may be sent to.
    pub max_targets: u32,
    /// True where no key is needed.
    pub public: bool,
    /// The services, with at least one share.
    pub shares: Vec<Share>,
}

impl Route {
    /// Returns the service for a request, by a number drawn evenly from all of `u32`.
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

    /// Tells whether a request may run again after a run that may have begun.
    pub fn may_repeat(&self) -> bool {
        self.repeatability == Repeatability::Idempotent
    }
}

/// EngineShape is what a service's model servers have in common.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineShape {
    /// Requests that one server runs at once.
    pub slots: u32,
    /// Milliseconds of a step by itself.
    pub step_ms: f64,
    /// Milliseconds that each writing request adds to a step.
    pub per_request_ms: f64,
    /// Steps of a pass that has writers.
    pub stride: u32,
    /// Prompt tokens read in a second.
    pub prefill_tokens_per_second: f64,
    /// Sets of expert layers; none where the service has no experts.
    pub expert_sets: u32,
    /// Experts in each set.
    pub experts: u32,
    /// Expert copies that one rank holds in each set.
    pub expert_slots: u32,
    /// Experts of a set that a rank may newly copy for one map.
    pub spare_slots: u32,
    /// The part of a token's work that experts do, from 0 to 1.
    pub expert_share: f64,
}

impl EngineShape {
    /// Returns the length of a pass that has next to nothing to write.
    pub fn empty_pass(&self) -> Duration {
        let seconds = self.step_ms * f64::from(self.stride) / 1_000.0;
        Duration::try_from_secs_f64(seconds).unwrap_or_default()
    }
}

/// Service is a set of targets that run the same work.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// The name.
    pub name: String,
    /// Connections that one target accepts from all callers together.
    pub max_connections: u32,
    /// The shape of its model servers; none for plain services.
    pub engine: Option<EngineShape>,
}

/// Customer is one holder of keys.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Customer {
    /// The name that targets are shown.
    pub name: String,
    /// The keys.
    pub keys: Vec<String>,
    /// The rank that goes before that of routes.
    pub priority: Option<u8>,
}

/// RequestLimits bounds what a caller may send.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RequestLimits {
    /// Bytes of a body.
    pub body_bytes: usize,
}

/// Configuration is one version of what the operator declares.
#[derive(Clone, Debug)]
pub struct Configuration {
    /// The version; a higher one replaces a lower one.
    pub version: u64,
    /// Bounds of requests.
    pub limits: RequestLimits,
    /// True where requests need a key unless their route is public.
    pub keys_required: bool,
    routes: Map<String, Vec<Route>>,
    services: Map<String, Service>,
    customers: Vec<Customer>,
    keys: Map<String, usize>,
}

/// Parts is what a [`Configuration`] is made of.
#[derive(Clone, Debug)]
pub struct Parts {
    /// The version.
    pub version: u64,
    /// Bounds of requests.
    pub limits: RequestLimits,
    /// All routes, in any order.
    pub routes: Vec<Route>,
    /// All services.
    pub services: Vec<Service>,
    /// All customers; none where requests carry no keys.
    pub customers: Option<Vec<Customer>>,
}

impl Configuration {
    /// Indexes the parts.
    pub fn new(parts: Parts) -> Self {
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
            services,
            customers,
            keys,
        }
    }

    /// Returns the route with the longest prefix that begins the path, at a host.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let routes = match self.routes.get(host) {
            Some(routes) => routes,
            None => self.routes.get(&host.to_ascii_lowercase())?,
        };
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// Returns the customer that holds a key.
    pub fn customer(&self, key: &str) -> Option<&Customer> {
        self.keys.get(key).and_then(|index| self.customers.get(*index))
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
