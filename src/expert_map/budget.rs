//! Divides the weight store's bandwidth among the groups that load experts.

/// Divides `total` among `demands` by max-min fairness: no group gets more than its demand, and all
/// groups whose demand exceeds the fair share get the same.
pub fn share(total: f64, demands: &[f64]) -> Vec<f64> {
    let mut shares = vec![0.0; demands.len()];
    let mut by_demand: Vec<usize> = (0..demands.len()).collect();
    by_demand.sort_by(|&a, &b| demands[a].total_cmp(&demands[b]));
    let mut remaining = total.max(0.0);
    for (position, &group) in by_demand.iter().enumerate() {
        let fair_share = remaining / super::float(by_demand.len() - position);
        shares[group] = demands[group].clamp(0.0, fair_share);
        remaining -= shares[group];
    }
    shares
}
