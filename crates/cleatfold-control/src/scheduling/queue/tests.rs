//! Compares the queue's order with a simple model: jobs sorted by urgency, guarantee and the
//! revision at which each was accepted.

use super::*;
use crate::config::{Config, Team};
use crate::store::records::JobRecord;
use cleatfold_wire::job::{JobSpec, Kind};
use cleatfold_wire::{ControllerId, ImageId, Version, ZoneId};
use proptest::prelude::*;

const URGENCIES: [Urgency; 4] =
    [Urgency::Critical, Urgency::High, Urgency::Normal, Urgency::BestEffort];
const GUARANTEED: u32 = 6;

/// A job as accepted: index of its urgency, whether its team has a guarantee, processors, and the
/// clock error of the controller that accepted it in milliseconds.
type Job = (usize, bool, u32, i64);

fn controller(me: &str) -> Controller {
    let team = |name: &str, cpus: f64| Team {
        name: TeamId::new(name),
        cpus,
        gpus: 0.0,
        cpus_max: 0.0,
        gpus_max: 0.0,
    };
    Controller::new(Config {
        controller_id: ControllerId::new(me),
        zone: ZoneId::new("a"),
        peers: vec![],
        teams: vec![team("promised", f64::from(GUARANTEED)), team("other", 0.0)],
        heartbeat_interval_ms: 1000,
        lease_ms: 10_000,
        cancel_ms: 40_000,
        max_txn_changes: 16,
        changes_per_s: 60.0,
        max_value_bytes: 16 * 1024,
        cloud_calls_per_s: 4.0,
        list_lag_ms: 10_000,
        pools_per_job: 2,
        read_interval_ms: 250,
        controller_lease_ms: 3000,
        objectives: vec![],
        usual_wait_s: 10.0,
        idle_return_s: 20.0,
        preempt: true,
        admission: None,
        guarantee_wait_s: None,
        history: Default::default(),
        image_distribution: None,
    })
}

fn record((urgency, has_guarantee, cpus, clock_error_ms): Job, n: usize) -> JobRecord {
    // Ids whose order differs from the order of acceptance.
    let id = JobId::new(format!("run-{:06}", (n * 7919 + 13) % 1000));
    let spec = JobSpec {
        id,
        class: ClassId::new("class"),
        team: TeamId::new(if has_guarantee { "promised" } else { "other" }),
        kind: Kind::Array,
        urgency: URGENCIES[urgency],
        tasks: 1,
        cpus: f64::from(cpus),
        gpus: 0.0,
        memory_gb: 1.0,
        image: ImageId::new("i"),
        image_gb: 0.0,
        types: None,
        zone: None,
        one_zone: false,
        spread: false,
        spot: true,
        estimate_s: 10.0,
        checkpoint_s: 0.0,
        save_s: 0.0,
        deadline_s: None,
        elastic: None,
    };
    JobRecord::new(spec, (1_000_000 + 100 * n as i64 + clock_error_ms) as u64)
}

/// The expected order: urgency, then within the guarantee, then acceptance.
fn model(jobs: &[Job]) -> Vec<JobId> {
    let mut guarantee_left = i64::from(GUARANTEED);
    let mut places = Vec::new();
    for (n, job) in jobs.iter().enumerate() {
        let within_guarantee = job.1 && i64::from(job.2) <= guarantee_left;
        guarantee_left -= if job.1 { i64::from(job.2) } else { 0 };
        places.push((job.0, !within_guarantee, n, record(*job, n).spec.id));
    }
    places.sort();
    places.into_iter().map(|p| p.3).collect()
}

proptest! {
    /// Two controllers derive the model's order even if clocks are off by up to ten seconds,
    /// records were rewritten since, and one reads all records at once and the other in order of
    /// the changes. Fails if the queue is ordered by the time of day of the acceptance.
    #[test]
    fn controllers_derive_same_order_despite_clock_errors(
        jobs in prop::collection::vec(
            (0..4usize, any::<bool>(), 1..5u32, -10_000..10_000i64), 1..40),
        rewritten in prop::collection::vec(any::<bool>(), 40),
    ) {
        let (mut first, mut second) = (controller("n0"), controller("n1"));
        let mut next_version = 1000;
        for (n, job) in jobs.iter().enumerate() {
            let accepted = Version(10 + n as u64);
            let mut r = record(*job, n);
            first.cache.install_job(r.spec.id.clone(), r.clone(), accepted);
            if rewritten[n] {
                // As in `build`: a rewritten record keeps its place and has a new version.
                next_version += 1;
                r.accepted_revision = Some(first.cache.jobs[&r.spec.id].accepted_revision());
                first.cache.install_job(r.spec.id.clone(), r.clone(), Version(next_version));
            }
        }
        for (id, cached) in first.cache.jobs.iter().rev() {
            second.cache.install_job(id.clone(), cached.record.clone(), cached.version);
        }
        let order = |n: &Controller| n.queue().into_iter().map(|q| q.job).collect::<Vec<_>>();
        prop_assert_eq!(order(&first), model(&jobs));
        prop_assert_eq!(order(&second), model(&jobs));
    }
}

/// Installs a job of the class "class", and returns its id.
fn install(controller: &mut Controller, n: usize, kind: Kind, accepted_ms: u64) -> JobId {
    let mut r = record((2, false, 4, 0), n);
    (r.spec.kind, r.accepted_ms) = (kind, accepted_ms);
    r.spec.estimate_s = if kind == Kind::Service { 0.0 } else { 10.0 };
    let id = r.spec.id.clone();
    controller.cache.install_job(id.clone(), r, Version(10 + n as u64));
    id
}

/// A controller under overload: the class "class" is not served in time, and its jobs are useful for a minute.
fn overloaded_controller(wall_ms: u64) -> Controller {
    let mut controller = controller("n0");
    (controller.wall_ms, controller.cfg.admission) = (wall_ms, Some(Default::default()));
    let entry = QuotaEntry {
        team: TeamId::new("other"),
        class: ClassId::new("class"),
        floor: 8_000,
        median_work: 40,
        patience_ms: 60_000,
        delay_ms: 0,
        max_new_work: None,
        sizes: None,
    };
    controller.cache.overload_quota.value.entries = vec![entry];
    controller
}

/// Guards against a service counting as the smallest of its class's jobs: while it waited, it took the guaranteed minimum
/// of the small batch jobs.
#[test]
fn waiting_service_is_not_promoted_as_smallest_job() {
    let mut controller = overloaded_controller(1_100_000);
    let service = install(&mut controller, 1, Kind::Service, 1_099_000);
    for n in 2..7 {
        install(&mut controller, n, Kind::Array, 1_099_000);
    }
    let order: Vec<JobId> = controller.queue().into_iter().map(|queued| queued.job).collect();
    let place = order.iter().position(|job| *job == service);
    // Two batch jobs fill the minimum. The service goes by its acceptance, before the others.
    assert_eq!(place, Some(2), "{order:?}");
}

/// Guards against the processors of a service filling the guaranteed minimum of its class's small jobs, which ends with
/// none of them promoted as long as the service runs.
#[test]
fn running_service_does_not_fill_floor_of_small_jobs() {
    let mut controller = overloaded_controller(1_010_000);
    let service = install(&mut controller, 1, Kind::Service, 1_000_000);
    let small = install(&mut controller, 2, Kind::Array, 1_000_000);
    let urgent = JobId::new("run-999999");
    let mut r = record((0, false, 4, 0), 3);
    (r.spec.id, r.spec.class) = (urgent.clone(), ClassId::new("urgent"));
    controller.cache.install_job(urgent.clone(), r, Version(20));
    controller.cache.jobs.get_mut(&service).expect("installed").claimed = 4;
    let order: Vec<JobId> = controller.queue().into_iter().map(|queued| queued.job).collect();
    assert_eq!(order, vec![small, urgent]);
}
