//! Decisions that take several steps, as far as they stand in the state service.
//!
//! Room is made in four steps: it is written down for whom and by whose leaving, those are told to leave, they
//! leave, and who it was made for claims it. Who owns the pool then may have changed before any of them.

use cleatfold_wire::job::Urgency;
use cleatfold_wire::{Attempt, JobId, MachineId, TaskIx};
use serde::{Deserialize, Serialize};

/// Rooms that one pool's record holds at most; it is a small one.
const MOST: usize = 48;

/// Who leaves.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Victim(pub JobId, pub TaskIx, pub Attempt);

/// Room that is being made on a machine, and for whom.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PreemptionPlan {
    /// The job that resources are freed for.
    #[serde(rename = "j")]
    pub job: JobId,
    /// Where they are freed.
    #[serde(rename = "m")]
    pub machine: MachineId,
    /// Tasks of the job that it is for.
    #[serde(rename = "t")]
    pub tasks: u32,
    /// Tasks of it that had a place there already.
    #[serde(rename = "h", default)]
    pub had: u32,
    /// Time of day in milliseconds after which it is nobody's any more.
    #[serde(rename = "z")]
    pub until_ms: u64,
    /// The tasks that leave.
    #[serde(rename = "x", default)]
    pub stop: Vec<Victim>,
    /// How long these have to save, in milliseconds.
    #[serde(rename = "g", default)]
    pub grace_ms: u64,
}

/// The rooms being made in one pool, written under the pool's token.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PreemptionRecord {
    /// The plans that are under way.
    #[serde(rename = "r", default)]
    pub plans: Vec<PreemptionPlan>,
}

/// What of a room's job is known.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Seen {
    /// Its tasks that wait for a place anywhere.
    pub waits: u32,
    /// Its tasks with a place on the room's machine.
    pub here: u32,
    /// Time of day in milliseconds.
    pub wall_ms: u64,
}

impl PreemptionPlan {
    /// Still being made, or there and not taken.
    pub fn stands(&self, seen: Seen) -> bool {
        seen.waits > 0 && seen.here < self.had + self.tasks && seen.wall_ms < self.until_ms
    }

    /// Whether the room is not for another job: only what is of a higher urgency than whom it was made for
    /// goes before that one.
    pub fn bars(&self, urgency: Urgency, other: &JobId, others_urgency: Urgency) -> bool {
        *other != self.job && others_urgency >= urgency
    }
}

impl PreemptionRecord {
    /// The record with more rooms, less those that are over.
    pub fn with(
        &self,
        new: Vec<PreemptionPlan>,
        stands: impl Fn(&PreemptionPlan) -> bool,
    ) -> PreemptionRecord {
        let mut plans: Vec<PreemptionPlan> =
            self.plans.iter().filter(|r| stands(r)).cloned().collect();
        plans.extend(new);
        plans.drain(..plans.len().saturating_sub(MOST));
        PreemptionRecord { plans }
    }
}
