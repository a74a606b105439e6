//! Watches for starvation: a job that is left waiting though a machine that fits it has room.
//!
//! The watcher goes by what the simulated workers run, not by what the controllers believe, so a claim, a slice of
//! a team's limit or a binding that nobody gives back shows as a job that waits beside free machines. Room that is
//! handed on to another job within seconds is no room that was left: what counts has been free for a while.

use super::{
    team_id, BTreeMap, BTreeSet, JobId, JobSpec, JobState, JobWatch, Kind, MachineId, Ms, TaskId,
    TeamId, TypeId, Worker, World, ZoneId,
};
use std::collections::VecDeque;

/// A job may wait so long beside a machine that it fits.
const STARVED_MS: u64 = 90_000;
/// The watcher looks this often.
const CHECK_INTERVAL_MS: u64 = 1_000;
/// Room counts once it was free at so many looks in a row.
const FREE_LOOKS: usize = 10;
/// A place under a team's limit is on its way back for so long after its task has ended: until that is reported,
/// recorded, and another task is claimed and ordered.
const RETURN_MS: u64 = 5_000;
/// Over so long a time it is seen whether the state service's changes are used up.
const CHANGES_MS: u64 = 10_000;
/// The controllers keep a part of the limit back; above this share of it nothing is left for another claim.
const CHANGES_USED_UP: f64 = 0.8;

#[derive(Default)]
pub struct Starvation {
    last_checked: Ms,
    /// The last looks, the newest last.
    looks: VecDeque<Inspection>,
    /// When tasks of limited teams ended, and the processors they had.
    freed: VecDeque<(Ms, TeamId, f64)>,
    /// Since when each job has waited beside a machine that it fits.
    since: BTreeMap<JobId, Ms>,
    /// Jobs that were found starved, each reported once.
    starved: BTreeSet<JobId>,
    /// The longest such wait.
    pub longest_ms: u64,
}

/// What was free at one moment.
struct Inspection {
    /// Processors and memory that each machine that takes work had left.
    machines: BTreeMap<MachineId, (f64, f64)>,
    /// Processors under each team's limit that tasks used, or that were on their way back.
    in_use: BTreeMap<TeamId, f64>,
}

/// What a machine has had left for a while.
struct Vacancy<'a> {
    worker: &'a Worker,
    cpus: f64,
    memory_gb: f64,
}

impl Vacancy<'_> {
    /// How many tasks of the job it could take now.
    fn places(&self, spec: &JobSpec) -> u32 {
        let worker = self.worker;
        let allowed = (spec.spot || !worker.spot)
            && spec.gpus <= 0.0
            && spec.types.as_ref().is_none_or(|types| types.contains(&worker.machine_type))
            && spec.zone.as_ref().is_none_or(|zone| *zone == worker.zone);
        if !allowed {
            return 0;
        }
        let by_cpus = (self.cpus + 1e-6) / spec.cpus.max(1e-3);
        let by_memory = (self.memory_gb + 1e-6) / spec.memory_gb.max(1e-3);
        by_cpus.min(by_memory).max(0.0) as u32
    }
}

impl World {
    /// A task of the job has begun: the job is not left waiting.
    pub(super) fn note_job_started(&mut self, job: &JobId) {
        self.starvation.since.remove(job);
    }

    /// Once all troubles are over, no job waits for 90 s while a machine that fits has room and its team is under
    /// its limit.
    pub(super) fn watch_starvation(&mut self) {
        if self.now.since(self.starvation.last_checked) < CHECK_INTERVAL_MS {
            return;
        }
        self.starvation.last_checked = self.now;
        if self.starvation_is_excused() {
            self.starvation.since.clear();
            self.starvation.looks.clear();
            return;
        }
        let look = Inspection { machines: self.free_on_machines(), in_use: self.limits_in_use() };
        self.starvation.looks.push_back(look);
        if self.starvation.looks.len() <= FREE_LOOKS {
            return;
        }
        self.starvation.looks.pop_front();
        let waiting = self.jobs_beside_free_machines();
        self.starvation.since.retain(|job, _| waiting.contains_key(job));
        for (job, machine) in waiting {
            let since = *self.starvation.since.entry(job.clone()).or_insert(self.now);
            let waited_ms = self.now.since(since);
            self.starvation.longest_ms = self.starvation.longest_ms.max(waited_ms);
            if waited_ms > STARVED_MS && self.starvation.starved.insert(job.clone()) {
                let now = self.now;
                self.broken.push(format!("{now:?} left waiting {job} beside room on {machine}"));
            }
        }
    }

    /// Whether jobs may be left waiting now.
    pub(super) fn starvation_is_excused(&self) -> bool {
        self.now <= self.all_faults_over() || self.changes_are_used_up()
    }

    /// Whether a machine has room for a task of the job at this moment.
    pub(super) fn has_room_now(&self, spec: &JobSpec) -> bool {
        self.free_on_machines().into_iter().any(|(id, (cpus, memory_gb))| {
            let worker = self.workers.get(&id);
            worker.is_some_and(|worker| Vacancy { worker, cpus, memory_gb }.places(spec) > 0)
        })
    }

    /// Whether the state service takes no more changes: then no claim can be made, whatever room machines have.
    /// (A region that is sent twice the jobs that its changes allow has idle machines for minutes.)
    fn changes_are_used_up(&self) -> bool {
        let lately = self.changes.iter().rev().take_while(|c| self.now.since(c.0) < CHANGES_MS);
        let used = lately.map(|c| c.1).sum::<usize>() as f64;
        used >= CHANGES_USED_UP * self.size.changes_per_s * CHANGES_MS as f64 / 1000.0
    }

    /// Also what tests alone bring about: writes, commits and orders that are late, machines that are cut off.
    fn all_faults_over(&self) -> Ms {
        let fault_schedule = &self.fault_schedule;
        let commits =
            fault_schedule.late_commits.values().map(|(late_ms, until)| until.plus(*late_ms));
        let orders =
            fault_schedule.late_orders.iter().map(|(late_ms, until, _)| until.plus(*late_ms));
        let machines = fault_schedule.cut_machines.values().copied();
        let writes = [self.late.over(), self.faults_over()];
        commits.chain(orders).chain(machines).chain(writes).max().unwrap_or_default()
    }

    /// Jobs of which something waits that could start now, with a machine that it fits.
    fn jobs_beside_free_machines(&self) -> BTreeMap<JobId, MachineId> {
        let vacancies = self.vacancies();
        let mut running: BTreeMap<&JobId, Vec<(&TaskId, &MachineId)>> = BTreeMap::new();
        for (task, machine) in &self.running {
            running.entry(&task.job).or_default().push((task, machine));
        }
        let mut waiting = BTreeMap::new();
        for (id, watch) in &self.jobs {
            let Some(spec) = watch.spec.as_ref().filter(|_| self.is_open(id, watch)) else {
                continue;
            };
            let runs = running.get(id).map(Vec::as_slice).unwrap_or_default();
            if let Some(machine) = self.could_start_on(spec, watch, runs, &vacancies) {
                waiting.insert(id.clone(), machine.clone());
            }
        }
        waiting
    }

    /// Accepted, not cancelled, not ended, and not one that fails wherever it runs.
    pub(super) fn is_open(&self, id: &JobId, watch: &JobWatch) -> bool {
        watch.accepted
            && !watch.cancel_asked
            && !watch.answered_state.is_some_and(JobState::is_final)
            && !self.faults.broken.contains(id)
            && self.store.get(&format!("ar/{id}")).is_none()
    }

    /// What machines that are up, are reached and take work have left.
    fn free_on_machines(&self) -> BTreeMap<MachineId, (f64, f64)> {
        let mut machines = BTreeMap::new();
        for (id, worker) in &self.workers {
            let up = self.cloud.machines.contains_key(id) && worker.seq > 0;
            let hangs = self.hung.get(id).is_some_and(|until| *until > self.now);
            let lost = self.machine_cut(id) || self.faults.is_partitioned(worker, self.now);
            if !up || hangs || lost || self.is_emptied(id) {
                continue;
            }
            // Tasks that still fetch their image hold their room as well.
            let runs = worker.tasks.values().filter(|task| task.exit.is_none());
            let used =
                runs.fold((0.0, 0.0), |u, task| (u.0 + task.resources.0, u.1 + task.resources.1));
            machines.insert(id.clone(), (worker.cpus - used.0, worker.memory_gb - used.1));
        }
        machines
    }

    /// What has been left at each of the last looks.
    fn vacancies(&self) -> Vec<Vacancy<'_>> {
        let mut vacancies = Vec::new();
        for (id, worker) in &self.workers {
            let looks = self.starvation.looks.iter().map(|look| look.machines.get(id));
            let Some(left) = looks.collect::<Option<Vec<_>>>() else { continue };
            let least = |of: fn(&(f64, f64)) -> f64| {
                left.iter().map(|room| of(room)).fold(f64::INFINITY, f64::min)
            };
            vacancies.push(Vacancy { worker, cpus: least(|l| l.0), memory_gb: least(|l| l.1) });
        }
        vacancies
    }

    /// Notes that a task of a limited team has ended.
    pub(super) fn note_freed(&mut self, team: &TeamId, cpus: f64) {
        self.starvation.freed.push_back((self.now, team.clone(), cpus));
    }

    fn limits_in_use(&mut self) -> BTreeMap<TeamId, f64> {
        let now = self.now;
        self.starvation.freed.retain(|(at, ..)| now.since(*at) < RETURN_MS);
        let mut in_use = self.in_use.clone();
        for (_, team, cpus) in &self.starvation.freed {
            *in_use.entry(team.clone()).or_default() += cpus;
        }
        in_use
    }

    /// The most that the team used at any of the last looks.
    fn used_by(&self, team: &TeamId) -> f64 {
        let looks = self.starvation.looks.iter();
        looks.filter_map(|look| look.in_use.get(team)).copied().fold(0.0, f64::max)
    }

    /// Its pool's owner is about to return it.
    fn is_emptied(&self, machine: &MachineId) -> bool {
        let owner = self.pool_of(machine).and_then(|pool| self.holder(&pool));
        let owner = owner.and_then(|i| self.controllers[i].as_ref());
        owner.is_some_and(|controller| controller.is_draining(machine))
    }

    fn could_start_on<'a>(
        &self,
        spec: &JobSpec,
        watch: &JobWatch,
        runs: &[(&TaskId, &MachineId)],
        vacancies: &[Vacancy<'a>],
    ) -> Option<&'a MachineId> {
        // An elastic job that runs at all is served; what it grows by takes what is left over.
        let waits = match &spec.elastic {
            Some(_) => u32::from(runs.is_empty()),
            None => spec.tasks.saturating_sub((watch.done.len() + runs.len()) as u32),
        };
        let gang = spec.kind == Kind::Gang;
        if waits == 0 || (gang && !runs.is_empty()) {
            return None;
        }
        let needs = if gang { spec.tasks } else { 1 };
        if let Some(limit) = self.limit_of(&spec.team) {
            if self.used_by(&spec.team) + spec.cpus * f64::from(needs) > limit + 1e-6 {
                return None;
            }
        }
        let mut by_zone: BTreeMap<&ZoneId, u32> = BTreeMap::new();
        for (_, machine) in runs {
            if let Some(worker) = self.workers.get(*machine) {
                *by_zone.entry(&worker.zone).or_default() += 1;
            }
        }
        let allows = |zone: &ZoneId| {
            let others = by_zone.keys().any(|other| *other != zone);
            let here = by_zone.get(zone).copied().unwrap_or_default();
            !(spec.one_zone && others || spec.spread && here >= spec.tasks.div_ceil(2))
        };
        let mut fitting = vacancies.iter().filter(|v| allows(&v.worker.zone) && v.places(spec) > 0);
        if !gang {
            return fitting.next().map(|vacancy| &vacancy.worker.id);
        }
        // A gang starts whole, on machines of one pool.
        let mut pools: BTreeMap<(&TypeId, &ZoneId), u32> = BTreeMap::new();
        fitting
            .find(|vacancy| {
                let pool = (&vacancy.worker.machine_type, &vacancy.worker.zone);
                let places = pools.entry(pool).or_default();
                *places += vacancy.places(spec);
                *places >= needs
            })
            .map(|vacancy| &vacancy.worker.id)
    }

    /// The team's limit in processors, if it has one.
    pub(super) fn limit_of(&self, team: &TeamId) -> Option<f64> {
        let i = (0..self.size.teams).find(|i| team_id(*i) == *team)?;
        self.size.is_limited(i).then_some(self.size.limit_cpus)
    }
}
