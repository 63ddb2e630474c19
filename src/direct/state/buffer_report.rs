//! Reports what an entry buffers for callers, and the requests that it did not read to their end.

use std::time::Duration;

use crate::direct::message::{Cause, LocalAnswer};
use crate::direct::state::entry::Entry;
use crate::telemetry::brief::Brief;
use crate::telemetry::events;

/// Retry-after of a request whose body does not fit: about the time in which an answer ends.
const BODY_RETRY_AFTER: Duration = Duration::from_millis(500);

impl Entry {
    /// Shows what is buffered for callers, and logs when that becomes short or free again.
    pub fn report_buffers(&self) {
        let buffers = self.backlog.buffers();
        self.metrics.buffers(buffers.used(), buffers.refused_bodies());
        let is_short = buffers.is_short();
        if is_short != self.buffers_were_short.replace(is_short) {
            events::log(
                events::BUFFERS_SHORT,
                format_args!(
                    "short={is_short} used={} total={} connections={} refused_bodies={}",
                    buffers.used(),
                    buffers.limits().total,
                    self.backlog.connections(),
                    buffers.refused_bodies()
                ),
            );
        }
    }

    /// Logs and returns the answer to a request whose body was not read to its end.
    pub fn refuse_unread(&self, id: &str, length: &str, cause: Cause) -> LocalAnswer {
        let local = LocalAnswer::not_run(cause, None);
        events::log(
            events::REQUEST_ANSWERED,
            format_args!(
                "id={} length={} cause={} status={}",
                Brief(id),
                Brief(length),
                cause.name(),
                local.status().as_u16()
            ),
        );
        self.metrics.answered(cause.name());
        local
    }

    /// Logs and returns the answer to a request whose body does not fit into the buffers. `length` is
    /// the one that the request states.
    pub fn refuse_body(&self, id: &str, length: &str) -> LocalAnswer {
        let buffers = self.backlog.buffers();
        events::log(
            events::BODY_REFUSED,
            format_args!(
                "id={} length={} used={} total={}",
                Brief(id),
                Brief(length),
                buffers.used(),
                buffers.limits().total
            ),
        );
        let local = LocalAnswer::not_run(Cause::BuffersFull, Some(BODY_RETRY_AFTER));
        self.metrics.answered(local.cause.name());
        local
    }
}
