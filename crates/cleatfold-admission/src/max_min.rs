//! Weighted max-min fair shares by progressive filling.

/// The demand of one requester and its weight.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WeightedDemand {
    /// The maximum amount that the requester can use.
    pub amount: f64,
    /// Weight relative to the other requesters.
    pub weight: f64,
}

/// Divides `total` among the demands: no share exceeds its demand, and a share below its demand is, relative to its
/// weight, at least as large as every other share.
pub fn max_min_shares(total: f64, demands: &[WeightedDemand]) -> Vec<f64> {
    let mut shares = vec![0.0; demands.len()];
    let mut order: Vec<usize> = (0..demands.len())
        .filter(|&i| demands[i].amount > 0.0 && demands[i].weight > 0.0)
        .collect();
    // Demands that are satisfied at the lowest fill level come first.
    order.sort_by(|&a, &b| {
        let level = |i: usize| demands[i].amount / demands[i].weight;
        level(a).total_cmp(&level(b)).then(a.cmp(&b))
    });
    let mut remaining = total.max(0.0);
    let mut total_weight: f64 = order.iter().map(|&i| demands[i].weight).sum();
    for i in order {
        let WeightedDemand { amount, weight } = demands[i];
        shares[i] = amount.min(remaining * weight / total_weight).max(0.0);
        remaining -= shares[i];
        total_weight = (total_weight - weight).max(f64::MIN_POSITIVE);
    }
    shares
}
