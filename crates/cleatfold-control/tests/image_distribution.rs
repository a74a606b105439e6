//! Distribution of images that many machines need at once, while the controllers that plan it fail. At each step, the
//! simulation checks that the origin slots in the record stay within the bound and that each machine that fetches from the
//! origin has one.

use cleatfold_testbed::world::{
    controller_id, ImageSettings, SimulationEvent, Size, World, CONTROLLERS,
};
use cleatfold_wire::job::{Kind, Urgency};
use cleatfold_wire::*;
use std::collections::BTreeSet;

const GB: f64 = 10.0;

fn region(seed: u64, machines: usize, images: ImageSettings) -> World {
    let size = Size { machines, most_jobs: 0, images: Some(images), ..Size::SMALL };
    let mut world = World::sized(seed, false, size);
    world.run(Ms(6000));
    world
}

/// Submits a job of which one task fits on a machine.
fn submit(world: &mut World, tasks: u32, image: &str, run_s: f64) -> JobId {
    let mut spec = world.some_job();
    (spec.team, spec.urgency, spec.kind) = (TeamId::new("free"), Urgency::Normal, Kind::Array);
    (spec.tasks, spec.cpus, spec.estimate_s) = (tasks, 8.0, run_s);
    (spec.one_zone, spec.spread, spec.types, spec.spot) = (false, false, None, true);
    (spec.image, spec.image_gb) = (ImageId::new(image), GB);
    let up = (0..CONTROLLERS).find(|i| world.controllers[*i].is_some());
    world.submit(up.expect("a controller is up"), spec)
}

/// Returns the number of machines that have the image.
fn machines_with_image(world: &World, image: &str) -> usize {
    let image = ImageId::new(image);
    let net = world.net.as_ref().expect("weights");
    net.holders.keys().filter(|id| net.has_complete(id, &image)).count()
}

fn run_until(world: &mut World, max_s: u64, condition: impl Fn(&World) -> bool) -> f64 {
    let from = world.now;
    while !condition(world) {
        assert!(world.broken.is_empty(), "{:#?}", world.broken);
        let elapsed_ms = world.now.since(from);
        assert!(elapsed_ms < max_s * 1000, "condition not met: {:#?}", world.origin_record());
        world.run(world.now.plus(250));
    }
    assert!(world.broken.is_empty(), "{:#?}", world.broken);
    world.now.since(from) as f64 / 1000.0
}

fn origin_gb(world: &World) -> f64 {
    world.net.as_ref().expect("weights").origin_gb
}

/// Returns a machine that serves an image to others before it has all of it.
fn find_source(world: &World) -> Option<MachineId> {
    let is_serving = |w: &cleatfold_fakes::worker::Worker| {
        w.images.held.iter().any(|h| h.serves > 0 && h.fraction < 1.0)
    };
    world.workers.iter().find(|(_, w)| is_serving(w)).map(|(id, _)| id.clone())
}

/// Thirty machines and two origin slots. Fetching the image from the origin only takes 150 s, staged or not.
#[test]
fn simultaneous_fetches_are_staged_and_shared() {
    let mut world = region(1, 30, ImageSettings::SMALL);
    submit(&mut world, 30, "m1", 300.0);
    let elapsed_s = run_until(&mut world, 40, |w| machines_with_image(w, "m1") == 30);
    assert!(
        elapsed_s < 30.0 && origin_gb(&world) <= 3.0 * GB,
        "{elapsed_s} s, {} GB",
        origin_gb(&world)
    );
}

/// Workers that know only the basic protocol fetch from the origin, in turns.
#[test]
fn protocol_only_workers_fetch_in_turns() {
    let mut world = region(2, 30, ImageSettings { hear: 0, ..ImageSettings::SMALL });
    submit(&mut world, 30, "m1", 300.0);
    let elapsed_s = run_until(&mut world, 220, |w| machines_with_image(w, "m1") == 30);
    // Fifteen rounds of ten seconds, with one or two heartbeats each.
    assert!(elapsed_s < 200.0, "{elapsed_s}");
    assert_eq!(origin_gb(&world), 300.0);
}

/// Controllers crash one by one or all at once, freeze for longer than a lease and continue, or are cut off with their
/// packets held, while workers of both kinds fetch: the slots stay within their bound, each machine gets the image, and no
/// surviving machine fetches it from the origin twice.
#[test]
fn failures_do_not_exceed_origin_slots() {
    for seed in 10..18 {
        let mut world = region(seed, 24, ImageSettings { hear: 70, ..ImageSettings::SMALL });
        submit(&mut world, 24, "m1", 20.0);
        let at = |i: u64| 8_000 + 7_000 * i + 500 * seed;
        for i in 0..5u64 {
            let controller = ((i + seed) % CONTROLLERS as u64) as usize;
            match (seed + i) % 4 {
                0 => world.at(at(i), SimulationEvent::Crash(controller)),
                1 => (0..CONTROLLERS).for_each(|n| world.at(at(i), SimulationEvent::Crash(n))),
                2 => {
                    let until = Ms(6000 + at(i) + 9_000);
                    world.at(at(i), SimulationEvent::Cut { controller, until });
                }
                _ => {
                    let now = world.now;
                    world.run(now.plus(at(0)));
                    world.freeze(controller, 11_000);
                }
            }
        }
        run_until(&mut world, 300, |w| w.unfinished().is_empty() && w.started >= 24);
        let has_slots = |w: &World| !w.origin_record().slots.is_empty();
        run_until(&mut world, 60, |w| !has_slots(w));
        let max_gb = 24.0 * GB;
        assert!(origin_gb(&world) <= max_gb, "seed {seed}: {} GB", origin_gb(&world));
    }
}

/// A source fails half-way, accepts requests without serving them, is slow, sends corrupt pieces, or leaves; a controller
/// crashes as well. Distribution stopped for good when a stuck machine got a new source only for claims under its present
/// owner's token.
#[test]
fn faulty_source_is_replaced() {
    for (case, seed) in [(0, 20), (1, 21), (2, 22), (3, 23), (4, 24)] {
        let mut world = region(seed, 30, ImageSettings::SMALL);
        submit(&mut world, 30, "m1", 400.0);
        run_until(&mut world, 40, |w| find_source(w).is_some());
        let now = world.now;
        world.run(now.plus(2000));
        let source = find_source(&world).expect("it serves");
        let net = world.net.as_mut().expect("weights");
        let holder = net.holders.get_mut(&source).expect("holds");
        match case {
            0 => world.at(0, SimulationEvent::Die(source.clone())),
            1 => holder.sends_nothing = true,
            2 => holder.upload_fraction = 0.05,
            3 => holder.sends_corrupt_pieces = true,
            _ => net.request_exit(now, &source),
        }
        let owner = (0..CONTROLLERS).find(|n| world.controllers[*n].is_some()).expect("up");
        world.at(1000, SimulationEvent::Crash(owner));
        run_until(&mut world, 150, |w| machines_with_image(w, "m1") >= 29);
        if case == 3 {
            assert!(world.net.as_ref().unwrap().corrupt_pieces > 0, "no corrupt piece was sent");
        }
        assert!(origin_gb(&world) <= 4.0 * GB, "case {case}: {} GB", origin_gb(&world));
    }
}

/// Many machines need an image at once, then most of their tasks are cancelled and all controllers crash. Machines without a
/// waiting task stop fetching, and their slots are released.
#[test]
fn cancelled_fetches_release_slots() {
    let mut world = region(30, 40, ImageSettings { hear: 0, ..ImageSettings::SMALL });
    let kept = submit(&mut world, 8, "m1", 400.0);
    let cancelled = submit(&mut world, 32, "m1", 400.0);
    world.run(Ms(20_000));
    world.jobs.get_mut(&cancelled).expect("known").cancel_asked = true;
    let withdrawal = cleatfold_testbed::world::Asked::Withdraw(cancelled.clone());
    world.ask(1, withdrawal, cleatfold_control::Request::Withdraw(cancelled.clone()));
    world.run(Ms(21_000));
    (0..CONTROLLERS).for_each(|n| world.at(0, SimulationEvent::Crash(n)));
    let all_run = |w: &World| w.running.keys().filter(|t| t.job == kept).count() == 8;
    run_until(&mut world, 120, all_run);
    run_until(&mut world, 120, |w| {
        w.origin_record().slots.is_empty() && machines_with_image(w, "m1") >= 8
    });
    // The machines that fetched for the cancelled job gave up their unfinished fetches.
    assert!(machines_with_image(&world, "m1") <= 12, "{}", machines_with_image(&world, "m1"));
}

/// A machine restarts at once under the same name, with an empty or a full cache.
#[test]
fn restarted_machine_reports_its_cache() {
    for full in [false, true] {
        let mut world = region(40, 12, ImageSettings::SMALL);
        submit(&mut world, 12, "m1", 400.0);
        run_until(&mut world, 60, |w| machines_with_image(w, "m1") >= 6);
        let id = world.workers.keys().next().expect("one").clone();
        let now = world.now;
        let worker = world.workers.get_mut(&id).expect("there");
        let lost = worker.restart(now);
        let tasks: BTreeSet<TaskId> = lost
            .into_iter()
            .filter_map(|h| match h {
                cleatfold_fakes::worker::WorkerEvent::LeaseExpired(task) => Some(task),
                _ => None,
            })
            .collect();
        for task in &tasks {
            world.running.remove(task);
        }
        let holder = world.net.as_mut().unwrap().holders.get_mut(&id).expect("holds");
        if !full {
            holder.images.clear();
            holder.stop_fetch();
        }
        let before = origin_gb(&world);
        run_until(&mut world, 90, |w| machines_with_image(w, "m1") == 12 && w.running.len() == 12);
        assert!(origin_gb(&world) - before <= 2.0 * GB);
    }
}

/// The record lists the machines that hold the image, so that a new owner can read it, and is deleted when no job needs the
/// image any more.
#[test]
fn image_holders_are_recorded_while_needed() {
    let mut world = region(50, 20, ImageSettings::SMALL);
    submit(&mut world, 20, "m1", 30.0);
    let key = "cf/w/m1";
    let recorded_holders = |w: &World| {
        let item = w.store.get(key)?;
        let record: cleatfold_image_distribution::ImageHoldersRecord =
            serde_json::from_str(item.value.get()).expect("a record");
        Some(record.holders.values().map(|n| n.unpack().len()).sum::<usize>())
    };
    run_until(&mut world, 90, |w| recorded_holders(w).unwrap_or(0) >= 15);
    assert!((0..CONTROLLERS)
        .any(|n| world.controllers[n].is_some() && controller_id(n).as_str() == "n0"));
    run_until(&mut world, 200, |w| w.unfinished().is_empty() && recorded_holders(w).is_none());
}
