//! The chooser of victims against the rules and a search through every choice.

use cleatfold_backfill::preemption::{choose_preemptions, may_stop, MachineLoad, Need, Running};
use cleatfold_backfill::Resources;
use cleatfold_wire::job::Urgency;
use cleatfold_wire::TeamId;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const URGENCIES: [Urgency; 4] =
    [Urgency::Critical, Urgency::High, Urgency::Normal, Urgency::BestEffort];

fn some_load(rng: &mut SmallRng, next: &mut usize) -> MachineLoad {
    let mut machine = MachineLoad { free: Resources::new(8.0, 0.0, 32.0), running: vec![] };
    for _ in 0..rng.random_range(0..7) {
        let each = Resources::new(f64::from(rng.random_range(1..4)), 0.0, 2.0);
        if machine.free.fits(&each, 1) == 0 {
            continue;
        }
        machine.free -= each;
        *next += 1;
        machine.running.push(Running {
            id: *next,
            each,
            urgency: URGENCIES[rng.random_range(0..4)],
            team: TeamId::new(["a", "b"][rng.random_range(0..2)]),
            beyond_guarantee: rng.random_bool(0.5),
            yields: rng.random_bool(0.2),
            stoppable: rng.random_bool(0.9),
            loss: rng.random_range(0..50),
        });
    }
    machine
}

#[test]
fn only_whom_the_protocol_allows_and_never_more_than_needed() {
    let (mut made, mut none) = (0, 0);
    for seed in 0..2000 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut next = 0;
        let before: Vec<MachineLoad> =
            (0..rng.random_range(1..4)).map(|_| some_load(&mut rng, &mut next)).collect();
        let need = Need {
            each: Resources::new(f64::from(rng.random_range(1..6)), 0.0, 2.0),
            urgency: URGENCIES[rng.random_range(0..4)],
            team: TeamId::new("a"),
            within_guarantee: rng.random_bool(0.5),
            preempts: rng.random_bool(0.8),
            worth: 1000,
        };
        let tasks = rng.random_range(1..5);
        let rooms = choose_preemptions(&need, &mut before.clone(), tasks);
        assert!(rooms.iter().map(|r| r.tasks).sum::<u32>() <= tasks);
        for free_capacity in &rooms {
            made += 1;
            let machine = &before[free_capacity.machine];
            let stopped = |r: &&Running| free_capacity.stop.contains(&r.id);
            let gone: Vec<&Running> = machine.running.iter().filter(stopped).collect();
            assert_eq!(gone.len(), free_capacity.stop.len(), "seed {seed}: stopped elsewhere");
            for r in &gone {
                assert!(may_stop(&need, r), "seed {seed}: {r:?} for {need:?}");
                let urgent = need.urgency < r.urgency;
                let guarantee = need.within_guarantee && r.beyond_guarantee && r.team != need.team;
                assert!(need.urgency <= r.urgency, "seed {seed}: more urgent than the need");
                let yields = r.yields && need.urgency <= r.urgency;
                assert!(yields || need.preempts && (urgent || guarantee));
            }
            let freed = gone.iter().fold(machine.free, |f, r| f + r.each);
            assert!(
                freed.fits(&need.each, free_capacity.tasks) == free_capacity.tasks,
                "seed {seed}: no room"
            );
            if free_capacity.tasks == 1 {
                for r in &gone {
                    let without = freed - r.each;
                    assert_eq!(without.fits(&need.each, 1), 0, "seed {seed}: one too many");
                }
            }
        }
        if rooms.is_empty() {
            // Then stopping everybody who may be stopped would not do on any machine.
            none += 1;
            for machine in &before {
                let may = machine.running.iter().filter(|r| may_stop(&need, r));
                let all = may.fold(machine.free, |f, r| f + r.each);
                assert_eq!(all.fits(&need.each, 1), 0, "seed {seed}");
            }
        }
    }
    assert!(made > 500 && none > 100, "{made} rooms, {none} times none");
}
