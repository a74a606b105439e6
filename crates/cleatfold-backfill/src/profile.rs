//! Conservative backfilling over the machines of one pool.
//!
//! Requests are reserved in queue order, each from the capacity that earlier reservations leave free.
//! A later request may use a gap but never moves an earlier reservation. Tasks of an array are
//! reserved in chunks of as many as fit one machine at one time.

use crate::availability::AvailabilityProfile;
use crate::resources::Resources;
use cleatfold_wire::{ImageId, Ms};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Duration in milliseconds that represents an unbounded run.
pub const FOREVER: u64 = u64::MAX / 4;

/// Availability of one machine over time, with the properties that affect placement.
#[derive(Clone, Debug)]
pub struct MachineProfile {
    free: AvailabilityProfile,
    /// Whether this is a spot machine.
    pub spot: bool,
    /// Whether tasks may start now; false while the machine is booting.
    pub open: bool,
    /// Images on this machine, with the time at which each is (or is expected to be) ready.
    pub images: Vec<(ImageId, Ms)>,
    /// Image fetch rate, in GB per second.
    pub fetch_gb_per_s: f64,
    /// Cost of a processor, in any unit. Of two machines that finish within the same second the
    /// cheaper one is used, so that expensive ones become idle and can be returned.
    pub cost: u64,
    /// Run time on this machine relative to the estimate; above 1 for a slow machine.
    pub slowness: f64,
}

impl MachineProfile {
    /// Creates the profile of a machine that is idle from `ready` on.
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

    /// Subtracts `amount` from what is free between `from` and `until`.
    pub fn allocate(&mut self, from: Ms, until: Ms, amount: Resources) {
        self.free.allocate(from, until, amount);
    }

    /// Finds the earliest time, not before `from`, at which at least one task can start. Returns
    /// the start, the finish and how many tasks can start together.
    pub fn earliest_start(&self, request: &Request, tasks: u32, from: Ms) -> Option<(Ms, Ms, u32)> {
        let image = self.image_ready(request);
        self.free.earliest_start(from, &request.task_resources, tasks, |start| {
            self.finish(request, image, start)
        })
    }

    /// Returns the finish of a task started at `start`, and how many such tasks fit.
    fn fitting_tasks(&self, request: &Request, start: Ms, tasks: u32) -> (Ms, u32) {
        let finish = self.finish(request, self.image_ready(request), start);
        (finish, self.free.fitting_tasks(start, finish, &request.task_resources, tasks))
    }

    /// When the request's image is (or is expected to be) ready here, if it is present or being
    /// fetched.
    fn image_ready(&self, request: &Request) -> Option<Ms> {
        self.images.iter().find(|(image, _)| *image == request.image).map(|(_, ready)| *ready)
    }

    /// Expected end of a task started at `start`: image fetch, then run time.
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

    /// Processors free at the first step; used to fill busier machines first.
    fn initial_free_cpus(&self) -> i64 {
        self.free.initial().cpus
    }
}

/// Unclaimed tasks of one job.
#[derive(Clone, Debug)]
pub struct Request {
    /// Resources of one task.
    pub task_resources: Resources,
    /// Number of tasks to place.
    pub tasks: u32,
    /// Expected remaining run time of one task; `FOREVER` for replicas.
    pub run_ms: u64,
    /// Image that the tasks run.
    pub image: ImageId,
    /// Size of the image in GB.
    pub image_gb: f64,
    /// Whether the tasks may run on spot machines.
    pub spot: bool,
    /// All tasks start at the same time, on as many machines as needed.
    pub gang: bool,
    /// Index of the limit that applies, if any.
    pub limit: Option<usize>,
    /// By how much a later start must finish earlier to be preferred over an immediate one.
    /// Run times are estimates, so later reservations slip, and meanwhile other jobs take the
    /// capacity that was free at once.
    pub min_wait_benefit_ms: u64,
    /// Indices of machines that this job must not use.
    pub avoid: Vec<usize>,
}

/// Planned start of some of a request's tasks on one machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reservation {
    /// Index of the request.
    pub request: usize,
    /// Index of the machine.
    pub machine: usize,
    /// Planned start of the tasks.
    pub start: Ms,
    /// Expected end of the tasks.
    pub finish: Ms,
    /// Number of tasks.
    pub tasks: u32,
}

/// Reserves a gang at the earliest time at which all of its tasks fit.
fn plan_gang(
    machines: &mut [MachineProfile],
    usable: &[usize],
    request_index: usize,
    request: &Request,
    mut limit: Option<&mut AvailabilityProfile>,
    reservations: &mut Vec<Reservation>,
) {
    let mut starts: Vec<Ms> =
        usable.iter().flat_map(|&i| machines[i].free.change_times()).collect();
    starts.extend(limit.iter().flat_map(|l| l.change_times()));
    starts.sort_unstable();
    starts.dedup();
    for start in starts {
        let mut unplaced = request.tasks;
        let mut allocations: Vec<(usize, u32, Ms)> = Vec::new();
        for &i in usable {
            if unplaced == 0 {
                break;
            }
            let (finish, count) = machines[i].fitting_tasks(request, start, unplaced);
            if count > 0 {
                allocations.push((i, count, finish));
                unplaced -= count;
            }
        }
        if unplaced > 0 {
            continue;
        }
        // Gang members wait for each other, so the slowest image fetch delays all of them.
        let finish = allocations.iter().map(|p| p.2).max().unwrap_or(start);
        if let Some(limit) = limit.as_deref_mut() {
            if limit.fitting_tasks(start, finish, &request.task_resources, request.tasks)
                < request.tasks
            {
                continue;
            }
            limit.allocate(start, finish, request.task_resources.times(request.tasks));
        }
        for (i, tasks, _) in allocations {
            machines[i].allocate(start, finish, request.task_resources.times(tasks));
            reservations.push(Reservation {
                request: request_index,
                machine: i,
                start,
                finish,
                tasks,
            });
        }
        return;
    }
}

/// Maximum number of reservations under one limit that start in the future. Without it, a team at
/// its limit used up the whole reservation budget with work that could not start, and later jobs
/// stayed without reservations next to idle machines.
const MAX_FUTURE_RESERVATIONS_PER_LIMIT: usize = 48;

/// Reserves requests in order, with at most `max_reservations` in total. Requests beyond that
/// number wait without a reservation. A limit is treated as a resource like those of a machine: tasks
/// that exceed it are reserved for when it has capacity, and occupy no machine until then.
pub fn plan(
    machines: &mut [MachineProfile],
    limits: &mut [AvailabilityProfile],
    requests: &[Request],
    max_reservations: usize,
) -> Vec<Reservation> {
    let now = machines.iter().map(|m| m.free.start_time()).min().unwrap_or(Ms(0));
    let future_reservations = vec![0; limits.len()];
    let reservations = Vec::new();
    let mut planner = Planner {
        machines,
        limits,
        now,
        future_reservations,
        remaining: max_reservations,
        reservations,
    };
    for (request_index, request) in requests.iter().enumerate() {
        if planner.remaining == 0 {
            break;
        }
        if request
            .limit
            .is_some_and(|l| planner.future_reservations[l] >= MAX_FUTURE_RESERVATIONS_PER_LIMIT)
        {
            continue;
        }
        if request.gang {
            planner.reserve_gang(request_index, request);
        } else {
            planner.reserve_tasks(request_index, request);
        }
    }
    planner.reservations
}

/// State of one planning pass over a pool.
struct Planner<'a> {
    machines: &'a mut [MachineProfile],
    limits: &'a mut [AvailabilityProfile],
    now: Ms,
    /// Number of reservations under each limit that start in the future.
    future_reservations: Vec<usize>,
    /// Number of reservations that may still be made.
    remaining: usize,
    reservations: Vec<Reservation>,
}

/// Rank of a machine for some tasks; the smallest is used. In order: finish in whole seconds (less the
/// bonus of an immediate start), cost, exact finish, start, processors free at first, machine index.
type Rank = (u64, u64, Ms, Ms, i64, usize);

/// Rank of a machine that could run some tasks, and how many. Reversed for a min-heap.
type Candidate = Reverse<(Rank, u32)>;

impl Planner<'_> {
    fn reserve_gang(&mut self, request_index: usize, request: &Request) {
        let usable: Vec<usize> =
            (0..self.machines.len()).filter(|&i| self.is_usable(i, request)).collect();
        let limit = request.limit.map(|l| &mut self.limits[l]);
        plan_gang(self.machines, &usable, request_index, request, limit, &mut self.reservations);
        self.remaining -= 1;
    }

    fn is_usable(&self, i: usize, request: &Request) -> bool {
        (request.spot || !self.machines[i].spot) && !request.avoid.contains(&i)
    }

    /// The earliest placement of some of the tasks on machine `i`, not before `from`.
    fn candidate(&self, i: usize, request: &Request, tasks: u32, from: Ms) -> Option<Candidate> {
        let machine = &self.machines[i];
        let (start, finish, count) = machine.earliest_start(request, tasks, from)?;
        let immediate_start_bonus_ms =
            if start <= self.now { request.min_wait_benefit_ms } else { 0 };
        let finish_s = finish.0.saturating_sub(immediate_start_bonus_ms) / 1000;
        let rank = (finish_s, machine.cost, finish, start, machine.initial_free_cpus(), i);
        Some(Reverse((rank, count)))
    }

    /// Reserves the tasks of an array in chunks, each on the machine where it finishes first.
    fn reserve_tasks(&mut self, request_index: usize, request: &Request) {
        let mut tasks = request.tasks;
        let from = match request.limit {
            // Nothing is reserved before the limit can fit a task; usually it can at once.
            Some(l) => {
                match self.limits[l]
                    .earliest_start(self.now, &request.task_resources, 1, |s| s.plus(1))
                {
                    Some((from, ..)) => from,
                    None => return,
                }
            }
            None => Ms(0),
        };
        // A heap, because a chunk changes only the machine it is reserved on. Scanning all machines
        // for each chunk took most of the planning time in a pool of hundreds of machines.
        let usable = (0..self.machines.len()).filter(|&i| self.is_usable(i, request));
        let mut candidates: BinaryHeap<Candidate> =
            usable.filter_map(|i| self.candidate(i, request, tasks, from)).collect();
        // Each machine may need several retries for a later start; this bounds their total.
        let mut remaining_retries = 4 * self.machines.len() + 64;
        while tasks > 0 && self.remaining > 0 {
            let Some(Reverse(((_, _, finish, start, _, i), count))) = candidates.pop() else {
                break;
            };
            let mut count = count.min(tasks);
            if let Some(l) = request.limit {
                count = self.limits[l].fitting_tasks(start, finish, &request.task_resources, count);
                if count == 0 {
                    // Retries this machine from when the limit can fit a task for its whole run.
                    let later = self
                        .next_start_within_limit(l, i, request, start)
                        .filter(|_| remaining_retries > 0);
                    remaining_retries = remaining_retries.saturating_sub(1);
                    candidates.extend(later.and_then(|at| self.candidate(i, request, tasks, at)));
                    continue;
                }
                self.limits[l].allocate(start, finish, request.task_resources.times(count));
                self.future_reservations[l] += usize::from(start > self.now);
                if self.future_reservations[l] >= MAX_FUTURE_RESERVATIONS_PER_LIMIT {
                    tasks = count;
                }
            }
            self.reserve(
                Reservation { request: request_index, machine: i, start, finish, tasks: count },
                request,
            );
            tasks -= count;
            if tasks > 0 {
                candidates.extend(self.candidate(i, request, tasks, from));
            }
        }
    }

    /// Earliest time after `start` at which the limit can fit one task for its whole run on machine
    /// `i`; none if that is `start` itself or never.
    fn next_start_within_limit(
        &self,
        limit: usize,
        i: usize,
        request: &Request,
        start: Ms,
    ) -> Option<Ms> {
        let machine = &self.machines[i];
        let image = machine.image_ready(request);
        let until = |s| machine.finish(request, image, s);
        let (at, ..) =
            self.limits[limit].earliest_start(start, &request.task_resources, 1, until)?;
        (at > start).then_some(at)
    }

    fn reserve(&mut self, reservation: Reservation, request: &Request) {
        let Reservation { machine, start, finish, tasks, .. } = reservation;
        let machine = &mut self.machines[machine];
        machine.allocate(start, finish, request.task_resources.times(tasks));
        if !machine.images.iter().any(|(image, _)| *image == request.image) {
            let ready = start.plus_s(request.image_gb / machine.fetch_gb_per_s.max(0.001));
            machine.images.push((request.image.clone(), ready));
        }
        self.reservations.push(reservation);
        self.remaining -= 1;
    }
}
