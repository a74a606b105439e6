//! Scaling out under a role, explored in every order of what can happen: two controllers take it, lose
//! it, read, write and call, and any write or call may arrive after its sender was replaced or
//! restarted. The record and the holder's memory are the service's own.
//!
//! The search is that of `cleatfold_fakes::explore`.

use cleatfold_fakes::explore::{explore, Exploration, ModelState};
use cleatfold_roles::{Answer, ScaleOutIntent, ScaleOutIntents, ScaleOutTracker};
use cleatfold_wire::{Ms, TypeId, Version, ZoneId};
use std::collections::{BTreeMap, BTreeSet};

const CONTROLLERS: usize = 2;
/// How often the role may change hands, and how many requests a controller may name.
const HANDS: u64 = 2;
const NAMES: u32 = 1;

/// The guards, to be removed one at a time.
#[derive(Clone, Copy)]
struct Guards {
    /// A write is guarded by the role's epoch.
    epoch: bool,
    /// And by the version of the record that it was made from.
    record: bool,
    /// The cloud is asked only once the record is durable.
    commit_first: bool,
    /// What stands in the record counts as had.
    count_intents: bool,
}

const ALL: Guards = Guards { epoch: true, record: true, commit_first: true, count_intents: true };

/// A write on its way.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
struct Write {
    controller: usize,
    life: u64,
    epoch: Version,
    record: Version,
    book: ScaleOutIntents,
    calls: Vec<ScaleOutIntent>,
}

#[derive(Clone, Default, PartialEq, Eq, PartialOrd, Ord)]
struct Controller {
    life: u64,
    role: Option<(usize, Version)>,
    book: (Version, ScaleOutIntents),
    tracker: ScaleOutTracker,
    named: u32,
    writing: bool,
    /// Machines that it has been told of.
    machines: u32,
}

#[derive(Clone, Default, PartialEq, Eq, PartialOrd, Ord)]
struct State {
    controllers: [Controller; CONTROLLERS],
    role: Option<(usize, Version)>,
    book: (Version, ScaleOutIntents),
    revision: u64,
    hands: u64,
    writes: BTreeSet<Write>,
    calls: BTreeSet<(usize, u64, String)>,
    /// What the cloud has rented, by name.
    rented: BTreeMap<String, u32>,
    /// Names that ever stood in the record.
    intents: BTreeSet<String>,
    broken: BTreeSet<&'static str>,
}

/// One machine is needed; none is in the list yet, for it lags.
fn step(s: &State, g: Guards) -> Vec<State> {
    let mut next = Vec::new();
    if s.role.is_some() && s.hands < HANDS {
        // Its holder's lease ends.
        next.push(State { role: None, ..s.clone() });
    }
    for n in 0..CONTROLLERS {
        if s.role.is_none() && s.hands < HANDS {
            let mut t = s.clone();
            t.revision += 1;
            t.hands += 1;
            t.role = Some((n, Version(t.revision)));
            next.push(t);
        }
        let controller = &s.controllers[n];
        if controller.role != s.role || controller.book != s.book {
            let mut t = s.clone();
            (t.controllers[n].role, t.controllers[n].book) = (s.role, s.book.clone());
            next.push(t);
        }
        if n == 0 && controller.life < 1 {
            // Restarted: all it knew is gone, its writes and calls are still on their way.
            let mut t = s.clone();
            t.controllers[n] = Controller { life: controller.life + 1, ..Controller::default() };
            next.push(t);
        }
        let Some((_, epoch)) = controller.role.filter(|d| d.0 == n && !controller.writing) else {
            continue;
        };
        let mut t = s.clone();
        let me = &mut t.controllers[n];
        let coming = me.tracker.coming(&me.book.1).count();
        let has = me.machines > 0 || (g.count_intents && coming > 0);
        let new: Vec<ScaleOutIntent> = (!has && me.named < NAMES)
            .then(|| ScaleOutIntent {
                name: format!("{n}-{}-{}", me.life, me.named),
                machine_type: TypeId::new("t"),
                zone: ZoneId::new("z"),
                spot: false,
                count: 1,
                inherited: false,
            })
            .into_iter()
            .collect();
        me.named += new.len() as u32;
        let known = me.book.clone();
        if let Some(step) = me.tracker.next(&known.1, epoch, new, (Ms(0), 0), u64::MAX) {
            me.writing = true;
            let life = me.life;
            if !g.commit_first {
                t.calls.extend(step.calls.iter().map(|i| (n, life, i.name.clone())));
            }
            let (book, calls) = (step.book, step.calls);
            t.writes.insert(Write { controller: n, life, epoch, record: known.0, book, calls });
            next.push(t);
        }
    }
    for write in &s.writes {
        let mut t = s.clone();
        t.writes.remove(write);
        let role = !g.epoch || s.role.is_some_and(|d| d.1 == write.epoch);
        let done = role && (!g.record || s.book.0 == write.record);
        if done {
            t.revision += 1;
            t.book = (Version(t.revision), write.book.clone());
            t.intents.extend(write.book.open.iter().map(|i| i.name.clone()));
            if s.role.is_none_or(|d| d.1 != write.epoch) {
                t.broken.insert("a former holder wrote");
            }
        }
        let same_life = s.controllers[write.controller].life == write.life;
        let mut lost = t.clone();
        if same_life {
            let me = &mut t.controllers[write.controller];
            me.writing = false;
            if done {
                me.book = t.book.clone();
                me.tracker.called(&write.calls);
                let names = write.calls.iter().map(|i| i.name.clone());
                t.calls.extend(names.map(|name| (write.controller, write.life, name)));
            }
            // Or its answer is lost: the outcome is read.
            lost.controllers[write.controller].writing = false;
            next.push(lost);
        }
        next.push(t);
    }
    for call in &s.calls {
        let mut t = s.clone();
        t.calls.remove(call);
        let (n, life, name) = call;
        if !s.intents.contains(name) {
            t.broken.insert("the cloud was asked for what was not durable");
        }
        t.rented.entry(name.clone()).or_insert(1);
        if t.rented.values().sum::<u32>() > 1 {
            t.broken.insert("rented twice for one need");
        }
        if s.controllers[*n].life == *life {
            let me = &mut t.controllers[*n];
            me.tracker.answered(name, Answer::Given, Ms(0));
            me.machines = 1;
        }
        next.push(t);
    }
    next
}

impl ModelState for State {
    fn violations(&self) -> &BTreeSet<&'static str> {
        &self.broken
    }
}

fn explore_model(guards: Guards, wanted: Option<&str>) -> Exploration {
    explore(|state| step(state, guards), wanted)
}

#[test]
fn no_order_of_events_rents_twice_or_asks_for_what_is_not_durable() {
    let Exploration { violations, states } = explore_model(ALL, None);
    assert!(violations.is_empty(), "{violations:?}");
    assert!(states > 1000, "only {states} states");
}

#[test]
fn each_guard_is_needed() {
    for (guards, what) in [
        (Guards { epoch: false, ..ALL }, "a former holder wrote"),
        (Guards { commit_first: false, ..ALL }, "the cloud was asked for what was not durable"),
        (Guards { count_intents: false, ..ALL }, "rented twice for one need"),
        (Guards { epoch: false, record: false, ..ALL }, "rented twice for one need"),
    ] {
        let Exploration { violations, .. } = explore_model(guards, Some(what));
        assert!(violations.contains(what), "not seen without its guard: {what}; {violations:?}");
    }
}
