//! More requests than the controllers can process: which are dropped, and that their retries succeed.

use cleatfold_control::Request;
use cleatfold_testbed::world::{Asked, Size, World, CONTROLLERS};
use cleatfold_wire::{JobId, Ms};

/// A region with hundreds of machines, a low change rate, and no users but those of the test.
fn region(seed: u64) -> World {
    World::sized(seed, false, Size { most_jobs: 0, ..Size::GROWN })
}

/// A user whose request times out after 5 s, as the protocol specifies, and who then retries at the next controller within a second.
struct User {
    job: JobId,
    controller: usize,
    next_request_at: Ms,
    pending: Option<(usize, u64)>,
}

/// Users that are not answered in time retry at another controller. When each controller kept all requests, each batch of
/// submissions contained jobs that another controller had accepted and failed as a whole: the more users retried, the fewer
/// were accepted, permanently and with three quarters of the CPU idle. Fails if requests of disconnected users are not
/// dropped.
#[test]
fn flood_of_submissions_is_eventually_accepted() {
    for seed in [1, 2] {
        let mut world = region(seed);
        world.run(Ms(8000));
        let mut users: Vec<User> = Vec::new();
        for second in 8..100u64 {
            let new_users = if second == 8 { 240 } else { 2 * u64::from(second < 50) };
            for i in 0..new_users {
                let mut spec = world.some_job();
                // The contents of the jobs do not matter here.
                (spec.tasks, spec.one_zone, spec.spread) = (2, false, false);
                let (job, controller) = (spec.id.clone(), (i % 3) as usize);
                world.jobs.entry(job.clone()).or_default().spec = Some(spec);
                users.push(User { job, controller, next_request_at: world.now, pending: None });
            }
            let now = world.now;
            for user in users.iter_mut().filter(|u| u.next_request_at <= now) {
                // An answer that arrives after its user disconnected is discarded.
                if let Some(request) = user.pending.take() {
                    world.asked.remove(&request);
                }
                let watch = &world.jobs[&user.job];
                if watch.accepted {
                    continue;
                }
                let spec = watch.spec.clone().expect("submitted");
                let request = Request::Submit(Box::new(spec));
                world.ask(user.controller, Asked::Submit(user.job.clone()), request);
                user.pending = Some((user.controller, world.next_rid));
                user.controller = (user.controller + 1) % CONTROLLERS;
                user.next_request_at = world.now.plus(5000);
            }
            world.run(Ms((second + 1) * 1000));
        }
        let accepted = users.iter().filter(|u| world.jobs[&u.job].accepted).count();
        assert!(world.broken.is_empty(), "{:#?}", world.broken);
        assert_eq!(accepted, users.len(), "seed {seed}: accepted of {}", users.len());
    }
}

/// Guards against one store request, of the lowest urgency, per poll for an ended job that another controller had ended. All of
/// these requests were late, so that the users retried and the queue only grew.
#[test]
fn polls_for_ended_jobs_share_reads() {
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
            let answered = world.jobs[job].answered_state;
            world.ask(
                controller,
                Asked::Poll(job.clone(), answered, true),
                Request::Poll(job.clone()),
            );
        }
        world.run(Ms(60_000 + 500 * (round + 1)));
    }
    assert!(world.broken.is_empty(), "{:#?}", world.broken);
    let done =
        jobs.iter().filter(|j| world.jobs[*j].answered_state.is_some_and(|s| s.is_final())).count();
    assert_eq!(done, jobs.len());
    assert!(world.archive_reads - reads < 20, "{} reads", world.archive_reads - reads);
}
