//! Compares progressive filling with a simple model that raises all shares in small steps.

use cleatfold_admission::max_min::{max_min_shares, WeightedDemand};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const STEPS: u32 = 20_000;

/// Every share grows in proportion to its weight until its demand is met or the total is used up.
fn model(total: f64, demands: &[WeightedDemand]) -> Vec<f64> {
    let increment = total / f64::from(STEPS);
    let mut shares = vec![0.0; demands.len()];
    for _ in 0..STEPS {
        let unsatisfied: Vec<usize> =
            (0..demands.len()).filter(|&i| shares[i] < demands[i].amount - 1e-12).collect();
        let weights: f64 = unsatisfied.iter().map(|&i| demands[i].weight).sum();
        for i in unsatisfied {
            shares[i] =
                (shares[i] + increment * demands[i].weight / weights).min(demands[i].amount);
        }
    }
    shares
}

#[test]
fn shares_match_the_incremental_model() {
    let mut rng = SmallRng::seed_from_u64(1);
    for case in 0..60 {
        let demands: Vec<WeightedDemand> = (0..rng.random_range(1..9))
            .map(|_| WeightedDemand {
                amount: rng.random_range(0.0..40.0),
                weight: f64::from(rng.random_range(1..4)),
            })
            .collect();
        let total = rng.random_range(0.0..120.0);
        let (shares, expected) = (max_min_shares(total, &demands), model(total, &demands));
        let tolerance = total * demands.len() as f64 * 2.0 / f64::from(STEPS) + 1e-6;
        for (a, b) in shares.iter().zip(&expected) {
            assert!((a - b).abs() <= tolerance, "case {case}: {shares:?} {expected:?}");
        }
        assert!(shares.iter().sum::<f64>() <= total + 1e-9, "case {case}: shares exceed the total");
    }
}
