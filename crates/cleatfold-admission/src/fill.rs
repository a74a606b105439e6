//! Weighted max-min by progressive filling.

/// What one asker wants, and how it is weighed against the others.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Need {
    /// What it can use at most.
    pub amount: f64,
    /// Its share against the others' weights.
    pub weight: f64,
}

/// Shares `total` out: nobody gets more than it needs, and whoever gets less than it needs gets,
/// by its weight, no less than anybody else.
pub fn fill(total: f64, needs: &[Need]) -> Vec<f64> {
    let mut given = vec![0.0; needs.len()];
    let mut order: Vec<usize> =
        (0..needs.len()).filter(|&i| needs[i].amount > 0.0 && needs[i].weight > 0.0).collect();
    // Whoever is satisfied at the lowest level is so first.
    order.sort_by(|&a, &b| {
        let level = |i: usize| needs[i].amount / needs[i].weight;
        level(a).total_cmp(&level(b)).then(a.cmp(&b))
    });
    let mut left = total.max(0.0);
    let mut weights: f64 = order.iter().map(|&i| needs[i].weight).sum();
    for i in order {
        let Need { amount, weight } = needs[i];
        given[i] = amount.min(left * weight / weights).max(0.0);
        left -= given[i];
        weights = (weights - weight).max(f64::MIN_POSITIVE);
    }
    given
}
