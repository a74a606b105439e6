//! A blink of each participant in each step: a process or machine that is back within a fraction
//! of a second, right before or right after a step is executed.

use super::{
    controller_id, BTreeMap, CloudRequest, MachineId, Ms, PoolId, SimulationEvent, StoreRequest,
    Txn, World,
};
use cleatfold_control::records::{self, HolderRecord, JobRecord, Key};

/// What a request to the state service or the cloud is a step of.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Step {
    /// A controller says that it is there.
    Enlist,
    /// Taking a role.
    Elect,
    /// Taking a team's workspace.
    Keep,
    /// A pool is given to a controller by whoever deals.
    PoolAssignment,
    /// A pool is taken by the controller that its workers come to.
    TakeOver,
    Claim,
    /// A claim or a job ends.
    End,
    /// A part of a team's limit.
    Slice,
    /// A rental is noted.
    ScaleOut,
    /// The cloud is asked for it.
    RentCall,
}

/// Who blinks.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Who {
    /// The acting controller, or so many after it: with three, the former holder and the next one
    /// are among them. One that is down at the moment is back at once.
    Controller(usize),
    /// All controllers at the same moment.
    All,
    /// All end, and one alone is back at once: the acting controller, or so many after it.
    OneReturns(usize),
    /// The machine of the claim, or one of the pool that is assigned with.
    Machine(Back),
}

/// How a machine is back.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Back {
    /// Its session goes on.
    AsItWas,
    /// In its next session, without its tasks.
    Anew,
    /// It is gone; what is rented for it is up in a moment.
    Replaced,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Moment {
    /// The step is on its way and is executed.
    Before,
    /// It is on its way and is executed in the middle of what comes of the blink.
    Late,
    /// It is executed; its answer is on its way.
    After,
}

/// A blink at the n-th step of a kind.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Blink {
    pub step: Step,
    pub nth: u32,
    pub who: Who,
    pub moment: Moment,
}

/// After the controller is back, while it reads.
const LATE_MS: u64 = 450;
const BACK_MS: u64 = 120;
/// Where one alone is back at once, the others are by so much later.
const OTHERS_BACK_MS: u64 = 12_000;

#[derive(Default)]
pub struct QuickRestarts {
    pub plan: Option<Blink>,
    /// Steps of each kind so far.
    pub seen: BTreeMap<Step, u32>,
    /// When it befell, and whom.
    pub applied_faults: Option<(Ms, String)>,
}

impl World {
    /// What the transaction is a step of, and the pool or machine it is about.
    fn step_of(
        &self,
        controller: usize,
        txn: &Txn,
    ) -> Option<(Step, Option<PoolId>, Option<MachineId>)> {
        let mut found = None;
        for change in &txn.changes {
            let deleted = change.delete.as_deref().and_then(records::parse_key);
            if let Some(Key::Job(_) | Key::Part(..)) = deleted {
                found.get_or_insert((Step::End, None, None));
            }
            let (Some(key), Some(value)) = (&change.put, &change.value) else { continue };
            let step = match records::parse_key(key) {
                Some(Key::Controller(_)) => (Step::Enlist, None, None),
                Some(Key::Role(_)) => (Step::Elect, None, None),
                Some(Key::Workspace(_)) => (Step::Keep, None, None),
                Some(Key::Slice(_)) => (Step::Slice, None, None),
                Some(Key::ScaleOutIntents) => (Step::ScaleOut, None, None),
                Some(Key::Pool(pool)) => {
                    let owner = serde_json::from_str::<HolderRecord>(value.get()).ok()?.owner;
                    let leader = self.store.get(cleatfold_roles::Role::PoolAssignment.key());
                    let leader = leader.and_then(|i| {
                        serde_json::from_str::<HolderRecord>(i.value.get()).ok().map(|h| h.owner)
                    });
                    let takes = owner == controller_id(controller) && leader != Some(owner.clone());
                    let step = if takes { Step::TakeOver } else { Step::PoolAssignment };
                    (step, Some(pool), None)
                }
                Some(Key::Job(_)) => {
                    let read = |v: &str| serde_json::from_str::<JobRecord>(v).ok();
                    let new = read(value.get())?.table.claims;
                    let old = self.store.get(key).and_then(|i| read(i.value.get()));
                    let old = old.map(|o| o.table.claims).unwrap_or_default();
                    let stood = |g: &records::ClaimGroup, t| {
                        old.iter().any(|o| o.machine == g.machine && o.tasks.contains(t))
                    };
                    let fresh = new.iter().find(|g| g.tasks.iter().any(|t| !stood(g, t)));
                    match fresh {
                        Some(g) => (Step::Claim, Some(g.pool.clone()), Some(g.machine.clone())),
                        None if old.is_empty() => continue,
                        None => (Step::End, None, old.first().map(|g| g.machine.clone())),
                    }
                }
                _ => continue,
            };
            // What is rarer counts where a transaction does several things.
            if found.as_ref().is_none_or(|f: &(Step, _, _)| f.0 == Step::End) {
                found = Some(step);
            }
        }
        found
    }

    /// Whether a blink is due at this request: before it, or after.
    pub(super) fn blink_due(&mut self, controller: usize, request: &StoreRequest) -> Option<Due> {
        self.quick_restarts.plan?;
        let StoreRequest::Txn(txn) = request else { return None };
        let (step, pool, machine) = self.step_of(controller, txn)?;
        self.due(controller, step, pool, machine)
    }

    pub(super) fn call_blink_due(
        &mut self,
        controller: usize,
        request: &CloudRequest,
    ) -> Option<Due> {
        self.quick_restarts.plan?;
        let CloudRequest::ScaleOut(rent) = request else { return None };
        let pool = PoolId { machine_type: rent.machine_type.clone(), zone: rent.zone.clone() };
        self.due(controller, Step::RentCall, Some(pool), None)
    }

    fn due(
        &mut self,
        controller: usize,
        step: Step,
        pool: Option<PoolId>,
        machine: Option<MachineId>,
    ) -> Option<Due> {
        let seen = self.quick_restarts.seen.entry(step).or_default();
        *seen += 1;
        let plan = self.quick_restarts.plan.filter(|p| p.step == step && p.nth == *seen)?;
        Some(Due { plan, controller, pool, machine })
    }

    pub(super) fn quick_restart_now(&mut self, due: &Due) {
        let n = self.controllers.len();
        let whom = match due.plan.who {
            Who::Controller(offset) => {
                let i = (due.controller + offset) % n;
                self.blink_at_once(i);
                controller_id(i).to_string()
            }
            Who::All => {
                (0..n).for_each(|i| self.blink_at_once(i));
                "all".into()
            }
            Who::OneReturns(offset) => {
                let one = (due.controller + offset) % n;
                self.one_returns(one, BACK_MS, OTHERS_BACK_MS);
                format!("all but {}", controller_id(one))
            }
            Who::Machine(back) => {
                let Some(machine) = self.whose(due) else { return };
                match back {
                    Back::AsItWas => self.hiccup(&machine),
                    Back::Anew => self.anew(&machine),
                    Back::Replaced => self.replaced(&machine),
                }
                machine.to_string()
            }
        };
        self.quick_restarts.applied_faults = Some((self.now, whom));
    }

    /// All controllers end; one is back after so long, the others after longer.
    pub fn one_returns(&mut self, one: usize, back_ms: u64, others_back_ms: u64) {
        for i in (0..self.controllers.len()).filter(|i| *i != one) {
            self.crash(i, others_back_ms);
        }
        self.crash(one, back_ms);
        self.at(back_ms, SimulationEvent::Restart(one));
    }

    fn blink_at_once(&mut self, i: usize) {
        match self.controllers[i] {
            Some(_) => self.crash(i, BACK_MS),
            None => self.handle_event(SimulationEvent::Restart(i)),
        }
    }

    /// The machine that the step is about, or one that has to do with it.
    fn whose(&self, due: &Due) -> Option<MachineId> {
        let there = due.machine.clone().filter(|m| self.workers.contains_key(m));
        let of_pool = |m: &&MachineId| due.pool.is_none() || self.pool_of(m) == due.pool;
        let busy = || self.running.values().find(of_pool).cloned();
        let idle = || self.workers.keys().find(of_pool).cloned();
        let any = || self.running.values().next().or(self.workers.keys().next()).cloned();
        there.or_else(busy).or_else(idle).or_else(any)
    }
}

pub(super) struct Due {
    pub plan: Blink,
    controller: usize,
    pool: Option<PoolId>,
    machine: Option<MachineId>,
}

pub(super) fn late(due: Option<&Due>) -> Option<u64> {
    due.filter(|d| d.plan.moment == Moment::Late).map(|_| LATE_MS)
}

pub(super) fn is_after(due: &Due) -> bool {
    due.plan.moment == Moment::After
}
