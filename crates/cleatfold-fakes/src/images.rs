//! Images that workers fetch from their origin and from one another, in pieces.

use crate::worker::Worker;
use cleatfold_image_distribution::{piece_digest, Fetch, FetchStep, ImageManifest};
use cleatfold_wire::job::JobSpec;
use cleatfold_wire::worker::HeldImage;
use cleatfold_wire::{Attempt, ImageId, MachineId, Ms, TaskId, ZoneId};
use std::collections::{BTreeMap, BTreeSet};

/// A time that never comes.
pub const NEVER: Ms = Ms(u64::MAX / 4);

type Key = (TaskId, Attempt);

/// The worker's side: which of its tasks wait for a large image, and what it was told to fetch.
#[derive(Default)]
pub struct Images {
    /// Smaller images take the time of `Worker::fetch_ms`. 0: all do.
    pub min_gb: f64,
    /// It knows of sources and lists what it holds.
    pub supports_peer_fetch: bool,
    /// The images that it holds, whole or in part.
    pub held: Vec<HeldImage>,
    /// By task: the image, and how long it runs once that is there.
    pub waiting: BTreeMap<Key, (ImageId, u64)>,
    /// What it was told to fetch, how large it is and from where, since this was last taken.
    pub fetch_requests: Vec<(ImageId, f64, Vec<String>)>,
}

impl Images {
    /// What its heartbeat says of its images.
    pub fn reported(&self) -> Option<Vec<HeldImage>> {
        self.supports_peer_fetch.then(|| self.held.clone())
    }

    fn is_large(&self, gb: f64) -> bool {
        self.min_gb > 0.0 && gb >= self.min_gb
    }

    /// A task's image is to be fetched from these sources.
    pub fn take_sources(&mut self, image: Option<(ImageId, f64)>, sources: &[String]) {
        let Some((image, gb)) = image.filter(|i| self.is_large(i.1)) else { return };
        // The protocol's workers do not read the field.
        let sources = if self.supports_peer_fetch { sources.to_vec() } else { vec![] };
        let stuck = self.held.iter().any(|h| h.image == image && h.stuck);
        let begun = self.waiting.values().any(|w| w.0 == image);
        // A further task of the same image waits for the fetch that is under way; other sources than
        // it has are taken, but it leaves them for the origin only when it is stuck.
        let others = |h: &HeldImage| h.source.is_some() && h.source.as_ref() != sources.first();
        let moved = !sources.is_empty() && self.held.iter().any(|h| h.image == image && others(h));
        if stuck || !begun || moved {
            self.fetch_requests.push((image, gb, sources));
        }
    }

    /// Whether a task waits for a large image; if so it is noted.
    pub fn waits(&mut self, key: &Key, spec: &JobSpec, run_ms: u64) -> bool {
        let large = self.is_large(spec.image_gb);
        if large {
            self.waiting.insert(key.clone(), (spec.image.clone(), run_ms));
        }
        large
    }
}

/// What a machine holds, and how it serves others.
pub struct ImageHolder {
    /// Where it is.
    pub zone: ZoneId,
    /// What it can receive, and send, a second.
    pub gb_per_s: f64,
    /// What it has space for.
    pub cache_gb: f64,
    /// The images it holds, with their sizes.
    pub images: BTreeMap<ImageId, (f64, Fetch)>,
    active: Option<ImageId>,
    credit: f64,
    /// Since when the present source is looked at, and what was there then.
    window: (Ms, u32),
    /// It reports, but sends nothing.
    pub black_hole: bool,
    /// Part of its rate at which it serves.
    pub speed: f64,
    /// It sends bytes that are not the image's.
    pub lies: bool,
    /// Asked to exit: takes nobody new, and serves no longer than until then.
    pub leaves: Option<Ms>,
}

/// All machines' images and the origin.
pub struct ImageNetwork {
    /// All machines.
    pub holders: BTreeMap<MachineId, ImageHolder>,
    /// What the origin sends a second.
    pub origin_gb_per_s: f64,
    /// The size of a piece.
    pub piece_gb: f64,
    /// How many machines one machine sends to at a time.
    pub uploads: usize,
    serving: BTreeMap<MachineId, BTreeSet<MachineId>>,
    /// What the origin has sent.
    pub origin_gb: f64,
    /// What machines have received, from wherever, that was what it should be.
    pub moved_gb: f64,
    /// The most that was asked of the origin at a time.
    pub asked_gb_per_s: f64,
    /// Pieces that were not what they should be.
    pub wrong: u32,
}

/// A machine that leaves serves for so long.
pub const LEAVE_MS: u64 = 30_000;
const WINDOW_MS: u64 = 8000;
/// A source that has not begun itself is waited for.
const BEGIN_MS: u64 = 25_000;

impl ImageNetwork {
    /// A network without machines.
    pub fn new(origin_gb_per_s: f64, uploads: usize) -> Self {
        Self {
            holders: BTreeMap::new(),
            origin_gb_per_s,
            piece_gb: 0.25,
            uploads,
            serving: BTreeMap::new(),
            origin_gb: 0.0,
            moved_gb: 0.0,
            asked_gb_per_s: 0.0,
            wrong: 0,
        }
    }

    /// A machine that comes up.
    pub fn add(&mut self, id: MachineId, zone: ZoneId, gb_per_s: f64, cache_gb: f64) {
        let holder = ImageHolder {
            zone,
            gb_per_s,
            cache_gb,
            images: BTreeMap::new(),
            active: None,
            credit: 0.0,
            window: (Ms(0), 0),
            black_hole: false,
            speed: 1.0,
            lies: false,
            leaves: None,
        };
        self.holders.insert(id, holder);
    }

    fn pieces(&self, image: &ImageId, gb: f64) -> ImageManifest {
        let count = (gb / self.piece_gb).ceil() as u32;
        let digests = (0..count).map(|n| piece_digest(n, &n.to_le_bytes())).collect();
        ImageManifest { image: image.clone(), digests }
    }

    /// A machine is told to fetch an image.
    pub fn fetch(&mut self, now: Ms, id: &MachineId, image: &ImageId, gb: f64, sources: &[String]) {
        let pieces = self.pieces(image, gb);
        let Some(holder) = self.holders.get_mut(id) else { return };
        match holder.images.get_mut(image) {
            Some((_, fetch)) => fetch.set_sources(sources),
            None => {
                // What was used least is given up; names stand for ages here.
                let room =
                    |h: &ImageHolder| h.cache_gb - gb - h.images.values().map(|i| i.0).sum::<f64>();
                while room(holder) < 0.0 && holder.images.pop_first().is_some() {}
                holder.images.insert(image.clone(), (gb, Fetch::new(pieces, sources)));
            }
        }
        (holder.active, holder.window) = (Some(image.clone()), (now, holder.have(image)));
    }

    /// Nobody on the machine waits for it any more.
    pub fn give_up(&mut self, id: &MachineId) {
        if let Some(holder) = self.holders.get_mut(id) {
            holder.active = None;
        }
    }

    /// A machine is asked to exit.
    pub fn leave(&mut self, now: Ms, id: &MachineId) {
        if let Some(holder) = self.holders.get_mut(id) {
            holder.leaves = Some(now.plus(LEAVE_MS));
        }
    }

    /// Whether a machine holds an image whole.
    pub fn has(&self, id: &MachineId, image: &ImageId) -> bool {
        self.holders.get(id).is_some_and(|h| h.whole(image))
    }

    /// Machines that fetch from the origin.
    pub fn at_origin(&self, now: Ms) -> Vec<&MachineId> {
        let next = |h: &ImageHolder| Some(h.images.get(h.active.as_ref()?)?.1.next(now));
        let at = |h: &ImageHolder| matches!(next(h), Some(FetchStep::Origin(_)));
        self.holders.iter().filter(|(_, h)| at(h)).map(|h| h.0).collect()
    }

    /// Lets time pass: pieces move.
    pub fn advance(&mut self, now: Ms, ms: u64) {
        let seconds = ms as f64 / 1000.0;
        let mut flows: Vec<(MachineId, ImageId, Option<MachineId>)> = Vec::new();
        let mut serving: BTreeMap<MachineId, BTreeSet<MachineId>> = BTreeMap::new();
        let ids: Vec<MachineId> = self.holders.keys().cloned().collect();
        for id in &ids {
            let holder = &self.holders[id];
            let Some(image) = holder.active.clone() else { continue };
            match holder.images[&image].1.next(now) {
                FetchStep::Origin(_) => flows.push((id.clone(), image, None)),
                FetchStep::Peer(source, _) => {
                    let from = MachineId::new(source.split(':').next().unwrap_or_default());
                    // It may only be about to begin itself.
                    let begins = self.holders.get(&from).is_some_and(|s| !s.shares(&image));
                    let late = now.since(holder.window.0) >= BEGIN_MS;
                    if self.refuses(now, &from, id, &serving) || (begins && late) {
                        self.failed(now, id, &image, &source);
                        continue;
                    }
                    if begins {
                        continue;
                    }
                    serving.entry(from.clone()).or_default().insert(id.clone());
                    flows.push((id.clone(), image, Some(from)));
                }
                FetchStep::Stuck | FetchStep::Complete => {}
            }
        }
        let at_origin = flows.iter().filter(|f| f.2.is_none());
        let asked: f64 = at_origin.map(|f| self.holders[&f.0].gb_per_s).sum();
        self.asked_gb_per_s = self.asked_gb_per_s.max(asked);
        // What is there when the step begins: a piece passes one machine a step.
        let there: BTreeMap<(MachineId, ImageId), u32> = flows
            .iter()
            .filter_map(|(_, image, from)| Some((from.clone()?, image.clone())))
            .map(|(from, image)| {
                let have = self.holders[&from].have(&image);
                ((from, image), have)
            })
            .collect();
        for (id, image, from) in flows {
            let rate = self.holders[&id].gb_per_s;
            let (given, there) = match &from {
                None => (rate * (self.origin_gb_per_s / asked).min(1.0), u32::MAX),
                Some(from) => {
                    let sinks = serving[from].len() as f64;
                    let source = &self.holders[from];
                    let speed = if source.black_hole { 0.0 } else { source.speed };
                    let have = there[&(from.clone(), image.clone())];
                    ((source.gb_per_s * speed / sinks).min(rate), have)
                }
            };
            self.flow(now, (&id, &image, from.as_ref()), given * seconds, there);
        }
        self.serving = serving;
    }

    fn flow(
        &mut self,
        now: Ms,
        flow: (&MachineId, &ImageId, Option<&MachineId>),
        gb: f64,
        there: u32,
    ) {
        let (id, image, from) = flow;
        let lies = from.is_some_and(|f| self.holders[f].lies);
        let Some(holder) = self.holders.get_mut(id) else { return };
        let (window, rate) = (holder.window, holder.gb_per_s);
        let Some((_, fetch)) = holder.images.get_mut(image) else { return };
        // Nothing moves while the source has nothing more.
        holder.credit = if fetch.received < there { holder.credit + gb } else { 0.0 };
        let source = match fetch.next(now) {
            FetchStep::Peer(source, _) => Some(source),
            _ => None,
        };
        while holder.credit >= self.piece_gb && fetch.received < there {
            let number = fetch.received;
            if number as usize >= fetch.manifest.digests.len() {
                break;
            }
            holder.credit -= self.piece_gb;
            let bytes = if lies { [0xff; 4] } else { number.to_le_bytes() };
            if !fetch.receive_piece(now, source.as_deref(), number, &bytes) {
                self.wrong += 1;
                break;
            }
            self.moved_gb += self.piece_gb;
            self.origin_gb += if from.is_none() { self.piece_gb } else { 0.0 };
        }
        // A source that had more and gave less than a fifth of the rate is too slow.
        let least = window.1 + (rate * WINDOW_MS as f64 / 5000.0 / self.piece_gb) as u32;
        if now.since(window.0) >= WINDOW_MS {
            holder.window = (now, fetch.received);
            let held_back = there > fetch.received + 1 && fetch.received < least;
            if held_back && source.is_some() {
                fetch.mark_failed(now, source.as_deref());
            }
        }
    }

    /// Gone, full, or leaving.
    fn refuses(
        &self,
        now: Ms,
        from: &MachineId,
        to: &MachineId,
        serving: &BTreeMap<MachineId, BTreeSet<MachineId>>,
    ) -> bool {
        let Some(source) = self.holders.get(from) else { return true };
        let known = self.serving.get(from).is_some_and(|s| s.contains(to));
        let full = serving.get(from).map_or(0, |s| s.len()) >= self.uploads;
        let over = source.leaves.is_some_and(|until| !known || until <= now);
        // Those that it serves keep their places.
        let kept = self.serving.get(from).map_or(0, |s| s.len()) >= self.uploads && !known;
        full || over || kept
    }

    fn failed(&mut self, now: Ms, id: &MachineId, image: &ImageId, source: &str) {
        let Some(holder) = self.holders.get_mut(id) else { return };
        holder.window = (now, holder.have(image));
        if let Some((_, fetch)) = holder.images.get_mut(image) {
            fetch.mark_failed(now, Some(source));
        }
    }

    /// Tells the worker what has come, and takes what it was told to fetch. Whether tasks begin.
    pub fn serve(&mut self, now: Ms, worker: &mut Worker) -> bool {
        for (image, gb, sources) in std::mem::take(&mut worker.images.fetch_requests) {
            if !self.has(&worker.id, &image) {
                self.fetch(now, &worker.id, &image, gb, &sources);
            }
        }
        let Some(holder) = self.holders.get(&worker.id) else { return false };
        let tasks = &worker.tasks;
        let waits = |key: &Key| tasks.get(key).is_some_and(|t| t.exit.is_none());
        worker.images.waiting.retain(|key, _| waits(key));
        let mut came = false;
        for (key, (image, run_ms)) in std::mem::take(&mut worker.images.waiting) {
            if !holder.whole(&image) {
                worker.images.waiting.insert(key, (image, run_ms));
            } else if let Some(task) = worker.tasks.get_mut(&key) {
                (task.ready, task.ends) = (worker.renewed, now.plus(run_ms));
                came = true;
            }
        }
        let serves = self.serving.get(&worker.id).map_or(0, |s| s.len() as u32);
        let held = holder.images.iter().map(|(image, (_, fetch))| HeldImage {
            image: image.clone(),
            fraction: fetch.fraction(),
            serves,
            stuck: holder.active.as_ref() == Some(image) && fetch.next(now) == FetchStep::Stuck,
            source: match fetch.next(now) {
                FetchStep::Peer(source, _) if holder.active.as_ref() == Some(image) => Some(source),
                _ => None,
            },
        });
        worker.images.held = held.collect();
        let waited = |i: &ImageId| worker.images.waiting.values().any(|w| w.0 == *i);
        if holder.active.as_ref().is_some_and(|i| !waited(i)) {
            self.give_up(&worker.id);
        }
        came
    }
}

impl ImageHolder {
    /// Fetches nothing.
    pub fn rest(&mut self) {
        self.active = None;
    }

    /// How many pieces of an image it has.
    pub fn have(&self, image: &ImageId) -> u32 {
        self.images.get(image).map_or(0, |i| i.1.received)
    }

    /// Hands it on, in so far as it is there.
    fn shares(&self, image: &ImageId) -> bool {
        self.whole(image) || self.active.as_ref() == Some(image)
    }

    /// Whether it holds an image whole.
    pub fn whole(&self, image: &ImageId) -> bool {
        self.images.get(image).is_some_and(|i| i.1.fraction() >= 1.0)
    }
}
