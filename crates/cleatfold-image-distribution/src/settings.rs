//! The operators' settings.

use serde::Deserialize;

/// A field of the settings is outside of what can work.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("weights.{field}: must be between {least} and {most}")]
pub struct OutOfRange {
    /// The field's name in the operators' file.
    pub field: &'static str,
    /// The least value that is allowed.
    pub least: f64,
    /// The greatest value that is allowed.
    pub most: f64,
}

/// `weights { ... }` in the operators' file. Without it nothing is staged.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// What the origin gives to the whole region, in GB per second.
    pub origin_gb_per_s: f64,
    /// How many machines one machine hands an image on to at a time.
    #[serde(default = "Settings::uploads")]
    pub uploads: u32,
    /// Smaller images are fetched as ever.
    #[serde(default = "Settings::min_gb")]
    pub min_gb: f64,
    /// Whether machines hand images on; without, only the fetches are staged.
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
    /// The first field that is not.
    pub fn check(&self) -> Result<(), OutOfRange> {
        let ranges = [
            ("origin_gb_per_s", self.origin_gb_per_s, 0.01, 100_000.0),
            ("uploads", f64::from(self.uploads), 1.0, 16.0),
            ("min_gb", self.min_gb, 0.1, 100_000.0),
        ];
        for (field, value, least, most) in ranges {
            if !(least..=most).contains(&value) {
                return Err(OutOfRange { field, least, most });
            }
        }
        Ok(())
    }

    /// Whether an image of this size is distributed.
    pub fn is_large(&self, gb: f64) -> bool {
        gb >= self.min_gb
    }

    /// What the origin gives, in MB per second.
    pub fn bound(&self) -> u32 {
        (self.origin_gb_per_s * 1000.0) as u32
    }

    /// What the fetch of a machine of this rate takes of it. A machine that could take more than
    /// there is takes all of it: there is always at least one slot.
    pub fn slot(&self, fetch_gb_per_s: f64) -> u32 {
        ((fetch_gb_per_s * 1000.0).ceil() as u32).clamp(1, self.bound())
    }
}
