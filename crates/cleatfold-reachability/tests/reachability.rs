//! Reachability compared with a simulation whose partitions and machine failures are known.

use cleatfold_reachability::{
    ExcludedControllers, MisdirectedWorkers, ProbeTiming, Reachability, TakeoverDecision,
    ZoneContact,
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

/// Three controllers and one zone whose machines report to the first one every second.
struct Simulation {
    views: Vec<Reachability>,
    now: Ms,
}

impl Simulation {
    fn new() -> Self {
        let timing = ProbeTiming { heartbeat_interval_ms: 1000 };
        Self { views: (0..CONTROLLERS).map(|_| Reachability::new(timing)).collect(), now: Ms(1000) }
    }

    /// Simulates `for_ms`; `reached` says which machines a controller reaches.
    fn run(&mut self, for_ms: u64, reached: impl Fn(usize, usize) -> bool) {
        let (zone, until) = (ZoneId::new("a"), self.now.plus(for_ms));
        let machines: Vec<MachineId> = (0..MACHINES).map(machine).collect();
        while self.now < until {
            self.now = self.now.plus(500);
            let now = self.now;
            for i in 0..CONTROLLERS {
                let reports = i == 0 && (0..MACHINES).any(|m| reached(0, m));
                if reports && now.0.is_multiple_of(1000) {
                    self.views[i].record_contact(&zone, now);
                }
                let reporting = if i == 0 { MACHINES } else { 0 };
                let zones = [(&zone, machines.as_slice(), reporting)];
                for probe in self.views[i].due_probes(now, zones) {
                    let index = machines.iter().position(|m| *m == probe.machine).unwrap();
                    self.views[i].record_probe_result(
                        &zone,
                        &probe.machine,
                        reached(i, index),
                        now,
                    );
                }
                if now.0.is_multiple_of(1000) {
                    let zone_contacts: BTreeMap<ZoneId, ZoneContact> =
                        self.views[i].zone_contacts().map(|(z, c)| (z.clone(), c)).collect();
                    for j in (0..CONTROLLERS).filter(|j| *j != i) {
                        self.views[j].peers.record_zone_contacts(
                            &controller(i),
                            zone_contacts.clone(),
                            now,
                        );
                    }
                }
            }
        }
    }

    /// Whether controller `me` considers `other` an alternative to owner 0, which has lost the
    /// zone.
    fn sees_alternative(&self, me: usize, other: usize) -> bool {
        let zone = ZoneId::new("a");
        self.views[me].is_alternative_owner(
            &controller(me),
            &controller(other),
            &controller(0),
            &zone,
            self.now,
        )
    }
}

/// When machines fail, their owner loses them first because it probes first. Such a pool was moved
/// from controller to controller.
#[test]
fn failed_machines_do_not_move_pool() {
    let mut simulation = Simulation::new();
    simulation.run(20_000, |_, _| true);
    for _ in 0..60 {
        simulation.run(500, |_, _| false);
        for me in 0..CONTROLLERS {
            assert!(
                !simulation.sees_alternative(me, 1) && !simulation.sees_alternative(me, 2),
                "at {:?}",
                simulation.now
            );
        }
    }
}

#[test]
fn partitioned_controller_is_detected_by_all_within_seven_seconds() {
    let mut simulation = Simulation::new();
    simulation.run(20_000, |_, _| true);
    simulation.run(7_000, |controller, _| controller != 0);
    for me in 0..CONTROLLERS {
        assert!(
            simulation.sees_alternative(me, 1) || simulation.sees_alternative(me, 2),
            "controller {me}"
        );
        assert!(!simulation.views[me].may_own_pools_in(
            &controller(me),
            &controller(0),
            &ZoneId::new("a"),
            simulation.now
        ));
    }
    simulation.run(5_000, |_, _| true);
    for me in 0..CONTROLLERS {
        assert!(simulation.views[me].may_own_pools_in(
            &controller(me),
            &controller(0),
            &ZoneId::new("a"),
            simulation.now
        ));
    }
}

#[test]
fn process_pause_is_no_evidence_of_lost_contact() {
    let mut simulation = Simulation::new();
    simulation.run(20_000, |_, _| true);
    let now = simulation.now.plus(60_000);
    simulation.views[0].reset_after_pause(now);
    assert!(simulation.views[0].zone_contacts().all(|(_, c)| !c.lost && c.at == now));
    let zone = ZoneId::new("a");
    assert!(!simulation.views[0].is_alternative_owner(
        &controller(0),
        &controller(1),
        &controller(0),
        &zone,
        now
    ));
}

proptest! {
    /// Whatever machines have failed, no controller counts as an alternative to an owner that has
    /// contact with the zone; and fewer than three failed machines never make a controller look
    /// partitioned.
    #[test]
    fn failed_machines_do_not_look_like_partition(failed in prop::collection::vec(any::<bool>(), MACHINES), partitioned in 0usize..CONTROLLERS) {
        let running = |m: usize| !failed[m];
        let mut simulation = Simulation::new();
        simulation.run(15_000, |_, _| true);
        simulation.run(30_000, |controller, m| running(m) && (controller != partitioned || partitioned == 0));
        let zone = ZoneId::new("a");
        let few_failed = failed.iter().filter(|f| **f).count() < 3;
        for me in 0..CONTROLLERS {
            for other in 1..CONTROLLERS {
                let sees_alternative = simulation.sees_alternative(me, other);
                prop_assert!(!sees_alternative, "no controller is an alternative to the owner");
            }
            if few_failed && (me != partitioned || partitioned == 0) {
                prop_assert!(simulation.views[me].may_own_pools_in(&controller(me), &controller(me), &zone, simulation.now));
            }
        }
    }

    /// However often workers leave a controller, each exclusion ends within 240 s.
    #[test]
    fn exclusion_ends_within_maximum(gaps in prop::collection::vec(1_000u64..400_000, 1..20)) {
        let (mut excluded, mut now) = (ExcludedControllers::default(), Ms(1_000));
        let zone = ZoneId::new("a");
        for gap in gaps {
            now = now.plus(gap);
            excluded.record_workers_left(&controller(0), &zone, now);
            prop_assert!(excluded.is_excluded(&controller(0), &zone, now));
            prop_assert!(!excluded.is_excluded(&controller(1), &zone, now));
            prop_assert!(!excluded.is_excluded(&controller(0), &zone, now.plus(240_000)));
        }
    }
}

#[test]
fn pool_moves_after_quarter_of_workers_is_misdirected_and_probe_confirms() {
    let pool = PoolId::parse("small/a").expect("a pool");
    let mut misdirected_workers = MisdirectedWorkers::default();
    let no_contact = |_: &PoolId, _: &ControllerId| false;
    misdirected_workers.record_token(&pool, FencingToken(7), Ms(1_000));
    let owner = (&controller(0), Some(Ms(19_000)));
    let report_number = |n| (AgentEpoch(1), Seq(n));
    let report = |misdirected_workers: &mut MisdirectedWorkers, i, n, at| {
        misdirected_workers.on_report(
            (&machine(i), report_number(n)),
            &pool,
            8,
            owner,
            3_000,
            Ms(at),
        )
    };
    // The owner has only just changed: its workers may still be searching for it.
    assert_eq!(report(&mut misdirected_workers, 0, 5, 3_000), TakeoverDecision::Keep);
    assert_eq!(report(&mut misdirected_workers, 0, 6, 18_000), TakeoverDecision::Keep);
    assert_eq!(report(&mut misdirected_workers, 1, 40, 18_100), TakeoverDecision::Keep);
    assert_eq!(
        report(&mut misdirected_workers, 0, 7, 19_500),
        TakeoverDecision::Keep,
        "one of eight"
    );
    assert_eq!(
        report(&mut misdirected_workers, 1, 41, 19_600),
        TakeoverDecision::Probe,
        "two of eight"
    );
    assert_eq!(
        report(&mut misdirected_workers, 1, 42, 19_700),
        TakeoverDecision::Keep,
        "already probed"
    );
    // No answer: the machine has stopped or is partitioned. A higher number: the report was a
    // delayed copy. Another agent epoch: the report is outdated.
    assert_eq!(
        misdirected_workers.on_probe_result(&machine(1), None, no_contact, Ms(19_700)),
        None
    );
    assert_eq!(
        misdirected_workers.on_probe_result(
            &machine(1),
            Some(report_number(400)),
            no_contact,
            Ms(19_700)
        ),
        None
    );
    assert_eq!(
        misdirected_workers.on_probe_result(
            &machine(1),
            Some((AgentEpoch(2), Seq(42))),
            no_contact,
            Ms(19_700)
        ),
        None
    );
    assert_eq!(
        misdirected_workers.on_probe_result(
            &machine(0),
            Some(report_number(8)),
            no_contact,
            Ms(19_700)
        ),
        None,
        "not probed"
    );
    let moved = misdirected_workers.on_probe_result(
        &machine(1),
        Some(report_number(42)),
        no_contact,
        Ms(19_700),
    );
    assert_eq!(moved, Some((pool.clone(), controller(0))));
    misdirected_workers.record_owner_contact(&machine(0));
    assert_eq!(report(&mut misdirected_workers, 2, 1, 19_700), TakeoverDecision::Keep);
}

/// When the owner reports contact with the zone, a pool moves only after a worker is confirmed as
/// misdirected a second time, by a report sent after the first probe. Copies younger than the
/// interval between two reports moved pools 7 to 12 times a minute.
#[test]
fn pool_stays_with_reachable_owner_until_second_confirmation() {
    let (pool, owner) = (PoolId::parse("small/a").expect("a pool"), controller(0));
    let report_number = |n| (AgentEpoch(1), Seq(n));
    let (has_contact, no_contact) =
        (|_: &PoolId, _: &ControllerId| true, |_: &PoolId, _: &ControllerId| false);
    let probed = |last: u64, at: u64| {
        let mut misdirected_workers = MisdirectedWorkers::default();
        misdirected_workers.record_token(&pool, FencingToken(7), Ms(1_000));
        let owner_state = (&owner, Some(Ms(at)));
        for (n, at) in [(last - 1, at - 1_500), (last, at)] {
            misdirected_workers.on_report(
                (&machine(0), report_number(n)),
                &pool,
                1,
                owner_state,
                3_000,
                Ms(at),
            );
        }
        misdirected_workers
    };
    let moved = Some((pool.clone(), owner.clone()));
    let mut misdirected_workers = probed(6, 20_000);
    assert_eq!(
        misdirected_workers.on_probe_result(
            &machine(0),
            Some(report_number(9)),
            no_contact,
            Ms(20_010)
        ),
        None,
        "a delayed copy"
    );
    assert_eq!(
        misdirected_workers.on_probe_result(
            &machine(0),
            Some(report_number(7)),
            no_contact,
            Ms(20_010)
        ),
        moved
    );
    let mut misdirected_workers = probed(6, 20_000);
    assert_eq!(
        misdirected_workers.on_probe_result(
            &machine(0),
            Some(report_number(7)),
            has_contact,
            Ms(20_010)
        ),
        None,
        "confirmed once"
    );
    let owner_state = (&owner, Some(Ms(22_000)));
    // A report sent before the probe is no new evidence.
    misdirected_workers.on_report(
        (&machine(0), report_number(7)),
        &pool,
        1,
        owner_state,
        3_000,
        Ms(22_000),
    );
    assert_eq!(
        misdirected_workers.on_probe_result(
            &machine(0),
            Some(report_number(8)),
            has_contact,
            Ms(22_010)
        ),
        None
    );
    let owner_state = (&owner, Some(Ms(25_000)));
    misdirected_workers.on_report(
        (&machine(0), report_number(10)),
        &pool,
        1,
        owner_state,
        3_000,
        Ms(25_000),
    );
    assert_eq!(
        misdirected_workers.on_probe_result(
            &machine(0),
            Some(report_number(11)),
            has_contact,
            Ms(25_010)
        ),
        moved
    );
}
