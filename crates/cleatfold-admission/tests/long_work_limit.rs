//! Long work leaves room for what comes.

use cleatfold_admission::long_work_limit::{long_work_limit, Asks};
use proptest::prelude::*;
use std::collections::BTreeMap;

fn asks(urgency: u8, rate: f64, run_s: f64) -> Vec<Asks<u8>> {
    vec![Asks { urgency, rate, run_s }]
}

/// The day that showed it: twelve teams ask for most of the region in short tasks, and a guest
/// comes with six jobs that run for minutes.
#[test]
fn long_jobs_of_one_team_leave_capacity_to_the_others() {
    let mut all: BTreeMap<String, Vec<Asks<u8>>> =
        (0..12).map(|i| (format!("team-{i}"), asks(3, 1_200.0, 45.0))).collect();
    let guest = "guest".to_string();
    all.insert(guest.clone(), asks(3, 60_000.0, 420.0));
    let rule = long_work_limit(&all, 24_000.0, &guest, 3).expect("others ask too");
    assert!((130.0..140.0).contains(&rule.longer_than_s), "{rule:?}");
    assert!((rule.part - 0.25).abs() < 1e-9, "{rule:?}");
    // On a quiet night it may have nearly everything, and where nobody else asks all of it.
    all.values_mut().flatten().filter(|a| a.rate < 2_000.0).for_each(|a| a.rate = 100.0);
    assert!(long_work_limit(&all, 24_000.0, &guest, 3).expect("a little").part > 0.9);
    all.retain(|team, _| *team == guest);
    assert_eq!(long_work_limit(&all, 24_000.0, &guest, 3), None);
}

#[test]
fn what_is_more_urgent_leaves_nothing_to_what_is_less() {
    let all = BTreeMap::from([("a", asks(1, 500.0, 100.0)), ("b", asks(3, 900.0, 10.0))]);
    assert_eq!(long_work_limit(&all, 1000.0, &"a", 1), None);
    assert!(long_work_limit(&all, 1000.0, &"b", 3).is_some());
}

proptest! {
    /// Nobody is left less than an even part, nobody gets more than there is, and
    /// the more the others ask for the less is had.
    #[test]
    fn long_work_limits_are_bounded_and_fall_as_others_ask(
        rates in prop::collection::vec(0.0f64..5_000.0, 1..10),
        more in 0.0f64..5_000.0,
    ) {
        let mut all: BTreeMap<usize, Vec<Asks<u8>>> =
            rates.iter().enumerate().map(|(i, r)| (i + 1, asks(2, *r, 20.0))).collect();
        all.insert(0, asks(2, 9_000.0, 300.0));
        let before = long_work_limit(&all, 10_000.0, &0, 2);
        if let Some(before) = before {
            let even = 1.0 / (1.0 + rates.len() as f64);
            prop_assert!(before.part >= even - 1e-9 && before.part <= 1.0);
            all.get_mut(&1).unwrap()[0].rate += more;
            let after = long_work_limit(&all, 10_000.0, &0, 2).expect("still asked for");
            prop_assert!(after.part <= before.part + 1e-9);
        } else {
            prop_assert!(rates.iter().sum::<f64>() < 100.0);
        }
    }
}
