//! Commands to workers: in the answers to their reports, and sent directly, where a command may be delayed.

use super::model::*;
use super::steps::*;

impl HeldCommand {
    /// Whether the worker still executes it: same session, and no newer token seen.
    pub(crate) fn matches(&self, machine: &Machine) -> bool {
        self.token >= machine.token && self.agent_epoch == machine.agent_epoch
    }
}

impl Model {
    /// The owner stops a claimed task by a direct command, as `scheduling/preemption.rs` does. Without
    /// `Guard::DirectEvictionsOnly` it starts one instead.
    pub(super) fn send_direct_command(&self, state: &mut State, n: usize, m: usize, ix: u8) {
        if state.command_count >= self.bounds.direct_commands || state.held_command.is_some() {
            return;
        }
        let Some(token) = self.token(state, n) else { return };
        let controller = &state.controllers[n];
        let Some(job) = controller.cache.and_then(|cache| cache.job) else { return };
        let Task::Claimed { machine, token: claim_token, attempt } = job.tasks[ix as usize] else {
            return;
        };
        if usize::from(machine) != m {
            return;
        }
        let command = if self.is_enabled(Guard::DirectEvictionsOnly) {
            Command::Kill(ix, attempt)
        } else {
            let ending = controller.ends[ix as usize].is_some_and(|e| e.attempt == attempt);
            if claim_token != token || ending || job.aborted {
                return;
            }
            Command::Launch(ix, attempt)
        };
        // The session of the last report that the controller answered.
        let Some(agent_epoch) = controller.received[m].map(|received| received.agent_epoch) else {
            return;
        };
        state.command_count += 1;
        state.held_command =
            Some(HeldCommand { sender: n as u8, machine, token, agent_epoch, command });
    }

    /// Delivers a direct command. Its sender reads only exits from the answer, as `on_orders_reply` does.
    pub(super) fn deliver_direct_command(&self, state: &mut State, received: bool) {
        let Some(held) = state.held_command.take() else { return };
        let m = usize::from(held.machine);
        if !held.matches(&state.machines[m]) {
            return;
        }
        state.machines[m].token = held.token;
        execute_command(state, m, held.command);
        let n = usize::from(held.sender);
        if received && self.token(state, n) == Some(held.token) {
            self.record_exits(state, n, m);
        }
    }

    fn record_exits(&self, state: &mut State, n: usize, m: usize) {
        let tasks = state.machines[m].tasks.clone();
        let controller = &mut state.controllers[n];
        let Some(job) = controller.cache.and_then(|cache| cache.job) else { return };
        let is_running = |ix: u8| tasks.iter().any(|x| x.0 == ix && x.2 == RunState::Running);
        for &(ix, attempt, run) in
            tasks.iter().filter(|x| x.2 != RunState::Running && !is_running(x.0))
        {
            let machine = m as u8;
            let is_claim = matches!(
                job.tasks[ix as usize],
                Task::Claimed { machine: on, attempt: a, .. } if (on, a) == (machine, attempt)
            );
            if is_claim {
                let done = run == RunState::Completed;
                record_end(
                    controller,
                    ix,
                    AttemptEnd { machine, attempt, done, required_token: None },
                );
            }
        }
    }
}

/// A worker processes the answer to its report.
pub(super) fn receive_answer(state: &mut State, m: usize) {
    let Some(answer) = state.machines[m].answer.take() else { return };
    if answer.token < state.machines[m].token {
        return;
    }
    state.machines[m].token = answer.token;
    state.machines[m].renewed_after_limit |= answer.after_limit;
    answer.commands.into_iter().for_each(|command| execute_command(state, m, command));
}

/// A worker executes a command.
fn execute_command(state: &mut State, m: usize, command: Command) {
    match command {
        Command::Launch(ix, attempt) => launch_task(state, m, ix, attempt),
        Command::Kill(ix, attempt) => {
            for x in &mut state.machines[m].tasks {
                if *x == (ix, attempt, RunState::Running) {
                    x.2 = RunState::Failed;
                }
            }
        }
        Command::Reap(ix, attempt) => {
            let tasks = std::mem::take(&mut state.machines[m].tasks);
            let (reaped, kept): (Tasks, Tasks) = tasks
                .into_iter()
                .partition(|x| (x.0, x.1) == (ix, attempt) && x.2 != RunState::Running);
            state.machines[m].tasks = kept;
            if reaped.iter().any(|x| x.2 == RunState::Completed) && !is_durable(state, ix) {
                state.violation = Some(REAPED_EARLY);
            }
        }
    }
    state.machines[m].tasks.sort_unstable_by_key(|x| (x.0, x.1));
}

fn launch_task(state: &mut State, m: usize, ix: u8, attempt: u8) {
    let on_machine = &state.machines[m].tasks;
    if on_machine.iter().any(|x| (x.0, x.1) == (ix, attempt)) {
        return;
    }
    let is_running = |x: &(u8, u8, RunState)| x.0 == ix && x.2 == RunState::Running;
    if on_machine.iter().any(is_running) {
        state.machines[m].tasks.push((ix, attempt, RunState::Failed));
        return;
    }
    if state.machines.iter().any(|m| m.tasks.iter().any(is_running)) {
        state.violation = Some(RAN_TWICE);
    } else if state.phase == Phase::Deadline {
        state.violation = Some(RAN_CANCELLED);
    } else if is_durable(state, ix) && state.store.archive != Some(FinalState::Aborted) {
        state.violation = Some(STARTED_AGAIN);
    }
    state.machines[m].tasks.push((ix, attempt, RunState::Running));
}
