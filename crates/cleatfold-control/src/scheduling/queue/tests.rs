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
