//! Overload for minutes: no class starves, also while the controller that decides the overload quota is killed, cut off and
//! replaced.

use cleatfold_admission::OverloadQuota;
use cleatfold_control::records::{HolderRecord, OVERLOAD_QUOTA_KEY};
use cleatfold_roles::Role;
use cleatfold_testbed::world::{controller_id, SimulationEvent, Size, World, CONTROLLERS};
use cleatfold_wire::job::Urgency;
use cleatfold_wire::*;

/// A region with twelve machines of eight processors and no jobs but those of the test.
fn region(seed: u64, admission: bool) -> World {
    let size = Size { machines: 12, most_jobs: 0, admission, ..Size::SMALL };
    World::sized(seed, false, size)
}

/// Submits the jobs of one second: urgent ones for nearly twice the available processors, and some of low urgency. Returns
/// the latter.
fn submit_traffic(world: &mut World, second: u64) -> Vec<JobId> {
    let mut submit = |class: &str, urgency, tasks, cpus, estimate_s| {
        let mut spec = world.some_job();
        spec.class = ClassId::new(class);
        (spec.team, spec.urgency) = (TeamId::new("free"), urgency);
        (spec.tasks, spec.cpus, spec.estimate_s) = (tasks, cpus, estimate_s);
        (spec.one_zone, spec.spread, spec.types, spec.spot) = (false, false, None, true);
        let controller = (second % CONTROLLERS as u64) as usize;
        world.submit(controller, spec)
    };
    submit("urgent", Urgency::High, 1 + (second % 9) as u32, 4.0, 9.0);
    let has_night_job = second.is_multiple_of(2);
    let size = 1 + (second % 7) as u32 * 3;
    has_night_job
        .then(|| submit("night", Urgency::BestEffort, size, 1.0, 8.0))
        .into_iter()
        .collect()
}

fn count_ended(world: &World, jobs: &[JobId]) -> usize {
    jobs.iter().filter(|j| world.store.get(&format!("ar/{j}")).is_some()).count()
}

fn holder(world: &World) -> Option<usize> {
    let item = world.store.get(Role::OverloadQuota.key())?;
    let holder: HolderRecord = serde_json::from_str(item.value.get()).ok()?;
    (0..CONTROLLERS).find(|i| controller_id(*i) == holder.owner)
}

fn run_overload(
    seed: u64,
    admission: bool,
    mut fault: impl FnMut(&mut World, u64),
) -> (World, f64) {
    let mut world = region(seed, admission);
    world.run(Ms(5000));
    let mut jobs = Vec::new();
    for second in 5..240 {
        if second < 200 {
            jobs.extend(submit_traffic(&mut world, second));
        }
        fault(&mut world, second);
        world.run(Ms((second + 1) * 1000));
    }
    assert!(world.broken.is_empty(), "seed {seed}: {:#?}", world.broken);
    let served = count_ended(&world, &jobs) as f64 / jobs.len() as f64;
    (world, served)
}

/// With scheduling by urgency alone, the lowest class was not served for as long as the overload lasted. Fails with the
/// floors at 0.
#[test]
fn low_urgency_class_is_served_under_overload() {
    let (_, baseline) = run_overload(1, false, |_, _| {});
    let (world, served) = run_overload(1, true, |_, _| {});
    assert!(baseline < 0.35, "no overload: {baseline} served without admission control");
    assert!(served >= 0.5, "{served} served");
    let urgent = world
        .jobs
        .iter()
        .filter(|(_, j)| j.spec.as_ref().is_some_and(|s| s.class.as_str() == "urgent"));
    let (submitted, urgent_jobs): (Vec<_>, Vec<_>) =
        urgent.map(|(id, _)| (id.clone(), id.clone())).unzip();
    let share = count_ended(&world, &urgent_jobs) as f64 / submitted.len() as f64;
    assert!(share >= 0.5, "urgent jobs served: {share}");
}

/// The role's holder is repeatedly killed, or cut off with its packets held, so that its writes may arrive when another
/// controller holds the role. Fails without the guard on the role's key.
#[test]
fn replaced_holder_writes_are_rejected() {
    let mut epochs = 0;
    for seed in 2..6 {
        let mut last = OverloadQuota::default();
        let (_, served) = run_overload(seed, true, |world, second| {
            if second % 13 == 0 && second > 40 {
                if let Some(controller) = holder(world) {
                    let until = Ms((second + 7) * 1000);
                    match (second / 13) % 4 {
                        0 => world.at(0, SimulationEvent::Crash(controller)),
                        1 => world.at(0, SimulationEvent::StoreCut { controller, until }),
                        _ => world.at(0, SimulationEvent::Cut { controller, until }),
                    }
                }
            }
            // Each change of the quota must be written by the holder of the role at that moment.
            for ms in 0..100 {
                let before = world.store.get(Role::OverloadQuota.key()).map(|i| i.version);
                world.run(Ms(second * 1000 + (ms + 1) * 10));
                let Some(item) = world.store.get(OVERLOAD_QUOTA_KEY) else { continue };
                let now: OverloadQuota =
                    serde_json::from_str(item.value.get()).expect("an overload quota");
                if now != last {
                    assert!(now.generation > last.generation && now.epoch >= last.epoch);
                    let after = world.store.get(Role::OverloadQuota.key()).map(|i| i.version);
                    assert!(
                        [before, after].contains(&Some(now.epoch)),
                        "written by a former holder"
                    );
                    epochs += u32::from(now.epoch != last.epoch);
                    last = now;
                }
            }
        });
        assert!(served >= 0.5, "seed {seed}: {served} served");
    }
    assert!(epochs >= 12, "only {epochs} holders wrote a quota");
}

fn floors_and_quota(world: &World) -> Option<(i64, OverloadQuota)> {
    let overload_quota: OverloadQuota =
        serde_json::from_str(world.store.get(OVERLOAD_QUOTA_KEY)?.value.get()).ok()?;
    Some((overload_quota.entries.iter().map(|e| e.floor).sum(), overload_quota))
}

/// The holder owns all pools until its workers can no longer reach it. It keeps the role while other controllers own the
/// pools, whose machines must still count as capacity. Fails if a machine counts as unreachable because its former owner
/// receives no heartbeats from it.
#[test]
fn machines_of_other_owners_count() {
    for seed in 1..4 {
        let mut world = region(seed, true);
        world.run(Ms(5000));
        let (others_back_s, cut_s) = (40, 55);
        (1..CONTROLLERS).for_each(|controller| world.crash(controller, others_back_s * 1000));
        let mut decided = 0;
        for second in 5..160 {
            submit_traffic(&mut world, second);
            if second == cut_s {
                assert_eq!(holder(&world), Some(0), "seed {seed}");
                world.faults.cuts.insert(0, (Ms(400_000), None));
            }
            world.run(Ms((second + 1) * 1000));
            // From three leases after the cut on, the holder has not received heartbeats for a long time.
            if second > cut_s + 30 && holder(&world) == Some(0) {
                let (floors, overload_quota) =
                    floors_and_quota(&world).expect("a quota was written before");
                assert!(floors > 0, "seed {seed}, second {second}: {overload_quota:?}");
                decided += 1;
            }
        }
        assert!(world.broken.is_empty(), "seed {seed}: {:#?}", world.broken);
        assert!(decided > 30, "seed {seed}: the holder kept the role for only {decided} s");
    }
}
