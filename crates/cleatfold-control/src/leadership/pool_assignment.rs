//! Assignment of pools to controllers, and of jobs to pools.
//!
//! The pool assignment role is only a hint: two concurrent holders do no harm, because every change
//! is guarded by the version of the key that it changes.

use crate::controller::{Controller, Pending};
use crate::effects::{CallPriority, StoreReply, StoreRequest};
use crate::scheduling::occupancy::RunTime;
use crate::scheduling::queue::QueuedTasks;
use crate::store::cache::{CachedJob, Versioned};
use crate::store::records::{pool_key, ControllerRecord, HolderRecord};
use cleatfold_backfill::pools::{choose_pools, PoolLoad};
use cleatfold_backfill::Resources;
use cleatfold_roles::Role;
use cleatfold_wire::job::Kind;
use cleatfold_wire::mesh::Message;
use cleatfold_wire::store::Txn;
use cleatfold_wire::{ControllerId, JobId, Ms, PoolId, Version, ZoneId};
use std::collections::{BTreeMap, BTreeSet};

/// For this long after a pool's assignment, the pool is not taken over and no pool is rebalanced.
const MIN_REASSIGNMENT_INTERVAL_MS: u64 = 10_000;
/// A leader that started more recently than this was likely not the only controller to start.
const RECENT_START_MS: u64 = 5000;
const ASSIGNMENT_INTERVAL_MS: u64 = 200;

/// How long a new holder of the role waits for other controllers that are starting too.
const START_WAIT_MS: u64 = 1_500;
/// A restarted former owner gets its pool back up to this multiple of the average load.
const MAX_FORMER_OWNER_LOAD_RATIO: f64 = 2.0;
/// The controller in the pool's own zone is preferred up to this multiple of the average load.
const MAX_SAME_ZONE_LOAD_RATIO: f64 = 1.3;

/// What the machines of a pool have beside the tasks that hold it until their job is cancelled.
#[derive(Clone, Debug, Default)]
struct PoolRoom {
    /// Each amount once.
    remainders: BTreeSet<Resources>,
}

impl PoolRoom {
    /// Whether a task of the job can start on one of the machines, at the latest when other tasks
    /// end.
    fn has_room_for(&self, cached: &CachedJob) -> bool {
        self.remainders.iter().any(|remainder| remainder.fits_one(&cached.task_resources))
    }
}

/// A pool that needs a new owner.
struct PoolToAssign<'a> {
    pool: &'a PoolId,
    /// Controllers that reach its workers while its live owner does not; empty if it has no live
    /// owner.
    alternative_owners: BTreeSet<ControllerId>,
}

/// Load of the live controllers by the pools they own: each pool and each machine counts one.
struct PoolLoads<'a> {
    sizes: BTreeMap<&'a PoolId, usize>,
    by_controller: BTreeMap<ControllerId, f64>,
    /// The load of all pools, divided by the number of live controllers.
    average: f64,
}

impl<'a> PoolLoads<'a> {
    fn new(
        pools: &[PoolId],
        sizes: BTreeMap<&'a PoolId, usize>,
        controllers: &BTreeMap<ControllerId, Versioned<ControllerRecord>>,
    ) -> Self {
        let by_controller =
            controllers.keys().map(|controller| (controller.clone(), 0.0)).collect();
        let mut loads = Self { sizes, by_controller, average: 0.0 };
        let total: f64 = pools.iter().map(|pool| loads.weight(pool)).sum();
        loads.average = total / controllers.len() as f64;
        loads
    }

    fn weight(&self, pool: &PoolId) -> f64 {
        1.0 + self.sizes.get(pool).copied().unwrap_or(0) as f64
    }

    fn add(&mut self, controller: &ControllerId, pool: &PoolId) {
        let weight = self.weight(pool);
        *self.by_controller.entry(controller.clone()).or_default() += weight;
    }

    fn remove(&mut self, controller: &ControllerId, pool: &PoolId) {
        let weight = self.weight(pool);
        *self.by_controller.entry(controller.clone()).or_default() -= weight;
    }

    /// Whether a controller's load with this pool would be at most `max_ratio` times the average. A
    /// controller without load can always take a pool, since even the largest pool needs an owner.
    fn has_room_for(&self, controller: &ControllerId, pool: &PoolId, max_ratio: f64) -> bool {
        let fits =
            |load: f64| load == 0.0 || load + self.weight(pool) <= self.average * max_ratio + 1.0;
        self.by_controller.get(controller).is_some_and(|load| fits(*load))
    }

    /// The controller with the least load among those for which `is_eligible` holds.
    fn least_loaded(&self, is_eligible: impl Fn(&ControllerId) -> bool) -> Option<&ControllerId> {
        let eligible = self.by_controller.iter().filter(|(controller, _)| is_eligible(controller));
        eligible.min_by(|a, b| a.1.total_cmp(b.1)).map(|(controller, _)| controller)
    }

    /// The mean load over all controllers counted here.
    fn mean_load(&self) -> f64 {
        self.by_controller.values().sum::<f64>() / self.by_controller.len() as f64
    }
}

/// The assignment of a pool to a controller.
struct PoolMove {
    pool: PoolId,
    to: ControllerId,
}

impl Controller {
    /// Assigns pools to controllers and jobs to pools while this controller holds the role.
    pub(crate) fn run_assignment_role(&mut self) {
        if !self.holds(Role::PoolAssignment) {
            self.leadership.leader_since = None;
            return;
        }
        let since = *self.leadership.leader_since.get_or_insert_with(|| {
            tracing::info!("pool assignment role acquired");
            self.now
        });
        if self.has_store_contact() && self.may_assign_pools(since) {
            self.assign_pools();
        }
        if self.now.since(self.leadership.jobs_assigned_at) >= 500 * self.backpressure {
            self.assign_jobs();
        }
    }

    // ---- pools ----

    /// Whether the owner of a pool is live, in the incarnation that owns it.
    fn is_owner_incarnation_live(&self, ownership: &crate::store::cache::PoolOwnership) -> bool {
        self.cache
            .controllers
            .get(&ownership.owner)
            .is_some_and(|controller| controller.value.incarnation == ownership.incarnation)
    }

    /// Whether pools may be assigned now; `since` is when this controller acquired the role.
    fn may_assign_pools(&mut self, since: Ms) -> bool {
        // The result of the last assignment must be read before the next one.
        let confirmed_at = self.leadership.assignment_confirmed_at;
        let is_read = self.session.has_read_since(confirmed_at);
        let is_pending = self.leadership.pending_assignment.is_some();
        if is_pending || !is_read || self.cache.controllers.is_empty() {
            return false;
        }
        // The check visits every pool and every machine: on each tick, it took a tenth of a
        // leader's processor time in a large deployment.
        if self.now.since(self.leadership.assignment_checked_at) < ASSIGNMENT_INTERVAL_MS {
            return false;
        }
        self.leadership.assignment_checked_at = self.now;
        // When all controllers start at once, wait for the others: without the wait, the first one
        // to start got every pool, with hundreds of workers, and kept them for the rest of the day.
        let all_started = self.cfg.peers.len() < self.cache.controllers.len();
        let just_started =
            self.started().is_some_and(|started| self.now.since(started) < RECENT_START_MS);
        let should_wait = !all_started && (self.cache.pools.is_empty() || just_started);
        !should_wait || self.now.since(since) >= START_WAIT_MS
    }

    /// Assigns pools that have no live owner, or whose owner does not reach their workers; if there
    /// are none, rebalances the load of the controllers.
    fn assign_pools(&mut self) {
        let pools = self.inventory.pools();
        let mut loads =
            PoolLoads::new(&pools, self.inventory.machine_counts(), &self.cache.controllers);
        let mut pools_to_assign: Vec<PoolToAssign> = Vec::new();
        for pool in &pools {
            let owner = self
                .cache
                .pools
                .get(pool)
                .filter(|ownership| self.is_owner_incarnation_live(ownership));
            let alternative_owners = owner
                .map(|ownership| self.alternative_owners(&ownership.owner, pool))
                .unwrap_or_default();
            match owner {
                Some(ownership) if alternative_owners.is_empty() => {
                    loads.add(&ownership.owner, pool)
                }
                _ => pools_to_assign.push(PoolToAssign { pool, alternative_owners }),
            }
        }
        let weight = |to_assign: &PoolToAssign| loads.weight(to_assign.pool);
        pools_to_assign.sort_by(|a, b| weight(b).total_cmp(&weight(a)).then(a.pool.cmp(b.pool)));
        let mut moves: Vec<PoolMove> = Vec::new();
        for to_assign in pools_to_assign {
            if let Some(to) = self.new_owner(&to_assign, &loads) {
                loads.add(&to, to_assign.pool);
                moves.push(PoolMove { pool: to_assign.pool.clone(), to });
            }
        }
        if moves.is_empty() {
            moves = self.rebalancing_moves(&pools, &mut loads);
        }
        moves.truncate(self.cfg.max_txn_changes);
        self.write_assignments(moves);
    }

    /// Selects the new owner of a pool.
    fn new_owner(&self, to_assign: &PoolToAssign, loads: &PoolLoads) -> Option<ControllerId> {
        let pool = to_assign.pool;
        // If no controller reaches the zone, reachability does not restrict the choice.
        let zone_is_reached = self
            .cache
            .controllers
            .keys()
            .any(|controller| self.may_own_pools_in(controller, &pool.zone));
        let is_eligible = |controller: &ControllerId| {
            if to_assign.alternative_owners.is_empty() {
                !zone_is_reached || self.may_own_pools_in(controller, &pool.zone)
            } else {
                to_assign.alternative_owners.contains(controller)
            }
        };
        let has_room_for = |controller: &ControllerId, max_ratio| {
            is_eligible(controller) && loads.has_room_for(controller, pool, max_ratio)
        };
        // Prefer a former owner that has restarted: its workers still try to reach it, and moving
        // hundreds of them costs both controllers seconds of processor time.
        let former_owner = self.cache.pools.get(pool).map(|ownership| ownership.owner.clone());
        let same_zone = || {
            self.controller_in_zone(&pool.zone)
                .filter(|controller| has_room_for(controller, MAX_SAME_ZONE_LOAD_RATIO))
        };
        former_owner
            .filter(|controller| has_room_for(controller, MAX_FORMER_OWNER_LOAD_RATIO))
            .or_else(same_zone)
            .or_else(|| loads.least_loaded(is_eligible).cloned())
    }

    /// Up to two moves that rebalance the load of the controllers.
    fn rebalancing_moves(&self, pools: &[PoolId], loads: &mut PoolLoads) -> Vec<PoolMove> {
        let Some(first) = self.rebalancing_move(pools, loads) else { return vec![] };
        let PoolMove { pool, to } = &first;
        // A second move at a time pays off when one controller has nearly all of the load.
        if let Some(ownership) = self.cache.pools.get(pool) {
            loads.remove(&ownership.owner, pool);
            loads.add(to, pool);
        }
        let rest: Vec<PoolId> = pools.iter().filter(|p| *p != pool).cloned().collect();
        let second = self.rebalancing_move(&rest, loads);
        std::iter::once(first).chain(second).collect()
    }

    /// The live controller that runs in a zone.
    fn controller_in_zone(&self, zone: &ZoneId) -> Option<ControllerId> {
        std::iter::once((&self.cfg.controller_id, &self.cfg.zone))
            .chain(self.cfg.peers.iter().map(|(peer, peer_zone)| (peer, peer_zone)))
            .find(|(controller, own_zone)| {
                *own_zone == zone && self.cache.controllers.contains_key(*controller)
            })
            .map(|(controller, _)| controller.clone())
    }

    /// The best move of one pool from the most loaded controller to the least loaded one, if the
    /// imbalance is large enough.
    fn rebalancing_move(&self, pools: &[PoolId], loads: &PoolLoads) -> Option<PoolMove> {
        let most_loaded = loads.by_controller.iter().max_by(|a, b| a.1.total_cmp(b.1))?;
        let average = loads.mean_load();
        // Every move makes the pool's workers change their controller: only a clear imbalance
        // justifies one.
        if self
            .leadership
            .pool_assigned_at
            .values()
            .any(|at| self.now.since(*at) < MIN_REASSIGNMENT_INTERVAL_MS)
        {
            return None;
        }
        // A controller that does not reach the pool's workers is excluded, even if it has the least
        // load.
        let least_loaded_for = |pool: &PoolId| {
            let eligible = loads
                .by_controller
                .iter()
                .filter(|(controller, _)| self.may_own_pools_in(controller, &pool.zone));
            eligible.min_by(|a, b| a.1.total_cmp(b.1))
        };
        pools
            .iter()
            .filter(|pool| {
                self.cache
                    .pools
                    .get(*pool)
                    .is_some_and(|ownership| ownership.owner == *most_loaded.0)
            })
            .filter_map(|pool| Some((pool, least_loaded_for(pool)?)))
            .map(|(pool, (controller, load))| (pool, controller, most_loaded.1 - load))
            .filter(|(pool, _, gap)| *gap >= average * 0.6 && loads.weight(pool) < gap * 0.8)
            .min_by(|a, b| {
                let remaining_gap = |(pool, _, gap): &(&PoolId, &ControllerId, f64)| {
                    (gap - 2.0 * loads.weight(pool)).abs()
                };
                remaining_gap(a).total_cmp(&remaining_gap(b)).then(a.0.cmp(b.0))
            })
            .map(|(pool, controller, _)| PoolMove { pool: pool.clone(), to: controller.clone() })
    }

    /// Writes the new owners of pools to the state service.
    fn write_assignments(&mut self, moves: Vec<PoolMove>) {
        let mut txn = Txn::default();
        for PoolMove { pool, to: controller } in moves {
            let Some(record) = self.cache.controllers.get(&controller) else { continue };
            let incarnation = record.value.incarnation;
            let version = self
                .cache
                .pools
                .get(&pool)
                .map(|ownership| Version(ownership.token.0))
                .unwrap_or_default();
            tracing::info!(%pool, %controller, "assigning pool");
            txn.guard(pool_key(&pool), version);
            self.reachability.record_own_assignment(&pool, &controller);
            txn.put(pool_key(&pool), &HolderRecord { owner: controller, incarnation }, None);
            self.leadership.pool_assigned_at.insert(pool, self.now);
        }
        if txn.changes.is_empty() {
            return;
        }
        let op =
            self.call_store(CallPriority::Renewal, StoreRequest::Txn(txn), Pending::PoolAssignment);
        self.leadership.pending_assignment = Some(op);
    }

    /// The assignment write was answered; its outcome is read with the next sync.
    pub(crate) fn on_assignment_written(&mut self, reply: StoreReply) {
        self.leadership.pending_assignment = None;
        self.leadership.assignment_confirmed_at = self.event;
        self.session.sync_wanted = true;
        if matches!(reply, StoreReply::Committed(_)) {
            self.send_to_peers(None, Message::Changed);
        }
    }

    /// Assigns a pool to this controller, because its workers reach it but not the pool's owner.
    pub(crate) fn take_over_pool(&mut self, pool: PoolId, owner: &ControllerId) {
        let recently_assigned = self
            .leadership
            .pool_assigned_at
            .get(&pool)
            .is_some_and(|at| self.now.since(*at) < MIN_REASSIGNMENT_INTERVAL_MS);
        if recently_assigned
            || self.leadership.pending_assignment.is_some()
            || !self.has_store_contact()
        {
            return;
        }
        let me = self.cfg.controller_id.clone();
        self.reachability.view.record_workers_left(owner, &pool.zone, self.now);
        tracing::info!(%pool, %owner, "taking pool over: its workers do not reach its owner");
        self.write_assignments(vec![PoolMove { pool, to: me }]);
    }

    // ---- jobs ----

    /// The load of each pool by the tasks that run there, and what its machines have room for.
    fn pool_loads(
        &self,
        pools: &[PoolId],
        index: &BTreeMap<&PoolId, usize>,
    ) -> (Vec<PoolLoad>, Vec<PoolRoom>) {
        let mut loads = vec![PoolLoad { work: 0.0, processors: 0.0 }; pools.len()];
        let mut room = vec![PoolRoom::default(); pools.len()];
        let allocations = self.permanent_allocations();
        for (id, m) in self.inventory.machines.iter().filter(|(_, m)| m.is_schedulable()) {
            let Some(&i) = index.get(&m.pool) else { continue };
            let total = self.inventory.machine_resources(&m.pool.machine_type);
            let remainder = allocations.remainder(id, total);
            loads[i].processors += remainder.cpus.max(0) as f64 / 1000.0;
            room[i].remainders.insert(remainder);
        }
        for (id, cached) in &self.cache.jobs {
            // The processors of tasks without an end are not counted above.
            let RunTime::Ms(remaining_ms) = cached.mean_remaining_time() else { continue };
            let work_per_task = remaining_ms as f64 / 1000.0 * cached.record.spec.cpus;
            for group in self.cache.tables(id).flat_map(|t| &t.claims) {
                let Some(&i) = index.get(&group.pool) else { continue };
                loads[i].work += work_per_task * group.tasks.len() as f64;
            }
        }
        (loads, room)
    }

    /// Assigns each job of the queue to the `pool_count` least loaded pools that can run it.
    fn assign_jobs(&mut self) {
        self.leadership.jobs_assigned_at = self.now;
        let pools = self.inventory.pools();
        let index: BTreeMap<&PoolId, usize> =
            pools.iter().enumerate().map(|(i, p)| (p, i)).collect();
        let (mut loads, room) = self.pool_loads(&pools, &index);
        let queue = self.queue();
        let long_work = self.long_work();
        let has_planner: Vec<bool> = pools.iter().map(|p| self.has_live_owner(p)).collect();
        let mut assigned: Vec<(String, Vec<u16>)> = Vec::new();
        for QueuedTasks { job: id, tasks: unclaimed, is_growth, .. } in &queue {
            let Some(cached) = self.cache.jobs.get(id) else { continue };
            // The job's base tasks are already assigned to pools, in an earlier round or in this
            // one; its growth uses the same pools.
            if *is_growth
                && self.job_states.get(id).is_some_and(|state| !state.assigned_pools.is_empty())
            {
                continue;
            }
            let usable = || (0..pools.len()).filter(|&i| self.can_run_in(cached, &pools[i]));
            // Prefer pools with a live owner, which plans for them, and of those the pools in which
            // a task can ever start.
            let planned: Vec<usize> = usable().filter(|&i| has_planner[i]).collect();
            let mut eligible: Vec<usize> =
                planned.iter().copied().filter(|&i| room[i].has_room_for(cached)).collect();
            if eligible.is_empty() {
                eligible = planned;
            }
            if eligible.is_empty() {
                eligible = usable().collect();
            }
            let current_pools: Vec<usize> = self
                .job_states
                .get(id)
                .into_iter()
                .flat_map(|state| state.assigned_pools.iter().filter_map(|p| index.get(p).copied()))
                .collect();
            let spec = &cached.record.spec;
            let run_s = match cached.run_time() {
                RunTime::Ms(ms) => (ms as f64 / 1000.0).max(1.0),
                RunTime::UntilCancelled => self.cfg.usual_wait_s,
            };
            let work = run_s * spec.cpus * f64::from(*unclaimed);
            // Services and spread jobs need several zones. Long tasks may use only a part of each
            // pool, so their jobs are assigned to all pools.
            let pool_count = if long_work.is_long(spec) {
                pools.len()
            } else if spec.kind == Kind::Service || spec.spread {
                self.cfg.pools_per_job.max(4)
            } else {
                self.cfg.pools_per_job
            };
            let chosen = choose_pools(&mut loads, &eligible, &current_pools, pool_count, work);
            assigned.push((id.to_string(), chosen.iter().map(|&i| i as u16).collect()));
        }
        let names: Vec<String> = pools.iter().map(|p| p.to_string()).collect();
        let me = self.cfg.controller_id.clone();
        self.send_to_peers(None, Message::Assign { pools: names.clone(), jobs: assigned.clone() });
        self.on_assign(&me, names, assigned);
    }

    /// Applies a job assignment from the holder of the pool assignment role.
    pub(crate) fn on_assign(
        &mut self,
        from: &ControllerId,
        pools: Vec<String>,
        jobs: Vec<(String, Vec<u16>)>,
    ) {
        if self.cache.roles.get(&Role::PoolAssignment).map(|holder| &holder.value.owner)
            != Some(from)
        {
            return;
        }
        self.priority.last_assignment = Some(self.now);
        let pools: Vec<Option<PoolId>> = pools.iter().map(|p| PoolId::parse(p)).collect();
        for (job, chosen) in jobs {
            let job = JobId::new(job);
            if !self.cache.jobs.contains_key(&job) {
                continue;
            }
            let chosen: Vec<PoolId> =
                chosen.iter().filter_map(|&i| pools.get(i as usize).cloned().flatten()).collect();
            let job_state = self.job_state(&job);
            if job_state.assigned_pools != chosen {
                job_state.assigned_pools = chosen;
                self.replan_needed = true;
            }
        }
    }
}
