//! Job submissions and job status.

use crate::ids::{ClassId, ImageId, JobId, TeamId, TypeId, ZoneId};
use crate::losses::JobLosses;
use serde::{Deserialize, Serialize};

/// Maximum duration in seconds and maximum image size in GB. About 30 years, which does not overflow in
/// milliseconds multiplied by the processors of a machine.
pub const MAX_AMOUNT: f64 = 1e9;
/// Maximum number of tasks of a job.
pub const MAX_TASKS: u32 = 100_000;
/// Maximum length of a request body in bytes.
pub const MAX_BODY: usize = 64 * 1024;
/// Maximum number of steps of an elastic job.
pub const MAX_STEPS: u32 = 100_000;
/// Maximum number of members of an elastic job: their claims share one record.
pub const MAX_MEMBERS: u32 = 256;

/// How the tasks of a job run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Kind {
    /// Independent tasks, each of which runs to completion.
    #[serde(rename = "batch")]
    Array,
    /// All tasks run at the same time or none does.
    #[serde(rename = "gang")]
    Gang,
    /// Replicas that run until the job is cancelled.
    #[serde(rename = "service")]
    Service,
}

/// The urgency of a job. The smallest value has the highest priority.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Urgency {
    /// Scheduled before all other jobs.
    #[serde(rename = "critical")]
    Critical,
    /// Scheduled before normal jobs.
    #[serde(rename = "high")]
    High,
    /// The usual urgency.
    #[serde(rename = "normal")]
    Normal,
    /// Background work.
    #[serde(rename = "best_effort")]
    BestEffort,
}

/// A job whose members join and leave while it runs, and pull its steps. Its tasks are the members, so
/// `pieces` is the maximum number of concurrent members.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Elastic {
    /// Number of steps, 1 to `MAX_STEPS`, numbered from 0.
    #[serde(rename = "etapes")]
    pub steps: u32,
    /// Number of members that are only evicted for reasons that preempt ordinary tasks as well;
    /// 0: the job may lose all members.
    #[serde(rename = "largeurMin", default)]
    pub min_members: u32,
    /// Expected run time of a step in seconds, above 0.
    #[serde(rename = "dureeEtapeS")]
    pub step_s: f64,
}

/// A job as it is submitted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// The job's id.
    #[serde(rename = "uid")]
    pub id: JobId,
    /// The class of jobs that it belongs to.
    #[serde(rename = "lot")]
    pub class: ClassId,
    /// The team whose guarantee and limit apply.
    #[serde(rename = "equipe")]
    pub team: TeamId,
    /// How its tasks run.
    #[serde(rename = "genre")]
    pub kind: Kind,
    /// Its urgency.
    #[serde(rename = "urgence")]
    pub urgency: Urgency,
    /// How many tasks it has, numbered from 0.
    #[serde(rename = "pieces")]
    pub tasks: u32,
    /// Processors that each task takes.
    #[serde(rename = "cores")]
    pub cpus: f64,
    /// GPUs that each task takes.
    #[serde(rename = "cards")]
    pub gpus: f64,
    /// Memory that each task takes, in GB.
    #[serde(rename = "ramGb")]
    pub memory_gb: f64,
    /// The image that a machine must have before a task can start.
    #[serde(rename = "gabarit")]
    pub image: ImageId,
    /// The size of the image, in GB.
    #[serde(rename = "pullGb")]
    pub image_gb: f64,
    /// The allowed machine types; `None`: any.
    #[serde(rename = "gabaritsMachine", default, skip_serializing_if = "Option::is_none")]
    pub types: Option<Vec<TypeId>>,
    /// The only allowed zone; `None`: any.
    #[serde(rename = "site", default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<ZoneId>,
    /// All tasks must be in the same zone.
    #[serde(rename = "oneZone")]
    pub one_zone: bool,
    /// At most half of the tasks, rounded up, may be in one zone.
    pub spread: bool,
    /// It may run on spot machines.
    #[serde(rename = "pretees")]
    pub spot: bool,
    /// The submitter's estimate of a task's run time, in seconds.
    #[serde(rename = "dureePrevueS")]
    pub estimate_s: f64,
    /// Interval in seconds of progress at which a running task saves a checkpoint; 0: never.
    #[serde(rename = "intervalleSauvegardeS")]
    pub checkpoint_s: f64,
    /// Time in seconds that a task takes to save when it is stopped.
    #[serde(rename = "dureeSauvegardeS")]
    pub save_s: f64,
    /// When the job should be complete, in seconds from its submission.
    #[serde(rename = "echeanceS", default, skip_serializing_if = "Option::is_none")]
    pub deadline_s: Option<f64>,
    /// Not part of the protocol: an elastic job (`docs/elastic.md`).
    #[serde(rename = "elastique", default, skip_serializing_if = "Option::is_none")]
    pub elastic: Option<Elastic>,
}

/// Why a submission is malformed.
#[derive(Debug, thiserror::Error, PartialEq)]
pub enum SpecError {
    /// The body is longer than the protocol allows.
    #[error("the body is longer than {MAX_BODY} bytes")]
    TooLong,
    /// The body is not a JSON object.
    #[error("not a job: {0}")]
    Json(String),
    #[error("{field}: {problem}")]
    /// A field is missing or invalid.
    Field {
        /// Its name on the wire.
        field: &'static str,
        /// What is wrong with it.
        problem: &'static str,
    },
}

impl JobSpec {
    /// Reads a submission. Every error is answered with status 400.
    pub fn from_json(body: &[u8]) -> Result<JobSpec, SpecError> {
        if body.len() > MAX_BODY {
            return Err(SpecError::TooLong);
        }
        // serde would read a struct from a JSON array as well; only an object is a job.
        if body.iter().find(|b| !b.is_ascii_whitespace()) != Some(&b'{') {
            return Err(SpecError::Json("not an object".into()));
        }
        let spec: JobSpec =
            serde_json::from_slice(body).map_err(|e| SpecError::Json(e.to_string()))?;
        spec.check()?;
        Ok(spec)
    }

    fn check(&self) -> Result<(), SpecError> {
        let wrong = |field, problem| Err(SpecError::Field { field, problem });
        if !is_job_id(self.id.as_str()) {
            return wrong("uid", "not of the form run-000412");
        }
        if self.tasks == 0 || self.tasks > MAX_TASKS {
            return wrong("pieces", "not between 1 and 100000");
        }
        let amounts = [
            // Unlimited here: amounts that exceed every machine are rejected by admission.
            ("cores", self.cpus, f64::MAX),
            ("cards", self.gpus, f64::MAX),
            ("ramGb", self.memory_gb, f64::MAX),
            ("pullGb", self.image_gb, MAX_AMOUNT),
            ("dureePrevueS", self.estimate_s, MAX_AMOUNT),
            ("intervalleSauvegardeS", self.checkpoint_s, MAX_AMOUNT),
            ("dureeSauvegardeS", self.save_s, MAX_AMOUNT),
            ("echeanceS", self.deadline_s.unwrap_or(0.0), MAX_AMOUNT),
        ];
        for (field, amount, most) in amounts {
            if !(0.0..=most).contains(&amount) {
                return wrong(field, "not an amount");
            }
        }
        let names = [
            ("lot", self.class.as_str()),
            ("equipe", self.team.as_str()),
            ("gabarit", self.image.as_str()),
        ];
        for (field, name) in names {
            if name.is_empty() || name.len() > 200 {
                return wrong(field, "not a name");
            }
        }
        self.elastic.as_ref().map_or(Ok(()), |e| self.check_elastic(e))
    }

    fn check_elastic(&self, elastic: &Elastic) -> Result<(), SpecError> {
        let wrong = |field, problem| Err(SpecError::Field { field, problem });
        if self.kind != Kind::Array {
            return wrong("elastique", "only a batch job can be elastic");
        }
        if self.tasks > MAX_MEMBERS {
            return wrong("pieces", "an elastic job has at most 256 members");
        }
        if elastic.steps == 0 || elastic.steps > MAX_STEPS {
            return wrong("elastique.etapes", "not between 1 and 100000");
        }
        if elastic.min_members > self.tasks {
            return wrong("elastique.largeurMin", "more than pieces");
        }
        if !elastic.step_s.is_finite() || elastic.step_s <= 0.0 || elastic.step_s > 86_400.0 {
            return wrong("elastique.dureeEtapeS", "not above 0 and at most 86400");
        }
        Ok(())
    }
}

/// Whether the text is `run-` and digits. No other text is used in a key of the state service.
pub fn is_job_id(text: &str) -> bool {
    text.strip_prefix("run-").is_some_and(|digits| {
        (1..=20).contains(&digits.len()) && digits.bytes().all(|b| b.is_ascii_digit())
    })
}

/// The state of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobState {
    /// None of its tasks runs.
    #[serde(rename = "queued")]
    Queued,
    /// At least one of its tasks runs.
    #[serde(rename = "running")]
    Running,
    /// All of its tasks are done.
    #[serde(rename = "done")]
    Done,
    /// It is cancelled.
    #[serde(rename = "aborted")]
    Aborted,
}

impl JobState {
    /// Whether the state cannot change any more.
    pub fn is_final(self) -> bool {
        matches!(self, JobState::Done | JobState::Aborted)
    }
}

/// The status of a job as returned to its user.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobStatus {
    /// The job's id.
    #[serde(rename = "uid")]
    pub id: JobId,
    /// The state.
    #[serde(rename = "etat")]
    pub state: JobState,
    /// How many tasks are done.
    pub done: u32,
    /// How many tasks run.
    pub running: u32,
    /// Why it waits, was stopped, or failed, as readable text. Not part of the protocol.
    #[serde(rename = "why", default, skip_serializing_if = "Option::is_none")]
    pub why: Option<String>,
    /// Of an elastic job: its steps. Not part of the protocol.
    #[serde(rename = "etapes", default, skip_serializing_if = "Option::is_none")]
    pub steps: Option<StepCount>,
    /// Attempts of its tasks that were lost with their machines. Not part of the protocol.
    #[serde(rename = "pertes", default, skip_serializing_if = "Option::is_none")]
    pub losses: Option<JobLosses>,
}

/// The progress of an elastic job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepCount {
    /// Number of finished steps.
    #[serde(rename = "finies")]
    pub finished: u32,
    /// Number of steps.
    #[serde(rename = "total")]
    pub total: u32,
}

/// The body of an error response.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// What is wrong.
    pub error: String,
}
