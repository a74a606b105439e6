//! Sizes: half of each is served, the largest tenth too.
//!
//! Floors that are filled with the smallest first leave the large out for as long as the overload lasts. So
//! a group's jobs are looked at in three size classes, and a class has a floor for each. In the two upper
//! size classes a floor is filled in the order of acceptance, not of size: what has begun goes on at a rate that ends
//! it in a stated time, and no more is begun than can go on so. Not all of a size class can be served;
//! every other job, by its id, goes before those that may or may not be.

use crate::decide::Bounds;
use serde::{Deserialize, Serialize};

/// So large a part of a size class's floor is for jobs that have not begun, whatever has.
const BEGINNINGS: i64 = 4;
/// What has begun may ask for so many floors together; after that nothing more begins. As many times
/// longer than stated may a job take.
const UNDER_WAY: i64 = 2;
/// The same where the machines do not allow half: it has to begin while the flood lasts, and ends when that is over.
const UNDER_WAY_SHORT: i64 = 4;
/// A job that waited for longer than this part of the time in which it should begin, is late.
const SOON: f64 = 0.85;

/// How large a job is among those of its class.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum SizeClass {
    /// One of the many small ones.
    Small,
    /// Between the small ones and the largest.
    Middle,
    /// One of the largest tenth.
    Large,
}

/// Where a group's size classes begin and what the upper two have. Work in processor-seconds, floors in
/// thousandths of processors.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sizes {
    /// A job is small up to so much work.
    #[serde(rename = "s")]
    pub small: u64,
    /// And of the largest from so much work on, or from so many tasks on.
    #[serde(rename = "w")]
    pub work: u64,
    /// A job of so many tasks is one of the largest, whatever its work.
    #[serde(rename = "n")]
    pub tasks: u32,
    /// Guaranteed minimum of the middle ones.
    #[serde(rename = "m")]
    pub middle: i64,
    /// Guaranteed minimum of the largest.
    #[serde(rename = "l")]
    pub large: i64,
    /// Within so many milliseconds of its acceptance a job should begin.
    #[serde(rename = "b")]
    pub begin_ms: u64,
    /// The machines do not allow half of the largest: as many as can be, so the smaller of them first.
    #[serde(rename = "x", default)]
    pub short: bool,
}

impl Sizes {
    /// The size class of a job.
    pub fn size_class(&self, work: f64, tasks: u32) -> SizeClass {
        let (small, most) = (self.small as f64, self.work as f64);
        Bounds { small, work: most, tasks: self.tasks }.size_class(work, tasks)
    }

    /// The guaranteed minimum of a size class.
    pub fn floor(&self, size_class: SizeClass) -> i64 {
        match size_class {
            SizeClass::Small => 0,
            SizeClass::Middle => self.middle,
            SizeClass::Large => self.large,
        }
    }
}

/// A job of an upper size class that is not done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Waiting {
    /// Time of day of its acceptance, in milliseconds.
    pub accepted_ms: u64,
    /// Spread evenly, the same for this job at every controller: of its id.
    pub turn: u64,
    /// Some of its tasks run or are done.
    pub begun: bool,
    /// What it has, and what it could still use, in thousandths of processors.
    pub has: i64,
    /// What it could still use, in thousandths of processors.
    pub needs: i64,
    /// One task's processors.
    pub each: i64,
    /// By which it ends in the stated time after it began.
    pub width: i64,
    /// All of it, in processor-seconds.
    pub work: u64,
}

/// What holds for all jobs of a size class.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Terms {
    /// The guaranteed minimum of a size class.
    pub floor: i64,
    /// Within so many milliseconds of its acceptance a job should begin.
    pub begin_ms: u64,
    /// Whether the machines do not allow half of them.
    pub short: bool,
}

/// The width of a job: all its tasks in `within_s`, one at a time at least.
pub fn width(tasks: u32, each: i64, run_s: f64, within_s: f64) -> i64 {
    let rounds = (within_s / run_s.max(0.001)).floor().max(1.0);
    let wide = (f64::from(tasks) / rounds).ceil().max(1.0);
    each.saturating_mul(wide as i64)
}

/// Every other job: these are served before the others.
pub fn chosen(turn: u64) -> bool {
    turn.is_multiple_of(2)
}

/// A job that has not begun in time gives its chance to those that still can.
pub fn late(begin_ms: u64, accepted_ms: u64, now_ms: u64) -> bool {
    now_ms.saturating_sub(accepted_ms) as f64 > SOON * begin_ms as f64
}

/// How much of each job goes before everybody else's, for one class and size class. Jobs in any order; ties in acceptance
/// are broken by `turn`, so every controller that reads the same decides the same.
pub fn promote(terms: Terms, now_ms: u64, jobs: &[Waiting]) -> Vec<i64> {
    let Terms { floor, begin_ms, short } = terms;
    let mut promoted = vec![0; jobs.len()];
    let mut begun: Vec<usize> = (0..jobs.len()).filter(|&i| jobs[i].begun).collect();
    begun.sort_by_key(|&i| (jobs[i].accepted_ms, jobs[i].turn));
    let is_late = |j: &Waiting| late(begin_ms, j.accepted_ms, now_ms);
    let mut new: Vec<usize> = (0..jobs.len()).filter(|&i| !jobs[i].begun).collect();
    // The chosen as they came; of the others the last one, which has the most time left; then the late. Where
    // not half can be served, the smallest.
    new.sort_by_key(|&i| {
        let (j, late) = (&jobs[i], is_late(&jobs[i]));
        if short && !late {
            return (false, false, j.work, j.turn);
        }
        let came = if late || chosen(j.turn) { j.accepted_ms } else { u64::MAX - j.accepted_ms };
        (late, !chosen(j.turn), came, j.turn)
    });
    let due = |j: &Waiting| j.width.min(j.has + j.needs);
    // What has begun goes on: each in its turn up to its width.
    let some_wait = new.iter().any(|&i| !is_late(&jobs[i]));
    let kept = if some_wait { floor / BEGINNINGS } else { 0 };
    let mut left = floor - kept;
    let mut wanted = 0;
    for &i in &begun {
        let due = due(&jobs[i]);
        wanted += due;
        // One task at least: none that has begun stands still.
        let give = due.min(left.max(jobs[i].each.min(due)));
        left -= give;
        promoted[i] = (give - jobs[i].has).clamp(0, jobs[i].needs);
    }
    let most = floor * if short { UNDER_WAY_SHORT } else { UNDER_WAY };
    // New ones begin while all that is under way can go on.
    let mut left = left.max(0) + kept;
    for &i in &new {
        let (due, each) = (due(&jobs[i]), jobs[i].each.max(1));
        if floor <= 0 || (wanted > 0 && (wanted + due > most || each > left)) {
            break;
        }
        wanted += due;
        promoted[i] = due.min((left - left % each).max(each));
        left -= promoted[i];
        begun.push(i);
    }
    // All of it only as far as the size class has less than its floor, or urgent work waits beside a class that has
    // more than that. (`controle`: 0.99 in time without sizes, 0.83 before this.) What has nothing may
    // have one task more, up to a quarter beyond it; what has begun in any case.
    let mut spare = floor - jobs.iter().map(|j| j.has).sum::<i64>();
    for &i in &begun {
        let (j, each) = (&jobs[i], jobs[i].each.max(1));
        let one = j.has == 0 && (j.begun || spare > -(floor / BEGINNINGS));
        let least = if one { each } else { 0 };
        let most = spare.max(0) - spare.max(0) % each;
        promoted[i] = promoted[i].min(most.max(least));
        spare -= promoted[i];
    }
    // And what of the floor nobody has, goes to the first.
    for i in begun {
        let more = (jobs[i].needs - promoted[i]).min(spare).max(0);
        // In whole tasks.
        let more = more - more % jobs[i].each.max(1);
        promoted[i] += more;
        spare -= more;
    }
    promoted
}
