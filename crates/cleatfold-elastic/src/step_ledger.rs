//! Applies step reports of members: which steps are finished, and which each member holds next.
//!
//! A step counts as finished if the reporting member holds it and the member's claim is current. The
//! caller writes the result in one transaction, guarded by the version of the record that the claims
//! were read from and by the versions of all changed parts. A decision made here is therefore valid
//! at the time of the write, or the write fails.

use crate::progress::{as_ranges, Hold, Progress, ProgressPart, STEPS_PER_PART};
use cleatfold_wire::job::StepCount;
use cleatfold_wire::steps::{NextAction, StepRange, StepReply, StepReport};
use cleatfold_wire::{Attempt, TaskIx};
use roaring::RoaringBitmap;
use std::collections::{BTreeMap, BTreeSet};

/// Members with a current claim, and the attempt of each claim.
pub type Members = BTreeMap<TaskIx, Attempt>;

/// Maximum number of holds that one report adds; keeps records small.
const MAX_NEW_HOLDS: usize = 2;
/// Minimum number of steps that a holder keeps when a part of its range is reassigned: it may be
/// working on the first, and may begin the second before it learns of the change.
const MIN_KEPT_STEPS: u32 = 2;

/// Result of a member's report.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// The report is applied; this is the reply.
    Accepted(StepReply),
    /// The member has no current claim, for the given reason: nothing of the report counts, and the
    /// member must exit.
    Rejected(&'static str),
}

/// Steps of one job while reports are applied.
pub struct StepLedger<'a> {
    progress: Progress,
    members: &'a Members,
    /// Number of members that the job has or is about to have; determines the size of assigned
    /// ranges.
    width: u32,
    changed_parts: BTreeSet<u32>,
    /// Free steps by part number, computed on first use.
    free_by_part: BTreeMap<u32, RoaringBitmap>,
}

impl<'a> StepLedger<'a> {
    /// Creates the ledger of a job with this progress and these members, at most `width` of which work.
    pub fn new(progress: Progress, members: &'a Members, width: u32) -> Self {
        Self {
            progress,
            members,
            width,
            changed_parts: BTreeSet::new(),
            free_by_part: BTreeMap::new(),
        }
    }

    /// Number of parts changed so far.
    pub fn changed_part_count(&self) -> usize {
        self.changed_parts.len()
    }

    /// Returns the changed parts and the resulting progress.
    pub fn into_changes(mut self) -> (Vec<(u32, ProgressPart)>, Progress) {
        let members = self.members;
        for part in &self.changed_parts {
            if let Some(p) = self.progress.parts.get_mut(part) {
                p.held.retain(|h| is_current(members, h));
            }
        }
        let parts = &self.progress.parts;
        let changed = self.changed_parts.iter().filter_map(|n| Some((*n, parts.get(n)?.clone())));
        (changed.collect(), self.progress)
    }

    /// Validates one report and applies it.
    pub fn report(&mut self, report: &StepReport) -> Verdict {
        let (member, attempt) = (report.member.ix, report.attempt);
        match self.members.get(&member) {
            None => return Verdict::Rejected("the claim of this member is over"),
            Some(current) if *current > attempt => {
                return Verdict::Rejected("a later attempt has this member's place")
            }
            Some(current) if *current < attempt => return Verdict::Rejected("no such attempt"),
            _ => {}
        }
        let mut refused = Vec::new();
        for &(from, to) in &report.finished {
            for step in from..to {
                // A finished step that the member does not hold is refused too: it may have been
                // reassigned to another member, which then did the work.
                if step < self.progress.steps && self.holds(member, attempt, step) {
                    self.mark_finished(step);
                } else {
                    refused.push(step);
                }
            }
        }
        refused.sort_unstable();
        refused.dedup();
        if report.wants == 0 {
            self.release_holds(report);
        } else {
            self.assign_steps(report);
        }
        let holds = self.held_by(member, attempt);
        let total = self.progress.steps;
        let finished = self.progress.finished();
        let next_action = if finished >= total {
            NextAction::Finish
        } else if holds.is_empty() {
            NextAction::Wait
        } else {
            NextAction::Continue
        };
        let progress = StepCount { finished, total };
        Verdict::Accepted(StepReply { holds, refused: as_ranges(refused), progress, next_action })
    }

    fn holds(&self, member: TaskIx, attempt: Attempt, step: u32) -> bool {
        let part = self.progress.parts.get(&(step / STEPS_PER_PART));
        part.into_iter()
            .flat_map(|p| &p.held)
            .any(|h| h.member == member && h.attempt == attempt && h.from <= step && step < h.to)
    }

    fn mark_finished(&mut self, step: u32) {
        let number = step / STEPS_PER_PART;
        let part = self.progress.parts.entry(number).or_default();
        if part.finished.insert(step % STEPS_PER_PART) {
            self.changed_parts.insert(number);
        }
    }

    /// Unfinished steps that a member holds, in order.
    fn held_by(&self, member: TaskIx, attempt: Attempt) -> Vec<StepRange> {
        let own = |h: &&Hold| h.member == member && h.attempt == attempt;
        let mut steps: Vec<u32> = self
            .progress
            .parts
            .values()
            .flat_map(|p| p.held.iter().filter(own))
            .flat_map(|h| h.from..h.to)
            .filter(|s| !self.progress.is_finished(*s))
            .collect();
        steps.sort_unstable();
        steps.dedup();
        as_ranges(steps)
    }

    /// Releases the unfinished steps of a member that is about to exit. The steps in this report
    /// stay held, because the reply may be lost and the report repeated.
    fn release_holds(&mut self, report: &StepReport) {
        let (member, attempt) = (report.member.ix, report.attempt);
        for (number, part) in &mut self.progress.parts {
            let (own, others): (Vec<Hold>, Vec<Hold>) = std::mem::take(&mut part.held)
                .into_iter()
                .partition(|h| h.member == member && h.attempt == attempt);
            part.held = others;
            let mut kept = Vec::new();
            for h in &own {
                for &(from, to) in &report.finished {
                    let (from, to) = (from.max(h.from), to.min(h.to));
                    if from < to {
                        kept.push(Hold { from, to, ..*h });
                    }
                }
            }
            if kept != own {
                self.changed_parts.insert(*number);
                self.free_by_part.remove(number);
            }
            part.held.extend(kept);
        }
    }

    fn assign_steps(&mut self, report: &StepReport) {
        let (member, attempt) = (report.member.ix, report.attempt);
        for _ in 0..MAX_NEW_HOLDS {
            let held: u32 = self.held_by(member, attempt).iter().map(|r| r.1 - r.0).sum();
            if held >= report.wants {
                return;
            }
            let Some((from, to)) =
                self.take_free_range(report.wants - held).or_else(|| self.steal_range(member))
            else {
                return;
            };
            let number = from / STEPS_PER_PART;
            let part = self.progress.parts.entry(number).or_default();
            // Drops holds whose steps are all finished, except those in this report: the reply may be
            // lost and the report repeated.
            let finished = &part.finished;
            part.held.retain(|h| {
                h.member != member
                    || h.attempt != attempt
                    || report.finished.iter().any(|r| r.0 < h.to && h.from < r.1)
                    || (h.from..h.to).any(|s| !finished.contains(s % STEPS_PER_PART))
            });
            part.held.push(Hold { member, attempt, from, to });
            self.changed_parts.insert(number);
        }
    }

    fn free_steps(&mut self, number: u32) -> &mut RoaringBitmap {
        let (progress, members) = (&self.progress, self.members);
        self.free_by_part.entry(number).or_insert_with(|| {
            let (from, to) = progress.steps_of_part(number);
            let mut free = RoaringBitmap::new();
            free.insert_range(0..to - from);
            if let Some(part) = progress.parts.get(&number) {
                free -= &part.finished;
                for h in part.held.iter().filter(|h| is_current(members, h)) {
                    free.remove_range(
                        h.from % STEPS_PER_PART..h.from % STEPS_PER_PART + (h.to - h.from),
                    );
                }
            }
            free
        })
    }

    /// Takes the next run of free steps. Its size is a fraction of the remaining steps, so that many
    /// steps are assigned with few changes at first and the last ones are spread evenly.
    fn take_free_range(&mut self, min_steps: u32) -> Option<StepRange> {
        let parts = crate::progress_part_count(self.progress.steps);
        let remaining = self.progress.remaining();
        let share = remaining / (2 * self.width.max(1)).max(1);
        for number in 0..parts {
            let (part_start, _) = self.progress.steps_of_part(number);
            let free = self.free_steps(number);
            let Some(first) = free.min() else { continue };
            let max_steps = share.max(min_steps);
            let mut end = first + 1;
            while end - first < max_steps && free.contains(end) {
                end += 1;
            }
            free.remove_range(first..end);
            return Some((part_start + first, part_start + end));
        }
        None
    }

    /// Work stealing for when no step is free: takes the later half of the unfinished steps of the
    /// hold that has the most of them. If the former holder has begun one of these steps, its result
    /// is refused: the step is executed twice but counted once.
    fn steal_range(&mut self, receiver: TaskIx) -> Option<StepRange> {
        let members = self.members;
        let mut best: Option<(u32, u32, usize, u32)> = None;
        for (number, part) in &self.progress.parts {
            for (i, h) in part.held.iter().enumerate() {
                if h.member == receiver || !is_current(members, h) {
                    continue;
                }
                let is_finished = |s: &u32| part.finished.contains(s % STEPS_PER_PART);
                let next = (h.from..h.to).find(|s| !is_finished(s)).unwrap_or(h.to);
                let unfinished = h.to - next;
                if unfinished > MIN_KEPT_STEPS && best.is_none_or(|best| unfinished > best.0) {
                    best = Some((unfinished, *number, i, next));
                }
            }
        }
        let (unfinished, number, i, next) = best?;
        let part = self.progress.parts.get_mut(&number)?;
        let hold = part.held.get_mut(i)?;
        let split = next + unfinished.div_ceil(2).max(MIN_KEPT_STEPS);
        let taken = (split, hold.to);
        hold.to = split;
        self.changed_parts.insert(number);
        Some(taken)
    }
}

fn is_current(members: &Members, hold: &Hold) -> bool {
    members.get(&hold.member) == Some(&hold.attempt)
}
