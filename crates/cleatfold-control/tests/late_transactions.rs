//! Transactions that get no answer and are carried out 2 to 12 s later, after newer ones of the same controller: each
//! kind in turn and all together; and each guard of a key's absence, met by a transaction that comes when the key has
//! been there and gone. What was written is read in full by a watcher (`World::audit`). The argument for each kind is
//! in `docs/safety.md`, "Late transactions".

mod scenario;

use cleatfold_control::records::*;
use cleatfold_control::{Request, StoreRequest};
use cleatfold_fakes::store::TxnError;
use cleatfold_roles::Role;
use cleatfold_testbed::world::{
    controller_id, Asked, ImageSettings, Purpose, SimulationEvent, Size, World, CONTROLLERS,
};
use cleatfold_wire::job::{Elastic, JobSpec, JobState, Kind, Urgency};
use cleatfold_wire::store::Txn;
use cleatfold_wire::*;
use scenario::{cancel, run_for};

const FREE: &str = "free";

fn plain(world: &mut World, tasks: u32, cpus: f64, estimate_s: f64) -> JobSpec {
    let mut spec = world.some_job();
    (spec.team, spec.urgency, spec.kind) = (TeamId::new(FREE), Urgency::Normal, Kind::Array);
    (spec.tasks, spec.cpus, spec.memory_gb, spec.estimate_s) = (tasks, cpus, 0.1, estimate_s);
    (spec.one_zone, spec.spread, spec.types, spec.zone) = (false, false, None, None);
    (spec.spot, spec.checkpoint_s, spec.elastic) = (true, 0.0, None);
    spec
}

fn sweep(world: &mut World, steps: u32) -> JobSpec {
    let mut spec = plain(world, 6, 1.0, 10.0);
    spec.elastic = Some(Elastic { steps, min_members: 1, step_s: 1.0 });
    spec
}

fn audited(world: &mut World, until: Ms) {
    while world.now < until {
        run_for(world, 500);
        world.audit();
        assert!(world.broken.is_empty(), "{:#?}", world.broken);
    }
}

/// A day with jobs of all sorts, that end, are cancelled and are submitted again, while each controller falls once.
fn day(seed: u64, kinds: &[Purpose], share: f64, size: Size) -> World {
    let mut world = World::sized(seed, false, size);
    world.poll_everything();
    world.writes_late(kinds.iter().copied(), share, Ms(90_000));
    audited(&mut world, Ms(5_000));
    for controller in 0..CONTROLLERS {
        let large = plain(&mut world, 280, 1.0, 2.0);
        world.submit(controller, large);
        let elastic = sweep(&mut world, 40);
        world.submit((controller + 1) % CONTROLLERS, elastic);
        let until = world.now.plus(12_000);
        audited(&mut world, until);
        world.at(0, SimulationEvent::Crash(controller));
        if let Some(machine) = world.running.values().next().cloned() {
            world.at(3_000, SimulationEvent::Die(machine));
        }
        let until = world.now.plus(12_000);
        audited(&mut world, until);
    }
    audited(&mut world, Ms(130_000));
    // The limited team's work alone may fill its 24 processors for ten minutes.
    while !world.unfinished().is_empty() && world.now < Ms(900_000) {
        let until = world.now.plus(10_000);
        audited(&mut world, until);
    }
    if !world.unfinished().is_empty() {
        world.describe();
    }
    assert_eq!(world.unfinished(), Vec::<JobId>::new(), "seed {seed} {kinds:?}");
    world
}

/// What is written seldom is late more often.
fn share(kind: Purpose) -> f64 {
    let often = [Purpose::Submit, Purpose::Record, Purpose::Part, Purpose::Steps, Purpose::Archive];
    if often.contains(&kind) {
        0.4
    } else {
        0.8
    }
}

/// How many of a kind were late, and how many of those were carried out.
fn late(world: &World, kind: Purpose) -> (u32, u32) {
    world.late.late.get(&kind).copied().unwrap_or_default()
}

#[test]
fn each_kind_in_turn_may_be_late() {
    // Rooms, seats and holders need other regions; clean-up hardly ever has anything to do.
    let seldom = [
        Purpose::Preemptions,
        Purpose::Slots,
        Purpose::Holders,
        Purpose::CleanUp,
        Purpose::ReleaseRole,
    ];
    let some = Size { most_jobs: 110, pause_ms: 500, tasks: (1, 5), ..Size::SMALL };
    // Enough ends that groups of a history fill.
    let many = Size { machines: 30, most_jobs: 700, pause_ms: 130, tasks: (1, 3), ..Size::SMALL };
    for (seed, kind) in Purpose::ALL.into_iter().filter(|k| !seldom.contains(k)).enumerate() {
        let size = if kind == Purpose::History { many } else { some };
        // On some days a kind is not needed while it could be late; another is played then.
        let were = (0..4).any(|again| {
            let world = day(1 + seed as u64 + 50 * again, &[kind], share(kind), size);
            let (were, done) = late(&world, kind);
            println!("{kind:?}: {were} late, {done} carried out");
            were > 0
        });
        assert!(were, "{kind:?} never was late");
    }
}

#[test]
fn all_kinds_together_may_be_late() {
    for seed in 30..34 {
        let world = day(seed, &Purpose::ALL, [0.05, 0.2][seed as usize % 2], Size::SMALL);
        let were: u32 = world.late.late.values().map(|l| l.0).sum();
        assert!(were > 20, "seed {seed}: only {were}");
        println!("seed {seed}: {:?}", world.late.late);
    }
}

/// With large images: seats at the origin, and who holds what; claims end in the middle of fetches.
#[test]
fn slots_and_holders_may_be_late() {
    let (mut seats, mut holders) = (0, 0);
    for (seed, hear) in [(40, 0), (41, 0), (42, 100), (43, 50)] {
        let images = Some(ImageSettings { hear, ..ImageSettings::SMALL });
        let size = Size { machines: 14, most_jobs: 0, images, ..Size::SMALL };
        let mut world = World::sized(seed, false, size);
        world.writes_late([Purpose::Slots, Purpose::Holders], 0.5, Ms(150_000));
        audited(&mut world, Ms(6_000));
        for i in 0..6 {
            let mut spec = plain(&mut world, 12, 8.0, 4.0);
            (spec.image, spec.image_gb) = (ImageId::new(["m1", "m2", "m3"][i % 3]), 6.0);
            let job = world.submit(i % CONTROLLERS, spec);
            let until = world.now.plus(9_000 + 1_700 * i as u64);
            audited(&mut world, until);
            if i % 2 == 0 {
                cancel(&mut world, (i + 1) % CONTROLLERS, &job);
            }
        }
        audited(&mut world, Ms(260_000));
        println!("seed {seed}: {:?}", world.late.late);
        (seats, holders) =
            (seats + late(&world, Purpose::Slots).0, holders + late(&world, Purpose::Holders).0);
        assert_eq!(world.unfinished(), Vec::<JobId>::new(), "seed {seed}");
    }
    assert!(seats > 20 && holders > 3, "{seats} {holders}");
}

// ---- guards of absence, one by one ----

fn quiet(seed: u64) -> World {
    let mut world = World::sized(seed, false, Size { most_jobs: 0, ..Size::SMALL });
    audited(&mut world, Ms(5_000));
    world
}

/// Runs until the next transaction of this kind was kept.
fn keep(world: &mut World, kind: Purpose) {
    world.late.keep = Some(kind);
}

fn kept(world: &mut World) -> Txn {
    for _ in 0..400 {
        if let Some(txn) = world.late.kept.take() {
            return txn;
        }
        run_for(world, 50);
    }
    panic!("nothing was kept");
}

fn wait_for(world: &mut World, most_s: u64, over: impl Fn(&World) -> bool) {
    let from = world.now;
    while !over(world) {
        assert!(world.now.since(from) < most_s * 1000, "it does not happen");
        let until = world.now.plus(500);
        audited(world, until);
    }
}

fn has_ended(world: &World, job: &JobId) -> bool {
    world.store.get(&archive_key(job)).is_some()
}

/// A user who was not answered comes again, to another controller.
fn submit_again(world: &mut World, controller: usize, spec: &JobSpec) {
    let request = Request::Submit(Box::new(spec.clone()));
    world.ask(controller, Asked::Submit(spec.id.clone()), request);
}

/// The first of each of these is guarded by the absence of a key that stays: it comes when somebody has written that.
/// Seen to fail without the version in assigning, which no day misses.
#[test]
fn a_late_one_is_refused_once_its_key_was_written() {
    for kind in [
        Purpose::PoolAssignment,
        Purpose::Slice,
        Purpose::Workspace,
        Purpose::History,
        Purpose::LossLog,
        Purpose::ScaleOutIntents,
        Purpose::OverloadQuota,
    ] {
        let size = Size { machines: 30, most_jobs: 700, pause_ms: 130, ..Size::SMALL };
        let mut world = World::sized(7, false, size);
        keep(&mut world, kind);
        let txn = loop {
            if let Some(txn) = world.late.kept.take() {
                break txn;
            }
            assert!(world.now < Ms(120_000), "no {kind:?}");
            if let Some(machine) = world.running.values().next().cloned() {
                if kind == Purpose::LossLog && world.now.0 % 10_000 < 500 {
                    world.at(0, SimulationEvent::Die(machine));
                }
            }
            run_for(&mut world, 500);
        };
        // A group of a log is written beside its head, which guards it.
        let put: Vec<String> = txn.changes.iter().filter_map(|c| c.put.clone()).collect();
        let guarded = put.iter().filter(|k| txn.guards.iter().any(|g| g.key == **k));
        let guarded: Vec<String> = guarded.cloned().collect();
        assert!(!guarded.is_empty(), "{kind:?} is not guarded by what it writes");
        wait_for(&mut world, 60, |w| guarded.iter().all(|k| w.store.get(k).is_some()));
        let refused = refused_by(&mut world, &txn);
        assert!(guarded.iter().any(|k| refused.contains(k)), "{kind:?}: {refused:?}");
    }
}

/// The kept transaction comes now. Which guards refuse it?
fn comes(world: &mut World, txn: &Txn) -> Result<Version, TxnError> {
    let came = world.store.txn(txn);
    world.audit();
    assert!(world.broken.is_empty(), "{:#?}", world.broken);
    came
}

fn refused_by(world: &mut World, txn: &Txn) -> Vec<String> {
    match comes(world, txn) {
        Err(TxnError::Conflict(keys)) => keys,
        came => panic!("{came:?}"),
    }
}

/// A submission whose answer is missing: it is sent once more, the user comes again, the job ends, and is gone from the
/// live ones. Seen to fail without the guard of the archive's absence (a live record beside the archived one), and
/// without that of the live record's.
#[test]
fn a_late_submission_of_a_job_that_has_ended_is_refused() {
    for cancelled in [false, true] {
        let mut world = quiet(1);
        let spec = plain(&mut world, 2, 1.0, 3.0);
        keep(&mut world, Purpose::Submit);
        let job = world.submit(0, spec.clone());
        let txn = kept(&mut world);
        run_for(&mut world, 1_000);
        assert!(world.jobs[&job].accepted, "sent once more, and told within a second");
        submit_again(&mut world, 1, &spec);
        wait_for(&mut world, 30, |w| w.store.get(&job_key(&job)).is_some());
        assert_eq!(refused_by(&mut world, &txn), [job_key(&job)], "while it lives");
        if cancelled {
            cancel(&mut world, 2, &job);
        }
        wait_for(&mut world, 60, |w| has_ended(w, &job));
        assert_eq!(refused_by(&mut world, &txn), [archive_key(&job)]);
        // And whoever submits it once more is told how it ended.
        submit_again(&mut world, 0, &spec);
        run_for(&mut world, 3_000);
        let state = if cancelled { JobState::Aborted } else { JobState::Done };
        assert_eq!(world.jobs[&job].answered_state, Some(state));
        let until = world.now.plus(20_000);
        audited(&mut world, until);
    }
}

/// Guards of a part's or progress record's absence: the record comes into being by the same change sent again, and
/// goes with the last of its tasks, or once its job is gone. It goes only with a change of its job's record, which
/// refuses the late one.
#[test]
fn a_late_first_change_of_a_part_or_of_steps_is_refused_once_that_is_gone() {
    for (kind, cancelled) in [
        (Purpose::Part, false),
        (Purpose::Part, true),
        (Purpose::Steps, false),
        (Purpose::Steps, true),
    ] {
        let mut world = quiet(2);
        let spec = match kind {
            Purpose::Part => plain(&mut world, 300, 0.25, 1.0),
            _ => sweep(&mut world, 30),
        };
        keep(&mut world, kind);
        let job = world.submit(0, spec);
        let txn = kept(&mut world);
        let absent: Vec<String> =
            txn.guards.iter().filter(|g| g.version == Version(0)).map(|g| g.key.clone()).collect();
        assert!(!absent.is_empty(), "it makes the record");
        wait_for(&mut world, 30, |w| absent.iter().all(|k| w.store.get(k).is_some()));
        if cancelled {
            cancel(&mut world, 1, &job);
        }
        // Gone, one after the other, and at last with the job.
        wait_for(&mut world, 120, |w| absent.iter().all(|k| w.store.get(k).is_none()));
        assert_eq!(refused_by(&mut world, &txn), [job_key(&job)], "{kind:?} {cancelled}");
        wait_for(&mut world, 60, |w| has_ended(w, &job));
        assert_eq!(refused_by(&mut world, &txn), [job_key(&job)], "{kind:?} {cancelled}");
        let until = world.now.plus(40_000);
        audited(&mut world, until);
    }
}

/// A part that is complete goes while its job lives on.
#[test]
fn a_late_first_change_of_a_part_is_refused_while_its_job_lives() {
    let mut world = quiet(3);
    // The second part has few tasks, and is complete long before the first.
    let spec = plain(&mut world, 264, 1.0, 2.0);
    keep(&mut world, Purpose::Part);
    let job = world.submit(0, spec);
    let txn = kept(&mut world);
    let absent: Vec<String> =
        txn.guards.iter().filter(|g| g.version == Version(0)).map(|g| g.key.clone()).collect();
    let part = |w: &World| absent.iter().any(|k| w.store.get(k).is_some());
    wait_for(&mut world, 30, part);
    let complete = |w: &World| {
        let item = w.store.get(&job_key(&job));
        let record: Option<JobRecord> = item.and_then(|i| serde_json::from_str(i.value.get()).ok());
        record.is_none_or(|r| !r.parts_done.is_empty())
    };
    wait_for(&mut world, 120, complete);
    assert!(refused_by(&mut world, &txn).contains(&job_key(&job)));
    wait_for(&mut world, 200, |w| has_ended(w, &job));
}

/// Claims in parts don't change the job's record, so the cancellation of a job of which nothing was claimed, as far as
/// was read, wrote its end as well, beside claims that had just been made elsewhere: their tasks counted against no
/// limit any more until they were stopped. Seen to fail without asking that the cancellation was read.
#[test]
fn a_cancelled_job_in_parts_does_not_end_beside_a_claim_that_was_not_read() {
    let mut world = quiet(6);
    let spec = plain(&mut world, 300, 1.0, 60.0);
    keep(&mut world, Purpose::Part);
    let job = world.submit(0, spec);
    let claim = kept(&mut world);
    let record = world.store.get(&job_key(&job)).expect("accepted").version;
    // Nobody knows yet whether the claim stands; it does, a moment before the cancellation.
    cancel(&mut world, 1, &job);
    let cancelled = |w: &World| {
        w.events.values().any(|e| {
            let SimulationEvent::StoreRequest { request, .. } = e else { return false };
            let StoreRequest::Txn(txn) = request else { return false };
            txn.changes
                .iter()
                .any(|c| [&c.put, &c.delete].into_iter().flatten().any(|key| *key == job_key(&job)))
        })
    };
    for _ in 0..4000 {
        if cancelled(&world) {
            break;
        }
        run_for(&mut world, 1);
    }
    assert_eq!(world.store.get(&job_key(&job)).map(|i| i.version), Some(record), "on its way");
    world.store.txn(&claim).expect("nothing has changed");
    let until = world.now.plus(10_000);
    audited(&mut world, until);
    wait_for(&mut world, 60, |w| has_ended(w, &job));
    let until = world.now.plus(20_000);
    audited(&mut world, until);
}

/// A role that is taken late by a controller that is still there is held once, as any; a controller that is gone has no
/// lease to take it under.
#[test]
fn a_late_role_acquisition_is_refused_or_under_a_valid_lease() {
    for gone in [false, true] {
        let mut world = World::sized(4, false, Size { most_jobs: 0, ..Size::SMALL });
        keep(&mut world, Purpose::AcquireRole);
        let txn = kept(&mut world);
        let key = txn.changes[0].put.clone().expect("a duty");
        wait_for(&mut world, 20, |w| w.store.get(&key).is_some());
        // Somebody has it. It is given back by hand, and nobody has taken it yet when the late one comes.
        let holder: HolderRecord =
            serde_json::from_str(txn.changes[0].value.as_ref().expect("a holder").get()).unwrap();
        let sender = (0..CONTROLLERS).find(|i| controller_id(*i) == holder.owner);
        let sender = sender.expect("a node");
        assert_eq!(
            refused_by(&mut world, &txn),
            std::slice::from_ref(&key),
            "while somebody has it"
        );
        if gone {
            world.crash(sender, 60_000);
            run_for(&mut world, 3_400);
        }
        let mut given_back = Txn::default();
        given_back.delete(key.clone());
        world.store.txn(&given_back).expect("unguarded");
        let came = comes(&mut world, &txn);
        if gone {
            assert_eq!(came, Err(TxnError::NoSuchLease));
        } else {
            let version = came.expect("its lease stands");
            // It holds it again, under a new epoch, and acts on it as ever.
            assert_eq!(world.store.get(&key).map(|i| i.version), Some(version));
        }
        let spec = plain(&mut world, 20, 2.0, 4.0);
        let job = world.submit((sender + 1) % CONTROLLERS, spec);
        wait_for(&mut world, 120, |w| has_ended(w, &job));
        assert!(Role::ALL.iter().all(|d| world.store.get(d.key()).is_some()), "all are held");
    }
}

/// What removes parts without a job must not remove those of a job that is there. (One that was accepted while the
/// controller read everything anew was not in what it had read of the jobs, but its parts were.) Seen to fail without
/// the guard of the job's absence.
#[test]
fn a_late_clean_up_removes_nothing_of_a_live_job() {
    let mut world = quiet(5);
    let spec = plain(&mut world, 300, 1.0, 2.0);
    let (job, part) = (spec.id.clone(), part_key(&spec.id, 0));
    let mut txn = Txn::default();
    txn.put(part.clone(), &TaskTable::default(), None);
    world.store.txn(&txn).expect("unguarded");
    keep(&mut world, Purpose::CleanUp);
    let late = kept(&mut world);
    let record = JobRecord::new(spec, 5);
    let mut txn = Txn::default();
    txn.put(job_key(&job), &record, None);
    world.store.txn(&txn).expect("unguarded");
    let Err(TxnError::Conflict(keys)) = world.store.txn(&late) else {
        panic!("it removed the part")
    };
    assert_eq!(keys, [job_key(&job)]);
}
