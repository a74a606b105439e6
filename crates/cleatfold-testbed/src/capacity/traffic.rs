//! The jobs of a capacity run: every part of the run works a job out from its number alone.

use cleatfold_wire::job::{JobSpec, Kind, Urgency};
use cleatfold_wire::{ClassId, ImageId, JobId, TaskId, TeamId};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

pub const ZONES: usize = 15;
pub const MACHINE_TYPE: &str = "hollow";
pub const WORKER_CPUS: f64 = 8.0;
/// Urgent work is to start within this time.
pub const URGENT_WITHIN_S: f64 = 4.6;
/// Mean run time of a task: 27,000 run at 3,600 starts a second.
const TASK_S: f64 = 7.5;
/// An urgent job has so many tasks at most; every second job is urgent.
const URGENT_TASKS: u32 = 4;
/// The largest array has so many times the tasks of the smallest.
const ARRAY_RATIO: f64 = 40.0;
/// A team's limit, in multiples of its share of all processors, and at least.
const LIMIT_SHARES: f64 = 3.0;
const LEAST_LIMIT: f64 = 32.0;

/// What a run's jobs are drawn from.
#[derive(Clone, Debug)]
pub struct Traffic {
    pub seed: u64,
    pub workers: usize,
    /// Mean tasks of an array.
    pub array_tasks: f64,
    /// Sums of the teams' shares: a team's share falls as one over its rank (Zipf).
    shares: Vec<f64>,
}

pub fn zone(i: usize) -> String {
    format!("zone-{:02}", i % ZONES)
}

fn team(rank: usize) -> TeamId {
    TeamId::new(format!("team-{rank:03}"))
}

pub fn is_urgent(spec: &JobSpec) -> bool {
    spec.urgency == Urgency::High
}

impl Traffic {
    pub fn new(seed: u64, workers: usize, teams: usize, array_tasks: f64) -> Self {
        let mut sum = 0.0;
        let mut shares: Vec<f64> = (1..=teams)
            .map(|rank| {
                sum += 1.0 / rank as f64;
                sum
            })
            .collect();
        shares.iter_mut().for_each(|share| *share /= sum);
        Self { seed, workers, array_tasks, shares }
    }

    /// Mean tasks of a job.
    pub fn mean_tasks(&self) -> f64 {
        (self.array_tasks + f64::from(1 + URGENT_TASKS) / 2.0) / 2.0
    }

    /// Each team with its limit of processors.
    pub fn limits(&self) -> Vec<(TeamId, f64)> {
        let cpus = self.workers as f64 * WORKER_CPUS;
        let before = [0.0].into_iter().chain(self.shares.iter().copied());
        let shares = self.shares.iter().zip(before).map(|(up_to, before)| up_to - before);
        let limit = |share: f64| (share * cpus * LIMIT_SHARES).max(LEAST_LIMIT).ceil();
        shares.enumerate().map(|(rank, share)| (team(rank), limit(share))).collect()
    }

    /// The job of a number.
    pub fn job(&self, number: u64) -> JobSpec {
        let mut rng = SmallRng::seed_from_u64(self.seed ^ number.wrapping_mul(0x9E37_79B9));
        let urgent = number.is_multiple_of(2);
        let drawn: f64 = rng.random();
        let rank = self.shares.partition_point(|share| *share < drawn);
        let tasks = if urgent {
            rng.random_range(1..=URGENT_TASKS)
        } else {
            // Log-uniform, with the mean asked for.
            let least = self.array_tasks * ARRAY_RATIO.ln() / (ARRAY_RATIO - 1.0);
            ((least * ARRAY_RATIO.powf(rng.random())) as u32).clamp(1, 100_000)
        };
        let run_s = TASK_S * rng.random_range(0.5..1.5);
        JobSpec {
            id: JobId::new(format!("run-{number:08}")),
            class: ClassId::new(if urgent { "urgent" } else { "array" }),
            team: team(rank.min(self.shares.len() - 1)),
            kind: Kind::Array,
            urgency: if urgent { Urgency::High } else { Urgency::Normal },
            tasks,
            cpus: 1.0,
            gpus: 0.0,
            memory_gb: 1.0,
            image: ImageId::new(format!("image-{:02}", number % 20)),
            image_gb: 0.1,
            types: None,
            zone: None,
            one_zone: false,
            spread: false,
            spot: false,
            estimate_s: run_s * rng.random_range(0.7..1.3),
            checkpoint_s: 0.0,
            save_s: 0.0,
            deadline_s: None,
            elastic: None,
        }
    }

    /// The job that a task belongs to, and how long the task runs, in milliseconds.
    pub fn task(&self, task: &TaskId) -> Option<(JobSpec, u64)> {
        let number: u64 = task.job.as_str().strip_prefix("run-")?.parse().ok()?;
        let spec = self.job(number);
        let mut rng = SmallRng::seed_from_u64(number ^ (u64::from(task.ix.0) << 32));
        let run_ms = spec.estimate_s * 1000.0 * rng.random_range(0.8..1.2);
        Some((spec, run_ms as u64))
    }

    /// The controllers' settings for this region, from the teams on.
    pub fn settings(&self, report_s: f64, lease_s: f64, changes_per_s: f64) -> String {
        let teams: String = self
            .limits()
            .iter()
            .map(|(name, limit)| {
                let guaranteed = limit / (2.0 * LIMIT_SHARES);
                format!(
                    "[[cluster.teams]]\nname = \"{name}\"\n\
                     cpus = {guaranteed:.1}\ncpus_max = {limit:.1}\n"
                )
            })
            .collect();
        format!(
            "{teams}[[cluster.objectives]]\nkind = \"wait\"\nclass = \"urgent\"\n\
             within_s = {URGENT_WITHIN_S}\n\
             [cluster.workers]\nreport_s = {report_s:.3}\nlease_s = {lease_s:.3}\n\
             cancel_s = {:.3}\n[cluster.state]\nrps = {:.1}\nwrite_rps = {changes_per_s:.1}\n\
             value_kb = 32.0\ntxn_ops = 20\n[cluster.cloud]\nrps = 10.0\nlist_lag_s = 2.0\n\
             [cluster.limits]\nmax_sockets = 8000\n",
            lease_s + 20.0,
            changes_per_s * 4.0,
        )
    }
}
