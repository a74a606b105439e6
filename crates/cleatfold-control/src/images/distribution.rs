//! The distribution of images that many machines want at once: what `cleatfold_image_distribution` decides from, what
//! becomes of its decisions, and the two records.

use crate::controller::{Controller, Pending};
use crate::effects::{CallPriority, StoreReply, StoreRequest};
use crate::store::cache::Versioned;
use crate::store::records::{image_holders_key, pool_key, OriginRecord, SpreadRecord, ORIGIN_KEY};
use cleatfold_image_distribution::{Seen, Settings, Turn, View, Want};
use cleatfold_wire::job::Kind;
use cleatfold_wire::mesh::Message;
use cleatfold_wire::store::Txn;
use cleatfold_wire::worker::{Command, HeldImage, TaskReport, TaskState};
use cleatfold_wire::{Attempt, ImageId, JobId, MachineId, Ms, PoolId, TaskIx, Version};
use std::collections::{BTreeMap, BTreeSet};

/// Between two looks at all spreads, two changes of the slots, and two of who holds what.
const DISTRIBUTION_INTERVAL_MS: u64 = 250;
const SLOTS_MS: u64 = 1500;
const HOLDERS_MS: u64 = 5000;
/// An image that no more machines want has no record of its own.
const HANDFUL: usize = 5;

impl Controller {
    /// At each tick, once we serve.
    pub(crate) fn maintain_image_distribution(&mut self) {
        let Some(settings) = self.cfg.image_distribution.clone() else { return };
        if self.now.since(self.image_distribution.last_checked)
            < DISTRIBUTION_INTERVAL_MS * self.backpressure
            || !self.in_contact()
        {
            return;
        }
        self.image_distribution.last_checked = self.now;
        self.image_distribution.note_ran(&self.inventory.machines, &self.cache.jobs);
        let (wants, in_use) = self.wants(&settings);
        let seen = self.seen(&settings);
        self.keep_holders(&wants, &seen);
        let pools: BTreeSet<PoolId> =
            self.pools.owned.keys().filter(|p| self.my_token(p).is_some()).cloned().collect();
        let spreads: BTreeMap<ImageId, SpreadRecord> =
            self.cache.image_holders.iter().map(|(i, r)| (i.clone(), r.value.clone())).collect();
        let mut distributor = std::mem::take(&mut self.image_distribution.distributor);
        let (origin, come) = distributor.pass(&View {
            now: self.now,
            wall_ms: self.wall_ms,
            value_bytes: self.cfg.max_value_bytes,
            settings: &settings,
            origin: &self.cache.origin.value,
            spreads: &spreads,
            wants,
            pools: &pools,
            seen,
            in_use,
            gone: &|id| self.fetches_nothing(id),
            endpoints: &|id| self.inventory.machines.get(id)?.endpoint.clone(),
        });
        self.image_distribution.distributor = distributor;
        if let Some(origin) = origin {
            self.write_slots(origin);
        }
        self.answer_long_polls(&come);
    }

    /// Proven to fetch nothing: deleted, its lease run out, or unknown to whoever owned its pool
    /// for longer than the cloud's list lags.
    fn fetches_nothing(&self, id: &MachineId) -> bool {
        match self.inventory.machines.get(id) {
            Some(machine) => machine.expired,
            None => {
                let known = self.cfg.list_lag_ms + self.cfg.lease_ms + self.cfg.given_up_ms();
                let slot = self.cache.origin.value.slots.get(id);
                let owned = slot.and_then(|s| self.pools.owned.get(&s.pool));
                self.inventory.is_deleted(id)
                    || owned.is_some_and(|o| self.now.since(o.since) > known)
            }
        }
    }

    /// Machines whose claims wait for large images, and on how many machines each is claimed.
    fn wants(&self, settings: &Settings) -> (Vec<Want>, BTreeMap<ImageId, usize>) {
        let mut wants: Vec<Want> = Vec::new();
        // Large images in use on a machine, for the cache holds only so much.
        let mut on: BTreeMap<&MachineId, BTreeMap<&ImageId, f64>> = BTreeMap::new();
        for (id, cached) in &self.cache.jobs {
            let spec = &cached.record.spec;
            let over = cached.record.aborted || cached.is_complete();
            if !settings.is_large(spec.image_gb) || cached.claimed == 0 || over {
                continue;
            }
            for group in self.cache.tables(id).flat_map(|t| &t.claims) {
                let ending = |t: &(TaskIx, Attempt)| self.is_ending(id, t.0, t.1);
                if group.tasks.iter().all(ending) {
                    continue;
                }
                let machine = self.inventory.machines.get(&group.machine);
                on.entry(&group.machine).or_default().insert(&spec.image, spec.image_gb);
                let kind = self.inventory.types.get(&group.pool.machine_type);
                let images = machine.and_then(|m| m.heartbeat.as_ref()).map(|r| &r.images);
                wants.push(Want {
                    machine: group.machine.clone(),
                    pool: group.pool.clone(),
                    image: spec.image.clone(),
                    urgency: spec.urgency as u8,
                    gang: spec.kind == Kind::Gang,
                    place: cached.place(),
                    mb_per_s: settings.slot(kind.map_or(1.0, |t| t.fetch_gb_per_s)),
                    // Of others' machines nothing is known: they decide themselves.
                    supports_peer_fetch: images.is_none_or(|i| i.is_some()),
                    stuck: images.is_some_and(Controller::has_stuck_fetch),
                    pushes_out: None,
                });
            }
        }
        let mut in_use: BTreeMap<ImageId, usize> = BTreeMap::new();
        for image in on.values().flat_map(|images| images.keys()) {
            *in_use.entry((*image).clone()).or_default() += 1;
        }
        for want in &mut wants {
            let images = &on[&want.machine];
            let cache = self.inventory.types.get(&want.pool.machine_type).map(|t| t.cache_gb);
            let full = images.values().sum::<f64>() > cache.unwrap_or(f64::INFINITY);
            let old = images.keys().find(|i| ***i != want.image).filter(|_| full);
            want.pushes_out = old.map(|i| (*i).clone());
        }
        (wants, in_use)
    }

    /// Our machines, by reports sent under our token.
    fn seen(&self, settings: &Settings) -> BTreeMap<MachineId, Seen> {
        let mut seen = BTreeMap::new();
        for (id, machine) in &self.inventory.machines {
            let Some(token) = self.my_token(&machine.pool) else { continue };
            let Some(heartbeat) = machine.heartbeat.as_ref().filter(|r| r.token == token) else {
                continue;
            };
            if machine.expired {
                continue;
            }
            let held = || heartbeat.images.iter().flatten();
            let mut fetching = BTreeSet::new();
            for task in heartbeat.tasks.iter().filter(|t| t.state == TaskState::Fetching) {
                let cached = self.cache.jobs.get(&task.task.job).map(|l| &l.record.spec);
                match cached {
                    Some(spec) if settings.is_large(spec.image_gb) => {
                        fetching.insert(spec.image.clone());
                    }
                    Some(_) => {}
                    // A job that has gone since: whatever it has a slot for.
                    None => fetching
                        .extend(self.cache.origin.value.slots.get(id).map(|s| s.image.clone())),
                }
            }
            seen.insert(
                id.clone(),
                Seen {
                    pool: machine.pool.clone(),
                    at: heartbeat.at,
                    endpoint: machine.endpoint.clone().filter(|_| heartbeat.images.is_some()),
                    images: self.image_distribution.images_there(id, machine),
                    fetching,
                    stuck: Controller::has_stuck_fetch(&heartbeat.images),
                    source: held().find_map(|i| i.source.clone()),
                    serves: held().map(|i| i.serves).sum(),
                    leaving: !machine.takes_work(),
                },
            );
        }
        seen
    }

    pub(crate) fn has_stuck_fetch(images: &Option<Vec<HeldImage>>) -> bool {
        images.iter().flatten().any(|i| i.stuck)
    }

    /// Whether a claim's machine may be told to start, and where from it fetches what is not there
    /// (nothing: from the origin). None: its turn has not come.
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
        let there = self.image_distribution.images_there(id, machine);
        if there.get(&spec.image).is_some_and(|part| *part >= 1.0) {
            return Some(vec![]);
        }
        match self.image_distribution.distributor.turn(id, &spec.image)? {
            // One that lists its images has just said that it is not: it came back with an empty cache
            // since turns were last looked at, and would have fetched without a slot.
            Turn::Here => {
                let lists = machine.heartbeat.as_ref().is_some_and(|r| r.images.is_some());
                (!lists).then(Vec::new)
            }
            Turn::From(sources) => Some(sources.clone()),
            // The slot as it stands, not as it stood when turns were last looked at.
            Turn::Origin => {
                let slot = self.cache.origin.value.slots.get(id)?;
                let stands = slot.image == spec.image && slot.pool == machine.pool;
                (stands && !self.image_distribution.given_back.contains(id)).then(Vec::new)
            }
        }
    }

    /// A machine whose sources failed, or for which there are better ones, is told others, by the command that it has had already.
    pub(crate) fn fetch_redirect_commands(
        &self,
        id: &MachineId,
        tasks: &[TaskReport],
    ) -> Vec<Command> {
        // Only what was decided since it said so. (By the turn that it had, a stuck machine was sent back
        // to the source that had failed it at each report, and never stood still long enough to be seen.)
        if !self.image_distribution.distributor.is_moved(id) {
            return vec![];
        }
        let fetching = tasks.iter().filter(|t| t.state == TaskState::Fetching);
        let ours = fetching.filter(|t| {
            let claim = self.cache.claim(id, &t.task);
            // A former owner's claim as well: it is listed, so the command repeats what it has had.
            claim.is_some_and(|c| c.attempt == t.attempt)
        });
        ours.filter_map(|t| {
            let sources = self.permitted_fetch_sources(id, &t.task.job)?;
            Some(Command::Start { task: t.task.clone(), attempt: t.attempt, sources })
        })
        .collect()
    }

    /// What a machine was told to fetch shows in its next report, or it was not told.
    pub(crate) fn record_fetch_commands(&mut self, id: &MachineId, commands: &[Command]) {
        let Some(settings) = &self.cfg.image_distribution else { return };
        let large = commands.iter().any(|c| {
            let Command::Start { task, .. } = c else { return false };
            let cached = self.cache.jobs.get(&task.job);
            cached.is_some_and(|l| settings.is_large(l.record.spec.image_gb))
        });
        if large {
            self.image_distribution.distributor.ordered(id, self.now);
        }
    }

    // ---- the records ----

    /// Changes the slots of our pools: guarded by the record, so that the sum stays within the bound
    /// whoever else adds to it, and by the pools' tokens.
    fn write_slots(&mut self, record: OriginRecord) {
        let since = self.now.since(self.image_distribution.slots_at);
        if self.image_distribution.slots_inflight
            || (since < SLOTS_MS && self.image_distribution.slots_at > Ms(0))
        {
            return;
        }
        let old = &self.cache.origin.value;
        let changed = |from: &OriginRecord, to: &OriginRecord| -> Vec<(MachineId, PoolId)> {
            let gone = from.slots.iter().filter(|(m, s)| to.slots.get(*m) != Some(*s));
            gone.map(|(m, s)| (m.clone(), s.pool.clone())).collect()
        };
        let (gone, new) = (changed(old, &record), changed(&record, old));
        let pools: BTreeSet<&PoolId> = gone.iter().chain(&new).map(|c| &c.1).collect();
        let mut txn = Txn::default();
        txn.guard(ORIGIN_KEY, self.cache.origin.version);
        for pool in pools {
            let Some(token) = self.my_token(pool) else { return };
            txn.guard(pool_key(pool), Version(token.0));
        }
        txn.put(ORIGIN_KEY, &record, None);
        self.image_distribution.given_back = gone.into_iter().map(|c| c.0).collect();
        self.image_distribution.slots_inflight = true;
        self.image_distribution.slots_at = self.now;
        let request = StoreRequest::Txn(txn.clone());
        self.store(CallPriority::Claim, request, Pending::Origin { txn, record });
    }

    pub(crate) fn on_origin_slots_written(
        &mut self,
        op: u64,
        txn: Txn,
        record: OriginRecord,
        reply: StoreReply,
    ) {
        match reply {
            // It may yet be executed: until that is decided what it gives back is not used.
            StoreReply::Unknown | StoreReply::Refused => {
                let again = txn.clone();
                return self.again(
                    op,
                    CallPriority::Claim,
                    again,
                    Pending::Origin { txn, record },
                    300,
                );
            }
            StoreReply::Committed(version) => {
                if self.cache.origin.version < version {
                    self.cache.origin = Versioned::new(version, record);
                }
                // Those whose slot it is need not wait for the next look.
                self.image_distribution.last_checked = Ms(0);
            }
            // Somebody else was first.
            _ => {
                self.image_distribution.slots_at = Ms(self.now.0.saturating_sub(SLOTS_MS - 300));
                self.session.sync_wanted = true;
            }
        }
        self.image_distribution.slots_inflight = false;
        self.image_distribution.given_back.clear();
    }

    /// Says which of our machines hold what is being spread, and notes those that hold the last
    /// copy of something in use.
    fn keep_holders(&mut self, wants: &[Want], seen: &BTreeMap<MachineId, Seen>) {
        let mut wanted: BTreeMap<&ImageId, BTreeSet<&MachineId>> = BTreeMap::new();
        for want in wants {
            wanted.entry(&want.image).or_default().insert(&want.machine);
        }
        let mut last = BTreeSet::new();
        for image in wanted.keys() {
            let mut ours = seen.iter().filter(|(_, s)| s.has(image)).map(|(m, _)| m);
            let elsewhere =
                self.cache.image_holders.get(*image).into_iter().flat_map(|r| &r.value.holders);
            let mut elsewhere = elsewhere.filter(|(p, _)| !self.pools.owned.contains_key(*p));
            if let (Some(only), None, None) = (ours.next(), ours.next(), elsewhere.next()) {
                last.insert(only.clone());
            }
        }
        self.image_distribution.last = last;
        if self.image_distribution.holders_inflight
            || self.now.since(self.image_distribution.holders_at) < HOLDERS_MS
        {
            return;
        }
        let known = self.cache.image_holders.keys();
        let images: BTreeSet<ImageId> = known.chain(wanted.keys().copied()).cloned().collect();
        for image in &images {
            let old = self.cache.image_holders.get(image);
            let many = wanted.get(image).is_some_and(|m| m.len() > HANDFUL);
            let mut txn = Txn::default();
            txn.guard(image_holders_key(image), old.map(|o| o.version).unwrap_or_default());
            if old.is_some() && !wanted.contains_key(image) {
                // Nobody uses it any more. (It may be wanted again: then it is written anew.)
                txn.delete(image_holders_key(image));
            } else if old.is_some() || many {
                let mut new = old.map(|o| o.value.clone()).unwrap_or_default();
                for pool in self.pools.owned.keys() {
                    let Some(token) = self.my_token(pool) else { continue };
                    let here = seen.iter().filter(|(_, s)| {
                        s.pool == *pool && s.endpoint.is_some() && !s.leaving && s.has(image)
                    });
                    let mut holders: BTreeSet<MachineId> = here.map(|(m, _)| m.clone()).collect();
                    // Not heard of yet, and not known to be gone: as the record has it.
                    let before = new.holders.get(pool).map(|n| n.read()).unwrap_or_default();
                    let unheard = |m: &MachineId| {
                        !seen.contains_key(m) && self.inventory.machines.contains_key(m)
                    };
                    holders.extend(before.iter().filter(|m| unheard(m)).cloned());
                    if holders != before {
                        new.set(pool, &holders, self.cfg.max_value_bytes);
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
            self.image_distribution.holders_inflight = true;
            self.image_distribution.holders_at = self.now;
            self.store(CallPriority::Poll, StoreRequest::Txn(txn), Pending::Spread);
            return;
        }
    }

    /// Whatever came of it, the next reading tells.
    pub(crate) fn on_image_holders_written(&mut self) {
        self.image_distribution.holders_inflight = false;
        self.session.sync_wanted = true;
    }

    /// Tells the others what images our machines hold, a machine when that has changed.
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
            self.tell(None, Message::Images { machines });
        }
    }
}
