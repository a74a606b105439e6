//! Resource amounts in integer thousandths, so that sums are exact.

use std::ops::{Add, AddAssign, Sub, SubAssign};

/// Resources that a machine provides or a task requires. The order is that of a key in a map: use
/// `is_within` to compare amounts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Resources {
    /// Processors, in thousandths.
    pub cpus: i64,
    /// GPUs, in thousandths.
    pub gpus: i64,
    /// Memory, in thousandths of GB.
    pub memory: i64,
}

fn thousandths(amount: f64) -> i64 {
    (amount * 1000.0).round().clamp(0.0, 1e15) as i64
}

impl Resources {
    /// Converts amounts given in whole units.
    pub fn new(cpus: f64, gpus: f64, memory_gb: f64) -> Self {
        Self { cpus: thousandths(cpus), gpus: thousandths(gpus), memory: thousandths(memory_gb) }
    }

    /// Number of tasks requiring `each` that fit, at most `limit`.
    pub fn fitting_tasks(&self, each: &Resources, limit: u32) -> u32 {
        let mut count = i64::from(limit);
        for (available, required) in
            [(self.cpus, each.cpus), (self.gpus, each.gpus), (self.memory, each.memory)]
        {
            // Avoids the division where possible: this runs for every step of every profile.
            if required > 0 && available < required.saturating_mul(count) {
                count = available.max(0) / required;
            } else if available < 0 {
                return 0;
            }
        }
        count as u32
    }

    /// Whether a single task fits.
    pub fn fits_one(&self, each: &Resources) -> bool {
        self.cpus >= each.cpus && self.gpus >= each.gpus && self.memory >= each.memory
    }

    /// These resources multiplied by `n`.
    pub fn times(&self, n: u32) -> Resources {
        let n = i64::from(n);
        Resources { cpus: self.cpus * n, gpus: self.gpus * n, memory: self.memory * n }
    }

    /// Whether no amount exceeds that of `limit`.
    pub fn is_within(&self, limit: &Resources) -> bool {
        self.cpus <= limit.cpus && self.gpus <= limit.gpus && self.memory <= limit.memory
    }
}

impl Add for Resources {
    type Output = Resources;
    fn add(self, other: Resources) -> Resources {
        Resources {
            cpus: self.cpus + other.cpus,
            gpus: self.gpus + other.gpus,
            memory: self.memory + other.memory,
        }
    }
}

impl Sub for Resources {
    type Output = Resources;
    fn sub(self, other: Resources) -> Resources {
        Resources {
            cpus: self.cpus - other.cpus,
            gpus: self.gpus - other.gpus,
            memory: self.memory - other.memory,
        }
    }
}

impl AddAssign for Resources {
    fn add_assign(&mut self, other: Resources) {
        *self = *self + other;
    }
}

impl SubAssign for Resources {
    fn sub_assign(&mut self, other: Resources) {
        *self = *self - other;
    }
}
