//! Fake of image distribution: workers fetch images in pieces from the origin and from each other.

use crate::worker::Worker;
use cleatfold_image_distribution::{piece_digest, Fetch, FetchStep, ImageManifest};
use cleatfold_wire::job::JobSpec;
use cleatfold_wire::worker::HeldImage;
use cleatfold_wire::{Attempt, ImageId, MachineId, Ms, TaskId, ZoneId};
use std::collections::{BTreeMap, BTreeSet};

/// A time later than any other, for events that are not scheduled.
pub const NEVER: Ms = Ms(u64::MAX / 4);

type TaskKey = (TaskId, Attempt);

/// A worker's large images: the tasks that wait for them and the requested fetches.
#[derive(Default)]
pub struct WorkerImages {
    /// Minimum size of a large image. Smaller ones take `Worker::fetch_ms` to fetch. 0 means that no
    /// image is large.
    pub min_gb: f64,
    /// Whether the worker can fetch from other machines and reports its images.
    pub supports_peer_fetch: bool,
    /// The images that it holds, completely or in part.
    pub held: Vec<HeldImage>,
    /// Tasks that wait for an image, with the image and the run time in milliseconds.
    pub waiting: BTreeMap<TaskKey, (ImageId, u64)>,
    /// Images to fetch, with their size in GB and their sources, since this list was last taken.
    pub fetch_requests: Vec<(ImageId, f64, Vec<String>)>,
}

impl WorkerImages {
    /// The images to list in the heartbeat.
    pub fn reported(&self) -> Option<Vec<HeldImage>> {
        self.supports_peer_fetch.then(|| self.held.clone())
    }

    fn is_large(&self, gb: f64) -> bool {
        self.min_gb > 0.0 && gb >= self.min_gb
    }

    /// Handles a command to launch a task, with the sources of its image. Requests a fetch if the
    /// image is large and no fetch of it from these sources is in progress.
    pub fn request_fetch(&mut self, image: Option<(ImageId, f64)>, sources: &[String]) {
        let Some((image, gb)) = image.filter(|i| self.is_large(i.1)) else { return };
        // Workers without peer fetching ignore the field.
        let sources = if self.supports_peer_fetch { sources.to_vec() } else { vec![] };
        let is_stuck = self.held.iter().any(|h| h.image == image && h.stuck);
        let is_started = self.waiting.values().any(|w| w.0 == image);
        // Another task with the same image waits for the fetch in progress. The fetch switches to new
        // sources, but from a source to the origin only if it is stuck.
        let uses_other_source =
            |h: &HeldImage| h.source.is_some() && h.source.as_ref() != sources.first();
        let has_new_source = !sources.is_empty()
            && self.held.iter().any(|h| h.image == image && uses_other_source(h));
        if is_stuck || !is_started || has_new_source {
            self.fetch_requests.push((image, gb, sources));
        }
    }

    /// Records a task with a large image as waiting for it. Returns `false` if the image is not large.
    pub fn defer_launch(&mut self, key: &TaskKey, spec: &JobSpec, run_ms: u64) -> bool {
        let is_large = self.is_large(spec.image_gb);
        if is_large {
            self.waiting.insert(key.clone(), (spec.image.clone(), run_ms));
        }
        is_large
    }
}

/// A machine's images, its transfers and its faults.
pub struct ImageHolder {
    /// The machine's zone.
    pub zone: ZoneId,
    /// Rate at which it can receive, and at which it can send.
    pub gb_per_s: f64,
    /// Size of its image cache.
    pub cache_gb: f64,
    /// The images that it holds, completely or in part, with their sizes in GB.
    pub images: BTreeMap<ImageId, (f64, Fetch)>,
    /// The image that it is fetching.
    active: Option<ImageId>,
    /// GB received of the pieces that are not complete.
    partial_piece_gb: f64,
    /// Start of the window in which the source's rate is measured, and the number of pieces then.
    rate_window: (Ms, u32),
    /// Fault: it sends nothing although it reports its images.
    pub sends_nothing: bool,
    /// Fraction of its rate at which it sends.
    pub upload_fraction: f64,
    /// Fault: it sends corrupt pieces.
    pub sends_corrupt_pieces: bool,
    /// Set when it is asked to exit: it accepts no new receivers, and stops sending at this time.
    pub exits_at: Option<Ms>,
}

/// The image transfers between all machines and the origin.
pub struct ImageNetwork {
    /// The machines.
    pub holders: BTreeMap<MachineId, ImageHolder>,
    /// Rate at which the origin can send.
    pub origin_gb_per_s: f64,
    /// The size of a piece.
    pub piece_gb: f64,
    /// Maximum number of machines that a machine sends to concurrently.
    pub max_uploads: usize,
    /// The receivers of each sending machine.
    serving: BTreeMap<MachineId, BTreeSet<MachineId>>,
    /// Volume of intact pieces sent by the origin.
    pub origin_gb: f64,
    /// Volume of intact pieces received from any source.
    pub received_gb: f64,
    /// Peak of the total rate requested from the origin.
    pub peak_origin_demand_gb_per_s: f64,
    /// Number of corrupt pieces received.
    pub corrupt_pieces: u32,
}

/// Time between a request to exit and the end of uploads.
pub const EXIT_DELAY_MS: u64 = 30_000;
/// Length of the window in which a source's rate is measured.
const RATE_WINDOW_MS: u64 = 8000;
/// How long to wait for a source that has not started its own fetch.
const SOURCE_START_TIMEOUT_MS: u64 = 25_000;

impl ImageNetwork {
    /// Creates a network without machines.
    pub fn new(origin_gb_per_s: f64, max_uploads: usize) -> Self {
        Self {
            holders: BTreeMap::new(),
            origin_gb_per_s,
            piece_gb: 0.25,
            max_uploads,
            serving: BTreeMap::new(),
            origin_gb: 0.0,
            received_gb: 0.0,
            peak_origin_demand_gb_per_s: 0.0,
            corrupt_pieces: 0,
        }
    }

    /// Adds a machine with an empty cache.
    pub fn add_machine(&mut self, id: MachineId, zone: ZoneId, gb_per_s: f64, cache_gb: f64) {
        let holder = ImageHolder {
            zone,
            gb_per_s,
            cache_gb,
            images: BTreeMap::new(),
            active: None,
            partial_piece_gb: 0.0,
            rate_window: (Ms(0), 0),
            sends_nothing: false,
            upload_fraction: 1.0,
            sends_corrupt_pieces: false,
            exits_at: None,
        };
        self.holders.insert(id, holder);
    }

    fn pieces(&self, image: &ImageId, gb: f64) -> ImageManifest {
        let count = (gb / self.piece_gb).ceil() as u32;
        let digests = (0..count).map(|n| piece_digest(n, &n.to_le_bytes())).collect();
        ImageManifest { image: image.clone(), digests }
    }

    /// Starts a machine's fetch of an image, or updates the sources of one in progress.
    pub fn fetch(&mut self, now: Ms, id: &MachineId, image: &ImageId, gb: f64, sources: &[String]) {
        let pieces = self.pieces(image, gb);
        let Some(holder) = self.holders.get_mut(id) else { return };
        match holder.images.get_mut(image) {
            Some((_, fetch)) => fetch.set_sources(sources),
            None => {
                // Evicts images to make space, in the order of their names instead of least recent use.
                let free_gb =
                    |h: &ImageHolder| h.cache_gb - gb - h.images.values().map(|i| i.0).sum::<f64>();
                while free_gb(holder) < 0.0 && holder.images.pop_first().is_some() {}
                holder.images.insert(image.clone(), (gb, Fetch::new(pieces, sources)));
            }
        }
        (holder.active, holder.rate_window) =
            (Some(image.clone()), (now, holder.piece_count(image)));
    }

    /// Cancels a machine's fetch, because none of its tasks waits for the image.
    pub fn cancel_fetch(&mut self, id: &MachineId) {
        if let Some(holder) = self.holders.get_mut(id) {
            holder.active = None;
        }
    }

    /// Asks a machine to exit.
    pub fn request_exit(&mut self, now: Ms, id: &MachineId) {
        if let Some(holder) = self.holders.get_mut(id) {
            holder.exits_at = Some(now.plus(EXIT_DELAY_MS));
        }
    }

    /// Whether a machine holds a complete image.
    pub fn has_complete(&self, id: &MachineId, image: &ImageId) -> bool {
        self.holders.get(id).is_some_and(|h| h.has_complete(image))
    }

    /// Machines that are fetching from the origin.
    pub fn fetching_from_origin(&self, now: Ms) -> Vec<&MachineId> {
        let next = |h: &ImageHolder| Some(h.images.get(h.active.as_ref()?)?.1.next(now));
        let fetches_from_origin = |h: &ImageHolder| matches!(next(h), Some(FetchStep::Origin(_)));
        self.holders.iter().filter(|(_, h)| fetches_from_origin(h)).map(|h| h.0).collect()
    }

    /// Advances by `ms` to `now`: machines transfer pieces.
    pub fn advance(&mut self, now: Ms, ms: u64) {
        let seconds = ms as f64 / 1000.0;
        let mut transfers: Vec<(MachineId, ImageId, Option<MachineId>)> = Vec::new();
        let mut serving: BTreeMap<MachineId, BTreeSet<MachineId>> = BTreeMap::new();
        let ids: Vec<MachineId> = self.holders.keys().cloned().collect();
        for id in &ids {
            let holder = &self.holders[id];
            let Some(image) = holder.active.clone() else { continue };
            match holder.images[&image].1.next(now) {
                FetchStep::Origin(_) => transfers.push((id.clone(), image, None)),
                FetchStep::Peer(source, _) => {
                    let from = MachineId::new(source.split(':').next().unwrap_or_default());
                    // The source may not have started its own fetch yet.
                    let source_not_started =
                        self.holders.get(&from).is_some_and(|s| !s.can_serve(&image));
                    let timed_out = now.since(holder.rate_window.0) >= SOURCE_START_TIMEOUT_MS;
                    if self.refuses(now, &from, id, &serving) || (source_not_started && timed_out) {
                        self.fail_source(now, id, &image, &source);
                        continue;
                    }
                    if source_not_started {
                        continue;
                    }
                    serving.entry(from.clone()).or_default().insert(id.clone());
                    transfers.push((id.clone(), image, Some(from)));
                }
                FetchStep::Stuck | FetchStep::Complete => {}
            }
        }
        let from_origin = transfers.iter().filter(|f| f.2.is_none());
        let demand_gb_per_s: f64 = from_origin.map(|f| self.holders[&f.0].gb_per_s).sum();
        self.peak_origin_demand_gb_per_s = self.peak_origin_demand_gb_per_s.max(demand_gb_per_s);
        // Pieces available at the start of the step: a piece moves by one machine per step.
        let available_at_start: BTreeMap<(MachineId, ImageId), u32> = transfers
            .iter()
            .filter_map(|(_, image, from)| Some((from.clone()?, image.clone())))
            .map(|(from, image)| {
                let pieces = self.holders[&from].piece_count(&image);
                ((from, image), pieces)
            })
            .collect();
        for (id, image, from) in transfers {
            let max_gb_per_s = self.holders[&id].gb_per_s;
            let (rate_gb_per_s, available) = match &from {
                None => {
                    (max_gb_per_s * (self.origin_gb_per_s / demand_gb_per_s).min(1.0), u32::MAX)
                }
                Some(from) => {
                    let receivers = serving[from].len() as f64;
                    let source = &self.holders[from];
                    let fraction = if source.sends_nothing { 0.0 } else { source.upload_fraction };
                    let pieces = available_at_start[&(from.clone(), image.clone())];
                    ((source.gb_per_s * fraction / receivers).min(max_gb_per_s), pieces)
                }
            };
            self.transfer(now, (&id, &image, from.as_ref()), rate_gb_per_s * seconds, available);
        }
        self.serving = serving;
    }

    /// Moves up to `gb` of an image over one transfer. `available` is the source's number of pieces.
    fn transfer(
        &mut self,
        now: Ms,
        transfer: (&MachineId, &ImageId, Option<&MachineId>),
        gb: f64,
        available: u32,
    ) {
        let (id, image, from) = transfer;
        let is_corrupt = from.is_some_and(|f| self.holders[f].sends_corrupt_pieces);
        let Some(holder) = self.holders.get_mut(id) else { return };
        let (window, max_gb_per_s) = (holder.rate_window, holder.gb_per_s);
        let Some((_, fetch)) = holder.images.get_mut(image) else { return };
        // Nothing is transferred while the source has no further pieces.
        holder.partial_piece_gb =
            if fetch.received < available { holder.partial_piece_gb + gb } else { 0.0 };
        let source = match fetch.next(now) {
            FetchStep::Peer(source, _) => Some(source),
            _ => None,
        };
        while holder.partial_piece_gb >= self.piece_gb && fetch.received < available {
            let number = fetch.received;
            if number as usize >= fetch.manifest.digests.len() {
                break;
            }
            holder.partial_piece_gb -= self.piece_gb;
            let bytes = if is_corrupt { [0xff; 4] } else { number.to_le_bytes() };
            if !fetch.receive_piece(now, source.as_deref(), number, &bytes) {
                self.corrupt_pieces += 1;
                break;
            }
            self.received_gb += self.piece_gb;
            self.origin_gb += if from.is_none() { self.piece_gb } else { 0.0 };
        }
        // A source that had more pieces but sent at less than a fifth of the rate is too slow.
        let min_pieces =
            window.1 + (max_gb_per_s * RATE_WINDOW_MS as f64 / 5000.0 / self.piece_gb) as u32;
        if now.since(window.0) >= RATE_WINDOW_MS {
            holder.rate_window = (now, fetch.received);
            let is_too_slow = available > fetch.received + 1 && fetch.received < min_pieces;
            if is_too_slow && source.is_some() {
                fetch.mark_failed(now, source.as_deref());
            }
        }
    }

    /// Whether a source refuses a receiver because it does not exist, is at its limit or is exiting.
    fn refuses(
        &self,
        now: Ms,
        from: &MachineId,
        to: &MachineId,
        serving: &BTreeMap<MachineId, BTreeSet<MachineId>>,
    ) -> bool {
        let Some(source) = self.holders.get(from) else { return true };
        let is_served = self.serving.get(from).is_some_and(|s| s.contains(to));
        let is_full = serving.get(from).map_or(0, |s| s.len()) >= self.max_uploads;
        let is_exiting = source.exits_at.is_some_and(|until| !is_served || until <= now);
        // Receivers that it already serves keep their upload slots.
        let is_reserved =
            self.serving.get(from).map_or(0, |s| s.len()) >= self.max_uploads && !is_served;
        is_full || is_exiting || is_reserved
    }

    /// Marks a source as failed, so that the fetch uses the next one.
    fn fail_source(&mut self, now: Ms, id: &MachineId, image: &ImageId, source: &str) {
        let Some(holder) = self.holders.get_mut(id) else { return };
        holder.rate_window = (now, holder.piece_count(image));
        if let Some((_, fetch)) = holder.images.get_mut(image) {
            fetch.mark_failed(now, Some(source));
        }
    }

    /// Synchronizes with a worker: takes its fetch requests, updates the images that it reports and
    /// starts tasks whose image is complete. Returns whether any task was started.
    pub fn sync_worker(&mut self, now: Ms, worker: &mut Worker) -> bool {
        for (image, gb, sources) in std::mem::take(&mut worker.images.fetch_requests) {
            if !self.has_complete(&worker.id, &image) {
                self.fetch(now, &worker.id, &image, gb, &sources);
            }
        }
        let Some(holder) = self.holders.get(&worker.id) else { return false };
        let tasks = &worker.tasks;
        let is_waiting = |key: &TaskKey| tasks.get(key).is_some_and(|t| t.exit.is_none());
        worker.images.waiting.retain(|key, _| is_waiting(key));
        let mut tasks_started = false;
        for (key, (image, run_ms)) in std::mem::take(&mut worker.images.waiting) {
            if !holder.has_complete(&image) {
                worker.images.waiting.insert(key, (image, run_ms));
            } else if let Some(task) = worker.tasks.get_mut(&key) {
                (task.ready_at, task.ends_at) = (worker.renewed_at, now.plus(run_ms));
                tasks_started = true;
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
        let is_awaited = |i: &ImageId| worker.images.waiting.values().any(|w| w.0 == *i);
        if holder.active.as_ref().is_some_and(|i| !is_awaited(i)) {
            self.cancel_fetch(&worker.id);
        }
        tasks_started
    }
}

impl ImageHolder {
    /// Stops the current fetch.
    pub fn stop_fetch(&mut self) {
        self.active = None;
    }

    /// Number of pieces of an image that it holds.
    pub fn piece_count(&self, image: &ImageId) -> u32 {
        self.images.get(image).map_or(0, |i| i.1.received)
    }

    /// Whether it can serve an image, as far as it holds the pieces.
    fn can_serve(&self, image: &ImageId) -> bool {
        self.has_complete(image) || self.active.as_ref() == Some(image)
    }

    /// Whether it holds a complete image.
    pub fn has_complete(&self, image: &ImageId) -> bool {
        self.images.get(image).is_some_and(|i| i.1.fraction() >= 1.0)
    }
}
