//! Slot assignment against a simple model, records at their size limit, corrupt pieces, and image caches that
//! hold only one version.

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

fn want(n: usize, zone: &str, urgency: u8) -> FetchRequest {
    FetchRequest {
        machine: MachineId::new(format!("vm-{n:06}")),
        pool: pool(zone),
        image: ImageId::new("m"),
        urgency,
        gang: false,
        accepted_revision: n as u64,
        mb_per_s: 1250,
        supports_peer_fetch: true,
        stuck: false,
        evicted_image: None,
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, ..ProptestConfig::default() })]

    /// For arbitrary requests the slots stay within the origin's bandwidth, each machine has at most one, and
    /// no request waits while there is capacity for it.
    #[test]
    fn assigned_slots_stay_within_origin_bandwidth(
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
        // Each machine is in one zone and either supports peer fetches or does not.
        let mut known = BTreeSet::new();
        let wants: Vec<FetchRequest> = wants
            .into_iter()
            .filter(|w| known.insert(w.0))
            .map(|(n, zone, urgency, rate, supports_peer_fetch, gang)| FetchRequest {
                mb_per_s: settings.slot_mb_per_s(f64::from(rate) / 1000.0),
                supports_peer_fetch,
                gang,
                ..want(n, ["a", "b", "c"][zone], urgency)
            })
            .collect();
        let given = assign_slots(&settings, &record, &wants, |_, _| (0, 0), 16_384, 7);
        let mut after = record.clone();
        after.slots.extend(given.clone());
        prop_assert!(after.used_mb_per_s() <= settings.origin_mb_per_s());
        prop_assert_eq!(after.slots.len(), record.slots.len() + given.len());
        // Model for workers without peer fetch: a request waits only if there is no capacity left.
        let mut first = BTreeSet::new();
        let mut sorted: Vec<&FetchRequest> = wants.iter().collect();
        sorted.sort_by_key(|w| service_order(w));
        for w in sorted.into_iter().filter(|w| first.insert(w.machine.clone())) {
            if !given.contains_key(&w.machine) && (!w.supports_peer_fetch || !hand_on) {
                prop_assert!(!after.has_capacity(&settings, w.mb_per_s, 16_384), "{w:?} waits despite free capacity");
            }
        }
        if hand_on {
            for zone in ["a", "b", "c"] {
                let supports_peer_fetch: BTreeSet<&MachineId> =
                    wants.iter().filter(|w| w.supports_peer_fetch).map(|w| &w.machine).collect();
                let new = given.iter().filter(|(m, s)| s.pool.zone.as_str() == zone && supports_peer_fetch.contains(m));
                prop_assert!(new.count() <= MAX_COPIES_PER_ZONE + wants.len() / 60, "copies of {zone}");
            }
        }
    }

    #[test]
    fn packed_names_round_trip(names in prop::collection::btree_set("(vm-[0-9]{6}|node[0-9]{0,4}|[a-z]{1,5})", 0..80)) {
        let names: BTreeSet<MachineId> = names.into_iter().map(MachineId::new).collect();
        let text = serde_json::to_string(&PackedMachineNames::pack(&names)).unwrap();
        let read: PackedMachineNames = serde_json::from_str(&text).unwrap();
        prop_assert_eq!(read.unpack(), names);
    }
}

#[test]
fn slots_prefer_urgent_requests_then_zones_without_copy() {
    let settings = settings(3.75, true);
    let mut wants: Vec<FetchRequest> = (0..40).map(|n| want(n, "a", 2)).collect();
    wants.push(want(90, "b", 2));
    wants.push(want(91, "c", 0));
    let given = assign_slots(&settings, &OriginRecord::default(), &wants, |_, _| (0, 0), 16_384, 0);
    let zones: Vec<&str> = given.values().map(|s| s.pool.zone.as_str()).collect();
    assert_eq!(zones, ["a", "b", "c"]);
    let one = self::settings(1.25, true);
    let given = assign_slots(&one, &OriginRecord::default(), &wants, |_, _| (0, 0), 16_384, 0);
    assert!(given.contains_key(&MachineId::new("vm-000091")), "{given:?}");
    // With a copy in the zone, a few waiting machines get no slot.
    let few = [want(1, "a", 2), want(2, "a", 2)];
    assert!(assign_slots(&settings, &OriginRecord::default(), &few, |_, _| (1, 0), 16_384, 0)
        .is_empty());
}

#[test]
fn records_stay_within_size_limit() {
    let settings = settings(100_000.0, false);
    let wants: Vec<FetchRequest> =
        (0..2000).map(|n| FetchRequest { mb_per_s: 1, ..want(n, "a", 2) }).collect();
    let given =
        assign_slots(&settings, &OriginRecord::default(), &wants, |_, _| (0, 0), 16_384, u64::MAX);
    let record = OriginRecord { slots: given };
    assert!(record.slots.len() > 50);
    assert!(serde_json::to_vec(&record).unwrap().len() <= 16_384);
    // 1500 numbered machines take a few kilobytes; names that cannot be packed are truncated.
    let packed: BTreeSet<MachineId> =
        (0..1500).map(|n| MachineId::new(format!("vm-{:06}", n * 37))).collect();
    let mut holders_record = ImageHoldersRecord::default();
    holders_record.set_pool_holders(&pool("a"), &packed, 16_384);
    assert_eq!(holders_record.holders_in_zone(&ZoneId::new("a")), packed);
    let odd: BTreeSet<MachineId> =
        (0..1500).map(|n| MachineId::new(format!("machine-{n}-of-a-rack"))).collect();
    holders_record.set_pool_holders(&pool("b"), &odd, 16_384);
    assert!(holders_record.encoded_len() <= 16_384);
    assert!((1..100).contains(&holders_record.holders_in_zone(&ZoneId::new("b")).len()));
    assert_eq!(holders_record.holders_in_zone(&ZoneId::new("a")), packed);
}

#[test]
fn corrupt_piece_switches_source_until_fetch_is_stuck() {
    let digests = (0..3u32).map(|n| piece_digest(n, &n.to_le_bytes())).collect();
    let manifest = ImageManifest { image: ImageId::new("m"), digests };
    let sources = ["a".to_string(), "b".to_string()];
    let mut fetch = Fetch::new(manifest, &sources);
    let now = Ms(1000);
    assert_eq!(fetch.next(now), FetchStep::Peer("a".into(), 0));
    assert!(fetch.receive_piece(now, Some("a"), 0, &0u32.to_le_bytes()));
    // The bytes of another piece are rejected.
    assert!(!fetch.receive_piece(now, Some("a"), 1, &0u32.to_le_bytes()));
    assert_eq!((fetch.next(now), fetch.corrupt_pieces), (FetchStep::Peer("b".into(), 1), 1));
    fetch.mark_failed(now, Some("b"));
    // It does not fall back to the origin by itself.
    assert_eq!(fetch.next(now), FetchStep::Stuck);
    fetch.set_sources(&[]);
    assert_eq!(fetch.next(now), FetchStep::Origin(1));
    assert!(fetch.receive_piece(now, None, 1, &1u32.to_le_bytes()));
    assert!(fetch.receive_piece(now, None, 2, &2u32.to_le_bytes()));
    assert_eq!(fetch.next(now), FetchStep::Complete);
}

fn seen(n: usize, at: u64) -> (MachineId, ObservedMachine) {
    let id = MachineId::new(format!("vm-{n:06}"));
    let seen = ObservedMachine {
        pool: pool("a"),
        received_at: Ms(at),
        endpoint: Some(id.to_string()),
        images: BTreeMap::new(),
        fetching: BTreeSet::new(),
        stuck: false,
        source: None,
        active_uploads: 0,
        leaving: false,
    };
    (id, seen)
}

/// While the old version is in use and no cache holds both, at most half of the machines may evict it for
/// the new version.
#[test]
fn new_version_replaces_at_most_half_of_copies_in_use() {
    let (old, new) = (ImageId::new("m1"), ImageId::new("m2"));
    let settings = settings(100.0, true);
    let pools = BTreeSet::from([pool("a")]);
    let image_holders = BTreeMap::new();
    let mut origin = OriginRecord::default();
    let mut distributor = ImageDistributor::default();
    let mut began = BTreeSet::new();
    for round in 1..20u64 {
        let machines: BTreeMap<MachineId, ObservedMachine> = (0..10)
            .map(|n| {
                let (id, mut m) = seen(n, round * 1000);
                let has = if began.contains(&id) { &new } else { &old };
                m.images.insert(has.clone(), 1.0);
                (id, m)
            })
            .collect();
        let wants = (0..10)
            .map(|n| FetchRequest {
                image: new.clone(),
                evicted_image: Some(old.clone()),
                ..want(n, "a", 1)
            })
            .collect();
        let view = DistributionInput {
            now: Ms(round * 1000 + 500),
            wall_ms: 0,
            value_bytes: 16_384,
            settings: &settings,
            origin: &origin,
            image_holders: &image_holders,
            requests: wants,
            pools: &pools,
            machines,
            in_use: BTreeMap::from([(old.clone(), 10)]),
            cannot_be_fetching: &|_| false,
            peer_endpoint: &|_| None,
        };
        let (record, come) = distributor.update(&view);
        origin = record.unwrap_or(origin);
        for machine in come {
            if !matches!(
                distributor.fetch_source(&machine, &new),
                None | Some(FetchSource::Present)
            ) {
                began.insert(machine);
            }
        }
        assert!(began.len() <= 5, "round {round}: {began:?}");
    }
    assert_eq!(began.len(), 5, "half of them switch");
}

/// A slot is kept until its fetch has provably ended: as long as no report arrived under the owner's token, or
/// a command may be in flight, it must not be released.
#[test]
fn slot_is_released_only_after_fetch_has_ended() {
    let settings = settings(1.25, false);
    let pools = BTreeSet::from([pool("a")]);
    let image_holders = BTreeMap::new();
    let w = want(1, "a", 1);
    let slot = Slot { pool: pool("a"), image: w.image.clone(), since_ms: 0, mb_per_s: 1250 };
    let origin = OriginRecord { slots: BTreeMap::from([(w.machine.clone(), slot)]) };
    let mut distributor = ImageDistributor::default();
    let mut pass = |now: u64, machine: Option<ObservedMachine>, gone: bool, ordered: bool| {
        if ordered {
            distributor.record_command(&want(1, "a", 1).machine, Ms(now));
        }
        let seen = machine.map(|m| (want(1, "a", 1).machine, m)).into_iter().collect();
        let view = DistributionInput {
            now: Ms(now),
            wall_ms: 0,
            value_bytes: 16_384,
            settings: &settings,
            origin: &origin,
            image_holders: &image_holders,
            requests: vec![],
            pools: &pools,
            machines: seen,
            in_use: BTreeMap::new(),
            cannot_be_fetching: &|_| gone,
            peer_endpoint: &|_| None,
        };
        distributor.update(&view).0.is_some()
    };
    assert!(!pass(1000, None, false, false), "no report");
    let mut fetching = seen(1, 2000).1;
    fetching.fetching.insert(ImageId::new("m"));
    assert!(!pass(2100, Some(fetching), false, false), "fetching");
    assert!(!pass(3100, Some(seen(1, 3000).1), false, true), "commanded after its report");
    assert!(pass(4100, Some(seen(1, 4000).1), false, false), "a newer report does not show it");
    assert!(pass(5000, None, true, false), "deleted");
}

#[test]
fn smallest_record_holds_all_holders_of_4500_machine_pool() {
    let holders: BTreeSet<MachineId> =
        (0..4_500).map(|n| MachineId::new(format!("vm-{n:06}"))).collect();
    let smallest_value = 8 * 1024;
    let mut holders_record = ImageHoldersRecord::default();
    holders_record.set_pool_holders(&pool("a"), &holders, smallest_value);
    assert!(
        holders_record.encoded_len() <= smallest_value,
        "{} bytes",
        holders_record.encoded_len()
    );
    assert_eq!(holders_record.holders_in_zone(&ZoneId::new("a")), holders);
    let stored = serde_json::to_vec(&holders_record).unwrap();
    let read: ImageHoldersRecord = serde_json::from_slice(&stored).unwrap();
    assert_eq!(read.holders_in_zone(&ZoneId::new("a")), holders);
}

#[test]
fn smallest_record_serves_4500_machines_in_rounds() {
    let settings = settings(100_000.0, false);
    let smallest_value = 8 * 1024;
    let mut wants: Vec<FetchRequest> =
        (0..4_500).map(|n| FetchRequest { mb_per_s: 1, ..want(n, "a", 2) }).collect();
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
        assert!(!given.is_empty(), "no slot for {} waiting machines", wants.len());
        wants.retain(|w| !given.contains_key(&w.machine));
        let bytes = serde_json::to_vec(&OriginRecord { slots: given }).unwrap().len();
        assert!(bytes <= smallest_value, "{bytes} bytes");
        rounds += 1;
    }
    assert!(rounds <= 4_500 / 50, "{rounds} rounds");
}
