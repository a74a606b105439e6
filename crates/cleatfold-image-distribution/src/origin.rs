//! Who fetches from the origin: one record for all images, since all share one bound.
//!
//! A slot is written here before its machine is told to fetch. Every writer adds to the record that
//! it has read, guarded by its version, so the sum of the slots never exceeds the bound, whoever
//! fails, and whoever takes a pool over reads which of its machines are fetching.

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
    /// Time of day, in milliseconds. To be read by people.
    #[serde(rename = "s")]
    pub since_ms: u64,
    /// What it takes of the origin, in MB per second.
    #[serde(rename = "r")]
    pub mb_per_s: u32,
}

/// All fetches from the origin.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct OriginRecord {
    /// By machine: it fetches one image at a time.
    #[serde(rename = "f", default)]
    pub slots: BTreeMap<MachineId, Slot>,
}

impl OriginRecord {
    /// Bytes that a slot takes at most, with names of the usual length.
    const SLOT_BYTES: usize = 160;

    /// In MB per second.
    pub fn used(&self) -> u32 {
        self.slots.values().map(|s| s.mb_per_s).sum()
    }

    /// Whether another slot of this size is within the bound, and the record within its limit.
    pub fn has_capacity(&self, settings: &Settings, mb_per_s: u32, value_bytes: usize) -> bool {
        self.used() + mb_per_s <= settings.bound()
            && (self.slots.len() + 1) * Self::SLOT_BYTES <= value_bytes
    }

    /// Machines of a zone that fetch an image.
    pub fn in_zone<'a>(
        &'a self,
        image: &'a ImageId,
        zone: &'a ZoneId,
    ) -> impl Iterator<Item = &'a MachineId> + 'a {
        let here = move |s: &Slot| s.image == *image && s.pool.zone == *zone;
        self.slots.iter().filter(move |(_, s)| here(s)).map(|(m, _)| m)
    }
}
