//! The expert map: for each layer, the experts that each rank holds.

use std::result;

use serde::{Deserialize, Serialize};

/// The result of checking a map.
pub type Result<T> = result::Result<T, MapError>;

/// MapError is the reason why a map does not fit its group.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum MapError {
    /// The group has fewer slots than experts.
    #[error("{ranks} ranks with {slots_per_rank} slots each cannot hold {experts} experts.")]
    TooFewSlots {
        /// Number of ranks in the group.
        ranks: usize,
        /// Number of slots of one rank in one layer.
        slots_per_rank: usize,
        /// Number of experts in one layer.
        experts: usize,
    },
    /// A dimension of the group is zero.
    #[error("A group needs at least one rank, layer, expert and slot; {shape:?} has a zero.")]
    Empty {
        /// The dimensions of the group.
        shape: Shape,
    },
    /// A layer of the map has a different number of ranks than the group.
    #[error("Layer {layer} of the map has {found} ranks instead of {expected}.")]
    WrongRanks {
        /// Index of the layer.
        layer: usize,
        /// Number of ranks in the layer of the map.
        found: usize,
        /// Number of ranks in the group.
        expected: usize,
    },
    /// The map has a different number of layers than the group.
    #[error("The map has {found} layers instead of {expected}.")]
    WrongLayers {
        /// Number of layers in the map.
        found: usize,
        /// Number of layers in the group.
        expected: usize,
    },
    /// A rank holds more experts than it has slots.
    #[error("Rank {rank} holds {held} experts in layer {layer}, but has only {slots} slots.")]
    Overfull {
        /// Index of the layer.
        layer: usize,
        /// Index of the rank.
        rank: usize,
        /// Number of experts that the rank holds.
        held: usize,
        /// Number of slots of one rank.
        slots: usize,
    },
    /// A rank holds an expert twice, or one that does not exist.
    #[error("Rank {rank} holds expert {expert} of layer {layer}, which is a duplicate or unknown.")]
    BadExpert {
        /// Index of the layer.
        layer: usize,
        /// Index of the rank.
        rank: usize,
        /// Index of the expert in its layer.
        expert: usize,
    },
    /// No rank holds an expert.
    #[error("No rank holds expert {expert} of layer {layer}.")]
    Missing {
        /// Index of the layer.
        layer: usize,
        /// Index of the expert in its layer.
        expert: usize,
    },
}

/// Shape holds the dimensions of a group, as `GroupSpec` declares them.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Shape {
    /// Number of ranks, which advance in lock-step.
    pub ranks: usize,
    /// Number of mixture-of-experts layers.
    pub layers: usize,
    /// Number of experts in one layer.
    pub experts: usize,
    /// Number of experts that one rank can hold in one layer.
    pub slots_per_rank: usize,
}

impl Shape {
    /// Checks that the group can hold every expert.
    ///
    /// # Errors
    ///
    /// Returns a [`MapError`] if a dimension is zero or there are fewer slots than experts.
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

/// Layer lists the experts that each rank holds in one layer.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Layer {
    /// The experts of each rank, in ascending order.
    pub held: Vec<Vec<usize>>,
}

impl Layer {
    /// Counts the experts that ranks would have to load to change from `current` to this layer.
    pub fn loads_from(&self, current: &Self) -> usize {
        let missing = |(held, before): (&Vec<usize>, &Vec<usize>)| {
            held.iter().filter(|expert| !before.contains(expert)).count()
        };
        self.held.iter().zip(&current.held).map(missing).sum()
    }

    /// Counts the replicas of each of `experts` experts.
    pub fn replicas(&self, experts: usize) -> Vec<usize> {
        let mut replicas = vec![0; experts];
        for &expert in self.held.iter().flatten() {
            replicas[expert] += 1;
        }
        replicas
    }

    /// Returns the tokens that each rank computes; the replicas of an expert share its tokens
    /// evenly.
    pub fn rank_tokens(&self, tokens: &[f64]) -> Vec<f64> {
        let replicas = self.replicas(tokens.len());
        let share = |&expert: &usize| tokens[expert] / super::float(replicas[expert]);
        self.held.iter().map(|held| held.iter().map(share).sum()).collect()
    }
}

/// ExpertMap is the placement of all experts that the ranks of a group use in one step.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ExpertMap {
    /// The placement in each layer.
    pub layers: Vec<Layer>,
}

impl ExpertMap {
    /// Returns the map for a group whose loads are unknown: one replica of each expert, distributed
    /// over the ranks in order.
    ///
    /// # Errors
    ///
    /// Returns a [`MapError`] if the group cannot hold every expert.
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
    /// Returns the first [`MapError`] found.
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

    /// Counts the experts that ranks would have to load to change from `current` to this map.
    pub fn loads_from(&self, current: &Self) -> usize {
        self.layers
            .iter()
            .zip(&current.layers)
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
    match found.iter().position(|found| !found) {
        Some(expert) => Err(MapError::Missing { layer, expert }),
        None => Ok(()),
    }
}
