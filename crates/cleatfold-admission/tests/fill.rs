//! Progressive filling against a plain model that raises the level a little at a time.

use cleatfold_admission::fill::{fill, Need};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const STEPS: u32 = 20_000;

/// Everybody's share grows at its weight's pace until it has what it needs or all is gone.
fn model(total: f64, needs: &[Need]) -> Vec<f64> {
    let drop = total / f64::from(STEPS);
    let mut given = vec![0.0; needs.len()];
    for _ in 0..STEPS {
        let hungry: Vec<usize> =
            (0..needs.len()).filter(|&i| given[i] < needs[i].amount - 1e-12).collect();
        let weights: f64 = hungry.iter().map(|&i| needs[i].weight).sum();
        for i in hungry {
            given[i] = (given[i] + drop * needs[i].weight / weights).min(needs[i].amount);
        }
    }
    given
}

#[test]
fn what_is_short_is_shared_as_the_plain_model_does() {
    let mut rng = SmallRng::seed_from_u64(1);
    for case in 0..60 {
        let needs: Vec<Need> = (0..rng.random_range(1..9))
            .map(|_| Need {
                amount: rng.random_range(0.0..40.0),
                weight: f64::from(rng.random_range(1..4)),
            })
            .collect();
        let total = rng.random_range(0.0..120.0);
        let (fast, slow) = (fill(total, &needs), model(total, &needs));
        let tolerance = total * needs.len() as f64 * 2.0 / f64::from(STEPS) + 1e-6;
        for (a, b) in fast.iter().zip(&slow) {
            assert!((a - b).abs() <= tolerance, "case {case}: {fast:?} {slow:?}");
        }
        assert!(fast.iter().sum::<f64>() <= total + 1e-9, "case {case}: more than there is");
    }
}
