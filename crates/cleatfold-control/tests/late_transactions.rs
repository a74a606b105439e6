//! Transactions that get no answer and are executed 2 to 12 s later, after newer ones of the same controller: each kind
//! in turn and all together. Also tests each guard of a key's absence with a transaction that arrives after the key was
//! created and deleted. `World::audit` reads and checks all written records. The argument for each kind is in
//! `docs/safety.md`, "Late transactions".

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

const FREE_TEAM: &str = "free";

fn job_spec(world: &mut World, tasks: u32, cpus: f64, estimate_s: f64) -> JobSpec {
    let mut spec = world.some_job();
    (spec.team, spec.urgency, spec.kind) = (TeamId::new(FREE_TEAM), Urgency::Normal, Kind::Array);
    (spec.tasks, spec.cpus, spec.memory_gb, spec.estimate_s) = (tasks, cpus, 0.1, estimate_s);
    (spec.one_zone, spec.spread, spec.types, spec.zone) = (false, false, None, None);
    (spec.spot, spec.checkpoint_s, spec.elastic) = (true, 0.0, None);
    spec
}

fn elastic_job(world: &mut World, steps: u32) -> JobSpec {
    let mut spec = job_spec(world, 6, 1.0, 10.0);
    spec.elastic = Some(Elastic { steps, min_members: 1, step_s: 1.0 });
    spec
}

fn run_audited(world: &mut World, until: Ms) {
    while world.now < until {
        run_for(world, 500);
        world.audit();
        assert!(world.broken.is_empty(), "{:#?}", world.broken);
    }
}

/// Runs jobs of all kinds that end, are cancelled and are submitted again, while each controller crashes once.
fn run_mixed_jobs(seed: u64, kinds: &[Purpose], share: f64, size: Size) -> World {
    let mut world = World::sized(seed, false, size);
    world.poll_everything();
    world.writes_late(kinds.iter().copied(), share, Ms(90_000));
    run_audited(&mut world, Ms(5_000));
    for controller in 0..CONTROLLERS {
        let large = job_spec(&mut world, 280, 1.0, 2.0);
        world.submit(controller, large);
        let elastic = elastic_job(&mut world, 40);
        world.submit((controller + 1) % CONTROLLERS, elastic);
        let until = world.now.plus(12_000);
        run_audited(&mut world, until);
        world.at(0, SimulationEvent::Crash(controller));
        if let Some(machine) = world.running.values().next().cloned() {
            world.at(3_000, SimulationEvent::Die(machine));
        }
        let until = world.now.plus(12_000);
        run_audited(&mut world, until);
    }
    run_audited(&mut world, Ms(130_000));
    // The jobs of the limited team alone may occupy its 24 processors for ten minutes.
    while !world.unfinished().is_empty() && world.now < Ms(900_000) {
        let until = world.now.plus(10_000);
        run_audited(&mut world, until);
    }
    if !world.unfinished().is_empty() {
        world.describe();
    }
    assert_eq!(world.unfinished(), Vec::<JobId>::new(), "seed {seed} {kinds:?}");
    world
}

/// The share of late transactions of a kind; rarely written kinds have a higher one.
fn late_share(kind: Purpose) -> f64 {
    let frequent_kinds =
        [Purpose::Submit, Purpose::Record, Purpose::Part, Purpose::Steps, Purpose::Archive];
    if frequent_kinds.contains(&kind) {
        0.4
    } else {
        0.8
    }
}

/// The number of late transactions of a kind, and how many of those were executed.
fn late_counts(world: &World, kind: Purpose) -> (u32, u32) {
    world.late.late.get(&kind).copied().unwrap_or_default()
}

#[test]
fn each_late_transaction_kind_is_safe() {
    // Preemptions, slots and holders need other regions; clean-up rarely has work.
    let rare_kinds = [
        Purpose::Preemptions,
        Purpose::Slots,
        Purpose::Holders,
        Purpose::CleanUp,
        Purpose::ReleaseRole,
    ];
    let few_jobs = Size { most_jobs: 110, pause_ms: 500, tasks: (1, 5), ..Size::SMALL };
    // Enough ended jobs to fill groups of a history.
    let many_jobs =
        Size { machines: 30, most_jobs: 700, pause_ms: 130, tasks: (1, 3), ..Size::SMALL };
    for (seed, kind) in Purpose::ALL.into_iter().filter(|k| !rare_kinds.contains(k)).enumerate() {
        let size = if kind == Purpose::History { many_jobs } else { few_jobs };
        // In some runs no transaction of the kind occurs in the faulty period; another seed is tried then.
        let was_late = (0..4).any(|retry| {
            let world =
                run_mixed_jobs(1 + seed as u64 + 50 * retry, &[kind], late_share(kind), size);
            let (late_count, executed) = late_counts(&world, kind);
            println!("{kind:?}: {late_count} late, {executed} executed");
            late_count > 0
        });
        assert!(was_late, "{kind:?} was never late");
    }
}

#[test]
fn mixed_late_transactions_are_safe() {
    for seed in 30..34 {
        let world =
            run_mixed_jobs(seed, &Purpose::ALL, [0.05, 0.2][seed as usize % 2], Size::SMALL);
        let late_count: u32 = world.late.late.values().map(|l| l.0).sum();
        assert!(late_count > 20, "seed {seed}: only {late_count}");
        println!("seed {seed}: {:?}", world.late.late);
    }
}

/// Large images: slots at the origin and image holders; claims end during fetches.
#[test]
fn late_slots_and_holders_are_safe() {
    let (mut slots, mut holders) = (0, 0);
    for (seed, hear) in [(40, 0), (41, 0), (42, 100), (43, 50)] {
        let images = Some(ImageSettings { hear, ..ImageSettings::SMALL });
        let size = Size { machines: 14, most_jobs: 0, images, ..Size::SMALL };
        let mut world = World::sized(seed, false, size);
        world.writes_late([Purpose::Slots, Purpose::Holders], 0.5, Ms(150_000));
        run_audited(&mut world, Ms(6_000));
        for i in 0..6 {
            let mut spec = job_spec(&mut world, 12, 8.0, 4.0);
            (spec.image, spec.image_gb) = (ImageId::new(["m1", "m2", "m3"][i % 3]), 6.0);
            let job = world.submit(i % CONTROLLERS, spec);
            let until = world.now.plus(9_000 + 1_700 * i as u64);
            run_audited(&mut world, until);
            if i % 2 == 0 {
                cancel(&mut world, (i + 1) % CONTROLLERS, &job);
            }
        }
        run_audited(&mut world, Ms(260_000));
        println!("seed {seed}: {:?}", world.late.late);
        (slots, holders) = (
            slots + late_counts(&world, Purpose::Slots).0,
            holders + late_counts(&world, Purpose::Holders).0,
        );
        assert_eq!(world.unfinished(), Vec::<JobId>::new(), "seed {seed}");
    }
    assert!(slots > 20 && holders > 3, "{slots} {holders}");
}

// ---- each guard of a key's absence ----

fn idle_region(seed: u64) -> World {
    let mut world = World::sized(seed, false, Size { most_jobs: 0, ..Size::SMALL });
    run_audited(&mut world, Ms(5_000));
    world
}

/// Intercepts the next transaction of this kind.
fn intercept_next(world: &mut World, kind: Purpose) {
    world.late.keep = Some(kind);
}

fn intercepted(world: &mut World) -> Txn {
    for _ in 0..400 {
        if let Some(txn) = world.late.kept.take() {
            return txn;
        }
        run_for(world, 50);
    }
    panic!("no transaction was intercepted");
}

fn wait_for(world: &mut World, timeout_s: u64, done: impl Fn(&World) -> bool) {
    let from = world.now;
    while !done(world) {
        assert!(world.now.since(from) < timeout_s * 1000, "condition not reached");
        let until = world.now.plus(500);
        run_audited(world, until);
    }
}

fn has_ended(world: &World, job: &JobId) -> bool {
    world.store.get(&archive_key(job)).is_some()
}

/// A user without an answer submits the job again, to another controller.
fn submit_again(world: &mut World, controller: usize, spec: &JobSpec) {
    let request = Request::Submit(Box::new(spec.clone()));
    world.ask(controller, Asked::Submit(spec.id.clone()), request);
}

/// The first transaction of each of these kinds is guarded by the absence of a key that is never deleted; it arrives
/// after the key was written. Fails without the version guard in pool assignment, which no random run detects.
#[test]
fn late_transaction_is_refused_after_key_creation() {
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
        intercept_next(&mut world, kind);
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
        // A group of a log is written together with its head, which guards it.
        let put: Vec<String> = txn.changes.iter().filter_map(|c| c.put.clone()).collect();
        let guarded = put.iter().filter(|k| txn.guards.iter().any(|g| g.key == **k));
        let guarded: Vec<String> = guarded.cloned().collect();
        assert!(!guarded.is_empty(), "{kind:?} is not guarded by what it writes");
        wait_for(&mut world, 60, |w| guarded.iter().all(|k| w.store.get(k).is_some()));
        let refused = conflicting_keys(&mut world, &txn);
        assert!(guarded.iter().any(|k| refused.contains(k)), "{kind:?}: {refused:?}");
    }
}

/// Executes the intercepted transaction and returns its result.
fn execute_intercepted(world: &mut World, txn: &Txn) -> Result<Version, TxnError> {
    let result = world.store.txn(txn);
    world.audit();
    assert!(world.broken.is_empty(), "{:#?}", world.broken);
    result
}

/// The guard keys that refuse the intercepted transaction.
fn conflicting_keys(world: &mut World, txn: &Txn) -> Vec<String> {
    match execute_intercepted(world, txn) {
        Err(TxnError::Conflict(keys)) => keys,
        result => panic!("{result:?}"),
    }
}

/// A submission without an answer is sent again, the user submits again, and the job ends and leaves the live records.
/// Fails without the guard of the archive record's absence (a live record beside the archived one), and without the
/// guard of the live record's absence.
#[test]
fn late_submission_of_ended_job_is_refused() {
    for cancelled in [false, true] {
        let mut world = idle_region(1);
        let spec = job_spec(&mut world, 2, 1.0, 3.0);
        intercept_next(&mut world, Purpose::Submit);
        let job = world.submit(0, spec.clone());
        let txn = intercepted(&mut world);
        run_for(&mut world, 1_000);
        assert!(world.jobs[&job].accepted, "sent again, and confirmed within a second");
        submit_again(&mut world, 1, &spec);
        wait_for(&mut world, 30, |w| w.store.get(&job_key(&job)).is_some());
        assert_eq!(conflicting_keys(&mut world, &txn), [job_key(&job)], "while the job is live");
        if cancelled {
            cancel(&mut world, 2, &job);
        }
        wait_for(&mut world, 60, |w| has_ended(w, &job));
        assert_eq!(conflicting_keys(&mut world, &txn), [archive_key(&job)]);
        // Another submission is answered with the final state.
        submit_again(&mut world, 0, &spec);
        run_for(&mut world, 3_000);
        let state = if cancelled { JobState::Aborted } else { JobState::Done };
        assert_eq!(world.jobs[&job].answered_state, Some(state));
        let until = world.now.plus(20_000);
        run_audited(&mut world, until);
    }
}

/// Guards of a part's or progress record's absence: the record is created by the same change sent again, and is deleted
/// with the last of its tasks, or after its job was removed. It is deleted only with a change of its job's record,
/// whose version then refuses the late transaction.
#[test]
fn late_creation_of_deleted_record_is_refused() {
    for (kind, cancelled) in [
        (Purpose::Part, false),
        (Purpose::Part, true),
        (Purpose::Steps, false),
        (Purpose::Steps, true),
    ] {
        let mut world = idle_region(2);
        let spec = match kind {
            Purpose::Part => job_spec(&mut world, 300, 0.25, 1.0),
            _ => elastic_job(&mut world, 30),
        };
        intercept_next(&mut world, kind);
        let job = world.submit(0, spec);
        let txn = intercepted(&mut world);
        let absent: Vec<String> =
            txn.guards.iter().filter(|g| g.version == Version(0)).map(|g| g.key.clone()).collect();
        assert!(!absent.is_empty(), "the transaction creates the record");
        wait_for(&mut world, 30, |w| absent.iter().all(|k| w.store.get(k).is_some()));
        if cancelled {
            cancel(&mut world, 1, &job);
        }
        // Deleted one by one, at the latest with the job.
        wait_for(&mut world, 120, |w| absent.iter().all(|k| w.store.get(k).is_none()));
        assert_eq!(conflicting_keys(&mut world, &txn), [job_key(&job)], "{kind:?} {cancelled}");
        wait_for(&mut world, 60, |w| has_ended(w, &job));
        assert_eq!(conflicting_keys(&mut world, &txn), [job_key(&job)], "{kind:?} {cancelled}");
        let until = world.now.plus(40_000);
        run_audited(&mut world, until);
    }
}

/// A complete part is deleted while its job is still live.
#[test]
fn late_part_creation_of_live_job_refused() {
    let mut world = idle_region(3);
    // The second part has few tasks and is complete long before the first.
    let spec = job_spec(&mut world, 264, 1.0, 2.0);
    intercept_next(&mut world, Purpose::Part);
    let job = world.submit(0, spec);
    let txn = intercepted(&mut world);
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
    assert!(conflicting_keys(&mut world, &txn).contains(&job_key(&job)));
    wait_for(&mut world, 200, |w| has_ended(w, &job));
}

/// Claims in parts don't change the job's record. The cancellation of a job without claims in the controller's cache
/// therefore also wrote its end, beside claims just made by another controller, whose tasks counted against no limit
/// until they were stopped. Fails without the condition that the cancellation was read back first.
#[test]
fn cancelled_job_with_unread_claim_stays_live() {
    let mut world = idle_region(6);
    let spec = job_spec(&mut world, 300, 1.0, 60.0);
    intercept_next(&mut world, Purpose::Part);
    let job = world.submit(0, spec);
    let claim = intercepted(&mut world);
    let record = world.store.get(&job_key(&job)).expect("accepted").version;
    // The outcome of the claim is still unknown; it is executed just before the cancellation.
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
    assert_eq!(
        world.store.get(&job_key(&job)).map(|i| i.version),
        Some(record),
        "still in transit"
    );
    world.store.txn(&claim).expect("nothing has changed");
    let until = world.now.plus(10_000);
    run_audited(&mut world, until);
    wait_for(&mut world, 60, |w| has_ended(w, &job));
    let until = world.now.plus(20_000);
    run_audited(&mut world, until);
}

/// A late role acquisition of a running controller is valid, and the role has one holder; a crashed controller has no
/// lease for it.
#[test]
fn late_role_acquisition_requires_valid_lease() {
    for crashed in [false, true] {
        let mut world = World::sized(4, false, Size { most_jobs: 0, ..Size::SMALL });
        intercept_next(&mut world, Purpose::AcquireRole);
        let txn = intercepted(&mut world);
        let key = txn.changes[0].put.clone().expect("a role key");
        wait_for(&mut world, 20, |w| w.store.get(&key).is_some());
        // The role is held. The test releases it, and no controller has acquired it when the late transaction arrives.
        let holder: HolderRecord =
            serde_json::from_str(txn.changes[0].value.as_ref().expect("a holder").get()).unwrap();
        let sender = (0..CONTROLLERS).find(|i| controller_id(*i) == holder.owner);
        let sender = sender.expect("a node");
        assert_eq!(
            conflicting_keys(&mut world, &txn),
            std::slice::from_ref(&key),
            "while the role is held"
        );
        if crashed {
            world.crash(sender, 60_000);
            run_for(&mut world, 3_400);
        }
        let mut release = Txn::default();
        release.delete(key.clone());
        world.store.txn(&release).expect("unguarded");
        let result = execute_intercepted(&mut world, &txn);
        if crashed {
            assert_eq!(result, Err(TxnError::NoSuchLease));
        } else {
            let version = result.expect("its lease is valid");
            // The controller holds the role again, under a new epoch, and performs it.
            assert_eq!(world.store.get(&key).map(|i| i.version), Some(version));
        }
        let spec = job_spec(&mut world, 20, 2.0, 4.0);
        let job = world.submit((sender + 1) % CONTROLLERS, spec);
        wait_for(&mut world, 120, |w| has_ended(w, &job));
        assert!(Role::ALL.iter().all(|d| world.store.get(d.key()).is_some()), "all roles are held");
    }
}

/// The removal of parts without a job must not remove parts of a live job. (A job accepted while the controller reloaded
/// its cache was missing from the jobs it had read, but its parts were not.) Fails without the guard of the job's
/// absence.
#[test]
fn late_clean_up_keeps_live_job_parts() {
    let mut world = idle_region(5);
    let spec = job_spec(&mut world, 300, 1.0, 2.0);
    let (job, part) = (spec.id.clone(), part_key(&spec.id, 0));
    let mut txn = Txn::default();
    txn.put(part.clone(), &TaskTable::default(), None);
    world.store.txn(&txn).expect("unguarded");
    intercept_next(&mut world, Purpose::CleanUp);
    let late = intercepted(&mut world);
    let record = JobRecord::new(spec, 5);
    let mut txn = Txn::default();
    txn.put(job_key(&job), &record, None);
    world.store.txn(&txn).expect("unguarded");
    let Err(TxnError::Conflict(keys)) = world.store.txn(&late) else {
        panic!("it removed the part")
    };
    assert_eq!(keys, [job_key(&job)]);
}
