//! The state of an entry on the direct path: cluster state, targets, peers, connections, retry
//! budgets and metrics.

use std::cell::{Cell, RefCell};
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::{LocalBoxFuture, Shared};
use rand::Rng as _;
use tokio::sync::Notify;

use crate::clock::Clock;
use crate::collections::Map;
use crate::direct::connections::backlog::Backlog;
use crate::direct::connections::buffers::Limits;
use crate::direct::connections::pool::Pool;
use crate::direct::decisions::admission::ServiceLoad;
use crate::direct::decisions::stopping::Stopping;
use crate::direct::decisions::targets::Targets;
use crate::direct::decisions::warmth::Tolerance;
use crate::direct::known::cluster_state::ClusterState;
use crate::direct::known::configuration::Configuration;
use crate::direct::known::confirmation::Confirmations;
use crate::direct::known::crash_memory::{Attempt, CrashMemory, SubjectCrash};
use crate::direct::known::crash_record::CrashReport;
use crate::direct::known::peers::Peers;
use crate::direct::known::permit::RateReport;
use crate::direct::known::store::Position;
use crate::direct::known::store_calls::StoreCalls;
use crate::direct::known::store_outages::StoreOutages;
use crate::direct::known::target::{Outcome, Target};
use crate::direct::message::TargetProtocol;
use crate::direct::state::log_lines;
use crate::direct::state::metrics::Metrics;
use crate::direct::state::permit_calls::Permits;
use crate::direct::state::places::Places;
use crate::entry::core::retry::Budget;
use crate::telemetry::events;

/// Share of the fleet's retry allowance that all entries together may save up. The savings may be
/// overdrawn by as much again. With [`REFILL_SHARE`] that makes nine tenths of the allowance in one
/// window; the rest covers entries that do not receive each other's heartbeats.
const BURST_SHARE: f64 = 0.3;

/// Share of the fleet's retry allowance that is added to the budgets evenly over each window.
const REFILL_SHARE: f64 = 0.3;

/// Share of the configured retry ratio that entries use; the rest is a reserve.
const RATIO_SHARE: f64 = 0.8;

/// Retries that an entry may save up from the share of its own requests while it does not know how
/// many entries share the allowance.
const UNKNOWN_FLEET_BURST: f64 = 1.0;

/// The window to which the retry allowance applies; the settings do not change it.
const ALLOWANCE_WINDOW: Duration = Duration::from_secs(10);

/// A probe in progress; all requests that lost their connection to the target wait for one probe.
pub type Probe = Shared<LocalBoxFuture<'static, ()>>;

/// The options of an entry, from its settings.
#[derive(Clone, Debug)]
pub struct Options {
    /// The entry's name, unique in the fleet.
    pub name: String,
    /// The data centre that it runs in.
    pub data_centre: String,
    /// Retries allowed for each request, over all entries together.
    pub retry_ratio: f64,
    /// Retries allowed in addition in each window of ten seconds, over all entries together.
    pub retry_allowance: f64,
    /// Limit of requests in flight at a model server, for each of its slots.
    pub engine_fill: f64,
    /// Limit of requests in flight at a plain target, for each of its slots.
    pub plain_fill: f64,
    /// The time for which a request is refused after targets crashed under it.
    pub crash_refusal: Duration,
    /// The time between two heartbeats of entries.
    pub heartbeat_interval: Duration,
    /// The time within which a change in the store is in force at all entries.
    pub in_force_time: Duration,
    /// The time between two renewals of a target's record in the store.
    pub target_renewal_interval: Duration,
    /// True where the operator may empty data centres.
    pub empties_data_centres: bool,
    /// How much more cold targets tolerate than their rate; `None` where they are not limited.
    pub cold_tolerance: Option<Tolerance>,
}

/// The state that the tasks of one entry process share.
pub struct Entry {
    /// The clock of all times on the entry, system or simulated.
    pub clock: Clock,
    /// The options from the settings.
    pub options: Options,
    /// The codec for requests to targets and their answers.
    pub protocol: TargetProtocol,
    /// The configuration and the target list.
    pub cluster_state: RefCell<ClusterState>,
    /// When the store last confirmed them.
    pub confirmations: Confirmations,
    /// The targets with their loads and states.
    pub targets: RefCell<Targets>,
    /// The other entries.
    pub peers: RefCell<Peers>,
    /// True if heartbeats have changed the loads of other entries since they were last summed up.
    pub loads_changed: Cell<bool>,
    /// Idle connections to targets.
    pub pool: Pool,
    /// The metrics of the direct path.
    pub metrics: Metrics,
    /// The number of requests without a final answer.
    pub in_progress: Cell<usize>,
    /// Callers' connections with answers that are not written yet.
    pub backlog: Backlog,
    /// The stop in progress, from the time of the stop signal.
    pub stop: Cell<Option<Stopping>>,
    /// True once a stopping process ends whatever is still in progress.
    pub exiting: Cell<bool>,
    /// True once a stopping process refuses new requests.
    pub refusing: Cell<bool>,
    /// How the store has answered the calls of this entry.
    pub store_calls: StoreCalls,
    /// The outages of the store, as far as this entry knows from all entries.
    pub store_outages: StoreOutages,
    /// Notified when a slot becomes available or targets change.
    pub slots_changed: Notify,
    /// Notified when a target is reported silent.
    pub silence_changed: Notify,
    /// The requests, and the parts of prompts, under which targets crashed.
    pub crashes: RefCell<CrashMemory>,
    /// Notified when another entry should hear of a crash at once.
    pub crashes_changed: Notify,
    /// Notified when a record of crashes is to be written to the store.
    pub crashes_unsaved: Notify,
    /// The requests for permits in progress.
    pub permits: Permits,
    /// Notified when other entries should hear of a target's rate at once.
    pub rates_changed: Notify,
    /// The probes of targets in progress, by target id.
    pub probes: RefCell<Map<String, Probe>>,
    /// The requests that wait for places, and the demand for them.
    pub places: RefCell<Places>,
    service_loads: RefCell<Map<String, ServiceLoad>>,
    /// The size of the fleet that was logged last; 0 while it is unknown.
    known_entries: Cell<u32>,
    /// True if buffers were short when that was logged last.
    pub(super) buffers_were_short: Cell<bool>,
    budgets: RefCell<Map<String, (Budget, Duration)>>,
}

impl Entry {
    /// Returns an entry without configuration, targets and peers.
    pub fn new(clock: Clock, options: Options, protocol: TargetProtocol, metrics: Metrics) -> Self {
        let targets = Targets::new(&options.data_centre);
        Self {
            pool: Pool::new(clock.clone()),
            clock,
            protocol,
            cluster_state: RefCell::default(),
            confirmations: Confirmations::default(),
            targets: RefCell::new(targets),
            peers: RefCell::new(Peers::new(&options.data_centre)),
            loads_changed: Cell::new(false),
            metrics,
            in_progress: Cell::new(0),
            backlog: Backlog::within(Limits::default()),
            stop: Cell::new(None),
            exiting: Cell::new(false),
            refusing: Cell::new(false),
            store_calls: StoreCalls::new(rand::random()),
            store_outages: StoreOutages::new(options.target_renewal_interval),
            slots_changed: Notify::new(),
            silence_changed: Notify::new(),
            crashes: RefCell::new(CrashMemory::new(options.crash_refusal)),
            crashes_changed: Notify::new(),
            crashes_unsaved: Notify::new(),
            permits: Permits::default(),
            rates_changed: Notify::new(),
            probes: RefCell::default(),
            places: RefCell::default(),
            service_loads: RefCell::default(),
            known_entries: Cell::new(0),
            buffers_were_short: Cell::new(false),
            budgets: RefCell::default(),
            options,
        }
    }

    /// Returns the time on the entry's clock, counted from the start of the process.
    pub fn now(&self) -> Duration {
        self.clock.monotonic()
    }

    /// Returns the configuration in force at this entry; `None` until one was received.
    pub fn configuration(&self) -> Option<Arc<Configuration>> {
        self.cluster_state.borrow().configuration().cloned()
    }

    /// Returns true while the entry serves callers: it has a configuration and a target list, and
    /// is not stopping.
    pub fn is_ready(&self) -> bool {
        let state = self.cluster_state.borrow();
        let may_send = state.has_targets() && self.knows_standing();
        !self.is_stopping() && state.configuration().is_some() && may_send
    }

    /// Returns the position of what is known of data centres that are being emptied.
    pub fn standing_at(&self) -> Position {
        self.cluster_state.borrow().standing().position()
    }

    /// Returns true unless data centres may be emptied of which the entry has not heard yet.
    pub fn knows_standing(&self) -> bool {
        !self.options.empties_data_centres || self.cluster_state.borrow().standing().is_known()
    }

    /// Returns true once the process has received a stop signal.
    pub fn is_stopping(&self) -> bool {
        self.stop.get().is_some()
    }

    /// Adds the share of one new request to the service's retry budget.
    pub fn earn_retry(&self, service: &str) {
        self.with_budget(service, Budget::earn);
    }

    /// Takes one retry from the service's budget and returns true, if one is left. `may_overdraw`
    /// is set for retries that complete an answer of which the caller has received a part.
    pub fn spend_retry(&self, service: &str, may_overdraw: bool) -> bool {
        // The previous incarnation of the process may have overdrawn the budget in this window.
        let may_overdraw = may_overdraw && self.now() >= ALLOWANCE_WINDOW;
        let (allowed, left) = self.with_budget(service, |budget| {
            let allowed = budget.spend(may_overdraw);
            (allowed, budget.balance())
        });
        self.metrics.retry(service, allowed);
        if !allowed {
            let entries = self.peers.borrow().fleet_size().unwrap_or(0);
            events::log(
                events::RETRY_REFUSED,
                format_args!("service={service} left={left:.1} entries={entries}"),
            );
        }
        allowed
    }

    /// Returns true if a retry is left in the service's budget.
    pub fn may_retry(&self, service: &str) -> bool {
        self.with_budget(service, |budget| budget.has_retry_left())
    }

    /// Counts the live entries, and logs when they are more than before.
    pub fn count_entries(&self) {
        let mut peers = self.peers.borrow_mut();
        let heard = peers.count(self.options.heartbeat_interval, self.now()).saturating_sub(1);
        let entries = peers.fleet_size().unwrap_or(0);
        self.metrics.entries(entries, heard);
        self.store_outages.set_entries(heard + 1);
        if entries > self.known_entries.replace(entries) {
            events::log(events::FLEET_GREW, format_args!("entries={entries}"));
        }
    }

    /// Sums up the loads that the other entries have reported, if any has changed. Heartbeats come far
    /// more often than requests in a large fleet, so this is done only before a target is chosen.
    pub fn refresh_peer_loads(&self) {
        if self.loads_changed.replace(false) {
            let loads = self.peers.borrow().loads(self.options.heartbeat_interval, self.now());
            self.targets.borrow_mut().set_peer_loads(loads);
        }
    }

    fn with_budget<T>(&self, service: &str, f: impl FnOnce(&mut Budget) -> T) -> T {
        let entries = self.peers.borrow().fleet_size();
        let share =
            entries.map_or(0.0, |entries| self.options.retry_allowance / f64::from(entries));
        let burst = entries.map_or(UNKNOWN_FLEET_BURST, |_| share * BURST_SHARE);
        let now = self.now();
        let mut budgets = self.budgets.borrow_mut();
        // A new process starts without savings: its previous incarnation may have used them up.
        let (budget, since) = budgets
            .entry(service.to_owned())
            .or_insert_with(|| (Budget::empty(self.options.retry_ratio * RATIO_SHARE, burst), now));
        let elapsed = now.saturating_sub(*since);
        *since = now;
        budget.set_burst(burst);
        budget.add(share * REFILL_SHARE * elapsed.as_secs_f64() / ALLOWANCE_WINDOW.as_secs_f64());
        f(budget)
    }

    /// Calls a function with the load statistics of a service.
    pub fn with_service_load<T>(&self, service: &str, f: impl FnOnce(&mut ServiceLoad) -> T) -> T {
        let mut loads = self.service_loads.borrow_mut();
        f(loads.entry(service.to_owned()).or_default())
    }

    /// Returns a uniform random number from 0 to 1.
    pub fn random_fraction(&self) -> f64 {
        rand::rng().random()
    }

    /// Records that an attempt ended without an answer.
    pub fn record_unanswered(&self, attempt: Attempt) {
        let target = attempt.target.clone();
        let crashes = self.crashes.borrow_mut().record_unanswered(attempt, self.now());
        self.publish_crashes(&crashes, &target);
    }

    /// Records that a target has ended, and which requests it was running. A target that is leaving
    /// ends by itself, so none of its requests is suspected.
    pub fn record_target_ended(&self, target: &str) {
        if self.targets.borrow().get(target).is_some_and(|target| target.leaving) {
            return;
        }
        let crashes = self.crashes.borrow_mut().record_target_ended(target, self.now());
        self.publish_crashes(&crashes, target);
    }

    /// Records that a target answered a request with these parts in its prompt completely.
    pub fn record_answered(&self, fingerprint: u64, parts: &[u64], succeeded: bool) {
        let now = self.now();
        if self.crashes.borrow_mut().record_answered(fingerprint, parts, succeeded, now) {
            self.crashes_unsaved.notify_one();
        }
    }

    /// Adds the records of crashes that another entry sent. Only the regular heartbeats pass them
    /// on, since the entry that saw a crash sends it to all others at once.
    pub fn merge_crashes(&self, reports: &[CrashReport], from: &str) {
        for report in reports {
            let refused = self.crashes.borrow_mut().merge(report, self.now());
            if let Some(crash) = refused {
                log_lines::crash(&crash, format_args!("from={from}"));
            }
        }
    }

    fn publish_crashes(&self, crashes: &[SubjectCrash], target: &str) {
        for crash in crashes {
            log_lines::crash(crash, format_args!("target={target}"));
            self.metrics.crash(crash.1.refused);
        }
        if !crashes.is_empty() {
            self.crashes_changed.notify_one();
            self.crashes_unsaved.notify_one();
        }
    }

    /// Records the rate that a target's answer named, or that it named none.
    pub fn record_rate(&self, target: &str, per_s: Option<f64>) {
        if self.targets.borrow_mut().limits.observe(target, per_s, self.now()) {
            log_lines::rate(target, per_s, format_args!("from=answer"));
            self.rates_changed.notify_one();
        }
    }

    /// Adds the rates of targets that another entry has seen.
    pub fn merge_rates(&self, reports: &[RateReport], from: &str) {
        for report in reports {
            if self.targets.borrow_mut().limits.merge(report, self.now()) {
                log_lines::rate(&report.target, report.per_s, format_args!("from={from}"));
            }
        }
    }

    /// Records that a target asked to be left alone for a time.
    pub fn record_backoff(&self, target: &Target, time: Duration) {
        if self.targets.borrow_mut().record_backoff(target, time, self.now()) {
            events::log(
                events::TARGET_BACKOFF,
                format_args!("target={} time_ms={}", target.id, time.as_millis()),
            );
        }
    }

    /// Records that a target has said that it leaves.
    pub fn record_leaving(&self, target: &Target) {
        if self.targets.borrow_mut().record_leaving(target, self.now()) {
            events::log(events::TARGET_LEAVING, format_args!("target={}", target.id));
        }
    }

    /// Records the outcome of an attempt at a target, and logs an ejection that it causes.
    pub fn record_outcome(&self, target: &str, outcome: Outcome) {
        let now = self.now();
        if outcome == Outcome::Replaced {
            self.record_target_ended(target);
        }
        if let Some(ejection) = self.targets.borrow_mut().record(target, outcome, now) {
            let pause_ms = ejection.as_millis();
            events::log(
                events::TARGET_EJECTED,
                format_args!("target={target} pause_ms={pause_ms} cause={outcome:?}"),
            );
        }
    }
}
