//! Maps that follow popularity which shifts by two thirds every few seconds, in one layer or all, or
//! drifts slowly. The figure is the skew of the planned map on the demand of the requests that follow.

use std::time::Duration;

use bitternwall::expert_map::map::{ExpertMap, Shape};
use bitternwall::ranks::demand::DemandEstimator;
use bitternwall::ranks::expert_counts::{self, Halves};
use bitternwall::ranks::rebalance::{self, Limits};
use bitternwall::ranks::switch;

const LAYERS: usize = 4;
/// Choices of one request in one layer; all of them follow the request's own preferences.
const CHOICES_PER_REQUEST: usize = 200;
const REQUESTS_PER_RANK_AND_S: f64 = 2.4;
const WINDOW: Duration = Duration::from_millis(100);
/// Share of a request's choices that follow the popularity common to all requests.
const COMMON: f64 = 0.65;

struct Random(u64);

impl Random {
    fn below(&mut self, limit: usize) -> usize {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        usize::try_from(self.0 % u64::try_from(limit).expect("small")).expect("small")
    }

    fn fraction(&mut self) -> f64 {
        f64::from(u32::try_from(self.below(1 << 24)).expect("24 bits")) / f64::from(1_u32 << 24)
    }
}

/// Shares that fall with a power of an expert's position, in a random order.
fn popularity(random: &mut Random, experts: usize, steepness: f64) -> Vec<f64> {
    let float = |index: usize| f64::from(u32::try_from(index).expect("few"));
    let mut weights: Vec<f64> =
        (0..experts).map(|index| float(index + 2).powf(-steepness)).collect();
    for index in (1..experts).rev() {
        weights.swap(index, random.below(index + 1));
    }
    let sum: f64 = weights.iter().sum();
    weights.into_iter().map(|weight| weight / sum).collect()
}

struct Group {
    shape: Shape,
    steepness: f64,
    random: Random,
    truth: Vec<Vec<f64>>,
    demand: DemandEstimator,
    map: ExpertMap,
}

impl Group {
    fn new(ranks: usize, experts: usize, slots_per_rank: usize) -> Self {
        let shape = Shape { ranks, layers: LAYERS, experts, slots_per_rank };
        Self::steep(shape, 0.5)
    }

    fn steep(shape: Shape, steepness: f64) -> Self {
        let mut random = Random(0x9E37_79B9_7F4A_7C15);
        let layers = 0..shape.layers;
        let truth = layers.map(|_| popularity(&mut random, shape.experts, steepness)).collect();
        let map = ExpertMap::contiguous(&shape).expect("the group holds its experts");
        Self { shape, steepness, random, truth, demand: DemandEstimator::default(), map }
    }

    /// Replaces a part of the popularity in some layers.
    fn shift(&mut self, layers: usize, part: f64) {
        for layer in 0..layers {
            let new = popularity(&mut self.random, self.shape.experts, self.steepness);
            let old = &mut self.truth[layer];
            old.iter_mut().zip(new).for_each(|(old, new)| *old += part * (new - *old));
        }
    }

    /// Counts the choices of the requests that arrive within one window.
    fn window(&mut self) -> Halves {
        let mut halves = [0, 1].map(|_| vec![vec![0.0; self.shape.experts]; self.shape.layers]);
        for rank in 0..self.shape.ranks {
            let half = expert_counts::half_of(rank, self.shape.ranks);
            if self.random.fraction() > REQUESTS_PER_RANK_AND_S * WINDOW.as_secs_f64() {
                continue;
            }
            for (truth, counts) in self.truth.iter().zip(&mut halves[half]) {
                let own = self.random.below(self.shape.experts);
                for _ in 0..CHOICES_PER_REQUEST {
                    let expert = match self.random.fraction() < COMMON {
                        true => pick(truth, self.random.fraction()),
                        // The request's own topic prefers some neighbouring experts.
                        false => (own + self.random.below(16)) % self.shape.experts,
                    };
                    counts[expert] += 1.0;
                }
            }
        }
        halves
    }

    fn run(&mut self, time: Duration) {
        for _ in 0..time.as_millis() / WINDOW.as_millis() {
            let halves = self.window();
            self.demand.observe(&halves, WINDOW);
        }
    }

    /// Changes the map as often as that pays, and returns its skew on the true demand.
    fn rebalanced_skew(&mut self) -> f64 {
        let shares = self.demand.shares();
        let load_cost = 0.8 / f64::from(u32::try_from(self.shape.ranks).expect("few"));
        let limits = Limits { new_per_rank: 4, load_cost };
        for _ in 0..4 {
            match rebalance::propose(&self.shape, &self.map, &shares, &limits) {
                Some(proposal) => self.map = proposal.map,
                None => break,
            }
        }
        self.true_skew()
    }

    /// Returns the skew of the map in use on the true demand.
    fn true_skew(&self) -> f64 {
        let flat = 1.0 / f64::from(u32::try_from(self.shape.experts).expect("few"));
        let seen = |share: &f64| COMMON * share + (1.0 - COMMON) * flat;
        let truth: Vec<Vec<f64>> =
            self.truth.iter().map(|layer| layer.iter().map(seen).collect()).collect();
        rebalance::skew(&self.map, &truth, self.shape.ranks)
    }
}

/// Time for the counts to reach the coordinator, and for the orders of a switch and their answers.
const REPORT_TIME: Duration = Duration::from_millis(100);
const ORDER_TIME: Duration = Duration::from_millis(150);
/// Time for a rank to copy one expert.
const COPY_TIME: Duration = Duration::from_millis(37);
/// Time of a step of a full group.
const STEP_TIME: Duration = Duration::from_millis(90);

/// Runs a group of 32 ranks whose popularity shifts by two thirds every 2.5 s, and returns the mean
/// skew on the demand of the requests that follow, after a first shift. Maps come into force as late as
/// orders, copies and steps take, and the next one is planned after that.
fn skew_under_shifts(seed: u64) -> f64 {
    const SHIFTS: u32 = 5;
    let shape = Shape { ranks: 32, layers: 12, experts: 128, slots_per_rank: 5 };
    let mut group = Group::steep(shape, 0.82);
    group.random = Random(seed);
    let lead = STEP_TIME * u32::try_from(switch::LEAD_STEPS).expect("few");
    let mut pending: Option<(Duration, ExpertMap)> = None;
    let mut reported = std::collections::VecDeque::new();
    let mut skews = Vec::new();
    let windows_per_shift = 25;
    for window in 0..windows_per_shift * SHIFTS {
        let now = WINDOW * window;
        if window % windows_per_shift == 0 {
            group.shift(shape.layers, 0.67);
        }
        reported.push_back((now + WINDOW + REPORT_TIME, group.window()));
        while reported.front().is_some_and(|(at, _)| *at <= now) {
            let (_, counts) = reported.pop_front().expect("a front");
            group.demand.observe(&counts, WINDOW);
        }
        if let Some((_, map)) = pending.take_if(|(at, _)| *at <= now) {
            group.map = map;
        } else if pending.is_none() && group.demand.is_known() {
            let limits = Limits { new_per_rank: 2, load_cost: 0.8 / 32.0 };
            let proposal =
                rebalance::propose(&group.shape, &group.map, &group.demand.shares(), &limits);
            pending = proposal.map(|proposal| {
                let copies = most_loads(&proposal.map, &group.map);
                (now + ORDER_TIME + COPY_TIME * copies + lead, proposal.map)
            });
        }
        if window >= windows_per_shift {
            skews.push(group.true_skew());
        }
    }
    let count = f64::from(u32::try_from(skews.len()).expect("few"));
    skews.iter().sum::<f64>() / count
}

/// Returns the number of experts that the rank with the most of them loads.
fn most_loads(map: &ExpertMap, before: &ExpertMap) -> u32 {
    let loads = |rank: usize| {
        let layers = map.layers.iter().zip(&before.layers);
        let new = layers.map(|(layer, before)| {
            layer.held[rank].iter().filter(|expert| !before.held[rank].contains(expert)).count()
        });
        new.sum::<usize>()
    };
    let most = (0..map.layers[0].held.len()).map(loads).max().unwrap_or(0);
    u32::try_from(most).expect("few")
}

#[test]
fn shifts_every_few_seconds_are_followed_at_32_ranks() {
    let skews: Vec<f64> = [1, 2, 3].map(|seed| skew_under_shifts(0x9E37_79B9 * seed)).to_vec();

    assert!(skews.iter().all(|skew| *skew < 1.6), "{skews:.2?}");
}

/// The groups of the deployments: ranks, experts and slots.
const GROUPS: [(usize, usize, usize); 4] = [(8, 64, 11), (16, 64, 5), (72, 192, 3), (96, 192, 3)];

#[test]
fn a_large_group_follows_a_shift_within_half_a_second() {
    for (ranks, experts, slots) in GROUPS {
        let mut group = Group::new(ranks, experts, slots);
        group.run(Duration::from_secs(4));
        group.rebalanced_skew();
        group.shift(LAYERS, 0.69);
        let after = if ranks >= 72 { 500 } else { 1_500 };
        group.run(Duration::from_millis(after));
        let skew = group.rebalanced_skew();
        assert!(skew < 1.6, "{ranks} ranks, {after} ms after the shift: skew {skew:.2}");
    }
}

#[test]
fn a_shift_of_one_layer_is_seen_as_one() {
    let mut group = Group::new(96, 192, 3);
    group.run(Duration::from_secs(4));
    group.rebalanced_skew();
    group.shift(1, 0.69);
    group.run(Duration::from_millis(500));
    let skew = group.rebalanced_skew();
    assert!(skew < 1.6, "skew {skew:.2}");
}

#[test]
fn a_slow_drift_is_followed() {
    let mut group = Group::new(96, 192, 3);
    group.run(Duration::from_secs(4));
    for _ in 0..30 {
        group.shift(LAYERS, 0.05);
        group.run(Duration::from_millis(200));
    }
    let skew = group.rebalanced_skew();
    assert!(skew < 1.6, "skew {skew:.2}");
}

#[test]
fn a_steady_demand_is_not_mistaken_for_a_change() {
    for (ranks, experts, slots) in GROUPS {
        let mut group = Group::new(ranks, experts, slots);
        group.run(Duration::from_secs(6));
        group.rebalanced_skew();
        let mut moves = 0;
        for _ in 0..10 {
            group.run(Duration::from_millis(300));
            let before = group.map.clone();
            group.rebalanced_skew();
            moves += group.map.loads_from(&before);
        }
        // A tenth of all slots in three seconds.
        let limit = ranks * slots * LAYERS / 10;
        assert!(moves <= limit, "{ranks} ranks: {moves} loads");
    }
}

fn pick(shares: &[f64], draw: f64) -> usize {
    let mut sum = 0.0;
    let found = shares.iter().position(|share| {
        sum += share;
        draw < sum
    });
    found.unwrap_or(shares.len() - 1)
}
