//! What waits to be recorded of one job.

/// What waits to be recorded of one job, as this controller sees it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PendingUpdates {
    /// Completed tasks.
    pub done: u32,
    /// Tasks that ended otherwise: they can start again only once that is recorded.
    pub lost: u32,
    /// Tasks to be claimed.
    pub starts: u32,
    /// Members of an elastic job that report, and those of them that have nothing to do.
    pub member_reports: u32,
    /// Members that have nothing to do until they are answered.
    pub idle: u32,
    /// Its user has asked to cancel it.
    pub abort: bool,
    /// All that it has to do is done; only that has to be said.
    pub over: bool,
    /// With this all of its tasks are done.
    pub finishes: bool,
    /// Tasks of it that still run in this controller's pools.
    pub mine_left: u32,
    /// Tasks of it that nobody has claimed.
    pub unclaimed: u32,
    /// Records that would be written.
    pub changes: u32,
    /// 1 to 4.
    pub urgency: u64,
    /// How long completed tasks may be kept back at most.
    pub patience_ms: u64,
    /// Members' reports may still gather.
    pub gathers: bool,
}

impl PendingUpdates {
    /// Nothing but completed tasks of a job that goes on here: nobody waits for them to be
    /// recorded. The end of a lost task is another matter, for it can start again only after that.
    /// (Counted as one end among many, it waited a minute to be recorded when changes ran short.)
    ///
    /// When nothing of it runs here any more and nothing is left to be claimed, what is kept back is
    /// all that we will ever say of it: then others may be waiting for just this. (Each of three
    /// owners once kept its third until the longest wait had passed, since the job was not
    /// done for any of them.)
    pub fn can_wait(&self) -> bool {
        !(self.abort || self.over || self.is_all())
            && self.gathers
            && self.starts == 0
            && self.lost == 0
    }

    /// Nothing more of the job is to come from here.
    pub fn is_all(&self) -> bool {
        self.finishes || (self.mine_left == 0 && self.unclaimed == 0)
    }

    /// It goes before all that can wait.
    pub fn presses(&self, waited_ms: u64) -> bool {
        waited_ms >= self.patience_ms || !self.can_wait()
    }

    /// What recording it now is worth for each change that it takes, in task-milliseconds of waiting.
    pub fn weight(&self, waited_ms: u64) -> u64 {
        if self.abort {
            return u64::MAX;
        }
        // A completed task holds nothing up: its room is planned with already. It can wait for
        // others of its job; a start cannot, nor can what must be started again.
        let steps =
            u64::from(self.member_reports).max(u64::from(self.over)) + 4 * u64::from(self.idle);
        let mut n = u64::from(self.done) + 4 * u64::from(self.starts) + 8 * u64::from(self.lost);
        n += steps;
        if self.finishes {
            // Its user waits for just this.
            n *= 4;
        }
        let worth = n.saturating_mul(self.urgency.max(1)).saturating_mul(300 + waited_ms);
        // A large job's ends lie in many records: what counts is what each of them tells.
        worth / u64::from(self.changes.max(1))
    }
}
