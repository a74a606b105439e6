//! The chart against a slow plain model that tries every moment on every machine.

use cleatfold_plan::{plan, MachineChart, Request, Reservation, Resources};
use cleatfold_wire::{ImageId, Ms};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Time in the model goes in whole seconds.
const HORIZON: usize = 400;
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

fn room(m: &ModelMachine, r: &Request, from: u64, until: u64, tasks: u32) -> u32 {
    (from / SECOND..until / SECOND)
        .map(|s| m.free[s as usize].fits(&r.each, tasks))
        .min()
        .unwrap_or(tasks)
}

fn model(machines: &mut [ModelMachine], requests: &[Request]) -> Vec<Reservation> {
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
                    let count = room(m, r, start, end, left);
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
        avoid: if rng.random_bool(0.1) { vec![0] } else { vec![] },
    }
}

struct Case {
    charts: Vec<MachineChart>,
    machines: Vec<ModelMachine>,
    requests: Vec<Request>,
}

fn some_case(seed: u64) -> Case {
    let mut rng = SmallRng::seed_from_u64(seed);
    let total = Resources::new(8.0, 0.0, 16.0);
    let mut charts = Vec::new();
    let mut machines = Vec::new();
    for _ in 0..rng.random_range(1..5) {
        let spot = rng.random_bool(0.4);
        let mut chart = MachineChart::new(Ms(0), total, spot, true);
        let mut free = vec![total; HORIZON];
        for _ in 0..rng.random_range(0..4) {
            // What runs already.
            let end = rng.random_range(1..20u64);
            let each = Resources::new(2.0, 0.0, 3.0);
            chart.carve(Ms(0), Ms(end * SECOND), each);
            free.iter_mut().take(end as usize).for_each(|f| *f -= each);
        }
        charts.push(chart);
        machines.push(ModelMachine { free, spot, images: vec![] });
    }
    let requests = (0..rng.random_range(1..9)).map(|_| some_request(&mut rng)).collect();
    Case { charts, machines, requests }
}

#[test]
fn the_chart_reserves_as_the_plain_model_does() {
    for seed in 0..300 {
        let mut case = some_case(seed);
        let fast = plan(&mut case.charts, &case.requests, 10_000);
        let slow = model(&mut case.machines, &case.requests);
        assert_eq!(fast, slow, "seed {seed}");
    }
}

#[test]
fn later_requests_never_move_earlier_reservations() {
    for seed in 300..400 {
        let case = some_case(seed);
        let all = plan(&mut case.charts.clone(), &case.requests, 10_000);
        for n in 0..case.requests.len() {
            let some = plan(&mut case.charts.clone(), &case.requests[..n], 10_000);
            assert_eq!(some[..], all[..some.len()], "seed {seed}");
        }
    }
}

#[test]
fn a_gang_starts_together_and_overbooks_nothing() {
    let mut whole = 0;
    for seed in 400..500 {
        let mut case = some_case(seed);
        for r in &mut case.requests {
            r.gang = true;
        }
        let reservations = plan(&mut case.charts, &case.requests, 10_000);
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
            }
        }
        let none = Resources::default();
        for m in &case.machines {
            assert!(m.free.iter().all(|f| none.within(f)), "seed {seed}: overbooked");
        }
    }
    assert!(whole > 200, "only {whole} gangs were reserved");
}
