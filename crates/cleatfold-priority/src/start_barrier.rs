//! What may start in a pool that has just changed hands.

use cleatfold_wire::job::Urgency;
use cleatfold_wire::Ms;

/// Without word of the leader everything urgent is planned for, sent there or not, for so long.
const WIDE_MS: u64 = 3_000;

/// What the new owner has heard since.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StartBarrier {
    /// When the pool came to its present owner.
    pub taken: Ms,
    /// When the newest complete reading of the state service was asked for.
    pub read: Option<Ms>,
    /// When the leader last sent jobs to pools.
    pub assigned: Option<Ms>,
}

impl StartBarrier {
    /// The lowest urgency that may start: until a reading that was asked for after the pool came, something
    /// urgent may be unread that the former owner knew of. Nothing is above the highest.
    pub fn lowest(&self) -> Urgency {
        if self.read.is_some_and(|read| read >= self.taken) {
            Urgency::BestEffort
        } else {
            Urgency::Critical
        }
    }

    /// Whether all that is urgent is planned for here: what it was sent to before says nothing of now.
    pub fn wide(&self, now: Ms) -> bool {
        let assigned = self.assigned.is_some_and(|at| at >= self.taken);
        !assigned && now.since(self.taken) < WIDE_MS
    }
}
