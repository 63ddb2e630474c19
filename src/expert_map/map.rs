//! The expert map itself: for each layer, the experts that each rank holds.

use std::result;

use serde::{Deserialize, Serialize};

/// The result of checking a map.
pub type Result<T> = result::Result<T, MapError>;

/// MapError is why a map does not fit its group.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum MapError {
    /// The group cannot hold every expert once.
    #[error("{ranks} ranks with {slots_per_rank} slots hold fewer than {experts} experts.")]
    TooFewSlots {
        /// Ranks of the group.
        ranks: usize,
        /// Slots of one rank in one layer.
        slots_per_rank: usize,
        /// Experts of one layer.
        experts: usize,
    },
    /// A dimension of the group is zero.
    #[error("A group needs at least one rank, layer, expert and slot; {shape:?} has none of one.")]
    Empty {
        /// The dimensions.
        shape: Shape,
    },
    /// The map has other dimensions than its group.
    #[error("Layer {layer} of the map has {found} ranks instead of {expected}.")]
    WrongRanks {
        /// The layer.
        layer: usize,
        /// Ranks found.
        found: usize,
        /// Ranks of the group.
        expected: usize,
    },
    /// The map has other layers than its group.
    #[error("The map has {found} layers instead of {expected}.")]
    WrongLayers {
        /// Layers found.
        found: usize,
        /// Layers of the group.
        expected: usize,
    },
    /// A rank holds more than its slots.
    #[error("Rank {rank} holds {held} experts in layer {layer}; it has {slots} slots.")]
    Overfull {
        /// The layer.
        layer: usize,
        /// The rank.
        rank: usize,
        /// Experts held.
        held: usize,
        /// Slots of one rank.
        slots: usize,
    },
    /// A rank holds an expert twice, or one that does not exist.
    #[error("Rank {rank} holds expert {expert} of layer {layer} twice, or it does not exist.")]
    BadExpert {
        /// The layer.
        layer: usize,
        /// The rank.
        rank: usize,
        /// The expert.
        expert: usize,
    },
    /// No rank holds an expert.
    #[error("No rank holds expert {expert} of layer {layer}.")]
    Missing {
        /// The layer.
        layer: usize,
        /// The expert.
        expert: usize,
    },
}

/// Shape is the dimensions of a group, as `GroupSpec` declares them.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Shape {
    /// Ranks that advance in lock-step.
    pub ranks: usize,
    /// Mixture-of-experts layers.
    pub layers: usize,
    /// Experts of one layer.
    pub experts: usize,
    /// Experts that one rank can hold in one layer.
    pub slots_per_rank: usize,
}

impl Shape {
    /// Checks that the group can hold every expert.
    ///
    /// # Errors
    ///
    /// Returns a [`MapError`] where a dimension is zero or the slots do not suffice.
    pub fn check(&self) -> Result<()> {
        let Self { ranks, layers, experts, slots_per_rank } = *self;
        if [ranks, layers, experts, slots_per_rank].contains(&0) {
            return Err(MapError::Empty { shape: *self });
        }
        if ranks.saturating_mul(slots_per_rank) < experts {
            return Err(MapError::TooFewSlots { ranks, slots_per_rank, experts });
        }
        Ok(())
    }
}

/// Layer tells which experts each rank holds in one layer, in ascending order.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Layer {
    /// The experts by rank.
    pub held: Vec<Vec<usize>>,
}

impl Layer {
    /// Counts the experts that a rank would have to load to go from `present` to this layer.
    pub fn loads_from(&self, present: &Self) -> usize {
        let missing = |(held, before): (&Vec<usize>, &Vec<usize>)| {
            held.iter().filter(|expert| !before.contains(expert)).count()
        };
        self.held.iter().zip(&present.held).map(missing).sum()
    }

    /// Counts the replicas of each of `experts` experts.
    pub fn copies(&self, experts: usize) -> Vec<usize> {
        let mut copies = vec![0; experts];
        for &expert in self.held.iter().flatten() {
            copies[expert] += 1;
        }
        copies
    }

    /// Returns the tokens that each rank computes, where the replicas of an expert share its
    /// tokens evenly.
    pub fn rank_tokens(&self, tokens: &[f64]) -> Vec<f64> {
        let copies = self.copies(tokens.len());
        let share = |&expert: &usize| tokens[expert] / super::float(copies[expert]);
        self.held.iter().map(|held| held.iter().map(share).sum()).collect()
    }
}

/// ExpertMap is what all ranks of a group use in one step.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ExpertMap {
    /// The placement by layer.
    pub layers: Vec<Layer>,
}

impl ExpertMap {
    /// Returns the map of a group of which no load is known: experts in their order over the
    /// ranks, one replica each.
    ///
    /// # Errors
    ///
    /// Returns a [`MapError`] where the group cannot hold every expert.
    pub fn contiguous(shape: &Shape) -> Result<Self> {
        shape.check()?;
        let first = |rank: usize| rank * shape.experts / shape.ranks;
        let held = (0..shape.ranks).map(|rank| (first(rank)..first(rank + 1)).collect()).collect();
        Ok(Self { layers: vec![Layer { held }; shape.layers] })
    }

    /// Checks that the map fits the group and holds every expert.
    ///
    /// # Errors
    ///
    /// Returns the first [`MapError`].
    pub fn check(&self, shape: &Shape) -> Result<()> {
        shape.check()?;
        if self.layers.len() != shape.layers {
            return Err(MapError::WrongLayers { found: self.layers.len(), expected: shape.layers });
        }
        self.layers
            .iter()
            .enumerate()
            .try_for_each(|(index, layer)| check_layer(shape, index, layer))
    }

    /// Counts the experts that ranks would have to load to go from `present` to this map.
    pub fn loads_from(&self, present: &Self) -> usize {
        self.layers
            .iter()
            .zip(&present.layers)
            .map(|(layer, before)| layer.loads_from(before))
            .sum()
    }
}

fn check_layer(shape: &Shape, layer: usize, placed: &Layer) -> Result<()> {
    if placed.held.len() != shape.ranks {
        let (found, expected) = (placed.held.len(), shape.ranks);
        return Err(MapError::WrongRanks { layer, found, expected });
    }
    let mut found = vec![false; shape.experts];
    for (rank, held) in placed.held.iter().enumerate() {
        if held.len() > shape.slots_per_rank {
            let slots = shape.slots_per_rank;
            return Err(MapError::Overfull { layer, rank, held: held.len(), slots });
        }
        for (position, &expert) in held.iter().enumerate() {
            if expert >= shape.experts || held[..position].contains(&expert) {
                return Err(MapError::BadExpert { layer, rank, expert });
            }
            found[expert] = true;
        }
    }
    match found.iter().position(|present| !present) {
        Some(expert) => Err(MapError::Missing { layer, expert }),
        None => Ok(()),
    }
}
