//! How long a target may be silent before its request is sent to another one.

use std::time::Duration;

use crate::direct::exchange::call::Call;

/// Longest silence of a target, as a multiple of the route's objective, before an idempotent
/// request is sent to another one.
const MAX_SILENCE_OBJECTIVES: u32 = 3;

/// Returns how long a target may be silent before the request is sent to another one; `None` if it
/// is not, since the route does not allow it, the retry budget is used up or the service is
/// overloaded.
pub fn silence_limit(call: &Call) -> Option<Duration> {
    let overloaded = call.entry.with_service_load(&call.service, |load| load.is_overloaded());
    let limit = call.route.objective * MAX_SILENCE_OBJECTIVES;
    (!overloaded && may_move(call)).then_some(limit)
}

/// Returns true if the request may be sent to another target while this one still has it: the route
/// allows it, and the retry budget is not used up.
pub fn may_move(call: &Call) -> bool {
    let more = call.route.may_repeat() && call.sent < call.route.max_targets;
    more && call.entry.may_retry(&call.service)
}
