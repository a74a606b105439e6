//! Reports of elastic jobs' members that wait to be recorded, and what a transaction makes of them.
//!
//! Decided from the records alone; who records a report, and when, is the controller's to say.

use crate::store::cache::ProgressMap;
use crate::store::records::{progress_key, JobRecord};
use cleatfold_elastic::{Members, Progress, ProgressPart, StepLedger, Verdict};
use cleatfold_wire::steps::StepReport;
use cleatfold_wire::store::Txn;
use cleatfold_wire::{JobId, Ms};

/// Finished steps of members that still have work gather for so long.
const GATHER_MS: u64 = 1000;

/// A member's report that waits to be recorded.
#[derive(Clone, Debug)]
pub(crate) struct MemberReport {
    pub rid: u64,
    pub report: Box<StepReport>,
    pub arrived: Ms,
    /// The member has nothing to do until it is answered.
    pub idle: bool,
}

/// What a transaction makes of reports.
#[derive(Debug, Default)]
pub(crate) struct JudgedReports {
    pub verdicts: Vec<(MemberReport, Verdict)>,
    pub changes: Vec<(u32, ProgressPart)>,
    pub complete: bool,
    pub finished: u32,
}

/// Judges as many reports as fit into one transaction; the others stay in `member_reports`.
pub(crate) fn judge(
    progress: Progress,
    record: &JobRecord,
    member_reports: &mut Vec<MemberReport>,
    parts: usize,
) -> JudgedReports {
    let members: Members =
        record.table.claims.iter().flat_map(|g| g.tasks.iter().copied()).collect();
    let mut accounts = StepLedger::new(progress, &members, members.len() as u32);
    let mut verdicts = Vec::new();
    let mut waiting = std::mem::take(member_reports).into_iter();
    // A report changes its own parts and at most two that it is given steps of.
    while accounts.changed_part_count() + 2 < parts.max(3) {
        let Some(next) = waiting.next() else { break };
        let verdict = accounts.report(&next.report);
        verdicts.push((next, verdict));
    }
    member_reports.extend(waiting);
    let (changes, progress) = accounts.into_changes();
    let (complete, finished) = (progress.is_complete(), progress.finished());
    JudgedReports { verdicts, changes, complete, finished }
}

/// Adds the changes of a job's progress to its transaction.
pub(crate) fn write(
    txn: &mut Txn,
    job: &JobId,
    known: Option<&ProgressMap>,
    judged: &JudgedReports,
) {
    for (number, part) in &judged.changes {
        let version = known.and_then(|p| p.get(number)).map(|p| p.version).unwrap_or_default();
        txn.guard(progress_key(job, *number), version);
        txn.put(progress_key(job, *number), &part.to_record(), None);
    }
}

/// Nothing in the reports presses: members go on working meanwhile.
pub(crate) fn can_gather(member_reports: &[MemberReport], now: Ms) -> bool {
    member_reports.iter().all(|a| !a.idle && now.since(a.arrived) < GATHER_MS)
}
