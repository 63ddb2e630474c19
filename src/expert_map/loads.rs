//! Smooths what a group reports of its steps, so that noise and stalls of single steps do not
//! change the map.

/// Weight of the newest window in a smoothed expert load.
const NEWEST_WEIGHT: f64 = 0.5;
/// Fraction of a layer's tokens that must go to other experts for the old loads to be discarded.
const SHIFT_FRACTION: f64 = 0.12;
/// Time per token, relative to the median rank, above which a rank is slow.
const STRAGGLER_SLOWNESS: f64 = 1.15;
/// Number of consecutive windows after which a rank counts as a straggler, or no longer does.
const CONFIRMATION_WINDOWS: u32 = 2;

/// Window collects the measurements of the steps between two plans.
#[derive(Clone, Debug, Default)]
pub struct Window {
    /// Tokens routed to each expert, by layer.
    pub tokens: Vec<Vec<f64>>,
    /// Seconds per token, by rank and step.
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

    /// Adds the time that one rank took for one step. A step without tokens is ignored, since it
    /// does not show the rank's speed.
    pub fn add_step(&mut self, rank: usize, tokens: f64, seconds: f64) {
        if self.seconds_per_token.len() <= rank {
            self.seconds_per_token.resize(rank + 1, Vec::new());
        }
        if tokens > 0.0 {
            self.seconds_per_token[rank].push(seconds / tokens);
        }
    }

    /// Returns each rank's time per token relative to the median rank. A rank's own value is the
    /// median over its steps, so that a stall of one step has no effect.
    pub fn slowness(&self) -> Vec<f64> {
        let ranks: Vec<Option<f64>> = self.seconds_per_token.iter().map(|t| median(t)).collect();
        let medians: Vec<f64> = ranks.iter().copied().flatten().collect();
        let group_median = median(&medians).filter(|median| *median > 0.0);
        ranks
            .iter()
            .map(|rank| rank.zip(group_median).map_or(1.0, |(rank, group)| rank / group))
            .collect()
    }
}

fn median(values: &[f64]) -> Option<f64> {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    sorted.get(sorted.len() / 2).copied()
}

/// RankSpeed is the observed speed of one rank.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RankSpeed {
    /// Speed relative to the median rank; 1 unless the rank is a straggler.
    pub speed: f64,
    /// Number of consecutive windows in which the rank was slow.
    pub slow_windows: u32,
    /// Number of consecutive windows in which the rank was not slow.
    pub normal_windows: u32,
}

impl RankSpeed {
    const NORMAL: Self = Self { speed: 1.0, slow_windows: 0, normal_windows: 0 };

    fn observe(&mut self, slowness: f64) {
        if slowness > STRAGGLER_SLOWNESS {
            self.slow_windows += 1;
            self.normal_windows = 0;
        } else {
            self.normal_windows += 1;
        }
        if self.slow_windows >= CONFIRMATION_WINDOWS && self.normal_windows == 0 {
            self.speed = 1.0 / slowness;
        }
        if self.normal_windows >= CONFIRMATION_WINDOWS {
            *self = Self { normal_windows: self.normal_windows, ..Self::NORMAL };
        }
    }
}

/// SmoothedLoads holds the smoothed expert loads and rank speeds that plans are based on.
#[derive(Clone, Debug, Default)]
pub struct SmoothedLoads {
    /// Each expert's share of its layer's tokens, by layer.
    pub shares: Vec<Vec<f64>>,
    /// The speed of each rank.
    pub ranks: Vec<RankSpeed>,
}

impl SmoothedLoads {
    /// Adds one window; a window in which any layer has no tokens is ignored.
    pub fn observe(&mut self, window: &Window) {
        let newest: Vec<Vec<f64>> = window.tokens.iter().map(|layer| normalised(layer)).collect();
        if newest.iter().any(|layer| layer.iter().sum::<f64>() <= 0.0) {
            return;
        }
        self.shares.resize(newest.len(), Vec::new());
        for (smoothed, newest) in self.shares.iter_mut().zip(&newest) {
            smooth(smoothed, newest);
        }
        self.observe_ranks(&window.slowness());
    }

    fn observe_ranks(&mut self, slowness: &[f64]) {
        self.ranks.resize(slowness.len(), RankSpeed::NORMAL);
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
    if smoothed.len() != newest.len() || total_variation(smoothed, newest) > SHIFT_FRACTION {
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

/// Returns the total variation distance between two distributions.
fn total_variation(a: &[f64], b: &[f64]) -> f64 {
    a.iter().zip(b).map(|(x, y)| (x - y).abs()).sum::<f64>() / 2.0
}
