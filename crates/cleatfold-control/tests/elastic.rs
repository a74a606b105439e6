//! Elastic jobs in the simulated region under the faults they must tolerate, one by one and combined. The simulation
//! checks each transaction that finishes a step and each reply to a member.

use cleatfold_control::{records, Request};
use cleatfold_testbed::world::{controller_id, Asked, SimulationEvent, Size, World, CONTROLLERS};
use cleatfold_wire::job::{Elastic, JobSpec, Urgency};
use cleatfold_wire::*;

fn elastic_job(world: &mut World, steps: u32, least: u32, most: u32, step_s: f64) -> JobSpec {
    let mut spec = world.some_job();
    (spec.tasks, spec.cpus, spec.memory_gb) = (most, 1.0, 1.0);
    (spec.team, spec.one_zone, spec.spread, spec.types) = (TeamId::new("free"), false, false, None);
    (spec.spot, spec.urgency) = (true, Urgency::Normal);
    spec.elastic = Some(Elastic { steps, min_members: least, step_s });
    spec
}

fn submit(world: &mut World, steps: u32, least: u32, most: u32, step_s: f64) -> JobId {
    let spec = elastic_job(world, steps, least, most, step_s);
    world.submit(0, spec)
}

/// A region without faults or users of its own, with one elastic job that has finished a third of its steps.
fn region_with_running_job(
    seed: u64,
    steps: u32,
    least: u32,
    most: u32,
    step_s: f64,
) -> (World, JobId) {
    let mut world = World::sized(seed, false, Size { most_jobs: 0, ..Size::SMALL });
    world.run(Ms(3000));
    let job = submit(&mut world, steps, least, most, step_s);
    let (mut polls, third) = (0, steps / 3);
    while world.steps.finished(&job) < third {
        world.run(world.now.plus(50));
        polls += 1;
        assert!(polls < 4000, "the job makes no progress: {}", world.steps.finished(&job));
    }
    (world, job)
}

fn members(world: &World, job: &JobId) -> Vec<(TaskId, MachineId)> {
    let of_job = world.running.iter().filter(|(t, _)| t.job == *job);
    of_job.map(|(t, m)| (t.clone(), m.clone())).collect()
}

/// Runs until the job should have ended, and checks that it did and that all its steps were finished,
/// each by one member.
fn finish(mut world: World, job: &JobId, steps: u32) -> World {
    world.run(world.now.plus(400_000));
    assert!(world.broken.is_empty(), "{:#?}", world.broken);
    assert_eq!(world.steps.finished(job), steps);
    assert!(!world.unfinished().contains(job), "the job has not ended");
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
fn each_step_counts_once_under_combined_faults() {
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
            // The simulated users cancel some of the jobs.
            if !world.jobs[job].cancel_asked {
                assert!(!left.contains(job), "seed {seed}: {job} has not ended");
                assert_eq!(world.steps.finished(job), *steps, "seed {seed}: {job}");
            }
        }
        redone += world.steps.redone();
    }
    assert!(redone > 0, "no step was repeated: no fault hit a member");
}

/// The coordinator crashes after it recorded steps and before it replied: the members report the same steps to another
/// controller, which must count each step once, for the member that finished it.
#[test]
fn coordinator_crashes_before_reply() {
    let (mut world, job) = region_with_running_job(21, 120, 2, 6, 1.0);
    for _ in 0..4 {
        let (before, mut polls) = (world.steps.changes, 0);
        while world.steps.changes == before && world.steps.finished(&job) < 120 {
            // Advances by 1 ms, so that the coordinator crashes before its reply is sent.
            world.run(world.now.plus(1));
            polls += 1;
            assert!(polls < 60_000, "the job makes no progress: {}", world.steps.finished(&job));
        }
        let coordinator = coordinator_of(&world, &job);
        world.crash(coordinator, 2500);
        world.run(world.now.plus(9000));
    }
    finish(world, &job, 120);
}

/// Machines hang for less than their lease and for longer than it, and then continue.
#[test]
fn hung_member_continues() {
    let (mut world, job) = region_with_running_job(22, 90, 2, 6, 1.0);
    for hang_ms in [6000, 14_000, 45_000] {
        if let Some((_, machine)) = members(&world, &job).first().cloned() {
            let until = world.now.plus(hang_ms);
            world.hung.insert(machine, until);
        }
        world.run(world.now.plus(hang_ms / 2));
    }
    finish(world, &job, 90);
}

/// A machine is lost without notice during a step: only the steps at work on that machine are repeated.
#[test]
fn lost_machine_repeats_only_its_steps() {
    let (mut world, job) = region_with_running_job(23, 80, 3, 3, 2.0);
    let (_, machine) = members(&world, &job).first().cloned().expect("members run");
    let members_there = members(&world, &job).iter().filter(|m| m.1 == machine).count();
    world.handle_event(SimulationEvent::Die(machine));
    let world = finish(world, &job, 80);
    // One step in progress, and one finished but not yet reported, for each member on the machine.
    assert!(world.steps.redone() <= 2 * members_there, "{} repeated", world.steps.redone());
}

/// The state service is unavailable for many steps; the members continue with the steps they were granted.
#[test]
fn members_continue_during_store_outage() {
    let (mut world, job) = region_with_running_job(24, 90, 2, 6, 1.0);
    let until = world.now.plus(15_000);
    world.handle_event(SimulationEvent::Outage { until });
    let before = world.steps.worked.len();
    world.run(until);
    assert!(world.steps.worked.len() > before, "members made no progress");
    finish(world, &job, 90);
}

/// Jobs of higher urgency take all machines, so that the elastic job has no members left. All controllers then restart, and
/// the job must continue from its previous progress.
#[test]
fn job_without_members_keeps_progress_across_restart() {
    let (mut world, job) = region_with_running_job(25, 90, 0, 8, 1.0);
    for _ in 0..40 {
        let mut urgent_job = elastic_job(&mut world, 1, 0, 2, 1.0);
        (urgent_job.elastic, urgent_job.urgency) = (None, Urgency::High);
        (urgent_job.cpus, urgent_job.estimate_s, urgent_job.tasks) = (8.0, 30.0, 1);
        world.submit(1, urgent_job);
    }
    let mut polls = 0;
    while !members(&world, &job).is_empty() {
        world.run(world.now.plus(100));
        polls += 1;
        assert!(polls < 400, "members were not preempted");
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

/// Two controllers restart while members are being stopped for a job of higher urgency.
#[test]
fn two_controllers_restart_while_job_shrinks() {
    let (mut world, job) = region_with_running_job(26, 120, 0, 8, 2.0);
    for round in 0..3 {
        let stopped = world.stopped;
        let mut urgent_job = elastic_job(&mut world, 1, 0, 2, 1.0);
        (urgent_job.elastic, urgent_job.urgency) = (None, Urgency::High);
        (urgent_job.cpus, urgent_job.estimate_s, urgent_job.tasks) = (8.0, 6.0, 12);
        world.submit(round % CONTROLLERS, urgent_job);
        let mut polls = 0;
        while world.stopped == stopped && polls < 400 {
            world.run(world.now.plus(20));
            polls += 1;
        }
        world.crash(round % CONTROLLERS, 2000);
        world.crash((round + 1) % CONTROLLERS, 4000);
        world.run(world.now.plus(20_000));
    }
    finish(world, &job, 120);
}

/// The pool's owner stays down, so that the pool moves to another controller while members run on it; they continue.
#[test]
fn members_continue_when_pool_moves() {
    let (mut world, job) = region_with_running_job(27, 150, 2, 8, 1.0);
    let (_, machine) = members(&world, &job).first().cloned().expect("members run");
    let worker = &world.workers[&machine];
    let key = format!("cf/pool/{}/{}", worker.machine_type, worker.zone);
    let holder = world.store.get(&key).expect("the pool has an owner");
    let record: records::HolderRecord = serde_json::from_str(holder.value.get()).expect("a pool");
    let owner = (0..CONTROLLERS).find(|i| controller_id(*i) == record.owner).expect("a node");
    world.crash(owner, 20_000);
    world.run(world.now.plus(15_000));
    assert!(
        world.store.get(&key).expect("the pool has an owner").version > holder.version,
        "the pool did not move"
    );
    finish(world, &job, 150);
}

/// A job is cancelled at various moments of its growth: no member starts and no step counts afterwards.
#[test]
fn cancellation_during_growth_stops_job() {
    for after_ms in [300, 700, 1200, 2500, 5000, 9000] {
        let mut world = World::sized(28, false, Size { most_jobs: 0, ..Size::SMALL });
        world.run(Ms(12_000));
        let job = submit(&mut world, 400, 0, 12, 1.0);
        world.run(world.now.plus(after_ms));
        world.jobs.get_mut(&job).expect("known").cancel_asked = true;
        world.ask(2, Asked::Withdraw(job.clone()), Request::Withdraw(job.clone()));
        world.run(world.now.plus(5000));
        let confirmed = world.jobs[&job].cancel_confirmed.is_some();
        assert!(confirmed, "after {after_ms} ms: not confirmed");
        let finished = world.steps.finished(&job);
        world.run(world.now.plus(60_000));
        assert!(world.broken.is_empty(), "after {after_ms} ms: {:#?}", world.broken);
        assert_eq!(world.steps.finished(&job), finished, "after {after_ms} ms: a step counted");
        assert!(members(&world, &job).is_empty());
        let left = world.store.list(&format!("cf/e/{job}/"), None, 9).items.len();
        assert_eq!(left, 0, "after {after_ms} ms: its progress records remain");
    }
}
