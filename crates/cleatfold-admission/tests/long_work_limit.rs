//! Long-running tasks of one team leave capacity to the other teams.

use cleatfold_admission::long_work_limit::{long_work_limit, TeamDemand};
use proptest::prelude::*;
use std::collections::BTreeMap;

fn demands(urgency: u8, rate: f64, run_s: f64) -> Vec<TeamDemand<u8>> {
    vec![TeamDemand { urgency, rate, run_s }]
}

/// Guards against one team's long tasks blocking the others: twelve teams demand most of the region in short tasks,
/// and a guest team submits six jobs that run for minutes.
#[test]
fn long_tasks_of_one_team_leave_capacity_to_the_others() {
    let mut all: BTreeMap<String, Vec<TeamDemand<u8>>> =
        (0..12).map(|i| (format!("team-{i}"), demands(3, 1_200.0, 45.0))).collect();
    let guest = "guest".to_string();
    all.insert(guest.clone(), demands(3, 60_000.0, 420.0));
    let limit = long_work_limit(&all, 24_000.0, &guest, 3).expect("the other teams have demand");
    assert!((130.0..140.0).contains(&limit.longer_than_s), "{limit:?}");
    assert!((limit.capacity_share - 0.25).abs() < 1e-9, "{limit:?}");
    // With little other demand it may hold nearly all processors, and with none there is no limit.
    all.values_mut().flatten().filter(|a| a.rate < 2_000.0).for_each(|a| a.rate = 100.0);
    assert!(long_work_limit(&all, 24_000.0, &guest, 3).expect("some demand").capacity_share > 0.9);
    all.retain(|team, _| *team == guest);
    assert_eq!(long_work_limit(&all, 24_000.0, &guest, 3), None);
}

#[test]
fn less_urgent_demand_does_not_limit_more_urgent_work() {
    let all = BTreeMap::from([("a", demands(1, 500.0, 100.0)), ("b", demands(3, 900.0, 10.0))]);
    assert_eq!(long_work_limit(&all, 1000.0, &"a", 1), None);
    assert!(long_work_limit(&all, 1000.0, &"b", 3).is_some());
}

proptest! {
    /// The limit is at least an equal share and at most the whole capacity, and does not grow with the demand of the
    /// other teams.
    #[test]
    fn limit_is_bounded_and_falls_with_other_demand(
        rates in prop::collection::vec(0.0f64..5_000.0, 1..10),
        more in 0.0f64..5_000.0,
    ) {
        let mut all: BTreeMap<usize, Vec<TeamDemand<u8>>> =
            rates.iter().enumerate().map(|(i, r)| (i + 1, demands(2, *r, 20.0))).collect();
        all.insert(0, demands(2, 9_000.0, 300.0));
        let before = long_work_limit(&all, 10_000.0, &0, 2);
        if let Some(before) = before {
            let equal_share = 1.0 / (1.0 + rates.len() as f64);
            prop_assert!(before.capacity_share >= equal_share - 1e-9 && before.capacity_share <= 1.0);
            all.get_mut(&1).unwrap()[0].rate += more;
            let after = long_work_limit(&all, 10_000.0, &0, 2).expect("the demand remains");
            prop_assert!(after.capacity_share <= before.capacity_share + 1e-9);
        } else {
            prop_assert!(rates.iter().sum::<f64>() < 100.0);
        }
    }
}
