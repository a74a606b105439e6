//! Every ordered pair of troubles: the second begins around one of the times that mean something
//! to the first.

use crate::days::Plan;
use crate::world::{Aim, Fault, SimulationEvent, Times, World};
use clap::ValueEnum;
use cleatfold_wire::Ms;
use rand::Rng;
use std::fmt;
use std::str::FromStr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;

/// Two troubles, the first of which begins first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pair(pub Fault, pub Fault);

fn name(fault: Fault) -> String {
    fault.to_possible_value().map(|v| v.get_name().to_string()).unwrap_or_default()
}

impl fmt::Display for Pair {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{},{}", name(self.0), name(self.1))
    }
}

impl FromStr for Pair {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let kinds: Result<Vec<Fault>, _> =
            text.split(',').map(|t| Fault::from_str(t, false)).collect();
        match kinds.as_deref() {
            Ok([a, b]) => Ok(Pair(*a, *b)),
            Ok(_) => Err("a pair is two kinds of troubles, as `blink,outage`".into()),
            Err(_) => Err(format!("no such troubles: {text}")),
        }
    }
}

impl Pair {
    /// All that the plan asks for, in order.
    pub fn of(plan: &Plan) -> Vec<Pair> {
        if let Some(pair) = plan.pair {
            return vec![pair];
        }
        let kinds = if plan.only.is_empty() { Fault::ALL } else { &plan.only };
        kinds.iter().flat_map(|a| kinds.iter().map(|b| Pair(*a, *b))).collect()
    }

    /// A day's luck is its own, whatever else is played.
    fn luck(self, seed: u64) -> u64 {
        let hash = |h: u64, b| (h ^ u64::from(b)).wrapping_mul(0x100_0000_01b3);
        self.to_string().bytes().chain(seed.to_le_bytes()).fold(0xcbf2_9ce4_8422_2325, hash)
    }
}

/// What became of a pair.
#[derive(Debug)]
pub struct Met {
    pub pair: Pair,
    pub seed: u64,
    pub broken: Vec<String>,
    pub applied_faults: Vec<String>,
    pub started: u32,
    /// Tasks that ran when the troubles began.
    pub running: (usize, usize),
    /// Cancellations that users were told while the troubles lasted.
    pub cancelled: usize,
    /// Transactions and orders that were carried out late.
    pub late: (u32, u32),
    pub longest_ms: u64,
}

/// The day is long enough for whatever waits four minutes.
const REST_MS: u64 = 300_000;
/// After the last cancellation is told, its tasks may run on for so long.
const SETTLED_MS: u64 = 45_000;

pub fn play(plan: &Plan, pair: Pair, seed: u64) -> Met {
    let size = plan.region();
    let mut world = World::sized(pair.luck(seed), false, size);
    world.poll_everything();
    let Times { lease_ms, cancel_ms, controller_lease_ms, heartbeat_interval_ms } = size.times();
    let rng = &mut world.rng;
    let begins = rng.random_range(20_000..28_000);
    let means = [
        0,
        300,
        heartbeat_interval_ms,
        controller_lease_ms,
        lease_ms,
        cancel_ms - lease_ms,
        cancel_ms,
    ];
    let around = means[rng.random_range(0..means.len())];
    // Some come a little earlier than that, some later.
    let offset = match around {
        0 => 0,
        _ => rng.random_range(around * 3 / 4..around * 5 / 4),
    };
    let mut lasts = |kind: Fault, or: u64| match rng.random_bool(0.3) {
        // It ends about when the other begins.
        true => rng.random_range(or.saturating_sub(2_000)..or + 2_000).clamp(500, kind.most_ms()),
        false => rng.random_range(1_500..kind.most_ms()),
    };
    let (a_ms, b_ms) = (lasts(pair.0, offset), lasts(pair.1, offset));
    let aim = |r: f64| match r {
        r if r < 0.5 => Aim::Most,
        r if r < 0.8 => Aim::Same,
        _ => Aim::Any,
    };
    let aims = (rng.random_range(0.0..1.0), rng.random_range(0.0..1.0));
    let (first, second) = (begins, begins + offset);
    world.keep_busy(Ms(second));
    world.run(Ms(first));
    let before = world.running.len();
    let a_aim = if aims.0 < 0.7 { Aim::Most } else { Aim::Any };
    world.faults.drawn_until = Ms(second);
    world.handle_event(SimulationEvent::Meets(pair.0, a_ms, a_aim));
    world.at(offset, SimulationEvent::Meets(pair.1, b_ms, aim(aims.1)));
    world.run(Ms(second + 1));
    let running = (before, world.running.len());
    loop {
        let now = world.now;
        world.run(now.plus(2_000));
        let over = world.faults_over();
        let since = world.now.since(over);
        if since > REST_MS
            || since > SETTLED_MS && world.is_settled(SETTLED_MS)
            || world.broken.len() > 3
        {
            break;
        }
    }
    // A day that is broken off says nothing about what would have ended.
    let broken = match world.broken.len() > 3 {
        true => std::mem::take(&mut world.broken),
        false => crate::days::verdict(&mut world),
    };
    let over = world.faults_over();
    let within = |at: &Ms| *at >= Ms(first) && *at <= over;
    let cancelled = world.jobs.values().filter_map(|j| j.cancel_confirmed).filter(within).count();
    let applied_faults = world.faults.applied_faults.iter();
    let applied_faults =
        applied_faults.map(|(at, what, until)| format!("{} {what:?} until {}", at.0, until.0));
    Met {
        pair,
        seed,
        broken,
        applied_faults: applied_faults.collect(),
        started: world.started,
        running,
        cancelled,
        late: (world.meetings.late, world.meetings.held_orders + world.command_faults.late),
        longest_ms: world.polls.longest_ms,
    }
}

/// Plays all pairs that the plan asks for; true if no rule was broken.
pub fn run(plan: &Plan) -> bool {
    let pairs = Pair::of(plan);
    let seeds = plan.seed..plan.seed.saturating_add(plan.seeds);
    let days: Vec<(Pair, u64)> =
        pairs.iter().flat_map(|p| seeds.clone().map(|seed| (*p, seed))).collect();
    let next = AtomicUsize::new(0);
    let met = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..plan.threads {
            scope.spawn(|| loop {
                let i = next.fetch_add(1, Ordering::Relaxed);
                let Some((pair, seed)) = days.get(i) else { break };
                let day = play(plan, *pair, *seed);
                met.lock().unwrap_or_else(|e| e.into_inner()).push((i, day));
            });
        }
    });
    let mut met = met.into_inner().unwrap_or_else(|e| e.into_inner());
    met.sort_by_key(|m| m.0);
    let met: Vec<Met> = met.into_iter().map(|m| m.1).collect();
    for day in &met {
        if day.broken.is_empty() && !plan.verbose {
            continue;
        }
        let passed = if day.broken.is_empty() { "passed" } else { "FAILED" };
        println!(
            "{passed} {} seed {}: {} starts, {}/{} running, {} cancellations, late {:?}, {:.1} s",
            day.pair,
            day.seed,
            day.started,
            day.running.0,
            day.running.1,
            day.cancelled,
            day.late,
            day.longest_ms as f64 / 1000.0
        );
        day.applied_faults.iter().for_each(|b| println!("    {b}"));
        day.broken.iter().for_each(|b| println!("  broken: {b}"));
        if !day.broken.is_empty() {
            println!(
                "  again: cleatfold-testbed region --pair {} --seed {} --seeds 1 --nodes {} --teams {} --machines {}",
                day.pair, day.seed, plan.controllers, plan.teams, plan.machines
            );
        }
    }
    let with = |f: &dyn Fn(&Met) -> bool| met.iter().filter(|m| f(m)).count();
    println!(
        "{} pairs; {} days with tasks running as both began, {} with cancellations meanwhile",
        pairs.len(),
        with(&|m| m.running.0.min(m.running.1) > 0),
        with(&|m| m.cancelled > 0)
    );
    let passed = with(&|m| m.broken.is_empty());
    println!("{passed} passed, {} failed", met.len() - passed);
    passed == met.len()
}
