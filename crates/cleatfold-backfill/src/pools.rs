//! Pool selection: a job is assigned to the K least loaded pools that can run it.

/// The outstanding work of a pool and the processors that share it.
#[derive(Clone, Copy, Debug)]
pub struct PoolLoad {
    /// Remaining processor-seconds of its tasks.
    pub work: f64,
    /// Processors of its machines.
    pub processors: f64,
}

impl PoolLoad {
    /// Remaining processor-time per processor, in seconds.
    pub fn load_s(&self) -> f64 {
        if self.processors > 0.0 {
            self.work / self.processors
        } else {
            f64::INFINITY
        }
    }
}

/// Selects the `k` least loaded of the `eligible` pools and adds a share of `work` to each, in
/// proportion to its processors. A pool that the job is already assigned to is kept unless another
/// one is clearly less loaded, so that reservations do not move between pools.
pub fn choose_pools(
    loads: &mut [PoolLoad],
    eligible: &[usize],
    current: &[usize],
    k: usize,
    work: f64,
) -> Vec<usize> {
    const CURRENT_POOL_LOAD_FACTOR: f64 = 0.8;
    let mut chosen: Vec<usize> =
        eligible.iter().copied().filter(|&p| loads[p].processors > 0.0).collect();
    let weighted_load = |p: usize| {
        let load_s = loads[p].load_s();
        if current.contains(&p) {
            load_s * CURRENT_POOL_LOAD_FACTOR
        } else {
            load_s
        }
    };
    chosen.sort_by(|&a, &b| weighted_load(a).total_cmp(&weighted_load(b)).then(a.cmp(&b)));
    chosen.truncate(k);
    let total_processors: f64 = chosen.iter().map(|&p| loads[p].processors).sum();
    for &p in &chosen {
        loads[p].work += work * loads[p].processors / total_processors;
    }
    chosen
}
