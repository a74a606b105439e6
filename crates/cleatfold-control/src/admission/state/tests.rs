//! What the meter counts of the jobs that arrive.

use super::*;
use crate::store::cache::StateCache;
use crate::store::records::JobRecord;
use cleatfold_wire::Version;

/// The jobs of one group: `services` services, and as many batch jobs of 400 processor-seconds.
fn jobs(services: usize) -> StateCache {
    let mut cache = StateCache::default();
    for n in 0..2 * services {
        let (kind, estimate_s) = if n < services { ("service", 0.0) } else { ("batch", 100.0) };
        let spec = serde_json::json!({
            "uid": format!("run-{n:06}"), "lot": "class", "equipe": "team", "genre": kind,
            "urgence": "normal", "pieces": 1, "cores": 4.0, "cards": 0.0, "ramGb": 1.0,
            "gabarit": "image", "pullGb": 0.0, "oneZone": false, "spread": false, "pretees": true,
            "dureePrevueS": estimate_s, "intervalleSauvegardeS": 0.0, "dureeSauvegardeS": 0.0,
        });
        let spec = serde_json::from_value(spec).expect("a job");
        let id = JobId::new(format!("run-{n:06}"));
        cache.install_job(id, JobRecord::new(spec, 1_000), Version(1 + n as u64));
    }
    cache
}

/// Guards against services counting as jobs of a single processor-second: with as many of them as batch jobs, nearly all
/// batch jobs of their group were larger than its small jobs, which alone have to be served.
#[test]
fn services_do_not_shrink_the_size_of_small_jobs() {
    let mut admission = AdmissionState::default();
    admission.count_arrivals(&jobs(20).jobs, 1.0);
    let group = Group { team: TeamId::new("team"), class: cleatfold_wire::ClassId::new("class") };
    let small = admission.meter.size_distribution(&group, 0.5).expect("batch jobs arrived");
    assert!(small.max_work >= 400.0, "{small:?}");
}
