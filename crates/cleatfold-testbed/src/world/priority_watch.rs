//! Watches the order of urgencies: starts of a lower one while something of a higher one waited that would have
//! fitted there.

use super::{records, BTreeMap, BTreeSet, JobId, Kind, MachineId, Ms, TaskId, World, ZoneId};
use cleatfold_backfill::Resources;
use cleatfold_priority::{is_inversion, Inversions, TaskStart, WaitingJob};

#[derive(Default)]
pub struct PriorityWatch {
    /// Looking at all jobs at each start costs: only where a test asks for it.
    pub on: bool,
    pub counted: Inversions,
    /// By job: when it was accepted, when a task of it first started, as the region saw it.
    pub accepted: BTreeMap<JobId, Ms>,
    pub begun: BTreeMap<JobId, Ms>,
    /// Since when a job has had tasks without a place.
    since: BTreeMap<JobId, Ms>,
    records: BTreeMap<JobId, (records::JobRecord, u32)>,
    last_checked: Ms,
    /// When each task's claim was first seen, and what ended on each machine lately.
    claimed: BTreeMap<TaskId, Ms>,
    ended: BTreeMap<MachineId, Vec<(Ms, Resources)>>,
}

impl World {
    /// Notes which jobs have tasks without a place; at least as often as a worker reports.
    pub(super) fn see_waiting(&mut self) {
        if self.priority_watch.on && self.now.since(self.priority_watch.last_checked) >= 100 {
            self.check_waiting();
        }
    }

    fn check_waiting(&mut self) {
        self.priority_watch.last_checked = self.now;
        let mut from: Option<String> = None;
        let mut known: BTreeMap<JobId, (records::JobRecord, u32)> = BTreeMap::new();
        loop {
            let page = self.store.list("cf/j/", from.as_deref(), 100);
            for item in &page.items {
                let record: records::JobRecord =
                    serde_json::from_str(item.value.get()).expect("a job");
                known.insert(record.spec.id.clone(), (record, 0));
            }
            from = page.items.last().map(|i| i.key.clone()).filter(|_| page.more);
            if from.is_none() {
                break;
            }
        }
        let mut claimed = BTreeSet::new();
        for (id, (record, unclaimed)) in &mut known {
            let mut taken = 0;
            let mut parts = Vec::new();
            if record.in_parts() {
                for part in 0..record.part_count() {
                    if record.parts_done.contains(&part) {
                        let (from, to) = record.part_range(part);
                        taken += to - from;
                    } else if let Some(item) = self.store.get(&records::part_key(id, part)) {
                        parts.push(serde_json::from_str(item.value.get()).expect("a part"));
                    }
                }
            }
            for table in std::iter::once(&record.table).chain(&parts) {
                taken += table.done_count();
                let tasks = table.claims.iter().flat_map(|g| &g.tasks);
                claimed.extend(tasks.map(|t| TaskId { job: id.clone(), ix: t.0 }));
                taken += table.claims.iter().map(|g| g.tasks.len() as u32).sum::<u32>();
            }
            *unclaimed = record.spec.tasks.saturating_sub(taken);
            self.priority_watch.accepted.entry(id.clone()).or_insert(self.now);
        }
        let now = self.now;
        let priority_watch = &mut self.priority_watch;
        priority_watch.claimed.retain(|t, _| claimed.contains(t));
        for task in claimed {
            priority_watch.claimed.entry(task).or_insert(now);
        }
        let waits = |id: &JobId| known.get(id).is_some_and(|k| k.1 > 0 && !k.0.aborted);
        priority_watch.since.retain(|id, _| waits(id));
        for id in known.keys().filter(|id| waits(id)) {
            priority_watch.since.entry(id.clone()).or_insert(now);
        }
        priority_watch.records = known;
    }

    /// A task's place there has come free.
    pub(super) fn see_end(&mut self, task: &TaskId, machine: &MachineId) {
        let spec = self
            .jobs
            .get(&task.job)
            .and_then(|w| w.spec.as_ref())
            .filter(|_| self.priority_watch.on);
        let Some(spec) = spec else { return };
        let each = Resources::new(spec.cpus, spec.gpus, spec.memory_gb);
        let ended = self.priority_watch.ended.entry(machine.clone()).or_default();
        ended.retain(|e| self.now.since(e.0) < 10_000);
        ended.push((self.now, each));
    }

    /// A task is about to count as running there.
    pub(super) fn see_start(&mut self, task: &TaskId, machine: &MachineId) {
        if !self.priority_watch.on {
            return;
        }
        self.priority_watch.begun.entry(task.job.clone()).or_insert(self.now);
        let (Some(worker), Some(spec)) =
            (self.workers.get(machine), self.jobs.get(&task.job).and_then(|w| w.spec.as_ref()))
        else {
            return;
        };
        let kind = self.cloud.types.iter().find(|t| t.name == worker.machine_type);
        let mut free =
            kind.map_or(Resources::default(), |k| Resources::new(k.cpus, k.gpus, k.memory_gb));
        for (other, on) in &self.running {
            let Some(spec) = self.jobs.get(&other.job).and_then(|w| w.spec.as_ref()) else {
                continue;
            };
            if on == machine && other != task {
                free -= Resources::new(spec.cpus, spec.gpus, spec.memory_gb);
            }
        }
        // It was decided when it was claimed: what ended so lately that no report had told of it was not
        // known to be free then.
        let each = Resources::new(spec.cpus, spec.gpus, spec.memory_gb);
        let decided = self.priority_watch.claimed.get(task).copied().unwrap_or(self.now);
        let known_by = Ms(decided.0.saturating_sub(self.size.heartbeat_interval_ms * 2));
        for (at, each) in self.priority_watch.ended.get(machine).into_iter().flatten() {
            if *at > known_by {
                free -= *each;
            }
        }
        if !free.fits_one(&each) {
            free = each;
        }
        let start = TaskStart {
            job: task.job.clone(),
            urgency: spec.urgency,
            machine_type: worker.machine_type.clone(),
            zone: worker.zone.clone(),
            spot: worker.spot,
            free,
        };
        let worker_zone = worker.zone.clone();
        let (now, heartbeat_interval_ms) = (self.now, self.size.heartbeat_interval_ms);
        let waits = self.waiting(&worker_zone);
        if waits.iter().any(|w| is_inversion(&start, w, decided, heartbeat_interval_ms))
            && self.priority_watch.last_checked < now
        {
            // It may have got its place since we last looked.
            self.check_waiting();
        }
        let waits = self.waiting(&worker_zone);
        self.priority_watch.counted.record_start(&start, &waits, decided, heartbeat_interval_ms);
    }

    /// What waits, as seen from a zone.
    fn waiting(&self, zone: &ZoneId) -> Vec<WaitingJob> {
        let mut zones: BTreeMap<(&JobId, &ZoneId), u32> = BTreeMap::new();
        for (other, on) in &self.running {
            if let Some(w) = self.workers.get(on) {
                *zones.entry((&other.job, &w.zone)).or_default() += 1;
            }
        }
        let waiting = self.priority_watch.since.iter().filter_map(|(id, since)| {
            let (record, _) = self.priority_watch.records.get(id)?;
            let spec = &record.spec;
            let half = spec.tasks.div_ceil(2);
            let full = |z: &&ZoneId| zones.get(&(id, *z)).is_some_and(|n| *n >= half);
            let used = self.in_use.get(&spec.team).copied().unwrap_or_default();
            let within = self.limit_of(&spec.team).is_none_or(|limit| used + spec.cpus <= limit);
            Some(WaitingJob {
                job: id.clone(),
                urgency: spec.urgency,
                since: *since,
                task_resources: record.task_resources(),
                types: spec.types.clone(),
                zone: spec.zone.clone().or_else(|| record.zone.clone()),
                excluded_zones: [zone]
                    .into_iter()
                    .filter(|z| spec.spread && full(z))
                    .cloned()
                    .collect(),
                spot: spec.spot,
                within_limit: within,
                gang: spec.kind == Kind::Gang,
            })
        });
        waiting.collect()
    }
}
