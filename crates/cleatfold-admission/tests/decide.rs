//! Tests which groups are found overloaded and for how long, and that no group starves and no job is overtaken forever.

use cleatfold_admission::{
    decide, order, AdmissionRules, Demand, DemandSnapshot, Group, Meter, OverloadQuota,
    OverloadTimers, QuotaEntry, SizeBounds, SizeDemand,
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
        required: SizeDemand { max_work: 70.0, work_share: 0.25, waiting: 0.25 * waiting },
        desired: SizeDemand { max_work: 100.0, work_share: 0.25, waiting: 0.25 * waiting },
        middle: SizeDemand::default(),
        large: SizeDemand::default(),
        bounds: SizeBounds { small_max_work: 70.0, large_min_work: 500.0, large_min_tasks: 100 },
        median_work: 60.0,
        guarantee: 0.0,
        limit: 0.0,
    }
}

/// Urgent work uses nearly all processors, and less urgent work waits forever.
fn overload() -> DemandSnapshot {
    let groups = vec![
        demand("a", Urgency::High, 0.0, 950.0),
        demand("b", Urgency::BestEffort, 200_000.0, 800.0),
    ];
    DemandSnapshot { capacity: 1000.0, capacity_settled: true, groups }
}

struct Decider {
    timers: OverloadTimers,
    quota: OverloadQuota,
}

impl Decider {
    fn new(quota: OverloadQuota) -> Self {
        Self { timers: OverloadTimers::default(), quota }
    }

    /// Decides once a second and stores the quota whenever it differs.
    fn run(&mut self, snapshot: &DemandSnapshot, from_s: u32, to_s: u32) {
        for s in from_s..to_s {
            let next = decide(
                &AdmissionRules::default(),
                &mut self.timers,
                &self.quota,
                snapshot,
                f64::from(s),
            );
            if self.quota.differs(&next) {
                let generation = self.quota.generation + 1;
                self.quota = OverloadQuota { generation, entries: next, ..self.quota.clone() };
            }
        }
    }
}

#[test]
fn starving_group_gets_floor_and_urgent_group_gets_none() {
    let mut decider = Decider::new(OverloadQuota::default());
    decider.run(&overload(), 0, 4);
    assert!(decider.quota.is_empty(), "a short queue is not overload");
    decider.run(&overload(), 4, 10);
    assert_eq!(decider.quota.generation, 1);
    let entry = &decider.quota.entries[0];
    assert_eq!((decider.quota.entries.len(), entry.team.as_str()), (1, "b"));
    // A quarter of the arriving work, and of the waiting work within twice the patience: all of it fits under the
    // maximum.
    let needed = 0.25 * (800.0 + 200_000.0 / 600.0);
    assert!((entry.floor as f64 / 1000.0 - needed).abs() < 1.0, "{entry:?}");
}

#[test]
fn growing_capacity_prevents_a_quota() {
    let mut decider = Decider::new(OverloadQuota::default());
    decider.run(&DemandSnapshot { capacity_settled: false, ..overload() }, 0, 60);
    assert!(decider.quota.is_empty());
}

/// Guards against oscillation: the queue is shorter under a quota, and ending the quota at once would cause the overload
/// again.
#[test]
fn quota_persists_between_the_bounds() {
    let mut decider = Decider::new(OverloadQuota::default());
    decider.run(&overload(), 0, 10);
    let mut shorter_queue = overload();
    shorter_queue.groups[1].waiting = 0.7 * 300.0 * 50.0;
    shorter_queue.groups[1].required.waiting = 0.0;
    shorter_queue.groups[1].desired.waiting = 0.0;
    decider.run(&shorter_queue, 10, 200);
    assert_eq!(decider.quota.entries.len(), 1, "unchanged between the bounds");
    shorter_queue.groups[1].waiting = 0.0;
    decider.run(&shorter_queue, 200, 215);
    assert_eq!(decider.quota.entries.len(), 1, "a short quiet period does not end it");
    decider.run(&shorter_queue, 215, 230);
    assert!(decider.quota.is_empty());
    assert_eq!(decider.quota.generation, 3, "started, adjusted and ended");
}

#[test]
fn new_decider_continues_from_the_stored_quota() {
    let mut first = Decider::new(OverloadQuota::default());
    first.run(&overload(), 0, 10);
    let mut second = Decider::new(first.quota.clone());
    second.run(&DemandSnapshot { capacity_settled: false, ..overload() }, 0, 3);
    assert_eq!(
        second.quota, first.quota,
        "unchanged by a decider that did not see the overload start"
    );
}

#[test]
fn team_at_its_limit_is_overloaded_despite_free_capacity() {
    let mut snapshot = overload();
    snapshot.groups = vec![
        // Only the limit of the team makes its jobs wait.
        Demand { limit: 100.0, ..demand("a", Urgency::Normal, 60_000.0, 300.0) },
        demand("b", Urgency::BestEffort, 0.0, 100.0),
    ];
    let mut decider = Decider::new(OverloadQuota::default());
    decider.run(&snapshot, 0, 10);
    let overloaded: Vec<&str> = decider.quota.entries.iter().map(|e| e.team.as_str()).collect();
    assert_eq!(overloaded, ["a"], "the region has free capacity, but the team is at its limit");
    assert!(decider.quota.entries[0].floor <= 100_000, "no floor above its limit");
}

#[test]
fn floors_are_fair_and_within_capacity() {
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
        let snapshot = DemandSnapshot { capacity: 1000.0, capacity_settled: true, groups };
        let mut decider = Decider::new(OverloadQuota::default());
        decider.run(&snapshot, 0, 10);
        let entries = &decider.quota.entries;
        let sum: i64 = entries.iter().map(|e| e.floor).sum();
        assert!(sum <= 900_000, "case {case}: {sum}");
        for e in entries {
            let g = snapshot
                .groups
                .iter()
                .find(|g| g.group.team == e.team)
                .expect("a group with demand");
            let needed =
                (g.required.work_share * g.rate + 0.5 * g.required.waiting / g.patience_s) * 1000.0;
            // Guarantees come first, at most twelve of 50 processors; the remaining capacity is shared equally.
            let guaranteed = snapshot.groups.iter().filter(|g| g.guarantee > 0.0).count() as i64;
            let equal_share = (900_000 - 50_000 * guaranteed).max(0) / entries.len() as i64;
            // No floor exceeds the share of its team. Half of the total weight is divided equally among the teams, the
            // other half, if there are guarantees, in proportion to them.
            let equal_share = equal_share.min(500_000 / snapshot.groups.len() as i64);
            let least = if g.guarantee > 0.0 { 900_000 / 12 } else { equal_share };
            assert!(e.floor + 2 >= least.min(needed as i64), "case {case}: {e:?} of {needed}");
            assert!(e.floor <= needed as i64 + 2, "case {case}: floor exceeds the need");
        }
    }
}

fn entry() -> QuotaEntry {
    QuotaEntry {
        team: TeamId::new("a"),
        class: ClassId::new("class"),
        floor: 10_000,
        median_work: 100,
        patience_ms: 300_000,
        delay_ms: 0,
        max_new_work: None,
        sizes: None,
    }
}

/// Small jobs go first, but a large job is overtaken only by jobs that arrive within a bounded time.
#[test]
fn large_job_is_overtaken_only_for_a_bounded_time() {
    let now = 10_000_000;
    let job = |accepted_ms, remaining_work, started| order::QueuedJob {
        accepted_ms,
        remaining_work,
        started,
    };
    let sort_time = |accepted, work| order::sort_time_ms(&entry(), job(accepted, work, false), now);
    assert!(sort_time(now, 10.0) < sort_time(now - 60_000, 1000.0), "the small job goes first");
    for work in [1.0, 100.0, 1e9] {
        let old = sort_time(now - 6 * 300_000, work);
        assert!(
            old < sort_time(now, 1.0),
            "a job accepted five times the patience ago precedes all new jobs"
        );
    }
    let late = sort_time(now - 310_000, 100.0);
    assert!(
        late > sort_time(now - 290_000, 100.0),
        "a late job goes behind jobs that can be in time"
    );
}

#[test]
fn small_jobs_are_promoted_up_to_the_floor() {
    assert_eq!(order::promote_small(10_000, 0, [4000, 4000, 4000, 4000]), 3);
    assert_eq!(order::promote_small(10_000, 9000, [4000, 4000]), 1);
    assert_eq!(
        order::promote_small(10_000, 10_000, [4000]),
        0,
        "no promotion once the floor is reached"
    );
}

#[test]
fn meter_decays_rates_and_measures_sizes() {
    let mut meter = Meter::default();
    let g = group("a", "class");
    for s in 0..600 {
        meter.record_arrival(&g, f64::from(s), 50.0, 1, 10.0);
        if s % 10 == 0 {
            meter.record_arrival(&g, f64::from(s), 1000.0, 1, 10.0);
        }
    }
    // 50 per second, and 1000 every ten seconds.
    let rate = meter.rate(&g, 600.0);
    assert!((rate / 150.0 - 1.0).abs() < 0.1, "{rate}");
    assert!(meter.rate(&g, 780.0) < 0.1 * rate);
    let sizes = meter.size_distribution(&g, 0.6).expect("jobs arrived");
    assert!((sizes.median_work / 50.0 - 1.0).abs() < 0.05, "{sizes:?}");
    let work_share = 0.6 * 11.0 * 50.0 / 1500.0;
    assert!((sizes.work_share / work_share - 1.0).abs() < 0.1, "{sizes:?}, expected {work_share}");
    // A restarted controller reads jobs in any order: an older arrival is weighted by its age.
    let mut late = Meter::default();
    late.record_arrival(&g, 100.0, 60.0, 1, 10.0);
    late.record_arrival(&g, 40.0, 60.0, 1, 10.0);
    assert!((late.rate(&g, 100.0) - (1.0 + (-1.0f64).exp())).abs() < 1e-9);
}

/// Excessive demand of one team delays that team, not the others of its class.
#[test]
fn team_with_excessive_demand_is_delayed() {
    let mut groups: Vec<Demand> = (0..6)
        .map(|i| {
            demand(&format!("team-{i}"), Urgency::Normal, 200_000.0, 100.0 + 10.0 * f64::from(i))
        })
        .collect();
    groups[3].rate = 1500.0;
    let snapshot = DemandSnapshot { capacity: 1000.0, capacity_settled: true, groups };
    let mut decider = Decider::new(OverloadQuota::default());
    decider.run(&snapshot, 0, 10);
    assert_eq!(decider.quota.entries.len(), 6);
    for e in &decider.quota.entries {
        let is_excessive = e.team.as_str() == "team-3";
        assert_eq!(e.delay_ms > e.patience_ms / 2, is_excessive, "{e:?}");
        assert!(
            is_excessive || e.delay_ms == 0,
            "slightly more demand than the others causes no delay: {e:?}"
        );
    }
}

/// Only the required half of a group may take capacity from more urgent work that is served in time.
#[test]
fn desired_jobs_use_only_capacity_left_by_more_urgent_work() {
    let mut snapshot = overload();
    snapshot.groups[0].rate = 600.0;
    snapshot.groups[1].desired =
        SizeDemand { max_work: 200.0, work_share: 0.5, waiting: 100_000.0 };
    let floor = |snapshot: &DemandSnapshot| {
        let mut decider = Decider::new(OverloadQuota::default());
        decider.run(snapshot, 0, 10);
        decider.quota.entries[0].floor as f64 / 1000.0
    };
    let required = 0.25 * 800.0 + 50_000.0 / 600.0;
    assert!(
        (floor(&snapshot) - 400.0).abs() < 1.0,
        "all capacity that the other group leaves: {}",
        floor(&snapshot)
    );
    snapshot.groups[0].rate = 900.0;
    assert!((floor(&snapshot) - required).abs() < 1.0, "the required floor: {}", floor(&snapshot));
}
