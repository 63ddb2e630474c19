//! What one entry holds while it serves callers directly: tables, pools, budgets and counters.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng as _;
use tokio::sync::Notify;

use crate::clock::Clock;
use crate::collections::Map;
use crate::direct::configuration::Configuration;
use crate::direct::facts::Facts;
use crate::direct::message::TargetProtocol;
use crate::direct::metrics::Metrics;
use crate::direct::peers::Peers;
use crate::direct::pool::Pool;
use crate::direct::targets::{Outcome, Targets};
use crate::direct::waiting::Pressure;
use crate::entry::core::retry::Budget;
use crate::telemetry::events;

/// The parts of the shared allowance that all entries together may save up, and may use evenly in
/// each window. What is saved may be overdrawn as much again, so that nine tenths may be used in
/// one window; the rest covers entries that do not hear of each other.
const SAVED_PART: f64 = 0.3;
const EVEN_PART: f64 = 0.3;

/// The part of the shared ratio that entries use.
const RATIO_PART: f64 = 0.8;

/// The time over which the allowance is counted, if the settings give none.
const WINDOW: Duration = Duration::from_secs(10);

/// Options is how an entry serves.
#[derive(Clone, Debug)]
pub struct Options {
    /// The entry's name.
    pub name: String,
    /// Its data centre.
    pub data_centre: String,
    /// Repeated sends for each request, over all entries.
    pub retry_ratio: f64,
    /// Repeated sends besides, in each window, over all entries.
    pub retry_allowance: f64,
    /// Requests in flight at a model server for each of its slots.
    pub engine_fill: f64,
    /// Requests in flight at a plain target for each of its slots.
    pub plain_fill: f64,
}

/// Entry is the state that the tasks of one process share.
pub struct Entry {
    /// The clock.
    pub clock: Clock,
    /// How it serves.
    pub options: Options,
    /// How it speaks with targets.
    pub protocol: TargetProtocol,
    /// What the store and the other entries say.
    pub facts: RefCell<Facts>,
    /// The targets.
    pub targets: RefCell<Targets>,
    /// The other entries.
    pub peers: RefCell<Peers>,
    /// Kept connections to targets.
    pub pool: Pool,
    /// The counters.
    pub metrics: Metrics,
    /// Requests in progress.
    pub in_progress: Cell<usize>,
    /// True once the process is told to stop.
    pub stopping: Cell<bool>,
    /// True once a stopping process takes no new requests.
    pub refusing: Cell<bool>,
    /// True while the store answers this entry.
    pub store_answers: Cell<bool>,
    /// Told when a place comes free or targets change.
    pub places: Notify,
    pressure: RefCell<Map<String, Pressure>>,
    budgets: RefCell<Map<String, (Budget, Duration)>>,
}

impl Entry {
    /// Returns the state of an entry that knows nothing yet.
    pub fn new(clock: Clock, options: Options, protocol: TargetProtocol, metrics: Metrics) -> Self {
        let targets = Targets::new(&options.data_centre);
        Self {
            pool: Pool::new(clock.clone()),
            clock,
            protocol,
            facts: RefCell::default(),
            targets: RefCell::new(targets),
            peers: RefCell::default(),
            metrics,
            in_progress: Cell::new(0),
            stopping: Cell::new(false),
            refusing: Cell::new(false),
            store_answers: Cell::new(false),
            places: Notify::new(),
            pressure: RefCell::default(),
            budgets: RefCell::default(),
            options,
        }
    }

    /// Returns the time since the process started.
    pub fn now(&self) -> Duration {
        self.clock.monotonic()
    }

    /// Returns the configuration in force here.
    pub fn configuration(&self) -> Option<Arc<Configuration>> {
        self.facts.borrow().configuration().cloned()
    }

    /// Tells whether the entry serves callers.
    pub fn is_ready(&self) -> bool {
        let facts = self.facts.borrow();
        !self.stopping.get() && facts.configuration().is_some() && facts.knows_targets()
    }

    /// Notes that a request was sent for the first time.
    pub fn earn_retry(&self, service: &str) {
        self.with_budget(service, Budget::earn);
    }

    /// Takes one repeated send from the service's budget, if one is left. What keeps an answer
    /// whole of which the caller has a part may overdraw it.
    pub fn spend_retry(&self, service: &str, may_overdraw: bool) -> bool {
        self.with_budget(service, |budget| budget.spend(may_overdraw))
    }

    /// Tells whether a repeated send is left in the service's budget.
    pub fn may_retry(&self, service: &str) -> bool {
        self.with_budget(service, |budget| budget.has_retry_left())
    }

    fn with_budget<T>(&self, service: &str, use_budget: impl FnOnce(&mut Budget) -> T) -> T {
        let share = self.options.retry_allowance / f64::from(self.peers.borrow().most_entries());
        let now = self.now();
        let mut budgets = self.budgets.borrow_mut();
        // A process that has just started may follow one that has used the budget up.
        let (budget, since) = budgets.entry(service.to_owned()).or_insert_with(|| {
            (Budget::empty(self.options.retry_ratio * RATIO_PART, share * SAVED_PART), now)
        });
        let elapsed = now.saturating_sub(*since);
        *since = now;
        budget.set_burst(share * SAVED_PART);
        budget.add(share * EVEN_PART * elapsed.as_secs_f64() / WINDOW.as_secs_f64());
        use_budget(budget)
    }

    /// Uses the service's pressure.
    pub fn with_pressure<T>(&self, service: &str, use_it: impl FnOnce(&mut Pressure) -> T) -> T {
        let mut pressure = self.pressure.borrow_mut();
        use_it(pressure.entry(service.to_owned()).or_default())
    }

    /// Returns a number drawn evenly from 0 to 1.
    pub fn draw(&self) -> f64 {
        rand::rng().random()
    }

    /// Takes in what an attempt says of its target.
    pub fn learn(&self, target: &str, outcome: Outcome) {
        let now = self.now();
        if let Some(pause) = self.targets.borrow_mut().learn(target, outcome, now) {
            let pause_ms = pause.as_millis();
            events::log(
                events::TARGET_EJECTED,
                format_args!("target={target} pause_ms={pause_ms} cause={outcome:?}"),
            );
        }
    }
}

/// Place is one request's place at a target; it comes free when this is dropped.
pub struct Place {
    entry: Rc<Entry>,
    target: String,
}

impl Place {
    /// Takes a place.
    pub fn take(entry: &Rc<Entry>, target: &str) -> Self {
        entry.targets.borrow_mut().began(target);
        Self { entry: Rc::clone(entry), target: target.to_owned() }
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.entry.targets.borrow_mut().ended(&self.target);
        self.entry.places.notify_one();
    }
}
