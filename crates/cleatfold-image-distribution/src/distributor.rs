//! One pool owner's part in the distribution of images: which machine may fetch now, from where, and what to
//! change in the origin's record. All that is kept here is hints; a new owner begins without them and goes on
//! by the records and the workers' first reports.

use crate::{assign_slots, order, ImageHoldersRecord, OriginRecord, Settings, Want, COPIES, LINE};
use cleatfold_wire::{ImageId, MachineId, Ms, PoolId, ZoneId};
use std::collections::{BTreeMap, BTreeSet};

/// A machine of our pools by a report that was sent under our token.
#[derive(Clone, Debug, PartialEq)]
pub struct Seen {
    /// The machine's pool.
    pub pool: PoolId,
    /// When its newest report came.
    pub at: Ms,
    /// Where others can fetch from it; only of one that knows of sources.
    pub endpoint: Option<String>,
    /// The part that is there of each image. 1: all of it.
    pub images: BTreeMap<ImageId, f64>,
    /// Large images that its tasks wait for.
    pub fetching: BTreeSet<ImageId>,
    /// Its sources are gone.
    pub stuck: bool,
    /// From whom it fetches, as it says.
    pub source: Option<String>,
    /// How many it serves.
    pub serves: u32,
    /// It is to leave, or does not hear: it is sent nothing, and nobody to it.
    pub leaving: bool,
}

impl Seen {
    /// Whether the machine holds the image whole.
    pub fn has(&self, image: &ImageId) -> bool {
        self.images.get(image).is_some_and(|part| *part >= 1.0)
    }
}

/// What the decisions are made from. Wants are those of all pools; the rest is of our own.
pub struct View<'a> {
    /// Steady time.
    pub now: Ms,
    /// Time of day in milliseconds.
    pub wall_ms: u64,
    /// Bytes of one record at most.
    pub value_bytes: usize,
    /// The operators' settings.
    pub settings: &'a Settings,
    /// Who fetches from the origin, as it is stored.
    pub origin: &'a OriginRecord,
    /// Who holds which image, as it is stored.
    pub spreads: &'a BTreeMap<ImageId, ImageHoldersRecord>,
    /// Machines that wait for images.
    pub wants: Vec<Want>,
    /// The pools that are ours.
    pub pools: &'a BTreeSet<PoolId>,
    /// Our machines as they last reported.
    pub seen: BTreeMap<MachineId, Seen>,
    /// On how many machines tasks of an image have claims.
    pub in_use: BTreeMap<ImageId, usize>,
    /// Deleted, or its lease has provably run out: it fetches nothing.
    pub gone: &'a dyn Fn(&MachineId) -> bool,
    /// Where machines of others' pools can be asked, as far as is known.
    pub endpoints: &'a dyn Fn(&MachineId) -> Option<String>,
}

/// What a waiting claim's machine may be told.
#[derive(Clone, Debug, PartialEq)]
pub enum Turn {
    /// The image is there.
    Here,
    /// Its slot at the origin is durable.
    Origin,
    /// From these, in turn.
    From(Vec<String>),
}

/// One machine's fetch from peers, the first of them preferred.
#[derive(Clone, Debug)]
struct Link {
    image: ImageId,
    from: Vec<MachineId>,
}

/// Free slots that those before us in the order don't take for so long are taken by others: their
/// owner may be gone, or they need none.
const PASS_MS: u64 = 3000;
/// A source that left its sinks stuck is nobody's first for so long.
const DOUBT_MS: u64 = 60_000;
/// What has so much more of an image is surely not behind whoever has less.
const AHEAD: f64 = 0.01;
/// Sources that a machine is told at most.
const SOURCES: usize = 3;

/// The peer fetches of the machines of our pools, and which machines may fetch now.
#[derive(Debug, Default)]
pub struct ImageDistributor {
    /// By the machine that fetches: from whom.
    links: BTreeMap<MachineId, Link>,
    /// When each was last told to fetch.
    ordered: BTreeMap<MachineId, Ms>,
    doubted: BTreeMap<MachineId, Ms>,
    /// Told other sources than they have.
    moved: BTreeSet<MachineId>,
    /// Since when the record's slots are what they are.
    settled: Option<(Ms, OriginRecord)>,
    /// By machine, for the images that its claims wait for.
    fetch_sources: BTreeMap<(MachineId, ImageId), Turn>,
    /// Serving while others wait.
    serving: BTreeSet<MachineId>,
}

/// Someone to fetch from.
struct Peer {
    id: MachineId,
    part: f64,
    sinks: u32,
    /// Whether what it lacks is on its way to it.
    moving: bool,
}

impl ImageDistributor {
    /// Where a machine fetches an image from; none: not yet.
    pub fn turn(&self, machine: &MachineId, image: &ImageId) -> Option<&Turn> {
        self.fetch_sources.get(&(machine.clone(), image.clone()))
    }

    /// Told to fetch: from now on its report shows it, or it was not told.
    pub fn ordered(&mut self, machine: &MachineId, now: Ms) {
        self.ordered.insert(machine.clone(), now);
        self.moved.remove(machine);
    }

    /// Has to be told other sources.
    pub fn is_moved(&self, machine: &MachineId) -> bool {
        self.moved.contains(machine)
    }

    /// Others wait for what it hands on.
    pub fn serves(&self, machine: &MachineId) -> bool {
        self.serving.contains(machine)
    }

    /// Looks at everything anew. Returns the record of the origin as it should be, if it is to be
    /// changed, and the machines whose turn has come with this pass.
    pub fn pass(&mut self, view: &View) -> (Option<OriginRecord>, Vec<MachineId>) {
        let now = view.now;
        self.doubted.retain(|_, at| now.since(*at) < DOUBT_MS);
        let mut wants: Vec<&Want> = view.wants.iter().collect();
        wants.sort_by_key(|w| order(w));
        let over = self.over(view);
        self.drop_links(view, &wants);
        self.learn_links(view);
        let begun = |m: &MachineId| {
            self.links.contains_key(m)
                || view.origin.slots.contains_key(m)
                || view.seen.get(m).is_some_and(|s| !s.fetching.is_empty())
        };
        let next = next_images(view, &wants, begun);
        self.link(view, &next);
        self.even_out(view);
        let fetch_sources = self.assign_sources(view, &wants, &over);
        let new = |(key, turn): &(&(MachineId, ImageId), &Turn)| {
            self.fetch_sources.get(*key) != Some(*turn)
        };
        let mut come: Vec<MachineId> =
            fetch_sources.iter().filter(new).map(|(k, _)| k.0.clone()).collect();
        come.dedup();
        self.fetch_sources = fetch_sources;
        self.serving = self.links.values().filter_map(|l| l.from.first().cloned()).collect();
        (self.origin_as_it_should_be(view, &next, &over), come)
    }

    /// Slots of our pools whose fetch is proven over, or never began.
    fn over(&self, view: &View) -> BTreeSet<MachineId> {
        let ours = view.origin.slots.iter().filter(|(_, s)| view.pools.contains(&s.pool));
        let over = ours.filter(|(machine, slot)| {
            if (view.gone)(machine) {
                return true;
            }
            // Not heard of under our token: it may be fetching for whoever was before us.
            let Some(seen) = view.seen.get(*machine) else { return false };
            let ordered_since = self.ordered.get(*machine).is_some_and(|at| *at >= seen.at);
            let wanted = || {
                let same = |w: &&Want| w.machine == **machine && w.image == slot.image;
                view.wants.iter().any(|w| same(&w))
            };
            seen.has(&slot.image)
                || !(ordered_since
                    || seen.fetching.contains(&slot.image)
                    || (!seen.leaving && wanted()))
        });
        over.map(|(machine, _)| machine.clone()).collect()
    }

    fn drop_links(&mut self, view: &View, wants: &[&Want]) {
        let waiting: BTreeSet<(&MachineId, &ImageId)> =
            wants.iter().map(|w| (&w.machine, &w.image)).collect();
        let mut doubted = Vec::new();
        let ordered = &self.ordered;
        self.links.retain(|sink, link| {
            let Some(seen) = view.seen.get(sink) else { return false };
            let ordered_since = ordered.get(sink).is_some_and(|at| *at >= seen.at);
            if seen.stuck && !ordered_since && !seen.has(&link.image) {
                doubted.extend(link.from.first().cloned());
                return false;
            }
            let waits =
                seen.fetching.contains(&link.image) || waiting.contains(&(sink, &link.image));
            let slot = view.origin.slots.contains_key(sink);
            let source = link.from.first().is_some_and(|s| !(view.gone)(s));
            (waits || ordered_since) && source && !slot && !seen.has(&link.image)
        });
        for machine in doubted {
            self.doubted.insert(machine, view.now);
        }
        let seen = &view.seen;
        self.ordered.retain(|m, at| seen.get(m).is_some_and(|s| *at >= s.at));
    }

    /// Who fetches from whom, as they say: they may have gone on to another of their sources, or we
    /// may be new here. (A successor that did not know put second machines behind sources that had one,
    /// and whole lines went on at half their rate.)
    fn learn_links(&mut self, view: &View) {
        let at: BTreeMap<&String, &MachineId> =
            view.seen.iter().filter_map(|(m, s)| Some((s.endpoint.as_ref()?, m))).collect();
        for (sink, seen) in &view.seen {
            let ordered_since = self.ordered.contains_key(sink);
            let source = seen.source.as_ref().and_then(|s| at.get(s)).copied();
            let (Some(source), false) = (source, ordered_since) else { continue };
            let Some(image) = seen.fetching.iter().find(|i| !seen.has(i)) else { continue };
            let link = self.links.entry(sink.clone());
            let link = link.or_insert_with(|| Link { image: image.clone(), from: vec![] });
            if link.from.first() != Some(source) && !self.moved.contains(sink) {
                // Its first one failed it. (Told it again and again, a line stood still behind a
                // source that nothing reaches.)
                self.doubted.extend(link.from.first().map(|m| (m.clone(), view.now)));
                link.from.retain(|m| m != source);
                link.from.insert(0, source.clone());
            }
        }
        // A slot for a machine that is stuck: it has to be told that it may go to the origin.
        let slots = &view.origin.slots;
        let stuck = view.seen.iter().filter(|(m, s)| s.stuck && slots.contains_key(*m));
        let stuck = stuck.filter(|(m, _)| !self.ordered.contains_key(*m));
        self.moved.extend(stuck.map(|(m, _)| m.clone()));
        let links = &self.links;
        self.moved.retain(|m| links.contains_key(m) || slots.contains_key(m));
    }

    /// Of two machines behind one source the one with less goes behind a machine that has more than
    /// it and nobody behind it: the line is at full rate again.
    fn even_out(&mut self, view: &View) {
        let mut behind: BTreeMap<MachineId, Vec<MachineId>> = BTreeMap::new();
        for (sink, link) in &self.links {
            if let Some(source) = link.from.first() {
                behind.entry(source.clone()).or_default().push(sink.clone());
            }
        }
        let mut zones: BTreeMap<(ImageId, ZoneId), Vec<Peer>> = BTreeMap::new();
        for sinks in behind.values().filter(|s| s.len() > 1) {
            let part = |m: &MachineId| {
                let image = &self.links[m].image;
                view.seen.get(m).and_then(|s| s.images.get(image)).copied().unwrap_or(0.0)
            };
            let sink = sinks.iter().min_by(|a, b| part(a).total_cmp(&part(b)));
            let Some((sink, seen)) = sink.and_then(|s| Some((s, view.seen.get(s)?))) else {
                continue;
            };
            let begun = seen.fetching.contains(&self.links[sink].image);
            if !begun || self.moved.contains(sink) || self.ordered.contains_key(sink) {
                continue;
            }
            let (image, mine) = (self.links[sink].image.clone(), part(sink));
            let zone = (image.clone(), seen.pool.zone.clone());
            let peers = zones.entry(zone).or_insert_with_key(|z| self.peers(view, &z.0, &z.1));
            let free = peers.iter_mut().filter(|p| {
                let ahead = p.part > mine + AHEAD;
                p.sinks == 0 && ahead && p.id != *sink && !self.doubted.contains_key(&p.id)
            });
            let Some(peer) = free.max_by(|a, b| a.part.total_cmp(&b.part)) else { continue };
            peer.sinks += 1;
            let old = self.links[sink].from.first().cloned();
            let from = std::iter::once(peer.id.clone()).chain(old).collect();
            self.links.insert(sink.clone(), Link { image, from });
            self.moved.insert(sink.clone());
        }
    }

    /// Gives those who wait in a zone with a copy somebody to fetch from. Each source gets one
    /// machine behind it before any gets two: a line passes pieces on at full rate, and what is
    /// left of `uploads` is for those whose source fails.
    fn link(&mut self, view: &View, wants: &[&Want]) {
        if !view.settings.hand_on {
            return;
        }
        let mut peers: BTreeMap<(&ImageId, &ZoneId), Vec<Peer>> = BTreeMap::new();
        for want in wants.iter().filter(|w| w.supports_peer_fetch && view.pools.contains(&w.pool)) {
            let sink = &want.machine;
            let Some(seen) = view.seen.get(sink) else { continue };
            let busy = self.links.contains_key(sink)
                || seen.leaving
                || view.origin.slots.contains_key(sink)
                || seen.fetching.iter().any(|i| *i != want.image);
            // Fetching already, by a predecessor's word: it goes on unless it is stuck.
            let goes_on = seen.fetching.contains(&want.image) && !seen.stuck;
            if busy || goes_on {
                continue;
            }
            let zone = (&want.image, &want.pool.zone);
            let known = peers.entry(zone).or_insert_with(|| self.peers(view, zone.0, zone.1));
            let mine = seen.images.get(&want.image).copied().unwrap_or(0.0);
            let Some(first) = self.best(view, known, want, mine) else { continue };
            if !want.stuck && self.another_copy(view, want) {
                continue;
            }
            known[first].sinks += 1;
            let id = known[first].id.clone();
            let before = self.links.get(&id).map(|l| l.from.clone()).unwrap_or_default();
            let whole = known.iter().filter(|p| p.part >= 1.0).map(|p| p.id.clone()).take(1);
            let mut from = vec![id];
            for other in before.into_iter().chain(whole) {
                if from.len() < SOURCES && !from.contains(&other) && other != *sink {
                    from.push(other);
                }
            }
            if seen.endpoint.is_some() {
                known.push(Peer { id: sink.clone(), part: mine, sinks: 0, moving: true });
            }
            self.links.insert(sink.clone(), Link { image: want.image.clone(), from });
            if want.stuck {
                self.moved.insert(sink.clone());
            }
        }
    }

    /// The peer that `want` had best fetch from; `mine` is the part that it has.
    fn best(&self, view: &View, known: &[Peer], want: &Want, mine: f64) -> Option<usize> {
        let doubted = |p: &Peer| self.doubted.contains_key(&p.id);
        let may = |p: &Peer| {
            // What has no more than a stuck one may itself be waiting for it.
            let ahead = p.part >= 1.0 || (p.moving && (!want.stuck || p.part > mine));
            p.id != want.machine
                && p.sinks < view.settings.uploads
                && ahead
                && !(want.stuck && doubted(p))
        };
        let order = |p: &Peer| (doubted(p), p.sinks, u64::MAX - (p.part * 1e6) as u64);
        let may = known.iter().enumerate().filter(|(_, p)| may(p));
        may.min_by_key(|(i, p)| (order(p), *i)).map(|(i, _)| i)
    }

    /// Who can hand the image on in a zone.
    fn peers(&self, view: &View, image: &ImageId, zone: &ZoneId) -> Vec<Peer> {
        let mut sinks: BTreeMap<&MachineId, u32> = BTreeMap::new();
        for source in self.links.values().filter_map(|l| l.from.first()) {
            *sinks.entry(source).or_default() += 1;
        }
        let behind = |m: &MachineId| sinks.get(m).copied().unwrap_or(0);
        let mut peers = Vec::new();
        for (id, seen) in view.seen.iter().filter(|(_, s)| s.pool.zone == *zone) {
            if seen.endpoint.is_none() || seen.leaving {
                continue;
            }
            let part = seen.images.get(image).copied().unwrap_or(0.0);
            let slot = view.origin.slots.get(id).is_some_and(|s| s.image == *image);
            let link = self.links.get(id).is_some_and(|l| l.image == *image);
            let moving = !seen.stuck && (slot || link || seen.fetching.contains(image));
            if part >= 1.0 || moving {
                let sinks = behind(id).max(seen.serves);
                peers.push(Peer { id: id.clone(), part, sinks, moving });
            }
        }
        // Of other owners' pools those that the record names.
        let record = view.spreads.get(image).into_iter();
        let named = record.flat_map(|r| &r.holders);
        for (_, names) in named.filter(|(p, _)| p.zone == *zone && !view.pools.contains(*p)) {
            for id in names.read() {
                if (view.endpoints)(&id).is_some() {
                    let sinks = behind(&id);
                    peers.push(Peer { id, part: 1.0, sinks, moving: false });
                }
            }
        }
        peers
    }

    fn assign_sources(
        &self,
        view: &View,
        wants: &[&Want],
        over: &BTreeSet<MachineId>,
    ) -> BTreeMap<(MachineId, ImageId), Turn> {
        let mut fetch_sources = BTreeMap::new();
        for want in wants.iter().filter(|w| view.pools.contains(&w.pool)) {
            let Some(seen) = view.seen.get(&want.machine) else { continue };
            let key = (want.machine.clone(), want.image.clone());
            let slot = view.origin.slots.get(&want.machine);
            let slot = slot.filter(|s| s.image == want.image && !over.contains(&want.machine));
            let link = self.links.get(&want.machine).filter(|l| l.image == want.image);
            let turn = if seen.has(&want.image) {
                Turn::Here
            } else if slot.is_some() {
                Turn::Origin
            } else if let Some(link) = link {
                let at = |m: &MachineId| {
                    let seen = view.seen.get(m).and_then(|s| s.endpoint.clone());
                    seen.or_else(|| (view.endpoints)(m))
                };
                let from: Vec<String> = link.from.iter().filter_map(at).collect();
                if from.is_empty() {
                    continue;
                }
                Turn::From(from)
            } else {
                // Also one that fetches by a predecessor's word: another task of its image waits until that
                // is there. (Told to start without sources, a machine that had just begun a new session
                // went to the origin without a slot.)
                continue;
            };
            fetch_sources.insert(key, turn);
        }
        fetch_sources
    }

    /// The record without what is over and with what is given now; none where it is right.
    fn origin_as_it_should_be(
        &mut self,
        view: &View,
        next: &[&Want],
        over: &BTreeSet<MachineId>,
    ) -> Option<OriginRecord> {
        let mut new = view.origin.clone();
        new.slots.retain(|machine, _| !over.contains(machine));
        let since = match &self.settled {
            Some((since, record)) if record == view.origin => *since,
            _ => {
                self.settled = Some((view.now, view.origin.clone()));
                view.now
            }
        };
        let pass = view.now.since(since) >= PASS_MS;
        let ours = |w: &Want| view.pools.contains(&w.pool);
        let waits = |w: &&Want| {
            let seen = view.seen.get(&w.machine);
            let Some(seen) = seen else { return !ours(w) && !pass };
            !self.links.contains_key(&w.machine)
                && !seen.leaving
                && (seen.stuck || seen.fetching.is_empty())
        };
        let wants: Vec<Want> = next.iter().copied().filter(waits).cloned().collect();
        let copies = |image: &ImageId, zone: &ZoneId| {
            (self.copies(view, image, zone), self.in_line(view, image, zone))
        };
        let wall = view.wall_ms;
        let dealt = assign_slots(view.settings, &new, &wants, copies, view.value_bytes, wall);
        new.slots.extend(dealt.into_iter().filter(|(_, s)| view.pools.contains(&s.pool)));
        (new != *view.origin).then_some(new)
    }

    /// Machines of a zone that fetch from others.
    fn in_line(&self, view: &View, image: &ImageId, zone: &ZoneId) -> usize {
        let here = |m: &MachineId| view.seen.get(m).is_some_and(|s| s.pool.zone == *zone);
        self.links.iter().filter(|(m, l)| l.image == *image && here(m)).count()
    }

    /// Whether the lines of a zone are so long that another copy from the origin is worth its way,
    /// and can be had.
    fn another_copy(&self, view: &View, want: &Want) -> bool {
        let (image, zone) = (&want.image, &want.pool.zone);
        let slots = view.origin.in_zone(image, zone).count();
        let copies = self.copies(view, image, zone) + slots;
        copies < COPIES
            && self.in_line(view, image, zone) >= LINE * copies
            && view.origin.has_capacity(view.settings, want.mb_per_s, view.value_bytes)
    }

    /// Whole copies of a zone that can be handed on.
    fn copies(&self, view: &View, image: &ImageId, zone: &ZoneId) -> usize {
        let here = |s: &&Seen| s.pool.zone == *zone && s.endpoint.is_some() && !s.leaving;
        let own = view.seen.iter().filter(|(m, _)| !self.doubted.contains_key(*m));
        let own = own.filter(|(_, s)| here(s) && s.has(image)).count();
        let record = view.spreads.get(image).into_iter().flat_map(|r| &r.holders);
        let named = record.filter(|(p, _)| p.zone == *zone && !view.pools.contains(*p));
        let known = |m: &MachineId| (view.endpoints)(m).is_some() && !self.doubted.contains_key(m);
        own + named.map(|(_, n)| n.read().iter().filter(|m| known(m)).count()).sum::<usize>()
    }
}

/// Each machine's next image: the first in the order that is not there. Left out are machines that
/// have to wait so that what serves now does not fall under half while its next version comes: of those
/// where an image is in use, half at least keep it.
fn next_images<'a>(
    view: &View,
    wants: &[&'a Want],
    begun: impl Fn(&MachineId) -> bool,
) -> Vec<&'a Want> {
    let mut first = BTreeSet::new();
    let there = |w: &Want| view.seen.get(&w.machine).is_some_and(|s| s.has(&w.image));
    let mut next: Vec<&Want> = wants.iter().copied().filter(|w| !there(w)).collect();
    next.retain(|w| first.insert(&w.machine));
    let mut spare: BTreeMap<&ImageId, usize> = BTreeMap::new();
    next.retain(|want| {
        let Some(old) = want.pushes_out.as_ref().filter(|_| !begun(&want.machine)) else {
            return true;
        };
        let spare = spare.entry(old).or_insert_with(|| {
            let keeps = view.seen.iter().filter(|(m, s)| s.has(old) && !begun(m)).count();
            let least = view.in_use.get(old).map_or(0, |n| n.div_ceil(2));
            keeps.saturating_sub(least)
        });
        let may = *spare > 0;
        *spare = spare.saturating_sub(1);
        may
    });
    next
}
