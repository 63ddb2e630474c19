//! A small deterministic model of ranks in lock-step on an expert map, by seed. Each layer ends
//! when its slowest rank does, so a step takes the sum of the layers' slowest times.

use std::time::Duration;

use bitternwall::expert_map::{loads, map};

/// Tokens that one rank brings to one step, times the experts that each token is routed to.
const TOKENS_PER_RANK: f64 = 2_048.0;
/// Seconds that a rank of normal speed takes for one token of one expert.
const SECONDS_PER_TOKEN: f64 = 2e-6;
/// Exponent of the popularity's Zipf distribution.
const ZIPF_EXPONENT: f64 = 0.8;
/// Relative spread of the time that a rank takes for the same tokens.
const TIME_NOISE: f64 = 0.005;
/// Share of the run after which the popularity swaps suddenly, twice.
const SWAP_EVERY: f64 = 1.0 / 3.0;
/// Orders of popularity that a slow drift passes through in one run.
const SLOW_DRIFT_STAGES: f64 = 3.0;

/// Drift is how the experts' popularity changes over a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Drift {
    /// It stays as it is.
    Steady,
    /// It passes slowly from one order of the experts to the next.
    Slow,
    /// It stays, and changes to another order at once.
    Sudden,
    /// It swings between two orders, once in a run.
    Daily,
}

impl Drift {
    /// All of them.
    pub const ALL: [Self; 4] = [Self::Steady, Self::Slow, Self::Sudden, Self::Daily];

    /// Returns the name used in results.
    pub fn name(self) -> &'static str {
        match self {
            Self::Steady => "steady",
            Self::Slow => "slow",
            Self::Sudden => "sudden",
            Self::Daily => "daily",
        }
    }

    /// Returns two orders of popularity and how far the second has replaced the first, when
    /// `at` (from 0 to 1) of the run is over.
    fn blend(self, at: f64) -> (u64, u64, f64) {
        match self {
            Self::Steady => (0, 0, 0.0),
            Self::Slow => stage(at * SLOW_DRIFT_STAGES),
            Self::Sudden => {
                let (order, _, _) = stage(at / SWAP_EVERY);
                (order, order, 0.0)
            }
            Self::Daily => (0, 1, (1.0 - (std::f64::consts::TAU * at).cos()) / 2.0),
        }
    }
}

fn stage(position: f64) -> (u64, u64, f64) {
    let mut order = 0;
    let mut left = position;
    while left >= 1.0 {
        order += 1;
        left -= 1.0;
    }
    (order, order + 1, left)
}

/// Rng is a small generator with the same numbers on every machine (SplitMix64).
#[derive(Clone, Debug)]
pub struct Rng(u64);

impl Rng {
    /// Starts from a seed.
    pub fn new(seed: u64) -> Self {
        Self(seed)
    }

    /// Returns the next number.
    pub fn bits(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    /// Returns a number below `bound`.
    pub fn below(&mut self, bound: usize) -> usize {
        let bound = u64::try_from(bound).expect("a count fits in 64 bits");
        usize::try_from(self.bits() % bound).expect("below a usize")
    }

    /// Returns a nearly normal number with mean 0 and variance 1, from four uniform ones.
    pub fn normal(&mut self) -> f64 {
        let bits = self.bits();
        let part = |shift: u32| f64::from(u32::try_from((bits >> shift) & 0xffff).unwrap_or(0));
        let sum = part(0) + part(16) + part(32) + part(48);
        (sum / 65_536.0 - 2.0) * 3.0_f64.sqrt()
    }
}

/// Popularity gives the tokens that steps route to the experts.
#[derive(Clone, Debug)]
pub struct Popularity {
    shape: map::Shape,
    drift: Drift,
    seed: u64,
    rng: Rng,
}

impl Popularity {
    /// Starts a run.
    pub fn new(shape: map::Shape, drift: Drift, seed: u64) -> Self {
        Self { shape, drift, seed, rng: Rng::new(seed) }
    }

    /// Returns each expert's expected share of a layer's tokens when `at` of the run is over.
    pub fn shares(&self, layer: usize, at: f64) -> Vec<f64> {
        let (first, second, blend) = self.drift.blend(at);
        let (first, second) = (self.order(layer, first), self.order(layer, second));
        first.iter().zip(&second).map(|(a, b)| a * (1.0 - blend) + b * blend).collect()
    }

    fn order(&self, layer: usize, order: u64) -> Vec<f64> {
        let layer = u64::try_from(layer).expect("a count fits in 64 bits");
        let mut rng = Rng::new(self.seed ^ (layer << 32) ^ (order << 48) ^ 0x5eed);
        let mut ranked: Vec<f64> =
            (1u32..).take(self.shape.experts).map(|n| f64::from(n).powf(-ZIPF_EXPONENT)).collect();
        let sum: f64 = ranked.iter().sum();
        ranked.iter_mut().for_each(|share| *share /= sum);
        for index in (1..ranked.len()).rev() {
            ranked.swap(index, rng.below(index + 1));
        }
        ranked
    }

    /// Draws the tokens that one step routes to each expert of a layer.
    pub fn draw(&mut self, shares: &[f64]) -> Vec<f64> {
        let total = TOKENS_PER_RANK * count(self.shape.ranks);
        let mut tokens = |share: &f64| {
            let mean = share * total;
            (mean + mean.sqrt() * self.rng.normal()).max(0.0)
        };
        shares.iter().map(&mut tokens).collect()
    }
}

/// Converts a count to a float.
pub fn count(count: usize) -> f64 {
    f64::from(u32::try_from(count).expect("counts in the model are small"))
}

/// Straggler is a rank that is slow in some windows.
#[derive(Clone, Copy, Debug)]
pub struct Straggler {
    /// The rank.
    pub rank: usize,
    /// How many times slower it is.
    pub slowness: f64,
}

/// Step is what one step took.
#[derive(Clone, Debug)]
pub struct Step {
    /// Tokens that each rank computed, over all layers.
    pub rank_tokens: Vec<f64>,
    /// Seconds that each rank computed, over all layers.
    pub rank_seconds: Vec<f64>,
    /// Seconds that the step took: the slowest rank of each layer.
    pub seconds: f64,
    /// Seconds that the step would have taken with the same tokens split perfectly.
    pub perfect_seconds: f64,
}

impl Step {
    /// Returns the slowest rank's time over the mean rank's.
    pub fn skew(&self) -> f64 {
        let mean = self.rank_seconds.iter().sum::<f64>() / count(self.rank_seconds.len());
        self.seconds / mean
    }

    /// Reports the step as an engine does.
    pub fn report(&self, window: &mut loads::Window) {
        for (rank, (tokens, seconds)) in self.rank_tokens.iter().zip(&self.rank_seconds).enumerate()
        {
            window.add_step(rank, *tokens, *seconds);
        }
    }
}

/// Runs one step on a map; `tokens` are those of each layer's experts.
pub fn run_step(
    map: &map::ExpertMap,
    tokens: &[Vec<f64>],
    straggler: Option<Straggler>,
    rng: &mut Rng,
) -> Step {
    let ranks = map.layers.first().map_or(0, |layer| layer.held.len());
    let slowness = |rank: usize| match straggler {
        Some(slow) if slow.rank == rank => slow.slowness,
        _ => 1.0,
    };
    let speed: f64 = (0..ranks).map(|rank| 1.0 / slowness(rank)).sum();
    let mut step = Step {
        rank_tokens: vec![0.0; ranks],
        rank_seconds: vec![0.0; ranks],
        seconds: 0.0,
        perfect_seconds: 0.0,
    };
    for (layer, routed) in map.layers.iter().zip(tokens) {
        let mut slowest: f64 = 0.0;
        for (rank, tokens) in layer.rank_tokens(routed).into_iter().enumerate() {
            let noise = 1.0 + TIME_NOISE * rng.normal();
            let seconds = tokens * SECONDS_PER_TOKEN * slowness(rank) * noise;
            step.rank_tokens[rank] += tokens;
            step.rank_seconds[rank] += seconds;
            slowest = slowest.max(seconds);
        }
        step.seconds += slowest;
        step.perfect_seconds += routed.iter().sum::<f64>() * SECONDS_PER_TOKEN / speed;
    }
    step
}

/// Returns the time between two plans in the model.
pub fn window() -> Duration {
    Duration::from_secs(300)
}
