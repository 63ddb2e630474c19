//! Records what the head of a target's answer says about the target itself. A value that cannot be
//! decoded is logged, counted and changes nothing.

use actix_http::StatusCode;

use crate::direct::exchange::call::Call;
use crate::direct::known::store::UnreadableValue;
use crate::direct::known::target::Target;
use crate::direct::message::TargetAnswer;
use crate::telemetry::events;

/// Records the rate that an answer names, that its target leaves, and the backoff that it asks for.
/// Returns true if it asks for one.
pub fn record(call: &Call, target: &Target, answer: &TargetAnswer) -> bool {
    match &answer.rate {
        Ok(rate) => call.entry.record_rate(&target.id, *rate),
        Err(error) => record_unreadable(call, target, error),
    }
    match &answer.leaving {
        Ok(true) => call.entry.record_leaving(target),
        Ok(false) => {}
        Err(error) => record_unreadable(call, target, error),
    }
    if answer.status != StatusCode::SERVICE_UNAVAILABLE {
        return false;
    }
    match &answer.retry_after {
        Ok(None) => false,
        Ok(Some(time)) => {
            call.entry.record_backoff(target, *time);
            !time.is_zero()
        }
        Err(error) => {
            record_unreadable(call, target, error);
            false
        }
    }
}

fn record_unreadable(call: &Call, target: &Target, error: &UnreadableValue) {
    call.entry.metrics.header_unreadable();
    events::log(
        events::HEADER_UNREADABLE,
        format_args!("id={} target={} cause=\"{error}\"", call.caller.log_id(), target.id),
    );
}
