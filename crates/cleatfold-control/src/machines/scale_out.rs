//! Scaling out, under the role of that name: an intent first, then the call.
//!
//! The cloud cannot tell a holder that was replaced from the one that came after it. So what is
//! asked of it is first written under the role's epoch: a former holder's write fails, and it has
//! nothing to ask for. Whoever comes next asks for the same by the same names.

use crate::config::ObjectiveKind;
use crate::controller::{Controller, Pending};
use crate::effects::{CallPriority, CloudReply, CloudRequest, StoreReply, StoreRequest};
use crate::machines::inventory::Machine;
use crate::scheduling::queue::Queued;
use crate::store::cache::{CachedJob, Versioned};
use crate::store::records::SCALE_OUT_KEY;
use cleatfold_roles::scale_out::ScaleOutStep;
use cleatfold_roles::{Role, ScaleOutIntent, ScaleOutOutcome, ScaleOutTracker};
use cleatfold_wire::cloud::ScaleOutRequest;
use cleatfold_wire::job::Kind;
use cleatfold_wire::mesh::Message;
use cleatfold_wire::store::Txn;
use cleatfold_wire::{MachineId, Ms, PoolId, ZoneId};
use std::collections::BTreeMap;

const SCALE_OUT_INTERVAL_MS: u64 = 500;
/// Less than this is a rounding error.
const MIN_LACK_CPUS: f64 = 1e-9;
/// Requests that stand in the record at one time.
const MAX_OPEN_INTENTS: usize = 4;
/// Machines that one request may ask for, by the protocol.
const MAX_MACHINES_PER_REQUEST: u32 = 50;

/// Machines of one pool, ordinary or spot: what the cloud offers at one price.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Offer {
    pool: PoolId,
    spot: bool,
}

impl Offer {
    fn of(intent: &ScaleOutIntent) -> Self {
        Self { pool: intent.pool(), spot: intent.spot }
    }
}

type CpusByOffer = BTreeMap<Offer, f64>;

/// What one waiting job needs.
struct Need {
    /// Processors that are not found yet.
    cpus: f64,
    /// Processors that it may use in one zone.
    per_zone: f64,
    /// Processors of existing machines that are counted for it.
    taken_by_zone: BTreeMap<ZoneId, f64>,
}

impl Need {
    fn is_zone_full(&self, zone: &ZoneId) -> bool {
        self.taken_by_zone.get(zone).is_some_and(|taken| *taken >= self.per_zone)
    }
}

/// The state of the role of scaling out.
#[derive(Debug, Default)]
pub(crate) struct ScaleOutState {
    tracker: ScaleOutTracker,
    count: u64,
    last_checked: Ms,
    writing: bool,
    /// Since when what we have read may be older than what we wrote.
    stale: Option<Ms>,
}

impl Controller {
    /// Requests the machines that are lacking, while this controller holds the role and the state
    /// service confirms it.
    pub(crate) fn maintain_scale_out(&mut self) {
        let due = self.now.since(self.scale_out.last_checked)
            >= SCALE_OUT_INTERVAL_MS * self.backpressure;
        if !due
            || !self.holds(Role::ScaleOut)
            || !self.in_contact()
            || self.cloud_state.list_at.is_none()
        {
            return;
        }
        self.scale_out.last_checked = self.now;
        let read =
            self.scale_out.stale.is_none_or(|s| self.session.last_read.is_some_and(|f| f > s));
        if self.scale_out.writing || !read {
            return;
        }
        self.scale_out.stale = None;
        let new = self.new_scale_out_intents();
        let Some(epoch) = self.epoch(Role::ScaleOut) else { return };
        let lag_ms = 2 * self.cfg.list_lag_ms + 5000;
        let Versioned { version, value: book } = &self.cache.scale_out_intents;
        let times = (self.now, self.wall_ms);
        let Some(step) = self.scale_out.tracker.next_step(book, epoch, new, times, lag_ms) else {
            return;
        };
        let mut txn = Txn::default();
        txn.guard(SCALE_OUT_KEY, *version);
        txn.guard(Role::ScaleOut.key(), epoch);
        txn.put(SCALE_OUT_KEY, &step.record, None);
        self.scale_out.writing = true;
        self.store(
            CallPriority::Renewal,
            StoreRequest::Txn(txn),
            Pending::ScaleOutIntents(Box::new(step)),
        );
    }

    fn new_scale_out_intents(&mut self) -> Vec<ScaleOutIntent> {
        let Some(incarnation) = self.session.incarnation else { return vec![] };
        // What is answered and only not yet out of the record holds nobody up.
        let coming = self.scale_out.tracker.pending(&self.cache.scale_out_intents.value);
        let open: Vec<Offer> = coming.map(Offer::of).collect();
        let free = MAX_OPEN_INTENTS.saturating_sub(open.len());
        if free == 0 {
            return vec![];
        }
        let mut new = Vec::new();
        for (offer, lack) in self.lacking() {
            // One at a time for the same machines.
            if new.len() >= free || open.contains(&offer) {
                continue;
            }
            let Offer { pool, spot } = offer;
            let cpus =
                self.inventory.types.get(&pool.machine_type).map_or(1.0, |t| t.cpus.max(0.1));
            let count = ((lack / cpus).ceil() as u32).clamp(1, MAX_MACHINES_PER_REQUEST);
            self.scale_out.count += 1;
            tracing::info!(%pool, spot, count, lack, "scaling out");
            new.push(ScaleOutIntent {
                name: format!("{}-{}-{}", self.cfg.me, incarnation, self.scale_out.count),
                machine_type: pool.machine_type,
                zone: pool.zone,
                spot,
                count,
                inherited: false,
            });
        }
        new
    }

    pub(crate) fn on_scale_out_written(&mut self, step: ScaleOutStep, reply: StoreReply) {
        self.scale_out.writing = false;
        match reply {
            StoreReply::Committed(version) => {
                if self.cache.scale_out_intents.version < version {
                    self.cache.scale_out_intents = Versioned::new(version, step.record);
                }
                self.scale_out.tracker.requests_sent(&step.requests);
                for intent in step.requests {
                    if intent.inherited {
                        tracing::info!(request = %intent.name, "repeating inherited scale-out request");
                    }
                    let request = intent.request();
                    let pending = Pending::ScaleOut { request: request.clone(), tries: 0 };
                    self.cloud(CloudRequest::ScaleOut(request), pending);
                }
            }
            // Perhaps it is durable: then the intents stand, and are met like a former holder's.
            _ => {
                self.scale_out.stale = Some(self.now);
                self.session.sync_wanted = true;
            }
        }
    }

    pub(crate) fn on_scale_out(&mut self, request: ScaleOutRequest, tries: u32, reply: CloudReply) {
        let pool =
            PoolId { machine_type: request.machine_type.clone(), zone: request.zone.clone() };
        let answer = match reply {
            CloudReply::Rented(machines) => {
                tracing::info!(%pool, spot = request.spot, ?machines, "machines created");
                let short = (machines.len() as u32) < request.count;
                let names = machines.iter().map(|m| m.to_string()).collect();
                let message =
                    Message::Rented { pool: pool.to_string(), spot: request.spot, machines: names };
                self.tell(None, message);
                self.note_created_machines(&pool, request.spot, machines);
                if short {
                    ScaleOutOutcome::Shortfall
                } else {
                    ScaleOutOutcome::Fulfilled
                }
            }
            CloudReply::NoCapacity => ScaleOutOutcome::Shortfall,
            // The same name again creates nothing twice.
            _ if tries < 3 => {
                let pending = Pending::ScaleOut { request: request.clone(), tries: tries + 1 };
                return self.cloud(CloudRequest::ScaleOut(request), pending);
            }
            _ => ScaleOutOutcome::Unknown,
        };
        self.scale_out.tracker.record_outcome(&request.request, answer, self.now);
    }

    /// Machines that will come up, as the cloud has just said to us or to the holder of the role.
    pub(crate) fn note_created_machines(
        &mut self,
        pool: &PoolId,
        spot: bool,
        machines: Vec<MachineId>,
    ) {
        let now = self.now;
        for id in machines {
            if !self.inventory.is_deleted(&id) {
                let new = || Machine::new(pool.clone(), spot, now);
                self.inventory.machines.entry(id).or_insert_with(new);
            }
        }
        self.replan_needed = true;
    }

    /// Processors that the machines which exist or are requested will not provide in time, by the
    /// offer that suits the waiting jobs best; most first. Each job in the order of the queue takes
    /// what it may use of the supply, and lacks the rest. (The sum over the queue alone once filled
    /// the region with machines that the waiting jobs could not use.)
    fn lacking(&self) -> Vec<(Offer, f64)> {
        let mut headroom = self.team_headroom(|cached| self.share_still_needed(cached));
        let mut supply = self.supply();
        let mut lacking = CpusByOffer::new();
        let sizes = self.inventory.sizes();
        for Queued { job: id, tasks: unclaimed, growth, .. } in self.queue() {
            let Some(cached) = self.cache.jobs.get(&id) else { continue };
            // No machine is requested for another try of what fails wherever it runs.
            let may_use = |offer: &Offer| self.may_use(cached, &offer.pool);
            if growth || (self.is_suspect(&id, cached) && supply.keys().any(may_use)) {
                continue;
            }
            let mut need = self.scale_out_need(cached, unclaimed);
            // Nor for what the team's limit will not let start.
            if let Some(headroom) = headroom.get_mut(&cached.record.spec.team) {
                need.cpus = need.cpus.min(*headroom).max(0.0);
                *headroom -= need.cpus;
            }
            self.take_from_supply(cached, &mut need, &mut supply);
            if need.cpus > MIN_LACK_CPUS {
                if let Some(offer) = self.best_offer(cached, &lacking, &need, &sizes) {
                    *lacking.entry(offer).or_default() += need.cpus;
                }
            }
        }
        let mut wanted: Vec<(Offer, f64)> = lacking.into_iter().collect();
        wanted.sort_by(|a, b| b.1.total_cmp(&a.1).then(a.0.cmp(&b.0)));
        wanted
    }

    /// The share of its processors that a job still holds when those that wait now need them.
    fn share_still_needed(&self, cached: &CachedJob) -> f64 {
        (0.5 * cached.record.spec.estimate_s / self.cfg.usual_wait_s).min(1.0)
    }

    /// Processors of the machines that exist, less what their tasks go on using, and of those that
    /// are requested.
    fn supply(&self) -> CpusByOffer {
        let mut supply = CpusByOffer::new();
        for (id, m) in &self.inventory.machines {
            // One that another controller has returned is no supply. (It counted for 50 s more, and
            // what could have been requested waited that long.)
            if !m.takes_work() || !self.may_be_there(m) {
                continue;
            }
            let mut free = self.inventory.total(&m.pool.machine_type).cpus as f64 / 1000.0;
            for ((job, _), _) in self.cache.claims.get(id).into_iter().flatten() {
                if let Some(cached) = self.cache.jobs.get(job) {
                    free -= cached.record.spec.cpus * self.share_still_needed(cached);
                }
            }
            let offer = Offer { pool: m.pool.clone(), spot: m.spot };
            *supply.entry(offer).or_default() += free.max(0.0);
        }
        // What stands in the record is on its way, whoever asked for it.
        for intent in self.scale_out.tracker.pending(&self.cache.scale_out_intents.value) {
            let kind = self.inventory.types.get(&intent.machine_type);
            let cpus = kind.map_or(0.0, |t| t.cpus) * f64::from(intent.count);
            *supply.entry(Offer::of(intent)).or_default() += cpus;
        }
        supply
    }

    /// What a job needs to start its unclaimed tasks in time.
    fn scale_out_need(&self, cached: &CachedJob, unclaimed: u32) -> Need {
        let spec = &cached.record.spec;
        let target = (self.slack_s(cached) * 0.8).clamp(5.0, 120.0);
        let run = if spec.kind == Kind::Array { spec.estimate_s.max(1.0) } else { target };
        let all = f64::from(unclaimed) * spec.cpus;
        // Of a spread job, each zone can take only half.
        let per_zone = if spec.spread { all / 2.0 + spec.cpus } else { f64::INFINITY };
        let cpus = all.min(all * run / target).max(spec.cpus);
        Need { cpus, per_zone, taken_by_zone: BTreeMap::new() }
    }

    /// Lets a job take what it may use of the supply.
    fn take_from_supply(&self, cached: &CachedJob, need: &mut Need, supply: &mut CpusByOffer) {
        for (offer, free) in supply {
            if (offer.spot && !cached.record.spec.spot) || !self.may_use(cached, &offer.pool) {
                continue;
            }
            let in_zone = need.taken_by_zone.entry(offer.pool.zone.clone()).or_default();
            let take = need.cpus.min(*free).min(need.per_zone - *in_zone).max(0.0);
            *free -= take;
            *in_zone += take;
            need.cpus -= take;
        }
    }

    /// How long the tasks of a job may still wait if it is to meet what is expected of it.
    fn slack_s(&self, cached: &CachedJob) -> f64 {
        let spec = &cached.record.spec;
        let elapsed = self.wall_ms.saturating_sub(cached.record.accepted_ms) as f64 / 1000.0;
        let objectives = self.cfg.objectives.iter().filter(|a| a.class == spec.class);
        let waits = objectives.filter_map(|a| match a.kind {
            ObjectiveKind::Finished(within) => Some(within - spec.estimate_s),
            ObjectiveKind::Deadline(times) => spec.deadline_s.map(|d| d * times - spec.estimate_s),
            ObjectiveKind::Wait(within) => Some(within),
        });
        waits.min_by(f64::total_cmp).unwrap_or(self.cfg.usual_wait_s) - elapsed
    }

    /// The offer that is best for a job: cheap per processor, soon up, and not all in one place.
    fn best_offer(
        &self,
        cached: &CachedJob,
        lacking: &CpusByOffer,
        need: &Need,
        sizes: &BTreeMap<&PoolId, usize>,
    ) -> Option<Offer> {
        let mut best: Option<(f64, Offer)> = None;
        let all = self.inventory.machines.len().max(1) as f64;
        for pool in self.inventory.pools() {
            let Some(kind) = self.inventory.types.get(&pool.machine_type) else { continue };
            if need.is_zone_full(&pool.zone) || kind.cpus <= 0.0 || !self.may_use(cached, &pool) {
                continue;
            }
            for spot in [true, false] {
                let offer = Offer { pool: pool.clone(), spot };
                let book = &self.cache.scale_out_intents.value;
                let refused = book.is_refused(&pool, spot, self.wall_ms)
                    || self.scale_out.tracker.has_shortfall(book, &pool, spot);
                if (spot && !cached.record.spec.spot) || refused {
                    continue;
                }
                let price = if spot { kind.spot_price } else { kind.price };
                let crowd = 1.0 + 0.5 * sizes.get(&pool).copied().unwrap_or(0) as f64 / all;
                let mut rank = price / kind.cpus * (1.0 + kind.boot_s / 60.0) * crowd;
                if lacking.contains_key(&offer) {
                    // Prefer what is requested anyway.
                    rank *= 0.9;
                }
                if best.as_ref().is_none_or(|b| rank < b.0) {
                    best = Some((rank, offer));
                }
            }
        }
        best.map(|(_, offer)| offer)
    }
}
