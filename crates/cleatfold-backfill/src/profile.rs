//! One pool's profile: conservative backfilling over its machines.
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
    /// A spot machine, or a job that may run on one.
    pub spot: bool,
    /// May start tasks at once. A machine that is still booting has a profile but is not open.
    pub open: bool,
    /// Images here, and when each is (or is expected to be) ready.
    pub images: Vec<(ImageId, Ms)>,
    /// How fast it fetches images, in GB per second.
    pub fetch_gb_per_s: f64,
    /// What a processor costs here, in any unit: of two machines that finish within the same
    /// second the cheaper one is taken, so that the dearer ones come free to be returned.
    pub cost: u64,
    /// How long a task takes here against the estimate (a slow machine is above 1).
    pub slowness: f64,
}

impl MachineProfile {
    /// A machine that has nothing to do from `ready` on.
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
    /// What one task takes.
    pub each: Resources,
    /// How many tasks there are.
    pub tasks: u32,
    /// Expected run time left of one task; `FOREVER` for replicas.
    pub run_ms: u64,
    /// The image that they need.
    pub image: ImageId,
    /// Its size in GB.
    pub image_gb: f64,
    /// A spot machine, or a job that may run on one.
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

/// A place for some of a request's tasks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reservation {
    /// Index of the request.
    pub request: usize,
    /// Index of the machine.
    pub machine: usize,
    /// When they start.
    pub start: Ms,
    /// When they should be done.
    pub finish: Ms,
    /// How many tasks there are.
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

/// Reserves every request in order, with at most `max_reservations` in all. What has none
/// left simply waits unreserved behind all the others. A request's limit is a resource like a
/// machine's: what it does not hold is reserved when it does, and takes no machine until then.
pub fn plan(
    machines: &mut [MachineProfile],
    limits: &mut [AvailabilityProfile],
    requests: &[Request],
    max_reservations: usize,
) -> Vec<Reservation> {
    let now = machines.iter().map(|m| m.free.first()).min().unwrap_or(Ms(0));
    let ahead = vec![0; limits.len()];
    let out = Vec::new();
    let mut planner = Planner { machines, limits, now, ahead, left: max_reservations, out };
    for (number, request) in requests.iter().enumerate() {
        if planner.left == 0 {
            break;
        }
        if request.limit.is_some_and(|l| planner.ahead[l] >= LIMITED_AHEAD) {
            continue;
        }
        if request.gang {
            planner.reserve_gang(number, request);
        } else {
            planner.reserve_tasks(number, request);
        }
    }
    planner.out
}

/// One planning of a pool under way.
struct Planner<'a> {
    machines: &'a mut [MachineProfile],
    limits: &'a mut [AvailabilityProfile],
    now: Ms,
    /// Reservations of each limit that lie ahead.
    ahead: Vec<usize>,
    /// Reservations that may still be made.
    left: usize,
    out: Vec<Reservation>,
}

/// What ranks a machine for some tasks: the least is taken. When they end (the second, cost and then
/// exactly), when they start, what is free at first, and the machine's number.
type Rank = (u64, u64, Ms, Ms, i64, usize);

/// A machine that could take some tasks, with how many.
type Offer = Reverse<(Rank, u32)>;

impl Planner<'_> {
    fn reserve_gang(&mut self, number: usize, request: &Request) {
        let usable: Vec<usize> =
            (0..self.machines.len()).filter(|&i| self.is_usable(i, request)).collect();
        let limit = request.limit.map(|l| &mut self.limits[l]);
        plan_gang(self.machines, &usable, number, request, limit, &mut self.out);
        self.left -= 1;
    }

    fn is_usable(&self, i: usize, request: &Request) -> bool {
        (request.spot || !self.machines[i].spot) && !request.avoid.contains(&i)
    }

    /// When some of the tasks could run on a machine, not before `from`.
    fn offer(&self, i: usize, request: &Request, tasks: u32, from: Ms) -> Option<Offer> {
        let machine = &self.machines[i];
        let (start, finish, count) = machine.earliest(request, tasks, from)?;
        let sooner = if start <= self.now { request.prompt_ms } else { 0 };
        let by = finish.0.saturating_sub(sooner) / 1000;
        let rank = (by, machine.cost, finish, start, machine.free_at_first(), i);
        Some(Reverse((rank, count)))
    }

    /// Reserves the tasks of an array in chunks, each where it finishes first.
    fn reserve_tasks(&mut self, number: usize, request: &Request) {
        let mut tasks = request.tasks;
        let from = match request.limit {
            // Nothing is reserved before the limit holds a task; mostly it does at once.
            Some(l) => match self.limits[l].earliest(self.now, &request.each, 1, |s| s.plus(1)) {
                Some((from, ..)) => from,
                None => return,
            },
            None => Ms(0),
        };
        // Only the machine that was chosen changes. (Looking through all of them for each chunk
        // was the larger part of planning in a pool of hundreds of machines.)
        let usable = (0..self.machines.len()).filter(|&i| self.is_usable(i, request));
        let mut offers: BinaryHeap<Offer> =
            usable.filter_map(|i| self.offer(i, request, tasks, from)).collect();
        // Every machine may have to be looked at again for a later start, but not for ever.
        let mut put_off = 4 * self.machines.len() + 64;
        while tasks > 0 && self.left > 0 {
            let Some(Reverse(((_, _, finish, start, _, i), count))) = offers.pop() else { break };
            let mut count = count.min(tasks);
            if let Some(l) = request.limit {
                count = self.limits[l].free_capacity(start, finish, &request.each, count);
                if count == 0 {
                    // It may start there as soon as the limit holds a task for as long as it runs.
                    let later = self.limit_opens(l, i, request, start).filter(|_| put_off > 0);
                    put_off = put_off.saturating_sub(1);
                    offers.extend(later.and_then(|at| self.offer(i, request, tasks, at)));
                    continue;
                }
                self.limits[l].carve(start, finish, request.each.times(count));
                self.ahead[l] += usize::from(start > self.now);
                if self.ahead[l] >= LIMITED_AHEAD {
                    tasks = count;
                }
            }
            self.reserve(
                Reservation { request: number, machine: i, start, finish, tasks: count },
                request,
            );
            tasks -= count;
            if tasks > 0 {
                offers.extend(self.offer(i, request, tasks, from));
            }
        }
    }

    /// When a limit next holds one task for as long as it runs on a machine, if that is later.
    fn limit_opens(&self, limit: usize, i: usize, request: &Request, start: Ms) -> Option<Ms> {
        let machine = &self.machines[i];
        let image = machine.image_ready(request);
        let until = |s| machine.finish(request, image, s);
        let (at, ..) = self.limits[limit].earliest(start, &request.each, 1, until)?;
        (at > start).then_some(at)
    }

    fn reserve(&mut self, reservation: Reservation, request: &Request) {
        let Reservation { machine, start, finish, tasks, .. } = reservation;
        let machine = &mut self.machines[machine];
        machine.carve(start, finish, request.each.times(tasks));
        if !machine.images.iter().any(|(image, _)| *image == request.image) {
            let ready = start.plus_s(request.image_gb / machine.fetch_gb_per_s.max(0.001));
            machine.images.push((request.image.clone(), ready));
        }
        self.out.push(reservation);
        self.left -= 1;
    }
}
