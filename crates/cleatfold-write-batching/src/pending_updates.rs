//! The updates of one job that are not recorded yet, and when they are written.

/// The updates of one job that this controller has not recorded yet.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PendingUpdates {
    /// Completed tasks.
    pub done: u32,
    /// Tasks that ended without completing; they can be restarted only once that is recorded.
    pub lost: u32,
    /// Tasks to be claimed.
    pub claims: u32,
    /// Members of an elastic job with an unanswered report.
    pub member_reports: u32,
    /// Members that are idle until their report is answered.
    pub idle_members: u32,
    /// The user has requested cancellation of the job.
    pub cancel_requested: bool,
    /// All work of the job is done and only its completion is left to be recorded.
    pub work_done: bool,
    /// Recording these updates completes the job.
    pub completes_job: bool,
    /// Tasks of the job that still run in this controller's pools.
    pub running_here: u32,
    /// Tasks of the job that no controller has claimed.
    pub unclaimed: u32,
    /// Number of records that would be written.
    pub record_writes: u32,
    /// Urgency of the job, from 1 (lowest) to 4.
    pub urgency: u64,
    /// How long completed tasks may be delayed at most.
    pub max_delay_ms: u64,
    /// Whether member reports may wait to be combined with further ones.
    pub can_batch_reports: bool,
}

impl PendingUpdates {
    /// Whether there are only completed tasks of a job that continues here, so that nothing waits for them to be
    /// recorded. A lost task can be restarted only after its end is recorded. When it counted like any other
    /// end, it waited a minute to be recorded while the write rate was short.
    ///
    /// When no task of the job runs here and none is left to be claimed, these are the last updates from this
    /// controller, and the completion of the job may depend on them. When they were deferred, each of three
    /// owners held back its third of a job for the maximum delay, since none of them saw the job complete.
    pub fn is_deferrable(&self) -> bool {
        !(self.cancel_requested || self.work_done || self.is_final())
            && self.can_batch_reports
            && self.claims == 0
            && self.lost == 0
    }

    /// Whether this controller will have no further updates of the job.
    pub fn is_final(&self) -> bool {
        self.completes_job || (self.running_here == 0 && self.unclaimed == 0)
    }

    /// Whether the updates must be written ahead of all deferrable ones.
    pub fn is_due(&self, waited_ms: u64) -> bool {
        waited_ms >= self.max_delay_ms || !self.is_deferrable()
    }

    /// Priority of writing the updates now, in task-milliseconds of waiting per written record.
    pub fn priority(&self, waited_ms: u64) -> u64 {
        if self.cancel_requested {
            return u64::MAX;
        }
        // A completed task delays nothing, since the planner already reuses its capacity: it can wait for others of
        // its job. A start or a lost task that must be restarted cannot.
        let steps = u64::from(self.member_reports).max(u64::from(self.work_done))
            + 4 * u64::from(self.idle_members);
        let mut weighted_tasks =
            u64::from(self.done) + 4 * u64::from(self.claims) + 8 * u64::from(self.lost);
        weighted_tasks += steps;
        if self.completes_job {
            // The user is waiting for the job to complete.
            weighted_tasks *= 4;
        }
        let benefit =
            weighted_tasks.saturating_mul(self.urgency.max(1)).saturating_mul(300 + waited_ms);
        // The task ends of a large job are spread over many records; only the benefit per record counts.
        benefit / u64::from(self.record_writes.max(1))
    }
}
