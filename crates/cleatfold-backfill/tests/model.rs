//! Compares the planner with a simple reference model that tries every second on every machine.

use cleatfold_backfill::{
    plan, AvailabilityProfile, MachineProfile, Request, Reservation, Resources,
};
use cleatfold_wire::{ImageId, Ms};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// The model works in whole seconds.
const HORIZON_S: usize = 1600;
const SECOND_MS: u64 = 1000;

struct ModelMachine {
    free: Vec<Resources>,
    spot: bool,
    images: Vec<(ImageId, u64)>,
}

fn finish(m: &ModelMachine, r: &Request, start: u64) -> u64 {
    let fetched = start + r.image_gb as u64 * SECOND_MS;
    let ready = m
        .images
        .iter()
        .find(|(image, _)| *image == r.image)
        .map_or(fetched, |(_, ready)| fetched.min(start.max(*ready)));
    ready + r.run_ms
}

fn fitting_tasks(free: &[Resources], r: &Request, from: u64, until: u64, tasks: u32) -> u32 {
    (from / SECOND_MS..until / SECOND_MS)
        .map(|s| free[s as usize].fitting_tasks(&r.task_resources, tasks))
        .min()
        .unwrap_or(tasks)
}

fn model(
    machines: &mut [ModelMachine],
    limits: &mut [Vec<Resources>],
    requests: &[Request],
) -> Vec<Reservation> {
    let mut out = Vec::new();
    for (request_index, r) in requests.iter().enumerate() {
        let mut unplaced = r.tasks;
        while unplaced > 0 {
            let mut best: Option<(u64, u64, i64, usize, u32)> = None;
            for (i, m) in machines.iter().enumerate() {
                if m.spot && !r.spot || r.avoid.contains(&i) {
                    continue;
                }
                let first = (0..HORIZON_S as u64 / 2).map(|s| s * SECOND_MS).find_map(|start| {
                    let end = finish(m, r, start);
                    let mut count = fitting_tasks(&m.free, r, start, end, unplaced);
                    if let Some(l) = r.limit {
                        count = fitting_tasks(&limits[l], r, start, end, count);
                    }
                    (count > 0).then_some((end, start, m.free[0].cpus, i, count))
                });
                if let Some(found) = first {
                    let key = |b: &(u64, u64, i64, usize, u32)| (b.0, b.1, b.2, b.3);
                    if best.as_ref().is_none_or(|b| key(&found) < key(b)) {
                        best = Some(found);
                    }
                }
            }
            let Some((end, start, _, i, tasks)) = best else { break };
            for s in start / SECOND_MS..end / SECOND_MS {
                machines[i].free[s as usize] -= r.task_resources.times(tasks);
                if let Some(l) = r.limit {
                    limits[l][s as usize] -= r.task_resources.times(tasks);
                }
            }
            if !machines[i].images.iter().any(|(image, _)| *image == r.image) {
                machines[i].images.push((r.image.clone(), start + r.image_gb as u64 * SECOND_MS));
            }
            out.push(Reservation {
                request: request_index,
                machine: i,
                start: Ms(start),
                finish: Ms(end),
                tasks,
            });
            unplaced -= tasks;
        }
    }
    out
}

fn random_request(rng: &mut SmallRng) -> Request {
    Request {
        task_resources: Resources::new(
            f64::from(rng.random_range(1..5)),
            0.0,
            f64::from(rng.random_range(1..6)),
        ),
        tasks: rng.random_range(1..14),
        run_ms: rng.random_range(1..12) * SECOND_MS,
        image: ImageId::new(["a", "b", "c"][rng.random_range(0..3)]),
        image_gb: f64::from(rng.random_range(0..4)),
        spot: rng.random_bool(0.6),
        gang: false,
        limit: if rng.random_bool(0.5) { Some(rng.random_range(0..2)) } else { None },
        min_wait_benefit_ms: 0,
        avoid: if rng.random_bool(0.1) { vec![0] } else { vec![] },
    }
}

struct Case {
    profiles: Vec<MachineProfile>,
    machines: Vec<ModelMachine>,
    limits: Vec<AvailabilityProfile>,
    model_limits: Vec<Vec<Resources>>,
    requests: Vec<Request>,
}

fn random_case(seed: u64) -> Case {
    let mut rng = SmallRng::seed_from_u64(seed);
    let total = Resources::new(8.0, 0.0, 16.0);
    let mut profiles = Vec::new();
    let mut machines = Vec::new();
    for _ in 0..rng.random_range(1..5) {
        let spot = rng.random_bool(0.4);
        let mut profile = MachineProfile::new(Ms(0), total, spot, true);
        let mut free = vec![total; HORIZON_S];
        for _ in 0..rng.random_range(0..4) {
            // Tasks that are already running.
            let end = rng.random_range(1..20u64);
            let each = Resources::new(2.0, 0.0, 3.0);
            profile.allocate(Ms(0), Ms(end * SECOND_MS), each);
            free.iter_mut().take(end as usize).for_each(|f| *f -= each);
        }
        profiles.push(profile);
        machines.push(ModelMachine { free, spot, images: vec![] });
    }
    let requests = (0..rng.random_range(1..9)).map(|_| random_request(&mut rng)).collect();
    let (mut limits, mut model_limits) = (Vec::new(), Vec::new());
    for _ in 0..2 {
        // What the team may use now, and what is released as its tasks end.
        let amount = |cpus: u64| Resources::new(cpus as f64, 0.0, 1000.0);
        let now = amount(rng.random_range(0..12));
        let mut ends: Vec<(Ms, Resources)> = (0..rng.random_range(0..4))
            .map(|_| (Ms(rng.random_range(1..20) * SECOND_MS), amount(rng.random_range(1..5))))
            .collect();
        ends.sort_by_key(|e| e.0);
        let mut free = vec![now; HORIZON_S];
        for (at, more) in &ends {
            free.iter_mut().skip((at.0 / SECOND_MS) as usize).for_each(|f| *f += *more);
        }
        limits.push(AvailabilityProfile::with_releases(Ms(0), now, ends));
        model_limits.push(free);
    }
    Case { profiles, machines, limits, model_limits, requests }
}

#[test]
fn plan_matches_the_reference_model() {
    for seed in 0..300 {
        let mut case = random_case(seed);
        let planned = plan(&mut case.profiles, &mut case.limits, &case.requests, 10_000);
        let expected = model(&mut case.machines, &mut case.model_limits, &case.requests);
        assert_eq!(planned, expected, "seed {seed}");
    }
}

#[test]
fn later_requests_never_move_earlier_reservations() {
    for seed in 300..400 {
        let case = random_case(seed);
        let all =
            plan(&mut case.profiles.clone(), &mut case.limits.clone(), &case.requests, 10_000);
        for n in 0..case.requests.len() {
            let some = plan(
                &mut case.profiles.clone(),
                &mut case.limits.clone(),
                &case.requests[..n],
                10_000,
            );
            assert_eq!(some[..], all[..some.len()], "seed {seed}");
        }
    }
}

#[test]
fn gang_starts_together_without_overbooking() {
    let mut reserved_gangs = 0;
    for seed in 400..550 {
        let mut case = random_case(seed);
        for r in &mut case.requests {
            r.gang = true;
        }
        let reservations = plan(&mut case.profiles, &mut case.limits, &case.requests, 10_000);
        for (request_index, r) in case.requests.iter().enumerate() {
            let mine: Vec<_> = reservations.iter().filter(|x| x.request == request_index).collect();
            if mine.is_empty() {
                continue;
            }
            reserved_gangs += 1;
            assert_eq!(mine.iter().map(|x| x.tasks).sum::<u32>(), r.tasks, "seed {seed}");
            assert!(mine.iter().all(|x| x.start == mine[0].start && x.finish == mine[0].finish));
        }
        for x in &reservations {
            let each = case.requests[x.request].task_resources.times(x.tasks);
            for s in x.start.0 / SECOND_MS..x.finish.0 / SECOND_MS {
                case.machines[x.machine].free[s as usize] -= each;
                if let Some(l) = case.requests[x.request].limit {
                    case.model_limits[l][s as usize] -= each;
                }
            }
        }
        let none = Resources::default();
        for free in case.machines.iter().map(|m| &m.free).chain(&case.model_limits) {
            assert!(free.iter().all(|f| none.is_within(f)), "seed {seed}: overbooked");
        }
    }
    assert!(reserved_gangs > 200, "only {reserved_gangs} gangs were reserved");
}

/// Guards against a team at its limit that still reserves machines: jobs queued behind it found full
/// profiles although machines were idle.
#[test]
fn team_at_its_limit_does_not_block_other_teams() {
    let total = Resources::new(8.0, 0.0, 100.0);
    let mut profiles: Vec<MachineProfile> =
        (0..4).map(|_| MachineProfile::new(Ms(0), total, false, true)).collect();
    let request = |limit, tasks| Request {
        task_resources: Resources::new(1.0, 0.0, 1.0),
        tasks,
        run_ms: 60 * SECOND_MS,
        image: ImageId::new("a"),
        image_gb: 0.0,
        spot: true,
        gang: false,
        limit,
        min_wait_benefit_ms: 0,
        avoid: vec![],
    };
    let mut requests: Vec<Request> = (0..500).map(|_| request(Some(0), 100)).collect();
    requests.push(request(None, 32));
    let later = Resources::new(2.0, 0.0, 1e6);
    let none = Resources::new(0.0, 0.0, 1e6);
    let mut limits =
        [AvailabilityProfile::with_releases(Ms(0), none, [(Ms(5 * SECOND_MS), later)])];
    let reservations = plan(&mut profiles, &mut limits, &requests, 400);
    let soon = |r: &&Reservation| r.start < Ms(10 * SECOND_MS);
    let others: u32 =
        reservations.iter().filter(|r| r.request == 500).filter(soon).map(|r| r.tasks).sum();
    assert!(others >= 30, "only {others} of 32 start although the other team cannot");
    let limited: u32 =
        reservations.iter().filter(|r| r.request < 500).filter(soon).map(|r| r.tasks).sum();
    assert_eq!(limited, 2, "the limited team uses what its limit releases");
}
