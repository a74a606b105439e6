//! Distribution of images that many machines need at the same time. Collects the input of the
//! decisions that `cleatfold_image_distribution` makes, carries the decisions out, and writes the
//! two records: the slots at the origin, and the holders of each image.

use crate::controller::{Controller, Pending};
use crate::effects::{CallPriority, StoreReply, StoreRequest};
use crate::store::cache::Versioned;
use crate::store::records::{
    image_holders_key, pool_key, ImageHoldersRecord, OriginRecord, ORIGIN_KEY,
};
use cleatfold_image_distribution::{
    DistributionInput, FetchRequest, FetchSource, ObservedMachine, Settings,
};
use cleatfold_wire::job::Kind;
use cleatfold_wire::mesh::Message;
use cleatfold_wire::store::Txn;
use cleatfold_wire::worker::{Command, HeldImage, TaskReport, TaskState};
use cleatfold_wire::{Attempt, ImageId, JobId, MachineId, Ms, PoolId, TaskIx, Version};
use std::collections::{BTreeMap, BTreeSet};

/// Interval between two passes over all images.
const DISTRIBUTION_INTERVAL_MS: u64 = 250;
/// Interval between two writes of the origin's slots.
const SLOT_WRITE_INTERVAL_MS: u64 = 1500;
/// Interval between two writes of an image's holders.
const HOLDER_WRITE_INTERVAL_MS: u64 = 5000;
/// An image that at most this many machines want gets no record of its holders.
const MAX_UNRECORDED_MACHINES: usize = 5;

impl Controller {
    /// Decides on fetches and writes the records. Called at each tick once the controller serves.
    pub(crate) fn maintain_image_distribution(&mut self) {
        let Some(settings) = self.cfg.image_distribution.clone() else { return };
        if self.now.since(self.image_distribution.last_checked)
            < DISTRIBUTION_INTERVAL_MS * self.backpressure
            || !self.has_store_contact()
        {
            return;
        }
        self.image_distribution.last_checked = self.now;
        self.image_distribution.record_run_images(&self.inventory.machines, &self.cache.jobs);
        let (wants, in_use) = self.wants(&settings);
        let seen = self.observed_machines(&settings);
        self.maintain_holders(&wants, &seen);
        let pools: BTreeSet<PoolId> = self
            .pools
            .owned
            .keys()
            .filter(|p| self.owned_pool_token(p).is_some())
            .cloned()
            .collect();
        let image_holders: BTreeMap<ImageId, ImageHoldersRecord> =
            self.cache.image_holders.iter().map(|(i, r)| (i.clone(), r.value.clone())).collect();
        let mut distributor = std::mem::take(&mut self.image_distribution.distributor);
        let (origin, newly_permitted) = distributor.update(&DistributionInput {
            now: self.now,
            wall_ms: self.wall_ms,
            value_bytes: self.cfg.max_value_bytes,
            settings: &settings,
            origin: &self.cache.origin.value,
            image_holders: &image_holders,
            requests: wants,
            pools: &pools,
            machines: seen,
            in_use,
            cannot_be_fetching: &|id| self.cannot_be_fetching(id),
            peer_endpoint: &|id| self.inventory.machines.get(id)?.endpoint.clone(),
        });
        self.image_distribution.distributor = distributor;
        if let Some(origin) = origin {
            self.write_origin_slots(origin);
        }
        self.answer_long_polls(&newly_permitted);
    }

    /// Whether the machine provably fetches nothing: it is deleted, its lease has expired, or it is
    /// unknown although this controller has owned its pool for longer than the sum of the cloud's
    /// list lag, a worker's lease and the time after which a machine counts as unresponsive.
    fn cannot_be_fetching(&self, id: &MachineId) -> bool {
        match self.inventory.machines.get(id) {
            Some(machine) => machine.lease_expired,
            None => {
                let discovery_ms =
                    self.cfg.list_lag_ms + self.cfg.lease_ms + self.cfg.machine_timeout_ms();
                let slot = self.cache.origin.value.slots.get(id);
                let owned_pool = slot.and_then(|s| self.pools.owned.get(&s.pool));
                self.inventory.is_deleted(id)
                    || owned_pool
                        .is_some_and(|pool| self.now.since(pool.acquired_at) > discovery_ms)
            }
        }
    }

    /// The claims on machines for jobs with large images, and the number of machines on which each
    /// such image is in use.
    fn wants(&self, settings: &Settings) -> (Vec<FetchRequest>, BTreeMap<ImageId, usize>) {
        let mut wants: Vec<FetchRequest> = Vec::new();
        // Large images in use on each machine, with their sizes in GB: a machine's cache is
        // limited.
        let mut in_use_by_machine: BTreeMap<&MachineId, BTreeMap<&ImageId, f64>> = BTreeMap::new();
        for (id, cached) in &self.cache.jobs {
            let spec = &cached.record.spec;
            let is_over = cached.record.aborted || cached.is_complete();
            if !settings.is_large(spec.image_gb) || cached.claimed == 0 || is_over {
                continue;
            }
            for group in self.cache.tables(id).flat_map(|t| &t.claims) {
                let is_ending = |task: &(TaskIx, Attempt)| self.is_ending(id, task.0, task.1);
                if group.tasks.iter().all(is_ending) {
                    continue;
                }
                let machine = self.inventory.machines.get(&group.machine);
                in_use_by_machine
                    .entry(&group.machine)
                    .or_default()
                    .insert(&spec.image, spec.image_gb);
                let machine_type = self.inventory.types.get(&group.pool.machine_type);
                let reported = machine.and_then(|m| m.heartbeat.as_ref()).map(|h| &h.images);
                wants.push(FetchRequest {
                    machine: group.machine.clone(),
                    pool: group.pool.clone(),
                    image: spec.image.clone(),
                    urgency: spec.urgency as u8,
                    gang: spec.kind == Kind::Gang,
                    accepted_revision: cached.accepted_revision(),
                    mb_per_s: settings
                        .slot_mb_per_s(machine_type.map_or(1.0, |t| t.fetch_gb_per_s)),
                    // Nothing is known of machines in other controllers' pools; their owner
                    // decides.
                    supports_peer_fetch: reported.is_none_or(|images| images.is_some()),
                    stuck: reported.is_some_and(Controller::has_stuck_fetch),
                    evicted_image: None,
                });
            }
        }
        let mut in_use: BTreeMap<ImageId, usize> = BTreeMap::new();
        for image in in_use_by_machine.values().flat_map(|images| images.keys()) {
            *in_use.entry((*image).clone()).or_default() += 1;
        }
        for want in &mut wants {
            let images = &in_use_by_machine[&want.machine];
            let cache_gb = self.inventory.types.get(&want.pool.machine_type).map(|t| t.cache_gb);
            let is_over_capacity = images.values().sum::<f64>() > cache_gb.unwrap_or(f64::INFINITY);
            let evicted =
                images.keys().find(|image| ***image != want.image).filter(|_| is_over_capacity);
            want.evicted_image = evicted.map(|image| (*image).clone());
        }
        (wants, in_use)
    }

    /// The machines of this controller's pools, as of heartbeats sent under its own tokens.
    fn observed_machines(&self, settings: &Settings) -> BTreeMap<MachineId, ObservedMachine> {
        let mut seen = BTreeMap::new();
        for (id, machine) in &self.inventory.machines {
            let Some(token) = self.owned_pool_token(&machine.pool) else { continue };
            let Some(heartbeat) = machine.heartbeat.as_ref().filter(|h| h.token == token) else {
                continue;
            };
            if machine.lease_expired {
                continue;
            }
            let held = || heartbeat.images.iter().flatten();
            let mut fetching = BTreeSet::new();
            for task in heartbeat.tasks.iter().filter(|t| t.state == TaskState::Fetching) {
                let spec = self.cache.jobs.get(&task.task.job).map(|cached| &cached.record.spec);
                match spec {
                    Some(spec) if settings.is_large(spec.image_gb) => {
                        fetching.insert(spec.image.clone());
                    }
                    Some(_) => {}
                    // The job has been removed since: assume the image of the machine's slot.
                    None => fetching
                        .extend(self.cache.origin.value.slots.get(id).map(|s| s.image.clone())),
                }
            }
            seen.insert(
                id.clone(),
                ObservedMachine {
                    pool: machine.pool.clone(),
                    received_at: heartbeat.received_at,
                    endpoint: machine.endpoint.clone().filter(|_| heartbeat.images.is_some()),
                    images: self.image_distribution.held_images(id, machine),
                    fetching,
                    stuck: Controller::has_stuck_fetch(&heartbeat.images),
                    source: held().find_map(|i| i.source.clone()),
                    active_uploads: held().map(|i| i.serves).sum(),
                    leaving: !machine.is_schedulable(),
                },
            );
        }
        seen
    }

    /// Whether every source of one of the fetches has failed.
    pub(crate) fn has_stuck_fetch(images: &Option<Vec<HeldImage>>) -> bool {
        images.iter().flatten().any(|i| i.stuck)
    }

    /// The sources from which a claim's machine may fetch the job's image; an empty list means the
    /// origin, or that no fetch is needed. `None` if the machine has to wait for its turn before it
    /// is told to start.
    pub(crate) fn permitted_fetch_sources(
        &self,
        id: &MachineId,
        job: &JobId,
    ) -> Option<Vec<String>> {
        let Some(settings) = &self.cfg.image_distribution else { return Some(vec![]) };
        let Some(cached) = self.cache.jobs.get(job) else { return Some(vec![]) };
        let spec = &cached.record.spec;
        if !settings.is_large(spec.image_gb) {
            return Some(vec![]);
        }
        let machine = self.inventory.machines.get(id)?;
        let held = self.image_distribution.held_images(id, machine);
        if held.get(&spec.image).is_some_and(|part| *part >= 1.0) {
            return Some(vec![]);
        }
        match self.image_distribution.distributor.fetch_source(id, &spec.image)? {
            // A worker that lists its images has just reported the image as missing: it has
            // returned with an empty cache since the last pass, and would fetch without a slot.
            FetchSource::Present => {
                let lists_images = machine.heartbeat.as_ref().is_some_and(|h| h.images.is_some());
                (!lists_images).then(Vec::new)
            }
            FetchSource::Peers(sources) => Some(sources.clone()),
            // Checks the slot in the present record: it may have changed since the last pass.
            FetchSource::Origin => {
                let slot = self.cache.origin.value.slots.get(id)?;
                let is_valid = slot.image == spec.image && slot.pool == machine.pool;
                (is_valid && !self.image_distribution.releasing_slots.contains(id)).then(Vec::new)
            }
        }
    }

    /// Commands that give a machine other sources for fetches in progress, because its sources
    /// failed or better ones exist. Each repeats the start command that the machine has already
    /// received.
    pub(crate) fn fetch_redirect_commands(
        &self,
        id: &MachineId,
        tasks: &[TaskReport],
    ) -> Vec<Command> {
        // Only sources that were decided on after the machine reported its state. Repeating the
        // earlier ones at each heartbeat sent a stuck machine back to the source that had failed
        // it, and it was never stuck long enough for that to be noticed.
        if !self.image_distribution.distributor.needs_new_sources(id) {
            return vec![];
        }
        let fetching = tasks.iter().filter(|t| t.state == TaskState::Fetching);
        let claimed = fetching.filter(|t| {
            let claim = self.cache.claim(id, &t.task);
            // Includes claims made by a former owner: the worker lists the task, so the command
            // repeats one that it has received.
            claim.is_some_and(|c| c.attempt == t.attempt)
        });
        claimed
            .filter_map(|t| {
                let sources = self.permitted_fetch_sources(id, &t.task.job)?;
                Some(Command::Start { task: t.task.clone(), attempt: t.attempt, sources })
            })
            .collect()
    }

    /// Records that start commands for large images were sent to a machine. Its next heartbeat
    /// shows the fetch; if it does not, the command was not received.
    pub(crate) fn record_fetch_commands(&mut self, id: &MachineId, commands: &[Command]) {
        let Some(settings) = &self.cfg.image_distribution else { return };
        let fetches_large_image = commands.iter().any(|c| {
            let Command::Start { task, .. } = c else { return false };
            let cached = self.cache.jobs.get(&task.job);
            cached.is_some_and(|job| settings.is_large(job.record.spec.image_gb))
        });
        if fetches_large_image {
            self.image_distribution.distributor.record_command(id, self.now);
        }
    }

    // ---- the records ----

    /// Writes the slots of this controller's pools. Guarded by the version of the record, so that
    /// the sum of all slots stays within the origin's bound when other controllers add some at the
    /// same time, and by the pools' tokens.
    fn write_origin_slots(&mut self, record: OriginRecord) {
        let since_write = self.now.since(self.image_distribution.slots_written_at);
        if self.image_distribution.slots_in_flight
            || (since_write < SLOT_WRITE_INTERVAL_MS
                && self.image_distribution.slots_written_at > Ms(0))
        {
            return;
        }
        let old = &self.cache.origin.value;
        let missing_in = |from: &OriginRecord, to: &OriginRecord| -> Vec<(MachineId, PoolId)> {
            let missing = from.slots.iter().filter(|(m, s)| to.slots.get(*m) != Some(*s));
            missing.map(|(m, s)| (m.clone(), s.pool.clone())).collect()
        };
        let (released, added) = (missing_in(old, &record), missing_in(&record, old));
        let pools: BTreeSet<&PoolId> = released.iter().chain(&added).map(|c| &c.1).collect();
        let mut txn = Txn::default();
        txn.guard(ORIGIN_KEY, self.cache.origin.version);
        for pool in pools {
            let Some(token) = self.owned_pool_token(pool) else { return };
            txn.guard(pool_key(pool), Version(token.0));
        }
        txn.put(ORIGIN_KEY, &record, None);
        self.image_distribution.releasing_slots = released.into_iter().map(|c| c.0).collect();
        self.image_distribution.slots_in_flight = true;
        self.image_distribution.slots_written_at = self.now;
        let request = StoreRequest::Txn(txn.clone());
        self.call_store(CallPriority::Claim, request, Pending::Origin { txn, record });
    }

    pub(crate) fn on_origin_slots_written(
        &mut self,
        op: u64,
        txn: Txn,
        record: OriginRecord,
        reply: StoreReply,
    ) {
        match reply {
            // The write may still be executed. Until its outcome is known, the slots that it
            // releases are not used.
            StoreReply::Unknown | StoreReply::Refused => {
                let resent = txn.clone();
                return self.schedule_resend(
                    op,
                    CallPriority::Claim,
                    resent,
                    Pending::Origin { txn, record },
                    300,
                );
            }
            StoreReply::Committed(version) => {
                if self.cache.origin.version < version {
                    self.cache.origin = Versioned::new(version, record);
                }
                // Machines with a new slot need not wait for the interval between two passes.
                self.image_distribution.last_checked = Ms(0);
            }
            // Another controller has written the record first: try again in 300 ms.
            _ => {
                self.image_distribution.slots_written_at =
                    Ms(self.now.0.saturating_sub(SLOT_WRITE_INTERVAL_MS - 300));
                self.session.sync_wanted = true;
            }
        }
        self.image_distribution.slots_in_flight = false;
        self.image_distribution.releasing_slots.clear();
    }

    /// Finds the machines of this controller that hold the last copy of an image in use, and writes
    /// the record of one image whose holders among this controller's machines have changed.
    fn maintain_holders(
        &mut self,
        wants: &[FetchRequest],
        seen: &BTreeMap<MachineId, ObservedMachine>,
    ) {
        let mut wanted: BTreeMap<&ImageId, BTreeSet<&MachineId>> = BTreeMap::new();
        for want in wants {
            wanted.entry(&want.image).or_default().insert(&want.machine);
        }
        let mut last_copies = BTreeSet::new();
        for image in wanted.keys() {
            let mut own = seen.iter().filter(|(_, s)| s.has(image)).map(|(m, _)| m);
            let others =
                self.cache.image_holders.get(*image).into_iter().flat_map(|r| &r.value.holders);
            let mut others = others.filter(|(p, _)| !self.pools.owned.contains_key(*p));
            if let (Some(only), None, None) = (own.next(), own.next(), others.next()) {
                last_copies.insert(only.clone());
            }
        }
        self.image_distribution.last_copies = last_copies;
        if self.image_distribution.holders_in_flight
            || self.now.since(self.image_distribution.holders_written_at) < HOLDER_WRITE_INTERVAL_MS
        {
            return;
        }
        let recorded = self.cache.image_holders.keys();
        let images: BTreeSet<ImageId> = recorded.chain(wanted.keys().copied()).cloned().collect();
        for image in &images {
            let old = self.cache.image_holders.get(image);
            let needs_record = wanted.get(image).is_some_and(|m| m.len() > MAX_UNRECORDED_MACHINES);
            let mut txn = Txn::default();
            txn.guard(image_holders_key(image), old.map(|o| o.version).unwrap_or_default());
            if old.is_some() && !wanted.contains_key(image) {
                // The image is no longer used. If it is wanted later, a new record is written.
                txn.delete(image_holders_key(image));
            } else if old.is_some() || needs_record {
                let mut new = old.map(|o| o.value.clone()).unwrap_or_default();
                for pool in self.pools.owned.keys() {
                    let Some(token) = self.owned_pool_token(pool) else { continue };
                    let hosts = seen.iter().filter(|(_, s)| {
                        s.pool == *pool && s.endpoint.is_some() && !s.leaving && s.has(image)
                    });
                    let mut holders: BTreeSet<MachineId> = hosts.map(|(m, _)| m.clone()).collect();
                    // Machines that have not reported yet but are still in the inventory stay as
                    // recorded.
                    let recorded = new.holders.get(pool).map(|n| n.unpack()).unwrap_or_default();
                    let is_unreported = |m: &MachineId| {
                        !seen.contains_key(m) && self.inventory.machines.contains_key(m)
                    };
                    holders.extend(recorded.iter().filter(|m| is_unreported(m)).cloned());
                    if holders != recorded {
                        new.set_pool_holders(pool, &holders, self.cfg.max_value_bytes);
                        txn.guard(pool_key(pool), Version(token.0));
                    }
                }
                if old.is_some_and(|o| o.value == new) || (old.is_none() && new.holders.is_empty())
                {
                    continue;
                }
                txn.put(image_holders_key(image), &new, None);
            } else {
                continue;
            }
            self.image_distribution.holders_in_flight = true;
            self.image_distribution.holders_written_at = self.now;
            self.call_store(CallPriority::Poll, StoreRequest::Txn(txn), Pending::ImageHolders);
            return;
        }
    }

    /// The outcome of the write does not matter here: the next read of the state service shows it.
    pub(crate) fn on_image_holders_written(&mut self) {
        self.image_distribution.holders_in_flight = false;
        self.session.sync_wanted = true;
    }

    /// Sends the other controllers the images held by those of this controller's machines whose
    /// images have changed.
    pub(crate) fn broadcast_image_changes(&mut self) {
        let mut machines = Vec::new();
        for (id, m) in &mut self.inventory.machines {
            if self.pools.owned.contains_key(&m.pool) && m.images_changed {
                m.images_changed = false;
                let images = m.images.iter().map(|(i, gb)| (i.to_string(), *gb)).collect();
                machines.push((id.to_string(), images));
            }
        }
        if !machines.is_empty() {
            self.send_to_peers(None, Message::Images { machines });
        }
    }
}
