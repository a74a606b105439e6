//! What watches for the rules.

use super::{
    records, Asked, BTreeMap, Exit, JobId, JobState, MachineId, Ms, Response, TaskId, Txn,
    WorkerEvent, World, ZoneId,
};

impl World {
    pub(super) fn watch(&mut self) {
        self.store.expire(if self.outage > self.now { Ms(0) } else { self.now });
        self.see_waiting();
        self.move_images();
        if self.now.since(self.last_checked) >= 250 {
            self.last_checked = self.now;
            self.watch_answers();
            self.watch_cancelled();
            self.watch_starvation();
            self.watch_scale_out();
            for task in self.running.keys() {
                let confirmed = self.jobs.get(&task.job).and_then(|w| w.cancel_confirmed);
                if confirmed.is_some_and(|t| self.now.since(t) > self.size.cancel_ms) {
                    self.broken.push(format!("{:?} ran_cancelled {task}", self.now));
                }
            }
        }
    }

    /// Notes that a task begins, or no longer is, on a machine.
    fn uses(&mut self, task: &TaskId, begins: bool) {
        let Some(spec) = self.jobs.get(&task.job).and_then(|w| w.spec.as_ref()) else { return };
        let Some(limit) = self.limit_of(&spec.team) else { return };
        let (team, cpus) = (spec.team.clone(), spec.cpus);
        let used = self.in_use.entry(team.clone()).or_default();
        *used += if begins { cpus } else { -cpus };
        if *used > limit + 1e-6 {
            self.broken.push(format!("{:?} quota {team} {used}", self.now));
        }
        if !begins {
            self.note_freed(&team, cpus);
        }
    }

    pub(super) fn gone(&mut self, task: &TaskId, machine: &MachineId) {
        if self.running.get(task) == Some(machine) {
            self.see_end(task, machine);
            self.running.remove(task);
            self.uses(task, false);
        }
    }

    pub(super) fn judge(&mut self, machine: &MachineId, worker_events: Vec<WorkerEvent>) {
        for h in worker_events {
            match h {
                WorkerEvent::Started(task) => {
                    self.started += 1;
                    let now = self.now;
                    if let Some(watch) = self.jobs.get_mut(&task.job) {
                        watch.begun.get_or_insert(now);
                    }
                    self.see_start(&task, machine);
                    self.see_launch(&task, machine);
                    self.see_cancelled_start(&task);
                    self.note_job_started(&task.job);
                    match self.running.insert(task.clone(), machine.clone()) {
                        Some(other) => self
                            .broken
                            .push(format!("{:?} ran_twice {task} {other} {machine}", self.now)),
                        None => self.uses(&task, true),
                    }
                    self.check_place(&task, machine);
                }
                WorkerEvent::Exited(task, exit) => {
                    self.gone(&task, machine);
                    if exit == Exit::Done {
                        if let Some(watch) = self.jobs.get_mut(&task.job) {
                            watch.done.insert(task.ix.0);
                        }
                        self.see_completed(&task);
                    }
                    self.stopped += u32::from(exit == Exit::Stopped);
                }
                WorkerEvent::LeaseExpired(task) => {
                    self.dropped += 1;
                    self.gone(&task, machine)
                }
            }
        }
    }

    pub(super) fn check_place(&mut self, task: &TaskId, machine: &MachineId) {
        let Some(spec) = self.jobs.get(&task.job).and_then(|w| w.spec.clone()) else { return };
        let worker = &self.workers[machine];
        let mut zones: BTreeMap<&ZoneId, u32> = BTreeMap::new();
        for (t, m) in &self.running {
            if t.job == task.job {
                if let Some(w) = self.workers.get(m) {
                    *zones.entry(&w.zone).or_default() += 1;
                }
            }
        }
        let bad = (worker.spot && !spec.spot)
            || spec.zone.as_ref().is_some_and(|z| *z != worker.zone)
            || spec.types.as_ref().is_some_and(|t| !t.contains(&worker.machine_type))
            || (spec.one_zone && zones.len() > 1)
            || (spec.spread && zones.values().any(|n| *n > spec.tasks.div_ceil(2)));
        if bad {
            self.broken.push(format!("{:?} wrong_place {task} on {machine}", self.now));
        }
    }

    /// A claim given up because its worker does not list the task must carry the pool's
    /// version: absence proves something only as long as the pool is ours.
    pub(super) fn releases(&self, txn: &Txn) -> (Vec<String>, u32) {
        let (mut unfenced, mut absences) = (Vec::new(), 0);
        for change in &txn.changes {
            let (Some(key), Some(new)) = (&change.put, &change.value) else { continue };
            let (true, Some(old)) = (key.starts_with("cf/j/"), self.store.get(key)) else {
                continue;
            };
            let read = |v: &str| serde_json::from_str::<records::JobRecord>(v).expect("a job");
            let (old, new) = (read(old.value.get()), read(new.get()));
            for group in &old.table.claims {
                for &(ix, attempt) in &group.tasks {
                    let stands = |g: &records::ClaimGroup| {
                        g.machine == group.machine && g.tasks.contains(&(ix, attempt))
                    };
                    let Some(worker) = self.workers.get(&group.machine) else { continue };
                    let task = TaskId { job: new.spec.id.clone(), ix };
                    // In a later session an exit that was reported may be forgotten already.
                    let forgotten = worker.agent_epoch > 1;
                    let listed = worker.tasks.contains_key(&(task.clone(), attempt));
                    if new.table.claims.iter().any(stands) || forgotten || listed {
                        continue;
                    }
                    absences += 1;
                    let pool = format!("cf/pool/{}", group.pool);
                    if !txn.guards.iter().any(|g| g.key == pool) {
                        let (now, machine) = (self.now, &group.machine);
                        unfenced.push(format!("{now:?} {task} on {machine} released unfenced"));
                    }
                }
            }
        }
        (unfenced, absences)
    }

    pub(super) fn judge_answer(&mut self, asked: Asked, response: Response) {
        let now = self.now;
        let is_poll = matches!(asked, Asked::Poll(..));
        let (id, before, accepted_before) = match &asked {
            Asked::Submit(id) | Asked::Withdraw(id) => (id.clone(), None, false),
            Asked::Poll(id, before, accepted) => (id.clone(), *before, *accepted),
            Asked::Heartbeat(..) | Asked::Steps(..) | Asked::TeamLosses | Asked::Team => return,
        };
        let Some(watch) = self.jobs.get_mut(&id) else { return };
        let confirmed =
            matches!(response, Response::Status { .. } | Response::Refusal { code: 404, .. });
        if confirmed && is_poll {
            watch.answered = Some(now);
        }
        let mut wrong = None;
        match response {
            Response::Status { status, .. } => {
                watch.accepted = true;
                watch.accepted_at.get_or_insert(now);
                let steps = watch.spec.as_ref().and_then(|s| s.elastic.as_ref()).map(|e| e.steps);
                let short = match steps {
                    Some(steps) => {
                        (0..steps).any(|s| !self.steps.counted.contains_key(&(id.clone(), s)))
                    }
                    None => {
                        let all = watch.spec.as_ref().map_or(0, |s| s.tasks);
                        (watch.done.len() as u32) < all
                    }
                };
                if status.state == JobState::Done && short {
                    wrong = Some("not_done");
                }
                if before.is_some_and(|b| b.is_final() && b != status.state) {
                    wrong = Some("went_back");
                }
                if status.state == JobState::Aborted && !watch.cancel_asked {
                    wrong = Some("cancelled by nobody");
                }
                if status.state.is_final() {
                    if watch.answered_state.is_some_and(|t| t != status.state) {
                        wrong = Some("two ends");
                    }
                    watch.answered_state = Some(status.state);
                    if status.state == JobState::Aborted {
                        watch.cancel_confirmed.get_or_insert(now);
                    }
                }
            }
            Response::Refusal { code: 404, .. } if accepted_before => wrong = Some("forgotten"),
            Response::Refusal { code: 400 | 422, .. } if watch.accepted => {
                wrong = Some("refused a known job")
            }
            _ => {}
        }
        if let Some(what) = wrong {
            self.broken.push(format!("{now:?} {what} {id}"));
        }
    }

    /// The troubles are over: everything accepted must come to its end.
    pub fn unfinished(&self) -> Vec<JobId> {
        self.jobs
            .iter()
            .filter(|(id, w)| w.accepted && self.store.get(&format!("ar/{id}")).is_none())
            .map(|(id, _)| id.clone())
            .collect()
    }

    pub fn describe(&self) {
        for id in self.unfinished() {
            let spec = self.jobs[&id].spec.as_ref().expect("submitted");
            eprintln!(
                "{id} {} {} tasks of {} one_zone {} spread {} spot {} {:?}",
                spec.team, spec.tasks, spec.cpus, spec.one_zone, spec.spread, spec.spot, spec.types
            );
        }
        for item in self.store.list("cf/slice/", None, 9).items {
            eprintln!("{} {}", item.key, item.value);
        }
        for (id, m) in &self.cloud.machines {
            eprintln!("{id} {} {} {}", m.machine_type, m.zone, m.spot);
        }
    }
}
