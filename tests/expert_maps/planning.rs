//! Tests of the planner on the group model: valid maps, stragglers, stalls and fair shares.

use bitternwall::expert_map::planner::{Costs, Plan, Planner, Reason, Weights};
use bitternwall::expert_map::{budget, loads, map};
use proptest::prelude::*;

use crate::group::{self, Drift, Popularity, Rng, Straggler};
use crate::runner;

const SHAPE: map::Shape = map::Shape { ranks: 8, layers: 3, experts: 64, slots_per_rank: 10 };
const COSTS: Costs = Costs { expert_bytes: 25e6, bytes_per_second: 1e8, capacity_share: 0.1 };
const EVEN: Weights = Weights { skew: 1, cost: 1 };
const STEPS: usize = 20;

struct Group {
    popularity: Popularity,
    planner: Planner,
    map: map::ExpertMap,
    rng: Rng,
}

impl Group {
    fn new(weights: Weights) -> Self {
        Self {
            popularity: Popularity::new(SHAPE, Drift::Steady, 7),
            planner: Planner::new(SHAPE, weights, group::window()).expect("the shape fits"),
            map: map::ExpertMap::contiguous(&SHAPE).expect("the shape fits"),
            rng: Rng::new(9),
        }
    }

    /// Runs one window in which `straggler` is slow in the steps for which `is_slow` returns true.
    fn window(&mut self, straggler: Straggler, is_slow: impl Fn(usize) -> bool) -> Plan {
        let mut window = loads::Window::default();
        for step in 0..STEPS {
            let shares = |layer| self.popularity.shares(layer, 0.0);
            let shares: Vec<_> = (0..SHAPE.layers).map(shares).collect();
            let tokens: Vec<_> = shares.iter().map(|s| self.popularity.draw(s)).collect();
            let slow = is_slow(step).then_some(straggler);
            group::run_step(&self.map, &tokens, slow, &mut self.rng).report(&mut window);
            tokens.iter().enumerate().for_each(|(layer, t)| window.add_tokens(layer, t));
        }
        self.planner.observe(&window);
        let plan = self.planner.plan(&self.map, &COSTS).expect("the map fits");
        if let Some(map) = &plan.switch_to {
            map.check(&SHAPE).expect("a planned map fits");
            self.map = map.clone();
        }
        plan
    }

    fn tokens_of(&self, rank: usize) -> f64 {
        let tokens = |(layer, placed): (usize, &map::Layer)| {
            placed.rank_tokens(&self.popularity.shares(layer, 0.0))[rank]
        };
        self.map.layers.iter().enumerate().map(tokens).sum()
    }
}

const SLOW: Straggler = Straggler { rank: 3, slowness: 1.5 };

#[test]
fn a_stall_of_one_step_triggers_nothing() {
    let mut group = Group::new(EVEN);
    (0..4).for_each(|_| drop(group.window(SLOW, |_| false)));
    for _ in 0..4 {
        let plan = group.window(Straggler { rank: 3, slowness: 50.0 }, |step| step == 7);
        assert!(plan.switch_to.is_none());
        assert!(plan.explanation.stragglers.is_empty());
    }
}

#[test]
fn a_straggler_sheds_load_and_is_replaced_when_it_stays_slow() {
    let mut group = Group::new(EVEN);
    (0..4).for_each(|_| drop(group.window(SLOW, |_| false)));
    let before = group.tokens_of(SLOW.rank);
    let plans: Vec<Plan> = (0..10).map(|_| group.window(SLOW, |_| true)).collect();
    let shed = plans.iter().position(|plan| plan.switch_to.is_some()).unwrap();
    let replaced = plans.iter().position(|plan| plan.replace == [SLOW.rank]).unwrap();
    assert!(shed < replaced, "shed in window {shed}, replaced in window {replaced}");
    assert!(group.tokens_of(SLOW.rank) < before * 0.8);
    let healed: Vec<Plan> = (0..4).map(|_| group.window(SLOW, |_| false)).collect();
    assert!(healed[3].replace.is_empty() && healed[3].explanation.stragglers.is_empty());
    assert!(group.tokens_of(SLOW.rank) > before * 0.9);
}

#[test]
fn a_higher_cost_weight_keeps_the_map_and_says_why() {
    let mut group = Group::new(Weights { skew: 1, cost: 1_000_000_000 });
    let explanation = group.window(SLOW, |_| false).explanation;
    assert!(matches!(explanation.reason, Reason::CostsMore | Reason::NothingBetter));
    assert!(explanation.to_string().contains("would change it"));
    let mut eager = Group::new(Weights { skew: 1_000, cost: 1 });
    let plan = eager.window(SLOW, |_| false);
    assert_eq!(plan.explanation.reason, Reason::Pays);
    assert!(plan.explanation.planned_skew < plan.explanation.present_skew);
}

#[test]
fn a_group_without_reports_keeps_its_map() {
    let mut group = Group::new(EVEN);
    let plan = group.planner.plan(&group.map, &COSTS).unwrap();
    assert_eq!(plan.explanation.reason, Reason::NoLoads);
}

#[test]
fn plans_fit_their_group() {
    let shapes = (1usize..=12, 1usize..=3, 1usize..=40, 0usize..4);
    let cases = (shapes, any::<u64>(), 0u32..5, 0u32..5);
    let proof = runner(200).run(&cases, |((ranks, layers, experts, spare), seed, skew, cost)| {
        let slots_per_rank = experts.div_ceil(ranks) + spare;
        let shape = map::Shape { ranks, layers, experts, slots_per_rank };
        let mut planner = Planner::new(shape, Weights { skew, cost }, group::window()).unwrap();
        let mut current = map::ExpertMap::contiguous(&shape).unwrap();
        let mut rng = Rng::new(seed);
        for _ in 0..3 {
            let mut window = loads::Window::default();
            for layer in 0..layers {
                let tokens: Vec<f64> =
                    (0..experts).map(|_| group::count(rng.below(1000) + 1)).collect();
                window.add_tokens(layer, &tokens);
            }
            for rank in 0..ranks {
                window.add_step(rank, 1.0, group::count(rng.below(3) + 1));
            }
            planner.observe(&window);
            if let Some(map) = planner.plan(&current, &COSTS).unwrap().switch_to {
                prop_assert_eq!(map.check(&shape), Ok(()));
                current = map;
            }
        }
        Ok(())
    });
    proof.unwrap();
}

#[test]
fn shares_of_the_store_are_fair() {
    let cases = (0.0f64..1e3, prop::collection::vec(0.0f64..1e3, 1..20));
    let proof = runner(200).run(&cases, |(total, demands)| {
        let shares = budget::share(total, &demands);
        prop_assert!(shares.iter().sum::<f64>() <= total + 1e-6);
        let most = shares.iter().copied().fold(0.0, f64::max);
        for (share, demand) in shares.iter().zip(&demands) {
            prop_assert!(*share <= *demand);
            prop_assert!(*share >= demand.min(most) - 1e-6, "{shares:?}");
        }
        let wanted = demands.iter().sum::<f64>().min(total);
        prop_assert!((shares.iter().sum::<f64>() - wanted).abs() < 1e-6);
        Ok(())
    });
    proof.unwrap();
}
