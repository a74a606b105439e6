//! Scale-out requests to the cloud, stored as durable intents before they are sent.
//!
//! A former holder of the role can have sent only requests that are in the record. Its successor repeats them under
//! the same names, which creates no machine twice, and counts their machines as requested. Refusals by the cloud
//! are recorded as well, with increasing delays, so that a new holder does not repeat refused requests.

use cleatfold_wire::cloud::ScaleOutRequest;
use cleatfold_wire::{Ms, PoolId, TypeId, Version, ZoneId};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Delay before machines that the cloud refused are requested again; doubled after each further refusal, up to
/// `MAX_BACKOFF_MS`.
const INITIAL_BACKOFF_MS: u64 = 10_000;
const MAX_BACKOFF_MS: u64 = 20_000;
/// Finished intents are removed from the record with the next request, or after this time.
const CLEANUP_DELAY_MS: u64 = 10_000;

/// A scale-out request that is recorded before it is sent to the cloud.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ScaleOutIntent {
    /// Unique name of the request.
    #[serde(rename = "n")]
    pub name: String,
    /// The machine type.
    #[serde(rename = "t")]
    pub machine_type: TypeId,
    /// The zone.
    #[serde(rename = "z")]
    pub zone: ZoneId,
    /// Whether spot machines are requested.
    #[serde(rename = "s")]
    pub spot: bool,
    /// Number of machines.
    #[serde(rename = "c")]
    pub count: u32,
    /// Whether a later holder has repeated the request. It is not repeated again, since after a refusal a name may be
    /// used only once more.
    #[serde(rename = "h", default)]
    pub inherited: bool,
}

impl ScaleOutIntent {
    /// The pool that the machines will belong to.
    pub fn pool(&self) -> PoolId {
        PoolId { machine_type: self.machine_type.clone(), zone: self.zone.clone() }
    }

    /// The request that is sent to the cloud.
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

/// Machines that the cloud refused to provide.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CapacityRefusal {
    /// The machine type.
    #[serde(rename = "t")]
    pub machine_type: TypeId,
    /// The zone.
    #[serde(rename = "z")]
    pub zone: ZoneId,
    /// Whether spot machines are requested.
    #[serde(rename = "s")]
    pub spot: bool,
    /// Time of day before which they are not requested again, in milliseconds.
    #[serde(rename = "u")]
    pub until_ms: u64,
    /// The current delay; the next one is twice as long.
    #[serde(rename = "p")]
    pub backoff_ms: u64,
}

/// All requests that may have been sent, and the refusals that still apply.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ScaleOutIntents {
    /// Version of the role's key under which the record was written.
    #[serde(rename = "e", default)]
    pub epoch: Version,
    /// Requests without a recorded outcome.
    #[serde(rename = "o", default, skip_serializing_if = "Vec::is_empty")]
    pub open: Vec<ScaleOutIntent>,
    /// Machines that are not requested again for some time.
    #[serde(rename = "r", default, skip_serializing_if = "Vec::is_empty")]
    pub refused: Vec<CapacityRefusal>,
}

impl ScaleOutIntents {
    /// Whether the cloud has refused machines of this pool and the delay has not passed.
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

/// The outcome of a scale-out request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ScaleOutOutcome {
    /// The cloud provides all requested machines.
    Fulfilled,
    /// The cloud provides only some of the machines, or none.
    Shortfall,
    /// No conclusive answer: the request may have been executed or may still be.
    Unknown,
}

/// The state of requests that the holder of the role keeps in memory.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ScaleOutTracker {
    /// Requests that were sent and have no outcome yet.
    in_flight: BTreeSet<String>,
    /// Outcomes and when they were received.
    outcomes: BTreeMap<String, (ScaleOutOutcome, Ms)>,
    /// When each inherited intent that this controller does not send was first seen.
    unattended_since: BTreeMap<String, Ms>,
}

/// The record to write next, and the requests to send once it is durable.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ScaleOutStep {
    /// The record to be written.
    pub record: ScaleOutIntents,
    /// Requests to send once the record is durable.
    pub requests: Vec<ScaleOutIntent>,
}

impl ScaleOutTracker {
    /// The next record and requests, if there is anything to write. After `list_lag_ms` the list of machines shows
    /// every machine that a request without an answer has created.
    pub fn next_step(
        &mut self,
        stored: &ScaleOutIntents,
        epoch: Version,
        new: Vec<ScaleOutIntent>,
        (now, wall_ms): (Ms, u64),
        list_lag_ms: u64,
    ) -> Option<ScaleOutStep> {
        let mut step = ScaleOutStep::default();
        let mut needs_cleanup = false;
        let names: BTreeSet<&String> = stored.open.iter().map(|i| &i.name).collect();
        self.unattended_since.retain(|n, _| names.contains(n));
        self.outcomes.retain(|n, _| names.contains(n));
        let mut refused: Vec<CapacityRefusal> = stored.refused.clone();
        for intent in &stored.open {
            match self.outcomes.get(&intent.name) {
                Some((ScaleOutOutcome::Unknown, at)) if now.since(*at) < list_lag_ms => {}
                Some((outcome, at)) => {
                    needs_cleanup |= now.since(*at) >= CLEANUP_DELAY_MS;
                    update_refusals(&mut refused, intent, *outcome, wall_ms);
                    continue;
                }
                None if self.in_flight.contains(&intent.name) => {}
                None if !intent.inherited => {
                    // From a former holder, or the write that recorded it had an unknown outcome.
                    let intent = ScaleOutIntent { inherited: true, ..intent.clone() };
                    step.requests.push(intent.clone());
                    step.record.open.push(intent);
                    continue;
                }
                None => {
                    let since = *self.unattended_since.entry(intent.name.clone()).or_insert(now);
                    if now.since(since) >= list_lag_ms {
                        needs_cleanup = true;
                        continue;
                    }
                }
            }
            step.record.open.push(intent.clone());
        }
        refused.retain(|r| r.until_ms + MAX_BACKOFF_MS > wall_ms);
        step.requests.extend(new.iter().cloned());
        step.record.open.extend(new);
        step.record.refused = refused;
        step.record.epoch = epoch;
        (needs_cleanup || !step.requests.is_empty()).then_some(step)
    }

    /// The record is durable and these requests are being sent.
    pub fn requests_sent(&mut self, requests: &[ScaleOutIntent]) {
        self.in_flight.extend(requests.iter().map(|i| i.name.clone()));
    }

    /// Records the outcome of a request.
    pub fn record_outcome(&mut self, name: &str, outcome: ScaleOutOutcome, now: Ms) {
        if self.in_flight.remove(name) {
            self.outcomes.insert(name.to_string(), (outcome, now));
        }
    }

    /// Whether a request for machines of this pool had a shortfall that is not in the record yet.
    pub fn has_shortfall(&self, stored: &ScaleOutIntents, pool: &PoolId, spot: bool) -> bool {
        stored.open.iter().any(|i| {
            let has_shortfall =
                matches!(self.outcomes.get(&i.name), Some((ScaleOutOutcome::Shortfall, _)));
            has_shortfall && i.spot == spot && i.pool() == *pool
        })
    }

    /// The recorded intents whose machines are still expected.
    pub fn pending<'a>(
        &'a self,
        stored: &'a ScaleOutIntents,
    ) -> impl Iterator<Item = &'a ScaleOutIntent> + 'a {
        let is_pending = |i: &&ScaleOutIntent| !matches!(self.outcomes.get(&i.name), Some((outcome, _)) if *outcome != ScaleOutOutcome::Unknown);
        stored.open.iter().filter(is_pending)
    }
}

/// Replaces the refusal of the intent's machines according to the outcome of the request.
fn update_refusals(
    refused: &mut Vec<CapacityRefusal>,
    intent: &ScaleOutIntent,
    outcome: ScaleOutOutcome,
    wall_ms: u64,
) {
    let same = |r: &CapacityRefusal| {
        r.machine_type == intent.machine_type && r.zone == intent.zone && r.spot == intent.spot
    };
    let previous = refused.iter().position(same).map(|i| refused.swap_remove(i));
    if outcome == ScaleOutOutcome::Fulfilled {
        return;
    }
    let backoff_ms =
        previous.map_or(INITIAL_BACKOFF_MS, |r| (2 * r.backoff_ms).min(MAX_BACKOFF_MS));
    refused.push(CapacityRefusal {
        machine_type: intent.machine_type.clone(),
        zone: intent.zone.clone(),
        spot: intent.spot,
        until_ms: wall_ms + backoff_ms,
        backoff_ms,
    });
}
