//! Decides whether a group should move experts now, and where to.
//!
//! Load pattern: a step lasts as long as the rank with the most work in each layer, so a hot expert
//! that stands on one rank slows all of them down, and nothing else takes as much capacity. Moving
//! experts takes time and slows steps meanwhile; so a map is changed where it saves more than that
//! before popularity has moved on.

use crate::expert_map::map::{ExpertMap, Shape};
use crate::expert_map::placement;
use crate::ranks::switch::RankView;

/// Limits is what one change of the map may do.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Experts that a rank may newly load in one layer.
    pub new_per_rank: usize,
    /// The skew of a layer that loading one expert must save.
    pub load_cost: f64,
}

/// The capacity, in ranks, that loading one expert must save in its layer on an idle group, where
/// steps are short anyway. A load costs the same in a group of any size, and what it saves serves
/// the requests of all ranks.
const IDLE_LOAD_COST: f64 = 3.2;

/// The same on a group whose ranks are full, where shorter steps serve more callers.
const FULL_LOAD_COST: f64 = 0.8;

/// Requests of a rank from which on it counts as full.
const FULL_REQUESTS: f64 = 8.0;

/// Mean skew that a change must save at least, so that chance does not move experts.
const MIN_SAVED: f64 = 0.15;

/// Returns the skew of a layer that loading one expert must save, by how full the ranks are.
pub fn load_cost(views: &[RankView]) -> f64 {
    let requests = views.iter().map(|view| f64::from(view.report.active + view.report.queued));
    let ranks = super::float(views.len().max(1));
    let full = (requests.sum::<f64>() / ranks / FULL_REQUESTS).min(1.0);
    (IDLE_LOAD_COST + (FULL_LOAD_COST - IDLE_LOAD_COST) * full) / ranks
}

/// Proposal is a better map.
#[derive(Clone, Debug)]
pub struct Proposal {
    /// The map.
    pub map: ExpertMap,
    /// The mean over the layers of the busiest rank's work against the mean rank's, now.
    pub current_skew: f64,
    /// The same on the new map.
    pub planned_skew: f64,
    /// Experts that ranks load.
    pub loads: usize,
}

/// Returns the mean over the layers of the busiest rank's work against the mean rank's.
pub fn skew(map: &ExpertMap, shares: &[Vec<f64>], ranks: usize) -> f64 {
    let peaks = map.layers.iter().zip(shares).map(|(layer, shares)| {
        let tokens = layer.rank_tokens(shares);
        tokens.iter().copied().fold(0.0, f64::max) * super::float(ranks)
    });
    let sum: f64 = peaks.sum();
    sum / super::float(map.layers.len().max(1))
}

/// Looks for a map that saves more than moving to it costs.
pub fn propose(
    shape: &Shape,
    present: &ExpertMap,
    shares: &[Vec<f64>],
    limits: &Limits,
) -> Option<Proposal> {
    let speeds = vec![1.0; shape.ranks];
    let layers = present.layers.iter().zip(shares).map(|(layer, shares)| {
        let demand = placement::PlacementInput {
            shares,
            speeds: &speeds,
            slots_per_rank: shape.slots_per_rank,
            max_new_per_rank: limits.new_per_rank,
        };
        let ranks = super::float(shape.ranks);
        let value =
            |peak: f64, loads: usize| -peak * ranks - super::float(loads) * limits.load_cost;
        placement::improve(&demand, layer, &value)
    });
    let map = ExpertMap { layers: layers.collect() };
    let current_skew = skew(present, shares, shape.ranks);
    let planned_skew = skew(&map, shares, shape.ranks);
    let loads = map.loads_from(present);
    let pays = current_skew - planned_skew >= MIN_SAVED;
    pays.then_some(Proposal { map, current_skew, planned_skew, loads })
}
