//! Step reports of elastic jobs' members, and their evaluation for one transaction.
//!
//! The evaluation depends on the records only. Which controller records a report, and when, is
//! decided in `steps` and `write_batching`.

use crate::store::cache::ProgressMap;
use crate::store::records::{progress_key, JobRecord};
use cleatfold_elastic::{Members, Progress, ProgressPart, StepLedger, Verdict};
use cleatfold_wire::steps::StepReport;
use cleatfold_wire::store::Txn;
use cleatfold_wire::{JobId, Ms};

/// How long finished steps are batched while their members still have work.
const BATCH_WINDOW_MS: u64 = 1000;

/// A step report that waits to be recorded.
#[derive(Clone, Debug)]
pub(crate) struct MemberReport {
    pub rid: u64,
    pub report: Box<StepReport>,
    pub arrived: Ms,
    /// Whether the member has no unfinished steps until this report is answered.
    pub idle: bool,
}

/// Result of evaluating step reports for one transaction.
#[derive(Debug, Default)]
pub(crate) struct EvaluatedReports {
    pub verdicts: Vec<(MemberReport, Verdict)>,
    /// Changed parts of the job's progress, by number.
    pub changes: Vec<(u32, ProgressPart)>,
    /// Whether all steps are finished.
    pub complete: bool,
    /// Number of finished steps.
    pub finished: u32,
}

/// Evaluates as many reports as fit into one transaction; the others stay in `member_reports`.
pub(crate) fn evaluate_reports(
    progress: Progress,
    record: &JobRecord,
    member_reports: &mut Vec<MemberReport>,
    max_parts: usize,
) -> EvaluatedReports {
    let members: Members =
        record.table.claims.iter().flat_map(|g| g.tasks.iter().copied()).collect();
    let mut step_ledger = StepLedger::new(progress, &members, members.len() as u32);
    let mut verdicts = Vec::new();
    let mut waiting = std::mem::take(member_reports).into_iter();
    // A report changes the parts of its own steps and at most two parts that it is assigned steps
    // from.
    while step_ledger.changed_part_count() + 2 < max_parts.max(3) {
        let Some(next) = waiting.next() else { break };
        let verdict = step_ledger.report(&next.report);
        verdicts.push((next, verdict));
    }
    member_reports.extend(waiting);
    let (changes, progress) = step_ledger.into_changes();
    let (complete, finished) = (progress.is_complete(), progress.finished());
    EvaluatedReports { verdicts, changes, complete, finished }
}

/// Adds the changes of a job's progress to its transaction.
pub(crate) fn write_progress(
    txn: &mut Txn,
    job: &JobId,
    cached: Option<&ProgressMap>,
    evaluated: &EvaluatedReports,
) {
    for (number, part) in &evaluated.changes {
        let version = cached.and_then(|p| p.get(number)).map(|p| p.version).unwrap_or_default();
        txn.guard(progress_key(job, *number), version);
        txn.put(progress_key(job, *number), &part.to_record(), None);
    }
}

/// Whether the reports may wait for more: every member still has work and no report is too old.
pub(crate) fn can_batch(member_reports: &[MemberReport], now: Ms) -> bool {
    member_reports.iter().all(|r| !r.idle && now.since(r.arrived) < BATCH_WINDOW_MS)
}
