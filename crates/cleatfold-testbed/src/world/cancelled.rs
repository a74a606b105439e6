//! Watches what cancelled jobs still do: starts after a user was told, and tasks that go on after their machine hung.

use super::{BTreeMap, MachineId, Ms, TaskId, World};

/// What was seen of cancelled jobs.
#[derive(Default)]
pub struct CancelWatch {
    /// Tasks that started after their user was told that the job is cancelled, and how long after.
    pub starts_after: Vec<(TaskId, u64)>,
    /// Cancelled tasks that were on a machine when it went on after it had hung, and when it did.
    went_on: BTreeMap<TaskId, (MachineId, Ms)>,
    /// How many such tasks there were, and the longest that one of them stayed after that.
    pub went_on_count: u32,
    pub longest_after_hang_ms: u64,
    last_checked: Ms,
}

impl World {
    /// A task has started: one that starts later than a cancellation may take breaks a rule, however short it is.
    pub(super) fn see_cancelled_start(&mut self, task: &TaskId) {
        let Some(confirmed) = self.jobs.get(&task.job).and_then(|w| w.cancel_confirmed) else {
            return;
        };
        let after_ms = self.now.since(confirmed);
        self.cancel_watch.starts_after.push((task.clone(), after_ms));
        if after_ms > self.size.cancel_ms {
            let now = self.now;
            self.broken.push(format!(
                "{now:?} ran_cancelled {task} started {after_ms} ms after it was cancelled"
            ));
        }
    }

    /// Looks at the machines that have stopped hanging since the last look, and at the cancelled tasks on them.
    pub(super) fn watch_cancelled(&mut self) {
        let (now, last_checked) = (self.now, self.cancel_watch.last_checked);
        self.cancel_watch.last_checked = now;
        let ended = self.hung.iter().filter(|(_, until)| **until > last_checked && **until <= now);
        let ended: BTreeMap<MachineId, Ms> =
            ended.map(|(id, until)| (id.clone(), *until)).collect();
        for (task, machine) in &self.running {
            let confirmed = self.jobs.get(&task.job).is_some_and(|w| w.cancel_confirmed.is_some());
            if let Some(until) = ended.get(machine).filter(|_| confirmed) {
                self.cancel_watch.went_on_count += 1;
                self.cancel_watch.went_on.insert(task.clone(), (machine.clone(), *until));
            }
        }
        let watch = &mut self.cancel_watch;
        watch.went_on.retain(|task, (machine, _)| self.running.get(task) == Some(machine));
        for (task, (machine, until)) in &watch.went_on {
            watch.longest_after_hang_ms = watch.longest_after_hang_ms.max(now.since(*until));
            let confirmed =
                self.jobs.get(&task.job).and_then(|w| w.cancel_confirmed).unwrap_or(now);
            if now.since(confirmed) > self.size.cancel_ms {
                self.broken
                    .push(format!("{now:?} ran_cancelled {task} went on after {machine} hung"));
            }
        }
    }
}
