//! Watches for jobs that wait because nothing is rented: no machine has room, and the cloud would rent one.
//!
//! The starvation watch looks at room that machines have. A job can also wait for ever where no machine has any, if
//! whoever rents believes that some will.

use super::{BTreeMap, JobId, Kind, Ms, World};

/// As long as a job may wait beside a machine with room.
const UNSERVED_MS: u64 = 90_000;
const CHECK_INTERVAL_MS: u64 = 1_000;

#[derive(Default)]
pub struct ScaleOutWatch {
    last_checked: Ms,
    /// Since when each job has waited so.
    since: BTreeMap<JobId, Ms>,
    /// The longest such wait.
    pub longest_ms: u64,
}

impl World {
    /// Once all troubles are over, no job waits for 90 s without a machine while the cloud has one for it and nothing
    /// boots.
    pub(super) fn watch_scale_out(&mut self) {
        if self.now.since(self.scale_out_watch.last_checked) < CHECK_INTERVAL_MS {
            return;
        }
        self.scale_out_watch.last_checked = self.now;
        let is_booting = self.workers.values().any(|worker| worker.seq == 0);
        let has_capacity = !self.cloud_off && self.cloud.machines.len() < self.cloud.capacity;
        if self.starvation_is_excused() || is_booting || !has_capacity {
            self.scale_out_watch.since.clear();
            return;
        }
        let waiting = self.jobs_without_machine();
        self.scale_out_watch.since.retain(|job, _| waiting.contains(job));
        for job in waiting {
            let since = *self.scale_out_watch.since.entry(job.clone()).or_insert(self.now);
            let waited_ms = self.now.since(since);
            self.scale_out_watch.longest_ms = self.scale_out_watch.longest_ms.max(waited_ms);
            if waited_ms > UNSERVED_MS {
                self.broken.push(format!("{:?} no machine is rented for {job}", self.now));
            }
        }
    }

    /// Jobs of which no task runs, which their team's limit does not keep from starting, and for which no machine has
    /// room.
    fn jobs_without_machine(&self) -> Vec<JobId> {
        let mut waiting = Vec::new();
        for (id, watch) in &self.jobs {
            let Some(spec) = watch.spec.as_ref().filter(|_| self.is_open(id, watch)) else {
                continue;
            };
            let needs = if spec.kind == Kind::Gang { spec.tasks } else { 1 };
            let used = self.in_use.get(&spec.team).copied().unwrap_or_default();
            let limit = self.limit_of(&spec.team);
            let is_limited =
                limit.is_some_and(|limit| used + spec.cpus * f64::from(needs) > limit + 1e-6);
            let runs = self.running.keys().any(|task| task.job == *id);
            if !runs && !is_limited && !self.has_room_now(spec) {
                waiting.push(id.clone());
            }
        }
        waiting
    }
}
