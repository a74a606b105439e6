//! Sizing of a pool's slice of a team's limit.

/// Demand of one pool for one resource of a team's limit, in thousandths.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SliceDemand {
    /// Used by the team in the pool, including claims that are not yet committed.
    pub used: i64,
    /// Demand that could start now but exceeds the slice.
    pub shortfall: i64,
    /// Reserved to start soon.
    pub reserved_soon: i64,
    /// Total capacity of the pool's machines.
    pub capacity: i64,
    /// The team's whole limit; 0 means unlimited.
    pub limit: i64,
    /// The largest amount that any of the team's jobs needs at once to start.
    pub largest_need: i64,
}

impl SliceDemand {
    /// Returns the slice's new size and updates `free`, the part of the limit that no slice holds.
    ///
    /// A slice grows only for tasks that could start now, but then up to the pool's capacity, so
    /// that it need not grow again soon. Once little is free, it shrinks to what is used or reserved
    /// to start soon. (Without the reserved part, a slice of a team at its limit was released and
    /// requested again between any two tasks.)
    pub fn resize(&self, slice: i64, free: &mut i64) -> i64 {
        if self.limit == 0 {
            return 0;
        }
        let max_slice = self.capacity.max(self.used);
        let required = (self.used + self.shortfall).min(max_slice);
        if required > slice && *free > 0 {
            let increase = (self.capacity.max(required) - slice).min(*free).max(0);
            *free -= increase;
            return slice + increase;
        }
        let kept = (required + self.reserved_soon).min(max_slice);
        // Scarce means less than an eighth of the limit, or too little for the largest task to
        // start: with a small limit an eighth can be less than one task, and a pool without machines
        // would then keep its unused slice forever.
        let is_scarce = *free < (self.limit / 8).max(self.largest_need);
        if slice > kept && is_scarce {
            *free += slice - kept;
            return kept;
        }
        slice
    }
}
