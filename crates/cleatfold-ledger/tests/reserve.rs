//! Changes reserved for acceptance, against a plain reading of shares.

use cleatfold_ledger::{AcceptanceReserve, Demand, Turn};
use proptest::prelude::*;

const STEP_S: f64 = 0.05;

/// A controller that asks for a turn as long as it gets one, every twentieth of a second.
struct Plain {
    rate: f64,
    share: f64,
    level: f64,
    reserve: AcceptanceReserve,
    accepted: f64,
    jobs: f64,
}

impl Plain {
    fn new(rate: f64, share: f64) -> Self {
        let reserve = AcceptanceReserve::default();
        Self { rate, share, level: 0.0, reserve, accepted: 0.0, jobs: 0.0 }
    }

    /// Lets whoever waits write; a job's transaction writes so many keys. Returns the submissions accepted.
    fn step(&mut self, mut submissions: usize, job_changes: Option<usize>) -> usize {
        self.level = (self.level + self.rate * STEP_S).min(self.rate);
        self.reserve.refill(self.rate, self.share, STEP_S);
        let most = (self.rate * self.share).ceil() as usize;
        let mut accepted = 0;
        loop {
            let open = self.level >= 1.0;
            let demand = Demand { open, acceptance: submissions > 0, jobs: job_changes.is_some() };
            match self.reserve.turn(demand) {
                Some(Turn::Acceptance) => {
                    let batch = self.reserve.batch(demand, most).min(submissions);
                    self.reserve.charge(demand, batch);
                    self.level -= batch as f64;
                    submissions -= batch;
                    accepted += batch;
                }
                Some(Turn::Jobs) => {
                    let changes = job_changes.expect("only what is due has a turn");
                    self.level -= changes as f64;
                    self.jobs += changes as f64;
                }
                None => break,
            }
        }
        self.accepted += accepted as f64;
        accepted
    }
}

const STEPS: usize = 2000;

fn allowed(rate: f64) -> f64 {
    rate * STEPS as f64 * STEP_S
}

/// What is saved up at the most, and what one transaction overdraws.
fn slack(rate: f64, job_changes: usize) -> f64 {
    2.0 * rate + 2.0 * job_changes as f64 + 4.0
}

proptest! {
    /// With both always waiting each gets its share, counted in changes and not in transactions, and together no more
    /// than the rate.
    #[test]
    fn both_wait(rate in 2.0..80.0f64, share in 0.1..0.9f64, job_changes in 1usize..17) {
        let mut plain = Plain::new(rate, share);
        for _ in 0..STEPS {
            plain.step(1000, Some(job_changes));
        }
        let slack = slack(rate, job_changes);
        let all = allowed(rate);
        prop_assert!(plain.accepted >= share * all - slack, "{} accepted", plain.accepted);
        prop_assert!(plain.jobs >= (1.0 - share) * all - slack, "{} changes of jobs", plain.jobs);
        prop_assert!(plain.accepted + plain.jobs <= all + slack);
    }

    /// What one of them does not ask for the other has.
    #[test]
    fn idle_parts_are_lent(rate in 2.0..80.0f64, share in 0.1..0.9f64, job_changes in 1usize..17) {
        let mut alone = Plain::new(rate, share);
        let mut without = Plain::new(rate, share);
        for _ in 0..STEPS {
            alone.step(1000, None);
            without.step(0, Some(job_changes));
        }
        let (slack, all) = (slack(rate, job_changes), allowed(rate));
        prop_assert!((alone.accepted - all).abs() <= slack, "{} accepted of {all}", alone.accepted);
        prop_assert!((without.jobs - all).abs() <= slack, "{} changes of {all}", without.jobs);
    }

    /// Submissions that ask for no more than their share wait for no job, however much is due and however large its
    /// changes are.
    #[test]
    fn within_the_share_nobody_waits(rate in 4.0..80.0f64, job_changes in 1usize..17) {
        let share = 0.5;
        let mut plain = Plain::new(rate, share);
        for _ in 0..100 {
            plain.step(0, Some(job_changes));
        }
        let pause = (1.0 / (rate * share * STEP_S)).ceil() as usize;
        for step in 0..STEPS {
            let comes = usize::from(step % pause == 0);
            prop_assert_eq!(plain.step(comes, Some(job_changes)), comes, "step {}", step);
        }
    }
}
