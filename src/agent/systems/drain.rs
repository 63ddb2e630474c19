//! Draining: the agent refuses new work itself, so that a late list or a stale entry cannot
//! break the promise that a leaving target gets none (docs/AGENT.md).

use crate::agent::events;
use crate::agent::world;

/// Notes that a reason to drain came or went.
pub fn set(world: &mut world::AgentWorld, cause: events::DrainCause, on: bool) {
    if on {
        world.drains.causes.insert(cause);
    } else {
        world.drains.causes.remove(&cause);
    }
}

/// Tells entries at once when draining begins or ends, and the daemon when it is done.
pub fn run(world: &mut world::AgentWorld, effects: &mut Vec<events::Effect>) {
    let draining = world.draining();
    if world.drains.reported != draining {
        world.drains.reported = draining;
        effects.push(events::Effect::SendHeartbeats);
    }
    let leaving = world.drains.causes.contains(&events::DrainCause::Signal);
    if leaving && world.jobs.is_empty() {
        effects.push(events::Effect::Drained);
    }
}
