//! Progress of an elastic job, finished steps and holds, as stored in the state service.
//!
//! A record covers `STEPS_PER_PART` steps and stores the finished ones as a compressed bitmap. In the
//! worst case (two of three finished, evenly scattered) the bitmap takes 5.4 KiB, or 7.3 KiB as
//! text; with one hold per member that stays below the smallest `value_kb` that the settings allow.
//! Steps are assigned in order, so in practice a record takes a few dozen bytes.

use base64::engine::general_purpose::STANDARD_NO_PAD;
use base64::Engine;
use cleatfold_wire::{Attempt, TaskIx};
use roaring::RoaringBitmap;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Number of steps covered by one record.
pub const STEPS_PER_PART: u32 = 4096;

/// Maximum number of records for the progress of so many steps.
pub fn progress_part_count(steps: u32) -> u32 {
    steps.div_ceil(STEPS_PER_PART)
}

/// Assignment of steps [from, to) to a member, valid while the member's claim under this attempt is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Hold {
    /// The member that holds the steps.
    pub member: TaskIx,
    /// The member's attempt.
    pub attempt: Attempt,
    /// The first step.
    pub from: u32,
    /// The step after the last.
    pub to: u32,
}

/// Progress of the `STEPS_PER_PART` steps from `number * STEPS_PER_PART` on.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ProgressPart {
    /// Finished steps, relative to the part's first step.
    pub finished: RoaringBitmap,
    /// Holds in no particular order. Those whose claim has ended have no effect and are removed with
    /// the next change.
    pub held: Vec<Hold>,
}

/// Stored form of a `ProgressPart`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ProgressPartRecord {
    #[serde(rename = "b")]
    bitmap: String,
    #[serde(rename = "h", default, skip_serializing_if = "Vec::is_empty")]
    held: Vec<(TaskIx, Attempt, u32, u32)>,
}

/// A stored part could not be decoded.
#[derive(Debug, thiserror::Error)]
#[error("invalid progress record: {0}")]
pub struct ProgressDecodeError(String);

impl ProgressPart {
    /// Encodes the part for storage.
    #[expect(clippy::expect_used, reason = "writing to memory does not fail")]
    pub fn to_record(&self) -> ProgressPartRecord {
        let mut bitmap = self.finished.clone();
        bitmap.optimize();
        let mut bytes = Vec::with_capacity(bitmap.serialized_size());
        bitmap.serialize_into(&mut bytes).expect("writing to memory");
        ProgressPartRecord {
            bitmap: STANDARD_NO_PAD.encode(bytes),
            held: self.held.iter().map(|h| (h.member, h.attempt, h.from, h.to)).collect(),
        }
    }

    /// Decodes a stored part.
    pub fn from_record(record: &ProgressPartRecord) -> Result<ProgressPart, ProgressDecodeError> {
        let bytes = STANDARD_NO_PAD
            .decode(&record.bitmap)
            .map_err(|e| ProgressDecodeError(e.to_string()))?;
        let finished = RoaringBitmap::deserialize_from(bytes.as_slice())
            .map_err(|e| ProgressDecodeError(e.to_string()))?;
        if finished.max().is_some_and(|step| step >= STEPS_PER_PART) {
            return Err(ProgressDecodeError("step number beyond the end of the part".into()));
        }
        let held = record
            .held
            .iter()
            .map(|&(member, attempt, from, to)| Hold { member, attempt, from, to })
            .collect();
        Ok(ProgressPart { finished, held })
    }
}

/// Progress of all of a job's steps. Parts that were never written are absent.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Progress {
    /// Number of steps of the job.
    pub steps: u32,
    /// Parts by number.
    pub parts: BTreeMap<u32, ProgressPart>,
}

impl Progress {
    /// Creates a progress without finished or held steps.
    pub fn new(steps: u32) -> Self {
        Self { steps, parts: BTreeMap::new() }
    }

    /// The steps of a part, as [from, to).
    pub fn steps_of_part(&self, part: u32) -> (u32, u32) {
        (part * STEPS_PER_PART, ((part + 1) * STEPS_PER_PART).min(self.steps))
    }

    /// Whether the step is finished.
    pub fn is_finished(&self, step: u32) -> bool {
        let part = self.parts.get(&(step / STEPS_PER_PART));
        part.is_some_and(|p| p.finished.contains(step % STEPS_PER_PART))
    }

    /// Number of finished steps.
    pub fn finished(&self) -> u32 {
        self.parts.values().map(|p| p.finished.len() as u32).sum()
    }

    /// Number of unfinished steps.
    pub fn remaining(&self) -> u32 {
        self.steps.saturating_sub(self.finished())
    }

    /// Whether all steps are finished.
    pub fn is_complete(&self) -> bool {
        self.remaining() == 0
    }
}

/// Merges ascending numbers into ranges [from, to).
pub fn as_ranges(numbers: impl IntoIterator<Item = u32>) -> Vec<(u32, u32)> {
    let mut ranges: Vec<(u32, u32)> = Vec::new();
    for n in numbers {
        match ranges.last_mut() {
            Some(last) if last.1 == n => last.1 = n + 1,
            _ => ranges.push((n, n + 1)),
        }
    }
    ranges
}
