//! Claims: a request that may not be repeated is handed on only once its claim is saved.

use crate::agent::events;
use crate::agent::systems::admission;
use crate::agent::tables;
use crate::agent::world;
use crate::wire;

/// Returns true where a job's claim has to be saved first.
pub fn needed(_world: &world::AgentWorld, job: &tables::Job) -> bool {
    job.key.is_some() && !job.claimed
}

/// Returns how many jobs may be claimed ahead of a free slot.
pub fn room_ahead(world: &world::AgentWorld) -> usize {
    world.options.slots
}

/// Asks for a job's claim.
pub fn request(
    world: &mut world::AgentWorld,
    id: events::JobId,
    effects: &mut Vec<events::Effect>,
) {
    let (reason, executed) = (wire::RefusalReason::StoreUnavailable, wire::Executed::No);
    admission::refuse_all(world, id, reason, executed, effects);
}
