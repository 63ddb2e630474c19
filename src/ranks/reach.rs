//! Which agents of a group a rank's state is sent to.
//!
//! Load pattern: each rank of a large group reports its state ten times a second. Whoever coordinates
//! needs all of the reports, whoever collects counts those of its neighbours; the others only need to
//! know which of the lowest ranks are live, since one of these coordinates. Sent from each rank to all
//! others, the reports would grow with the square of the group.

use crate::ranks::expert_counts;

/// Number of heartbeats per one that goes beyond the agents that may coordinate.
const HEARTBEATS_PER_WIDER_MESSAGE: u64 = 4;

/// Number of the lowest ranks, from which the coordinator and its deputy usually come. Their states
/// go to the whole group with each wider message.
const LOW_RANKS: usize = 8;

/// Number of ranks up to which each rank's state goes to the whole group with each wider message.
const SMALL_GROUP: usize = 16;

/// The agents that a state is sent to, in addition to those that may coordinate.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reach {
    /// Nobody else.
    Coordinators,
    /// The lowest ranks and the neighbours for which one of them collects counts.
    Neighbours,
    /// All ranks of the group.
    Group,
}

impl Reach {
    /// Returns true if the state comes with the experts that the rank holds. They go to the agents that
    /// may coordinate with every wider message, so that one that has just started can plan soon.
    pub fn carries_experts(self) -> bool {
        self != Self::Coordinators
    }
}

/// Returns the reach of a rank's heartbeat with this sequence number.
pub fn of(rank: usize, ranks: usize, sequence: u64) -> Reach {
    if !sequence.is_multiple_of(HEARTBEATS_PER_WIDER_MESSAGE) {
        return Reach::Coordinators;
    }
    let stride = if rank < LOW_RANKS { 1 } else { ranks.div_ceil(SMALL_GROUP).max(1) };
    let round = sequence / HEARTBEATS_PER_WIDER_MESSAGE;
    match round.is_multiple_of(u64::try_from(stride).unwrap_or(u64::MAX)) {
        true => Reach::Group,
        false => Reach::Neighbours,
    }
}

/// Returns true if `other` gets the states of `rank` with [`Reach::Neighbours`].
pub fn is_neighbour(rank: usize, other: usize, ranks: usize) -> bool {
    let size = expert_counts::ranks_per_collector(ranks);
    other < LOW_RANKS || other / size == rank / size
}
