//! Estimates which experts will be asked for, from what the ranks' requests chose.
//!
//! Load pattern: each expert's popularity drifts and sometimes jumps, and one second of counts
//! comes from a few dozen requests, each with its own taste. So a short window alone overfits: the
//! estimate leans on older counts, the less the more the newest ones differ from them.

use std::time::Duration;

/// Time in which the weight of counts falls to about a third while popularity is steady.
const LONG_MEMORY: Duration = Duration::from_millis(4_000);

/// Time in which the weight of counts falls to about a third after popularity has jumped.
const SHORT_MEMORY: Duration = Duration::from_millis(500);

/// Distance of the short and the long average, from 0 to 1, up to which popularity counts as
/// steady: about what chance gives for the requests of half a second.
const STEADY_DISTANCE: f64 = 0.10;

/// Distance from which on the long average is forgotten.
const JUMP_DISTANCE: f64 = 0.22;

/// Demand is the estimate for one layer.
#[derive(Clone, Debug, Default)]
struct Layer {
    short: Vec<f64>,
    long: Vec<f64>,
}

/// Demand is the estimate for all layers of one group.
#[derive(Clone, Debug, Default)]
pub struct DemandEstimator {
    layers: Vec<Layer>,
}

impl DemandEstimator {
    /// Takes in the counts of the last `elapsed`, by layer.
    pub fn observe(&mut self, counts: &[Vec<f64>], elapsed: Duration) {
        if self.layers.len() != counts.len() {
            *self = Self { layers: vec![Layer::default(); counts.len()] };
        }
        let fade = |memory: Duration| (-elapsed.as_secs_f64() / memory.as_secs_f64()).exp();
        let (short, long) = (fade(SHORT_MEMORY), fade(LONG_MEMORY));
        for (layer, counts) in self.layers.iter_mut().zip(counts) {
            add(&mut layer.short, counts, short);
            add(&mut layer.long, counts, long);
        }
        if self.distance() > JUMP_DISTANCE {
            for layer in &mut self.layers {
                layer.long.clone_from(&layer.short);
            }
        }
    }

    /// Tells whether enough was counted for an estimate.
    pub fn is_known(&self) -> bool {
        !self.layers.is_empty()
            && self.layers.iter().all(|layer| layer.long.iter().sum::<f64>() > 0.0)
    }

    /// Returns the mean distance of the short and the long average over all layers.
    pub fn distance(&self) -> f64 {
        let distances = self.layers.iter().map(|layer| distance(&layer.short, &layer.long));
        let sum: f64 = distances.sum();
        sum / super::float(self.layers.len().max(1))
    }

    /// Returns each expert's expected share of its layer's tokens, by layer.
    pub fn shares(&self) -> Vec<Vec<f64>> {
        let excess = (self.distance() - STEADY_DISTANCE) / (JUMP_DISTANCE - STEADY_DISTANCE);
        let newer = excess.clamp(0.0, 1.0);
        let blend = |layer: &Layer| {
            let (short, long) = (normalised(&layer.short), normalised(&layer.long));
            let pairs = short.iter().zip(&long);
            pairs.map(|(short, long)| newer * short + (1.0 - newer) * long).collect()
        };
        self.layers.iter().map(blend).collect()
    }
}

fn add(sums: &mut Vec<f64>, counts: &[f64], fade: f64) {
    sums.resize(counts.len(), 0.0);
    for (sum, count) in sums.iter_mut().zip(counts) {
        *sum = *sum * fade + count;
    }
}

fn normalised(counts: &[f64]) -> Vec<f64> {
    let sum: f64 = counts.iter().sum();
    if sum <= 0.0 {
        return vec![0.0; counts.len()];
    }
    counts.iter().map(|count| count / sum).collect()
}

fn distance(a: &[f64], b: &[f64]) -> f64 {
    let (a, b) = (normalised(a), normalised(b));
    a.iter().zip(&b).map(|(x, y)| (x - y).abs()).sum::<f64>() / 2.0
}
