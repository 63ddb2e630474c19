//! One caller's request from its admission to its final answer: route, deadline and attempts.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use crate::direct::decisions::attempts::{Failure, History};
use crate::direct::decisions::pass_time::PauseGoal;
use crate::direct::decisions::stopping::Stopping;
use crate::direct::exchange::crash_probe;
use crate::direct::exchange::prompt_parts;
use crate::direct::known::configuration::{AnswerForm, Configuration, Route};
use crate::direct::known::confirmation;
use crate::direct::known::crash_memory::Attempt;
use crate::direct::known::crash_trials::Trials;
use crate::direct::known::store::Collection;
use crate::direct::known::target::Target;
use crate::direct::message::{CallerRequest, Cause, LocalAnswer};
use crate::direct::state::entry::Entry;
use crate::fingerprint;
use crate::problem::Executed;
use crate::telemetry::{brief, events};

/// Retry-after of an entry that has no configuration; a starting entry receives it in about this
/// time.
const UNREADY_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Retry-after of an entry that is stopping: the time to choose another entry, which can serve the
/// request at once.
const STOPPING_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Timeout of requests that state none; common HTTP clients use the same.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);

/// A caller's request that matched a route, from its admission to its final answer.
pub struct Call {
    /// The entry that handles it.
    pub entry: Rc<Entry>,
    /// The request as received.
    pub caller: CallerRequest,
    /// The route that matched.
    pub route: Route,
    /// The name of the service that was chosen among the route's shares.
    pub service: String,
    /// The name of the customer that holds the key; `None` if the route needs no key.
    pub customer: Option<String>,
    /// How urgent it is among the requests for its service; 0 is the most urgent.
    pub urgency: u8,
    /// True if the requests for the service differ in urgency.
    pub ranked: bool,
    /// Limit of requests in flight at a target, for each of its slots.
    pub fill: f64,
    /// The limit of the pauses in its answer, if a model server streams it.
    pub pause_goal: Option<PauseGoal>,
    /// The version of the configuration that it is handled by.
    pub version: u64,
    /// How long before its arrival the store last confirmed that configuration.
    configuration_age: Option<Duration>,
    /// The hash that identifies the request when the customer sends it again in a new attempt.
    pub fingerprint: u64,
    /// The ids of the parts of its prompt that other requests may share.
    pub prompt_parts: Vec<u64>,
    /// When its final answer is due, on the entry's clock.
    pub deadline: Duration,
    /// The ids of the targets that were tried, also those that were not reached.
    pub tried: Vec<String>,
    /// The number of targets that may have received it.
    pub sent: u32,
    /// The number of attempts that reached the target, or another process that now has its address.
    pub deliveries: u32,
    /// True if an earlier attempt may have run.
    pub may_have_run: bool,
    /// The total time that it waited for slots.
    pub waited: Duration,
    /// The time from its arrival to the first event of its answer; `None` before that.
    pub first_event: Option<Duration>,
    /// The longest pause between two events of its answer so far.
    pub longest_pause: Duration,
    /// The attempt that a target is running, as far as known.
    attempt: Option<Attempt>,
    /// What of it is on trial, which others wait for.
    pub(super) trials: Trials,
    finished: bool,
}

impl Call {
    /// Finds the route, customer and service of a request and counts it as in progress.
    ///
    /// # Errors
    ///
    /// Returns the answer for the caller if the request is not admitted, which is logged here.
    pub fn admit(entry: &Rc<Entry>, caller: CallerRequest) -> Result<Self, LocalAnswer> {
        let matched = match_request(entry, &caller);
        match matched {
            Ok(matched) => Ok(Self::start(entry, caller, matched)),
            Err(local) => {
                let version = entry.cluster_state.borrow().version();
                events::log(
                    events::REQUEST_ANSWERED,
                    format_args!(
                        "id={} host={} path={} cause={} status={} version={version} age_ms={}",
                        caller.log_id(),
                        brief::Brief(&caller.host),
                        brief::Brief(caller.uri.path()),
                        local.cause.name(),
                        local.status().as_u16(),
                        confirmation::format_age(configuration_age(entry))
                    ),
                );
                entry.metrics.answered(local.cause.name());
                Err(local)
            }
        }
    }

    fn start(entry: &Rc<Entry>, mut caller: CallerRequest, matched: Matched) -> Self {
        let Matched { configuration, route, service, customer, urgency } = matched;
        let engine = configuration.service(&service).and_then(|service| service.engine.as_ref());
        let fill = match engine {
            Some(_) => entry.options.engine_fill,
            None => entry.options.plain_fill,
        };
        let pause_goal = engine
            .zip(route.pause_objective)
            .map(|(engine, objective)| PauseGoal { objective, empty_pass: engine.empty_pass() });
        let deadline = deadline(&caller, &route);
        let fingerprint = fingerprint(&caller, customer.as_deref());
        let prompt_parts = prompt_parts::take(entry, &mut caller);
        entry.earn_retry(&service);
        entry.in_progress.set(entry.in_progress.get() + 1);
        entry.metrics.in_progress(entry.in_progress.get());
        Self {
            entry: Rc::clone(entry),
            route,
            ranked: configuration.is_ranked(&service),
            service,
            customer,
            urgency,
            fill,
            pause_goal,
            version: configuration.version,
            configuration_age: configuration_age(entry),
            fingerprint,
            prompt_parts,
            deadline,
            tried: Vec::new(),
            sent: 0,
            deliveries: 0,
            may_have_run: false,
            waited: Duration::ZERO,
            first_event: None,
            longest_pause: Duration::ZERO,
            attempt: None,
            trials: Trials::default(),
            finished: false,
            caller,
        }
    }

    /// Returns the time until the deadline.
    pub fn time_left(&self) -> Duration {
        self.deadline.saturating_sub(self.entry.now())
    }

    /// Returns true if the route's answers are streams of events.
    pub fn wants_events(&self) -> bool {
        self.route.form == AnswerForm::Events
    }

    /// Returns the attempts so far, for the decision about another one.
    pub fn history(&self) -> History {
        History {
            may_repeat: self.route.may_repeat(),
            sent: self.sent,
            max_targets: self.route.max_targets,
            deliveries: self.deliveries,
            may_have_run: self.may_have_run,
            time_left: self.time_left(),
            backoff_left: {
                let targets = self.entry.targets.borrow();
                targets.backoff_left(&self.service, self.entry.now())
            },
        }
    }

    /// Records that the request is about to be sent to a target.
    pub fn record_dispatched(&mut self, target: &str) {
        let now = self.entry.now();
        let crashes = self.entry.crashes.borrow();
        self.attempt = Some(crashes.dispatch(self.fingerprint, &self.prompt_parts, target, now));
    }

    /// Records that the target answered completely with this status.
    pub fn record_target_answered(&mut self, status: u16) {
        self.attempt = None;
        self.end_trials();
        let succeeded = (200..300).contains(&status);
        self.entry.record_answered(self.fingerprint, &self.prompt_parts, succeeded);
    }

    /// Records that the target answered that it did not run the request.
    pub fn record_target_refused(&mut self) {
        self.attempt = None;
        self.end_trials();
    }

    /// Records that the target gave no complete answer. If the connection to it was lost, this also
    /// finds out whether the target crashed, before the request can be sent to another one.
    pub async fn record_no_answer(&mut self, target: &Target, connection_lost: bool) {
        if let Some(attempt) = self.attempt.take() {
            self.entry.record_unanswered(attempt);
        }
        if connection_lost {
            crash_probe::check(&self.entry, target).await;
        }
        self.end_trials();
    }

    /// Records and logs a failed attempt.
    pub fn record_failure(&mut self, target: &str, failure: &Failure) {
        self.may_have_run |= failure.executed != Executed::No;
        events::log(
            events::ATTEMPT_FAILED,
            format_args!(
                "id={} target={target} cause={} executed={:?} sent={} left_ms={} \
                 retry_after_ms={} fingerprint={:016x} parts={}",
                self.caller.log_id(),
                failure.cause.name(),
                failure.executed,
                self.sent,
                self.time_left().as_millis(),
                failure.retry_after.map_or(0, |delay| delay.as_millis()),
                self.fingerprint,
                prompt_parts::format(&self.prompt_parts)
            ),
        );
        self.entry.metrics.attempt(failure.cause.name());
    }

    /// Records that the entry's own answer is final.
    pub fn record_local_answer(&mut self, local: &LocalAnswer) {
        // A request that ran out of time shows how long answers take; a refused one does not.
        if local.cause == Cause::TimedOut {
            self.record_answer_time();
        }
        if let Some(delay) = local.retry_after {
            self.entry.metrics.retry_after(delay);
        }
        self.finish(local.cause.name(), local.status().as_u16(), local.retry_after);
    }

    /// Records that a target's answer was relayed, completely or until it was interrupted.
    pub fn record_relayed(&mut self, cause: &'static str, status: u16) {
        self.record_answer_time();
        self.finish(cause, status, None);
    }

    fn record_answer_time(&self) {
        let took = self.entry.now().saturating_sub(self.caller.arrived);
        self.entry.with_service_load(&self.service, |load| {
            load.record_answer_time(self.route.form, took);
        });
    }

    /// Logs that the process exits before the answer has ended.
    fn log_cut(&self, stop: Stopping) {
        let arrived_after = self.caller.arrived.checked_sub(stop.started());
        events::log(
            events::ANSWER_CUT,
            format_args!(
                "id={} service={} sent={} arrived_after_stop_ms={} first_event_ms={} left_ms={}",
                self.caller.log_id(),
                self.service,
                self.sent,
                arrived_after.map_or("-".to_owned(), |after| after.as_millis().to_string()),
                self.first_event.map_or("-".to_owned(), |first| first.as_millis().to_string()),
                self.time_left().as_millis()
            ),
        );
    }

    fn finish(&mut self, cause: &str, status: u16, retry_after: Option<Duration>) {
        if self.finished {
            return;
        }
        self.finished = true;
        self.entry.metrics.answered(cause);
        let took = self.entry.now().saturating_sub(self.caller.arrived);
        events::log(
            events::REQUEST_ANSWERED,
            format_args!(
                "id={} route={} customer={} service={} cause={cause} status={status} targets={} \
                 sent={} waited_ms={} first_event_ms={} pause_ms={} took_ms={} retry_after_ms={} \
                 version={} age_ms={} fingerprint={:016x} parts={}",
                self.caller.log_id(),
                self.route.name,
                self.customer.as_deref().unwrap_or("-"),
                self.service,
                self.tried.join(","),
                self.sent,
                self.waited.as_millis(),
                self.first_event.map_or(0, |first| first.as_millis()),
                self.longest_pause.as_millis(),
                took.as_millis(),
                retry_after.map_or(0, |delay| delay.as_millis()),
                self.version,
                confirmation::format_age(self.configuration_age),
                self.fingerprint,
                prompt_parts::format(&self.prompt_parts),
            ),
        );
    }
}

impl Drop for Call {
    fn drop(&mut self) {
        if let Some(attempt) = self.attempt.take() {
            self.entry.record_unanswered(attempt);
        }
        self.end_trials();
        let entry = &self.entry;
        entry.in_progress.set(entry.in_progress.get().saturating_sub(1));
        entry.metrics.in_progress(entry.in_progress.get());
        if self.finished {
            return;
        }
        if let Some(stop) = entry.stop.get().filter(|_| entry.exiting.get()) {
            self.log_cut(stop);
            self.finish("stopped", 0, None);
            return;
        }
        entry.metrics.caller_left();
        self.finish("caller_left", 0, None);
    }
}

/// Returns the fingerprint of a caller's request. Requests of different customers differ, so that
/// what is learned about one customer's request does not affect another's.
fn fingerprint(caller: &CallerRequest, customer: Option<&str>) -> u64 {
    let path = format!("{} {}", customer.unwrap_or_default(), caller.uri);
    fingerprint::of_request(caller.method.as_str(), &path, &caller.body)
}

/// Returns when the final answer is due, on the entry's clock.
fn deadline(caller: &CallerRequest, route: &Route) -> Duration {
    caller.arrived + caller.timeout.unwrap_or(DEFAULT_TIMEOUT).min(route.timeout)
}

fn configuration_age(entry: &Entry) -> Option<Duration> {
    entry.confirmations.age(Collection::Configuration, entry.now())
}

struct Matched {
    configuration: Arc<Configuration>,
    route: Route,
    service: String,
    customer: Option<String>,
    urgency: u8,
}

fn match_request(entry: &Entry, caller: &CallerRequest) -> Result<Matched, LocalAnswer> {
    if entry.refusing.get() {
        return Err(LocalAnswer::not_run(Cause::Stopping, Some(STOPPING_RETRY_AFTER)));
    }
    let Some(configuration) = entry.configuration().filter(|_| entry.knows_standing()) else {
        let retry_after = Some(UNREADY_RETRY_AFTER);
        return Err(LocalAnswer::not_run(Cause::NoConfiguration, retry_after));
    };
    let Some(route) = configuration.route(&caller.host, caller.uri.path()).cloned() else {
        return Err(LocalAnswer::not_run(Cause::NoRoute, None));
    };
    let customer = match configuration.keys_required && !route.public {
        false => None,
        true => {
            let holder = caller.key.as_deref().and_then(|key| configuration.customer(key));
            let Some(customer) = holder else {
                return Err(LocalAnswer::not_run(Cause::UnknownKey, None));
            };
            Some(customer)
        }
    };
    if caller.body.len() > configuration.limits.body_bytes {
        return Err(LocalAnswer::not_run(Cause::TooLarge, None));
    }
    let service = route.service(rand::random()).to_owned();
    let urgency = configuration.urgency(&service, &route, customer);
    let customer = customer.map(|customer| customer.name.clone());
    if let Some(stop) = entry.stop.get() {
        let now = entry.now();
        let time_left = deadline(caller, &route).saturating_sub(now);
        let expected =
            entry.with_service_load(&service, |load| load.expected_answer_time(route.form));
        if !stop.admits(now, time_left, expected) {
            return Err(LocalAnswer::not_run(Cause::Stopping, Some(STOPPING_RETRY_AFTER)));
        }
    }
    Ok(Matched { configuration, route, service, customer, urgency })
}
