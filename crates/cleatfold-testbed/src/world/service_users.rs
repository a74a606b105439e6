//! Users of services: jobs whose replicas run until their user cancels them, beside whatever else the region does.

use super::{
    BTreeSet, ImageId, JobId, JobSpec, JobState, Kind, Ms, Rng, SimulationEvent, TeamId, Urgency,
    World,
};

/// Services that have not been cancelled, at most.
const MAX_OPEN_SERVICES: usize = 5;
const PAUSE_MS: std::ops::Range<u64> = 1_000..4_000;
/// How long a service is used before its user cancels it.
const USED_MS: std::ops::Range<u64> = 30_000..160_000;

#[derive(Default)]
pub struct ServiceUsers {
    until: Ms,
    services: BTreeSet<JobId>,
}

impl World {
    /// Until then users submit services, and cancel each after a while. The last ones are cancelled after it.
    pub fn run_services(&mut self, until: Ms) {
        self.service_users.until = until;
        self.at(PAUSE_MS.start, SimulationEvent::ServiceUsers);
    }

    pub(super) fn use_services(&mut self) {
        let open = self.service_users.services.iter().filter(|job| {
            let watch = &self.jobs[*job];
            !watch.cancel_asked && !watch.answered_state.is_some_and(JobState::is_final)
        });
        let open = open.count();
        if self.now >= self.service_users.until {
            return;
        }
        let pause = self.rng.random_range(PAUSE_MS);
        self.at(pause, SimulationEvent::ServiceUsers);
        if open >= MAX_OPEN_SERVICES {
            return;
        }
        let Some(controller) = self.users_node() else { return };
        let spec = self.some_service();
        let job = spec.id.clone();
        self.service_users.services.insert(job.clone());
        self.submit(controller, spec);
        let used_ms = self.rng.random_range(USED_MS);
        self.at(used_ms, SimulationEvent::Cancels(job));
    }

    /// A service of a few replicas: some take nearly all processors of their machines, some nearly all of the memory,
    /// and some leave fragments.
    fn some_service(&mut self) -> JobSpec {
        let mut spec = self.some_job();
        (spec.kind, spec.estimate_s) = (Kind::Service, 0.0);
        (spec.team, spec.urgency) = (TeamId::new("free"), Urgency::Normal);
        spec.image = ImageId::new("i1");
        spec.tasks = self.rng.random_range(1..4);
        (spec.cpus, spec.memory_gb) =
            [(8.0, 1.0), (7.0, 2.0), (5.0, 1.0), (1.0, 30.0)][self.rng.random_range(0..4)];
        spec
    }
}
