//! The ledger against a plain model: a table with one line a step.

use cleatfold_elastic::{Members, Part, PartRecord, Progress, StepAccounts, Verdict, STEPS_PART};
use cleatfold_wire::steps::{NextAction, StepReport};
use cleatfold_wire::{Attempt, JobId, TaskId, TaskIx};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};

type By = (TaskIx, Attempt);

fn report(by: By, finished: Vec<(u32, u32)>, wants: u32) -> StepReport {
    let member = TaskId { job: JobId::new("run-1"), ix: by.0 };
    StepReport { member, attempt: by.1, finished, wants, require_answer: false }
}

/// Writes and reads again, as the state service keeps it.
fn through_records(changes: Vec<(u32, Part)>, progress: &mut Progress) {
    for (number, part) in changes {
        let text = serde_json::to_string(&part.to_record()).expect("plain");
        let record: PartRecord = serde_json::from_str(&text).expect("as written");
        progress.parts.insert(number, Part::from_record(&record).expect("as written"));
    }
}

/// Members come, work, repeat themselves, lie, vanish and leave, by seed. What the ledger
/// accepts must be what a table of steps says: held by the reporter, and by nobody else.
#[test]
fn each_step_is_finished_by_the_one_member_that_holds_it() {
    for seed in 0..60 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let steps = [1, 7, 200, STEPS_PART + 300][seed as usize % 4];
        let mut progress = Progress::new(steps);
        let mut members = Members::new();
        // The model: who holds each step, by what members were told; who finished it.
        let mut holds: BTreeMap<By, BTreeSet<u32>> = BTreeMap::new();
        let mut finished: BTreeMap<u32, By> = BTreeMap::new();
        let mut attempts = 0;
        for _ in 0..20_000 {
            if members.len() < 6 && rng.random_bool(0.3) {
                attempts += 1;
                members.insert(TaskIx(rng.random_range(0..8)), Attempt(attempts));
            }
            if rng.random_bool(0.02) {
                // Its claim ends: what it held is anybody's.
                let ix = TaskIx(rng.random_range(0..8));
                members.remove(&ix);
            }
            let Some((&ix, &attempt)) =
                members.iter().nth(rng.random_range(0..members.len().max(1)))
            else {
                continue;
            };
            let stale = rng.random_bool(0.05);
            let by = (ix, if stale { Attempt(attempt.0.saturating_sub(1)) } else { attempt });
            let mine = holds.get(&by).cloned().unwrap_or_default();
            let mut says: Vec<(u32, u32)> =
                mine.iter().take(rng.random_range(0..4)).map(|s| (*s, s + 1)).collect();
            if rng.random_bool(0.1) {
                let s = rng.random_range(0..steps);
                says.push((s, s + 1));
            }
            let mut accounts = StepAccounts::new(progress.clone(), &members, members.len() as u32);
            let on_reply = accounts.report(&report(by, says.clone(), rng.random_range(0..4)));
            let (changes, _) = accounts.into_changes();
            match on_reply {
                Verdict::Lost(_) => {
                    assert!(stale, "seed {seed}: a member whose claim stands was sent away");
                    assert!(changes.is_empty());
                    continue;
                }
                Verdict::Accepted(reply) => {
                    assert!(!stale, "seed {seed}: a member of an earlier attempt was heard");
                    // Now and then the transaction does not come to pass.
                    if rng.random_bool(0.2) {
                        continue;
                    }
                    through_records(changes, &mut progress);
                    for step in says.iter().map(|s| s.0) {
                        let refused = reply.refused.iter().any(|r| r.0 <= step && step < r.1);
                        if !refused {
                            let first = finished.entry(step).or_insert(by);
                            assert_eq!(*first, by, "seed {seed}: step {step} counts twice");
                        }
                    }
                    let now: BTreeSet<u32> = reply.holds.iter().flat_map(|r| r.0..r.1).collect();
                    for (other, theirs) in &mut holds {
                        if *other != by {
                            theirs.retain(|s| !now.contains(s));
                        }
                    }
                    assert_eq!(reply.next_action == NextAction::Finish, progress.is_complete());
                    holds.insert(by, now);
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

/// A lost answer makes a member say the same again: it is told the same again.
#[test]
fn a_repeated_report_is_answered_alike_also_after_new_steps_were_given() {
    let members = Members::from([(TaskIx(0), Attempt(1))]);
    let by = (TaskIx(0), Attempt(1));
    let mut progress = Progress::new(10);
    for (says, wants) in [(vec![], 2), (vec![(0, 5)], 2), (vec![(0, 5)], 2), (vec![(0, 5)], 0)] {
        let mut accounts = StepAccounts::new(progress.clone(), &members, 1);
        let Verdict::Accepted(reply) = accounts.report(&report(by, says, wants)) else {
            panic!("its claim stands")
        };
        assert_eq!(reply.refused, vec![]);
        through_records(accounts.into_changes().0, &mut progress);
    }
    assert_eq!(progress.finished(), 5);
}

/// However the steps of a part are finished, its record stays under the least value size that
/// the settings may have.
#[test]
fn a_part_never_outgrows_its_value() {
    let mut rng = SmallRng::seed_from_u64(1);
    for share in [0.02, 0.33, 0.5, 0.66, 0.8, 0.97] {
        let mut part = Part::default();
        for s in 0..STEPS_PART {
            if rng.random_bool(share) || (share == 0.66 && s % 3 != 0) {
                part.finished.insert(s);
            }
        }
        let text = serde_json::to_string(&part.to_record()).expect("plain");
        assert!(text.len() < 8 * 1024, "{share}: {} bytes", text.len());
    }
    let all = Part { finished: (0..STEPS_PART).collect(), held: vec![] };
    assert!(serde_json::to_string(&all.to_record()).expect("plain").len() < 60);
}
