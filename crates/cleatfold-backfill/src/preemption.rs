//! Preemption: which running tasks are stopped to free capacity for waiting ones.
//!
//! The rules are those of the protocol. A task may be stopped for a job of higher urgency, and a task
//! beyond its team's guarantee may be stopped to give another team its guarantee; nothing else
//! preempts work of equal or higher urgency. Surplus members of an elastic job, those beyond its
//! minimum width, are not subject to these rules: an elastic job agrees to release them to any job of
//! its own urgency or higher.

use crate::resources::Resources;
use cleatfold_wire::job::Urgency;
use cleatfold_wire::TeamId;

/// A task that occupies resources on a machine.
#[derive(Clone, Debug)]
pub struct RunningTask {
    /// Identifier chosen by the caller.
    pub id: usize,
    /// Resources of the task.
    pub task_resources: Resources,
    /// The urgency of the job.
    pub urgency: Urgency,
    /// The job's team.
    pub team: TeamId,
    /// Whether its job is beyond its team's guarantee.
    pub beyond_guarantee: bool,
    /// Whether it is a member beyond its elastic job's minimum width.
    pub is_surplus_member: bool,
    /// Whether it may be stopped at all: it is not being stopped already and, if it was preempted
    /// before, has made progress since.
    pub stoppable: bool,
    /// Work lost if it is stopped, in processor-milliseconds.
    pub loss: u64,
}

/// Waiting tasks of one job that need capacity.
#[derive(Clone, Debug)]
pub struct PreemptionRequest {
    /// Resources of one task.
    pub task_resources: Resources,
    /// The urgency of the job.
    pub urgency: Urgency,
    /// The job's team.
    pub team: TeamId,
    /// Whether the job is within its team's guarantee.
    pub within_guarantee: bool,
    /// Whether ordinary tasks may be preempted where the rules allow it; if not, only surplus
    /// members of elastic jobs are stopped.
    pub preempts: bool,
    /// Maximum work that may be lost to place one task, in processor-milliseconds.
    pub max_loss: u64,
}

/// Free resources and running tasks of one machine.
#[derive(Clone, Debug)]
pub struct MachineLoad {
    /// Resources not used by any task.
    pub free: Resources,
    /// Tasks that use the rest.
    pub running: Vec<RunningTask>,
}

/// Capacity to be freed on one machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Preemption {
    /// Index of the machine in the loads.
    pub machine: usize,
    /// How many of the waiting tasks fit there afterwards.
    pub tasks: u32,
    /// Identifiers of the tasks to stop.
    pub victims: Vec<usize>,
    /// Work lost, in processor-milliseconds.
    pub loss: u64,
}

/// Whether the protocol allows a task to be stopped for this request.
pub fn may_preempt(request: &PreemptionRequest, task: &RunningTask) -> bool {
    if !task.stoppable {
        return false;
    }
    if task.is_surplus_member && task.urgency >= request.urgency {
        return true;
    }
    let is_more_urgent = request.urgency < task.urgency;
    // The protocol would allow victims of any urgency here. Stopping more urgent work that is
    // itself late cost more missed deadlines than the guarantee gained.
    let not_less_urgent = request.urgency <= task.urgency;
    let for_guarantee =
        request.within_guarantee && task.beyond_guarantee && task.team != request.team;
    request.preempts && (is_more_urgent || (for_guarantee && not_less_urgent))
}

/// Finds the victims for one more task on a machine, and the work lost; none if the task cannot fit
/// or the loss is too high. Adds candidates in order of loss until the task fits, then drops those
/// that turn out not to be needed.
fn cheapest_preemption(
    request: &PreemptionRequest,
    machine: &MachineLoad,
) -> Option<(Vec<usize>, u64)> {
    let mut free = machine.free;
    if free.fitting_tasks(&request.task_resources, 1) > 0 {
        return Some((vec![], 0));
    }
    let mut candidates: Vec<&RunningTask> =
        machine.running.iter().filter(|task| may_preempt(request, task)).collect();
    candidates.sort_by_key(|task| (!task.is_surplus_member, task.loss, task.id));
    let mut chosen: Vec<&RunningTask> = Vec::new();
    for task in candidates {
        free += task.task_resources;
        chosen.push(task);
        if free.fitting_tasks(&request.task_resources, 1) > 0 {
            break;
        }
    }
    if free.fitting_tasks(&request.task_resources, 1) == 0 {
        return None;
    }
    // The most expensive first: a large victim may have made smaller ones unnecessary.
    for i in (0..chosen.len()).rev() {
        let without = free - chosen[i].task_resources;
        if without.fitting_tasks(&request.task_resources, 1) > 0 {
            free = without;
            chosen.remove(i);
        }
    }
    let loss = chosen.iter().map(|task| task.loss).sum();
    (loss <= request.max_loss).then(|| (chosen.iter().map(|task| task.id).collect(), loss))
}

/// Chooses victims for up to `tasks` tasks, one task after the other, each on the machine where the
/// least work is lost. Never stops more than needed. Updates `loads` as if the tasks were placed.
pub fn choose_preemptions(
    request: &PreemptionRequest,
    loads: &mut [MachineLoad],
    tasks: u32,
) -> Vec<Preemption> {
    let mut preemptions: Vec<Preemption> = Vec::new();
    let mut options: Vec<Option<(Vec<usize>, u64)>> =
        loads.iter().map(|load| cheapest_preemption(request, load)).collect();
    for _ in 0..tasks {
        let best = options
            .iter()
            .enumerate()
            .filter_map(|(i, option)| option.as_ref().map(|option| (option.1, option.0.len(), i)))
            .min();
        let Some((loss, _, i)) = best else { break };
        let Some((victims, _)) = options[i].take() else { break };
        let machine = &mut loads[i];
        machine.running.retain(|task| {
            let is_victim = victims.contains(&task.id);
            if is_victim {
                machine.free += task.task_resources;
            }
            !is_victim
        });
        machine.free -= request.task_resources;
        match preemptions.iter_mut().find(|preemption| preemption.machine == i) {
            Some(existing) => {
                existing.tasks += 1;
                existing.loss += loss;
                existing.victims.extend(victims);
            }
            None => preemptions.push(Preemption { machine: i, tasks: 1, victims, loss }),
        }
        options[i] = cheapest_preemption(request, &loads[i]);
    }
    preemptions
}
