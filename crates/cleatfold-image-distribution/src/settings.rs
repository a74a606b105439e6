//! The operators' settings.

use serde::Deserialize;

/// A settings field is outside its allowed range.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("weights.{field}: must be between {min} and {max}")]
pub struct OutOfRange {
    /// The field's name in the operators' file.
    pub field: &'static str,
    /// The smallest allowed value.
    pub min: f64,
    /// The largest allowed value.
    pub max: f64,
}

/// `weights { ... }` in the operators' file. Without it, fetches are not limited.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Bandwidth of the origin for the whole region, in GB per second.
    pub origin_gb_per_s: f64,
    /// Maximum number of concurrent uploads of a machine.
    #[serde(default = "Settings::uploads")]
    pub uploads: u32,
    /// Size in GB from which an image is distributed. Smaller images are fetched without limits.
    #[serde(default = "Settings::min_gb")]
    pub min_gb: f64,
    /// Whether machines upload images to peers. If not, only fetches from the origin are limited.
    #[serde(default = "Settings::hand_on")]
    pub hand_on: bool,
}

impl Settings {
    fn uploads() -> u32 {
        2
    }
    fn min_gb() -> f64 {
        10.0
    }
    fn hand_on() -> bool {
        true
    }

    /// Checks that each field is within its range.
    ///
    /// # Errors
    ///
    /// The first field that is out of range.
    pub fn validate(&self) -> Result<(), OutOfRange> {
        let ranges = [
            ("origin_gb_per_s", self.origin_gb_per_s, 0.01, 100_000.0),
            ("uploads", f64::from(self.uploads), 1.0, 16.0),
            ("min_gb", self.min_gb, 0.1, 100_000.0),
        ];
        for (field, value, min, max) in ranges {
            if !(min..=max).contains(&value) {
                return Err(OutOfRange { field, min, max });
            }
        }
        Ok(())
    }

    /// Whether an image of this size is distributed.
    pub fn is_large(&self, gb: f64) -> bool {
        gb >= self.min_gb
    }

    /// Bandwidth of the origin in MB per second.
    pub fn origin_mb_per_s(&self) -> u32 {
        (self.origin_gb_per_s * 1000.0) as u32
    }

    /// Origin bandwidth reserved for the fetch of a machine with this rate. It is capped at the total
    /// bandwidth, so there is always at least one slot.
    pub fn slot_mb_per_s(&self, fetch_gb_per_s: f64) -> u32 {
        ((fetch_gb_per_s * 1000.0).ceil() as u32).clamp(1, self.origin_mb_per_s())
    }
}
