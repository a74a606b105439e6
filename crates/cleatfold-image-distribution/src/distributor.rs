//! Distributes images to the machines of one controller's pools: decides which machine may fetch now, from
//! which source, and how the origin record changes. All state in memory is a hint: a new pool owner starts
//! without it and continues from the records and the workers' first reports.

use crate::{
    assign_slots, service_order, FetchRequest, ImageHoldersRecord, OriginRecord, Settings,
    MACHINES_PER_COPY, MAX_COPIES_PER_ZONE,
};
use cleatfold_wire::{ImageId, MachineId, Ms, PoolId, ZoneId};
use std::collections::{BTreeMap, BTreeSet};

/// A machine of an owned pool, as described by a report that carries this owner's token.
#[derive(Clone, Debug, PartialEq)]
pub struct ObservedMachine {
    /// The machine's pool.
    pub pool: PoolId,
    /// When its newest report was received.
    pub received_at: Ms,
    /// Where peers can fetch from it; `None` if its worker does not support fetching from peers.
    pub endpoint: Option<String>,
    /// The received fraction of each image, from 0 to 1.
    pub images: BTreeMap<ImageId, f64>,
    /// Large images that its tasks wait for.
    pub fetching: BTreeSet<ImageId>,
    /// All its sources failed.
    pub stuck: bool,
    /// The source that it reports to fetch from.
    pub source: Option<String>,
    /// Number of machines that it uploads to.
    pub active_uploads: u32,
    /// It is being removed or does not receive commands. It is assigned no fetch and is no source.
    pub leaving: bool,
}

impl ObservedMachine {
    /// Whether the machine holds the complete image.
    pub fn has(&self, image: &ImageId) -> bool {
        self.images.get(image).is_some_and(|fraction| *fraction >= 1.0)
    }
}

/// Input of one update. Requests cover all pools, machines only the owned pools.
pub struct DistributionInput<'a> {
    /// Monotonic time.
    pub now: Ms,
    /// Time of day in milliseconds.
    pub wall_ms: u64,
    /// Maximum length of a record in bytes.
    pub value_bytes: usize,
    /// The operators' settings.
    pub settings: &'a Settings,
    /// The stored record of fetches from the origin.
    pub origin: &'a OriginRecord,
    /// The stored holders of each image.
    pub image_holders: &'a BTreeMap<ImageId, ImageHoldersRecord>,
    /// Machines that wait for images.
    pub requests: Vec<FetchRequest>,
    /// The owned pools.
    pub pools: &'a BTreeSet<PoolId>,
    /// Machines of owned pools by their newest report.
    pub machines: BTreeMap<MachineId, ObservedMachine>,
    /// Number of machines on which tasks of an image have claims.
    pub in_use: BTreeMap<ImageId, usize>,
    /// Whether a machine is deleted or its lease has provably expired, so that it fetches nothing.
    pub cannot_be_fetching: &'a dyn Fn(&MachineId) -> bool,
    /// The known endpoint of a machine in a pool of another controller.
    pub peer_endpoint: &'a dyn Fn(&MachineId) -> Option<String>,
}

/// Where the machine of a waiting claim may fetch the image from.
#[derive(Clone, Debug, PartialEq)]
pub enum FetchSource {
    /// The machine already has the image.
    Present,
    /// From the origin; its slot is durable.
    Origin,
    /// From these peers, in order of preference.
    Peers(Vec<String>),
}

/// A machine's fetch from peers, the first of them preferred.
#[derive(Clone, Debug)]
struct Link {
    image: ImageId,
    from: Vec<MachineId>,
}

/// Free slots that another controller's machines have not taken for this long, although they come first in
/// the order, are assigned to the machines behind them: their pool's owner may have failed, or they need no slot.
const SLOT_CLAIM_TIMEOUT_MS: u64 = 3000;
/// Time for which a source that left a machine stuck is not preferred.
const SUSPECT_SOURCE_MS: u64 = 60_000;
/// Lead in fraction of an image that proves that a machine does not fetch, even indirectly, from a machine
/// with less.
const MIN_LEAD: f64 = 0.01;
/// Maximum number of sources sent to a machine.
const MAX_SOURCES: usize = 3;

/// The peer fetches of the machines of owned pools, and which machines may fetch now.
#[derive(Debug, Default)]
pub struct ImageDistributor {
    /// Peer fetches by fetching machine.
    links: BTreeMap<MachineId, Link>,
    /// When each machine was last commanded to fetch, until a newer report arrives.
    last_command_at: BTreeMap<MachineId, Ms>,
    /// Sources that left a machine stuck, and when.
    suspects: BTreeMap<MachineId, Ms>,
    /// Machines that have to be sent new sources.
    reassigned: BTreeSet<MachineId>,
    /// The last seen origin record and when it was first seen.
    origin_unchanged_since: Option<(Ms, OriginRecord)>,
    /// Permitted sources by machine and awaited image.
    fetch_sources: BTreeMap<(MachineId, ImageId), FetchSource>,
    /// Preferred sources of current peer fetches.
    uploading: BTreeSet<MachineId>,
}

/// A possible source.
struct Peer {
    id: MachineId,
    fraction: f64,
    sink_count: u32,
    /// Whether it is receiving the missing pieces.
    is_fetching: bool,
}

impl ImageDistributor {
    /// Where a machine may fetch an image from; `None`: it has to wait.
    pub fn fetch_source(&self, machine: &MachineId, image: &ImageId) -> Option<&FetchSource> {
        self.fetch_sources.get(&(machine.clone(), image.clone()))
    }

    /// Records that a machine was commanded to fetch. A report received later shows the fetch, unless the
    /// command was lost.
    pub fn record_command(&mut self, machine: &MachineId, now: Ms) {
        self.last_command_at.insert(machine.clone(), now);
        self.reassigned.remove(machine);
    }

    /// Whether the machine has to be sent new sources.
    pub fn needs_new_sources(&self, machine: &MachineId) -> bool {
        self.reassigned.contains(machine)
    }

    /// Whether other machines fetch from this one.
    pub fn is_uploading(&self, machine: &MachineId) -> bool {
        self.uploading.contains(machine)
    }

    /// Recomputes all assignments. Returns the new origin record, if it changes, and the machines that were
    /// permitted to fetch by this update.
    pub fn update(&mut self, input: &DistributionInput) -> (Option<OriginRecord>, Vec<MachineId>) {
        let now = input.now;
        self.suspects.retain(|_, at| now.since(*at) < SUSPECT_SOURCE_MS);
        let mut requests: Vec<&FetchRequest> = input.requests.iter().collect();
        requests.sort_by_key(|w| service_order(w));
        let finished = self.finished_slots(input);
        self.remove_finished_links(input, &requests);
        self.learn_reported_links(input);
        let has_begun = |m: &MachineId| {
            self.links.contains_key(m)
                || input.origin.slots.contains_key(m)
                || input.machines.get(m).is_some_and(|s| !s.fetching.is_empty())
        };
        let next = next_images(input, &requests, has_begun);
        self.assign_links(input, &next);
        self.rebalance_links(input);
        let fetch_sources = self.assign_sources(input, &requests, &finished);
        let is_new = |(key, source): &(&(MachineId, ImageId), &FetchSource)| {
            self.fetch_sources.get(*key) != Some(*source)
        };
        let mut newly_permitted: Vec<MachineId> =
            fetch_sources.iter().filter(is_new).map(|(k, _)| k.0.clone()).collect();
        newly_permitted.dedup();
        self.fetch_sources = fetch_sources;
        self.uploading = self.links.values().filter_map(|l| l.from.first().cloned()).collect();
        (self.updated_origin(input, &next, &finished), newly_permitted)
    }

    /// Slots of owned pools whose fetch has provably ended or never began.
    fn finished_slots(&self, input: &DistributionInput) -> BTreeSet<MachineId> {
        let owned = input.origin.slots.iter().filter(|(_, s)| input.pools.contains(&s.pool));
        let finished = owned.filter(|(machine, slot)| {
            if (input.cannot_be_fetching)(machine) {
                return true;
            }
            // No report under this owner's token: it may be fetching on a command of a former owner.
            let Some(observed) = input.machines.get(*machine) else { return false };
            let commanded_since =
                self.last_command_at.get(*machine).is_some_and(|at| *at >= observed.received_at);
            let is_wanted = || {
                let same = |w: &&FetchRequest| w.machine == **machine && w.image == slot.image;
                input.requests.iter().any(|w| same(&w))
            };
            observed.has(&slot.image)
                || !(commanded_since
                    || observed.fetching.contains(&slot.image)
                    || (!observed.leaving && is_wanted()))
        });
        finished.map(|(machine, _)| machine.clone()).collect()
    }

    fn remove_finished_links(&mut self, input: &DistributionInput, requests: &[&FetchRequest]) {
        let waiting: BTreeSet<(&MachineId, &ImageId)> =
            requests.iter().map(|w| (&w.machine, &w.image)).collect();
        let mut suspects = Vec::new();
        let last_command_at = &self.last_command_at;
        self.links.retain(|sink, link| {
            let Some(observed) = input.machines.get(sink) else { return false };
            let commanded_since =
                last_command_at.get(sink).is_some_and(|at| *at >= observed.received_at);
            if observed.stuck && !commanded_since && !observed.has(&link.image) {
                suspects.extend(link.from.first().cloned());
                return false;
            }
            let is_waiting =
                observed.fetching.contains(&link.image) || waiting.contains(&(sink, &link.image));
            let has_slot = input.origin.slots.contains_key(sink);
            let has_source = link.from.first().is_some_and(|s| !(input.cannot_be_fetching)(s));
            (is_waiting || commanded_since) && has_source && !has_slot && !observed.has(&link.image)
        });
        for machine in suspects {
            self.suspects.insert(machine, input.now);
        }
        let machines = &input.machines;
        self.last_command_at.retain(|m, at| machines.get(m).is_some_and(|s| *at >= s.received_at));
    }

    /// Learns from reports which source each machine uses: it may have switched to another of its sources, or
    /// this controller may be a new owner. Without this, a new owner assigned second machines to sources that
    /// already uploaded to one, which halved the rate of whole chains.
    fn learn_reported_links(&mut self, input: &DistributionInput) {
        let machine_by_endpoint: BTreeMap<&String, &MachineId> =
            input.machines.iter().filter_map(|(m, s)| Some((s.endpoint.as_ref()?, m))).collect();
        for (sink, observed) in &input.machines {
            let commanded_since = self.last_command_at.contains_key(sink);
            let source = observed.source.as_ref().and_then(|s| machine_by_endpoint.get(s)).copied();
            let (Some(source), false) = (source, commanded_since) else { continue };
            let Some(image) = observed.fetching.iter().find(|i| !observed.has(i)) else { continue };
            let link = self.links.entry(sink.clone());
            let link = link.or_insert_with(|| Link { image: image.clone(), from: vec![] });
            if link.from.first() != Some(source) && !self.reassigned.contains(sink) {
                // The preferred source failed. Sending it again and again would stall the whole chain
                // behind an unreachable source.
                self.suspects.extend(link.from.first().map(|m| (m.clone(), input.now)));
                link.from.retain(|m| m != source);
                link.from.insert(0, source.clone());
            }
        }
        // A stuck machine that was given a slot has to be told that it may fetch from the origin.
        let slots = &input.origin.slots;
        let stuck = input.machines.iter().filter(|(m, s)| s.stuck && slots.contains_key(*m));
        let stuck = stuck.filter(|(m, _)| !self.last_command_at.contains_key(*m));
        self.reassigned.extend(stuck.map(|(m, _)| m.clone()));
        let links = &self.links;
        self.reassigned.retain(|m| links.contains_key(m) || slots.contains_key(m));
    }

    /// If two machines share a source, moves the one with less data to a machine that has more than it and
    /// does not upload yet, which restores the full rate of the chain.
    fn rebalance_links(&mut self, input: &DistributionInput) {
        let mut sinks_by_source: BTreeMap<MachineId, Vec<MachineId>> = BTreeMap::new();
        for (sink, link) in &self.links {
            if let Some(source) = link.from.first() {
                sinks_by_source.entry(source.clone()).or_default().push(sink.clone());
            }
        }
        let mut zones: BTreeMap<(ImageId, ZoneId), Vec<Peer>> = BTreeMap::new();
        for sinks in sinks_by_source.values().filter(|s| s.len() > 1) {
            let fraction = |m: &MachineId| {
                let image = &self.links[m].image;
                input.machines.get(m).and_then(|s| s.images.get(image)).copied().unwrap_or(0.0)
            };
            let sink = sinks.iter().min_by(|a, b| fraction(a).total_cmp(&fraction(b)));
            let Some((sink, observed)) = sink.and_then(|s| Some((s, input.machines.get(s)?)))
            else {
                continue;
            };
            let has_begun = observed.fetching.contains(&self.links[sink].image);
            if !has_begun
                || self.reassigned.contains(sink)
                || self.last_command_at.contains_key(sink)
            {
                continue;
            }
            let (image, own_fraction) = (self.links[sink].image.clone(), fraction(sink));
            let zone = (image.clone(), observed.pool.zone.clone());
            let peers =
                zones.entry(zone).or_insert_with_key(|z| self.peers_in_zone(input, &z.0, &z.1));
            let idle_peers = peers.iter_mut().filter(|p| {
                let is_ahead = p.fraction > own_fraction + MIN_LEAD;
                p.sink_count == 0 && is_ahead && p.id != *sink && !self.suspects.contains_key(&p.id)
            });
            let Some(peer) = idle_peers.max_by(|a, b| a.fraction.total_cmp(&b.fraction)) else {
                continue;
            };
            peer.sink_count += 1;
            let previous = self.links[sink].from.first().cloned();
            let from = std::iter::once(peer.id.clone()).chain(previous).collect();
            self.links.insert(sink.clone(), Link { image, from });
            self.reassigned.insert(sink.clone());
        }
    }

    /// Assigns sources to waiting machines in zones that have a copy. Each source gets one machine before any
    /// gets two: a chain forwards pieces at full rate, and the rest of `uploads` is reserved for machines
    /// whose source fails.
    fn assign_links(&mut self, input: &DistributionInput, requests: &[&FetchRequest]) {
        if !input.settings.hand_on {
            return;
        }
        let mut peers: BTreeMap<(&ImageId, &ZoneId), Vec<Peer>> = BTreeMap::new();
        for request in
            requests.iter().filter(|w| w.supports_peer_fetch && input.pools.contains(&w.pool))
        {
            let sink = &request.machine;
            let Some(observed) = input.machines.get(sink) else { continue };
            let is_busy = self.links.contains_key(sink)
                || observed.leaving
                || input.origin.slots.contains_key(sink)
                || observed.fetching.iter().any(|i| *i != request.image);
            // Already fetching on a command of a former owner: it continues unless it is stuck.
            let continues = observed.fetching.contains(&request.image) && !observed.stuck;
            if is_busy || continues {
                continue;
            }
            let zone = (&request.image, &request.pool.zone);
            let known =
                peers.entry(zone).or_insert_with(|| self.peers_in_zone(input, zone.0, zone.1));
            let own_fraction = observed.images.get(&request.image).copied().unwrap_or(0.0);
            let Some(first) = self.best_peer(input, known, request, own_fraction) else { continue };
            if !request.stuck && self.needs_another_origin_copy(input, request) {
                continue;
            }
            known[first].sink_count += 1;
            let id = known[first].id.clone();
            let fallback_sources = self.links.get(&id).map(|l| l.from.clone()).unwrap_or_default();
            let complete = known.iter().filter(|p| p.fraction >= 1.0).map(|p| p.id.clone()).take(1);
            let mut from = vec![id];
            for other in fallback_sources.into_iter().chain(complete) {
                if from.len() < MAX_SOURCES && !from.contains(&other) && other != *sink {
                    from.push(other);
                }
            }
            if observed.endpoint.is_some() {
                known.push(Peer {
                    id: sink.clone(),
                    fraction: own_fraction,
                    sink_count: 0,
                    is_fetching: true,
                });
            }
            self.links.insert(sink.clone(), Link { image: request.image.clone(), from });
            if request.stuck {
                self.reassigned.insert(sink.clone());
            }
        }
    }

    /// The best source for `request`, whose machine already has `own_fraction` of the image.
    fn best_peer(
        &self,
        input: &DistributionInput,
        known: &[Peer],
        request: &FetchRequest,
        own_fraction: f64,
    ) -> Option<usize> {
        let is_suspect = |p: &Peer| self.suspects.contains_key(&p.id);
        let is_candidate = |p: &Peer| {
            // A peer with no more than a stuck machine may itself be waiting for that machine.
            let is_ahead = p.fraction >= 1.0
                || (p.is_fetching && (!request.stuck || p.fraction > own_fraction));
            p.id != request.machine
                && p.sink_count < input.settings.uploads
                && is_ahead
                && !(request.stuck && is_suspect(p))
        };
        let preference =
            |p: &Peer| (is_suspect(p), p.sink_count, u64::MAX - (p.fraction * 1e6) as u64);
        let candidates = known.iter().enumerate().filter(|(_, p)| is_candidate(p));
        candidates.min_by_key(|(i, p)| (preference(p), *i)).map(|(i, _)| i)
    }

    /// Machines of a zone that can upload the image.
    fn peers_in_zone(
        &self,
        input: &DistributionInput,
        image: &ImageId,
        zone: &ZoneId,
    ) -> Vec<Peer> {
        let mut sinks: BTreeMap<&MachineId, u32> = BTreeMap::new();
        for source in self.links.values().filter_map(|l| l.from.first()) {
            *sinks.entry(source).or_default() += 1;
        }
        let sink_count_of = |m: &MachineId| sinks.get(m).copied().unwrap_or(0);
        let mut peers = Vec::new();
        for (id, observed) in input.machines.iter().filter(|(_, s)| s.pool.zone == *zone) {
            if observed.endpoint.is_none() || observed.leaving {
                continue;
            }
            let fraction = observed.images.get(image).copied().unwrap_or(0.0);
            let has_slot = input.origin.slots.get(id).is_some_and(|s| s.image == *image);
            let has_link = self.links.get(id).is_some_and(|l| l.image == *image);
            let is_fetching =
                !observed.stuck && (has_slot || has_link || observed.fetching.contains(image));
            if fraction >= 1.0 || is_fetching {
                let sink_count = sink_count_of(id).max(observed.active_uploads);
                peers.push(Peer { id: id.clone(), fraction, sink_count, is_fetching });
            }
        }
        // Machines in pools of other controllers, as listed in the holders record.
        let record = input.image_holders.get(image).into_iter();
        let named = record.flat_map(|r| &r.holders);
        for (_, names) in named.filter(|(p, _)| p.zone == *zone && !input.pools.contains(*p)) {
            for id in names.unpack() {
                if (input.peer_endpoint)(&id).is_some() {
                    let sink_count = sink_count_of(&id);
                    peers.push(Peer { id, fraction: 1.0, sink_count, is_fetching: false });
                }
            }
        }
        peers
    }

    fn assign_sources(
        &self,
        input: &DistributionInput,
        requests: &[&FetchRequest],
        finished: &BTreeSet<MachineId>,
    ) -> BTreeMap<(MachineId, ImageId), FetchSource> {
        let mut fetch_sources = BTreeMap::new();
        for request in requests.iter().filter(|w| input.pools.contains(&w.pool)) {
            let Some(observed) = input.machines.get(&request.machine) else { continue };
            let key = (request.machine.clone(), request.image.clone());
            let slot = input.origin.slots.get(&request.machine);
            let slot =
                slot.filter(|s| s.image == request.image && !finished.contains(&request.machine));
            let link = self.links.get(&request.machine).filter(|l| l.image == request.image);
            let source = if observed.has(&request.image) {
                FetchSource::Present
            } else if slot.is_some() {
                FetchSource::Origin
            } else if let Some(link) = link {
                let endpoint_of = |m: &MachineId| {
                    let endpoint = input.machines.get(m).and_then(|s| s.endpoint.clone());
                    endpoint.or_else(|| (input.peer_endpoint)(m))
                };
                let from: Vec<String> = link.from.iter().filter_map(endpoint_of).collect();
                if from.is_empty() {
                    continue;
                }
                FetchSource::Peers(from)
            } else {
                // This includes a machine that fetches on a command of a former owner: other tasks that need
                // the image wait until it is present. If such a task were started without sources, a machine
                // that had just begun a new session would fetch from the origin without a slot.
                continue;
            };
            fetch_sources.insert(key, source);
        }
        fetch_sources
    }

    /// The origin record without finished slots and with newly assigned ones; `None` if it is unchanged.
    fn updated_origin(
        &mut self,
        input: &DistributionInput,
        next: &[&FetchRequest],
        finished: &BTreeSet<MachineId>,
    ) -> Option<OriginRecord> {
        let mut updated = input.origin.clone();
        updated.slots.retain(|machine, _| !finished.contains(machine));
        let since = match &self.origin_unchanged_since {
            Some((since, record)) if record == input.origin => *since,
            _ => {
                self.origin_unchanged_since = Some((input.now, input.origin.clone()));
                input.now
            }
        };
        let claim_timed_out = input.now.since(since) >= SLOT_CLAIM_TIMEOUT_MS;
        let is_owned = |w: &FetchRequest| input.pools.contains(&w.pool);
        let is_waiting = |w: &&FetchRequest| {
            let observed = input.machines.get(&w.machine);
            let Some(observed) = observed else { return !is_owned(w) && !claim_timed_out };
            !self.links.contains_key(&w.machine)
                && !observed.leaving
                && (observed.stuck || observed.fetching.is_empty())
        };
        let requests: Vec<FetchRequest> =
            next.iter().copied().filter(is_waiting).cloned().collect();
        let copies = |image: &ImageId, zone: &ZoneId| {
            (self.complete_copies(input, image, zone), self.peer_fetches(input, image, zone))
        };
        let wall = input.wall_ms;
        let assigned =
            assign_slots(input.settings, &updated, &requests, copies, input.value_bytes, wall);
        updated.slots.extend(assigned.into_iter().filter(|(_, s)| input.pools.contains(&s.pool)));
        (updated != *input.origin).then_some(updated)
    }

    /// Number of machines of a zone that fetch the image from peers.
    fn peer_fetches(&self, input: &DistributionInput, image: &ImageId, zone: &ZoneId) -> usize {
        let in_zone = |m: &MachineId| input.machines.get(m).is_some_and(|s| s.pool.zone == *zone);
        self.links.iter().filter(|(m, l)| l.image == *image && in_zone(m)).count()
    }

    /// Whether so many machines of a zone fetch from peers that another copy from the origin pays off, and
    /// the origin has capacity for it.
    fn needs_another_origin_copy(&self, input: &DistributionInput, request: &FetchRequest) -> bool {
        let (image, zone) = (&request.image, &request.pool.zone);
        let slots = input.origin.machines_fetching(image, zone).count();
        let copies = self.complete_copies(input, image, zone) + slots;
        copies < MAX_COPIES_PER_ZONE
            && self.peer_fetches(input, image, zone) >= MACHINES_PER_COPY * copies
            && input.origin.has_capacity(input.settings, request.mb_per_s, input.value_bytes)
    }

    /// Number of complete copies in a zone that can be uploaded.
    fn complete_copies(&self, input: &DistributionInput, image: &ImageId, zone: &ZoneId) -> usize {
        let can_upload =
            |s: &&ObservedMachine| s.pool.zone == *zone && s.endpoint.is_some() && !s.leaving;
        let own = input.machines.iter().filter(|(m, _)| !self.suspects.contains_key(*m));
        let own = own.filter(|(_, s)| can_upload(s) && s.has(image)).count();
        let record = input.image_holders.get(image).into_iter().flat_map(|r| &r.holders);
        let named = record.filter(|(p, _)| p.zone == *zone && !input.pools.contains(*p));
        let known =
            |m: &MachineId| (input.peer_endpoint)(m).is_some() && !self.suspects.contains_key(m);
        own + named.map(|(_, n)| n.unpack().iter().filter(|m| known(m)).count()).sum::<usize>()
    }
}

/// Each machine's next image: the first in service order that it does not have. Machines that would evict
/// an image in use are left out as far as needed to keep that image on at least half of the machines that use
/// it, so that a service keeps half of its replicas while its next version is fetched.
fn next_images<'a>(
    input: &DistributionInput,
    requests: &[&'a FetchRequest],
    has_begun: impl Fn(&MachineId) -> bool,
) -> Vec<&'a FetchRequest> {
    let mut machines = BTreeSet::new();
    let is_present =
        |w: &FetchRequest| input.machines.get(&w.machine).is_some_and(|s| s.has(&w.image));
    let mut next: Vec<&FetchRequest> =
        requests.iter().copied().filter(|w| !is_present(w)).collect();
    next.retain(|w| machines.insert(&w.machine));
    let mut spare: BTreeMap<&ImageId, usize> = BTreeMap::new();
    next.retain(|request| {
        let Some(old) = request.evicted_image.as_ref().filter(|_| !has_begun(&request.machine))
        else {
            return true;
        };
        let spare = spare.entry(old).or_insert_with(|| {
            let holder_count =
                input.machines.iter().filter(|(m, s)| s.has(old) && !has_begun(m)).count();
            let required = input.in_use.get(old).map_or(0, |n| n.div_ceil(2));
            holder_count.saturating_sub(required)
        });
        let may_evict = *spare > 0;
        *spare = spare.saturating_sub(1);
        may_evict
    });
    next
}
