//! Who holds an image that is being spread, as it stands in the state service.

use base64::prelude::{Engine, BASE64_STANDARD_NO_PAD};
use cleatfold_wire::{MachineId, PoolId, ZoneId};
use roaring::RoaringBitmap;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Machines that hold the image whole and hand it on. A hint: a machine that is left out or gone
/// costs time, never a rule.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ImageHoldersRecord {
    /// Machines that hold it, by pool.
    #[serde(rename = "h", default)]
    pub holders: BTreeMap<PoolId, Names>,
}

/// Names of machines. Those that are a common beginning and a number are one bitmap.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Names {
    #[serde(rename = "b", default, skip_serializing_if = "String::is_empty")]
    begin: String,
    #[serde(rename = "w", default)]
    width: usize,
    #[serde(rename = "n", default, skip_serializing_if = "String::is_empty")]
    numbers: String,
    #[serde(rename = "o", default, skip_serializing_if = "Vec::is_empty")]
    others: Vec<MachineId>,
}

/// `vm-000231` as `vm-`, six figures, 231.
fn split(name: &str) -> Option<(&str, usize, u32)> {
    let begin = name.trim_end_matches(|c: char| c.is_ascii_digit());
    let figures = &name[begin.len()..];
    (1..=9).contains(&figures.len()).then(|| Some((begin, figures.len(), figures.parse().ok()?)))?
}

impl Names {
    /// Packs names.
    pub fn of<'a>(names: impl IntoIterator<Item = &'a MachineId>) -> Self {
        let mut all = Names::default();
        let mut bits = RoaringBitmap::new();
        for name in names {
            match split(name.as_str()) {
                Some((begin, width, n))
                    if bits.is_empty() || (begin, width) == (all.begin.as_str(), all.width) =>
                {
                    (all.begin, all.width) = (begin.to_string(), width);
                    bits.insert(n);
                }
                _ => all.others.push(name.clone()),
            }
        }
        if !bits.is_empty() {
            let mut bytes = Vec::new();
            let _ = bits.serialize_into(&mut bytes);
            all.numbers = BASE64_STANDARD_NO_PAD.encode(bytes);
        }
        all
    }

    /// The same names with runs of consecutive numbers stored as ranges. Machines of one pool are
    /// mostly rented in runs, so this is far shorter for thousands of them.
    fn in_ranges(&self) -> Self {
        let mut bits = self.bits();
        bits.optimize();
        let mut bytes = Vec::new();
        let _ = bits.serialize_into(&mut bytes);
        Names { numbers: BASE64_STANDARD_NO_PAD.encode(bytes), ..self.clone() }
    }

    fn bits(&self) -> RoaringBitmap {
        let bytes = BASE64_STANDARD_NO_PAD.decode(&self.numbers).unwrap_or_default();
        RoaringBitmap::deserialize_from(&bytes[..]).unwrap_or_default()
    }

    /// What can't be read is nobody: it is a hint.
    pub fn read(&self) -> BTreeSet<MachineId> {
        let bits = self.bits();
        let (begin, width) = (&self.begin, self.width);
        let numbered = bits.iter().map(|n| MachineId::new(format!("{begin}{n:0width$}")));
        numbered.chain(self.others.iter().cloned()).collect()
    }
}

impl ImageHoldersRecord {
    /// Names that a record holds of a pool whose names can't be packed.
    const MAX_UNPACKED_NAMES: usize = 16;

    /// Sets a pool's part, cut down where the record would grow beyond `most` bytes: a few holders
    /// are enough for the others to find the image.
    pub fn set(&mut self, pool: &PoolId, holders: &BTreeSet<MachineId>, most: usize) {
        self.holders.remove(pool);
        if holders.is_empty() {
            return;
        }
        let names = Names::of(holders);
        self.holders.insert(pool.clone(), names.clone());
        if self.bytes() > most {
            self.holders.insert(pool.clone(), names.in_ranges());
        }
        if self.bytes() > most {
            let few = Names::of(holders.iter().take(Self::MAX_UNPACKED_NAMES));
            self.holders.insert(pool.clone(), few);
        }
        if self.bytes() > most {
            self.holders.remove(pool);
        }
    }

    /// The length of the record as it is stored.
    pub fn bytes(&self) -> usize {
        serde_json::to_vec(self).map_or(usize::MAX, |v| v.len())
    }

    /// All holders in a zone.
    pub fn in_zone(&self, zone: &ZoneId) -> BTreeSet<MachineId> {
        let here = self.holders.iter().filter(|(p, _)| p.zone == *zone);
        here.flat_map(|(_, names)| names.read()).collect()
    }
}
