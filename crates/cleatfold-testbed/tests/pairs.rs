//! A few pairs of troubles, the second around a time that means something to the first; every
//! ordered pair by the command `region --pairs`.

use clap::error::ErrorKind;
use clap::Args;
use cleatfold_control::Request;
use cleatfold_testbed::days::Plan;
use cleatfold_testbed::pairs::{play, Pair};
use cleatfold_testbed::world::{Asked, Fault, SimulationEvent, Size, World};
use cleatfold_wire::{JobId, MachineId, Ms};
use std::collections::BTreeSet;

fn meet(
    pairs: &[(Fault, Fault)],
    seeds: std::ops::Range<u64>,
) -> Vec<cleatfold_testbed::pairs::Met> {
    let plan = Plan::default();
    let mut met = Vec::new();
    for &(a, b) in pairs {
        let (mut seed, mut days) = (seeds.start, 0);
        while days < seeds.end - seeds.start {
            let day = play(&plan, Pair(a, b), seed);
            assert!(
                day.broken.is_empty(),
                "{} seed {seed}: {:#?} after {:#?}",
                day.pair,
                day.broken,
                day.applied_faults
            );
            seed += 1;
            assert!(seed < seeds.end + 4, "{} never met anything that ran: {day:?}", day.pair);
            // A day on which nothing ran as one of them began shows little, and another is played for it.
            if day.running.0.min(day.running.1) == 0 {
                continue;
            }
            days += 1;
            assert!(day.started > 50, "{day:?}");
            assert!(day.longest_ms < 75_000, "{day:?}");
            met.push(day);
        }
    }
    let cancelled: usize = met.iter().map(|m| m.cancelled).sum();
    assert!(cancelled > met.len(), "only {cancelled} cancellations while they lasted");
    met
}

#[test]
fn a_refused_controller_and_an_outage_meet_others() {
    use Fault::*;
    meet(
        &[
            (RefusedThenOutage, Kill),
            (OneWayPartition, RefusedThenOutage),
            (RefusedThenOutage, Freeze),
        ],
        1..2,
    );
    // A repeated request for a rental brought machines back that had been returned.
    meet(&[(RefusedThenOutage, OneWayPartition), (RefusedThenOutage, Copies)], 1..2);
}

#[test]
fn late_writes_meet_others() {
    use Fault::*;
    let met = meet(&[(LateWrites, Kill), (OverAndBack, LateWrites), (LateWrites, Copies)], 1..2);
    assert!(met.iter().map(|m| m.late.0).sum::<u32>() > 20, "{met:#?}");
    meet(&[(LateWrites, HeldOrders)], 1..2);
}

#[test]
fn held_orders_and_controllers_that_end_meet_others() {
    use Fault::*;
    let pairs =
        [(HeldOrders, Apart), (AllButOne, HeldOrders), (OverAndBack, AllButOne), (Slow, Apart)];
    meet(&pairs, 1..2);
}

#[test]
fn close_looks_lost_answers_and_odd_requests_meet_others() {
    use Fault::*;
    let pairs = [(CloseLooks, Kill), (AnswersLost, CloseLooks), (CancelAtEnd, AllBlink)];
    meet(&pairs, 1..2);
    meet(&[(OddRequests, Apart), (Slow, CloseLooks), (RefusedThenOutage, CancelAtEnd)], 1..2);
}

#[test]
fn changing_leaders_and_small_jobs_meet_others() {
    use Fault::*;
    let pairs = [
        (TenLeaders, Outage),
        (AllAway, LateWrites),
        (SmallJobs, TenLeaders),
        (AllAway, SmallJobs),
    ];
    meet(&pairs, 1..2);
}

/// Leaders end and are back, all controllers are away at the same time, and a quarter of many small jobs is cancelled.
#[test]
fn changing_leaders_and_small_jobs_do_what_they_say() {
    let mut world = World::sized(5, false, Size { machines: 24, ..Size::SMALL });
    world.run(Ms(20_000));
    world.small_jobs(Ms(140_000));
    world.ten_leaders(Ms(140_000));
    world.run(Ms(140_000));
    assert_eq!((world.leaders.ended.len(), world.leaders.epochs.len()), (10, 10));
    let (submitted, cancelled) = (world.small.submitted, world.small.cancelled);
    assert!((460..=480).contains(&submitted), "{submitted}");
    assert!((submitted / 6..submitted / 3).contains(&cancelled), "{cancelled} of {submitted}");
    let lease_ms = world.size.times().lease_ms;
    world.all_away(lease_ms + 3_000, 2_000);
    // Nothing else starts one of them before.
    world.handle_event(SimulationEvent::Restart(0));
    run_for(&mut world, lease_ms + 2_900);
    assert_eq!(world.controllers.iter().flatten().count(), 0);
    run_for(&mut world, 200);
    assert_eq!(world.controllers.iter().flatten().count(), 1);
    run_for(&mut world, 4_000);
    assert_eq!(world.controllers.iter().flatten().count(), 3);
    assert_eq!(world.leaders.longest_away_ms, lease_ms + 3_000);
}

fn run_for(world: &mut World, ms: u64) {
    let until = world.now.plus(ms);
    world.run(until);
}

#[test]
fn late_commands_and_old_reports_meet_others() {
    use Fault::*;
    meet(&[(ReportsForNextLeader, Kill), (Mute, Kill), (CancelNow, OverAndBack)], 1..2);
    meet(&[(Mute, ReportsForNextLeader), (StoreCut, CancelNow)], 1..2);
    let met = meet(&[(LateCommands, Apart), (Freeze, LateCommands)], 1..2);
    assert!(met.iter().all(|m| m.late.1 > 0), "no command was late: {met:#?}");
}

/// Commands that are late, reports for the next leader, machines that reach nobody, and machines that hang while their
/// jobs are cancelled each make their mark.
#[test]
fn faults_of_commands_and_reports_do_what_they_say() {
    let busy = |size: Size| {
        let mut world = World::sized(4, false, size);
        world.keep_busy(Ms(60_000));
        world.run(Ms(25_000));
        assert!(world.running.len() > 20);
        world
    };
    let size = Size { machines: 24, ..Size::SMALL };
    // Where there is little room, tasks are stopped by direct commands for others.
    let mut world = busy(Size { machines: 9, ..Size::SMALL });
    world.submit_elastic();
    world.late_commands(1.0, Ms(60_000));
    world.run(Ms(80_000));
    let faults = &world.command_faults;
    assert!(faults.late > 0 && faults.held.len() == faults.late as usize, "{}", faults.late);
    assert!(faults.held.iter().all(|h| (2_000..16_000).contains(&h.due.since(h.sent))));
    let mut world = busy(size);
    world.reports_for_next_leader(1.0, Ms(60_000));
    world.run(Ms(27_000));
    assert_eq!(world.command_faults.delivered, 0);
    let most = world.most().expect("somebody holds machines");
    world.crash(most, 5_000);
    world.run(Ms(37_000));
    assert!(world.command_faults.delivered > 20 && world.faults.copied > 20);
    let mut world = busy(size);
    let machine = world.running.values().next().expect("a busy machine").clone();
    let agent_epoch = world.workers[&machine].agent_epoch;
    world.mute(&machine, Ms(45_000));
    world.run(Ms(36_000));
    assert!(world.workers.get(&machine).is_none_or(|w| w.agent_epoch > agent_epoch));
    assert!(world.running.values().all(|m| *m != machine));
    let mut world = busy(size);
    world.cancel_now(5, Some(6_000));
    let asked = |w: &World| w.jobs.values().filter(|j| j.cancel_asked).count();
    let (before, hung) = (asked(&world), world.command_faults.hung);
    world.run(Ms(25_200));
    assert!(asked(&world) >= before + 4 && (1..=8).contains(&hung), "{hung} hang");
    world.run(Ms(70_000));
    assert!(world.cancel_watch.went_on_count > 0, "nothing went on after its machine hung");
    assert!(world.broken.is_empty(), "{:#?}", world.broken);
}

/// Every kind makes a mark of its own on the world.
#[test]
fn the_faults_do_what_they_say() {
    let busy = || {
        let mut world = World::sized(4, false, Size { machines: 24, ..Size::SMALL });
        world.keep_busy(Ms(60_000));
        world.run(Ms(25_000));
        assert!(world.running.len() > 20);
        world
    };
    let refused = {
        let mut world = busy();
        let most = world.most().expect("somebody holds machines");
        world.refused_then_outage(most, 2_000, 45_000);
        assert!(world.store_cut[most] == Ms(27_000) && world.outage == Ms(0));
        world.run(Ms(27_500));
        assert!(world.controllers.iter().flatten().count() == 3 && world.outage == Ms(72_000));
        world.faults_over()
    };
    assert_eq!(refused, Ms(72_000));
    let mut world = busy();
    world.late_writes(1.0, true, Ms(35_000));
    let before = world.conflicts;
    world.run(Ms(50_000));
    assert!(world.meetings.late > 20, "{}", world.meetings.late);
    assert!(world.conflicts > before, "none came after newer ones");
    let mut world = busy();
    world.all_but_one();
    world.run(Ms(28_000));
    assert_eq!(world.controllers.iter().flatten().count(), 1);
    world.run(Ms(57_000));
    assert_eq!(world.controllers.iter().flatten().count(), 3);
    let mut world = busy();
    let most = world.most().expect("somebody holds machines");
    let life = world.lives[most];
    world.handle_event(SimulationEvent::Meets(
        Fault::OverAndBack,
        1_000,
        cleatfold_testbed::world::Aim::Most,
    ));
    world.run(Ms(55_000));
    assert_eq!(world.lives[most], life + 2);
    let mut world = busy();
    world.query_repeatedly_until(Ms(60_000));
    world.lose_answers(0.5, Ms(60_000));
    world.cancel_at_end(1.0, Ms(60_000));
    world.odd_requests(Ms(60_000));
    assert_eq!(world.faults_over(), Ms(60_000));
    world.run(Ms(60_000));
    let marks = &world.answers;
    assert!(marks.looks > 100 && marks.lost_answers > 20, "{} {}", marks.looks, marks.lost_answers);
    assert!(marks.cancelled_at_end > 5 && marks.malformed > 10, "{}", marks.cancelled_at_end);
    assert!(marks.odd_answers.contains_key(&422), "{:?}", marks.odd_answers);
    assert!(world.broken.is_empty(), "{:#?}", world.broken);
    // A machine that hangs past its lease has lost its tasks by then, not before.
    let mut world = busy();
    let machine = world.running.values().next().expect("a busy machine").clone();
    let on = |w: &World| w.running.values().filter(|m| **m == machine).count();
    let renewed = world.workers[&machine].renewed_at;
    world.hang(&machine, 20_000);
    let lease = world.size.times().lease_ms;
    world.run(renewed.plus(lease));
    let held = on(&world);
    world.run(renewed.plus(lease + 10));
    assert!(held > 0 && on(&world) == 0, "{held}");
}

#[test]
fn bad_arguments_are_refused() {
    let parse = |args: &[&str]| {
        let command = Plan::augment_args(clap::Command::new("region"));
        command.try_get_matches_from([&["region"], args].concat())
    };
    assert!(parse(&["--pairs", "--only", "blink,late-writes", "--seeds", "2"]).is_ok());
    assert!(parse(&["--pair", "refused-then-outage,cut"]).is_ok());
    for (args, kind) in [
        (vec!["--seeds", "0"], ErrorKind::ValueValidation),
        (vec!["--nodes", "0"], ErrorKind::ValueValidation),
        (vec!["--teams", "0"], ErrorKind::ValueValidation),
        (vec!["--machines", "0"], ErrorKind::ValueValidation),
        (vec!["--threads", "0"], ErrorKind::ValueValidation),
        (vec!["--only", "blink,nothing"], ErrorKind::InvalidValue),
        (vec!["--pair", "blink"], ErrorKind::ValueValidation),
        (vec!["--pair", "blink,nothing"], ErrorKind::ValueValidation),
        (vec!["--pairs", "--pair", "blink,cut"], ErrorKind::ArgumentConflict),
    ] {
        let error = parse(&args).expect_err(&args.join(" "));
        assert_eq!((error.kind(), error.exit_code()), (kind, 2), "{args:?}");
        assert!(error.to_string().starts_with("error: "), "{error}");
    }
}

/// The controller with most machines is refused alone, users cancel through the others what runs on
/// them, and before its pools are assigned on everybody is refused for longer than a cancellation may
/// take. No peer can tell it either; it must let its workers go in time. Seen to fail (`ran_cancelled`) with
/// the limit for a cut-off owner four times as long.
#[test]
fn what_is_cancelled_between_a_refusal_and_an_outage_is_gone_in_time() {
    for seed in 1..3 {
        let mut world = World::sized(seed, false, Size { machines: 24, ..Size::SMALL });
        world.keep_busy(Ms(25_000));
        world.run(Ms(25_000));
        let refused = world.most().expect("somebody holds machines");
        let holds =
            |w: &World, m: &MachineId| w.pool_of(m).and_then(|p| w.holder(&p)) == Some(refused);
        let jobs: BTreeSet<JobId> = world
            .running
            .iter()
            .filter(|(_, m)| holds(&world, m))
            .map(|(task, _)| task.job.clone())
            .collect();
        world.mesh_off = true;
        world.refused_then_outage(refused, 1_200, 55_000);
        world.run(Ms(25_100));
        let other = (refused + 1) % 3;
        for id in &jobs {
            world.jobs.get_mut(id).expect("known").cancel_asked = true;
            world.ask(other, Asked::Withdraw(id.clone()), Request::Withdraw(id.clone()));
        }
        world.run(Ms(26_300));
        let told = jobs.iter().filter(|id| world.jobs[*id].cancel_confirmed.is_some()).count();
        let on = world.running.iter().filter(|(t, m)| jobs.contains(&t.job) && holds(&world, m));
        assert!(told > 2 && on.count() > 2, "seed {seed}: {told} of {} told", jobs.len());
        world.run(Ms(110_000));
        assert!(world.broken.is_empty(), "seed {seed}: {:#?}", world.broken);
    }
}
