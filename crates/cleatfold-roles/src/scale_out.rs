//! Rentals as durable intents.
//!
//! The record names every request before it is made: whoever is replaced can have asked only for
//! what stands there, and whoever comes next asks for the same by the same names, which rents
//! nothing twice, and counts it as had. What the cloud would not give is noted too, with growing
//! pauses, so that a change of holder costs no relearning.

use cleatfold_wire::cloud::ScaleOutRequest;
use cleatfold_wire::{Ms, PoolId, TypeId, Version, ZoneId};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// After a refusal by the cloud the same is asked for again only after so long; after a further
/// one twice as long, up to the most.
const PAUSE_MS: u64 = 10_000;
const PAUSE_MOST_MS: u64 = 20_000;
/// What is over is taken out of the record with the next rental, or after so long.
const CLOSE_MS: u64 = 10_000;

/// A request to the cloud, written down before it is made.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ScaleOutIntent {
    /// The request's name; used once.
    #[serde(rename = "n")]
    pub name: String,
    /// The machine type.
    #[serde(rename = "t")]
    pub machine_type: TypeId,
    /// The zone.
    #[serde(rename = "z")]
    pub zone: ZoneId,
    /// Spot machines.
    #[serde(rename = "s")]
    pub spot: bool,
    /// How many machines.
    #[serde(rename = "c")]
    pub count: u32,
    /// It has been asked for once more by a later holder, and is not again: after a refusal a
    /// name may be used only once more.
    #[serde(rename = "h", default)]
    pub inherited: bool,
}

impl ScaleOutIntent {
    /// The pool that the machines will belong to.
    pub fn pool(&self) -> PoolId {
        PoolId { machine_type: self.machine_type.clone(), zone: self.zone.clone() }
    }

    /// The request to the cloud.
    pub fn request(&self) -> ScaleOutRequest {
        ScaleOutRequest {
            request: self.name.clone(),
            machine_type: self.machine_type.clone(),
            zone: self.zone.clone(),
            spot: self.spot,
            count: self.count,
        }
    }
}

/// What the cloud would not give.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CapacityRefusal {
    /// The machine type.
    #[serde(rename = "t")]
    pub machine_type: TypeId,
    /// The zone.
    #[serde(rename = "z")]
    pub zone: ZoneId,
    /// Spot machines.
    #[serde(rename = "s")]
    pub spot: bool,
    /// Time of day.
    #[serde(rename = "u")]
    pub until_ms: u64,
    /// The pause that led there; the next one is twice as long.
    #[serde(rename = "p")]
    pub pause_ms: u64,
}

/// All requests that may have been made, and refusals that still count.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ScaleOutIntents {
    /// Under which version of the role's key it was written.
    #[serde(rename = "e", default)]
    pub epoch: Version,
    /// Requests that are not known to be answered.
    #[serde(rename = "o", default, skip_serializing_if = "Vec::is_empty")]
    pub open: Vec<ScaleOutIntent>,
    /// What is not asked for again for a while.
    #[serde(rename = "r", default, skip_serializing_if = "Vec::is_empty")]
    pub refused: Vec<CapacityRefusal>,
}

impl ScaleOutIntents {
    /// Whether the cloud would not give machines of this pool just now.
    pub fn is_refused(&self, pool: &PoolId, spot: bool, wall_ms: u64) -> bool {
        self.refusal(pool, spot).is_some_and(|r| r.until_ms > wall_ms)
    }

    fn refusal(&self, pool: &PoolId, spot: bool) -> Option<&CapacityRefusal> {
        let same = |r: &&CapacityRefusal| {
            r.machine_type == pool.machine_type && r.zone == pool.zone && r.spot == spot
        };
        self.refused.iter().find(same)
    }
}

/// What became of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Answer {
    /// All that was asked for.
    Given,
    /// Some of it, or nothing.
    Short,
    /// No answer that tells: it may have been executed, or may yet be.
    Unknown,
}

/// The holder's memory beside the record.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ScaleOutTracker {
    calling: BTreeSet<String>,
    answered: BTreeMap<String, (Answer, Ms)>,
    /// Since when an intent has stood that nobody here is asking for.
    idle: BTreeMap<String, Ms>,
}

/// What to write next, and what to ask the cloud for once that is durable.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Step {
    /// The record to be written.
    pub book: ScaleOutIntents,
    /// Requests to be made once it is durable.
    pub calls: Vec<ScaleOutIntent>,
}

impl ScaleOutTracker {
    /// The record as it should be, if writing it is worth a change. `lag_ms`: after so long the
    /// list of machines shows whatever a request without an answer has rented.
    pub fn next(
        &mut self,
        known: &ScaleOutIntents,
        epoch: Version,
        new: Vec<ScaleOutIntent>,
        (now, wall_ms): (Ms, u64),
        lag_ms: u64,
    ) -> Option<Step> {
        let mut step = Step::default();
        let mut over = false;
        let names: BTreeSet<&String> = known.open.iter().map(|i| &i.name).collect();
        self.idle.retain(|n, _| names.contains(n));
        self.answered.retain(|n, _| names.contains(n));
        let mut refused: Vec<CapacityRefusal> = known.refused.clone();
        for intent in &known.open {
            match self.answered.get(&intent.name) {
                Some((Answer::Unknown, at)) if now.since(*at) < lag_ms => {}
                Some((answer, at)) => {
                    over |= now.since(*at) >= CLOSE_MS;
                    note(&mut refused, intent, *answer, wall_ms);
                    continue;
                }
                None if self.calling.contains(&intent.name) => {}
                None if !intent.inherited => {
                    // A former holder's, or one whose writing had an unknown outcome.
                    let intent = ScaleOutIntent { inherited: true, ..intent.clone() };
                    step.calls.push(intent.clone());
                    step.book.open.push(intent);
                    continue;
                }
                None => {
                    let since = *self.idle.entry(intent.name.clone()).or_insert(now);
                    if now.since(since) >= lag_ms {
                        over = true;
                        continue;
                    }
                }
            }
            step.book.open.push(intent.clone());
        }
        refused.retain(|r| r.until_ms + PAUSE_MOST_MS > wall_ms);
        step.calls.extend(new.iter().cloned());
        step.book.open.extend(new);
        step.book.refused = refused;
        step.book.epoch = epoch;
        (over || !step.calls.is_empty()).then_some(step)
    }

    /// The record is durable: these are being asked for.
    pub fn called(&mut self, calls: &[ScaleOutIntent]) {
        self.calling.extend(calls.iter().map(|i| i.name.clone()));
    }

    /// The cloud has answered a request.
    pub fn answered(&mut self, name: &str, answer: Answer, now: Ms) {
        if self.calling.remove(name) {
            self.answered.insert(name.to_string(), (answer, now));
        }
    }

    /// An answer that says no is known before it is in the record.
    pub fn was_short(&self, known: &ScaleOutIntents, pool: &PoolId, spot: bool) -> bool {
        known.open.iter().any(|i| {
            let short = matches!(self.answered.get(&i.name), Some((Answer::Short, _)));
            short && i.spot == spot && i.pool() == *pool
        })
    }

    /// Machines that are on their way by what stands in the record, for each intent.
    pub fn coming<'a>(
        &'a self,
        known: &'a ScaleOutIntents,
    ) -> impl Iterator<Item = &'a ScaleOutIntent> + 'a {
        let is_coming = |i: &&ScaleOutIntent| !matches!(self.answered.get(&i.name), Some((a, _)) if *a != Answer::Unknown);
        known.open.iter().filter(is_coming)
    }
}

fn note(refused: &mut Vec<CapacityRefusal>, intent: &ScaleOutIntent, answer: Answer, wall_ms: u64) {
    let same = |r: &CapacityRefusal| {
        r.machine_type == intent.machine_type && r.zone == intent.zone && r.spot == intent.spot
    };
    let before = refused.iter().position(same).map(|i| refused.swap_remove(i));
    if answer == Answer::Given {
        return;
    }
    let pause_ms = before.map_or(PAUSE_MS, |r| (2 * r.pause_ms).min(PAUSE_MOST_MS));
    refused.push(CapacityRefusal {
        machine_type: intent.machine_type.clone(),
        zone: intent.zone.clone(),
        spot: intent.spot,
        until_ms: wall_ms + pause_ms,
        pause_ms,
    });
}
