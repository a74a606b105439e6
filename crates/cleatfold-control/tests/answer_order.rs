//! Users poll, resubmit and cancel jobs at all controllers while the state of a job changes: no answer reports an older
//! state than an earlier answer to any user did.

mod scenario;

use cleatfold_control::{records, Event, Request, StoreReply, StoreRequest};
use cleatfold_testbed::world::{Asked, Purpose, Query, SimulationEvent, Size, World, CONTROLLERS};
use cleatfold_wire::job::{JobSpec, JobState, Kind};
use cleatfold_wire::store::Txn;
use cleatfold_wire::*;
use scenario::*;
use std::collections::BTreeSet;

/// A request to the state service that is in flight.
struct InFlightRequest {
    event_number: u64,
    controller: usize,
    op: u64,
}

fn find_in_flight(
    world: &World,
    which: impl Fn(usize, &StoreRequest) -> bool,
) -> Option<InFlightRequest> {
    world.events.iter().find_map(|(event_number, event)| match event {
        SimulationEvent::StoreRequest { controller, op, request, .. }
            if which(*controller, request) =>
        {
            Some(InFlightRequest { event_number: *event_number, controller: *controller, op: *op })
        }
        _ => None,
    })
}

fn is_changes_read(request: &StoreRequest) -> bool {
    matches!(request, StoreRequest::Changes { prefix, .. } if prefix == "cf/")
}

fn has_purpose(request: &StoreRequest, purpose: Purpose) -> bool {
    matches!(request, StoreRequest::Txn(txn) if Purpose::of(txn) == Some(purpose))
}

/// Returns the job record that the request would write.
fn written_record(request: &StoreRequest, job: &JobId) -> Option<records::JobRecord> {
    let StoreRequest::Txn(Txn { changes, .. }) = request else { return None };
    let key = records::job_key(job);
    let change = changes.iter().find(|c| c.put.as_deref() == Some(&key))?;
    serde_json::from_str(change.value.as_ref()?.get()).ok()
}

fn cancels_job(request: &StoreRequest, job: &JobId) -> bool {
    written_record(request, job).is_some_and(|r| r.aborted)
}

fn claims_tasks(request: &StoreRequest, job: &JobId) -> bool {
    written_record(request, job).is_some_and(|r| !r.table.claims.is_empty())
}

/// Runs the simulation until a matching request is in flight, and removes it from the event queue.
fn hold_request(
    world: &mut World,
    what: &str,
    which: impl Fn(usize, &StoreRequest) -> bool,
) -> (InFlightRequest, SimulationEvent) {
    for _ in 0..60_000 {
        if let Some(request) = find_in_flight(world, &which) {
            let event = world.events.remove(&request.event_number).expect("found above");
            return (request, event);
        }
        run_for(world, 1);
    }
    panic!("{what}: no matching request was sent")
}

/// Executes a held request and delivers its reply within the same millisecond.
fn execute_and_deliver_reply(
    world: &mut World,
    (request, event): (InFlightRequest, SimulationEvent),
) {
    world.handle_event(event);
    if let Some(reply) = take_reply(world, &request) {
        world.handle_event(reply);
    }
}

fn take_reply(world: &mut World, request: &InFlightRequest) -> Option<SimulationEvent> {
    let is_reply = |event: &SimulationEvent| match event {
        SimulationEvent::Controller(controller, _, event) => {
            *controller == request.controller
                && matches!(**event, Event::Store { op, .. } if op == request.op)
        }
        _ => false,
    };
    let event_number = world.events.iter().find(|e| is_reply(e.1)).map(|e| *e.0)?;
    world.events.remove(&event_number)
}

/// Executes a held request and drops its reply; the sender later learns that the outcome is unknown.
fn execute_and_lose_reply(world: &mut World, (request, event): (InFlightRequest, SimulationEvent)) {
    world.handle_event(event);
    take_reply(world, &request).expect("answered");
    let (controller, op) = (request.controller, request.op);
    let unknown = Box::new(Event::Store { op, reply: StoreReply::Unknown });
    world.at(1_500, SimulationEvent::Controller(controller, world.lives[controller], unknown));
}

fn poll(world: &mut World, controller: usize, job: &JobId) {
    let watch = &world.jobs[job];
    let asked = Asked::Poll(job.clone(), watch.answered_state, watch.accepted);
    world.ask(controller, asked, Request::Poll(job.clone()));
}

/// Polls and resubmits the job at every controller, in rounds of 40 ms, for `for_ms`.
fn query_everywhere(world: &mut World, job: &JobId, for_ms: u64) {
    let until = world.now.plus(for_ms);
    while world.now < until {
        for controller in 0..CONTROLLERS {
            poll(world, controller, job);
            world.submit_again(controller, job);
        }
        run_for(world, 40);
    }
}

fn submit_and_await_start(world: &mut World, spec: JobSpec, controller: usize) -> JobId {
    let job = world.submit(controller, spec);
    for _ in 0..60_000 {
        if world.running.keys().any(|t| t.job == job) {
            return job;
        }
        run_for(world, 1);
    }
    panic!("{job} did not start")
}

fn ready_region(seed: u64) -> World {
    let mut world = region(seed, 12);
    world.run(Ms(4_000));
    world
}

fn assert_no_violations(world: &World, what: &str) {
    assert!(world.broken.is_empty(), "{what}: {:#?}", world.broken);
}

/// A read of the store that is answered in the millisecond in which it was sent does not include a change that became
/// durable later in that millisecond. A request that arrives after that change must be answered from the next read, even
/// though its timestamp equals that of the first read.
#[test]
fn request_during_store_read_waits_for_next_read() {
    for state in [JobState::Queued, JobState::Aborted, JobState::Done] {
        let mut world = ready_region(1);
        let spec = plain_job(&mut world, 1, 6.0);
        let job = spec.id.clone();
        let what = format!("{state:?}");
        let change = match state {
            JobState::Queued => {
                world.submit(1, spec);
                hold_request(&mut world, &what, |_, r| has_purpose(r, Purpose::Submit))
            }
            JobState::Aborted => {
                submit_and_await_start(&mut world, spec, 1);
                cancel(&mut world, 1, &job);
                hold_request(&mut world, &what, |_, r| cancels_job(r, &job))
            }
            _ => {
                submit_and_await_start(&mut world, spec, 1);
                hold_request(&mut world, &what, |_, r| has_purpose(r, Purpose::Archive))
            }
        };
        let (writer, reader) = (change.0.controller, (change.0.controller + 1) % CONTROLLERS);
        let read = hold_request(&mut world, &what, |n, r| n == reader && is_changes_read(r));
        // The read, the change, the answer to the user and the next poll all happen within this millisecond.
        world.handle_event(read.1);
        let reply = take_reply(&mut world, &read.0).expect("answered");
        execute_and_deliver_reply(&mut world, change);
        poll(&mut world, writer, &job);
        let watch = &world.jobs[&job];
        assert!(
            watch.accepted && (state == JobState::Queued || watch.answered_state == Some(state))
        );
        poll(&mut world, reader, &job);
        world.submit_again(reader, &job);
        world.handle_event(reply);
        run_for(&mut world, 1_000);
        assert_no_violations(&world, &what);
        assert!(world.jobs[&job].answered.is_some(), "{what}: not answered");
    }
}

/// The store's reply to an acceptance is delayed, and other controllers have meanwhile answered that the job was
/// cancelled: the submitter must not be told that the job is queued.
#[test]
fn late_acceptance_reply_reports_current_state() {
    let mut world = ready_region(2);
    let spec = plain_job(&mut world, 1, 60.0);
    let job = world.submit(1, spec);
    let (request, event) =
        hold_request(&mut world, "submission", |_, r| has_purpose(r, Purpose::Submit));
    world.handle_event(event);
    let reply = take_reply(&mut world, &request).expect("answered");
    let durable = world.now;
    cancel(&mut world, 2, &job);
    while world.jobs[&job].answered_state != Some(JobState::Aborted) {
        run_for(&mut world, 1);
    }
    // The controller that still waits for the reply reads the changes of the other controllers.
    poll(&mut world, 1, &job);
    run_for(&mut world, 100);
    assert!(world.now.since(durable) < 300, "resolved earlier by a read: {:?}", world.now);
    world.answers.last.clear();
    world.handle_event(reply);
    assert_eq!(world.answers.last.get(&job).and_then(|l| l.1), Some(JobState::Aborted));
    run_for(&mut world, 1_000);
    assert_no_violations(&world, "late acceptance");
}

/// Users poll every job at all controllers within milliseconds of its acceptance, cancellation and completion.
#[test]
fn frequent_polls_never_see_older_state() {
    for seed in 1..3 {
        let mut world = World::sized(seed, false, Size { machines: 24, ..Size::SMALL });
        world.poll_everything();
        world.query_repeatedly_until(Ms(90_000));
        world.keep_busy(Ms(60_000));
        world.run(Ms(60_000));
        let busiest = world.most().expect("a controller owns machines");
        world.crash(busiest, 4_000);
        world.run(Ms(100_000));
        assert_no_violations(&world, &format!("seed {seed}"));
        let cancelled = world.jobs.values().filter(|w| w.cancel_confirmed.is_some()).count();
        assert!(world.answers.looks > 500 && cancelled > 5, "{} {cancelled}", world.answers.looks);
    }
}

/// Users ask all controllers about jobs before, while and after they are accepted and cancelled, and the state service
/// answers slowly now and then. Guards against an answer by readings that were not sent in order after the question.
#[test]
fn questions_around_acceptance_agree_while_store_is_slow() {
    for seed in 1..9 {
        let mut world = region(seed, 2);
        world.run(Ms(4_000));
        // All machines are in use: what is cancelled has no claims, and is archived at once.
        let mut service = plain_job(&mut world, 2, 0.0);
        (service.kind, service.cpus) = (Kind::Service, 8.0);
        world.submit(0, service);
        run_for(&mut world, 15_000);
        world.slow_now_and_then(0.3, Ms(100_000));
        for n in 0..120 {
            let spec = plain_job(&mut world, 2, 4.0);
            let job = spec.id.clone();
            world.know(&spec);
            world.ask_around_submission(&job);
            run_for(&mut world, 40 * (n as u64 % 5));
            world.submit_again(n % CONTROLLERS, &job);
            run_for(&mut world, 600);
        }
        assert_no_violations(&world, &format!("seed {seed}"));
        let cancelled = world.jobs.values().filter(|w| w.cancel_confirmed.is_some()).count();
        assert!(cancelled > 30, "seed {seed}: {cancelled} cancelled");
    }
}

/// A change of each kind is executed at once and its reply is lost, while users poll, resubmit and cancel at all
/// controllers.
#[test]
fn lost_transaction_reply_keeps_controllers_consistent() {
    #[derive(Clone, Copy, Debug, PartialEq)]
    enum LostReply {
        Acceptance,
        Claim,
        Cancellation,
        End,
    }
    for (seed, lost_reply) in
        [LostReply::Acceptance, LostReply::Claim, LostReply::Cancellation, LostReply::End]
            .into_iter()
            .enumerate()
    {
        for cancelled in [false, true] {
            let what = format!("{lost_reply:?}, cancelled: {cancelled}");
            let mut world = ready_region(seed as u64 + 3);
            let spec = plain_job(&mut world, 1, if cancelled { 40.0 } else { 8.0 });
            let job = spec.id.clone();
            let held = match lost_reply {
                LostReply::Acceptance => {
                    world.submit(1, spec);
                    hold_request(&mut world, &what, |_, r| has_purpose(r, Purpose::Submit))
                }
                LostReply::Claim => {
                    world.submit(1, spec);
                    hold_request(&mut world, &what, |_, r| claims_tasks(r, &job))
                }
                LostReply::Cancellation => {
                    submit_and_await_start(&mut world, spec, 1);
                    cancel(&mut world, 1, &job);
                    hold_request(&mut world, &what, |_, r| cancels_job(r, &job))
                }
                LostReply::End => {
                    submit_and_await_start(&mut world, spec, 1);
                    hold_request(&mut world, &what, |_, r| has_purpose(r, Purpose::Archive))
                }
            };
            execute_and_lose_reply(&mut world, held);
            query_everywhere(&mut world, &job, 400);
            if cancelled {
                (0..CONTROLLERS).for_each(|controller| cancel(&mut world, controller, &job));
            }
            query_everywhere(&mut world, &job, 3_000);
            assert_all_jobs_end_and_are_reported(&mut world, 60_000, &what);
            let end = world.jobs[&job].answered_state;
            let by_user =
                lost_reply == LostReply::Cancellation || cancelled && lost_reply != LostReply::End;
            let expected = if by_user { JobState::Aborted } else { JobState::Done };
            assert_eq!(end, Some(expected), "{what}");
        }
    }
}

/// A quarter of all store replies is lost while jobs are submitted, run and are cancelled.
#[test]
fn lost_replies_keep_answers_consistent() {
    for seed in 1..3 {
        let mut world = World::sized(seed, false, Size { machines: 24, ..Size::SMALL });
        world.poll_everything();
        world.query_repeatedly_until(Ms(70_000));
        world.lose_answers(0.25, Ms(70_000));
        world.keep_busy(Ms(70_000));
        world.run(Ms(130_000));
        assert_no_violations(&world, &format!("seed {seed}"));
        assert!(world.answers.lost_answers > 40, "{}", world.answers.lost_answers);
    }
}

/// The completion of a job's last task and its cancellation are in flight at the same time, in both orders. The one that
/// is executed first is the permanent outcome at all controllers.
#[test]
fn cancellation_racing_completion_has_one_outcome() {
    for end_first in [false, true] {
        let what = format!("end first: {end_first}");
        let mut world = ready_region(8);
        let spec = plain_job(&mut world, 1, 6.0);
        let job = submit_and_await_start(&mut world, spec, 1);
        let end = hold_request(&mut world, &what, |_, r| has_purpose(r, Purpose::Archive));
        let other = (end.0.controller + 1) % CONTROLLERS;
        cancel(&mut world, other, &job);
        let cancelled = hold_request(&mut world, &what, |n, r| n == other && cancels_job(r, &job));
        let (first, second) = if end_first { (end, cancelled) } else { (cancelled, end) };
        world.handle_event(first.1);
        query_everywhere(&mut world, &job, 200);
        world.handle_event(second.1);
        (0..CONTROLLERS).for_each(|controller| cancel(&mut world, controller, &job));
        query_everywhere(&mut world, &job, 3_000);
        assert_all_jobs_end_and_are_reported(&mut world, 30_000, &what);
        let expected = if end_first { JobState::Done } else { JobState::Aborted };
        assert_eq!(world.jobs[&job].answered_state, Some(expected), "{what}");
    }
}

/// A user cancels a job at various delays after its last task ended: all controllers give the same answer from then on.
#[test]
fn cancellation_near_completion_gives_consistent_answers() {
    let mut ends = [0, 0];
    for after_ms in [0, 3, 10, 25, 60, 120, 250, 500, 900] {
        let mut world = ready_region(9 + after_ms);
        let spec = plain_job(&mut world, 2, 5.0);
        let job = submit_and_await_start(&mut world, spec, 0);
        while world.jobs[&job].done.len() < 2 {
            run_for(&mut world, 1);
        }
        run_for(&mut world, after_ms);
        for controller in 0..CONTROLLERS {
            cancel(&mut world, controller, &job);
            world.at(
                1,
                SimulationEvent::Looks { controller, job: job.clone(), what: Query::Repeats },
            );
        }
        query_everywhere(&mut world, &job, 2_000);
        assert_all_jobs_end_and_are_reported(&mut world, 30_000, &format!("{after_ms} ms after"));
        ends[usize::from(world.jobs[&job].answered_state == Some(JobState::Done))] += 1;
    }
    assert!(ends[0] > 0 && ends[1] > 0, "aborted and done: {ends:?}");
}

/// Users cancel jobs that run in a controller's pools just before, during and after the assignment of these pools to other
/// controllers. Once a cancellation is confirmed, neither owner may start tasks of the job, except for commands that were
/// already in flight.
#[test]
fn cancellations_hold_during_pool_reassignment() {
    for (seed, owner_fault) in [
        OwnerFault::Crash(8_000),
        OwnerFault::StoreRefused(20_000),
        OwnerFault::Isolated(25_000, false),
    ]
    .into_iter()
    .enumerate()
    {
        for after_ms in [0, 400, 1_500, 4_000] {
            let what = format!("{owner_fault:?}, {after_ms} ms after the assignment");
            let mut world = region(20 + seed as u64, 24);
            world.run(Ms(4_000));
            let jobs: Vec<JobId> = (0..6)
                .map(|n| {
                    let mut spec = plain_job(&mut world, 8, 300.0);
                    spec.cpus = 1.0;
                    world.submit(n % CONTROLLERS, spec)
                })
                .collect();
            run_for(&mut world, 20_000);
            let owner = world.most().expect("a controller owns machines");
            owner_fault.inject(&mut world, owner);
            // The assignment is still in flight when the first jobs are cancelled.
            let assignment = hold_request(&mut world, &what, |n, r| {
                n != owner && has_purpose(r, Purpose::PoolAssignment)
            });
            let others: Vec<usize> = (0..CONTROLLERS).filter(|n| *n != owner).collect();
            for (n, job) in jobs[..3].iter().enumerate() {
                cancel(&mut world, others[n % 2], job);
            }
            run_for(&mut world, 300);
            world.handle_event(assignment.1);
            run_for(&mut world, after_ms);
            for (n, job) in jobs[3..].iter().enumerate() {
                cancel(&mut world, others[n % 2], job);
            }
            run_while_polling(&mut world, 60_000);
            assert_no_violations(&world, &what);
            assert!(world.running.is_empty(), "{what}: {} tasks run", world.running.len());
            let is_aborted = |j: &&JobId| world.jobs[*j].answered_state == Some(JobState::Aborted);
            assert_eq!(jobs.iter().filter(is_aborted).count(), jobs.len(), "{what}");
        }
    }
}

/// Jobs that fit no machine type are refused by every controller. A controller that does not know the machine types
/// answers 503. An accepted job is never refused later.
#[test]
fn invalid_requests_are_refused_by_every_controller() {
    let mut world = World::sized(40, false, Size { machines: 24, ..Size::SMALL });
    world.poll_everything();
    world.odd_requests(Ms(60_000));
    world.keep_busy(Ms(60_000));
    world.run(Ms(20_000));
    // A controller that restarts while the cloud API is unavailable, or lists no types, can't decide.
    for (controller, cloud_off, at) in [(0, true, 20_000), (1, false, 35_000)] {
        let types = world.cloud.types.clone();
        match cloud_off {
            true => world.cloud_off = true,
            false => world.cloud.types.clear(),
        }
        world.crash(controller, 200);
        world.run(Ms(at + 5_000));
        let spec = world.impossible_job();
        let impossible = spec.id.clone();
        world.submit_odd(controller, spec);
        let possible = plain_job(&mut world, 1, 5.0);
        let job = world.submit(controller, possible);
        run_for(&mut world, 1_000);
        assert_eq!(
            world.answers.last.get(&impossible),
            Some(&(503, None)),
            "cloud off: {cloud_off}"
        );
        assert!(!world.jobs[&job].accepted, "cloud off: {cloud_off}");
        (world.cloud_off, world.cloud.types) = (false, types);
        run_for(&mut world, 5_000);
    }
    world.run(Ms(62_000));
    assert_no_violations(&world, "invalid requests");
    let refused = world.answers.odd_answers.get(&422).copied().unwrap_or_default();
    assert!(refused > 10 && world.answers.malformed > 10, "{:?}", world.answers.odd_answers);
}

/// An accepted job is never refused, neither while it runs nor after its end, by a controller that restarted when the cloud
/// no longer listed the only machine type that fits.
#[test]
fn accepted_job_survives_machine_type_removal() {
    let requiring_other_type = |world: &mut World| {
        let mut spec = plain_job(world, 1, 8.0);
        spec.types = Some(vec![TypeId::new("other")]);
        spec
    };
    let restarted = 2;
    // The job was just accepted, and the restarted controller has not read it yet.
    let mut world = ready_region(41);
    world.cloud.types.retain(|t| t.name != TypeId::new("other"));
    world.crash(restarted, 200);
    run_for(&mut world, 4_000);
    let spec = requiring_other_type(&mut world);
    let job = world.submit(0, spec);
    run_for(&mut world, 60);
    assert!(world.jobs[&job].accepted);
    world.answers.last.clear();
    world.submit_again(restarted, &job);
    run_for(&mut world, 1_000);
    assert_eq!(world.answers.last.get(&job), Some(&(200, Some(JobState::Queued))));
    assert_no_violations(&world, "just accepted");
    // Resubmitted while the job runs, and after its end.
    let mut world = ready_region(41);
    let spec = requiring_other_type(&mut world);
    let job = submit_and_await_start(&mut world, spec, 0);
    let owner = pool_owner(&world, &world.running.values().next().expect("it runs").clone());
    let restarted = (owner.expect("the pool has an owner") + 1) % CONTROLLERS;
    world.cloud.types.retain(|t| t.name != TypeId::new("other"));
    for state in [JobState::Running, JobState::Done] {
        world.crash(restarted, 200);
        run_for(&mut world, 4_000);
        world.answers.last.clear();
        world.submit_again(restarted, &job);
        run_for(&mut world, 1_000);
        assert_eq!(world.answers.last.get(&job), Some(&(200, Some(state))));
        assert_all_jobs_end(&mut world, 30_000, "accepted");
    }
    assert_no_violations(&world, "accepted");
}

/// The state service is slow, then refuses the controller with the most machines, then all controllers for longer than a
/// cancellation may take. Users cancel the jobs on that controller's machines through the other controllers and poll at all
/// of them, while the controllers can't reach each other.
#[test]
fn cancellations_hold_during_slow_then_unavailable_store() {
    for seed in 1..3 {
        let mut world = World::sized(50 + seed, false, Size { machines: 24, ..Size::SMALL });
        world.poll_everything();
        world.keep_busy(Ms(120_000));
        world.run(Ms(4_000));
        for n in 0..6 {
            let mut spec = plain_job(&mut world, 8, 300.0);
            spec.cpus = 1.0;
            world.submit(n % CONTROLLERS, spec);
        }
        world.run(Ms(25_000));
        world.slow(250, Ms(45_000));
        world.query_repeatedly_until(Ms(120_000));
        world.cancel_at_end(0.5, Ms(120_000));
        world.run(Ms(40_000));
        let busiest = world.most().expect("a controller owns machines");
        world.mesh_off = true;
        let outage_ms = world.size.cancel_ms + 15_000;
        world.refused_then_outage(busiest, 1_800, outage_ms);
        let is_owned = |m: &&MachineId| pool_owner(&world, m) == Some(busiest);
        let busy_machines: BTreeSet<MachineId> =
            world.running.values().filter(is_owned).cloned().collect();
        let jobs: BTreeSet<JobId> = world
            .running
            .iter()
            .filter(|(_, m)| busy_machines.contains(m))
            .map(|(task, _)| task.job.clone())
            .collect();
        for (n, job) in jobs.iter().enumerate() {
            cancel(&mut world, (busiest + 1 + n % 2) % CONTROLLERS, job);
        }
        run_for(&mut world, 1_800);
        let confirmed = jobs.iter().filter(|j| world.jobs[*j].cancel_confirmed.is_some()).count();
        assert!(confirmed > 3, "seed {seed}: {confirmed} of {} confirmed", jobs.len());
        world.run(Ms(180_000));
        assert_no_violations(&world, &format!("seed {seed}"));
    }
}

/// Jobs with the largest accepted amount in every field that does not describe machine resources do not block other jobs.
#[test]
fn maximum_amounts_do_not_block_scheduling() {
    let mut world = ready_region(60);
    let max_amount = job::MAX_AMOUNT;
    for n in 0..6 {
        let mut spec = plain_job(&mut world, 3, max_amount);
        (spec.save_s, spec.deadline_s) = (max_amount, Some(max_amount));
        (spec.checkpoint_s, spec.image_gb) =
            ([0.0, max_amount][n % 2], [0.5, max_amount][n / 2 % 2]);
        let body = serde_json::to_vec(&spec).expect("a job");
        assert!(JobSpec::from_json(&body).is_ok());
        world.submit(n % CONTROLLERS, spec);
    }
    let spec = plain_job(&mut world, 4, 5.0);
    let job = world.submit(0, spec);
    run_while_polling(&mut world, 40_000);
    assert_eq!(world.jobs[&job].answered_state, Some(JobState::Done));
    let others: Vec<JobId> = world.jobs.keys().filter(|id| **id != job).cloned().collect();
    assert!(others.iter().all(|id| world.jobs[id].accepted));
    others.iter().for_each(|id| cancel(&mut world, 0, id));
    assert_all_jobs_end_and_are_reported(&mut world, 60_000, "maximum amounts");
}

/// A user counts an acceptance or a cancellation as prompt within this time.
const PROMPT_MS: u64 = 1_000;

/// What happens to a transaction whose reply is lost.
#[derive(Clone, Copy, Debug, PartialEq)]
enum TransactionOutcome {
    /// Executed at once.
    Executed,
    /// Executed seconds later, after other transactions.
    ExecutedLate,
    NotExecuted,
}

const TRANSACTION_OUTCOMES: [TransactionOutcome; 3] = [
    TransactionOutcome::Executed,
    TransactionOutcome::ExecutedLate,
    TransactionOutcome::NotExecuted,
];

/// Loses the reply to a held request. Returns the request if it is to be executed later.
fn lose_reply(
    world: &mut World,
    outcome: TransactionOutcome,
    held: (InFlightRequest, SimulationEvent),
) -> Option<SimulationEvent> {
    if outcome == TransactionOutcome::Executed {
        execute_and_lose_reply(world, held);
        return None;
    }
    let (request, event) = held;
    let unknown = Box::new(Event::Store { op: request.op, reply: StoreReply::Unknown });
    world.at(
        1_500,
        SimulationEvent::Controller(request.controller, world.lives[request.controller], unknown),
    );
    Some(event).filter(|_| outcome == TransactionOutcome::ExecutedLate)
}

/// Without any repeated request, the submission and the cancellation are answered within a second, and the job starts in
/// time.
#[test]
fn missing_store_reply_is_resolved_within_second() {
    for (seed, outcome) in TRANSACTION_OUTCOMES.into_iter().enumerate() {
        let what = format!("{outcome:?}");
        let mut world = ready_region(70 + seed as u64);
        // Machines are already running, so that a start waits only for its claim.
        let mut spec = plain_job(&mut world, 4, 60.0);
        spec.cpus = 0.5;
        submit_and_await_start(&mut world, spec, 0);
        run_for(&mut world, 10_000);
        let mut spec = plain_job(&mut world, 1, 300.0);
        spec.cpus = 0.5;
        let job = world.submit(1, spec);
        let submitted_at = world.now;
        let held = hold_request(&mut world, &what, |_, r| has_purpose(r, Purpose::Submit));
        let mut late_requests: Vec<SimulationEvent> =
            lose_reply(&mut world, outcome, held).into_iter().collect();
        world.run(submitted_at.plus(PROMPT_MS));
        assert!(world.jobs[&job].accepted, "{what}: accepted");
        if !world.running.keys().any(|t| t.job == job) {
            if let Some(claim) = find_in_flight(&world, |_, r| claims_tasks(r, &job)) {
                let event = world.events.remove(&claim.event_number).expect("found above");
                late_requests.extend(lose_reply(&mut world, outcome, (claim, event)));
            }
        }
        run_for(&mut world, 5_000);
        assert!(world.running.keys().any(|t| t.job == job), "{what}: runs");
        cancel(&mut world, 2, &job);
        let cancelled_at = world.now;
        let held = hold_request(&mut world, &what, |_, r| cancels_job(r, &job));
        late_requests.extend(lose_reply(&mut world, outcome, held));
        world.run(cancelled_at.plus(PROMPT_MS));
        assert_eq!(world.jobs[&job].answered_state, Some(JobState::Aborted), "{what}: cancelled");
        late_requests.into_iter().for_each(|event| world.handle_event(event));
        query_everywhere(&mut world, &job, 2_000);
        assert_all_jobs_end_and_are_reported(&mut world, 90_000, &what);
    }
}

/// Users submit and cancel for ninety seconds while a share of the store replies is lost or the store is slow. Returns
/// which share of the jobs submitted in that time was accepted within a second, and the numbers of store changes and
/// requests of the whole run.
fn measure_prompt_acceptance(seed: u64, lost_share: f64, slow_ms: u64) -> (f64, usize, u64) {
    let mut world = World::sized(seed, false, Size { machines: 24, ..Size::SMALL });
    world.poll_everything();
    world.keep_busy(Ms(110_000));
    world.run(Ms(15_000));
    if lost_share > 0.0 {
        world.lose_answers(lost_share, Ms(105_000));
    }
    if slow_ms > 0 {
        world.slow(slow_ms, Ms(105_000));
    }
    world.run(Ms(125_000));
    assert_no_violations(&world, &format!("seed {seed}, lost {lost_share}, slow {slow_ms}"));
    let (all, prompt) = world.accepted_within(PROMPT_MS, Ms(15_000), Ms(105_000));
    let changes = world.changes.iter().map(|c| c.1).sum();
    (prompt as f64 / all as f64, changes, world.answers.store_calls)
}

#[test]
fn submissions_are_prompt_despite_lost_replies() {
    for seed in 80..83 {
        let (prompt, changes, requests) = measure_prompt_acceptance(seed, 0.25, 0);
        println!(
            "seed {seed}: {prompt:.3} within a second, {changes} changes, {requests} requests"
        );
        assert!(prompt >= 0.95, "seed {seed}: {prompt:.3}");
    }
}

fn reads_archive_record(request: &StoreRequest, job: &JobId) -> bool {
    matches!(request, StoreRequest::Get(key) if *key == records::archive_key(job))
}

/// Brings a controller into the situation in which the look-up of a job in the archive, sent for an earlier question, was
/// executed before the job was accepted and is not answered yet, while `ask` asks about the job after its acceptance and a
/// read shows that it is not live any more, because it was cancelled meanwhile. Returns the region after that look-up is
/// answered.
fn ask_during_earlier_lookup(seed: u64, ask: impl Fn(&mut World, &JobId)) -> (World, JobId) {
    const ASKED: usize = 0;
    const OTHER: usize = 1;
    let mut world = ready_region(seed);
    let mut spec = plain_job(&mut world, 1, 60.0);
    spec.zone = Some(ZoneId::new("a"));
    let job = spec.id.clone();
    // The first question, about a job that is not submitted yet. The reading that answers it is held up.
    world.know(&spec);
    poll(&mut world, ASKED, &job);
    let (first_read, event) =
        hold_request(&mut world, "first read", |n, r| n == ASKED && is_changes_read(r));
    world.handle_event(event);
    let first_reply = take_reply(&mut world, &first_read).expect("answered");
    world.submit(OTHER, spec);
    while !world.jobs[&job].accepted {
        run_for(&mut world, 1);
    }
    // The second question, after the acceptance. Then the first one's look-up is sent and executed.
    ask(&mut world, &job);
    world.handle_event(first_reply);
    let (lookup, event) =
        hold_request(&mut world, "look-up", |n, r| n == ASKED && reads_archive_record(r, &job));
    world.handle_event(event);
    let lookup_reply = take_reply(&mut world, &lookup).expect("answered");
    // The next reading is executed after the cancellation, so it shows that the job is not live. The look-up is answered
    // just after it.
    let second_read =
        hold_request(&mut world, "second read", |n, r| n == ASKED && is_changes_read(r));
    cancel(&mut world, OTHER, &job);
    while world.store.get(&records::archive_key(&job)).is_none() {
        run_for(&mut world, 1);
    }
    execute_and_deliver_reply(&mut world, second_read);
    world.handle_event(lookup_reply);
    (world, job)
}

/// Guards against an absence that was established before a question counting for it: a question about an accepted job
/// joined the look-up in the archive of an earlier question, and got its 404 although the job had been accepted, cancelled
/// and archived in between. Questions, cancellations and repeated submissions wait for the same look-up.
#[test]
fn earlier_lookup_does_not_answer_later_request() {
    type Ask = fn(&mut World, &JobId);
    let kinds: [(&str, Ask); 3] = [
        ("poll", |world, job| poll(world, 0, job)),
        ("cancellation", |world, job| cancel(world, 0, job)),
        ("submission", |world, job| world.submit_again(0, job)),
    ];
    for (seed, (what, ask)) in (11..).zip(kinds) {
        let (mut world, job) = ask_during_earlier_lookup(seed, ask);
        run_for(&mut world, 2_000);
        assert_no_violations(&world, what);
        let (code, state) = world.answers.last[&job];
        assert_eq!((code, state), (200, Some(JobState::Aborted)), "{what}");
    }
}

/// Guards against requests that are never answered because the job's archive record cannot be read: they are to be
/// repeated, and the job is not said to be unknown.
#[test]
fn unreadable_archive_record_is_answered_to_be_retried() {
    let mut world = ready_region(21);
    let spec = plain_job(&mut world, 1, 6.0);
    let job = spec.id.clone();
    world.know(&spec);
    let mut txn = Txn::default();
    txn.put(records::archive_key(&job), &"not a record", None);
    world.store.txn(&txn).expect("written");
    poll(&mut world, 0, &job);
    run_for(&mut world, 2_000);
    assert_eq!(world.answers.last.get(&job), Some(&(503, None)));
}
