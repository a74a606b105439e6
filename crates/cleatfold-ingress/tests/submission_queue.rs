//! Submissions by team compared with a simple round-robin model.

use cleatfold_ingress::SubmissionQueue;
use proptest::prelude::*;
use std::collections::BTreeMap;

/// One team sends about seventeen submissions per second where eleven can be accepted, two other
/// teams send one per second each. With one queue for all, three in four of all were rejected.
#[test]
fn many_small_jobs_of_one_team_delay_only_that_team() {
    let mut submission_queue: SubmissionQueue<&str, u64> = SubmissionQueue::new(4500);
    let (mut worst_wait_ms, mut refused) = (BTreeMap::new(), BTreeMap::new());
    for ms in (0..60_000u64).step_by(10) {
        let mut submit = |team: &'static str| {
            if submission_queue.estimated_wait_s(&team, 11.0) > 3.0 {
                *refused.entry(team).or_insert(0) += 1;
            } else {
                submission_queue.push(team, ms, ms);
            }
        };
        if ms % 60 == 0 {
            submit("flooding");
        }
        if ms % 1_000 == 0 {
            submit("regular-1");
            submit("regular-2");
        }
        if ms % 90 == 0 {
            if let Some((arrived, _)) = submission_queue.pop(ms) {
                let team = if arrived % 1_000 == 0 { "regular or flooding" } else { "flooding" };
                let waited = worst_wait_ms.entry(team).or_insert(0);
                *waited = (*waited).max(ms - arrived);
            }
        }
    }
    assert!(worst_wait_ms["regular or flooding"] <= 4_500);
    assert_eq!(refused.keys().copied().collect::<Vec<_>>(), ["flooding"]);
}

proptest! {
    /// No submission is lost or returned twice, teams are served round-robin, and while none is
    /// late each team's submissions are served in order of arrival.
    #[test]
    fn teams_are_served_in_turn(ops in prop::collection::vec((0u8..4, any::<bool>()), 1..200)) {
        let mut submission_queue: SubmissionQueue<u8, usize> = SubmissionQueue::new(1_000_000);
        let mut model: BTreeMap<u8, Vec<usize>> = BTreeMap::new();
        let mut last_team = None;
        for (i, (team, push)) in ops.into_iter().enumerate() {
            if push {
                submission_queue.push(team, i as u64, i);
                model.entry(team).or_default().push(i);
            } else {
                let waiting_teams: Vec<u8> = model.iter().filter(|(_, q)| !q.is_empty()).map(|(t, _)| *t).collect();
                let next_team = waiting_teams.iter().find(|t| last_team.is_some_and(|l| **t > l)).or(waiting_teams.first()).copied();
                let expected = next_team.map(|t| model.get_mut(&t).unwrap().remove(0));
                prop_assert_eq!(submission_queue.pop(i as u64).map(|p| p.1), expected);
                last_team = next_team.or(last_team);
            }
            prop_assert_eq!(submission_queue.len(), model.values().map(Vec::len).sum::<usize>());
        }
    }
}
