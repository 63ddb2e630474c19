//! Records and logs the outages of services, by which requests wait or do not.

use crate::direct::decisions::outages::Finding;
use crate::direct::exchange::call::Call;
use crate::telemetry::events;

/// Records that a request found no available target. Returns true if its service has had none for so
/// long that waiting is pointless.
pub(super) fn is_long(call: &Call) -> bool {
    let entry = &call.entry;
    let finding = entry.targets.borrow_mut().outages.record(&call.service, entry.now());
    if finding == Finding::BecameLong {
        log(call, true);
    }
    finding != Finding::Short
}

/// Records that a request found a target of its service.
pub(super) fn record_available(call: &Call) {
    if call.entry.targets.borrow_mut().outages.end(&call.service) {
        log(call, false);
    }
}

fn log(call: &Call, lasts: bool) {
    events::log(
        events::OUTAGE_LASTS,
        format_args!("service={} id={} lasts={lasts}", call.service, call.caller.log_id()),
    );
}
