//! Nothing vanishes: what falls with its machine is told, by its job and in its team's log.

use cleatfold_control::records::{loss_log_prefix, ArchiveRecord};
use cleatfold_control::Request;
use cleatfold_testbed::world::{Asked, SimulationEvent, Size, World, CONTROLLERS};
use cleatfold_wire::losses::Loss;
use cleatfold_wire::{Attempt, JobId, Ms, TaskId, TeamId};
use std::collections::{BTreeMap, BTreeSet};

type Start = (TaskId, Attempt);

fn log(world: &World, team: &str) -> Vec<Loss> {
    let items = world.store.list(&loss_log_prefix(&TeamId::new(team)), None, 999).items;
    let group = |v: &str| serde_json::from_str::<Vec<Loss>>(v).expect("a group of losses");
    items.iter().flat_map(|i| group(i.value.get())).collect()
}

/// A team that asks on from where it was hears each group once, and the end is the end.
fn resumes(world: &mut World) {
    for team in ["free", "tight"] {
        let mut heard = Vec::new();
        let mut since = 0;
        for _ in 0..3 {
            world.team_losses = None;
            let request = Request::TeamLosses { team: TeamId::new(team), since };
            world.ask(0, Asked::TeamLosses, request);
            let now = world.now;
            world.run(now.plus(500));
            let told = world.team_losses.take().expect("an answer");
            assert!(told.next >= since, "never back");
            since = told.next;
            heard.extend(told.losses);
        }
        assert_eq!(heard, log(world, team));
    }
}

/// A third of the machines and all controllers fall within the same second.
#[test]
fn every_lost_run_is_reported_to_its_team_even_if_all_machines_fail_together() {
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
        let fallen: Vec<_> = world.workers.keys().step_by(3).cloned().collect();
        let mut lost: BTreeSet<Start> = BTreeSet::new();
        for id in &fallen {
            let on = world.workers[id].tasks.iter();
            let running = on.filter(|(_, t)| t.exit.is_none());
            lost.extend(running.map(|(start, _)| start.clone()));
            world.at(0, SimulationEvent::Die(id.clone()));
        }
        assert!(lost.len() > 20, "{} runs to be lost", lost.len());
        for controller in 0..CONTROLLERS {
            world.at(300, SimulationEvent::Crash(controller));
        }
        world.run(Ms(300_000));
        let mut told: BTreeSet<Start> = BTreeSet::new();
        for team in ["free", "tight"] {
            for loss in log(&world, team) {
                assert_eq!(teams[&loss.task.job], TeamId::new(team), "a team hears its own only");
                told.insert((loss.task, loss.attempt));
            }
        }
        let missing: Vec<_> = lost.difference(&told).collect();
        assert!(missing.is_empty(), "seed {seed}: {missing:?} of {} not told", lost.len());
        // Each job's own record says it too, and what was lost ran again.
        for job in teams.keys() {
            let item = world.store.get(&format!("ar/{job}")).expect("ended");
            let record: ArchiveRecord = serde_json::from_str(item.value.get()).expect("a record");
            let named: BTreeSet<Start> =
                record.losses.entries(job).map(|l| (l.task, l.attempt)).collect();
            let own = lost.iter().filter(|l| l.0.job == *job);
            assert!(own.into_iter().all(|l| named.contains(l)), "{job}");
        }
        assert!(world.broken.is_empty(), "{:#?}", world.broken);
        resumes(&mut world);
    }
}
