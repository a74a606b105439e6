//! Computes the overload quota from the measured demand and the capacity.

use crate::max_min::{max_min_shares, WeightedDemand};
use crate::overload_quota::{Group, OverloadQuota, QuotaEntry};
use crate::size_classes::{SizeClass, SizeClassQuota};
use cleatfold_wire::job::Urgency;
use cleatfold_wire::TeamId;
use std::collections::BTreeMap;

/// The demand of one group, in processors and processor-seconds.
#[derive(Clone, Debug)]
pub struct Demand {
    /// The team and class of the jobs.
    pub group: Group,
    /// Urgency of the most urgent job.
    pub urgency: Urgency,
    /// Work of the tasks that wait, in processor-seconds.
    pub waiting: f64,
    /// Estimated remaining work of the running tasks, in processor-seconds.
    pub running: f64,
    /// Arriving work per second, that is, in processors.
    pub rate: f64,
    /// Mean time within which its jobs are useful to their users.
    pub patience_s: f64,
    /// The smallest jobs, which have to be served.
    pub required: SizeDemand,
    /// The jobs that should be served; includes the required ones.
    pub desired: SizeDemand,
    /// The middle-sized jobs that have to be served.
    pub middle: SizeDemand,
    /// The largest jobs that have to be served.
    pub large: SizeDemand,
    /// Bounds of the size classes.
    pub bounds: SizeBounds,
    /// Work of the median job, in processor-seconds.
    pub median_work: f64,
    /// Guaranteed processors of its team; 0: none.
    pub guarantee: f64,
    /// Limit of its team in processors; 0: none.
    pub limit: f64,
}

/// The demand of the jobs of one size range.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SizeDemand {
    /// Work of the largest of these jobs, in processor-seconds.
    pub max_work: f64,
    /// Their share of the group's work.
    pub work_share: f64,
    /// Their waiting work, in processor-seconds.
    pub waiting: f64,
}

/// The bounds of a group's size classes: a job is large by its work or by its number of tasks, small by its work, and
/// otherwise of the middle class.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SizeBounds {
    /// Maximum work of a small job, in processor-seconds.
    pub small_max_work: f64,
    /// Minimum work of a large job, in processor-seconds.
    pub large_min_work: f64,
    /// Number of tasks from which a job is large.
    pub large_min_tasks: u32,
}

impl SizeBounds {
    /// The size class of a job.
    pub fn size_class(&self, work: f64, tasks: u32) -> SizeClass {
        if work >= self.large_min_work || tasks >= self.large_min_tasks {
            SizeClass::Large
        } else if work <= self.small_max_work {
            SizeClass::Small
        } else {
            SizeClass::Middle
        }
    }
}

impl Demand {
    /// Processors that serve all arriving work, and the waiting work within its patience.
    fn total_cpus(&self) -> f64 {
        self.rate + self.waiting / self.patience_s.max(1.0)
    }
}

impl SizeDemand {
    /// Processors that serve the arriving jobs of this range, and the waiting ones within twice their patience.
    fn cpus_needed(&self, demand: &Demand) -> f64 {
        let needed =
            self.work_share * demand.rate + 0.5 * self.waiting / demand.patience_s.max(1.0);
        if demand.limit > 0.0 {
            needed.min(demand.limit)
        } else {
            needed
        }
    }
}

/// The capacity and the demand that one decision is based on.
#[derive(Clone, Debug, Default)]
pub struct DemandSnapshot {
    /// Processors of all machines, including those that are booting.
    pub capacity: f64,
    /// Whether the number of machines has stopped growing.
    pub capacity_settled: bool,
    /// The demand of each group.
    pub groups: Vec<Demand>,
}

/// Parameters of the decision. Waits are ratios to the patience of a group.
#[derive(Clone, Debug, PartialEq)]
pub struct AdmissionRules {
    /// A group is overloaded when the expected wait of its jobs exceeds this ratio for `enter_hold_s`.
    pub enter_wait_ratio: f64,
    /// Time for which the wait must exceed `enter_wait_ratio` before the group gets a quota.
    pub enter_hold_s: f64,
    /// A group is no longer overloaded when its expected wait is below this ratio for `leave_hold_s`. It is well below
    /// `enter_wait_ratio` to avoid oscillation, since the queue is shorter under an overload quota.
    pub leave_wait_ratio: f64,
    /// Time for which the wait must stay below `leave_wait_ratio` before the quota of the group ends.
    pub leave_hold_s: f64,
    /// Share of a group's jobs that has to be served whatever other groups demand: slightly more than half.
    pub required_job_share: f64,
    /// Share of a group's jobs that should be served with the capacity that more urgent groups leave.
    pub desired_job_share: f64,
    /// Share of the jobs that counts as the largest, by tasks and by work; the operators' rule about the largest jobs
    /// gives no number.
    pub largest_job_share: f64,
    /// Share of the largest and of the middle-sized jobs that has to be served: slightly more than half.
    pub upper_class_job_share: f64,
    /// Time after its acceptance within which a job should start, by the operators' rule.
    pub start_within_s: f64,
    /// Maximum share of all processors for the floors of the small jobs before those of the largest are filled, since
    /// small jobs can also wait for a while and start in time. Without this limit their floors took all processors at a
    /// demand of seven times the capacity.
    pub small_jobs_first_share: f64,
    /// The floors of a team, including those of its upper size classes, may reach this multiple of its fair share.
    pub upper_class_share_factor: f64,
    /// Maximum share of all processors for the floors.
    pub max_floor_share: f64,
    /// New jobs are refused when their expected wait exceeds this ratio; `None`: never.
    pub refuse_wait_ratio: Option<f64>,
}

impl Default for AdmissionRules {
    fn default() -> Self {
        Self {
            enter_wait_ratio: 1.0,
            enter_hold_s: 5.0,
            leave_wait_ratio: 0.5,
            leave_hold_s: 20.0,
            required_job_share: 0.52,
            desired_job_share: 0.7,
            largest_job_share: 0.1,
            upper_class_job_share: 0.55,
            start_within_s: 240.0,
            small_jobs_first_share: 0.75,
            upper_class_share_factor: 1.5,
            max_floor_share: 0.9,
            refuse_wait_ratio: None,
        }
    }
}

/// How long each group's expected wait has been above the bound for entering or below the bound for leaving.
#[derive(Debug, Default)]
pub struct OverloadTimers {
    crossed_since: BTreeMap<Group, f64>,
}

/// Expected wait in seconds of a job of the group that arrives now, in the ordinary queue order, with the floors of less
/// urgent groups deducted from the capacity.
pub fn expected_wait(snapshot: &DemandSnapshot, quota: &OverloadQuota, demand: &Demand) -> f64 {
    let floor = |g: &Demand| {
        quota.entry(&g.group.team, &g.group.class).map_or(0.0, |e| e.floor as f64 / 1000.0)
    };
    let wait = |is_included: &dyn Fn(&Demand) -> bool, capacity: f64| {
        let groups = || snapshot.groups.iter().filter(|g| is_included(g));
        let ahead: f64 = groups().filter(|g| g.urgency <= demand.urgency).map(|g| g.waiting).sum();
        let running: f64 = groups().map(|g| g.running).sum();
        // More urgent work that arrives in the meantime goes first, too.
        let arriving: f64 = groups().filter(|g| g.urgency < demand.urgency).map(|g| g.rate).sum();
        let taken =
            arriving + groups().filter(|g| g.urgency > demand.urgency).map(floor).sum::<f64>();
        let free = (capacity - taken).max(capacity * 0.02);
        // Running work releases processors continuously; only the wait beyond that delays the job.
        ((ahead + running) / free.max(1e-9) - running / capacity.max(1e-9)).max(0.0)
    };
    let region_wait = wait(&|_| true, snapshot.capacity);
    if demand.limit > 0.0 {
        region_wait.max(wait(&|g| g.group.team == demand.group.team, demand.limit))
    } else {
        region_wait
    }
}

/// The entries of the next overload quota. `timers` are kept in the memory of the deciding controller; a new one
/// continues from `quota`, which is durable.
pub fn decide(
    rules: &AdmissionRules,
    timers: &mut OverloadTimers,
    quota: &OverloadQuota,
    snapshot: &DemandSnapshot,
    now_s: f64,
) -> Vec<QuotaEntry> {
    let mut overloaded: Vec<(&Demand, f64)> = Vec::new();
    let mut crossed_since = BTreeMap::new();
    for demand in &snapshot.groups {
        let was_overloaded = quota.entry(&demand.group.team, &demand.group.class).is_some();
        let wait_ratio = expected_wait(snapshot, quota, demand) / demand.patience_s.max(0.001);
        // While machines are still being added, a long queue does not indicate overload.
        let is_crossed = if was_overloaded {
            wait_ratio < rules.leave_wait_ratio
        } else {
            wait_ratio > rules.enter_wait_ratio && snapshot.capacity_settled
        };
        let mut is_overloaded = was_overloaded;
        if is_crossed {
            let since = timers.crossed_since.get(&demand.group).copied().unwrap_or(now_s);
            let hold_s = if was_overloaded { rules.leave_hold_s } else { rules.enter_hold_s };
            is_overloaded = was_overloaded != (now_s - since >= hold_s);
            crossed_since.insert(demand.group.clone(), since);
        }
        if is_overloaded {
            overloaded.push((demand, wait_ratio));
        }
    }
    timers.crossed_since = crossed_since;
    let (floors, capacity_short) = floors(rules, snapshot, &overloaded);
    let delays: Vec<f64> =
        overloaded.iter().map(|(demand, _)| queue_delay(demand, &overloaded)).collect();
    overloaded
        .into_iter()
        .zip(floors.into_iter().zip(delays))
        .map(|((demand, wait_ratio), (floor, delay))| QuotaEntry {
            team: demand.group.team.clone(),
            class: demand.group.class.clone(),
            floor: (floor[0] * 1000.0) as i64,
            median_work: demand.median_work.max(1.0) as u64,
            patience_ms: (demand.patience_s * 1000.0) as u64,
            delay_ms: (demand.patience_s * 1000.0 * delay) as u64,
            max_new_work: rules
                .refuse_wait_ratio
                .filter(|ratio| wait_ratio > *ratio)
                .map(|_| demand.desired.max_work.max(1.0) as u64),
            sizes: Some(SizeClassQuota {
                small_max_work: demand.bounds.small_max_work as u64,
                large_min_work: demand.bounds.large_min_work as u64,
                large_min_tasks: demand.bounds.large_min_tasks,
                middle_floor: (floor[1] * 1000.0) as i64,
                large_floor: (floor[2] * 1000.0) as i64,
                start_within_ms: (rules.start_within_s * 1000.0) as u64,
                capacity_short,
            }),
        })
        .collect()
}

/// Delay of a group in the queue order relative to others of its urgency, in multiples of its patience. It grows with the
/// ratio of its team's demand to the team's fair share of half of the total demand; up to twice the lowest ratio of any
/// team is accepted as random variation. Demand is compared by team, since a comparison by class never detected a guest
/// team whose classes no other team uses.
fn queue_delay(demand: &Demand, overloaded: &[(&Demand, f64)]) -> f64 {
    let mut teams: BTreeMap<&TeamId, (f64, f64)> = BTreeMap::new();
    for (g, _) in overloaded.iter().filter(|(g, _)| g.urgency == demand.urgency) {
        let team = teams.entry(&g.group.team).or_default();
        (team.0, team.1) = (team.0 + g.rate, g.guarantee);
    }
    let rates: Vec<f64> = teams.values().map(|t| t.0).collect();
    let demands: Vec<WeightedDemand> = teams
        .values()
        .map(|(rate, guarantee)| WeightedDemand {
            amount: *rate,
            weight: 1.0 + guarantee / (1.0 + demand.guarantee),
        })
        .collect();
    let fair_shares = max_min_shares(rates.iter().sum::<f64>() / 2.0, &demands);
    let ratio = |rate: f64, share: f64| if share > 0.0 { rate / share } else { 1.0 };
    let min_ratio = rates
        .iter()
        .zip(&fair_shares)
        .map(|(rate, share)| ratio(*rate, *share))
        .fold(f64::INFINITY, f64::min);
    let index = teams.keys().position(|t| **t == demand.group.team);
    index.map_or(0.0, |i| ((ratio(rates[i], fair_shares[i]) / min_ratio).log2() - 1.0).max(0.0))
}

/// The max-min fair share of each team in all processors. A team's weight grows with its guarantee relative to the mean
/// guarantee.
fn team_shares(snapshot: &DemandSnapshot) -> BTreeMap<&TeamId, f64> {
    let mut teams: BTreeMap<&TeamId, (f64, f64)> = BTreeMap::new();
    for demand in &snapshot.groups {
        let team = teams.entry(&demand.group.team).or_default();
        team.0 += demand.total_cpus();
        team.1 = demand.guarantee;
        if demand.limit > 0.0 {
            team.0 = team.0.min(demand.limit);
        }
    }
    let mean = teams.values().map(|t| t.1).sum::<f64>() / teams.len().max(1) as f64;
    let weight = |guarantee: f64| 1.0 + if mean > 0.0 { guarantee / mean } else { 0.0 };
    let demands: Vec<WeightedDemand> =
        teams.values().map(|t| WeightedDemand { amount: t.0, weight: weight(t.1) }).collect();
    teams.into_keys().zip(max_min_shares(snapshot.capacity, &demands)).collect()
}

/// The floors of each overloaded group for its small, middle-sized and largest jobs, by max-min. They are filled in this
/// order: the required small jobs of all groups, first within the guarantees and then beyond them; half of the largest
/// jobs and half of the middle-sized ones; then the desired small jobs, with the capacity that groups served in time
/// leave. Also returns whether the capacity does not suffice for half of the largest jobs.
fn floors(
    rules: &AdmissionRules,
    snapshot: &DemandSnapshot,
    overloaded: &[(&Demand, f64)],
) -> (Vec<[f64; 3]>, bool) {
    let is_overloaded = |g: &&Demand| overloaded.iter().any(|(p, _)| p.group == g.group);
    let served: Vec<&Demand> = snapshot.groups.iter().filter(|g| !is_overloaded(g)).collect();
    let all: Vec<&Demand> = overloaded.iter().map(|p| p.0).chain(served.iter().copied()).collect();
    let max_floors = rules.max_floor_share * snapshot.capacity;
    // A floor prevents starvation and must not exceed the share of the team. Without this limit a guest team's six jobs,
    // all of the same size, had a floor of two thirds of the region: half of the jobs was nearly all of their demand,
    // while only the small jobs of the resident teams counted.
    let shares = team_shares(snapshot);
    let mut granted: BTreeMap<&TeamId, f64> = BTreeMap::new();
    let mut limit_to_shares = |needed: &dyn Fn(&Demand) -> f64, factor: f64| {
        let mut limited = vec![0.0; all.len()];
        for (team, share) in &shares {
            let granted = granted.entry(team).or_default();
            // Max-min again between the groups of one team.
            let members: Vec<usize> =
                (0..all.len()).filter(|&i| all[i].group.team == **team).collect();
            let demand = |&i: &usize| WeightedDemand { amount: needed(all[i]), weight: 1.0 };
            let demands: Vec<WeightedDemand> = members.iter().map(demand).collect();
            for (&i, amount) in
                members.iter().zip(max_min_shares(factor * share - *granted, &demands))
            {
                limited[i] = amount;
                *granted += amount;
            }
        }
        limited
    };
    let required = limit_to_shares(&|g| g.required.cpus_needed(g), 1.0);
    // Half of the largest jobs of a class has to be served even if one team alone submits them and its small jobs use up
    // its share. The excess over the share is limited, since all jobs of a guest team may be among the largest. Groups
    // that are served in time count with their whole demand: under max-min a small amount of urgent work does not
    // reduce the other shares. When only half of it counted, 0.13 of the class `controle`, a sixth of all jobs, was
    // late because of other groups' largest jobs.
    let is_served = |g: &Demand| served.iter().any(|s| s.group == g.group);
    let other_demand = |g: &Demand| (g.total_cpus() - g.required.cpus_needed(g)).max(0.0);
    let upper_classes = |g: &Demand| g.large.cpus_needed(g) + g.middle.cpus_needed(g);
    let upper = limit_to_shares(
        &|g| if is_served(g) { other_demand(g) } else { upper_classes(g) },
        rules.upper_class_share_factor,
    );
    let additional =
        limit_to_shares(&|g| (g.desired.cpus_needed(g) - g.required.cpus_needed(g)).max(0.0), 1.0);

    let mut small = vec![0.0; all.len()];
    let guaranteed = all.iter().zip(&required).map(|(g, required)| required.min(g.guarantee));
    let max_small_first =
        rules.small_jobs_first_share.min(rules.max_floor_share) * snapshot.capacity;
    raise(&mut small, max_small_first, guaranteed);
    raise(&mut small, max_small_first, required.iter().copied());
    let mut upper_floors = vec![0.0; all.len()];
    raise(&mut upper_floors, max_floors - small.iter().sum::<f64>(), upper.iter().copied());
    raise(&mut small, max_floors - upper_floors.iter().sum::<f64>(), required.iter().copied());
    // Within the upper size classes of a group the largest jobs take precedence.
    let mut largest: Vec<f64> =
        all.iter().zip(&upper_floors).map(|(g, u)| u.min(g.large.cpus_needed(g))).collect();
    let mut middle: Vec<f64> = upper_floors.iter().zip(&largest).map(|(u, l)| u - l).collect();
    let largest_needed: f64 = overloaded.iter().map(|(g, _)| g.large.cpus_needed(g)).sum();
    let capacity_short = largest[..overloaded.len()].iter().sum::<f64>() < 0.8 * largest_needed;
    for floors in [&mut small, &mut largest, &mut middle] {
        floors.truncate(overloaded.len());
    }
    let served_demand: f64 = served.iter().map(|g| g.total_cpus()).sum();
    let available = max_floors.min(snapshot.capacity - served_demand)
        - largest.iter().chain(&middle).sum::<f64>();
    raise(&mut small, available, required.iter().zip(additional).map(|(r, a)| r + a));
    ((0..overloaded.len()).map(|i| [small[i], middle[i], largest[i]]).collect(), capacity_short)
}

/// Raises the amounts towards the targets by max-min, up to a sum of `total`.
fn raise(amounts: &mut [f64], total: f64, targets: impl Iterator<Item = f64>) {
    let demands: Vec<WeightedDemand> = targets
        .zip(&*amounts)
        .map(|(target, amount)| WeightedDemand { amount: (target - amount).max(0.0), weight: 1.0 })
        .collect();
    let increases = max_min_shares(total - amounts.iter().sum::<f64>(), &demands);
    amounts.iter_mut().zip(increases).for_each(|(amount, increase)| *amount += increase);
}
