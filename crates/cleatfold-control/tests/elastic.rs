//! Elastic jobs in the simulated region: the failures they are meant for, brought about one by
//! one and all together. The world looks at every transaction that finishes a step and at every
//! answer a member gets.

use cleatfold_control::{records, Request};
use cleatfold_testbed::world::{controller_id, Asked, SimulationEvent, Size, World, CONTROLLERS};
use cleatfold_wire::job::{Elastic, JobSpec, Urgency};
use cleatfold_wire::*;

fn sweep(world: &mut World, steps: u32, least: u32, most: u32, step_s: f64) -> JobSpec {
    let mut spec = world.some_job();
    (spec.tasks, spec.cpus, spec.memory_gb) = (most, 1.0, 1.0);
    (spec.team, spec.one_zone, spec.spread, spec.types) = (TeamId::new("free"), false, false, None);
    (spec.spot, spec.urgency) = (true, Urgency::Normal);
    spec.elastic = Some(Elastic { steps, min_members: least, step_s });
    spec
}

fn submit(world: &mut World, steps: u32, least: u32, most: u32, step_s: f64) -> JobId {
    let spec = sweep(world, steps, least, most, step_s);
    world.submit(0, spec)
}

/// A quiet region without its own users, with one sweep that has begun.
fn begun(seed: u64, steps: u32, least: u32, most: u32, step_s: f64) -> (World, JobId) {
    let mut world = World::sized(seed, false, Size { most_jobs: 0, ..Size::SMALL });
    world.run(Ms(3000));
    let job = submit(&mut world, steps, least, most, step_s);
    let (mut waited, third) = (0, steps / 3);
    while world.steps.finished(&job) < third {
        world.run(world.now.plus(50));
        waited += 1;
        assert!(waited < 4000, "the sweep does not get on: {}", world.steps.finished(&job));
    }
    (world, job)
}

fn members(world: &World, job: &JobId) -> Vec<(TaskId, MachineId)> {
    let of_job = world.running.iter().filter(|(t, _)| t.job == *job);
    of_job.map(|(t, m)| (t.clone(), m.clone())).collect()
}

/// Lets everything come to its end: all steps finished, by one member each, and told done.
fn finish(mut world: World, job: &JobId, steps: u32) -> World {
    world.run(world.now.plus(400_000));
    assert!(world.broken.is_empty(), "{:#?}", world.broken);
    assert_eq!(world.steps.finished(job), steps);
    assert!(!world.unfinished().contains(job), "it has not ended");
    world
}

fn coordinator_of(world: &World, job: &JobId) -> usize {
    let ranked = |i: &usize| {
        let key = format!("{job}@{}", controller_id(*i));
        xxhash_rust::xxh3::xxh3_64(key.as_bytes())
    };
    (0..world.controllers.len()).max_by_key(ranked).expect("nodes")
}

#[test]
fn every_step_once_under_all_faults_together() {
    let mut redone = 0;
    for seed in 500..506 {
        let mut world = World::new(seed, true);
        world.run(Ms(4000));
        let jobs: Vec<(JobId, u32)> = [(120, 0, 12, 1.5), (60, 2, 8, 4.0), (5000, 1, 10, 0.05)]
            .into_iter()
            .map(|(steps, least, most, s)| (submit(&mut world, steps, least, most, s), steps))
            .collect();
        world.run(Ms(600_000));
        assert!(world.broken.is_empty(), "seed {seed}: {:#?}", world.broken);
        let left = world.unfinished();
        for (job, steps) in &jobs {
            // Users of this world cancel now and then.
            if !world.jobs[job].cancel_asked {
                assert!(!left.contains(job), "seed {seed}: {job} has not ended");
                assert_eq!(world.steps.finished(job), *steps, "seed {seed}: {job}");
            }
        }
        redone += world.steps.redone();
    }
    assert!(redone > 0, "no step was ever done again: the troubles saw no member");
}

/// The keeper ends between recording steps and answering: members say the same to another controller,
/// and it counts for them and counts once.
#[test]
fn the_coordinator_ends_between_recording_and_answering() {
    let (mut world, job) = begun(21, 120, 2, 6, 1.0);
    for _ in 0..4 {
        let (before, mut waited) = (world.steps.changes, 0);
        while world.steps.changes == before && world.steps.finished(&job) < 120 {
            // In small steps, so that it ends before the answer has gone out.
            world.run(world.now.plus(1));
            waited += 1;
            assert!(waited < 60_000, "it does not get on: {}", world.steps.finished(&job));
        }
        let keeper = coordinator_of(&world, &job);
        world.crash(keeper, 2500);
        world.run(world.now.plus(9000));
    }
    finish(world, &job, 120);
}

/// A machine hangs within its lease and carries on; another for longer than its lease.
#[test]
fn a_member_that_hangs_and_carries_on() {
    let (mut world, job) = begun(22, 90, 2, 6, 1.0);
    for hang_ms in [6000, 14_000, 45_000] {
        if let Some((_, machine)) = members(&world, &job).first().cloned() {
            let until = world.now.plus(hang_ms);
            world.hung.insert(machine, until);
        }
        world.run(world.now.plus(hang_ms / 2));
    }
    finish(world, &job, 90);
}

/// Taken without notice in the middle of a step: that step is done again, and only that.
#[test]
fn a_machine_taken_mid_step_costs_its_step() {
    let (mut world, job) = begun(23, 80, 3, 3, 2.0);
    let (_, machine) = members(&world, &job).first().cloned().expect("members run");
    let there = members(&world, &job).iter().filter(|m| m.1 == machine).count();
    world.handle_event(SimulationEvent::Die(machine));
    let world = finish(world, &job, 80);
    // A step at work, and one complete but not yet told, for each member there.
    assert!(world.steps.redone() <= 2 * there, "{} done again", world.steps.redone());
}

/// The state service is away for many steps; members work on with what they hold.
#[test]
fn the_state_service_away_for_longer_than_a_step() {
    let (mut world, job) = begun(24, 90, 2, 6, 1.0);
    let until = world.now.plus(15_000);
    world.handle_event(SimulationEvent::Outage { until });
    let before = world.steps.worked.len();
    world.run(until);
    assert!(world.steps.worked.len() > before, "members stood still");
    finish(world, &job, 90);
}

/// Work of higher urgency takes every place; the job shrinks to nothing, all controllers end, and
/// it goes on where it was.
#[test]
fn shrunk_to_nothing_it_keeps_its_progress_through_a_restart_of_all() {
    let (mut world, job) = begun(25, 90, 0, 8, 1.0);
    for _ in 0..40 {
        let mut render = sweep(&mut world, 1, 0, 2, 1.0);
        (render.elastic, render.urgency) = (None, Urgency::High);
        (render.cpus, render.estimate_s, render.tasks) = (8.0, 30.0, 1);
        world.submit(1, render);
    }
    let mut waited = 0;
    while !members(&world, &job).is_empty() {
        world.run(world.now.plus(100));
        waited += 1;
        assert!(waited < 400, "it never gave way");
    }
    let progress = world.steps.finished(&job);
    assert!((30..90).contains(&progress), "{progress}");
    for controller in 0..CONTROLLERS {
        world.crash(controller, 3000);
    }
    world.run(world.now.plus(8000));
    assert_eq!(world.steps.finished(&job), progress);
    finish(world, &job, 90);
}

/// Two controllers restart while members are being stopped for somebody else.
#[test]
fn two_controllers_restart_while_an_elastic_job_narrows() {
    let (mut world, job) = begun(26, 120, 0, 8, 2.0);
    for round in 0..3 {
        let stopped = world.stopped;
        let mut render = sweep(&mut world, 1, 0, 2, 1.0);
        (render.elastic, render.urgency) = (None, Urgency::High);
        (render.cpus, render.estimate_s, render.tasks) = (8.0, 6.0, 12);
        world.submit(round % CONTROLLERS, render);
        let mut waited = 0;
        while world.stopped == stopped && waited < 400 {
            world.run(world.now.plus(20));
            waited += 1;
        }
        world.crash(round % CONTROLLERS, 2000);
        world.crash((round + 1) % CONTROLLERS, 4000);
        world.run(world.now.plus(20_000));
    }
    finish(world, &job, 120);
}

/// The pool's owner stays away: the pool moves while its members run, and they go on.
#[test]
fn a_pool_moves_while_its_members_run() {
    let (mut world, job) = begun(27, 150, 2, 8, 1.0);
    let (_, machine) = members(&world, &job).first().cloned().expect("members run");
    let worker = &world.workers[&machine];
    let key = format!("cf/pool/{}/{}", worker.machine_type, worker.zone);
    let holder = world.store.get(&key).expect("the pool is held");
    let record: records::HolderRecord = serde_json::from_str(holder.value.get()).expect("a pool");
    let owner = (0..CONTROLLERS).find(|i| controller_id(*i) == record.owner).expect("a node");
    world.crash(owner, 20_000);
    world.run(world.now.plus(15_000));
    assert!(world.store.get(&key).expect("held").version > holder.version, "it did not move");
    finish(world, &job, 150);
}

/// Cancelled at every moment of its growth: nothing of it starts or counts afterwards.
#[test]
fn grow_and_cancel_at_the_same_moment() {
    for after in [300, 700, 1200, 2500, 5000, 9000] {
        let mut world = World::sized(28, false, Size { most_jobs: 0, ..Size::SMALL });
        world.run(Ms(12_000));
        let job = submit(&mut world, 400, 0, 12, 1.0);
        world.run(world.now.plus(after));
        world.jobs.get_mut(&job).expect("known").cancel_asked = true;
        world.ask(2, Asked::Withdraw(job.clone()), Request::Withdraw(job.clone()));
        world.run(world.now.plus(5000));
        let on_reply = world.jobs[&job].cancel_confirmed.is_some();
        assert!(on_reply, "after {after}: not told");
        let finished = world.steps.finished(&job);
        world.run(world.now.plus(60_000));
        assert!(world.broken.is_empty(), "after {after}: {:#?}", world.broken);
        assert_eq!(world.steps.finished(&job), finished, "after {after}: a step counted");
        assert!(members(&world, &job).is_empty());
        let left = world.store.list(&format!("cf/e/{job}/"), None, 9).items.len();
        assert_eq!(left, 0, "after {after}: its progress stays behind");
    }
}
