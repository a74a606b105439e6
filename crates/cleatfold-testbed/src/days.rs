//! Days of a simulated region on which several controllers fail at once and every trouble is
//! drawn, watched for all rules.

use crate::pairs::{self, Pair};
use crate::world::{BehaviorDigest, Fault, Size, SizeRow, World};
use clap::builder::RangedU64ValueParser;
use cleatfold_wire::Ms;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;
use xxhash_rust::xxh3::Xxh3;

#[derive(Clone, Debug, clap::Args)]
pub struct Plan {
    #[arg(long = "nodes", default_value_t = 3, value_parser = count())]
    pub controllers: usize,
    #[arg(long, default_value_t = 4, value_parser = count())]
    pub teams: usize,
    #[arg(long, default_value_t = 24, value_parser = count())]
    pub machines: usize,
    /// Every team has a limit of about a tenth of what it asks for.
    #[arg(long)]
    pub scarce: bool,
    /// Machines boot in 1.5 s.
    #[arg(long)]
    pub fast_boots: bool,
    /// How many days; with --pairs, of each pair.
    #[arg(long, default_value_t = 50, value_parser = clap::value_parser!(u64).range(1..))]
    pub seeds: u64,
    /// The first of them.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Faults drawn a day, within its first two minutes.
    #[arg(long = "troubles", default_value_t = 16)]
    pub faults: usize,
    /// Draw these alone (as `partitioned,copies`); all without.
    #[arg(long, value_delimiter = ',')]
    pub only: Vec<Fault>,
    /// Days that are played at the same time.
    #[arg(long, default_value_t = 4, value_parser = count())]
    pub threads: usize,
    /// Play every ordered pair of troubles (of --only, if given), each on days of its own.
    #[arg(long)]
    pub pairs: bool,
    /// Play this pair alone, as `blink,outage`.
    #[arg(long, conflicts_with_all = ["pairs", "only"])]
    pub pair: Option<Pair>,
    /// Also print a digest of all that the controllers asked for, by day and in all. Versions of
    /// the code with the same digest behave alike.
    #[arg(long, conflicts_with_all = ["pairs", "pair"])]
    pub digest: bool,
    /// Say of each day what befell.
    #[arg(long)]
    pub verbose: bool,
}

fn count() -> RangedU64ValueParser<usize> {
    RangedU64ValueParser::new().range(1..=10_000)
}

impl Plan {
    pub fn region(&self) -> Size {
        let Plan { controllers, teams, machines, .. } = *self;
        let usual = if self.scarce { Size::SCARCE } else { Size::SMALL };
        let boot_s = if self.fast_boots { Size::FAST_BOOT_S } else { usual.boot_s };
        Size { controllers, teams, machines, boot_s, ..usual }
    }
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            controllers: 3,
            teams: 4,
            machines: 24,
            scarce: false,
            fast_boots: false,
            seeds: 50,
            seed: 1,
            faults: 16,
            only: Vec::new(),
            threads: 1,
            pairs: false,
            pair: None,
            digest: false,
            verbose: false,
        }
    }
}

/// What became of a day.
#[derive(Debug)]
pub struct Day {
    pub seed: u64,
    /// Rules that were broken; empty if all is well.
    pub broken: Vec<String>,
    pub applied_faults: Vec<String>,
    pub started: u32,
    pub jobs: usize,
    pub copied: u32,
    /// The longest time after the troubles in which a job's questions went unanswered.
    pub longest_ms: u64,
    /// The longest time for which a job waited beside room after the troubles.
    pub waited_ms: u64,
    pub sizes: Vec<SizeRow>,
    /// A digest of all that the controllers asked for, if `Plan::digest` is set.
    pub digest: Option<u128>,
}

/// When the drawn troubles begin, end, and when the day does.
const FAULT_WINDOW: (Ms, Ms) = (Ms(8_000), Ms(130_000));
const END: Ms = Ms(600_000);

/// What was broken on a day that is over.
pub(crate) fn verdict(world: &mut World) -> Vec<String> {
    let mut broken = std::mem::take(&mut world.broken);
    broken.extend(world.unfinished().iter().map(|job| format!("{job} has not ended")));
    let sizes = world.sizes();
    let poor = |r: &&SizeRow| r.jobs > 0 && (r.begun * 2 < r.jobs || r.ended * 2 < r.jobs);
    broken.extend(sizes.iter().filter(poor).map(|r| format!("less than half: {r:?}")));
    if world.started == 0 {
        broken.push("nothing_ran".into());
    }
    broken
}

pub fn play(plan: &Plan, seed: u64) -> Day {
    let mut world = World::sized(seed, false, plan.region());
    let kinds = if plan.only.is_empty() { Fault::ALL } else { &plan.only };
    world.digest = plan.digest.then(BehaviorDigest::default);
    world.poll_everything();
    world.draw_faults(kinds, FAULT_WINDOW.0, FAULT_WINDOW.1, plan.faults);
    world.run(END);
    let broken = verdict(&mut world);
    let sizes = world.sizes();
    let applied_faults = world.faults.applied_faults.iter();
    let applied_faults =
        applied_faults.map(|(at, what, until)| format!("{} {what:?} until {}", at.0, until.0));
    Day {
        seed,
        broken,
        applied_faults: applied_faults.collect(),
        started: world.started,
        jobs: world.jobs.values().filter(|j| j.accepted).count(),
        copied: world.faults.copied,
        longest_ms: world.polls.longest_ms,
        waited_ms: world.starvation.longest_ms,
        sizes,
        digest: world.digest.as_ref().map(BehaviorDigest::value),
    }
}

/// One digest of the digests of all days, in their order.
fn total_digest(days: &[Day]) -> u128 {
    let mut hash = Xxh3::new();
    for digest in days.iter().filter_map(|day| day.digest) {
        hash.update(&digest.to_le_bytes());
    }
    hash.digest128()
}

/// Plays all days; true if no rule was broken.
pub fn run(plan: &Plan) -> bool {
    if plan.pairs || plan.pair.is_some() {
        return pairs::run(plan);
    }
    let next = AtomicU64::new(plan.seed);
    let days = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..plan.threads {
            scope.spawn(|| loop {
                let seed = next.fetch_add(1, Ordering::Relaxed);
                if seed >= plan.seed.saturating_add(plan.seeds) {
                    break;
                }
                let day = play(plan, seed);
                days.lock().unwrap_or_else(|e| e.into_inner()).push(day);
            });
        }
    });
    let mut days = days.into_inner().unwrap_or_else(|e| e.into_inner());
    days.sort_by_key(|d| d.seed);
    for day in &days {
        let passed = if day.broken.is_empty() { "passed" } else { "FAILED" };
        println!(
            "{passed} seed {}: {} jobs, {} starts, {} copies, longest without an answer {:.1} s, \
             beside room {:.1} s",
            day.seed,
            day.jobs,
            day.started,
            day.copied,
            day.longest_ms as f64 / 1000.0,
            day.waited_ms as f64 / 1000.0
        );
        if let Some(digest) = day.digest {
            println!("    digest {digest:032x}");
        }
        if plan.verbose || !day.broken.is_empty() {
            day.applied_faults.iter().for_each(|b| println!("    {b}"));
        }
        day.broken.iter().for_each(|b| println!("  broken: {b}"));
    }
    let passed = days.iter().filter(|d| d.broken.is_empty()).count();
    if plan.digest {
        println!("digest of all days {:032x}", total_digest(&days));
    }
    println!("{passed} passed, {} failed", days.len() - passed);
    passed == days.len()
}
