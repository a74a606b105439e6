//! Many machines want one large image at once: three real controllers, killed in turn, in a simulated
//! region; beside what the same machines would need otherwise.

use crate::world::{ImageSettings, Size, World, CONTROLLERS};
use cleatfold_wire::job::{Kind, Urgency};
use cleatfold_wire::{ImageId, Ms, TeamId, TypeId, ZoneId};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::Serialize;

#[derive(Clone, Debug, clap::Args)]
pub struct Plan {
    #[arg(long, default_value_t = 500)]
    pub machines: usize,
    /// Size of the image.
    #[arg(long, default_value_t = 140.0)]
    pub gb: f64,
    /// What the origin gives, in GB per second.
    #[arg(long, default_value_t = 10.0)]
    pub origin: f64,
    /// What a machine takes and gives, in GB per second.
    #[arg(long, default_value_t = 1.25)]
    pub rate: f64,
    /// Controllers killed in turn while the image is fetched.
    #[arg(long, default_value_t = 0)]
    pub kills: usize,
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Writes the results there as well.
    #[arg(long)]
    pub json: Option<std::path::PathBuf>,
}

#[derive(Debug, Serialize)]
pub struct Results {
    pub all_s: f64,
    pub half_s: f64,
    pub origin_gb: f64,
    /// Fetched again because it was given up or wrong.
    pub repeated_gb: f64,
    pub changes: usize,
    /// By arithmetic: all that machines can take, and all that the origin can give.
    pub bound_s: f64,
    pub each_for_itself_s: f64,
    pub staged_only_s: f64,
    #[serde(skip)]
    pub checks: Vec<(String, bool)>,
}

const ZONES: [&str; 3] = ["a", "b", "c"];
const IMAGE: &str = "model";
const STEP_MS: u64 = 500;

/// A task for every machine, a third of them in each zone.
fn jobs(world: &mut World, plan: &Plan, gb: f64, run_s: f64) {
    for (i, zone) in ZONES.into_iter().enumerate() {
        let mut spec = world.some_job();
        (spec.team, spec.urgency, spec.kind) = (TeamId::new("free"), Urgency::Normal, Kind::Array);
        (spec.tasks, spec.cpus, spec.estimate_s) =
            (((plan.machines + i) / ZONES.len()) as u32, 8.0, run_s);
        (spec.one_zone, spec.spread, spec.spot) = (false, false, true);
        (spec.types, spec.zone) = (Some(vec![TypeId::new("small")]), Some(ZoneId::new(zone)));
        (spec.image, spec.image_gb) = (ImageId::new(if gb < 1.0 { "small" } else { IMAGE }), gb);
        world.submit(i % CONTROLLERS, spec);
    }
}

/// All machines are up, a third in each zone, and have nothing to do.
fn machines_up(plan: &Plan) -> World {
    let images = ImageSettings {
        origin_gb_per_s: plan.origin,
        fetch_gb_per_s: plan.rate,
        cache_gb: plan.gb * 1.5,
        ..ImageSettings::SMALL
    };
    let size = Size {
        machines: plan.machines,
        most_jobs: 0,
        heartbeat_interval_ms: 2000,
        images: Some(images),
        ..Size::SMALL
    };
    let mut world = World::sized(plan.seed, false, size);
    world.run(Ms(6000));
    jobs(&mut world, plan, 0.5, 10.0);
    let idle = |w: &World| w.running.is_empty() && w.started as usize >= plan.machines;
    while !idle(&world) && world.now < Ms(300_000) {
        world.run(world.now.plus(STEP_MS));
    }
    world
}

pub fn run(plan: &Plan) -> std::io::Result<Results> {
    let failed = |what: String| Err(std::io::Error::other(what));
    let mut world = machines_up(plan);
    let (began, changes) = (world.now, world.changes.len());
    let bound_s = plan.gb / plan.rate.min(plan.origin);
    jobs(&mut world, plan, plan.gb, 10_000.0);
    let mut rng = SmallRng::seed_from_u64(plan.seed);
    for kill in 0..plan.kills {
        // In turn, over most of the time that it takes at least; the first early, while turns are given.
        let part = (kill as f64 + rng.random_range(0.0..1.0)) / plan.kills as f64;
        let at = (bound_s * 800.0 * part.powi(2)) as u64;
        world.at(at, crate::world::SimulationEvent::Crash(kill % CONTROLLERS));
    }
    let image = ImageId::new(IMAGE);
    let (mut half_s, mut all_s) = (None, None);
    while all_s.is_none() {
        world.run(world.now.plus(STEP_MS));
        let passed = world.now.since(began) as f64 / 1000.0;
        if !world.broken.is_empty() || passed > bound_s * 20.0 + 600.0 {
            return failed(format!("after {passed} s: {:?}", world.broken));
        }
        let Some(net) = &world.net else { return failed("no images".into()) };
        let have = net.holders.keys().filter(|id| net.has_complete(id, &image)).count();
        if have * 2 >= plan.machines {
            half_s.get_or_insert(passed);
        }
        if have >= plan.machines {
            all_s = Some(passed);
        }
    }
    let Some(net) = &world.net else { return failed("no images".into()) };
    let (all_s, half_s) = (all_s.unwrap_or_default(), half_s.unwrap_or_default());
    let whole = plan.machines as f64 * (plan.gb / net.piece_gb).ceil() * net.piece_gb;
    let seats = (plan.origin / plan.rate).floor().max(1.0);
    let within = if plan.kills > 0 { 2.5 } else { 2.0 };
    let copies = 3.0 * ZONES.len() as f64 * plan.gb;
    let checks = vec![
        (format!("all have it within {within} times the lower bound"), all_s <= bound_s * within),
        ("at most three copies a zone came from the origin".into(), net.origin_gb <= copies),
        (
            "seats never exceeded what the origin gives".into(),
            net.peak_origin_demand_gb_per_s <= plan.origin,
        ),
        ("nothing was fetched twice".into(), net.received_gb <= whole),
    ];
    Ok(Results {
        all_s,
        half_s,
        origin_gb: net.origin_gb,
        repeated_gb: (net.received_gb - whole).max(0.0),
        changes: world.changes.len() - changes,
        bound_s,
        each_for_itself_s: (plan.machines as f64 * plan.gb / plan.origin).max(bound_s),
        staged_only_s: (plan.machines as f64 / seats).ceil() * bound_s,
        checks,
    })
}
