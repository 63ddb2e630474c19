//! Finds a place at a target for a request, and waits a while for one.
//!
//! How long is decided by [`waiting`], which target by [`targets`](crate::direct::targets).

use std::rc::Rc;
use std::result;
use std::time::Duration;

use tokio::time;

use crate::direct::call::Call;
use crate::direct::entry::Place;
use crate::direct::message::{Cause, LocalAnswer};
use crate::direct::targets::{NoChoice, Target, Wanted};
use crate::direct::waiting::{self, Pressure};
use crate::problem::Executed;

/// The result of looking for a place: the entry's own answer where there is none.
pub type Result<T> = result::Result<T, LocalAnswer>;

/// Finds a target and takes a place there, waiting for one for a while.
///
/// # Errors
///
/// Returns the entry's own answer where none comes free in time.
pub async fn place(call: &mut Call, longest: Duration) -> Result<(Target, Place)> {
    let entry = Rc::clone(&call.entry);
    let began = entry.now();
    let result = loop {
        let now = entry.now();
        let wanted = Wanted {
            service: &call.service,
            fill: call.fill,
            pace: call.pace,
            tried: &call.tried,
            draw: rand::random(),
        };
        let chosen = entry.targets.borrow().choose(&wanted, now);
        let why = match chosen {
            Ok(choice) => {
                let place = Place::take(&entry, &choice.target.id);
                break Ok((choice.target, place));
            }
            Err(why) => why,
        };
        let waited = now.saturating_sub(began);
        let longest = match why {
            NoChoice::AllFull | NoChoice::NoTargets => longest,
            NoChoice::AllPaused => longest.max(waiting::longest_outage_wait(call.time_left())),
        };
        if waited >= longest {
            break Err(why);
        }
        let chance = entry.targets.borrow().next_chance(&call.service, now);
        let nap = chance.map_or(longest, |at| at.saturating_sub(now)).min(longest - waited);
        tokio::select! {
            () = entry.places.notified() => {}
            () = time::sleep(nap) => {}
        }
    };
    let waited = entry.now().saturating_sub(began);
    call.waited += waited;
    entry.metrics.waited(waited);
    match result {
        Ok(found) => {
            entry.with_pressure(&call.service, |pressure| pressure.admitted());
            Ok(found)
        }
        Err(why) => Err(no_place(call, why)),
    }
}

fn no_place(call: &Call, why: NoChoice) -> LocalAnswer {
    let cause = match why {
        NoChoice::NoTargets => Cause::NoTarget,
        NoChoice::AllPaused => Cause::TargetsPaused,
        NoChoice::AllFull => Cause::Full,
    };
    let entry = &call.entry;
    let left = call.time_left();
    let draw = entry.draw();
    let come_back = entry.with_pressure(&call.service, |pressure| {
        if why != NoChoice::AllFull {
            return Pressure::after_outage(left, draw);
        }
        pressure.refused();
        pressure.retry_after(left, draw)
    });
    let executed = if call.may_have_run { Executed::Unknown } else { Executed::No };
    LocalAnswer { cause, executed, retry_after: Some(come_back) }
}
