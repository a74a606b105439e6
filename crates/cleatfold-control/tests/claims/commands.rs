//! What workers are told: in the answers to their reports, and directly, where a command may be held up.

use super::model::*;
use super::steps::*;

impl HeldCommand {
    /// Whether the worker still executes it.
    pub(crate) fn matches(&self, machine: &Machine) -> bool {
        self.token >= machine.token && self.agent_epoch == machine.agent_epoch
    }
}

impl World {
    /// The owner stops a task of a claim directly, as `scheduling/preemption.rs` does. (Without its guard it starts one.)
    pub(super) fn send_directly(&self, t: &mut State, n: usize, m: usize, ix: u8) {
        if t.sent >= self.bounds.held || t.held.is_some() {
            return;
        }
        let Some(token) = self.token(t, n) else { return };
        let controller = &t.controllers[n];
        let Some(job) = controller.cache.and_then(|m| m.job) else { return };
        let Task::Claimed { machine, token: under, attempt } = job.tasks[ix as usize] else {
            return;
        };
        if usize::from(machine) != m {
            return;
        }
        let command = if self.has(Guard::DirectEvictionsOnly) {
            Command::Kill(ix, attempt)
        } else {
            let ending = controller.ends[ix as usize].is_some_and(|e| e.attempt == attempt);
            if under != token || ending || job.aborted {
                return;
            }
            Command::Launch(ix, attempt)
        };
        // The session of the last report that it answered.
        let Some(agent_epoch) = controller.received[m].map(|received| received.agent_epoch) else {
            return;
        };
        t.sent += 1;
        t.held = Some(HeldCommand { sender: n as u8, machine, token, agent_epoch, command });
    }

    /// A direct command arrives. Its sender takes nothing but exits from the answer, as `on_orders_reply` does.
    pub(super) fn arrives(&self, t: &mut State, received: bool) {
        let Some(held) = t.held.take() else { return };
        let m = usize::from(held.machine);
        if !held.matches(&t.machines[m]) {
            return;
        }
        t.machines[m].token = held.token;
        obey(t, m, held.command);
        let n = usize::from(held.sender);
        if received && self.token(t, n) == Some(held.token) {
            self.take_exits(t, n, m);
        }
    }

    fn take_exits(&self, t: &mut State, n: usize, m: usize) {
        let tasks = t.machines[m].tasks.clone();
        let controller = &mut t.controllers[n];
        let Some(job) = controller.cache.and_then(|m| m.job) else { return };
        let alive = |ix: u8| tasks.iter().any(|x| x.0 == ix && x.2 == Run::Alive);
        for &(ix, attempt, run) in tasks.iter().filter(|x| x.2 != Run::Alive && !alive(x.0)) {
            let machine = m as u8;
            let ours = matches!(
                job.tasks[ix as usize],
                Task::Claimed { machine: on, attempt: a, .. } if (on, a) == (machine, attempt)
            );
            if ours {
                let done = run == Run::Completed;
                end(controller, ix, End { machine, attempt, done, fence: None });
            }
        }
    }
}

/// A worker reads its answer.
pub(super) fn hear(t: &mut State, m: usize) {
    let Some(answer) = t.machines[m].answer.take() else { return };
    if answer.token < t.machines[m].token {
        return;
    }
    t.machines[m].token = answer.token;
    t.machines[m].renewed |= answer.after_limit;
    answer.commands.into_iter().for_each(|command| obey(t, m, command));
}

/// A worker executes a command.
fn obey(t: &mut State, m: usize, command: Command) {
    match command {
        Command::Launch(ix, attempt) => launch(t, m, ix, attempt),
        Command::Kill(ix, attempt) => {
            for x in &mut t.machines[m].tasks {
                if *x == (ix, attempt, Run::Alive) {
                    x.2 = Run::Failed;
                }
            }
        }
        Command::Reap(ix, attempt) => {
            let old = std::mem::take(&mut t.machines[m].tasks);
            let (gone, kept): (Tasks, Tasks) =
                old.into_iter().partition(|x| (x.0, x.1) == (ix, attempt) && x.2 != Run::Alive);
            t.machines[m].tasks = kept;
            if gone.iter().any(|x| x.2 == Run::Completed) && !is_durable(t, ix) {
                t.broken = Some(REAPED);
            }
        }
    }
    t.machines[m].tasks.sort_unstable_by_key(|x| (x.0, x.1));
}

fn launch(t: &mut State, m: usize, ix: u8, attempt: u8) {
    let here = &t.machines[m].tasks;
    if here.iter().any(|x| (x.0, x.1) == (ix, attempt)) {
        return;
    }
    let alive = |x: &(u8, u8, Run)| x.0 == ix && x.2 == Run::Alive;
    if here.iter().any(alive) {
        t.machines[m].tasks.push((ix, attempt, Run::Failed));
        return;
    }
    if t.machines.iter().any(|m| m.tasks.iter().any(alive)) {
        t.broken = Some(RAN_TWICE);
    } else if t.phase == Phase::Bound {
        t.broken = Some(RAN_CANCELLED);
    } else if is_durable(t, ix) && t.store.archive != Some(Ended::Aborted) {
        t.broken = Some(AGAIN);
    }
    t.machines[m].tasks.push((ix, attempt, Run::Alive));
}
