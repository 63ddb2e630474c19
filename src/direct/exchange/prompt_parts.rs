//! The parts of a request's prompt that other requests may share, as its caller states them.

use std::mem;

use crate::direct::message::CallerRequest;
use crate::direct::state::entry::Entry;
use crate::telemetry::events;

/// Limit of the parts of a prompt that are taken into account.
const MAX_PARTS: usize = 32;

/// Takes the ids of the parts out of a request. A list that cannot be decoded is logged and counted.
pub fn take(entry: &Entry, caller: &mut CallerRequest) -> Vec<u64> {
    match mem::replace(&mut caller.prompt_parts, Ok(Vec::new())) {
        Ok(mut parts) => {
            parts.truncate(MAX_PARTS);
            parts
        }
        Err(error) => {
            entry.metrics.header_unreadable();
            let id = caller.log_id();
            events::log(events::HEADER_UNREADABLE, format_args!("id={id} cause=\"{error}\""));
            Vec::new()
        }
    }
}

/// Returns the ids of parts for a log line, `-` if there are none.
pub fn format(parts: &[u64]) -> String {
    let parts: Vec<String> = parts.iter().map(|part| format!("{part:x}")).collect();
    if parts.is_empty() { "-".to_owned() } else { parts.join(",") }
}
