//! Shares the weight store's rate among the groups that load experts.

/// Splits `total` among `demands` by max-min fairness: no group gets more than it asks for, and
/// a group that asks for more than an even share gets as much as any other such group.
pub fn share(total: f64, demands: &[f64]) -> Vec<f64> {
    let mut shares = vec![0.0; demands.len()];
    let mut by_demand: Vec<usize> = (0..demands.len()).collect();
    by_demand.sort_by(|&a, &b| demands[a].total_cmp(&demands[b]));
    let mut left = total.max(0.0);
    for (position, &group) in by_demand.iter().enumerate() {
        let even = left / super::float(by_demand.len() - position);
        shares[group] = demands[group].clamp(0.0, even);
        left -= shares[group];
    }
    shares
}
