//! Restrictions on starts in a pool that has just been acquired by a new owner.

use cleatfold_wire::job::Urgency;
use cleatfold_wire::Ms;

/// How long a new owner plans all urgent jobs, assigned to the pool or not, unless the leader assigns
/// jobs first.
const ASSIGNMENT_WAIT_MS: u64 = 3_000;

/// What the pool's owner has read and received since it acquired the pool.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StartBarrier {
    /// When the present owner acquired the pool.
    pub acquired_at: Ms,
    /// When the latest complete read of the state service was requested.
    pub last_read_started_at: Option<Ms>,
    /// When the leader last assigned jobs to pools.
    pub last_assignment_at: Option<Ms>,
}

impl StartBarrier {
    /// The lowest urgency that may start. Before a read that was requested after the pool was
    /// acquired, urgent jobs that the former owner knew of may be unread, so only jobs of the highest
    /// urgency may start: no unread job can outrank them.
    pub fn lowest_startable_urgency(&self) -> Urgency {
        if self.last_read_started_at.is_some_and(|started_at| started_at >= self.acquired_at) {
            Urgency::BestEffort
        } else {
            Urgency::Critical
        }
    }

    /// Whether all urgent jobs are planned for in this pool: earlier assignments may be out of date.
    pub fn plans_all_urgent(&self, now: Ms) -> bool {
        let is_assigned = self.last_assignment_at.is_some_and(|at| at >= self.acquired_at);
        !is_assigned && now.since(self.acquired_at) < ASSIGNMENT_WAIT_MS
    }
}
