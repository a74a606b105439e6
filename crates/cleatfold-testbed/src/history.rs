//! What became of the steps of elastic jobs, checked against the state service's own record.

use cleatfold_control::records::{self, JobRecord, Key};
use cleatfold_elastic::{Hold, ProgressPart, STEPS_PER_PART};
use cleatfold_fakes::member::Member;
use cleatfold_fakes::store::Store;
use cleatfold_wire::store::Txn;
use cleatfold_wire::{Attempt, JobId, TaskIx};
use std::collections::{BTreeMap, BTreeSet};

/// A step of a job.
pub type Step = (JobId, u32);
/// A member by its claim.
pub type By = (TaskIx, Attempt);

#[derive(Default)]
pub struct StepWatch {
    /// By whose work a step is finished, by the state service.
    pub counted: BTreeMap<Step, By>,
    /// By whose work, as members were told.
    accepted: BTreeMap<Step, By>,
    /// Who worked through it.
    pub worked: BTreeMap<Step, BTreeSet<By>>,
    pub broken: Vec<String>,
    /// Transactions that finished steps.
    pub changes: u32,
}

impl StepWatch {
    /// Takes what a member did and was told since this was last called.
    pub fn of_member(&mut self, member: &mut Member) {
        let by = (member.task.ix, member.attempt);
        let job = &member.task.job;
        for step in member.finished_steps.drain(..) {
            self.worked.entry((job.clone(), step)).or_default().insert(by);
        }
        for step in member.accepted_steps.drain(..) {
            let step = (job.clone(), step);
            if self.counted.get(&step) != Some(&by) {
                self.broken.push(format!("{step:?} told finished by {by:?}"));
            }
            if self.accepted.insert(step.clone(), by).is_some_and(|b| b != by) {
                self.broken.push(format!("{step:?} finished twice"));
            }
        }
    }

    /// Every step that a transaction finishes must be held by a member whose claim stands and
    /// that has worked through it; nothing finished may be undone. To be called before the
    /// transaction is executed; what comes back is to be noted if it was.
    pub fn judge(&self, store: &Store, txn: &Txn) -> (Vec<(Step, By)>, Vec<String>) {
        let (mut counted, mut broken) = (Vec::new(), Vec::new());
        for change in &txn.changes {
            let (Some(key), Some(new)) = (&change.put, &change.value) else { continue };
            let Some(Key::Progress(job, number)) = records::parse_key(key) else { continue };
            let read = |v: &str| {
                let record = serde_json::from_str(v).expect("a part");
                ProgressPart::from_record(&record).expect("a part")
            };
            let old = store.get(key).map(|i| read(i.value.get())).unwrap_or_default();
            let new = read(new.get());
            // A late one, of a job that is archived: its guards fail.
            let Some(head) = store.get(&records::job_key(&job)) else { continue };
            let head: JobRecord = serde_json::from_str(head.value.get()).expect("a job");
            if !old.finished.is_subset(&new.finished) {
                broken.push(format!("{key} forgets finished steps"));
            }
            for step in (&new.finished - &old.finished).iter() {
                let step = number * STEPS_PER_PART + step;
                let stands = |h: &&Hold| {
                    let mut tasks = head.table.claims.iter().flat_map(|g| &g.tasks);
                    h.from <= step && step < h.to && tasks.any(|t| *t == (h.member, h.attempt))
                };
                let by = old.held.iter().find(stands).map(|h| (h.member, h.attempt));
                let step = (job.clone(), step);
                let worked = self.worked.get(&step);
                match by {
                    Some(by) if worked.is_some_and(|w| w.contains(&by)) => counted.push((step, by)),
                    _ => broken.push(format!("{step:?} finished by {by:?}")),
                }
            }
        }
        (counted, broken)
    }

    /// The transaction was executed.
    pub fn note(&mut self, (counted, broken): (Vec<(Step, By)>, Vec<String>)) {
        self.changes += u32::from(!counted.is_empty());
        self.counted.extend(counted);
        self.broken.extend(broken);
    }

    /// Steps that more than one member worked through.
    pub fn redone(&self) -> usize {
        self.worked.values().filter(|w| w.len() > 1).count()
    }

    pub fn finished(&self, job: &JobId) -> u32 {
        self.counted.keys().filter(|s| s.0 == *job).count() as u32
    }
}
