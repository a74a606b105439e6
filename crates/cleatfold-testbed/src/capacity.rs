//! What the controllers use at several sizes: the project's own controllers as real processes
//! on loopback, a fake state service and cloud, and hollow workers that share threads.

pub mod hollow;
pub mod measure;
pub mod slope;
pub mod state_service;
pub mod traffic;
pub mod usage;
pub mod users;
pub mod watch;

use serde::Serialize;
use slope::Line;
use std::collections::BTreeMap;
use std::path::PathBuf;
use tokio::signal::unix::{signal, SignalKind};
use watch::Recovery;

#[derive(Clone, Debug, clap::Args)]
pub struct Plan {
    /// Workers of each region that is measured, one after the other.
    #[arg(long, value_delimiter = ',', default_values_t = [725, 1450, 2900, 5800])]
    pub workers: Vec<usize>,
    #[arg(long, default_value_t = 330)]
    pub teams: usize,
    /// Task starts a second at the largest size; smaller ones get theirs in proportion.
    #[arg(long, default_value_t = 3600.0, allow_negative_numbers = true)]
    pub starts: f64,
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    #[arg(long, default_value_t = 8)]
    pub controllers: usize,
    /// Changes a second that the state service takes.
    #[arg(long, default_value_t = 200.0, allow_negative_numbers = true)]
    pub changes: f64,
    /// Mean tasks of an array; every second job is urgent and has 1 to 4.
    #[arg(long, default_value_t = 1000.0, allow_negative_numbers = true)]
    pub array_tasks: f64,
    /// Seconds between a worker's reports when nothing changes.
    #[arg(long, default_value_t = 4.0, allow_negative_numbers = true)]
    pub report_s: f64,
    /// Seconds of load before the measured ones.
    #[arg(long, default_value_t = 30.0, allow_negative_numbers = true)]
    pub warm_s: f64,
    /// Seconds that are measured.
    #[arg(long, default_value_t = 60.0, allow_negative_numbers = true)]
    pub seconds: f64,
    /// Threads that the hollow workers share.
    #[arg(long, default_value_t = 2)]
    pub hollow_threads: usize,
    /// Kill no controller.
    #[arg(long)]
    pub calm: bool,
    /// Write the results to this file, too.
    #[arg(long, value_name = "FILE")]
    pub json: Option<PathBuf>,
}

/// Largest values of what is asked for.
const MOST_WORKERS: usize = 20_000;
const MOST_TEAMS: usize = 10_000;
const MOST_THREADS: usize = 16;

impl Plan {
    /// What is wrong with the arguments.
    pub fn check(&self) -> Result<(), String> {
        let counts = [
            ("--teams", self.teams, MOST_TEAMS),
            ("--controllers", self.controllers, usage::MOST_PROCESSES - 1),
            ("--hollow-threads", self.hollow_threads, MOST_THREADS),
        ];
        let workers = self.workers.iter().map(|n| ("--workers", *n, MOST_WORKERS));
        for (name, value, most) in workers.chain(counts) {
            if value == 0 || value > most {
                return Err(format!("{name}: {value} is not between 1 and {most}"));
            }
        }
        let amounts = [
            ("--starts", self.starts, 1e6),
            ("--changes", self.changes, 1e6),
            ("--array-tasks", self.array_tasks, 20_000.0),
            ("--report-s", self.report_s, 30.0),
            ("--warm-s", self.warm_s, 3600.0),
            ("--seconds", self.seconds, 3600.0),
        ];
        for (name, value, most) in amounts {
            if !(value > 0.0 && value <= most) {
                return Err(format!("{name}: {value} is not above 0 and at most {most}"));
            }
        }
        Ok(())
    }
}

/// What was measured at one size. Rates are of the measured seconds, controllers are all of them
/// together, bytes are of bodies without their heads.
#[derive(Clone, Debug, Serialize)]
pub struct SizeRow {
    pub workers: usize,
    pub seconds: f64,
    pub offered_starts_per_s: f64,
    pub starts_per_s: f64,
    pub tasks_running: usize,
    pub changes_per_s: f64,
    pub commits_per_s: f64,
    pub starts_per_change: f64,
    pub conflicts_per_s: f64,
    pub refused_changes_per_s: f64,
    /// Changes a second by the first part of the key.
    pub changes_of: BTreeMap<String, f64>,
    /// Keys and bytes held by the first part of the key.
    pub held: BTreeMap<String, (u64, u64)>,
    pub state_keys: f64,
    pub state_kb: f64,
    pub state_requests_per_s: f64,
    pub state_in_kb_per_s: f64,
    pub state_out_kb_per_s: f64,
    pub state_stand_in_cores: f64,
    pub jobs_accepted: u64,
    pub attempts_refused: u64,
    pub submissions_given_up: u64,
    /// Arrays that were not submitted since too many tasks waited.
    pub arrays_deferred: u64,
    pub accept_p50_ms: f64,
    pub accept_p95_ms: f64,
    pub urgent_jobs: u64,
    /// Urgent jobs that still waited at the end; they count with what they had waited.
    pub urgent_waiting: usize,
    pub urgent_p50_ms: f64,
    pub urgent_p90_ms: f64,
    pub controller_cores: f64,
    pub busiest_controller_cores: f64,
    pub leader_cores: f64,
    pub controller_mb: f64,
    pub largest_controller_mb: f64,
    pub mesh_kb_per_s: f64,
    pub reports_per_s: f64,
    pub worker_reports_per_s: f64,
    pub worker_sent_bytes_per_s: f64,
    pub worker_got_bytes_per_s: f64,
    pub worker_core_percent: f64,
    pub orders_per_s: f64,
    pub reports_unanswered_per_s: f64,
    pub redirects_per_s: f64,
    pub connections_opened_per_s: f64,
    pub sessions_lost: u64,
    /// Processor share of the busiest fake thread.
    pub busiest_stand_in: f64,
    pub one_killed: Option<Recovery>,
    pub all_killed: Option<Recovery>,
    pub broken: Vec<String>,
}

impl SizeRow {
    /// The figures that lines are laid through.
    fn figures(&self) -> Vec<(&'static str, f64)> {
        let recovery = |r: Option<Recovery>| r.and_then(|r| r.as_before_s).unwrap_or(f64::NAN);
        vec![
            ("starts a second, offered", self.offered_starts_per_s),
            ("starts a second", self.starts_per_s),
            ("tasks running", self.tasks_running as f64),
            ("changes a second", self.changes_per_s),
            ("commits a second", self.commits_per_s),
            ("starts a change", self.starts_per_change),
            ("conflicts a second", self.conflicts_per_s),
            ("changes refused a second", self.refused_changes_per_s),
            ("keys in the state service", self.state_keys),
            ("kB in the state service", self.state_kb),
            ("requests to it a second", self.state_requests_per_s),
            ("kB to it a second", self.state_in_kb_per_s),
            ("kB from it a second", self.state_out_kb_per_s),
            ("accepted p50, ms", self.accept_p50_ms),
            ("accepted p95, ms", self.accept_p95_ms),
            ("urgent wait p50, ms", self.urgent_p50_ms),
            ("urgent wait p90, ms", self.urgent_p90_ms),
            ("cores, all controllers", self.controller_cores),
            ("cores, busiest controller", self.busiest_controller_cores),
            ("cores, leader", self.leader_cores),
            ("MB, all controllers", self.controller_mb),
            ("MB, largest controller", self.largest_controller_mb),
            ("kB a second, mesh", self.mesh_kb_per_s),
            ("reports a second", self.reports_per_s),
            ("a worker's reports a second", self.worker_reports_per_s),
            ("a worker's bytes sent a second", self.worker_sent_bytes_per_s),
            ("a worker's bytes got a second", self.worker_got_bytes_per_s),
            ("a hollow worker's % of a core", self.worker_core_percent),
            ("busiest stand-in, cores", self.busiest_stand_in),
            ("leader killed: as before, s", recovery(self.one_killed)),
            ("all killed: as before, s", recovery(self.all_killed)),
        ]
    }
}

/// A figure at each size, and the line through it.
#[derive(Clone, Debug, Serialize)]
pub struct Figure {
    pub name: &'static str,
    pub values: Vec<f64>,
    /// By workers; none with fewer than three sizes.
    pub line: Option<Line>,
    /// The value a worker at the largest size, over that at the smallest: 1 where it grows with
    /// the workers.
    pub growth: f64,
}

#[derive(Clone, Debug, Serialize)]
pub struct Results {
    pub sizes: Vec<SizeRow>,
    pub figures: Vec<Figure>,
    pub checks: Vec<(String, bool)>,
}

impl Results {
    fn of(sizes: Vec<SizeRow>) -> Self {
        let all: Vec<Vec<(&'static str, f64)>> = sizes.iter().map(SizeRow::figures).collect();
        let names = all.first().map(|row| row.iter().map(|f| f.0)).into_iter().flatten();
        let figures = names
            .enumerate()
            .map(|(i, name)| figure(name, &sizes, all.iter().map(|row| row[i].1).collect()))
            .collect();
        let checks = sizes.iter().flat_map(checks).collect();
        Self { figures, checks, sizes }
    }

    /// The figures as text: a row each, a column a size, and the line through them.
    pub fn table(&self) -> String {
        let mut text = format!("{:32}", "workers");
        for size in &self.sizes {
            text += &format!(" {:>10}", size.workers);
        }
        text += &format!(" {:>24} {:>7}", "a 1,000 workers more", "growth");
        for figure in &self.figures {
            text += &format!("\n{:32}", figure.name);
            for value in &figure.values {
                text += &format!(" {value:>10.3}");
            }
            let line = figure.line.map_or("-".into(), |line| {
                format!("{:.3} +- {:.3}", line.slope * 1000.0, line.slope_error * 1000.0)
            });
            text += &format!(" {line:>24} {:>7.2}", figure.growth);
        }
        text
    }
}

fn figure(name: &'static str, sizes: &[SizeRow], values: Vec<f64>) -> Figure {
    let points: Vec<(f64, f64)> =
        sizes.iter().map(|s| s.workers as f64).zip(values.clone()).collect();
    let known: Vec<(f64, f64)> = points.iter().copied().filter(|p| p.1.is_finite()).collect();
    let each = |point: Option<&(f64, f64)>| point.map_or(f64::NAN, |p| p.1 / p.0);
    let growth = each(points.last()) / each(points.first());
    Figure { name, values, line: Line::fit(&known), growth }
}

/// What has to hold of a size for its figures to count.
fn checks(row: &SizeRow) -> Vec<(String, bool)> {
    let n = row.workers;
    for broken in &row.broken {
        eprintln!("broken: {broken}");
    }
    let recovered = |r: Recovery| r.as_before_s.is_some();
    let mut checks = vec![
        (format!("{n} workers: no rule is broken"), row.broken.is_empty()),
        (format!("{n} workers: tasks start"), row.starts_per_s > 0.0),
        (
            format!("{n} workers: the stand-ins are not what binds"),
            row.busiest_stand_in < measure::BUSIEST_STAND_IN,
        ),
    ];
    let killed = [("the leader", row.one_killed), ("all controllers", row.all_killed)];
    for (who, recovery) in killed {
        let what = format!("{n} workers: starts are as before after {who} were killed");
        checks.extend(recovery.map(|r| (what, recovered(r))));
    }
    checks
}

/// Measures every size. Ctrl-C and a request to end stop everything that was started.
pub async fn run(plan: &Plan) -> std::io::Result<Results> {
    let mut terminate = signal(SignalKind::terminate())?;
    tokio::select! {
        results = run_sizes(plan) => results,
        _ = tokio::signal::ctrl_c() => Err(std::io::Error::other("interrupted")),
        _ = terminate.recv() => Err(std::io::Error::other("told to end")),
    }
}

async fn run_sizes(plan: &Plan) -> std::io::Result<Results> {
    let largest = plan.workers.iter().copied().max().unwrap_or(1) as f64;
    let mut sizes = Vec::new();
    for &workers in &plan.workers {
        let starts_per_s = plan.starts * workers as f64 / largest;
        sizes.push(measure::measure(plan, workers, starts_per_s).await?);
    }
    Ok(Results::of(sizes))
}
