//! What a member of an elastic job tells a controller and is told. Not part of the protocol
//! between controllers and workers: a member is a process that runs as a task.

use crate::ids::{Attempt, JobId, TaskId};
use crate::job::StepCount;
use serde::{Deserialize, Serialize};

/// Steps [from, to).
pub type StepRange = (u32, u32);

/// A report may name no more ranges than this.
pub const MAX_RANGES: usize = 1000;

/// `POST /v1/jobs/{id}/steps`. May be repeated; whatever is in it counts at most once.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StepReport {
    /// The member that reports.
    #[serde(rename = "piece")]
    pub member: TaskId,
    /// Its attempt.
    #[serde(rename = "essai")]
    pub attempt: Attempt,
    /// Steps whose work is complete and which the member has not been told are finished.
    #[serde(rename = "finies", default)]
    pub finished: Vec<StepRange>,
    /// How many unfinished steps the member would like to hold. 0: it is about to leave and
    /// gives back what it holds.
    #[serde(rename = "veut", default)]
    pub wants: u32,
    /// The controller that keeps this job did not answer the member: whoever gets this shall decide.
    #[serde(rename = "insiste", default, skip_serializing_if = "std::ops::Not::not")]
    pub require_answer: bool,
}

/// What a member should do after its present step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum NextAction {
    /// Go on with what it holds.
    #[serde(rename = "continue")]
    Continue,
    /// Every step is held or finished by others: leave, or ask again later.
    #[serde(rename = "repos")]
    Wait,
    /// Every step of the job is finished: leave.
    #[serde(rename = "fin")]
    Finish,
}

/// 200. All of `finished` that is not in `refused` is finished, durably.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StepReply {
    /// The unfinished steps that the member holds; what it held before and is not here belongs
    /// to another.
    #[serde(rename = "etapes")]
    pub holds: Vec<StepRange>,
    /// Steps of the report that the member does not hold: their work does not count.
    #[serde(rename = "refusees", default, skip_serializing_if = "Vec::is_empty")]
    pub refused: Vec<StepRange>,
    /// How far the job has come.
    #[serde(rename = "avance")]
    pub progress: StepCount,
    /// What the member should do next.
    #[serde(rename = "suite")]
    pub next_action: NextAction,
}

/// Why a step report is malformed.
#[derive(Debug, thiserror::Error, PartialEq)]
pub enum StepError {
    /// Not a JSON object.
    #[error("not a step report: {0}")]
    Json(String),
    /// The member is of another job than the path.
    #[error("piece: is of another job than the path")]
    JobMismatch,
    /// The ranges of steps make no sense.
    #[error("finies: {0}")]
    Ranges(&'static str),
}

impl StepReport {
    /// Reads a report sent to the path of `job`. Everything this refuses is answered 400.
    pub fn from_json(job: &JobId, body: &[u8]) -> Result<StepReport, StepError> {
        let report: StepReport =
            serde_json::from_slice(body).map_err(|e| StepError::Json(e.to_string()))?;
        if report.member.job != *job {
            return Err(StepError::JobMismatch);
        }
        if report.finished.len() > MAX_RANGES {
            return Err(StepError::Ranges("more than 1000 ranges"));
        }
        if report.finished.iter().any(|r| r.0 >= r.1 || r.1 > crate::job::MAX_STEPS) {
            return Err(StepError::Ranges("a range is [from, to) with from < to"));
        }
        Ok(report)
    }
}
