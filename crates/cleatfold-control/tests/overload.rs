//! More is asked than can be done: what is given up, and what comes back.

use cleatfold_control::Request;
use cleatfold_testbed::world::{Asked, Size, World, CONTROLLERS};
use cleatfold_wire::{JobId, Ms};

/// Hundreds of machines, few changes a second, and only the users that a test plays.
fn region(seed: u64) -> World {
    World::sized(seed, false, Size { most_jobs: 0, ..Size::GROWN })
}

/// A user who waits 5 s, as the protocol has it, and then asks the next controller a second later.
struct User {
    job: JobId,
    controller: usize,
    asks_at: Ms,
    open: Option<(usize, u64)>,
}

/// Whoever is not answered in time asks another controller. When every controller kept all that it was
/// asked, each batch of submissions met jobs that another controller had accepted and failed as a
/// whole: the more had asked again the fewer were accepted, and it stayed so for good with three
/// quarters of the processor idle. Seen to fail without dropping who has left.
#[test]
fn a_flood_of_submissions_is_accepted_in_the_end() {
    for seed in [1, 2] {
        let mut world = region(seed);
        world.run(Ms(8000));
        let mut users: Vec<User> = Vec::new();
        for second in 8..100u64 {
            let new = if second == 8 { 240 } else { 2 * u64::from(second < 50) };
            for i in 0..new {
                let mut spec = world.some_job();
                // What they are about is not looked at here.
                (spec.tasks, spec.one_zone, spec.spread) = (2, false, false);
                let (job, controller) = (spec.id.clone(), (i % 3) as usize);
                world.jobs.entry(job.clone()).or_default().spec = Some(spec);
                users.push(User { job, controller, asks_at: world.now, open: None });
            }
            let now = world.now;
            for user in users.iter_mut().filter(|u| u.asks_at <= now) {
                // An answer that came after its asker left is heard by nobody.
                if let Some(asked) = user.open.take() {
                    world.asked.remove(&asked);
                }
                let watch = &world.jobs[&user.job];
                if watch.accepted {
                    continue;
                }
                let spec = watch.spec.clone().expect("submitted");
                let request = Request::Submit(Box::new(spec));
                world.ask(user.controller, Asked::Submit(user.job.clone()), request);
                user.open = Some((user.controller, world.next_rid));
                user.controller = (user.controller + 1) % CONTROLLERS;
                user.asks_at = world.now.plus(5000);
            }
            world.run(Ms((second + 1) * 1000));
        }
        let accepted = users.iter().filter(|u| world.jobs[&u.job].accepted).count();
        assert!(world.broken.is_empty(), "{:#?}", world.broken);
        assert_eq!(accepted, users.len(), "seed {seed}: accepted of {}", users.len());
    }
}

/// Every poll for an ended job that this controller did not end once cost a request of its own, in
/// the last urgency; with all of them late the askers came back and the queue only grew.
#[test]
fn polls_for_ended_jobs_cost_no_request_each() {
    let mut world = region(5);
    world.run(Ms(8000));
    let mut jobs = Vec::new();
    for _ in 0..20 {
        let mut spec = world.some_job();
        (spec.tasks, spec.estimate_s, spec.one_zone, spec.spread) = (1, 1.0, false, false);
        jobs.push(world.submit(0, spec));
        let now = world.now;
        world.run(now.plus(200));
    }
    world.run(Ms(60_000));
    let reads = world.archive_reads;
    for round in 0..30u64 {
        for job in &jobs {
            let controller = (round % 3) as usize;
            let told = world.jobs[job].answered_state;
            world.ask(controller, Asked::Poll(job.clone(), told, true), Request::Poll(job.clone()));
        }
        world.run(Ms(60_000 + 500 * (round + 1)));
    }
    assert!(world.broken.is_empty(), "{:#?}", world.broken);
    let done =
        jobs.iter().filter(|j| world.jobs[*j].answered_state.is_some_and(|s| s.is_final())).count();
    assert_eq!(done, jobs.len());
    assert!(world.archive_reads - reads < 20, "{} reads", world.archive_reads - reads);
}
