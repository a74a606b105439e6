//! One size of a capacity run: brings the region up, loads it, measures, and lets it fail.

use super::hollow::{Counters, HollowThread, Setup, TaskEvent};
use super::state_service::{StateSeen, StateService};
use super::traffic::{is_urgent, zone, Traffic, ZONES};
use super::users::{User, UserEvent};
use super::watch::{histogram, record, Recovery, Watch};
use super::{usage, Plan, SizeRow};
use crate::controllers::{counting_line, Controllers, Layout, OPERATOR_FILE};
use cleatfold_clients::http::HttpClient;
use hdrhistogram::Histogram;
use hyper::Method;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;
use std::io::{Error, Result};
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinSet;
use tokio::time::{interval, sleep, sleep_until, Instant};

const LEASE_S: f64 = 42.0;
/// Machines stay, whether they are used or not: the size is what is measured.
const OPERATOR: &str = "idle_return_s = 86400\n";
const READY_WITHIN: Duration = Duration::from_secs(60);
const RECOVERED_WITHIN: Duration = Duration::from_secs(60);
const PROGRESS_EVERY: u32 = 5;
/// Arrays wait at their users while tasks for so long wait at the controllers.
const BACKLOG_S: f64 = 30.0;
/// A fake thread that is busier than this is no fair measure of the controllers.
pub const BUSIEST_STAND_IN: f64 = 0.85;

/// A directory that goes with what is in it.
struct Scratch(PathBuf);

impl Drop for Scratch {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Everything that runs; what is dropped first is stopped first.
struct Running<'a> {
    plan: &'a Plan,
    workers: usize,
    starts_per_s: f64,
    controllers: Controllers,
    users: JoinSet<()>,
    _lines: JoinSet<()>,
    hollow: Vec<HollowThread>,
    state: StateService,
    counters: Arc<Counters>,
    mesh_bytes: Arc<AtomicU64>,
    traffic: Arc<Traffic>,
    watch: Watch,
    events: mpsc::UnboundedReceiver<TaskEvent>,
    told: mpsc::UnboundedReceiver<UserEvent>,
    tell: mpsc::UnboundedSender<UserEvent>,
    http: HttpClient,
    rng: SmallRng,
    next_job: u64,
    next_arrival: Instant,
    /// Tasks submitted so far.
    tasks: u64,
    /// Until jobs were accepted, in microseconds.
    accepted: Histogram<u64>,
    refused_attempts: u64,
    gave_up: u64,
    deferred: u64,
    _scratch: Scratch,
}

/// What has been used up to a moment.
struct Snapshot {
    at: Instant,
    controllers: Vec<usage::Usage>,
    state: StateSeen,
    hollow_cpu_s: Vec<f64>,
    started: u64,
    mesh_bytes: u64,
    reports: u64,
    report_bytes: u64,
    reply_bytes: u64,
    orders: u64,
    unanswered: u64,
    redirected: u64,
    reconnects: u64,
    sessions_lost: u64,
}

/// Measures one size.
pub async fn measure(plan: &Plan, workers: usize, starts_per_s: f64) -> Result<SizeRow> {
    let mut running = Running::start(plan, workers, starts_per_s).await?;
    running.ready().await?;
    running.next_arrival = Instant::now();
    running.pump(plan.warm_s).await?;
    running.begin();
    let before = running.snapshot().await;
    running.pump(plan.seconds).await?;
    let after = running.snapshot().await;
    let late = running.watch.end_waits();
    let mut row = running.row(&before, &after, late);
    if !plan.calm {
        row.one_killed = Some(running.kill_leader(&after, row.starts_per_s).await?);
        row.all_killed = Some(running.kill_all(row.starts_per_s).await?);
    }
    row.broken = running.watch.broken.clone();
    Ok(row)
}

impl<'a> Running<'a> {
    async fn start(plan: &'a Plan, workers: usize, starts_per_s: f64) -> Result<Running<'a>> {
        if let Some(why) = usage::refusal(plan.controllers, workers) {
            return Err(Error::other(why));
        }
        let name = format!("cleatfold-capacity-{}-{workers}", std::process::id());
        let scratch = Scratch(std::env::temp_dir().join(name));
        std::fs::create_dir_all(&scratch.0)?;
        std::fs::write(scratch.0.join(OPERATOR_FILE), OPERATOR)?;
        let traffic = Arc::new(Traffic::new(plan.seed, workers, plan.teams, plan.array_tasks));
        let mut hollow = Vec::new();
        let mut setups = Vec::new();
        for _ in 0..plan.hollow_threads {
            let (setup, told) = oneshot::channel();
            hollow.push(HollowThread::start(told)?);
            setups.push(setup);
        }
        let inventory = hollow.iter().map(|h| h.to.clone()).collect();
        let state = StateService::start(workers, plan.changes, inventory)?;
        let mesh: Vec<tokio::net::TcpListener> = bind(plan.controllers).await?;
        let mesh_entries: Vec<String> =
            mesh.iter().map(|l| Ok(l.local_addr()?.to_string())).collect::<Result<_>>()?;
        let zones: Vec<String> = (0..ZONES).map(zone).collect();
        let cluster = traffic.settings(plan.report_s, LEASE_S, plan.changes);
        let layout = Layout {
            zones: &zones,
            region: &state.address,
            cluster: &cluster,
            mesh_entries: &mesh_entries,
        };
        let mut controllers = Controllers::laid_out(scratch.0.clone(), plan.controllers, &layout)?;
        let mesh_bytes = Arc::new(AtomicU64::new(0));
        let mut lines = JoinSet::new();
        for (listener, to) in mesh.into_iter().zip(&controllers.mesh_addresses) {
            lines.spawn_local(counting_line(listener, to.clone(), mesh_bytes.clone()));
        }
        for i in 0..plan.controllers {
            controllers.start(i)?;
        }
        let counters = Arc::new(Counters::default());
        let (events_to, events) = mpsc::unbounded_channel();
        for setup in setups {
            let _ = setup.send(Setup {
                controllers: controllers.named(),
                traffic: traffic.clone(),
                counters: counters.clone(),
                report_s: plan.report_s,
                lease_s: LEASE_S,
                events: events_to.clone(),
            });
        }
        let (tell, told) = mpsc::unbounded_channel();
        Ok(Running {
            plan,
            workers,
            starts_per_s,
            controllers,
            users: JoinSet::new(),
            _lines: lines,
            hollow,
            state,
            counters,
            mesh_bytes,
            watch: Watch::new(traffic.clone()),
            traffic,
            events,
            told,
            tell,
            http: HttpClient::without_endpoint(),
            rng: SmallRng::seed_from_u64(plan.seed),
            next_job: 1,
            next_arrival: Instant::now(),
            tasks: 0,
            accepted: histogram(),
            refused_attempts: 0,
            gave_up: 0,
            deferred: 0,
            _scratch: scratch,
        })
    }

    /// Waits until every controller is ready.
    async fn ready(&self) -> Result<()> {
        let since = Instant::now();
        for address in &self.controllers.addresses {
            let url = format!("http://{address}/ready");
            let timeout = Duration::from_secs(1);
            while !matches!(self.http.call(Method::GET, &url, None, timeout).await, Ok((200, _))) {
                if since.elapsed() > READY_WITHIN {
                    return Err(Error::other(format!("{address} is not ready")));
                }
                sleep(Duration::from_millis(200)).await;
            }
        }
        Ok(())
    }

    /// Lets the region run for some seconds.
    async fn pump(&mut self, seconds: f64) -> Result<()> {
        self.pump_until(Duration::from_secs_f64(seconds), |_| false).await
    }

    /// Lets the region run for a time, or until something is so.
    async fn pump_until(
        &mut self,
        time: Duration,
        mut over: impl FnMut(&Watch) -> bool,
    ) -> Result<()> {
        let until = Instant::now() + time;
        let mut second = interval(Duration::from_secs(1));
        let mut seconds = 0;
        loop {
            tokio::select! {
                Some(event) = self.events.recv() => self.watch.note(event),
                Some(told) = self.told.recv() => self.hear(told),
                Some(_) = self.users.join_next() => {}
                _ = sleep_until(self.next_arrival) => self.arrive(),
                _ = sleep_until(until) => return Ok(()),
                _ = second.tick() => {
                    seconds += 1;
                    self.watch_over(seconds)?;
                    if over(&self.watch) {
                        return Ok(());
                    }
                }
            }
        }
    }

    /// Once a second: progress, and the bounds.
    fn watch_over(&self, seconds: u32) -> Result<()> {
        let pids: Vec<u32> = self.controllers.pids().into_iter().flatten().collect();
        if let Some(why) = usage::excess(&pids) {
            return Err(Error::other(why));
        }
        if seconds.is_multiple_of(PROGRESS_EVERY) {
            eprintln!(
                "{} workers: {} tasks run, {} started, {} jobs submitted",
                self.workers,
                self.watch.running(),
                self.watch.started,
                self.next_job - 1
            );
        }
        Ok(())
    }

    fn hear(&mut self, told: UserEvent) {
        match told {
            UserEvent::Accepted { after, attempts } => {
                record(&mut self.accepted, after.as_micros() as u64);
                self.refused_attempts += u64::from(attempts - 1);
            }
            UserEvent::GaveUp => self.gave_up += 1,
            UserEvent::Broken(what) => self.watch.broken.push(what),
        }
    }

    /// The next job comes, at times that are drawn as of many users.
    fn arrive(&mut self) {
        let jobs_per_s = self.starts_per_s / self.traffic.mean_tasks();
        let drawn: f64 = self.rng.random_range(f64::EPSILON..1.0);
        self.next_arrival += Duration::from_secs_f64(-drawn.ln() / jobs_per_s);
        let spec = self.traffic.job(self.next_job);
        self.next_job += 1;
        let backlog = self.tasks.saturating_sub(self.watch.started) as f64;
        if !is_urgent(&spec) && backlog > BACKLOG_S * self.starts_per_s {
            self.deferred += 1;
            return;
        }
        self.tasks += u64::from(spec.tasks);
        self.watch.submitted(&spec);
        let controllers = self.controllers.addresses.clone();
        let user = User { http: self.http.clone(), controllers, spec, tell: self.tell.clone() };
        self.users.spawn_local(user.run());
    }

    /// The measured time begins.
    fn begin(&mut self) {
        self.accepted.clear();
        self.watch.begin_waits();
        (self.refused_attempts, self.gave_up, self.deferred) = (0, 0, 0);
    }

    async fn snapshot(&self) -> Snapshot {
        let mut hollow_cpu_s = Vec::new();
        for thread in &self.hollow {
            hollow_cpu_s.push(thread.cpu_s().await);
        }
        let counters = &self.counters;
        let pids = self.controllers.pids();
        Snapshot {
            state: self.state.inspect().await,
            at: Instant::now(),
            controllers: pids
                .into_iter()
                .map(|pid| pid.and_then(usage::of_process).unwrap_or_default())
                .collect(),
            hollow_cpu_s,
            started: self.watch.started,
            mesh_bytes: self.mesh_bytes.load(Relaxed),
            reports: counters.reports.load(Relaxed),
            report_bytes: counters.report_bytes.load(Relaxed),
            reply_bytes: counters.reply_bytes.load(Relaxed),
            orders: counters.orders.load(Relaxed),
            unanswered: counters.unanswered.load(Relaxed),
            redirected: counters.redirected.load(Relaxed),
            reconnects: counters.reconnects.load(Relaxed),
            sessions_lost: counters.sessions_lost.load(Relaxed),
        }
    }

    /// The controller that holds the leader's record.
    fn leader(&self, state: &StateSeen) -> usize {
        let named = self.controllers.named();
        named.iter().position(|n| state.leader.contains(&format!("\"{}\"", n.0))).unwrap_or(0)
    }

    async fn recovery(&mut self, at: Instant, starts_per_s: f64) -> Result<Recovery> {
        let over = |watch: &Watch| watch.recovery(at, starts_per_s).as_before_s.is_some();
        self.pump_until(RECOVERED_WITHIN, over).await?;
        Ok(self.watch.recovery(at, starts_per_s))
    }

    /// The leader is killed and stays away until starts are as before.
    async fn kill_leader(&mut self, seen: &Snapshot, starts_per_s: f64) -> Result<Recovery> {
        let leader = self.leader(&seen.state);
        eprintln!("{} workers: the leader, controller {leader}, is killed", self.workers);
        self.controllers.kill(leader);
        let recovery = self.recovery(Instant::now(), starts_per_s).await?;
        self.controllers.start(leader)?;
        self.pump(self.plan.warm_s / 2.0).await?;
        Ok(recovery)
    }

    /// All controllers are killed, and started again at once.
    async fn kill_all(&mut self, starts_per_s: f64) -> Result<Recovery> {
        eprintln!("{} workers: all controllers are killed", self.workers);
        for i in 0..self.plan.controllers {
            self.controllers.kill(i);
        }
        let at = Instant::now();
        for i in 0..self.plan.controllers {
            self.controllers.start(i)?;
        }
        self.recovery(at, starts_per_s).await
    }

    fn row(&self, before: &Snapshot, after: &Snapshot, urgent_late: usize) -> SizeRow {
        let seconds = after.at.duration_since(before.at).as_secs_f64();
        let rate = |before: u64, after: u64| after.saturating_sub(before) as f64 / seconds;
        let (was, is) = (&before.state, &after.state);
        let changes = rate(was.changes, is.changes);
        let commits = rate(was.commits, is.commits);
        let starts = rate(before.started, after.started);
        let cores: Vec<f64> = before
            .controllers
            .iter()
            .zip(&after.controllers)
            .map(|(was, is)| (is.cpu_s - was.cpu_s) / seconds)
            .collect();
        let memory: Vec<f64> = after.controllers.iter().map(|c| c.memory_mb).collect();
        let hollow: Vec<f64> = before
            .hollow_cpu_s
            .iter()
            .zip(&after.hollow_cpu_s)
            .map(|(was, is)| (is - was) / seconds)
            .collect();
        let state_cores = (is.cpu_s - was.cpu_s) / seconds;
        let most = |values: &[f64]| values.iter().copied().fold(0.0, f64::max);
        let per_worker = |rate: f64| rate / self.workers as f64;
        let changes_of = |family: &String| {
            rate(was.changes_of.get(family).copied().unwrap_or(0), is.changes_of[family])
        };
        let quantile = |histogram: &Histogram<u64>, q| histogram.value_at_quantile(q) as f64;
        SizeRow {
            workers: self.workers,
            seconds,
            offered_starts_per_s: self.starts_per_s,
            starts_per_s: starts,
            tasks_running: self.watch.running(),
            changes_per_s: changes,
            commits_per_s: commits,
            starts_per_change: starts / changes.max(1e-9),
            conflicts_per_s: rate(was.conflicts, is.conflicts),
            refused_changes_per_s: rate(was.refused, is.refused),
            changes_of: is.changes_of.keys().map(|f| (f.clone(), changes_of(f))).collect(),
            held: is.held.clone().into_iter().collect::<BTreeMap<_, _>>(),
            state_keys: is.held.values().map(|h| h.0).sum::<u64>() as f64,
            state_kb: is.held.values().map(|h| h.1).sum::<u64>() as f64 / 1000.0,
            state_requests_per_s: rate(was.requests, is.requests),
            state_in_kb_per_s: rate(was.bytes_in, is.bytes_in) / 1000.0,
            state_out_kb_per_s: rate(was.bytes_out, is.bytes_out) / 1000.0,
            state_stand_in_cores: state_cores,
            jobs_accepted: self.accepted.len(),
            attempts_refused: self.refused_attempts,
            submissions_given_up: self.gave_up,
            arrays_deferred: self.deferred,
            accept_p50_ms: quantile(&self.accepted, 0.5) / 1000.0,
            accept_p95_ms: quantile(&self.accepted, 0.95) / 1000.0,
            urgent_jobs: self.watch.urgent_wait.len(),
            urgent_waiting: urgent_late,
            urgent_p50_ms: quantile(&self.watch.urgent_wait, 0.5),
            urgent_p90_ms: quantile(&self.watch.urgent_wait, 0.9),
            controller_cores: cores.iter().sum(),
            busiest_controller_cores: most(&cores),
            leader_cores: cores[self.leader(is)],
            controller_mb: memory.iter().sum(),
            largest_controller_mb: most(&memory),
            mesh_kb_per_s: rate(before.mesh_bytes, after.mesh_bytes) / 1000.0,
            reports_per_s: rate(before.reports, after.reports),
            worker_reports_per_s: per_worker(rate(before.reports, after.reports)),
            worker_sent_bytes_per_s: per_worker(rate(before.report_bytes, after.report_bytes)),
            worker_got_bytes_per_s: per_worker(rate(before.reply_bytes, after.reply_bytes)),
            worker_core_percent: 100.0 * per_worker(hollow.iter().sum()),
            orders_per_s: rate(before.orders, after.orders),
            reports_unanswered_per_s: rate(before.unanswered, after.unanswered),
            redirects_per_s: rate(before.redirected, after.redirected),
            connections_opened_per_s: rate(before.reconnects, after.reconnects),
            sessions_lost: after.sessions_lost - before.sessions_lost,
            busiest_stand_in: most(&hollow).max(state_cores),
            one_killed: None,
            all_killed: None,
            broken: Vec::new(),
        }
    }
}

async fn bind(count: usize) -> Result<Vec<tokio::net::TcpListener>> {
    let mut listeners = Vec::new();
    for _ in 0..count {
        listeners.push(tokio::net::TcpListener::bind("127.0.0.1:0").await?);
    }
    Ok(listeners)
}
