//! Checks the choice of victims against the rules of the protocol and an exhaustive check for
//! missed preemptions.

use cleatfold_backfill::preemption::{
    choose_preemptions, may_preempt, MachineLoad, PreemptionRequest, RunningTask,
};
use cleatfold_backfill::Resources;
use cleatfold_wire::job::Urgency;
use cleatfold_wire::TeamId;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const URGENCIES: [Urgency; 4] =
    [Urgency::Critical, Urgency::High, Urgency::Normal, Urgency::BestEffort];

fn random_load(rng: &mut SmallRng, next: &mut usize) -> MachineLoad {
    let mut machine = MachineLoad { free: Resources::new(8.0, 0.0, 32.0), running: vec![] };
    for _ in 0..rng.random_range(0..7) {
        let each = Resources::new(f64::from(rng.random_range(1..4)), 0.0, 2.0);
        if machine.free.fitting_tasks(&each, 1) == 0 {
            continue;
        }
        machine.free -= each;
        *next += 1;
        machine.running.push(RunningTask {
            id: *next,
            task_resources: each,
            urgency: URGENCIES[rng.random_range(0..4)],
            team: TeamId::new(["a", "b"][rng.random_range(0..2)]),
            beyond_guarantee: rng.random_bool(0.5),
            is_surplus_member: rng.random_bool(0.2),
            stoppable: rng.random_bool(0.9),
            loss: rng.random_range(0..50),
        });
    }
    machine
}

#[test]
fn stops_only_permitted_victims_and_no_more_than_needed() {
    let (mut with_preemption, mut without_preemption) = (0, 0);
    for seed in 0..2000 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut next = 0;
        let before: Vec<MachineLoad> =
            (0..rng.random_range(1..4)).map(|_| random_load(&mut rng, &mut next)).collect();
        let request = PreemptionRequest {
            task_resources: Resources::new(f64::from(rng.random_range(1..6)), 0.0, 2.0),
            urgency: URGENCIES[rng.random_range(0..4)],
            team: TeamId::new("a"),
            within_guarantee: rng.random_bool(0.5),
            preempts: rng.random_bool(0.8),
            max_loss: 1000,
        };
        let tasks = rng.random_range(1..5);
        let preemptions = choose_preemptions(&request, &mut before.clone(), tasks);
        assert!(preemptions.iter().map(|r| r.tasks).sum::<u32>() <= tasks);
        for preemption in &preemptions {
            with_preemption += 1;
            let machine = &before[preemption.machine];
            let stopped = |r: &&RunningTask| preemption.victims.contains(&r.id);
            let victims: Vec<&RunningTask> = machine.running.iter().filter(stopped).collect();
            assert_eq!(
                victims.len(),
                preemption.victims.len(),
                "seed {seed}: victim on another machine"
            );
            for r in &victims {
                assert!(may_preempt(&request, r), "seed {seed}: {r:?} for {request:?}");
                let urgent = request.urgency < r.urgency;
                let guarantee =
                    request.within_guarantee && r.beyond_guarantee && r.team != request.team;
                assert!(request.urgency <= r.urgency, "seed {seed}: more urgent than the request");
                let is_surplus_member = r.is_surplus_member && request.urgency <= r.urgency;
                assert!(is_surplus_member || request.preempts && (urgent || guarantee));
            }
            let freed = victims.iter().fold(machine.free, |f, r| f + r.task_resources);
            assert!(
                freed.fitting_tasks(&request.task_resources, preemption.tasks) == preemption.tasks,
                "seed {seed}: does not fit"
            );
            if preemption.tasks == 1 {
                for r in &victims {
                    let without = freed - r.task_resources;
                    assert_eq!(
                        without.fitting_tasks(&request.task_resources, 1),
                        0,
                        "seed {seed}: one victim too many"
                    );
                }
            }
        }
        if preemptions.is_empty() {
            // Stopping every permitted victim must not be enough on any machine.
            without_preemption += 1;
            for machine in &before {
                let permitted = machine.running.iter().filter(|r| may_preempt(&request, r));
                let all = permitted.fold(machine.free, |f, r| f + r.task_resources);
                assert_eq!(all.fitting_tasks(&request.task_resources, 1), 0, "seed {seed}");
            }
        }
    }
    assert!(
        with_preemption > 500 && without_preemption > 100,
        "{with_preemption} preemptions, {without_preemption} times none"
    );
}
