//! How large a pool's slice of a team's limit should be.

/// Amounts of one resource, in thousandths, from which a pool's slice is sized.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SliceDemand {
    /// Used by the team in the pool, claims on their way included.
    pub used: i64,
    /// What could start now but for the slice.
    pub short: i64,
    /// What is reserved to start soon.
    pub soon: i64,
    /// What the pool's machines hold at once.
    pub capacity: i64,
    /// The team's whole limit; 0: there is none.
    pub limit: i64,
    /// The most that something of the team needs at once to start at all.
    pub largest_need: i64,
}

impl SliceDemand {
    /// The slice's new size. `free` is what of the limit is no pool's; it changes with the slice.
    ///
    /// A pool asks only for what it could start right now, and then gets all that it can hold, so that
    /// it need not ask again. It gives back what it neither uses nor is about to use once little is
    /// free. (Given back between two tasks, a slice at its limit was asked for again at every task's
    /// end.)
    pub fn resize(&self, slice: i64, free: &mut i64) -> i64 {
        if self.limit == 0 {
            return 0;
        }
        let most = self.capacity.max(self.used);
        let wanted = (self.used + self.short).min(most);
        if wanted > slice && *free > 0 {
            let grown = (self.capacity.max(wanted) - slice).min(*free).max(0);
            *free -= grown;
            return slice + grown;
        }
        let kept = (wanted + self.soon).min(most);
        // Little is free where it is less than an eighth of the limit, or where some task could not
        // start with it: an eighth of a small limit was less than that, and a pool without machines
        // kept the rest for ever.
        let is_scarce = *free < (self.limit / 8).max(self.largest_need);
        if slice > kept && is_scarce {
            *free += slice - kept;
            return kept;
        }
        slice
    }
}
