//! The stored record of all fetches from the origin. All images share one record because they share the
//! origin's bandwidth limit.
//!
//! A slot is written to the record before its machine is commanded to fetch. Every write is guarded by the
//! version of the record that it is based on, so the sum of the slots never exceeds the limit, whichever
//! controller fails. A controller that takes over a pool reads from it which of its machines are fetching.

use crate::Settings;
use cleatfold_wire::{ImageId, MachineId, PoolId, ZoneId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// One machine's fetch from the origin.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Slot {
    /// The machine's pool.
    #[serde(rename = "p")]
    pub pool: PoolId,
    /// The image.
    #[serde(rename = "i")]
    pub image: ImageId,
    /// Time of day in milliseconds, for diagnosis only.
    #[serde(rename = "s")]
    pub since_ms: u64,
    /// Origin bandwidth reserved by the fetch, in MB per second.
    #[serde(rename = "r")]
    pub mb_per_s: u32,
}

/// All fetches from the origin.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct OriginRecord {
    /// Slots by machine. A machine fetches one image at a time.
    #[serde(rename = "f", default)]
    pub slots: BTreeMap<MachineId, Slot>,
}

impl OriginRecord {
    /// Maximum encoded length of a slot in bytes, for names of the usual length.
    const SLOT_BYTES: usize = 160;

    /// Reserved origin bandwidth in MB per second.
    pub fn used_mb_per_s(&self) -> u32 {
        self.slots.values().map(|s| s.mb_per_s).sum()
    }

    /// Whether another slot of this size fits into both the origin's bandwidth and the record's size limit.
    pub fn has_capacity(&self, settings: &Settings, mb_per_s: u32, value_bytes: usize) -> bool {
        self.used_mb_per_s() + mb_per_s <= settings.origin_mb_per_s()
            && (self.slots.len() + 1) * Self::SLOT_BYTES <= value_bytes
    }

    /// Machines of a zone that fetch an image from the origin.
    pub fn machines_fetching<'a>(
        &'a self,
        image: &'a ImageId,
        zone: &'a ZoneId,
    ) -> impl Iterator<Item = &'a MachineId> + 'a {
        let matches = move |s: &Slot| s.image == *image && s.pool.zone == *zone;
        self.slots.iter().filter(move |(_, s)| matches(s)).map(|(m, _)| m)
    }
}
