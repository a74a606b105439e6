//! Half of each size's jobs begins in time and ends: a plain queue that is asked for more than it can do.
//!
//! What is wanted of it follows from the work (`docs/admission.md`, "Sizes"): the smaller half and half of the largest tenth are
//! some 0.4 of all work, half of each size some 0.6.

use cleatfold_admission::size_classes::{chosen, late, promote, width, Terms, Waiting};
use cleatfold_admission::{
    decide, order, Bounds, Demand, Entry, Group, Judge, Meter, OverloadQuota, Rules, SizeClass,
    Small, View,
};
use cleatfold_wire::job::Urgency;
use cleatfold_wire::{ClassId, TeamId};
use proptest::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;

const CAPACITY: usize = 300;
const DAY: u64 = 900;

#[derive(Clone)]
struct Job {
    group: Group,
    urgency: Urgency,
    at: u64,
    tasks: u32,
    run: u64,
    turn: u64,
    started: u32,
    done: u32,
    begun: Option<u64>,
    ended: Option<u64>,
}

impl Job {
    fn work(&self) -> f64 {
        f64::from(self.tasks) * self.run as f64
    }

    fn left(&self) -> u32 {
        self.tasks - self.started
    }

    fn running(&self) -> u32 {
        self.started - self.done
    }

    fn waiting(&self, entry: &Entry) -> Waiting {
        let within = entry.patience_ms as f64 / 1000.0;
        Waiting {
            accepted_ms: self.at * 1000,
            turn: self.turn,
            begun: self.started > 0,
            has: i64::from(self.running()) * 1000,
            needs: i64::from(self.left()) * 1000,
            each: 1000,
            work: self.work() as u64,
            width: width(self.tasks, 1000, self.run as f64, within.max(240.0)),
        }
    }
}

/// Two classes of three teams each, log-normal in tasks and run times, as users' jobs are.
fn traffic(seed: u64, times: f64) -> Vec<Job> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut normal = |median: f64, spread: f64, most: f64| {
        let sum: f64 = (0..12).map(|_| rng.random_range(0.0..1.0)).sum();
        (median * ((sum - 6.0) * spread).exp()).clamp(1.0, most)
    };
    let mut jobs = Vec::new();
    let mut asked = 0.0;
    for i in 0u64.. {
        let night = i % 2 == 1;
        let (tasks, run) =
            (normal(12.0, 0.8, 100.0), normal(if night { 30.0 } else { 15.0 }, 0.6, 90.0));
        let at = (asked / (CAPACITY as f64 * times)) as u64;
        if at >= DAY {
            break;
        }
        asked += tasks.round() * run.round();
        let class = ClassId::new(if night { "night" } else { "day" });
        jobs.push(Job {
            group: Group { team: TeamId::new(format!("team-{}", i / 2 % 3)), class },
            urgency: if night { Urgency::BestEffort } else { Urgency::Normal },
            at,
            tasks: tasks.round() as u32,
            run: run.round() as u64,
            turn: i.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 7,
            started: 0,
            done: 0,
            begun: None,
            ended: None,
        });
    }
    jobs
}

fn view(jobs: &[Job], meter: &Meter, rules: &Rules, now: u64) -> View {
    let mut groups: BTreeMap<&Group, Vec<&Job>> = BTreeMap::new();
    for job in jobs.iter().filter(|j| j.at <= now && j.ended.is_none()) {
        groups.entry(&job.group).or_default().push(job);
    }
    let demand = |(group, jobs): (&Group, Vec<&Job>)| {
        let (must, should) = (meter.spread(group, rules.must)?, meter.spread(group, rules.should)?);
        let largest = meter.largest(&group.class, rules.largest, must.most)?;
        let bounds = Bounds { small: must.most, work: largest.work, tasks: largest.tasks };
        let rest = |j: &Job| f64::from(j.left()) * j.run as f64;
        let waits = |mine: &dyn Fn(&Job) -> bool| -> f64 {
            jobs.iter().filter(|j| mine(j)).map(|j| rest(j)).sum()
        };
        let of = |size_class: SizeClass| {
            let counts = |j: &Job| j.started > 0 || !late(240_000, j.at * 1000, now * 1000);
            rules.of_each
                * waits(&|j| counts(j) && bounds.size_class(j.work(), j.tasks) == size_class)
        };
        Some(Demand {
            group: group.clone(),
            urgency: jobs[0].urgency,
            waiting: waits(&|_| true),
            running: jobs.iter().map(|j| 0.5 * f64::from(j.running()) * j.run as f64).sum(),
            rate: meter.rate(group, now as f64),
            patience_s: 200.0,
            must: Small {
                most: must.most,
                part: must.part,
                waiting: waits(&|j| j.work() <= must.most),
            },
            should: Small {
                most: should.most,
                part: should.part,
                waiting: waits(&|j| j.work() <= should.most),
            },
            middle: Small {
                most: largest.work,
                part: rules.of_each * largest.between,
                waiting: of(SizeClass::Middle),
            },
            large: Small {
                most: f64::INFINITY,
                part: rules.of_each * largest.part,
                waiting: of(SizeClass::Large),
            },
            bounds,
            typical: must.typical,
            guarantee: 0.0,
            limit: 0.0,
        })
    };
    let groups = groups.into_iter().filter_map(demand).collect();
    View { capacity: CAPACITY as f64, settled: true, groups }
}

/// What starts next, first ones first: which job and how many tasks of it.
fn queue(jobs: &[Job], known: &OverloadQuota, now: u64, sized: bool) -> Vec<(usize, u32)> {
    type Upper = Vec<(usize, Waiting)>;
    type Lower = (i64, Vec<(u64, usize, i64)>);
    let mut small: BTreeMap<&ClassId, Lower> = BTreeMap::new();
    let mut upper: BTreeMap<(&ClassId, SizeClass), Upper> = BTreeMap::new();
    let mut places = Vec::new();
    for (i, job) in jobs.iter().enumerate() {
        if job.at > now || job.ended.is_some() {
            continue;
        }
        let entry = known.entry(&job.group.team, &job.group.class);
        let mut key = (true, false, job.urgency, job.at * 1000, i);
        if let Some(entry) = entry {
            let rest = f64::from(job.left()) * job.run as f64;
            let w = order::Waiting { accepted_ms: job.at * 1000, rest, begun: job.started > 0 };
            key.1 = order::past_use(entry, w, now * 1000);
            key.3 = order::place(entry, w, now * 1000);
            let size_class = entry
                .sizes
                .as_ref()
                .map_or(SizeClass::Small, |s| s.size_class(job.work(), job.tasks));
            if sized && size_class != SizeClass::Small {
                upper
                    .entry((&job.group.class, size_class))
                    .or_default()
                    .push((i, job.waiting(entry)));
            } else {
                let class = small.entry(&job.group.class).or_default();
                class.0 += i64::from(job.running()) * 1000;
                if job.left() > 0 {
                    class.1.push((key.3, i, i64::from(job.left()) * 1000));
                }
            }
        }
        if job.left() > 0 {
            places.push((key, job.left()));
        }
    }
    let of = |class: &ClassId| -> Vec<&Entry> {
        known.entries.iter().filter(|e| e.class == *class).collect()
    };
    let mut first: BTreeMap<usize, i64> = BTreeMap::new();
    for (class, (has, mut waiting)) in small {
        waiting.sort();
        let n = order::promote(
            of(class).iter().map(|e| e.floor).sum(),
            has,
            waiting.iter().map(|w| w.2),
        );
        first.extend(waiting[..n].iter().map(|w| (w.1, w.2)));
    }
    for ((class, size_class), jobs) in upper {
        let floor =
            of(class).iter().filter_map(|e| e.sizes.as_ref()).map(|s| s.floor(size_class)).sum();
        let waiting: Vec<Waiting> = jobs.iter().map(|j| j.1).collect();
        let promoted = {
            let short = of(class).iter().filter_map(|e| e.sizes.as_ref()).any(|s| s.short);
            promote(Terms { floor, begin_ms: 240_000, short }, now * 1000, &waiting)
        };
        first.extend(jobs.iter().zip(promoted).filter(|(_, l)| *l > 0).map(|(j, l)| (j.0, l)));
    }
    let mut all = Vec::new();
    for (key, left) in places {
        let promoted = (first.get(&key.4).copied().unwrap_or(0) / 1000) as u32;
        if promoted > 0 {
            all.push(((false, false, key.2, key.3, key.4), promoted));
        }
        all.push((key, left - promoted));
    }
    all.sort();
    all.into_iter().map(|(key, tasks)| (key.4, tasks)).collect()
}

fn play(seed: u64, times: f64, sized: bool) -> Vec<Job> {
    let rules = Rules::default();
    let mut jobs = traffic(seed, times);
    let (mut judge, mut known, mut meter) =
        (Judge::default(), OverloadQuota::default(), Meter::default());
    let mut running: Vec<(u64, usize)> = Vec::new();
    for now in 0..DAY {
        for job in jobs.iter().filter(|j| j.at == now) {
            meter.arrived(&job.group, now as f64, job.work(), job.tasks, job.run as f64);
        }
        running.retain(|&(until, i)| {
            let over = until <= now;
            if over {
                jobs[i].done += 1;
                if jobs[i].done == jobs[i].tasks {
                    jobs[i].ended = Some(now);
                }
            }
            !over
        });
        if now % 5 == 0 {
            let view = view(&jobs, &meter, &rules, now);
            let next = decide(&rules, &mut judge, &known, &view, now as f64);
            if known.differs(&next) {
                known = OverloadQuota { entries: next, ..known };
            }
        }
        for (i, tasks) in queue(&jobs, &known, now, sized) {
            let n = tasks.min((CAPACITY - running.len()) as u32);
            if n > 0 {
                jobs[i].begun.get_or_insert(now);
                jobs[i].started += n;
                running.extend((0..n).map(|_| (now + jobs[i].run, i)));
            }
        }
    }
    jobs
}

/// Of a class's jobs of one size: the part that began in time, and the part that ended.
fn served(jobs: &[Job], class: &str, from: f64, to: f64, by: impl Fn(&Job) -> f64) -> (f64, f64) {
    // Those that could begin in time and have as much time again.
    let mut of: Vec<&Job> = jobs
        .iter()
        .filter(|j| j.group.class.as_str() == class && j.at + 240 + 240 <= DAY)
        .collect();
    of.sort_by(|a, b| by(a).total_cmp(&by(b)));
    let n = of.len() as f64;
    let of = &of[(from * n) as usize..(to * n) as usize];
    let part =
        |is: &dyn Fn(&Job) -> bool| of.iter().filter(|j| is(j)).count() as f64 / of.len() as f64;
    let begun = part(&|j| j.begun.is_some_and(|b| b - j.at <= 240));
    (begun, part(&|j| j.ended.is_some()))
}

const SIZES: [(f64, f64); 3] = [(0.0, 0.5), (0.5, 0.9), (0.9, 1.0)];

fn work(job: &Job) -> f64 {
    job.work()
}

fn tasks(job: &Job) -> f64 {
    f64::from(job.tasks)
}

/// At 1.5 times what there is, half of each size fits. Without floors for each size a third of the last
/// class's largest began.
#[test]
fn half_of_each_size_is_served_where_the_machines_allow_it() {
    for seed in 1..4 {
        let jobs = play(seed, 1.5, true);
        for class in ["day", "night"] {
            for (from, to) in SIZES {
                for by in [work, tasks] {
                    let (begun, ended) = served(&jobs, class, from, to, by);
                    let case =
                        format!("seed {seed}, {class}, {from}: {begun} begun, {ended} ended");
                    assert!(begun >= 0.5 && ended >= 0.5, "{case}");
                }
            }
        }
    }
    let (before, _) = served(&play(1, 1.5, false), "night", 0.9, 1.0, work);
    assert!(before < 0.45, "without sizes {before} begin");
}

/// At twice what there is the small and half of the largest do; what lies between has to wait.
#[test]
fn the_largest_come_before_those_between() {
    for seed in 1..4 {
        let jobs = play(seed, 2.0, true);
        for class in ["day", "night"] {
            for by in [work, tasks] {
                let (begun, ended) = served(&jobs, class, 0.9, 1.0, by);
                assert!(begun >= 0.5 && ended >= 0.5, "seed {seed}, {class}: {begun}, {ended}");
            }
        }
    }
}

/// Even at five times, what has begun ends but for the last moments', and the small have what they had.
#[test]
fn the_small_keep_their_floors() {
    for times in [2.2, 3.0, 5.0] {
        let (before, after) = (play(1, times, false), play(1, times, true));
        for class in ["day", "night"] {
            let small = |jobs: &[Job]| served(jobs, class, 0.0, 0.5, work);
            let (before, after) = (small(&before), small(&after));
            // Five times: a quarter of the floors is first the largest's, so some of the small begin later.
            assert!(after.0 > before.0 - 0.1 && after.1 > before.1 - 0.05, "{before:?} {after:?}");
        }
        let begun = after.iter().filter(|j| j.begun.is_some_and(|b| b < DAY - 400));
        let (ended, all) = begun.fold((0, 0), |n, j| (n.0 + u32::from(j.ended.is_some()), n.1 + 1));
        assert!(ended * 100 >= all * 95, "{times}: of {all} that began {ended} ended");
    }
}

#[test]
fn a_record_written_before_there_were_sizes_is_read() {
    let old = r#"{"g":3,"h":7,"e":[{"q":"a","c":"x","f":5000,"t":60,"p":300000,"l":0}]}"#;
    let known: OverloadQuota = serde_json::from_str(old).expect("as it was written");
    let entry = known.entry(&TeamId::new("a"), &ClassId::new("x")).expect("its entry");
    assert_eq!((entry.floor, &entry.sizes), (5000, &None));
    assert_eq!(serde_json::to_string(&known).expect("a record"), old, "and written alike");
}

/// Task by task, of one processor each.
fn model(floor: i64, short: bool, now_ms: u64, jobs: &[Waiting]) -> Vec<i64> {
    let mut turns: Vec<usize> = (0..jobs.len()).collect();
    let is_late = |j: &Waiting| late(240_000, j.accepted_ms, now_ms);
    turns.sort_by_key(|&i| {
        let j = &jobs[i];
        let step = match (j.begun, is_late(j), chosen(j.turn)) {
            (true, _, _) => 0,
            (false, false, true) => 1,
            (false, false, false) => 2,
            (false, true, true) => 3,
            (false, true, false) => 4,
        };
        let came = j.accepted_ms as i64;
        match step {
            1 | 2 if short => (1, j.work as i64, j.turn),
            2 => (2, -came, j.turn),
            _ => (step, came, j.turn),
        }
    });
    let kept = if jobs.iter().any(|j| !j.begun && !is_late(j)) { floor / 4 } else { 0 };
    let (mut budget, mut wanted, mut first_new) = (floor - kept, 0, true);
    let mut stopped = false;
    let mut granted = vec![0; jobs.len()];
    let mut under_way = Vec::new();
    for i in turns {
        let j = &jobs[i];
        let due = j.width.min(j.has + j.needs);
        if !j.begun {
            if first_new {
                budget = budget.max(0) + kept;
                first_new = false;
            }
            let full =
                wanted > 0 && (wanted + due > (if short { 4 } else { 2 }) * floor || budget < 1);
            stopped |= floor <= 0 || full;
            if stopped {
                continue;
            }
        }
        wanted += due;
        under_way.push(i);
        for task in 0..due {
            if budget > 0 || task == 0 {
                granted[i] += 1;
                budget -= 1;
            }
        }
    }
    let mut promoted: Vec<i64> =
        jobs.iter().zip(&granted).map(|(j, g)| (g - j.has).clamp(0, j.needs)).collect();
    let mut spare = floor - jobs.iter().map(|j| j.has).sum::<i64>();
    for &i in &under_way {
        let (j, most) = (&jobs[i], promoted[i]);
        promoted[i] = 0;
        let one = j.has == 0 && (j.begun || spare > -(floor / 4));
        while promoted[i] < most && (spare > 0 || (one && promoted[i] == 0)) {
            promoted[i] += 1;
            spare -= 1;
        }
    }
    for i in under_way {
        while spare > 0 && promoted[i] < jobs[i].needs {
            promoted[i] += 1;
            spare -= 1;
        }
    }
    promoted
}

fn a_job() -> impl Strategy<Value = Waiting> {
    (0u64..400_000, any::<u64>(), any::<bool>(), 0i64..20, 0i64..40, 1i64..30).prop_map(
        |(accepted_ms, turn, begun, has, needs, width)| Waiting {
            accepted_ms,
            turn,
            begun,
            has: if begun { has } else { 0 },
            needs: if begun { needs } else { needs.max(1) },
            each: 1,
            width,
            work: width as u64 * 100 + turn % 100,
        },
    )
}

proptest! {
    #[test]
    fn lifted_as_the_plain_model_does_and_in_any_order(
        floor in 0i64..120,
        short in any::<bool>(),
        jobs in proptest::collection::vec(a_job(), 0..12),
        turned in 0usize..12,
    ) {
        let terms = Terms { floor, begin_ms: 240_000, short };
        let promoted = promote(terms, 400_000, &jobs);
        prop_assert_eq!(&promoted, &model(floor, short, 400_000, &jobs));
        // A controller may know them in any order.
        let mut other = jobs.clone();
        other.rotate_left(turned % jobs.len().max(1));
        let mut again = promote(terms, 400_000, &other);
        again.rotate_right(turned % jobs.len().max(1));
        prop_assert_eq!(&promoted, &again);
        // No show beginnings: what has begun never stands still.
        for (job, promoted) in jobs.iter().zip(&promoted) {
            prop_assert!(!job.begun || job.needs == 0 || job.has + promoted > 0);
        }
    }
}
