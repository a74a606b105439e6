//! What happens to the tasks of a capacity run, watched for the rules and counted.

use super::hollow::TaskEvent;
use super::traffic::{is_urgent, Traffic};
use cleatfold_wire::{JobId, MachineId, TaskId, TeamId};
use hdrhistogram::Histogram;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Starts are counted in slots of this length.
const SLOT: Duration = Duration::from_millis(100);
/// Starts are as before when they are for this long.
const AS_BEFORE: Duration = Duration::from_secs(5);
/// They are as before from this share of what they were.
const SHARE: f64 = 0.8;

/// An urgent job of which not every task has started.
struct Waiting {
    since: Instant,
    tasks_left: u32,
}

/// What followed a failure.
#[derive(Clone, Copy, Debug, serde::Serialize)]
pub struct Recovery {
    /// The longest time without a start.
    pub longest_gap_s: f64,
    /// Until the end of the first five seconds with as many starts as before; none: not seen.
    pub as_before_s: Option<f64>,
}

pub struct Watch {
    start: Instant,
    traffic: Arc<Traffic>,
    limits: HashMap<TeamId, f64>,
    cpus: HashMap<TeamId, f64>,
    running: HashMap<TaskId, MachineId>,
    /// Starts by slot.
    slots: Vec<u32>,
    urgent: BTreeMap<JobId, Waiting>,
    /// Waits of urgent jobs since the histogram was last cleared, in milliseconds.
    pub urgent_wait: Histogram<u64>,
    pub started: u64,
    pub done: u64,
    pub broken: Vec<String>,
}

pub fn histogram() -> Histogram<u64> {
    Histogram::new(3).expect("three digits")
}

/// Records a value, however large. (`saturating_record` never lets a histogram grow.)
pub fn record(histogram: &mut Histogram<u64>, value: u64) {
    histogram.record(value).expect("a histogram that grows");
}

fn millis(duration: Duration) -> u64 {
    duration.as_millis() as u64
}

impl Watch {
    pub fn new(traffic: Arc<Traffic>) -> Self {
        Self {
            start: Instant::now(),
            limits: traffic.limits().into_iter().collect(),
            traffic,
            cpus: HashMap::new(),
            running: HashMap::new(),
            slots: Vec::new(),
            urgent: BTreeMap::new(),
            urgent_wait: histogram(),
            started: 0,
            done: 0,
            broken: Vec::new(),
        }
    }

    pub fn running(&self) -> usize {
        self.running.len()
    }

    pub fn submitted(&mut self, spec: &cleatfold_wire::job::JobSpec) {
        if is_urgent(spec) {
            let waiting = Waiting { since: Instant::now(), tasks_left: spec.tasks };
            self.urgent.insert(spec.id.clone(), waiting);
        }
    }

    pub fn note(&mut self, event: TaskEvent) {
        match event {
            TaskEvent::Started { task, machine, at } => self.started(task, machine, at),
            TaskEvent::Ended { task, machine, done } => {
                if self.running.get(&task) != Some(&machine) {
                    return;
                }
                self.running.remove(&task);
                self.done += u64::from(done);
                self.account(&task, -1.0);
            }
        }
    }

    fn started(&mut self, task: TaskId, machine: MachineId, at: Instant) {
        if let Some(other) = self.running.insert(task.clone(), machine.clone()) {
            self.broken.push(format!("ran_twice {task} on {other} and {machine}"));
            return;
        }
        self.started += 1;
        let slot = (self.start.elapsed().as_millis() / SLOT.as_millis()) as usize;
        if self.slots.len() <= slot {
            self.slots.resize(slot + 1, 0);
        }
        self.slots[slot] += 1;
        self.account(&task, 1.0);
        if let Some(waiting) = self.urgent.get_mut(&task.job) {
            waiting.tasks_left = waiting.tasks_left.saturating_sub(1);
            if waiting.tasks_left == 0 {
                let wait = at.saturating_duration_since(waiting.since);
                self.urgent.remove(&task.job);
                record(&mut self.urgent_wait, millis(wait));
            }
        }
    }

    fn account(&mut self, task: &TaskId, sign: f64) {
        let Some((spec, _)) = self.traffic.task(task) else {
            return self.broken.push(format!("a task of nobody's job: {task}"));
        };
        let used = self.cpus.entry(spec.team.clone()).or_default();
        *used += sign * spec.cpus;
        if *used > self.limits.get(&spec.team).copied().unwrap_or(0.0) + 1e-6 {
            self.broken.push(format!("quota {}: {used} processors", spec.team));
        }
    }

    /// Forgets the waits so far and the jobs that wait already.
    pub fn begin_waits(&mut self) {
        self.urgent_wait.clear();
        self.urgent.clear();
    }

    /// Counts urgent jobs that wait still with what they have waited so far; tells how many.
    pub fn end_waits(&mut self) -> usize {
        for waiting in self.urgent.values() {
            record(&mut self.urgent_wait, millis(waiting.since.elapsed()));
        }
        self.urgent.len()
    }

    /// What followed the failure at `at`, as far as it can be told yet.
    pub fn recovery(&self, at: Instant, starts_per_s: f64) -> Recovery {
        let slot_s = SLOT.as_secs_f64();
        let slot = |at: Instant| (at.duration_since(self.start).as_secs_f64() / slot_s) as usize;
        let first = slot(at) + 1;
        let now = slot(Instant::now());
        let width = (AS_BEFORE.as_secs_f64() / slot_s) as usize;
        let count = |i: usize| self.slots.get(i).copied().unwrap_or(0);
        let enough = SHARE * starts_per_s * AS_BEFORE.as_secs_f64();
        let window = |end: usize| (end - width..end).map(count).sum::<u32>();
        let end = (first + width..now).find(|end| f64::from(window(*end)) >= enough);
        let (mut gap, mut longest) = (0, 0);
        for i in first..end.unwrap_or(now) {
            gap = if count(i) == 0 { gap + 1 } else { 0 };
            longest = longest.max(gap);
        }
        Recovery {
            longest_gap_s: longest as f64 * slot_s,
            as_before_s: end.map(|end| (end + 1 - first) as f64 * slot_s),
        }
    }
}
