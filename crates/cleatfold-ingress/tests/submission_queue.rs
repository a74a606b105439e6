//! Submissions by team, against a plain reading of turns.

use cleatfold_ingress::SubmissionQueue;
use proptest::prelude::*;
use std::collections::BTreeMap;

/// A guest sends fifteen a second where eleven can be accepted, and the residents two. As found, in
/// one queue, three of four of all were refused.
#[test]
fn many_small_jobs_of_one_team_delay_itself() {
    let mut submission_queue: SubmissionQueue<&str, u64> = SubmissionQueue::new(4500);
    let (mut worst, mut refused) = (BTreeMap::new(), BTreeMap::new());
    for ms in (0..60_000u64).step_by(10) {
        let mut come = |team: &'static str| {
            if submission_queue.wait_s(&team, 11.0) > 3.0 {
                *refused.entry(team).or_insert(0) += 1;
            } else {
                submission_queue.push(team, ms, ms);
            }
        };
        if ms % 60 == 0 {
            come("guest");
        }
        if ms % 1_000 == 0 {
            come("resident-1");
            come("resident-2");
        }
        if ms % 90 == 0 {
            if let Some((arrived, _)) = submission_queue.pop(ms) {
                let team = if arrived % 1_000 == 0 { "maybe a resident" } else { "guest" };
                let waited = worst.entry(team).or_insert(0);
                *waited = (*waited).max(ms - arrived);
            }
        }
    }
    assert!(worst["maybe a resident"] <= 4_500);
    assert_eq!(refused.keys().copied().collect::<Vec<_>>(), ["guest"]);
}

proptest! {
    /// Nothing is lost or told twice, turns go round, and while nobody is late each team's go in
    /// the order of arrival.
    #[test]
    fn teams_are_served_in_turn(ops in prop::collection::vec((0u8..4, any::<bool>()), 1..200)) {
        let mut submission_queue: SubmissionQueue<u8, usize> = SubmissionQueue::new(1_000_000);
        let mut plain: BTreeMap<u8, Vec<usize>> = BTreeMap::new();
        let mut last = None;
        for (i, (team, push)) in ops.into_iter().enumerate() {
            if push {
                submission_queue.push(team, i as u64, i);
                plain.entry(team).or_default().push(i);
            } else {
                let open: Vec<u8> = plain.iter().filter(|(_, q)| !q.is_empty()).map(|(t, _)| *t).collect();
                let turn = open.iter().find(|t| last.is_some_and(|l| **t > l)).or(open.first()).copied();
                let expected = turn.map(|t| plain.get_mut(&t).unwrap().remove(0));
                prop_assert_eq!(submission_queue.pop(i as u64).map(|p| p.1), expected);
                last = turn.or(last);
            }
            prop_assert_eq!(submission_queue.len(), plain.values().map(Vec::len).sum::<usize>());
        }
    }
}
