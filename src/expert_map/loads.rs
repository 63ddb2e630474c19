//! What a group reports of its steps, smoothed so that noise and single stalls trigger nothing.

/// Weight of the newest window in a smoothed expert load.
const NEWEST_WEIGHT: f64 = 0.5;
/// Share of an expert layer's tokens that must have moved for the old loads to be forgotten.
const SHIFT_SHARE: f64 = 0.12;
/// A rank this many times slower per token than the median rank is a straggler.
const STRAGGLER_SLOWNESS: f64 = 1.15;
/// Windows in a row after which a rank counts as a straggler, or no longer as one.
const CONFIRM_WINDOWS: u32 = 2;

/// Window gathers the steps between two plans.
#[derive(Clone, Debug, Default)]
pub struct Window {
    /// Tokens routed to each expert, by layer.
    pub tokens: Vec<Vec<f64>>,
    /// Seconds for each token, by rank and step.
    pub seconds_per_token: Vec<Vec<f64>>,
}

impl Window {
    /// Adds the tokens that one step routed to the experts of one layer.
    pub fn add_tokens(&mut self, layer: usize, tokens: &[f64]) {
        if self.tokens.len() <= layer {
            self.tokens.resize(layer + 1, Vec::new());
        }
        self.tokens[layer].resize(tokens.len(), 0.0);
        for (sum, count) in self.tokens[layer].iter_mut().zip(tokens) {
            *sum += count;
        }
    }

    /// Adds what one rank took for one step; a rank without tokens tells nothing of its speed.
    pub fn add_step(&mut self, rank: usize, tokens: f64, seconds: f64) {
        if self.seconds_per_token.len() <= rank {
            self.seconds_per_token.resize(rank + 1, Vec::new());
        }
        if tokens > 0.0 {
            self.seconds_per_token[rank].push(seconds / tokens);
        }
    }

    /// Returns how much slower than the median rank each rank is. The median over the steps
    /// hides a stall of one step.
    pub fn slowness(&self) -> Vec<f64> {
        let ranks: Vec<Option<f64>> = self.seconds_per_token.iter().map(|t| median(t)).collect();
        let known: Vec<f64> = ranks.iter().copied().flatten().collect();
        let middle = median(&known).filter(|middle| *middle > 0.0);
        ranks.iter().map(|rank| rank.zip(middle).map_or(1.0, |(own, all)| own / all)).collect()
    }
}

fn median(values: &[f64]) -> Option<f64> {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    sorted.get(sorted.len() / 2).copied()
}

/// RankPace is what is known of one rank's speed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RankPace {
    /// Speed relative to the median rank; 1 unless the rank is a straggler.
    pub speed: f64,
    /// Windows in a row in which the rank was slow.
    pub slow_windows: u32,
    /// Windows in a row in which the rank was not slow.
    pub normal_windows: u32,
}

impl RankPace {
    const NORMAL: Self = Self { speed: 1.0, slow_windows: 0, normal_windows: 0 };

    fn observe(&mut self, slowness: f64) {
        if slowness > STRAGGLER_SLOWNESS {
            self.slow_windows += 1;
            self.normal_windows = 0;
        } else {
            self.normal_windows += 1;
        }
        if self.slow_windows >= CONFIRM_WINDOWS && self.normal_windows == 0 {
            self.speed = 1.0 / slowness;
        }
        if self.normal_windows >= CONFIRM_WINDOWS {
            *self = Self { normal_windows: self.normal_windows, ..Self::NORMAL };
        }
    }
}

/// Loads is the smoothed view that plans are made from.
#[derive(Clone, Debug, Default)]
pub struct Loads {
    /// Each expert's share of its layer's tokens, by layer.
    pub shares: Vec<Vec<f64>>,
    /// The pace of each rank.
    pub ranks: Vec<RankPace>,
}

impl Loads {
    /// Takes in one window; a window without tokens changes nothing.
    pub fn observe(&mut self, window: &Window) {
        let fresh: Vec<Vec<f64>> = window.tokens.iter().map(|layer| normalised(layer)).collect();
        if fresh.iter().any(|layer| layer.iter().sum::<f64>() <= 0.0) {
            return;
        }
        self.shares.resize(fresh.len(), Vec::new());
        for (smoothed, newest) in self.shares.iter_mut().zip(&fresh) {
            smooth(smoothed, newest);
        }
        self.observe_ranks(&window.slowness());
    }

    fn observe_ranks(&mut self, slowness: &[f64]) {
        self.ranks.resize(slowness.len(), RankPace::NORMAL);
        for (rank, &slow) in self.ranks.iter_mut().zip(slowness) {
            rank.observe(slow);
        }
    }

    /// Returns the relative speed of each rank.
    pub fn speeds(&self) -> Vec<f64> {
        self.ranks.iter().map(|rank| rank.speed).collect()
    }
}

fn smooth(smoothed: &mut Vec<f64>, newest: &[f64]) {
    if smoothed.len() != newest.len() || distance(smoothed, newest) > SHIFT_SHARE {
        *smoothed = newest.to_vec();
        return;
    }
    for (old, new) in smoothed.iter_mut().zip(newest) {
        *old += NEWEST_WEIGHT * (new - *old);
    }
}

fn normalised(tokens: &[f64]) -> Vec<f64> {
    let sum: f64 = tokens.iter().sum();
    if sum <= 0.0 {
        return vec![0.0; tokens.len()];
    }
    tokens.iter().map(|count| count / sum).collect()
}

/// Returns the total variation distance of two distributions.
fn distance(a: &[f64], b: &[f64]) -> f64 {
    a.iter().zip(b).map(|(x, y)| (x - y).abs()).sum::<f64>() / 2.0
}
