//! Who reaches whom, against a world in which it is known what is cut and what is dead.

use cleatfold_reachability::{
    Came, MisdirectedWorkers, Reachability, ShunnedControllers, Timing, ZoneContact,
};
use cleatfold_wire::{AgentEpoch, ControllerId, FencingToken, MachineId, Ms, PoolId, Seq, ZoneId};
use proptest::prelude::*;
use std::collections::BTreeMap;

const CONTROLLERS: usize = 3;
const MACHINES: usize = 6;

fn controller(i: usize) -> ControllerId {
    ControllerId::new(format!("n{i}"))
}
fn machine(i: usize) -> MachineId {
    MachineId::new(format!("vm-{i:06}"))
}

/// Three controllers and one zone whose machines report to the first, each second.
struct World {
    views: Vec<Reachability>,
    now: Ms,
}

impl World {
    fn new() -> Self {
        let timing = Timing { heartbeat_interval_ms: 1000 };
        Self { views: (0..CONTROLLERS).map(|_| Reachability::new(timing)).collect(), now: Ms(1000) }
    }

    /// `reached` says which machines a controller reaches.
    fn run(&mut self, for_ms: u64, reached: impl Fn(usize, usize) -> bool) {
        let (zone, until) = (ZoneId::new("a"), self.now.plus(for_ms));
        let machines: Vec<MachineId> = (0..MACHINES).map(machine).collect();
        while self.now < until {
            self.now = self.now.plus(500);
            let now = self.now;
            for i in 0..CONTROLLERS {
                let reports = i == 0 && (0..MACHINES).any(|m| reached(0, m));
                if reports && now.0.is_multiple_of(1000) {
                    self.views[i].note_contact(&zone, now);
                }
                let own = if i == 0 { MACHINES } else { 0 };
                let zones = [(&zone, machines.as_slice(), own)];
                for probe in self.views[i].probe(now, zones) {
                    let at = machines.iter().position(|m| *m == probe.machine).unwrap();
                    self.views[i].probed(&zone, &probe.machine, reached(i, at), now);
                }
                if now.0.is_multiple_of(1000) {
                    let told: BTreeMap<ZoneId, ZoneContact> =
                        self.views[i].zone_contacts().map(|(z, h)| (z.clone(), h)).collect();
                    for j in (0..CONTROLLERS).filter(|j| *j != i) {
                        self.views[j].peers.note_zone_contacts(&controller(i), told.clone(), now);
                    }
                }
            }
        }
    }

    /// Whether this controller sees that another one reaches what the first does not.
    fn sees(&self, me: usize, other: usize) -> bool {
        let zone = ZoneId::new("a");
        self.views[me].reaches_instead(
            &controller(me),
            &controller(other),
            &controller(0),
            &zone,
            self.now,
        )
    }
}

/// Machines that died are lost first for their owner, which asks first. The pool went round.
#[test]
fn dead_machines_move_nothing() {
    let mut world = World::new();
    world.run(20_000, |_, _| true);
    for _ in 0..60 {
        world.run(500, |_, _| false);
        for me in 0..CONTROLLERS {
            assert!(!world.sees(me, 1) && !world.sees(me, 2), "at {:?}", world.now);
        }
    }
}

#[test]
fn a_cut_controller_is_known_by_all_within_seven_seconds() {
    let mut world = World::new();
    world.run(20_000, |_, _| true);
    world.run(7_000, |controller, _| controller != 0);
    for me in 0..CONTROLLERS {
        assert!(world.sees(me, 1) || world.sees(me, 2), "controller {me}");
        assert!(!world.views[me].may_own_pools_in(
            &controller(me),
            &controller(0),
            &ZoneId::new("a"),
            world.now
        ));
    }
    world.run(5_000, |_, _| true);
    for me in 0..CONTROLLERS {
        assert!(world.views[me].may_own_pools_in(
            &controller(me),
            &controller(0),
            &ZoneId::new("a"),
            world.now
        ));
    }
}

#[test]
fn a_standstill_is_no_evidence() {
    let mut world = World::new();
    world.run(20_000, |_, _| true);
    let now = world.now.plus(60_000);
    world.views[0].stood_still(now);
    assert!(world.views[0].zone_contacts().all(|(_, h)| !h.lost && h.at == now));
    let zone = ZoneId::new("a");
    assert!(!world.views[0].reaches_instead(
        &controller(0),
        &controller(1),
        &controller(0),
        &zone,
        now
    ));
}

proptest! {
    /// Whatever machines are dead, nobody is taken for better than an owner that hears of the zone; and
    /// fewer than three dead ones never make a controller look cut.
    #[test]
    fn dead_machines_do_not_make_a_cut(dead in prop::collection::vec(any::<bool>(), MACHINES), cut in 0usize..CONTROLLERS) {
        let alive = |m: usize| !dead[m];
        let mut world = World::new();
        world.run(15_000, |_, _| true);
        world.run(30_000, |controller, m| alive(m) && (controller != cut || cut == 0));
        let zone = ZoneId::new("a");
        let few = dead.iter().filter(|d| **d).count() < 3;
        for me in 0..CONTROLLERS {
            for other in 1..CONTROLLERS {
                let sees = world.sees(me, other);
                prop_assert!(!sees, "nobody is better than the owner here");
            }
            if few && (me != cut || cut == 0) {
                prop_assert!(world.views[me].may_own_pools_in(&controller(me), &controller(me), &zone, world.now));
            }
        }
    }

    /// However often workers leave a controller, it is asked again in the end, and less and less often.
    #[test]
    fn pauses_grow_and_end(gaps in prop::collection::vec(1_000u64..400_000, 1..20)) {
        let (mut shunned, mut now) = (ShunnedControllers::default(), Ms(1_000));
        let zone = ZoneId::new("a");
        for gap in gaps {
            now = now.plus(gap);
            shunned.left(&controller(0), &zone, now);
            prop_assert!(shunned.is_shunned(&controller(0), &zone, now));
            prop_assert!(!shunned.is_shunned(&controller(1), &zone, now));
            prop_assert!(!shunned.is_shunned(&controller(0), &zone, now.plus(240_000)));
        }
    }
}

#[test]
fn a_pool_comes_after_a_quarter_of_its_workers_that_came_twice_and_say_so_themselves() {
    let pool = PoolId::parse("small/a").expect("a pool");
    let mut misdirected_workers = MisdirectedWorkers::default();
    let silent = |_: &PoolId, _: &ControllerId| false;
    misdirected_workers.see_token(&pool, FencingToken(7), Ms(1_000));
    let owner = (&controller(0), Some(Ms(19_000)));
    let number = |n| (AgentEpoch(1), Seq(n));
    let came = |misdirected_workers: &mut MisdirectedWorkers, i, n, at| {
        misdirected_workers.came((&machine(i), number(n)), &pool, 8, owner, 3_000, Ms(at))
    };
    // On their way to an owner that has just got the pool.
    assert_eq!(came(&mut misdirected_workers, 0, 5, 3_000), Came::No);
    assert_eq!(came(&mut misdirected_workers, 0, 6, 18_000), Came::No);
    assert_eq!(came(&mut misdirected_workers, 1, 40, 18_100), Came::No);
    assert_eq!(came(&mut misdirected_workers, 0, 7, 19_500), Came::No, "one of eight");
    assert_eq!(came(&mut misdirected_workers, 1, 41, 19_600), Came::Ask, "two of eight");
    assert_eq!(came(&mut misdirected_workers, 1, 42, 19_700), Came::No, "asked already");
    // Gone, or partitioned: no answer. A copy: it has long said more. In another session: what it said is over.
    assert_eq!(misdirected_workers.answered(&machine(1), None, silent, Ms(19_700)), None);
    assert_eq!(
        misdirected_workers.answered(&machine(1), Some(number(400)), silent, Ms(19_700)),
        None
    );
    assert_eq!(
        misdirected_workers.answered(
            &machine(1),
            Some((AgentEpoch(2), Seq(42))),
            silent,
            Ms(19_700)
        ),
        None
    );
    assert_eq!(
        misdirected_workers.answered(&machine(0), Some(number(8)), silent, Ms(19_700)),
        None,
        "not asked"
    );
    let moved = misdirected_workers.answered(&machine(1), Some(number(42)), silent, Ms(19_700));
    assert_eq!(moved, Some((pool.clone(), controller(0))));
    misdirected_workers.arrived(&machine(0));
    assert_eq!(came(&mut misdirected_workers, 2, 1, 19_700), Came::No);
}

/// The owner says that it hears the zone: only a worker that is found astray again, by a report that it
/// sent after it was first asked, moves the pool. (Copies younger than the pause between two reports
/// moved pools 7 to 12 times a minute.)
#[test]
fn a_pool_keeps_an_owner_that_reaches_its_zone_unless_a_worker_is_misdirected_twice() {
    let (pool, owner) = (PoolId::parse("small/a").expect("a pool"), controller(0));
    let number = |n| (AgentEpoch(1), Seq(n));
    let (yes, no) = (|_: &PoolId, _: &ControllerId| true, |_: &PoolId, _: &ControllerId| false);
    let asked = |last: u64, at: u64| {
        let mut misdirected_workers = MisdirectedWorkers::default();
        misdirected_workers.see_token(&pool, FencingToken(7), Ms(1_000));
        let heard = (&owner, Some(Ms(at)));
        for (n, at) in [(last - 1, at - 1_500), (last, at)] {
            misdirected_workers.came((&machine(0), number(n)), &pool, 1, heard, 3_000, Ms(at));
        }
        misdirected_workers
    };
    let moved = Some((pool.clone(), owner.clone()));
    let mut misdirected_workers = asked(6, 20_000);
    assert_eq!(
        misdirected_workers.answered(&machine(0), Some(number(9)), no, Ms(20_010)),
        None,
        "a copy"
    );
    assert_eq!(misdirected_workers.answered(&machine(0), Some(number(7)), no, Ms(20_010)), moved);
    let mut misdirected_workers = asked(6, 20_000);
    assert_eq!(
        misdirected_workers.answered(&machine(0), Some(number(7)), yes, Ms(20_010)),
        None,
        "once"
    );
    let heard = (&owner, Some(Ms(22_000)));
    // What it had sent before it was asked shows nothing new.
    misdirected_workers.came((&machine(0), number(7)), &pool, 1, heard, 3_000, Ms(22_000));
    assert_eq!(misdirected_workers.answered(&machine(0), Some(number(8)), yes, Ms(22_010)), None);
    let heard = (&owner, Some(Ms(25_000)));
    misdirected_workers.came((&machine(0), number(10)), &pool, 1, heard, 3_000, Ms(25_000));
    assert_eq!(misdirected_workers.answered(&machine(0), Some(number(11)), yes, Ms(25_010)), moved);
}
