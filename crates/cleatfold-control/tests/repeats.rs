//! Heartbeats with exactly the same task list as the previous one, which must still be answered with commands if
//! necessary, and heartbeats of an earlier session about an attempt that was started again.

mod scenario;

use cleatfold_testbed::world::{SimulationEvent, Size, World, CONTROLLERS};
use cleatfold_wire::job::{JobSpec, Kind, Urgency};
use cleatfold_wire::worker::{Exit, TaskState};
use cleatfold_wire::*;
use scenario::cancel;

fn region(seed: u64) -> World {
    World::sized(seed, false, Size { most_jobs: 0, ..Size::SMALL })
}

/// A job whose tasks run for 300 s without a change in the heartbeats.
fn long_job(world: &mut World, tasks: u32, cpus: f64) -> JobSpec {
    let mut spec = world.some_job();
    (spec.team, spec.urgency, spec.kind) = (TeamId::new("free"), Urgency::Normal, Kind::Array);
    (spec.tasks, spec.cpus, spec.memory_gb, spec.estimate_s) = (tasks, cpus, 0.1, 300.0);
    (spec.one_zone, spec.spread, spec.types, spec.zone) = (false, false, None, None);
    (spec.spot, spec.checkpoint_s, spec.elastic) = (true, 0.0, None);
    spec
}

/// A cancellation changes only the job's own record. The claims of a multi-part job are in the records of its parts, so the
/// claims of no machine change. Guards against workers with unchanged heartbeats that were not ordered to stop.
#[test]
fn cancelled_multi_part_job_stops_despite_unchanged_heartbeats() {
    for (seed, tasks) in [(1, 20), (2, 300)] {
        let mut world = region(seed);
        world.run(Ms(4000));
        let spec = long_job(&mut world, tasks, if tasks > 256 { 0.2 } else { 1.0 });
        let job = world.submit(0, spec);
        world.run(Ms(60_000));
        let running_count = |world: &World| world.running.keys().filter(|t| t.job == job).count();
        assert_eq!(running_count(&world), tasks as usize, "all tasks run");
        cancel(&mut world, 1 % CONTROLLERS, &job);
        world.run(Ms(70_000));
        assert!(world.jobs[&job].cancel_confirmed.is_some());
        assert_eq!(
            running_count(&world),
            0,
            "{tasks} tasks: still running after the next heartbeats"
        );
        assert!(world.broken.is_empty(), "{:#?}", world.broken);
    }
}

/// A machine that restarts without its tasks is ordered to start them again under the same attempts. A delayed heartbeat
/// of its earlier session that reports these attempts as exited must not end their claims, because the tasks run again.
/// Fails if heartbeats are processed regardless of their order.
#[test]
fn stale_exit_does_not_end_restarted_attempt() {
    for exit in [Exit::Stopped, Exit::InsufficientResources, Exit::Busy, Exit::Unknown, Exit::Error]
    {
        let mut world = region(3);
        world.run(Ms(4000));
        let spec = long_job(&mut world, 1, 1.0);
        let job = world.submit(0, spec);
        world.run(Ms(30_000));
        let task = TaskId { job: job.clone(), ix: TaskIx(0) };
        let machine = world.running.get(&task).expect("it runs").clone();
        let pool = world.pool_of(&machine).expect("the machine has a pool");
        let owner = world.holder(&pool).expect("the pool has an owner");
        let claims = world.claims();
        // A heartbeat that did not arrive in time, according to which the task had exited.
        let mut late_heartbeat =
            world.workers.get_mut(&machine).expect("the machine exists").heartbeat();
        for reported in &mut late_heartbeat.tasks {
            (reported.state, reported.why) = (TaskState::Exited, Some(exit));
        }
        world.anew(&machine);
        assert!(!world.running.contains_key(&task));
        world.run(Ms(36_000));
        assert_eq!(world.running.get(&task), Some(&machine), "started again");
        assert_eq!(world.claims(), claims, "under the same attempt");
        for controller in [owner, (owner + 1) % CONTROLLERS] {
            world.at(0, SimulationEvent::Copy(controller, Box::new(late_heartbeat.clone())));
        }
        world.run(Ms(50_000));
        assert_eq!(world.claims(), claims, "{exit:?}");
        assert_eq!(world.running.get(&task), Some(&machine));
        assert!(world.broken.is_empty(), "{:#?}", world.broken);
    }
}
