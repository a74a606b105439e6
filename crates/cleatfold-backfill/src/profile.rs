//! One pool's chart: conservative backfilling over its machines.
//!
//! Every queued request gets its reservation in queue order, carved out of what earlier ones
//! left; so a later request may use a hole but never moves an earlier reservation. Tasks of
//! an array are reserved in chunks: as many as fit one machine at one time.

use crate::availability::AvailabilityProfile;
use crate::resources::Resources;
use cleatfold_wire::{ImageId, Ms};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Far enough for "without end".
pub const FOREVER: u64 = u64::MAX / 4;

/// One machine's future.
#[derive(Clone, Debug)]
pub struct MachineProfile {
    free: AvailabilityProfile,
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

impl MachineProfile {
    pub fn new(ready: Ms, total: Resources, spot: bool, open: bool) -> Self {
        Self {
            free: AvailabilityProfile::new(ready, total),
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
        self.free.carve(from, until, what);
    }

    /// The earliest start of at least one task, not before `from`, and how many can start
    /// together then.
    pub fn earliest(&self, request: &Request, tasks: u32, from: Ms) -> Option<(Ms, Ms, u32)> {
        let image = self.image_ready(request);
        self.free.earliest(from, &request.each, tasks, |start| self.finish(request, image, start))
    }

    /// How many tasks can run from `start` on, and until when.
    fn free_capacity(&self, request: &Request, start: Ms, tasks: u32) -> (Ms, u32) {
        let finish = self.finish(request, self.image_ready(request), start);
        (finish, self.free.free_capacity(start, finish, &request.each, tasks))
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
        self.free.at_first().cpus
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
    /// Which of the limits it falls under, by index.
    pub limit: Option<usize>,
    /// How much earlier a later start must finish to be waited for: what is reserved for later slips, for
    /// run times are estimates, and meanwhile others take what was free at once.
    pub prompt_ms: u64,
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
    machines: &mut [MachineProfile],
    usable: &[usize],
    number: usize,
    request: &Request,
    mut limit: Option<&mut AvailabilityProfile>,
    out: &mut Vec<Reservation>,
) {
    let mut starts: Vec<Ms> = usable.iter().flat_map(|&i| machines[i].free.starts()).collect();
    starts.extend(limit.iter().flat_map(|l| l.starts()));
    starts.sort_unstable();
    starts.dedup();
    for start in starts {
        let mut left = request.tasks;
        let mut parts: Vec<(usize, u32, Ms)> = Vec::new();
        for &i in usable {
            if left == 0 {
                break;
            }
            let (finish, count) = machines[i].free_capacity(request, start, left);
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
        if let Some(limit) = limit.as_deref_mut() {
            if limit.free_capacity(start, finish, &request.each, request.tasks) < request.tasks {
                continue;
            }
            limit.carve(start, finish, request.each.times(request.tasks));
        }
        for (i, tasks, _) in parts {
            machines[i].carve(start, finish, request.each.times(tasks));
            out.push(Reservation { request: number, machine: i, start, finish, tasks });
        }
        return;
    }
}

/// Reservations of one limit that may lie ahead. A team at its limit would otherwise use up all
/// that may be planned with work that cannot start, and whoever comes behind waited unreserved
/// beside idle machines.
const LIMITED_AHEAD: usize = 48;

/// Reserves every request in order, with at most `chunks` reservations in all. What has none
/// left simply waits unreserved behind all the others. A request's limit is a resource like a
/// machine's: what it does not hold is reserved when it does, and takes no room until then.
pub fn plan(
    machines: &mut [MachineProfile],
    limits: &mut [AvailabilityProfile],
    requests: &[Request],
    mut chunks: usize,
) -> Vec<Reservation> {
    let mut out = Vec::new();
    let mut ahead = vec![0; limits.len()];
    let now = machines.iter().map(|m| m.free.first()).min().unwrap_or(Ms(0));
    for (r, request) in requests.iter().enumerate() {
        if request.limit.is_some_and(|l| ahead[l] >= LIMITED_AHEAD) {
            continue;
        }
        let usable =
            |i: usize, m: &MachineProfile| (request.spot || !m.spot) && !request.avoid.contains(&i);
        if request.gang {
            let usable: Vec<usize> =
                (0..machines.len()).filter(|&i| usable(i, &machines[i])).collect();
            let limit = request.limit.map(|l| &mut limits[l]);
            plan_gang(machines, &usable, r, request, limit, &mut out);
            chunks = chunks.saturating_sub(1);
            if chunks == 0 {
                break;
            }
            continue;
        }
        let mut left = request.tasks;
        let from = match request.limit {
            // Nothing is reserved before the limit holds a task; mostly it does at once.
            Some(l) => match limits[l].earliest(now, &request.each, 1, |s| s.plus(1)) {
                Some((from, ..)) => from,
                None => continue,
            },
            None => Ms(0),
        };
        let candidate = |i: usize, m: &MachineProfile, tasks: u32, from: Ms| {
            let (start, finish, count) = m.earliest(request, tasks, from)?;
            let sooner = if start <= now { request.prompt_ms } else { 0 };
            let by = finish.0.saturating_sub(sooner) / 1000;
            let rank = (by, m.cost, finish, start, m.free_at_first(), i);
            Some(Reverse((rank, count)))
        };
        // Only the machine that was chosen changes. (Looking through all of them for each chunk
        // was the larger part of planning in a pool of hundreds of machines.)
        let mut candidates: BinaryHeap<_> = machines
            .iter()
            .enumerate()
            .filter(|(i, m)| usable(*i, m))
            .filter_map(|(i, m)| candidate(i, m, left, from))
            .collect();
        // Every machine may have to be looked at again for a later start, but not for ever.
        let mut put_off = 4 * machines.len() + 64;
        while left > 0 && chunks > 0 {
            let Some(Reverse(((_, _, finish, start, _, i), count))) = candidates.pop() else {
                break;
            };
            let mut count = count.min(left);
            let m = &mut machines[i];
            if let Some(l) = request.limit {
                let limit = &mut limits[l];
                count = limit.free_capacity(start, finish, &request.each, count);
                if count == 0 {
                    // It may start there as soon as the limit holds a task for as long as it runs.
                    let image = m.image_ready(request);
                    let until = |s| m.finish(request, image, s);
                    let later = limit.earliest(start, &request.each, 1, until);
                    let later = later.map(|l| l.0).filter(|at| *at > start && put_off > 0);
                    put_off = put_off.saturating_sub(1);
                    candidates.extend(later.and_then(|at| candidate(i, m, left, at)));
                    continue;
                }
                limit.carve(start, finish, request.each.times(count));
                ahead[l] += usize::from(start > now);
                if ahead[l] >= LIMITED_AHEAD {
                    left = count;
                }
            }
            m.carve(start, finish, request.each.times(count));
            if !m.images.iter().any(|(image, _)| *image == request.image) {
                let ready = start.plus_s(request.image_gb / m.fetch_gb_per_s.max(0.001));
                m.images.push((request.image.clone(), ready));
            }
            out.push(Reservation { request: r, machine: i, start, finish, tasks: count });
            left -= count;
            chunks -= 1;
            if left > 0 {
                candidates.extend(candidate(i, m, left, from));
            }
        }
        if chunks == 0 {
            break;
        }
    }
    out
}
