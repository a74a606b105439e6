//! Who counts as not served in time, for how long, and that nobody starves or is overtaken for ever.

use cleatfold_admission::{
    decide, order, Bounds, Demand, Entry, Group, Judge, Meter, OverloadQuota, Rules, Small, View,
};
use cleatfold_wire::job::Urgency;
use cleatfold_wire::{ClassId, TeamId};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

fn group(team: &str, class: &str) -> Group {
    Group { team: TeamId::new(team), class: ClassId::new(class) }
}

fn demand(team: &str, urgency: Urgency, waiting: f64, rate: f64) -> Demand {
    Demand {
        group: group(team, "class"),
        urgency,
        waiting,
        running: 0.0,
        rate,
        patience_s: 300.0,
        must: Small { most: 70.0, part: 0.25, waiting: 0.25 * waiting },
        should: Small { most: 100.0, part: 0.25, waiting: 0.25 * waiting },
        middle: Small::default(),
        large: Small::default(),
        bounds: Bounds { small: 70.0, work: 500.0, tasks: 100 },
        typical: 60.0,
        guarantee: 0.0,
        limit: 0.0,
    }
}

/// Urgent work takes nearly all, and what comes behind it waits for ever.
fn overload() -> View {
    let groups = vec![
        demand("a", Urgency::High, 0.0, 950.0),
        demand("b", Urgency::BestEffort, 200_000.0, 800.0),
    ];
    View { capacity: 1000.0, settled: true, groups }
}

struct Decider {
    judge: Judge,
    known: OverloadQuota,
}

impl Decider {
    fn new(known: OverloadQuota) -> Self {
        Self { judge: Judge::default(), known }
    }

    /// Looks once a second; writes whenever something differs.
    fn run(&mut self, view: &View, from_s: u32, to_s: u32) {
        for s in from_s..to_s {
            let next = decide(&Rules::default(), &mut self.judge, &self.known, view, f64::from(s));
            if self.known.differs(&next) {
                let generation = self.known.generation + 1;
                self.known = OverloadQuota { generation, entries: next, ..self.known.clone() };
            }
        }
    }
}

#[test]
fn a_class_that_would_starve_gets_a_floor_and_the_urgent_one_none() {
    let mut decider = Decider::new(OverloadQuota::default());
    decider.run(&overload(), 0, 4);
    assert!(decider.known.is_empty(), "not for a moment's queue");
    decider.run(&overload(), 4, 10);
    assert_eq!(decider.known.generation, 1);
    let entry = &decider.known.entries[0];
    assert_eq!((decider.known.entries.len(), entry.team.as_str()), (1, "b"));
    // A quarter of what comes and of what waits, over its patience: all of it fits under the cap.
    let need = 0.25 * (800.0 + 200_000.0 / 600.0);
    assert!((entry.floor as f64 / 1000.0 - need).abs() < 1.0, "{entry:?}");
}

#[test]
fn while_machines_still_come_a_long_queue_says_nothing() {
    let mut decider = Decider::new(OverloadQuota::default());
    decider.run(&View { settled: false, ..overload() }, 0, 60);
    assert!(decider.known.is_empty());
}

/// The queue under an overload quota is shorter than without; if that ended it, it would begin anew.
#[test]
fn it_does_not_swing() {
    let mut decider = Decider::new(OverloadQuota::default());
    decider.run(&overload(), 0, 10);
    let mut half = overload();
    half.groups[1].waiting = 0.7 * 300.0 * 50.0;
    half.groups[1].must.waiting = 0.0;
    half.groups[1].should.waiting = 0.0;
    decider.run(&half, 10, 200);
    assert_eq!(decider.known.entries.len(), 1, "between the bounds it stays as it is");
    half.groups[1].waiting = 0.0;
    decider.run(&half, 200, 215);
    assert_eq!(decider.known.entries.len(), 1, "nor does a quiet moment end it");
    decider.run(&half, 215, 230);
    assert!(decider.known.is_empty());
    assert_eq!(decider.known.generation, 3, "begun, adjusted and ended");
}

#[test]
fn a_new_holder_goes_on_from_what_was_written() {
    let mut first = Decider::new(OverloadQuota::default());
    first.run(&overload(), 0, 10);
    let mut second = Decider::new(first.known.clone());
    second.run(&View { settled: false, ..overload() }, 0, 3);
    assert_eq!(second.known, first.known, "without having seen the overload begin");
}

#[test]
fn a_team_at_its_limit_is_judged_by_its_limit() {
    let mut view = overload();
    view.groups = vec![
        // Its limit alone makes it wait.
        Demand { limit: 100.0, ..demand("a", Urgency::Normal, 60_000.0, 300.0) },
        demand("b", Urgency::BestEffort, 0.0, 100.0),
    ];
    let mut decider = Decider::new(OverloadQuota::default());
    decider.run(&view, 0, 10);
    let pressed: Vec<&str> = decider.known.entries.iter().map(|e| e.team.as_str()).collect();
    assert_eq!(pressed, ["a"], "there is room in the region, but not for this team");
    assert!(decider.known.entries[0].floor <= 100_000, "no floor above its limit");
}

#[test]
fn floors_share_what_there_is() {
    let mut rng = SmallRng::seed_from_u64(2);
    for case in 0..100 {
        let groups: Vec<Demand> = (0..rng.random_range(1..12))
            .map(|i| {
                let team = format!("team-{i}");
                let waiting = rng.random_range(0.0..2e6);
                let mut d = demand(&team, Urgency::Normal, waiting, rng.random_range(0.0..900.0));
                d.guarantee = if rng.random_bool(0.3) { 50.0 } else { 0.0 };
                d
            })
            .collect();
        let view = View { capacity: 1000.0, settled: true, groups };
        let mut decider = Decider::new(OverloadQuota::default());
        decider.run(&view, 0, 10);
        let entries = &decider.known.entries;
        let sum: i64 = entries.iter().map(|e| e.floor).sum();
        assert!(sum <= 900_000, "case {case}: {sum}");
        for e in entries {
            let g = view.groups.iter().find(|g| g.group.team == e.team).expect("asked for");
            let need = (g.must.part * g.rate + 0.5 * g.must.waiting / g.patience_s) * 1000.0;
            // Guarantees come first, twelve of 50 at most; the rest is shared evenly.
            let guaranteed = view.groups.iter().filter(|g| g.guarantee > 0.0).count() as i64;
            let even = (900_000 - 50_000 * guaranteed).max(0) / entries.len() as i64;
            // And nobody's floor is above its team's share, in which guarantees count as much
            // again as heads do.
            let even = even.min(500_000 / view.groups.len() as i64);
            let least = if g.guarantee > 0.0 { 900_000 / 12 } else { even };
            assert!(e.floor + 2 >= least.min(need as i64), "case {case}: {e:?} of {need}");
            assert!(e.floor <= need as i64 + 2, "case {case}: more than it needs");
        }
    }
}

fn entry() -> Entry {
    Entry {
        team: TeamId::new("a"),
        class: ClassId::new("class"),
        floor: 10_000,
        typical: 100,
        patience_ms: 300_000,
        later_ms: 0,
        most: None,
        sizes: None,
    }
}

/// Small jobs go first, but a large one is overtaken only by what comes in a bounded time.
#[test]
fn nobody_is_put_off_for_ever() {
    let now = 10_000_000;
    let job = |accepted_ms, rest, begun| order::Waiting { accepted_ms, rest, begun };
    let place = |accepted, rest| order::place(&entry(), job(accepted, rest, false), now);
    assert!(place(now, 10.0) < place(now - 60_000, 1000.0), "the small one first");
    for rest in [1.0, 100.0, 1e9] {
        let old = place(now - 6 * 300_000, rest);
        assert!(
            old < place(now, 1.0),
            "whatever came five patiences ago goes before all that is new"
        );
    }
    let late = place(now - 310_000, 100.0);
    assert!(late > place(now - 290_000, 100.0), "what is late goes behind what can be in time");
}

#[test]
fn a_floor_lifts_until_it_is_reached_and_no_further() {
    assert_eq!(order::promote(10_000, 0, [4000, 4000, 4000, 4000]), 3);
    assert_eq!(order::promote(10_000, 9000, [4000, 4000]), 1);
    assert_eq!(
        order::promote(10_000, 10_000, [4000]),
        0,
        "a group that has its floor waits its turn"
    );
}

#[test]
fn the_meter_forgets_and_knows_how_work_is_spread() {
    let mut meter = Meter::default();
    let g = group("a", "class");
    for s in 0..600 {
        meter.arrived(&g, f64::from(s), 50.0, 1, 10.0);
        if s % 10 == 0 {
            meter.arrived(&g, f64::from(s), 1000.0, 1, 10.0);
        }
    }
    // 50 a second, and 1000 every ten seconds.
    let rate = meter.rate(&g, 600.0);
    assert!((rate / 150.0 - 1.0).abs() < 0.1, "{rate}");
    assert!(meter.rate(&g, 780.0) < 0.1 * rate);
    let spread = meter.spread(&g, 0.6).expect("jobs came");
    assert!((spread.typical / 50.0 - 1.0).abs() < 0.05, "{spread:?}");
    let part = 0.6 * 11.0 * 50.0 / 1500.0;
    assert!((spread.part / part - 1.0).abs() < 0.1, "{spread:?} against {part}");
    // A restarted controller reads jobs in any order: late news counts by its age.
    let mut late = Meter::default();
    late.arrived(&g, 100.0, 60.0, 1, 10.0);
    late.arrived(&g, 40.0, 60.0, 1, 10.0);
    assert!((late.rate(&g, 100.0) - (1.0 + (-1.0f64).exp())).abs() < 1e-9);
}

/// One team's flood delays that team, not the others of its class.
#[test]
fn a_team_that_sends_much_more_goes_later() {
    let mut groups: Vec<Demand> = (0..6)
        .map(|i| {
            demand(&format!("team-{i}"), Urgency::Normal, 200_000.0, 100.0 + 10.0 * f64::from(i))
        })
        .collect();
    groups[3].rate = 1500.0;
    let view = View { capacity: 1000.0, settled: true, groups };
    let mut decider = Decider::new(OverloadQuota::default());
    decider.run(&view, 0, 10);
    assert_eq!(decider.known.entries.len(), 6);
    for e in &decider.known.entries {
        let flood = e.team.as_str() == "team-3";
        assert_eq!(e.later_ms > e.patience_ms / 2, flood, "{e:?}");
        assert!(flood || e.later_ms == 0, "a little more than others is luck: {e:?}");
    }
}

/// What goes beyond half of a group is not taken from more urgent work that is served in time.
#[test]
fn only_half_is_taken_from_the_more_urgent() {
    let mut view = overload();
    view.groups[0].rate = 600.0;
    view.groups[1].should = Small { most: 200.0, part: 0.5, waiting: 100_000.0 };
    let floor = |view: &View| {
        let mut decider = Decider::new(OverloadQuota::default());
        decider.run(view, 0, 10);
        decider.known.entries[0].floor as f64 / 1000.0
    };
    let must = 0.25 * 800.0 + 50_000.0 / 600.0;
    assert!((floor(&view) - 400.0).abs() < 1.0, "all that the other leaves: {}", floor(&view));
    view.groups[0].rate = 900.0;
    assert!((floor(&view) - must).abs() < 1.0, "and what has to be: {}", floor(&view));
}
