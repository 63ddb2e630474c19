//! The metrics of the direct path; docs/OPERATIONS.md lists them.

use std::time::Duration;

use prometheus::{
    GaugeVec, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
};

use crate::direct::known::permit::Grant;
use crate::direct::known::store_calls::Served;
use crate::telemetry::metrics::{self, Result};

/// Bucket bounds of the histograms in seconds, around the objectives of first events and documents.
const BUCKET_BOUNDS_S: &[f64] =
    &[0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 1.0, 1.5, 2.0, 4.0, 8.0];

/// The metrics of one entry.
#[derive(Clone)]
pub struct Metrics {
    answers: IntCounterVec,
    attempts: IntCounterVec,
    store_failures: IntCounterVec,
    state_age: GaugeVec,
    store_reader: IntGauge,
    store_era: IntGauge,
    store_returns: IntCounter,
    store_outages: IntCounter,
    store_own_reads: IntCounter,
    store_unanswered: IntGauge,
    store_out: IntGauge,
    lapsed_targets: IntGauge,
    first_event: Histogram,
    pause: Histogram,
    document: Histogram,
    wait: Histogram,
    retry_after: Histogram,
    resumed: IntCounter,
    retries: IntCounterVec,
    entries: IntGauge,
    heard_entries: IntGauge,
    callers_left: IntCounter,
    headers_unreadable: IntCounter,
    crashes: IntCounterVec,
    refused_requests: IntGauge,
    refused_parts: IntGauge,
    permits: IntCounterVec,
    limited_targets: IntGauge,
    cold_targets: IntGauge,
    emptied_data_centres: IntGauge,
    values_unreadable: IntCounter,
    backing_off_targets: IntGauge,
    configuration: IntGauge,
    in_progress: IntGauge,
    buffered_bytes: IntGauge,
    refused_bodies: IntGauge,
}

impl Metrics {
    /// Registers the metrics.
    ///
    /// # Errors
    ///
    /// Returns an error if a name is registered already.
    pub fn register(registry: &Registry) -> Result<Self> {
        let counters = |name: &str, help: &str, labels: &[&str]| {
            metrics::register(registry, IntCounterVec::new(Opts::new(name, help), labels))
        };
        let counter = |name, help| metrics::register(registry, IntCounter::new(name, help));
        let gauge = |name, help| metrics::register(registry, IntGauge::new(name, help));
        let seconds = |name: &str, help: &str| {
            let opts = HistogramOpts::new(name, help).buckets(BUCKET_BOUNDS_S.to_vec());
            metrics::register(registry, Histogram::with_opts(opts))
        };
        Ok(Self {
            answers: counters(
                "bitternwall_direct_answers_total",
                "Final answers by who made them and why.",
                &["cause"],
            )?,
            attempts: counters(
                "bitternwall_direct_attempts_total",
                "Attempts at targets by outcome.",
                &["outcome"],
            )?,
            store_failures: counters(
                "bitternwall_direct_store_failures_total",
                "Calls to the store that failed.",
                &["collection"],
            )?,
            state_age: {
                let help = "Time since the store last confirmed what this entry knows.";
                let opts = Opts::new("bitternwall_direct_state_age_seconds", help);
                metrics::register(registry, GaugeVec::new(opts, &["collection"]))?
            },
            store_reader: gauge(
                "bitternwall_direct_store_reader",
                "1 while this entry reads the store on behalf of others.",
            )?,
            store_era: gauge(
                "bitternwall_direct_store_era",
                "How many times the store came back from an older copy, as it states itself.",
            )?,
            store_returns: counter(
                "bitternwall_direct_store_returns_total",
                "Returns of the store from an older copy that this entry has seen.",
            )?,
            store_outages: counter(
                "bitternwall_direct_store_outages_total",
                "Outages in which the store answered no entry and leases may have expired.",
            )?,
            store_unanswered: gauge(
                "bitternwall_direct_store_unanswered_entries",
                "Live entries whose last call to the store had no answer, lately.",
            )?,
            store_out: gauge(
                "bitternwall_direct_store_out",
                "1 while the store answers no entry for so long that leases may expire.",
            )?,
            store_own_reads: counter(
                "bitternwall_direct_store_own_reads_total",
                "Reads of the store by this entry for itself, since no reader had an answer in time.",
            )?,
            lapsed_targets: gauge(
                "bitternwall_direct_lapsed_targets",
                "Targets that went off the list around an outage and may register again.",
            )?,
            first_event: seconds(
                "bitternwall_direct_first_event_seconds",
                "Time from a request's arrival to the first event of its answer.",
            )?,
            pause: seconds(
                "bitternwall_direct_pause_seconds",
                "Longest pause between two events of an answer.",
            )?,
            document: seconds(
                "bitternwall_direct_document_seconds",
                "Time from a request's arrival to the end of an answer that is one document.",
            )?,
            wait: seconds(
                "bitternwall_direct_wait_seconds",
                "Time that requests waited for a place.",
            )?,
            retry_after: seconds(
                "bitternwall_direct_retry_after_seconds",
                "Times after which refused callers were told to come back.",
            )?,
            resumed: counter(
                "bitternwall_direct_resumed_total",
                "Answers that went on at another target.",
            )?,
            retries: counters(
                "bitternwall_direct_retries_total",
                "Retries that the budget of a service allowed or refused.",
                &["service", "outcome"],
            )?,
            entries: gauge(
                "bitternwall_direct_entries",
                "Entries by which the retry allowance of the fleet is divided.",
            )?,
            heard_entries: gauge(
                "bitternwall_direct_heard_entries",
                "Other entries whose heartbeats arrive.",
            )?,
            callers_left: counter(
                "bitternwall_direct_callers_left_total",
                "Callers that left before the end of their answer.",
            )?,
            headers_unreadable: counter(
                "bitternwall_direct_headers_unreadable_total",
                "Headers of requests and answers that could not be decoded.",
            )?,
            crashes: counters(
                "bitternwall_direct_crashes_total",
                "Crashes of targets under a request of this entry, by whether it is refused since.",
                &["refused"],
            )?,
            refused_requests: gauge(
                "bitternwall_direct_refused_requests",
                "Requests that are refused since targets crashed while they ran them.",
            )?,
            refused_parts: gauge(
                "bitternwall_direct_refused_parts",
                "Parts of prompts that are refused since targets crashed under requests with them.",
            )?,
            permits: counters(
                "bitternwall_direct_permits_total",
                "Requests of this entry for permits at targets that named a rate, by outcome.",
                &["outcome"],
            )?,
            limited_targets: gauge(
                "bitternwall_direct_limited_targets",
                "Targets that have named a rate of requests.",
            )?,
            cold_targets: gauge(
                "bitternwall_direct_cold_targets",
                "Targets that are sent few requests since they are cold.",
            )?,
            emptied_data_centres: gauge(
                "bitternwall_direct_emptied_data_centres",
                "Data centres that the operator is emptying.",
            )?,
            values_unreadable: counter(
                "bitternwall_direct_values_unreadable_total",
                "Fields of records and configurations that could not be decoded and were passed over.",
            )?,
            backing_off_targets: gauge(
                "bitternwall_direct_backing_off_targets",
                "Targets that have asked this entry to be left alone.",
            )?,
            configuration: gauge(
                "bitternwall_direct_configuration_version",
                "The version of the configuration in force.",
            )?,
            in_progress: gauge(
                "bitternwall_direct_requests_in_progress",
                "Requests without a final answer.",
            )?,
            buffered_bytes: gauge(
                "bitternwall_direct_buffered_bytes",
                "Bytes held for callers that read or send slowly, and bodies of requests.",
            )?,
            refused_bodies: gauge(
                "bitternwall_direct_bodies_refused",
                "Requests refused since their bodies did not fit into the buffers.",
            )?,
        })
    }

    /// Sets the number of targets that are cold.
    pub fn cold_targets(&self, targets: usize) {
        self.cold_targets.set(i64::try_from(targets).unwrap_or(i64::MAX));
    }

    /// Sets the number of data centres that the operator is emptying.
    pub fn emptied_data_centres(&self, data_centres: usize) {
        self.emptied_data_centres.set(i64::try_from(data_centres).unwrap_or(i64::MAX));
    }

    /// Counts a field of a record or of a configuration that could not be decoded.
    pub fn value_unreadable(&self) {
        self.values_unreadable.inc();
    }

    /// Counts a final answer. `cause` is `answered` for a target's, or the reason for another end.
    pub fn answered(&self, cause: &str) {
        self.answers.with_label_values(&[cause]).inc();
    }

    /// Counts an attempt at a target. `outcome` is `answered` or the cause of the failure.
    pub fn attempt(&self, outcome: &str) {
        self.attempts.with_label_values(&[outcome]).inc();
    }

    /// Counts a failed call to the store.
    pub fn store_failed(&self, collection: &str) {
        self.store_failures.with_label_values(&[collection]).inc();
    }

    /// Sets the time since the store last confirmed a collection.
    pub fn state_age(&self, collection: &str, age: Duration) {
        self.state_age.with_label_values(&[collection]).set(age.as_secs_f64());
    }

    /// Sets whether this entry reads the store.
    pub fn store_reader(&self, reader: bool) {
        self.store_reader.set(i64::from(reader));
    }

    /// Sets the store's era of the target list.
    pub fn store_era(&self, era: u64) {
        self.store_era.set(i64::try_from(era).unwrap_or(i64::MAX));
    }

    /// Counts a return of the store from an older copy.
    pub fn store_returned(&self) {
        self.store_returns.inc();
    }

    /// Counts an outage of the store in which leases may have expired.
    pub fn store_outage(&self) {
        self.store_outages.inc();
    }

    /// Sets how many entries have had no answer of the store lately, and whom it answers.
    pub fn store_served(&self, unanswered: usize, served: Served) {
        self.store_unanswered.set(i64::try_from(unanswered).unwrap_or(i64::MAX));
        self.store_out.set(i64::from(served == Served::Nobody));
    }

    /// Counts a read of the store by an entry that is no reader.
    pub fn store_own_read(&self) {
        self.store_own_reads.inc();
    }

    /// Sets the number of targets that are off the list and may register again.
    pub fn lapsed_targets(&self, targets: usize) {
        self.lapsed_targets.set(i64::try_from(targets).unwrap_or(i64::MAX));
    }

    /// Records the time from a request's arrival to the first event of its answer.
    pub fn first_event(&self, after: Duration) {
        self.first_event.observe(after.as_secs_f64());
    }

    /// Records the longest pause between two events of an answer.
    pub fn pause(&self, longest: Duration) {
        self.pause.observe(longest.as_secs_f64());
    }

    /// Records the time from a request's arrival to the end of its document.
    pub fn document(&self, after: Duration) {
        self.document.observe(after.as_secs_f64());
    }

    /// Records how long a request waited for a slot.
    pub fn waited(&self, wait: Duration) {
        self.wait.observe(wait.as_secs_f64());
    }

    /// Records the retry-after of a refused caller.
    pub fn retry_after(&self, delay: Duration) {
        self.retry_after.observe(delay.as_secs_f64());
    }

    /// Counts an answer that was resumed at another target.
    pub fn resumed(&self) {
        self.resumed.inc();
    }

    /// Counts a retry that the budget of a service allowed or refused.
    pub fn retry(&self, service: &str, allowed: bool) {
        let outcome = if allowed { "allowed" } else { "refused" };
        self.retries.with_label_values(&[service, outcome]).inc();
    }

    /// Sets the number of entries by which the retry allowance of the fleet is divided, and the number
    /// of others that are heard.
    pub fn entries(&self, entries: u32, heard: u32) {
        self.entries.set(i64::from(entries));
        self.heard_entries.set(i64::from(heard));
    }

    /// Counts a caller that disconnected before the end of its answer.
    pub fn caller_left(&self) {
        self.callers_left.inc();
    }

    /// Counts a header of a request or an answer that could not be decoded.
    pub fn header_unreadable(&self) {
        self.headers_unreadable.inc();
    }

    /// Counts a crash of a target under a request, which is refused from then on or not yet.
    pub fn crash(&self, refused: bool) {
        self.crashes.with_label_values(&[if refused { "yes" } else { "no" }]).inc();
    }

    /// Sets the numbers of requests and of parts of prompts that are refused since targets crashed
    /// under them.
    pub fn refused(&self, requests: usize, parts: usize) {
        self.refused_requests.set(i64::try_from(requests).unwrap_or(i64::MAX));
        self.refused_parts.set(i64::try_from(parts).unwrap_or(i64::MAX));
    }

    /// Counts a request for permits.
    pub fn permits(&self, grant: Grant) {
        let outcome = match grant {
            Grant::Permits(_) => "granted",
            Grant::Denied(_) => "denied",
            Grant::NoReply => "no_reply",
        };
        self.permits.with_label_values(&[outcome]).inc();
    }

    /// Sets the number of targets that have named a rate.
    pub fn limited_targets(&self, targets: usize) {
        self.limited_targets.set(i64::try_from(targets).unwrap_or(i64::MAX));
    }

    /// Sets the number of targets that have asked to be left alone.
    pub fn backing_off_targets(&self, targets: usize) {
        self.backing_off_targets.set(i64::try_from(targets).unwrap_or(i64::MAX));
    }

    /// Sets the version of the configuration in force.
    pub fn configuration(&self, version: u64) {
        self.configuration.set(i64::try_from(version).unwrap_or(i64::MAX));
    }

    /// Sets the number of requests without a final answer.
    pub fn in_progress(&self, requests: usize) {
        self.in_progress.set(i64::try_from(requests).unwrap_or(i64::MAX));
    }

    /// Shows the bytes buffered for callers, and the requests refused for their bodies so far.
    pub fn buffers(&self, used: usize, refused_bodies: u64) {
        self.buffered_bytes.set(i64::try_from(used).unwrap_or(i64::MAX));
        self.refused_bodies.set(i64::try_from(refused_bodies).unwrap_or(i64::MAX));
    }
}
