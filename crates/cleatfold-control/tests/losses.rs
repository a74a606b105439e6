//! Each task attempt lost with its machine is reported in its job's record and in its team's loss log.

use cleatfold_control::records::{loss_log_prefix, ArchiveRecord};
use cleatfold_control::Request;
use cleatfold_testbed::world::{Asked, SimulationEvent, Size, World, CONTROLLERS};
use cleatfold_wire::losses::Loss;
use cleatfold_wire::{Attempt, JobId, Ms, TaskId, TeamId};
use std::collections::{BTreeMap, BTreeSet};

type TaskAttempt = (TaskId, Attempt);

fn logged_losses(world: &World, team: &str) -> Vec<Loss> {
    let items = world.store.list(&loss_log_prefix(&TeamId::new(team)), None, 999).items;
    let group = |v: &str| serde_json::from_str::<Vec<Loss>>(v).expect("a group of losses");
    items.iter().flat_map(|i| group(i.value.get())).collect()
}

/// Checks that a team that continues from the returned position receives each loss once, and none after the last.
fn check_paging(world: &mut World) {
    for team in ["free", "tight"] {
        let mut received = Vec::new();
        let mut since = 0;
        for _ in 0..3 {
            world.team_losses = None;
            let request = Request::TeamLosses { team: TeamId::new(team), since };
            world.ask(0, Asked::TeamLosses, request);
            let now = world.now;
            world.run(now.plus(500));
            let page = world.team_losses.take().expect("an answer");
            assert!(page.next >= since, "the position decreased");
            since = page.next;
            received.extend(page.losses);
        }
        assert_eq!(received, logged_losses(world, team));
    }
}

/// A third of the machines and all controllers fail within the same second.
#[test]
fn all_losses_are_logged_after_mass_failure() {
    for seed in [3, 4] {
        let mut world = World::sized(seed, false, Size { most_jobs: 0, ..Size::GROWN });
        world.run(Ms(8000));
        let mut teams: BTreeMap<JobId, TeamId> = BTreeMap::new();
        for i in 0..30u64 {
            let mut spec = world.some_job();
            (spec.tasks, spec.estimate_s) = (spec.tasks.min(30), 25.0);
            (spec.one_zone, spec.spread) = (false, false);
            teams.insert(spec.id.clone(), spec.team.clone());
            world.submit((i % 3) as usize, spec);
            world.run(Ms(8000 + 200 * (i + 1)));
        }
        world.run(Ms(45_000));
        let failed_machines: Vec<_> = world.workers.keys().step_by(3).cloned().collect();
        let mut lost: BTreeSet<TaskAttempt> = BTreeSet::new();
        for id in &failed_machines {
            let attempts = world.workers[id].tasks.iter();
            let running = attempts.filter(|(_, t)| t.exit.is_none());
            lost.extend(running.map(|(attempt, _)| attempt.clone()));
            world.at(0, SimulationEvent::Die(id.clone()));
        }
        assert!(lost.len() > 20, "only {} attempts lost", lost.len());
        for controller in 0..CONTROLLERS {
            world.at(300, SimulationEvent::Crash(controller));
        }
        world.run(Ms(300_000));
        let mut logged: BTreeSet<TaskAttempt> = BTreeSet::new();
        for team in ["free", "tight"] {
            for loss in logged_losses(&world, team) {
                assert_eq!(
                    teams[&loss.task.job],
                    TeamId::new(team),
                    "a loss in another team's log"
                );
                logged.insert((loss.task, loss.attempt));
            }
        }
        let missing: Vec<_> = lost.difference(&logged).collect();
        assert!(missing.is_empty(), "seed {seed}: {missing:?} of {} not logged", lost.len());
        // Each job's archive record lists its losses as well, and the job ended, so the lost tasks ran again.
        for job in teams.keys() {
            let item = world.store.get(&format!("ar/{job}")).expect("ended");
            let record: ArchiveRecord = serde_json::from_str(item.value.get()).expect("a record");
            let recorded: BTreeSet<TaskAttempt> =
                record.losses.entries(job).map(|l| (l.task, l.attempt)).collect();
            let job_losses = lost.iter().filter(|l| l.0.job == *job);
            assert!(job_losses.into_iter().all(|l| recorded.contains(l)), "{job}");
        }
        assert!(world.broken.is_empty(), "{:#?}", world.broken);
        check_paging(&mut world);
    }
}
