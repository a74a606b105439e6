//! The profile against a slow plain model that tries every moment on every machine.

use cleatfold_backfill::{
    plan, AvailabilityProfile, MachineProfile, Request, Reservation, Resources,
};
use cleatfold_wire::{ImageId, Ms};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Time in the model goes in whole seconds.
const HORIZON: usize = 1600;
const SECOND: u64 = 1000;

struct ModelMachine {
    free: Vec<Resources>,
    spot: bool,
    images: Vec<(ImageId, u64)>,
}

fn finish(m: &ModelMachine, r: &Request, start: u64) -> u64 {
    let fetched = start + r.image_gb as u64 * SECOND;
    let ready = m
        .images
        .iter()
        .find(|(image, _)| *image == r.image)
        .map_or(fetched, |(_, ready)| fetched.min(start.max(*ready)));
    ready + r.run_ms
}

fn free_capacity(free: &[Resources], r: &Request, from: u64, until: u64, tasks: u32) -> u32 {
    (from / SECOND..until / SECOND)
        .map(|s| free[s as usize].fits(&r.each, tasks))
        .min()
        .unwrap_or(tasks)
}

fn model(
    machines: &mut [ModelMachine],
    limits: &mut [Vec<Resources>],
    requests: &[Request],
) -> Vec<Reservation> {
    let mut out = Vec::new();
    for (number, r) in requests.iter().enumerate() {
        let mut left = r.tasks;
        while left > 0 {
            let mut best: Option<(u64, u64, i64, usize, u32)> = None;
            for (i, m) in machines.iter().enumerate() {
                if m.spot && !r.spot || r.avoid.contains(&i) {
                    continue;
                }
                let first = (0..HORIZON as u64 / 2).map(|s| s * SECOND).find_map(|start| {
                    let end = finish(m, r, start);
                    let mut count = free_capacity(&m.free, r, start, end, left);
                    if let Some(l) = r.limit {
                        count = free_capacity(&limits[l], r, start, end, count);
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
            for s in start / SECOND..end / SECOND {
                machines[i].free[s as usize] -= r.each.times(tasks);
                if let Some(l) = r.limit {
                    limits[l][s as usize] -= r.each.times(tasks);
                }
            }
            if !machines[i].images.iter().any(|(image, _)| *image == r.image) {
                machines[i].images.push((r.image.clone(), start + r.image_gb as u64 * SECOND));
            }
            out.push(Reservation {
                request: number,
                machine: i,
                start: Ms(start),
                finish: Ms(end),
                tasks,
            });
            left -= tasks;
        }
    }
    out
}

fn some_request(rng: &mut SmallRng) -> Request {
    Request {
        each: Resources::new(
            f64::from(rng.random_range(1..5)),
            0.0,
            f64::from(rng.random_range(1..6)),
        ),
        tasks: rng.random_range(1..14),
        run_ms: rng.random_range(1..12) * SECOND,
        image: ImageId::new(["a", "b", "c"][rng.random_range(0..3)]),
        image_gb: f64::from(rng.random_range(0..4)),
        spot: rng.random_bool(0.6),
        gang: false,
        limit: if rng.random_bool(0.5) { Some(rng.random_range(0..2)) } else { None },
        prompt_ms: 0,
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

fn some_case(seed: u64) -> Case {
    let mut rng = SmallRng::seed_from_u64(seed);
    let total = Resources::new(8.0, 0.0, 16.0);
    let mut profiles = Vec::new();
    let mut machines = Vec::new();
    for _ in 0..rng.random_range(1..5) {
        let spot = rng.random_bool(0.4);
        let mut profile = MachineProfile::new(Ms(0), total, spot, true);
        let mut free = vec![total; HORIZON];
        for _ in 0..rng.random_range(0..4) {
            // What runs already.
            let end = rng.random_range(1..20u64);
            let each = Resources::new(2.0, 0.0, 3.0);
            profile.carve(Ms(0), Ms(end * SECOND), each);
            free.iter_mut().take(end as usize).for_each(|f| *f -= each);
        }
        profiles.push(profile);
        machines.push(ModelMachine { free, spot, images: vec![] });
    }
    let requests = (0..rng.random_range(1..9)).map(|_| some_request(&mut rng)).collect();
    let (mut limits, mut model_limits) = (Vec::new(), Vec::new());
    for _ in 0..2 {
        // What the team may use now, and what comes back to it as its tasks end.
        let amount = |cpus: u64| Resources::new(cpus as f64, 0.0, 1000.0);
        let now = amount(rng.random_range(0..12));
        let mut ends: Vec<(Ms, Resources)> = (0..rng.random_range(0..4))
            .map(|_| (Ms(rng.random_range(1..20) * SECOND), amount(rng.random_range(1..5))))
            .collect();
        ends.sort_by_key(|e| e.0);
        let mut free = vec![now; HORIZON];
        for (at, more) in &ends {
            free.iter_mut().skip((at.0 / SECOND) as usize).for_each(|f| *f += *more);
        }
        limits.push(AvailabilityProfile::growing(Ms(0), now, ends));
        model_limits.push(free);
    }
    Case { profiles, machines, limits, model_limits, requests }
}

#[test]
fn the_profile_reserves_as_the_plain_model_does() {
    for seed in 0..300 {
        let mut case = some_case(seed);
        let fast = plan(&mut case.profiles, &mut case.limits, &case.requests, 10_000);
        let slow = model(&mut case.machines, &mut case.model_limits, &case.requests);
        assert_eq!(fast, slow, "seed {seed}");
    }
}

#[test]
fn later_requests_never_move_earlier_reservations() {
    for seed in 300..400 {
        let case = some_case(seed);
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
fn a_gang_starts_together_and_overbooks_nothing() {
    let mut whole = 0;
    for seed in 400..550 {
        let mut case = some_case(seed);
        for r in &mut case.requests {
            r.gang = true;
        }
        let reservations = plan(&mut case.profiles, &mut case.limits, &case.requests, 10_000);
        for (number, r) in case.requests.iter().enumerate() {
            let mine: Vec<_> = reservations.iter().filter(|x| x.request == number).collect();
            if mine.is_empty() {
                continue;
            }
            whole += 1;
            assert_eq!(mine.iter().map(|x| x.tasks).sum::<u32>(), r.tasks, "seed {seed}");
            assert!(mine.iter().all(|x| x.start == mine[0].start && x.finish == mine[0].finish));
        }
        for x in &reservations {
            let each = case.requests[x.request].each.times(x.tasks);
            for s in x.start.0 / SECOND..x.finish.0 / SECOND {
                case.machines[x.machine].free[s as usize] -= each;
                if let Some(l) = case.requests[x.request].limit {
                    case.model_limits[l][s as usize] -= each;
                }
            }
        }
        let none = Resources::default();
        for free in case.machines.iter().map(|m| &m.free).chain(&case.model_limits) {
            assert!(free.iter().all(|f| none.within(f)), "seed {seed}: overbooked");
        }
    }
    assert!(whole > 200, "only {whole} gangs were reserved");
}

/// A team at its limit once held its places in every pool all the same, and those behind it found
/// full profiles beside idle machines.
#[test]
fn a_team_at_its_limit_takes_no_resources_from_others() {
    let total = Resources::new(8.0, 0.0, 100.0);
    let mut profiles: Vec<MachineProfile> =
        (0..4).map(|_| MachineProfile::new(Ms(0), total, false, true)).collect();
    let request = |limit, tasks| Request {
        each: Resources::new(1.0, 0.0, 1.0),
        tasks,
        run_ms: 60 * SECOND,
        image: ImageId::new("a"),
        image_gb: 0.0,
        spot: true,
        gang: false,
        limit,
        prompt_ms: 0,
        avoid: vec![],
    };
    let mut requests: Vec<Request> = (0..500).map(|_| request(Some(0), 100)).collect();
    requests.push(request(None, 32));
    let later = Resources::new(2.0, 0.0, 1e6);
    let none = Resources::new(0.0, 0.0, 1e6);
    let mut limits = [AvailabilityProfile::growing(Ms(0), none, [(Ms(5 * SECOND), later)])];
    let reservations = plan(&mut profiles, &mut limits, &requests, 400);
    let soon = |r: &&Reservation| r.start < Ms(10 * SECOND);
    let others: u32 =
        reservations.iter().filter(|r| r.request == 500).filter(soon).map(|r| r.tasks).sum();
    assert!(others >= 30, "{others} of 32 start beside a team that cannot");
    let limited: u32 =
        reservations.iter().filter(|r| r.request < 500).filter(soon).map(|r| r.tasks).sum();
    assert_eq!(limited, 2, "and the team gets what its limit gives back");
}
