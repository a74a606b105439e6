//! Exhaustive exploration of preemption under all event orders. Two controllers that both believe they
//! own the pool plan, write, order stops and claim; any write or stop may arrive after its sender was
//! replaced, restarted or frozen. The record and its rules are those of the production code.
//!
//! One machine has one slot, which a background task occupies. One urgent task needs it, and another
//! background task waits. The search is that of `cleatfold_fakes::explore`.

use cleatfold_fakes::explore::{explore, Exploration, ModelState};
use cleatfold_priority::{BeneficiaryState, PreemptionPlan, PreemptionRecord, Victim};
use cleatfold_wire::job::Urgency;
use cleatfold_wire::*;
use std::collections::BTreeSet;

const MAX_OWNERSHIP_CHANGES: u64 = 3;

/// Guards of the protocol, which tests disable one at a time.
#[derive(Clone, Copy)]
struct Guards {
    /// The write of the record is guarded by the pool's token.
    token: bool,
    /// Victims are ordered to stop only once the record is durable.
    durable_first: bool,
    /// An active plan keeps the slot from other jobs.
    exclude_others: bool,
    /// An active plan counts as pending capacity, so no second plan is made.
    count_written: bool,
    /// Claims are guarded by the pool's token and the job's version.
    claims: bool,
}

const ALL: Guards = Guards {
    token: true,
    durable_first: true,
    exclude_others: true,
    count_written: true,
    claims: true,
};

/// Occupant of the machine's one slot, by the records.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
enum Occupant {
    /// The background task that the preemption stops.
    #[default]
    Victim,
    Free,
    Urgent,
    /// Another background task, or the stopped one again.
    Background,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum InFlight {
    Write { token: u64, seen: u64 },
    Stop,
    Claim { token: u64, seen: u64, claimant: Occupant },
}

/// What a controller has read or remembers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
struct Controller {
    token: Option<u64>,
    occupant: Occupant,
    claims: u64,
    /// Version of the record, 0 for none.
    record_version: u64,
    /// Whether it remembers having requested a plan.
    plan_requested: bool,
    /// Token under which it ordered the record's victims to stop.
    ordered_under: u64,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
struct State {
    controllers: [Controller; 2],
    owner: Option<usize>,
    token: u64,
    occupant: Occupant,
    /// Version of the slot's claims.
    claims: u64,
    record_version: u64,
    in_flight: BTreeSet<(usize, InFlight)>,
    /// The victim has exited; the pool's owner knows of it.
    victim_stopped: bool,
    /// Number of plans ever written.
    plans_written: u32,
    violations: BTreeSet<&'static str>,
}

fn urgent() -> JobId {
    JobId::new("urgent")
}

fn record() -> PreemptionRecord {
    let plan = PreemptionPlan {
        job: urgent(),
        machine: MachineId::new("m"),
        tasks: 1,
        claimed_before: 0,
        until_ms: 1000,
        victims: vec![Victim(JobId::new("old"), TaskIx(0), Attempt(1))],
        grace_ms: 0,
    };
    PreemptionRecord::default().with_plans(vec![plan], |_| true)
}

/// Whether the plan that a controller has read is active, by the production rule.
fn is_plan_active(controller: &Controller) -> bool {
    let urgent_is_placed = controller.occupant == Occupant::Urgent;
    let beneficiary = BeneficiaryState {
        unclaimed_tasks: u32::from(!urgent_is_placed),
        claimed_on_machine: u32::from(urgent_is_placed),
        wall_ms: 0,
    };
    controller.record_version > 0 && record().plans[0].is_active(beneficiary)
}

fn is_excluded(controller: &Controller, guards: Guards) -> bool {
    let other = JobId::new("other");
    guards.exclude_others
        && is_plan_active(controller)
        && record().plans[0].excludes(Urgency::Critical, &other, Urgency::BestEffort)
}

fn successors(s: &State, guards: Guards) -> Vec<State> {
    let mut next = Vec::new();
    for n in 0..2 {
        // The pool is assigned to it; the other may still believe that it owns the pool.
        if s.owner != Some(n) && s.token < MAX_OWNERSHIP_CHANGES {
            let mut t = s.clone();
            t.token += 1;
            t.owner = Some(n);
            // It has read the state as of the assignment and remembers nothing.
            t.controllers[n] = Controller {
                token: Some(t.token),
                occupant: s.occupant,
                claims: s.claims,
                record_version: s.record_version,
                ..Controller::default()
            };
            next.push(t);
        }
        let controller = s.controllers[n];
        // It reads.
        let read = Controller {
            occupant: s.occupant,
            claims: s.claims,
            record_version: s.record_version,
            ..controller
        };
        if read != controller {
            let mut t = s.clone();
            t.controllers[n] = read;
            next.push(t);
        }
        // It reads that the pool has another owner.
        if controller.token.is_some_and(|k| k < s.token) {
            let mut t = s.clone();
            t.controllers[n] = Controller { token: None, ..read };
            next.push(t);
        }
        let Some(token) = controller.token else { continue };
        // It plans a preemption for the urgent task.
        let plan_pending =
            controller.plan_requested || (guards.count_written && is_plan_active(&controller));
        if controller.occupant == Occupant::Victim && !plan_pending {
            let mut t = s.clone();
            t.controllers[n].plan_requested = true;
            t.in_flight.insert((n, InFlight::Write { token, seen: controller.record_version }));
            if !guards.durable_first {
                t.in_flight.insert((n, InFlight::Stop));
            }
            next.push(t);
        }
        // It continues a former owner's plan, and carries out its own once that is durable.
        if is_plan_active(&controller)
            && controller.occupant == Occupant::Victim
            && controller.ordered_under != token
        {
            let mut t = s.clone();
            t.controllers[n].ordered_under = token;
            t.in_flight.insert((n, InFlight::Stop));
            next.push(t);
        }
        // The exit is recorded by the owner, whose worker reports it.
        if s.victim_stopped
            && controller.occupant == Occupant::Victim
            && s.occupant == Occupant::Victim
            && s.owner == Some(n)
        {
            let mut t = s.clone();
            t.occupant = Occupant::Free;
            t.claims += 1;
            (t.controllers[n].occupant, t.controllers[n].claims) = (t.occupant, t.claims);
            next.push(t);
        }
        if controller.occupant == Occupant::Free {
            // It claims the slot for any task that is not excluded. The urgent task may be skipped, for
            // example because it is not assigned to this pool: only the record reserves the slot.
            let seen = controller.claims;
            let claimants = match is_excluded(&controller, guards) {
                true => vec![Occupant::Urgent],
                false => vec![Occupant::Urgent, Occupant::Background],
            };
            for claimant in claimants {
                let mut t = s.clone();
                if t.in_flight.insert((n, InFlight::Claim { token, seen, claimant })) {
                    next.push(t);
                }
            }
        }
    }
    for message in &s.in_flight {
        let mut t = s.clone();
        t.in_flight.remove(message);
        let (n, message) = *message;
        match message {
            InFlight::Write { token, seen } => {
                if (!guards.token || token == s.token) && seen == s.record_version {
                    if token != s.token {
                        t.violations.insert("former owner wrote the record");
                    }
                    t.record_version += 1;
                    t.plans_written += 1;
                    if t.plans_written > 1 {
                        t.violations.insert("two plans for one task");
                    }
                    if s.controllers[n].token == Some(token) {
                        t.controllers[n].record_version = t.record_version;
                    }
                }
            }
            InFlight::Stop => {
                // A late stop is harmless: it names one attempt of one task.
                if s.occupant == Occupant::Victim && !s.victim_stopped {
                    t.victim_stopped = true;
                    if s.record_version == 0 {
                        t.violations.insert("victim stopped without a durable plan");
                    }
                }
            }
            InFlight::Claim { token, seen, claimant } => {
                if !guards.claims || (token == s.token && seen == s.claims) {
                    if s.occupant != Occupant::Free {
                        t.violations.insert("two tasks in one slot");
                    }
                    if claimant == Occupant::Background && s.record_version > 0 {
                        t.violations.insert("freed slot went to another task");
                    }
                    t.occupant = claimant;
                    t.claims += 1;
                }
            }
        }
        // The message may also be lost.
        let mut lost = s.clone();
        lost.in_flight.remove(&(n, message));
        next.push(lost);
        next.push(t);
    }
    next
}

impl ModelState for State {
    fn violations(&self) -> &BTreeSet<&'static str> {
        &self.violations
    }
}

fn explore_model(guards: Guards, wanted: Option<&str>) -> Exploration {
    explore(|state| successors(state, guards), wanted)
}

#[test]
fn preempted_capacity_goes_to_its_beneficiary_in_any_order() {
    let Exploration { violations, states } = explore_model(ALL, None);
    assert!(violations.is_empty(), "{violations:?} in {states} states");
    assert!(states > 1000, "only {states} states");
}

#[test]
fn missing_guard_causes_violation() {
    for (guards, what) in [
        (Guards { token: false, ..ALL }, "former owner wrote the record"),
        (Guards { durable_first: false, ..ALL }, "victim stopped without a durable plan"),
        (Guards { exclude_others: false, ..ALL }, "freed slot went to another task"),
        (Guards { count_written: false, ..ALL }, "two plans for one task"),
        (Guards { claims: false, ..ALL }, "two tasks in one slot"),
    ] {
        let Exploration { violations, .. } = explore_model(guards, Some(what));
        assert!(violations.contains(what), "not found without its guard: {what}; {violations:?}");
    }
}
