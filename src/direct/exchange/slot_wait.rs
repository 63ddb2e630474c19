//! Acquires a slot at a target for a request, and waits for one for a limited time.
//!
//! [`admission`] decides how long, and [`targets`](crate::direct::decisions::targets) which target.

use std::future;
use std::rc::Rc;
use std::result;
use std::time::Duration;

use tokio::time;

use crate::direct::decisions::admission::{self, ServiceLoad};
use crate::direct::decisions::target_choice::{self, Criteria, NoChoice};
use crate::direct::exchange::call::Call;
use crate::direct::exchange::claim::Claim;
use crate::direct::exchange::outage;
use crate::direct::exchange::slot::Slot;
use crate::direct::exchange::trial;
use crate::direct::known::target::Target;
use crate::direct::message::{Cause, LocalAnswer};
use crate::direct::peering::permits;
use crate::problem::Executed;
use crate::telemetry::events;

/// The result of waiting for a slot; the error is the answer for the caller.
pub type Result<T> = result::Result<T, LocalAnswer>;

/// Chooses a target and acquires a slot there, waiting up to `max_wait` for one. While all targets
/// are unavailable the limit is that of [`admission::max_outage_wait`], if it is longer and the
/// outage is not a long one.
///
/// # Errors
///
/// Returns the answer for the caller where no slot becomes available in time, and at once where the
/// request is refused because targets crashed under it or under a part of its prompt.
pub async fn acquire(call: &mut Call, max_wait: Duration) -> Result<(Target, Slot)> {
    let entry = Rc::clone(&call.entry);
    let started = entry.now();
    // Others do not wait behind a request that waits for a trial.
    trial::wait(call, max_wait).await?;
    let mut claim = Claim::join(call);
    let result = loop {
        let now = entry.now();
        trial::check_refusal(call)?;
        entry.refresh_peer_loads();
        let mut wanted = criteria(call);
        if let Some(claim) = &mut claim {
            let contention = claim.look(call, &wanted);
            (wanted.kept, wanted.last_places) = (contention.kept(), contention.last_places());
        }
        let is_turn = claim.as_ref().is_none_or(|claim| claim.ahead() == 0);
        let chosen = match is_turn {
            true => entry.targets.borrow().choose(&wanted, now),
            false => Err(NoChoice::AllFull),
        };
        let reason = match chosen {
            Ok(choice) if choice.needs_permit => {
                permits::acquire(&entry, &choice.target.id).await;
                continue;
            }
            Ok(choice) => {
                outage::record_available(call);
                let slot = Slot::acquire(&entry, &choice.target.id);
                break Ok((choice.target, slot));
            }
            Err(reason) => reason,
        };
        let waited = now.saturating_sub(started);
        let max_wait = match reason {
            NoChoice::AllFull | NoChoice::NoTargets => max_wait,
            NoChoice::AllLimited => {
                max_wait.max(admission::max_permit_wait(call.route.objective, call.time_left()))
            }
            NoChoice::AllEmptied => Duration::ZERO,
            NoChoice::AllUnavailable if outage::is_long(call) => max_wait,
            NoChoice::AllUnavailable | NoChoice::AllBackingOff => {
                max_wait.max(admission::max_outage_wait(call.time_left()))
            }
        };
        if waited >= max_wait {
            break Err(reason);
        }
        let is_hopeless = claim.as_ref().is_some_and(|claim| claim.is_hopeless(max_wait - waited));
        if reason == NoChoice::AllFull && is_hopeless {
            break Err(reason);
        }
        let available_at = entry.targets.borrow().next_available_at(&call.service, now);
        let too_late = available_at.is_some_and(|at| at > started + max_wait);
        let time_is_known = matches!(reason, NoChoice::AllLimited | NoChoice::AllBackingOff);
        if time_is_known && too_late {
            break Err(reason);
        }
        let pause =
            available_at.map_or(max_wait, |at| at.saturating_sub(now)).min(max_wait - waited);
        let turn = async {
            match &claim {
                Some(claim) => claim.turn().await,
                None => future::pending().await,
            }
        };
        tokio::select! {
            () = entry.slots_changed.notified() => {
                // Any of those who wait may hear of a change, and the first of them makes use of it.
                if let Some(claim) = claim.as_ref().filter(|claim| claim.ahead() > 0) {
                    claim.wake_first();
                }
            }
            () = turn => {}
            () = time::sleep(pause) => {}
        }
    };
    let waited = entry.now().saturating_sub(started);
    call.waited += waited;
    entry.metrics.waited(waited);
    match result {
        Ok(acquired) => {
            entry.with_service_load(&call.service, |load| load.record_admitted());
            if let Some(claim) = &claim {
                claim.record_served(call);
            }
            Ok(acquired)
        }
        Err(reason) => Err(no_slot(call, reason, claim.as_ref())),
    }
}

fn no_slot(call: &Call, reason: NoChoice, claim: Option<&Claim>) -> LocalAnswer {
    let cause = match reason {
        NoChoice::NoTargets => Cause::NoTarget,
        NoChoice::AllEmptied => Cause::Emptied,
        NoChoice::AllUnavailable => Cause::TargetsPaused,
        NoChoice::AllFull => Cause::Full,
        NoChoice::AllLimited => Cause::Limited,
        NoChoice::AllBackingOff => Cause::BackingOff,
    };
    let entry = &call.entry;
    if reason == NoChoice::AllFull {
        log_full(call);
    }
    let left = call.time_left();
    // The more urgent return in the earlier part of the time over which returns are spread.
    let draw = claim.map_or_else(|| entry.random_fraction(), |claim| claim.return_draw(call));
    let place_after = claim.map_or(Duration::ZERO, Claim::place_after);
    let now = entry.now();
    let available_at = entry.targets.borrow().next_available_at(&call.service, now);
    let retry_after = entry.with_service_load(&call.service, |load| match reason {
        NoChoice::AllFull => {
            load.record_refused();
            load.retry_after(left, draw, place_after)
        }
        NoChoice::AllLimited => {
            load.record_refused();
            let turn = available_at.map_or(Duration::ZERO, |at| at.saturating_sub(now));
            load.retry_after(left, draw, Duration::ZERO).max(turn)
        }
        NoChoice::AllBackingOff => {
            let backoff = available_at.map_or(Duration::ZERO, |at| at.saturating_sub(now));
            ServiceLoad::retry_after_backoff(backoff, draw)
        }
        NoChoice::NoTargets | NoChoice::AllEmptied | NoChoice::AllUnavailable => {
            ServiceLoad::retry_after_outage(left, draw)
        }
    });
    if let Some(claim) = claim {
        claim.log_refused(call, retry_after);
    }
    let executed = if call.may_have_run { Executed::Unknown } else { Executed::No };
    LocalAnswer { cause, executed, retry_after: Some(retry_after) }
}

/// Logs the loads by which a request is refused.
fn log_full(call: &Call) {
    let targets = call.entry.targets.borrow();
    let groups = targets.group_loads(&criteria(call), call.entry.now());
    let groups = groups.iter().map(|group| {
        format!(
            " group={} load={} capacity={:.0} slots={:.0} pass_ms={}",
            group.group,
            group.load,
            group.capacity,
            group.slots,
            group.pass_time.map_or("-".to_owned(), |pass| pass.as_millis().to_string())
        )
    });
    events::log(
        events::ALL_FULL,
        format_args!(
            "id={} service={} waited_ms={}{}",
            call.caller.log_id(),
            call.service,
            call.waited.as_millis(),
            groups.collect::<String>()
        ),
    );
}

fn criteria(call: &Call) -> Criteria<'_> {
    Criteria {
        service: &call.service,
        fill: call.fill,
        pause_goal: call.pause_goal,
        tried: &call.tried,
        draw: rand::random(),
        kept: 0.0,
        last_places: target_choice::LAST_PLACES,
    }
}
