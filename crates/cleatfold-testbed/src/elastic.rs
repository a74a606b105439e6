//! The experiment of elastic jobs: a sweep grows and shrinks while renders arrive.

use crate::controllers::{holding_line, Controllers, ZONES};
use crate::region::{self, Seen, ToRegion};
use cleatfold_clients::http::HttpClient;
use cleatfold_wire::cloud::MachineType;
use cleatfold_wire::job::{Elastic, JobSpec, JobState, JobStatus, Kind, Urgency};
use cleatfold_wire::{ClassId, ImageId, JobId, Ms, TeamId, TypeId, ZoneId};
use hdrhistogram::Histogram;
use hyper::Method;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::Serialize;
use std::path::PathBuf;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{sleep, Instant};

#[derive(Clone, Debug, clap::Args)]
pub struct Plan {
    /// Steps of the sweep.
    #[arg(long, default_value_t = 200)]
    pub steps: u32,
    /// How often the sweep must have grown or shrunk.
    #[arg(long, default_value_t = 50)]
    pub resizes: u32,
    /// Renders that arrive meanwhile.
    #[arg(long, default_value_t = 40)]
    pub renders: u32,
    /// Controllers to kill (with kill -9, back after a second), one at a time.
    #[arg(long, default_value_t = 0)]
    pub kills: u32,
    /// Hold 20% of the packets to one controller for up to 3 s.
    #[arg(long)]
    pub held: bool,
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Write the results to this file, too.
    #[arg(long, value_name = "FILE")]
    pub json: Option<PathBuf>,
}

#[derive(Debug, Serialize)]
pub struct Results {
    pub steps: u32,
    pub finished: u32,
    /// Steps that more than one member worked through; each counted once.
    pub redone: usize,
    pub resizes: u32,
    pub renders: u32,
    pub render_start_ms_p50: u64,
    pub render_start_ms_p95: u64,
    pub render_start_ms_max: u64,
    /// Transactions that finished steps, by step.
    pub changes_per_step: f64,
    pub seconds: f64,
    pub checks: Vec<(String, bool)>,
}

const CHANGES_PER_S: f64 = 60.0;
/// One machine type, in each zone; the region has three machines of it.
fn types() -> Vec<MachineType> {
    vec![MachineType {
        name: TypeId::new("bench"),
        cpus: 8.0,
        gpus: 0.0,
        memory_gb: 32.0,
        cache_gb: 50.0,
        fetch_gb_per_s: 10.0,
        price: 1.0,
        spot_price: 1.0,
        boot_s: 1.0,
        zones: ZONES.iter().map(|z| ZoneId::new(*z)).collect(),
    }]
}

pub fn job(number: u32, team: &str, urgency: Urgency, cpus: f64, run_s: f64) -> JobSpec {
    JobSpec {
        id: JobId::new(format!("run-{number:06}")),
        class: ClassId::new(team),
        team: TeamId::new(team),
        kind: Kind::Array,
        urgency,
        tasks: 1,
        cpus,
        gpus: 0.0,
        memory_gb: 1.0,
        image: ImageId::new(team),
        image_gb: 0.1,
        types: None,
        zone: None,
        one_zone: false,
        spread: false,
        spot: false,
        estimate_s: run_s,
        checkpoint_s: 0.0,
        save_s: 0.0,
        deadline_s: None,
        elastic: None,
    }
}

/// A region with running controllers.
pub struct Up {
    pub controllers: Controllers,
    pub region: mpsc::UnboundedSender<ToRegion>,
    pub http: HttpClient,
    pub entries: Vec<String>,
}

impl Up {
    pub async fn start(
        dir: PathBuf,
        count: usize,
        machines: usize,
        held: Option<u64>,
    ) -> std::io::Result<Up> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?.to_string();
        let mut controllers = Controllers::prepare(dir, count, &address, CHANGES_PER_S)?;
        let mut named = controllers.named();
        if let Some(seed) = held {
            named[0].1 = holding_line(named[0].1.clone(), 0.2, seed).await?;
        }
        let entries = named.iter().map(|n| n.1.clone()).collect();
        let region = region::start(listener, named, types(), machines, CHANGES_PER_S);
        for i in 0..count {
            controllers.start(i)?;
        }
        let up = Up { controllers, region, http: HttpClient::without_endpoint(), entries };
        let since = Instant::now();
        while up.call(Method::GET, "/ready", None).await.is_none_or(|a| a.0 != 200) {
            if since.elapsed() > Duration::from_secs(30) {
                return Err(std::io::Error::other("no controller got ready within 30 s"));
            }
            sleep(Duration::from_millis(200)).await;
        }
        Ok(up)
    }

    /// Asks one controller after the other until one answers.
    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Option<Vec<u8>>,
    ) -> Option<(u16, Vec<u8>)> {
        for entry in &self.entries {
            let url = format!("http://{entry}{path}");
            let timeout = Duration::from_secs(5);
            if let Ok((code, body)) =
                self.http.call(method.clone(), &url, body.clone(), timeout).await
            {
                if code < 500 && code != 429 {
                    return Some((code, body.to_vec()));
                }
            }
        }
        None
    }

    /// Submits until it is accepted or refused for good.
    pub async fn submit(&self, spec: &JobSpec) -> std::io::Result<()> {
        let _ = self.region.send(ToRegion::Describe(Box::new(spec.clone())));
        loop {
            let body = serde_json::to_vec(spec).ok();
            match self.call(Method::POST, "/v1/jobs", body).await {
                Some((200 | 201, _)) => return Ok(()),
                Some((code, why)) => {
                    let why = String::from_utf8_lossy(&why).into_owned();
                    return Err(std::io::Error::other(format!("{}: {code} {why}", spec.id)));
                }
                None => sleep(Duration::from_millis(300)).await,
            }
        }
    }

    pub async fn status(&self, job: &JobId) -> Option<JobStatus> {
        let (code, body) = self.call(Method::GET, &format!("/v1/jobs/{job}"), None).await?;
        (code == 200).then(|| serde_json::from_slice(&body).ok())?
    }

    pub async fn inspect(&self) -> Seen {
        let (answer, seen) = oneshot::channel();
        let _ = self.region.send(ToRegion::Inspect(answer));
        seen.await.unwrap_or_default()
    }
}

/// Counts the turns of a width: a run of growth or of shrinking is one.
#[derive(Default)]
struct Reversals {
    last: u32,
    up: Option<bool>,
    count: u32,
}

impl Reversals {
    fn see(&mut self, width: u32) {
        if width != self.last {
            let up = width > self.last;
            if self.up != Some(up) {
                self.count += 1;
                self.up = Some(up);
            }
            self.last = width;
        }
    }
}

pub async fn run(plan: Plan) -> std::io::Result<Results> {
    let mut rng = SmallRng::seed_from_u64(plan.seed);
    let dir = std::env::temp_dir().join(format!("cleatfold-testbed-{}", std::process::id()));
    let mut up = Up::start(dir, 3, 3, plan.held.then_some(plan.seed)).await?;
    let mut sweep = job(1, "sweeps", Urgency::Normal, 4.0, 10.0);
    sweep.tasks = 6;
    sweep.elastic = Some(Elastic { steps: plan.steps, min_members: 0, step_s: 3.5 });
    up.submit(&sweep).await?;
    let began = Instant::now();
    let mut reversals = Reversals::default();
    let mut arrived: Vec<(JobId, Ms)> = Vec::new();
    let mut next_render = began + Duration::from_secs(8);
    let mut next_kill = began + Duration::from_secs(10);
    let (mut killed, mut down): (u32, Option<(usize, Instant)>) = (0, None);
    // Renders come two at a time, so that each wave takes most of the region.
    let pause = |rng: &mut SmallRng| Duration::from_millis(rng.random_range(5500..6300));
    let limit = Duration::from_secs(60 + u64::from(plan.steps) * 2);
    loop {
        let seen = up.inspect().await;
        reversals.see(seen.running.get(&sweep.id).copied().unwrap_or(0));
        let now = Instant::now();
        if arrived.len() < plan.renders as usize && now >= next_render {
            next_render = now + pause(&mut rng);
            for _ in 0..rng.random_range(1..=2) {
                if arrived.len() >= plan.renders as usize {
                    break;
                }
                let render = job(100 + arrived.len() as u32, "renders", Urgency::Normal, 8.0, 1.5);
                arrived.push((render.id.clone(), up.inspect().await.now));
                up.submit(&render).await?;
                tracing::info!(job = %render.id, "a render arrives");
            }
        }
        if killed < plan.kills && down.is_none() && now >= next_kill {
            let controller = rng.random_range(0..3);
            tracing::info!(controller, "kill -9");
            up.controllers.kill(controller);
            killed += 1;
            down = Some((controller, now + Duration::from_secs(1)));
            next_kill = now + Duration::from_secs(rng.random_range(9..14));
        }
        if let Some((controller, _)) = down.filter(|d| now >= d.1) {
            up.controllers.start(controller)?;
            down = None;
        }
        let over = seen.finished.get(&sweep.id).copied().unwrap_or(0) >= plan.steps
            && arrived.iter().all(|(id, _)| seen.started.contains_key(id));
        if over || began.elapsed() > limit {
            break;
        }
        sleep(Duration::from_millis(100)).await;
    }
    let told = Instant::now();
    let mut state = None;
    while state != Some(JobState::Done) && told.elapsed() < Duration::from_secs(30) {
        sleep(Duration::from_millis(300)).await;
        state = up.status(&sweep.id).await.map(|s| s.state);
    }
    let seen = up.inspect().await;
    Ok(results(&plan, &sweep.id, &arrived, &seen, reversals.count, began.elapsed(), state))
}

fn results(
    plan: &Plan,
    sweep: &JobId,
    arrived: &[(JobId, Ms)],
    seen: &Seen,
    resizes: u32,
    took: Duration,
    state: Option<JobState>,
) -> Results {
    let mut starts = Histogram::<u64>::new(3).expect("three digits");
    let mut late = 0;
    for (id, at) in arrived {
        match seen.started.get(id) {
            Some(start) => {
                let wait = start.since(*at);
                if wait > 5000 {
                    tracing::warn!(job = %id, wait_ms = wait, "a late render");
                }
                late += u32::from(wait > 5000);
                starts.record(wait).expect("within bounds");
            }
            None => late += 1,
        }
    }
    let finished = seen.finished.get(sweep).copied().unwrap_or(0);
    for broken in &seen.broken {
        eprintln!("broken: {broken}");
    }
    let checks = vec![
        ("every step is finished".to_string(), finished == plan.steps),
        ("each by the one member that held it".to_string(), seen.broken.is_empty()),
        ("the sweep is told done".to_string(), state == Some(JobState::Done)),
        (format!("it grew or shrank {} times", plan.resizes), resizes >= plan.resizes),
        (
            "every render started within 5 s".to_string(),
            late == 0 && arrived.len() as u32 == plan.renders,
        ),
    ];
    Results {
        steps: plan.steps,
        finished,
        redone: seen.redone,
        resizes,
        renders: arrived.len() as u32,
        render_start_ms_p50: starts.value_at_quantile(0.5),
        render_start_ms_p95: starts.value_at_quantile(0.95),
        render_start_ms_max: starts.max(),
        changes_per_step: f64::from(seen.step_changes) / f64::from(finished.max(1)),
        seconds: took.as_secs_f64(),
        checks,
    }
}
