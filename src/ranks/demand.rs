//! Estimates the demand for experts from how often the ranks' requests chose each of them.
//!
//! Load pattern: each expert's popularity drifts and sometimes jumps, and the counts of one second
//! come from a few dozen requests, each of which prefers other experts. A short window alone
//! therefore overfits: the estimate also uses older counts, with a weight that falls the more the
//! newest counts differ from them.

use std::time::Duration;

/// Time in which the weight of counts falls to 1/e while popularity is steady.
const LONG_DECAY_TIME: Duration = Duration::from_millis(4_000);

/// Time in which the weight of counts falls to 1/e after popularity has jumped.
const SHORT_DECAY_TIME: Duration = Duration::from_millis(500);

/// Distance between the short and the long average, from 0 to 1, up to which popularity counts as
/// steady. Random variation among the requests of half a second causes about this distance.
const STEADY_DISTANCE: f64 = 0.10;

/// Distance above which the long average is discarded.
const JUMP_DISTANCE: f64 = 0.22;

/// LayerEstimate holds the averages of one layer: one that decays fast and one that decays slowly.
#[derive(Clone, Debug, Default)]
struct LayerEstimate {
    short: Vec<f64>,
    long: Vec<f64>,
}

/// DemandEstimator estimates the demand for the experts of one group.
#[derive(Clone, Debug, Default)]
pub struct DemandEstimator {
    layers: Vec<LayerEstimate>,
}

impl DemandEstimator {
    /// Adds the counts, by layer, of the period `elapsed` that has just ended.
    pub fn observe(&mut self, counts: &[Vec<f64>], elapsed: Duration) {
        if self.layers.len() != counts.len() {
            *self = Self { layers: vec![LayerEstimate::default(); counts.len()] };
        }
        let decay =
            |decay_time: Duration| (-elapsed.as_secs_f64() / decay_time.as_secs_f64()).exp();
        let (short, long) = (decay(SHORT_DECAY_TIME), decay(LONG_DECAY_TIME));
        for (layer, counts) in self.layers.iter_mut().zip(counts) {
            decay_and_add(&mut layer.short, counts, short);
            decay_and_add(&mut layer.long, counts, long);
        }
        if self.distance() > JUMP_DISTANCE {
            for layer in &mut self.layers {
                layer.long.clone_from(&layer.short);
            }
        }
    }

    /// Returns true if every layer has counts, so that there is an estimate.
    pub fn is_known(&self) -> bool {
        !self.layers.is_empty()
            && self.layers.iter().all(|layer| layer.long.iter().sum::<f64>() > 0.0)
    }

    /// Returns the distance between the short and the long average, as the mean over all layers.
    pub fn distance(&self) -> f64 {
        let distances = self.layers.iter().map(|layer| distance(&layer.short, &layer.long));
        let sum: f64 = distances.sum();
        sum / super::float(self.layers.len().max(1))
    }

    /// Returns each expert's expected fraction of its layer's tokens, by layer.
    pub fn shares(&self) -> Vec<Vec<f64>> {
        let excess = (self.distance() - STEADY_DISTANCE) / (JUMP_DISTANCE - STEADY_DISTANCE);
        let short_weight = excess.clamp(0.0, 1.0);
        let blend = |layer: &LayerEstimate| {
            let (short, long) = (normalised(&layer.short), normalised(&layer.long));
            let pairs = short.iter().zip(&long);
            pairs.map(|(short, long)| short_weight * short + (1.0 - short_weight) * long).collect()
        };
        self.layers.iter().map(blend).collect()
    }
}

fn decay_and_add(sums: &mut Vec<f64>, counts: &[f64], decay: f64) {
    sums.resize(counts.len(), 0.0);
    for (sum, count) in sums.iter_mut().zip(counts) {
        *sum = *sum * decay + count;
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
