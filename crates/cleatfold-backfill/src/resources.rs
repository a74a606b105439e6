//! What tasks take and machines have, in whole thousandths so that sums are exact.

use std::ops::{Add, AddAssign, Sub, SubAssign};

/// Amounts of what machines have and tasks take.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Resources {
    /// Thousandths of processors.
    pub cpus: i64,
    /// Thousandths of GPUs.
    pub gpus: i64,
    /// Memory, in thousandths of GB.
    pub memory: i64,
}

fn thousandths(amount: f64) -> i64 {
    (amount * 1000.0).round().clamp(0.0, 1e15) as i64
}

impl Resources {
    /// From amounts in whole units.
    pub fn new(cpus: f64, gpus: f64, memory_gb: f64) -> Self {
        Self { cpus: thousandths(cpus), gpus: thousandths(gpus), memory: thousandths(memory_gb) }
    }

    /// How many tasks taking `each` fit, at most `limit`.
    pub fn fits(&self, each: &Resources, limit: u32) -> u32 {
        let mut n = i64::from(limit);
        for (have, want) in
            [(self.cpus, each.cpus), (self.gpus, each.gpus), (self.memory, each.memory)]
        {
            // Dividing is dear and seldom needed: this is asked of every step of every profile.
            if want > 0 && have < want.saturating_mul(n) {
                n = have.max(0) / want;
            } else if have < 0 {
                return 0;
            }
        }
        n as u32
    }

    /// Whether a single task fits.
    pub fn holds(&self, each: &Resources) -> bool {
        self.cpus >= each.cpus && self.gpus >= each.gpus && self.memory >= each.memory
    }

    /// So many times as much.
    pub fn times(&self, n: u32) -> Resources {
        let n = i64::from(n);
        Resources { cpus: self.cpus * n, gpus: self.gpus * n, memory: self.memory * n }
    }

    /// Whether no amount exceeds the limit's.
    pub fn within(&self, limit: &Resources) -> bool {
        self.cpus <= limit.cpus && self.gpus <= limit.gpus && self.memory <= limit.memory
    }
}

impl Add for Resources {
    type Output = Resources;
    fn add(self, o: Resources) -> Resources {
        Resources {
            cpus: self.cpus + o.cpus,
            gpus: self.gpus + o.gpus,
            memory: self.memory + o.memory,
        }
    }
}

impl Sub for Resources {
    type Output = Resources;
    fn sub(self, o: Resources) -> Resources {
        Resources {
            cpus: self.cpus - o.cpus,
            gpus: self.gpus - o.gpus,
            memory: self.memory - o.memory,
        }
    }
}

impl AddAssign for Resources {
    fn add_assign(&mut self, o: Resources) {
        *self = *self + o;
    }
}

impl SubAssign for Resources {
    fn sub_assign(&mut self, o: Resources) {
        *self = *self - o;
    }
}
