//! Which pools a job is sent to: the K least loaded ones that can hold it.

/// A pool's load in seconds: remaining processor-time per processor.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// Processor-seconds that its tasks still take.
    pub work: f64,
    /// Processors of its machines.
    pub processors: f64,
}

impl Load {
    /// Remaining processor-time per processor.
    pub fn seconds(&self) -> f64 {
        if self.processors > 0.0 {
            self.work / self.processors
        } else {
            f64::INFINITY
        }
    }
}

/// Picks the `k` least loaded of `eligible` and charges each its share of `work`. A pool the
/// job is in already is kept unless another is clearly better, so that reservations stay put.
pub fn choose(
    loads: &mut [Load],
    eligible: &[usize],
    current: &[usize],
    k: usize,
    work: f64,
) -> Vec<usize> {
    const STAY: f64 = 0.8;
    let mut order: Vec<usize> =
        eligible.iter().copied().filter(|&p| loads[p].processors > 0.0).collect();
    let key = |p: usize| {
        let s = loads[p].seconds();
        if current.contains(&p) {
            s * STAY
        } else {
            s
        }
    };
    order.sort_by(|&a, &b| key(a).total_cmp(&key(b)).then(a.cmp(&b)));
    order.truncate(k);
    let processors: f64 = order.iter().map(|&p| loads[p].processors).sum();
    for &p in &order {
        loads[p].work += work * loads[p].processors / processors;
    }
    order
}
