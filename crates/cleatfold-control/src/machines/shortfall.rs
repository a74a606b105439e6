//! The shortfall: processors that waiting jobs need and that existing and requested machines will
//! not give them in time, and the offer of the cloud that covers it best.

use crate::config::ObjectiveKind;
use crate::controller::Controller;
use crate::scheduling::occupancy::RunTime;
use crate::scheduling::queue::QueuedTasks;
use crate::store::cache::CachedJob;
use cleatfold_backfill::Resources;
use cleatfold_roles::ScaleOutIntent;
use cleatfold_wire::job::Kind;
use cleatfold_wire::{JobId, MachineId, PoolId, ZoneId};
use std::collections::BTreeMap;

/// Smaller amounts are rounding errors.
const ROUNDING_CPUS: f64 = 1e-9;

/// Machines of one pool, on-demand or spot: the unit that the cloud sells at one price.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Offer {
    pub pool: PoolId,
    pub spot: bool,
}

impl Offer {
    pub(crate) fn of(intent: &ScaleOutIntent) -> Self {
        Self { pool: intent.pool(), spot: intent.spot }
    }
}

type CpusByOffer = BTreeMap<Offer, f64>;

/// Machines that are alike for the jobs that wait.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct MachineGroup {
    offer: Offer,
    /// What each machine has beside the tasks that hold it until their job is cancelled.
    remainder: Resources,
}

/// What waiting jobs may use of a group of machines.
#[derive(Clone, Copy, Debug, Default)]
struct GroupSupply {
    machines: u32,
    /// Processors, less those that running tasks will still use.
    free_cpus: f64,
}

type Supply = BTreeMap<MachineGroup, GroupSupply>;

/// Processors that one waiting job needs.
struct CpuDemand {
    /// Processors not yet covered by the supply.
    cpus: f64,
    /// Of a spread job: processors that it may still use in each zone. Empty if it may use any.
    max_by_zone: BTreeMap<ZoneId, f64>,
    /// Processors of the supply allocated to the job, by zone.
    allocated_by_zone: BTreeMap<ZoneId, f64>,
}

impl CpuDemand {
    /// Processors that the job may still be allocated in a zone.
    fn left_in_zone(&self, zone: &ZoneId) -> f64 {
        let max = self.max_by_zone.get(zone).copied().unwrap_or(f64::INFINITY);
        max - self.allocated_by_zone.get(zone).copied().unwrap_or(0.0)
    }
}

/// Processors that all waiting jobs need, and what meets that need.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct DemandTotals {
    /// How long the job that was accepted first has waited, in seconds.
    pub longest_wait_s: f64,
    /// Processors that the waiting jobs need.
    pub needed: f64,
    /// Of these, what their teams' limits keep from starting.
    pub limited: f64,
    /// Of these, what the supply covers.
    pub covered: f64,
}

/// The shortfall of each offer, largest first, and how it came about.
#[derive(Debug, Default)]
pub(crate) struct Shortfalls {
    pub by_offer: Vec<(Offer, f64)>,
    pub totals: DemandTotals,
}

impl Controller {
    /// CPU shortfall that existing and requested machines will not cover in time, by the best offer
    /// for the waiting jobs, largest first. In queue order, each job is allocated what it may use
    /// of the supply; the rest is its shortfall. (Comparing only the sum over the queue with the
    /// supply filled the region with machines that the waiting jobs could not use.)
    pub(crate) fn shortfalls(&self) -> Shortfalls {
        let mut headroom =
            self.team_headroom(|cached| self.fraction_still_used(cached.mean_remaining_time()));
        let permanent_headroom = self.team_headroom(|cached| match cached.run_time() {
            RunTime::UntilCancelled => 1.0,
            RunTime::Ms(_) => 0.0,
        });
        let mut supply = self.supply();
        let mut shortfalls = CpusByOffer::new();
        let mut totals = DemandTotals::default();
        let machine_counts = self.inventory.machine_counts();
        for QueuedTasks { job: id, tasks: unclaimed, is_growth, .. } in self.queue() {
            let Some(cached) = self.cache.jobs.get(&id) else { continue };
            // No machine is requested to retry a job that fails on every machine.
            let has_room = || supply.keys().any(|group| self.fits_into(cached, group));
            if is_growth || (self.is_suspect(&id, cached) && has_room()) {
                continue;
            }
            let mut demand = self.cpu_demand(&id, cached, unclaimed);
            totals.longest_wait_s = totals.longest_wait_s.max(self.waited_s(cached));
            totals.needed += demand.cpus;
            // Nor for tasks that the team's limit keeps from starting.
            let spec = &cached.record.spec;
            if let Some(headroom) = headroom.get_mut(&spec.team) {
                let beside_services = permanent_headroom.get(&spec.team).copied();
                let fits_one = beside_services.is_none_or(|left| left + ROUNDING_CPUS >= spec.cpus);
                let startable = if fits_one { demand.cpus.min(*headroom).max(0.0) } else { 0.0 };
                totals.limited += demand.cpus - startable;
                demand.cpus = startable;
                *headroom -= startable;
            }
            let startable = demand.cpus;
            self.allocate_supply(cached, unclaimed, &mut demand, &mut supply);
            totals.covered += startable - demand.cpus;
            if demand.cpus > ROUNDING_CPUS {
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

    /// The expected fraction of its resources that a running task still uses when the waiting jobs
    /// need them.
    fn fraction_still_used(&self, remaining: RunTime) -> f64 {
        remaining.fraction_of(self.cfg.usual_wait_s)
    }

    /// What existing machines, and those that are requested, have for the waiting jobs.
    fn supply(&self) -> Supply {
        let mut supply = Supply::new();
        let allocations = self.permanent_allocations();
        for (id, m) in &self.inventory.machines {
            // A machine that another controller has deleted is no supply: without this check it
            // would count for another 50 s and delay the request for its replacement by as much.
            if !m.is_schedulable() || !self.may_still_exist(m) {
                continue;
            }
            let total = self.inventory.machine_resources(&m.pool.machine_type);
            let group = MachineGroup {
                offer: Offer { pool: m.pool.clone(), spot: m.spot },
                remainder: allocations.remainder(id, total),
            };
            let known = supply.entry(group).or_default();
            known.machines += 1;
            known.free_cpus += (total.cpus as f64 / 1000.0 - self.cpus_still_used(id)).max(0.0);
        }
        // Recorded intents count as supply, whichever controller wrote them.
        for intent in self.scale_out.tracker.pending(&self.cache.scale_out_intents.value) {
            let total = self.inventory.machine_resources(&intent.machine_type);
            let group = MachineGroup { offer: Offer::of(intent), remainder: total };
            let requested = supply.entry(group).or_default();
            requested.machines += intent.count;
            requested.free_cpus += total.cpus as f64 / 1000.0 * f64::from(intent.count);
        }
        supply
    }

    /// Processors that the tasks on a machine will still use when the waiting jobs need them.
    fn cpus_still_used(&self, id: &MachineId) -> f64 {
        let mut used = 0.0;
        for ((job, task), _) in self.cache.claims.get(id).into_iter().flatten() {
            let Some(cached) = self.cache.jobs.get(job) else { continue };
            let remaining = cached.mean_remaining_time_of(*task);
            used += cached.record.spec.cpus * self.fraction_still_used(remaining);
        }
        used
    }

    /// Whether a task of the job can run on the group's machines, once the tasks there that have an
    /// end have ended.
    fn fits_into(&self, cached: &CachedJob, group: &MachineGroup) -> bool {
        (cached.record.spec.spot || !group.offer.spot)
            && self.can_run_in(cached, &group.offer.pool)
            && group.remainder.fits_one(&cached.task_resources)
    }

    /// Processors that a job needs to start its unclaimed tasks in time.
    fn cpu_demand(&self, id: &JobId, cached: &CachedJob, unclaimed: u32) -> CpuDemand {
        let spec = &cached.record.spec;
        let target_wait_s = (self.slack_s(cached) * 0.8).clamp(5.0, 120.0);
        // The tasks of a gang run at the same time, and replicas make no room for one another.
        let run_s = match cached.run_time() {
            RunTime::Ms(ms) if spec.kind == Kind::Array => (ms as f64 / 1000.0).max(1.0),
            _ => target_wait_s,
        };
        let all_cpus = f64::from(unclaimed) * spec.cpus;
        let cpus = all_cpus.min(all_cpus * run_s / target_wait_s).max(spec.cpus);
        let max_by_zone = self.max_cpus_by_zone(id, cached, all_cpus);
        CpuDemand { cpus, max_by_zone, allocated_by_zone: BTreeMap::new() }
    }

    /// Processors that a spread job, of which tasks with `waiting_cpus` wait, may still use in each
    /// zone: each may run only half of the tasks. Replicas that run there stay; other tasks make
    /// room for the next.
    fn max_cpus_by_zone(
        &self,
        id: &JobId,
        cached: &CachedJob,
        waiting_cpus: f64,
    ) -> BTreeMap<ZoneId, f64> {
        let spec = &cached.record.spec;
        if !spec.spread {
            return BTreeMap::new();
        }
        let max_in_zone = |zone: &ZoneId| match cached.run_time() {
            RunTime::UntilCancelled => {
                let half = spec.tasks.div_ceil(2);
                f64::from(half.saturating_sub(self.claimed_in_zone(id, zone))) * spec.cpus
            }
            RunTime::Ms(_) => waiting_cpus / 2.0 + spec.cpus,
        };
        let zones = self.inventory.pools().into_iter().map(|pool| pool.zone);
        zones.map(|zone| (zone.clone(), max_in_zone(&zone))).collect()
    }

    /// Allocates to a job what it may use of the supply.
    fn allocate_supply(
        &self,
        cached: &CachedJob,
        unclaimed: u32,
        demand: &mut CpuDemand,
        supply: &mut Supply,
    ) {
        for (group, GroupSupply { machines, free_cpus }) in supply {
            if demand.cpus <= 0.0 {
                return;
            }
            if !self.fits_into(cached, group) {
                continue;
            }
            let tasks = group.remainder.fitting_tasks(&cached.task_resources, unclaimed);
            let usable_cpus = f64::from(tasks) * f64::from(*machines) * cached.record.spec.cpus;
            let zone = &group.offer.pool.zone;
            let left_in_zone = demand.left_in_zone(zone);
            let allocated = demand.cpus.min(*free_cpus).min(usable_cpus).min(left_in_zone).max(0.0);
            *free_cpus -= allocated;
            *demand.allocated_by_zone.entry(zone.clone()).or_default() += allocated;
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
            if demand.left_in_zone(&pool.zone) <= 0.0
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
