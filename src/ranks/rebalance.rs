//! Decides whether a group should move experts now, and to which ranks.
//!
//! Load pattern: each layer of a step takes as long as the rank with the most work, so a hot expert
//! that is located on a single rank slows down all ranks, which costs more capacity than anything
//! else. A slow rank does the same, and sheds experts. Moving experts takes time and slows down the steps meanwhile, so the map is changed only
//! if it saves more than that before popularity changes again.

use crate::expert_map::map::{ExpertMap, Layer, Shape};
use crate::expert_map::placement;
use crate::ranks::switch::RankView;

/// Limits restricts one change of the map.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Number of experts that a rank may load in one layer.
    pub new_per_rank: usize,
    /// Amount by which loading one expert must reduce the skew of its layer.
    pub load_cost: f64,
}

/// The capacity, in ranks, that loading one expert must save in its layer on an idle group, whose
/// steps are short anyway. A load costs the same in a group of any size, and its savings benefit
/// the requests of all ranks.
const IDLE_LOAD_COST: f64 = 3.2;

/// The same on a group whose ranks are full, where shorter steps benefit more callers.
const FULL_LOAD_COST: f64 = 0.8;

/// Number of requests per rank at which a rank counts as full.
const FULL_REQUESTS_PER_RANK: f64 = 8.0;

/// Minimum reduction of the mean skew by a change, so that random variation does not move experts.
const MIN_SKEW_REDUCTION: f64 = 0.15;

/// Number of experts that a rank may load beyond an even share of all loads.
const LOADS_ABOVE_EVEN: usize = 1;

/// Part of the savings that a map with evenly spread loads must keep to be preferred.
const MIN_KEPT_SAVINGS: f64 = 0.9;

/// Returns the amount by which loading one expert must reduce the skew of its layer, which depends
/// on how full the ranks are.
pub fn load_cost(views: &[RankView]) -> f64 {
    let requests = views.iter().map(|view| f64::from(view.report.active + view.report.queued));
    let ranks = super::float(views.len().max(1));
    let fill_ratio = (requests.sum::<f64>() / ranks / FULL_REQUESTS_PER_RANK).min(1.0);
    (IDLE_LOAD_COST + (FULL_LOAD_COST - IDLE_LOAD_COST) * fill_ratio) / ranks
}

/// Proposal is a map that is better than the current one by more than switching costs.
#[derive(Clone, Debug)]
pub struct Proposal {
    /// The proposed map.
    pub map: ExpertMap,
    /// Skew of the current map: the busiest rank's work over the mean rank's, as the mean over all
    /// layers.
    pub current_skew: f64,
    /// Expected skew of the proposed map.
    pub planned_skew: f64,
    /// Number of experts that the ranks load in total.
    pub loads: usize,
}

/// Returns the skew of a map: the busiest rank's work over the mean rank's, as the mean over all
/// layers.
pub fn skew(map: &ExpertMap, shares: &[Vec<f64>], ranks: usize) -> f64 {
    skew_at(map, shares, &vec![1.0; ranks])
}

/// Returns the skew of a map on ranks of these speeds: the time of the rank that takes longest over
/// that of the mean rank at normal speed, as the mean over all layers.
pub fn skew_at(map: &ExpertMap, shares: &[Vec<f64>], speeds: &[f64]) -> f64 {
    let peaks = map.layers.iter().zip(shares).map(|(layer, shares)| {
        let tokens = layer.rank_tokens(shares);
        let times = tokens.iter().zip(speeds).map(|(tokens, speed)| tokens / speed);
        times.fold(0.0, f64::max) * super::float(speeds.len())
    });
    let sum: f64 = peaks.sum();
    sum / super::float(map.layers.len().max(1))
}

/// Returns a map that saves more than switching to it costs, if one is found, for ranks of equal speed.
pub fn propose(
    shape: &Shape,
    current: &ExpertMap,
    shares: &[Vec<f64>],
    limits: &Limits,
) -> Option<Proposal> {
    let speeds = vec![1.0; shape.ranks];
    let mut search = Search::new(shape, current, shares, &speeds, limits);
    while search.plan_layer() {}
    search.proposal()
}

/// Search plans a map one layer after the other. A switch waits for the rank that loads the most
/// experts, so a second round spreads the loads of the first one evenly over the ranks.
pub struct Search<'a> {
    shape: &'a Shape,
    current: &'a ExpertMap,
    shares: &'a [Vec<f64>],
    speeds: &'a [f64],
    limits: &'a Limits,
    planned: Vec<Layer>,
    /// Experts that each rank loads in the planned layers.
    loads: Vec<usize>,
    /// Experts that one rank may load in all layers.
    max_loads: usize,
    /// The map of the first round, once it is complete.
    uneven: Option<ExpertMap>,
}

impl<'a> Search<'a> {
    /// Returns a search for a better map than the current one, for ranks of these speeds.
    pub fn new(
        shape: &'a Shape,
        current: &'a ExpertMap,
        shares: &'a [Vec<f64>],
        speeds: &'a [f64],
        limits: &'a Limits,
    ) -> Self {
        let loads = vec![0; shape.ranks];
        let planned = Vec::new();
        let max_loads = usize::MAX;
        Self { shape, current, shares, speeds, limits, planned, loads, max_loads, uneven: None }
    }

    /// Plans the next layer. Returns false if there is none.
    pub fn plan_layer(&mut self) -> bool {
        let index = self.planned.len();
        if let (Some(layer), Some(shares)) =
            (self.current.layers.get(index), self.shares.get(index))
        {
            let left: Vec<usize> = self.loads.iter().map(|loads| self.max_loads - loads).collect();
            let new = place(self.shape, layer, shares, self.speeds, self.limits, &left);
            for (loads, (held, before)) in
                self.loads.iter_mut().zip(new.held.iter().zip(&layer.held))
            {
                *loads += held.iter().filter(|expert| !before.contains(expert)).count();
            }
            self.planned.push(new);
            return true;
        }
        let total: usize = self.loads.iter().sum();
        let most = self.loads.iter().copied().max().unwrap_or(0);
        let even = total.div_ceil(self.loads.len().max(1)) + LOADS_ABOVE_EVEN;
        if self.uneven.is_some() || most <= even {
            return false;
        }
        self.uneven = Some(ExpertMap { layers: std::mem::take(&mut self.planned) });
        self.loads.fill(0);
        self.max_loads = even;
        true
    }

    /// Returns the proposal of the map with evenly spread loads, or of the one of the first round
    /// if that saves far more.
    pub fn proposal(self) -> Option<Proposal> {
        let weigh = |map| weigh(self.current, map, self.shares, self.speeds);
        let even = weigh(ExpertMap { layers: self.planned });
        let Some(uneven) = self.uneven.and_then(weigh) else { return even };
        let saved = |proposal: &Proposal| proposal.current_skew - proposal.planned_skew;
        let keeps_savings = |even: &Proposal| saved(even) >= saved(&uneven) * MIN_KEPT_SAVINGS;
        even.filter(keeps_savings).or(Some(uneven))
    }
}

/// Returns the placement of one layer that is worth its loads, for ranks of these speeds.
pub fn improve_layer(
    shape: &Shape,
    current: &Layer,
    shares: &[f64],
    speeds: &[f64],
    limits: &Limits,
) -> Layer {
    place(shape, current, shares, speeds, limits, &[])
}

fn place(
    shape: &Shape,
    current: &Layer,
    shares: &[f64],
    speeds: &[f64],
    limits: &Limits,
    max_new_by_rank: &[usize],
) -> Layer {
    let input = placement::PlacementInput {
        shares,
        speeds,
        slots_per_rank: shape.slots_per_rank,
        max_new_per_rank: limits.new_per_rank,
        max_new_by_rank,
    };
    let ranks = super::float(shape.ranks);
    let value = |peak: f64, loads: usize| -peak * ranks - super::float(loads) * limits.load_cost;
    placement::improve(&input, current, &value)
}

/// Returns the proposal of a map, if it saves enough to switch to it.
pub fn weigh(
    current: &ExpertMap,
    map: ExpertMap,
    shares: &[Vec<f64>],
    speeds: &[f64],
) -> Option<Proposal> {
    let current_skew = skew_at(current, shares, speeds);
    let planned_skew = skew_at(&map, shares, speeds);
    let loads = map.loads_from(current);
    let pays_off = current_skew - planned_skew >= MIN_SKEW_REDUCTION;
    pays_off.then_some(Proposal { map, current_skew, planned_skew, loads })
}
