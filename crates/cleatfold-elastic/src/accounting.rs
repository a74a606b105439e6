//! Reports of members against the record: what counts as finished, and what each holds next.
//!
//! A step counts when its member holds it and the member's claim stands. The caller writes the
//! outcome in one transaction guarded by the version of the record that the claims were read
//! from and of each part that is touched; so what is decided here holds at the moment of the
//! write or not at all.

use crate::progress::{as_ranges, Hold, Part, Progress, STEPS_PART};
use cleatfold_wire::job::StepCount;
use cleatfold_wire::steps::{NextAction, StepRange, StepReply, StepReport};
use cleatfold_wire::{Attempt, TaskIx};
use roaring::RoaringBitmap;
use std::collections::{BTreeMap, BTreeSet};

/// The members whose claims stand, and under which attempt.
pub type Members = BTreeMap<TaskIx, Attempt>;

/// A member may hold no more ranges than this: records are small.
const RANGES: usize = 2;
/// Of a range to be shared, its holder keeps at least so many steps: it may be at work on the
/// first and not hear of the change before it begins the second.
const KEPT: u32 = 2;

/// What becomes of a member's report.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// It is recorded, with this answer.
    Accepted(StepReply),
    /// The member's claim does not stand: nothing of the report counts, and it must leave.
    Lost(&'static str),
}

/// One job's steps while reports are judged.
pub struct StepAccounts<'a> {
    progress: Progress,
    members: &'a Members,
    /// How many members the job has or is about to have; sizes what is handed out.
    width: u32,
    touched: BTreeSet<u32>,
    /// Free steps of parts that were looked at.
    free: BTreeMap<u32, RoaringBitmap>,
}

impl<'a> StepAccounts<'a> {
    /// Accounts of a job with this progress and these members, at most `width` of which work.
    pub fn new(progress: Progress, members: &'a Members, width: u32) -> Self {
        Self { progress, members, width, touched: BTreeSet::new(), free: BTreeMap::new() }
    }

    /// How many parts have changed so far.
    pub fn touched(&self) -> usize {
        self.touched.len()
    }

    /// The parts that have changed, and all that is known now.
    pub fn into_changes(mut self) -> (Vec<(u32, Part)>, Progress) {
        let members = self.members;
        for part in &self.touched {
            if let Some(p) = self.progress.parts.get_mut(part) {
                p.held.retain(|h| stands(members, h));
            }
        }
        let parts = &self.progress.parts;
        let changed = self.touched.iter().filter_map(|n| Some((*n, parts.get(n)?.clone())));
        (changed.collect(), self.progress)
    }

    /// Judges one report and applies it.
    pub fn report(&mut self, report: &StepReport) -> Verdict {
        let (member, attempt) = (report.member.ix, report.attempt);
        match self.members.get(&member) {
            None => return Verdict::Lost("the claim of this member is over"),
            Some(now) if *now > attempt => {
                return Verdict::Lost("a later attempt has this member's place")
            }
            Some(now) if *now < attempt => return Verdict::Lost("no such attempt"),
            _ => {}
        }
        let mut refused = Vec::new();
        for &(from, to) in &report.finished {
            for step in from..to {
                // Not even what is finished already counts as this member's, unless it holds it:
                // a part of its range may have gone to another, whose work it was.
                if step < self.progress.steps && self.holds(member, attempt, step) {
                    self.finish(step);
                } else {
                    refused.push(step);
                }
            }
        }
        refused.sort_unstable();
        refused.dedup();
        if report.wants == 0 {
            self.give_back(report);
        } else {
            self.provide(report);
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
        let part = self.progress.parts.get(&(step / STEPS_PART));
        part.into_iter()
            .flat_map(|p| &p.held)
            .any(|h| h.member == member && h.attempt == attempt && h.from <= step && step < h.to)
    }

    fn finish(&mut self, step: u32) {
        let number = step / STEPS_PART;
        let part = self.progress.parts.entry(number).or_default();
        if part.finished.insert(step % STEPS_PART) {
            self.touched.insert(number);
        }
    }

    /// The unfinished steps that a member holds, in order.
    fn held_by(&self, member: TaskIx, attempt: Attempt) -> Vec<StepRange> {
        let mine = |h: &&Hold| h.member == member && h.attempt == attempt;
        let mut steps: Vec<u32> = self
            .progress
            .parts
            .values()
            .flat_map(|p| p.held.iter().filter(mine))
            .flat_map(|h| h.from..h.to)
            .filter(|s| !self.progress.is_finished(*s))
            .collect();
        steps.sort_unstable();
        steps.dedup();
        as_ranges(steps)
    }

    /// A member that leaves gives back what it has not finished. What it reports now it keeps: the
    /// answer may be lost and the report come again.
    fn give_back(&mut self, report: &StepReport) {
        let (member, attempt) = (report.member.ix, report.attempt);
        for (number, part) in &mut self.progress.parts {
            let (mine, others): (Vec<Hold>, Vec<Hold>) = std::mem::take(&mut part.held)
                .into_iter()
                .partition(|h| h.member == member && h.attempt == attempt);
            part.held = others;
            let mut kept = Vec::new();
            for h in &mine {
                for &(from, to) in &report.finished {
                    let (from, to) = (from.max(h.from), to.min(h.to));
                    if from < to {
                        kept.push(Hold { from, to, ..*h });
                    }
                }
            }
            if kept != mine {
                self.touched.insert(*number);
                self.free.remove(number);
            }
            part.held.extend(kept);
        }
    }

    fn provide(&mut self, report: &StepReport) {
        let (member, attempt) = (report.member.ix, report.attempt);
        for _ in 0..RANGES {
            let held: u32 = self.held_by(member, attempt).iter().map(|r| r.1 - r.0).sum();
            if held >= report.wants {
                return;
            }
            let Some((from, to)) =
                self.take_free(report.wants - held).or_else(|| self.share(member))
            else {
                return;
            };
            let number = from / STEPS_PART;
            let part = self.progress.parts.entry(number).or_default();
            // What it has finished and been told of needs no hold any more. What it reports now
            // does: the answer may be lost and the report come again.
            let finished = &part.finished;
            part.held.retain(|h| {
                h.member != member
                    || h.attempt != attempt
                    || report.finished.iter().any(|r| r.0 < h.to && h.from < r.1)
                    || (h.from..h.to).any(|s| !finished.contains(s % STEPS_PART))
            });
            part.held.push(Hold { member, attempt, from, to });
            self.touched.insert(number);
        }
    }

    fn free_of(&mut self, number: u32) -> &mut RoaringBitmap {
        let (progress, members) = (&self.progress, self.members);
        self.free.entry(number).or_insert_with(|| {
            let (from, to) = progress.range(number);
            let mut free = RoaringBitmap::new();
            free.insert_range(0..to - from);
            if let Some(part) = progress.parts.get(&number) {
                free -= &part.finished;
                for h in part.held.iter().filter(|h| stands(members, h)) {
                    free.remove_range(h.from % STEPS_PART..h.from % STEPS_PART + (h.to - h.from));
                }
            }
            free
        })
    }

    /// The next free run of steps: a share of what is left that shrinks as it is used up, so
    /// that few changes hand out many steps and the last ones are spread evenly.
    fn take_free(&mut self, least: u32) -> Option<StepRange> {
        let parts = crate::part_count(self.progress.steps);
        let left = self.progress.left();
        let share = left / (2 * self.width.max(1)).max(1);
        for number in 0..parts {
            let (base, _) = self.progress.range(number);
            let free = self.free_of(number);
            let Some(first) = free.min() else { continue };
            let most = share.max(least);
            let mut end = first + 1;
            while end - first < most && free.contains(end) {
                end += 1;
            }
            free.remove_range(first..end);
            return Some((base + first, base + end));
        }
        None
    }

    /// Nothing is free: the later half of what the member with the most work left has not begun.
    /// Should it have begun with it after all, its result is refused and the step done twice,
    /// but finished once.
    fn share(&mut self, thief: TaskIx) -> Option<StepRange> {
        let members = self.members;
        let mut best: Option<(u32, u32, usize, u32)> = None;
        for (number, part) in &self.progress.parts {
            for (i, h) in part.held.iter().enumerate() {
                if h.member == thief || !stands(members, h) {
                    continue;
                }
                let done = |s: &u32| part.finished.contains(s % STEPS_PART);
                let next = (h.from..h.to).find(|s| !done(s)).unwrap_or(h.to);
                let unwritten = h.to - next;
                if unwritten > KEPT && best.is_none_or(|b| unwritten > b.0) {
                    best = Some((unwritten, *number, i, next));
                }
            }
        }
        let (unwritten, number, i, next) = best?;
        let part = self.progress.parts.get_mut(&number)?;
        let hold = part.held.get_mut(i)?;
        let cut = next + unwritten.div_ceil(2).max(KEPT);
        let taken = (cut, hold.to);
        hold.to = cut;
        self.touched.insert(number);
        Some(taken)
    }
}

fn stands(members: &Members, hold: &Hold) -> bool {
    members.get(&hold.member) == Some(&hold.attempt)
}
