//! What is finished and who holds what, as records of the state service keep it.
//!
//! A record covers `STEPS_PART` steps. Finished ones are a compressed bitmap. At worst (two of
//! three finished, evenly scattered) a part's bitmap takes 5.4 KiB, 7.3 KiB as text, so that
//! with a hold for each member it stays under the least `value_kb` that the settings may have.
//! Steps are handed out in order, so in practice it takes some tens of bytes.

use base64::engine::general_purpose::STANDARD_NO_PAD;
use base64::Engine;
use cleatfold_wire::{Attempt, TaskIx};
use roaring::RoaringBitmap;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Steps of one record.
pub const STEPS_PART: u32 = 4096;

/// How many records the progress of so many steps takes at most.
pub fn part_count(steps: u32) -> u32 {
    steps.div_ceil(STEPS_PART)
}

/// Steps [from, to) belong to a member for as long as its claim under this attempt stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Hold {
    /// Who holds the steps.
    pub member: TaskIx,
    /// Its attempt.
    pub attempt: Attempt,
    /// The first of the steps.
    pub from: u32,
    /// The first step after them.
    pub to: u32,
}

/// Steps `number * STEPS_PART` and on.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Part {
    /// Counted from the part's first step.
    pub finished: RoaringBitmap,
    /// In no order; those whose claim is over mean nothing and go with the next change.
    pub held: Vec<Hold>,
}

/// A part of the progress as it is stored.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PartRecord {
    #[serde(rename = "b")]
    bitmap: String,
    #[serde(rename = "h", default, skip_serializing_if = "Vec::is_empty")]
    held: Vec<(TaskIx, Attempt, u32, u32)>,
}

/// Why a stored part cannot be read.
#[derive(Debug, thiserror::Error)]
#[error("not a record of progress: {0}")]
pub struct Unreadable(String);

impl Part {
    /// As it is stored.
    #[expect(clippy::expect_used, reason = "writing to memory does not fail")]
    pub fn to_record(&self) -> PartRecord {
        let mut bitmap = self.finished.clone();
        bitmap.optimize();
        let mut bytes = Vec::with_capacity(bitmap.serialized_size());
        bitmap.serialize_into(&mut bytes).expect("writing to memory");
        PartRecord {
            bitmap: STANDARD_NO_PAD.encode(bytes),
            held: self.held.iter().map(|h| (h.member, h.attempt, h.from, h.to)).collect(),
        }
    }

    /// From what is stored.
    pub fn from_record(record: &PartRecord) -> Result<Part, Unreadable> {
        let bytes =
            STANDARD_NO_PAD.decode(&record.bitmap).map_err(|e| Unreadable(e.to_string()))?;
        let finished = RoaringBitmap::deserialize_from(bytes.as_slice())
            .map_err(|e| Unreadable(e.to_string()))?;
        if finished.max().is_some_and(|m| m >= STEPS_PART) {
            return Err(Unreadable("a step beyond the part".into()));
        }
        let held = record
            .held
            .iter()
            .map(|&(member, attempt, from, to)| Hold { member, attempt, from, to })
            .collect();
        Ok(Part { finished, held })
    }
}

/// All that is known of a job's steps. Parts that nothing was ever written of are absent.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Progress {
    /// How many steps the job has.
    pub steps: u32,
    /// Parts of the progress, by number.
    pub parts: BTreeMap<u32, Part>,
}

impl Progress {
    /// No step is finished or held.
    pub fn new(steps: u32) -> Self {
        Self { steps, parts: BTreeMap::new() }
    }

    /// The steps of a part, as a range [from, to).
    pub fn range(&self, part: u32) -> (u32, u32) {
        (part * STEPS_PART, ((part + 1) * STEPS_PART).min(self.steps))
    }

    /// Whether the step is finished.
    pub fn is_finished(&self, step: u32) -> bool {
        let part = self.parts.get(&(step / STEPS_PART));
        part.is_some_and(|p| p.finished.contains(step % STEPS_PART))
    }

    /// How many steps are finished.
    pub fn finished(&self) -> u32 {
        self.parts.values().map(|p| p.finished.len() as u32).sum()
    }

    /// How many are not.
    pub fn left(&self) -> u32 {
        self.steps.saturating_sub(self.finished())
    }

    /// Whether all are finished.
    pub fn is_complete(&self) -> bool {
        self.left() == 0
    }
}

/// Single numbers as ranges [from, to). They come in order.
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
