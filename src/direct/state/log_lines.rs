//! Log lines of the state of an entry that more than one of its functions writes.

use std::fmt;

use crate::direct::known::crash_memory::SubjectCrash;
use crate::direct::known::crash_record::Crash;
use crate::telemetry::events;

/// Logs the rate that a target named.
pub(super) fn rate(target: &str, per_s: Option<f64>, source: fmt::Arguments<'_>) {
    let per_s = per_s.map_or("none".to_owned(), |per_s| per_s.to_string());
    events::log(events::RATE_NAMED, format_args!("target={target} per_s={per_s} {source}"));
}

/// Logs a crash of a target under a request, or a part of its prompt.
pub(super) fn crash((subject, crash): &SubjectCrash, source: fmt::Arguments<'_>) {
    let Crash { fingerprint: _, crashes, limit, refused } = crash;
    events::log(
        events::TARGET_CRASHED,
        format_args!("{source} {subject} crashes={crashes} limit={limit} refused={refused}"),
    );
}
