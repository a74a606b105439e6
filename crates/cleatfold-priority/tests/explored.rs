//! Preemption, explored in every order of what can happen: two controllers that both believe they own the
//! pool plan, write, order stops and claim, and any write or stop may arrive after its sender was
//! replaced, restarted or frozen. The record, what stands in it and whom it bars are the service's own.
//!
//! One machine with one place, on which background runs; one urgent task wants it, and other background
//! waits. The search is that of `cleatfold_fakes::explore`.

use cleatfold_fakes::explore::{explore, Exploration, ModelState};
use cleatfold_priority::{PreemptionPlan, PreemptionRecord, Seen, Victim};
use cleatfold_wire::job::Urgency;
use cleatfold_wire::*;
use std::collections::BTreeSet;

const HANDS: u64 = 3;

/// The guards, to be removed one at a time.
#[derive(Clone, Copy)]
struct Guards {
    /// The record's write is guarded by the pool's token.
    token: bool,
    /// Who leaves is told only once the record is durable.
    durable_first: bool,
    /// Room that stands is kept from whom it bars.
    keep: bool,
    /// A room that stands counts as coming.
    count: bool,
    /// Claims are guarded by the pool's token and the job's version.
    claims: bool,
}

const ALL: Guards =
    Guards { token: true, durable_first: true, keep: true, count: true, claims: true };

/// Who is on the machine's one place, by the records.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
enum Place {
    #[default]
    Old,
    Free,
    Urgent,
    /// Background again: what was stopped, or other.
    Low,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Way {
    Write { token: u64, seen: u64 },
    Stop,
    Claim { token: u64, seen: u64, who: Place },
}

/// What a controller has read, and remembers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
struct Controller {
    token: Option<u64>,
    place: Place,
    claims: u64,
    /// Version of the record, 0 for none.
    made: u64,
    /// It has asked for room already and remembers.
    asked: bool,
    /// Under which token it has told those to leave that its record names.
    told: u64,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
struct State {
    controllers: [Controller; 2],
    owner: Option<usize>,
    token: u64,
    place: Place,
    /// Version of the place's claims.
    claims: u64,
    made: u64,
    ways: BTreeSet<(usize, Way)>,
    /// The victim has left; its exit is known to whoever owns the pool.
    left: bool,
    /// Rooms ever written.
    plans: u32,
    broken: BTreeSet<&'static str>,
}

fn urgent() -> JobId {
    JobId::new("urgent")
}

fn record() -> PreemptionRecord {
    let room = PreemptionPlan {
        job: urgent(),
        machine: MachineId::new("m"),
        tasks: 1,
        had: 0,
        until_ms: 1000,
        stop: vec![Victim(JobId::new("old"), TaskIx(0), Attempt(1))],
        grace_ms: 0,
    };
    PreemptionRecord::default().with(vec![room], |_| true)
}

/// Whether the room that a controller has read stands, by the service's own rule.
fn stands(controller: &Controller) -> bool {
    let urgent_has = controller.place == Place::Urgent;
    let seen = Seen { waits: u32::from(!urgent_has), here: u32::from(urgent_has), wall_ms: 0 };
    controller.made > 0 && record().plans[0].stands(seen)
}

fn barred(controller: &Controller, g: Guards) -> bool {
    let other = JobId::new("other");
    g.keep
        && stands(controller)
        && record().plans[0].bars(Urgency::Critical, &other, Urgency::BestEffort)
}

fn step(s: &State, g: Guards) -> Vec<State> {
    let mut next = Vec::new();
    for n in 0..2 {
        // The pool is assigned to it: the other may go on believing.
        if s.owner != Some(n) && s.token < HANDS {
            let mut t = s.clone();
            t.token += 1;
            t.owner = Some(n);
            // It has read all that stood when it got the pool, and remembers nothing.
            t.controllers[n] = Controller {
                token: Some(t.token),
                place: s.place,
                claims: s.claims,
                made: s.made,
                ..Controller::default()
            };
            next.push(t);
        }
        let controller = s.controllers[n];
        // It reads.
        let read = Controller { place: s.place, claims: s.claims, made: s.made, ..controller };
        if read != controller {
            let mut t = s.clone();
            t.controllers[n] = read;
            next.push(t);
        }
        // Or reads that the pool is another's.
        if controller.token.is_some_and(|k| k < s.token) {
            let mut t = s.clone();
            t.controllers[n] = Controller { token: None, ..read };
            next.push(t);
        }
        let Some(token) = controller.token else { continue };
        // It plans: the urgent one wants the place.
        let coming = controller.asked || (g.count && stands(&controller));
        if controller.place == Place::Old && !coming {
            let mut t = s.clone();
            t.controllers[n].asked = true;
            t.ways.insert((n, Way::Write { token, seen: controller.made }));
            if !g.durable_first {
                t.ways.insert((n, Way::Stop));
            }
            next.push(t);
        }
        // What a former owner was making it goes on making; its own it tells once it is durable.
        if stands(&controller) && controller.place == Place::Old && controller.told != token {
            let mut t = s.clone();
            t.controllers[n].told = token;
            t.ways.insert((n, Way::Stop));
            next.push(t);
        }
        // The exit is recorded by the owner, whose worker reports it.
        if s.left && controller.place == Place::Old && s.place == Place::Old && s.owner == Some(n) {
            let mut t = s.clone();
            t.place = Place::Free;
            t.claims += 1;
            (t.controllers[n].place, t.controllers[n].claims) = (t.place, t.claims);
            next.push(t);
        }
        if controller.place == Place::Free {
            // The first that is not barred is claimed for. That the urgent one was not sent here, or is
            // not considered for another reason, is part of the play: only the room's record makes sure.
            let seen = controller.claims;
            let whos = match barred(&controller, g) {
                true => vec![Place::Urgent],
                false => vec![Place::Urgent, Place::Low],
            };
            for who in whos {
                let mut t = s.clone();
                if t.ways.insert((n, Way::Claim { token, seen, who })) {
                    next.push(t);
                }
            }
        }
    }
    for way in &s.ways {
        let mut t = s.clone();
        t.ways.remove(way);
        let (n, way) = *way;
        match way {
            Way::Write { token, seen } => {
                if (!g.token || token == s.token) && seen == s.made {
                    if token != s.token {
                        t.broken.insert("a former owner wrote");
                    }
                    t.made += 1;
                    t.plans += 1;
                    if t.plans > 1 {
                        t.broken.insert("room was made twice for one need");
                    }
                    if s.controllers[n].token == Some(token) {
                        t.controllers[n].made = t.made;
                    }
                }
            }
            Way::Stop => {
                // However late: it names one start of one task.
                if s.place == Place::Old && !s.left {
                    t.left = true;
                    if s.made == 0 {
                        t.broken.insert("somebody left for a room that nobody knows of");
                    }
                }
            }
            Way::Claim { token, seen, who } => {
                if !g.claims || (token == s.token && seen == s.claims) {
                    if s.place != Place::Free {
                        t.broken.insert("two in one place");
                    }
                    if who == Place::Low && s.made > 0 {
                        t.broken.insert("the room went to somebody else");
                    }
                    t.place = who;
                    t.claims += 1;
                }
            }
        }
        // Or it is lost on its way.
        let mut lost = s.clone();
        lost.ways.remove(&(n, way));
        next.push(lost);
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
fn preempted_capacity_goes_to_its_beneficiary_in_any_order_of_events() {
    let Exploration { violations, states } = explore_model(ALL, None);
    assert!(violations.is_empty(), "{violations:?} in {states} states");
    assert!(states > 1000, "only {states} states");
}

#[test]
fn each_guard_is_needed() {
    for (guards, what) in [
        (Guards { token: false, ..ALL }, "a former owner wrote"),
        (Guards { durable_first: false, ..ALL }, "somebody left for a room that nobody knows of"),
        (Guards { keep: false, ..ALL }, "the room went to somebody else"),
        (Guards { count: false, ..ALL }, "room was made twice for one need"),
        (Guards { claims: false, ..ALL }, "two in one place"),
    ] {
        let Exploration { violations, .. } = explore_model(guards, Some(what));
        assert!(violations.contains(what), "not seen without its guard: {what}; {violations:?}");
    }
}
