//! A handful of days with several controllers failing at once and every trouble drawn; many more by
//! the command `region`.

use cleatfold_ingress::{Level, PollSchedule};
use cleatfold_testbed::days::{play, Plan};
use cleatfold_testbed::world::{Fault, Size, TurnedAway, World};
use cleatfold_wire::{JobId, Ms};

fn days(plan: &Plan, seeds: std::ops::Range<u64>) {
    let (mut started, mut longest) = (0, 0);
    for seed in seeds {
        let day = play(plan, seed);
        assert!(
            day.broken.is_empty(),
            "seed {seed}: {:#?} after {:#?}",
            day.broken,
            day.applied_faults
        );
        assert!(!day.applied_faults.is_empty() && day.jobs > 30, "seed {seed}: {day:?}");
        started += day.started;
        longest = longest.max(day.longest_ms);
    }
    assert!(started > 500, "only {started} starts");
    assert!(longest < 75_000);
}

#[test]
fn three_controllers_under_every_trouble() {
    days(&Plan::default(), 1..4);
}

#[test]
fn five_controllers_under_every_trouble() {
    days(&Plan { controllers: 5, faults: 30, ..Plan::default() }, 10..12);
}

#[test]
fn the_added_faults_alone() {
    days(&Plan { only: Fault::ADDED.to_vec(), faults: 24, ..Plan::default() }, 20..23);
}

/// Questions are turned away nine times of ten and at random, as the door did under pressure: the
/// watcher finds the jobs that this forgets. In turns, as the door does now, none is.
#[test]
fn the_watcher_finds_forgotten_jobs() {
    let day = |seed: u64, turned: TurnedAway| {
        // No machine, so nothing ends; and those who ask by the way, past the door, ask seldom.
        let size = Size { machines: 0, pause_ms: 4000, ..Size::SMALL };
        let mut world = World::sized(seed, false, size);
        world.poll_everything();
        world.polls.turned_away = Some(turned);
        world.run(Ms(300_000));
        let others = world.broken.iter().filter(|b| !b.contains("no answer in 75 s")).count();
        assert_eq!(others, 0, "{:#?}", world.broken);
        (world.polls.forgotten.len(), world.polls.asked, world.polls.longest_ms)
    };
    // Any hash will do for luck.
    let luck = |id: &JobId, wall_ms: u64| {
        let bytes = id.as_str().bytes().chain(wall_ms.to_le_bytes());
        let hash = |h: u64, b| (h ^ u64::from(b)).wrapping_mul(0x100_0000_01b3).rotate_left(23);
        bytes.fold(7, hash) % 10 != 0
    };
    let mut all = 0;
    for seed in 1..5 {
        let (forgotten, asked, _) = day(seed, Box::new(luck));
        assert!(asked > 200, "{asked} questions");
        all += forgotten;
    }
    assert!(all > 0);
    let turns = |id: &JobId, wall_ms: u64| {
        PollSchedule::ms_until_slot(id.as_str(), Level::Drowning, wall_ms).is_some()
    };
    let (forgotten, asked, longest_ms) = day(1, Box::new(turns));
    assert_eq!(forgotten, 0, "of {asked} questions");
    // A round of turns, and the pause between two questions.
    assert!(longest_ms <= 45_000, "{longest_ms}");
}
