//! How the controllers' cost grows with the region: the same state machines, in simulated time.

use crate::world::{ChangeKind, Size, World};
use cleatfold_wire::job::JobSpec;
use cleatfold_wire::{JobId, Ms};

#[derive(Clone, Debug, clap::Args)]
pub struct Plan {
    /// Machines of each region.
    #[arg(long, value_delimiter = ',', default_values_t = [200, 800, 1636, 5000])]
    pub machines: Vec<usize>,
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Simulated seconds.
    #[arg(long, default_value_t = 120)]
    pub seconds: u64,
    /// In place of drawn jobs, so many jobs of one task a second.
    #[arg(long)]
    pub one_task_jobs: Option<f64>,
    /// Changes a second that the state service takes.
    #[arg(long, default_value_t = 25.0)]
    pub changes_per_s: f64,
}

/// Controllers begin to serve.
const WARM_UP_MS: u64 = 8000;
/// A submission is answered in time within this.
const SOON_MS: u64 = 1000;
/// What a job of one task is estimated to run.
const TASK_S: f64 = 7.5;

/// A region that was played.
pub struct Played {
    pub world: World,
    /// The jobs of one task, and when each was submitted.
    pub submitted: Vec<(JobId, Ms)>,
}

impl Played {
    /// The share of these jobs that were accepted so soon; none without such jobs.
    pub fn accepted_within(&self, most_ms: u64) -> Option<f64> {
        let accepted = |(job, at): &&(JobId, Ms)| {
            let accepted_at = self.world.jobs.get(job).and_then(|watch| watch.accepted_at);
            accepted_at.is_some_and(|accepted_at| accepted_at.since(*at) <= most_ms)
        };
        let count = self.submitted.iter().filter(accepted).count();
        (!self.submitted.is_empty()).then(|| count as f64 / self.submitted.len() as f64)
    }
}

/// Plays a region of this size, and counts on what its changes were spent.
pub fn play(plan: &Plan, machines: usize) -> Played {
    let size = Size {
        machines,
        heartbeat_interval_ms: 8000,
        changes_per_s: plan.changes_per_s,
        limit_cpus: 4.0 * machines as f64,
        // A job a second for two hundred machines.
        pause_ms: (200_000 / machines as u64).max(20),
        most_jobs: if plan.one_task_jobs.is_some() { 0 } else { machines },
        ..Size::GROWN
    };
    let mut world = World::sized(plan.seed, false, size);
    let end = Ms(1000 * plan.seconds);
    let submitted = match plan.one_task_jobs {
        Some(per_s) => submit_one_task_jobs(&mut world, per_s, end),
        None => Vec::new(),
    };
    world.run(end);
    Played { world, submitted }
}

/// Jobs of one task at an even pace, at each controller in turn.
fn submit_one_task_jobs(world: &mut World, per_s: f64, end: Ms) -> Vec<(JobId, Ms)> {
    let pause_ms = ((1000.0 / per_s) as u64).max(1);
    let mut submitted = Vec::new();
    for number in 0.. {
        let at = Ms(WARM_UP_MS).plus(number * pause_ms);
        if at >= end {
            break;
        }
        world.run(at);
        let spec = one_task_job(world.some_job());
        let controller = number as usize % world.size.controllers;
        submitted.push((world.submit(controller, spec), at));
    }
    submitted
}

/// The same job with a single task that fits any machine.
fn one_task_job(drawn: JobSpec) -> JobSpec {
    JobSpec {
        id: JobId::new(format!("one-{}", drawn.id)),
        tasks: 1,
        estimate_s: TASK_S,
        one_zone: false,
        spread: false,
        ..drawn
    }
}

/// Prints a line a size. The load grows with the machines; the state service's limits do not.
pub fn run(plan: &Plan) -> std::io::Result<()> {
    println!(
        "{:>9} {:>6} {:>7} {:>12} {:>12} {:>11} {:>10} {:>10}",
        "machines", "jobs", "starts", "changes/job", "refused/s", "MB read", "us/event", "peak MB"
    );
    for &machines in &plan.machines {
        let played = play(plan, machines);
        let world = &played.world;
        let jobs = world.jobs.values().filter(|j| j.accepted).count().max(1);
        let changes: usize = world.changes.iter().map(|c| c.1).sum();
        println!(
            "{:>9} {:>6} {:>7} {:>12.2} {:>12.2} {:>11.1} {:>10.1} {:>10.1}",
            machines,
            jobs,
            world.started,
            changes as f64 / jobs as f64,
            world.refused_changes as f64 / plan.seconds as f64,
            world.bytes_read as f64 / 1e6,
            world.busy.as_secs_f64() * 1e6 / world.handled.max(1) as f64,
            peak_mb()
        );
        print_changes(world, jobs);
        if let Some(share) = played.accepted_within(SOON_MS) {
            println!("{share:>20.3} of the submissions accepted within {SOON_MS} ms");
        }
        if let Some(broken) = world.broken.first() {
            return Err(std::io::Error::other(format!("a rule is broken: {broken}")));
        }
    }
    Ok(())
}

/// Changes of each kind for each accepted job.
fn print_changes(world: &World, jobs: usize) {
    let counted = ChangeKind::ALL.iter().filter(|kind| world.written.of(**kind) > 0);
    for kind in counted {
        let changes = world.written.of(*kind);
        println!("{:>20} {:>9.2} a job", format!("{kind:?}"), changes as f64 / jobs as f64);
    }
}

/// The most memory this process has held so far, in MB, as the kernel tells; 0 where it doesn't.
fn peak_mb() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix("VmHWM:"));
    let kb = line.and_then(|l| l.split_whitespace().next()?.parse::<f64>().ok());
    kb.unwrap_or(0.0) / 1024.0
}
