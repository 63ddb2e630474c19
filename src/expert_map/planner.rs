//! Decides whether a group should change its expert map, and says why.

use std::fmt;
use std::result;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::expert_map::{loads, map, placement};

/// The result of making a plan.
pub type Result<T> = result::Result<T, map::MapError>;

/// Windows in a row after which a slow rank is to be replaced.
const REPLACE_WINDOWS: u32 = 8;
/// The longest that a plan is expected to pay.
const MAX_LIFE: Duration = Duration::from_secs(4 * 3600);
/// Part of the step time that a switch must save at least.
const MIN_SAVED: f64 = 0.01;

/// Costs is what a group pays for moving experts.
#[derive(Clone, Copy, Debug)]
pub struct Costs {
    /// Bytes of one expert of one layer.
    pub expert_bytes: f64,
    /// The group's share of the weight store's rate, in bytes a second.
    pub bytes_per_second: f64,
    /// Part of the group's capacity that loading takes while it lasts.
    pub capacity_share: f64,
}

impl Costs {
    /// Returns how long the weight store takes to deliver `loads` experts.
    pub fn preparation(&self, loads: usize) -> Duration {
        let seconds = super::float(loads) * self.expert_bytes / self.bytes_per_second;
        Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
    }

    fn capacity_seconds(&self, loads: usize) -> f64 {
        self.preparation(loads).as_secs_f64() * self.capacity_share
    }
}

/// Weights is how a policy values skew against the cost of moving experts.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct Weights {
    /// Weight of the step time saved.
    pub skew: u32,
    /// Weight of the capacity that moving takes.
    pub cost: u32,
}

/// Reason is why the planner chose as it did.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// No step has been reported yet.
    NoLoads,
    /// No other map within reach saves enough step time.
    NothingBetter,
    /// A better map is known, and moving to it costs more than it saves.
    CostsMore,
    /// The new map saves more than moving to it costs.
    Pays,
}

/// Explanation tells an operator why a group has its map and what would change it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Explanation {
    /// Why.
    pub reason: Reason,
    /// Expected skew on the present map: the slowest rank over the mean rank.
    pub present_skew: f64,
    /// Expected skew on the best map considered.
    pub planned_skew: f64,
    /// Seconds of step time that the switch is expected to save over its life.
    pub saved_seconds: f64,
    /// Seconds of the group's capacity that the switch costs.
    pub cost_seconds: f64,
    /// Saved seconds for each second of cost at which the weights allow the switch.
    pub needed_ratio: f64,
    /// Seconds for which the plan is expected to pay.
    pub expected_life_seconds: f64,
    /// Experts that ranks would load.
    pub loads: usize,
    /// Ranks that are slow and shed load.
    pub stragglers: Vec<usize>,
}

impl fmt::Display for Explanation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (present, planned) = (self.present_skew, self.planned_skew);
        let (saved, cost, needed) = (self.saved_seconds, self.cost_seconds, self.needed_ratio);
        match self.reason {
            Reason::NoLoads => write!(f, "The map stays: no step has been reported yet.")?,
            Reason::NothingBetter => write!(
                f,
                "The map stays: its expected skew is {present:.3}, and no map that pays is \
                 better by {MIN_SAVED}. Other expert loads or a slow rank would change it."
            )?,
            Reason::CostsMore => write!(
                f,
                "The map stays: skew {planned:.3} instead of {present:.3} would save {saved:.1} s \
                 for {cost:.1} s of capacity, and the weights ask for {needed:.2} times the cost. \
                 A higher skew_weight, a lower cost_weight or steadier loads would change it."
            )?,
            Reason::Pays => write!(
                f,
                "The map changes: skew {planned:.3} instead of {present:.3} saves {saved:.1} s \
                 for {cost:.1} s of capacity ({} experts to load).",
                self.loads
            )?,
        }
        if !self.stragglers.is_empty() {
            write!(f, " Slow ranks that shed load: {:?}.", self.stragglers)?;
        }
        Ok(())
    }
}

/// Plan is what a group should do next.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The map to switch to, if it pays.
    pub switch_to: Option<map::ExpertMap>,
    /// Ranks that stayed slow after they shed load, to be replaced.
    pub replace: Vec<usize>,
    /// Why.
    pub explanation: Explanation,
}

/// Planner plans for one group.
#[derive(Clone, Debug)]
pub struct Planner {
    shape: map::Shape,
    weights: Weights,
    window: Duration,
    loads: loads::Loads,
    present: Option<map::ExpertMap>,
    windows_on_present: u32,
}

impl Planner {
    /// Starts without any load known; `window` is the time between two plans.
    ///
    /// # Errors
    ///
    /// Returns a [`map::MapError`] where the group cannot hold its experts.
    pub fn new(shape: map::Shape, weights: Weights, window: Duration) -> Result<Self> {
        shape.check()?;
        Ok(Self {
            shape,
            weights,
            window,
            loads: loads::Loads::default(),
            present: None,
            windows_on_present: 0,
        })
    }

    /// Takes in what the group reported of the last window.
    pub fn observe(&mut self, window: &loads::Window) {
        self.loads.observe(window);
        self.windows_on_present = self.windows_on_present.saturating_add(1);
    }

    /// Plans from the present map and what moving costs now.
    ///
    /// # Errors
    ///
    /// Returns a [`map::MapError`] where the present map does not fit the group.
    pub fn plan(&mut self, present: &map::ExpertMap, costs: &Costs) -> Result<Plan> {
        present.check(&self.shape)?;
        if self.present.as_ref().is_some_and(|before| before != present) {
            self.windows_on_present = 1;
        }
        self.present = Some(present.clone());
        if self.loads.shares.len() != self.shape.layers {
            return Ok(self.keep(Reason::NoLoads));
        }
        let outlook = self.outlook(present, costs);
        let planned = self.place(present, &outlook);
        let explanation = self.explain(present, &planned, &outlook);
        let switch_to = (explanation.reason == Reason::Pays).then_some(planned);
        Ok(Plan { switch_to, replace: self.replaceable(), explanation })
    }

    fn outlook<'a>(&self, present: &map::ExpertMap, costs: &'a Costs) -> Outlook<'a> {
        let speeds = self.speeds();
        let present_time = self.step_time(present, &speeds);
        let needed_ratio = f64::from(self.weights.cost) / f64::from(self.weights.skew.max(1));
        let life_seconds = self.expected_life().as_secs_f64();
        Outlook { speeds, present_time, needed_ratio, life_seconds, costs }
    }

    fn explain(
        &self,
        present: &map::ExpertMap,
        planned: &map::ExpertMap,
        outlook: &Outlook<'_>,
    ) -> Explanation {
        let planned_time = self.step_time(planned, &outlook.speeds);
        let saved = (outlook.present_time - planned_time) / outlook.present_time;
        let loads = planned.loads_from(present);
        let saved_seconds = saved * outlook.life_seconds;
        let cost_seconds = outlook.costs.capacity_seconds(loads);
        let reason = if saved < MIN_SAVED {
            Reason::NothingBetter
        } else if saved_seconds < outlook.needed_ratio * cost_seconds {
            Reason::CostsMore
        } else {
            Reason::Pays
        };
        let perfect_time = super::float(self.shape.layers) / outlook.speeds.iter().sum::<f64>();
        Explanation {
            reason,
            present_skew: outlook.present_time / perfect_time,
            planned_skew: planned_time / perfect_time,
            saved_seconds,
            cost_seconds,
            needed_ratio: outlook.needed_ratio,
            expected_life_seconds: outlook.life_seconds,
            loads,
            stragglers: self.stragglers(),
        }
    }

    fn keep(&self, reason: Reason) -> Plan {
        let explanation = Explanation {
            reason,
            present_skew: 1.0,
            planned_skew: 1.0,
            saved_seconds: 0.0,
            cost_seconds: 0.0,
            needed_ratio: 0.0,
            expected_life_seconds: 0.0,
            loads: 0,
            stragglers: self.stragglers(),
        };
        Plan { switch_to: None, replace: self.replaceable(), explanation }
    }

    fn speeds(&self) -> Vec<f64> {
        let mut speeds = self.loads.speeds();
        speeds.resize(self.shape.ranks, 1.0);
        speeds
    }

    fn stragglers(&self) -> Vec<usize> {
        ranks_where(&self.loads.ranks, |rank| rank.speed < 1.0)
    }

    fn replaceable(&self) -> Vec<usize> {
        ranks_where(&self.loads.ranks, |rank| rank.slow_windows >= REPLACE_WINDOWS)
    }

    fn demand<'a>(&'a self, layer: usize, speeds: &'a [f64]) -> placement::PlacementInput<'a> {
        let slots_per_rank = self.shape.slots_per_rank;
        placement::PlacementInput {
            shares: &self.loads.shares[layer],
            speeds,
            slots_per_rank,
            max_new_per_rank: usize::MAX,
        }
    }

    fn step_time(&self, map: &map::ExpertMap, speeds: &[f64]) -> f64 {
        let peak = |(layer, placed)| self.demand(layer, speeds).peak(placed);
        map.layers.iter().enumerate().map(peak).sum()
    }

    fn place(&self, present: &map::ExpertMap, outlook: &Outlook<'_>) -> map::ExpertMap {
        let value = |peak: f64, loads: usize| outlook.value(peak, loads);
        let layers = present.layers.iter().enumerate().map(|(index, placed)| {
            let demand = self.demand(index, &outlook.speeds);
            best_layer(&demand, placed, &value)
        });
        map::ExpertMap { layers: layers.collect() }
    }

    /// Expects a plan to pay for as long as the present map has been in use, within bounds: under
    /// a steady drift the next map ages as fast as this one did.
    fn expected_life(&self) -> Duration {
        let life = self.window.saturating_mul(self.windows_on_present);
        life.clamp(self.window, MAX_LIFE.max(self.window))
    }
}

/// Outlook is what one plan counts with.
struct Outlook<'a> {
    speeds: Vec<f64>,
    present_time: f64,
    needed_ratio: f64,
    life_seconds: f64,
    costs: &'a Costs,
}

impl Outlook<'_> {
    /// Returns the weighted seconds that a layer with this peak is worth, if ranks load `loads`
    /// experts for it.
    fn value(&self, peak: f64, loads: usize) -> f64 {
        let step_time = peak / self.present_time * self.life_seconds;
        -step_time - self.needed_ratio * self.costs.capacity_seconds(loads)
    }
}

fn best_layer(
    demand: &placement::PlacementInput<'_>,
    present: &map::Layer,
    value: &dyn Fn(f64, usize) -> f64,
) -> map::Layer {
    let worth = |layer: &map::Layer| value(demand.peak(layer), layer.loads_from(present));
    let near = placement::improve(demand, present, value);
    let fresh = placement::align(placement::fresh(demand), present, demand.speeds);
    if worth(&fresh) > worth(&near) { fresh } else { near }
}

fn ranks_where(ranks: &[loads::RankPace], test: fn(&loads::RankPace) -> bool) -> Vec<usize> {
    ranks.iter().enumerate().filter(|(_, rank)| test(rank)).map(|(index, _)| index).collect()
}
