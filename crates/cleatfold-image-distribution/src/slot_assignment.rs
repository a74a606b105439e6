//! Assigns the free slots at the origin.

use crate::{OriginRecord, Settings, Slot};
use cleatfold_wire::{ImageId, MachineId, PoolId, ZoneId};
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of copies of an image that a zone fetches from the origin if peers upload it.
pub const MAX_COPIES_PER_ZONE: usize = 3;
/// Number of waiting machines per existing copy that justifies another copy from the origin.
pub const MACHINES_PER_COPY: usize = 16;

/// A machine with a claim whose image it does not have yet.
#[derive(Clone, Debug, PartialEq)]
pub struct FetchRequest {
    /// The machine that waits.
    pub machine: MachineId,
    /// Its pool.
    pub pool: PoolId,
    /// The image that it waits for.
    pub image: ImageId,
    /// Numeric urgency; 0 is the highest.
    pub urgency: u8,
    /// The task belongs to a gang, whose other members wait for it.
    pub gang: bool,
    /// The revision that accepted its job: the job's place in the queue.
    pub accepted_revision: u64,
    /// Origin bandwidth that its fetch needs, in MB per second.
    pub mb_per_s: u32,
    /// Whether its worker supports fetching from peers.
    pub supports_peer_fetch: bool,
    /// Its fetch began but all its sources failed; other machines may be fetching from it.
    pub stuck: bool,
    /// An image in use that has to be evicted to make room for this one.
    pub evicted_image: Option<ImageId>,
}

/// Sort key of requests, both across machines and within one. A machine fetches one image at a time, the
/// most urgent first, because parallel fetches would share its bandwidth.
pub fn service_order(request: &FetchRequest) -> (u8, bool, bool, u64, &MachineId) {
    (request.urgency, !request.stuck, !request.gang, request.accepted_revision, &request.machine)
}

/// Assigns the remaining origin bandwidth. `copies` returns the number of copies that a zone has in addition
/// to the slots in `origin`, and the number of machines that fetch from them.
pub fn assign_slots(
    settings: &Settings,
    origin: &OriginRecord,
    requests: &[FetchRequest],
    copies: impl Fn(&ImageId, &ZoneId) -> (usize, usize),
    value_bytes: usize,
    wall_ms: u64,
) -> BTreeMap<MachineId, Slot> {
    let mut assigned = BTreeMap::new();
    let mut origin = origin.clone();
    let mut pending: Vec<&FetchRequest> = requests.iter().collect();
    pending.retain(|w| !origin.slots.contains_key(&w.machine));
    pending.sort_by_key(|w| service_order(w));
    // One request per machine at a time.
    let mut machines = BTreeSet::new();
    pending.retain(|w| machines.insert(&w.machine));
    let mut zones: BTreeMap<(&ImageId, &ZoneId), (usize, usize)> = BTreeMap::new();
    for request in pending.iter().filter(|w| w.supports_peer_fetch) {
        let zone = (&request.image, &request.pool.zone);
        zones.entry(zone).or_insert_with(|| {
            let slots = origin.machines_fetching(zone.0, zone.1).count();
            let (copies_present, peer_fetches) = copies(zone.0, zone.1);
            (copies_present + slots, peer_fetches)
        });
        zones.entry(zone).and_modify(|z| z.1 += 1);
    }
    loop {
        let priority = |request: &FetchRequest| -> Option<(u8, usize)> {
            if !origin.has_capacity(settings, request.mb_per_s, value_bytes) {
                return None;
            }
            if !settings.hand_on || !request.supports_peer_fetch {
                return Some((request.urgency, 0));
            }
            let zone = (&request.image, &request.pool.zone);
            let (copies_present, waiting) = zones.get(&zone).copied().unwrap_or_default();
            if request.stuck {
                // One slot per zone is enough: the other stuck machines then fetch from this one.
                let is_first_in_zone = origin.machines_fetching(zone.0, zone.1).next().is_none();
                return is_first_in_zone.then_some((request.urgency, 0));
            }
            let needed_copies = waiting.div_ceil(MACHINES_PER_COPY).clamp(1, MAX_COPIES_PER_ZONE);
            (copies_present < needed_copies).then_some((request.urgency, copies_present))
        };
        // By urgency, then by the number of copies in the zone, then by service order.
        let best = pending.iter().enumerate().filter_map(|(i, w)| Some((priority(w)?, i))).min();
        let Some((_, i)) = best else { break };
        let request = pending.remove(i);
        zones.entry((&request.image, &request.pool.zone)).and_modify(|z| z.0 += 1);
        let slot = Slot {
            pool: request.pool.clone(),
            image: request.image.clone(),
            since_ms: wall_ms,
            mb_per_s: request.mb_per_s,
        };
        origin.slots.insert(request.machine.clone(), slot.clone());
        assigned.insert(request.machine.clone(), slot);
    }
    assigned
}
