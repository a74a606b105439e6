//! How many members an elastic job should have.

/// Of one job, now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Width {
    /// Members that are kept; 0: it may shrink to nothing.
    pub least: u32,
    /// The most members it may have.
    pub most: u32,
    /// Steps that are not finished.
    pub left: u32,
    /// Expected run time of a step, in milliseconds.
    pub step_ms: u64,
}

/// More members are worth their start while what is left keeps all of them busy for so many
/// times as long as a start takes.
const WORTH: u64 = 2;

impl Width {
    /// Members that the job claims a place in the queue for: its least width, and one as long
    /// as anything is left, or it would never go on after it has shrunk to nothing.
    pub fn base(&self) -> u32 {
        self.least.max(1).min(self.useful())
    }

    /// Nobody has anything to do beyond a member a step.
    pub fn useful(&self) -> u32 {
        self.most.min(self.left)
    }

    /// Members to ask for beyond its base, having `members` (claimed, so booting and fetching
    /// ones count), where one more is at work `start_ms` after it was asked for. At most as many
    /// again as it has, so that a job grows in steps and looks again.
    pub fn growth(&self, members: u32, start_ms: u64) -> u32 {
        let work = u64::from(self.left) * self.step_ms;
        let worth = work / (WORTH * start_ms.max(1));
        let wide = worth.min(u64::from(self.useful())) as u32;
        wide.saturating_sub(members.max(self.base())).min(members.max(1))
    }

    /// How long the job will take with so many members, in milliseconds.
    pub fn rest_ms(&self, members: u32) -> u64 {
        u64::from(self.left.div_ceil(members.max(1))) * self.step_ms
    }

    /// How soon a member beyond the least width can be gone: it ends the step it is at, if that
    /// is soon enough, and is stopped otherwise.
    pub fn yield_ms(&self, patience_ms: u64) -> u64 {
        self.step_ms.min(patience_ms)
    }
}
