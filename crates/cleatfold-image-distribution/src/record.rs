//! The stored record of the machines that hold an image under distribution.

use base64::prelude::{Engine, BASE64_STANDARD_NO_PAD};
use cleatfold_wire::{MachineId, PoolId, ZoneId};
use roaring::RoaringBitmap;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Machines that hold the complete image and can upload it. Only a hint: a missing or outdated entry costs
/// time but never violates an invariant.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ImageHoldersRecord {
    /// Holders of the image by pool.
    #[serde(rename = "h", default)]
    pub holders: BTreeMap<PoolId, PackedMachineNames>,
}

/// A set of machine names. Names that consist of a common prefix and a number are stored as one bitmap.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PackedMachineNames {
    #[serde(rename = "b", default, skip_serializing_if = "String::is_empty")]
    prefix: String,
    #[serde(rename = "w", default)]
    digit_count: usize,
    #[serde(rename = "n", default, skip_serializing_if = "String::is_empty")]
    encoded_numbers: String,
    #[serde(rename = "o", default, skip_serializing_if = "Vec::is_empty")]
    unpacked: Vec<MachineId>,
}

/// Splits `vm-000231` into the prefix `vm-`, 6 digits and the number 231.
fn split_numbered_name(name: &str) -> Option<(&str, usize, u32)> {
    let prefix = name.trim_end_matches(|c: char| c.is_ascii_digit());
    let digits = &name[prefix.len()..];
    (1..=9).contains(&digits.len()).then(|| Some((prefix, digits.len(), digits.parse().ok()?)))?
}

impl PackedMachineNames {
    /// Packs names.
    pub fn pack<'a>(names: impl IntoIterator<Item = &'a MachineId>) -> Self {
        let mut packed = PackedMachineNames::default();
        let mut bits = RoaringBitmap::new();
        for name in names {
            match split_numbered_name(name.as_str()) {
                Some((prefix, digit_count, n))
                    if bits.is_empty()
                        || (prefix, digit_count)
                            == (packed.prefix.as_str(), packed.digit_count) =>
                {
                    (packed.prefix, packed.digit_count) = (prefix.to_string(), digit_count);
                    bits.insert(n);
                }
                _ => packed.unpacked.push(name.clone()),
            }
        }
        if !bits.is_empty() {
            let mut bytes = Vec::new();
            let _ = bits.serialize_into(&mut bytes);
            packed.encoded_numbers = BASE64_STANDARD_NO_PAD.encode(bytes);
        }
        packed
    }

    /// The same names with runs of consecutive numbers stored as ranges. Machines of one pool are
    /// mostly created in runs, so this is far shorter for thousands of them.
    fn run_length_encoded(&self) -> Self {
        let mut bits = self.bitmap();
        bits.optimize();
        let mut bytes = Vec::new();
        let _ = bits.serialize_into(&mut bytes);
        PackedMachineNames { encoded_numbers: BASE64_STANDARD_NO_PAD.encode(bytes), ..self.clone() }
    }

    fn bitmap(&self) -> RoaringBitmap {
        let bytes = BASE64_STANDARD_NO_PAD.decode(&self.encoded_numbers).unwrap_or_default();
        RoaringBitmap::deserialize_from(&bytes[..]).unwrap_or_default()
    }

    /// Decodes the names. An unreadable bitmap counts as empty, since the record is only a hint.
    pub fn unpack(&self) -> BTreeSet<MachineId> {
        let bits = self.bitmap();
        let (prefix, digit_count) = (&self.prefix, self.digit_count);
        let numbered = bits.iter().map(|n| MachineId::new(format!("{prefix}{n:0digit_count$}")));
        numbered.chain(self.unpacked.iter().cloned()).collect()
    }
}

impl ImageHoldersRecord {
    /// Maximum number of holders recorded for a pool whose full list does not fit.
    const MAX_UNPACKED_NAMES: usize = 16;

    /// Sets the holders of a pool. The list is truncated if the record would exceed `max_bytes`: a few
    /// holders are enough for other machines to find the image.
    pub fn set_pool_holders(
        &mut self,
        pool: &PoolId,
        holders: &BTreeSet<MachineId>,
        max_bytes: usize,
    ) {
        self.holders.remove(pool);
        if holders.is_empty() {
            return;
        }
        let names = PackedMachineNames::pack(holders);
        self.holders.insert(pool.clone(), names.clone());
        if self.encoded_len() > max_bytes {
            self.holders.insert(pool.clone(), names.run_length_encoded());
        }
        if self.encoded_len() > max_bytes {
            let first_holders =
                PackedMachineNames::pack(holders.iter().take(Self::MAX_UNPACKED_NAMES));
            self.holders.insert(pool.clone(), first_holders);
        }
        if self.encoded_len() > max_bytes {
            self.holders.remove(pool);
        }
    }

    /// Length of the stored record in bytes.
    pub fn encoded_len(&self) -> usize {
        serde_json::to_vec(self).map_or(usize::MAX, |v| v.len())
    }

    /// All holders in a zone.
    pub fn holders_in_zone(&self, zone: &ZoneId) -> BTreeSet<MachineId> {
        let in_zone = self.holders.iter().filter(|(p, _)| p.zone == *zone);
        in_zone.flat_map(|(_, names)| names.unpack()).collect()
    }
}
