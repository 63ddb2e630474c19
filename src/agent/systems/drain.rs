//! Draining: the agent itself refuses new work, so that a target that is being taken out of service
//! gets none even if the host list is late or an entry's configuration is stale (docs/AGENT.md).

use crate::agent::events;
use crate::agent::world;

/// Adds or removes one cause of draining.
pub fn set(world: &mut world::AgentWorld, cause: events::DrainCause, on: bool) {
    if on {
        world.drains.causes.insert(cause);
    } else {
        world.drains.causes.remove(&cause);
    }
}

/// Notifies entries as soon as draining begins or ends, and the daemon when all work is done after
/// a stop signal.
pub fn run(world: &mut world::AgentWorld, effects: &mut Vec<events::Effect>) {
    let draining = world.draining();
    if world.drains.reported != draining {
        world.drains.reported = draining;
        effects.push(events::Effect::SendHeartbeats);
    }
    let stopping = world.drains.causes.contains(&events::DrainCause::Signal);
    if stopping && world.jobs.is_empty() {
        effects.push(events::Effect::Drained);
    }
}
