//! Width of an elastic job: how many members it should have.

/// Bounds and remaining work of one job, from which its width is computed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ElasticWidth {
    /// Members that are always kept; with 0 the job may shrink to none.
    pub min_members: u32,
    /// Maximum number of members.
    pub max_members: u32,
    /// Number of unfinished steps.
    pub remaining_steps: u32,
    /// Expected run time of a step, in milliseconds.
    pub step_ms: u64,
}

/// Minimum ratio of a member's remaining work to its start time: members are added only while every
/// member still has this many start times of work.
const MIN_WORK_TO_START_RATIO: u64 = 2;

impl ElasticWidth {
    /// Number of members that the job queues for: its minimum width, but at least one while steps
    /// remain, or it would never resume after shrinking to none.
    pub fn base_members(&self) -> u32 {
        self.min_members.max(1).min(self.max_useful_members())
    }

    /// Maximum number of members that can have work: one for each remaining step.
    pub fn max_useful_members(&self) -> u32 {
        self.max_members.min(self.remaining_steps)
    }

    /// Number of members to request beyond the base, given that `members` are claimed (including
    /// those that still boot or fetch) and that a new one starts work `start_ms` after the request.
    /// At most doubles the members, so that a job grows gradually and is evaluated again in between.
    pub fn growth(&self, members: u32, start_ms: u64) -> u32 {
        let remaining_work_ms = u64::from(self.remaining_steps) * self.step_ms;
        let worthwhile_members = remaining_work_ms / (MIN_WORK_TO_START_RATIO * start_ms.max(1));
        let target = worthwhile_members.min(u64::from(self.max_useful_members())) as u32;
        target.saturating_sub(members.max(self.base_members())).min(members.max(1))
    }

    /// Remaining run time of the job with so many members, in milliseconds.
    pub fn remaining_ms(&self, members: u32) -> u64 {
        u64::from(self.remaining_steps.div_ceil(members.max(1))) * self.step_ms
    }

    /// Time until a surplus member is released, in milliseconds: it finishes its current step if that
    /// takes at most `max_delay_ms` and is stopped otherwise.
    pub fn release_delay_ms(&self, max_delay_ms: u64) -> u64 {
        self.step_ms.min(max_delay_ms)
    }
}
