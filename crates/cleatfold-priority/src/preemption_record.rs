//! Durable records of preemptions in progress.
//!
//! A preemption takes four steps: the beneficiary and the victims are written to the state service,
//! the victims are ordered to stop, they exit, and the beneficiary claims the freed resources. The
//! pool's owner may change before any of these steps.

use cleatfold_wire::job::Urgency;
use cleatfold_wire::{Attempt, JobId, MachineId, TaskIx};
use serde::{Deserialize, Serialize};

/// Maximum number of plans in one pool's record; keeps the record small.
const MAX_PLANS: usize = 48;

/// A task attempt to be stopped.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Victim(pub JobId, pub TaskIx, pub Attempt);

/// Resources being freed on a machine for a job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PreemptionPlan {
    /// The beneficiary: the job that the resources are freed for.
    #[serde(rename = "j")]
    pub job: JobId,
    /// The machine on which they are freed.
    #[serde(rename = "m")]
    pub machine: MachineId,
    /// Number of the job's tasks that resources are freed for.
    #[serde(rename = "t")]
    pub tasks: u32,
    /// Number of the job's tasks already claimed on the machine when the plan was made.
    #[serde(rename = "h", default)]
    pub claimed_before: u32,
    /// Wall-clock time in milliseconds at which the plan expires.
    #[serde(rename = "z")]
    pub until_ms: u64,
    /// The tasks to stop.
    #[serde(rename = "x", default)]
    pub victims: Vec<Victim>,
    /// Time that the victims have to save their state, in milliseconds.
    #[serde(rename = "g", default)]
    pub grace_ms: u64,
}

/// The preemptions in progress in one pool, written under the pool's fencing token.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PreemptionRecord {
    /// The plans in progress.
    #[serde(rename = "r", default)]
    pub plans: Vec<PreemptionPlan>,
}

/// What is known of a plan's beneficiary.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct BeneficiaryState {
    /// Number of its tasks that are not claimed on any machine.
    pub unclaimed_tasks: u32,
    /// Number of its tasks claimed on the plan's machine.
    pub claimed_on_machine: u32,
    /// Current wall-clock time in milliseconds.
    pub wall_ms: u64,
}

impl PreemptionPlan {
    /// Whether the resources are still being freed, or are free and not claimed yet.
    pub fn is_active(&self, beneficiary: BeneficiaryState) -> bool {
        beneficiary.unclaimed_tasks > 0
            && beneficiary.claimed_on_machine < self.claimed_before + self.tasks
            && beneficiary.wall_ms < self.until_ms
    }

    /// Whether another job may not use the freed resources. Only a job of higher urgency than the
    /// beneficiary, whose urgency is `urgency`, may.
    pub fn excludes(&self, urgency: Urgency, other: &JobId, other_urgency: Urgency) -> bool {
        *other != self.job && other_urgency >= urgency
    }
}

impl PreemptionRecord {
    /// Returns the record with `new` plans added and inactive ones removed. Above `MAX_PLANS` the
    /// oldest plans are dropped.
    pub fn with_plans(
        &self,
        new: Vec<PreemptionPlan>,
        is_active: impl Fn(&PreemptionPlan) -> bool,
    ) -> PreemptionRecord {
        let mut plans: Vec<PreemptionPlan> =
            self.plans.iter().filter(|plan| is_active(plan)).cloned().collect();
        plans.extend(new);
        plans.drain(..plans.len().saturating_sub(MAX_PLANS));
        PreemptionRecord { plans }
    }
}
