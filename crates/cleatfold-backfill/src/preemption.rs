//! Who gives way to whom: which running tasks are stopped so that waiting ones get their place.
//!
//! The rules are the protocol's: a task may be stopped for a job of higher urgency, and what a
//! team runs beyond its guarantee may be stopped to give another team its guarantee; nothing
//! else preempts work of equal or higher urgency. Members of an elastic job beyond its least
//! width are not preempted but give way, which their job asked for by being elastic: to
//! everything of their urgency or above.

use crate::resources::Resources;
use cleatfold_wire::job::Urgency;
use cleatfold_wire::TeamId;

/// A task that has a place.
#[derive(Clone, Debug)]
pub struct Running {
    /// The caller's name for it.
    pub id: usize,
    /// What one task takes.
    pub each: Resources,
    /// The urgency of the job.
    pub urgency: Urgency,
    /// The job's team.
    pub team: TeamId,
    /// Its job lies beyond its team's guarantee.
    pub beyond_guarantee: bool,
    /// A member beyond its elastic job's least width.
    pub yields: bool,
    /// May be stopped at all: it is not being stopped, and if it was stopped before it has
    /// gained since.
    pub stoppable: bool,
    /// Work that is lost if it is stopped, in processor-milliseconds.
    pub loss: u64,
}

/// Who needs places.
#[derive(Clone, Debug)]
pub struct Need {
    /// What one task takes.
    pub each: Resources,
    /// The urgency of the job.
    pub urgency: Urgency,
    /// The job's team.
    pub team: TeamId,
    /// The job lies within its team's guarantee.
    pub within_guarantee: bool,
    /// Preempts ordinary work where the rules allow it; else only takes what yields.
    pub preempts: bool,
    /// The most that may be lost for one of its tasks, in processor-milliseconds.
    pub worth: u64,
}

/// A machine.
#[derive(Clone, Debug)]
pub struct MachineLoad {
    /// What no task holds.
    pub free: Resources,
    /// The tasks that hold the rest.
    pub running: Vec<Running>,
}

/// Places made on one machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Preemption {
    /// Index of the machine.
    pub machine: usize,
    /// How many tasks fit there then.
    pub tasks: u32,
    /// Whom to stop, by the caller's names.
    pub stop: Vec<usize>,
    /// Work that is lost, in processor-milliseconds.
    pub loss: u64,
}

/// Whether the protocol lets a task be stopped for this need.
pub fn may_stop(need: &Need, r: &Running) -> bool {
    if !r.stoppable {
        return false;
    }
    if r.yields && r.urgency >= need.urgency {
        return true;
    }
    let higher = need.urgency < r.urgency;
    // The protocol would allow any urgency here. Stopping urgent work that is late itself cost
    // its deadlines more than the guarantee gained.
    let not_above = need.urgency <= r.urgency;
    let guarantee = need.within_guarantee && r.beyond_guarantee && r.team != need.team;
    need.preempts && (higher || (guarantee && not_above))
}

/// The cheapest way to one more place on a machine, if there is one: candidates in the order of
/// their loss until the task fits, less whoever is not needed after all.
fn one_place(need: &Need, machine: &MachineLoad) -> Option<(Vec<usize>, u64)> {
    let mut free = machine.free;
    if free.fits(&need.each, 1) > 0 {
        return Some((vec![], 0));
    }
    let mut candidates: Vec<&Running> =
        machine.running.iter().filter(|r| may_stop(need, r)).collect();
    candidates.sort_by_key(|r| (!r.yields, r.loss, r.id));
    let mut chosen: Vec<&Running> = Vec::new();
    for r in candidates {
        free += r.each;
        chosen.push(r);
        if free.fits(&need.each, 1) > 0 {
            break;
        }
    }
    if free.fits(&need.each, 1) == 0 {
        return None;
    }
    // The dearest first: a large one may have made the small ones before it unnecessary.
    for i in (0..chosen.len()).rev() {
        let without = free - chosen[i].each;
        if without.fits(&need.each, 1) > 0 {
            free = without;
            chosen.remove(i);
        }
    }
    let loss = chosen.iter().map(|r| r.loss).sum();
    (loss <= need.worth).then(|| (chosen.iter().map(|r| r.id).collect(), loss))
}

/// Makes room for up to `tasks`, one place after the other, each where the least is lost; never
/// stops more than that takes. Takes the places out of `loads`.
pub fn choose_preemptions(need: &Need, loads: &mut [MachineLoad], tasks: u32) -> Vec<Preemption> {
    let mut preemptions: Vec<Preemption> = Vec::new();
    let mut offers: Vec<Option<(Vec<usize>, u64)>> =
        loads.iter().map(|s| one_place(need, s)).collect();
    for _ in 0..tasks {
        let best = offers
            .iter()
            .enumerate()
            .filter_map(|(i, o)| o.as_ref().map(|o| (o.1, o.0.len(), i)))
            .min();
        let Some((loss, _, i)) = best else { break };
        let Some((stop, _)) = offers[i].take() else { break };
        let machine = &mut loads[i];
        machine.running.retain(|r| {
            let gone = stop.contains(&r.id);
            if gone {
                machine.free += r.each;
            }
            !gone
        });
        machine.free -= need.each;
        match preemptions.iter_mut().find(|r| r.machine == i) {
            Some(known) => {
                known.tasks += 1;
                known.loss += loss;
                known.stop.extend(stop);
            }
            None => preemptions.push(Preemption { machine: i, tasks: 1, stop, loss }),
        }
        offers[i] = one_place(need, &loads[i]);
    }
    preemptions
}
