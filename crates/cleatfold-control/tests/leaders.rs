//! Repeated leader changes and the absence of all controllers, under load from users and workers.
//!
//! Most of these tests fail if job changes are not guarded by the job's version, or task ends not by the pool's version.
//! They pass without the owners' incarnation, without the pool's version in pool assignments, without the check that a
//! worker has seen the fencing token, and without a poll's wait for a later read: `claims.rs`, `late_reports.rs`,
//! `late_transactions.rs`, `seen_token.rs` and `world.rs` test these.

mod scenario;

use cleatfold_testbed::world::{Blink, Moment, SimulationEvent, Step, Who, World, CONTROLLERS};
use cleatfold_wire::*;
use scenario::*;

/// A region under load from users, run until the leader has assigned the pools.
fn busy_region(seed: u64, until: Ms) -> World {
    let mut world = region(seed, 18);
    world.keep_busy(until);
    world.run(Ms(25_000));
    assert!(world.running.len() > 10, "seed {seed}: {} tasks run", world.running.len());
    world
}

// ---- repeated leader changes ----

/// The leader crashes ten times in two minutes and restarts within seconds, while users submit and cancel. Fails without a
/// lease on the role's key.
#[test]
fn ten_leader_changes_keep_jobs_consistent() {
    for seed in 1..4 {
        let mut world = busy_region(seed, Ms(150_000));
        world.ten_leaders(Ms(145_000));
        world.run(Ms(160_000));
        let (ended, epochs) = (world.leaders.ended.len(), world.leaders.epochs.len());
        assert_eq!(
            (ended, epochs),
            (10, 10),
            "seed {seed}: leader crashes and the epochs they ended"
        );
        let cancelled = world.jobs.values().filter(|j| j.cancel_confirmed.is_some()).count();
        assert!(cancelled > 10, "seed {seed}: {cancelled} cancelled");
        assert_all_jobs_end_and_are_reported(&mut world, 300_000, &format!("seed {seed}"));
    }
}

/// The same, with the state service unavailable for a third of the time: a restarted leader can't read what its former
/// process owned.
#[test]
fn ten_leader_changes_survive_store_outage() {
    let mut crashes_in_outage = 0;
    for seed in 11..14 {
        let mut world = busy_region(seed, Ms(150_000));
        world.ten_leaders(Ms(145_000));
        let (from, until) = (Ms(45_000), Ms(85_000));
        world.run(from);
        world.handle_event(SimulationEvent::Outage { until });
        world.run(Ms(160_000));
        assert_eq!(world.leaders.ended.len(), 10, "seed {seed}");
        crashes_in_outage +=
            world.leaders.ended.iter().filter(|at| **at > from && **at < until).count();
        assert_all_jobs_end_and_are_reported(&mut world, 300_000, &format!("seed {seed}"));
    }
    assert!(crashes_in_outage >= 9, "only {crashes_in_outage} leader crashes in an outage");
}

/// Jobs of two or three tasks whose first task ends in seconds and whose last one ends after more than a minute, with
/// several leader changes in between.
#[test]
fn small_jobs_outlast_several_leaders() {
    let mut world = region(15, 18);
    world.run(Ms(4_000));
    for n in 0..12u32 {
        let tasks = 2 + n % 2;
        let spec = plain_job(&mut world, tasks, 30.0);
        for ix in 0..tasks {
            let runs_ms = [5_000, 75_000, 40_000][ix as usize] + 400 * u64::from(n);
            world
                .fault_schedule
                .runs
                .insert(TaskId { job: spec.id.clone(), ix: TaskIx(ix) }, runs_ms);
        }
        world.submit(n as usize % CONTROLLERS, spec);
    }
    world.run(Ms(12_000));
    world.ten_leaders(Ms(132_000));
    let mut first_ends: std::collections::BTreeMap<JobId, Ms> = Default::default();
    let mut outlasted: std::collections::BTreeMap<JobId, usize> = Default::default();
    while world.now < Ms(140_000) && world.broken.is_empty() {
        run_while_polling(&mut world, 500);
        for (job, watch) in &world.jobs {
            let task_count = watch.spec.as_ref().map_or(0, |s| s.tasks as usize);
            if !watch.done.is_empty() {
                first_ends.entry(job.clone()).or_insert(world.now);
            }
            if let (true, Some(first)) = (watch.done.len() == task_count, first_ends.get(job)) {
                let leader_crashes = world.leaders.ended.iter().filter(|at| *at > first).count();
                outlasted.entry(job.clone()).or_insert(leader_crashes);
            }
        }
    }
    let outlasting_jobs = outlasted.values().filter(|leaders| **leaders >= 3).count();
    assert!(
        outlasting_jobs >= 10,
        "leader crashes between a job's first and last task end: {outlasted:?}"
    );
    assert_all_jobs_end_and_are_reported(&mut world, 200_000, "seed 15");
}

// ---- no controller running ----

/// No controller runs for longer than the workers' lease, so each machine continues in its next session. The controllers
/// restart at intervals of up to 12 s and receive delayed copies of heartbeats from before.
#[test]
fn controllers_absent_beyond_worker_lease() {
    for (n, interval_ms) in [0, 300, 4_000, 12_000].into_iter().enumerate() {
        for late_writes in [false, true] {
            let seed = 21 + 2 * n as u64 + u64::from(late_writes);
            let what = format!("seed {seed}, restarts {interval_ms} ms apart");
            let mut world = busy_region(seed, Ms(60_000));
            let lease_ms = world.size.lease_ms;
            world.copies(0.5, (2_000, 4 * lease_ms), Ms(60_000));
            if late_writes {
                world.late_writes(0.3, true, Ms(60_000));
            }
            let dropped = world.dropped;
            world.all_away(lease_ms + 2_000 + 3_000 * n as u64, interval_ms);
            run_for(&mut world, lease_ms + 1_500);
            assert_eq!(world.running.len(), 0, "{what}: a lease has not expired");
            assert!(world.dropped > dropped + 10, "{what}: only {} lost", world.dropped - dropped);
            assert_all_jobs_end_and_are_reported(&mut world, 400_000, &what);
            let away_ms = world.leaders.longest_away_ms;
            assert!(away_ms > lease_ms, "{what}: absent for {away_ms} ms");
        }
    }
}

// ---- all controllers crash, one restarts ----

/// A run in which the leader crashes once and the workers of a zone can't reach their owner. The given fault is injected
/// at one occurrence of a step.
fn run_with_fault(seed: u64, blink: Blink) -> World {
    let mut world = region(seed, 12);
    world.quick_restarts.plan = Some(blink);
    for (at, tasks, team) in [(4_000, 14, "free"), (9_000, 8, "tight"), (13_000, 10, "free")] {
        world.run(Ms(at));
        let controller =
            (0..CONTROLLERS).find(|i| world.controllers[*i].as_ref().is_some_and(|n| n.is_ready()));
        let mut spec = plain_job(&mut world, tasks, 7.0);
        spec.team = TeamId::new(team);
        if let Some(controller) = controller {
            world.submit(controller, spec);
        }
    }
    if let Some((leader, _)) = world.leader() {
        world.crash(leader, 6_000);
    }
    world.run(Ms(24_000));
    cut_owner_from_workers(&mut world, Ms(36_000));
    world.run(Ms(36_000));
    world.mesh_off = false;
    world
}

/// Cuts the workers of a busy zone off from their owner, without the controllers learning of it, so that the workers'
/// pools are taken over by the controller that the workers reach.
fn cut_owner_from_workers(world: &mut World, until: Ms) {
    let Some(pool) = world.workers.keys().next().and_then(|m| world.pool_of(m)) else { return };
    let Some(owner) = world.holder(&pool) else { return };
    world.mesh_off = true;
    world.faults.cuts.insert(owner, (until, Some(pool.zone)));
}

/// Returns how often the step occurs in a run without the injected fault.
fn count_occurrences(seed: u64, step: Step) -> u32 {
    let no_fault = Blink { step, nth: u32::MAX, who: Who::All, moment: Moment::Before };
    let mut world = run_with_fault(seed, no_fault);
    assert_all_jobs_end(&mut world, 200_000, "no fault");
    let count = world.quick_restarts.seen.get(&step).copied().unwrap_or_default();
    assert!(count > 0, "the run has no {step:?}");
    count
}

/// Crashes all controllers at the given occurrences of the step, with each controller in turn restarting at once. Returns
/// how many of these faults were injected.
fn count_injected_faults(
    seed: u64,
    step: Step,
    occurrences: impl IntoIterator<Item = u32>,
) -> usize {
    let mut applied_faults = 0;
    for nth in occurrences {
        for restarted in 0..CONTROLLERS {
            for moment in [Moment::Before, Moment::Late, Moment::After] {
                let blink = Blink { step, nth, who: Who::OneReturns(restarted), moment };
                let mut world = run_with_fault(seed, blink);
                assert_all_jobs_end_and_are_reported(
                    &mut world,
                    200_000,
                    &format!("seed {seed} {blink:?}"),
                );
                applied_faults += usize::from(world.quick_restarts.applied_faults.is_some());
            }
        }
    }
    applied_faults
}

/// All controllers crash while a role is acquired, pools are assigned or a pool is taken over; each controller in turn is
/// the one that restarts.
#[test]
fn all_crash_during_election_and_one_restarts() {
    let seed = 31;
    let mut applied_faults = 0;
    for step in [Step::Elect, Step::PoolAssignment, Step::TakeOver] {
        let count = count_occurrences(seed, step);
        applied_faults +=
            count_injected_faults(seed, step, [1, count / 2, count].into_iter().filter(|n| *n > 0));
    }
    assert!(applied_faults > 60, "only {applied_faults}");
}

/// Every occurrence of every step, for two seeds: all controllers crash 648 and 963 times.
#[test]
#[ignore = "minutes; by hand"]
fn all_crash_at_every_step_and_one_restarts() {
    let steps = [
        Step::Enlist,
        Step::Elect,
        Step::PoolAssignment,
        Step::TakeOver,
        Step::Claim,
        Step::End,
        Step::Slice,
        Step::ScaleOut,
        Step::RentCall,
    ];
    for seed in 33..35 {
        for step in steps {
            let applied_faults =
                count_injected_faults(seed, step, 1..=count_occurrences(seed, step));
            println!("seed {seed} {step:?}: {applied_faults}");
        }
    }
}

/// At each occurrence of a role acquisition, a pool assignment and a take-over, the acting controller or its successor
/// crashes and restarts at once.
#[test]
fn acting_controller_restarts_at_every_election_step() {
    let seed = 32;
    for step in [Step::Elect, Step::PoolAssignment, Step::TakeOver] {
        // The count does not include the occurrences after the faults, while the last jobs end.
        let no_fault = Blink { step, nth: u32::MAX, who: Who::All, moment: Moment::Before };
        let world = run_with_fault(seed, no_fault);
        for nth in 1..=world.quick_restarts.seen.get(&step).copied().unwrap_or_default() {
            for moment in [Moment::Before, Moment::Late, Moment::After] {
                let who = Who::Controller(nth as usize % 2);
                let blink = Blink { step, nth, who, moment };
                let mut world = run_with_fault(seed, blink);
                assert!(
                    world.quick_restarts.applied_faults.is_some(),
                    "{blink:?} was not injected"
                );
                assert_all_jobs_end_and_are_reported(&mut world, 200_000, &format!("{blink:?}"));
            }
        }
    }
}

/// A new leader has just acquired its role. It and all other controllers crash before or while it reads the role back; one
/// of them restarts within a second.
#[test]
fn all_crash_at_new_leaders_first_reads() {
    for (n, after_ms) in [0, 3, 20, 90, 260, 700].into_iter().enumerate() {
        for offset in 0..CONTROLLERS {
            let seed = 41 + (CONTROLLERS * n + offset) as u64;
            let mut world = busy_region(seed, Ms(45_000));
            let (former, epoch) = world.leader().expect("there is a leader");
            world.crash(former, 7_000);
            while world.leader().is_none_or(|(_, now)| now == epoch) {
                run_for(&mut world, 1);
                assert!(world.now < Ms(40_000), "seed {seed}: no controller takes the role");
            }
            let (leader, _) = world.leader().expect("found above");
            run_for(&mut world, after_ms);
            world.one_returns((leader + offset) % CONTROLLERS, 100 + 150 * n as u64, 11_000);
            assert_all_jobs_end_and_are_reported(
                &mut world,
                300_000,
                &format!("seed {seed}, {after_ms} ms after"),
            );
        }
    }
}

// ---- isolated leader ----

/// The leader loses the state service and its peers, but neither its workers nor its users. Jobs on its machines are
/// cancelled through the next leader: they must stop in time, and the former leader must not answer that they still run.
/// Fails (`ran_cancelled`) only if both the limit on the time without store contact and the release of workers are
/// removed; either alone is enough.
#[test]
fn jobs_of_isolated_leader_are_cancelled_via_successor() {
    for seed in 51..57u64 {
        let mut world = region(seed, 18);
        world.run(Ms(4_000));
        for i in 0..10 {
            let mut spec = plain_job(&mut world, 6, 150.0);
            spec.cpus = 1.0;
            world.submit(i % CONTROLLERS, spec);
            run_for(&mut world, 200);
        }
        world.run(Ms(25_000));
        let (isolated, epoch) = world.leader().expect("there is a leader");
        let until = world.now.plus(70_000);
        world.set_apart(isolated, until, seed % 2 == 0);
        // Without the cloud API, the isolated leader's machines can't be given up and deleted.
        world.cloud_off = seed % 3 == 0;
        let successor = |w: &World| w.leader().filter(|l| l.1 != epoch).map(|l| l.0);
        while successor(&world).is_none() {
            run_for(&mut world, 10);
            assert!(world.now < Ms(32_000), "seed {seed}: no controller takes the role");
        }
        let next = successor(&world).expect("found above");
        assert_ne!(next, isolated, "seed {seed}");
        run_for(&mut world, [0, 40, 400, 2_000][seed as usize % 4]);
        let jobs_on_isolated = |w: &World| {
            let its_tasks = w.running.iter().filter(|(_, m)| w.links_to(m) == Some(isolated));
            its_tasks
                .map(|(task, _)| task.job.clone())
                .collect::<std::collections::BTreeSet<JobId>>()
        };
        let cancelled: Vec<JobId> = jobs_on_isolated(&world).into_iter().take(5).collect();
        assert!(cancelled.len() > 2, "seed {seed}: {} jobs run there", cancelled.len());
        cancelled.iter().for_each(|job| cancel(&mut world, next, job));
        while world.now < until && world.broken.is_empty() {
            run_for(&mut world, 500);
            world.ask_all_at(isolated);
            world.ask_all_at(next);
            for job in &cancelled {
                world.submit_again(isolated, job);
                if world.jobs[job].cancel_confirmed.is_none() {
                    cancel(&mut world, next, job);
                }
            }
        }
        world.cloud_off = false;
        let all_confirmed = cancelled.iter().all(|job| world.jobs[job].cancel_confirmed.is_some());
        assert!(all_confirmed, "seed {seed}: not confirmed");
        assert_all_jobs_end_and_are_reported(&mut world, 500_000, &format!("seed {seed}"));
    }
}

// ---- cancellations while the store refuses the leader ----

/// The state service refuses only the leader. Within milliseconds of that, users cancel jobs at all controllers. A second
/// later the service is unavailable for longer than a cancellation may take. Fails (`ran_cancelled`) without the limit on
/// the time without store contact.
#[test]
fn cancellations_hold_when_store_refuses_leader() {
    let mut confirmed = 0;
    for (n, refusal_offset_ms) in [-12i64, -6, -2, 0, 3, 60].into_iter().enumerate() {
        for mesh_off in [false, true] {
            let seed = 61 + 2 * n as u64 + u64::from(mesh_off);
            let what = format!("seed {seed}, {refusal_offset_ms} ms, mesh off: {mesh_off}");
            let mut world = region(seed, 18);
            world.run(Ms(4_000));
            for i in 0..9 {
                let mut spec = plain_job(&mut world, 5, 150.0);
                spec.cpus = 1.0;
                world.submit(i % CONTROLLERS, spec);
                run_for(&mut world, 200);
            }
            world.run(Ms(25_000));
            let (leader, _) = world.leader().expect("there is a leader");
            let jobs: Vec<JobId> = world.jobs.keys().take(6).cloned().collect();
            let cancel_jobs = |w: &mut World| {
                for (i, job) in jobs.iter().enumerate() {
                    cancel(w, (leader + i) % CONTROLLERS, job);
                }
            };
            let refuse = |w: &mut World| {
                let outage_ms = w.size.cancel_ms + 12_000;
                w.refused_then_outage(leader, 1_000, outage_ms);
            };
            world.mesh_off = mesh_off;
            match refusal_offset_ms < 0 {
                true => {
                    cancel_jobs(&mut world);
                    run_for(&mut world, refusal_offset_ms.unsigned_abs());
                    refuse(&mut world);
                }
                false => {
                    refuse(&mut world);
                    run_for(&mut world, refusal_offset_ms.unsigned_abs());
                    cancel_jobs(&mut world);
                }
            }
            run_for(&mut world, 1_000);
            confirmed +=
                jobs.iter().filter(|job| world.jobs[*job].cancel_confirmed.is_some()).count();
            run_while_polling(&mut world, 60_000);
            world.mesh_off = false;
            // Users without a confirmation cancel again.
            for job in &jobs {
                if world.jobs[job].cancel_confirmed.is_none() {
                    cancel(&mut world, (leader + 1) % CONTROLLERS, job);
                }
            }
            assert_all_jobs_end_and_are_reported(&mut world, 300_000, &what);
        }
    }
    assert!(confirmed > 30, "only {confirmed} were confirmed before the outage");
}
