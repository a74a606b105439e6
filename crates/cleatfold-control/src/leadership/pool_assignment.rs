//! The assigning of pools, and sending jobs to pools.
//!
//! Who deals is a hint: two at once do no harm, since every change they make is guarded by the
//! version of the key they change.

use crate::controller::{Controller, Pending};
use crate::effects::{CallPriority, StoreReply, StoreRequest};
use crate::scheduling::queue::Queued;
use crate::store::cache::Versioned;
use crate::store::records::{pool_key, ControllerRecord, HolderRecord};
use cleatfold_backfill::pools::{choose_pools, PoolLoad};
use cleatfold_roles::Role;
use cleatfold_wire::job::Kind;
use cleatfold_wire::mesh::Message;
use cleatfold_wire::store::Txn;
use cleatfold_wire::{ControllerId, JobId, Ms, PoolId, Version, ZoneId};
use std::collections::{BTreeMap, BTreeSet};

/// A pool that changed hands is left where it is for so long.
const REASSIGNMENT_PAUSE_MS: u64 = 10_000;
/// A leader that started so lately is likely not the only one that did.
const JUST_STARTED_MS: u64 = 5000;
const ASSIGNMENT_INTERVAL_MS: u64 = 200;

/// A controller that has just taken the role waits so long for others that start too.
const START_WAIT_MS: u64 = 1_500;
/// A former owner that is back gets its pool again below so many times the average load, and the
/// controller of the pool's own zone below so many.
const MAX_FORMER_LOAD: f64 = 2.0;
const MAX_HOME_LOAD: f64 = 1.3;

/// A pool that needs another owner.
struct Orphan<'a> {
    pool: &'a PoolId,
    /// Who reaches its workers where its live owner does not; empty if it has no live owner.
    takers: BTreeSet<ControllerId>,
}

/// How much the pools weigh on the live controllers: one for each pool and each machine.
struct PoolLoads<'a> {
    sizes: BTreeMap<&'a PoolId, usize>,
    by_controller: BTreeMap<ControllerId, f64>,
    /// Of all pools, for each live controller.
    average: f64,
}

impl<'a> PoolLoads<'a> {
    fn new(
        pools: &[PoolId],
        sizes: BTreeMap<&'a PoolId, usize>,
        controllers: &BTreeMap<ControllerId, Versioned<ControllerRecord>>,
    ) -> Self {
        let by_controller = controllers.keys().map(|n| (n.clone(), 0.0)).collect();
        let mut loads = Self { sizes, by_controller, average: 0.0 };
        let all: f64 = pools.iter().map(|pool| loads.weight(pool)).sum();
        loads.average = all / controllers.len() as f64;
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

    /// Whether a controller would have at most so many times the average with this pool. One pool,
    /// however large, has to be with someone.
    fn is_light(&self, controller: &ControllerId, pool: &PoolId, most: f64) -> bool {
        let fits = |load: f64| load == 0.0 || load + self.weight(pool) <= self.average * most + 1.0;
        self.by_controller.get(controller).is_some_and(|load| fits(*load))
    }

    /// The controller with the least load among some.
    fn least(&self, can: impl Fn(&ControllerId) -> bool) -> Option<&ControllerId> {
        let able = self.by_controller.iter().filter(|(controller, _)| can(controller));
        able.min_by(|a, b| a.1.total_cmp(b.1)).map(|(controller, _)| controller)
    }

    /// The mean load of all that have any part in it.
    fn mean(&self) -> f64 {
        self.by_controller.values().sum::<f64>() / self.by_controller.len() as f64
    }
}

/// A pool that is to go to another controller.
struct PoolMove {
    pool: PoolId,
    to: ControllerId,
}

impl Controller {
    /// Deals pools and sends jobs to them, for as long as that is ours to do.
    pub(crate) fn lead(&mut self) {
        if !self.holds(Role::PoolAssignment) {
            self.leadership.leader_since = None;
            return;
        }
        let since = *self.leadership.leader_since.get_or_insert_with(|| {
            tracing::info!("pool assignment role acquired");
            self.now
        });
        if self.in_contact() && self.may_assign_pools(since) {
            self.assign_pools();
        }
        if self.now.since(self.leadership.jobs_assigned_at) >= 500 * self.backpressure {
            self.assign();
        }
    }

    // ---- assigning ----

    fn live(&self, holding: &crate::store::cache::PoolOwnership) -> bool {
        self.cache
            .controllers
            .get(&holding.owner)
            .is_some_and(|n| n.value.incarnation == holding.incarnation)
    }

    /// Whether pools may be assigned now; `since` is when that became ours to do.
    fn may_assign_pools(&mut self, since: Ms) -> bool {
        // What was assigned last must have been read before anything more is.
        let confirmed_at = self.leadership.assignment_confirmed_at;
        let is_read = self.session.last_read.is_some_and(|read| read >= confirmed_at);
        let is_pending = self.leadership.pending_assignment.is_some();
        if is_pending || !is_read || self.cache.controllers.is_empty() {
            return false;
        }
        // Every pool and every machine is looked at: at each tick this alone took a tenth of a
        // leader's processor time in a large deployment.
        if self.now.since(self.leadership.assignment_checked_at) < ASSIGNMENT_INTERVAL_MS {
            return false;
        }
        self.leadership.assignment_checked_at = self.now;
        // At a start of all, wait a little for the others rather than assign twice: whoever was
        // first back once had every pool, and hundreds of workers, for the rest of the day.
        let everyone = self.cfg.peers.len() < self.cache.controllers.len();
        let is_new = self.started().is_some_and(|s| self.now.since(s) < JUST_STARTED_MS);
        let waits = !everyone && (self.cache.pools.is_empty() || is_new);
        !waits || self.now.since(since) >= START_WAIT_MS
    }

    /// Assigns pools that have no live owner, or whose owner does not reach their workers; where there
    /// are none, evens the controllers out.
    fn assign_pools(&mut self) {
        let pools = self.inventory.pools();
        let mut loads = PoolLoads::new(&pools, self.inventory.sizes(), &self.cache.controllers);
        let mut orphans: Vec<Orphan> = Vec::new();
        for pool in &pools {
            let owner = self.cache.pools.get(pool).filter(|ownership| self.live(ownership));
            let takers = owner.map(|o| self.takers(&o.owner, pool)).unwrap_or_default();
            match owner {
                Some(ownership) if takers.is_empty() => loads.add(&ownership.owner, pool),
                _ => orphans.push(Orphan { pool, takers }),
            }
        }
        let weight = |orphan: &Orphan| loads.weight(orphan.pool);
        orphans.sort_by(|a, b| weight(b).total_cmp(&weight(a)).then(a.pool.cmp(b.pool)));
        let mut moves: Vec<PoolMove> = Vec::new();
        for orphan in orphans {
            if let Some(to) = self.new_owner(&orphan, &loads) {
                loads.add(&to, orphan.pool);
                moves.push(PoolMove { pool: orphan.pool.clone(), to });
            }
        }
        if moves.is_empty() {
            moves = self.balancing_moves(&pools, &mut loads);
        }
        moves.truncate(self.cfg.max_txn_changes);
        self.write_assignments(moves);
    }

    /// Whom to give a pool that has to change hands.
    fn new_owner(&self, orphan: &Orphan, loads: &PoolLoads) -> Option<ControllerId> {
        let pool = orphan.pool;
        // Where nobody reaches the zone, one is as good as another.
        let anyone = self.cache.controllers.keys().any(|n| self.may_hold(n, &pool.zone));
        let can = |controller: &ControllerId| {
            if orphan.takers.is_empty() {
                !anyone || self.may_hold(controller, &pool.zone)
            } else {
                orphan.takers.contains(controller)
            }
        };
        let is_light = |controller: &ControllerId, most| {
            can(controller) && loads.is_light(controller, pool, most)
        };
        // A former owner that is back after a restart: its workers are looking for it, and
        // hundreds of them moving elsewhere cost both controllers seconds of processor time.
        let former = self.cache.pools.get(pool).map(|ownership| ownership.owner.clone());
        let home = || self.home_of(&pool.zone).filter(|n| is_light(n, MAX_HOME_LOAD));
        former
            .filter(|n| is_light(n, MAX_FORMER_LOAD))
            .or_else(home)
            .or_else(|| loads.least(can).cloned())
    }

    /// Up to two moves that even the controllers out.
    fn balancing_moves(&self, pools: &[PoolId], loads: &mut PoolLoads) -> Vec<PoolMove> {
        let Some(first) = self.balance(pools, loads) else { return vec![] };
        let PoolMove { pool, to } = &first;
        // One controller with nearly all is worth more than one move at a time.
        if let Some(ownership) = self.cache.pools.get(pool) {
            loads.remove(&ownership.owner, pool);
            loads.add(to, pool);
        }
        let rest: Vec<PoolId> = pools.iter().filter(|p| *p != pool).cloned().collect();
        let second = self.balance(&rest, loads);
        std::iter::once(first).chain(second).collect()
    }

    /// The live controller of a zone.
    fn home_of(&self, zone: &ZoneId) -> Option<ControllerId> {
        std::iter::once((&self.cfg.me, &self.cfg.zone))
            .chain(self.cfg.peers.iter().map(|(n, z)| (n, z)))
            .find(|(n, z)| *z == zone && self.cache.controllers.contains_key(*n))
            .map(|(n, _)| n.clone())
    }

    /// One pool from the fullest controller to the emptiest, where that evens them out.
    fn balance(&self, pools: &[PoolId], loads: &PoolLoads) -> Option<PoolMove> {
        let most = loads.by_controller.iter().max_by(|a, b| a.1.total_cmp(b.1))?;
        let average = loads.mean();
        // Every move costs its workers a change of controller: only clear unevenness is worth one.
        if self
            .leadership
            .pool_assigned_at
            .values()
            .any(|at| self.now.since(*at) < REASSIGNMENT_PAUSE_MS)
        {
            return None;
        }
        // Not to a controller that its workers do not reach, though that has fewest.
        let least_for = |pool: &PoolId| {
            let can = loads.by_controller.iter().filter(|(n, _)| self.may_hold(n, &pool.zone));
            can.min_by(|a, b| a.1.total_cmp(b.1))
        };
        pools
            .iter()
            .filter(|p| self.cache.pools.get(*p).is_some_and(|h| h.owner == *most.0))
            .filter_map(|p| Some((p, least_for(p)?)))
            .map(|(p, (controller, held))| (p, controller, most.1 - held))
            .filter(|(p, _, gap)| *gap >= average * 0.6 && loads.weight(p) < gap * 0.8)
            .min_by(|a, b| {
                let left = |(p, _, gap): &(&PoolId, &ControllerId, f64)| {
                    (gap - 2.0 * loads.weight(p)).abs()
                };
                left(a).total_cmp(&left(b)).then(a.0.cmp(b.0))
            })
            .map(|(p, controller, _)| PoolMove { pool: p.clone(), to: controller.clone() })
    }

    fn write_assignments(&mut self, moves: Vec<PoolMove>) {
        let mut txn = Txn::default();
        for PoolMove { pool, to: controller } in moves {
            let Some(live) = self.cache.controllers.get(&controller) else { continue };
            let incarnation = live.value.incarnation;
            let version =
                self.cache.pools.get(&pool).map(|h| Version(h.token.0)).unwrap_or_default();
            tracing::info!(%pool, %controller, "assigning pool");
            txn.guard(pool_key(&pool), version);
            self.reachability.note_assignment(&pool, &controller);
            txn.put(pool_key(&pool), &HolderRecord { owner: controller, incarnation }, None);
            self.leadership.pool_assigned_at.insert(pool, self.now);
        }
        if txn.changes.is_empty() {
            return;
        }
        let op = self.store(CallPriority::Renewal, StoreRequest::Txn(txn), Pending::PoolAssignment);
        self.leadership.pending_assignment = Some(op);
    }

    /// Whatever came of it, the next reading tells.
    pub(crate) fn on_assignment_written(&mut self, reply: StoreReply) {
        self.leadership.pending_assignment = None;
        self.leadership.assignment_confirmed_at = self.now;
        self.session.sync_wanted = true;
        if matches!(reply, StoreReply::Committed(_)) {
            self.tell(None, Message::Changed);
        }
    }

    /// Workers of a pool come here since they cannot reach its owner: take it.
    pub(crate) fn take_over(&mut self, pool: PoolId, owner: &ControllerId) {
        let recent = self
            .leadership
            .pool_assigned_at
            .get(&pool)
            .is_some_and(|at| self.now.since(*at) < REASSIGNMENT_PAUSE_MS);
        if recent || self.leadership.pending_assignment.is_some() || !self.in_contact() {
            return;
        }
        let me = self.cfg.me.clone();
        self.reachability.view.left(owner, &pool.zone, self.now);
        tracing::info!(%pool, %owner, "taking pool over: its workers do not reach its owner");
        self.write_assignments(vec![PoolMove { pool, to: me }]);
    }

    // ---- sending jobs to pools ----

    /// Sends each job of the queue to the K least loaded pools that can hold it.
    fn assign(&mut self) {
        self.leadership.jobs_assigned_at = self.now;
        let pools = self.inventory.pools();
        let index: BTreeMap<&PoolId, usize> =
            pools.iter().enumerate().map(|(i, p)| (p, i)).collect();
        let mut loads = vec![PoolLoad { work: 0.0, processors: 0.0 }; pools.len()];
        for m in self.inventory.machines.values() {
            if !m.takes_work() {
                continue;
            }
            if let Some(&i) = index.get(&m.pool) {
                loads[i].processors +=
                    self.inventory.total(&m.pool.machine_type).cpus as f64 / 1000.0;
            }
        }
        for (id, live) in &self.cache.jobs {
            for group in self.cache.tables(id).flat_map(|t| &t.claims) {
                let Some(&i) = index.get(&group.pool) else { continue };
                let spec = &live.record.spec;
                loads[i].work += 0.5 * spec.estimate_s * spec.cpus * group.tasks.len() as f64;
            }
        }
        let queue = self.queue();
        let long = self.long_work();
        let alive: Vec<bool> = pools.iter().map(|p| self.lives(p)).collect();
        let mut assigned: Vec<(String, Vec<u16>)> = Vec::new();
        for Queued { job: id, tasks: unclaimed, growth, .. } in &queue {
            let Some(live) = self.cache.jobs.get(id) else {
                continue;
            };
            // Its base has been sent somewhere already, a moment ago or above.
            if *growth && self.job_states.get(id).is_some_and(|l| !l.pools.is_empty()) {
                continue;
            }
            let usable = || (0..pools.len()).filter(|&i| self.may_use(live, &pools[i]));
            // To pools whose owners plan for them, while there are any.
            let mut eligible: Vec<usize> = usable().filter(|&i| alive[i]).collect();
            if eligible.is_empty() {
                eligible = usable().collect();
            }
            let current: Vec<usize> = self
                .job_states
                .get(id)
                .into_iter()
                .flat_map(|l| l.pools.iter().filter_map(|p| index.get(p).copied()))
                .collect();
            let spec = &live.record.spec;
            let work = spec.estimate_s.max(1.0) * spec.cpus * f64::from(*unclaimed);
            // Replicas and spread jobs need more zones than one. Of long work only a part of each
            // pool may be used, so it goes to all of them.
            let k = if long.is_long(spec) {
                pools.len()
            } else if spec.kind == Kind::Service || spec.spread {
                self.cfg.pools_per_job.max(4)
            } else {
                self.cfg.pools_per_job
            };
            let chosen = choose_pools(&mut loads, &eligible, &current, k, work);
            assigned.push((id.to_string(), chosen.iter().map(|&i| i as u16).collect()));
        }
        let names: Vec<String> = pools.iter().map(|p| p.to_string()).collect();
        let me = self.cfg.me.clone();
        self.tell(None, Message::Assign { pools: names.clone(), jobs: assigned.clone() });
        self.on_assign(&me, names, assigned);
    }

    pub(crate) fn on_assign(
        &mut self,
        from: &ControllerId,
        pools: Vec<String>,
        jobs: Vec<(String, Vec<u16>)>,
    ) {
        if self.cache.roles.get(&Role::PoolAssignment).map(|h| &h.value.owner) != Some(from) {
            return;
        }
        self.priority.assigned = Some(self.now);
        let pools: Vec<Option<PoolId>> = pools.iter().map(|p| PoolId::parse(p)).collect();
        for (job, chosen) in jobs {
            let job = JobId::new(job);
            if !self.cache.jobs.contains_key(&job) {
                continue;
            }
            let chosen: Vec<PoolId> =
                chosen.iter().filter_map(|&i| pools.get(i as usize).cloned().flatten()).collect();
            let job_state = self.job_state(&job);
            if job_state.pools != chosen {
                job_state.pools = chosen;
                self.replan_needed = true;
            }
        }
    }
}
