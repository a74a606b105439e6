//! Model check of scaling out under a role: explores every order of events in which two controllers acquire and
//! lose the role, read, write and send requests, and any write or request may arrive after its sender was replaced
//! or restarted. The model uses the production record and tracker, and the search of `cleatfold_fakes::explore`.

use cleatfold_fakes::explore::{explore, Exploration, ModelState};
use cleatfold_roles::{ScaleOutIntent, ScaleOutIntents, ScaleOutOutcome, ScaleOutTracker};
use cleatfold_wire::{Ms, TypeId, Version, ZoneId};
use std::collections::{BTreeMap, BTreeSet};

const CONTROLLERS: usize = 2;
/// How often the role may be acquired, and how many requests a controller may create.
const MAX_ACQUISITIONS: u64 = 2;
const MAX_REQUESTS: u32 = 1;

/// The safety rules, which the tests disable one at a time.
#[derive(Clone, Copy)]
struct Guards {
    /// Writes are guarded by the role's epoch.
    epoch: bool,
    /// Writes are guarded by the version of the record they were made from.
    record: bool,
    /// Requests are sent only once the record is durable.
    commit_first: bool,
    /// Recorded intents count as machines.
    count_intents: bool,
}

const ALL: Guards = Guards { epoch: true, record: true, commit_first: true, count_intents: true };

/// A write that has not reached the state service.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
struct Write {
    controller: usize,
    incarnation: u64,
    epoch: Version,
    record: Version,
    intents: ScaleOutIntents,
    requests: Vec<ScaleOutIntent>,
}

#[derive(Clone, Default, PartialEq, Eq, PartialOrd, Ord)]
struct Controller {
    incarnation: u64,
    role: Option<(usize, Version)>,
    record: (Version, ScaleOutIntents),
    tracker: ScaleOutTracker,
    requests_created: u32,
    writing: bool,
    /// Machines that the cloud has confirmed to this controller.
    machines: u32,
}

#[derive(Clone, Default, PartialEq, Eq, PartialOrd, Ord)]
struct State {
    controllers: [Controller; CONTROLLERS],
    role: Option<(usize, Version)>,
    record: (Version, ScaleOutIntents),
    revision: u64,
    acquisitions: u64,
    writes: BTreeSet<Write>,
    requests: BTreeSet<(usize, u64, String)>,
    /// Machines that the cloud has created, by request name.
    created: BTreeMap<String, u32>,
    /// Names of all requests that were ever in the record.
    recorded_names: BTreeSet<String>,
    violations: BTreeSet<&'static str>,
}

/// All states that can follow `s` when one machine is needed and the list of machines, which lags, shows none.
fn successors(s: &State, guards: Guards) -> Vec<State> {
    let mut next = Vec::new();
    if s.role.is_some() && s.acquisitions < MAX_ACQUISITIONS {
        // The holder's lease expires.
        next.push(State { role: None, ..s.clone() });
    }
    for n in 0..CONTROLLERS {
        if s.role.is_none() && s.acquisitions < MAX_ACQUISITIONS {
            let mut t = s.clone();
            t.revision += 1;
            t.acquisitions += 1;
            t.role = Some((n, Version(t.revision)));
            next.push(t);
        }
        let controller = &s.controllers[n];
        if controller.role != s.role || controller.record != s.record {
            let mut t = s.clone();
            (t.controllers[n].role, t.controllers[n].record) = (s.role, s.record.clone());
            next.push(t);
        }
        if n == 0 && controller.incarnation < 1 {
            // Restart: the controller loses its memory; its writes and requests are still in transit.
            let mut t = s.clone();
            t.controllers[n] =
                Controller { incarnation: controller.incarnation + 1, ..Controller::default() };
            next.push(t);
        }
        let Some((_, epoch)) = controller.role.filter(|d| d.0 == n && !controller.writing) else {
            continue;
        };
        let mut t = s.clone();
        let me = &mut t.controllers[n];
        let pending = me.tracker.pending(&me.record.1).count();
        let has_machine = me.machines > 0 || (guards.count_intents && pending > 0);
        let new: Vec<ScaleOutIntent> = (!has_machine && me.requests_created < MAX_REQUESTS)
            .then(|| ScaleOutIntent {
                name: format!("{n}-{}-{}", me.incarnation, me.requests_created),
                machine_type: TypeId::new("t"),
                zone: ZoneId::new("z"),
                spot: false,
                count: 1,
                inherited: false,
            })
            .into_iter()
            .collect();
        me.requests_created += new.len() as u32;
        let known = me.record.clone();
        if let Some(step) = me.tracker.next_step(&known.1, epoch, new, (Ms(0), 0), u64::MAX) {
            me.writing = true;
            let incarnation = me.incarnation;
            if !guards.commit_first {
                t.requests.extend(step.requests.iter().map(|i| (n, incarnation, i.name.clone())));
            }
            let (intents, requests) = (step.record, step.requests);
            t.writes.insert(Write {
                controller: n,
                incarnation,
                epoch,
                record: known.0,
                intents,
                requests,
            });
            next.push(t);
        }
    }
    for write in &s.writes {
        let mut t = s.clone();
        t.writes.remove(write);
        let role_matches = !guards.epoch || s.role.is_some_and(|d| d.1 == write.epoch);
        let committed = role_matches && (!guards.record || s.record.0 == write.record);
        if committed {
            t.revision += 1;
            t.record = (Version(t.revision), write.intents.clone());
            t.recorded_names.extend(write.intents.open.iter().map(|i| i.name.clone()));
            if s.role.is_none_or(|d| d.1 != write.epoch) {
                t.violations.insert("a former holder wrote");
            }
        }
        let same_incarnation = s.controllers[write.controller].incarnation == write.incarnation;
        let mut answer_lost = t.clone();
        if same_incarnation {
            let me = &mut t.controllers[write.controller];
            me.writing = false;
            if committed {
                me.record = t.record.clone();
                me.tracker.requests_sent(&write.requests);
                let names = write.requests.iter().map(|i| i.name.clone());
                t.requests.extend(names.map(|name| (write.controller, write.incarnation, name)));
            }
            // The answer may be lost; the controller then reads the result.
            answer_lost.controllers[write.controller].writing = false;
            next.push(answer_lost);
        }
        next.push(t);
    }
    for request in &s.requests {
        let mut t = s.clone();
        t.requests.remove(request);
        let (n, incarnation, name) = request;
        if !s.recorded_names.contains(name) {
            t.violations.insert("a request was sent before its intent was durable");
        }
        t.created.entry(name.clone()).or_insert(1);
        if t.created.values().sum::<u32>() > 1 {
            t.violations.insert("two machines were created for one need");
        }
        if s.controllers[*n].incarnation == *incarnation {
            let me = &mut t.controllers[*n];
            me.tracker.record_outcome(name, ScaleOutOutcome::Fulfilled, Ms(0));
            me.machines = 1;
        }
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
fn all_event_orders_create_one_machine_per_need() {
    let Exploration { violations, states } = explore_model(ALL, None);
    assert!(violations.is_empty(), "{violations:?}");
    assert!(states > 1000, "only {states} states");
}

#[test]
fn disabling_any_guard_causes_its_violation() {
    for (guards, violation) in [
        (Guards { epoch: false, ..ALL }, "a former holder wrote"),
        (Guards { commit_first: false, ..ALL }, "a request was sent before its intent was durable"),
        (Guards { count_intents: false, ..ALL }, "two machines were created for one need"),
        (Guards { epoch: false, record: false, ..ALL }, "two machines were created for one need"),
    ] {
        let Exploration { violations, .. } = explore_model(guards, Some(violation));
        assert!(
            violations.contains(violation),
            "not found without its guard: {violation}; {violations:?}"
        );
    }
}
