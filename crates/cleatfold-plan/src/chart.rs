//! One pool's chart: conservative backfilling over its machines.
//!
//! Every queued request gets its reservation in queue order, carved out of what earlier ones
//! left; so a later request may use a hole but never moves an earlier reservation. Tasks of
//! an array are reserved in chunks: as many as fit one machine at one time.

use crate::resources::Resources;
use cleatfold_wire::{ImageId, Ms};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Far enough for "without end".
pub const FOREVER: u64 = u64::MAX / 4;

/// One machine's future: what is free from each step on until the next.
#[derive(Clone, Debug)]
pub struct MachineChart {
    steps: Vec<(Ms, Resources)>,
    pub spot: bool,
    /// May start tasks at once. A machine that is still booting has a chart but is not open.
    pub open: bool,
    /// Images here, and when each is (or is expected to be) ready.
    pub images: Vec<(ImageId, Ms)>,
    pub fetch_gb_per_s: f64,
    /// What a processor costs here, in any unit: of two machines that finish within the same
    /// second the cheaper one is taken, so that the dearer ones come free to be returned.
    pub cost: u64,
    /// How long a task takes here against the estimate (a slow machine is above 1).
    pub slowness: f64,
}

impl MachineChart {
    pub fn new(ready: Ms, total: Resources, spot: bool, open: bool) -> Self {
        Self {
            steps: vec![(ready, total)],
            spot,
            open,
            images: Vec::new(),
            fetch_gb_per_s: 1.0,
            cost: 0,
            slowness: 1.0,
        }
    }

    /// Takes `what` from `from` until `until`.
    pub fn carve(&mut self, from: Ms, until: Ms, what: Resources) {
        let from = from.max(self.steps[0].0);
        if until <= from {
            return;
        }
        self.split(from);
        self.split(until);
        for (at, free) in &mut self.steps {
            if *at >= from && *at < until {
                *free -= what;
            }
        }
    }

    fn split(&mut self, at: Ms) {
        let i = self.steps.partition_point(|s| s.0 < at);
        if i == self.steps.len() || self.steps[i].0 != at {
            let free = self.steps[i - 1].1;
            self.steps.insert(i, (at, free));
        }
    }

    /// The earliest start of at least one task, and how many can start together then.
    pub fn earliest(&self, request: &Request, tasks: u32) -> Option<(Ms, Ms, u32)> {
        let image = self.image_ready(request);
        let mut i = 0;
        while i < self.steps.len() {
            // Most steps of a busy machine have no room at all.
            if !self.steps[i].1.holds(&request.each) {
                i += 1;
                continue;
            }
            let start = self.steps[i].0;
            let finish = self.finish(request, image, start);
            let mut count = tasks;
            let mut j = i;
            while j < self.steps.len() && self.steps[j].0 < finish {
                count = self.steps[j].1.fits(&request.each, count);
                if count == 0 {
                    break;
                }
                j += 1;
            }
            if count > 0 {
                return Some((start, finish, count));
            }
            // The step that has no room rules out every start up to and including it.
            i = j + 1;
        }
        None
    }

    /// How many tasks can run from `start` on, and until when.
    fn room(&self, request: &Request, start: Ms, tasks: u32) -> (Ms, u32) {
        let finish = self.finish(request, self.image_ready(request), start);
        let first = self.steps.partition_point(|s| s.0 <= start);
        if first == 0 {
            return (finish, 0);
        }
        let mut count = tasks;
        for (at, free) in &self.steps[first - 1..] {
            if *at >= finish || count == 0 {
                break;
            }
            count = free.fits(&request.each, count);
        }
        (finish, count)
    }

    /// When the request's image is (or is expected to be) here, if it is or will be.
    fn image_ready(&self, request: &Request) -> Option<Ms> {
        self.images.iter().find(|(image, _)| *image == request.image).map(|(_, ready)| *ready)
    }

    /// When a task started at `start` is expected to end: image first, then the work.
    fn finish(&self, request: &Request, image: Option<Ms>, start: Ms) -> Ms {
        let fetched = start.plus_s(request.image_gb / self.fetch_gb_per_s.max(0.001));
        let ready = match image {
            Some(ready) => fetched.min(start.max(ready)),
            None => fetched,
        };
        if request.run_ms >= FOREVER {
            return Ms(FOREVER);
        }
        ready.plus((request.run_ms as f64 * self.slowness) as u64)
    }

    /// What is free at the first step: used to pack busier machines first.
    fn free_at_first(&self) -> i64 {
        self.steps[0].1.cpus
    }
}

/// A job's unclaimed tasks.
#[derive(Clone, Debug)]
pub struct Request {
    pub each: Resources,
    pub tasks: u32,
    /// Expected run time left of one task; `FOREVER` for replicas.
    pub run_ms: u64,
    pub image: ImageId,
    pub image_gb: f64,
    pub spot: bool,
    /// All tasks start at the same time, over as many machines as it takes.
    pub gang: bool,
    /// Machines (by index) that this job should not use.
    pub avoid: Vec<usize>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reservation {
    /// Index of the request.
    pub request: usize,
    /// Index of the machine.
    pub machine: usize,
    pub start: Ms,
    pub finish: Ms,
    pub tasks: u32,
}

/// Reserves a gang at the first moment at which all of its tasks fit.
fn plan_gang(
    machines: &mut [MachineChart],
    usable: &[usize],
    number: usize,
    request: &Request,
    out: &mut Vec<Reservation>,
) {
    let mut starts: Vec<Ms> =
        usable.iter().flat_map(|&i| machines[i].steps.iter().map(|s| s.0)).collect();
    starts.sort_unstable();
    starts.dedup();
    for start in starts {
        let mut left = request.tasks;
        let mut parts: Vec<(usize, u32, Ms)> = Vec::new();
        for &i in usable {
            if left == 0 {
                break;
            }
            let (finish, count) = machines[i].room(request, start, left);
            if count > 0 {
                parts.push((i, count, finish));
                left -= count;
            }
        }
        if left > 0 {
            continue;
        }
        // They wait for one another: the last image holds them all.
        let finish = parts.iter().map(|p| p.2).max().unwrap_or(start);
        for (i, tasks, _) in parts {
            machines[i].carve(start, finish, request.each.times(tasks));
            out.push(Reservation { request: number, machine: i, start, finish, tasks });
        }
        return;
    }
}

/// Reserves every request in order, with at most `chunks` reservations in all. What has none
/// left simply waits unreserved behind all the others.
pub fn plan(
    machines: &mut [MachineChart],
    requests: &[Request],
    mut chunks: usize,
) -> Vec<Reservation> {
    let mut out = Vec::new();
    for (r, request) in requests.iter().enumerate() {
        let usable =
            |i: usize, m: &MachineChart| (request.spot || !m.spot) && !request.avoid.contains(&i);
        if request.gang {
            let usable: Vec<usize> =
                (0..machines.len()).filter(|&i| usable(i, &machines[i])).collect();
            plan_gang(machines, &usable, r, request, &mut out);
            chunks = chunks.saturating_sub(1);
            if chunks == 0 {
                break;
            }
            continue;
        }
        let mut left = request.tasks;
        let candidate = |i: usize, m: &MachineChart, tasks: u32| {
            let (start, finish, count) = m.earliest(request, tasks)?;
            let rank = (finish.0 / 1000, m.cost, finish, start, m.free_at_first(), i);
            Some(Reverse((rank, count)))
        };
        // Only the machine that was chosen changes. (Looking through all of them for each chunk
        // was the larger part of planning in a pool of hundreds of machines.)
        let mut candidates: BinaryHeap<_> = machines
            .iter()
            .enumerate()
            .filter(|(i, m)| usable(*i, m))
            .filter_map(|(i, m)| candidate(i, m, left))
            .collect();
        while left > 0 && chunks > 0 {
            let Some(Reverse(((.., finish, start, _, i), count))) = candidates.pop() else {
                break;
            };
            let count = count.min(left);
            let m = &mut machines[i];
            m.carve(start, finish, request.each.times(count));
            if !m.images.iter().any(|(image, _)| *image == request.image) {
                let ready = start.plus_s(request.image_gb / m.fetch_gb_per_s.max(0.001));
                m.images.push((request.image.clone(), ready));
            }
            out.push(Reservation { request: r, machine: i, start, finish, tasks: count });
            left -= count;
            chunks -= 1;
            if left > 0 {
                candidates.extend(candidate(i, m, left));
            }
        }
        if chunks == 0 {
            break;
        }
    }
    out
}
