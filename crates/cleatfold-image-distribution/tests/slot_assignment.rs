//! Seats against a plain model, the record at its limit, pieces that are wrong, and caches too small.

use cleatfold_image_distribution::*;
use cleatfold_wire::*;
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};

fn settings(origin: f64, hand_on: bool) -> Settings {
    Settings { origin_gb_per_s: origin, uploads: 2, min_gb: 1.0, hand_on }
}

fn pool(zone: &str) -> PoolId {
    PoolId { machine_type: TypeId::new("g8"), zone: ZoneId::new(zone) }
}

fn want(n: usize, zone: &str, urgency: u8) -> Want {
    Want {
        machine: MachineId::new(format!("vm-{n:06}")),
        pool: pool(zone),
        image: ImageId::new("m"),
        urgency,
        gang: false,
        place: n as u64,
        mb_per_s: 1250,
        supports_peer_fetch: true,
        stuck: false,
        pushes_out: None,
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, ..ProptestConfig::default() })]

    /// Whatever is wanted: within the bound, one seat a machine, nobody passed over who could have had
    /// it and comes before somebody of the same zone, image and kind.
    #[test]
    fn slots_stay_within_the_bound_and_go_in_order(
        wants in prop::collection::vec((0usize..40, 0usize..3, 0u8..4, 200u32..3000, any::<bool>(), any::<bool>()), 0..60),
        taken in 0usize..6,
        origin in 1.0f64..20.0,
        hand_on in any::<bool>(),
    ) {
        let settings = settings(origin, hand_on);
        let mut record = OriginRecord::default();
        for n in 0..taken {
            let w = want(100 + n, "a", 0);
            if record.has_capacity(&settings, w.mb_per_s, 16_384) {
                let slot = Slot { pool: w.pool, image: w.image, since_ms: 0, mb_per_s: w.mb_per_s };
                record.slots.insert(w.machine, slot);
            }
        }
        // A machine is in one zone, and hears of sources or does not.
        let mut known = BTreeSet::new();
        let wants: Vec<Want> = wants
            .into_iter()
            .filter(|w| known.insert(w.0))
            .map(|(n, zone, urgency, rate, supports_peer_fetch, gang)| Want {
                mb_per_s: settings.slot(f64::from(rate) / 1000.0),
                supports_peer_fetch,
                gang,
                ..want(n, ["a", "b", "c"][zone], urgency)
            })
            .collect();
        let given = assign_slots(&settings, &record, &wants, |_, _| (0, 0), 16_384, 7);
        let mut after = record.clone();
        after.slots.extend(given.clone());
        prop_assert!(after.used() <= settings.bound());
        prop_assert_eq!(after.slots.len(), record.slots.len() + given.len());
        // The plain model for workers of the protocol: whoever waits had no room left.
        let mut first = BTreeSet::new();
        let mut sorted: Vec<&Want> = wants.iter().collect();
        sorted.sort_by_key(|w| order(w));
        for w in sorted.into_iter().filter(|w| first.insert(w.machine.clone())) {
            if !given.contains_key(&w.machine) && (!w.supports_peer_fetch || !hand_on) {
                prop_assert!(!after.has_capacity(&settings, w.mb_per_s, 16_384), "{w:?} waits in vain");
            }
        }
        if hand_on {
            for zone in ["a", "b", "c"] {
                let supports_peer_fetch: BTreeSet<&MachineId> =
                    wants.iter().filter(|w| w.supports_peer_fetch).map(|w| &w.machine).collect();
                let new = given.iter().filter(|(m, s)| s.pool.zone.as_str() == zone && supports_peer_fetch.contains(m));
                prop_assert!(new.count() <= COPIES + wants.len() / 60, "copies of {zone}");
            }
        }
    }

    #[test]
    fn names_come_back_as_they_were(names in prop::collection::btree_set("(vm-[0-9]{6}|node[0-9]{0,4}|[a-z]{1,5})", 0..80)) {
        let names: BTreeSet<MachineId> = names.into_iter().map(MachineId::new).collect();
        let text = serde_json::to_string(&Names::of(&names)).unwrap();
        let read: Names = serde_json::from_str(&text).unwrap();
        prop_assert_eq!(read.read(), names);
    }
}

#[test]
fn a_zone_without_a_copy_goes_before_a_second_copy_and_the_urgent_before_both() {
    let settings = settings(3.75, true);
    let mut wants: Vec<Want> = (0..40).map(|n| want(n, "a", 2)).collect();
    wants.push(want(90, "b", 2));
    wants.push(want(91, "c", 0));
    let given = assign_slots(&settings, &OriginRecord::default(), &wants, |_, _| (0, 0), 16_384, 0);
    let zones: Vec<&str> = given.values().map(|s| s.pool.zone.as_str()).collect();
    assert_eq!(zones, ["a", "b", "c"]);
    let one = self::settings(1.25, true);
    let given = assign_slots(&one, &OriginRecord::default(), &wants, |_, _| (0, 0), 16_384, 0);
    assert!(given.contains_key(&MachineId::new("vm-000091")), "{given:?}");
    // Where a copy is there already nobody goes to the origin for a few.
    let few = [want(1, "a", 2), want(2, "a", 2)];
    assert!(assign_slots(&settings, &OriginRecord::default(), &few, |_, _| (1, 0), 16_384, 0)
        .is_empty());
}

#[test]
fn records_at_their_limit_are_cut_and_slots_too() {
    let settings = settings(100_000.0, false);
    let wants: Vec<Want> = (0..2000).map(|n| Want { mb_per_s: 1, ..want(n, "a", 2) }).collect();
    let given =
        assign_slots(&settings, &OriginRecord::default(), &wants, |_, _| (0, 0), 16_384, u64::MAX);
    let record = OriginRecord { slots: given };
    assert!(record.slots.len() > 50);
    assert!(serde_json::to_vec(&record).unwrap().len() <= 16_384);
    // Fifteen hundred machines of a region are some kilobytes; names that can't be packed are cut.
    let packed: BTreeSet<MachineId> =
        (0..1500).map(|n| MachineId::new(format!("vm-{:06}", n * 37))).collect();
    let mut spread = ImageHoldersRecord::default();
    spread.set(&pool("a"), &packed, 16_384);
    assert_eq!(spread.in_zone(&ZoneId::new("a")), packed);
    let odd: BTreeSet<MachineId> =
        (0..1500).map(|n| MachineId::new(format!("machine-{n}-of-a-rack"))).collect();
    spread.set(&pool("b"), &odd, 16_384);
    assert!(spread.bytes() <= 16_384);
    assert!((1..100).contains(&spread.in_zone(&ZoneId::new("b")).len()));
    assert_eq!(spread.in_zone(&ZoneId::new("a")), packed);
}

#[test]
fn a_wrong_piece_is_asked_of_the_next_source_and_a_stuck_fetch_says_so() {
    let digests = (0..3u32).map(|n| digest(n, &n.to_le_bytes())).collect();
    let pieces = Pieces { image: ImageId::new("m"), digests };
    let sources = ["a".to_string(), "b".to_string()];
    let mut fetch = Fetch::new(pieces, &sources);
    let now = Ms(1000);
    assert_eq!(fetch.next(now), Next::Ask("a".into(), 0));
    assert!(fetch.came(now, Some("a"), 0, &0u32.to_le_bytes()));
    // The right bytes of another piece are not this one.
    assert!(!fetch.came(now, Some("a"), 1, &0u32.to_le_bytes()));
    assert_eq!((fetch.next(now), fetch.wrong), (Next::Ask("b".into(), 1), 1));
    fetch.fails(now, Some("b"));
    // Never to the origin of itself.
    assert_eq!(fetch.next(now), Next::Stuck);
    fetch.take_sources(&[]);
    assert_eq!(fetch.next(now), Next::Origin(1));
    assert!(fetch.came(now, None, 1, &1u32.to_le_bytes()));
    assert!(fetch.came(now, None, 2, &2u32.to_le_bytes()));
    assert_eq!(fetch.next(now), Next::Whole);
}

fn seen(n: usize, at: u64) -> (MachineId, Seen) {
    let id = MachineId::new(format!("vm-{n:06}"));
    let seen = Seen {
        pool: pool("a"),
        at: Ms(at),
        endpoint: Some(id.to_string()),
        images: BTreeMap::new(),
        fetching: BTreeSet::new(),
        stuck: false,
        source: None,
        serves: 0,
        leaving: false,
    };
    (id, seen)
}

/// A new version comes while the old one serves and no cache holds both: at no time have more than half
/// of its machines begun to give it up.
#[test]
fn what_serves_does_not_fall_under_half() {
    let (old, new) = (ImageId::new("m1"), ImageId::new("m2"));
    let settings = settings(100.0, true);
    let pools = BTreeSet::from([pool("a")]);
    let spreads = BTreeMap::new();
    let mut origin = OriginRecord::default();
    let mut distributor = ImageDistributor::default();
    let mut began = BTreeSet::new();
    for round in 1..20u64 {
        let machines: BTreeMap<MachineId, Seen> = (0..10)
            .map(|n| {
                let (id, mut m) = seen(n, round * 1000);
                let has = if began.contains(&id) { &new } else { &old };
                m.images.insert(has.clone(), 1.0);
                (id, m)
            })
            .collect();
        let wants = (0..10)
            .map(|n| Want { image: new.clone(), pushes_out: Some(old.clone()), ..want(n, "a", 1) })
            .collect();
        let view = View {
            now: Ms(round * 1000 + 500),
            wall_ms: 0,
            value_bytes: 16_384,
            settings: &settings,
            origin: &origin,
            spreads: &spreads,
            wants,
            pools: &pools,
            seen: machines,
            in_use: BTreeMap::from([(old.clone(), 10)]),
            gone: &|_| false,
            endpoints: &|_| None,
        };
        let (record, come) = distributor.pass(&view);
        origin = record.unwrap_or(origin);
        for machine in come {
            if !matches!(distributor.turn(&machine, &new), None | Some(Turn::Here)) {
                began.insert(machine);
            }
        }
        assert!(began.len() <= 5, "round {round}: {began:?}");
    }
    assert_eq!(began.len(), 5, "half of them move over");
}

/// A seat is kept until its fetch is proven over: not while nothing is heard under our token, nor while an
/// order may be on its way; then it is given back.
#[test]
fn a_slot_is_given_back_on_proof_alone() {
    let settings = settings(1.25, false);
    let pools = BTreeSet::from([pool("a")]);
    let spreads = BTreeMap::new();
    let w = want(1, "a", 1);
    let slot = Slot { pool: pool("a"), image: w.image.clone(), since_ms: 0, mb_per_s: 1250 };
    let origin = OriginRecord { slots: BTreeMap::from([(w.machine.clone(), slot)]) };
    let mut distributor = ImageDistributor::default();
    let mut pass = |now: u64, machine: Option<Seen>, gone: bool, ordered: bool| {
        if ordered {
            distributor.ordered(&want(1, "a", 1).machine, Ms(now));
        }
        let seen = machine.map(|m| (want(1, "a", 1).machine, m)).into_iter().collect();
        let view = View {
            now: Ms(now),
            wall_ms: 0,
            value_bytes: 16_384,
            settings: &settings,
            origin: &origin,
            spreads: &spreads,
            wants: vec![],
            pools: &pools,
            seen,
            in_use: BTreeMap::new(),
            gone: &|_| gone,
            endpoints: &|_| None,
        };
        distributor.pass(&view).0.is_some()
    };
    assert!(!pass(1000, None, false, false), "not heard of");
    let mut fetching = seen(1, 2000).1;
    fetching.fetching.insert(ImageId::new("m"));
    assert!(!pass(2100, Some(fetching), false, false), "it fetches");
    assert!(!pass(3100, Some(seen(1, 3000).1), false, true), "told after its report");
    assert!(pass(4100, Some(seen(1, 4000).1), false, false), "a newer report does not show it");
    assert!(pass(5000, None, true, false), "gone");
}

#[test]
fn the_smallest_record_names_all_holders_of_a_pool_of_4500_machines() {
    let holders: BTreeSet<MachineId> =
        (0..4_500).map(|n| MachineId::new(format!("vm-{n:06}"))).collect();
    let smallest_value = 8 * 1024;
    let mut spread = ImageHoldersRecord::default();
    spread.set(&pool("a"), &holders, smallest_value);
    assert!(spread.bytes() <= smallest_value, "{} bytes", spread.bytes());
    assert_eq!(spread.in_zone(&ZoneId::new("a")), holders);
    let stored = serde_json::to_vec(&spread).unwrap();
    let read: ImageHoldersRecord = serde_json::from_slice(&stored).unwrap();
    assert_eq!(read.in_zone(&ZoneId::new("a")), holders);
}

#[test]
fn each_of_4500_machines_gets_its_slot_in_turn_within_the_smallest_record() {
    let settings = settings(100_000.0, false);
    let smallest_value = 8 * 1024;
    let mut wants: Vec<Want> =
        (0..4_500).map(|n| Want { mb_per_s: 1, ..want(n, "a", 2) }).collect();
    let mut rounds = 0;
    while !wants.is_empty() {
        let given = assign_slots(
            &settings,
            &OriginRecord::default(),
            &wants,
            |_, _| (0, 0),
            smallest_value,
            u64::MAX,
        );
        assert!(!given.is_empty(), "{} machines wait for ever", wants.len());
        wants.retain(|w| !given.contains_key(&w.machine));
        let bytes = serde_json::to_vec(&OriginRecord { slots: given }).unwrap().len();
        assert!(bytes <= smallest_value, "{bytes} bytes");
        rounds += 1;
    }
    assert!(rounds <= 4_500 / 50, "{rounds} rounds");
}
