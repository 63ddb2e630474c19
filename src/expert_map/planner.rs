//! Decides whether a group should change its expert map, and explains the decision.

use std::fmt;
use std::result;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::expert_map::{loads, map, placement};

/// The result of creating a planner or a plan.
pub type Result<T> = result::Result<T, map::MapError>;

/// Number of consecutive windows after which a slow rank is to be replaced.
const REPLACE_AFTER_WINDOWS: u32 = 8;
/// Maximum time for which a plan is expected to stay useful.
const MAX_PLAN_LIFETIME: Duration = Duration::from_secs(4 * 3600);
/// Minimum fraction of the step time that a switch must save.
const MIN_SAVED_FRACTION: f64 = 0.01;

/// Costs describes what it costs a group to load experts.
#[derive(Clone, Copy, Debug)]
pub struct Costs {
    /// Bytes of one expert of one layer.
    pub expert_bytes: f64,
    /// The group's share of the weight store's bandwidth, in bytes per second.
    pub bytes_per_second: f64,
    /// Fraction of the group's capacity that is used up while experts load.
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

/// Weights is how a policy weighs skew against the cost of loading experts.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct Weights {
    /// Weight of the step time that a switch saves.
    pub skew: u32,
    /// Weight of the capacity that loading experts uses up.
    pub cost: u32,
}

/// Reason is the planner's reason for keeping or changing the map.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// No step has been reported yet.
    NoLoads,
    /// No other map that was found saves enough step time.
    NothingBetter,
    /// A better map was found, but switching to it costs more than it saves.
    CostsMore,
    /// The new map saves more than switching to it costs.
    Pays,
}

/// Explanation shows an operator why a group keeps or changes its map and what would change that.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Explanation {
    /// The planner's reason for its decision.
    pub reason: Reason,
    /// Expected skew on the current map: the slowest rank's time over the mean rank's.
    pub present_skew: f64,
    /// Expected skew on the best map that was considered.
    pub planned_skew: f64,
    /// Seconds of step time that the switch is expected to save over its lifetime.
    pub saved_seconds: f64,
    /// Seconds of the group's capacity that the switch costs.
    pub cost_seconds: f64,
    /// Seconds that each second of cost must save for the switch to be made; set by the weights.
    pub needed_ratio: f64,
    /// Seconds for which the plan is expected to stay useful.
    pub expected_life_seconds: f64,
    /// Number of experts that the ranks would load in total.
    pub loads: usize,
    /// Indices of the slow ranks, which get less load.
    pub stragglers: Vec<usize>,
}

impl fmt::Display for Explanation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (current, planned) = (self.present_skew, self.planned_skew);
        let (saved, cost, needed) = (self.saved_seconds, self.cost_seconds, self.needed_ratio);
        match self.reason {
            Reason::NoLoads => write!(f, "The map stays: no step has been reported yet.")?,
            Reason::NothingBetter => write!(
                f,
                "The map stays: its expected skew is {current:.3}, and no map that is worth its cost \
                 saves {MIN_SAVED_FRACTION} of the step time. Other expert loads or a slow rank \
                 would change it."
            )?,
            Reason::CostsMore => write!(
                f,
                "The map stays: skew {planned:.3} instead of {current:.3} would save {saved:.1} s \
                 for {cost:.1} s of capacity, and the weights require {needed:.2} times the cost. \
                 A higher skew_weight, a lower cost_weight or steadier loads would change it."
            )?,
            Reason::Pays => write!(
                f,
                "The map changes: skew {planned:.3} instead of {current:.3} saves {saved:.1} s \
                 for {cost:.1} s of capacity ({} experts to load).",
                self.loads
            )?,
        }
        if !self.stragglers.is_empty() {
            write!(f, " Slow ranks, which get less load: {:?}.", self.stragglers)?;
        }
        Ok(())
    }
}

/// Plan is the planner's decision for one window.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The map to switch to; `None` if the current map should stay.
    pub switch_to: Option<map::ExpertMap>,
    /// Ranks to be replaced, because they stayed slow after their load was reduced.
    pub replace: Vec<usize>,
    /// The reasons for the decision, with the figures behind them.
    pub explanation: Explanation,
}

/// Planner plans the expert map of one group.
#[derive(Clone, Debug)]
pub struct Planner {
    shape: map::Shape,
    weights: Weights,
    window: Duration,
    loads: loads::SmoothedLoads,
    current: Option<map::ExpertMap>,
    windows_on_current: u32,
}

impl Planner {
    /// Returns a planner that has observed no load; `window` is the time between two plans.
    ///
    /// # Errors
    ///
    /// Returns a [`map::MapError`] if the group cannot hold its experts.
    pub fn new(shape: map::Shape, weights: Weights, window: Duration) -> Result<Self> {
        shape.check()?;
        Ok(Self {
            shape,
            weights,
            window,
            loads: loads::SmoothedLoads::default(),
            current: None,
            windows_on_current: 0,
        })
    }

    /// Adds what the group reported of the last window.
    pub fn observe(&mut self, window: &loads::Window) {
        self.loads.observe(window);
        self.windows_on_current = self.windows_on_current.saturating_add(1);
    }

    /// Plans from the current map and the current costs of loading experts.
    ///
    /// # Errors
    ///
    /// Returns a [`map::MapError`] if the current map does not fit the group.
    pub fn plan(&mut self, current: &map::ExpertMap, costs: &Costs) -> Result<Plan> {
        current.check(&self.shape)?;
        if self.current.as_ref().is_some_and(|before| before != current) {
            self.windows_on_current = 1;
        }
        self.current = Some(current.clone());
        if self.loads.shares.len() != self.shape.layers {
            return Ok(self.keep_map(Reason::NoLoads));
        }
        let context = self.context(current, costs);
        let planned = self.place_layers(current, &context);
        let explanation = self.explain(current, &planned, &context);
        let switch_to = (explanation.reason == Reason::Pays).then_some(planned);
        Ok(Plan { switch_to, replace: self.replaceable(), explanation })
    }

    fn context<'a>(&self, current: &map::ExpertMap, costs: &'a Costs) -> PlanContext<'a> {
        let speeds = self.speeds();
        let current_step_time = self.step_time(current, &speeds);
        let needed_ratio = f64::from(self.weights.cost) / f64::from(self.weights.skew.max(1));
        let lifetime_seconds = self.expected_lifetime().as_secs_f64();
        PlanContext { speeds, current_step_time, needed_ratio, lifetime_seconds, costs }
    }

    fn explain(
        &self,
        current: &map::ExpertMap,
        planned: &map::ExpertMap,
        context: &PlanContext<'_>,
    ) -> Explanation {
        let planned_step_time = self.step_time(planned, &context.speeds);
        let saved = (context.current_step_time - planned_step_time) / context.current_step_time;
        let loads = planned.loads_from(current);
        let saved_seconds = saved * context.lifetime_seconds;
        let cost_seconds = context.costs.capacity_seconds(loads);
        let reason = if saved < MIN_SAVED_FRACTION {
            Reason::NothingBetter
        } else if saved_seconds < context.needed_ratio * cost_seconds {
            Reason::CostsMore
        } else {
            Reason::Pays
        };
        let balanced_step_time =
            super::float(self.shape.layers) / context.speeds.iter().sum::<f64>();
        Explanation {
            reason,
            present_skew: context.current_step_time / balanced_step_time,
            planned_skew: planned_step_time / balanced_step_time,
            saved_seconds,
            cost_seconds,
            needed_ratio: context.needed_ratio,
            expected_life_seconds: context.lifetime_seconds,
            loads,
            stragglers: self.stragglers(),
        }
    }

    fn keep_map(&self, reason: Reason) -> Plan {
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
        ranks_matching(&self.loads.ranks, |rank| rank.speed < 1.0)
    }

    fn replaceable(&self) -> Vec<usize> {
        ranks_matching(&self.loads.ranks, |rank| rank.slow_windows >= REPLACE_AFTER_WINDOWS)
    }

    fn placement_input<'a>(
        &'a self,
        layer: usize,
        speeds: &'a [f64],
    ) -> placement::PlacementInput<'a> {
        let slots_per_rank = self.shape.slots_per_rank;
        placement::PlacementInput {
            shares: &self.loads.shares[layer],
            speeds,
            slots_per_rank,
            max_new_per_rank: usize::MAX,
            max_new_by_rank: &[],
        }
    }

    fn step_time(&self, map: &map::ExpertMap, speeds: &[f64]) -> f64 {
        let peak = |(layer, placed)| self.placement_input(layer, speeds).peak(placed);
        map.layers.iter().enumerate().map(peak).sum()
    }

    fn place_layers(&self, current: &map::ExpertMap, context: &PlanContext<'_>) -> map::ExpertMap {
        let value = |peak: f64, loads: usize| context.value(peak, loads);
        let layers = current.layers.iter().enumerate().map(|(index, placed)| {
            let input = self.placement_input(index, &context.speeds);
            best_layer(&input, placed, &value)
        });
        map::ExpertMap { layers: layers.collect() }
    }

    /// Returns how long a plan is expected to stay useful: as long as the current map has been in
    /// use, within bounds, since under a steady drift the next map ages as fast as this one did.
    fn expected_lifetime(&self) -> Duration {
        let lifetime = self.window.saturating_mul(self.windows_on_current);
        lifetime.clamp(self.window, MAX_PLAN_LIFETIME.max(self.window))
    }
}

/// PlanContext holds the inputs that all layers of one plan share.
struct PlanContext<'a> {
    speeds: Vec<f64>,
    current_step_time: f64,
    needed_ratio: f64,
    lifetime_seconds: f64,
    costs: &'a Costs,
}

impl PlanContext<'_> {
    /// Returns the value, in weighted seconds, of a layer with this peak for which ranks load
    /// `loads` experts.
    fn value(&self, peak: f64, loads: usize) -> f64 {
        let step_time = peak / self.current_step_time * self.lifetime_seconds;
        -step_time - self.needed_ratio * self.costs.capacity_seconds(loads)
    }
}

fn best_layer(
    input: &placement::PlacementInput<'_>,
    current: &map::Layer,
    value: &dyn Fn(f64, usize) -> f64,
) -> map::Layer {
    let layer_value = |layer: &map::Layer| value(input.peak(layer), layer.loads_from(current));
    let improved = placement::improve(input, current, value);
    let from_scratch =
        placement::align(placement::place_from_scratch(input), current, input.speeds);
    if layer_value(&from_scratch) > layer_value(&improved) { from_scratch } else { improved }
}

fn ranks_matching(ranks: &[loads::RankSpeed], test: fn(&loads::RankSpeed) -> bool) -> Vec<usize> {
    ranks.iter().enumerate().filter(|(_, rank)| test(rank)).map(|(index, _)| index).collect()
}
