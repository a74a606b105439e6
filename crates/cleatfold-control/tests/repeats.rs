//! Reports that repeat the last one's list of tasks, letter by letter: what calls for a command all the same. And
//! reports of an earlier session, about an attempt that has been started once more.

mod scenario;

use cleatfold_testbed::world::{SimulationEvent, Size, World, CONTROLLERS};
use cleatfold_wire::job::{JobSpec, Kind, Urgency};
use cleatfold_wire::worker::{Exit, TaskState};
use cleatfold_wire::*;
use scenario::cancel;

fn region(seed: u64) -> World {
    World::sized(seed, false, Size { most_jobs: 0, ..Size::SMALL })
}

/// Tasks that run for minutes and say nothing new meanwhile.
fn long(world: &mut World, tasks: u32, cpus: f64) -> JobSpec {
    let mut spec = world.some_job();
    (spec.team, spec.urgency, spec.kind) = (TeamId::new("free"), Urgency::Normal, Kind::Array);
    (spec.tasks, spec.cpus, spec.memory_gb, spec.estimate_s) = (tasks, cpus, 0.1, 300.0);
    (spec.one_zone, spec.spread, spec.types, spec.zone) = (false, false, None, None);
    (spec.spot, spec.checkpoint_s, spec.elastic) = (true, 0.0, None);
    spec
}

/// A job's cancellation changes its record alone, not those of its parts, where the claims of a job in parts are:
/// no machine's claims change, and its workers, that repeat themselves, were not told to stop.
#[test]
fn a_cancelled_job_in_parts_is_stopped_on_machines_that_repeat_themselves() {
    for (seed, tasks) in [(1, 20), (2, 300)] {
        let mut world = region(seed);
        world.run(Ms(4000));
        let spec = long(&mut world, tasks, if tasks > 256 { 0.2 } else { 1.0 });
        let job = world.submit(0, spec);
        world.run(Ms(60_000));
        let runs = |world: &World| world.running.keys().filter(|t| t.job == job).count();
        assert_eq!(runs(&world), tasks as usize, "all of it runs");
        cancel(&mut world, 1 % CONTROLLERS, &job);
        world.run(Ms(70_000));
        assert!(world.jobs[&job].cancel_confirmed.is_some());
        assert_eq!(runs(&world), 0, "{tasks} tasks: still there after the next reports");
        assert!(world.broken.is_empty(), "{:#?}", world.broken);
    }
}

/// A machine that comes back without its tasks is ordered them again under the same attempts. What it had said of these
/// attempts in its earlier session, and comes only now, ends nothing: the claims are those of tasks that run. (Seen to
/// fail when reports are taken in whatever order they come.)
#[test]
fn an_exit_of_an_earlier_session_ends_no_attempt_that_was_started_again() {
    for exit in [Exit::Stopped, Exit::InsufficientResources, Exit::Busy, Exit::Unknown, Exit::Error]
    {
        let mut world = region(3);
        world.run(Ms(4000));
        let spec = long(&mut world, 1, 1.0);
        let job = world.submit(0, spec);
        world.run(Ms(30_000));
        let task = TaskId { job: job.clone(), ix: TaskIx(0) };
        let machine = world.running.get(&task).expect("it runs").clone();
        let pool = world.pool_of(&machine).expect("it is there");
        let owner = world.holder(&pool).expect("held");
        let claims = world.claims();
        // Never arrived: the task had ended by itself.
        let mut late = world.workers.get_mut(&machine).expect("there").heartbeat();
        for told in &mut late.tasks {
            (told.state, told.why) = (TaskState::Exited, Some(exit));
        }
        world.anew(&machine);
        assert!(!world.running.contains_key(&task));
        world.run(Ms(36_000));
        assert_eq!(world.running.get(&task), Some(&machine), "started once more");
        assert_eq!(world.claims(), claims, "under the same attempt");
        for controller in [owner, (owner + 1) % CONTROLLERS] {
            world.at(0, SimulationEvent::Copy(controller, Box::new(late.clone())));
        }
        world.run(Ms(50_000));
        assert_eq!(world.claims(), claims, "{exit:?}");
        assert_eq!(world.running.get(&task), Some(&machine));
        assert!(world.broken.is_empty(), "{:#?}", world.broken);
    }
}
