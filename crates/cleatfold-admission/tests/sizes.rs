//! Simulates a queue whose demand exceeds the capacity and tests that half of the jobs of each size class start in time
//! and complete.
//!
//! The expected results follow from the work (`docs/admission.md`, "Sizes"): the smaller half and half of the largest
//! tenth are about 0.4 of all work, half of each size class about 0.6.

use cleatfold_admission::size_classes::{
    is_late, is_preferred, promote_larger, target_width, LargerJobDemand, SizeClassTerms,
};
use cleatfold_admission::{
    decide, order, AdmissionRules, Demand, DemandSnapshot, Group, Meter, OverloadQuota,
    OverloadTimers, QuotaEntry, SizeBounds, SizeClass, SizeDemand,
};
use cleatfold_wire::job::Urgency;
use cleatfold_wire::{ClassId, TeamId};
use proptest::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;

/// Processors.
const CAPACITY: usize = 300;
/// Length of the simulation in seconds.
const DURATION_S: u64 = 900;

#[derive(Clone)]
struct Job {
    group: Group,
    urgency: Urgency,
    accepted_s: u64,
    tasks: u32,
    run_s: u64,
    id_hash: u64,
    tasks_started: u32,
    tasks_done: u32,
    started_s: Option<u64>,
    ended_s: Option<u64>,
}

impl Job {
    fn work(&self) -> f64 {
        f64::from(self.tasks) * self.run_s as f64
    }

    fn unstarted(&self) -> u32 {
        self.tasks - self.tasks_started
    }

    fn running(&self) -> u32 {
        self.tasks_started - self.tasks_done
    }

    fn larger_job_demand(&self, entry: &QuotaEntry) -> LargerJobDemand {
        let within_s = entry.patience_ms as f64 / 1000.0;
        LargerJobDemand {
            accepted_ms: self.accepted_s * 1000,
            id_hash: self.id_hash,
            started: self.tasks_started > 0,
            allocated: i64::from(self.running()) * 1000,
            claimable: i64::from(self.unstarted()) * 1000,
            per_task: 1000,
            work: self.work() as u64,
            target_width: target_width(self.tasks, 1000, self.run_s as f64, within_s.max(240.0)),
        }
    }
}

/// Two classes of three teams each, with log-normal numbers of tasks and run times like those of users' jobs.
fn traffic(seed: u64, load: f64) -> Vec<Job> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut log_normal = |median: f64, sigma: f64, max: f64| {
        let sum: f64 = (0..12).map(|_| rng.random_range(0.0..1.0)).sum();
        (median * ((sum - 6.0) * sigma).exp()).clamp(1.0, max)
    };
    let mut jobs = Vec::new();
    let mut total_work = 0.0;
    for i in 0u64.. {
        let night = i % 2 == 1;
        let (tasks, run_s) =
            (log_normal(12.0, 0.8, 100.0), log_normal(if night { 30.0 } else { 15.0 }, 0.6, 90.0));
        let accepted_s = (total_work / (CAPACITY as f64 * load)) as u64;
        if accepted_s >= DURATION_S {
            break;
        }
        total_work += tasks.round() * run_s.round();
        let class = ClassId::new(if night { "night" } else { "day" });
        jobs.push(Job {
            group: Group { team: TeamId::new(format!("team-{}", i / 2 % 3)), class },
            urgency: if night { Urgency::BestEffort } else { Urgency::Normal },
            accepted_s,
            tasks: tasks.round() as u32,
            run_s: run_s.round() as u64,
            id_hash: i.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 7,
            tasks_started: 0,
            tasks_done: 0,
            started_s: None,
            ended_s: None,
        });
    }
    jobs
}

fn demand_snapshot(
    jobs: &[Job],
    meter: &Meter,
    rules: &AdmissionRules,
    now: u64,
) -> DemandSnapshot {
    let mut groups: BTreeMap<&Group, Vec<&Job>> = BTreeMap::new();
    for job in jobs.iter().filter(|j| j.accepted_s <= now && j.ended_s.is_none()) {
        groups.entry(&job.group).or_default().push(job);
    }
    let demand = |(group, jobs): (&Group, Vec<&Job>)| {
        let (required, desired) = (
            meter.size_distribution(group, rules.required_job_share)?,
            meter.size_distribution(group, rules.desired_job_share)?,
        );
        let largest = meter.largest(&group.class, rules.largest_job_share, required.max_work)?;
        let bounds = SizeBounds {
            small_max_work: required.max_work,
            large_min_work: largest.min_work,
            large_min_tasks: largest.min_tasks,
        };
        let remaining_work = |j: &Job| f64::from(j.unstarted()) * j.run_s as f64;
        let waiting_work = |is_counted: &dyn Fn(&Job) -> bool| -> f64 {
            jobs.iter().filter(|j| is_counted(j)).map(|j| remaining_work(j)).sum()
        };
        let upper_class_work = |size_class: SizeClass| {
            let can_start =
                |j: &Job| j.tasks_started > 0 || !is_late(240_000, j.accepted_s * 1000, now * 1000);
            rules.upper_class_job_share
                * waiting_work(&|j| {
                    can_start(j) && bounds.size_class(j.work(), j.tasks) == size_class
                })
        };
        Some(Demand {
            group: group.clone(),
            urgency: jobs[0].urgency,
            waiting: waiting_work(&|_| true),
            running: jobs.iter().map(|j| 0.5 * f64::from(j.running()) * j.run_s as f64).sum(),
            rate: meter.rate(group, now as f64),
            patience_s: 200.0,
            required: SizeDemand {
                max_work: required.max_work,
                work_share: required.work_share,
                waiting: waiting_work(&|j| j.work() <= required.max_work),
            },
            desired: SizeDemand {
                max_work: desired.max_work,
                work_share: desired.work_share,
                waiting: waiting_work(&|j| j.work() <= desired.max_work),
            },
            middle: SizeDemand {
                max_work: largest.min_work,
                work_share: rules.upper_class_job_share * largest.middle_work_share,
                waiting: upper_class_work(SizeClass::Middle),
            },
            large: SizeDemand {
                max_work: f64::INFINITY,
                work_share: rules.upper_class_job_share * largest.work_share,
                waiting: upper_class_work(SizeClass::Large),
            },
            bounds,
            median_work: required.median_work,
            guarantee: 0.0,
            limit: 0.0,
        })
    };
    let groups = groups.into_iter().filter_map(demand).collect();
    DemandSnapshot { capacity: CAPACITY as f64, capacity_settled: true, groups }
}

/// The queue in order: the index of each job and how many of its tasks may start.
fn queue(
    jobs: &[Job],
    quota: &OverloadQuota,
    now: u64,
    use_size_classes: bool,
) -> Vec<(usize, u32)> {
    type LargerJobs = Vec<(usize, LargerJobDemand)>;
    type SmallJobs = (i64, Vec<(u64, usize, i64)>);
    let mut small: BTreeMap<&ClassId, SmallJobs> = BTreeMap::new();
    let mut larger: BTreeMap<(&ClassId, SizeClass), LargerJobs> = BTreeMap::new();
    let mut candidates = Vec::new();
    for (i, job) in jobs.iter().enumerate() {
        if job.accepted_s > now || job.ended_s.is_some() {
            continue;
        }
        let entry = quota.entry(&job.group.team, &job.group.class);
        let mut sort_key = (true, false, job.urgency, job.accepted_s * 1000, i);
        if let Some(entry) = entry {
            let remaining_work = f64::from(job.unstarted()) * job.run_s as f64;
            let queued_job = order::QueuedJob {
                accepted_ms: job.accepted_s * 1000,
                remaining_work,
                started: job.tasks_started > 0,
            };
            sort_key.1 = order::is_past_patience(entry, queued_job, now * 1000);
            sort_key.3 = order::sort_time_ms(entry, queued_job, now * 1000);
            let size_class = entry
                .sizes
                .as_ref()
                .map_or(SizeClass::Small, |s| s.size_class(job.work(), job.tasks));
            if use_size_classes && size_class != SizeClass::Small {
                larger
                    .entry((&job.group.class, size_class))
                    .or_default()
                    .push((i, job.larger_job_demand(entry)));
            } else {
                let class = small.entry(&job.group.class).or_default();
                class.0 += i64::from(job.running()) * 1000;
                if job.unstarted() > 0 {
                    class.1.push((sort_key.3, i, i64::from(job.unstarted()) * 1000));
                }
            }
        }
        if job.unstarted() > 0 {
            candidates.push((sort_key, job.unstarted()));
        }
    }
    let entries_of = |class: &ClassId| -> Vec<&QuotaEntry> {
        quota.entries.iter().filter(|e| e.class == *class).collect()
    };
    let mut promoted: BTreeMap<usize, i64> = BTreeMap::new();
    for (class, (allocated, mut waiting)) in small {
        waiting.sort();
        let count = order::promote_small(
            entries_of(class).iter().map(|e| e.floor).sum(),
            allocated,
            waiting.iter().map(|w| w.2),
        );
        promoted.extend(waiting[..count].iter().map(|w| (w.1, w.2)));
    }
    for ((class, size_class), jobs) in larger {
        let floor = entries_of(class)
            .iter()
            .filter_map(|e| e.sizes.as_ref())
            .map(|s| s.floor(size_class))
            .sum();
        let demands: Vec<LargerJobDemand> = jobs.iter().map(|j| j.1).collect();
        let amounts = {
            let capacity_short =
                entries_of(class).iter().filter_map(|e| e.sizes.as_ref()).any(|s| s.capacity_short);
            promote_larger(
                SizeClassTerms { floor, start_within_ms: 240_000, capacity_short },
                now * 1000,
                &demands,
            )
        };
        promoted.extend(
            jobs.iter().zip(amounts).filter(|(_, a)| *a > 0).map(|(job, amount)| (job.0, amount)),
        );
    }
    let mut all = Vec::new();
    for (key, tasks) in candidates {
        let promoted_tasks = (promoted.get(&key.4).copied().unwrap_or(0) / 1000) as u32;
        if promoted_tasks > 0 {
            all.push(((false, false, key.2, key.3, key.4), promoted_tasks));
        }
        all.push((key, tasks - promoted_tasks));
    }
    all.sort();
    all.into_iter().map(|(key, tasks)| (key.4, tasks)).collect()
}

fn simulate(seed: u64, load: f64, use_size_classes: bool) -> Vec<Job> {
    let rules = AdmissionRules::default();
    let mut jobs = traffic(seed, load);
    let (mut timers, mut quota, mut meter) =
        (OverloadTimers::default(), OverloadQuota::default(), Meter::default());
    let mut running: Vec<(u64, usize)> = Vec::new();
    for now in 0..DURATION_S {
        for job in jobs.iter().filter(|j| j.accepted_s == now) {
            meter.record_arrival(&job.group, now as f64, job.work(), job.tasks, job.run_s as f64);
        }
        running.retain(|&(until, i)| {
            let is_done = until <= now;
            if is_done {
                jobs[i].tasks_done += 1;
                if jobs[i].tasks_done == jobs[i].tasks {
                    jobs[i].ended_s = Some(now);
                }
            }
            !is_done
        });
        if now % 5 == 0 {
            let snapshot = demand_snapshot(&jobs, &meter, &rules, now);
            let next = decide(&rules, &mut timers, &quota, &snapshot, now as f64);
            if quota.differs(&next) {
                quota = OverloadQuota { entries: next, ..quota };
            }
        }
        for (i, tasks) in queue(&jobs, &quota, now, use_size_classes) {
            let n = tasks.min((CAPACITY - running.len()) as u32);
            if n > 0 {
                jobs[i].started_s.get_or_insert(now);
                jobs[i].tasks_started += n;
                running.extend((0..n).map(|_| (now + jobs[i].run_s, i)));
            }
        }
    }
    jobs
}

/// For the jobs of a class between two quantiles of size: the share that started in time and the share that completed.
fn served_shares(
    jobs: &[Job],
    class: &str,
    from: f64,
    to: f64,
    size: impl Fn(&Job) -> f64,
) -> (f64, f64) {
    // Jobs that could start in time and then had as much time again.
    let mut eligible: Vec<&Job> = jobs
        .iter()
        .filter(|j| j.group.class.as_str() == class && j.accepted_s + 240 + 240 <= DURATION_S)
        .collect();
    eligible.sort_by(|a, b| size(a).total_cmp(&size(b)));
    let n = eligible.len() as f64;
    let selected = &eligible[(from * n) as usize..(to * n) as usize];
    let share = |matches: &dyn Fn(&Job) -> bool| {
        selected.iter().filter(|j| matches(j)).count() as f64 / selected.len() as f64
    };
    let started = share(&|j| j.started_s.is_some_and(|started_s| started_s - j.accepted_s <= 240));
    (started, share(&|j| j.ended_s.is_some()))
}

/// Quantile ranges of the three size classes.
const SIZES: [(f64, f64); 3] = [(0.0, 0.5), (0.5, 0.9), (0.9, 1.0)];

fn work(job: &Job) -> f64 {
    job.work()
}

fn tasks(job: &Job) -> f64 {
    f64::from(job.tasks)
}

/// At 1.5 times the capacity half of each size class fits. Without floors for each size class a third of the largest jobs
/// of the least urgent class started.
#[test]
fn half_of_each_size_class_is_served_at_moderate_overload() {
    for seed in 1..4 {
        let jobs = simulate(seed, 1.5, true);
        for class in ["day", "night"] {
            for (from, to) in SIZES {
                for size in [work, tasks] {
                    let (started, ended) = served_shares(&jobs, class, from, to, size);
                    let case =
                        format!("seed {seed}, {class}, {from}: {started} started, {ended} ended");
                    assert!(started >= 0.5 && ended >= 0.5, "{case}");
                }
            }
        }
    }
    let (before, _) = served_shares(&simulate(1, 1.5, false), "night", 0.9, 1.0, work);
    assert!(before < 0.45, "without size classes {before} start");
}

/// At twice the capacity the small jobs and half of the largest ones fit; the middle-sized ones have to wait.
#[test]
fn largest_jobs_precede_middle_sized_ones() {
    for seed in 1..4 {
        let jobs = simulate(seed, 2.0, true);
        for class in ["day", "night"] {
            for size in [work, tasks] {
                let (started, ended) = served_shares(&jobs, class, 0.9, 1.0, size);
                assert!(started >= 0.5 && ended >= 0.5, "seed {seed}, {class}: {started}, {ended}");
            }
        }
    }
}

/// Even at five times the capacity started jobs complete, except for the latest, and small jobs keep their floors.
#[test]
fn small_jobs_keep_their_floors() {
    for load in [2.2, 3.0, 5.0] {
        let (before, after) = (simulate(1, load, false), simulate(1, load, true));
        for class in ["day", "night"] {
            let small = |jobs: &[Job]| served_shares(jobs, class, 0.0, 0.5, work);
            let (before, after) = (small(&before), small(&after));
            // At five times the capacity a quarter of the floors goes to the largest jobs first, so some small jobs start
            // later.
            assert!(after.0 > before.0 - 0.1 && after.1 > before.1 - 0.05, "{before:?} {after:?}");
        }
        let started = after
            .iter()
            .filter(|j| j.started_s.is_some_and(|started_s| started_s < DURATION_S - 400));
        let (ended, all) =
            started.fold((0, 0), |n, j| (n.0 + u32::from(j.ended_s.is_some()), n.1 + 1));
        assert!(ended * 100 >= all * 95, "load {load}: of {all} started jobs {ended} ended");
    }
}

#[test]
fn record_without_size_classes_round_trips() {
    let old = r#"{"g":3,"h":7,"e":[{"q":"a","c":"x","f":5000,"t":60,"p":300000,"l":0}]}"#;
    let quota: OverloadQuota = serde_json::from_str(old).expect("a record without size classes");
    let entry = quota.entry(&TeamId::new("a"), &ClassId::new("x")).expect("its entry");
    assert_eq!((entry.floor, &entry.sizes), (5000, &None));
    assert_eq!(serde_json::to_string(&quota).expect("a record"), old, "serialised unchanged");
}

/// Computes the promotion task by task, for tasks of one processor each.
fn model(floor: i64, capacity_short: bool, now_ms: u64, jobs: &[LargerJobDemand]) -> Vec<i64> {
    let mut order: Vec<usize> = (0..jobs.len()).collect();
    let job_is_late = |j: &LargerJobDemand| is_late(240_000, j.accepted_ms, now_ms);
    order.sort_by_key(|&i| {
        let j = &jobs[i];
        let tier = match (j.started, job_is_late(j), is_preferred(j.id_hash)) {
            (true, _, _) => 0,
            (false, false, true) => 1,
            (false, false, false) => 2,
            (false, true, true) => 3,
            (false, true, false) => 4,
        };
        let accepted_ms = j.accepted_ms as i64;
        match tier {
            1 | 2 if capacity_short => (1, j.work as i64, j.id_hash),
            2 => (2, -accepted_ms, j.id_hash),
            _ => (tier, accepted_ms, j.id_hash),
        }
    });
    let reserved = if jobs.iter().any(|j| !j.started && !job_is_late(j)) { floor / 4 } else { 0 };
    let (mut budget, mut committed, mut is_first_new) = (floor - reserved, 0, true);
    let mut stopped = false;
    let mut granted = vec![0; jobs.len()];
    let mut started_jobs = Vec::new();
    for i in order {
        let j = &jobs[i];
        let target = j.target_width.min(j.allocated + j.claimable);
        if !j.started {
            if is_first_new {
                budget = budget.max(0) + reserved;
                is_first_new = false;
            }
            let is_full = committed > 0
                && (committed + target > (if capacity_short { 4 } else { 2 }) * floor
                    || budget < 1);
            stopped |= floor <= 0 || is_full;
            if stopped {
                continue;
            }
        }
        committed += target;
        started_jobs.push(i);
        for task in 0..target {
            if budget > 0 || task == 0 {
                granted[i] += 1;
                budget -= 1;
            }
        }
    }
    let mut promoted: Vec<i64> =
        jobs.iter().zip(&granted).map(|(j, g)| (g - j.allocated).clamp(0, j.claimable)).collect();
    let mut shortfall = floor - jobs.iter().map(|j| j.allocated).sum::<i64>();
    for &i in &started_jobs {
        let (j, limit) = (&jobs[i], promoted[i]);
        promoted[i] = 0;
        let gets_one_task = j.allocated == 0 && (j.started || shortfall > -(floor / 4));
        while promoted[i] < limit && (shortfall > 0 || (gets_one_task && promoted[i] == 0)) {
            promoted[i] += 1;
            shortfall -= 1;
        }
    }
    for i in started_jobs {
        while shortfall > 0 && promoted[i] < jobs[i].claimable {
            promoted[i] += 1;
            shortfall -= 1;
        }
    }
    promoted
}

fn any_job() -> impl Strategy<Value = LargerJobDemand> {
    (0u64..400_000, any::<u64>(), any::<bool>(), 0i64..20, 0i64..40, 1i64..30).prop_map(
        |(accepted_ms, id_hash, started, allocated, claimable, target_width)| LargerJobDemand {
            accepted_ms,
            id_hash,
            started,
            allocated: if started { allocated } else { 0 },
            claimable: if started { claimable } else { claimable.max(1) },
            per_task: 1,
            target_width,
            work: target_width as u64 * 100 + id_hash % 100,
        },
    )
}

proptest! {
    #[test]
    fn promotion_matches_the_model_in_any_order(
        floor in 0i64..120,
        capacity_short in any::<bool>(),
        jobs in proptest::collection::vec(any_job(), 0..12),
        rotation in 0usize..12,
    ) {
        let terms = SizeClassTerms { floor, start_within_ms: 240_000, capacity_short };
        let promoted = promote_larger(terms, 400_000, &jobs);
        prop_assert_eq!(&promoted, &model(floor, capacity_short, 400_000, &jobs));
        // Controllers may list the jobs in any order.
        let mut rotated = jobs.clone();
        rotated.rotate_left(rotation % jobs.len().max(1));
        let mut result = promote_larger(terms, 400_000, &rotated);
        result.rotate_right(rotation % jobs.len().max(1));
        prop_assert_eq!(&promoted, &result);
        // Every started job makes progress.
        for (job, promoted) in jobs.iter().zip(&promoted) {
            prop_assert!(!job.started || job.claimable == 0 || job.allocated + promoted > 0);
        }
    }
}
