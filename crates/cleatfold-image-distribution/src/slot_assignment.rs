//! Who is given the free slots at the origin.

use crate::{OriginRecord, Settings, Slot};
use cleatfold_wire::{ImageId, MachineId, PoolId, ZoneId};
use std::collections::{BTreeMap, BTreeSet};

/// Copies of an image that a zone takes from the origin, at most, where machines hand it on.
pub const COPIES: usize = 3;
/// A further copy is worth its way when so many wait for each that there is.
pub const LINE: usize = 16;

/// A machine with a claim that waits for an image that is not there.
#[derive(Clone, Debug, PartialEq)]
pub struct Want {
    /// The machine that waits.
    pub machine: MachineId,
    /// Its pool.
    pub pool: PoolId,
    /// What it waits for.
    pub image: ImageId,
    /// By urgency; the first urgency is 0.
    pub urgency: u8,
    /// The others of a gang wait for it, by the clock.
    pub gang: bool,
    /// Its job's place in the queue.
    pub place: u64,
    /// What its fetch takes of the origin, in MB per second.
    pub mb_per_s: u32,
    /// It can be told to fetch from other machines.
    pub supports_peer_fetch: bool,
    /// It began, and its sources are gone: others wait behind it.
    pub stuck: bool,
    /// An image in use that it can't keep beside this one.
    pub pushes_out: Option<ImageId>,
}

/// The order in which a machine is served, and machines are: one image at a time on a machine, the
/// urgent one first, for side by side they would share its rate.
pub fn order(want: &Want) -> (u8, bool, bool, u64, &MachineId) {
    (want.urgency, !want.stuck, !want.gang, want.place, &want.machine)
}

/// Gives out what room there is. `copies` says how many copies a zone has besides the slots
/// in `origin`, and how many machines stand in line behind them.
pub fn assign_slots(
    settings: &Settings,
    origin: &OriginRecord,
    wants: &[Want],
    copies: impl Fn(&ImageId, &ZoneId) -> (usize, usize),
    value_bytes: usize,
    wall_ms: u64,
) -> BTreeMap<MachineId, Slot> {
    let mut given = BTreeMap::new();
    let mut origin = origin.clone();
    let mut left: Vec<&Want> = wants.iter().collect();
    left.retain(|w| !origin.slots.contains_key(&w.machine));
    left.sort_by_key(|w| order(w));
    // A machine has one turn at a time.
    let mut seen = BTreeSet::new();
    left.retain(|w| seen.insert(&w.machine));
    let mut zones: BTreeMap<(&ImageId, &ZoneId), (usize, usize)> = BTreeMap::new();
    for want in left.iter().filter(|w| w.supports_peer_fetch) {
        let zone = (&want.image, &want.pool.zone);
        zones.entry(zone).or_insert_with(|| {
            let slots = origin.in_zone(zone.0, zone.1).count();
            let (there, in_line) = copies(zone.0, zone.1);
            (there + slots, in_line)
        });
        zones.entry(zone).and_modify(|z| z.1 += 1);
    }
    loop {
        let now = |want: &Want| -> Option<(u8, usize)> {
            if !origin.has_capacity(settings, want.mb_per_s, value_bytes) {
                return None;
            }
            if !settings.hand_on || !want.supports_peer_fetch {
                return Some((want.urgency, 0));
            }
            let zone = (&want.image, &want.pool.zone);
            let (there, waiting) = zones.get(&zone).copied().unwrap_or_default();
            if want.stuck {
                // One of a zone: the others go on behind it.
                let first = origin.in_zone(zone.0, zone.1).next().is_none();
                return first.then_some((want.urgency, 0));
            }
            let worth = waiting.div_ceil(LINE).clamp(1, COPIES);
            (there < worth).then_some((want.urgency, there))
        };
        // Urgent first; then the zone with the fewest copies; then by place.
        let best = left.iter().enumerate().filter_map(|(i, w)| Some((now(w)?, i))).min();
        let Some((_, i)) = best else { break };
        let want = left.remove(i);
        zones.entry((&want.image, &want.pool.zone)).and_modify(|z| z.0 += 1);
        let slot = Slot {
            pool: want.pool.clone(),
            image: want.image.clone(),
            since_ms: wall_ms,
            mb_per_s: want.mb_per_s,
        };
        origin.slots.insert(want.machine.clone(), slot.clone());
        given.insert(want.machine.clone(), slot);
    }
    given
}
