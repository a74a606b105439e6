//! From what is asked and what there is to an overload quota.

use crate::fill::{fill, Need};
use crate::overload_quota::{Entry, Group, OverloadQuota};
use crate::size_classes::{SizeClass, Sizes};
use cleatfold_wire::job::Urgency;
use cleatfold_wire::TeamId;
use std::collections::BTreeMap;

/// What one group asks for, in processors and processor-seconds.
#[derive(Clone, Debug)]
pub struct Demand {
    /// Whose jobs these are.
    pub group: Group,
    /// Of the most urgent of them.
    pub urgency: Urgency,
    /// Work that waits, and work that runs and is not done.
    pub waiting: f64,
    /// Work that runs, by its estimates, in processor-seconds.
    pub running: f64,
    /// Work that comes, per second.
    pub rate: f64,
    /// How long its jobs are of use to their users, in the mean.
    pub patience_s: f64,
    /// Its smallest jobs: those that have to be served, and those that should be.
    pub must: Small,
    /// The jobs that should be served.
    pub should: Small,
    /// Of its middle and of its largest jobs those that have to be served.
    pub middle: Small,
    /// The largest jobs.
    pub large: Small,
    /// Where its size classes begin.
    pub bounds: Bounds,
    /// Its middle job, in processor-seconds.
    pub typical: f64,
    /// Of its team: what it is guaranteed and its limit (0: none).
    pub guarantee: f64,
    /// Its team's limit in processors; 0: none.
    pub limit: f64,
}

/// Jobs up to some size.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Small {
    /// Their largest, in processor-seconds.
    pub most: f64,
    /// The part of all work that they make up.
    pub part: f64,
    /// Work of theirs that waits.
    pub waiting: f64,
}

/// Where a group's sizes begin: up to so much work a job is small; from so much on, or from so many tasks,
/// it is one of the largest.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Work up to which a job is small, in processor-seconds.
    pub small: f64,
    /// Work from which on a job is one of the largest, in processor-seconds.
    pub work: f64,
    /// Tasks from which on a job is one of the largest.
    pub tasks: u32,
}

impl Bounds {
    /// The size class of a job.
    pub fn size_class(&self, work: f64, tasks: u32) -> SizeClass {
        if work >= self.work || tasks >= self.tasks {
            SizeClass::Large
        } else if work <= self.small {
            SizeClass::Small
        } else {
            SizeClass::Middle
        }
    }
}

impl Demand {
    /// Processors that serve all that comes, and all that waits within its patience.
    fn asks(&self) -> f64 {
        self.rate + self.waiting / self.patience_s.max(1.0)
    }
}

impl Small {
    /// Processors that serve those that come, and those that wait within twice their patience.
    fn need(&self, of: &Demand) -> f64 {
        let need = self.part * of.rate + 0.5 * self.waiting / of.patience_s.max(1.0);
        if of.limit > 0.0 {
            need.min(of.limit)
        } else {
            need
        }
    }
}

/// What one decision is made from.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// Processors of all machines there are, booting ones included.
    pub capacity: f64,
    /// The number of machines no longer grows: what there is, is what there will be.
    pub settled: bool,
    /// What each group asks for.
    pub groups: Vec<Demand>,
}

/// Numbers of the decision. None of them is a bench's: they are shares and times of patience.
#[derive(Clone, Debug, PartialEq)]
pub struct Rules {
    /// A group counts as not served in time when its jobs will wait so many patiences, for so long.
    pub enter: f64,
    /// A group that waits for longer than its patience for so many seconds comes under the quota.
    pub enter_s: f64,
    /// And as served again below this many, for so long. Far apart, or it would swing: under an
    /// overload quota the queue is shorter than without.
    pub leave: f64,
    /// It leaves it again after so many seconds in which it is served in time.
    pub leave_s: f64,
    /// So large a part of a group's jobs has to be served, whoever else waits: a little over half.
    pub must: f64,
    /// And so large a part should be, with what more urgent groups do not ask for.
    pub should: f64,
    /// The largest part of jobs that are looked at apart, by tasks and by work; the operators' rule names the
    /// largest without a number.
    pub largest: f64,
    /// Of those, and of what lies between, so large a part has to be served: a little over half.
    pub of_each: f64,
    /// The operators' rule: within so many seconds of its acceptance a job is to begin.
    pub begin_s: f64,
    /// Before the largest have theirs, the small take no more than this part of all processors: they too can
    /// wait for a while and begin in time. (In a flood of seven times what there is their floors took all.)
    pub small_first: f64,
    /// With the largest of its jobs a team's floors go up to so many times its share.
    pub beyond: f64,
    /// What has to be served takes no more than this part of all processors.
    pub floors: f64,
    /// New jobs are refused where they would wait for so many patiences; none: never.
    pub refuse: Option<f64>,
}

impl Default for Rules {
    fn default() -> Self {
        Self {
            enter: 1.0,
            enter_s: 5.0,
            leave: 0.5,
            leave_s: 20.0,
            must: 0.52,
            should: 0.7,
            largest: 0.1,
            of_each: 0.55,
            begin_s: 240.0,
            small_first: 0.75,
            beyond: 1.5,
            floors: 0.9,
            refuse: None,
        }
    }
}

/// How long a group has been above or below its bound.
#[derive(Debug, Default)]
pub struct Judge {
    since: BTreeMap<Group, f64>,
}

/// How many seconds a job of the group that comes now would wait in the ordinary order, less what
/// goes to the floors of less urgent ones.
pub fn expected_wait(view: &View, known: &OverloadQuota, of: &Demand) -> f64 {
    let floor = |g: &Demand| {
        known.entry(&g.group.team, &g.group.class).map_or(0.0, |e| e.floor as f64 / 1000.0)
    };
    let wait = |mine: &dyn Fn(&Demand) -> bool, capacity: f64| {
        let groups = || view.groups.iter().filter(|g| mine(g));
        let ahead: f64 = groups().filter(|g| g.urgency <= of.urgency).map(|g| g.waiting).sum();
        let running: f64 = groups().map(|g| g.running).sum();
        // More urgent work that comes meanwhile goes first too.
        let taken: f64 = groups().filter(|g| g.urgency < of.urgency).map(|g| g.rate).sum();
        let taken = taken + groups().filter(|g| g.urgency > of.urgency).map(floor).sum::<f64>();
        let free = (capacity - taken).max(capacity * 0.02);
        // What runs makes room all the while; only the part beyond that holds anybody up.
        ((ahead + running) / free.max(1e-9) - running / capacity.max(1e-9)).max(0.0)
    };
    let region = wait(&|_| true, view.capacity);
    if of.limit > 0.0 {
        region.max(wait(&|g| g.group.team == of.group.team, of.limit))
    } else {
        region
    }
}

/// The entries of the next overload quota. `judge` is the decider's memory; a new decider goes on
/// from `known`, which is durable.
pub fn decide(
    rules: &Rules,
    judge: &mut Judge,
    known: &OverloadQuota,
    view: &View,
    now_s: f64,
) -> Vec<Entry> {
    let mut pressed: Vec<(&Demand, f64)> = Vec::new();
    let mut since = BTreeMap::new();
    for g in &view.groups {
        let was = known.entry(&g.group.team, &g.group.class).is_some();
        let wait = expected_wait(view, known, g) / g.patience_s.max(0.001);
        // While machines still come, a long queue says nothing.
        let turns = if was { wait < rules.leave } else { wait > rules.enter && view.settled };
        let mut is = was;
        if turns {
            let from = judge.since.get(&g.group).copied().unwrap_or(now_s);
            let hold = if was { rules.leave_s } else { rules.enter_s };
            is = was != (now_s - from >= hold);
            since.insert(g.group.clone(), from);
        }
        if is {
            pressed.push((g, wait));
        }
    }
    judge.since = since;
    let (floors, short) = floors(rules, view, &pressed);
    let shifts: Vec<f64> = pressed.iter().map(|(g, _)| shift(g, &pressed)).collect();
    pressed
        .into_iter()
        .zip(floors.into_iter().zip(shifts))
        .map(|((g, wait), (floor, shift))| Entry {
            team: g.group.team.clone(),
            class: g.group.class.clone(),
            floor: (floor[0] * 1000.0) as i64,
            typical: g.typical.max(1.0) as u64,
            patience_ms: (g.patience_s * 1000.0) as u64,
            later_ms: (g.patience_s * 1000.0 * shift) as u64,
            most: rules.refuse.filter(|r| wait > *r).map(|_| g.should.most.max(1.0) as u64),
            sizes: Some(Sizes {
                small: g.bounds.small as u64,
                work: g.bounds.work as u64,
                tasks: g.bounds.tasks,
                middle: (floor[1] * 1000.0) as i64,
                large: (floor[2] * 1000.0) as i64,
                begin_ms: (rules.begin_s * 1000.0) as u64,
                short,
            }),
        })
        .collect()
}

/// How much later a group goes than others of its urgency, in patiences: by how much its team asks
/// for beyond what an even part of half of all would be. Twice as much as the others is luck.
/// (Looked at class by class, a guest whose classes nobody else has was never found to send
/// more than its part.)
fn shift(of: &Demand, pressed: &[(&Demand, f64)]) -> f64 {
    let mut teams: BTreeMap<&TeamId, (f64, f64)> = BTreeMap::new();
    for (g, _) in pressed.iter().filter(|(g, _)| g.urgency == of.urgency) {
        let team = teams.entry(&g.group.team).or_default();
        (team.0, team.1) = (team.0 + g.rate, g.guarantee);
    }
    let rates: Vec<f64> = teams.values().map(|t| t.0).collect();
    let needs: Vec<Need> = teams
        .values()
        .map(|(rate, guarantee)| Need {
            amount: *rate,
            weight: 1.0 + guarantee / (1.0 + of.guarantee),
        })
        .collect();
    let even = fill(rates.iter().sum::<f64>() / 2.0, &needs);
    let over = |rate: f64, even: f64| if even > 0.0 { rate / even } else { 1.0 };
    let least = rates.iter().zip(&even).map(|(r, e)| over(*r, *e)).fold(f64::INFINITY, f64::min);
    let mine = teams.keys().position(|t| **t == of.group.team);
    mine.map_or(0.0, |i| ((over(rates[i], even[i]) / least).log2() - 1.0).max(0.0))
}

/// What each team should have of all processors, by max-min of all that it asks for, a team's
/// guarantee counting by how it compares with the others'.
fn shares(view: &View) -> BTreeMap<&TeamId, f64> {
    let mut teams: BTreeMap<&TeamId, (f64, f64)> = BTreeMap::new();
    for g in &view.groups {
        let team = teams.entry(&g.group.team).or_default();
        team.0 += g.asks();
        team.1 = g.guarantee;
        if g.limit > 0.0 {
            team.0 = team.0.min(g.limit);
        }
    }
    let mean = teams.values().map(|t| t.1).sum::<f64>() / teams.len().max(1) as f64;
    let weight = |guarantee: f64| 1.0 + if mean > 0.0 { guarantee / mean } else { 0.0 };
    let needs: Vec<Need> =
        teams.values().map(|t| Need { amount: t.0, weight: weight(t.1) }).collect();
    teams.into_keys().zip(fill(view.capacity, &needs)).collect()
}

/// What each pressed group gets for its small, its middle and its largest jobs, by max-min. First what of the
/// small of any group has to be served, within the guarantees and then beyond; then half of the largest, and half of what lies between; and
/// then, as far as groups that are served in time leave it, what should be of the small. Also whether
/// the machines do not allow half of the largest.
fn floors(rules: &Rules, view: &View, pressed: &[(&Demand, f64)]) -> (Vec<[f64; 3]>, bool) {
    let is_pressed = |g: &&Demand| pressed.iter().any(|(p, _)| p.group == g.group);
    let served: Vec<&Demand> = view.groups.iter().filter(|g| !is_pressed(g)).collect();
    let all: Vec<&Demand> = pressed.iter().map(|p| p.0).chain(served.iter().copied()).collect();
    let most = rules.floors * view.capacity;
    // A floor keeps a group from starving; it is no way to more than its team's share. (A guest's
    // six jobs, all of a size, had a floor of two thirds of the region: half of them was nearly
    // all they asked for, and of the residents only the small ones counted.)
    let shares = shares(view);
    let mut given: BTreeMap<&TeamId, f64> = BTreeMap::new();
    let mut within = |need: &dyn Fn(&Demand) -> f64, times: f64| {
        let mut wanted = vec![0.0; all.len()];
        for (team, share) in &shares {
            let given = given.entry(team).or_default();
            // Of one team's groups, by max-min again.
            let of: Vec<usize> = (0..all.len()).filter(|&i| all[i].group.team == **team).collect();
            let need = |&i: &usize| Need { amount: need(all[i]), weight: 1.0 };
            let needs: Vec<Need> = of.iter().map(need).collect();
            for (&i, amount) in of.iter().zip(fill(times * share - *given, &needs)) {
                wanted[i] = amount;
                *given += amount;
            }
        }
        wanted
    };
    let must = within(&|g| g.must.need(g), 1.0);
    // Half of a class's largest has to be served also where one team alone sends them, and its small ones
    // take its share; up to a bound, for a guest's jobs may all be of the largest. Of groups that are served in
    // time all they ask for counts: by max-min a little of urgent work is not in the way of anybody.
    // (Half of it was kept: 0.13 of `controle`, a sixth of all, was late for others' largest.)
    let is_served = |g: &Demand| served.iter().any(|s| s.group == g.group);
    let rest = |g: &Demand| (g.asks() - g.must.need(g)).max(0.0);
    let half = |g: &Demand| g.large.need(g) + g.middle.need(g);
    let upper = within(&|g| if is_served(g) { rest(g) } else { half(g) }, rules.beyond);
    let should = within(&|g| (g.should.need(g) - g.must.need(g)).max(0.0), 1.0);

    let mut small = vec![0.0; all.len()];
    let guaranteed = all.iter().zip(&must).map(|(g, must)| must.min(g.guarantee));
    let first = rules.small_first.min(rules.floors) * view.capacity;
    raise(&mut small, first, guaranteed);
    raise(&mut small, first, must.iter().copied());
    let mut given = vec![0.0; all.len()];
    raise(&mut given, most - small.iter().sum::<f64>(), upper.iter().copied());
    raise(&mut small, most - given.iter().sum::<f64>(), must.iter().copied());
    // Of what a group has for its upper size classes the largest have theirs first.
    let mut largest: Vec<f64> =
        all.iter().zip(&given).map(|(g, u)| u.min(g.large.need(g))).collect();
    let mut between: Vec<f64> = given.iter().zip(&largest).map(|(u, l)| u - l).collect();
    let wanted: f64 = pressed.iter().map(|(g, _)| g.large.need(g)).sum();
    let short = largest[..pressed.len()].iter().sum::<f64>() < 0.8 * wanted;
    for part in [&mut small, &mut largest, &mut between] {
        part.truncate(pressed.len());
    }
    let others: f64 = served.iter().map(|g| g.asks()).sum();
    let left = most.min(view.capacity - others) - largest.iter().chain(&between).sum::<f64>();
    raise(&mut small, left, must.iter().zip(should).map(|(m, s)| m + s));
    ((0..pressed.len()).map(|i| [small[i], between[i], largest[i]]).collect(), short)
}

/// Raises what everybody has towards what it wants, as far as `total` goes.
fn raise(has: &mut [f64], total: f64, want: impl Iterator<Item = f64>) {
    let needs: Vec<Need> =
        want.zip(&*has).map(|(w, h)| Need { amount: (w - h).max(0.0), weight: 1.0 }).collect();
    let more = fill(total - has.iter().sum::<f64>(), &needs);
    has.iter_mut().zip(more).for_each(|(h, m)| *h += m);
}
