//! Scaling out, by the controller that holds the scale-out role: an intent is written before the
//! call.
//!
//! The cloud cannot tell a former holder of the role from its successor. Every request is therefore
//! first recorded as an intent under the role's epoch: a former holder's write fails, so it makes
//! no request. The successor repeats the recorded requests under the same names.

use crate::config::ObjectiveKind;
use crate::controller::{Controller, Pending};
use crate::effects::{CallPriority, CloudReply, CloudRequest, StoreReply, StoreRequest};
use crate::machines::inventory::Machine;
use crate::scheduling::queue::QueuedTasks;
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
/// A job that has waited for longer than this without a request to the cloud is explained in the log.
const EXPLAINED_WAIT_S: f64 = 30.0;
/// Time between two such explanations.
const EXPLANATION_INTERVAL_MS: u64 = 10_000;
/// Smaller shortfalls are rounding errors.
const MIN_SHORTFALL_CPUS: f64 = 1e-9;
/// Maximum number of open intents in the record.
const MAX_OPEN_INTENTS: usize = 4;
/// Machines that one request may ask for, by the cloud's protocol.
const MAX_MACHINES_PER_REQUEST: u32 = 50;

/// Machines of one pool, on-demand or spot: the unit that the cloud sells at one price.
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

/// Processors that one waiting job needs.
struct CpuDemand {
    /// Processors not yet covered by the supply.
    cpus: f64,
    /// Maximum number of processors that the job may use in one zone.
    max_per_zone: f64,
    /// Processors of the supply allocated to the job, by zone.
    allocated_by_zone: BTreeMap<ZoneId, f64>,
}

impl CpuDemand {
    fn is_zone_full(&self, zone: &ZoneId) -> bool {
        self.allocated_by_zone.get(zone).is_some_and(|allocated| *allocated >= self.max_per_zone)
    }
}

/// Processors that all waiting jobs need, and what meets that need.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct DemandTotals {
    /// How long the job that was accepted first has waited, in seconds.
    longest_wait_s: f64,
    /// Processors that the waiting jobs need.
    needed: f64,
    /// Of these, what their teams' limits keep from starting.
    limited: f64,
    /// Of these, what the supply covers.
    covered: f64,
}

/// The shortfall of each offer, largest first, and how it came about.
#[derive(Debug, Default)]
struct Shortfalls {
    by_offer: Vec<(Offer, f64)>,
    totals: DemandTotals,
}

/// State of the scale-out role.
#[derive(Debug, Default)]
pub(crate) struct ScaleOutState {
    tracker: ScaleOutTracker,
    request_counter: u64,
    last_checked: Ms,
    write_in_flight: bool,
    /// When the reply to a write arrived without confirming it. The cache may lack the effect of
    /// the write until a read that was sent later has completed.
    unconfirmed_since: Option<Ms>,
    /// When the log last said why no machine is requested for jobs that wait.
    explained_at: Ms,
}

impl Controller {
    /// Requests machines for the CPU shortfall, while this controller holds the role and is in
    /// contact with the state service.
    pub(crate) fn maintain_scale_out(&mut self) {
        let is_due = self.now.since(self.scale_out.last_checked)
            >= SCALE_OUT_INTERVAL_MS * self.backpressure;
        if !is_due
            || !self.holds(Role::ScaleOut)
            || !self.has_store_contact()
            || self.cloud_state.list_read_at.is_none()
        {
            return;
        }
        self.scale_out.last_checked = self.now;
        let is_read = self
            .scale_out
            .unconfirmed_since
            .is_none_or(|since| self.session.last_read.is_some_and(|read| read > since));
        if self.scale_out.write_in_flight || !is_read {
            return;
        }
        self.scale_out.unconfirmed_since = None;
        let new_intents = self.new_scale_out_intents();
        let Some(epoch) = self.epoch(Role::ScaleOut) else { return };
        let list_lag_ms = 2 * self.cfg.list_lag_ms + 5000;
        let Versioned { version, value: intents } = &self.cache.scale_out_intents;
        let times = (self.now, self.wall_ms);
        let Some(step) =
            self.scale_out.tracker.next_step(intents, epoch, new_intents, times, list_lag_ms)
        else {
            return;
        };
        let mut txn = Txn::default();
        txn.guard(SCALE_OUT_KEY, *version);
        txn.guard(Role::ScaleOut.key(), epoch);
        txn.put(SCALE_OUT_KEY, &step.record, None);
        self.scale_out.write_in_flight = true;
        self.call_store(
            CallPriority::Renewal,
            StoreRequest::Txn(txn),
            Pending::ScaleOutIntents(Box::new(step)),
        );
    }

    /// Intents for the largest shortfalls that have no open intent yet.
    fn new_scale_out_intents(&mut self) -> Vec<ScaleOutIntent> {
        let Some(incarnation) = self.session.incarnation else { return vec![] };
        // Intents that are answered but not yet removed from the record do not count as open.
        let pending = self.scale_out.tracker.pending(&self.cache.scale_out_intents.value);
        let open: Vec<Offer> = pending.map(Offer::of).collect();
        let free_slots = MAX_OPEN_INTENTS.saturating_sub(open.len());
        if free_slots == 0 {
            return vec![];
        }
        let mut new_intents = Vec::new();
        let Shortfalls { by_offer, totals } = self.shortfalls();
        if by_offer.is_empty() {
            self.explain_no_request(totals);
        }
        for (offer, shortfall) in by_offer {
            // At most one open intent per offer.
            if new_intents.len() >= free_slots || open.contains(&offer) {
                continue;
            }
            let Offer { pool, spot } = offer;
            let cpus =
                self.inventory.types.get(&pool.machine_type).map_or(1.0, |t| t.cpus.max(0.1));
            let count = ((shortfall / cpus).ceil() as u32).clamp(1, MAX_MACHINES_PER_REQUEST);
            self.scale_out.request_counter += 1;
            tracing::info!(%pool, spot, count, lack = shortfall, "scaling out");
            new_intents.push(ScaleOutIntent {
                name: format!(
                    "{}-{}-{}",
                    self.cfg.controller_id, incarnation, self.scale_out.request_counter
                ),
                machine_type: pool.machine_type,
                zone: pool.zone,
                spot,
                count,
                inherited: false,
            });
        }
        new_intents
    }

    /// Logs why no machine is requested for jobs that have waited for long.
    fn explain_no_request(&mut self, totals: DemandTotals) {
        let DemandTotals { longest_wait_s, needed, limited, covered } = totals;
        if longest_wait_s < EXPLAINED_WAIT_S
            || self.now.since(self.scale_out.explained_at) < EXPLANATION_INTERVAL_MS
        {
            return;
        }
        self.scale_out.explained_at = self.now;
        tracing::info!(longest_wait_s, needed, limited, covered, "no scale-out for waiting jobs");
    }

    /// Makes the cloud requests once their intents are durable.
    pub(crate) fn on_scale_out_written(&mut self, step: ScaleOutStep, reply: StoreReply) {
        self.scale_out.write_in_flight = false;
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
                    self.call_cloud(CloudRequest::ScaleOut(request), pending);
                }
            }
            // The write may have succeeded: the intents are then treated like those of a former
            // holder.
            _ => {
                self.scale_out.unconfirmed_since = Some(self.now);
                self.session.sync_wanted = true;
            }
        }
    }

    /// Handles the cloud's response to a scale-out request.
    pub(crate) fn on_scale_out(&mut self, request: ScaleOutRequest, tries: u32, reply: CloudReply) {
        let pool =
            PoolId { machine_type: request.machine_type.clone(), zone: request.zone.clone() };
        let outcome = match reply {
            CloudReply::Created(machines) => {
                tracing::info!(%pool, spot = request.spot, ?machines, "machines created");
                let is_short = (machines.len() as u32) < request.count;
                let names = machines.iter().map(|m| m.to_string()).collect();
                let message = Message::MachinesCreated {
                    pool: pool.to_string(),
                    spot: request.spot,
                    machines: names,
                };
                self.send_to_peers(None, message);
                self.add_created_machines(&pool, request.spot, machines);
                if is_short {
                    ScaleOutOutcome::Shortfall
                } else {
                    ScaleOutOutcome::Fulfilled
                }
            }
            CloudReply::NoCapacity => ScaleOutOutcome::Shortfall,
            // Requests are idempotent by name: a retry creates no further machines.
            _ if tries < 3 => {
                let pending = Pending::ScaleOut { request: request.clone(), tries: tries + 1 };
                return self.call_cloud(CloudRequest::ScaleOut(request), pending);
            }
            _ => ScaleOutOutcome::Unknown,
        };
        self.scale_out.tracker.record_outcome(&request.request, outcome, self.now);
    }

    /// Adds machines that the cloud has just created for this controller or for the holder of the
    /// scale-out role.
    pub(crate) fn add_created_machines(
        &mut self,
        pool: &PoolId,
        spot: bool,
        machines: Vec<MachineId>,
    ) {
        let now = self.now;
        for id in machines {
            if !self.inventory.is_deleted(&id) {
                let new_machine = || Machine::new(pool.clone(), spot, now);
                self.inventory.machines.entry(id).or_insert_with(new_machine);
            }
        }
        self.replan_needed = true;
    }

    /// CPU shortfall that existing and requested machines will not cover in time, by the best offer
    /// for the waiting jobs, largest first. In queue order, each job is allocated what it may use
    /// of the supply; the rest is its shortfall. (Comparing only the sum over the queue with the
    /// supply filled the region with machines that the waiting jobs could not use.)
    fn shortfalls(&self) -> Shortfalls {
        let mut headroom = self.team_headroom(|cached| self.fraction_still_used(cached));
        let mut supply = self.supply();
        let mut shortfalls = CpusByOffer::new();
        let mut totals = DemandTotals::default();
        let machine_counts = self.inventory.machine_counts();
        for QueuedTasks { job: id, tasks: unclaimed, is_growth, .. } in self.queue() {
            let Some(cached) = self.cache.jobs.get(&id) else { continue };
            // No machine is requested to retry a job that fails on every machine.
            let may_use = |offer: &Offer| self.can_run_in(cached, &offer.pool);
            if is_growth || (self.is_suspect(&id, cached) && supply.keys().any(may_use)) {
                continue;
            }
            let mut demand = self.cpu_demand(cached, unclaimed);
            totals.longest_wait_s = totals.longest_wait_s.max(self.waited_s(cached));
            totals.needed += demand.cpus;
            // Nor for tasks that the team's limit keeps from starting.
            if let Some(headroom) = headroom.get_mut(&cached.record.spec.team) {
                let startable = demand.cpus.min(*headroom).max(0.0);
                totals.limited += demand.cpus - startable;
                demand.cpus = startable;
                *headroom -= startable;
            }
            let startable = demand.cpus;
            self.allocate_supply(cached, &mut demand, &mut supply);
            totals.covered += startable - demand.cpus;
            if demand.cpus > MIN_SHORTFALL_CPUS {
                if let Some(offer) = self.best_offer(cached, &shortfalls, &demand, &machine_counts)
                {
                    *shortfalls.entry(offer).or_default() += demand.cpus;
                }
            }
        }
        let mut by_offer: Vec<(Offer, f64)> = shortfalls.into_iter().collect();
        by_offer.sort_by(|a, b| b.1.total_cmp(&a.1).then(a.0.cmp(&b.0)));
        Shortfalls { by_offer, totals }
    }

    /// How long ago a job was accepted, in seconds.
    fn waited_s(&self, cached: &CachedJob) -> f64 {
        self.wall_ms.saturating_sub(cached.record.accepted_ms) as f64 / 1000.0
    }

    /// The expected fraction of its processors that a running job still uses when the waiting jobs
    /// need them.
    fn fraction_still_used(&self, cached: &CachedJob) -> f64 {
        (0.5 * cached.record.spec.estimate_s / self.cfg.usual_wait_s).min(1.0)
    }

    /// Processors of existing machines, less those that their tasks will still use, and of
    /// requested machines.
    fn supply(&self) -> CpusByOffer {
        let mut supply = CpusByOffer::new();
        for (id, m) in &self.inventory.machines {
            // A machine that another controller has deleted is no supply: without this check it
            // would count for another 50 s and delay the request for its replacement by as much.
            if !m.is_schedulable() || !self.may_still_exist(m) {
                continue;
            }
            let mut free =
                self.inventory.machine_resources(&m.pool.machine_type).cpus as f64 / 1000.0;
            for ((job, _), _) in self.cache.claims.get(id).into_iter().flatten() {
                if let Some(cached) = self.cache.jobs.get(job) {
                    free -= cached.record.spec.cpus * self.fraction_still_used(cached);
                }
            }
            let offer = Offer { pool: m.pool.clone(), spot: m.spot };
            *supply.entry(offer).or_default() += free.max(0.0);
        }
        // Recorded intents count as supply, whichever controller wrote them.
        for intent in self.scale_out.tracker.pending(&self.cache.scale_out_intents.value) {
            let machine_type = self.inventory.types.get(&intent.machine_type);
            let cpus = machine_type.map_or(0.0, |t| t.cpus) * f64::from(intent.count);
            *supply.entry(Offer::of(intent)).or_default() += cpus;
        }
        supply
    }

    /// Processors that a job needs to start its unclaimed tasks in time.
    fn cpu_demand(&self, cached: &CachedJob, unclaimed: u32) -> CpuDemand {
        let spec = &cached.record.spec;
        let target_wait_s = (self.slack_s(cached) * 0.8).clamp(5.0, 120.0);
        let run_s = if spec.kind == Kind::Array { spec.estimate_s.max(1.0) } else { target_wait_s };
        let all_cpus = f64::from(unclaimed) * spec.cpus;
        // Of a spread job, each zone may run only half.
        let max_per_zone = if spec.spread { all_cpus / 2.0 + spec.cpus } else { f64::INFINITY };
        let cpus = all_cpus.min(all_cpus * run_s / target_wait_s).max(spec.cpus);
        CpuDemand { cpus, max_per_zone, allocated_by_zone: BTreeMap::new() }
    }

    /// Allocates to a job what it may use of the supply.
    fn allocate_supply(
        &self,
        cached: &CachedJob,
        demand: &mut CpuDemand,
        supply: &mut CpusByOffer,
    ) {
        for (offer, free) in supply {
            if (offer.spot && !cached.record.spec.spot) || !self.can_run_in(cached, &offer.pool) {
                continue;
            }
            let allocated_in_zone =
                demand.allocated_by_zone.entry(offer.pool.zone.clone()).or_default();
            let allocated =
                demand.cpus.min(*free).min(demand.max_per_zone - *allocated_in_zone).max(0.0);
            *free -= allocated;
            *allocated_in_zone += allocated;
            demand.cpus -= allocated;
        }
    }

    /// How long the tasks of a job may still wait if the job is to meet its service level
    /// objectives.
    fn slack_s(&self, cached: &CachedJob) -> f64 {
        let spec = &cached.record.spec;
        let objectives =
            self.cfg.objectives.iter().filter(|objective| objective.class == spec.class);
        let waits = objectives.filter_map(|objective| match objective.kind {
            ObjectiveKind::Finished(within) => Some(within - spec.estimate_s),
            ObjectiveKind::Deadline(times) => spec.deadline_s.map(|d| d * times - spec.estimate_s),
            ObjectiveKind::Wait(within) => Some(within),
        });
        waits.min_by(f64::total_cmp).unwrap_or(self.cfg.usual_wait_s) - self.waited_s(cached)
    }

    /// The best offer for a job, by price per processor, boot time and how many of the machines are
    /// already in that pool.
    fn best_offer(
        &self,
        cached: &CachedJob,
        shortfalls: &CpusByOffer,
        demand: &CpuDemand,
        machine_counts: &BTreeMap<&PoolId, usize>,
    ) -> Option<Offer> {
        let mut best: Option<(f64, Offer)> = None;
        let machine_count = self.inventory.machines.len().max(1) as f64;
        for pool in self.inventory.pools() {
            let Some(machine_type) = self.inventory.types.get(&pool.machine_type) else { continue };
            if demand.is_zone_full(&pool.zone)
                || machine_type.cpus <= 0.0
                || !self.can_run_in(cached, &pool)
            {
                continue;
            }
            for spot in [true, false] {
                let offer = Offer { pool: pool.clone(), spot };
                let intents = &self.cache.scale_out_intents.value;
                let is_refused = intents.is_refused(&pool, spot, self.wall_ms)
                    || self.scale_out.tracker.has_shortfall(intents, &pool, spot);
                if (spot && !cached.record.spec.spot) || is_refused {
                    continue;
                }
                let price = if spot { machine_type.spot_price } else { machine_type.price };
                let concentration = 1.0
                    + 0.5 * machine_counts.get(&pool).copied().unwrap_or(0) as f64 / machine_count;
                let mut cost =
                    price / machine_type.cpus * (1.0 + machine_type.boot_s / 60.0) * concentration;
                if shortfalls.contains_key(&offer) {
                    // Prefer an offer that is requested for other jobs anyway.
                    cost *= 0.9;
                }
                if best.as_ref().is_none_or(|b| cost < b.0) {
                    best = Some((cost, offer));
                }
            }
        }
        best.map(|(_, offer)| offer)
    }
}
