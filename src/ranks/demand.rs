//! Estimates the demand for experts from how often the ranks' requests chose each of them.
//!
//! Load pattern: each expert's popularity drifts and sometimes jumps, for all layers or for one, and
//! the counts come from some requests, each of which prefers other experts. What may count as chance
//! depends on how many requests were counted: a group of 96 ranks sees a change within a fraction of
//! a second that a group of 8 cannot tell from noise for seconds.
//!
//! The estimate starts from the slowest average and moves towards each faster one as far as their
//! difference exceeds chance. The weight is that of a positive-part James-Stein estimator
//! (W. James and C. Stein, "Estimation with quadratic loss", 1961): with a squared difference `d` of
//! which `v` is expected by chance alone, it is `max(0, 1 - v / d)`. The variance `v` is measured:
//! the counts come in two halves, from different ranks in the same time, and what these differ by is
//! chance whatever the requests have in common.

use std::time::Duration;

use crate::ranks::expert_counts::Halves;

/// Times in which the weight of counts falls to 1/e, from the slowest average to the fastest.
const DECAY_TIMES: [Duration; 4] = [
    Duration::from_millis(4_000),
    Duration::from_millis(1_000),
    Duration::from_millis(300),
    Duration::from_millis(100),
];

/// Weight of a faster average from which the popularity counts as changed for good, so that the
/// slower averages start again from it: the squared difference is five times that of chance.
const JUMP_WEIGHT: f64 = 0.8;

/// Average holds the decayed counts of one layer, by half.
#[derive(Clone, Debug, Default)]
struct Average {
    halves: [Vec<f64>; 2],
}

impl Average {
    fn add(&mut self, counts: [&[f64]; 2], decay: f64) {
        for (sums, counts) in self.halves.iter_mut().zip(counts) {
            let length = sums.len().max(counts.len());
            sums.resize(length, 0.0);
            sums.iter_mut().for_each(|sum| *sum *= decay);
            sums.iter_mut().zip(counts).for_each(|(sum, count)| *sum += count);
        }
    }

    /// Returns each expert's share of the tokens, or `None` without counts.
    fn shares(&self) -> Option<Vec<f64>> {
        let [a, b] = &self.halves;
        let sums: Vec<f64> = (0..a.len().max(b.len())).map(|i| at(a, i) + at(b, i)).collect();
        let total: f64 = sums.iter().sum();
        (total > 0.0).then(|| sums.into_iter().map(|sum| sum / total).collect())
    }

    /// Returns the expected squared distance of the shares from the true ones, estimated from the
    /// difference of the halves; infinite if a half has no counts.
    fn variance(&self) -> f64 {
        let [a, b] = &self.halves;
        let (sum_a, sum_b): (f64, f64) = (a.iter().sum(), b.iter().sum());
        if sum_a <= 0.0 || sum_b <= 0.0 {
            return f64::INFINITY;
        }
        let squares = (0..a.len().max(b.len())).map(|i| {
            let difference = at(a, i) / sum_a - at(b, i) / sum_b;
            difference * difference
        });
        let total = sum_a + sum_b;
        squares.sum::<f64>() * (sum_a / total) * (sum_b / total)
    }
}

fn at(counts: &[f64], index: usize) -> f64 {
    counts.get(index).copied().unwrap_or(0.0)
}

/// DemandEstimator estimates the demand for the experts of one group.
#[derive(Clone, Debug, Default)]
pub struct DemandEstimator {
    /// The averages of each layer, in the order of [`DECAY_TIMES`].
    layers: Vec<[Average; DECAY_TIMES.len()]>,
}

impl DemandEstimator {
    /// Adds the counts of the period `elapsed` that has just ended, of two halves of the ranks and by
    /// layer. Layers may be empty.
    pub fn observe(&mut self, counts: &Halves, elapsed: Duration) {
        let [first, second] = counts;
        if self.layers.len() != first.len() || first.len() != second.len() {
            self.layers = vec![Default::default(); first.len().min(second.len())];
        }
        let decays =
            DECAY_TIMES.map(|decay_time| (-elapsed.as_secs_f64() / decay_time.as_secs_f64()).exp());
        for ((layer, first), second) in self.layers.iter_mut().zip(first).zip(second) {
            for (average, decay) in layer.iter_mut().zip(decays) {
                average.add([first, second], decay);
            }
            restart_after_jump(layer);
        }
    }

    /// Returns true if every layer has counts, so that there is an estimate.
    pub fn is_known(&self) -> bool {
        !self.layers.is_empty() && self.layers.iter().all(|layer| layer[0].shares().is_some())
    }

    /// Returns the weight of the fastest average against the slower ones, from 0 to 1, as the mean
    /// over all layers: 0 while popularity is steady, as far as the counts show.
    pub fn change(&self) -> f64 {
        let weights = self.layers.iter().map(|layer| {
            let slower = blend(&layer[..DECAY_TIMES.len() - 1]);
            slower.map_or(0.0, |slower| weight(&layer[DECAY_TIMES.len() - 1], &slower))
        });
        weights.sum::<f64>() / super::float(self.layers.len().max(1))
    }

    /// Returns each expert's expected fraction of its layer's tokens, by layer.
    pub fn shares(&self) -> Vec<Vec<f64>> {
        self.layers.iter().map(|layer| blend(layer).unwrap_or_default()).collect()
    }
}

/// Returns the estimate from averages of one layer, the slowest first; `None` without counts.
fn blend(averages: &[Average]) -> Option<Vec<f64>> {
    let mut estimate = averages.first()?.shares()?;
    for average in &averages[1..] {
        let Some(shares) = average.shares() else { continue };
        let weight = weight(average, &estimate);
        for (estimate, share) in estimate.iter_mut().zip(shares) {
            *estimate += weight * (share - *estimate);
        }
    }
    Some(estimate)
}

/// Returns the weight of an average against an estimate from slower ones, from 0 to 1.
fn weight(average: &Average, estimate: &[f64]) -> f64 {
    let Some(shares) = average.shares() else { return 0.0 };
    let squares = shares.iter().zip(estimate).map(|(a, b)| (a - b) * (a - b));
    let difference: f64 = squares.sum();
    if difference <= 0.0 {
        return 0.0;
    }
    (1.0 - average.variance() / difference).max(0.0)
}

/// Lets the slower averages of a layer start again from a faster one that differs from them by far
/// more than chance.
fn restart_after_jump(layer: &mut [Average; DECAY_TIMES.len()]) {
    for index in 1..DECAY_TIMES.len() {
        let jumped = layer[index - 1]
            .shares()
            .is_some_and(|slower| weight(&layer[index], &slower) >= JUMP_WEIGHT);
        if jumped {
            let (slower, faster) = layer.split_at_mut(index);
            slower.iter_mut().for_each(|average| average.clone_from(&faster[0]));
        }
    }
}
