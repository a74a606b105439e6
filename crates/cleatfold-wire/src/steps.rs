//! Messages between the members of an elastic job and a controller. Not part of the protocol
//! between controllers and workers: a member is a process that runs as a task.

use crate::ids::{Attempt, JobId, TaskId};
use crate::job::StepCount;
use serde::{Deserialize, Serialize};

/// Steps [from, to).
pub type StepRange = (u32, u32);

/// Maximum number of ranges in a report.
pub const MAX_RANGES: usize = 1000;

/// `POST /v1/jobs/{id}/steps`. May be repeated: each step counts at most once.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StepReport {
    /// The member that reports.
    #[serde(rename = "piece")]
    pub member: TaskId,
    /// Its attempt.
    #[serde(rename = "essai")]
    pub attempt: Attempt,
    /// Completed steps whose completion has not been confirmed to the member.
    #[serde(rename = "finies", default)]
    pub finished: Vec<StepRange>,
    /// Number of unfinished steps that the member requests to hold. 0: it is about to leave and releases
    /// its steps.
    #[serde(rename = "veut", default)]
    pub wants: u32,
    /// The job's coordinator did not answer the member, so the controller that receives this report has to
    /// answer it instead of redirecting.
    #[serde(rename = "insiste", default, skip_serializing_if = "std::ops::Not::not")]
    pub require_answer: bool,
}

/// What a member should do after its current step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum NextAction {
    /// Continue with the steps that it holds.
    #[serde(rename = "continue")]
    Continue,
    /// All steps are finished or held by other members: leave, or report again later.
    #[serde(rename = "repos")]
    Wait,
    /// Every step of the job is finished: leave.
    #[serde(rename = "fin")]
    Finish,
}

/// The body of a 200 response. All reported steps that are not in `refused` are durably finished.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StepReply {
    /// The unfinished steps that the member holds. Steps that it held before and that are missing here
    /// belong to another member.
    #[serde(rename = "etapes")]
    pub holds: Vec<StepRange>,
    /// Reported steps that the member does not hold. They do not count as finished.
    #[serde(rename = "refusees", default, skip_serializing_if = "Vec::is_empty")]
    pub refused: Vec<StepRange>,
    /// The progress of the job.
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
    /// The member belongs to another job than the request path.
    #[error("piece: is of another job than the path")]
    JobMismatch,
    /// The ranges of steps are invalid.
    #[error("finies: {0}")]
    Ranges(&'static str),
}

impl StepReport {
    /// Reads a report sent to the path of `job`. Every error is answered with status 400.
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
