//! Compares the step ledger with a reference model that keeps one entry per step.

use cleatfold_elastic::{
    Members, Progress, ProgressPart, ProgressPartRecord, StepLedger, Verdict, STEPS_PER_PART,
};
use cleatfold_wire::steps::{NextAction, StepReport};
use cleatfold_wire::{Attempt, JobId, TaskId, TaskIx};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};

type MemberAttempt = (TaskIx, Attempt);

fn report(reporter: MemberAttempt, finished: Vec<(u32, u32)>, wants: u32) -> StepReport {
    let member = TaskId { job: JobId::new("run-1"), ix: reporter.0 };
    StepReport { member, attempt: reporter.1, finished, wants, require_answer: false }
}

/// Stores the changed parts in their stored form and reads them back.
fn store_and_reload(changes: Vec<(u32, ProgressPart)>, progress: &mut Progress) {
    for (number, part) in changes {
        let text = serde_json::to_string(&part.to_record()).expect("plain");
        let record: ProgressPartRecord = serde_json::from_str(&text).expect("as written");
        progress.parts.insert(number, ProgressPart::from_record(&record).expect("as written"));
    }
}

/// Members join, work, repeat reports, report steps they do not hold, vanish and leave at random. The
/// ledger must accept a step only from the one member that holds it in the reference model.
#[test]
fn step_is_finished_only_by_its_holder() {
    for seed in 0..60 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let steps = [1, 7, 200, STEPS_PER_PART + 300][seed as usize % 4];
        let mut progress = Progress::new(steps);
        let mut members = Members::new();
        // The model: the steps that each member was told it holds, and the member that finished each
        // step.
        let mut holds: BTreeMap<MemberAttempt, BTreeSet<u32>> = BTreeMap::new();
        let mut finished: BTreeMap<u32, MemberAttempt> = BTreeMap::new();
        let mut attempts = 0;
        for _ in 0..20_000 {
            if members.len() < 6 && rng.random_bool(0.3) {
                attempts += 1;
                members.insert(TaskIx(rng.random_range(0..8)), Attempt(attempts));
            }
            if rng.random_bool(0.02) {
                // Its claim ends, so its steps become free.
                let ix = TaskIx(rng.random_range(0..8));
                members.remove(&ix);
            }
            let Some((&ix, &attempt)) =
                members.iter().nth(rng.random_range(0..members.len().max(1)))
            else {
                continue;
            };
            let stale = rng.random_bool(0.05);
            let reporter = (ix, if stale { Attempt(attempt.0.saturating_sub(1)) } else { attempt });
            let own = holds.get(&reporter).cloned().unwrap_or_default();
            let mut reported: Vec<(u32, u32)> =
                own.iter().take(rng.random_range(0..4)).map(|s| (*s, s + 1)).collect();
            if rng.random_bool(0.1) {
                let s = rng.random_range(0..steps);
                reported.push((s, s + 1));
            }
            let mut ledger = StepLedger::new(progress.clone(), &members, members.len() as u32);
            let verdict =
                ledger.report(&report(reporter, reported.clone(), rng.random_range(0..4)));
            let (changes, _) = ledger.into_changes();
            match verdict {
                Verdict::Rejected(_) => {
                    assert!(stale, "seed {seed}: a member with a current claim was rejected");
                    assert!(changes.is_empty());
                    continue;
                }
                Verdict::Accepted(reply) => {
                    assert!(!stale, "seed {seed}: a report of an earlier attempt was accepted");
                    // Some transactions fail.
                    if rng.random_bool(0.2) {
                        continue;
                    }
                    store_and_reload(changes, &mut progress);
                    for step in reported.iter().map(|s| s.0) {
                        let refused = reply.refused.iter().any(|r| r.0 <= step && step < r.1);
                        if !refused {
                            let first = finished.entry(step).or_insert(reporter);
                            assert_eq!(*first, reporter, "seed {seed}: step {step} counts twice");
                        }
                    }
                    let held_now: BTreeSet<u32> =
                        reply.holds.iter().flat_map(|r| r.0..r.1).collect();
                    for (other, other_holds) in &mut holds {
                        if *other != reporter {
                            other_holds.retain(|s| !held_now.contains(s));
                        }
                    }
                    assert_eq!(reply.next_action == NextAction::Finish, progress.is_complete());
                    holds.insert(reporter, held_now);
                }
            }
            if progress.is_complete() {
                break;
            }
        }
        assert!(progress.is_complete(), "seed {seed}: {} of {steps}", progress.finished());
        assert_eq!(finished.len() as u32, steps, "seed {seed}");
    }
}

/// A lost reply makes a member repeat its report, which must be accepted again.
#[test]
fn repeated_report_is_accepted_after_new_steps_were_assigned() {
    let members = Members::from([(TaskIx(0), Attempt(1))]);
    let reporter = (TaskIx(0), Attempt(1));
    let mut progress = Progress::new(10);
    for (reported, wants) in [(vec![], 2), (vec![(0, 5)], 2), (vec![(0, 5)], 2), (vec![(0, 5)], 0)]
    {
        let mut ledger = StepLedger::new(progress.clone(), &members, 1);
        let Verdict::Accepted(reply) = ledger.report(&report(reporter, reported, wants)) else {
            panic!("the claim is current")
        };
        assert_eq!(reply.refused, vec![]);
        store_and_reload(ledger.into_changes().0, &mut progress);
    }
    assert_eq!(progress.finished(), 5);
}

/// Whichever steps of a part are finished, its record stays below the smallest value size that the
/// settings allow.
#[test]
fn part_record_stays_below_value_limit() {
    let mut rng = SmallRng::seed_from_u64(1);
    for share in [0.02, 0.33, 0.5, 0.66, 0.8, 0.97] {
        let mut part = ProgressPart::default();
        for s in 0..STEPS_PER_PART {
            if rng.random_bool(share) || (share == 0.66 && s % 3 != 0) {
                part.finished.insert(s);
            }
        }
        let text = serde_json::to_string(&part.to_record()).expect("plain");
        assert!(text.len() < 8 * 1024, "{share}: {} bytes", text.len());
    }
    let all = ProgressPart { finished: (0..STEPS_PER_PART).collect(), held: vec![] };
    assert!(serde_json::to_string(&all.to_record()).expect("plain").len() < 60);
}
